//! The decision: take a new call, or turn it away at once.
//!
//! The sign of overload is the least wait of an interval, from a call's arrival to the session controller's first word on it: a burst
//! makes some wait, a queue that stands makes all wait (the idea of CoDel, RFC 8289, section 4.2). While it stands, new
//! calls are admitted at a rate that is cut when the wait stays, and grows when it is gone. From that rate and from
//! what all neighbours would send follows the share that each is asked to keep back (RFC 7339, section 5.5).
//!
//! Requests within calls pass always: they end calls and free rooms, and refusing one makes more work than it saves.

use std::net::SocketAddr;

use beechloft_session::api::Micros;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

use super::neighbours::{Neighbours, Standing};
use super::wire::Advice;
use crate::timer::T1;

/// Length of an interval. Some tens of calls fall into it at rates where overload is a question.
pub const LOOK: Micros = Micros(100_000);
/// A wait of all calls up to this is borne: a 25th of the time after which a caller repeats its INVITE.
pub const BORNE: Micros = Micros(T1.0 / 25);
/// A call that has waited longer is rejected, whatever the rate: half the time after which its caller repeats it.
pub const LATE: Micros = Micros(T1.0 / 2);
/// What stands in the queue beyond [`BORNE`] is to be worked off within this time.
const DRAINS: Micros = T1;
/// The rate is never cut below this part of what is worked off.
const CUT: f64 = 0.5;
/// The weight of an interval in what the front is taken to work off: one that stood still for a moment can do more.
const WEIGHT: f64 = 0.3;
/// What the rate grows by in an interval that it bound.
const GROWS: f64 = 1.05;
/// Intervals without need after which the control lets go.
const CALM: u32 = 20;
/// Fewer calls than this in an interval say nothing.
const FEW: u32 = 3;
/// The shortest span over which a rate is taken.
const SPAN: Micros = Micros(5_000);
/// Burst that the rate allows for, in intervals.
const BURST: f64 = 0.5;
/// The longest time to come back that is named, seconds.
const LONGEST_WAIT: u64 = 8;
/// How long an advice holds: some intervals, so that a lost answer does not end it.
const VALIDITY: Micros = Micros(5 * LOOK.0);

/// What becomes of a new call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ruling {
    /// It is taken.
    Take,
    /// It is rejected. Seconds after which it may come back; none for a neighbour that keeps calls back by itself,
    /// which would stop altogether.
    TurnAway(Option<u64>),
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    /// All calls are taken.
    Free,
    /// Calls are taken at a rate.
    Shedding(Shedding),
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Shedding {
    /// Calls a second.
    rate: f64,
    /// What may be taken now.
    tokens: f64,
    filled: Micros,
    /// The part of what all would send that the rate allows.
    share: f64,
    /// Calls that are worked off a second while a queue stands.
    worked: f64,
    /// Intervals in a row without need.
    calm: u32,
}

/// What an interval has brought so far.
#[derive(Debug, Clone, Copy, Default)]
struct Interval {
    /// New calls of those that keep none back.
    plain: u32,
    /// New calls of neighbours that keep back what they are told to.
    spared: u32,
    taken: u32,
    /// Calls on which the session controller said its first word: while a queue stands, what the front can do.
    worked: u32,
    /// When the last of them arrived.
    last: Option<Micros>,
    least: Option<Micros>,
}

impl Interval {
    fn waited(&mut self, wait: Micros) {
        self.least = Some(self.least.map_or(wait, |l| l.min(wait)));
    }
}

/// The control of one front.
#[derive(Debug)]
pub struct Control {
    on: bool,
    began: Option<Micros>,
    /// When the last call of the intervals before arrived.
    before: Option<Micros>,
    now: Interval,
    state: State,
    neighbours: Neighbours,
    chance: ChaCha8Rng,
}

impl Control {
    /// A control; its chance follows from the seed. One that is off takes every call.
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

    /// The part of all new calls that is wanted now; 1 without overload.
    pub fn share(&self) -> f64 {
        if let State::Shedding(s) = &self.state { s.share } else { 1.0 }
    }

    /// The rate at which calls are taken, a second, if there is a bound.
    pub fn rate(&self) -> Option<f64> {
        if let State::Shedding(s) = &self.state { Some(s.rate) } else { None }
    }

    /// Judges a new call that arrived at a time. `claims`: its sender says that it keeps calls back when told.
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

    /// Whether the rate has room, and chance spares the call: neighbours that keep calls back have been spared already.
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

    /// The core said its first word on a call that arrived at a time.
    pub fn worked(&mut self, now: Micros, arrived: Micros) {
        self.now.waited(now - arrived);
        self.now.worked += 1;
        self.look(now);
    }

    /// What a neighbour that claims to keep calls back is told along with an answer. Nothing before it is needed.
    pub fn advice(&mut self, now: Micros, to: SocketAddr) -> Option<Advice> {
        let kept = self.share();
        if !self.on || !self.neighbours.tell(to, kept) {
            return None;
        }
        // Rounded towards taking: the rate bounds what comes anyway, and a front that asks for nothing starves.
        let percent = ((1.0 - kept) * 100.0).floor().clamp(0.0, 99.0) as u8;
        // Time in the numerals of section 4.4: whole intervals, so that each has one.
        Some(Advice { percent, validity: VALIDITY, seq: now.0 / LOOK.0 })
    }

    /// A time to come back: the longer, the less is taken, and spread, so that not all come at once.
    fn come_back(&mut self) -> u64 {
        let longest = (2.0 / self.share().max(0.01)).ceil().min(LONGEST_WAIT as f64) as u64;
        1 + self.chance.next_u64() % longest
    }

    /// Ends the interval if it is over.
    fn look(&mut self, now: Micros) {
        let began = *self.began.get_or_insert(now);
        let length = now - began;
        if length < LOOK {
            return;
        }
        self.began = Some(now);
        let i = std::mem::take(&mut self.now);
        let seconds = length.secs();
        // A queue shows its calls more slowly than they came: their rate is taken over the span of their arrivals.
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
        // What would come if nobody kept anything back.
        let wanted = plain + spared / self.share;
        let share = if wanted > 0.0 { (self.rate / wanted).min(1.0) } else { 1.0 };
        // Halfway: one interval's count is a small sample.
        self.share = (self.share + share) / 2.0;
        if self.share > 0.99 {
            self.share = 1.0;
        }
        self.calm = if wait <= BORNE && share >= 1.0 { self.calm + 1 } else { 0 };
        if self.calm >= CALM { State::Free } else { State::Shedding(self) }
    }
}

/// The part of what is worked off that may come, for a queue of this wait to drain.
fn cut(wait: Micros) -> f64 {
    (1.0 - (wait - BORNE).secs() / DRAINS.secs()).max(CUT)
}

fn part(chance: &mut ChaCha8Rng) -> f64 {
    (chance.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}
