//! Health checks: decides which servers are checked where only health checks report load.

use std::collections::BTreeSet;

use super::Policy;
use crate::api::{Action, LoadReporting, Micros, ServerId};
use crate::state::{ResourceGauge, Server};

/// Age above which the newest load report of a rack or the last check of a server counts as stale.
const MAX_SAMPLE_AGE: Micros = Micros(2_000_000);

impl Policy {
    /// Checks one server of each rack without a recent load report, as far as the health check credit
    /// reaches.
    ///
    /// Applies only where load is reported in health checks alone. Racks with own sessions come first, and
    /// among them the one with the oldest report. Each requested session pays for a part of a check, so that
    /// the price of checks stays the same for any number of fronts and racks. This keeps sessions from
    /// stepping up without a recent load report. Limitation: where few sessions are requested, load reports
    /// grow old.
    pub(super) fn send_health_checks(&mut self) {
        let is_allowed = self.settings.capabilities.health_checks;
        if !is_allowed || self.settings.load_reporting != LoadReporting::InHealthChecks {
            return;
        }
        for id in self.servers_due_for_check() {
            if self.health_check_credit >= 1.0 {
                self.health_check_credit -= 1.0;
                self.servers.entry(id).and_modify(|server| server.health_checked_at = Some(self.now));
                self.actions.push(Action::HealthCheck(id));
            }
        }
    }

    /// Returns one server of each rack that is due for a health check, the most urgent first.
    fn servers_due_for_check(&self) -> Vec<ServerId> {
        let is_stale = |at: Option<Micros>| at.is_none_or(|at| self.now - at > MAX_SAMPLE_AGE);
        let is_due = |server: &&Server| {
            let is_trusted = server.is_ready() && server.ejection_level == 0;
            let uplink = self.racks.get(&server.rack);
            let uplink_is_stale = uplink.is_some_and(|uplink| is_stale(uplink.sampled_at()));
            is_trusted && uplink_is_stale && is_stale(server.health_checked_at)
        };
        // Resources without own sessions sort last, those with the oldest sample first.
        let urgency = |gauge: &ResourceGauge| (gauge.own_demand <= 0.0, gauge.sampled_at());
        let mut due: Vec<&Server> = self.servers.values().filter(is_due).collect();
        due.sort_by_key(|server| {
            let uplink_urgency = self.racks.get(&server.rack).map(urgency);
            (uplink_urgency, urgency(&server.link), server.endpoint.server)
        });
        let mut checked_racks = BTreeSet::new();
        let first_of_each_rack = due.into_iter().filter(|server| checked_racks.insert(server.rack));
        first_of_each_rack.map(|server| server.endpoint.server).collect()
    }
}
