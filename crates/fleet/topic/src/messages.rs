//! Requests of publishers, commands of the replicated log, and their answers and events.

use beechloft_leases::Name;
use serde::{Deserialize, Serialize};

use crate::record::Record;

/// Maximum number of keys in a topic, including retained tombstones.
pub const MAX_KEYS: u32 = 1 << 20;
/// Maximum size of a topic and of all topics: keys, latest values, and the constant `KEY_COST` for each key. Including superseded
/// messages that are not cleaned yet, this is within the maximum size of a replica's snapshot.
pub const MAX_BYTES: u64 = 96 << 20;
/// Bytes that count for each key in addition to the key and its latest value.
pub const KEY_COST: usize = 16;
/// Range of the time for which tombstones are retained, in milliseconds.
pub const RETENTION_MS: std::ops::RangeInclusive<u32> = 1_000..=30 * 86_400_000;

macro_rules! id_types {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
        pub struct $name(pub u64);
    )*};
}

id_types! {
    /// Offset of a message in its topic, starting at 0. Offsets increase and are never reused.
    Offset,
    /// Number of a publisher's session, by which later sessions fence earlier ones. With an exclusive writer it is the fencing
    /// token of the writer's lease.
    Epoch,
    /// Identity of a publisher process, drawn at its start, so that a restarted process is a different publisher.
    PublisherId,
    /// Id of a publisher's session, assigned by the replicated log and never reused (Ongaro's dissertation, section 6.3). An
    /// evicted session stays unknown, so that a late copy of a message can't be written twice.
    Session,
}

impl Offset {
    /// Returns the following offset.
    pub fn next(self) -> Offset {
        Offset(self.0.saturating_add(1))
    }
}

/// Precondition on a key for a record to be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub enum Expect {
    /// There is no precondition.
    #[default]
    Anything,
    /// The key has no value. A deleted key has none, whether or not its tombstone is still retained.
    Absent,
    /// The value of the key is that of the message at this offset.
    At(Offset),
}

/// Who may write to a topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Writers {
    /// One publisher at a time. A session with an epoch that is at least the highest so far ends all earlier sessions.
    One,
    /// Several publishers concurrently. An epoch fences only earlier sessions of the same publisher.
    Many,
}

/// Configuration of a topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TopicConfig {
    /// Who may write to the topic.
    pub writers: Writers,
    /// Minimum time for which tombstones are retained, in milliseconds.
    pub retention_ms: u32,
    /// Maximum number of keys, including retained tombstones.
    pub keys: u32,
    /// Maximum size of keys and latest values in bytes, plus the constant `KEY_COST` for each key.
    pub bytes: u64,
}

impl Default for TopicConfig {
    fn default() -> TopicConfig {
        TopicConfig { writers: Writers::Many, retention_ms: 3_600_000, keys: 100_000, bytes: 64 << 20 }
    }
}

/// Operation that a publisher requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TopicOp {
    /// Opens a session, in which messages are numbered from 1.
    Begin {
        /// Epoch of the session.
        epoch: Epoch,
    },
    /// Writes a record.
    Publish {
        /// Session of the publisher.
        session: Session,
        /// Sequence number of the message, one higher than that of the previous message.
        seq: u64,
        /// Record to be written.
        record: Record,
        /// Precondition on the key.
        expect: Expect,
    },
}

/// Request of a publisher. A retransmission is identical and is executed once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TopicRequest {
    /// Publisher that sent the request.
    pub publisher: PublisherId,
    /// Name of the topic.
    pub topic: Name,
    /// Requested operation.
    pub op: TopicOp,
}

/// Id of a request among all requests of its publisher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TopicRequestId {
    /// Request for a session of this epoch, so that a late answer for an earlier epoch is not mistaken for it.
    Session(Epoch),
    /// Request to write the message with this session and sequence number.
    Message(Session, u64),
}

impl TopicRequest {
    /// Returns the id by which the answer is matched to the request.
    pub fn id(&self) -> TopicRequestId {
        match self.op {
            TopicOp::Begin { epoch } => TopicRequestId::Session(epoch),
            TopicOp::Publish { session, seq, .. } => TopicRequestId::Message(session, seq),
        }
    }
}

/// Command of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TopicCommand {
    /// Creates a topic. An existing topic keeps its incarnation and its messages and gets the new configuration.
    Declare {
        /// Name of the topic.
        topic: Name,
        /// Random number that distinguishes this topic from one of an earlier replica group, whose offsets are unrelated.
        incarnation: u64,
        /// Configuration of the topic.
        config: TopicConfig,
    },
    /// Executes a publisher's request.
    Request(TopicRequest),
    /// Moves the horizon. Tombstones below it are no longer retained.
    Horizon {
        /// Name of the topic.
        topic: Name,
        /// New horizon. Tombstones at this offset or later are retained.
        to: Offset,
    },
}

/// Reason why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// The topic was not declared.
    #[error("topic is not declared in the settings")]
    NoTopic,
    /// The maximum number of topics is reached.
    #[error("too many topics")]
    TooManyTopics,
    /// A value of the topic's configuration is out of range.
    #[error("topic configuration is out of range")]
    InvalidConfig,
    /// A publisher has opened a session with a higher epoch, or with the same epoch in a topic with one writer.
    #[error("fenced by a writer with {0:?}")]
    Fenced(Epoch),
    /// The session is unknown, for example because it was evicted. The outcome of its unanswered messages is no longer known.
    #[error("session is unknown, a new one is required")]
    NoSession,
    /// An earlier sequence number is missing. The value is the next expected one.
    #[error("message {0} is expected next")]
    Gap(u64),
    /// The message was processed, but its answer is no longer stored.
    #[error("message was processed before, but its answer is no longer stored")]
    AnswerEvicted,
    /// The precondition does not hold. The value is the offset of the key's latest message, or `None` if key has no value.
    #[error("precondition failed, the offset of the key is {0:?}")]
    OffsetMismatch(Option<Offset>),
    /// A key without a value can't be deleted.
    #[error("key has no value")]
    NoKey,
    /// The topic has its maximum number of keys or bytes. Deletions are still accepted.
    #[error("topic is full")]
    Full,
    /// All topics together have their maximum number of bytes. Deletions are still accepted.
    #[error("all topics together are full")]
    AllFull,
}

/// Result of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TopicAnswer {
    /// The session was opened.
    Began(Session),
    /// The record was written at this offset.
    Written(Offset),
    /// The request was refused.
    Refused(Refusal),
}

/// Response to a publisher. It names the publisher because several publishers may share a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TopicResponse {
    /// Publisher that sent the request.
    pub publisher: PublisherId,
    /// Id of the request.
    pub request_id: TopicRequestId,
    /// Result of the request.
    pub answer: TopicAnswer,
}

impl TopicResponse {
    /// Creates the response to a request.
    pub fn to(request: &TopicRequest, answer: TopicAnswer) -> TopicResponse {
        TopicResponse { publisher: request.publisher, request_id: request.id(), answer }
    }
}

/// Change of a topic, for observers.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TopicEvent {
    /// A topic was created or its configuration changed.
    Declared(Name, TopicConfig),
    /// A publisher opened a session.
    Began {
        /// Name of the topic.
        topic: Name,
        /// Publisher of the session.
        publisher: PublisherId,
        /// Epoch of the session.
        epoch: Epoch,
        /// Id of the session.
        session: Session,
    },
    /// A message was written at this offset.
    Appended(Name, Offset),
    /// The horizon moved to this offset.
    Horizon(Name, Offset),
}
