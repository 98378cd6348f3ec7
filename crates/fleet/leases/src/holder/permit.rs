//! Permission to perform protected operations.

use std::time::Duration;

use crate::message::{GrantPosition, Succession, Token};

/// Permission to perform protected operations until a given time.
///
/// A permit cannot be copied, and it returns its token only for the current time. A process that was paused after it took the
/// permit therefore finds it expired.
#[derive(Debug)]
pub struct Permit {
    pub(super) token: Token,
    pub(super) position: GrantPosition,
    pub(super) succession: Option<Succession>,
    pub(super) expires_at: Duration,
}

impl Permit {
    /// Returns the token for an operation at `now`. Returns `None` if the permit has expired.
    ///
    /// `now` must be read from the holder's clock right before the operation.
    pub fn token_at(&self, now: Duration) -> Option<Token> {
        (now < self.expires_at).then_some(self.token)
    }

    /// Returns the position of the grant, as of its last renewal.
    pub fn position(&self) -> GrantPosition {
        self.position
    }

    /// Returns the state inherited with the slot. Returns `None` if the slot was not handed off to this holder.
    pub fn succession(&self) -> Option<Succession> {
        self.succession
    }

    /// Returns when the permit expires. A renewal of the lease does not extend an existing permit.
    pub fn expires_at(&self) -> Duration {
        self.expires_at
    }
}
