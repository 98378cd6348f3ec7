//! Attempts at media servers, from the set-up to the result.

use std::sync::Arc;

use beechloft::api::{self as api, ClassId, Event, LoadReport, Micros, Outcome, Rung, ServerId, SessionId};

use super::SessionController;
use crate::io::{Answer, AttemptId, AttemptResult, MediaServerReply, Output};
use crate::session::{Attempt, GRACE, OVERDUE_MARGIN, Playing, REPLY_RETENTION, SessionState};

/// An attempt that ended, as reported to the policy.
struct EndedAttempt {
    id: AttemptId,
    server: ServerId,
    elapsed: Micros,
    load: LoadReport,
}

impl SessionController {
    pub(super) fn attempt_ended(
        &mut self,
        id: AttemptId,
        server: ServerId,
        result: AttemptResult,
        elapsed: Micros,
        load: LoadReport,
        out: &mut Vec<Output>,
    ) {
        let session = self.sessions.get(&id.session);
        let Some(session) = session.filter(|session| session.is_in_flight(id)) else {
            return self.unexpected_result(id, server, result);
        };
        let client_waits = matches!(session.state, SessionState::AwaitingAnswer(..));
        let ended = EndedAttempt { id, server, elapsed, load };
        match result {
            AttemptResult::Accepted { resource, reply } if client_waits => {
                self.start_playing(&ended, resource, reply, out);
            }
            // The client has disconnected or was already answered, so the new session is released.
            AttemptResult::Accepted { resource, .. } => {
                self.releases.add(self.now, server, resource);
                self.attempt_failed(&ended, Outcome::Cancelled);
            }
            AttemptResult::Unusable { resource, outcome } => {
                self.releases.add(self.now, server, resource);
                self.attempt_failed(&ended, outcome);
            }
            AttemptResult::Declined(status) => {
                if let Some(pending) = self.take_pending_answer(id.session) {
                    out.push(pending.answer(Answer::Declined(status)));
                    self.events.push_back(Event::Withdrawn(id.session));
                }
                self.attempt_failed(&ended, Outcome::Cancelled);
            }
            AttemptResult::Ended(outcome) => self.attempt_failed(&ended, outcome),
        }
    }

    fn start_playing(
        &mut self,
        attempt: &EndedAttempt,
        resource: String,
        reply: Arc<MediaServerReply>,
        out: &mut Vec<Output>,
    ) {
        let &EndedAttempt { id, server, elapsed, load } = attempt;
        let Some(session) = self.sessions.get_mut(&id.session) else { return };
        let playing = Playing {
            server,
            resource: resource.clone(),
            layers: reply.layers.as_deref().map(Into::into),
            attempt_number: id.number,
            started_at: self.now,
            reply: session.idempotency_key.is_some().then(|| reply.clone()),
        };
        let secret = session.secret;
        session.title = None;
        let before = std::mem::replace(&mut session.state, SessionState::Playing(playing));
        self.forget_overdue(id.session, &before);
        if let SessionState::AwaitingAnswer(pending, _) = before {
            out.push(pending.answer(Answer::Playing { session: id.session, secret, server, reply }));
        }
        self.retained_replies.push_back((self.now + REPLY_RETENTION, id.session));
        self.playing.entry(server).or_default().insert(resource, id.session);
        let number = api::Attempt(id.number);
        self.events.push_back(Event::Started { session: id.session, attempt: number, server, elapsed });
        self.events.push_back(Event::HealthChecked { server, outcome: Outcome::Ok, report: load });
    }

    /// Handles a result of an attempt that is not in flight: a duplicate, or the result of a session that was dropped. A
    /// session without an owner must not stay at the media server, so it is released.
    fn unexpected_result(&mut self, id: AttemptId, server: ServerId, result: AttemptResult) {
        let (AttemptResult::Accepted { resource, .. } | AttemptResult::Unusable { resource, .. }) = result
        else {
            return;
        };
        let owner = self.playing.get(&server).and_then(|playing| playing.get(&resource));
        if owner != Some(&id.session) {
            self.releases.add(self.now, server, resource);
        }
    }

    /// Reports to the policy that an attempt ended without a session.
    fn attempt_failed(&mut self, attempt: &EndedAttempt, outcome: Outcome) {
        let &EndedAttempt { id, server, elapsed, load } = attempt;
        let Some(session) = self.sessions.get_mut(&id.session) else { return };
        let closed = if let SessionState::AwaitingAnswer(_, in_flight) = &mut session.state {
            if let Some(in_flight) = in_flight.take() {
                self.overdue.remove(&(overdue_at(in_flight.deadline), id.session));
            }
            false
        } else {
            self.forget(id.session);
            true
        };
        self.events.push_back(Event::AttemptEnded {
            session: id.session,
            attempt: api::Attempt(id.number),
            server,
            outcome,
            is_final: closed,
            elapsed,
            report: load,
        });
    }

    /// Returns the rate of a rung in a class, kB per second.
    pub(super) fn rate_kb(&self, class: ClassId, rung: Rung) -> f64 {
        let scale = self.settings.classes.get(usize::from(class.0)).map_or(1.0, |class| class.rate_scale);
        scale * self.settings.ladder.rates_kb.get(usize::from(rung.0)).copied().unwrap_or(0.0)
    }

    pub(super) fn set_up(
        &mut self,
        id: SessionId,
        server: ServerId,
        deadline: Micros,
        out: &mut Vec<Output>,
    ) {
        let entry = self.catalog.server(server);
        let Some((class, rung)) = self.sessions.get(&id).map(|session| (session.class, session.rung)) else {
            return;
        };
        let rate_kb = self.rate_kb(class, rung);
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let number = session.attempts_made;
        session.attempts_made += 1;
        let attempt = AttemptId { session: id, number };
        let address = entry.and_then(|entry| entry.address(session.protocol)).cloned();
        // Guards against an attempt that was chosen before the title was restricted.
        let is_allowed = session.title.as_ref().is_none_or(|title| self.holder_filters.allows(title, server));
        let address = address.filter(|_| is_allowed);
        match (&mut session.state, address) {
            (SessionState::AwaitingAnswer(pending, in_flight @ None), Some(url)) => {
                *in_flight = Some(Attempt { id: attempt, server, deadline });
                let request = pending.request();
                self.overdue.insert((overdue_at(deadline), id));
                out.push(Output::SetUp { attempt, request, server, url, rung, rate_kb, deadline });
            }
            // The media server's address is unknown, or the title is no longer allowed there: the attempt is not sent.
            (state, _) => {
                let closed = !matches!(state, SessionState::AwaitingAnswer(..));
                self.events.push_back(Event::AttemptEnded {
                    session: id,
                    attempt: api::Attempt(number),
                    server,
                    outcome: Outcome::NotSent,
                    is_final: closed,
                    elapsed: Micros(0),
                    report: LoadReport::default(),
                });
            }
        }
    }
}

/// Returns when the client of an attempt with this deadline is answered even if the attempt's end is not reported.
pub(super) fn overdue_at(deadline: Micros) -> Micros {
    deadline + GRACE + OVERDUE_MARGIN
}
