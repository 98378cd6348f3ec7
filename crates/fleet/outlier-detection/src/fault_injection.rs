//! Faults that tests inject, one at a time, to show that the tests detect them.

/// A fault of the implementation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A report that is received twice is added to what is known of its front.
    DuplicatesAdded,
    /// This front's own report is accepted from others.
    OwnReportFromOthers,
    /// An ejection applies to whichever process runs at the server's address.
    IgnoresInstance,
    /// A front for which all attempts fail counts as any other.
    TrustsFailingFronts,
    /// Reports and ejections never expire.
    NoExpiry,
    /// Any part of a zone's capacity may be ejected.
    NoEjectionLimit,
    /// Fronts of one zone are enough.
    OneZone,
    /// One front is enough.
    OneFront,
    /// One front that finds a server healthy outweighs all others.
    OneHealthyFrontVetoes,
    /// Any front probes an ejected server, with the lease or without.
    ProbesWithoutLease,
    /// A server comes back for all sessions at once.
    NoProbation,
    /// One front's successful probe ends an ejection.
    OneProbe,
}
