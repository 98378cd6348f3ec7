//! The timer values of RFC 3261, table 4, and RFC 6026, section 7.1.

use beechloft_session::api::Micros;

/// Estimate of a round trip.
pub const T1: Micros = Micros(500_000);
/// Longest pause between two retransmissions of a request other than INVITE and of a response to INVITE.
pub const T2: Micros = Micros(4_000_000);
/// Longest time that a message stays in the network.
pub const T4: Micros = Micros(5_000_000);
/// How long a transaction is tried: 64 times [`T1`] (timers B, F, H, J, L and M).
pub const TRIES: Micros = Micros(64 * T1.0);
/// How long an INVITE client transaction absorbs repeated failures over UDP (timer D).
pub const ABSORB: Micros = Micros(32_000_000);
/// When a server transaction answers 100 by itself, if its user has said nothing (section 17.2.1).
pub const TRYING: Micros = Micros(200_000);

/// A pause that doubles, up to a bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    pause: Micros,
    most: Micros,
}

impl Backoff {
    /// Begins at T1, unbounded (timer A).
    pub fn invite() -> Self {
        Backoff { pause: T1, most: TRIES }
    }

    /// Begins at T1, up to T2 (timers E and G).
    pub fn bounded() -> Self {
        Backoff { pause: T1, most: T2 }
    }

    /// Always T2 (timer E once a provisional response has come).
    pub fn slow() -> Self {
        Backoff { pause: T2, most: T2 }
    }

    /// The pause now; the next is twice as long.
    pub fn take(&mut self) -> Micros {
        let pause = self.pause;
        self.pause = Micros((pause.0 * 2).min(self.most.0));
        pause
    }
}
