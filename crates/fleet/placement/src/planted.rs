//! Faults that tests plant, one at a time, to see that the checks find them.

/// A fault. Without the feature `planted` none can be planted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// A step is done whatever its token.
    NoToken,
    /// A narrowing counts before the last front has it or has lost its right.
    NarrowAtOnce,
    /// A front counts its right from when the answer came.
    RightFromArrival,
    /// Rights run out at the keepers, and at fronts, without the drift.
    NoDrift,
    /// A copy counts without a look at its digest.
    NoDigest,
    /// Copies go before those that are to take their place are there.
    NarrowFirst,
    /// Room is taken when a copy is begun, not at admission.
    RoomLate,
    /// What plays is cut when its box is told to drain.
    NoGrace,
    /// A box that comes back is taken to have what it had.
    OldDiskServes,
    /// A box takes orders below those that it has seen.
    OldOrders,
    /// A front's view goes back when it is told the whole anew.
    ViewBack,
    /// A version is over while copies of it are left.
    OverAtOnce,
    /// A new leader of the keepers gives fronts' rights no time anew.
    NoTimeAnew,
}
