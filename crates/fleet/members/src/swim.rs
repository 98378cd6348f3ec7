//! The machine.

mod joining;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::planted::Fault;
use crate::roster::{Life, Roster, Worth};
use crate::rumours::Rumours;
use crate::suspicion::Suspicion;
use crate::words::{About, Incarnation, MemberId, Packet, Rumour, Said};
use joining::{ANSWERS, MORE};

/// From one probe to the next, by a member that is well (SWIM's protocol period).
const PERIOD: Duration = Duration::from_secs(1);
/// For an answer, before others are asked to ask.
const TIMEOUT: Duration = Duration::from_millis(400);
/// Others that are asked to ask (SWIM's k).
const HELPERS: usize = 3;
/// When a helper says that it heard nothing, in parts of its time-out (Lifeguard, section IV-A).
const NACK_AT: f64 = 0.8;
/// The worst health: nine times as slow (Lifeguard's S).
const WORST: u32 = 8;
/// Who is looked at later than this was not running.
const ASLEEP: Duration = Duration::from_millis(500);
/// How often suspicions are looked at.
const LOOK: Duration = Duration::from_millis(250);
/// Help that is given at once, at most.
const MOST_HELP: usize = 64;

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

/// A probe that is out.
#[derive(Debug, Clone)]
struct Probe {
    target: MemberId,
    seq: u64,
    /// When others are asked.
    ask_at: Option<Duration>,
    answered: bool,
    helpers: u32,
    nacks: u32,
}

/// A probe made for another.
#[derive(Debug, Clone)]
struct Help {
    whose: MemberId,
    at: SocketAddr,
    seq: u64,
    nack_at: Option<Duration>,
    until: Duration,
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

    // Probes.

    fn period(&mut self, out: &mut Vec<Output>) {
        if let Some(probe) = self.probe.take().filter(|p| !p.answered) {
            self.silent(&probe, out);
        }
        self.period_at = self.now + self.slower(PERIOD);
        self.periods += 1;
        if self.periods.is_multiple_of(64) {
            self.roster.forget(self.now);
        }
        let Some(target) = self.next_target() else { return };
        let Some((address, life, incarnation)) = self.whereabouts(target) else { return };
        let seq = self.next_seq();
        self.counts.probes += 1;
        let ask_at = Some(self.now + self.slower(TIMEOUT));
        self.probe = Some(Probe { target, seq, ask_at, answered: false, helpers: 0, nacks: 0 });
        // Who is suspected hears it first of all, so that it can refute it (Lifeguard's buddy system).
        let by = self.id;
        let warning = Rumour::Suspected { id: target, incarnation, by };
        let first = if life == Life::Suspected { vec![warning] } else { Vec::new() };
        let digest = self.roster.digest();
        self.send(address, Some(target), Said::Ping { seq, digest }, first, out);
    }

    fn whereabouts(&self, id: MemberId) -> Option<(SocketAddr, Life, Incarnation)> {
        let member = self.roster.get(id)?;
        Some((member.about.address, member.life, member.incarnation))
    }

    /// Each in turn, in an order that is drawn anew each round: so that none waits longer than two rounds (SWIM, section 4.3).
    fn next_target(&mut self) -> Option<MemberId> {
        for _ in 0..2 {
            while let Some(id) = self.order.get(self.place).copied() {
                self.place += 1;
                if self.roster.get(id).is_some_and(|m| m.life.is_there()) {
                    return Some(id);
                }
            }
            let own = self.id;
            self.order =
                self.roster.iter().filter(|(id, m)| *id != own && m.life.is_there()).map(|m| m.0).collect();
            self.order.shuffle(&mut self.rng);
            self.place = 0;
        }
        None
    }

    /// Any that are there, but for this one; at most one of them from this member's own zone if others are known: what parts
    /// two zones must not look like a member's end to a helper on the same side.
    fn helpers(&mut self, not: MemberId) -> Vec<MemberId> {
        let mut found: Vec<MemberId> = Vec::new();
        let mut near: Vec<MemberId> = Vec::new();
        for _ in 0..8 * HELPERS {
            let Some(id) = self.order.get(self.rng.random_range(0..self.order.len().max(1))).copied() else {
                break;
            };
            let Some(member) = self.roster.get(id).filter(|m| m.life == Life::Alive) else { continue };
            if id == not || id == self.id || found.contains(&id) || near.contains(&id) {
                continue;
            }
            let own_zone = member.about.zone == self.about.zone;
            if !own_zone || near.is_empty() {
                found.push(id);
            }
            if own_zone {
                near.push(id);
            }
            if found.len() == HELPERS {
                return found;
            }
        }
        let more: Vec<MemberId> = near.into_iter().filter(|id| !found.contains(id)).collect();
        found.extend(more);
        found.truncate(HELPERS);
        found
    }

    fn ask_others(&mut self, out: &mut Vec<Output>) {
        let Some(probe) = &mut self.probe else { return };
        probe.ask_at = None;
        let (target, seq, answered) = (probe.target, probe.seq, probe.answered);
        if answered || self.planted(Fault::NoHelpers) {
            return;
        }
        let Some((address, ..)) = self.whereabouts(target) else { return };
        let helpers = self.helpers(target);
        if let Some(probe) = &mut self.probe {
            probe.helpers = helpers.len() as u32;
        }
        for helper in helpers {
            if let Some((at, ..)) = self.whereabouts(helper) {
                self.send(at, Some(helper), Said::PingFor { seq, target, address }, Vec::new(), out);
            }
        }
    }

    /// Nothing came, from it or from any helper.
    fn silent(&mut self, probe: &Probe, out: &mut Vec<Output>) {
        self.counts.failed += 1;
        // Helpers that say so are there: then it is not this member's own fault (Lifeguard, section IV-A).
        let unheard = if probe.helpers == 0 { 1 } else { probe.helpers.saturating_sub(probe.nacks) };
        self.worse(unheard);
        if let Some((_, life, incarnation)) = self.whereabouts(probe.target)
            && life.is_there()
        {
            self.learn(Rumour::Suspected { id: probe.target, incarnation, by: self.id }, out);
        }
    }

    fn help(
        &mut self,
        whose: MemberId,
        at: SocketAddr,
        seq: u64,
        target: (MemberId, SocketAddr),
        out: &mut Vec<Output>,
    ) {
        if self.helps.len() >= MOST_HELP {
            return;
        }
        let own = self.next_seq();
        let span = self.slower(TIMEOUT);
        let nack_at = Some(self.now + span.mul_f64(NACK_AT));
        self.helps.insert(own, Help { whose, at, seq, nack_at, until: self.now + self.slower(PERIOD) });
        let digest = self.roster.digest();
        self.send(target.1, Some(target.0), Said::Ping { seq: own, digest }, Vec::new(), out);
    }

    fn nack(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        self.helps.retain(|_, h| now < h.until);
        let due: Vec<u64> =
            self.helps.iter().filter(|(_, h)| h.nack_at.is_some_and(|at| now >= at)).map(|h| *h.0).collect();
        for own in due {
            let Some(help) = self.helps.get_mut(&own) else { continue };
            help.nack_at = None;
            let (at, to, seq) = (help.at, help.whose, help.seq);
            self.send(at, Some(to), Said::Nack { seq }, Vec::new(), out);
        }
    }

    // What is heard.

    fn heard(&mut self, from: SocketAddr, packet: Packet, out: &mut Vec<Output>) {
        if packet.from == self.id {
            return;
        }
        let before = self.roster.there();
        let asked = packet.said == Said::Entries && self.compared.is_some_and(|(at, _)| at == from);
        // Guards against a newcomer that tells the fleet again of all its members.
        self.passes_on = !(asked && self.newcomer);
        for rumour in packet.rumours {
            self.learn(rumour, out);
        }
        self.passes_on = true;
        if asked && !self.more && self.roster.there() > before {
            // Whoever was asked had somebody that this one did not know: there may be more.
            (self.more, self.compare_at) = (true, self.now + self.about(MORE));
        }
        if packet.to.is_some_and(|to| to != self.id) {
            // Whoever was meant listened here before.
            if let Said::Ping { seq, .. } = packet.said {
                self.send(from, Some(packet.from), Said::Another { seq }, Vec::new(), out);
            }
            return;
        }
        match packet.said {
            Said::Ping { seq, digest } => {
                let own = self.roster.digest();
                self.send(from, Some(packet.from), Said::Ack { seq, digest: own }, Vec::new(), out);
                self.differs(digest, from, packet.from, out);
            }
            Said::PingFor { seq, target, address } => {
                self.help(packet.from, from, seq, (target, address), out)
            }
            Said::Ack { seq, digest } => {
                self.acked(seq, out);
                self.differs(digest, from, packet.from, out);
            }
            Said::Nack { seq } => {
                if let Some(probe) = self.probe.as_mut().filter(|p| p.seq == seq && p.nacks < p.helpers) {
                    probe.nacks += 1;
                }
            }
            Said::Another { seq } => {
                if let Some(probe) = self.probe.take_if(|p| p.seq == seq) {
                    self.replaced(probe.target, out);
                }
            }
            Said::Compare { digests, answers } => self.answer(from, packet.from, &digests, answers, out),
            Said::Entries => {}
        }
    }

    fn acked(&mut self, seq: u64, out: &mut Vec<Output>) {
        if let Some(probe) = self.probe.as_mut().filter(|p| p.seq == seq && !p.answered) {
            probe.answered = true;
            probe.ask_at = None;
            self.health = self.health.saturating_sub(1);
        } else if let Some(help) = self.helps.remove(&seq) {
            let digest = self.roster.digest();
            self.send(help.at, Some(help.whose), Said::Ack { seq: help.seq, digest }, Vec::new(), out);
        }
    }

    /// Another process has this one's address: only one can listen there.
    fn replaced(&mut self, id: MemberId, out: &mut Vec<Output>) {
        if let Some((_, life, incarnation)) = self.whereabouts(id)
            && life.is_there()
        {
            self.learn(Rumour::Gone { id, incarnation, by: self.id }, out);
        }
    }

    /// Takes a rumour, and passes it on if it is news.
    fn learn(&mut self, rumour: Rumour, out: &mut Vec<Output>) {
        if !rumour.sound() {
            self.counts.nonsense += 1;
            return;
        }
        let id = rumour.of();
        if id == self.id {
            return self.of_self(&rumour);
        }
        let worth = self.roster.hear(self.now, &rumour);
        match (worth, &rumour) {
            (Worth::Old, _) => return,
            (Worth::Again, Rumour::Suspected { by, .. }) => {
                if !self.suspicions.get_mut(&id).is_some_and(|s| s.confirm(*by)) {
                    return;
                }
            }
            (_, Rumour::Suspected { incarnation, by, .. }) => {
                self.suspicions.insert(id, Suspicion::new(*incarnation, *by, self.now));
            }
            _ => {
                self.suspicions.remove(&id);
            }
        }
        if let Some(member) = self.roster.get(id).filter(|_| worth != Worth::Again) {
            out.push(Output::Changed(id, member.life));
        }
        if self.passes_on {
            self.rumours.push(rumour);
        }
    }

    /// What is said of itself, and is not so, is refuted by a higher incarnation.
    fn of_self(&mut self, rumour: &Rumour) {
        let said = rumour.incarnation();
        let refutes = match rumour {
            Rumour::Alive { .. } => said > self.incarnation,
            Rumour::Suspected { .. } | Rumour::Gone { .. } => said >= self.incarnation,
        };
        if !refutes || self.planted(Fault::NoRefuting) {
            return;
        }
        self.counts.refuted += 1;
        // Others did not hear from this one in time: it may be slow itself.
        self.worse(1);
        self.incarnation = said.next();
        let alive = self.alive();
        self.roster.hear(self.now, &alive);
        self.rumours.push(alive);
    }

    /// What it says of itself.
    fn alive(&self) -> Rumour {
        Rumour::Alive { id: self.id, incarnation: self.incarnation, about: Arc::clone(&self.about) }
    }

    /// Suspicions that have lasted.
    fn believe(&mut self, out: &mut Vec<Output>) {
        let (there, now) = (self.roster.there(), self.now);
        let over: Vec<(MemberId, Incarnation)> = self
            .suspicions
            .iter()
            .filter(|(_, s)| now >= s.ends(there, PERIOD))
            .map(|(id, s)| (*id, s.incarnation))
            .collect();
        for (id, incarnation) in over {
            self.learn(Rumour::Gone { id, incarnation, by: self.id }, out);
        }
    }
}
