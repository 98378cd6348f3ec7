//! Admission decision: accept a new call, or reject it immediately.
//!
//! The indicator of overload is the minimum delay in an interval, from a call's arrival to the session controller's first
//! response. A burst delays some calls, a standing queue delays all of them (the idea of CoDel, RFC 8289, section 4.2).
//! While the queue lasts, new calls are admitted at a rate that is cut as long as the delay persists and grows once it is
//! gone. That rate and the offered load of all neighbours determine the fraction of calls that each neighbour is asked to
//! reduce (RFC 7339, section 5.5).
//!
//! Requests within calls are always accepted. They end calls and free capacity, and rejecting one costs more than it saves.

use std::net::SocketAddr;

use beechloft_session::api::Micros;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

use super::neighbours::{Neighbours, Treatment};
use super::wire::Feedback;
use crate::timer::T1;

/// Length of a measurement interval. It covers some tens of calls at rates where overload is possible.
pub const INTERVAL: Micros = Micros(100_000);
/// Minimum delay up to which there is no overload: a 25th of the time after which a caller retransmits its INVITE.
pub const MAX_QUEUE_DELAY: Micros = Micros(T1.0 / 25);
/// Delay beyond which a call is rejected at any rate: half the time after which its caller retransmits the INVITE.
pub const MAX_CALL_DELAY: Micros = Micros(T1.0 / 2);
/// Time in which the queue beyond [`MAX_QUEUE_DELAY`] is to drain.
const DRAIN_TIME: Micros = T1;
/// Lower bound of the admitted rate as a fraction of the throughput.
const MIN_RATE_FRACTION: f64 = 0.5;
/// Weight of an interval in the smoothed throughput, low because a front that stalled for a moment can process more.
const THROUGHPUT_WEIGHT: f64 = 0.3;
/// Factor by which the rate grows in an interval in which it was the bottleneck.
const RATE_GROWTH: f64 = 1.05;
/// Number of consecutive intervals without overload after which all calls are accepted.
const RECOVERY_INTERVALS: u32 = 20;
/// Number of calls in an interval below which its delay is not significant.
const MIN_SIGNIFICANT_CALLS: u32 = 3;
/// Minimum time span over which a rate is computed.
const MIN_RATE_SPAN: Micros = Micros(5_000);
/// Burst that the rate allows, in intervals.
const BURST_INTERVALS: f64 = 0.5;
/// Maximum `Retry-After`, in seconds.
const MAX_RETRY_AFTER_SECONDS: u64 = 8;
/// Validity of feedback: several intervals, so that one lost response doesn't end it.
const FEEDBACK_VALIDITY: Micros = Micros(5 * INTERVAL.0);

/// Decision on a new call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Accept the call.
    Accept,
    /// Reject the call with the seconds of `Retry-After`. A neighbour that supports overload control gets none, because it
    /// would stop sending altogether.
    Reject(Option<u64>),
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    /// All calls are accepted.
    Normal,
    /// Calls are accepted at a limited rate.
    Shedding(Shedding),
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Shedding {
    /// Admitted calls per second.
    rate: f64,
    /// Calls that may be accepted now.
    tokens: f64,
    refilled_at: Micros,
    /// Fraction of the offered load that the rate admits.
    admitted_fraction: f64,
    /// Smoothed throughput under overload, in calls per second.
    throughput: f64,
    /// Number of consecutive intervals without overload.
    calm_intervals: u32,
}

/// Counters of the current interval.
#[derive(Debug, Clone, Copy, Default)]
struct Interval {
    /// New calls from senders that don't reduce their load.
    thinned: u32,
    /// New calls from neighbours that follow the feedback.
    self_limited: u32,
    accepted: u32,
    /// Calls that the session controller first responded to, which is the front's throughput while a queue persists.
    responses: u32,
    /// Arrival time of the last call.
    last_arrived: Option<Micros>,
    min_delay: Option<Micros>,
}

impl Interval {
    fn record_delay(&mut self, delay: Micros) {
        self.min_delay = Some(self.min_delay.map_or(delay, |minimum| minimum.min(delay)));
    }
}

/// Overload control of a front.
#[derive(Debug)]
pub struct Control {
    enabled: bool,
    started_at: Option<Micros>,
    /// Arrival time of the last call of earlier intervals.
    previous_arrival: Option<Micros>,
    current: Interval,
    state: State,
    neighbours: Neighbours,
    rng: ChaCha8Rng,
}

impl Control {
    /// Creates a control with seeded randomness. A disabled one accepts every call.
    pub fn new(seed: u64, enabled: bool) -> Self {
        Control {
            enabled,
            started_at: None,
            previous_arrival: None,
            current: Interval::default(),
            state: State::Normal,
            neighbours: Neighbours::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the fraction of the offered load that is admitted, 1 without overload.
    pub fn admitted_fraction(&self) -> f64 {
        if let State::Shedding(s) = &self.state { s.admitted_fraction } else { 1.0 }
    }

    /// Returns the limit of accepted calls per second, or `None` without overload.
    pub fn rate(&self) -> Option<f64> {
        if let State::Shedding(s) = &self.state { Some(s.rate) } else { None }
    }

    /// Decides on a new call that arrived at a time.
    ///
    /// `supports_control` states that its sender supports loss-based overload control.
    pub fn decide(
        &mut self,
        now: Micros,
        arrived: Micros,
        from: SocketAddr,
        supports_control: bool,
    ) -> Decision {
        if !self.enabled {
            return Decision::Accept;
        }
        self.roll_interval(now);
        let treatment =
            if supports_control { self.neighbours.record_call(now, from) } else { Treatment::Thinned };
        let self_limited = treatment == Treatment::SelfLimited;
        *(if self_limited { &mut self.current.self_limited } else { &mut self.current.thinned }) += 1;
        self.current.last_arrived = self.current.last_arrived.max(Some(arrived));
        let delay = now - arrived;
        let accepted = delay <= MAX_CALL_DELAY && self.has_capacity(now, self_limited);
        if accepted {
            self.current.accepted += 1;
            return Decision::Accept;
        }
        if delay > MAX_CALL_DELAY {
            self.current.record_delay(delay);
        }
        Decision::Reject((!supports_control).then(|| self.retry_after_seconds()))
    }

    /// Returns whether the rate and random thinning admit a call. A neighbour that follows the feedback is not thinned again.
    fn has_capacity(&mut self, now: Micros, self_limited: bool) -> bool {
        let State::Shedding(s) = &mut self.state else { return true };
        let max_tokens = (s.rate * INTERVAL.secs() * BURST_INTERVALS).max(1.0);
        s.tokens = (s.tokens + s.rate * (now - s.refilled_at).secs()).min(max_tokens);
        s.refilled_at = now;
        if s.tokens < 1.0 || !(self_limited || random_fraction(&mut self.rng) < s.admitted_fraction) {
            return false;
        }
        s.tokens -= 1.0;
        true
    }

    /// Records the session controller's first response to a call that arrived at a time.
    pub fn record_response(&mut self, now: Micros, arrived: Micros) {
        self.current.record_delay(now - arrived);
        self.current.responses += 1;
        self.roll_interval(now);
    }

    /// Returns the feedback to include in a response to a neighbour that supports overload control.
    ///
    /// Returns `None` if the neighbour needs none.
    #[expect(clippy::cast_possible_truncation, reason = "clamped to a percentage")]
    pub fn feedback(&mut self, now: Micros, to: SocketAddr) -> Option<Feedback> {
        let admitted = self.admitted_fraction();
        if !self.enabled || !self.neighbours.record_feedback(to, admitted) {
            return None;
        }
        // Rounded down, because the rate limits the load anyway and a front that asks for no calls would starve.
        let percent = ((1.0 - admitted) * 100.0).floor().clamp(0.0, 99.0) as u8;
        // Time in whole intervals as the sequence number of section 4.4, so that each interval has its own.
        Some(Feedback { percent, validity: FEEDBACK_VALIDITY, seq: now.0 / INTERVAL.0 })
    }

    /// Returns a random `Retry-After` in seconds, so that callers don't retry all at once. Its range grows with the overload.
    #[expect(clippy::cast_possible_truncation, reason = "limited to MAX_RETRY_AFTER_SECONDS")]
    fn retry_after_seconds(&mut self) -> u64 {
        let max_seconds =
            (2.0 / self.admitted_fraction().max(0.01)).ceil().min(MAX_RETRY_AFTER_SECONDS as f64) as u64;
        1 + self.rng.next_u64() % max_seconds
    }

    /// Ends the current interval if its time is over.
    fn roll_interval(&mut self, now: Micros) {
        let started_at = *self.started_at.get_or_insert(now);
        let length = now - started_at;
        if length < INTERVAL {
            return;
        }
        self.started_at = Some(now);
        let i = std::mem::take(&mut self.current);
        let seconds = length.secs();
        // Queued calls are seen later than they arrived, so their rate is computed over the span of their arrivals.
        let last_arrived = i.last_arrived.unwrap_or(now);
        let span = self
            .previous_arrival
            .map_or(length, |previous_arrival| (last_arrived - previous_arrival).max(MIN_RATE_SPAN))
            .secs();
        self.previous_arrival = i.last_arrived.or(self.previous_arrival);
        let (thinned, self_limited) = (f64::from(i.thinned) / span, f64::from(i.self_limited) / span);
        let (accepted, throughput) = (f64::from(i.accepted) / seconds, f64::from(i.responses) / seconds);
        let delay = i.min_delay.unwrap_or(Micros(0));
        let too_few = i.thinned + i.self_limited < MIN_SIGNIFICANT_CALLS;
        self.state = match self.state {
            State::Normal if delay > MAX_QUEUE_DELAY && !too_few => {
                let rate = (throughput * rate_fraction(delay)).max(1.0);
                let admitted_fraction = (rate / (thinned + self_limited)).min(1.0);
                State::Shedding(Shedding {
                    rate,
                    tokens: 0.0,
                    refilled_at: now,
                    admitted_fraction,
                    throughput,
                    calm_intervals: 0,
                })
            }
            State::Normal => State::Normal,
            State::Shedding(s) => s.next(delay, accepted, throughput, thinned, self_limited),
        };
        self.neighbours.end_interval(now, span, self.admitted_fraction());
    }
}

impl Shedding {
    fn next(
        mut self,
        delay: Micros,
        accepted: f64,
        throughput: f64,
        thinned: f64,
        self_limited: f64,
    ) -> State {
        if delay > MAX_QUEUE_DELAY {
            self.throughput += (throughput - self.throughput) * THROUGHPUT_WEIGHT;
            self.rate = (self.throughput * rate_fraction(delay)).max(1.0);
        } else if accepted > 0.8 * self.rate || thinned + self_limited > self.rate {
            self.rate *= RATE_GROWTH;
        }
        // Offered load if no neighbour reduced its own.
        let offered = thinned + self_limited / self.admitted_fraction;
        let admitted_fraction = if offered > 0.0 { (self.rate / offered).min(1.0) } else { 1.0 };
        // Moved only halfway, because one interval is a small sample.
        self.admitted_fraction = (self.admitted_fraction + admitted_fraction) / 2.0;
        if self.admitted_fraction > 0.99 {
            self.admitted_fraction = 1.0;
        }
        self.calm_intervals =
            if delay <= MAX_QUEUE_DELAY && admitted_fraction >= 1.0 { self.calm_intervals + 1 } else { 0 };
        if self.calm_intervals >= RECOVERY_INTERVALS { State::Normal } else { State::Shedding(self) }
    }
}

/// Returns the fraction of the throughput to admit so that a queue with this delay drains.
fn rate_fraction(delay: Micros) -> f64 {
    (1.0 - (delay - MAX_QUEUE_DELAY).secs() / DRAIN_TIME.secs()).max(MIN_RATE_FRACTION)
}

fn random_fraction(rng: &mut ChaCha8Rng) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}
