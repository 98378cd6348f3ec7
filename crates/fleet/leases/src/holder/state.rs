//! States of a holder.

use std::time::Duration;

use crate::message::{GrantPosition, Handoff, InstanceGrant, Token};

/// Request that has not been answered yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct PendingRequest {
    pub seq: u64,
    /// Time of creation, before the first transmission. The time to live is measured from here.
    pub created_at: Duration,
    pub retry_at: Duration,
    pub transmissions: u32,
}

/// Grant that is currently held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct HeldGrant {
    pub token: Token,
    pub position: GrantPosition,
    pub instance_grant: InstanceGrant,
    pub expires_at: Duration,
    pub renew_at: Duration,
    pub renewal: Option<PendingRequest>,
}

/// Grant that is being released or handed off, and is no longer used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct EndingGrant {
    pub token: Token,
    /// Time at which retries stop.
    pub until: Duration,
    pub request: PendingRequest,
    /// Present if the grant is being handed off.
    pub handoff: Option<Handoff>,
}

/// State of a holder.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum State {
    /// The lease is neither held nor requested.
    Idle,
    /// A request to acquire the lease is pending.
    Acquiring(PendingRequest),
    /// No slot was free. The next attempt is due at this time.
    Waiting(Duration),
    /// The lease is held.
    Held(HeldGrant),
    /// The grant is being released or handed off.
    Ending(EndingGrant),
}

impl State {
    /// Returns when a holder in this state needs a tick. Returns `None` if it needs none.
    pub fn next_due(&self) -> Option<Duration> {
        match self {
            State::Idle => None,
            State::Acquiring(request) => Some(request.retry_at),
            State::Waiting(until) => Some(*until),
            State::Held(held) => {
                let renewal_at = held.renewal.map_or(held.renew_at, |renewal| renewal.retry_at);
                Some(renewal_at.min(held.expires_at))
            }
            State::Ending(ending) => Some(ending.request.retry_at.min(ending.until)),
        }
    }
}
