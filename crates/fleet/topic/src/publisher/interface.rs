//! Inputs, outputs and settings of a publisher.

use std::time::Duration;

use crate::messages::{Epoch, Expect, Offset, Refusal, TopicRequest, TopicResponse};
use crate::record::Record;

/// Limits and timeouts of a publisher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PublisherSettings {
    /// Maximum number of messages without an outcome.
    pub max_queued_messages: usize,
    /// Maximum size of the keys and values of messages without an outcome, in bytes.
    pub max_queued_bytes: usize,
    /// Initial and maximum interval between retransmissions. The interval doubles after each one.
    pub retry_backoff: (Duration, Duration),
    /// Time after which a message without an answer is given up.
    pub delivery_timeout: Duration,
}

impl Default for PublisherSettings {
    fn default() -> PublisherSettings {
        PublisherSettings {
            max_queued_messages: 4096,
            max_queued_bytes: 1 << 20,
            retry_backoff: (Duration::from_millis(200), Duration::from_secs(5)),
            delivery_timeout: Duration::from_secs(30),
        }
    }
}

/// Id that the caller gives a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PublisherTicket(pub u64);

/// Input of a publisher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublisherInput {
    /// Time has passed.
    Tick,
    /// Publishes a message.
    Publish {
        /// Id of the message.
        ticket: PublisherTicket,
        /// Record to be written.
        record: Record,
        /// Precondition on the key.
        expect: Expect,
    },
    /// Response of a replica.
    Response(TopicResponse),
    /// The replica is not the leader or can't accept requests now. The caller selects the next replica.
    NotAccepted,
}

/// Output of a publisher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublisherOutput {
    /// Sends a request to the leader.
    Send(TopicRequest),
    /// Reports the outcome of a message. Each message has exactly one.
    Settled(PublisherTicket, Outcome),
    /// Reports that another writer has a higher epoch. No further messages are accepted.
    Fenced(Epoch),
}

/// Outcome of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The message was written once, at this offset.
    Written(Offset),
    /// The message was refused and will never be written.
    Refused(Refusal),
    /// The queue was full and the message was not written.
    QueueFull,
    /// The message was given up before it was sent and was not written.
    TimedOut,
    /// The message was given up after it was sent. It may have been written, or may still be written until a later message of
    /// this publisher is.
    Unsure,
}
