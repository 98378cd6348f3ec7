//! The inputs and outputs of the state machine.

use std::sync::Arc;

use beechloft::api::{Feedback, LoadReport, Micros, Outcome, Rung, ServerId, SessionId, SlotAssignment};

use crate::catalog::EndpointUpdate;
pub use crate::catalog::Protocol;
use crate::holder_filter::HolderFilter;
use crate::release::ReleaseId;

/// One call of a client that waits for a reply; assigned by the caller, never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The part of a session's address that only its client knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Secret(pub u64);

/// Identifies an offer, so that the same one sent again by a proxy is recognised.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey(pub u64, pub u64);

/// An attempt to set a session up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The session.
    pub session: SessionId,
    /// How many attempts it had before: 0 for the first.
    pub number: u16,
}

/// A client's request for a session.
#[derive(Debug, Clone, PartialEq)]
pub struct SessionRequest {
    /// Identifies who waits for the answer.
    pub request: RequestId,
    /// The new session's id, drawn by the caller.
    pub session: SessionId,
    /// The secret part of its address.
    pub secret: Secret,
    /// The title, as named on the endpoint list.
    pub title: String,
    /// What the client speaks, and so which of a media server's addresses the session is set up at.
    pub protocol: Protocol,
    /// The highest rate that the client can use, kB a second; none: any.
    pub max_rate_kb: Option<f64>,
    /// Recognises the same offer sent again.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// What a media server answered when it took a session; retained only to answer the same offer again.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct MediaServerReply {
    /// The answer.
    pub sdp: Vec<u8>,
    /// Version of its ICE session (RFC 9725, section 4.3.1).
    pub etag: Option<String>,
    /// `Link` values that are for the client.
    pub links: Vec<String>,
    /// Path at the media server where its layers are chosen (WHEP's layer selection extension).
    pub layers: Option<String>,
}

/// How an attempt ended, as far as the caller can tell.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptResult {
    /// The media server took the session and made this resource for it.
    Accepted {
        /// Path of the session at the media server.
        resource: String,
        /// What it answered.
        reply: Arc<MediaServerReply>,
    },
    /// The media server took it, but nothing of it can be used: it came after the drop, or is malformed.
    Unusable {
        /// Path of the session at the media server.
        resource: String,
        /// What the attempt counts as.
        outcome: Outcome,
    },
    /// The media server found fault with the client's request itself, and answered with this HTTP status. It says
    /// nothing about the media server, so that no client can get one ejected.
    Declined(u16),
    /// It ended without a session.
    Ended(Outcome),
}

/// What is observed on a media server's event stream.
#[derive(Debug, Clone, PartialEq)]
pub enum MediaServerEvent {
    /// The stream is up.
    Connected {
        /// Identifies this run of the media server's process; changes with each start.
        boot: u64,
    },
    /// The stream broke or fell silent.
    Disconnected,
    /// Nobody listens at its address: the process is not there.
    ConnectionRefused,
    /// A figure about what plays there.
    Feedback(Feedback),
    /// A session has ended at the media server.
    SessionEnded {
        /// Its path there.
        resource: String,
    },
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A message of the endpoint list.
    Endpoints(EndpointUpdate),
    /// A client requests a session; one answer is due.
    Request(SessionRequest),
    /// An attempt is over for certain: answered, or closed at both ends, or past its grace.
    AttemptEnded {
        /// Which.
        attempt: AttemptId,
        /// The media server it went to.
        server: ServerId,
        /// How it ended.
        result: AttemptResult,
        /// When it was sent.
        sent_at: Micros,
        /// The load that the media server reported with its answer.
        load: LoadReport,
    },
    /// The client closed its connection before its answer.
    ClientDisconnected(SessionId),
    /// The answer that the session plays could not be written to the client.
    AnswerUndelivered(SessionId),
    /// A client ends its session.
    Delete {
        /// Identifies who waits for the reply.
        request: RequestId,
        /// Which session.
        session: SessionId,
        /// The secret in the address.
        secret: Secret,
    },
    /// A client wants to reach its session at the media server.
    Locate {
        /// Identifies who waits for the reply.
        request: RequestId,
        /// Which session.
        session: SessionId,
        /// The secret in the address.
        secret: Secret,
    },
    /// An event of a media server.
    MediaServer(ServerId, MediaServerEvent),
    /// The result of a health check.
    HealthChecked {
        /// Which media server.
        server: ServerId,
        /// How it went.
        outcome: Outcome,
        /// Its load.
        load: LoadReport,
    },
    /// The result of an [`Output::Release`].
    Released {
        /// Which release.
        id: ReleaseId,
        /// Whether the session is known to be gone from the media server.
        gone: bool,
    },
    /// Other media servers are to be offered to the policy from now on.
    HolderFilter(HolderFilter),
    /// This front's slot among the fronts changed.
    SlotAssigned(SlotAssignment),
    /// Time passes.
    Tick,
    /// Nothing new is taken from now on.
    Shutdown,
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
        /// The media server.
        server: ServerId,
        /// What the media server answered.
        reply: Arc<MediaServerReply>,
    },
    /// Rejected, perhaps with a time to retry after.
    Rejected(Option<Micros>),
    /// It failed.
    Failed,
    /// The client's request was at fault; the status that the media server answered with.
    Declined(u16),
    /// No such title.
    UnknownTitle,
    /// The same offer is being worked on.
    InProgress,
    /// No such session, or not the right secret.
    UnknownSession,
    /// The session was ended.
    Deleted,
    /// Where the session is.
    Located {
        /// The media server.
        server: ServerId,
        /// Its path there.
        resource: String,
    },
}

/// Why a session that played is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// The client ended it.
    Deleted,
    /// The media server ended it.
    EndedByServer,
    /// The media server was lost.
    ServerLost,
    /// The client never got its answer.
    AnswerUndelivered,
    /// The policy migrated it.
    Migrated,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send the client's offer to a media server. Drop it at `deadline` if unanswered, then end it within
    /// [`crate::session::GRACE`].
    SetUp {
        /// The attempt; its end is due as one [`Input::AttemptEnded`].
        attempt: AttemptId,
        /// The request that waits for it.
        request: RequestId,
        /// The media server.
        server: ServerId,
        /// Its address.
        url: Arc<str>,
        /// The rung.
        rung: Rung,
        /// The rung's rate, kB a second.
        rate_kb: f64,
        /// When to drop it.
        deadline: Micros,
    },
    /// Drop an attempt now.
    Cancel(AttemptId),
    /// Reply to a client's call.
    Reply(RequestId, Answer),
    /// Set the rung of a session that plays.
    SetRung {
        /// The media server.
        server: ServerId,
        /// The session.
        session: SessionId,
        /// Path at the media server where its layers are chosen.
        layers: String,
        /// The rung.
        rung: Rung,
        /// The rung's rate, kB a second.
        rate_kb: f64,
    },
    /// End a session at a media server, and report the result.
    Release {
        /// For [`Input::Released`].
        id: ReleaseId,
        /// The media server.
        server: ServerId,
        /// The path there.
        resource: String,
    },
    /// Check a media server's health and load.
    HealthCheck(ServerId),
    /// Keep an event stream to this media server, at this address; replaces an earlier one.
    Watch(ServerId, Arc<str>),
    /// The media server is off the list and nothing plays there any more: drop its stream.
    Unwatch(ServerId),
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// A session that played is over.
    SessionEnded(SessionId, EndReason),
    /// A line for the operators.
    Log(String),
}
