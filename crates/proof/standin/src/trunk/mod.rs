//! A trunk: one address that makes many calls, as a gateway or a proxy in front of many phones does.
//!
//! One thread and one socket carry thousands of calls a second, so that a front can be driven past what it holds. It
//! keeps the timers of RFC 3261 towards the front (A, E, and 64 T1 cut to its callers' patience), and the client's side
//! of RFC 7339 when told to: it then drops the part of new calls that the front asks it to.

mod text;

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use beechloft_checker::trace::{Ending, Speaks};
use beechloft_checker::{Recorder, What};
use hdrhistogram::Histogram;

use crate::dice::Dice;
use text::{Heard, Names};

/// Timer T1 of RFC 3261.
const T1: Duration = Duration::from_millis(500);
/// Longest pause between two copies of a request other than INVITE.
const T2: Duration = Duration::from_secs(4);
/// After its caller has given up a call is looked after for so long.
const AFTER: Duration = Duration::from_secs(4);

/// What a trunk does.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Where the front takes calls.
    pub front: SocketAddr,
    /// The front's number, for the trace.
    pub number: u32,
    /// Titles that are called, in turn.
    pub titles: Vec<String>,
    /// New calls a second.
    pub rate: f64,
    /// For how long new ones come.
    pub lasts: Duration,
    /// How long a call stands.
    pub holds: Duration,
    /// How long a caller waits for its answer.
    pub patience: Duration,
    /// Whether it takes part in overload control.
    pub obeys: bool,
    /// Whether it says that it does: a trunk that says so and does not obey is a cheat.
    pub claims: bool,
    /// Callers that are turned away with a time to come back do so, once.
    pub returns: bool,
    /// Seed of all that is drawn.
    pub seed: u64,
}

/// What came of it.
#[derive(Debug, Clone)]
pub struct Tally {
    /// Calls that callers wanted to make.
    pub wanted: u64,
    /// Kept back by the trunk itself, at the front's word.
    pub kept_back: u64,
    /// Answered 200 in the callers' time.
    pub accepted: u64,
    /// Turned away, by status.
    pub refused: BTreeMap<u16, u64>,
    /// Taken, and without an answer in the callers' time.
    pub timed_out: u64,
    /// Never taken: not even a provisional answer came.
    pub not_taken: u64,
    /// Calls that had two different final answers.
    pub twice: u64,
    /// INVITEs sent again.
    pub repeated: u64,
    /// The least and the most of a front's wish to be spared, percent.
    pub spared: Option<(u8, u8)>,
    /// Times to the first final answer of accepted calls, microseconds.
    pub accepted_us: Histogram<u64>,
    /// The same of calls that were turned away.
    pub refused_us: Histogram<u64>,
}

impl Tally {
    fn new() -> io::Result<Tally> {
        let times = || Histogram::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other);
        Ok(Tally {
            wanted: 0,
            kept_back: 0,
            accepted: 0,
            refused: BTreeMap::new(),
            timed_out: 0,
            not_taken: 0,
            twice: 0,
            repeated: 0,
            spared: None,
            accepted_us: times()?,
            refused_us: times()?,
        })
    }

    /// Both together.
    pub fn with(mut self, other: &Tally) -> Tally {
        self.wanted += other.wanted;
        self.kept_back += other.kept_back;
        self.accepted += other.accepted;
        for (status, n) in &other.refused {
            *self.refused.entry(*status).or_default() += n;
        }
        self.timed_out += other.timed_out;
        self.not_taken += other.not_taken;
        self.twice += other.twice;
        self.repeated += other.repeated;
        self.spared = match (self.spared, other.spared) {
            (Some(a), Some(b)) => Some((a.0.min(b.0), a.1.max(b.1))),
            (a, b) => a.or(b),
        };
        // The bounds of both are the same.
        let _ = self.accepted_us.add(&other.accepted_us);
        let _ = self.refused_us.add(&other.refused_us);
        self
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    /// The INVITE is out; whether anything has come, and whether it was given up.
    Inviting { heard: bool, given_up: bool },
    /// The call stands.
    Standing,
    /// A BYE is out.
    Ending,
    /// It had its failure; further ones are acknowledged until it is forgotten.
    Failed,
}

#[derive(Debug)]
struct Call {
    names: Names,
    state: State,
    began: Instant,
    /// What its first final answer was.
    first: Option<u16>,
    /// The next copy of what is out, and the pause after it.
    next: Instant,
    pause: Duration,
    /// When its present state ends.
    until: Instant,
    again: bool,
}

/// What the front asked for, and until when it holds (RFC 7339, section 5.4).
#[derive(Debug, Clone, Copy)]
struct Spare {
    share: f64,
    until: Instant,
    seq: f64,
}

/// A trunk at work.
pub struct Trunk {
    plan: Plan,
    socket: UdpSocket,
    own: String,
    dice: Dice,
    recorder: Option<Recorder>,
    calls: BTreeMap<u64, Call>,
    timers: BTreeSet<(Instant, u64)>,
    coming_back: BTreeSet<(Instant, u64)>,
    spare: Option<Spare>,
    next: u64,
    tally: Tally,
}

impl Trunk {
    /// A trunk with a port of its own; what it sees is noted if there is a recorder.
    pub fn new(plan: Plan, recorder: Option<Recorder>) -> io::Result<Trunk> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        // A gateway has room for the answers to what it asks.
        let _ = socket2::SockRef::from(&socket).set_recv_buffer_size(4 << 20);
        let own = socket.local_addr()?.to_string();
        let (dice, tally) = (Dice::new(plan.seed), Tally::new()?);
        let (calls, timers, coming_back) = (BTreeMap::new(), BTreeSet::new(), BTreeSet::new());
        Ok(Trunk {
            plan,
            socket,
            own,
            dice,
            recorder,
            calls,
            timers,
            coming_back,
            spare: None,
            next: 0,
            tally,
        })
    }

    /// Makes the calls and looks after each until it is over.
    pub fn run(mut self) -> io::Result<Tally> {
        let began = Instant::now();
        let mut at = Duration::ZERO;
        let mut buf = [0; 4096];
        loop {
            let now = Instant::now();
            while at < self.plan.lasts && began + at <= now {
                self.wants(now, false);
                at += Duration::from_secs_f64(self.dice.gap(self.plan.rate));
            }
            while let Some((due, id)) = self.coming_back.first().copied().filter(|c| c.0 <= now) {
                self.coming_back.remove(&(due, id));
                self.wants(now, true);
            }
            self.due(now);
            if at >= self.plan.lasts && self.calls.is_empty() {
                return Ok(self.tally);
            }
            let coming = (at < self.plan.lasts).then(|| began + at);
            let next = [coming, self.timers.first().map(|t| t.0), self.coming_back.first().map(|c| c.0)];
            let wait = next.into_iter().flatten().min().map_or(Duration::ZERO, |n| n - now.min(n));
            // The shortest wait that a socket knows; what is there already is read without one.
            self.socket.set_read_timeout(Some(wait.clamp(Duration::from_micros(200), T1)))?;
            let mut more = self.socket.recv_from(&mut buf).ok();
            self.socket.set_nonblocking(true)?;
            for _ in 0..64 {
                let Some((n, _)) = more else { break };
                self.heard(Instant::now(), &buf[..n]);
                more = self.socket.recv_from(&mut buf).ok();
            }
            if let Some((n, _)) = more {
                self.heard(Instant::now(), &buf[..n]);
            }
            self.socket.set_nonblocking(false)?;
        }
    }

    fn send(&self, text: &str) {
        let _ = self.socket.send_to(text.as_bytes(), self.plan.front);
    }

    /// A caller wants to call; `again`: it was turned away before.
    fn wants(&mut self, now: Instant, again: bool) {
        self.tally.wanted += 1;
        if let Some(spare) = self.spare.filter(|s| self.plan.obeys && s.until > now)
            && self.dice.chance(spare.share)
        {
            self.tally.kept_back += 1;
            return;
        }
        self.next += 1;
        let id = self.next;
        let title = self.plan.titles[id as usize % self.plan.titles.len()].clone();
        let names = Names::new(&self.own, self.plan.front, id, self.plan.seed, &title, self.plan.claims);
        if let Some(recorder) = &self.recorder {
            let patience_us = self.plan.patience.as_micros() as u64;
            let front = self.plan.number;
            let (offer, speaks) = (names.offer.clone(), Speaks::Sip);
            recorder.note(What::Asked { offer, front, title, patience_us, speaks });
        }
        self.send(&names.invite());
        let until = now + self.plan.patience;
        let state = State::Inviting { heard: false, given_up: false };
        let call = Call { names, state, began: now, first: None, next: now + T1, pause: T1, until, again };
        self.calls.insert(id, call);
        self.arm(id);
    }

    /// One timer is kept for a call; a stale one finds nothing due and sets the right one.
    fn arm(&mut self, id: u64) {
        if let Some(call) = self.calls.get(&id) {
            self.timers.insert((call.next.min(call.until), id));
        }
    }

    fn due(&mut self, now: Instant) {
        while let Some((at, id)) = self.timers.first().copied().filter(|t| t.0 <= now) {
            self.timers.remove(&(at, id));
            let Some(call) = self.calls.get(&id) else { continue };
            if call.next.min(call.until) > now {
                // It was moved meanwhile; its own timer stands.
                continue;
            }
            if call.until <= now {
                self.times_out(id, now)
            } else {
                self.again(id, now)
            }
            self.arm(id);
        }
    }

    /// A copy of what is out.
    fn again(&mut self, id: u64, now: Instant) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.next = now + call.pause * 2;
        call.pause *= 2;
        let text = match call.state {
            State::Inviting { heard: false, .. } => {
                self.tally.repeated += 1;
                call.names.invite()
            }
            State::Inviting { given_up: true, .. } => call.names.cancel(),
            State::Ending => {
                call.pause = call.pause.min(T2);
                call.next = now + call.pause;
                call.names.bye()
            }
            State::Inviting { .. } | State::Standing | State::Failed => {
                call.next = call.until;
                return;
            }
        };
        self.send(&text);
    }

    fn times_out(&mut self, id: u64, now: Instant) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        match call.state {
            State::Inviting { heard, given_up: false } => {
                let ending = if heard { Ending::TimedOut } else { Ending::NotTaken };
                *(if heard { &mut self.tally.timed_out } else { &mut self.tally.not_taken }) += 1;
                call.state = State::Inviting { heard, given_up: true };
                (call.until, call.pause) = (now + AFTER, T1);
                call.next = if heard { now } else { call.until };
                let offer = call.names.offer.clone();
                self.ended(offer, ending, 0);
            }
            State::Standing => {
                let offer = call.names.offer.clone();
                call.state = State::Ending;
                (call.until, call.next, call.pause) = (now + 64 * T1, now + T1, T1);
                let bye = call.names.bye();
                if let Some(recorder) = &self.recorder {
                    recorder.note(What::Left { offer });
                }
                self.send(&bye);
            }
            State::Inviting { .. } | State::Ending | State::Failed => drop(self.calls.remove(&id)),
        }
    }

    fn ended(&self, offer: String, ending: Ending, extra: u32) {
        if let Some(recorder) = &self.recorder {
            recorder.note(What::Ended { offer, ending, extra });
        }
    }

    fn heard(&mut self, now: Instant, bytes: &[u8]) {
        let Some(heard) = text::read(bytes) else { return };
        match heard {
            Heard::Request { id, answer, bye } => {
                self.send(&answer);
                if bye && self.calls.get(&id).is_some_and(|c| c.state == State::Standing) {
                    self.calls.remove(&id);
                }
            }
            Heard::Response { id, status, method, tag, spare } => {
                if let Some(spare) = spare {
                    self.spared(now, spare);
                }
                match method.as_str() {
                    "INVITE" => self.answered(now, id, status, &tag),
                    "BYE"
                        if status >= 200 && self.calls.get(&id).is_some_and(|c| c.state == State::Ending) =>
                    {
                        self.calls.remove(&id);
                    }
                    _ => {}
                }
                if status == 503 && self.plan.returns {
                    self.comes_back(now, id, bytes);
                }
            }
        }
    }

    /// A caller that was turned away with a time to come back does, once.
    fn comes_back(&mut self, now: Instant, id: u64, bytes: &[u8]) {
        let Some(call) = self.calls.get_mut(&id).filter(|c| !c.again) else { return };
        call.again = true;
        if let Some(after) = text::retry_after(bytes) {
            self.coming_back.insert((now + Duration::from_secs(after), id));
        }
    }

    /// The front's wish; an older one than the last is void (RFC 7339, section 5.3).
    fn spared(&mut self, now: Instant, spare: text::Spare) {
        if self.spare.is_some_and(|s| s.seq >= spare.seq) {
            return;
        }
        let (low, high) = self.tally.spared.unwrap_or((spare.percent, spare.percent));
        self.tally.spared = Some((low.min(spare.percent), high.max(spare.percent)));
        let until = now + Duration::from_millis(spare.validity_ms);
        self.spare = Some(Spare { share: f64::from(spare.percent) / 100.0, until, seq: spare.seq });
    }

    fn answered(&mut self, now: Instant, id: u64, status: u16, tag: &str) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if status < 200 {
            if let State::Inviting { heard, .. } = &mut call.state {
                *heard = true;
                call.next = call.until;
            }
            return;
        }
        let before = call.first;
        let twice = before.is_some_and(|f| f != status);
        call.first.get_or_insert(status);
        call.names.tag = tag.to_owned();
        let offer = call.names.offer.clone();
        let given_up = matches!(call.state, State::Inviting { given_up: true, .. });
        let acks = if status < 300 { call.names.ack() } else { call.names.ack_of_failure() };
        if let State::Inviting { .. } = call.state {
            (call.state, call.until) = match (status, given_up) {
                (..300, false) => (State::Standing, now + self.plan.holds),
                // Nobody wants it any more: it is hung up.
                (..300, true) => (State::Standing, now),
                _ => (State::Failed, now + T1),
            };
            call.next = call.until;
        }
        let took = now.duration_since(call.began).as_micros() as u64;
        self.send(&acks);
        self.arm(id);
        self.tally.twice += u64::from(twice);
        if before.is_some() || given_up {
            return;
        }
        match status {
            ..300 => {
                self.tally.accepted += 1;
                self.tally.accepted_us.saturating_record(took);
                self.ended(offer, Ending::Status(201), 0);
            }
            _ => {
                *self.tally.refused.entry(status).or_default() += 1;
                self.tally.refused_us.saturating_record(took);
                self.ended(offer, Ending::Status(status), 0);
            }
        }
    }
}
