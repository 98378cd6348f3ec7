//! Retransmission of requests, with exponential backoff and jitter.

use std::time::Duration;

use rand::RngExt;

use super::Holder;
use super::state::{PendingRequest, State};

/// Delay of the first retransmission. It doubles with each further one, up to eight times, except for renewals, whose time is
/// limited.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// A renewal has half a dozen tries within the time to live that is left when it begins.
const MIN_RETRIES_PER_TTL: u32 = 12;
/// After so many transmissions a new request replaces the old one, since a time to live counts from the creation of its request.
const MAX_TRIES: u32 = 4;
/// A request that must stay the same counts at most so many transmissions.
const MAX_TRIES_OF_SAME: u32 = 2;
/// The delay doubles at most this often.
const MAX_DOUBLINGS: u32 = 3;

impl Holder {
    /// A random delay between half the span and all of it, so that holders that failed together do not retry together.
    #[expect(clippy::cast_possible_truncation, reason = "spans are hours at most")]
    pub(super) fn jittered(&mut self, span: Duration) -> Duration {
        let micros = span.as_micros() as u64;
        Duration::from_micros(self.rng.random_range(micros / 2..=micros))
    }

    pub(super) fn new_request(&mut self) -> PendingRequest {
        self.last_seq += 1;
        let delay = self.jittered(self.retry_delay());
        PendingRequest { seq: self.last_seq, created_at: self.now, retry_at: self.now + delay, tries: 1 }
    }

    fn retry_delay(&self) -> Duration {
        RETRY_DELAY.min(self.spec.ttl() / MIN_RETRIES_PER_TTL)
    }

    /// The next transmission of a request: the same one, or a new one after [`MAX_TRIES`].
    pub(super) fn retry(&mut self, request: PendingRequest) -> PendingRequest {
        if request.tries >= MAX_TRIES {
            return self.new_request();
        }
        let is_renewal = matches!(self.state, State::Held(_));
        let doublings = if is_renewal { 0 } else { request.tries.min(MAX_DOUBLINGS) };
        let delay = self.jittered(self.retry_delay() * 2u32.pow(doublings));
        PendingRequest { tries: request.tries + 1, retry_at: self.now + delay, ..request }
    }

    /// The next transmission of a request that must stay the same, so that it is applied once.
    pub(super) fn retry_same(&mut self, request: PendingRequest) -> PendingRequest {
        let tries = request.tries.min(MAX_TRIES_OF_SAME);
        self.retry(PendingRequest { tries, ..request })
    }
}
