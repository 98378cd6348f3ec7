//! Server selection: decides where a session goes, by IS-C-SS of DIAR: the holders of the title by rising
//! load factor, and the first of them that covers all.

use std::collections::BTreeMap;

use super::{MARGIN, Policy};
use crate::api::{ClassId, Rung, ServerId, SessionId};
use crate::state::{Selection, Server, Session, whole_steps};

const MAX_IN_FLIGHT: f64 = 4.0; // set-ups at one server, as many as a small one answers in time; 2 hurts
const TIE: f64 = 0.05; // under the noise of reports: load factors within it are equal; then headroom...
const HEADROOM_STEP: f64 = 0.4; // ...by its logarithm, in steps of this times the root of other fronts

/// The order of servers that cover a rate: the lowest is taken.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct SelectionKey {
    load_factor: i64,
    resource_factor: i64,
    is_other_zone: bool,
    tie_break: u64,
}

impl Policy {
    /// Tries holders by rising load factor and sends to the first whose every resource covers the rung's
    /// rate; none: an answer at once.
    pub(super) fn place(&mut self, id: SessionId) {
        if std::mem::take(&mut self.assumed_is_stale) {
            self.assume_utilization();
        }
        let Some(session) = self.sessions.get(&id) else { return };
        let (class, max_rung) = (session.request.class, self.settings.max_rung(&session.request));
        let min_rung = self.settings.class(class).min_rung;
        if max_rung < min_rung || !self.may_attempt(session) || self.title_limit_reached(&session.request) {
            return self.give_up(id);
        }
        let base = self.base_rung(class).min(max_rung);
        let candidates = self.candidates(session);
        let Some(selected) = self.select(class, &candidates, base) else { return self.give_up(id) };
        // The highest rung that leaves the margin spare.
        let leaves_margin = |rung: &Rung| {
            self.fits(selected.server, self.settings.rate(class, *rung), self.max_utilization(class, *rung))
        };
        let higher = (selected.rung.0 + 1..=max_rung.0).rev().map(Rung).find(leaves_margin);
        self.send(id, selected.server, higher.unwrap_or(selected.rung));
    }

    /// A server that covers the base rung, or has room made for it; else one that covers a lower rung.
    fn select(&mut self, class: ClassId, candidates: &[ServerId], base: Rung) -> Option<Selection> {
        let at_base = self.first_covering(candidates, self.settings.rate(class, base));
        if let Some(server) = at_base.or_else(|| self.make_room(class, candidates, base)) {
            return Some(Selection { server, rung: base });
        }
        let min_rung = self.settings.class(class).min_rung;
        (min_rung.0..base.0).rev().map(Rung).find_map(|rung| {
            let server = self.first_covering(candidates, self.settings.rate(class, rung))?;
            Some(Selection { server, rung })
        })
    }

    /// Servers that hold the title and may take this session now.
    fn candidates(&self, session: &Session) -> Vec<ServerId> {
        let eligible: Vec<&Server> = self.servers.values().filter(|s| self.is_eligible(session, s)).collect();
        let on_probation = session.attempted.is_empty() && self.probation_credit >= 1.0;
        let may_try = |s: &Server| s.ejection_level == 0 || (on_probation && s.attempts_in_flight == 0);
        let trusted = eligible.iter().filter(|s| self.now >= s.ejected_until && may_try(s));
        let mut candidates: Vec<ServerId> = trusted.map(|server| server.endpoint.server).collect();
        if candidates.is_empty() {
            // All holders ejected at once: the one whose ejection ends first is tried, one set-up at a time.
            let first = eligible.iter().filter(|s| s.attempts_in_flight == 0).min_by_key(|s| s.ejected_until);
            candidates.extend(first.map(|server| server.endpoint.server));
        }
        candidates
    }

    /// Whether a server is ready, holds the title, was not tried, recognises copies of what may have been
    /// executed elsewhere, and may be sent to by its slow start.
    fn is_eligible(&self, session: &Session, server: &Server) -> bool {
        let (request, endpoint) = (&session.request, &server.endpoint);
        let holds_title = request.is_held_by(endpoint, self.settings.cells);
        let scope = self.settings.class(request.class).idempotency.scope();
        let mut earlier = session.may_have_run.iter().filter_map(|sent| self.servers.get(&sent.server));
        let is_in_scope = earlier.all(|earlier| scope.joins(&earlier.endpoint, endpoint));
        let is_untried = !session.attempted.contains(&endpoint.server);
        server.is_ready() && holds_title && is_in_scope && is_untried && self.slow_start_allows(server)
    }

    /// The first holder by rising factor that covers the rate. Where a session is small against its server,
    /// set-ups in flight are the largest part at each, and the rest decides: guards against links filled in
    /// the own zone while others stay empty. Its steps are wider the more fronts see and take the same room.
    fn first_covering(&mut self, candidates: &[ServerId], rate: f64) -> Option<ServerId> {
        let mut best: Option<(SelectionKey, ServerId)> = None;
        let step = HEADROOM_STEP * self.settings.other_fronts().max(1.0).sqrt();
        for &id in candidates {
            let Some(server) = self.servers.get(&id) else { continue };
            let resource_factor = self.resource_factor(server, rate);
            let free_set_ups = MAX_IN_FLIGHT - f64::from(server.attempts_in_flight);
            let load_factor = resource_factor.max(1.0 / free_set_ups.max(1e-9));
            let key = SelectionKey {
                load_factor: whole_steps(load_factor, TIE),
                resource_factor: whole_steps(resource_factor.ln(), step),
                is_other_zone: server.endpoint.zone != self.settings.zone,
                tie_break: self.random.next(),
            };
            if load_factor <= 1.0 && best.as_ref().is_none_or(|(lowest, _)| key < *lowest) {
                best = Some((key, id));
            }
        }
        best.map(|(_, id)| id)
    }

    /// The maximum over link, streams and uplink of need over available.
    fn resource_factor(&self, server: &Server, rate: f64) -> f64 {
        let link = self.link_load(server).factor(rate, MARGIN);
        let uplink = self.uplink_load(server.rack).factor(rate, MARGIN);
        link.max(uplink).max(self.streams_load(server).factor(1.0, MARGIN))
    }

    /// Whether the link and the uplink of a server stay under this utilization with so much more demand.
    pub(super) fn fits(&self, id: ServerId, demand: f64, max_utilization: f64) -> bool {
        let Some(server) = self.servers.get(&id) else { return false };
        let (link, uplink) = (self.link_load(server), self.uplink_load(server.rack));
        link.fits(demand, max_utilization) && uplink.fits(demand, max_utilization)
    }

    /// Departure: before a viewer gets less than the base rung, own sessions above theirs step down where
    /// that costs less utility than the new session earns. Guards against full links that carry few sessions
    /// at high rungs, whatever filled them. It hurts when another front takes the room first.
    fn make_room(&mut self, class: ClassId, candidates: &[ServerId], base: Rung) -> Option<ServerId> {
        let (rate, gain) = (self.settings.rate(class, base), self.settings.utility(class, base));
        let mut downgrades_by_rack = BTreeMap::new();
        for &id in candidates {
            let server = self.servers.get(&id)?;
            let in_flight = f64::from(server.attempts_in_flight) + 1.0;
            if self.streams_load(server).shortage(1.0, MARGIN) > 0.0 || in_flight > MAX_IN_FLIGHT {
                continue;
            }
            let mut link = self.link_load(server).shortage(rate, MARGIN);
            let mut uplink = self.uplink_load(server.rack).shortage(rate, MARGIN);
            let (mut loss, mut to_step_down) = (0.0, Vec::new());
            let rack = server.rack;
            for downgrade in downgrades_by_rack.entry(rack).or_insert_with(|| self.downgrades(rack)) {
                let is_here = downgrade.server == id;
                if (link > 0.0 && is_here) || (link <= 0.0 && uplink > 0.0) {
                    loss += downgrade.step.utility;
                    uplink -= downgrade.step.rate;
                    link -= if is_here { downgrade.step.rate } else { 0.0 };
                    to_step_down.push(downgrade.session);
                }
            }
            if link <= 0.0 && uplink <= 0.0 && loss < gain {
                to_step_down.into_iter().for_each(|session| self.step_rung(session, -1));
                return Some(id);
            }
        }
        None
    }
}
