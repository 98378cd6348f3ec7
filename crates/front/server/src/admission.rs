//! Admission by the quotas of the whole fleet, before a session is requested and before an attempt goes to a media server.
//! The session controller and the policy know nothing of quotas.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;

use beechloft_config::Service;
use beechloft_http::client::CallError;
use beechloft_quotas::{AdmissionController, FrontId, Key, Permit, Refusal, Stage, Subject, tag};
use beechloft_session::SessionController;
use beechloft_session::api::{LoadReport, Micros, Outcome, ServerId, SessionId};
use beechloft_session::catalog::Title;
use beechloft_session::io::{Answer, AttemptId, AttemptResult, Input, Output, SessionRequest};
use beechloft_whep::media_server;
use tracing::{debug, info};

use crate::Shared;

/// What a session holds.
struct SessionPermits {
    subject: Subject,
    session: Permit,
    /// Of attempts, by their number; the one that plays, and those that may have left something at a media server.
    attempts: BTreeMap<u16, Permit>,
    /// Where it was set up: it is over once nothing is to be ended there any more.
    resources: Vec<(ServerId, String)>,
}

/// What becomes of a set-up that is not admitted.
pub(crate) enum Denied {
    /// A quota of that media server is exhausted; the attempt counts as one that never ran.
    AtServer(Box<Input>),
    /// No further attempt may be made: the client is answered.
    Entirely(Box<(Refusal, [Input; 2])>),
}

/// The quotas at a front.
pub(crate) struct Admission {
    gate: AdmissionController,
    incarnation: FrontId,
    service: Service,
    permits: BTreeMap<SessionId, SessionPermits>,
    /// Requested and not playing yet.
    waiting: BTreeSet<SessionId>,
    /// Over, but perhaps still to be ended at a media server.
    ending: BTreeSet<SessionId>,
}

impl Admission {
    pub(crate) fn new(gate: AdmissionController, service: Service) -> Admission {
        let incarnation = gate.front().id();
        let (permits, waiting, ending) = Default::default();
        Admission { gate, incarnation, service, permits, waiting, ending }
    }

    /// Whether a session may be requested.
    pub(crate) fn admit_session(
        &mut self,
        controller: &SessionController,
        request: &SessionRequest,
        client: Option<Key>,
    ) -> Result<(), Refusal> {
        // What is answered without a session is not counted; an offer sent again is counted once.
        let title = controller.catalog().title(&request.title);
        let Some(title) = title.filter(|_| !controller.is_repeat(request)) else { return Ok(()) };
        let subject = self.subject(controller, request, title, client);
        let admitted = self.gate.admit(&subject, Stage::Session);
        let session = admitted.inspect_err(|no| log_denied(request.session, no))?;
        let permits = SessionPermits { subject, session, attempts: BTreeMap::new(), resources: Vec::new() };
        self.permits.insert(request.session, permits);
        self.waiting.insert(request.session);
        Ok(())
    }

    fn subject(
        &self,
        controller: &SessionController,
        request: &SessionRequest,
        title: &Title,
        client: Option<Key>,
    ) -> Subject {
        let key_of = |names: &[String], index: u16| {
            Key::of(names.get(usize::from(index)).map_or("", |name| name.as_str()))
        };
        let kbits = (controller.top_rate_kb(title.class, request.max_rate_kb) * 8.0).ceil();
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates at both ends")]
        let kbits = kbits as u64;
        Subject {
            customer: key_of(&self.service.tenants, title.tenant.0),
            title: Key::of(&request.title),
            class: key_of(&self.service.classes, title.class.0),
            viewer: client,
            kbits,
            uplink: None,
            server: None,
        }
    }

    /// Whether an attempt may go to its media server; what the media server keeps with the session.
    pub(crate) fn admit_attempt(
        &mut self,
        controller: &SessionController,
        now: Micros,
        attempt: AttemptId,
        server: ServerId,
    ) -> Result<Option<String>, Denied> {
        let Some(permits) = self.permits.get_mut(&attempt.session) else { return Ok(None) };
        let entry = controller.catalog().server(server);
        let subject = Subject {
            uplink: entry.map(|entry| Key::of(&entry.rack.to_string())),
            server: entry.map(|entry| Key::of(&entry.name)),
            ..permits.subject.clone()
        };
        match self.gate.admit(&subject, Stage::Attempt(attempt.number)) {
            Ok(permit) => {
                let mut claims = permits.session.claims();
                claims.extend(permit.claims());
                permits.attempts.insert(attempt.number, permit);
                Ok(tag::encode(self.incarnation, &claims))
            }
            Err(no) => {
                log_denied(attempt.session, &no);
                Err(self.denied(no, now, attempt, server))
            }
        }
    }

    fn denied(&self, no: Refusal, now: Micros, attempt: AttemptId, server: ServerId) -> Denied {
        let never_ran = Input::AttemptEnded {
            attempt,
            server,
            result: AttemptResult::Ended(Outcome::NotSent),
            sent_at: now,
            load: LoadReport::default(),
        };
        let front = self.gate.front();
        let is_of_server =
            front.definitions().any(|quota| quota.name == no.limit && quota.scope.needs_media_server());
        if is_of_server {
            return Denied::AtServer(Box::new(never_ran));
        }
        Denied::Entirely(Box::new((no, [Input::ClientDisconnected(attempt.session), never_ran])))
    }

    /// Notes what an input says of a session's attempts.
    pub(crate) fn observe_input(&mut self, input: &Input) {
        let Input::AttemptEnded { attempt, server, result, .. } = input else { return };
        let Some(permits) = self.permits.get_mut(&attempt.session) else { return };
        match result {
            AttemptResult::Accepted { resource, .. } | AttemptResult::Unusable { resource, .. } => {
                permits.resources.push((*server, resource.clone()));
            }
            AttemptResult::Declined(_) | AttemptResult::Ended(_) => {
                permits.attempts.remove(&attempt.number);
            }
        }
    }

    /// Notes what an output says of sessions.
    pub(crate) fn observe_output(&mut self, output: &Output) {
        match output {
            Output::Reply(_, Answer::Playing { session, .. }) => {
                self.waiting.remove(session);
            }
            Output::SessionEnded(session, _) if self.permits.contains_key(session) => {
                self.ending.insert(*session);
            }
            _ => {}
        }
    }

    /// Releases the permits of sessions that are over, at their media servers too. What one may still play counts.
    pub(crate) fn release_finished(&mut self, controller: &SessionController) {
        let gone: Vec<SessionId> = self.waiting.iter().filter(|id| !controller.has(**id)).copied().collect();
        for id in gone {
            self.waiting.remove(&id);
            self.ending.insert(id);
        }
        let permits = &mut self.permits;
        self.ending.retain(|id| {
            let is_releasing =
                |(server, resource): &(ServerId, String)| controller.is_releasing(*server, resource);
            let still_held =
                permits.get(id).is_some_and(|permits| permits.resources.iter().any(is_releasing));
            if !still_held {
                permits.remove(id);
            }
            still_held
        });
    }

    /// This front ends; the permits of what plays are not released, as media servers still play it.
    pub(crate) fn leave(&mut self) {
        for permits in std::mem::take(&mut self.permits).into_values() {
            permits.session.detach();
            permits.attempts.into_values().for_each(Permit::detach);
        }
    }
}

fn log_denied(session: SessionId, no: &Refusal) {
    let session = format_args!("{:016x}", session.0);
    let retry_after_ms = u64::try_from(no.retry_after.as_millis()).unwrap_or(u64::MAX);
    info!(
        target: "core", session, limit = %no.limit, key = %no.key, why = ?no.reason, retry_after_ms, "not admitted"
    );
    debug!(target: "core", "{no}");
}

/// When a rejected client is to retry, as the session controller says it.
pub(crate) fn retry_after(no: &Refusal) -> Micros {
    Micros(u64::try_from(no.retry_after.as_micros()).unwrap_or(u64::MAX))
}

/// Reads the tags of a media server's sessions. One that is not there any more plays nothing.
pub(crate) fn tags(shared: &Shared, address: SocketAddr) -> Option<BTreeMap<String, u64>> {
    let until = Instant::now() + shared.settings.call_time;
    match shared.pool.call(address, &media_server::tags(), until) {
        Ok(response) if response.status.is_success() => serde_json::from_slice(&response.body).ok(),
        Err(CallError::Refused) => Some(BTreeMap::new()),
        _ => None,
    }
}
