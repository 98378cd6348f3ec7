//! Attempts: decides how many a session gets and how long each may take, within the retry budget, the class's
//! idempotency and the set-up deadline.

use super::Policy;
use crate::api::{Action, Idempotency, Micros, Rung, ServerId, SessionId};
use crate::state::{Change, Session};

/// Fraction of the remaining set-up time that an attempt gets if another may follow.
///
/// A little under one half leaves the next attempt as much time, less one round trip.
const RETRYABLE_ATTEMPT_TIME_FRACTION: f64 = 0.45;

/// Minimum remaining time for a retry: about the duration of one set-up.
const MIN_RETRY_TIME: Micros = Micros(100_000);

/// Maximum time by which a request may still reach its server after the front gave up the attempt: the
/// network path plus one long turn of the event loop.
const MAX_ARRIVAL_DELAY: Micros = Micros(50_000);

impl Policy {
    /// Starts the next attempt of a session at a server and a rung.
    pub(super) fn start_attempt(&mut self, id: SessionId, server_id: ServerId, rung: Rung) {
        let is_retry = self.sessions.get(&id).is_some_and(|session| !session.attempted.is_empty());
        if is_retry {
            self.recent_retries.record(self.now, self.settings.retry_window());
        }
        let budget_allows_retry = self.retry_budget_left();
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let attempts = session.attempted.len() + 1;
        let max_attempts = self.settings.capabilities.max_attempts as usize;
        let is_last = !budget_allows_retry || attempts >= max_attempts;
        let time_left = session.set_up_by - self.now;
        let time_limit = if is_last {
            time_left
        } else {
            Micros::from_secs(time_left.secs() * RETRYABLE_ATTEMPT_TIME_FRACTION)
        };
        let last_safe_send = self.settings.deduplicated_until(session) - MAX_ARRIVAL_DELAY;
        let deadline = (self.now + time_limit).min(last_safe_send);
        session.record_attempt(server_id, rung, self.now);
        self.actions.push(Action::SetRung { session: id, rung });
        self.actions.push(Action::StartAttempt { session: id, server: server_id, deadline });
        if let Some(server) = self.servers.get_mut(&server_id) {
            server.attempts_in_flight += 1;
            let is_on_probation = server.ejection_level > 0;
            let spent_credit = if is_on_probation { self.probation_credit.min(1.0) } else { 0.0 };
            self.probation_credit -= spent_credit;
        }
        self.account(id, Change::Add);
    }

    /// Returns whether time, attempt count, retry budget and the class's idempotency allow one more attempt.
    ///
    /// A retry needs the time of one set-up, and it is given up before the class's deduplication window ends.
    /// A request that waits for its connection until after the window would run a second time, however early
    /// it was sent.
    pub(super) fn may_attempt(&self, session: &Session) -> bool {
        if session.attempted.is_empty() {
            return self.now < session.set_up_by;
        }
        let deduplicated_until = self.settings.deduplicated_until(session);
        let is_safe = match self.settings.class(session.request.class).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Deduplicated { .. } => {
                self.now + MIN_RETRY_TIME + MAX_ARRIVAL_DELAY < deduplicated_until
            }
            Idempotency::AtMostOnce => session.may_have_run.is_empty(),
        };
        let has_time = session.set_up_by - self.now > MIN_RETRY_TIME;
        let max_attempts = self.settings.capabilities.max_attempts as usize;
        let has_attempts_left = session.attempted.len() < max_attempts;
        is_safe && has_time && has_attempts_left && self.retry_budget_left()
    }

    /// Returns whether one further retry stays within the retry budget.
    fn retry_budget_left(&self) -> bool {
        let Some(budget) = self.settings.retry_budget else { return true };
        let requests = self.recent_requests.count_younger(self.now, budget.window) as f64;
        let retries = self.recent_retries.count_within(self.now, budget.window) as f64;
        let max_retries = budget.min_retries + budget.retry_ratio * requests;
        retries + 1.0 <= max_retries
    }
}
