//! Messages between holders and replicas, and the commands of the replicated log.
//!
//! The names in `serde(rename)` attributes are those of the JSON encoding. The postcard encoding is determined by the order of
//! variants and fields.

mod request;
mod response;

use serde::{Deserialize, Serialize};

pub use request::{Command, Handoff, Op, Request};
pub use response::{Answer, GrantPosition, InstanceGrant, Rejection, Response, Succession};

/// Identifier of one run of a process that acquires leases. It is drawn at random at each start, so that a restarted process is
/// a new holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HolderId(pub u64);

/// Fencing token of a grant. It is greater than the tokens of all earlier grants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Token(pub u64);

/// Identifier of a replica in the consensus group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId(pub u64);
