//! What a publisher hears and wants done, its times and bounds.

use std::time::Duration;

use crate::messages::{Epoch, Expect, Offset, Refusal, TopicRequest, TopicResponse};
use crate::record::Record;

/// Times and bounds of a publisher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PublisherSettings {
    /// Messages that wait or are out, at most.
    pub queue: usize,
    /// Bytes of keys and values that wait or are out, at most.
    pub queue_bytes: usize,
    /// From one copy of what is out to the next, at first and at most; twice as long after each.
    pub again: (Duration, Duration),
    /// A message that has no answer after this is given up.
    pub give_up: Duration,
}

impl Default for PublisherSettings {
    fn default() -> PublisherSettings {
        PublisherSettings {
            queue: 4096,
            queue_bytes: 1 << 20,
            again: (Duration::from_millis(200), Duration::from_secs(5)),
            give_up: Duration::from_secs(30),
        }
    }
}

/// Names a message to whoever publishes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PublisherTicket(pub u64);

/// What a publisher hears.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublisherInput {
    /// Only time has passed.
    Tick,
    /// A message to be written.
    Publish {
        /// Names it.
        ticket: PublisherTicket,
        /// What.
        record: Record,
        /// If this holds.
        expect: Expect,
    },
    /// A keeper's answer.
    Heard(TopicResponse),
    /// The keeper that was asked can't take it now, or does not lead: whoever carries the messages knows another.
    NotNow,
}

/// What a publisher wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublisherOutput {
    /// For the keeper that leads.
    Send(TopicRequest),
    /// What became of a message. Each has one outcome.
    Settled(PublisherTicket, Outcome),
    /// Another writes now; nothing is taken any more.
    Fenced(Epoch),
}

/// What became of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Written here, once.
    Written(Offset),
    /// Not written, and it never will be.
    Refused(Refusal),
    /// The queue is full: not written.
    QueueFull,
    /// Given up before it was sent: not written.
    TimedOut,
    /// Given up after it was sent: it may have been written, or may be until a later message of this publisher is.
    Unsure,
}
