//! Faults that tests inject, one at a time, to verify that the checks detect them.

/// A fault of the placement. Without the feature `fault_injection` none can be injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// A step is applied regardless of its fencing token.
    IgnoreToken,
    /// A withdrawal takes effect before every front has its record or has lost its lease.
    WithdrawAtOnce,
    /// A front counts its lease from when the answer arrives.
    LeaseFromArrival,
    /// The coordinator and fronts count leases without the drift bound.
    IgnoreDrift,
    /// A copy counts as verified whatever its digest is.
    IgnoreDigest,
    /// Copies are withdrawn before their replacements serve.
    WithdrawBeforeComplete,
    /// Resources are reserved at the start of a copy, not at admission.
    ReserveLate,
    /// The grace period of a drain ends at once.
    NoGracePeriod,
    /// A media server that returns is assumed to have its former copies.
    TrustReturnedDisk,
    /// A media server accepts orders below the highest that it has seen.
    AcceptOldOrders,
    /// An outdated snapshot replaces a front's view.
    AcceptOldSnapshot,
    /// A version is retired while copies of it are left.
    RetireAtOnce,
    /// A new leader does not restart the leases of fronts.
    NoLeaseRestart,
}
