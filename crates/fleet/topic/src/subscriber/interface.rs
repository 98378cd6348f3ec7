//! Inputs, outputs, settings and errors of a subscriber.

use std::time::Duration;

use beechloft_leases::Name;
use thiserror::Error;

use crate::feed::{Delivery, Position};
use crate::message::Message;
use crate::messages::Offset;
use crate::record::Key;

/// Limits and timeouts of a subscriber.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SubscriberSettings {
    /// Maximum number of bytes in transit to the subscriber.
    pub window_bytes: u64,
    /// Time after which the subscriber leaves a replica from which it received nothing, or which has been behind or stale for
    /// that long.
    pub unresponsive_timeout: Duration,
    /// Staleness above which a replica counts as stale.
    pub max_staleness: Duration,
    /// Initial and maximum delay before a new subscription. The delay doubles after each one that brought nothing.
    pub retry_backoff: (Duration, Duration),
}

impl Default for SubscriberSettings {
    fn default() -> SubscriberSettings {
        SubscriberSettings {
            window_bytes: 256 << 10,
            unresponsive_timeout: Duration::from_secs(5),
            max_staleness: Duration::from_secs(10),
            retry_backoff: (Duration::from_millis(100), Duration::from_secs(5)),
        }
    }
}

/// Input of a subscriber.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubscriberInput {
    /// Time has passed.
    Tick,
    /// Starts the subscriber.
    Start,
    /// Delivery from a replica.
    Delivery(Delivery),
    /// The connection of the subscription with this id was closed or could not be opened.
    Disconnected(u64),
}

/// Output of a subscriber.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubscriberOutput {
    /// Subscribes at another replica than before, over a new connection. An open connection is closed.
    Subscribe {
        /// Id of the subscription.
        subscription: u64,
        /// Name of the topic.
        topic: Name,
        /// Progress of the subscriber, or `None` if it has no messages.
        position: Option<Position>,
        /// Number of bytes that the replica may send.
        credit_bytes: u64,
    },
    /// Increases the number of bytes that the replica may send.
    Credit {
        /// Id of the subscription.
        subscription: u64,
        /// Total number of bytes since the start of the subscription.
        total_bytes: u64,
    },
    /// Ends the subscription with this id and closes its connection.
    Unsubscribe(u64),
    /// A key has a new value.
    Updated(Message),
    /// A key was deleted by the message at this offset or at an earlier one.
    Deleted(Key, Offset),
    /// The subscriber has the latest message of each key below this offset. It is reported again after the subscriber has
    /// fallen behind.
    CaughtUp(Offset),
    /// The subscriber may be incomplete, because messages were skipped or it resynchronizes.
    Behind,
    /// A replica sent an invalid delivery, which was discarded.
    ProtocolViolation(ProtocolViolation),
}

/// Reason why a delivery is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ProtocolViolation {
    /// The batch does not start at the subscriber's position.
    #[error("batch starts at {from:?}, but {expected:?} is expected")]
    NotContiguous {
        /// Start of the batch.
        from: Offset,
        /// Expected start.
        expected: Offset,
    },
    /// The messages are not in offset order, are outside the range of the batch, or are too many.
    #[error("messages of the batch do not match its offsets")]
    InvalidOffsets,
    /// The message for a key is older than the known one.
    #[error("received an old message at {received:?} for a key whose message at {known:?} is known")]
    StaleMessage {
        /// Offset of the known message.
        known: Offset,
        /// Offset of the received message.
        received: Offset,
    },
    /// The replica is behind the subscriber but served it.
    #[error("replica is at {head:?}, but {required:?} is required")]
    LaggingReplica {
        /// Head of the replica's topic.
        head: Offset,
        /// Lowest head at which a replica can serve this subscriber.
        required: Offset,
    },
    /// A batch was received before the first resynchronization.
    #[error("batch received before the first resynchronization")]
    BatchBeforeResync,
}
