//! A front's side: its account, its shares, and who is admitted by them.

mod admit;
mod slot;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use beechloft_leases::{DriftBound, Name};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::define::{Definition, Rules};
use crate::planted::Fault;
use crate::soft::{Parts, Row};
use crate::words::{
    AccountId, Answer, Claim, FrontId, Heard, Key, MOST_LINES, Op, Request, Said, Told, Unable,
};
use admit::Live;
use slot::Slot;

/// From one word to the next, at least.
const GAP: Duration = Duration::from_millis(100);
/// From one copy of a request to the next.
const AGAIN: Duration = Duration::from_millis(150);
/// How often soft parts are looked at.
const LOOK: Duration = Duration::from_millis(250);

/// How a front keeps its account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct FrontSettings {
    /// Times.
    pub rules: Rules,
    /// How far clocks' rates may differ.
    pub drift: DriftBound,
    /// Each of its sessions carries a tag by which boxes can say what is left of them.
    pub tagged: bool,
    /// For what is drawn by chance.
    pub seed: u64,
}

/// What a front's machine hears.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrontInput {
    /// Only time has passed.
    Tick,
    /// A keeper's word.
    Heard(Heard),
    /// An account is wanted from now on, whether a limit is known or not.
    Start,
    /// A limit as settings have it; it is declared to the ledger where no other of its name is known.
    Define(Definition),
    /// A limit is no more, as of this version.
    Undefine(Name, u64),
    /// Another front's row, which was written so long ago at most.
    Row(FrontId, Row, Duration),
    /// This front admits nobody any more; what plays goes on.
    Close,
}

/// What it wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrontOutput {
    /// For the keeper that leads, or for any other if that one did not answer.
    Send(Request),
    /// It has an account from now on.
    Opened(AccountId),
    /// It has none any more: nobody is admitted by hard limits.
    Lost(AccountId),
    /// What it left is in the log; it may end.
    Closed,
    /// Its row is another now, for all fronts.
    Row(Row),
}

/// A request that is out.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Out {
    seq: u64,
    /// When it was made, before any copy of it left.
    made: Duration,
    again_at: Duration,
    tries: u32,
    op: Arc<Op>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum State {
    /// No hard limit is known: nothing is asked for.
    Idle,
    Opening(Out),
    Open {
        account: AccountId,
        until: Duration,
        spoke_at: Duration,
        out: Option<Out>,
    },
    Closing {
        account: AccountId,
        until: Duration,
        out: Out,
    },
    Closed,
}

/// What it holds and uses of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Standing {
    /// Which.
    pub claim: Claim,
    /// The share, or the soft part.
    pub share: u64,
    /// In use.
    pub used: u64,
}

/// A front's machine.
#[derive(Debug, Clone)]
pub struct Front {
    id: FrontId,
    set: FrontSettings,
    rng: ChaCha8Rng,
    state: State,
    seq: u64,
    now: Duration,
    definitions: BTreeMap<Name, Definition>,
    undefined: BTreeMap<Name, u64>,
    slots: BTreeMap<Claim, Slot>,
    soft: Parts,
    /// Soft rates: what was taken counts for a second.
    passing: VecDeque<(Duration, Claim, u64)>,
    looked_at: Duration,
    live: BTreeMap<u64, Live>,
    next_live: u64,
    /// Something is to be said soon.
    urgent: bool,
    /// From one urgent word to the next.
    gap: Duration,
    /// The limits that are known are those of this revision of the ledger's; none: it is to be asked.
    revision: Option<u64>,
    /// It has heard all limits once. Guards against a process that has just started, knows none, and would admit anybody.
    knows: bool,
    /// What its own settings say, until it was declared under the account that it has.
    declares: Vec<Definition>,
    settings: Vec<Definition>,
    fault: Option<Fault>,
}

/// All that decides what it does next, but for what is drawn by chance.
impl std::hash::Hash for Front {
    fn hash<H: std::hash::Hasher>(&self, into: &mut H) {
        (self.id, &self.state, self.seq, self.now, &self.definitions, &self.slots).hash(into);
        (&self.soft, &self.passing, &self.live, self.urgent, self.gap).hash(into);
    }
}

impl Front {
    /// No account yet, and no limit is known. `id` is drawn anew by each process.
    pub fn new(id: FrontId, set: FrontSettings) -> Front {
        Front {
            id,
            set,
            rng: ChaCha8Rng::seed_from_u64(set.seed ^ id.0),
            state: State::Idle,
            seq: 0,
            now: Duration::ZERO,
            definitions: BTreeMap::new(),
            undefined: BTreeMap::new(),
            slots: BTreeMap::new(),
            soft: Parts::new(set.rules, set.drift),
            passing: VecDeque::new(),
            looked_at: Duration::ZERO,
            live: BTreeMap::new(),
            next_live: 0,
            urgent: false,
            gap: GAP,
            revision: None,
            knows: false,
            declares: Vec::new(),
            settings: Vec::new(),
            fault: None,
        }
    }

    /// Plants a fault.
    #[cfg(feature = "planted")]
    pub fn plant(&mut self, fault: Fault) {
        self.fault = Some(fault);
        self.soft.plant(fault);
    }

    fn planted(&self, fault: Fault) -> bool {
        cfg!(feature = "planted") && self.fault == Some(fault)
    }

    /// Who it is.
    pub fn id(&self) -> FrontId {
        self.id
    }

    /// The limits that it knows.
    pub fn definitions(&self) -> impl Iterator<Item = &Definition> {
        self.definitions.values()
    }

    /// What it holds and uses of each claim.
    pub fn standings(&self) -> Vec<Standing> {
        let hard = |claim: &&Claim| self.definitions.get(&claim.limit).is_none_or(Definition::is_hard);
        let claims = self.slots.keys().filter(hard).chain(self.soft.claims());
        claims
            .map(|claim| (claim, self.standing(claim)))
            .map(|(claim, (share, used))| Standing { claim: claim.clone(), share, used })
            .collect()
    }

    /// What it holds and uses of one claim.
    pub fn standing(&self, claim: &Claim) -> (u64, u64) {
        let soft = self.definitions.get(&claim.limit).is_some_and(|d| !d.is_hard());
        if soft {
            return self.soft.standing(claim);
        }
        self.slots.get(claim).map_or((0, 0), |s| (s.share, s.used))
    }

    /// How many units of a hard limit it might still admit, or at which rate, while its account runs.
    pub fn room(&self, claim: &Claim) -> u64 {
        let rate = self.definitions.get(&claim.limit).is_some_and(|d| d.counts.is_rate());
        let open = self.slots.get(claim).filter(|s| !s.closed);
        open.map_or(0, |s| if rate { s.share } else { s.room() })
    }

    /// Whether it may admit by hard limits.
    pub fn is_open(&self, now: Duration) -> bool {
        matches!(self.state, State::Open { until, .. } if now < until)
            || self.planted(Fault::ClosesLate)
                && matches!(self.state, State::Closing { until, .. } if now < until)
    }

    /// For how long it may act by a word that it asked for at once.
    fn time(&self) -> Duration {
        let ttl = Duration::from_millis(u64::from(self.set.rules.ttl_ms));
        if self.planted(Fault::NoDrift) { ttl } else { self.set.drift.shorter(ttl) }
    }

    /// From one word to the next if nothing happens.
    fn beat(&self) -> Duration {
        self.time() / 4
    }

    /// When it wants to hear of the time next.
    pub fn next_due(&self) -> Option<Duration> {
        let hard = match &self.state {
            State::Idle | State::Closed => None,
            State::Opening(out) => Some(out.again_at),
            State::Open { until, spoke_at, out, .. } => {
                let next = *spoke_at + if self.urgent { self.gap } else { self.beat() };
                Some(out.as_ref().map_or(next, |o| o.again_at).min(*until))
            }
            State::Closing { until, out, .. } => Some(out.again_at.min(*until)),
        };
        let soft = self.definitions.values().any(|d| !d.is_hard()).then(|| self.looked_at + LOOK);
        hard.into_iter().chain(soft).min()
    }

    /// Takes an input. `now` is the clock that all else here goes by; it never goes back.
    pub fn handle(&mut self, now: Duration, input: FrontInput) -> Vec<FrontOutput> {
        self.now = self.now.max(now);
        let mut out = Vec::new();
        // Before anything that is said: a process that was stopped beyond its time has lost its account, whatever waits for it.
        self.run_out(&mut out);
        match input {
            FrontInput::Tick => {}
            FrontInput::Heard(heard) => self.heard(heard, &mut out),
            FrontInput::Start if self.state == State::Idle => self.reopen(&mut out),
            FrontInput::Start => {}
            FrontInput::Define(definition) => {
                self.settings.retain(|d| d.name != definition.name);
                self.settings.push(definition.clone());
                self.define(definition);
            }
            FrontInput::Undefine(name, version) => self.undefine(name, version),
            FrontInput::Row(from, row, age) => {
                let forget = self.definitions.values().map(|d| d.longest_ms).max().unwrap_or(0);
                self.soft.heard(self.now, from, row, age, forget);
            }
            FrontInput::Close => self.close(&mut out),
        }
        self.tick(&mut out);
        out
    }

    fn run_out(&mut self, out: &mut Vec<FrontOutput>) {
        match self.state {
            State::Open { account, until, .. } if self.now >= until => {
                out.push(FrontOutput::Lost(account));
                self.reopen(out);
            }
            // What it left stays counted as its whole share; that is safe.
            State::Closing { until, .. } if self.now >= until => {
                self.state = State::Closed;
                out.push(FrontOutput::Closed);
            }
            _ => {}
        }
    }

    /// It has no share any more and asks for an account; what it uses it goes on using.
    fn reopen(&mut self, out: &mut Vec<FrontOutput>) {
        for slot in self.slots.values_mut() {
            (slot.share, slot.recall, slot.closed) = (0, 0, false);
            slot.bucket.set(self.now, 0, 0);
            slot.unsay();
        }
        let new = self.new_out(Op::Open { ttl_ms: self.set.rules.ttl_ms, tagged: self.set.tagged });
        out.push(self.send(&new));
        self.state = State::Opening(new);
        // Limits may have changed meanwhile; its settings may be news to a ledger that began anew.
        self.revision = None;
        self.declares = self.settings.clone();
    }

    fn send(&self, of: &Out) -> FrontOutput {
        FrontOutput::Send(Request { front: self.id, seq: of.seq, op: (*of.op).clone() })
    }

    /// Between a half of it and all of it, by chance, so that those who fail together do not come again together.
    fn about(&mut self, span: Duration) -> Duration {
        let micros = span.as_micros() as u64;
        Duration::from_micros(self.rng.random_range(micros / 2..=micros))
    }

    fn new_out(&mut self, op: Op) -> Out {
        self.seq += 1;
        let again = self.about(AGAIN.min(self.time() / 12));
        Out { seq: self.seq, made: self.now, again_at: self.now + again, tries: 1, op: Arc::new(op) }
    }

    /// Another copy.
    fn copy(&mut self, of: &mut Out, out: &mut Vec<FrontOutput>) {
        let doubled = if matches!(self.state, State::Open { .. }) { 0 } else { of.tries.min(3) };
        of.tries += 1;
        of.again_at = self.now + self.about(AGAIN.min(self.time() / 12) * 2u32.pow(doubled));
        out.push(self.send(of));
    }

    fn close(&mut self, out: &mut Vec<FrontOutput>) {
        let State::Open { account, until, .. } = self.state else {
            if !matches!(self.state, State::Closing { .. }) {
                self.state = State::Closed;
                out.push(FrontOutput::Closed);
            }
            return;
        };
        // From here on nobody is admitted: what is said to be left is all there will be.
        let left = self.slots.iter().filter(|(_, s)| s.used > 0).map(|(c, s)| (c.clone(), s.used)).collect();
        let new = self.new_out(Op::Close { account, left });
        out.push(self.send(&new));
        self.state = State::Closing { account, until, out: new };
    }

    fn tick(&mut self, out: &mut Vec<FrontOutput>) {
        let now = self.now;
        match self.state.clone() {
            State::Idle if self.definitions.values().any(Definition::is_hard) => self.reopen(out),
            State::Opening(mut of) if now >= of.again_at => {
                // After some tries a new one is made: what counts is when it was made.
                if of.tries >= 4 {
                    of = self.new_out(Op::Open { ttl_ms: self.set.rules.ttl_ms, tagged: self.set.tagged });
                    out.push(self.send(&of));
                } else {
                    self.copy(&mut of, out);
                }
                self.state = State::Opening(of);
            }
            State::Open { account, until, spoke_at, out: None } => {
                let due = spoke_at + if self.urgent { self.gap } else { self.beat() };
                if now >= due {
                    self.speak(account, until, out);
                }
            }
            State::Open { account, until, out: Some(of), .. } if of.tries >= 4 && now >= of.again_at => {
                self.speak(account, until, out);
            }
            State::Open { account, until, spoke_at, out: Some(mut of) } if now >= of.again_at => {
                self.copy(&mut of, out);
                self.state = State::Open { account, until, spoke_at, out: Some(of) };
            }
            State::Closing { account, until, out: mut of } if now >= of.again_at => {
                self.copy(&mut of, out);
                self.state = State::Closing { account, until, out: of };
            }
            _ => {}
        }
        if now >= self.looked_at + LOOK {
            self.looked_at = now;
            self.pass(now);
            self.soft.look(now, &self.definitions);
        }
        if let Some(row) = self.soft.row().filter(|_| self.definitions.values().any(|d| !d.is_hard())) {
            out.push(FrontOutput::Row(row));
        }
    }

    /// Says what has changed, and has the account for as long again.
    fn speak(&mut self, account: AccountId, until: Duration, out: &mut Vec<FrontOutput>) {
        let op = if self.revision.is_none() {
            Op::Limits { account }
        } else if let Some(definition) = self.declares.pop() {
            Op::Declare { account, definition }
        } else {
            Op::Settle { account, lines: self.lines() }
        };
        let new = self.new_out(op);
        out.push(self.send(&new));
        self.urgent = false;
        self.state = State::Open { account, until, spoke_at: self.now, out: Some(new) };
    }

    fn lines(&mut self) -> Vec<Said> {
        let (now, patience) = (self.now, 2 * self.beat());
        let mut lines = Vec::new();
        // Limits without many keys are held from the start, so that the first who comes finds a share.
        for of in self.definitions.values().filter(|d| d.is_hard() && !slot::keyed(d)) {
            let key = of.only.clone().unwrap_or_default();
            let claim = Claim { limit: of.name.clone(), key, customer: Key::default() };
            self.slots.entry(claim).or_insert_with(|| Slot::new(now));
        }
        for (claim, slot) in &mut self.slots {
            let Some(of) = self.definitions.get(&claim.limit).filter(|d| d.is_hard()) else { continue };
            // What finds no room is said with the next word.
            if lines.len() >= MOST_LINES {
                break;
            }
            if let Some(line) = slot.say(now, of, patience) {
                if of.counts.is_rate() {
                    slot.bucket.set(now, slot.share, of.burst_milli);
                }
                lines.push(slot::said(claim, line));
            }
        }
        self.slots.retain(|_, slot| !slot.is_gone());
        lines
    }

    fn heard(&mut self, heard: Heard, out: &mut Vec<FrontOutput>) {
        let Heard::Answer { front, seq, answer } = heard else { return };
        let any = self.planted(Fault::OldAnswer);
        let mine = |of: &Out| front == self.id && (seq == of.seq || any);
        let from = |of: &Out| if self.planted(Fault::CountsFromArrival) { self.now } else { of.made };
        match (self.state.clone(), answer) {
            (State::Opening(of), Answer::Opened(account, told)) if mine(&of) => {
                let until = from(&of) + self.time();
                if self.now >= until {
                    // It came too late to be of use.
                    return self.reopen(out);
                }
                self.state = State::Open { account, until, spoke_at: self.now, out: None };
                (self.urgent, self.gap) = (true, Duration::ZERO);
                for slot in self.slots.values_mut() {
                    slot.bucket.empty(self.now);
                }
                self.told(told);
                out.push(FrontOutput::Opened(account));
            }
            (State::Open { account, spoke_at, out: Some(of), .. }, answer) if mine(&of) => {
                let until = from(&of) + self.time();
                match answer {
                    Answer::Settled(told, revision) => {
                        self.told(told);
                        if self.revision != Some(revision) {
                            (self.revision, self.urgent, self.gap) = (None, true, Duration::ZERO);
                        }
                    }
                    Answer::Limits(all, revision) => self.limits(all, revision),
                    // It asks for all again, its own among them.
                    Answer::Declared => (self.revision, self.urgent, self.gap) = (None, true, Duration::ZERO),
                    Answer::Unable(Unable::NoAccount) => {
                        out.push(FrontOutput::Lost(account));
                        return self.reopen(out);
                    }
                    _ => return,
                }
                self.state = State::Open { account, until, spoke_at, out: None };
                self.run_out(out);
            }
            (State::Closing { out: of, .. }, Answer::Closed | Answer::Unable(_)) if mine(&of) => {
                self.state = State::Closed;
                out.push(FrontOutput::Closed);
            }
            _ => {}
        }
    }

    fn told(&mut self, told: Vec<Told>) {
        let now = self.now;
        let (mut grew, mut lacks) = (false, false);
        for line in told {
            let Some(of) = self.definitions.get(&line.claim.limit) else {
                // A limit that this front has not heard of yet: it says that it holds nothing of it.
                self.slots.entry(line.claim).or_insert_with(|| Slot::new(now)).share = line.share;
                continue;
            };
            let slot = self.slots.entry(line.claim).or_insert_with(|| Slot::new(now));
            grew |= line.share > slot.share;
            (slot.share, slot.recall, slot.closed) = (line.share, line.recall, line.closed);
            if of.counts.is_rate() {
                slot.bucket.set(now, slot.share, of.burst_milli);
            }
            lacks |= slot.is_lacking() || line.recall > 0 || line.closed && slot.share > slot.used;
        }
        // One that lacks asks again, ever more seldom while nothing comes.
        if lacks {
            self.urgent = true;
            self.gap = if grew { GAP } else { (self.gap.max(GAP / 2) * 2).min(self.beat()) };
        } else {
            self.gap = GAP;
        }
    }
}
