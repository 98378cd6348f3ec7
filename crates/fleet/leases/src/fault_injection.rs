//! Faults that tests inject, one at a time, to verify that the checks detect them.

/// A fault. Without the feature `fault_injection` none can be injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// Replicas and holders ignore the drift bound.
    DriftIgnored,
    /// A holder measures the time to live from the arrival of the answer.
    TtlFromArrival,
    /// A grant gets the token of the grant before it.
    TokenReused,
    /// A renewal of a released lease is accepted.
    ReleasedGrantRenewed,
    /// A new leader does not restart the time to live of existing grants.
    TtlNotRestartedOnElection,
    /// A new slot is used at once.
    SlotUsedAtOnce,
    /// A smaller slot count is used at once.
    SmallerCountAtOnce,
    /// Two concurrent grants of a task may have the same slot.
    SlotGrantedTwice,
    /// A slot that was taken over is used at once, whatever its last holder did.
    RemainderIgnored,
    /// A holder uses its slot after it has handed it off.
    UsedAfterHandoff,
    /// A successor does not take over the slot count.
    SlotCountNotInherited,
    /// A slot that was handed off is taken over repeatedly.
    HandoffRepeated,
    /// A slot is taken over whatever grants have ended since its holder was last renewed.
    EndedGrantIgnored,
}
