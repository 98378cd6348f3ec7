//! Faults that tests inject, one at a time, to verify that the checks detect them.

/// Deliberate defect in the protocol. It can be injected only with the feature `fault_injection`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// A vote is sent before it is durable.
    VoteNotPersisted,
    /// An entry of an earlier term is committed by counting its replicas (figure 8 of the paper).
    EarlierTermCommitted,
    /// A learner counts towards a quorum.
    LearnerInQuorum,
    /// A follower accepts entries without checking the previous entry.
    PreviousEntryUnchecked,
    /// A vote is granted to a candidate whose log is less up-to-date.
    VoteForOutdatedLog,
    /// A read is answered without waiting for its heartbeat round.
    ReadWithoutRound,
    /// A membership change starts while another one is in progress.
    ConcurrentChanges,
    /// Entries are acknowledged before they are durable.
    EntriesNotPersisted,
}
