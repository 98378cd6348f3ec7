//! A replica of the coordinator: a consensus node, and the replicated state that its log produces.
//!
//! The state consists of components, each defined by a crate that knows neither the log nor the others: leases
//! (`beechloft_leases`), topics (`beechloft_topic`), quotas (`beechloft_quotas`) and the placement (`beechloft_placement`). A
//! module here for each of them applies its commands, proposes what is due by the leader's clock, and notifies clients.
//! [`Replica`] is a node of the cluster with all components, as a replicated state machine (Schneider, "Implementing
//! Fault-Tolerant Services Using the State Machine Approach", ACM Computing Surveys 1990). It uses no sockets, clocks, threads or
//! files. The types of `beechloft_consensus` enforce that state is durable before anything that depends on it is sent.
//!
//! A new component needs a module in `components` that implements `Component`, a field of `ReplicatedState`, a variant of
//! [`Command`] with a tag, and a variant of `PendingRequest`. `docs/fleet.md` explains the design of each component.
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
