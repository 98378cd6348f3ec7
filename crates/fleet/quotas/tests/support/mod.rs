//! Simulation of fronts, a ledger and media servers in one process under a simulated clock, with faults of processes, clocks and the
//! network. Limits are checked against the sessions at the media servers, never against what fronts report.

mod front_node;
mod invariants;
mod sessions;
mod simulation;

use std::time::Duration;

use beechloft_leases::Name;

pub use simulation::Simulation;

/// Bound of the drift of all clocks, parts per million.
const MAX_DRIFT_PPM: u32 = 50_000;

pub fn name(text: &str) -> Name {
    Name::try_from(text.to_owned()).expect("a valid name")
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}
