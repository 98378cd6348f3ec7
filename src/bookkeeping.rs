//! A policy's records of servers, racks and sessions: look-ups, and changes that keep the totals right. Nothing is
//! decided here.

use crate::api::{Action, LoadReport, Micros, Request, Rung, ServerId, SessionId};
use crate::policy::Policy;
use crate::state::{Change, Load, Phase, Resource, Server, Session};

impl Policy {
    /// Adds a session to the totals of its server and rack, or takes it out.
    pub(crate) fn account(&mut self, id: SessionId, change: Change) {
        if let Some(session) = self.sessions.get(&id) {
            self.accounting.update(&self.settings, &mut self.servers, &mut self.racks, session, change);
        }
    }

    /// Servers on the endpoint list.
    pub(crate) fn listed(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(|server| server.is_listed())
    }

    /// Notes that sessions are answered whose viewers' deadlines are over.
    pub(crate) fn answer_overdue(&mut self) -> Vec<SessionId> {
        let mut overdue = Vec::new();
        for (&id, session) in &mut self.sessions {
            if session.phase == Phase::AnswerOwed && self.now >= session.request.deadline {
                session.phase = Phase::Answered;
                overdue.push(id);
            }
        }
        overdue
    }

    /// Load of a link or uplink that is known.
    pub(crate) fn resource_load(&self, resource: Resource) -> Option<Load> {
        match resource {
            Resource::Link { server, .. } => self.servers.get(&server).map(|server| self.link_load(server)),
            Resource::Uplink { rack } => Some(self.uplink_load(rack)),
        }
    }

    /// Whether steps up at a server are held, by its link or its rack's uplink.
    pub(crate) fn is_held(&self, server: &Server) -> bool {
        let uplink = self.racks.get(&server.rack);
        uplink.is_some_and(|uplink| uplink.is_held(self.now)) || server.link.is_held(self.now)
    }

    /// Own sessions that play at servers of a rack, and where.
    pub(crate) fn playing_at_rack(&self, rack: u32) -> impl Iterator<Item = (ServerId, &Session)> {
        let at_rack = self.accounting.sessions_by_rack.get(&rack).into_iter().flatten();
        at_rack.filter_map(|id| self.sessions.get(id)).filter_map(Session::plays_at)
    }

    /// Records what a load report says of a server and its rack; whether it tells of the uplink.
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

    /// Changes a session's rung by so many steps.
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

    /// Takes over the rung in force of a session that plays.
    pub(crate) fn rung_in_force(&mut self, id: SessionId, rung: Rung) {
        self.account(id, Change::Remove);
        self.sessions.entry(id).and_modify(|session| session.rung = rung);
        self.account(id, Change::Add);
    }

    /// A set-up is no longer in flight. It arrived by now, but when is not known: it counts until a window
    /// from here. Guards against those that wait for a connection and arrive together with the next window's.
    pub(crate) fn attempt_returned(&mut self, id: ServerId) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.attempts_in_flight = server.attempts_in_flight.saturating_sub(1);
            server.recent_attempts.record(self.now, self.settings.slow_start.overload_window);
        }
    }

    /// Whether a front holds as many sessions of a title as the request's class allows.
    pub(crate) fn title_limit_reached(&self, request: &Request) -> bool {
        let limit = self.settings.class(request.class).max_sessions_per_title;
        limit.is_some_and(|limit| self.accounting.sessions_of_title(request) >= limit as usize)
    }
}
