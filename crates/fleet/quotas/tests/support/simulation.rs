//! The simulation: clocks, the network, the leader, and faults.

use std::collections::{BTreeMap, VecDeque};
use std::ops::RangeInclusive;
use std::time::Duration;

use beechloft_leases::{DriftBound, Name};
use beechloft_quotas::soft::SoftShares;
use beechloft_quotas::{
    Answer, Claim, Command, Event, ExpiryTimers, Fault, Front, FrontId, FrontInput, FrontOutput,
    FrontSettings, Ledger, LimitDefinition, QuotaParameters, Rejection, Request, Response,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::front_node::FrontNode;
use super::invariants::RequestTimes;
use super::sessions::PlayingSession;
use super::{MAX_DRIFT_PPM, ms};

/// True time of one step.
const STEP: Duration = Duration::from_millis(5);
/// Interval of the check of shares, milliseconds.
const SHARE_CHECK_INTERVAL_MS: u128 = 20;
/// Number of latest log entries in which a retransmission is found.
const RETRANSMISSION_WINDOW: usize = 4096;

#[derive(Debug, Clone)]
pub(super) enum Scheduled {
    /// A request arrives at the leader.
    Request(Request),
    /// A response arrives at a front, given by its index and id.
    Response(usize, FrontId, Response),
    /// A report that was made at the given time arrives at a front, given by its index.
    SoftShares(usize, FrontId, SoftShares, Duration),
    /// A session ends that was admitted by a front, given by its index and id.
    SessionEnd(usize, FrontId, u64),
}

pub struct Simulation {
    pub now: Duration,
    pub(super) rng: ChaCha8Rng,
    pub(super) parameters: QuotaParameters,
    pub(super) drift: DriftBound,
    pub ledger: Ledger,
    timers: ExpiryTimers,
    leader_clock_rate: f64,
    pub has_leader: bool,
    pub fronts: Vec<FrontNode>,
    /// Sessions at media servers or on their way to one.
    pub(super) sessions: BTreeMap<u64, PlayingSession>,
    pub(super) last_session: u64,
    last_front_id: u64,
    scheduled: BTreeMap<(Duration, u64), Scheduled>,
    schedule_count: u64,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is duplicated.
    pub duplication: f64,
    pub max_latency: Duration,
    /// Durations of sessions, milliseconds.
    pub session_ms: RangeInclusive<u64>,
    /// Values of each limit in units, and when they were committed.
    pub(super) limit_history: BTreeMap<Name, Vec<(Duration, u64)>>,
    pub definitions: Vec<LimitDefinition>,
    /// Events under limits on rates within the last second.
    pub(super) rate_events: BTreeMap<Claim, VecDeque<Duration>>,
    /// Units of concurrent limits that sessions use.
    pub(super) units_in_use: BTreeMap<Claim, u64>,
    /// The first violation of a bound.
    pub violation: Option<String>,
    pub orphans_seen: u64,
    pub surveys_enabled: bool,
    pub(super) survey_seq: u64,
    pub(super) next_survey_at: Duration,
    fault: Option<Fault>,
    pub(super) history: BTreeMap<(FrontId, u64), RequestTimes>,
    /// Requests in the order of the log, and when each was applied.
    pub(super) log: Vec<(FrontId, u64, Duration)>,
    /// Maximum units by which a soft limit was exceeded.
    pub max_excess: u64,
    /// Maximum time from the admission of a session to its arrival at the media server.
    pub max_set_up_time: Duration,
}

impl Simulation {
    pub fn new(
        seed: u64,
        fronts: usize,
        parameters: QuotaParameters,
        definitions: Vec<LimitDefinition>,
        fault: Option<Fault>,
    ) -> Simulation {
        let drift = DriftBound::ppm(MAX_DRIFT_PPM).expect("a valid drift bound");
        let mut ledger = Ledger::default();
        let mut timers = ExpiryTimers::new(drift);
        if let Some(fault) = fault {
            ledger.inject(fault);
            timers.inject(fault);
        }
        let mut simulation = Simulation {
            now: Duration::from_secs(1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            parameters,
            drift,
            ledger,
            timers,
            leader_clock_rate: 1.0,
            has_leader: true,
            fronts: Vec::new(),
            sessions: BTreeMap::new(),
            last_session: 0,
            last_front_id: 0,
            scheduled: BTreeMap::new(),
            schedule_count: 0,
            loss: 0.0,
            duplication: 0.0,
            max_latency: ms(5),
            session_ms: 500..=5_000,
            limit_history: BTreeMap::new(),
            definitions: Vec::new(),
            rate_events: BTreeMap::new(),
            units_in_use: BTreeMap::new(),
            violation: None,
            orphans_seen: 0,
            surveys_enabled: true,
            survey_seq: 0,
            next_survey_at: Duration::ZERO,
            fault,
            history: BTreeMap::new(),
            log: Vec::new(),
            max_excess: 0,
            max_set_up_time: ms(50),
        };
        simulation.timers.start(simulation.now, &simulation.ledger);
        for definition in definitions {
            simulation.define(definition);
        }
        for _ in 0..fronts {
            let front = simulation.new_front();
            simulation.fronts.push(front);
        }
        simulation
    }

    fn chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.random_bool(probability)
    }

    /// Returns a random number below `n`.
    pub fn below(&mut self, n: usize) -> usize {
        self.rng.random_range(0..n)
    }

    fn random_clock_rate(&mut self) -> f64 {
        let max_drift = f64::from(MAX_DRIFT_PPM) / 1e6;
        1.0 + self.rng.random_range(-max_drift..=max_drift)
    }

    fn new_front(&mut self) -> FrontNode {
        self.last_front_id += 1;
        let settings = FrontSettings {
            parameters: self.parameters,
            drift: self.drift,
            tagged: true,
            seed: self.last_front_id,
        };
        let mut front = Front::new(FrontId(self.last_front_id), settings);
        if let Some(fault) = self.fault {
            front.inject(fault);
        }
        for definition in &self.definitions {
            front.handle(Duration::ZERO, FrontInput::Define(definition.clone()));
        }
        FrontNode::new(front, self.random_clock_rate())
    }

    /// Commits a definition.
    pub fn define(&mut self, definition: LimitDefinition) {
        let name = definition.name.clone();
        let value = (self.now, definition.units());
        self.limit_history.entry(name.clone()).or_default().push(value);
        self.definitions.retain(|d| d.name != name);
        self.definitions.push(definition.clone());
        self.apply(&Command::Define(definition));
    }

    /// Delivers a definition to a front.
    pub fn send_definition(&mut self, n: usize, definition: LimitDefinition) {
        self.input(n, FrontInput::Define(definition));
    }

    fn leader_time(&self) -> Duration {
        self.now.mul_f64(self.leader_clock_rate)
    }

    pub(super) fn apply(&mut self, command: &Command) -> Option<Answer> {
        let (answer, events) = self.ledger.apply(command);
        let now = self.leader_time();
        for event in &events {
            if let Event::Ended(_, _, Some(_)) = event {
                self.orphans_seen += 1;
            }
            if self.has_leader {
                self.timers.on_event(now, &self.ledger, event);
            }
        }
        answer
    }

    /// Another replica becomes the leader, with a clock of its own and a ledger that it reads from a snapshot.
    pub fn elect_leader(&mut self) {
        self.leader_clock_rate = self.random_clock_rate();
        self.has_leader = true;
        self.timers = ExpiryTimers::new(self.drift);
        if let Some(fault) = self.fault {
            self.timers.inject(fault);
        }
        let now = self.leader_time();
        self.timers.start(now, &self.ledger);
        let mut restored = Ledger::read(&self.ledger.write()).expect("the ledger decodes");
        if let Some(fault) = self.fault {
            restored.inject(fault);
        }
        assert_eq!(restored, self.ledger, "the restored ledger differs");
        self.ledger = restored;
    }

    pub fn lose_leader(&mut self) {
        self.has_leader = false;
        self.timers.stop();
    }

    pub(super) fn schedule(&mut self, delay: Duration, event: Scheduled) {
        self.schedule_count += 1;
        self.scheduled.insert((self.now + delay, self.schedule_count), event);
    }

    fn random_latency(&mut self) -> Duration {
        let max_micros = u64::try_from(self.max_latency.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(self.rng.random_range(max_micros / 4..=max_micros))
    }

    /// Sends a message over the network, which may lose or duplicate it.
    fn send(&mut self, message: Scheduled) {
        if self.chance(self.loss) {
            return;
        }
        for _ in 0..1 + u32::from(self.chance(self.duplication)) {
            let latency = self.random_latency();
            self.schedule(latency, message.clone());
        }
    }

    pub(super) fn local_time(&self, n: usize) -> Duration {
        self.fronts[n].local_time(self.now)
    }

    fn input(&mut self, n: usize, input: FrontInput) {
        if !self.fronts[n].is_active(self.now) {
            return;
        }
        let local = self.local_time(n);
        for output in self.fronts[n].front.handle(local, input) {
            match output {
                FrontOutput::Send(request) => {
                    self.fronts[n].requests_sent += 1;
                    let key = (request.front, request.seq);
                    let times = RequestTimes { sent_at: self.now, answered_at: None };
                    self.history.entry(key).or_insert(times);
                    if !self.fronts[n].partitioned {
                        self.send(Scheduled::Request(request));
                    }
                }
                FrontOutput::SoftShares(report) => {
                    let from = self.fronts[n].id;
                    self.gossip(n, from, &report);
                }
                _ => {}
            }
        }
        self.fronts[n].update_next_tick();
    }

    /// Sends a report to all fronts on the same side of a partition.
    fn gossip(&mut self, from: usize, id: FrontId, report: &SoftShares) {
        for to in 0..self.fronts.len() {
            if to != from && self.fronts[to].partitioned == self.fronts[from].partitioned {
                let delay = ms(self.rng.random_range(20..400));
                let made_at = self.now;
                self.schedule(delay, Scheduled::SoftShares(to, id, report.clone(), made_at));
            }
        }
    }

    /// Repeats the reports of all fronts, so that they stay within the horizon.
    pub fn repeat_reports(&mut self) {
        for n in 0..self.fronts.len() {
            if self.fronts[n].running {
                let usages = self.fronts[n].front.share_usages();
                let shares = usages.into_iter().map(|usage| (usage.claim, usage.share)).collect();
                let id = self.fronts[n].id;
                self.gossip(n, id, &SoftShares { shares });
            }
        }
    }

    /// Kills a front's process and starts another in its place. Its sessions continue at the media servers.
    pub fn kill(&mut self, n: usize) {
        let (arrivals_per_s, customer) = (self.fronts[n].arrivals_per_s, self.fronts[n].customer.clone());
        let front = self.new_front();
        self.fronts[n] = FrontNode { arrivals_per_s, customer, ..front };
    }

    /// Closes a front's account, as a graceful shutdown does, and starts another process in its place.
    pub fn shut_down(&mut self, n: usize) {
        self.input(n, FrontInput::Close);
        if self.fault == Some(Fault::AdmitsWhileClosing) {
            for _ in 0..20 {
                self.request_session(n);
            }
        }
        self.kill(n);
    }

    /// Pauses a front's process.
    pub fn pause(&mut self, n: usize, span: Duration) {
        self.fronts[n].paused_until = self.now + span;
        self.fronts[n].next_tick = self.fronts[n].next_tick.min(self.local_time(n));
    }

    /// Advances the time in steps, until a bound is violated or the span is over.
    pub fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until && self.violation.is_none() {
            self.now += STEP;
            while let Some(entry) = self.scheduled.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let event = entry.remove();
                self.handle(event);
            }
            if self.has_leader {
                for command in self.timers.due_commands(self.leader_time()) {
                    self.apply(&command);
                }
            }
            for n in 0..self.fronts.len() {
                self.step_front(n);
            }
            self.survey();
            if self.now.as_millis().is_multiple_of(SHARE_CHECK_INTERVAL_MS) {
                self.check_shares();
            }
        }
    }

    fn step_front(&mut self, n: usize) {
        if self.fronts[n].next_tick <= self.local_time(n) {
            self.input(n, FrontInput::Tick);
        }
        self.fronts[n].due_arrivals += self.fronts[n].arrivals_per_s * STEP.as_secs_f64();
        while self.fronts[n].due_arrivals >= 1.0 {
            self.fronts[n].due_arrivals -= 1.0;
            self.request_session(n);
        }
    }

    fn handle(&mut self, event: Scheduled) {
        match event {
            Scheduled::Request(request) => self.handle_request(request),
            Scheduled::Response(n, front, response) if self.fronts[n].id == front => {
                self.handle_response(n, front, response);
            }
            Scheduled::SoftShares(n, from, report, made_at) => {
                let age = self.now - made_at;
                self.input(n, FrontInput::SoftShares(from, report, age));
            }
            Scheduled::SessionEnd(n, front, id) => self.end_session(n, front, id),
            Scheduled::Response(..) => {}
        }
    }

    fn handle_request(&mut self, request: Request) {
        if !self.has_leader {
            return;
        }
        let (front, seq) = (request.front, request.seq);
        let mut recent = self.log.iter().rev().take(RETRANSMISSION_WINDOW);
        let is_first = !recent.any(|entry| (entry.0, entry.1) == (front, seq));
        let Some(answer) = self.apply(&Command::Request(request)) else { return };
        if is_first && answer != Answer::Rejected(Rejection::Superseded) {
            self.log.push((front, seq, self.now));
        }
        self.check_sums();
        let Some(n) = self.fronts.iter().position(|node| node.id == front) else { return };
        if !self.fronts[n].partitioned {
            self.send(Scheduled::Response(n, front, Response::Answer { front, seq, answer }));
        }
    }

    fn handle_response(&mut self, n: usize, front: FrontId, response: Response) {
        if self.fronts[n].paused_until > self.now {
            // The response waits in the socket of the paused process.
            let delay = self.fronts[n].paused_until - self.now;
            return self.schedule(delay, Scheduled::Response(n, front, response));
        }
        if let Response::Answer { seq, .. } = &response
            && let Some(times) = self.history.get_mut(&(front, *seq))
        {
            times.answered_at.get_or_insert(self.now);
        }
        self.input(n, FrontInput::Response(response));
    }
}
