//! Attempts: decides how many, until when, and within which retry budget and limit of a title.

use super::Policy;
use crate::api::{Action, Idempotency, Micros, Rung, ServerId, SessionId};
use crate::state::{Change, Session};

const FIRST_SHARE: f64 = 0.45; // fraction of the time left; leaves a second attempt as much, but a round trip
const MIN_ATTEMPT: Micros = Micros(100_000); // about one set-up: with less time left, no retry
const MAX_DELAY: Micros = Micros(50_000); // one given up may arrive so much later: a path and a long turn

impl Policy {
    pub(super) fn send(&mut self, id: SessionId, server_id: ServerId, rung: Rung) {
        if self.sessions.get(&id).is_some_and(|session| !session.attempted.is_empty()) {
            self.recent_retries.record(self.now, self.settings.retry_window());
        }
        let may_retry = self.retry_budget_left();
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let attempts = session.attempted.len() + 1;
        let is_last = !may_retry || attempts >= self.settings.capabilities.max_attempts as usize;
        let left = session.set_up_by - self.now;
        let wait = if is_last { left } else { Micros::from_secs(left.secs() * FIRST_SHARE) };
        let deadline = (self.now + wait).min(self.settings.deduplicated_until(session) - MAX_DELAY);
        session.dispatch(server_id, rung, self.now);
        self.actions.push(Action::SetRung { session: id, rung });
        self.actions.push(Action::StartAttempt { session: id, server: server_id, deadline });
        if let Some(server) = self.servers.get_mut(&server_id) {
            server.attempts_in_flight += 1;
            let spent = if server.ejection_level > 0 { self.probation_credit.min(1.0) } else { 0.0 };
            self.probation_credit -= spent;
        }
        self.account(id, Change::Add);
    }

    /// Whether one more attempt is allowed by time, count, budget and the class's idempotency. A retry has
    /// the time of one set-up and is given up before its class's window ends: one that waits for a connection
    /// until past the window would run as a second one, however early it was sent.
    pub(super) fn may_attempt(&self, session: &Session) -> bool {
        if session.attempted.is_empty() {
            return self.now < session.set_up_by;
        }
        let deduplicated_until = self.settings.deduplicated_until(session);
        let is_safe = match self.settings.class(session.request.class).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Deduplicated { .. } => self.now + MIN_ATTEMPT + MAX_DELAY < deduplicated_until,
            Idempotency::AtMostOnce => session.may_have_run.is_empty(),
        };
        let has_time = session.set_up_by - self.now > MIN_ATTEMPT;
        let max_attempts = self.settings.capabilities.max_attempts as usize;
        is_safe && has_time && session.attempted.len() < max_attempts && self.retry_budget_left()
    }

    /// Whether one further retry stays within the retry budget.
    fn retry_budget_left(&self) -> bool {
        let Some(budget) = self.settings.retry_budget else { return true };
        let requests = self.recent_requests.count_younger(self.now, budget.window) as f64;
        let retries = self.recent_retries.count_within(self.now, budget.window) as f64;
        retries + 1.0 <= budget.min_retries + budget.retry_ratio * requests
    }
}
