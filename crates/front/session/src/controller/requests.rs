//! Client requests: to set a session up, to end it and to locate it.

use beechloft::api::{Class, EndpointState, Event, Request, Rung, SessionId};

use super::SessionController;
use crate::catalog::Title;
use crate::holder_filter::FilteredTitle;
use crate::io::{Answer, EndReason, Output, RequestId, Secret, SessionRequest};
use crate::session::{PendingAnswer, Playing, Session, SessionState};

/// Maximum number of sessions in the table. Requests beyond it are rejected.
const MAX_SESSIONS: usize = 1 << 20;

impl SessionController {
    pub(super) fn request(&mut self, request: SessionRequest, out: &mut Vec<Output>) {
        if let Some(answer) = self.answer_to_repeat(&request) {
            return out.push(Output::Reply(request.request, answer));
        }
        if !self.accepts(&request) {
            let retry_after = self.settings.capabilities.max_retry_after;
            return out.push(Output::Reply(request.request, Answer::Rejected(retry_after)));
        }
        let Some(title) = self.catalog.title(&request.title).cloned() else {
            return out.push(Output::Reply(request.request, Answer::UnknownTitle));
        };
        let Some(class) = self.settings.classes.get(usize::from(title.class.0)) else {
            return out.push(Output::Reply(request.request, Answer::Failed));
        };

        let policy_request = Request {
            session: request.session,
            class: title.class,
            title: title.id,
            max_rung: self.top_rung(class, request.max_rate_kb),
            deadline: self.now + class.deadline,
            expected_duration: title.length,
            tenant: title.tenant,
            ..Request::default()
        };
        self.start_session(&request, &title, policy_request, out);
    }

    /// Returns the answer to a repeated offer, or `None` if the offer is new.
    fn answer_to_repeat(&self, request: &SessionRequest) -> Option<Answer> {
        let first = *self.by_idempotency_key.get(&request.idempotency_key?)?;
        let session = self.sessions.get(&first)?;
        let SessionState::Playing(Playing { server, reply: Some(reply), .. }) = &session.state else {
            return Some(Answer::InProgress);
        };
        let (secret, server, reply) = (session.secret, *server, reply.clone());
        Some(Answer::Playing { session: first, secret, server, reply })
    }

    /// Returns whether the controller accepts a new session.
    fn accepts(&self, request: &SessionRequest) -> bool {
        let is_full = self.sessions.len() >= MAX_SESSIONS;
        let is_taken = self.sessions.contains_key(&request.session);
        !self.shutting_down && !is_full && !is_taken && self.catalog.is_known()
    }

    /// Adds a session to the table and passes its request to the policy.
    fn start_session(
        &mut self,
        request: &SessionRequest,
        title: &Title,
        policy_request: Request,
        out: &mut Vec<Output>,
    ) {
        let holders = self.catalog.holders(title, request.protocol);
        let ready = |id| self.catalog.server(id).is_some_and(|entry| entry.state == EndpointState::Ready);
        let filtered = FilteredTitle { name: &request.title, id: title.id };
        let offered = self.holder_filters.offered(filtered, request.session, holders, ready);
        out.extend(offered.warning.map(Output::Log));
        let session = Session {
            secret: request.secret,
            protocol: request.protocol,
            state: SessionState::AwaitingAnswer(PendingAnswer::new(request.request), None),
            class: title.class,
            rung: Rung::default(),
            attempts_made: 0,
            idempotency_key: request.idempotency_key,
            title: self.catalog.shared_name(&request.title),
        };
        self.sessions.insert(request.session, session);
        self.by_idempotency_key.extend(request.idempotency_key.map(|key| (key, request.session)));
        self.events
            .push_back(Event::Request(Request { eligible_servers: Some(offered.holders), ..policy_request }));
    }

    /// Returns the highest rung whose rate a client can use, or the lowest rung if it can use none.
    pub(super) fn top_rung(&self, class: &Class, max_rate_kb: Option<f64>) -> Rung {
        let Some(max) = max_rate_kb else { return Rung(u8::MAX) };
        let rates = &self.settings.ladder.rates_kb;
        let usable = rates.iter().take_while(|rate| class.rate_scale * **rate <= max).count();
        Rung(u8::try_from(usable.saturating_sub(1)).unwrap_or(u8::MAX))
    }

    pub(super) fn client_disconnected(&mut self, id: SessionId, out: &mut Vec<Output>) {
        match self.sessions.get(&id).map(|session| &session.state) {
            Some(SessionState::AwaitingAnswer(..)) => {
                if let Some(pending) = self.take_pending_answer(id) {
                    pending.discard();
                }
                self.events.push_back(Event::Withdrawn(id));
            }
            // The answer was sent while the client disconnected.
            Some(SessionState::Playing(_)) => self.end_and_release(id, EndReason::AnswerUndelivered, out),
            Some(SessionState::Ending(_)) | None => {}
        }
    }

    pub(super) fn delete(
        &mut self,
        request: RequestId,
        id: SessionId,
        secret: Secret,
        out: &mut Vec<Output>,
    ) {
        match self.state_for(id, secret) {
            Some(SessionState::Playing(_)) => {
                self.end_and_release(id, EndReason::Deleted, out);
                out.push(Output::Reply(request, Answer::Deleted));
            }
            Some(SessionState::AwaitingAnswer(..)) => {
                out.push(Output::Reply(request, Answer::InProgress));
            }
            Some(SessionState::Ending(_)) | None => {
                out.push(Output::Reply(request, Answer::UnknownSession));
            }
        }
    }

    /// Returns where a session plays, for a client that knows its secret.
    pub fn locate(&self, id: SessionId, secret: Secret) -> Answer {
        match self.state_for(id, secret) {
            Some(SessionState::Playing(playing)) => {
                Answer::Located { server: playing.server, resource: playing.resource.clone() }
            }
            Some(SessionState::AwaitingAnswer(..)) => Answer::InProgress,
            Some(SessionState::Ending(_)) | None => Answer::UnknownSession,
        }
    }

    fn state_for(&self, id: SessionId, secret: Secret) -> Option<&SessionState> {
        let session = self.sessions.get(&id).filter(|session| session.secret == secret);
        session.map(|session| &session.state)
    }
}
