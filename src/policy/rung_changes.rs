//! Rung changes: decides when sessions that play step down, for relief or a newcomer, and up where there is
//! room.

use std::collections::BTreeMap;

use super::{MARGIN, Policy, TICK};
use crate::api::{ClassId, Micros, Rung, ServerId};
use crate::state::{Downgrade, Resource, Session, Upgrade};

const RELIEVE_ABOVE: f64 = 1.0; // utilization; sessions run short above 1.02: a resource above is relieved...
const RELIEVE_TO: f64 = 0.95; // ...to here, and not further
const SPARE: f64 = 0.2; // fraction left on top of the margin by a step of no utility; 0.10 and 0.30 hurt
const STEP_UP_GAP: Micros = Micros(6_000_000); // from a change of rung to a step up: it must earn its cost...
const MAX_DOUBLINGS: u32 = 4; // ...doubled by each relief up to this many times; 3 s and 10 s are no better
const STEP_UP_PART: f64 = 0.1; // of a link in one tick, or one step: one alone left large servers low

impl Policy {
    /// Steps own sessions down where a link or uplink is asked for more than it gives; each front takes its
    /// own part of the excess off. A part of a step is rounded by chance, once for each new sample: of many
    /// fronts with a small part each, none would step otherwise, or all would. Steps up are held there, so
    /// that a link whose capacity swings settles at its worst; it hurts when it was short for once only.
    pub(super) fn relieve(&mut self) {
        let trusted = self.servers.iter().filter(|(_, server)| server.ejection_level == 0);
        let links = trusted.map(|(&id, server)| Resource::Link { server: id, rack: server.rack });
        let uplinks = self.racks.keys().map(|&rack| Resource::Uplink { rack });
        let resources: Vec<Resource> = links.chain(uplinks).collect();
        for resource in resources {
            let load = self.resource_load(resource);
            let gauge = resource.gauge_mut(&mut self.servers, &mut self.racks);
            let (Some(load), Some(gauge)) = (load, gauge) else { continue };
            if load.demand <= RELIEVE_ABOVE * load.capacity {
                continue;
            }
            gauge.hold(self.now, STEP_UP_GAP, MAX_DOUBLINGS);
            let is_news = gauge.sampled_at().is_some_and(|at| self.now - at <= TICK);
            let own_part = (gauge.own_demand / load.demand).min(1.0);
            let mut excess = (load.demand - RELIEVE_TO * load.capacity) * own_part;
            for downgrade in self.downgrades(resource.rack()) {
                if excess > 0.0 && resource.is_used_by(downgrade.server) {
                    let freed = downgrade.step.rate;
                    if excess >= freed || (is_news && self.random.chance(excess / freed)) {
                        self.step_rung(downgrade.session, -1);
                    }
                    excess -= freed;
                }
            }
        }
    }

    /// Steps sessions up where there is room, those first that gain most for the rate. Each front waits its
    /// turn by chance, so that all of them do not take the same room. By a part of the link at a time: with a
    /// single step, servers of hundreds of sessions stayed at low rungs for most of their lives.
    pub(super) fn step_up(&mut self) {
        let mut given_by_server: BTreeMap<ServerId, f64> = BTreeMap::new();
        for upgrade in self.upgrades() {
            let Some(server) = self.servers.get(&upgrade.server) else { continue };
            let is_held = self.is_held(server);
            let rate = self.settings.rung_step(upgrade.class, upgrade.rung).rate;
            let max_utilization = self.max_utilization(upgrade.class, upgrade.rung);
            let own_part = server.link.own_demand / self.link_load(server).demand.max(1e-9);
            let has_turn = self.random.chance(own_part);
            let given = given_by_server.get(&upgrade.server).map_or(0.0, |given| given + rate);
            let is_within_part = given <= STEP_UP_PART * server.link.capacity;
            if has_turn && !is_held && is_within_part && self.fits(upgrade.server, rate, max_utilization) {
                *given_by_server.entry(upgrade.server).or_default() += rate;
                self.step_rung(upgrade.session, 1);
            }
        }
    }

    /// Own sessions that may step up, the most efficient steps first.
    fn upgrades(&self) -> Vec<Upgrade> {
        let mut upgrades = Vec::new();
        for (server, session) in self.sessions.values().filter_map(Session::plays_at) {
            let gap = Micros(STEP_UP_GAP.0 << session.downgrades.min(MAX_DOUBLINGS));
            let has_rested = self.now - session.rung_changed_at >= gap;
            if has_rested && session.rung < self.settings.max_rung(&session.request) {
                let (class, rung) = (session.request.class, Rung(session.rung.0 + 1));
                let efficiency = self.settings.step_efficiency(class, rung);
                upgrades.push(Upgrade { session: session.request.session, server, class, rung, efficiency });
            }
        }
        upgrades.sort_by(|a, b| b.efficiency.total_cmp(&a.efficiency).then(a.session.cmp(&b.session)));
        upgrades
    }

    /// Steps down of own sessions of a rack above their base, cheapest for the rate freed first.
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

    /// How full a link or uplink may be for a step to this rung: the less utility the step has for its rate,
    /// against the best step of any class, the more is left spare.
    pub(super) fn max_utilization(&self, class: ClassId, rung: Rung) -> f64 {
        let part = self.settings.step_efficiency(class, rung) / self.best_step_efficiency;
        1.0 - MARGIN - SPARE * (1.0 - part.clamp(0.0, 1.0))
    }

    /// The rung from the class's lowest up that has most utility for its rate.
    pub(super) fn base_rung(&self, class: ClassId) -> Rung {
        let min_rung = self.settings.class(class).min_rung;
        let per_kb = |rung: Rung| self.settings.utility_per_kb(class, rung);
        let rungs = (min_rung.0..=self.settings.highest_rung().0).map(Rung);
        rungs.max_by(|&a, &b| per_kb(a).total_cmp(&per_kb(b)).then(b.cmp(&a))).unwrap_or(min_rung)
    }
}
