//! Exhaustive exploration of the placement, with the real components, up to a limited depth. It covers all orders of
//! proposals, orders to media servers and their reports, jobs, records, lease requests and answers, clock steps, changes of
//! the lease and of the leader, and restarts and losses of media servers. The model has one shard in two regions, a worker
//! and its successor, and two fronts. A message that is never delivered is lost, and one that is delivered without being
//! removed is duplicated.
#![allow(clippy::cast_possible_truncation, clippy::too_many_lines)]

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hash;
use std::sync::Arc;
use std::time::Duration;

use beechloft_leases::{DriftBound, Token};
use beechloft_model_checker::{
    Counterexample, Exploration, FingerprintHasher, Limits, Model, explore, hash_unordered,
};
use beechloft_placement::front::{AllowedServers, ViewInput};
use beechloft_placement::media_server::{Job, JobOutcome};
use beechloft_placement::names::*;
use beechloft_placement::protocol::commands::Source;
use beechloft_placement::protocol::orders::{OrderAction, ServerReport, ServerRequest};
use beechloft_placement::state::{CopyState, LeaseDeadlines, Presence, Scope};
use beechloft_placement::worker::{WorkerOutput, WorkerSettings};
use beechloft_placement::{
    Answer, Command, Event, Fault, MediaServer, Placements, Record, RenewOutcome, Rules, Step, View, Worker,
};
use support::*;

const DRIFT_PPM: u32 = 90_000;
const TTL: Duration = Duration::from_millis(1_000);
const GRACE_MS: u64 = 600;

/// How often each kind of event may happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Budget {
    clock_steps: u8,
    duplicates: u8,
    changes: u8,
    lease_moves: u8,
    restarts: u8,
    losses: u8,
    leader_changes: u8,
    corruptions: u8,
    sessions: u8,
    ticks: u8,
}

const NO_BUDGET: Budget = Budget {
    clock_steps: 0,
    duplicates: 0,
    changes: 0,
    lease_moves: 0,
    restarts: 0,
    losses: 0,
    leader_changes: 0,
    corruptions: 0,
    sessions: 0,
    ticks: 0,
};

#[derive(Debug, Clone, Hash)]
struct ServerHost {
    server: MediaServer,
    /// Whether the content on disk is intact, if there is any.
    content: Option<bool>,
    jobs: Vec<Job>,
    /// Whether the content was on disk at the start and has not been written since.
    found: bool,
}

#[derive(Debug, Clone)]
struct ModelState {
    steps: u32,
    placements: Arc<Placements>,
    lease_deadlines: LeaseDeadlines,
    workers: Vec<Arc<Worker>>,
    holder: usize,
    token: u64,
    highest_token: Token,
    hosts: Vec<Arc<ServerHost>>,
    fronts: Vec<Arc<View>>,
    records_fed: Vec<usize>,
    topic: Arc<Vec<(Revision, Option<Record>)>>,
    log: Vec<Arc<Command>>,
    requests: Vec<Arc<(usize, ServerRequest)>>,
    reports: Vec<Arc<(usize, ServerId, ServerReport)>>,
    lease_answers: Vec<Arc<(usize, u64, RenewOutcome)>>,
    drained: BTreeMap<ServerId, u32>,
    violation: Option<String>,
    budget: Budget,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Action {
    Sweep,
    Apply(Arc<Command>),
    ApplyDuplicate(Arc<Command>),
    ToServer(Arc<(usize, ServerRequest)>),
    DuplicateToServer(Arc<(usize, ServerRequest)>),
    Report(Arc<(usize, ServerId, ServerReport)>),
    /// The first job of a media server ends, with intact content or not.
    Job(usize, bool),
    Feed(usize),
    /// A front receives a snapshot from a replica that has only the first record.
    OldSnapshot(usize),
    Tick(usize),
    LeaseAnswer(Arc<(usize, u64, RenewOutcome)>),
    AdvanceClock,
    /// The leader expires the leases that are due.
    ExpireLeases,
    ChangeLeader,
    Change,
    MoveLease,
    /// A media server restarts with its current disk or an empty one.
    Restart(usize, bool),
    /// The worker records a media server as lost.
    LoseServer(usize),
    /// A front starts a session on each allowed media server.
    StartSessions(usize),
}

struct PlacementModel {
    budget: Budget,
    fault: Option<Fault>,
    /// Clock rates of the coordinator and the worker, and of the fronts, as a fraction of the drift bound.
    rates: (f64, f64),
    span: Duration,
    start: Vec<StartState>,
}

/// The initial state of an exploration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StartState {
    /// Nothing is pinned.
    Empty,
    /// The first version serves in the first region, and both fronts have its record.
    Serving,
    /// The second version wants the second region, and its copy serves as well.
    Moved,
    /// The copy in the first region is also withdrawn, and only the first front knows.
    Withdrawing,
    /// The copy in the first region is draining with a session left.
    Draining,
    /// The copy in the first region is deleted, and a duplicate of the order to write it is still in transit.
    Deleted,
}

fn id() -> ShardId {
    shard("ann", "a")
}

fn put_to(region: &str, key: &str, if_match: Option<u64>) -> Command {
    put(&id(), key, if_match, request(&id(), 100, &[(region, 1)]))
}

fn add_unique<T: PartialEq>(all: &mut Vec<Arc<T>>, item: T) {
    if all.iter().all(|m| **m != item) {
        all.push(Arc::new(item));
    }
}

impl PlacementModel {
    fn drift(&self) -> DriftBound {
        DriftBound::ppm(DRIFT_PPM).expect("within bounds")
    }

    fn clock(&self, rate: f64, steps: u32) -> Duration {
        Duration::from_secs(1) + self.span.mul_f64(1.0 + rate * f64::from(DRIFT_PPM) / 1e6) * steps
    }

    fn worker(&self) -> Worker {
        let never = Duration::from_secs(1_000_000);
        let settings = WorkerSettings {
            status_interval: never,
            lost_after: never,
            sweep_interval: Duration::ZERO,
            retry_base: never,
            drift: self.drift(),
            ..WorkerSettings::default()
        };
        #[allow(unused_mut)]
        let mut worker = Worker::new(settings, 1);
        if let Some(fault) = self.fault {
            worker.inject_fault(fault);
        }
        worker
    }

    fn media_server(&self, incarnation: u64, disk: u64, found: bool) -> MediaServer {
        #[allow(unused_mut)]
        let mut server = MediaServer::new(Incarnation(incarnation), DiskId(disk), found.then(id));
        if let Some(fault) = self.fault {
            server.inject_fault(fault);
        }
        server
    }

    fn empty(&self) -> ModelState {
        let rules = Rules { grace_ms: GRACE_MS, ..Rules::default() };
        #[allow(unused_mut)]
        let (mut placements, mut lease_deadlines) =
            (fleet(2, 1, 1_000, rules), LeaseDeadlines::new(self.drift()));
        let customers = BTreeSet::from([name::<Customer>("ann")]);
        let ttl_ms = TTL.as_millis() as u32;
        let mut views: Vec<View> =
            (1..=2).map(|n| View::new(FrontId(n), customers.clone(), ttl_ms, self.drift(), 3)).collect();
        if let Some(fault) = self.fault {
            placements.inject_fault(fault);
            lease_deadlines.inject_fault(fault);
            views.iter_mut().for_each(|v| v.inject_fault(fault));
        }
        mark_all_up(&mut placements);
        ModelState {
            steps: 0,
            placements: Arc::new(placements),
            lease_deadlines,
            workers: (0..2).map(|_| Arc::new(self.worker())).collect(),
            holder: 0,
            token: 1,
            highest_token: Token(0),
            hosts: (1..=2)
                .map(|n| {
                    let server = self.media_server(n, n, false);
                    Arc::new(ServerHost { server, content: None, jobs: Vec::new(), found: false })
                })
                .collect(),
            fronts: views.into_iter().map(Arc::new).collect(),
            records_fed: vec![0, 0],
            topic: Arc::default(),
            log: Vec::new(),
            requests: Vec::new(),
            reports: Vec::new(),
            lease_answers: Vec::new(),
            drained: BTreeMap::new(),
            violation: None,
            budget: NO_BUDGET,
        }
    }

    /// Delivers all messages in order until the worker has nothing to do. Only the fronts in `records_fed` receive records.
    fn settle(&self, state: &mut ModelState, records_fed: &[usize]) {
        for _ in 0..200 {
            let action = if let Some(c) = state.log.first() {
                Action::Apply(c.clone())
            } else if let Some(h) = state.lease_answers.first() {
                Action::LeaseAnswer(h.clone())
            } else if let Some(t) = state.requests.first() {
                Action::ToServer(t.clone())
            } else if let Some(s) = state.reports.first() {
                Action::Report(s.clone())
            } else if let Some(n) = state.hosts.iter().position(|h| !h.jobs.is_empty()) {
                Action::Job(n, true)
            } else if let Some(f) = records_fed.iter().find(|f| state.records_fed[**f] < state.topic.len()) {
                Action::Feed(*f)
            } else {
                Action::Sweep
            };
            let is_sweep = action == Action::Sweep;
            self.step(state, &action);
            if is_sweep && state.log.is_empty() && state.requests.is_empty() {
                return;
            }
        }
    }

    fn renew_leases(&self, state: &mut ModelState) {
        for f in 0..2 {
            self.step(state, &Action::Tick(f));
        }
        self.settle(state, &[0, 1]);
    }

    fn start_state(&self, start: StartState) -> ModelState {
        let mut state = self.empty();
        state.budget = Budget { ticks: 100, changes: 3, ..NO_BUDGET };
        if start != StartState::Empty {
            self.renew_leases(&mut state);
            self.step(&mut state, &Action::Change);
            self.settle(&mut state, &[0, 1]);
            for _ in 0..2 {
                // Time for the fronts to renew their leases.
                state.budget.clock_steps = 1;
                self.step(&mut state, &Action::AdvanceClock);
                self.renew_leases(&mut state);
            }
            assert!(
                state.placements.pins()[&id()].is_settled(),
                "{:#?} {:#?}",
                state.placements.pins(),
                state.placements.fronts()
            );
        }
        if !matches!(start, StartState::Empty | StartState::Serving) {
            // Delivers messages until the first copy would be withdrawn. The fronts receive no records yet.
            self.step(&mut state, &Action::Change);
            for _ in 0..100 {
                if state.log.iter().any(|c| matches!(&**c, Command::Step(_, Step::Withdraw(_)))) {
                    break;
                }
                let next = state.log.first().cloned().map(Action::Apply);
                let next = next.or_else(|| state.requests.first().cloned().map(Action::ToServer));
                let next = next.or_else(|| state.reports.first().cloned().map(Action::Report));
                let job = state.hosts.iter().position(|h| !h.jobs.is_empty());
                self.step(&mut state, &next.or(job.map(|n| Action::Job(n, true))).unwrap_or(Action::Sweep));
            }
            assert_eq!(states(&state.placements, &id()).values().filter(|s| **s == "serving").count(), 2);
        }
        if matches!(start, StartState::Withdrawing | StartState::Draining | StartState::Deleted) {
            state.budget.sessions = 1;
            self.step(&mut state, &Action::StartSessions(0));
            let records_fed: &[usize] = if start == StartState::Withdrawing { &[0] } else { &[0, 1] };
            while let Some(c) = state.log.first().cloned() {
                self.step(&mut state, &Action::Apply(c));
            }
            for f in records_fed {
                while state.records_fed[*f] < state.topic.len() {
                    self.step(&mut state, &Action::Feed(*f));
                }
                self.step(&mut state, &Action::Tick(*f));
            }
        }
        if start == StartState::Withdrawing {
            // The other front has to renew its lease.
            state.budget.clock_steps = 1;
            self.step(&mut state, &Action::AdvanceClock);
        }
        if matches!(start, StartState::Draining | StartState::Deleted) {
            for _ in 0..2 {
                // Time for the fronts to renew their leases.
                state.budget.clock_steps = 1;
                self.step(&mut state, &Action::AdvanceClock);
                self.renew_leases(&mut state);
            }
            assert_eq!(
                states(&state.placements, &id()).get(&ServerId(1)),
                Some(&"draining"),
                "{:#?}",
                state.placements.fronts()
            );
        }
        if start == StartState::Deleted {
            Arc::make_mut(&mut state.hosts[0]).server.end(&id());
            for _ in 0..3 {
                state.budget.clock_steps = 1;
                self.step(&mut state, &Action::AdvanceClock);
                // A new holder repeats the order to drain.
                state.budget.lease_moves = 1;
                self.step(&mut state, &Action::MoveLease);
                self.renew_leases(&mut state);
            }
            assert!(state.placements.pins()[&id()].is_settled(), "{:#?}", state.placements.pins());
            let action = OrderAction::Copy { from: Source::Origin, bytes: 100, kb_s: 20_000 };
            add_unique(
                &mut state.requests,
                (
                    0,
                    ServerRequest::Execute {
                        incarnation: Incarnation(1),
                        order: OrderId(1),
                        shard: id(),
                        action,
                    },
                ),
            );
        }
        assert_eq!(state.violation, None);
        state
    }

    fn is_reachable(&self, state: &ModelState, n: usize) -> bool {
        let server = &state.hosts[n].server;
        let is = Presence::Up { incarnation: server.incarnation(), disk: server.disk_id() };
        state.placements.presence(ServerId(n as u32 + 1)) == Some(is)
    }

    fn in_scope(&self, state: &ModelState, id: ServerId) -> bool {
        let zone: Zone = name(&format!("z{}", id.0 - 1));
        let within =
            |s: &Scope| matches!(s, Scope::Anywhere) || matches!(s, Scope::Zones(z) if z.contains(&zone));
        state.placements.scopes(&self::id()).iter().any(within)
    }

    fn apply(&self, state: &mut ModelState, command: &Command) {
        let good = |of: &ModelState| {
            let copies = of.placements.pins().get(&id()).map(|p| p.copies.clone()).unwrap_or_default();
            let serving = copies.iter().filter(|(_, c)| c.state == CopyState::Serving);
            serving
                .filter(|(id, _)| {
                    let n = id.0 as usize - 1;
                    of.hosts[n].content == Some(true) || !self.is_reachable(of, n)
                })
                .count()
        };
        let had = good(state);
        let (answer, events) = Arc::make_mut(&mut state.placements).apply(command);
        if let (Answer::Done, Command::Step(token, step)) = (&answer, command) {
            if *token < state.highest_token {
                state.violation.get_or_insert(format!(
                    "{step:?} is applied with {token:?} after {:?}",
                    state.highest_token
                ));
            }
            state.highest_token = state.highest_token.max(*token);
            let wanted = state
                .placements
                .pins()
                .get(&id())
                .filter(|p| !p.removing)
                .map_or(0, |p| p.request.copies() as usize);
            let has = good(state);
            if matches!(step, Step::Withdraw(_)) && has < had && has < wanted {
                state
                    .violation
                    .get_or_insert(format!("(b) {has} of {had} copies are left, {wanted} are wanted"));
            }
        }
        let now = self.clock(self.rates.0, state.steps);
        for event in events {
            state.lease_deadlines.applied(now, &event, &state.placements);
            match event {
                Event::Published { revision, record, .. } => {
                    Arc::make_mut(&mut state.topic).push((revision, record))
                }
                Event::Copy { at, to: Some("draining"), .. } => drop(state.drained.insert(at, state.steps)),
                _ => {}
            }
        }
        if let Answer::Front { front, seq, outcome } = answer {
            add_unique(&mut state.lease_answers, (front.0 as usize - 1, seq, outcome));
        }
        if let Err(why) = state.placements.audit() {
            state.violation.get_or_insert(why);
        }
    }

    fn deliver_request(&self, state: &mut ModelState, n: usize, request: &ServerRequest) {
        let (report, job) = Arc::make_mut(&mut state.hosts[n]).server.handle(request);
        add_unique(&mut state.reports, (state.holder, ServerId(n as u32 + 1), report));
        let Some(job) = job else { return };
        let at = ServerId(n as u32 + 1);
        match &job {
            Job::Copy { .. } => {
                if !self.in_scope(state, at) && self.is_reachable(state, n) {
                    state.violation.get_or_insert(format!("(a) the shard is copied to {at:?}"));
                }
                let host = Arc::make_mut(&mut state.hosts[n]);
                (host.content, host.found) = (Some(false), false);
            }
            Job::Delete { .. } => {
                let sessions = state.hosts[n].server.sessions(&id()) > 0;
                let passed = state.drained.get(&at).map(|s| self.span * (state.steps - s));
                if sessions && passed.is_none_or(|p| p < Duration::from_millis(GRACE_MS)) {
                    state.violation.get_or_insert(format!("(c) sessions at {at:?} are cut after {passed:?}"));
                }
            }
            Job::Read { .. } => {}
        }
        Arc::make_mut(&mut state.hosts[n]).jobs.push(job);
    }

    fn complete_job(&self, state: &mut ModelState, n: usize, intact: bool) {
        let host = Arc::make_mut(&mut state.hosts[n]);
        let (order, outcome) = match host.jobs.remove(0) {
            Job::Copy { order, .. } => {
                // A later job of the shard overwrites the result of this one.
                if host.jobs.is_empty() {
                    host.content = Some(intact);
                }
                (order, JobOutcome::Read(if intact { digest_of(&id()) } else { digest(4) }))
            }
            Job::Read { order, .. } => match host.content {
                None => {
                    (order, JobOutcome::Failed(beechloft_placement::protocol::commands::Failure::Missing))
                }
                Some(right) => (order, JobOutcome::Read(if right { digest_of(&id()) } else { digest(4) })),
            },
            Job::Delete { order, .. } => {
                host.content = None;
                (order, JobOutcome::Deleted)
            }
        };
        if let Some(report) = host.server.job_done(&id(), order, outcome) {
            add_unique(&mut state.reports, (state.holder, ServerId(n as u32 + 1), report));
        }
    }

    fn drive_front(&self, state: &mut ModelState, f: usize, input: ViewInput) {
        let now = self.clock(self.rates.1, state.steps);
        if let Some(renew) = Arc::make_mut(&mut state.fronts[f]).handle(now, input) {
            add_unique(&mut state.log, Command::Renew(renew));
        }
    }

    fn allowed_servers(&self, state: &ModelState, f: usize) -> AllowedServers {
        state.fronts[f].allowed_servers(self.clock(self.rates.1, state.steps), "ann", "a")
    }
}

impl Model for PlacementModel {
    type State = ModelState;
    type Action = Action;

    fn initial_states(&self) -> Vec<ModelState> {
        self.start
            .iter()
            .map(|start| ModelState { budget: self.budget, ..self.start_state(*start) })
            .collect()
    }

    fn actions(&self, state: &ModelState) -> Vec<Action> {
        let mut all = vec![Action::Sweep];
        all.extend(state.log.iter().cloned().map(Action::Apply));
        all.extend(state.requests.iter().cloned().map(Action::ToServer));
        all.extend(state.reports.iter().cloned().map(Action::Report));
        all.extend(state.lease_answers.iter().cloned().map(Action::LeaseAnswer));
        if state.budget.duplicates > 0 {
            all.extend(state.log.iter().cloned().map(Action::ApplyDuplicate));
            all.extend(state.requests.iter().cloned().map(Action::DuplicateToServer));
        }
        for (n, host) in state.hosts.iter().enumerate() {
            if !host.jobs.is_empty() {
                all.push(Action::Job(n, true));
                if state.budget.corruptions > 0 {
                    all.push(Action::Job(n, false));
                }
            }
            if state.budget.restarts > 0 {
                all.extend([Action::Restart(n, false), Action::Restart(n, true)]);
            }
            if state.budget.losses > 0
                && matches!(state.placements.presence(ServerId(n as u32 + 1)), Some(Presence::Up { .. }))
            {
                all.push(Action::LoseServer(n));
            }
        }
        let clock = self.clock(self.rates.1, state.steps);
        for f in 0..2 {
            if state.records_fed[f] < state.topic.len() {
                all.push(Action::Feed(f));
            }
            if state.budget.duplicates > 0 && state.topic.len() > 1 {
                all.push(Action::OldSnapshot(f));
            }
            if state.budget.ticks > 0 && state.fronts[f].next_due() <= clock {
                all.push(Action::Tick(f));
            }
            if state.budget.sessions > 0
                && matches!(self.allowed_servers(state, f), AllowedServers::Servers { .. })
            {
                all.push(Action::StartSessions(f));
            }
        }
        let more = [
            (state.budget.clock_steps > 0, Action::AdvanceClock),
            (
                state
                    .lease_deadlines
                    .next_due()
                    .is_some_and(|due| due <= self.clock(self.rates.0, state.steps)),
                Action::ExpireLeases,
            ),
            (state.budget.leader_changes > 0, Action::ChangeLeader),
            (state.budget.changes > 0, Action::Change),
            (state.budget.lease_moves > 0, Action::MoveLease),
        ];
        all.extend(more.into_iter().filter(|m| m.0).map(|m| m.1));
        all
    }

    fn step(&self, state: &mut ModelState, action: &Action) {
        match action {
            Action::Sweep => {
                let (now, n, token) =
                    (self.clock(self.rates.0, state.steps), state.holder, Token(state.token));
                let placements = state.placements.clone();
                for output in Arc::make_mut(&mut state.workers[n]).handle(now, Some(token), &placements) {
                    match output {
                        WorkerOutput::Propose(command) => add_unique(&mut state.log, command),
                        WorkerOutput::Send(id, request) => {
                            add_unique(&mut state.requests, (id.0 as usize - 1, request))
                        }
                    }
                }
            }
            Action::Apply(c) => {
                state.log.retain(|x| x != c);
                self.apply(state, c);
            }
            Action::ApplyDuplicate(c) => {
                state.budget.duplicates -= 1;
                self.apply(state, c);
            }
            Action::ToServer(t) => {
                state.requests.retain(|x| x != t);
                self.deliver_request(state, t.0, &t.1);
            }
            Action::DuplicateToServer(t) => {
                state.budget.duplicates -= 1;
                self.deliver_request(state, t.0, &t.1);
            }
            Action::Report(s) => {
                state.reports.retain(|x| x != s);
                let now = self.clock(self.rates.0, state.steps);
                Arc::make_mut(&mut state.workers[s.0]).handle_report(now, s.1, s.2.clone());
            }
            Action::Job(n, intact) => {
                state.budget.corruptions -= u8::from(!intact);
                self.complete_job(state, *n, *intact);
            }
            Action::Feed(f) => {
                let (revision, record) = state.topic[state.records_fed[*f]].clone();
                state.records_fed[*f] += 1;
                self.drive_front(state, *f, ViewInput::Record(id(), revision, record));
                self.drive_front(state, *f, ViewInput::CaughtUp);
            }
            Action::OldSnapshot(f) => {
                state.budget.duplicates -= 1;
                let (revision, record) = state.topic[0].clone();
                state.records_fed[*f] = 1;
                self.drive_front(state, *f, ViewInput::SnapshotStart);
                self.drive_front(state, *f, ViewInput::Record(id(), revision, record));
                self.drive_front(state, *f, ViewInput::CaughtUp);
            }
            Action::Tick(f) => {
                state.budget.ticks -= 1;
                self.drive_front(state, *f, ViewInput::Tick);
            }
            Action::LeaseAnswer(h) => {
                state.lease_answers.retain(|x| x != h);
                self.drive_front(state, h.0, ViewInput::Renewed { seq: h.1, outcome: h.2 });
            }
            Action::AdvanceClock => {
                state.budget.clock_steps -= 1;
                state.steps += 1;
            }
            Action::ExpireLeases => {
                let due = state.lease_deadlines.due(self.clock(self.rates.0, state.steps));
                due.iter().for_each(|command| self.apply(state, command));
            }
            Action::ChangeLeader => {
                state.budget.leader_changes -= 1;
                let now = self.clock(self.rates.0, state.steps);
                state.lease_deadlines.begin(now, &state.placements);
            }
            Action::Change => {
                state.budget.changes -= 1;
                let version = state.placements.pins().get(&id()).map(|p| p.version.0);
                let region = ["r0", "r1"][version.unwrap_or(0) as usize % 2];
                self.apply(state, &put_to(region, &format!("k{}", version.unwrap_or(0)), version));
            }
            Action::MoveLease => {
                state.budget.lease_moves -= 1;
                (state.holder, state.token) = (1 - state.holder, state.token + 1);
                // Reports to the previous holder are lost.
                state.reports.clear();
            }
            Action::Restart(n, old) => {
                state.budget.restarts -= 1;
                let host = Arc::make_mut(&mut state.hosts[*n]);
                let (incarnation, disk) = (host.server.incarnation().0 + 10, host.server.disk_id().0);
                host.jobs.clear();
                if !old {
                    host.content = None;
                }
                let found = host.content.is_some();
                host.server = self.media_server(incarnation, if *old { disk } else { incarnation }, found);
                host.found = found;
                state.reports.retain(|s| s.1 != ServerId(*n as u32 + 1));
                add_unique(
                    &mut state.reports,
                    (state.holder, ServerId(*n as u32 + 1), state.hosts[*n].server.status()),
                );
            }
            Action::LoseServer(n) => {
                state.budget.losses -= 1;
                let at = ServerId(*n as u32 + 1);
                if let Some(Presence::Up { incarnation, .. }) = state.placements.presence(at) {
                    self.apply(
                        state,
                        &Command::Step(Token(state.token), Step::ServerLost { id: at, incarnation }),
                    );
                    add_unique(&mut state.reports, (state.holder, at, state.hosts[*n].server.status()));
                }
            }
            Action::StartSessions(f) => {
                state.budget.sessions -= 1;
                if let AllowedServers::Servers { all, .. } = self.allowed_servers(state, *f) {
                    for at in all {
                        let host = Arc::make_mut(&mut state.hosts[at.0 as usize - 1]);
                        if host.server.begin(&id()) && host.content != Some(true) {
                            state.violation.get_or_insert(format!("{at:?} serves unchecked content"));
                        }
                    }
                }
            }
        }
    }

    fn fingerprint(&self, state: &ModelState, into: &mut FingerprintHasher) {
        (
            state.steps,
            &*state.placements,
            &state.lease_deadlines,
            &state.workers,
            state.holder,
            state.token,
            state.highest_token,
        )
            .hash(into);
        (&state.hosts, &state.fronts, &state.records_fed, &state.topic, &state.drained, state.budget)
            .hash(into);
        hash_unordered(&state.log, into);
        hash_unordered(&state.requests, into);
        hash_unordered(&state.reports, into);
        hash_unordered(&state.lease_answers, into);
    }

    fn violation(&self, state: &ModelState) -> Option<String> {
        if state.violation.is_some() {
            return state.violation.clone();
        }
        let pin = state.placements.pins().get(&id());
        for f in 0..2 {
            match self.allowed_servers(state, f) {
                AllowedServers::Unpinned
                    if pin.is_some_and(|p| !p.older.values().any(|s| *s == Scope::Anywhere)) =>
                {
                    return Some(format!("(d) front {f} places the shard anywhere"));
                }
                AllowedServers::Servers { all, .. } => {
                    let leaving = |id: &ServerId| {
                        pin.and_then(|p| p.copies.get(id)).is_none_or(|c| c.state.is_leaving())
                    };
                    if let Some(at) = all.iter().find(|id| leaving(id) || !self.in_scope(state, **id)) {
                        return Some(format!("(d) front {f} allows {at:?}"));
                    }
                }
                _ => {}
            }
        }
        // Rule (a): a reachable copy out of scope is being removed, or was found at the start and is not served.
        for (n, host) in state.hosts.iter().enumerate() {
            let at = ServerId(n as u32 + 1);
            let leaving = pin.and_then(|p| p.copies.get(&at)).is_some_and(|c| c.state.is_leaving());
            if host.content.is_some()
                && !host.found
                && self.is_reachable(state, n)
                && !self.in_scope(state, at)
                && !leaving
            {
                return Some(format!("(a) {at:?} has a copy that no version allows"));
            }
        }
        None
    }
}

const ALL_STARTS: [StartState; 6] = [
    StartState::Empty,
    StartState::Serving,
    StartState::Moved,
    StartState::Withdrawing,
    StartState::Draining,
    StartState::Deleted,
];
/// Clock rates: the coordinator and the worker fast and the fronts slow, the reverse, and all equal.
const RATES: [(f64, f64); 3] = [(1.0, -1.0), (-1.0, 1.0), (0.0, 0.0)];
const DEFAULT_BUDGET: Budget = Budget {
    clock_steps: 3,
    duplicates: 1,
    changes: 1,
    lease_moves: 1,
    restarts: 1,
    losses: 1,
    leader_changes: 1,
    corruptions: 1,
    sessions: 1,
    ticks: 2,
};

fn run(
    budget: Budget,
    rates: (f64, f64),
    fault: Option<Fault>,
    start: &[StartState],
    limits: Limits,
) -> Result<Exploration, Counterexample<Action>> {
    let span = Duration::from_millis(460);
    explore(&PlacementModel { budget, fault, rates, span, start: start.to_vec() }, limits)
}

fn limits(depth: usize, states: usize) -> Limits {
    Limits { depth, states, threads: 4 }
}

fn describe(found: &Counterexample<Action>) -> String {
    let actions: Vec<String> = found.trace.iter().map(|a| format!("{a:?}")).collect();
    format!(
        "{} after {} actions, {} states, from {}: {actions:#?}",
        found.violation,
        actions.len(),
        found.states,
        found.initial_state
    )
}

#[test]
fn keeps_rules_in_all_orders_to_small_depth() {
    for rates in RATES {
        let seen = run(DEFAULT_BUDGET, rates, None, &ALL_STARTS, limits(4, 400_000))
            .unwrap_or_else(|f| panic!("{}", describe(&f)));
        println!("{rates:?}: {seen:?}");
        assert!(seen.complete && seen.states > 10_000, "{seen:?}");
    }
}

/// Runs outside CI with `cargo test --release -p beechloft-placement --test explored -- --ignored --nocapture`.
#[test]
#[ignore = "millions of states, minutes"]
fn keeps_rules_in_all_orders_to_large_depth() {
    for rates in RATES {
        let seen = run(DEFAULT_BUDGET, rates, None, &ALL_STARTS, limits(7, 300_000))
            .unwrap_or_else(|f| panic!("{}", describe(&f)));
        println!("{rates:?}: {seen:?}");
    }
    let plain = Budget { clock_steps: 4, ticks: 2, changes: 1, leader_changes: 1, ..NO_BUDGET };
    for rates in RATES {
        let seen = run(plain, rates, None, &ALL_STARTS, limits(12, 300_000))
            .unwrap_or_else(|f| panic!("{}", describe(&f)));
        println!("clock steps only {rates:?}: {seen:?}");
    }
}

#[test]
fn detects_injected_faults() {
    let time = Budget { clock_steps: 3, ticks: 1, ..NO_BUDGET };
    let cases: [(Fault, Budget, &[StartState]); 9] = [
        (Fault::IgnoreToken, Budget { lease_moves: 1, clock_steps: 1, ..NO_BUDGET }, &[StartState::Moved]),
        (Fault::WithdrawAtOnce, NO_BUDGET, &[StartState::Withdrawing]),
        (Fault::LeaseFromArrival, time, &[StartState::Withdrawing]),
        (Fault::IgnoreDrift, time, &[StartState::Withdrawing]),
        (Fault::NoGracePeriod, Budget { ticks: 2, clock_steps: 1, ..NO_BUDGET }, &[StartState::Withdrawing]),
        (Fault::AcceptOldOrders, NO_BUDGET, &[StartState::Deleted]),
        (Fault::RetireAtOnce, Budget { changes: 1, ..NO_BUDGET }, &[StartState::Serving]),
        (Fault::NoLeaseRestart, Budget { leader_changes: 1, ..NO_BUDGET }, &[StartState::Withdrawing]),
        (Fault::WithdrawBeforeComplete, Budget { changes: 1, ..NO_BUDGET }, &[StartState::Serving]),
    ];
    let mut missed = Vec::new();
    for (fault, budget, start) in cases {
        match run(budget, (1.0, -1.0), Some(fault), start, limits(14, 200_000)) {
            Err(f) => {
                println!("{fault:?}: {} after {} actions, {} states", f.violation, f.trace.len(), f.states)
            }
            Ok(seen) => {
                println!("{fault:?}: {seen:?}");
                missed.push(fault);
            }
        }
    }
    assert_eq!(missed, []);
}
