//! What a front tells of its attempts to whoever keeps evidence of boxes, and how that narrows what its module is offered.
//!
//! The engine passes everything that goes into the core and comes out of it by here. Only what shows something of a box is told:
//! an attempt that was dropped as its viewer left, was turned away unseen, or never ran shows nothing. An error may be the request's own:
//! it is told once the same session plays elsewhere, or is over with that one error (as the module counts, `docs/design.md`, Health).

use std::collections::BTreeMap;

use beechloft_session::api::{Micros, Outcome, ServerId, SessionId};
use beechloft_session::catalog::Catalog;
use beechloft_session::holder_filter::HolderFilter;
use beechloft_session::io::{Answer, AttemptId, AttemptResult, Input, MediaServerEvent, Output, RequestId};

/// Sessions that are followed at once, at most; others are not told of.
const MOST: usize = 1 << 16;
/// A time-out is one if the attempt had its time but for this much.
const SHORT: Micros = Micros(5_000);

/// How an attempt ended, as far as it shows something of a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Showed {
    /// The box took it, after so long.
    Taken(Micros),
    /// It answered with an error, or there was no connection.
    Error,
    /// No answer in time.
    Hang,
    /// It found fault with the request.
    Declined,
}

/// An attempt that is over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tried {
    /// At which box.
    pub server: ServerId,
    /// The title, as it was asked for.
    pub title: String,
    /// When it went out.
    pub sent: Micros,
    /// How it ended.
    pub showed: Showed,
}

/// Keeps evidence. It is called on the core's thread and must not wait.
pub trait Observer: Send {
    /// The list changed.
    fn list(&mut self, catalog: &Catalog);
    /// A box's process names its run.
    fn life(&mut self, server: ServerId, boot: u64);
    /// An attempt is over.
    fn tried(&mut self, tried: Tried, now: Micros);
    /// What narrows from now on, if that changed.
    fn narrowed(&mut self) -> Option<HolderFilter>;
}

#[derive(Debug)]
struct Open {
    request: RequestId,
    title: String,
    until: Micros,
    /// Errors that may be the request's own.
    errors: Vec<Tried>,
}

/// The observer and the sessions that wait.
pub(crate) struct Observing {
    observer: Box<dyn Observer>,
    open: BTreeMap<SessionId, Open>,
    asked: BTreeMap<RequestId, SessionId>,
}

impl Observing {
    pub(crate) fn new(observer: Box<dyn Observer>) -> Observing {
        Observing { observer, open: BTreeMap::new(), asked: BTreeMap::new() }
    }

    pub(crate) fn narrowed(&mut self) -> Option<HolderFilter> {
        self.observer.narrowed()
    }

    pub(crate) fn input(&mut self, now: Micros, input: &Input) {
        match input {
            Input::Request(ask) if self.open.len() < MOST && !self.open.contains_key(&ask.session) => {
                let (request, title) = (ask.request, ask.title.clone());
                self.asked.insert(request, ask.session);
                self.open.insert(ask.session, Open { request, title, until: Micros(0), errors: Vec::new() });
            }
            Input::MediaServer(server, MediaServerEvent::Connected { boot }) => {
                self.observer.life(*server, *boot)
            }
            Input::AttemptEnded { attempt, server, result: verdict, sent_at: sent, .. } => {
                self.verdict(now, *attempt, *server, verdict, *sent);
            }
            Input::ClientDisconnected(session) => {
                if let Some(open) = self.open.remove(session) {
                    self.asked.remove(&open.request);
                }
            }
            _ => {}
        }
    }

    fn verdict(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        server: ServerId,
        verdict: &AttemptResult,
        sent: Micros,
    ) {
        let Some(open) = self.open.get_mut(&attempt.session) else { return };
        let of = |outcome| match outcome {
            Outcome::Error => Some(Showed::Error),
            // One that was dropped as its viewer left counts as a time-out for the module, too.
            Outcome::Timeout => (now + SHORT >= open.until).then_some(Showed::Hang),
            Outcome::ConnectFailed | Outcome::Reset => Some(Showed::Error),
            Outcome::Ok | Outcome::Overloaded | Outcome::Cancelled | Outcome::NotSent => None,
        };
        let showed = match verdict {
            AttemptResult::Accepted { .. } => Some(Showed::Taken(now - sent)),
            AttemptResult::Declined(_) => Some(Showed::Declined),
            AttemptResult::Unusable { outcome, .. } | AttemptResult::Ended(outcome) => of(*outcome),
        };
        let Some(showed) = showed else { return };
        let tried = Tried { server, title: open.title.clone(), sent, showed };
        if matches!(verdict, AttemptResult::Ended(Outcome::Error)) {
            open.errors.push(tried);
        } else {
            self.observer.tried(tried, now);
        }
    }

    pub(crate) fn output(&mut self, now: Micros, output: &Output) {
        match output {
            Output::SetUp { attempt, deadline: until, .. } => {
                if let Some(open) = self.open.get_mut(&attempt.session) {
                    open.until = *until;
                }
            }
            Output::Reply(request, answer) => {
                let session = self.asked.remove(request);
                let Some(open) = session.and_then(|s| self.open.remove(&s)) else { return };
                if matches!(answer, Answer::Playing { .. }) || open.errors.len() == 1 {
                    open.errors.into_iter().for_each(|tried| self.observer.tried(tried, now));
                }
            }
            _ => {}
        }
    }

    pub(crate) fn listed(&mut self, catalog: &Catalog) {
        self.observer.list(catalog);
    }
}
