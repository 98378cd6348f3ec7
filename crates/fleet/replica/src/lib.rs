//! A replica of the coordinator: a consensus node, and the replicated state that its log produces.
//!
//! The state consists of components, each defined by a crate that knows neither the log nor the others: leases
//! (`beechloft_leases`), topics (`beechloft_topic`), quotas (`beechloft_quotas`) and the placement (`beechloft_placement`). For
//! each, a module here says how its commands are applied, what the leader does about time, and which clients are informed.
//! [`Replica`] is a node of the cluster with all of them, as a replicated state machine (Schneider, "Implementing Fault-Tolerant
//! Services Using the ReplicatedState Machine Approach", ACM Computing Surveys 1990). It uses no sockets, clocks, threads or files. That
//! state is durable before anything that depends on it is sent is enforced by the types of `beechloft_consensus`.
//!
//! To add a component: a module in `components` that implements `Component`, a field of `ReplicatedState`, and a variant of
//! [`Command`] with its tag and of `PendingRequest`. `docs/fleet.md` has the reasons for each.
#![forbid(unsafe_code)]

mod command;
mod components;
mod fault_injection;
mod input;
mod output;
mod pending_requests;
mod replica;
mod snapshot;

pub use command::Command;
pub use fault_injection::Fault;
pub use input::{ClientId, ReplicaInput};
pub use output::ReplicaOutput;
pub use replica::Replica;
pub use snapshot::StateError;
