//! Retransmission of requests, with exponential backoff and jitter.

use std::time::Duration;

use rand::RngExt;

use super::Holder;
use super::state::{PendingRequest, State};

/// Maximum delay of the first retransmission. The delay doubles with each further one, up to eightfold. Renewals keep the same
/// delay because they must succeed within the time to live.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Minimum number of retransmission delays per time to live. It gives a renewal at least six transmissions within the time to
/// live that remains when it starts.
const MIN_RETRIES_PER_TTL: u32 = 12;
/// Number of transmissions after which a new request replaces the pending one, because the time to live is measured from the
/// creation of the request.
const MAX_TRANSMISSIONS: u32 = 4;
/// Maximum transmission count that is recorded for a request that must not be replaced by a new one.
const MAX_COUNTED_TRANSMISSIONS: u32 = 2;
/// Maximum number of times that the delay doubles.
const MAX_DOUBLINGS: u32 = 3;

impl Holder {
    /// Returns a random delay between half of `span` and `span`, so that holders that failed together do not retry together.
    #[expect(clippy::cast_possible_truncation, reason = "spans are hours at most")]
    pub(super) fn jittered(&mut self, span: Duration) -> Duration {
        let micros = span.as_micros() as u64;
        Duration::from_micros(self.rng.random_range(micros / 2..=micros))
    }

    pub(super) fn new_request(&mut self) -> PendingRequest {
        self.last_seq += 1;
        let delay = self.jittered(self.retry_delay());
        PendingRequest {
            seq: self.last_seq,
            created_at: self.now,
            retry_at: self.now + delay,
            transmissions: 1,
        }
    }

    fn retry_delay(&self) -> Duration {
        RETRY_DELAY.min(self.spec.ttl() / MIN_RETRIES_PER_TTL)
    }

    /// Returns the next transmission of a request, which is a new request after [`MAX_TRANSMISSIONS`].
    pub(super) fn retry(&mut self, request: PendingRequest) -> PendingRequest {
        if request.transmissions >= MAX_TRANSMISSIONS {
            return self.new_request();
        }
        let is_renewal = matches!(self.state, State::Held(_));
        let doublings = if is_renewal { 0 } else { request.transmissions.min(MAX_DOUBLINGS) };
        let delay = self.jittered(self.retry_delay() * 2u32.pow(doublings));
        PendingRequest { transmissions: request.transmissions + 1, retry_at: self.now + delay, ..request }
    }

    /// Returns the next transmission of a request that must keep its sequence number, so that it is applied only once.
    pub(super) fn retry_same(&mut self, request: PendingRequest) -> PendingRequest {
        let transmissions = request.transmissions.min(MAX_COUNTED_TRANSMISSIONS);
        self.retry(PendingRequest { transmissions, ..request })
    }
}
