//! The way of one session, from its request to its end, and the one answer that is owed.

use super::*;

const TRIALS: f64 = 0.25; // part of the sessions taken that may be risked on distrusted servers
const PROBE_SPEND: f64 = 0.01; // part of the result that probes may cost, at one for each session at most

impl Policy {
    pub(super) fn request(&mut self, req: Request) {
        self.taken.note(self.now, self.set.budget_window());
        self.trials = (self.trials + TRIALS).min(1.0);
        self.probes += (PROBE_SPEND / self.set.health_check_price.max(1e-9)).min(1.0);
        let id = req.session;
        let Some(class) = self.set.classes.get(usize::from(req.class.0)) else {
            self.out.push(Action::Fail(id));
            return;
        };
        let aim = (self.now + class.latency_objective).min(req.deadline);
        self.sessions.insert(id, Session { req, aim, ..Session::default() });
        self.place(id);
    }

    pub(super) fn handed_over(&mut self, req: Request, server: ServerId) {
        self.servers.values_mut().for_each(|s| s.doubt_until = Micros(0));
        let Some(class) = self.set.classes.get(usize::from(req.class.0)) else { return };
        let (phase, at, rung) = (Phase::Playing, Some(server), class.min_rung);
        let session = Session { phase, at, rung, req, ..Session::default() };
        let id = session.req.session;
        self.sessions.insert(id, session);
        self.book(id, true);
        self.stale = true;
    }

    pub(super) fn started(&mut self, id: SessionId, server: ServerId) {
        self.alive(server);
        let owed = |s: &&mut Session| s.at == Some(server) && s.phase == Phase::Owed;
        if let Some(s) = self.sessions.get_mut(&id).filter(owed) {
            (s.phase, s.changed) = (Phase::Playing, self.now);
            // What plays here was sound: the errors before were the servers'.
            let erred = std::mem::take(&mut s.erred);
            self.back(server);
            erred.into_iter().for_each(|(at, sent)| self.strike(at, sent, Outcome::Error));
        }
    }

    pub(super) fn ended(&mut self, id: SessionId, server: ServerId, outcome: Outcome, closed: bool) {
        let sent = self.sessions.get(&id).and_then(|s| s.ran.last()).map_or(self.now, |r| r.1);
        match outcome {
            Outcome::Ok => self.alive(server),
            Outcome::Cancelled | Outcome::NotSent => {}
            // Whose fault it was shows in what becomes of the session.
            Outcome::Error if self.sessions.get(&id).is_some_and(|s| s.phase != Phase::Playing) => {}
            failure => self.strike(server, sent, failure),
        }
        self.book(id, false);
        let Some(mut s) = self.sessions.remove(&id) else { return };
        if s.phase != Phase::Playing {
            self.back(server);
        }
        s.at = None;
        if outcome.never_ran() {
            s.ran.pop();
        }
        if outcome == Outcome::Error && s.phase != Phase::Playing {
            s.erred.push((server, sent));
        }
        if !closed && s.phase == Phase::Owed {
            self.sessions.insert(id, s);
            self.place(id);
        } else {
            self.blame(&s);
        }
    }

    pub(super) fn withdrawn(&mut self, id: SessionId) {
        let Some(s) = self.sessions.get_mut(&id).filter(|s| s.phase == Phase::Owed) else { return };
        s.phase = Phase::Over;
        if s.at.is_none() {
            self.sessions.remove(&id).into_iter().for_each(|s| self.blame(&s));
        } else if self.set.capabilities.cancel {
            self.out.push(Action::CancelAttempt {
                session: id,
                attempt: Attempt(s.tried.len().saturating_sub(1) as u16),
            });
        }
    }

    /// One prompt final answer, the mildest that the class's effect allows.
    pub(super) fn give_up(&mut self, id: SessionId) {
        let Some(s) = self.sessions.remove(&id) else { return };
        self.blame(&s);
        let lasting = match self.set.class(s.req.class).idempotency {
            Idempotency::Idempotent => false,
            Idempotency::Deduplicated { scope: group, .. } => group != DedupScope::All,
            Idempotency::AtMostOnce => true,
        };
        let refusal = Action::Reject { session: id, retry_after: self.set.capabilities.max_retry_after };
        self.out.push(if lasting && !s.ran.is_empty() { Action::Fail(id) } else { refusal });
    }
}
