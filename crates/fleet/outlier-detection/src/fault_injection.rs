//! Faults that tests inject, one at a time, to show that the tests detect them.

/// A fault that a test injects into the implementation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The counts of a report that is received twice are added up.
    DuplicatesAdded,
    /// A front accepts its own report from others.
    OwnReportFromOthers,
    /// An ejection also applies to a new process of the same server.
    IgnoresInstance,
    /// Reports of fronts for which all attempts fail count as well.
    TrustsFailingFronts,
    /// Reports and ejections never expire.
    NoExpiry,
    /// All of a zone's capacity may be ejected.
    NoEjectionLimit,
    /// Fronts of a single zone suffice for an ejection.
    OneZone,
    /// A single front suffices for an ejection.
    OneFront,
    /// A single front that finds a server healthy outweighs all others.
    OneHealthyFrontVetoes,
    /// Fronts probe ejected servers without holding the lease.
    ProbesWithoutLease,
    /// A server whose ejection ends is offered to all sessions at once.
    NoProbation,
    /// The successful probe of a single front ends an ejection.
    OneProbe,
}
