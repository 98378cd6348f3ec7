//! Server selection: decides where a session goes, by the IS-C-SS rule of DIAR. Servers that hold the title
//! are compared by load factor, and the first whose every resource covers the session is taken.

use std::collections::BTreeMap;

use super::{CAPACITY_MARGIN, Policy};
use crate::api::{ClassId, Rung, ServerId, SessionId};
use crate::state::{Downgrade, Selection, Server, Session, complete_steps};

/// Maximum number of set-ups in flight at one server: as many as a small server answers in time.
const MAX_IN_FLIGHT: f64 = 4.0;

/// Load factors that fall into the same step of this width count as equal. The width is less than the noise
/// of load reports.
const LOAD_FACTOR_STEP: f64 = 0.05;

/// Width of the steps in which the logarithm of the resource factor is compared, for one other front. The
/// width grows with the square root of the number of other fronts.
const RESOURCE_FACTOR_LOG_STEP: f64 = 0.4;

/// Smallest number of free set-ups that is divided by.
const MIN_FREE_SET_UPS: f64 = 1e-9;

/// Order of the servers that cover a rate. The lowest key is selected.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct SelectionKey {
    load_factor: i64,
    resource_factor: i64,
    is_other_zone: bool,
    tie_break: u64,
}

impl Policy {
    /// Selects a server and rung for a session and starts an attempt there.
    ///
    /// The viewer gets an answer at once if no attempt is allowed or no server covers the session.
    pub(super) fn place(&mut self, id: SessionId) {
        if std::mem::take(&mut self.assumed_is_stale) {
            self.update_assumed_utilization();
        }
        let Some(session) = self.sessions.get(&id) else { return };
        let class = session.request.class;
        let max_rung = self.settings.max_rung(&session.request);
        let min_rung = self.settings.class(class).min_rung;
        if max_rung < min_rung || !self.may_attempt(session) || self.title_limit_reached(&session.request) {
            return self.give_up(id);
        }
        let base = self.base_rung(class).min(max_rung);
        let candidates = self.candidates(session);
        let Some(selected) = self.select(class, &candidates, base) else { return self.give_up(id) };
        let rung = self.highest_fitting_rung(class, selected, max_rung);
        self.start_attempt(id, selected.server, rung);
    }

    /// Returns the highest rung up to a maximum whose step keeps its margin at the selected server, or else
    /// the selected rung.
    fn highest_fitting_rung(&self, class: ClassId, selected: Selection, max_rung: Rung) -> Rung {
        let keeps_margin = |rung: &Rung| {
            let rate = self.settings.rate(class, *rung);
            self.fits(selected.server, rate, self.max_utilization(class, *rung))
        };
        let mut higher_rungs = (selected.rung.0 + 1..=max_rung.0).rev().map(Rung);
        let highest = higher_rungs.find(keeps_margin);
        highest.unwrap_or(selected.rung)
    }

    /// Selects a server that covers the base rung or can be made to, or else a server that covers a lower
    /// rung.
    fn select(&mut self, class: ClassId, candidates: &[ServerId], base: Rung) -> Option<Selection> {
        let base_rate = self.settings.rate(class, base);
        let covering = self.best_covering(candidates, base_rate);
        if let Some(server) = covering.or_else(|| self.downgrade_for_session(class, candidates, base)) {
            return Some(Selection { server, rung: base });
        }
        let min_rung = self.settings.class(class).min_rung;
        let mut lower_rungs = (min_rung.0..base.0).rev().map(Rung);
        lower_rungs.find_map(|rung| {
            let server = self.best_covering(candidates, self.settings.rate(class, rung))?;
            Some(Selection { server, rung })
        })
    }

    /// Returns the servers that hold the title and may get this session now.
    fn candidates(&self, session: &Session) -> Vec<ServerId> {
        let eligible: Vec<&Server> =
            self.servers.values().filter(|server| self.is_eligible(session, server)).collect();
        let probation_is_allowed = session.attempted.is_empty() && self.probation_credit >= 1.0;
        let may_try = |server: &Server| {
            let is_idle = server.attempts_in_flight == 0;
            server.ejection_level == 0 || (probation_is_allowed && is_idle)
        };
        let available = eligible.iter().filter(|server| self.now >= server.ejected_until && may_try(server));
        let mut candidates: Vec<ServerId> = available.map(|server| server.endpoint.server).collect();
        if candidates.is_empty() {
            // All holders are ejected or on probation: the first to come back is tried, with one set-up at a
            // time.
            let idle = eligible.iter().filter(|server| server.attempts_in_flight == 0);
            let first_back = idle.min_by_key(|server| server.ejected_until);
            candidates.extend(first_back.map(|server| server.endpoint.server));
        }
        candidates
    }

    /// Returns whether a server may get the session, ejections and load apart.
    ///
    /// It must be ready, hold the title and not have been tried for the session. It must also recognise
    /// copies of attempts that may have been executed elsewhere, and slow start must allow a set-up there.
    fn is_eligible(&self, session: &Session, server: &Server) -> bool {
        let request = &session.request;
        let endpoint = &server.endpoint;
        let holds_title = request.title_is_at(endpoint, self.settings.cells);
        let scope = self.settings.class(request.class).idempotency.scope();
        let mut earlier = session.may_have_run.iter().filter_map(|sent| self.servers.get(&sent.server));
        let is_in_scope = earlier.all(|earlier| scope.includes_both(&earlier.endpoint, endpoint));
        let is_untried = !session.attempted.contains(&endpoint.server);
        server.is_ready() && holds_title && is_in_scope && is_untried && self.slow_start_allows(server)
    }

    /// Returns the candidate with the lowest load factor that covers the rate.
    ///
    /// Equal load factors are decided by the resource factor, then by the zone, then at random. Where a
    /// session is small against its server, set-ups in flight are the largest term of each load factor, so
    /// that all servers with as many of them are equal. The resource factor then keeps the servers of the own
    /// zone from filling up while others are idle. Its steps are wider the more fronts see and use the same
    /// headroom.
    fn best_covering(&mut self, candidates: &[ServerId], rate: f64) -> Option<ServerId> {
        let mut best: Option<(SelectionKey, ServerId)> = None;
        let log_step = RESOURCE_FACTOR_LOG_STEP * self.settings.other_fronts().max(1.0).sqrt();
        for &id in candidates {
            let Some(server) = self.servers.get(&id) else { continue };
            let resource_factor = self.resource_factor(server, rate);
            let free_set_ups = MAX_IN_FLIGHT - f64::from(server.attempts_in_flight);
            let load_factor = resource_factor.max(1.0 / free_set_ups.max(MIN_FREE_SET_UPS));
            let key = SelectionKey {
                load_factor: complete_steps(load_factor, LOAD_FACTOR_STEP),
                resource_factor: complete_steps(resource_factor.ln(), log_step),
                is_other_zone: server.endpoint.zone != self.settings.zone,
                tie_break: self.random.next(),
            };
            let covers_all = load_factor <= 1.0;
            if covers_all && best.as_ref().is_none_or(|(lowest, _)| key < *lowest) {
                best = Some((key, id));
            }
        }
        best.map(|(_, id)| id)
    }

    /// Returns the highest ratio of what a session needs to what is available, over link, streams and uplink.
    fn resource_factor(&self, server: &Server, rate: f64) -> f64 {
        let link = self.link_load(server).factor(rate, CAPACITY_MARGIN);
        let uplink = self.uplink_load(server.rack).factor(rate, CAPACITY_MARGIN);
        let streams = self.streams_load(server).factor(1.0, CAPACITY_MARGIN);
        link.max(uplink).max(streams)
    }

    /// Returns whether the link and uplink of a server stay within a utilization with additional demand.
    pub(super) fn fits(&self, id: ServerId, demand: f64, max_utilization: f64) -> bool {
        let Some(server) = self.servers.get(&id) else { return false };
        let link = self.link_load(server);
        let uplink = self.uplink_load(server.rack);
        link.fits(demand, max_utilization) && uplink.fits(demand, max_utilization)
    }

    /// Steps own sessions down for a new session at its base rung, and returns the server that covers it
    /// then.
    ///
    /// This departs from the published rule. It happens only where the sessions stepped down lose less
    /// utility than the new session gains, and keeps full links from carrying few sessions at high rungs.
    /// Limitation: another front may use the freed capacity first.
    fn downgrade_for_session(
        &mut self,
        class: ClassId,
        candidates: &[ServerId],
        base: Rung,
    ) -> Option<ServerId> {
        let rate = self.settings.rate(class, base);
        let gain = self.settings.utility(class, base);
        let mut downgrades_by_rack = BTreeMap::new();
        for &id in candidates {
            let server = self.servers.get(&id)?;
            let in_flight = f64::from(server.attempts_in_flight) + 1.0;
            let lacks_streams = self.streams_load(server).shortage(1.0, CAPACITY_MARGIN) > 0.0;
            if lacks_streams || in_flight > MAX_IN_FLIGHT {
                continue;
            }
            let rack = server.rack;
            let downgrades = downgrades_by_rack.entry(rack).or_insert_with(|| self.downgrades(rack));
            if let Some(sessions) = self.sessions_to_downgrade(server, downgrades, rate, gain) {
                for session in sessions {
                    self.step_rung(session, -1);
                }
                return Some(id);
            }
        }
        None
    }

    /// Returns the sessions to step down so that a server covers a rate.
    ///
    /// Returns `None` if they would lose at least `max_loss` in utility, or if all of them do not free
    /// enough.
    fn sessions_to_downgrade(
        &self,
        server: &Server,
        downgrades: &[Downgrade],
        rate: f64,
        max_loss: f64,
    ) -> Option<Vec<SessionId>> {
        let mut link_shortage = self.link_load(server).shortage(rate, CAPACITY_MARGIN);
        let mut uplink_shortage = self.uplink_load(server.rack).shortage(rate, CAPACITY_MARGIN);
        let mut loss = 0.0;
        let mut sessions = Vec::new();
        for downgrade in downgrades {
            let is_at_server = downgrade.server == server.endpoint.server;
            let helps_link = link_shortage > 0.0 && is_at_server;
            let helps_uplink = link_shortage <= 0.0 && uplink_shortage > 0.0;
            if helps_link || helps_uplink {
                loss += downgrade.step.utility;
                uplink_shortage -= downgrade.step.rate;
                link_shortage -= if is_at_server { downgrade.step.rate } else { 0.0 };
                sessions.push(downgrade.session);
            }
        }
        let is_covered = link_shortage <= 0.0 && uplink_shortage <= 0.0;
        (is_covered && loss < max_loss).then_some(sessions)
    }
}
