//! Faults that tests plant, one at a time, to see that the checks find them.

/// A fault. Without the feature `planted` none can be planted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// The horizon moves without a look at it: a feed goes on below it.
    HorizonUnseen,
    /// Deletions are let go by the cleaner before the horizon has passed them.
    TombstoneEarly,
    /// A batch is said to be complete to the head, whatever is in it.
    HeadAfter,
    /// A feed that is too far behind goes on from the newest messages.
    DropsOldest,
    /// What publishers were answered is not in the snapshot.
    SessionsForgotten,
    /// A refused message's offset is used, and that of the one before it given again.
    OffsetTwice,
    /// An older epoch is taken.
    OldEpoch,
    /// What is live is not read from the snapshot: all records of a segment count, in order.
    LiveForgotten,
    /// A keeper that is behind its subscriber serves at once.
    BehindServes,
    /// The cleaner puts its copy in place as it was when each record was copied.
    CleanerStale,
    /// A sequence that leaves one out is taken.
    GapTaken,
    /// A whole pass ends without a look at which keys were not in it.
    VanishedKept,
    /// Retention is counted without drift and from the message instead of a look at the head.
    RetentionShort,
    /// Compare-and-set looks at the key and not at its offset.
    ExpectBlind,
}
