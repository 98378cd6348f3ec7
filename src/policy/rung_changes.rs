//! Rung changes: decides when playing sessions step down, for relief or for a new session, and when they step
//! up.

use std::collections::BTreeMap;

use super::{CAPACITY_MARGIN, Policy, TICK_INTERVAL};
use crate::api::{ClassId, Micros, Rung, ServerId};
use crate::state::{Downgrade, Resource, Session, Upgrade};

/// Utilization above which sessions on a resource are stepped down. Delivery falls short above 1.02.
const RELIEF_START_UTILIZATION: f64 = 1.0;

/// Utilization down to which an overloaded resource is relieved.
const RELIEF_TARGET_UTILIZATION: f64 = 0.95;

/// Fraction of a capacity that a step without any utility would leave free on top of [`CAPACITY_MARGIN`].
/// More efficient steps leave proportionally less.
const MAX_EFFICIENCY_MARGIN: f64 = 0.2;

/// Minimum time from a session's change of rung to its next step up, so that a change earns what it costs.
/// The time doubles with each step down of the session, and with each relief of the resource that soon
/// follows another.
const STEP_UP_DELAY: Micros = Micros(6_000_000);

/// Maximum number of times that [`STEP_UP_DELAY`] is doubled.
const MAX_DELAY_DOUBLINGS: u32 = 4;

/// Maximum fraction of a link's capacity by which sessions step up in one tick; a single step is always
/// allowed. With single steps only, sessions on large servers would stay at low rungs for most of their
/// duration.
const MAX_STEP_UP_FRACTION: f64 = 0.1;

/// Smallest demand on a link that is divided by, in kB per second.
const MIN_DEMAND_KB: f64 = 1e-9;

impl Policy {
    /// Steps own sessions down where the demand on a link or uplink exceeds its capacity.
    ///
    /// Each front takes off its own fraction of the excess. A step that is larger than the remaining excess
    /// is taken with a probability in proportion, once for each new sample. Otherwise many fronts with a
    /// small fraction each would either all take it or none of them.
    ///
    /// Steps up are paused on the resource, so that a link of varying capacity settles at its lowest.
    /// Limitation: this costs utility after an overload that happens only once.
    pub(super) fn relieve_overload(&mut self) {
        let trusted = self.servers.iter().filter(|(_, server)| server.ejection_level == 0);
        let links = trusted.map(|(&id, server)| Resource::Link { server: id, rack: server.rack });
        let uplinks = self.racks.keys().map(|&rack| Resource::Uplink { rack });
        let resources: Vec<Resource> = links.chain(uplinks).collect();
        for resource in resources {
            self.relieve_resource(resource);
        }
    }

    /// Steps own sessions on one resource down if the demand on it exceeds its capacity.
    fn relieve_resource(&mut self, resource: Resource) {
        let load = self.resource_load(resource);
        let gauge = resource.gauge_mut(&mut self.servers, &mut self.racks);
        let (Some(load), Some(gauge)) = (load, gauge) else { return };
        if load.demand <= RELIEF_START_UTILIZATION * load.capacity {
            return;
        }
        gauge.pause_upgrades(self.now, STEP_UP_DELAY, MAX_DELAY_DOUBLINGS);
        let has_new_sample = gauge.sampled_at().is_some_and(|at| self.now - at <= TICK_INTERVAL);
        let own_fraction = (gauge.own_demand / load.demand).min(1.0);
        let mut excess = (load.demand - RELIEF_TARGET_UTILIZATION * load.capacity) * own_fraction;
        for downgrade in self.downgrades(resource.rack()) {
            if excess > 0.0 && resource.is_used_by(downgrade.server) {
                let freed = downgrade.step.rate;
                if excess >= freed || (has_new_sample && self.random.chance(excess / freed)) {
                    self.step_rung(downgrade.session, -1);
                }
                excess -= freed;
            }
        }
    }

    /// Steps sessions up where capacity is left, starting with the most efficient steps.
    ///
    /// A front takes part with a probability of its own fraction of the link's demand, so that not all fronts
    /// take the same headroom.
    pub(super) fn step_up_sessions(&mut self) {
        let mut granted_by_server: BTreeMap<ServerId, f64> = BTreeMap::new();
        for upgrade in self.upgrades() {
            let Some(server) = self.servers.get(&upgrade.server) else { continue };
            let is_paused = self.upgrades_paused(server);
            let rate = self.settings.rung_step(upgrade.class, upgrade.rung).rate;
            let max_utilization = self.max_utilization(upgrade.class, upgrade.rung);
            let own_fraction = server.link.own_demand / self.link_load(server).demand.max(MIN_DEMAND_KB);
            let is_chosen = self.random.chance(own_fraction);
            let granted = granted_by_server.get(&upgrade.server).map_or(0.0, |granted| granted + rate);
            let is_within_limit = granted <= MAX_STEP_UP_FRACTION * server.link.capacity;
            let may_step_up = is_chosen && !is_paused && is_within_limit;
            if may_step_up && self.fits(upgrade.server, rate, max_utilization) {
                *granted_by_server.entry(upgrade.server).or_default() += rate;
                self.step_rung(upgrade.session, 1);
            }
        }
    }

    /// Returns the possible steps up of own sessions, the most efficient first.
    fn upgrades(&self) -> Vec<Upgrade> {
        let mut upgrades = Vec::new();
        for (server, session) in self.sessions.values().filter_map(Session::playing_server) {
            let delay = Micros(STEP_UP_DELAY.0 << session.downgrades.min(MAX_DELAY_DOUBLINGS));
            let delay_is_over = self.now - session.rung_changed_at >= delay;
            if delay_is_over && session.rung < self.settings.max_rung(&session.request) {
                let class = session.request.class;
                let rung = Rung(session.rung.0 + 1);
                let efficiency = self.settings.step_efficiency(class, rung);
                upgrades.push(Upgrade { session: session.request.session, server, class, rung, efficiency });
            }
        }
        upgrades.sort_by(|a, b| b.efficiency.total_cmp(&a.efficiency).then(a.session.cmp(&b.session)));
        upgrades
    }

    /// Returns the possible steps down of own sessions in a rack that play above their base rung, the ones
    /// that lose the least utility for the rate first.
    pub(super) fn downgrades(&self, rack: u32) -> Vec<Downgrade> {
        let mut downgrades = Vec::new();
        for (server, session) in self.playing_at_rack(rack) {
            if session.rung > self.base_rung(session.request.class) {
                let step = self.settings.rung_step(session.request.class, session.rung);
                downgrades.push(Downgrade { session: session.request.session, server, step });
            }
        }
        downgrades.sort_by(|a, b| a.price().total_cmp(&b.price()).then(a.session.cmp(&b.session)));
        downgrades
    }

    /// Returns the maximum utilization of a link or uplink after a step to this rung.
    ///
    /// The less efficient the step is, compared with the best step of any class, the more capacity it must
    /// leave free.
    pub(super) fn max_utilization(&self, class: ClassId, rung: Rung) -> f64 {
        let relative_efficiency = self.settings.step_efficiency(class, rung) / self.best_step_efficiency;
        1.0 - CAPACITY_MARGIN - MAX_EFFICIENCY_MARGIN * (1.0 - relative_efficiency.clamp(0.0, 1.0))
    }

    /// Returns the rung of a class, from its lowest up, with the highest utility for its rate.
    pub(super) fn base_rung(&self, class: ClassId) -> Rung {
        let min_rung = self.settings.class(class).min_rung;
        let utility_per_kb = |rung: Rung| self.settings.utility_per_kb(class, rung);
        let rungs = (min_rung.0..=self.settings.highest_rung().0).map(Rung);
        let best = rungs.max_by(|&a, &b| utility_per_kb(a).total_cmp(&utility_per_kb(b)).then(b.cmp(&a)));
        best.unwrap_or(min_rung)
    }
}
