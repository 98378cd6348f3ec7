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

use super::neighbours::{Neighbours, Standing};
use super::wire::Advice;
use crate::timer::T1;

/// Length of a measurement interval. It covers some tens of calls at rates where overload is possible.
pub const LOOK: Micros = Micros(100_000);
/// Minimum delay up to which there is no overload: a 25th of the time after which a caller retransmits its INVITE.
pub const BORNE: Micros = Micros(T1.0 / 25);
/// Delay beyond which a call is rejected at any rate: half the time after which its caller retransmits the INVITE.
pub const LATE: Micros = Micros(T1.0 / 2);
/// Time in which the queue beyond [`BORNE`] is to drain.
const DRAINS: Micros = T1;
/// Lower bound of the admitted rate as a fraction of the throughput.
const CUT: f64 = 0.5;
/// Weight of an interval in the smoothed throughput, low because a front that stalled for a moment can process more.
const WEIGHT: f64 = 0.3;
/// Factor by which the rate grows in an interval in which it was the bottleneck.
const GROWS: f64 = 1.05;
/// Number of consecutive intervals without overload after which all calls are accepted.
const CALM: u32 = 20;
/// Number of calls in an interval below which its delay is not significant.
const FEW: u32 = 3;
/// Minimum time span over which a rate is computed.
const SPAN: Micros = Micros(5_000);
/// Burst that the rate allows, in intervals.
const BURST: f64 = 0.5;
/// Maximum `Retry-After`, in seconds.
const LONGEST_WAIT: u64 = 8;
/// Validity of feedback: several intervals, so that one lost response doesn't end it.
const VALIDITY: Micros = Micros(5 * LOOK.0);

/// Decision on a new call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ruling {
    /// Accept the call.
    Take,
    /// Reject the call with the seconds of `Retry-After`. A neighbour that supports overload control gets none, because it
    /// would stop sending altogether.
    TurnAway(Option<u64>),
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    /// All calls are accepted.
    Free,
    /// Calls are accepted at a limited rate.
    Shedding(Shedding),
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Shedding {
    /// Admitted calls per second.
    rate: f64,
    /// Calls that may be accepted now.
    tokens: f64,
    filled: Micros,
    /// Fraction of the offered load that the rate admits.
    share: f64,
    /// Smoothed throughput under overload, in calls per second.
    worked: f64,
    /// Number of consecutive intervals without overload.
    calm: u32,
}

/// Counters of the current interval.
#[derive(Debug, Clone, Copy, Default)]
struct Interval {
    /// New calls from senders that don't reduce their load.
    plain: u32,
    /// New calls from neighbours that follow the feedback.
    spared: u32,
    taken: u32,
    /// Calls that the session controller first responded to, which is the front's throughput while a queue persists.
    worked: u32,
    /// Arrival time of the last call.
    last: Option<Micros>,
    least: Option<Micros>,
}

impl Interval {
    fn waited(&mut self, wait: Micros) {
        self.least = Some(self.least.map_or(wait, |l| l.min(wait)));
    }
}

/// Overload control of a front.
#[derive(Debug)]
pub struct Control {
    on: bool,
    began: Option<Micros>,
    /// Arrival time of the last call of earlier intervals.
    before: Option<Micros>,
    now: Interval,
    state: State,
    neighbours: Neighbours,
    chance: ChaCha8Rng,
}

impl Control {
    /// Creates a control with seeded randomness. A disabled one accepts every call.
    pub fn new(seed: u64, on: bool) -> Self {
        Control {
            on,
            began: None,
            before: None,
            now: Interval::default(),
            state: State::Free,
            neighbours: Neighbours::default(),
            chance: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the fraction of the offered load that is admitted, 1 without overload.
    pub fn share(&self) -> f64 {
        if let State::Shedding(s) = &self.state { s.share } else { 1.0 }
    }

    /// Returns the limit of accepted calls per second, or `None` without overload.
    pub fn rate(&self) -> Option<f64> {
        if let State::Shedding(s) = &self.state { Some(s.rate) } else { None }
    }

    /// Decides on a new call that arrived at a time. `claims` states that its sender supports loss-based overload control.
    pub fn judge(&mut self, now: Micros, arrived: Micros, from: SocketAddr, claims: bool) -> Ruling {
        if !self.on {
            return Ruling::Take;
        }
        self.look(now);
        let standing = if claims { self.neighbours.sent(now, from) } else { Standing::Plain };
        let believed = standing == Standing::Told;
        *(if believed { &mut self.now.spared } else { &mut self.now.plain }) += 1;
        self.now.last = self.now.last.max(Some(arrived));
        let wait = now - arrived;
        let taken = wait <= LATE && self.fits(now, believed);
        if taken {
            self.now.taken += 1;
            return Ruling::Take;
        }
        if wait > LATE {
            self.now.waited(wait);
        }
        Ruling::TurnAway((!claims).then(|| self.come_back()))
    }

    /// Returns whether the rate and random thinning admit a call. A neighbour that follows the feedback is not thinned again.
    fn fits(&mut self, now: Micros, believed: bool) -> bool {
        let State::Shedding(s) = &mut self.state else { return true };
        let room = (s.rate * LOOK.secs() * BURST).max(1.0);
        s.tokens = (s.tokens + s.rate * (now - s.filled).secs()).min(room);
        s.filled = now;
        if s.tokens < 1.0 || !(believed || part(&mut self.chance) < s.share) {
            return false;
        }
        s.tokens -= 1.0;
        true
    }

    /// Records the session controller's first response to a call that arrived at a time.
    pub fn worked(&mut self, now: Micros, arrived: Micros) {
        self.now.waited(now - arrived);
        self.now.worked += 1;
        self.look(now);
    }

    /// Returns the feedback to include in a response to a neighbour that supports overload control.
    ///
    /// Returns `None` if the neighbour needs none.
    pub fn advice(&mut self, now: Micros, to: SocketAddr) -> Option<Advice> {
        let kept = self.share();
        if !self.on || !self.neighbours.tell(to, kept) {
            return None;
        }
        // Rounded down, because the rate limits the load anyway and a front that asks for no calls would starve.
        let percent = ((1.0 - kept) * 100.0).floor().clamp(0.0, 99.0) as u8;
        // Time in whole intervals as the sequence number of section 4.4, so that each interval has its own.
        Some(Advice { percent, validity: VALIDITY, seq: now.0 / LOOK.0 })
    }

    /// Returns a random `Retry-After` in seconds, so that callers don't retry all at once. Its range grows with the overload.
    fn come_back(&mut self) -> u64 {
        let longest = (2.0 / self.share().max(0.01)).ceil().min(LONGEST_WAIT as f64) as u64;
        1 + self.chance.next_u64() % longest
    }

    /// Ends the current interval if its time is over.
    fn look(&mut self, now: Micros) {
        let began = *self.began.get_or_insert(now);
        let length = now - began;
        if length < LOOK {
            return;
        }
        self.began = Some(now);
        let i = std::mem::take(&mut self.now);
        let seconds = length.secs();
        // Queued calls are seen later than they arrived, so their rate is computed over the span of their arrivals.
        let last = i.last.unwrap_or(now);
        let span = self.before.map_or(length, |before| (last - before).max(SPAN)).secs();
        self.before = i.last.or(self.before);
        let (plain, spared) = (f64::from(i.plain) / span, f64::from(i.spared) / span);
        let (taken, worked) = (f64::from(i.taken) / seconds, f64::from(i.worked) / seconds);
        let wait = i.least.unwrap_or(Micros(0));
        let few = i.plain + i.spared < FEW;
        self.state = match self.state {
            State::Free if wait > BORNE && !few => {
                let rate = (worked * cut(wait)).max(1.0);
                let share = (rate / (plain + spared)).min(1.0);
                State::Shedding(Shedding { rate, tokens: 0.0, filled: now, share, worked, calm: 0 })
            }
            State::Free => State::Free,
            State::Shedding(s) => s.next(wait, taken, worked, plain, spared),
        };
        self.neighbours.interval(now, span, self.share());
    }
}

impl Shedding {
    fn next(mut self, wait: Micros, taken: f64, worked: f64, plain: f64, spared: f64) -> State {
        if wait > BORNE {
            self.worked += (worked - self.worked) * WEIGHT;
            self.rate = (self.worked * cut(wait)).max(1.0);
        } else if taken > 0.8 * self.rate || plain + spared > self.rate {
            self.rate *= GROWS;
        }
        // Offered load if no neighbour reduced its own.
        let wanted = plain + spared / self.share;
        let share = if wanted > 0.0 { (self.rate / wanted).min(1.0) } else { 1.0 };
        // Moved only halfway, because one interval is a small sample.
        self.share = (self.share + share) / 2.0;
        if self.share > 0.99 {
            self.share = 1.0;
        }
        self.calm = if wait <= BORNE && share >= 1.0 { self.calm + 1 } else { 0 };
        if self.calm >= CALM { State::Free } else { State::Shedding(self) }
    }
}

/// Returns the fraction of the throughput to admit so that a queue with this delay drains.
fn cut(wait: Micros) -> f64 {
    (1.0 - (wait - BORNE).secs() / DRAINS.secs()).max(CUT)
}

fn part(chance: &mut ChaCha8Rng) -> f64 {
    (chance.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}
