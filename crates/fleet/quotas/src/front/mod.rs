//! A front's state machine: its account, its shares, and admission.

mod admit;
mod io;
mod report;
mod response;
mod slot;
mod state;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use beechloft_leases::Name;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::admit::Live;
use self::slot::Slot;
use self::state::{PendingRequest, State};
use crate::definition::LimitDefinition;
use crate::fault_injection::Fault;
use crate::message::{Claim, FrontId, Op, Request};
use crate::soft::SoftLimits;

pub use self::io::{FrontInput, FrontOutput, FrontSettings, ShareUsage};

/// Minimum interval between reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Delay of the first retransmission.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Interval at which soft shares are reviewed.
const SOFT_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The state machine of a front.
#[derive(Debug, Clone)]
pub struct Front {
    id: FrontId,
    set: FrontSettings,
    rng: ChaCha8Rng,
    state: State,
    seq: u64,
    now: Duration,
    definitions: BTreeMap<Name, LimitDefinition>,
    undefined: BTreeMap<Name, u64>,
    slots: BTreeMap<Claim, Slot>,
    soft: SoftLimits,
    /// Soft rates: what was taken counts for a second.
    passing: VecDeque<(Duration, Claim, u64)>,
    looked_at: Duration,
    live: BTreeMap<u64, Live>,
    next_live: u64,
    /// A report is due soon.
    urgent: bool,
    /// Interval between urgent reports.
    gap: Duration,
    /// The ledger's revision of the known limits; `None` if they are to be requested.
    revision: Option<u64>,
    /// It has received all limits once. Guards against a process that has just started, knows none, and would admit anybody.
    knows: bool,
    /// Limits of its own settings that are not declared under the present account.
    declares: Vec<LimitDefinition>,
    settings: Vec<LimitDefinition>,
    fault: Option<Fault>,
}

/// All that decides its next outputs, except the random numbers.
impl std::hash::Hash for Front {
    fn hash<H: std::hash::Hasher>(&self, into: &mut H) {
        (self.id, &self.state, self.seq, self.now, &self.definitions, &self.slots).hash(into);
        (&self.soft, &self.passing, &self.live, self.urgent, self.gap).hash(into);
    }
}

impl Front {
    /// A front without account that knows no limits. `id` must be drawn at random for each run of the process.
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
            soft: SoftLimits::new(set.rules, set.drift),
            passing: VecDeque::new(),
            looked_at: Duration::ZERO,
            live: BTreeMap::new(),
            next_live: 0,
            urgent: false,
            gap: MIN_REPORT_INTERVAL,
            revision: None,
            knows: false,
            declares: Vec::new(),
            settings: Vec::new(),
            fault: None,
        }
    }

    /// Injects a fault.
    #[cfg(feature = "fault_injection")]
    pub fn inject(&mut self, fault: Fault) {
        self.fault = Some(fault);
        self.soft.inject(fault);
    }

    fn has_fault(&self, fault: Fault) -> bool {
        cfg!(feature = "fault_injection") && self.fault == Some(fault)
    }

    /// Its id.
    pub fn id(&self) -> FrontId {
        self.id
    }

    /// The limits that it knows.
    pub fn definitions(&self) -> impl Iterator<Item = &LimitDefinition> {
        self.definitions.values()
    }

    /// Its shares, with their use.
    pub fn share_usages(&self) -> Vec<ShareUsage> {
        let hard = |claim: &&Claim| self.definitions.get(&claim.limit).is_none_or(LimitDefinition::is_hard);
        let claims = self.slots.keys().filter(hard).chain(self.soft.claims());
        claims
            .map(|claim| (claim, self.standing(claim)))
            .map(|(claim, (share, used))| ShareUsage { claim: claim.clone(), share, used })
            .collect()
    }

    /// Its share of one claim, and the units in use.
    pub fn standing(&self, claim: &Claim) -> (u64, u64) {
        let soft = self.definitions.get(&claim.limit).is_some_and(|d| !d.is_hard());
        if soft {
            return self.soft.standing(claim);
        }
        self.slots.get(claim).map_or((0, 0), |s| (s.share, s.used))
    }

    /// Units of a hard limit that it may still admit, or the rate, while its account is open.
    pub fn room(&self, claim: &Claim) -> u64 {
        let rate = self.definitions.get(&claim.limit).is_some_and(|d| d.counts.is_rate());
        let open = self.slots.get(claim).filter(|s| !s.closed);
        open.map_or(0, |s| if rate { s.share } else { s.room() })
    }

    /// Whether it may admit by hard limits.
    pub fn is_open(&self, now: Duration) -> bool {
        matches!(self.state, State::Open { until, .. } if now < until)
            || self.has_fault(Fault::AdmitsWhileClosing)
                && matches!(self.state, State::Closing { until, .. } if now < until)
    }

    /// The part of the time to live in which the account may be used, counted from the creation of the request.
    fn usable_ttl(&self) -> Duration {
        let ttl = Duration::from_millis(u64::from(self.set.rules.ttl_ms));
        if self.has_fault(Fault::DriftIgnored) { ttl } else { self.set.drift.shorter(ttl) }
    }

    /// Interval between reports if nothing happens.
    fn report_interval(&self) -> Duration {
        self.usable_ttl() / 4
    }

    /// When it needs a [`FrontInput::Tick`].
    pub fn next_due(&self) -> Option<Duration> {
        let hard = match &self.state {
            State::Idle | State::Closed => None,
            State::Opening(out) => Some(out.retry_at),
            State::Open { until, reported_at, out, .. } => {
                let next = *reported_at + if self.urgent { self.gap } else { self.report_interval() };
                Some(out.as_ref().map_or(next, |o| o.retry_at).min(*until))
            }
            State::Closing { until, out, .. } => Some(out.retry_at.min(*until)),
        };
        let soft =
            self.definitions.values().any(|d| !d.is_hard()).then(|| self.looked_at + SOFT_CHECK_INTERVAL);
        hard.into_iter().chain(soft).min()
    }

    /// Handles an input. `now` is of the clock that all other methods use, which never goes back.
    pub fn handle(&mut self, now: Duration, input: FrontInput) -> Vec<FrontOutput> {
        self.now = self.now.max(now);
        let mut out = Vec::new();
        // Comes before the input: a process that was paused beyond its time has lost its account, whatever messages wait for it.
        self.expire(&mut out);
        match input {
            FrontInput::Tick => {}
            FrontInput::Response(heard) => self.on_response(heard, &mut out),
            FrontInput::Start if self.state == State::Idle => self.reopen(&mut out),
            FrontInput::Start => {}
            FrontInput::Define(definition) => {
                self.settings.retain(|d| d.name != definition.name);
                self.settings.push(definition.clone());
                self.define(definition);
            }
            FrontInput::Undefine(name, version) => self.undefine(name, version),
            FrontInput::SoftShares(from, row, age) => {
                let forget = self.definitions.values().map(|d| d.longest_ms).max().unwrap_or(0);
                self.soft.on_report(self.now, from, row, age, forget);
            }
            FrontInput::Close => self.close(&mut out),
        }
        self.tick(&mut out);
        out
    }

    fn expire(&mut self, out: &mut Vec<FrontOutput>) {
        match self.state {
            State::Open { account, until, .. } if self.now >= until => {
                out.push(FrontOutput::Lost(account));
                self.reopen(out);
            }
            // What it left stays counted as its whole share, which is safe.
            State::Closing { until, .. } if self.now >= until => {
                self.state = State::Closed;
                out.push(FrontOutput::Closed);
            }
            _ => {}
        }
    }

    /// Gives up all shares and requests a new account; sessions in progress continue.
    fn reopen(&mut self, out: &mut Vec<FrontOutput>) {
        for slot in self.slots.values_mut() {
            (slot.share, slot.recall, slot.closed) = (0, 0, false);
            slot.bucket.set(self.now, 0, 0);
            slot.unsay();
        }
        let new = self.new_request(Op::Open { ttl_ms: self.set.rules.ttl_ms, tagged: self.set.tagged });
        out.push(self.send(&new));
        self.state = State::Opening(new);
        // Limits may have changed in the meantime, and a new ledger may not know the limits of its settings.
        self.revision = None;
        self.declares = self.settings.clone();
    }

    fn send(&self, of: &PendingRequest) -> FrontOutput {
        FrontOutput::Send(Request { front: self.id, seq: of.seq, op: (*of.op).clone() })
    }

    /// A random delay between half the span and all of it, so that fronts that failed together do not retry together.
    fn jittered(&mut self, span: Duration) -> Duration {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(self.rng.random_range(micros / 2..=micros))
    }

    fn new_request(&mut self, op: Op) -> PendingRequest {
        self.seq += 1;
        let again = self.jittered(RETRY_DELAY.min(self.usable_ttl() / 12));
        PendingRequest {
            seq: self.seq,
            created_at: self.now,
            retry_at: self.now + again,
            tries: 1,
            op: Arc::new(op),
        }
    }

    /// Retransmits a request.
    fn retransmit(&mut self, of: &mut PendingRequest, out: &mut Vec<FrontOutput>) {
        let doubled = if matches!(self.state, State::Open { .. }) { 0 } else { of.tries.min(3) };
        of.tries += 1;
        of.retry_at = self.now + self.jittered(RETRY_DELAY.min(self.usable_ttl() / 12) * 2u32.pow(doubled));
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
        // From here on nobody is admitted: nothing is added to what is reported to be left.
        let left = self.slots.iter().filter(|(_, s)| s.used > 0).map(|(c, s)| (c.clone(), s.used)).collect();
        let new = self.new_request(Op::Close { account, left });
        out.push(self.send(&new));
        self.state = State::Closing { account, until, out: new };
    }

    fn tick(&mut self, out: &mut Vec<FrontOutput>) {
        let now = self.now;
        match self.state.clone() {
            State::Idle if self.definitions.values().any(LimitDefinition::is_hard) => self.reopen(out),
            State::Opening(mut of) if now >= of.retry_at => {
                // After some tries a new one is created_at: what counts is when it was made.
                if of.tries >= 4 {
                    of =
                        self.new_request(Op::Open { ttl_ms: self.set.rules.ttl_ms, tagged: self.set.tagged });
                    out.push(self.send(&of));
                } else {
                    self.retransmit(&mut of, out);
                }
                self.state = State::Opening(of);
            }
            State::Open { account, until, reported_at, out: None } => {
                let due = reported_at + if self.urgent { self.gap } else { self.report_interval() };
                if now >= due {
                    self.send_report(account, until, out);
                }
            }
            State::Open { account, until, out: Some(of), .. } if of.tries >= 4 && now >= of.retry_at => {
                self.send_report(account, until, out);
            }
            State::Open { account, until, reported_at, out: Some(mut of) } if now >= of.retry_at => {
                self.retransmit(&mut of, out);
                self.state = State::Open { account, until, reported_at, out: Some(of) };
            }
            State::Closing { account, until, out: mut of } if now >= of.retry_at => {
                self.retransmit(&mut of, out);
                self.state = State::Closing { account, until, out: of };
            }
            _ => {}
        }
        if now >= self.looked_at + SOFT_CHECK_INTERVAL {
            self.looked_at = now;
            self.pass(now);
            self.soft.shrink(now, &self.definitions);
        }
        if let Some(row) = self.soft.take_report().filter(|_| self.definitions.values().any(|d| !d.is_hard()))
        {
            out.push(FrontOutput::SoftShares(row));
        }
    }
}
