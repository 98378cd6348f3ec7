//! Timer values of RFC 3261, table 4, and RFC 6026, section 7.1.

use beechloft_session::api::Micros;

/// Estimate of the round-trip time.
pub const T1: Micros = Micros(500_000);
/// Maximum retransmission interval of a non-INVITE request and of a response to an INVITE.
pub const T2: Micros = Micros(4_000_000);
/// Maximum time that a message remains in the network.
pub const T4: Micros = Micros(5_000_000);
/// Timeout of a transaction: 64 times [`T1`] (timers B, F, H, J, L and M).
pub const TRANSACTION_TIMEOUT: Micros = Micros(64 * T1.0);
/// Time for which an INVITE client transaction absorbs retransmitted failures over UDP (timer D).
pub const TIMER_D: Micros = Micros(32_000_000);
/// Time after which an INVITE server transaction sends a 100 if its user has not responded (section 17.2.1).
pub const TRYING_DELAY: Micros = Micros(200_000);

/// Retransmission interval that doubles up to a maximum.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    interval: Micros,
    max_interval: Micros,
}

impl Backoff {
    /// Returns a backoff for an INVITE: from T1, doubling until the transaction times out (timer A).
    pub fn invite() -> Self {
        Backoff { interval: T1, max_interval: TRANSACTION_TIMEOUT }
    }

    /// Returns a backoff from T1 up to T2 (timers E and G).
    pub fn bounded() -> Self {
        Backoff { interval: T1, max_interval: T2 }
    }

    /// Returns a constant backoff of T2 (timer E after a provisional response).
    pub fn slow() -> Self {
        Backoff { interval: T2, max_interval: T2 }
    }

    /// Returns the current interval and doubles the next one.
    pub fn next_interval(&mut self) -> Micros {
        let interval = self.interval;
        self.interval = Micros((interval.0 * 2).min(self.max_interval.0));
        interval
    }
}
