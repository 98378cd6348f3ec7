//! What an evaluation results in.

use crate::detection::{Outlier, TitleAtServer};
use crate::report::ServerInstance;

/// A server that not all sessions are offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exclusion {
    /// The server.
    pub instance: ServerInstance,
    /// The sessions that are offered it, in thousandths; 0: it is ejected.
    pub admitted_per_mille: u16,
}

/// A change of a server's ejection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionEvent {
    /// It is ejected from now on.
    Ejected(Outlier),
    /// It would be ejected, but too much of its zone is already.
    EjectionSuppressed(Outlier),
    /// Its probation begins, as probes succeeded.
    ProbesSucceeded(ServerInstance),
    /// Its probation begins, as it was not detected for long.
    EjectionExpired(ServerInstance),
    /// Its probation is over: all sessions are offered it.
    Reinstated(ServerInstance),
    /// Another process runs in its place.
    InstanceReplaced(ServerInstance),
}

/// The result of an evaluation.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Evaluation {
    /// Servers that not all sessions are offered, those with the most failing fronts first.
    pub exclusions: Vec<Exclusion>,
    /// Titles that no session is offered at some servers.
    pub excluded_titles: Vec<TitleAtServer>,
    /// Whether this front wants the lease for probes.
    pub wants_probe_lease: bool,
    /// The server that this front probes now.
    pub probing: Option<ServerInstance>,
    /// What has changed.
    pub events: Vec<EjectionEvent>,
}
