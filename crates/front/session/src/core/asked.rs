//! What clients ask: a session, its end, and where it is.

use beechloft::api::*;

use super::Core;
use crate::io::*;
use crate::session::{Owed, Playing, Session, Stage};

/// Sessions in the table at most; past that a request is turned away unseen.
const MAX_SESSIONS: usize = 1 << 20;

impl Core {
    pub(super) fn ask(&mut self, ask: Ask, out: &mut Vec<Output>) {
        let known = ask.repeat.and_then(|key| self.sessions.get(self.repeats.get(&key)?));
        if let Some(session) = known {
            let again = match &session.stage {
                Stage::Playing(Playing { server, reply: Some(reply), .. }) => Answer::Playing {
                    session: ask.repeat.and_then(|k| self.repeats.get(&k).copied()).unwrap_or(ask.session),
                    secret: session.secret,
                    server: *server,
                    reply: reply.clone(),
                },
                _ => Answer::Busy,
            };
            return out.push(Output::Reply(ask.request, again));
        }
        let advice = self.set.capabilities.max_retry_after;
        let full =
            self.stopping || self.sessions.len() >= MAX_SESSIONS || self.sessions.contains_key(&ask.session);
        if full || !self.catalog.heard() {
            return out.push(Output::Reply(ask.request, Answer::Refused(advice)));
        }
        let Some(title) = self.catalog.title(&ask.title) else {
            return out.push(Output::Reply(ask.request, Answer::NoTitle));
        };
        let Some(class) = self.set.classes.get(usize::from(title.class.0)) else {
            return out.push(Output::Reply(ask.request, Answer::Failed));
        };
        let gives_up = self.now + class.deadline;
        let holders = self.catalog.holders(title, ask.protocol);
        let ready = |id| self.catalog.server(id).is_some_and(|b| b.state == EndpointState::Ready);
        let (offered, warning) = self.narrowing.offered((&ask.title, title.id), ask.session, holders, ready);
        out.extend(warning.map(Output::Log));
        let request = Request {
            session: ask.session,
            class: title.class,
            title: title.id,
            eligible_servers: Some(offered),
            max_rung: self.top_rung(class, ask.max_rate_kb),
            deadline: gives_up,
            expected_duration: title.length,
            tenant: title.tenant,
            ..Request::default()
        };
        let session = Session {
            secret: ask.secret,
            protocol: ask.protocol,
            stage: Stage::Owed(Owed::new(ask.request), None),
            class: title.class,
            rung: Rung::default(),
            made: 0,
            repeat: ask.repeat,
            title: self.catalog.name(&ask.title),
        };
        self.sessions.insert(ask.session, session);
        self.repeats.extend(ask.repeat.map(|key| (key, ask.session)));
        self.queue.push_back(Event::Request(request));
    }

    /// The highest rung whose rate a client can use; the lowest, if it can't use any.
    pub(super) fn top_rung(&self, class: &Class, max_rate_kb: Option<f64>) -> Rung {
        let Some(max) = max_rate_kb else { return Rung(u8::MAX) };
        let fit = self.set.ladder.rates_kb.iter().take_while(|rate| class.rate_scale * **rate <= max).count();
        Rung(u8::try_from(fit.saturating_sub(1)).unwrap_or(u8::MAX))
    }

    pub(super) fn hung_up(&mut self, id: SessionId, out: &mut Vec<Output>) {
        match self.sessions.get(&id).map(|s| &s.stage) {
            Some(Stage::Owed(..)) => {
                // Nobody is left to answer; the duty ends here.
                if let Some(owed) = self.close(id) {
                    owed.void();
                }
                self.queue.push_back(Event::Withdrawn(id));
            }
            // The answer and the hang-up crossed.
            Some(Stage::Playing(_)) => self.take_back(id, Why::AnswerLost, out),
            Some(Stage::Ending(_)) | None => {}
        }
    }

    pub(super) fn delete(
        &mut self,
        request: RequestId,
        id: SessionId,
        secret: Secret,
        out: &mut Vec<Output>,
    ) {
        match self.sessions.get(&id).filter(|s| s.secret == secret).map(|s| &s.stage) {
            Some(Stage::Playing(_)) => {
                self.take_back(id, Why::Deleted, out);
                out.push(Output::Reply(request, Answer::Deleted));
            }
            Some(Stage::Owed(..)) => out.push(Output::Reply(request, Answer::Busy)),
            Some(Stage::Ending(_)) | None => out.push(Output::Reply(request, Answer::NoSession)),
        }
    }

    /// Where a session is, for whoever knows its secret.
    pub fn find(&self, id: SessionId, secret: Secret) -> Answer {
        match self.sessions.get(&id).filter(|s| s.secret == secret).map(|s| &s.stage) {
            Some(Stage::Playing(p)) => Answer::At { server: p.server, resource: p.resource.clone() },
            Some(Stage::Owed(..)) => Answer::Busy,
            Some(Stage::Ending(_)) | None => Answer::NoSession,
        }
    }
}
