//! A keyed log that late joiners catch up from: the latest message of each key is kept, in the order of offsets.
//!
//! [`Topics`] is replicated state: commands of the keepers' log append to it, and all that an answer says follows from those
//! commands alone. Below that each keeper lays its messages out in segments of its own, and a cleaner lets go of what is
//! overtaken, in bounded steps (compacted logs: Kreps, Narkhede, Rao, "Kafka", NetDB 2011, and Kafka's log compaction; cleaning by
//! segments: Rosenblum and Ousterhout, "The Design and Implementation of a Log-Structured File System", SOSP 1991). The layout
//! may differ from keeper to keeper; what a reader is promised does not.
//!
//! [`Feed`] serves one subscriber from any keeper's topic; [`Subscriber`] is the client's side of it. [`Publisher`] sends
//! messages until each has one answer. [`Retention`] counts, at the leader, how long deletions are remembered. Nothing here does
//! I/O or reads a clock; `docs/topic.md` has the promises and the arguments.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]
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
pub use feed::{Batch, Feed, Position, Said, Told};
pub use log::Layout;
pub use message::{Body, Message};
pub use messages::{
    Epoch, Expect, Offset, PublisherId, Refusal, Session, Terms, TopicAnswer, TopicCommand, TopicEvent,
    TopicOp, TopicRequest, TopicRequestId, TopicResponse, Writers,
};
pub use publisher::{
    Outcome, Publisher, PublisherInput, PublisherOutput, PublisherSettings, PublisherTicket,
};
pub use record::{Key, MAX_KEY_BYTES, MAX_VALUE_BYTES, Record, RecordError, Value};
pub use retention::Retention;
pub use subscriber::{
    Held, ProtocolViolation, Subscriber, SubscriberInput, SubscriberOutput, SubscriberSettings,
};
pub use topic::Topic;
pub use topics::Topics;
