//! Faults that tests plant, one at a time.

/// A fault of the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Who hears that it is suspected says nothing against it.
    NoRefuting,
    /// No probe by way of others.
    NoHelpers,
    /// A process that was stopped judges others by the time that it slept.
    JudgesAfterSleep,
    /// Rosters are never compared.
    NoComparing,
}
