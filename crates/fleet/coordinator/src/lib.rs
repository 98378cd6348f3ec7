//! The coordinator of a fleet on sockets and disk, and its clients.
//!
//! [`CoordinatorServer`] runs a replica of `beechloft_replica`. One thread owns the replica and the store. It takes a bounded
//! batch of inbound messages, persists their outputs in one write (group commit) and sends the outputs. Each connection has a
//! reader thread and a writer thread, and a bounded queue before the writer: a peer that does not read loses only its own
//! messages and delays no other peer. A message that can't be queued is dropped, and the protocol sends it again.
//!
//! [`MembershipService`] makes this process a member of the fleet. It runs `beechloft_membership` on a thread with a UDP socket,
//! bound to the address on which the process listens for TCP.
//!
//! A front uses [`FrontLeases`] for its slot and for the lease that permits a restart, [`QuotaClient`] for the quotas of all
//! fronts, and [`OutlierDetector`] for the ejection of media servers.
//!
//! [`topics`] contains a publisher and a follower of topics. Replicas serve topics from their applied state.
//!
//! Processes listen on a separate address that is meant for a private network, as there is no authentication. A message for
//! another fleet, of another version, above the maximum size or with a wrong checksum closes its connection and is counted.
#![forbid(unsafe_code)]

pub mod client;
mod connections;
mod front_leases;
pub mod history;
mod inbound_budget;
mod membership;
mod outlier_detector;
mod peer_link;
mod quota_client;
mod server;
mod settings;
mod store;
pub mod topics;
pub mod wire;

pub use front_leases::{FrontLeases, FrontSlot};
pub use membership::{GossipRow, MembershipService};
pub use outlier_detector::{AttemptReport, OutlierDetector};
pub use quota_client::QuotaClient;
pub use server::{CoordinatorServer, ServerError};
pub use settings::{
    FleetSettings, KnownNames, OutlierDetectionSettings, QuotaSettings, RollingRestart, TopicSpec,
};
pub use store::{LogStore, OpenError};
