//! The states of a holder.

use std::time::Duration;

use crate::message::{GrantPosition, Handoff, InstanceGrant, Token};

/// A request without answer so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct PendingRequest {
    pub seq: u64,
    /// When it was created, before its first transmission. The time to live is counted from here.
    pub created_at: Duration,
    pub retry_at: Duration,
    pub tries: u32,
}

/// A grant that is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct HeldGrant {
    pub token: Token,
    pub position: GrantPosition,
    pub instance_grant: InstanceGrant,
    pub expires_at: Duration,
    pub renew_at: Duration,
    pub renewal: Option<PendingRequest>,
}

/// A grant that is being released or handed off. Nobody uses it any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct EndingGrant {
    pub token: Token,
    /// When retries stop.
    pub until: Duration,
    pub request: PendingRequest,
    /// Present if it is handed off.
    pub handoff: Option<Handoff>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum State {
    /// The lease is not wanted.
    Idle,
    /// A request to acquire it is pending.
    Acquiring(PendingRequest),
    /// No slot was free; acquired again at this time.
    Waiting(Duration),
    Held(HeldGrant),
    Ending(EndingGrant),
}

impl State {
    /// When a holder in this state needs a tick.
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
