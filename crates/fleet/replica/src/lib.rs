//! What a few keepers agree on: one log, and the replicated state that it makes.
//!
//! The state is composed of parts, each a crate of its own that knows neither the log nor the others: leases
//! (`beechloft_leases`),
//! topics (`beechloft_topic`) and the placement (`beechloft_placement`). Each has a module here that says how its commands are applied, what the keeper that leads does
//! about time for it, and who is told. [`Replica`] is a member of the group with all of them. No sockets, no clock, no
//! threads, no files: what must last before anything goes out is so by the types of `beechloft_consensus`.
//!
//! Adding a part: a module in `parts` that implements `Part`, a field of `State`, and a variant of [`Command`] with its tag
//! and of `Waits`. `docs/fleet.md` has the argument for each.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]
#![forbid(unsafe_code)]

mod asked;
mod command;
mod keeper;
mod parts;
mod planted;
mod snapshot;
mod waiting;

pub use asked::{ClientId, ReplicaInput, ReplicaOutput};
pub use command::Command;
pub use keeper::Replica;
pub use planted::Fault;
pub use snapshot::StateError;
