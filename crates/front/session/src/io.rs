//! What goes into the core and what comes out of it.

use std::sync::Arc;

use beechloft::api::{Feedback, LoadReport, Micros, Outcome, Rung, ServerId, SessionId, SlotAssignment};

use crate::catalog::ListUpdate;
pub use crate::catalog::Protocol;
use crate::narrow::Narrowed;
use crate::release::Ticket;

/// One call of a client that waits for a reply; named by the shell, never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The part of a session's address that only its viewer knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Secret(pub u64);

/// Names an offer, so that the same one sent again by a proxy is recognised.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RepeatKey(pub u64, pub u64);

/// An attempt to set a session up: the session, and how many it had before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Whose attempt.
    pub session: SessionId,
    /// 0 for the first.
    pub number: u16,
}

/// A client's wish for a session.
#[derive(Debug, Clone, PartialEq)]
pub struct Ask {
    /// Who waits for the answer.
    pub request: RequestId,
    /// The new session's name, drawn by the shell.
    pub session: SessionId,
    /// What its address holds besides.
    pub secret: Secret,
    /// The title, as in the list.
    pub title: String,
    /// What it speaks, and so which of a box's addresses it is set up at.
    pub protocol: Protocol,
    /// The highest rate that the client can use, kB a second; none: any.
    pub max_rate_kb: Option<f64>,
    /// Recognises the same offer sent again.
    pub repeat: Option<RepeatKey>,
}

/// What a box said when it took a session; kept only to answer the same offer again.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct BoxReply {
    /// The answer.
    pub sdp: Vec<u8>,
    /// Version of its ICE session (RFC 9725, section 4.3.1).
    pub etag: Option<String>,
    /// `Link` values that are for the client.
    pub links: Vec<String>,
    /// Path at the box where its layers are chosen (WHEP's layer selection extension).
    pub layers: Option<String>,
}

/// How an attempt ended, as far as the shell can tell.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// The box took the session and made this resource for it.
    Accepted {
        /// Path of the session at the box.
        resource: String,
        /// What it answered.
        reply: Arc<BoxReply>,
    },
    /// The box took it, but nothing of it can be used: it came after the drop, or makes no sense.
    Undone {
        /// Path of the session at the box.
        resource: String,
        /// What the attempt counts as.
        outcome: Outcome,
    },
    /// The box found fault with the client's request itself, and said so with this HTTP status. It says nothing
    /// about the box, so that no client can talk a front out of its boxes.
    Declined(u16),
    /// It ended without a session.
    Ended(Outcome),
}

/// What is heard of a box on its event stream.
#[derive(Debug, Clone, PartialEq)]
pub enum BoxNews {
    /// The stream is up; `boot` names this run of the box's process.
    Hello {
        /// Changes with each start.
        boot: u64,
    },
    /// The stream broke or fell silent.
    Broken,
    /// Nobody listens at its address: the process is not there.
    Refused,
    /// A figure about what plays there.
    Note(Feedback),
    /// A session is over at the box.
    Over {
        /// Its path there.
        resource: String,
    },
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// News of the list.
    List(ListUpdate),
    /// A client asks for a session; it is owed one answer.
    Ask(Ask),
    /// An attempt is over for certain: answered, or closed at both ends, or out of its grace.
    Verdict {
        /// Which.
        attempt: AttemptId,
        /// The box it went to.
        server: ServerId,
        /// How.
        verdict: Verdict,
        /// When it went out.
        sent: Micros,
        /// The load that the box reported with its answer.
        load: LoadReport,
    },
    /// The client hung up before its answer.
    HungUp(SessionId),
    /// The answer that it plays could not be written to the client.
    AnswerLost(SessionId),
    /// A client ends its session.
    Delete {
        /// Who waits for the reply.
        request: RequestId,
        /// Which session.
        session: SessionId,
        /// The secret in the address.
        secret: Secret,
    },
    /// A client asks something of its session at the box.
    Find {
        /// Who waits for the reply.
        request: RequestId,
        /// Which session.
        session: SessionId,
        /// The secret in the address.
        secret: Secret,
    },
    /// News of a box.
    Box(ServerId, BoxNews),
    /// The result of a probe.
    Probed {
        /// Which box.
        server: ServerId,
        /// How it went.
        outcome: Outcome,
        /// Its load.
        load: LoadReport,
    },
    /// How an [`Output::Release`] went: whether the session is known to be gone from the box.
    Released(Ticket, bool),
    /// Other boxes are to be offered to the module from now on.
    Narrowed(Narrowed),
    /// This front's number among the fronts changed.
    Numbered(SlotAssignment),
    /// Time passes.
    Tick,
    /// Nothing new is taken from now on.
    Stop,
}

/// The one reply to a client's call.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// It plays.
    Playing {
        /// The session.
        session: SessionId,
        /// For its address.
        secret: Secret,
        /// Where.
        server: ServerId,
        /// What the box answered.
        reply: Arc<BoxReply>,
    },
    /// Turned away, perhaps with a time to come back after.
    Refused(Option<Micros>),
    /// It failed.
    Failed,
    /// Its request was at fault; the status that the box gave.
    Declined(u16),
    /// No such title.
    NoTitle,
    /// The same offer is being worked on.
    Busy,
    /// No such session, or not the right secret.
    NoSession,
    /// The session was ended.
    Deleted,
    /// Where the session is.
    At {
        /// The box.
        server: ServerId,
        /// Its path there.
        resource: String,
    },
}

/// Why a session that played is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Why {
    /// The client ended it.
    Deleted,
    /// The box ended it.
    Box,
    /// The box was lost.
    Lost,
    /// The client never got its answer.
    AnswerLost,
    /// The module took it off its box.
    Moved,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send the client's offer to a box. Drop it at `until` if unanswered, then end it within [`crate::session::GRACE`].
    SetUp {
        /// The attempt; its end is owed as one [`Input::Verdict`].
        attempt: AttemptId,
        /// Who waits.
        request: RequestId,
        /// Where to.
        server: ServerId,
        /// Its address.
        url: Arc<str>,
        /// The rung.
        rung: Rung,
        /// The rung's rate, kB a second.
        rate_kb: f64,
        /// When to drop it.
        until: Micros,
    },
    /// Drop an attempt now.
    Cancel(AttemptId),
    /// Reply to a client's call.
    Reply(RequestId, Answer),
    /// Set the rung of a session that plays.
    SetRung {
        /// The box.
        server: ServerId,
        /// The session.
        session: SessionId,
        /// Path at the box where its layers are chosen.
        layers: String,
        /// The rung.
        rung: Rung,
        /// The rung's rate, kB a second.
        rate_kb: f64,
    },
    /// End a session at a box, and say how it went.
    Release {
        /// For [`Input::Released`].
        ticket: Ticket,
        /// The box.
        server: ServerId,
        /// The path there.
        resource: String,
    },
    /// Ask a box for its load.
    Probe(ServerId),
    /// Keep an event stream to this box, at this address; replaces an earlier one.
    Watch(ServerId, Arc<str>),
    /// The box is off the list and nothing plays there any more: drop its stream.
    Unwatch(ServerId),
    /// Ask for changes of the list.
    Subscribe,
    /// A session that played is over.
    Over(SessionId, Why),
    /// A line for the operators.
    Log(String),
}
