//! A keeper on sockets and disk around `beechloft_replica::Replica`, and the way to keepers for those who ask.
//!
//! One thread has the machine and the disk: it takes what has come, up to a bound, handles all of it into one set of outputs,
//! has the disk save once (group commit), and sends. Each connection has a thread that reads and one that writes, with a bounded
//! queue between: a peer that does not read costs its own messages and nobody else's time. What can't be queued is dropped;
//! the machine sends it again.
//!
//! [`MembershipService`] is this process as a member of the fleet: one thread with a UDP socket around `beechloft_membership::Swim`, on the
//! address that keepers have for TCP.
//!
//! [`FrontLeases`] is what a front asks of the fleet: its number, and its turn to restart.
//!
//! [`topics`] has what processes publish and follow topics by; a keeper serves them from what it has applied.
//!
//! MembershipService listen on an address of their own, meant for a private network: there is no sign-in. A word for another fleet, of
//! another version, too long or with a wrong checksum costs its connection, and is counted.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::missing_errors_doc, clippy::shadow_unrelated)]
#![forbid(unsafe_code)]

pub mod client;
mod connections;
mod front_leases;
pub mod history;
mod membership;
mod outlier_detector;
mod quota_client;
mod server;
mod settings;
mod store;
pub mod topics;
pub mod wire;

pub use front_leases::FrontLeases;
pub use membership::{GossipRow, MembershipService};
pub use outlier_detector::{Noted, OutlierDetector};
pub use quota_client::QuotaClient;
pub use server::{CoordinatorServer, ServerError};
pub use settings::{
    FleetSettings, KnownNames, OutlierDetectionSettings, QuotaSettings, RollingRestart, TopicSpec,
};
pub use store::{LogStore, OpenError};
