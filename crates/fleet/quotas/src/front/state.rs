//! The states of a front's account.

use std::sync::Arc;
use std::time::Duration;

use crate::message::{AccountId, Op};

/// A request that was not answered yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct PendingRequest {
    pub seq: u64,
    /// When the request was created, which precedes all of its transmissions.
    pub created_at: Duration,
    pub retry_at: Duration,
    /// Number of transmissions.
    pub tries: u32,
    pub op: Arc<Op>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum State {
    /// No hard limit is known, so no account is needed.
    Idle,
    Opening(PendingRequest),
    Open {
        account: AccountId,
        until: Duration,
        reported_at: Duration,
        pending: Option<PendingRequest>,
    },
    Closing {
        account: AccountId,
        until: Duration,
        request: PendingRequest,
    },
    Closed,
}
