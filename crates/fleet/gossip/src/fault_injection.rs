//! Faults that tests inject, one at a time, to show that the tests detect them.

/// A fault that a test injects into the protocol's implementation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The age of a row is counted from its arrival instead of from its request.
    AgeFromArrival,
    /// The age that the sender of a row states is ignored.
    AgeNotCarried,
    /// A row of any version replaces the known row.
    AnyVersion,
    /// Rows never expire.
    NoExpiry,
    /// Rows that were not requested are accepted.
    AcceptsUnsolicited,
    /// Rows are pushed, but never requested.
    NoPull,
}
