//! The machine.

mod hearing;
mod joining;
mod probing;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::probing::{Help, Probe};
use crate::planted::Fault;
use crate::roster::{Life, Roster};
use crate::rumours::Rumours;
use crate::suspicion::Suspicion;
use crate::words::{About, Incarnation, MemberId, Packet, Rumour, Said};
use joining::ANSWERS;

/// From one probe to the next, by a member that is well (SWIM's protocol period).
const PERIOD: Duration = Duration::from_secs(1);
/// The worst health: nine times as slow (Lifeguard's S).
const WORST: u32 = 8;
/// Who is looked at later than this was not running.
const ASLEEP: Duration = Duration::from_millis(500);
/// How often suspicions are looked at.
const LOOK: Duration = Duration::from_millis(250);

/// What the machine hears.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Only time has passed.
    Tick,
    /// A packet, and where it came from.
    Heard(SocketAddr, Packet),
    /// This process ends soon.
    Leave,
}

/// What it wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// To be sent there; it may be lost.
    Send(SocketAddr, Packet),
    /// Another life of a member is believed now.
    Changed(MemberId, Life),
}

/// What happened so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Probes that were made.
    pub probes: u64,
    /// ... and not answered.
    pub failed: u64,
    /// Suspicions of itself that it refuted.
    pub refuted: u64,
    /// Comparisons that it asked for.
    pub compared: u64,
    /// Comparisons that it did not answer, as there were too many.
    pub unanswered: u64,
    /// Rumours that make no sense.
    pub nonsense: u64,
}

/// A member.
#[derive(Debug)]
pub struct Swim {
    id: MemberId,
    about: Arc<About>,
    incarnation: Incarnation,
    roster: Roster,
    rumours: Rumours,
    suspicions: BTreeMap<MemberId, Suspicion>,
    seeds: Vec<SocketAddr>,
    rng: ChaCha8Rng,
    now: Duration,
    /// How slow this one is itself: nought if well (Lifeguard's local health multiplier).
    health: u32,
    seq: u64,
    order: Vec<MemberId>,
    place: usize,
    periods: u64,
    probe: Option<Probe>,
    period_at: Duration,
    look_at: Duration,
    helps: BTreeMap<u64, Help>,
    join_at: Duration,
    joins: u32,
    differs_since: Option<Duration>,
    compare_at: Duration,
    /// Who was asked for a comparison last; it is asked again while that brings something.
    compared: Option<(SocketAddr, Option<MemberId>)>,
    more: bool,
    /// It has not known as much as another yet.
    newcomer: bool,
    passes_on: bool,
    answers: f64,
    answers_at: Duration,
    left: bool,
    counts: Counts,
    fault: Option<Fault>,
}

impl Swim {
    /// A member that knows itself and where to look for others. `id` is drawn anew by each process.
    pub fn new(id: MemberId, about: About, seeds: Vec<SocketAddr>, seed: u64, now: Duration) -> Swim {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ id.0);
        let about = Arc::new(about);
        let mut roster = Roster::default();
        let incarnation = Incarnation::default();
        roster.hear(now, &Rumour::Alive { id, incarnation, about: Arc::clone(&about) });
        let seeds = seeds.into_iter().filter(|s| *s != about.address).collect();
        // Not all of a fleet that starts together in the same moment.
        let first = Duration::from_micros(rng.random_range(0..PERIOD.as_micros() as u64));
        Swim {
            id,
            about,
            incarnation,
            roster,
            rumours: Rumours::default(),
            suspicions: BTreeMap::new(),
            seeds,
            rng,
            now,
            health: 0,
            seq: 0,
            order: Vec::new(),
            place: 0,
            periods: 0,
            probe: None,
            period_at: now + first,
            look_at: now + LOOK,
            helps: BTreeMap::new(),
            join_at: now + first / 5,
            joins: 0,
            differs_since: None,
            compare_at: now,
            compared: None,
            more: false,
            newcomer: true,
            passes_on: true,
            answers: ANSWERS,
            answers_at: now,
            left: false,
            counts: Counts::default(),
            fault: None,
        }
    }

    /// Plants a fault.
    #[cfg(feature = "planted")]
    pub fn plant(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn planted(&self, fault: Fault) -> bool {
        cfg!(feature = "planted") && self.fault == Some(fault)
    }

    /// Believes these to be there without passing it on, as if it had known them for long. For simulations of large fleets that
    /// are not about their start.
    #[cfg(feature = "planted")]
    pub fn know(&mut self, all: &[Rumour]) {
        let now = self.now;
        for rumour in all.iter().filter(|r| r.of() != self.id) {
            self.roster.hear(now, rumour);
        }
        self.newcomer = false;
    }

    /// Itself.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Whom it believes to be there, or to have been.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// What happened so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Rumours that are still to be said.
    pub fn waiting(&self) -> usize {
        self.rumours.len()
    }

    /// When it wants to hear of the time next.
    pub fn next_due(&self) -> Duration {
        let asks = self.probe.as_ref().and_then(|p| p.ask_at);
        let nacks = self.helps.values().map(|h| h.nack_at.unwrap_or(h.until)).min();
        let looks = (!self.suspicions.is_empty()).then_some(self.look_at);
        let compares = self.more.then_some(self.compare_at);
        let all = [asks, nacks, looks, compares, Some(self.join_at)];
        all.into_iter().flatten().fold(self.period_at, Duration::min)
    }

    /// Takes an input.
    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let late = now.saturating_sub(self.next_due().max(self.now));
        self.now = self.now.max(now);
        let mut out = Vec::new();
        if self.left {
            return out;
        }
        if late > ASLEEP && !self.planted(Fault::JudgesAfterSleep) {
            self.woke(late);
        }
        match input {
            Input::Tick => {}
            Input::Heard(from, packet) => self.heard(from, packet, &mut out),
            Input::Leave => return self.leave(),
        }
        self.due(&mut out);
        out
    }

    /// Guards against a process that was stopped, or without a core, and then holds others' silence against them: what it had
    /// asked is void, and suspicions have not lasted longer than it saw.
    fn woke(&mut self, late: Duration) {
        self.probe = None;
        self.helps.clear();
        self.suspicions.values_mut().for_each(|s| s.slept(late));
        self.worse(1);
    }

    fn worse(&mut self, by: u32) {
        self.health = (self.health + by).min(WORST);
    }

    /// A span of this member's, longer while it is slow itself.
    fn slower(&self, span: Duration) -> Duration {
        span * (self.health + 1)
    }

    /// Between half of it and all of it, by chance.
    fn about(&mut self, span: Duration) -> Duration {
        let micros = span.as_micros() as u64;
        Duration::from_micros(self.rng.random_range(micros / 2..=micros))
    }

    fn send(
        &mut self,
        at: SocketAddr,
        to: Option<MemberId>,
        said: Said,
        first: Vec<Rumour>,
        out: &mut Vec<Output>,
    ) {
        let mut rumours = first;
        let there = self.roster.there();
        self.rumours.fill(&mut rumours, there);
        out.push(Output::Send(at, Packet { from: self.id, to, said, rumours }));
    }

    fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    fn due(&mut self, out: &mut Vec<Output>) {
        if self.probe.as_ref().and_then(|p| p.ask_at).is_some_and(|at| self.now >= at) {
            self.ask_others(out);
        }
        self.nack(out);
        if self.now >= self.look_at {
            self.look_at = self.now + LOOK;
            self.believe(out);
        }
        if self.now >= self.period_at {
            self.period(out);
        }
        if self.now >= self.join_at {
            self.join(out);
        }
        if self.more && self.now >= self.compare_at {
            self.more = false;
            if let Some((at, to)) = self.compared {
                self.compare(at, to, out);
            }
        }
    }
}
