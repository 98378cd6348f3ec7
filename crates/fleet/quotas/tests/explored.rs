//! Explores all orders of events, up to a depth, of one ledger and three fronts with their real state machines.
//!
//! Events are deliveries, duplicates, arrivals and ends of sessions, kills, elections, surveys and steps of the clocks. A message that
//! is never delivered is lost. Each step adds a part of an account's time to live; the clocks of the leader and of the fronts are as
//! fast or as slow as the drift bound allows.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use beechloft_leases::{DriftBound, Name};
use beechloft_model_checker::{Counterexample, Exploration, FingerprintHasher, Limits, Model, explore};
use beechloft_quotas::{
    Answer, Claim, Command, ExpiryTimers, Fault, Front, FrontId, FrontInput, FrontOutput, FrontSettings, Key,
    Ledger, LimitDefinition, Op, QuotaParameters, Request, Reservation, Resource, Response, Scope, Stage,
    Subject,
};

/// Bound of the drift of all clocks, parts per million.
const MAX_DRIFT_PPM: u32 = 90_000;
const TTL_MS: u32 = 1_000;
/// The limit on concurrent sessions.
const LIMIT: u64 = 3;
const FRONTS: usize = 3;
/// Maximum number of steps until the first front has admitted a session.
const MAX_WARM_UP_STEPS: u32 = 6;
/// The id under which surveys are reported.
const SURVEYOR: FrontId = FrontId(99);

/// How many events of each kind may still occur.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Budget {
    steps: u8,
    duplicates: u8,
    arrivals: u8,
    kills: u8,
    elections: u8,
    surveys: u8,
}

/// A front, the sequence number of its request, and the answer.
type AnswerMessage = (FrontId, u64, Answer);

#[derive(Debug, Clone)]
struct Fleet {
    steps: u32,
    ledger: Arc<Ledger>,
    timers: Arc<ExpiryTimers>,
    fronts: Vec<Arc<Front>>,
    last_front_id: u64,
    requests: Vec<Arc<Request>>,
    answers: Vec<Arc<AnswerMessage>>,
    /// Sessions at media servers: the front that admitted each, and its reservation there.
    sessions: Vec<(FrontId, Reservation)>,
    survey_seq: u64,
    budget: Budget,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Event {
    Step,
    Tick(usize),
    DeliverRequest(Arc<Request>),
    DuplicateRequest(Arc<Request>),
    DeliverAnswer(Arc<AnswerMessage>),
    SessionArrival(usize),
    SessionEnd(usize),
    Kill(usize),
    Election,
    LeaderTimer,
    Survey,
}

struct QuotaModel {
    fault: Option<Fault>,
    leader_drift: f64,
    /// The drift of all fronts' clocks, like that of the leader's clock a factor of the drift bound from -1 to 1.
    front_drift: f64,
    /// True time of one step.
    step: Duration,
    budget: Budget,
}

fn name() -> Name {
    Name::try_from("sessions".to_owned()).expect("a valid name")
}

fn claim() -> Claim {
    Claim { limit: name(), key: Key::default(), customer: Key::default() }
}

fn drift_bound() -> DriftBound {
    DriftBound::ppm(MAX_DRIFT_PPM).expect("a valid drift bound")
}

fn new_front(id: u64) -> Front {
    let parameters = QuotaParameters { fronts: 3, ttl_ms: TTL_MS, settle_ms: 100, horizon_ms: 1_000 };
    let settings = FrontSettings { parameters, drift: drift_bound(), tagged: true, seed: 7 };
    Front::new(FrontId(id), settings)
}

fn hash_of(value: &impl Hash) -> u64 {
    let mut hasher = FingerprintHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

impl QuotaModel {
    fn clock(&self, drift: f64, steps: u32) -> Duration {
        let step = self.step.mul_f64(1.0 + drift * f64::from(MAX_DRIFT_PPM) / 1e6);
        Duration::from_secs(1) + step * steps
    }

    fn leader_time(&self, fleet: &Fleet) -> Duration {
        self.clock(self.leader_drift, fleet.steps)
    }

    fn front_time(&self, fleet: &Fleet) -> Duration {
        self.clock(self.front_drift, fleet.steps)
    }

    fn apply(&self, fleet: &mut Fleet, command: &Command) -> Option<Answer> {
        let now = self.leader_time(fleet);
        let (answer, events) = Arc::make_mut(&mut fleet.ledger).apply(command);
        let ledger = Arc::clone(&fleet.ledger);
        for event in &events {
            Arc::make_mut(&mut fleet.timers).on_event(now, &ledger, event);
        }
        answer
    }

    fn input(&self, fleet: &mut Fleet, n: usize, input: FrontInput) {
        let now = self.front_time(fleet);
        for output in Arc::make_mut(&mut fleet.fronts[n]).handle(now, input) {
            if let FrontOutput::Send(request) = output
                && fleet.requests.iter().all(|sent| **sent != request)
            {
                fleet.requests.push(Arc::new(request));
            }
        }
    }

    fn deliver_request(&self, fleet: &mut Fleet, request: &Request) {
        let (front, seq) = (request.front, request.seq);
        if let Some(answer) = self.apply(fleet, &Command::Request(request.clone())) {
            let message = (front, seq, answer);
            if fleet.answers.iter().all(|sent| **sent != message) {
                fleet.answers.push(Arc::new(message));
            }
        }
    }

    fn deliver_answer(&self, fleet: &mut Fleet, message: &AnswerMessage) {
        let (front, seq, answer) = message.clone();
        if let Some(n) = fleet.fronts.iter().position(|f| f.id() == front) {
            self.input(fleet, n, FrontInput::Response(Response::Answer { front, seq, answer }));
        }
    }

    fn request_session(&self, fleet: &mut Fleet, n: usize) {
        let now = self.front_time(fleet);
        let front = Arc::make_mut(&mut fleet.fronts[n]);
        if let Ok(reservation) = front.admit(now, &Subject::default(), Stage::Session) {
            let id = front.id();
            fleet.sessions.push((id, reservation));
        }
    }

    fn survey(&self, fleet: &mut Fleet) {
        let Some(Answer::Orphans(orphans)) = self.apply_survey_op(fleet, Op::ListOrphans) else { return };
        for (orphan, front) in orphans {
            let sessions = fleet.sessions.iter().filter(|session| session.0 == front).count() as u64;
            let remaining = vec![(claim(), sessions)];
            self.apply_survey_op(fleet, Op::ReportSurvey { orphan, remaining });
        }
    }

    fn apply_survey_op(&self, fleet: &mut Fleet, op: Op) -> Option<Answer> {
        fleet.survey_seq += 1;
        let request = Request { front: SURVEYOR, seq: fleet.survey_seq, op };
        self.apply(fleet, &Command::Request(request))
    }

    /// Delivers all messages in order until none is in flight.
    fn deliver_all(&self, fleet: &mut Fleet) {
        while !fleet.requests.is_empty() || !fleet.answers.is_empty() {
            for request in std::mem::take(&mut fleet.requests) {
                self.deliver_request(fleet, &request);
            }
            for message in std::mem::take(&mut fleet.answers) {
                self.deliver_answer(fleet, &message);
            }
        }
    }

    /// Returns a fleet in which the first front holds the whole limit and has admitted one session, and the second lacks a share.
    fn initial_fleet(&self) -> Fleet {
        let mut ledger = Ledger::default();
        let mut timers = ExpiryTimers::new(drift_bound());
        let definition = LimitDefinition {
            fronts: 3,
            settle_ms: 100,
            max_session_ms: 1_000,
            ..LimitDefinition::hard(name(), Resource::Sessions, Scope::All, LIMIT)
        };
        ledger.apply(&Command::Define(definition));
        timers.start(self.clock(self.leader_drift, 0), &ledger);
        let mut fleet = Fleet {
            steps: 0,
            ledger: Arc::new(ledger),
            timers: Arc::new(timers),
            fronts: (1..=FRONTS as u64).map(|id| Arc::new(new_front(id))).collect(),
            last_front_id: FRONTS as u64,
            requests: Vec::new(),
            answers: Vec::new(),
            sessions: Vec::new(),
            survey_seq: 0,
            budget: self.budget,
        };
        for n in 0..FRONTS {
            self.input(&mut fleet, n, FrontInput::Start);
            self.deliver_all(&mut fleet);
        }
        // The first request is refused, but makes the front report its demand.
        for _ in 0..MAX_WARM_UP_STEPS {
            self.request_session(&mut fleet, 0);
            fleet.steps += 1;
            self.input(&mut fleet, 0, FrontInput::Tick);
            self.deliver_all(&mut fleet);
            for n in 1..FRONTS {
                self.input(&mut fleet, n, FrontInput::Tick);
            }
            self.deliver_all(&mut fleet);
            if !fleet.sessions.is_empty() {
                break;
            }
        }
        assert!(!fleet.sessions.is_empty() && fleet.ledger.sum(&name(), &Key::default()) <= LIMIT);
        self.request_session(&mut fleet, 1);
        self.inject_fault(&mut fleet);
        fleet
    }

    fn inject_fault(&self, fleet: &mut Fleet) {
        if let Some(fault) = self.fault {
            Arc::make_mut(&mut fleet.ledger).inject(fault);
            Arc::make_mut(&mut fleet.timers).inject(fault);
            for front in &mut fleet.fronts {
                Arc::make_mut(front).inject(fault);
            }
        }
    }
}

impl Model for QuotaModel {
    type State = Fleet;
    type Action = Event;

    fn initial_states(&self) -> Vec<Fleet> {
        vec![self.initial_fleet()]
    }

    fn actions(&self, fleet: &Fleet) -> Vec<Event> {
        let budget = &fleet.budget;
        let within = |left: u8, event: Event| (left > 0).then_some(event);
        let mut events: Vec<Event> = fleet.requests.iter().cloned().map(Event::DeliverRequest).collect();
        events.extend(fleet.answers.iter().cloned().map(Event::DeliverAnswer));
        events.extend(within(budget.steps, Event::Step));
        events.extend(within(budget.elections, Event::Election));
        events.extend(within(budget.surveys, Event::Survey).filter(|_| fleet.ledger.orphans().count() > 0));
        if budget.duplicates > 0 {
            events.extend(fleet.requests.iter().cloned().map(Event::DuplicateRequest));
        }
        let (leader_time, front_time) = (self.leader_time(fleet), self.front_time(fleet));
        if fleet.timers.next_due().is_some_and(|due| due <= leader_time) {
            events.push(Event::LeaderTimer);
        }
        for (n, front) in fleet.fronts.iter().enumerate() {
            if front.next_due().is_some_and(|due| due <= front_time) {
                events.push(Event::Tick(n));
            }
            events.extend(within(budget.arrivals, Event::SessionArrival(n)));
            events.extend(within(budget.kills, Event::Kill(n)));
        }
        events.extend((0..fleet.sessions.len()).map(Event::SessionEnd));
        events
    }

    fn step(&self, fleet: &mut Fleet, event: &Event) {
        match event {
            Event::Step => {
                fleet.budget.steps -= 1;
                fleet.steps += 1;
            }
            Event::Tick(n) => self.input(fleet, *n, FrontInput::Tick),
            Event::DeliverRequest(request) => {
                fleet.requests.retain(|sent| sent != request);
                self.deliver_request(fleet, request);
            }
            Event::DuplicateRequest(request) => {
                fleet.budget.duplicates -= 1;
                self.deliver_request(fleet, request);
            }
            Event::DeliverAnswer(message) => {
                fleet.answers.retain(|sent| sent != message);
                self.deliver_answer(fleet, message);
            }
            Event::SessionArrival(n) => {
                fleet.budget.arrivals -= 1;
                self.request_session(fleet, *n);
            }
            Event::SessionEnd(index) => {
                let (id, reservation) = fleet.sessions.remove(*index);
                let now = self.front_time(fleet);
                if let Some(n) = fleet.fronts.iter().position(|f| f.id() == id) {
                    Arc::make_mut(&mut fleet.fronts[n]).release(now, reservation);
                }
            }
            Event::Kill(n) => {
                fleet.budget.kills -= 1;
                fleet.last_front_id += 1;
                fleet.fronts[*n] = Arc::new(new_front(fleet.last_front_id));
                self.input(fleet, *n, FrontInput::Start);
            }
            Event::Election => {
                fleet.budget.elections -= 1;
                let now = self.leader_time(fleet);
                Arc::make_mut(&mut fleet.timers).start(now, &fleet.ledger);
            }
            Event::LeaderTimer => {
                let now = self.leader_time(fleet);
                for command in Arc::make_mut(&mut fleet.timers).due_commands(now) {
                    self.apply(fleet, &command);
                }
            }
            Event::Survey => {
                fleet.budget.surveys -= 1;
                self.survey(fleet);
            }
        }
    }

    fn fingerprint(&self, fleet: &Fleet, into: &mut FingerprintHasher) {
        (fleet.budget, fleet.steps, &fleet.ledger, &fleet.timers).hash(into);
        (&fleet.fronts, fleet.last_front_id, fleet.survey_seq).hash(into);
        // The order of messages in flight, and that of a front's sessions, makes no difference.
        fleet.requests.iter().map(|request| hash_of(&**request)).collect::<BTreeSet<u64>>().hash(into);
        fleet.answers.iter().map(|message| hash_of(&**message)).collect::<BTreeSet<u64>>().hash(into);
        let mut sessions: BTreeMap<FrontId, Vec<&Reservation>> = BTreeMap::new();
        for (front, reservation) in &fleet.sessions {
            sessions.entry(*front).or_default().push(reservation);
        }
        sessions.values_mut().for_each(|reservations| reservations.sort());
        sessions.hash(into);
    }

    fn violation(&self, fleet: &Fleet) -> Option<String> {
        let front_time = self.front_time(fleet);
        let open = fleet.fronts.iter().filter(|front| front.is_open(front_time));
        let headroom: u64 = open.map(|front| front.headroom(&claim())).sum();
        let in_use = fleet.sessions.len() as u64;
        if in_use + headroom > LIMIT {
            return Some(format!("{in_use} sessions and a headroom of {headroom} exceed the limit {LIMIT}"));
        }
        let sum = fleet.ledger.sum(&name(), &Key::default());
        let recomputed = fleet.ledger.recomputed_sum(&name(), &Key::default());
        (sum != recomputed || recomputed > LIMIT)
            .then(|| format!("the ledger's sum is {sum}, its shares add up to {recomputed}"))
    }
}

const BUDGET: Budget = Budget { steps: 4, duplicates: 1, arrivals: 2, kills: 1, elections: 1, surveys: 1 };

fn explore_model(
    leader_drift: f64,
    front_drift: f64,
    limits: Limits,
) -> Result<Exploration, Counterexample<Event>> {
    let step = Duration::from_millis(500);
    let model = QuotaModel { fault: None, leader_drift, front_drift, step, budget: BUDGET };
    explore(&model, limits)
}

#[test]
fn limit_holds_in_all_orders_of_events() {
    for (leader_drift, front_drift) in [(1.0, -1.0), (-1.0, 1.0), (0.0, 0.0)] {
        let limits = Limits { depth: 6, states: 400_000, threads: 4 };
        let explored = explore_model(leader_drift, front_drift, limits)
            .unwrap_or_else(|found| panic!("drift {leader_drift} and {front_drift}: {found:#?}"));
        println!("drift {leader_drift} and {front_drift}: {explored:?}");
        assert!(explored.states > 2_000, "{explored:?}");
    }
}
