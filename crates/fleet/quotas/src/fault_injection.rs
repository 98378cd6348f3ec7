//! Faults that tests inject, one at a time, to verify that the checks detect them.

/// A fault. Without the feature `fault_injection` none can be injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// What a lost front held is free at once.
    OrphanFreedAtOnce,
    /// A lost front's share counts for what it had last said that it used.
    OrphanCountsLastReport,
    /// A front counts its account's time from when the answer came.
    TtlFromArrival,
    /// Accounts run out without the drift, fronts count on all of the time.
    DriftIgnored,
    /// A recall counts before the front has said that it holds less.
    RecallCountedAtOnce,
    /// What a front ends is given back twice.
    ReleasedTwice,
    /// A lowered limit goes on lending up to the one before it.
    LoweredLimitLent,
    /// Nothing is kept for fronts that have not their least part yet.
    MinSharesNotReserved,
    /// A new leader gives accounts no time again.
    TtlNotRestartedOnElection,
    /// An answer to a request that was overtaken is taken.
    StaleAnswerAccepted,
    /// Boxes are asked while set-ups of the lost front may be on their way.
    SurveyedAtOnce,
    /// An older request is done after a newer one.
    StaleRequestApplied,
    /// A front that closes says what it uses and goes on admitting.
    AdmitsWhileClosing,
    /// A soft part grows at any pace.
    SoftShareGrowsAtOnce,
    /// A front that hears from nobody keeps its soft part.
    HorizonIgnored,
}
