//! The result of an evaluation by the outlier detector.

use crate::detection::{Outlier, TitleAtServer};
use crate::report::ServerInstance;

/// A server that is not offered to all sessions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exclusion {
    /// The server.
    pub instance: ServerInstance,
    /// Fraction of the sessions that are offered the server, in thousandths. It is 0 while the server is ejected.
    pub admitted_per_mille: u16,
}

/// A change of a server's ejection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionEvent {
    /// The server is ejected.
    Ejected(Outlier),
    /// The server is an outlier, but is not ejected because of the ejection limit of its zone.
    EjectionSuppressed(Outlier),
    /// The server's probation starts because enough probes succeeded.
    ProbesSucceeded(ServerInstance),
    /// The server's probation starts because its ejection expired.
    EjectionExpired(ServerInstance),
    /// The server's probation is over, and it is offered to all sessions.
    Reinstated(ServerInstance),
    /// Another process runs in the server's place, or the server is no longer in the endpoint list.
    InstanceReplaced(ServerInstance),
}

/// The result of an evaluation.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Evaluation {
    /// Servers that are not offered to all sessions, in descending order of their failing fronts.
    pub exclusions: Vec<Exclusion>,
    /// Titles that are offered to no session at a server.
    pub excluded_titles: Vec<TitleAtServer>,
    /// Whether this front wants the probe lease.
    pub wants_probe_lease: bool,
    /// The server that this front is probing, or `None` if there is no probe.
    pub probing: Option<ServerInstance>,
    /// Changes of ejections since the last evaluation.
    pub events: Vec<EjectionEvent>,
}
