//! Faults that tests plant, one at a time, to see that the checks find them.

/// A fault. Without the feature `planted` none can be planted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// Keepers let grants run out without the drift, holders count on all of the time.
    NoDrift,
    /// A holder counts from when the grant came.
    CountsFromArrival,
    /// A grant gets the token of the one before it.
    SameToken,
    /// A renewal of a lease that was let go is taken.
    RenewsReleased,
    /// A new leader gives what was granted no time again.
    NoTimeAnew,
}
