//! A front's state machine: its account, its shares, and admission.

mod admit;
mod io;
mod local_share;
mod report;
mod response;
mod state;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use beechloft_leases::Name;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::admit::Admitted;
use self::local_share::LocalShare;
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
/// Maximum number of doublings of the delay between retransmissions.
const MAX_RETRY_DOUBLINGS: u32 = 3;
/// Number of transmissions after which a request is replaced by a new one.
const MAX_TRIES: u32 = 4;
/// Interval at which soft shares are reviewed.
const SOFT_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The state machine of a front.
#[derive(Debug, Clone)]
pub struct Front {
    id: FrontId,
    settings: FrontSettings,
    rng: ChaCha8Rng,
    state: State,
    /// Sequence number of the last request.
    seq: u64,
    now: Duration,
    definitions: BTreeMap<Name, LimitDefinition>,
    /// Versions at which limits were removed.
    removed: BTreeMap<Name, u64>,
    shares: BTreeMap<Claim, LocalShare>,
    soft: SoftLimits,
    /// Units under soft limits on rates, and when they are released.
    soft_rate_expiries: VecDeque<(Duration, Claim, u64)>,
    soft_checked_at: Duration,
    /// Sessions and attempts in progress, by reservation.
    admitted: BTreeMap<u64, Admitted>,
    last_reservation: u64,
    /// Whether the next report follows the last one after `urgent_interval`, and not after the usual interval.
    urgent: bool,
    urgent_interval: Duration,
    /// The ledger's revision of the known limits; `None` if they are to be requested.
    revision: Option<u64>,
    /// Whether the ledger's limits were received once. A process that has just started knows none and would admit any session.
    knows_limits: bool,
    /// Limits of the settings that were not declared under the present account.
    undeclared: Vec<LimitDefinition>,
    configured: Vec<LimitDefinition>,
    fault: Option<Fault>,
}

/// Covers everything that determines the next outputs, except the random numbers.
impl std::hash::Hash for Front {
    fn hash<H: std::hash::Hasher>(&self, into: &mut H) {
        (self.id, &self.state, self.seq, self.now, &self.definitions, &self.shares).hash(into);
        (&self.soft, &self.soft_rate_expiries, &self.admitted).hash(into);
        (self.urgent, self.urgent_interval).hash(into);
    }
}

impl Front {
    /// Creates a front without account that knows no limits. `id` must be drawn at random for each run of the process.
    pub fn new(id: FrontId, settings: FrontSettings) -> Front {
        Front {
            id,
            settings,
            rng: ChaCha8Rng::seed_from_u64(settings.seed ^ id.0),
            state: State::Idle,
            seq: 0,
            now: Duration::ZERO,
            definitions: BTreeMap::new(),
            removed: BTreeMap::new(),
            shares: BTreeMap::new(),
            soft: SoftLimits::new(settings.parameters, settings.drift),
            soft_rate_expiries: VecDeque::new(),
            soft_checked_at: Duration::ZERO,
            admitted: BTreeMap::new(),
            last_reservation: 0,
            urgent: false,
            urgent_interval: MIN_REPORT_INTERVAL,
            revision: None,
            knows_limits: false,
            undeclared: Vec::new(),
            configured: Vec::new(),
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

    /// Returns the id of the front.
    pub fn id(&self) -> FrontId {
        self.id
    }

    /// Returns the limits that the front knows.
    pub fn definitions(&self) -> impl Iterator<Item = &LimitDefinition> {
        self.definitions.values()
    }

    /// Returns all shares with their use.
    pub fn share_usages(&self) -> Vec<ShareUsage> {
        let is_hard =
            |claim: &&Claim| self.definitions.get(&claim.limit).is_none_or(LimitDefinition::is_hard);
        let claims = self.shares.keys().filter(is_hard).chain(self.soft.claims());
        claims
            .map(|claim| {
                let (share, used) = self.share_and_use(claim);
                ShareUsage { claim: claim.clone(), share, used }
            })
            .collect()
    }

    /// Returns the share of a claim and the units in use.
    pub fn share_and_use(&self, claim: &Claim) -> (u64, u64) {
        let is_soft = self.definitions.get(&claim.limit).is_some_and(|limit| !limit.is_hard());
        if is_soft {
            return self.soft.share_and_use(claim);
        }
        self.shares.get(claim).map_or((0, 0), |share| (share.granted, share.used))
    }

    /// Returns the units of a hard limit that may still be admitted while the account is open. For a rate, returns the share.
    pub fn headroom(&self, claim: &Claim) -> u64 {
        let is_rate = self.definitions.get(&claim.limit).is_some_and(|limit| limit.resource.is_rate());
        let open = self.shares.get(claim).filter(|share| !share.closed);
        open.map_or(0, |share| if is_rate { share.granted } else { share.headroom() })
    }

    /// Returns whether the account is open, so that sessions may be admitted under hard limits.
    pub fn is_open(&self, now: Duration) -> bool {
        matches!(self.state, State::Open { until, .. } if now < until)
            || self.has_fault(Fault::AdmitsWhileClosing)
                && matches!(self.state, State::Closing { until, .. } if now < until)
    }

    /// Returns the part of the time to live in which the account may be used, counted from the creation of the request.
    fn usable_ttl(&self) -> Duration {
        let ttl = Duration::from_millis(u64::from(self.settings.parameters.ttl_ms));
        if self.has_fault(Fault::DriftIgnored) { ttl } else { self.settings.drift.shorter(ttl) }
    }

    /// Returns the interval between reports if nothing is urgent.
    fn report_interval(&self) -> Duration {
        self.usable_ttl() / 4
    }

    /// Returns when the next report is due, given the time of the last.
    fn next_report_at(&self, reported_at: Duration) -> Duration {
        reported_at + if self.urgent { self.urgent_interval } else { self.report_interval() }
    }

    fn knows_hard_limit(&self) -> bool {
        self.definitions.values().any(LimitDefinition::is_hard)
    }

    fn knows_soft_limit(&self) -> bool {
        self.definitions.values().any(|limit| !limit.is_hard())
    }

    /// Returns when a [`FrontInput::Tick`] is needed. Returns `None` if no timer runs.
    pub fn next_due(&self) -> Option<Duration> {
        let hard = match &self.state {
            State::Idle | State::Closed => None,
            State::Opening(request) => Some(request.retry_at),
            State::Open { until, reported_at, pending, .. } => {
                let next = match pending {
                    Some(request) => request.retry_at,
                    None => self.next_report_at(*reported_at),
                };
                Some(next.min(*until))
            }
            State::Closing { until, request, .. } => Some(request.retry_at.min(*until)),
        };
        let soft = self.knows_soft_limit().then(|| self.soft_checked_at + SOFT_CHECK_INTERVAL);
        hard.into_iter().chain(soft).min()
    }

    /// Handles an input. `now` must be the time of the same clock, which never goes back, as in all other methods.
    pub fn handle(&mut self, now: Duration, input: FrontInput) -> Vec<FrontOutput> {
        self.now = self.now.max(now);
        let mut outputs = Vec::new();
        // Comes before the input: a process that was paused for too long has lost its account, whatever messages wait for it.
        self.expire(&mut outputs);
        match input {
            FrontInput::Tick => {}
            FrontInput::Response(response) => self.on_response(response, &mut outputs),
            FrontInput::Start if self.state == State::Idle => self.reopen(&mut outputs),
            FrontInput::Start => {}
            FrontInput::Define(definition) => {
                self.configured.retain(|d| d.name != definition.name);
                self.configured.push(definition.clone());
                self.define(definition);
            }
            FrontInput::Undefine(name, version) => self.undefine(name, version),
            FrontInput::SoftShares(from, report, age) => {
                let max_age_ms = self.definitions.values().map(|d| d.max_session_ms).max().unwrap_or(0);
                self.soft.on_report(self.now, from, report, age, max_age_ms);
            }
            FrontInput::Close => self.close(&mut outputs),
        }
        self.tick(&mut outputs);
        outputs
    }

    fn expire(&mut self, outputs: &mut Vec<FrontOutput>) {
        match self.state {
            State::Open { account, until, .. } if self.now >= until => {
                outputs.push(FrontOutput::Lost(account));
                self.reopen(outputs);
            }
            // The ledger counts the whole share until the orphan ends, which is safe.
            State::Closing { until, .. } if self.now >= until => {
                self.state = State::Closed;
                outputs.push(FrontOutput::Closed);
            }
            _ => {}
        }
    }

    /// Gives up all shares and requests a new account; sessions in progress continue.
    fn reopen(&mut self, outputs: &mut Vec<FrontOutput>) {
        for share in self.shares.values_mut() {
            (share.granted, share.recall, share.closed) = (0, 0, false);
            share.bucket.set_rate(self.now, 0, 0);
            share.forget_report();
        }
        let request = self.new_open_request();
        outputs.push(self.send(&request));
        self.state = State::Opening(request);
        // Limits may have changed in the meantime, and a new ledger may not know the limits of the settings.
        self.revision = None;
        self.undeclared = self.configured.clone();
    }

    fn send(&self, request: &PendingRequest) -> FrontOutput {
        FrontOutput::Send(Request { front: self.id, seq: request.seq, op: (*request.op).clone() })
    }

    /// Returns a random delay between half the span and all of it, so that fronts that failed together do not retry together.
    fn jittered(&mut self, span: Duration) -> Duration {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(self.rng.random_range(micros / 2..=micros))
    }

    /// Returns the delay of the first retransmission, without jitter.
    fn retry_delay(&self) -> Duration {
        RETRY_DELAY.min(self.usable_ttl() / 12)
    }

    fn new_request(&mut self, op: Op) -> PendingRequest {
        self.seq += 1;
        let delay = self.jittered(self.retry_delay());
        PendingRequest {
            seq: self.seq,
            created_at: self.now,
            retry_at: self.now + delay,
            tries: 1,
            op: Arc::new(op),
        }
    }

    fn new_open_request(&mut self) -> PendingRequest {
        let (ttl_ms, tagged) = (self.settings.parameters.ttl_ms, self.settings.tagged);
        self.new_request(Op::Open { ttl_ms, tagged })
    }

    /// Retransmits a request. The delay doubles each time, except while the account is open and has to be renewed in time.
    fn retransmit(&mut self, request: &mut PendingRequest, outputs: &mut Vec<FrontOutput>) {
        let is_open = matches!(self.state, State::Open { .. });
        let doublings = if is_open { 0 } else { request.tries.min(MAX_RETRY_DOUBLINGS) };
        request.tries += 1;
        request.retry_at = self.now + self.jittered(self.retry_delay() * 2u32.pow(doublings));
        outputs.push(self.send(request));
    }

    fn close(&mut self, outputs: &mut Vec<FrontOutput>) {
        let State::Open { account, until, .. } = self.state else {
            if !matches!(self.state, State::Closing { .. }) {
                self.state = State::Closed;
                outputs.push(FrontOutput::Closed);
            }
            return;
        };
        // No session is admitted from here on, so that the use can't exceed what is reported.
        let in_use = self.shares.iter().filter(|(_, share)| share.used > 0);
        let remaining = in_use.map(|(claim, share)| (claim.clone(), share.used)).collect();
        let request = self.new_request(Op::Close { account, remaining });
        outputs.push(self.send(&request));
        self.state = State::Closing { account, until, request };
    }

    fn tick(&mut self, outputs: &mut Vec<FrontOutput>) {
        let now = self.now;
        match self.state.clone() {
            State::Idle if self.knows_hard_limit() => self.reopen(outputs),
            State::Opening(mut request) if now >= request.retry_at => {
                // A new request after some tries, because the account's time counts from the creation of the request.
                if request.tries >= MAX_TRIES {
                    request = self.new_open_request();
                    outputs.push(self.send(&request));
                } else {
                    self.retransmit(&mut request, outputs);
                }
                self.state = State::Opening(request);
            }
            State::Open { account, until, reported_at, pending: None }
                if now >= self.next_report_at(reported_at) =>
            {
                self.send_report(account, until, outputs);
            }
            State::Open { account, until, reported_at, pending: Some(mut request) }
                if now >= request.retry_at =>
            {
                if request.tries >= MAX_TRIES {
                    self.send_report(account, until, outputs);
                } else {
                    self.retransmit(&mut request, outputs);
                    self.state = State::Open { account, until, reported_at, pending: Some(request) };
                }
            }
            State::Closing { account, until, mut request } if now >= request.retry_at => {
                self.retransmit(&mut request, outputs);
                self.state = State::Closing { account, until, request };
            }
            _ => {}
        }
        if now >= self.soft_checked_at + SOFT_CHECK_INTERVAL {
            self.soft_checked_at = now;
            self.expire_soft_rates(now);
            self.soft.shrink(now, &self.definitions);
        }
        if let Some(report) = self.soft.take_report().filter(|_| self.knows_soft_limit()) {
            outputs.push(FrontOutput::SoftShares(report));
        }
    }
}
