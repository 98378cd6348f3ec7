//! What a subscriber hears and wants done, its times and bounds.

use std::time::Duration;

use beechloft_leases::Name;
use thiserror::Error;

use crate::feed::{Position, Told};
use crate::message::Message;
use crate::messages::Offset;
use crate::record::Key;

/// Times and bounds of a subscriber.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SubscriberSettings {
    /// Bytes that may be on their way to it.
    pub window: u64,
    /// It asks another keeper when it has heard nothing for this, or this long that the keeper is behind.
    pub patience: Duration,
    /// ... or when the keeper has not heard from a leader for this.
    pub most_silent: Duration,
    /// From one try to the next, at first and at most; twice as long after each that brought nothing.
    pub again: (Duration, Duration),
}

impl Default for SubscriberSettings {
    fn default() -> SubscriberSettings {
        SubscriberSettings {
            window: 256 << 10,
            patience: Duration::from_secs(5),
            most_silent: Duration::from_secs(10),
            again: (Duration::from_millis(100), Duration::from_secs(5)),
        }
    }
}

/// What a subscriber hears.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubscriberInput {
    /// Only time has passed.
    Tick,
    /// It is wanted from now on.
    Start,
    /// A keeper's word.
    Told(Told),
    /// The connection of a subscription is gone, or could not be made.
    Broken(u64),
}

/// What a subscriber wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubscriberOutput {
    /// For another keeper than the last one, over a new connection. Any other is to be closed.
    Subscribe {
        /// The number of this subscription.
        feed: u64,
        /// Of which topic.
        topic: Name,
        /// How far it is.
        from: Option<Position>,
        /// Bytes that it may be told.
        allow: u64,
    },
    /// Bytes that it may be told in all.
    Allow {
        /// Of this subscription.
        feed: u64,
        /// From its first on.
        total: u64,
    },
    /// The subscription is given up; its connection is to be closed.
    Leave(u64),
    /// A key has a value, or another one.
    Changed(Message),
    /// A key has none any more: it is deleted by the message at this offset, or by one at or before it.
    Gone(Key, Offset),
    /// It has the latest of each key as of this offset, without it. Told again after it has fallen behind.
    CaughtUp(Offset),
    /// It is not known to be complete any more: messages were left out on the way, or all comes anew.
    Behind,
    /// A keeper said what can't be. Nothing of it was taken.
    ProtocolViolation(ProtocolViolation),
}

/// Why a keeper's word can't be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ProtocolViolation {
    /// It goes on from where the last one did not end.
    #[error("the batch begins at {from:?}, and {expected:?} is to come next")]
    Gap {
        /// Where it begins.
        from: Offset,
        /// Where it should.
        expected: Offset,
    },
    /// Its messages are out of order or outside its offsets, or too many.
    #[error("the batch's messages do not fit its offsets")]
    Order,
    /// A key has an older message than is known.
    #[error("a key stands at {has:?}, and {told:?} was told")]
    Older {
        /// What is known.
        has: Offset,
        /// What was told.
        told: Offset,
    },
    /// The keeper is behind, and served all the same.
    #[error("the keeper is at {head:?}, and {needs:?} is needed")]
    Behind {
        /// Where it is.
        head: Offset,
        /// Where it should be.
        needs: Offset,
    },
    /// Messages before all was told anew.
    #[error("messages of nothing that was begun")]
    NotBegun,
}
