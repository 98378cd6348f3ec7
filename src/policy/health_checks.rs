//! Health checks: decides which servers are checked where nothing else tells load.

use std::collections::BTreeSet;

use super::Policy;
use crate::api::{Action, LoadReporting, Micros, ServerId};
use crate::state::{ResourceGauge, Server};

const MAX_SAMPLE_AGE: Micros = Micros(2_000_000); // then a rack is checked; 1 s and 4 s are no better

impl Policy {
    /// Where only health checks tell load, a server of each rack without a report for a while is checked, the
    /// stalest first, own before others. Each session requested pays for a part of a check, so that their
    /// price stays the same however many fronts and racks there are. Guards against stepping up blind; it
    /// hurts when few sessions come and the little that is known grows old.
    pub(super) fn check_health(&mut self) {
        let allowed = self.settings.capabilities.health_checks;
        if !allowed || self.settings.load_reporting != LoadReporting::InHealthChecks {
            return;
        }
        let is_stale = |at: Option<Micros>| at.is_none_or(|at| self.now - at > MAX_SAMPLE_AGE);
        let is_due = |server: &&Server| {
            let is_trusted = server.is_ready() && server.ejection_level == 0;
            let uplink_is_stale =
                self.racks.get(&server.rack).is_some_and(|uplink| is_stale(uplink.sampled_at()));
            is_trusted && uplink_is_stale && is_stale(server.health_checked_at)
        };
        let unused_last = |gauge: &ResourceGauge| (gauge.own_demand <= 0.0, gauge.sampled_at());
        let mut due: Vec<&Server> = self.servers.values().filter(is_due).collect();
        due.sort_by_key(|s| {
            (self.racks.get(&s.rack).map(unused_last), unused_last(&s.link), s.endpoint.server)
        });
        let mut checked_racks = BTreeSet::new();
        let one_a_rack = due.into_iter().filter(|server| checked_racks.insert(server.rack));
        for id in one_a_rack.map(|server| server.endpoint.server).collect::<Vec<ServerId>>() {
            if self.health_check_credit >= 1.0 {
                self.health_check_credit -= 1.0;
                self.servers.entry(id).and_modify(|s| s.health_checked_at = Some(self.now));
                self.actions.push(Action::HealthCheck(id));
            }
        }
    }
}
