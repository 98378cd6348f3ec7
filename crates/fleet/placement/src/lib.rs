//! Decision logic of the placement, without I/O. Customers pin shards of their titles to regions.
//!
//! [`Placements`] is the state that consensus replicates. It admits requests as a whole, and each change of a copy's state is a
//! command. [`Worker`] runs under a lease: it proposes steps and gives orders to media servers, and has no state that a successor
//! needs. [`MediaServer`] executes the orders. [`View`] is a front's view of the placement: the media servers that may serve a
//! title, and the lease that allows the front to rely on them. `docs/placement.md` has the rules and their reasons.
//!
//! A copy is the content of a shard on one media server. A replica is a process of the coordinator.
#![forbid(unsafe_code)]

mod fault_injection;
pub mod front;
pub mod media_server;
pub mod plan;
pub mod protocol;
pub mod state;
pub mod worker;

pub use fault_injection::Fault;
pub use front::{AllowedServers, View};
pub use media_server::MediaServer;
pub use protocol::answers::{Answer, Event, Outcome, Reason, Record, RenewOutcome};
pub use protocol::commands::{Change, ChangeKind, Command, OperatorCommand, Quota, Renew, Rules, Step};
pub use protocol::names;
pub use protocol::request::{Request, Resources};
pub use protocol::shard::Titles;
pub use state::{LeaseDeadlines, Placements};
pub use worker::Worker;
