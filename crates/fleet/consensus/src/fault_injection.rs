//! Faults that tests plant, one at a time, to see that the checks find them.

/// A fault. Without the feature `planted` none can be planted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// A vote leaves before it lasts.
    VoteUnsaved,
    /// An entry of an older term counts as committed by its number of copies (the case of the paper's figure 8).
    CommitsOlderTerm,
    /// A learner counts for a quorum.
    LearnerCounts,
    /// A follower takes entries without a look at the one before them.
    TakesAnyPrevious,
    /// A vote is given to a log that is behind.
    VotesForBehind,
    /// A read is answered without its round.
    ReadsUnconfirmed,
    /// Two changes of members at once.
    ChangesTogether,
    /// Entries leave before they last.
    EntriesUnsaved,
}
