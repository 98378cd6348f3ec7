//! Faults that tests inject, one at a time, to show that the tests detect them.

/// A fault of the protocol's implementation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A row's age is counted from its arrival, not from when it was requested.
    AgeFromArrival,
    /// A received row counts as new, whatever age its sender states.
    AgeNotCarried,
    /// A row of any version replaces the known one.
    AnyVersion,
    /// Rows are never expired.
    NoExpiry,
    /// Rows are accepted that were not requested.
    AcceptsUnsolicited,
    /// Rows are pushed but never requested.
    NoPull,
}
