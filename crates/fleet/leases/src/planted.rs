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
    /// A new number is gone by at once.
    NumberAtOnce,
    /// A smaller `of` is gone by at once.
    SmallerAtOnce,
    /// Two grants of a task at once may have the same place.
    PlaceTwice,
    /// A number that was taken over is gone by at once, whatever its last holder did.
    RestForgotten,
    /// Whoever has left its number acts by it on.
    ActsAfterLeaving,
    /// Whoever takes a number over forgets of how many it was.
    OfForgotten,
    /// A place that was left is taken over again and again.
    LeftTwice,
    /// A place is taken over whatever grants have come and gone since its holder was last renewed.
    GoneUnseen,
}
