//! Faults that tests inject, one at a time, to verify that the checks detect them.

/// A fault. Without the feature `fault_injection` none can be injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// A vote is sent before it is durable.
    VoteUnsaved,
    /// An entry of an older term counts as committed by its number of copies (figure 8 of the paper).
    CommitsOlderTerm,
    /// A learner counts for a quorum.
    LearnerCounts,
    /// A follower accepts entries without a check of the entry before them.
    TakesAnyPrevious,
    /// A vote is granted to a candidate whose log is behind.
    VotesForBehind,
    /// A read is answered without its heartbeat round.
    ReadsUnconfirmed,
    /// Two membership changes are in progress at once.
    ChangesTogether,
    /// Entries are acknowledged before they are durable.
    EntriesUnsaved,
}
