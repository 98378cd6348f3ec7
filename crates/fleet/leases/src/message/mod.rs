//! Messages between holders and replicas, and the commands of the replicated log.
//!
//! Names under `serde(rename)` are those of the JSON form. The postcard form is given by the order of variants and fields.

mod request;
mod response;

use serde::{Deserialize, Serialize};

pub use request::{Command, Handoff, Op, Request};
pub use response::{Answer, GrantPosition, InstanceGrant, Rejection, Response, Succession};

/// One run of a process that acquires leases. It is drawn at random at each start, so that a restarted process is a new holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HolderId(pub u64);

/// A fencing token: above those of all earlier grants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Token(pub u64);

/// A replica, by its id in the consensus group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId(pub u64);
