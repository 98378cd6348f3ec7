//! When the event bus is requested next.

use beechloft::api::Micros;
use beechloft_front_node::ExponentialBackoff;

use crate::limits::SocketLimits;

/// Waits between responses without new events grow up to this, past those for a bus that refuses connections
/// (`bus_retry_max`). It is less than the 2 s after which a change that a broken stream should have reported counts as
/// reported.
const FRUITLESS_RETRY_MAX: Micros = Micros(1_500_000);

/// The first wait from a suspicion about an open stream to the request. Half of it is random, as all front nodes meet the
/// same dead media server. A change that a silent bus should have reported counts as reported after 4 s: no request earlier.
const SUSPICION_WAIT_MIN: Micros = Micros(8_000_000);

/// The longest such wait, while requests bring nothing new: a listed media server that refuses connections is then the
/// fault, and each request is one of hundreds of front nodes.
const SUSPICION_WAIT_MAX: Micros = Micros(60_000_000);

/// How a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestFailure {
    /// Nothing came on the connection, or there was none.
    NoResponse,
    /// Something came, but the connection is over.
    Disconnected,
}

/// Decides when the event bus is requested next.
pub(super) struct RetryPolicy {
    connect_at: Micros,
    /// Waits after connections on which nothing came.
    no_response: ExponentialBackoff,
    /// Waits after responses without new events.
    fruitless: ExponentialBackoff,
    /// Waits from a suspicion to the request.
    suspicion: ExponentialBackoff,
    /// There is a suspicion: when events are requested again if no new one comes.
    suspicion_due: Option<Micros>,
}

impl RetryPolicy {
    /// A policy whose first request is due at once. The seed decides the random parts of the waits.
    pub fn new(limits: &SocketLimits, seed: u64) -> RetryPolicy {
        let backoff = |min, max, offset: u64| ExponentialBackoff::new(min, max, seed.wrapping_add(offset));
        let fruitless_max = FRUITLESS_RETRY_MAX.max(limits.bus_retry_max);
        RetryPolicy {
            connect_at: Micros(0),
            no_response: backoff(limits.bus_retry_min, limits.bus_retry_max, 0),
            fruitless: backoff(limits.bus_retry_min, fruitless_max, 1),
            suspicion: backoff(SUSPICION_WAIT_MIN, SUSPICION_WAIT_MAX, 2),
            suspicion_due: None,
        }
    }

    /// A new event has come: earlier failures are over.
    pub fn reset(&mut self) {
        self.forget_failures();
        self.suspicion.reset();
        self.suspicion_due = None;
    }

    /// The next wait is as short as the first.
    pub fn forget_failures(&mut self) {
        self.no_response.reset();
        self.fruitless.reset();
    }

    /// Schedules the request after a failure.
    pub fn schedule(&mut self, now: Micros, failure: RequestFailure) {
        let backoff = match failure {
            RequestFailure::NoResponse => &mut self.no_response,
            RequestFailure::Disconnected => &mut self.fruitless,
        };
        self.connect_at = now + backoff.next_delay();
    }

    /// Schedules the request for this time.
    pub fn connect_at(&mut self, at: Micros) {
        self.connect_at = at;
    }

    /// Whether the request is due.
    pub fn is_connect_due(&self, now: Micros) -> bool {
        now >= self.connect_at
    }

    /// There is a reason to suspect the open stream.
    pub fn suspect(&mut self, now: Micros) {
        if self.suspicion_due.is_none() {
            self.suspicion_due = Some(now + self.suspicion.next_delay());
        }
    }

    /// The suspicion is answered by a request.
    pub fn clear_suspicion(&mut self) {
        self.suspicion_due = None;
    }

    /// Whether a suspicion is due; it is then cleared.
    pub fn take_due_suspicion(&mut self, now: Micros) -> bool {
        self.suspicion_due.take_if(|due| now >= *due).is_some()
    }
}
