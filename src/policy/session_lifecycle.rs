//! Session lifecycle: decides what each event of a session leads to, and which final answer a request gets.

use super::Policy;
use crate::api::{Action, Attempt, DedupScope, Idempotency, Micros, Outcome, Request, ServerId, SessionId};
use crate::state::{Change, Dispatch, Phase, Session};

/// Number of set-ups at ejected servers that each request allows. Servers come back within seconds even so.
const PROBATION_CREDIT_PER_REQUEST: f64 = 0.25;

/// Fraction of the result that may be spent on health checks. Without a limit their price can cost half of
/// the result.
const HEALTH_CHECK_SPENDING: f64 = 0.01;

/// Smallest price of a health check that is divided by, as a fraction of the result.
const MIN_HEALTH_CHECK_PRICE: f64 = 1e-9;

impl Policy {
    /// Handles a new session request.
    pub(super) fn handle_request(&mut self, request: Request) {
        self.recent_requests.record(self.now, self.settings.retry_window());
        self.probation_credit = (self.probation_credit + PROBATION_CREDIT_PER_REQUEST).min(1.0);
        let health_check_price = self.settings.health_check_price.max(MIN_HEALTH_CHECK_PRICE);
        self.health_check_credit += (HEALTH_CHECK_SPENDING / health_check_price).min(1.0);
        let id = request.session;
        let Some(class) = self.settings.classes.get(usize::from(request.class.0)) else {
            self.actions.push(Action::Fail(id));
            return;
        };
        let set_up_by = (self.now + class.latency_objective).min(request.deadline);
        self.sessions.insert(id, Session { request, set_up_by, ..Session::default() });
        self.place(id);
    }

    /// Adopts a session that plays already, at the lowest rung of its class until feedback reports its rung.
    ///
    /// An adopted session shows that the servers were running before this front, so that none counts as
    /// possibly cold.
    pub(super) fn adopt_session(&mut self, request: Request, server: ServerId) {
        for known in self.servers.values_mut() {
            known.suspect_until = Micros(0);
        }
        let Some(class) = self.settings.classes.get(usize::from(request.class.0)) else { return };
        let id = request.session;
        let session = Session {
            phase: Phase::Playing,
            server: Some(server),
            rung: class.min_rung,
            request,
            ..Session::default()
        };
        self.sessions.insert(id, session);
        self.account(id, Change::Add);
        self.assumed_is_stale = true;
    }

    /// Handles a completed set-up: the viewer watches.
    pub(super) fn handle_started(&mut self, id: SessionId, server: ServerId) {
        self.record_success(server);
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if session.server == Some(server) && session.phase == Phase::AnswerPending {
            session.phase = Phase::Playing;
            session.rung_changed_at = self.now;
            // A session that plays was not itself the cause of earlier errors, so they count against their
            // servers.
            let errors = std::mem::take(&mut session.errors);
            self.record_attempt_return(server);
            for error in errors {
                self.record_failure(error.server, error.sent_at, Outcome::Error);
            }
        }
    }

    /// Handles the end of an attempt, and retries the session elsewhere if it still needs an answer.
    pub(super) fn handle_attempt_ended(
        &mut self,
        id: SessionId,
        server: ServerId,
        outcome: Outcome,
        is_final: bool,
    ) {
        let known = self.sessions.get(&id);
        let last_sent = known.and_then(|session| session.may_have_run.last());
        let sent_at = last_sent.map_or(self.now, |sent| sent.sent_at);
        let is_setting_up = known.is_some_and(|session| !session.is_playing());
        match outcome {
            Outcome::Ok => self.record_success(server),
            Outcome::Cancelled | Outcome::NotSent => {}
            // The fate of the session shows later whether this error was the server's fault.
            Outcome::Error if is_setting_up => {}
            failure => self.record_failure(server, sent_at, failure),
        }
        self.account(id, Change::Remove);
        let Some(mut session) = self.sessions.remove(&id) else { return };
        session.server = None;
        if outcome.never_ran() {
            session.may_have_run.pop();
        }
        if !session.is_playing() {
            self.record_attempt_return(server);
            if outcome == Outcome::Error {
                session.errors.push(Dispatch { server, sent_at });
            }
        }
        let needs_answer = !is_final && session.phase == Phase::AnswerPending;
        if needs_answer {
            self.sessions.insert(id, session);
            self.place(id);
        } else {
            self.attribute_errors(&session);
        }
    }

    /// Handles a viewer that left before the answer: an attempt in flight is cancelled where that is
    /// possible.
    pub(super) fn handle_withdrawn(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if session.phase != Phase::AnswerPending {
            return;
        }
        session.phase = Phase::Answered;
        if session.server.is_none() {
            if let Some(removed) = self.sessions.remove(&id) {
                self.attribute_errors(&removed);
            }
        } else if self.settings.capabilities.cancel {
            let attempt = Attempt::last_of(session.attempted.len());
            self.actions.push(Action::CancelAttempt { session: id, attempt });
        }
    }

    /// Ends a session with a final answer: a rejection if the viewer may safely repeat the request, or else a
    /// failure.
    pub(super) fn give_up(&mut self, id: SessionId) {
        let Some(session) = self.sessions.remove(&id) else { return };
        self.attribute_errors(&session);
        let is_repeatable = match self.settings.class(session.request.class).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Deduplicated { scope, .. } => scope == DedupScope::All,
            Idempotency::AtMostOnce => false,
        };
        let answer = if is_repeatable || session.may_have_run.is_empty() {
            let retry_after = self.settings.capabilities.max_retry_after;
            Action::Reject { session: id, retry_after }
        } else {
            Action::Fail(id)
        };
        self.actions.push(answer);
    }
}
