//! Requests of publishers, commands of the replicated log, and their answers and events.

use beechloft_leases::Name;
use serde::{Deserialize, Serialize};

use crate::record::Record;

/// Keys of one topic at most, deletions that are remembered counted.
pub const MAX_KEYS: u32 = 1 << 20;
/// Bytes of one topic and of all topics at most: keys, latest values, and [`KEY_COST`] for each. With what is overtaken and not
/// cleaned yet that stays within what a keeper's snapshot may have.
pub const MAX_BYTES: u64 = 96 << 20;
/// What each key counts beside its bytes and those of its latest value.
pub const KEY_COST: usize = 16;
/// The shortest and the longest time for which deletions are remembered, milliseconds.
pub const RETENTION_MS: std::ops::RangeInclusive<u32> = 1_000..=30 * 86_400_000;

macro_rules! number {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
        pub struct $name(pub u64);
    )*};
}

number! {
    /// A message's place in its topic. It only rises and is never used twice. The first is 0.
    Offset,
    /// Which of a publisher's successive rights to write this is. Where the topic has one writer it is the fencing token of
    /// the writer's lease.
    Epoch,
    /// One life of a process that publishes: drawn at its start, so that a process that starts again is another.
    PublisherId,
    /// A publisher's right to number its messages, given by the log and never again (Ongaro's dissertation, section 6.3). One that
    /// was let go is unknown from then on, so that a late copy of a message can't be written a second time.
    Session,
}

impl Offset {
    /// The place after it.
    pub fn next(self) -> Offset {
        Offset(self.0.saturating_add(1))
    }
}

/// What must hold of the key for a record to be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub enum Expect {
    /// Nothing.
    #[default]
    Anything,
    /// It has no value. A key that was deleted has none, whether the deletion is still remembered or not.
    Absent,
    /// Its value is that of this message.
    At(Offset),
}

/// Who may write a topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Writers {
    /// One at a time: the one that begins with an epoch that is not under the highest so far. It ends all before it.
    One,
    /// Many at once; an epoch fences the lives of one publisher only.
    Many,
}

/// What a topic is to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Terms {
    /// Who may write.
    pub writers: Writers,
    /// For how long deletions are remembered at least, milliseconds.
    pub retention_ms: u32,
    /// Keys at most, deletions that are remembered counted.
    pub keys: u32,
    /// Bytes of keys and latest values at most, 16 for each key added.
    pub bytes: u64,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms { writers: Writers::Many, retention_ms: 3_600_000, keys: 100_000, bytes: 64 << 20 }
    }
}

/// What a publisher wants.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TopicOp {
    /// A session, by which its messages are numbered from 1.
    Begin {
        /// Its epoch.
        epoch: Epoch,
    },
    /// A record written.
    Publish {
        /// By this session.
        session: Session,
        /// The number of the message: one above the last one's.
        seq: u64,
        /// What.
        record: Record,
        /// If this holds.
        expect: Expect,
    },
}

/// A request of a publisher's. Sent again it is the same, and is done once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TopicRequest {
    /// Who asks.
    pub publisher: PublisherId,
    /// Of which topic.
    pub topic: Name,
    /// What.
    pub op: TopicOp,
}

/// Names a request among all of its publisher's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TopicRequestId {
    /// For a session of this epoch. A late answer to one of an epoch before must not pass for it.
    Session(Epoch),
    /// For a message written, by this session and number.
    Message(Session, u64),
}

impl TopicRequest {
    /// What its answer is matched by.
    pub fn ask(&self) -> TopicRequestId {
        match self.op {
            TopicOp::Begin { epoch } => TopicRequestId::Session(epoch),
            TopicOp::Publish { session, seq, .. } => TopicRequestId::Message(session, seq),
        }
    }
}

/// What the log says.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TopicCommand {
    /// There is a topic. One that is there keeps its life and its messages, and gets these terms.
    Declare {
        /// Its name.
        topic: Name,
        /// Drawn by whoever says so: offsets of a group that was founded anew are none of the one's before it.
        life: u64,
        /// What it is to be.
        terms: Terms,
    },
    /// A publisher's request.
    Ask(TopicRequest),
    /// Deletions below this offset need not be remembered any more.
    Horizon {
        /// Of this topic.
        topic: Name,
        /// Up to here, without it.
        to: Offset,
    },
}

/// Why a request is not met.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// Nobody declared the topic.
    #[error("there is no such topic; it is declared in the settings")]
    NoTopic,
    /// There are as many topics as there may be.
    #[error("too many topics")]
    TooManyTopics,
    /// The terms are out of bounds.
    #[error("the topic's terms are out of bounds")]
    Terms,
    /// Another began with a higher epoch, or with the same where the topic has one writer.
    #[error("epoch {0:?} writes now")]
    Fenced(Epoch),
    /// The session was let go; what became of messages that were out is not known here any more.
    #[error("the session is not known; begin another")]
    NoSession,
    /// The message's number leaves some out; this one is to come next.
    #[error("message {0} is to come next")]
    Gap(u64),
    /// The message was done so long ago that its answer is not kept.
    #[error("the message was done long ago")]
    Overtaken,
    /// What was expected of the key does not hold; its value is that of this message.
    #[error("the key stands at {0:?}")]
    Other(Option<Offset>),
    /// A key that has no value can't be deleted.
    #[error("the key has no value")]
    NoKey,
    /// There are as many keys or bytes as there may be. Deletions are taken.
    #[error("the topic is full")]
    Full,
    /// There are as many bytes in all topics as there may be. Deletions are taken.
    #[error("all topics together are full")]
    AllFull,
}

/// What became of a request that was done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TopicAnswer {
    /// A session.
    Began(Session),
    /// Written.
    Written(Offset),
    /// Not done.
    Refused(Refusal),
}

/// What a publisher hears. It names who asked, as several may ask over one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TopicResponse {
    /// Whose request.
    pub publisher: PublisherId,
    /// Which of its requests.
    pub ask: TopicRequestId,
    /// What became of it.
    pub answer: TopicAnswer,
}

impl TopicResponse {
    /// The answer to a request.
    pub fn to(request: &TopicRequest, answer: TopicAnswer) -> TopicResponse {
        TopicResponse { publisher: request.publisher, ask: request.ask(), answer }
    }
}

/// What has changed, for whoever watches.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TopicEvent {
    /// A topic is there, or has other terms.
    Declared(Name, Terms),
    /// A publisher may write.
    Began {
        /// Where.
        topic: Name,
        /// Who.
        publisher: PublisherId,
        /// Its epoch.
        epoch: Epoch,
        /// Its session.
        session: Session,
    },
    /// A message was written.
    Appended(Name, Offset),
    /// Deletions below an offset are remembered no more.
    Horizon(Name, Offset),
}
