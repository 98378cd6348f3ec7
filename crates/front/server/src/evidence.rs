//! Evidence of media servers from a front's attempts, for outlier detection.
//!
//! The engine passes every input and output of the session controller by here. Only what says something of a media server
//! becomes evidence: an attempt that was dropped as its client left, was rejected unseen, or never ran says nothing. An
//! error may be the request's own fault: it becomes evidence once the same session plays elsewhere, or is over with
//! that one error (as the policy counts, `docs/design.md`, Health).

use std::collections::BTreeMap;

use beechloft_session::api::{Micros, Outcome, ServerId, SessionId};
use beechloft_session::catalog::Catalog;
use beechloft_session::holder_filter::HolderFilter;
use beechloft_session::io::{Answer, AttemptId, AttemptResult, Input, MediaServerEvent, Output, RequestId};

/// Sessions that are followed at once, at most; others give no evidence.
const MAX_FOLLOWED: usize = 1 << 16;
/// An attempt that was dropped this long before its deadline, or later, counts as timed out.
const DEADLINE_TOLERANCE: Micros = Micros(5_000);

/// How an attempt ended, as far as it says something of a media server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The media server accepted it, after this long.
    Accepted(Micros),
    /// It answered with an error, or there was no connection.
    Error,
    /// No answer in time.
    Timeout,
    /// It found fault with the request.
    Declined,
}

/// An attempt that is over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evidence {
    /// The media server it went to.
    pub server: ServerId,
    /// The title, as it was requested.
    pub title: String,
    /// When it was sent.
    pub sent_at: Micros,
    /// How it ended.
    pub verdict: Verdict,
}

/// Takes evidence. It is called on the engine's thread and must not block.
pub trait Observer: Send {
    /// The endpoint list changed.
    fn endpoints_changed(&mut self, catalog: &Catalog);
    /// A media server's event stream is up; `boot` identifies the run of its process.
    fn connected(&mut self, server: ServerId, boot: u64);
    /// An attempt is over.
    fn attempt_ended(&mut self, evidence: Evidence, now: Micros);
    /// The filter on holders from now on, if it changed.
    fn holder_filter(&mut self) -> Option<HolderFilter>;
}

/// A session whose client waits for its answer.
#[derive(Debug)]
struct WaitingSession {
    request: RequestId,
    title: String,
    /// The deadline of its latest attempt.
    deadline: Micros,
    /// Errors that may be the request's own fault.
    errors: Vec<Evidence>,
}

/// The observer and the sessions that it is told of.
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
                if self.waiting.len() < MAX_FOLLOWED && !self.waiting.contains_key(&request.session) =>
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
        let had_its_time = now + DEADLINE_TOLERANCE >= session.deadline;
        let verdict = match result {
            AttemptResult::Accepted { .. } => Some(Verdict::Accepted(now - sent_at)),
            AttemptResult::Declined(_) => Some(Verdict::Declined),
            AttemptResult::Unusable { outcome, .. } | AttemptResult::Ended(outcome) => match outcome {
                Outcome::Error | Outcome::ConnectFailed | Outcome::Reset => Some(Verdict::Error),
                // One that was dropped as its client left counts as a time-out for the policy, too.
                Outcome::Timeout => had_its_time.then_some(Verdict::Timeout),
                Outcome::Ok | Outcome::Overloaded | Outcome::Cancelled | Outcome::NotSent => None,
            },
        };
        let Some(verdict) = verdict else { return };
        let evidence = Evidence { server, title: session.title.clone(), sent_at, verdict };
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
