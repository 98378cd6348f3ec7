//! The coordinator of a fleet on sockets and disk, and its clients.
//!
//! [`CoordinatorServer`] runs a replica of `beechloft_replica`. One thread has the replica and the store: it takes the messages
//! that have come in, up to a bound, writes once for all of them (group commit) and sends the outputs. Each connection has a
//! thread that reads and one that writes, with a bounded queue between: a peer that does not read loses its own messages and holds
//! up nobody. What can't be queued is dropped, and the protocol sends it again.
//!
//! [`MembershipService`] is this process as a member of the fleet: a thread with a UDP socket around `beechloft_membership`, on the
//! address that replicas have for TCP.
//!
//! [`FrontLeases`], [`QuotaClient`] and [`OutlierDetector`] are what a front has of the fleet: its slot and its turn to restart,
//! the quotas of all fronts, and the ejection of media servers.
//!
//! [`topics`] has the publisher and the follower of topics, which replicas serve from what they have applied.
//!
//! Processes listen on an address of their own, meant for a private network: there is no authentication. A message for another
//! fleet, of another version, too long or with a wrong checksum closes its connection and is counted.
#![forbid(unsafe_code)]

pub mod client;
mod connections;
mod front_leases;
pub mod history;
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
