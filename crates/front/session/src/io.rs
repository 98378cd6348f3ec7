//! Inputs and outputs of the session controller.

use std::sync::Arc;

use beechloft::api::{Feedback, LoadReport, Micros, Outcome, Rung, ServerId, SessionId, SlotAssignment};

use crate::catalog::EndpointUpdate;
pub use crate::catalog::Protocol;
use crate::holder_filter::HolderFilter;
use crate::release::ReleaseId;

/// Identifies a client's call that waits for a reply. It is assigned by the caller and never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The part of a session's URL that only its client knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Secret(pub u64);

/// Identifies an offer, so that a copy of it resent by a proxy is recognised.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey(pub u64, pub u64);

/// Identifies an attempt to set a session up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The session to be set up.
    pub session: SessionId,
    /// Number of earlier attempts of this session: 0 for the first.
    pub number: u16,
}

/// A client's request for a session.
#[derive(Debug, Clone, PartialEq)]
pub struct SessionRequest {
    /// The client's call that waits for the answer.
    pub request: RequestId,
    /// Id of the new session, drawn by the caller.
    pub session: SessionId,
    /// Secret part of the session's URL.
    pub secret: Secret,
    /// Name of the title on the endpoint list.
    pub title: String,
    /// Protocol of the client, which determines the media server's address that the session is set up at.
    pub protocol: Protocol,
    /// The highest rate that the client can use, kB per second. `None` stands for any rate.
    pub max_rate_kb: Option<f64>,
    /// Key by which a repetition of the same offer is recognised.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// A media server's answer when it accepted a session, retained only to answer a repeated offer.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct MediaServerReply {
    /// The SDP answer.
    pub sdp: Vec<u8>,
    /// Entity tag of the ICE session (RFC 9725, section 4.3.1).
    pub etag: Option<String>,
    /// `Link` header values that are meant for the client.
    pub links: Vec<String>,
    /// Path at the media server that selects the session's layers (WHEP's layer selection extension).
    pub layers: Option<String>,
}

/// The result of an attempt, as far as the caller can tell.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptResult {
    /// The media server accepted the session and created this resource for it.
    Accepted {
        /// Path of the session at the media server.
        resource: String,
        /// The media server's answer.
        reply: Arc<MediaServerReply>,
    },
    /// The media server accepted the session, but its answer is of no use: it arrived after the attempt was cancelled,
    /// or it is malformed.
    Unusable {
        /// Path of the session at the media server.
        resource: String,
        /// The outcome that the policy is to count.
        outcome: Outcome,
    },
    /// The media server rejected the client's request itself with this HTTP status. The result does not count against
    /// the media server, so that no client can get one ejected.
    Declined(u16),
    /// The attempt ended without a session.
    Ended(Outcome),
}

/// An event on a media server's event stream.
#[derive(Debug, Clone, PartialEq)]
pub enum MediaServerEvent {
    /// The stream is connected.
    Connected {
        /// Identifies this run of the media server's process. It changes with each start.
        boot: u64,
    },
    /// The stream broke or timed out.
    Disconnected,
    /// The connection was refused: no process listens at the media server's address.
    ConnectionRefused,
    /// The media server reported a measurement of its sessions.
    Feedback(Feedback),
    /// A session ended at the media server.
    SessionEnded {
        /// Path of the session at the media server.
        resource: String,
    },
}

/// An input of the state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// The endpoint list was updated.
    Endpoints(EndpointUpdate),
    /// A client requests a session and is owed exactly one answer.
    Request(SessionRequest),
    /// An attempt ended and can have no further effect: it was answered, its connection is closed at both ends, or its
    /// grace period is over.
    AttemptEnded {
        /// The attempt that ended.
        attempt: AttemptId,
        /// The media server that the attempt was sent to.
        server: ServerId,
        /// The result of the attempt.
        result: AttemptResult,
        /// When the attempt was sent.
        sent_at: Micros,
        /// The load that the media server reported with its answer.
        load: LoadReport,
    },
    /// The client closed its connection before it was answered.
    ClientDisconnected(SessionId),
    /// The answer that the session plays could not be written to the client.
    AnswerUndelivered(SessionId),
    /// A client ends its session.
    Delete {
        /// The client's call that waits for the reply.
        request: RequestId,
        /// The session to end.
        session: SessionId,
        /// The secret in the session's URL.
        secret: Secret,
    },
    /// A client asks where its session is, to reach it at the media server.
    Locate {
        /// The client's call that waits for the reply.
        request: RequestId,
        /// The session to locate.
        session: SessionId,
        /// The secret in the session's URL.
        secret: Secret,
    },
    /// A media server's event stream reported an event.
    MediaServer(ServerId, MediaServerEvent),
    /// A health check completed.
    HealthChecked {
        /// The media server that was checked.
        server: ServerId,
        /// The outcome of the check.
        outcome: Outcome,
        /// The load that the media server reported.
        load: LoadReport,
    },
    /// The call of an [`Output::Release`] completed.
    Released {
        /// The release that was attempted.
        id: ReleaseId,
        /// Whether the session is known to have ended at the media server.
        ended: bool,
    },
    /// The filter on the holders that are offered to the policy changed.
    HolderFilter(HolderFilter),
    /// The slot of this front among the fronts changed.
    SlotAssigned(SlotAssignment),
    /// Time passed.
    Tick,
    /// The front shuts down: new requests are rejected.
    Shutdown,
}

/// The single reply to a client's call.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The session plays.
    Playing {
        /// The session that plays.
        session: SessionId,
        /// Secret part of the session's URL.
        secret: Secret,
        /// The media server that accepted the session.
        server: ServerId,
        /// The media server's answer.
        reply: Arc<MediaServerReply>,
    },
    /// The request was rejected, with the time to retry after if there is one.
    Rejected(Option<Micros>),
    /// The session could not be set up.
    Failed,
    /// The client's request was invalid. Holds the HTTP status of the media server's answer.
    Declined(u16),
    /// The title is not on the endpoint list.
    UnknownTitle,
    /// An earlier request with the same offer is still being processed.
    InProgress,
    /// The session does not exist, or the secret does not match.
    UnknownSession,
    /// The session was ended.
    Deleted,
    /// The session plays at this place.
    Located {
        /// The media server that runs the session.
        server: ServerId,
        /// Path of the session at the media server.
        resource: String,
    },
}

/// Why a playing session ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// The client ended the session.
    Deleted,
    /// The media server ended the session.
    EndedByServer,
    /// The media server was lost.
    ServerLost,
    /// The client never received the answer.
    AnswerUndelivered,
    /// The policy migrated the session.
    Migrated,
}

/// An output of the state machine, to be carried out by the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send the client's offer to a media server. If it is unanswered at `deadline`, cancel the attempt and report its
    /// end within [`crate::session::GRACE`].
    SetUp {
        /// The attempt, whose end is reported with one [`Input::AttemptEnded`].
        attempt: AttemptId,
        /// The client's request that the attempt serves.
        request: RequestId,
        /// The media server to send the offer to.
        server: ServerId,
        /// Address of the media server.
        url: Arc<str>,
        /// The rung to set up.
        rung: Rung,
        /// The rung's rate, kB per second.
        rate_kb: f64,
        /// When to cancel the attempt.
        deadline: Micros,
    },
    /// Cancel an attempt now.
    Cancel(AttemptId),
    /// Reply to a client's call.
    Reply(RequestId, Answer),
    /// Change the rung of a playing session.
    SetRung {
        /// The media server that runs the session.
        server: ServerId,
        /// The session to change.
        session: SessionId,
        /// Path at the media server that selects the session's layers.
        layers: String,
        /// The new rung.
        rung: Rung,
        /// The new rung's rate, kB per second.
        rate_kb: f64,
    },
    /// End a session at a media server, and report the result.
    Release {
        /// The release, to be named in [`Input::Released`].
        id: ReleaseId,
        /// The media server that runs the session.
        server: ServerId,
        /// Path of the session at the media server.
        resource: String,
    },
    /// Check the health and load of a media server.
    HealthCheck(ServerId),
    /// Open an event stream to a media server at this address, in place of any earlier one.
    Watch(ServerId, Arc<str>),
    /// Close the event stream of a media server that left the endpoint list and runs no more sessions of this front.
    Unwatch(ServerId),
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// A playing session ended.
    SessionEnded(SessionId, EndReason),
    /// Log a line for the operators.
    Log(String),
}
