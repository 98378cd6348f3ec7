//! Evidence about media servers, collected from a front's attempts for outlier detection.
//!
//! The engine passes all inputs and outputs of the session controller to the collector. Attempts that were cancelled
//! because the client disconnected, were rejected by an overloaded media server, or were never sent are not evidence. An
//! error response may be caused by the request itself. It becomes evidence once the same session plays at another media
//! server, or ends with that single error, which is how the policy counts errors too (`docs/design.md`, Health).

use std::collections::BTreeMap;

use beechloft_session::api::{Micros, Outcome, ServerId, SessionId};
use beechloft_session::catalog::Catalog;
use beechloft_session::holder_filter::HolderFilter;
use beechloft_session::io::{Answer, AttemptId, AttemptResult, Input, MediaServerEvent, Output, RequestId};

/// Maximum number of sessions that are tracked at once. Further sessions yield no evidence.
const MAX_TRACKED_SESSIONS: usize = 1 << 16;
/// An attempt that was cancelled at most this long before its deadline counts as timed out.
const DEADLINE_TOLERANCE: Micros = Micros(5_000);

/// The outcome of an attempt, as far as it is evidence about the media server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The media server accepted the session after this time.
    Accepted(Micros),
    /// The media server answered with an error, or the connection failed.
    Error,
    /// The media server did not answer in time.
    Timeout,
    /// The media server rejected the request itself.
    Declined,
}

/// Evidence about a media server from an attempt that ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evidence {
    /// The media server that the attempt was sent to.
    pub server: ServerId,
    /// Name of the requested title.
    pub title: String,
    /// When the attempt was sent.
    pub sent_at: Micros,
    /// The outcome of the attempt.
    pub outcome: AttemptOutcome,
}

/// Receives evidence. Its methods are called on the engine's thread and must not block.
pub trait Observer: Send {
    /// Handles a change of the endpoint list.
    fn endpoints_changed(&mut self, catalog: &Catalog);
    /// Handles a connected event stream of a media server, whose process start is identified by `boot`.
    fn connected(&mut self, server: ServerId, boot: u64);
    /// Handles the evidence from an attempt that ended.
    fn attempt_ended(&mut self, evidence: Evidence, now: Micros);
    /// Returns the new filter on holders, or `None` if it has not changed.
    fn holder_filter(&mut self) -> Option<HolderFilter>;
}

/// A session whose client waits for the answer.
#[derive(Debug)]
struct WaitingSession {
    request: RequestId,
    title: String,
    /// Deadline of the latest attempt.
    deadline: Micros,
    /// Error responses, which may have been caused by the request itself.
    errors: Vec<Evidence>,
}

/// Derives evidence from the inputs and outputs of the session controller and passes it to the observer.
pub(crate) struct EvidenceCollector {
    observer: Box<dyn Observer>,
    waiting: BTreeMap<SessionId, WaitingSession>,
    by_request: BTreeMap<RequestId, SessionId>,
}

impl EvidenceCollector {
    pub(crate) fn new(observer: Box<dyn Observer>) -> EvidenceCollector {
        EvidenceCollector { observer, waiting: BTreeMap::new(), by_request: BTreeMap::new() }
    }

    pub(crate) fn holder_filter(&mut self) -> Option<HolderFilter> {
        self.observer.holder_filter()
    }

    pub(crate) fn input(&mut self, now: Micros, input: &Input) {
        match input {
            Input::Request(request)
                if self.waiting.len() < MAX_TRACKED_SESSIONS
                    && !self.waiting.contains_key(&request.session) =>
            {
                self.by_request.insert(request.request, request.session);
                let session = WaitingSession {
                    request: request.request,
                    title: request.title.clone(),
                    deadline: Micros(0),
                    errors: Vec::new(),
                };
                self.waiting.insert(request.session, session);
            }
            Input::MediaServer(server, MediaServerEvent::Connected { boot }) => {
                self.observer.connected(*server, *boot);
            }
            Input::AttemptEnded { attempt, server, result, sent_at, .. } => {
                self.attempt_ended(now, *attempt, *server, result, *sent_at);
            }
            Input::ClientDisconnected(session) => {
                if let Some(session) = self.waiting.remove(session) {
                    self.by_request.remove(&session.request);
                }
            }
            _ => {}
        }
    }

    fn attempt_ended(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        server: ServerId,
        result: &AttemptResult,
        sent_at: Micros,
    ) {
        let Some(session) = self.waiting.get_mut(&attempt.session) else { return };
        let deadline_reached = now + DEADLINE_TOLERANCE >= session.deadline;
        let outcome = match result {
            AttemptResult::Accepted { .. } => Some(AttemptOutcome::Accepted(now - sent_at)),
            AttemptResult::Declined(_) => Some(AttemptOutcome::Declined),
            AttemptResult::Unusable { outcome, .. } | AttemptResult::Ended(outcome) => match outcome {
                Outcome::Error | Outcome::ConnectFailed | Outcome::Reset => Some(AttemptOutcome::Error),
                // An attempt that was cancelled because its client disconnected has the same outcome for the policy.
                Outcome::Timeout => deadline_reached.then_some(AttemptOutcome::Timeout),
                Outcome::Ok | Outcome::Overloaded | Outcome::Cancelled | Outcome::NotSent => None,
            },
        };
        let Some(outcome) = outcome else { return };
        let evidence = Evidence { server, title: session.title.clone(), sent_at, outcome };
        if matches!(result, AttemptResult::Ended(Outcome::Error)) {
            session.errors.push(evidence);
        } else {
            self.observer.attempt_ended(evidence, now);
        }
    }

    pub(crate) fn output(&mut self, now: Micros, output: &Output) {
        match output {
            Output::SetUp { attempt, deadline, .. } => {
                if let Some(session) = self.waiting.get_mut(&attempt.session) {
                    session.deadline = *deadline;
                }
            }
            Output::Reply(request, answer) => {
                let id = self.by_request.remove(request);
                let Some(session) = id.and_then(|id| self.waiting.remove(&id)) else { return };
                if matches!(answer, Answer::Playing { .. }) || session.errors.len() == 1 {
                    for evidence in session.errors {
                        self.observer.attempt_ended(evidence, now);
                    }
                }
            }
            _ => {}
        }
    }

    pub(crate) fn endpoints_changed(&mut self, catalog: &Catalog) {
        self.observer.endpoints_changed(catalog);
    }
}
