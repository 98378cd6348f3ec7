//! Faults that tests plant, one at a time.

/// A fault of the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A report that comes again is added to what is known of its front.
    AddedTwice,
    /// A report of this front's own life is taken from others.
    TakesOwnFromOthers,
    /// A verdict on a box holds for whatever runs at its address.
    NoLife,
    /// A front for which everything fails counts as any other.
    BrokenFrontCounts,
    /// Old evidence is as good as new, and a verdict never ends.
    NoAge,
    /// No part of a zone's capacity is kept out of verdicts.
    NoBound,
    /// Fronts of one zone are enough.
    OneZone,
    /// One front's word is enough.
    OneFront,
    /// One front that finds a box well outweighs all others.
    OneAbsolves,
    /// Whoever likes to tries a box, with or without the lease.
    TrialsByAll,
    /// A box comes back for all sessions at once.
    Herd,
    /// One front's good trial brings a box back.
    OneTrial,
}
