//! The states of a front's account.

use std::sync::Arc;
use std::time::Duration;

use crate::message::{AccountId, Op};

/// A request without answer so far.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct PendingRequest {
    pub seq: u64,
    /// When it was created_at, before any copy of it left.
    pub created_at: Duration,
    pub retry_at: Duration,
    pub tries: u32,
    pub op: Arc<Op>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum State {
    /// No hard limit is known, and no account is needed.
    Idle,
    Opening(PendingRequest),
    Open {
        account: AccountId,
        until: Duration,
        reported_at: Duration,
        out: Option<PendingRequest>,
    },
    Closing {
        account: AccountId,
        until: Duration,
        out: PendingRequest,
    },
    Closed,
}
