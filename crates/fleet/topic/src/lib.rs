//! Keyed, compacted log from which subscribers can catch up at any time: it keeps the latest message of each key, in offset
//! order.
//!
//! [`Topics`] is a replicated state machine. Commands of the replicated log append to it, and its answers depend on those
//! commands alone. Below that, each replica stores the messages in its own segments, and a cleaner removes superseded messages
//! in bounded steps (compacted logs: Kreps, Narkhede, Rao, "Kafka", NetDB 2011, and Kafka's log compaction; segment cleaning:
//! Rosenblum and Ousterhout, "The Design and Implementation of a Log-Structured File System", SOSP 1991). The segment layout
//! may differ between replicas; the guarantees to readers do not depend on it.
//!
//! [`Feed`] serves one subscriber from the topic of any replica, and [`Subscriber`] is the client's side of a subscription.
//! [`Publisher`] sends each message until it has an answer. [`Retention`] measures, at the leader, how long tombstones are
//! retained. Nothing here does I/O or reads a clock. `docs/topic.md` has the guarantees and the arguments for them.
#![allow(clippy::cast_possible_truncation, reason = "sizes and counts in a segment fit `u32`")]
#![forbid(unsafe_code)]

mod bit_set;
mod chunks;
mod cleaner;
mod fault_injection;
mod feed;
mod log;
mod message;
mod messages;
mod publisher;
mod record;
mod retention;
mod segment;
mod sessions;
mod subscriber;
mod topic;
mod topics;

pub use beechloft_leases::{DriftBound, Name};
pub use chunks::{Chunk, ChunkError, ChunkName};
pub use fault_injection::Fault;
pub use feed::{Batch, Delivery, Feed, FeedItem, Position};
pub use log::Layout;
pub use message::{Body, Message};
pub use messages::{
    Epoch, Expect, Offset, PublisherId, Refusal, Session, TopicAnswer, TopicCommand, TopicConfig, TopicEvent,
    TopicOp, TopicRequest, TopicRequestId, TopicResponse, Writers,
};
pub use publisher::{
    Outcome, Publisher, PublisherInput, PublisherOutput, PublisherSettings, PublisherTicket,
};
pub use record::{Key, MAX_KEY_BYTES, MAX_VALUE_BYTES, Record, RecordError, Value};
pub use retention::Retention;
pub use subscriber::{
    CachedMessage, ProtocolViolation, Subscriber, SubscriberInput, SubscriberOutput, SubscriberSettings,
};
pub use topic::Topic;
pub use topics::Topics;
