//! Faults that tests inject, one at a time, to verify that the checks detect them.

/// Deliberate defect in the topic protocol. It can be injected only with the feature `fault_injection`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// A feed continues although its position is below the horizon.
    HorizonIgnored,
    /// The cleaner drops tombstones before the horizon has passed them.
    TombstoneDroppedEarly,
    /// Every batch claims to be complete up to the head.
    BatchClaimsHead,
    /// A feed that is too far behind continues with the newest messages.
    BacklogSkipped,
    /// The snapshot does not contain the publishers' sessions.
    SessionsNotInSnapshot,
    /// A message overwrites the previous message of the same key and gets its offset.
    OffsetReused,
    /// A session with a lower epoch is accepted.
    OldEpochAccepted,
    /// The live bits in a snapshot are derived from the order of the records.
    LiveBitsNotInSnapshot,
    /// A replica that is behind its subscriber serves it nevertheless.
    LaggingReplicaServes,
    /// The cleaner installs its copy with the live bits at the time of the copy.
    StaleCopyInstalled,
    /// A message is accepted although an earlier sequence number is missing.
    SequenceGapAccepted,
    /// A subscriber keeps keys that it did not receive during a resynchronization.
    DeletedKeysKept,
    /// The retention is shortened and ignores clock drift.
    RetentionTooShort,
    /// A conditional write checks that the key exists but not its offset.
    ExpectedOffsetIgnored,
}
