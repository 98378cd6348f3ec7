//! Admission control by the quotas of the fleet.
//!
//! A session is checked before it is requested, and again before each attempt is sent to a media server. The session
//! controller and the policy are not aware of quotas.

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

/// The permits of a session.
struct SessionPermits {
    subject: Subject,
    session: Permit,
    /// Permits by the number of the attempt. Attempts that can't have left a session at a media server have none.
    attempts: BTreeMap<u16, Permit>,
    /// Places where the session was set up. The permits are kept until no release is pending at any of them.
    resources: Vec<(ServerId, String)>,
}

/// The consequence of an attempt that was not admitted.
pub(crate) enum Denied {
    /// A quota of the media server is exhausted. The input reports the attempt as not sent, so that another media server
    /// can be tried.
    AtServer(Box<Input>),
    /// Another quota is exhausted. The client is rejected, and the inputs end the session and its attempt.
    Entirely(Box<(Refusal, [Input; 2])>),
}

/// Admission control at a front.
pub(crate) struct Admission {
    admission_controller: AdmissionController,
    incarnation: FrontId,
    service: Service,
    permits: BTreeMap<SessionId, SessionPermits>,
    /// Sessions that were requested and do not play yet.
    waiting: BTreeSet<SessionId>,
    /// Sessions that ended, but may still have a pending release.
    ending: BTreeSet<SessionId>,
}

impl Admission {
    pub(crate) fn new(admission_controller: AdmissionController, service: Service) -> Admission {
        let incarnation = admission_controller.front().id();
        let (permits, waiting, ending) = Default::default();
        Admission { admission_controller, incarnation, service, permits, waiting, ending }
    }

    /// Checks whether a session may be requested.
    pub(crate) fn admit_session(
        &mut self,
        controller: &SessionController,
        request: &SessionRequest,
        client: Option<Key>,
    ) -> Result<(), Refusal> {
        // Requests for unknown titles are answered without a session, and a repeated offer is already counted.
        let title = controller.catalog().title(&request.title);
        let Some(title) = title.filter(|_| !controller.is_repeat(request)) else { return Ok(()) };
        let subject = self.subject(controller, request, title, client);
        let admitted = self.admission_controller.admit(&subject, Stage::Session);
        let session = admitted.inspect_err(|refusal| log_denied(request.session, refusal))?;
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

    /// Checks whether an attempt may be sent to a media server. Returns the tag for the media server to store with the
    /// session, or `None` if the session does not count against any quota.
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
        match self.admission_controller.admit(&subject, Stage::Attempt(attempt.number)) {
            Ok(permit) => {
                let mut claims = permits.session.claims();
                claims.extend(permit.claims());
                permits.attempts.insert(attempt.number, permit);
                Ok(tag::encode(self.incarnation, &claims))
            }
            Err(refusal) => {
                log_denied(attempt.session, &refusal);
                Err(self.denied(refusal, now, attempt, server))
            }
        }
    }

    fn denied(&self, refusal: Refusal, now: Micros, attempt: AttemptId, server: ServerId) -> Denied {
        let not_sent = Input::AttemptEnded {
            attempt,
            server,
            result: AttemptResult::Ended(Outcome::NotSent),
            sent_at: now,
            load: LoadReport::default(),
        };
        let front = self.admission_controller.front();
        let is_server_quota =
            front.definitions().any(|quota| quota.name == refusal.limit && quota.scope.needs_media_server());
        if is_server_quota {
            return Denied::AtServer(Box::new(not_sent));
        }
        Denied::Entirely(Box::new((refusal, [Input::ClientDisconnected(attempt.session), not_sent])))
    }

    /// Updates the permits of a session whose attempt ended.
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

    /// Updates the state of sessions that started to play or ended.
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

    /// Releases the permits of sessions that have ended and have no pending release. Until then a media server may still
    /// run the session, so it counts against the quotas.
    pub(crate) fn release_finished(&mut self, controller: &SessionController) {
        let ended: Vec<SessionId> = self.waiting.iter().filter(|id| !controller.has(**id)).copied().collect();
        for id in ended {
            self.waiting.remove(&id);
            self.ending.insert(id);
        }
        let permits = &mut self.permits;
        self.ending.retain(|id| {
            let is_releasing =
                |(server, resource): &(ServerId, String)| controller.is_releasing(*server, resource);
            let release_pending =
                permits.get(id).is_some_and(|permits| permits.resources.iter().any(is_releasing));
            if !release_pending {
                permits.remove(id);
            }
            release_pending
        });
    }

    /// Detaches all permits when the front stops. They are not released, as the sessions keep playing.
    pub(crate) fn detach_all(&mut self) {
        for permits in std::mem::take(&mut self.permits).into_values() {
            permits.session.detach();
            permits.attempts.into_values().for_each(Permit::detach);
        }
    }
}

fn log_denied(session: SessionId, refusal: &Refusal) {
    let session = format_args!("{:016x}", session.0);
    let retry_after_ms = u64::try_from(refusal.retry_after.as_millis()).unwrap_or(u64::MAX);
    info!(
        target: "core", session, limit = %refusal.limit, key = %refusal.key, why = ?refusal.reason, retry_after_ms, "not admitted"
    );
    debug!(target: "core", "{refusal}");
}

/// Returns when a rejected client is to retry, in the session controller's unit.
pub(crate) fn retry_after(refusal: &Refusal) -> Micros {
    Micros(u64::try_from(refusal.retry_after.as_micros()).unwrap_or(u64::MAX))
}

/// Reads the tags of a media server's sessions. Returns no tags if the connection is refused, as the media server then
/// runs no sessions, and `None` if the call fails in another way.
pub(crate) fn tags(shared: &Shared, address: SocketAddr) -> Option<BTreeMap<String, u64>> {
    let until = Instant::now() + shared.settings.call_timeout;
    match shared.pool.call(address, &media_server::tags(), until) {
        Ok(response) if response.status.is_success() => serde_json::from_slice(&response.body).ok(),
        Err(CallError::Refused) => Some(BTreeMap::new()),
        _ => None,
    }
}
