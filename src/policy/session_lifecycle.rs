//! The life of a session: decides what each event of it means, and the one answer that is owed.

use super::Policy;
use crate::api::{Action, Attempt, DedupScope, Idempotency, Micros, Outcome, Request, ServerId, SessionId};
use crate::state::{Change, Dispatch, Phase, Session};

const PROBATION_SHARE: f64 = 0.25; // of sessions may be risked on ejected servers: they are back in seconds
const HEALTH_CHECK_SPEND: f64 = 0.01; // fraction of the result; 0.006 is no better, no bound cost half of it

impl Policy {
    pub(super) fn request(&mut self, request: Request) {
        self.recent_requests.record(self.now, self.settings.retry_window());
        self.probation_credit = (self.probation_credit + PROBATION_SHARE).min(1.0);
        let price = self.settings.health_check_price.max(1e-9);
        self.health_check_credit += (HEALTH_CHECK_SPEND / price).min(1.0);
        let id = request.session;
        let Some(class) = self.settings.classes.get(usize::from(request.class.0)) else {
            self.actions.push(Action::Fail(id));
            return;
        };
        let set_up_by = (self.now + class.latency_objective).min(request.deadline);
        self.sessions.insert(id, Session { request, set_up_by, ..Session::default() });
        self.place(id);
    }

    pub(super) fn adopt(&mut self, request: Request, server: ServerId) {
        self.servers.values_mut().for_each(|s| s.suspect_until = Micros(0));
        let Some(class) = self.settings.classes.get(usize::from(request.class.0)) else { return };
        let (id, rung) = (request.session, class.min_rung);
        let (phase, server) = (Phase::Playing, Some(server));
        self.sessions.insert(id, Session { phase, server, rung, request, ..Session::default() });
        self.account(id, Change::Add);
        self.assumed_is_stale = true;
    }

    pub(super) fn started(&mut self, id: SessionId, server: ServerId) {
        self.record_success(server);
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if session.server == Some(server) && session.phase == Phase::AnswerOwed {
            (session.phase, session.rung_changed_at) = (Phase::Playing, self.now);
            // What plays here was sound: the errors before were the servers'.
            let errors = std::mem::take(&mut session.errors);
            self.attempt_returned(server);
            errors.iter().for_each(|error| self.record_failure(error.server, error.sent_at, Outcome::Error));
        }
    }

    pub(super) fn attempt_ended(
        &mut self,
        id: SessionId,
        server: ServerId,
        outcome: Outcome,
        is_final: bool,
    ) {
        let known = self.sessions.get(&id);
        let sent_at = known.and_then(|s| s.may_have_run.last()).map_or(self.now, |sent| sent.sent_at);
        match outcome {
            Outcome::Ok => self.record_success(server),
            Outcome::Cancelled | Outcome::NotSent => {}
            // Whose fault it was shows in what becomes of the session.
            Outcome::Error if known.is_some_and(|session| !session.is_playing()) => {}
            failure => self.record_failure(server, sent_at, failure),
        }
        self.account(id, Change::Remove);
        let Some(mut session) = self.sessions.remove(&id) else { return };
        session.server = None;
        if outcome.never_ran() {
            session.may_have_run.pop();
        }
        if !session.is_playing() {
            self.attempt_returned(server);
            if outcome == Outcome::Error {
                session.errors.push(Dispatch { server, sent_at });
            }
        }
        if !is_final && session.phase == Phase::AnswerOwed {
            self.sessions.insert(id, session);
            self.place(id);
        } else {
            self.attribute_errors(&session);
        }
    }

    pub(super) fn withdrawn(&mut self, id: SessionId) {
        let is_owed = |session: &&mut Session| session.phase == Phase::AnswerOwed;
        let Some(session) = self.sessions.get_mut(&id).filter(is_owed) else { return };
        session.phase = Phase::Answered;
        if session.server.is_none() {
            self.sessions.remove(&id).into_iter().for_each(|s| self.attribute_errors(&s));
        } else if self.settings.capabilities.cancel {
            let attempt = Attempt::last_of(session.attempted.len());
            self.actions.push(Action::CancelAttempt { session: id, attempt });
        }
    }

    /// One prompt final answer, the mildest that the class's idempotency allows.
    pub(super) fn give_up(&mut self, id: SessionId) {
        let Some(session) = self.sessions.remove(&id) else { return };
        self.attribute_errors(&session);
        let may_repeat = match self.settings.class(session.request.class).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Deduplicated { scope, .. } => scope == DedupScope::All,
            Idempotency::AtMostOnce => false,
        };
        let is_harmless = may_repeat || session.may_have_run.is_empty();
        let rejection =
            Action::Reject { session: id, retry_after: self.settings.capabilities.max_retry_after };
        self.actions.push(if is_harmless { rejection } else { Action::Fail(id) });
    }
}
