//! The right to perform a protected operation.

use std::time::Duration;

use crate::message::{GrantPosition, Succession, Token};

/// The right to act until a time.
///
/// It can't be copied and yields its token for the present moment alone, so that a process that was paused in between finds it
/// expired.
#[derive(Debug)]
pub struct Permit {
    pub(super) token: Token,
    pub(super) position: GrantPosition,
    pub(super) succession: Option<Succession>,
    pub(super) expires_at: Duration,
}

impl Permit {
    /// The token to act with now, or `None` if the permit has expired. `now` must be read right before the operation, from the
    /// clock that the holder uses.
    pub fn token_at(&self, now: Duration) -> Option<Token> {
        (now < self.expires_at).then_some(self.token)
    }

    /// The position of the grant, as of its last renewal.
    pub fn position(&self) -> GrantPosition {
        self.position
    }

    /// What was taken over with the slot, if it was handed off to this holder.
    pub fn succession(&self) -> Option<Succession> {
        self.succession
    }

    /// When it expires, unless the lease is renewed and another permit taken.
    pub fn expires_at(&self) -> Duration {
        self.expires_at
    }
}
