//! Schedules requests to the event bus: reconnects, and repeated requests when the stream may have lost events.

use beechloft::api::Micros;
use beechloft_front_node::ExponentialBackoff;

use crate::limits::SocketLimits;

/// Maximum delay after a response without new events. It exceeds the maximum for a bus that does not respond
/// (`bus_retry_max`).
///
/// A change must be received within 2 s even if the stream breaks, so the delay is shorter than that.
const NO_NEW_EVENTS_RETRY_MAX: Micros = Micros(1_500_000);

/// First delay between a suspicion about an open stream and the repeated request.
///
/// Half of the delay is random, as all front nodes detect a failed media server at the same time. A silent stream has
/// 4 s to report a change, so no request is sent earlier.
const SUSPICION_WAIT_MIN: Micros = Micros(8_000_000);

/// Maximum delay between a suspicion and the repeated request.
///
/// The delay grows while requests return no new events. The cause is then a media server that is listed and refuses
/// connections, and hundreds of front nodes send such requests.
const SUSPICION_WAIT_MAX: Micros = Micros(60_000_000);

/// Way in which a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestFailure {
    /// The connect failed, or no data was received on the connection.
    NoResponse,
    /// The connection ended or fell silent after data was received.
    Disconnected,
}

/// Schedule of requests to the event bus.
pub(super) struct RetryPolicy {
    /// Time of the next request. `None` if no request is scheduled.
    request_due: Option<Micros>,
    /// Delays after connections without received data.
    no_response: ExponentialBackoff,
    /// Delays after responses without new events.
    no_new_events: ExponentialBackoff,
    /// Delays between a suspicion and the repeated request.
    suspicion: ExponentialBackoff,
    /// Time at which events are requested again unless a new event arrives. `None` without a suspicion.
    suspicion_due: Option<Micros>,
}

impl RetryPolicy {
    /// Creates a policy whose first request is due immediately. The seed determines the random parts of the delays.
    pub fn new(limits: &SocketLimits, seed: u64) -> RetryPolicy {
        let backoff = |min, max, offset: u64| ExponentialBackoff::new(min, max, seed.wrapping_add(offset));
        let no_new_events_max = NO_NEW_EVENTS_RETRY_MAX.max(limits.bus_retry_max);
        RetryPolicy {
            request_due: Some(Micros(0)),
            no_response: backoff(limits.bus_retry_min, limits.bus_retry_max, 0),
            no_new_events: backoff(limits.bus_retry_min, no_new_events_max, 1),
            suspicion: backoff(SUSPICION_WAIT_MIN, SUSPICION_WAIT_MAX, 2),
            suspicion_due: None,
        }
    }

    /// Resets all delays and clears a suspicion, after a new event has arrived.
    pub fn reset(&mut self) {
        self.reset_failures();
        self.suspicion.reset();
        self.suspicion_due = None;
    }

    /// Resets the delays after failures to the shortest.
    pub fn reset_failures(&mut self) {
        self.no_response.reset();
        self.no_new_events.reset();
    }

    /// Schedules the next request after a failure, unless a request is scheduled already.
    pub fn schedule(&mut self, now: Micros, failure: RequestFailure) {
        if self.request_due.is_some() {
            return;
        }
        let backoff = match failure {
            RequestFailure::NoResponse => &mut self.no_response,
            RequestFailure::Disconnected => &mut self.no_new_events,
        };
        self.request_due = Some(now + backoff.next_delay());
    }

    /// Schedules the next request for a given time.
    pub fn request_at(&mut self, at: Micros) {
        self.request_due = Some(at);
    }

    /// Returns whether a request is scheduled.
    pub fn is_request_scheduled(&self) -> bool {
        self.request_due.is_some()
    }

    /// Cancels the scheduled request.
    pub fn cancel_request(&mut self) {
        self.request_due = None;
    }

    /// Returns whether the scheduled request is due, and removes it from the schedule in that case.
    pub fn take_due_request(&mut self, now: Micros) -> bool {
        self.request_due.take_if(|due| now >= *due).is_some()
    }

    /// Records a suspicion that the open stream has lost events.
    pub fn suspect(&mut self, now: Micros) {
        if self.suspicion_due.is_none() {
            self.suspicion_due = Some(now + self.suspicion.next_delay());
        }
    }

    /// Clears a suspicion, after events were requested again.
    pub fn clear_suspicion(&mut self) {
        self.suspicion_due = None;
    }

    /// Returns whether the repeated request of a suspicion is due, and clears the suspicion in that case.
    pub fn take_due_suspicion(&mut self, now: Micros) -> bool {
        self.suspicion_due.take_if(|due| now >= *due).is_some()
    }
}
