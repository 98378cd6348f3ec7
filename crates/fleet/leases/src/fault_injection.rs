//! Faults that tests inject, one at a time, to verify that the checks detect them.

/// Deliberate defect in the lease protocol. It can be injected only with the feature `fault_injection`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// Replicas and holders ignore the drift bound.
    DriftIgnored,
    /// A holder measures the time to live from the arrival of the answer instead of the creation of the request.
    TtlFromArrival,
    /// A grant gets the token of the previous grant.
    TokenReused,
    /// A renewal of a released lease is accepted.
    ReleasedGrantRenewed,
    /// A new leader does not restart the time to live of existing grants.
    TtlNotRestartedOnElection,
    /// A holder uses a new slot without the wait.
    SlotUsedAtOnce,
    /// A holder uses a smaller slot count without the wait.
    SmallerCountAtOnce,
    /// Two concurrent grants of a task may have the same slot.
    SlotGrantedTwice,
    /// A successor ignores the remaining wait of its predecessor and uses the slot immediately.
    RemainderIgnored,
    /// A holder uses its slot after it has handed it off.
    UsedAfterHandoff,
    /// A successor does not inherit the slot count of its predecessor.
    SlotCountNotInherited,
    /// More than one successor takes over the same handed-off slot.
    HandoffRepeated,
    /// A succession is granted although an unknown grant has ended since the predecessor's last renewal.
    EndedGrantIgnored,
}
