//! Faults that tests inject, one at a time, to verify that the checks detect them.

/// A fault. Without the feature `fault_injection` none can be injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// The share of a lost front is free at once.
    OrphanFreedAtOnce,
    /// The share of a lost front counts only as far as its last report said that it was in use.
    OrphanCountsLastReport,
    /// A front counts the time to live of its account from the arrival of the answer, not from the creation of the request.
    TtlFromArrival,
    /// The drift bound is neither added to the ledger's time to live nor deducted from the front's.
    DriftIgnored,
    /// Recalled units are free before the front has reported that it gave them back.
    RecallCountedAtOnce,
    /// A front releases the units of an ended session twice.
    ReleasedTwice,
    /// Units are granted up to the highest value that a lowered limit has ever had.
    LoweredLimitLent,
    /// Nothing is reserved for fronts that do not have their minimum share yet.
    MinSharesNotReserved,
    /// A new leader does not restart the time to live of accounts.
    TtlNotRestartedOnElection,
    /// A front accepts the answer to an earlier request.
    StaleAnswerAccepted,
    /// Media servers are surveyed while set-ups of the lost front may be in flight.
    SurveyedAtOnce,
    /// The ledger applies an older request after a newer one.
    StaleRequestApplied,
    /// A front that has reported its use on closing continues to admit.
    AdmitsWhileClosing,
    /// A soft share grows at any rate.
    SoftShareGrowsAtOnce,
    /// A front that receives no reports keeps its soft shares.
    HorizonIgnored,
}
