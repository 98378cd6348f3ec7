//! A trunk: one address that makes many calls, as a gateway or a proxy in front of many phones does.
//!
//! One thread and one socket carry thousands of calls a second, so that a front can be driven past what it holds. It
//! keeps the timers of RFC 3261 towards the front (A, E, and 64 T1 cut to its callers' patience), and the client's side
//! of RFC 7339 when told to: it then drops the part of new calls that the front asks it to.

mod calls;
mod tally;
mod text;

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use beechloft_checker::trace::Speaks;
use beechloft_checker::{Recorder, What};

use self::calls::{Call, State};
use crate::dice::Dice;
use text::Names;

pub use tally::Tally;

/// Timer T1 of RFC 3261.
const T1: Duration = Duration::from_millis(500);

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
}
