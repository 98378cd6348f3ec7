//! What publishers, keepers and the log say of topics.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use beechloft_leases::Name;
use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bytes of a key at most.
pub const MOST_KEY: usize = 256;
/// Bytes of a value at most.
pub const MOST_VALUE: usize = 64 << 10;
/// Keys of one topic at most, deletions that are remembered counted.
pub const MOST_KEYS: u32 = 1 << 20;
/// Bytes of one topic and of all topics at most: keys, latest values, and [`KEY_COST`] for each. With what is overtaken and not
/// cleaned yet that stays within what a keeper's snapshot may have.
pub const MOST_BYTES: u64 = 96 << 20;
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

/// What is wrong with a key, a value or a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum WordError {
    /// A key's length.
    #[error("a key has 1 to {MOST_KEY} bytes")]
    Key,
    /// A value's length.
    #[error("a value has at most {MOST_VALUE} bytes")]
    Value,
    /// It is no record.
    #[error("not a record")]
    Record,
}

/// A key: 1 to 256 bytes.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(Arc<[u8]>);

impl Key {
    /// A key of bytes.
    ///
    /// # Errors
    /// None or too many.
    pub fn new(bytes: &[u8]) -> Result<Key, WordError> {
        if (1..=MOST_KEY).contains(&bytes.len()) { Ok(Key(bytes.into())) } else { Err(WordError::Key) }
    }

    /// Its bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl Borrow<[u8]> for Key {
    fn borrow(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "\"{}\"", self.0.escape_ascii())
    }
}

impl Serialize for Key {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Key {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Key, D::Error> {
        from.deserialize_bytes(Bytes(MOST_KEY, Key::new))
    }
}

/// A value: up to 64 KiB.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct Value(Arc<[u8]>);

impl Value {
    /// A value of bytes.
    ///
    /// # Errors
    /// Too many.
    pub fn new(bytes: &[u8]) -> Result<Value, WordError> {
        if bytes.len() <= MOST_VALUE { Ok(Value(bytes.into())) } else { Err(WordError::Value) }
    }

    /// Its bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} bytes \"{}\"", self.0.len(), self.0[..self.0.len().min(24)].escape_ascii())
    }
}

impl Serialize for Value {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Value, D::Error> {
        from.deserialize_bytes(Bytes(MOST_VALUE, Value::new))
    }
}

/// Reads bytes of a bounded length at once.
pub(crate) struct Bytes<T>(pub(crate) usize, pub(crate) fn(&[u8]) -> Result<T, WordError>);

impl<'de, T> Visitor<'de> for Bytes<T> {
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at most {} bytes", self.0)
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<T, E> {
        (self.1)(bytes).map_err(E::custom)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut from: A) -> Result<T, A::Error> {
        let mut bytes = Vec::new();
        while let Some(byte) = from.next_element()? {
            if bytes.len() >= self.0 {
                return Err(A::Error::invalid_length(bytes.len() + 1, &self));
            }
            bytes.push(byte);
        }
        (self.1)(&bytes).map_err(A::Error::custom)
    }
}

/// What is to be written: a value of a key, or none, which deletes it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Of this key.
    pub key: Key,
    /// Its value from now on; none: it is deleted, and the message is a tombstone.
    pub value: Option<Value>,
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
pub enum TopicAsk {
    /// For a session of this epoch. A late answer to one of an epoch before must not pass for it.
    Session(Epoch),
    /// For a message written, by this session and number.
    Message(Session, u64),
}

impl TopicRequest {
    /// What its answer is matched by.
    pub fn ask(&self) -> TopicAsk {
        match self.op {
            TopicOp::Begin { epoch } => TopicAsk::Session(epoch),
            TopicOp::Publish { session, seq, .. } => TopicAsk::Message(session, seq),
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
pub struct TopicHeard {
    /// Whose request.
    pub publisher: PublisherId,
    /// Which of its requests.
    pub ask: TopicAsk,
    /// What became of it.
    pub answer: TopicAnswer,
}

impl TopicHeard {
    /// The answer to a request.
    pub fn to(request: &TopicRequest, answer: TopicAnswer) -> TopicHeard {
        TopicHeard { publisher: request.publisher, ask: request.ask(), answer }
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
