//! Totals over own sessions, updated as sessions start, change and end.

use std::collections::{BTreeMap, BTreeSet};

use super::{ResourceGauge, Server, Session};
use crate::api::{ClassId, Request, Rung, ServerId, SessionId, Settings, TitleId};

/// Number of steps per kB per second to which rates are rounded.
///
/// As a power of two it makes sums exact, so that adding and removing a session leaves no remainder.
const RATE_STEPS_PER_KB: f64 = 1024.0;

/// A change of the totals by one session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Change {
    /// The session is added.
    Add,
    /// The session is removed.
    Remove,
}

impl Change {
    /// Applies the change to a set of sessions and returns whether the set changed.
    fn apply(self, sessions: &mut BTreeSet<SessionId>, id: SessionId) -> bool {
        match self {
            Change::Add => sessions.insert(id),
            Change::Remove => sessions.remove(&id),
        }
    }

    /// Returns the factor by which the session's demand enters the totals.
    fn sign(self) -> f64 {
        match self {
            Change::Add => 1.0,
            Change::Remove => -1.0,
        }
    }
}

/// A stream of a live title, whose viewers share most of its rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SharedStream {
    server: ServerId,
    class: ClassId,
    title: TitleId,
    rung: Rung,
}

/// The class and title by which sessions are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TitleKey {
    class: ClassId,
    title: TitleId,
}

/// Own sessions by rack, stream and title, and the number of updates of the totals.
#[derive(Debug, Default)]
pub(crate) struct Accounting {
    /// Own sessions of each rack that play or have an attempt at one of its servers.
    pub sessions_by_rack: BTreeMap<u32, BTreeSet<SessionId>>,
    viewers_by_stream: BTreeMap<SharedStream, u32>,
    /// Own sessions of each class and title, including set-ups in flight.
    sessions_by_title: BTreeMap<TitleKey, BTreeSet<SessionId>>,
    /// Number of sessions added or removed so far.
    pub updates: u64,
}

impl Accounting {
    /// Adds or removes a session's demand on its link, uplink and server.
    ///
    /// A further viewer of a live title at the same server and rung adds only the class's fraction of the
    /// rate, and no stream.
    pub fn update(
        &mut self,
        settings: &Settings,
        servers: &mut BTreeMap<ServerId, Server>,
        racks: &mut BTreeMap<u32, ResourceGauge>,
        session: &Session,
        change: Change,
    ) {
        self.updates += 1;
        let Some(server_id) = session.server else { return };
        self.update_title(&session.request, change);
        let Some(server) = servers.get_mut(&server_id) else { return };
        let sessions_of_rack = self.sessions_by_rack.entry(server.rack).or_default();
        if !change.apply(sessions_of_rack, session.request.session) {
            return;
        }
        let shared_fraction = settings.class(session.request.class).shared_rate_fraction;
        let is_shared = shared_fraction < 1.0;
        let needs_stream = !is_shared || self.update_viewers(server_id, session, change);
        let (fraction, streams) = if needs_stream { (1.0, 1.0) } else { (shared_fraction, 0.0) };
        let rate = fraction * settings.rate(session.request.class, session.rung);
        let rate_change = change.sign() * (rate * RATE_STEPS_PER_KB).round() / RATE_STEPS_PER_KB;
        server.link.own_demand += rate_change;
        server.streams.own_demand += change.sign() * streams;
        if let Some(uplink) = racks.get_mut(&server.rack) {
            uplink.own_demand += rate_change;
        }
    }

    /// Adds or removes a session in the count of its title.
    fn update_title(&mut self, request: &Request, change: Change) {
        let key = TitleKey { class: request.class, title: request.title };
        let sessions = self.sessions_by_title.entry(key).or_default();
        change.apply(sessions, request.session);
        if sessions.is_empty() {
            self.sessions_by_title.remove(&key);
        }
    }

    /// Adds or removes a viewer of a live title, and returns whether it is the first to join or the last to
    /// leave.
    fn update_viewers(&mut self, server: ServerId, session: &Session, change: Change) -> bool {
        let stream = SharedStream {
            server,
            class: session.request.class,
            title: session.request.title,
            rung: session.rung,
        };
        let viewers = self.viewers_by_stream.entry(stream).or_default();
        let is_first_or_last = match change {
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
            self.viewers_by_stream.remove(&stream);
        }
        is_first_or_last
    }

    /// Returns the number of own sessions of a request's class and title, including set-ups in flight.
    pub fn sessions_of_title(&self, request: &Request) -> usize {
        let key = TitleKey { class: request.class, title: request.title };
        self.sessions_by_title.get(&key).map_or(0, BTreeSet::len)
    }

    /// Recounts all sessions, because an update of the endpoint list may have moved servers to other racks.
    pub fn recompute(
        &mut self,
        settings: &Settings,
        servers: &mut BTreeMap<ServerId, Server>,
        racks: &mut BTreeMap<u32, ResourceGauge>,
        sessions: &BTreeMap<SessionId, Session>,
    ) {
        *self = Accounting { updates: self.updates, ..Accounting::default() };
        for server in servers.values_mut() {
            server.link.own_demand = 0.0;
            server.streams.own_demand = 0.0;
        }
        for uplink in racks.values_mut() {
            uplink.own_demand = 0.0;
        }
        for session in sessions.values() {
            self.update(settings, servers, racks, session, Change::Add);
        }
    }
}
