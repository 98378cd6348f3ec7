//! Look-ups in a policy's records of servers, racks and sessions, and changes that keep the totals
//! consistent. Nothing is decided here.

use crate::api::{Action, LoadReport, Micros, Request, Rung, ServerId, SessionId};
use crate::policy::Policy;
use crate::state::{Change, Load, Phase, Resource, Server, Session};

impl Policy {
    /// Adds a session to the totals of its server and rack, or removes it.
    pub(crate) fn account(&mut self, id: SessionId, change: Change) {
        if let Some(session) = self.sessions.get(&id) {
            self.accounting.update(&self.settings, &mut self.servers, &mut self.racks, session, change);
        }
    }

    /// Returns the servers on the endpoint list.
    pub(crate) fn listed_servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(|server| server.is_listed())
    }

    /// Marks the sessions as answered whose viewers' deadlines have passed without an answer, and returns
    /// them.
    pub(crate) fn take_overdue_answers(&mut self) -> Vec<SessionId> {
        let mut overdue = Vec::new();
        for (&id, session) in &mut self.sessions {
            if session.phase == Phase::AnswerPending && self.now >= session.request.deadline {
                session.phase = Phase::Answered;
                overdue.push(id);
            }
        }
        overdue
    }

    /// Returns the load of a link or uplink, or `None` if the link's server is not known.
    pub(crate) fn resource_load(&self, resource: Resource) -> Option<Load> {
        match resource {
            Resource::Link { server, .. } => self.servers.get(&server).map(|server| self.link_load(server)),
            Resource::Uplink { rack } => Some(self.uplink_load(rack)),
        }
    }

    /// Returns whether steps up at a server are paused, by its link or by its rack's uplink.
    pub(crate) fn upgrades_paused(&self, server: &Server) -> bool {
        let uplink = self.racks.get(&server.rack);
        uplink.is_some_and(|uplink| uplink.upgrades_are_paused(self.now))
            || server.link.upgrades_are_paused(self.now)
    }

    /// Returns the own sessions that play at servers of a rack, with their servers.
    pub(crate) fn playing_at_rack(&self, rack: u32) -> impl Iterator<Item = (ServerId, &Session)> {
        let ids = self.accounting.sessions_by_rack.get(&rack).into_iter().flatten();
        let sessions = ids.filter_map(|id| self.sessions.get(id));
        sessions.filter_map(Session::playing_server)
    }

    /// Records a load report of a server, and returns whether it covers the uplink.
    pub(crate) fn record_utilization(&mut self, id: ServerId, window: Micros, report: LoadReport) -> bool {
        let Some(server) = self.servers.get_mut(&id) else { return false };
        let streams = report.streams.map(|streams| streams / server.streams.capacity.max(1.0));
        server.link.record(self.now, window, report.link_utilization);
        server.streams.record(self.now, window, streams);
        if let Some(uplink) = self.racks.get_mut(&server.rack) {
            uplink.record(self.now, window, report.uplink_utilization);
        }
        report.uplink_utilization.is_some()
    }

    /// Changes a session's rung by a number of steps.
    pub(crate) fn step_rung(&mut self, id: SessionId, by: i8) {
        self.account(id, Change::Remove);
        if let Some(session) = self.sessions.get_mut(&id) {
            session.rung = Rung(session.rung.0.saturating_add_signed(by));
            session.rung_changed_at = self.now;
            session.downgrades += u32::from(by < 0);
            self.actions.push(Action::SetRung { session: id, rung: session.rung });
        }
        self.account(id, Change::Add);
    }

    /// Sets the rung of a playing session to the one that feedback reports.
    pub(crate) fn apply_reported_rung(&mut self, id: SessionId, rung: Rung) {
        self.account(id, Change::Remove);
        self.sessions.entry(id).and_modify(|session| session.rung = rung);
        self.account(id, Change::Add);
    }

    /// Records that a set-up is no longer in flight.
    ///
    /// The time at which it reached the server is not known, so that slow start counts it for one window from
    /// now. A set-up that waited for its connection may have arrived together with those of the next window.
    pub(crate) fn record_attempt_return(&mut self, id: ServerId) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.attempts_in_flight = server.attempts_in_flight.saturating_sub(1);
            server.recent_attempts.record(self.now, self.settings.slow_start.overload_window);
        }
    }

    /// Returns whether this front has as many sessions of the requested title as the class allows.
    pub(crate) fn title_limit_reached(&self, request: &Request) -> bool {
        let max_sessions = self.settings.class(request.class).max_sessions_per_title;
        max_sessions.is_some_and(|max| self.accounting.sessions_of_title(request) >= max as usize)
    }
}
