//! Totals over own sessions, kept up to date as they come and go.

use std::collections::{BTreeMap, BTreeSet};

use super::{ResourceGauge, Server, Session};
use crate::api::{ClassId, Request, Rung, ServerId, SessionId, Settings, TitleId};

/// Rates are rounded to this fraction of a kB a second. As a power of two it makes sums exact: what is added and taken
/// out again leaves no remainder.
const RATE_STEPS_PER_KB: f64 = 1024.0;

/// Whether a session is added to the totals or taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Change {
    /// It is added.
    Add,
    /// It is taken out.
    Remove,
}

impl Change {
    /// Applies it to a set; whether that changed the set.
    fn apply(self, sessions: &mut BTreeSet<SessionId>, id: SessionId) -> bool {
        match self {
            Change::Add => sessions.insert(id),
            Change::Remove => sessions.remove(&id),
        }
    }

    fn sign(self) -> f64 {
        match self {
            Change::Add => 1.0,
            Change::Remove => -1.0,
        }
    }
}

/// The viewers that share one copy of a live title's rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SharedStream {
    server: ServerId,
    class: ClassId,
    title: TitleId,
    rung: Rung,
}

/// A class and title, for which sessions are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TitleKey {
    class: ClassId,
    title: TitleId,
}

/// Sessions by rack and title, and how often totals were updated.
#[derive(Debug, Default)]
pub(crate) struct Accounting {
    /// Own sessions with an attempt at a server of the rack.
    pub sessions_by_rack: BTreeMap<u32, BTreeSet<SessionId>>,
    viewers_by_stream: BTreeMap<SharedStream, u32>,
    /// Set-ups in flight included.
    sessions_by_title: BTreeMap<TitleKey, BTreeSet<SessionId>>,
    /// Sessions added or taken out so far.
    pub updates: u64,
}

impl Accounting {
    /// Adds a session's demand on its link, uplink and server, or takes it out. A further viewer of a live title at the
    /// same server and rung adds only the class's fraction of the rate, and no stream.
    pub fn update(
        &mut self,
        settings: &Settings,
        servers: &mut BTreeMap<ServerId, Server>,
        racks: &mut BTreeMap<u32, ResourceGauge>,
        session: &Session,
        change: Change,
    ) {
        self.updates += 1;
        let Some(at) = session.server else { return };
        self.update_title(&session.request, change);
        let Some(server) = servers.get_mut(&at) else { return };
        let at_rack = self.sessions_by_rack.entry(server.rack).or_default();
        if !change.apply(at_rack, session.request.session) {
            return;
        }
        let shared_fraction = settings.class(session.request.class).shared_rate_fraction;
        let is_shared = shared_fraction < 1.0;
        let is_first = !is_shared || self.update_viewers(at, session, change);
        let (fraction, streams) = if is_first { (1.0, 1.0) } else { (shared_fraction, 0.0) };
        let rate = fraction * settings.rate(session.request.class, session.rung);
        let rate = change.sign() * (rate * RATE_STEPS_PER_KB).round() / RATE_STEPS_PER_KB;
        server.link.own_demand += rate;
        server.streams.own_demand += change.sign() * streams;
        if let Some(uplink) = racks.get_mut(&server.rack) {
            uplink.own_demand += rate;
        }
    }

    fn update_title(&mut self, request: &Request, change: Change) {
        let key = TitleKey { class: request.class, title: request.title };
        let sessions = self.sessions_by_title.entry(key).or_default();
        change.apply(sessions, request.session);
        if sessions.is_empty() {
            self.sessions_by_title.remove(&key);
        }
    }

    /// Counts a viewer of a live title; whether it is the first to come or the last to leave.
    fn update_viewers(&mut self, server: ServerId, session: &Session, change: Change) -> bool {
        let (class, title) = (session.request.class, session.request.title);
        let key = SharedStream { server, class, title, rung: session.rung };
        let viewers = self.viewers_by_stream.entry(key).or_default();
        let is_first = match change {
            Change::Add => {
                *viewers += 1;
                *viewers == 1
            }
            Change::Remove => {
                *viewers = viewers.saturating_sub(1);
                *viewers == 0
            }
        };
        if *viewers == 0 {
            self.viewers_by_stream.remove(&key);
        }
        is_first
    }

    /// Number of own sessions of a request's class and title, set-ups in flight included.
    pub fn sessions_of_title(&self, request: &Request) -> usize {
        let key = TitleKey { class: request.class, title: request.title };
        self.sessions_by_title.get(&key).map_or(0, BTreeSet::len)
    }

    /// Counts all sessions anew, as an update of the endpoint list may have moved servers.
    pub fn recompute(
        &mut self,
        settings: &Settings,
        servers: &mut BTreeMap<ServerId, Server>,
        racks: &mut BTreeMap<u32, ResourceGauge>,
        sessions: &BTreeMap<SessionId, Session>,
    ) {
        *self = Accounting { updates: self.updates, ..Accounting::default() };
        for server in servers.values_mut() {
            (server.link.own_demand, server.streams.own_demand) = (0.0, 0.0);
        }
        for uplink in racks.values_mut() {
            uplink.own_demand = 0.0;
        }
        for session in sessions.values() {
            self.update(settings, servers, racks, session, Change::Add);
        }
    }
}
