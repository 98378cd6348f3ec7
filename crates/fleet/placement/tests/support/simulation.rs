//! A simulation of workers, media servers, fronts and a log in one process. One true clock drives it, and each process has
//! a clock of its own rate. The network loses, delays and duplicates messages. Processes crash, stop and are partitioned,
//! and disks are outdated, empty, full or corrupt. Only the simulation knows the true state at each moment, and checks the
//! rules against it.
//!
//! The log is a sequence: commands are applied in the order in which they arrive.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use beechloft_leases::{DriftBound, Token};
use beechloft_placement::front::{AllowedServers, ViewInput};
use beechloft_placement::media_server::{Job, JobOutcome};
use beechloft_placement::names::*;
use beechloft_placement::protocol::commands::{Failure, Source};
use beechloft_placement::protocol::orders::{ServerReport, ServerRequest};
use beechloft_placement::state::{CopyState, LeaseDeadlines, Presence, Scope};
use beechloft_placement::worker::{WorkerOutput, WorkerSettings};
use beechloft_placement::{
    Answer, Command, Event, Fault, MediaServer, Placements, Record, Renew, RenewOutcome, Rules, Step, View,
    Worker,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;

pub const DRIFT_PPM: u32 = 50_000;
pub const TTL_MS: u32 = 1_000;
const TICK: Duration = Duration::from_millis(40);

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn test_rules() -> Rules {
    Rules {
        grace_ms: 3_000,
        server_transfers: 2,
        copy_kb_s: 1_000,
        uplink_percent: 25,
        failover_after_ms: 300,
        failback_after_ms: 500,
        replace_after_ms: 3_000,
        max_attempts: 3,
    }
}

pub struct ServerHost {
    pub server: MediaServer,
    pub content: BTreeMap<ShardId, Digest>,
    /// Shards that were on the disk at the start and have not been written since.
    pub found_at_start: BTreeSet<ShardId>,
    /// An earlier state of its disk.
    pub old_disk: Option<(DiskId, BTreeMap<ShardId, Digest>)>,
    pub up: bool,
    /// Whether it is unreachable for the worker.
    pub partitioned: bool,
    pub full: bool,
    /// Number of copies per thousand that are corrupt, or that break off.
    pub corrupt_per_mille: u32,
    pub broken_per_mille: u32,
    /// Whether it reports that it has all shards, and that copies are complete which it never made.
    pub false_reports: bool,
}

pub struct FrontHost {
    pub view: View,
    rate: f64,
    incarnation: u64,
    pub stopped_until: Duration,
    /// Whether it does not reach the coordinator, or does not receive records.
    pub partitioned: bool,
    pub no_records: bool,
    records_fed: usize,
}

pub struct WorkerHost {
    worker: Worker,
    rate: f64,
    incarnation: u64,
    known_state: Rc<Placements>,
    pub stopped_until: Duration,
}

enum SimulationEvent {
    Log(Command),
    ToServer(ServerId, ServerRequest),
    Report(usize, u64, ServerId, ServerReport),
    JobDone(ServerId, Incarnation, ShardId, OrderId, JobOutcome),
    LeaseAnswer(usize, u64, u64, RenewOutcome),
    Worker(usize),
    Front(usize),
    Leader,
    SessionEnded(ServerId, Incarnation, ShardId),
}

pub struct Simulation {
    pub now: Duration,
    pub state: Rc<Placements>,
    lease_deadlines: LeaseDeadlines,
    leader_rate: f64,
    topic: Vec<(ShardId, Revision, Option<Record>)>,
    pub servers: BTreeMap<ServerId, ServerHost>,
    pub fronts: Vec<FrontHost>,
    pub workers: Vec<WorkerHost>,
    pub holder: usize,
    token: u64,
    highest_done: Token,
    pub loss_per_mille: u32,
    pub duplicate_per_mille: u32,
    pub late_per_mille: u32,
    pub rng: ChaCha8Rng,
    fault: Option<Fault>,
    events: BTreeMap<(Duration, u64), SimulationEvent>,
    next_event: u64,
    draining: BTreeMap<(ShardId, ServerId), Duration>,
    started_orders: BTreeSet<(ServerId, Incarnation, OrderId)>,
    last_id: u64,
    customers: BTreeSet<Customer>,
    pub violation: Option<String>,
    pub sessions: usize,
    pub applied: usize,
    pub transfers: usize,
    pub withdrawals: usize,
    pub retired: usize,
    pub failovers: usize,
    pub sessions_cut: usize,
}

impl Simulation {
    pub fn new(seed: u64, fronts: usize, fault: Option<Fault>) -> Simulation {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let state = fleet(3, 3, 3_500_000, test_rules());
        #[allow(unused_mut)]
        let (mut state, drift) = (state, DriftBound::ppm(DRIFT_PPM).expect("within bounds"));
        let mut lease_deadlines = LeaseDeadlines::new(drift);
        if let Some(fault) = fault {
            state.inject_fault(fault);
            lease_deadlines.inject_fault(fault);
        }
        let mut simulation = Simulation {
            now: ms(1_000),
            state: Rc::new(state),
            lease_deadlines,
            leader_rate: 1.0,
            topic: Vec::new(),
            servers: BTreeMap::new(),
            fronts: Vec::new(),
            workers: Vec::new(),
            holder: 0,
            token: 1,
            highest_done: Token(0),
            loss_per_mille: 0,
            duplicate_per_mille: 0,
            late_per_mille: 0,
            rng,
            fault,
            events: BTreeMap::new(),
            next_event: 0,
            draining: BTreeMap::new(),
            started_orders: BTreeSet::new(),
            last_id: 100,
            customers: ["ann", "ben"].into_iter().map(name).collect(),
            violation: None,
            sessions: 0,
            applied: 0,
            transfers: 0,
            withdrawals: 0,
            retired: 0,
            failovers: 0,
            sessions_cut: 0,
        };
        simulation.leader_rate = simulation.rate();
        let ids: Vec<ServerId> = simulation.state.inventory().servers.keys().copied().collect();
        for id in ids {
            let (incarnation, disk) = (Incarnation(simulation.next_id()), DiskId(simulation.next_id()));
            let host = ServerHost {
                server: simulation.media_server(incarnation, disk, []),
                content: BTreeMap::new(),
                found_at_start: BTreeSet::new(),
                old_disk: None,
                up: true,
                partitioned: false,
                full: false,
                corrupt_per_mille: 0,
                broken_per_mille: 0,
                false_reports: false,
            };
            simulation.servers.insert(id, host);
        }
        for n in 0..3 {
            let rate = simulation.rate();
            let worker = simulation.worker();
            let known_state = simulation.state.clone();
            simulation.workers.push(WorkerHost {
                worker,
                rate,
                incarnation: 0,
                known_state,
                stopped_until: Duration::ZERO,
            });
            simulation.schedule(ms(10), SimulationEvent::Worker(n));
        }
        for n in 0..fronts {
            let rate = simulation.rate();
            let view = simulation.view();
            let (incarnation, stopped_until) = (0, Duration::ZERO);
            simulation.fronts.push(FrontHost {
                view,
                rate,
                incarnation,
                stopped_until,
                partitioned: false,
                no_records: false,
                records_fed: 0,
            });
            simulation.schedule(ms(10), SimulationEvent::Front(n));
        }
        simulation.schedule(ms(10), SimulationEvent::Leader);
        simulation
    }

    fn rate(&mut self) -> f64 {
        let off = f64::from(DRIFT_PPM) / 1e6;
        match self.rng.random_range(0..4) {
            0 => 1.0 - off,
            1 => 1.0 + off,
            _ => self.rng.random_range(1.0 - off..1.0 + off),
        }
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn media_server(
        &self,
        incarnation: Incarnation,
        disk: DiskId,
        found_at_start: impl IntoIterator<Item = ShardId>,
    ) -> MediaServer {
        #[allow(unused_mut)]
        let mut new = MediaServer::new(incarnation, disk, found_at_start);
        if let Some(fault) = self.fault {
            new.inject_fault(fault);
        }
        new
    }

    fn worker(&mut self) -> Worker {
        let drift = DriftBound::ppm(DRIFT_PPM).expect("within bounds");
        let settings = WorkerSettings {
            status_interval: ms(200),
            lost_after: ms(800),
            sweep_interval: ms(40),
            retry_base: ms(150),
            drift,
            ..WorkerSettings::default()
        };
        #[allow(unused_mut)]
        let mut worker = Worker::new(settings, self.rng.random());
        if let Some(fault) = self.fault {
            worker.inject_fault(fault);
        }
        worker
    }

    fn view(&mut self) -> View {
        let drift = DriftBound::ppm(DRIFT_PPM).expect("within bounds");
        let id = FrontId(self.next_id());
        #[allow(unused_mut)]
        let mut view = View::new(id, self.customers.clone(), TTL_MS, drift, self.rng.random());
        if let Some(fault) = self.fault {
            view.inject_fault(fault);
        }
        view
    }

    fn schedule(&mut self, after: Duration, event: SimulationEvent) {
        self.next_event += 1;
        self.events.insert((self.now + after, self.next_event), event);
    }

    pub fn chance(&mut self, per_mille: u32) -> bool {
        self.rng.random_range(0..1000) < per_mille
    }

    /// Sends a message over the network, which may lose, duplicate or delay it.
    fn send(&mut self, event: impl Fn() -> SimulationEvent) {
        if self.chance(self.loss_per_mille) {
            return;
        }
        for _ in 0..1 + u32::from(self.chance(self.duplicate_per_mille)) {
            let max_ms = if self.chance(self.late_per_mille) { 3_000 } else { 8 };
            let delay = Duration::from_micros(self.rng.random_range(200..max_ms * 1_000));
            self.schedule(delay, event());
        }
    }

    pub fn submit(&mut self, command: Command) {
        self.send(|| SimulationEvent::Log(command.clone()));
    }

    /// Runs the simulation for some true time.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= end) {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            let stopped_until = match &event {
                SimulationEvent::Report(n, ..) | SimulationEvent::Worker(n) => self.workers[*n].stopped_until,
                SimulationEvent::LeaseAnswer(n, ..) | SimulationEvent::Front(n) => {
                    self.fronts[*n].stopped_until
                }
                _ => Duration::ZERO,
            };
            if stopped_until > self.now {
                self.schedule(stopped_until - self.now, event);
                continue;
            }
            self.handle_event(event);
            if self.violation.is_some() {
                return;
            }
        }
        self.now = end;
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Log(command) => self.apply(&command),
            SimulationEvent::ToServer(id, request) => self.deliver_request(id, &request),
            SimulationEvent::Report(n, incarnation, id, report) => {
                let host = &mut self.workers[n];
                if host.incarnation == incarnation {
                    host.worker.handle_report(self.now.mul_f64(host.rate), id, report);
                }
            }
            SimulationEvent::JobDone(id, incarnation, shard, order, outcome) => {
                self.complete_job(id, incarnation, &shard, order, outcome)
            }
            SimulationEvent::LeaseAnswer(n, incarnation, seq, outcome) => {
                if self.fronts[n].incarnation == incarnation {
                    self.drive_front(n, ViewInput::Renewed { seq, outcome });
                }
            }
            SimulationEvent::Worker(n) => {
                self.work(n);
                self.schedule(TICK, SimulationEvent::Worker(n));
            }
            SimulationEvent::Front(n) => {
                // Checked before it receives anything, because it may have been stopped for long.
                self.check_front(n);
                self.feed_records(n);
                self.drive_front(n, ViewInput::Tick);
                self.schedule(TICK / 2, SimulationEvent::Front(n));
            }
            SimulationEvent::Leader => {
                let due = self.lease_deadlines.due(self.now.mul_f64(self.leader_rate));
                due.iter().for_each(|command| self.apply(command));
                self.schedule(TICK / 2, SimulationEvent::Leader);
            }
            SimulationEvent::SessionEnded(id, incarnation, shard) => {
                if let Some(host) =
                    self.servers.get_mut(&id).filter(|b| b.up && b.server.incarnation() == incarnation)
                {
                    host.server.end(&shard);
                }
            }
        }
    }

    fn work(&mut self, n: usize) {
        // Its view of the log may lag behind.
        if !self.chance(150) {
            self.workers[n].known_state = self.state.clone();
        }
        let token = (n == self.holder).then_some(Token(self.token));
        let host = &mut self.workers[n];
        let known_state = host.known_state.clone();
        for output in host.worker.handle(self.now.mul_f64(host.rate), token, &known_state) {
            match output {
                WorkerOutput::Propose(command) => self.submit(command),
                WorkerOutput::Send(id, request) => {
                    self.send(|| SimulationEvent::ToServer(id, request.clone()))
                }
            }
        }
    }

    fn deliver_request(&mut self, id: ServerId, request: &ServerRequest) {
        let Some(host) = self.servers.get_mut(&id).filter(|b| b.up && !b.partitioned) else { return };
        let (mut report, job) = host.server.handle(request);
        if let ServerReport::Status { shards, .. } = &mut report
            && host.false_reports
        {
            shards.extend(self.state.pins().keys().cloned());
        }
        let incarnation = host.server.incarnation();
        self.send_report(id, report);
        if let Some(job) = job {
            self.run_job(id, incarnation, job);
        }
    }

    fn send_report(&mut self, id: ServerId, report: ServerReport) {
        let (n, of) = (self.holder, self.workers[self.holder].incarnation);
        self.send(|| SimulationEvent::Report(n, of, id, report.clone()));
    }

    fn in_scope(&self, id: ServerId, shard: &ShardId) -> bool {
        let zone = &self.state.inventory().servers[&id].zone;
        let within =
            |s: &Scope| matches!(s, Scope::Anywhere) || matches!(s, Scope::Zones(z) if z.contains(zone));
        self.state.scopes(shard).iter().any(within)
    }

    /// Returns whether the state knows the current incarnation and disk of a reachable media server.
    fn is_reachable(&self, id: ServerId) -> bool {
        let host = &self.servers[&id];
        let is = Presence::Up { incarnation: host.server.incarnation(), disk: host.server.disk_id() };
        host.up && !host.partitioned && self.state.presence(id) == Some(is)
    }

    fn run_job(&mut self, id: ServerId, incarnation: Incarnation, job: Job) {
        let (corrupt_per_mille, broken_per_mille) =
            (self.servers[&id].corrupt_per_mille, self.servers[&id].broken_per_mille);
        let (after, shard, order, outcome) = match job {
            Job::Copy { shard, order, from, bytes, kb_s } => {
                if !self.started_orders.insert((id, incarnation, order)) {
                    self.violation.get_or_insert(format!("{order:?} is started twice"));
                }
                self.transfers += 1;
                if !self.in_scope(id, &shard) && self.is_reachable(id) {
                    self.violation.get_or_insert(format!(
                        "(a) {shard} is copied to media server {} at {:?}",
                        id.0, self.now
                    ));
                }
                let read = match from {
                    Source::Origin => Some(digest_of(&shard)),
                    Source::Server(other) => {
                        self.servers.get(&other).filter(|b| b.up).and_then(|b| b.content.get(&shard).copied())
                    }
                };
                let transfer_time = ms(bytes / kb_s);
                let bad = self.chance(corrupt_per_mille);
                let breaks = self.chance(broken_per_mille);
                let host = self.servers.get_mut(&id).expect("a known media server");
                // The content is incomplete until the job is outcome.
                host.content.insert(shard.clone(), digest(3));
                host.found_at_start.remove(&shard);
                match read {
                    _ if host.full => (ms(20), shard, order, JobOutcome::Failed(Failure::Full)),
                    _ if breaks => {
                        (transfer_time / 2, shard, order, JobOutcome::Failed(Failure::Interrupted))
                    }
                    // It reports a copy that it does not have.
                    _ if host.false_reports => (ms(5), shard, order, JobOutcome::Read(digest(5))),
                    None => (ms(20), shard, order, JobOutcome::Failed(Failure::Source)),
                    Some(_) if bad => (transfer_time, shard, order, JobOutcome::Read(digest(4))),
                    Some(digest) => (transfer_time, shard, order, JobOutcome::Read(digest)),
                }
            }
            Job::Read { shard, order } => {
                let is = self.servers[&id].content.get(&shard).copied();
                (ms(200), shard, order, is.map_or(JobOutcome::Failed(Failure::Missing), JobOutcome::Read))
            }
            Job::Delete { shard, order } => {
                self.check_deletion(id, &shard);
                (ms(30), shard, order, JobOutcome::Deleted)
            }
        };
        self.schedule(after, SimulationEvent::JobDone(id, incarnation, shard, order, outcome));
    }

    /// Checks rule (c): sessions end only after the grace period.
    fn check_deletion(&mut self, id: ServerId, shard: &ShardId) {
        let sessions = self.servers[&id].server.sessions(shard);
        if sessions == 0 {
            return;
        }
        self.sessions_cut += 1;
        let since = self.draining.get(&(shard.clone(), id));
        if since.is_none_or(|at| self.now - *at < ms(test_rules().grace_ms)) {
            let why = format!(
                "(c) {sessions} sessions of {shard} on media server {} are cut at {:?}, drained {since:?}",
                id.0, self.now
            );
            self.violation.get_or_insert(why);
        }
    }

    fn complete_job(
        &mut self,
        id: ServerId,
        incarnation: Incarnation,
        shard: &ShardId,
        order: OrderId,
        outcome: JobOutcome,
    ) {
        let Some(host) = self.servers.get_mut(&id).filter(|b| b.up && b.server.incarnation() == incarnation)
        else {
            return;
        };
        let Some(report) = host.server.job_done(shard, order, outcome) else { return };
        match outcome {
            JobOutcome::Read(is) if is != digest(5) && host.content.contains_key(shard) => {
                host.content.insert(shard.clone(), is);
            }
            JobOutcome::Deleted => drop(host.content.remove(shard)),
            _ => {}
        }
        if !host.partitioned {
            self.send_report(id, report);
        }
    }

    fn feed_records(&mut self, n: usize) {
        if self.fronts[n].no_records || self.chance(300) {
            return;
        }
        // A snapshot from a replica that lags behind, as after a reconnect to another replica.
        if self.chance(10) {
            let up_to = self.topic.len().saturating_sub(self.rng.random_range(0..12));
            let mut all: BTreeMap<ShardId, (Revision, Option<Record>)> = BTreeMap::new();
            for (shard, revision, record) in &self.topic[..up_to] {
                all.insert(shard.clone(), (*revision, record.clone()));
            }
            let mut all: Vec<_> = all.into_iter().collect();
            all.sort_by_key(|(_, (revision, _))| *revision);
            self.drive_front(n, ViewInput::SnapshotStart);
            for (shard, (revision, record)) in all {
                self.drive_front(n, ViewInput::Record(shard, revision, record));
            }
            self.drive_front(n, ViewInput::CaughtUp);
            self.fronts[n].records_fed = up_to;
            return;
        }
        let from = self.fronts[n].records_fed;
        for at in from..self.topic.len() {
            let (shard, revision, record) = self.topic[at].clone();
            self.drive_front(n, ViewInput::Record(shard, revision, record));
        }
        self.fronts[n].records_fed = self.topic.len();
        self.drive_front(n, ViewInput::CaughtUp);
    }

    fn drive_front(&mut self, n: usize, input: ViewInput) {
        let host = &mut self.fronts[n];
        let renewal: Option<Renew> = host.view.handle(self.now.mul_f64(host.rate), input);
        if let Some(renew) = renewal
            && !self.fronts[n].partitioned
        {
            self.submit(Command::Renew(renew));
        }
    }

    /// Checks rule (d) for all shards at a front, and starts a session of one of them.
    fn check_front(&mut self, n: usize) {
        let shards: Vec<ShardId> = self.state.pins().keys().cloned().collect();
        let placed_shard = self.rng.random_range(0..shards.len().max(1));
        for (at, shard) in shards.iter().enumerate() {
            let host = &self.fronts[n];
            let now = self.now.mul_f64(host.rate);
            let allowed = host.view.allowed_servers(now, shard.customer.as_str(), shard.name.as_str());
            let pin = &self.state.pins()[shard];
            match allowed {
                AllowedServers::Refused(_) => {}
                AllowedServers::Unpinned => {
                    if !pin.older.values().any(|s| *s == Scope::Anywhere) {
                        self.violation =
                            Some(format!("(d) front {n} places {shard} anywhere at {:?}", self.now));
                    }
                }
                AllowedServers::Servers { all, .. } => {
                    let leaving = |id: &&ServerId| pin.copies.get(id).is_none_or(|c| c.state.is_leaving());
                    let bad: Vec<ServerId> =
                        all.iter().filter(|id| leaving(id) || !self.in_scope(**id, shard)).copied().collect();
                    if !bad.is_empty() {
                        let why =
                            format!("(d) front {n} allows {shard} on {bad:?} at {:?}: {pin:#?}", self.now);
                        self.violation = Some(why);
                        return;
                    }
                    let all: Vec<ServerId> = all.into_iter().collect();
                    let id = all[self.rng.random_range(0..all.len())];
                    if at == placed_shard && self.chance(200) {
                        self.start_session(id, shard);
                    }
                }
            }
        }
    }

    fn start_session(&mut self, id: ServerId, shard: &ShardId) {
        let Some(host) = self.servers.get_mut(&id).filter(|b| b.up) else { return };
        if !host.server.begin(shard) {
            return;
        }
        self.sessions += 1;
        let incarnation = host.server.incarnation();
        if host.content.get(shard) != Some(&digest_of(shard)) {
            let is = host.content.get(shard);
            self.violation =
                Some(format!("media server {} serves {shard} unchecked: {is:?} at {:?}", id.0, self.now));
        }
        let duration = ms(self.rng.random_range(200..6_000));
        self.schedule(duration, SimulationEvent::SessionEnded(id, incarnation, shard.clone()));
    }

    /// Returns the number of serving copies, without those whose loss or corruption can have been noticed.
    fn good_copies(&self, shard: &ShardId, state: &Placements) -> usize {
        let Some(pin) = state.pins().get(shard) else { return 0 };
        let good = |id: &ServerId| {
            let host = &self.servers[id];
            !self.is_reachable(*id) && host.content.get(shard) != Some(&digest(4))
                || host.content.get(shard) == Some(&digest_of(shard))
        };
        pin.copies.iter().filter(|(id, c)| c.state == CopyState::Serving && good(id)).count()
    }

    fn apply(&mut self, command: &Command) {
        self.applied += 1;
        let before = self.state.clone();
        let (answer, events) = Rc::make_mut(&mut self.state).apply(command);
        if let (Answer::Done, Command::Step(token, step)) = (&answer, command) {
            if *token < self.highest_done {
                self.violation.get_or_insert(format!(
                    "{step:?} is applied with {token:?} after {:?}",
                    self.highest_done
                ));
            }
            self.highest_done = self.highest_done.max(*token);
            self.check_step(step, &before);
        }
        let local = self.now.mul_f64(self.leader_rate);
        for event in events {
            self.lease_deadlines.applied(local, &event, &self.state);
            match event {
                Event::Published { revision, shard, record } => self.topic.push((shard, revision, record)),
                Event::Copy { shard, at, to: Some("draining") } => {
                    self.draining.insert((shard, at), self.now);
                }
                Event::Copy { .. } | Event::LeaseGranted { .. } | Event::LeaseEnded(_) => {}
                Event::VersionsRetired(shard, _) => {
                    self.retired += 1;
                    let mut left = self.servers.iter().filter(|(id, b)| {
                        b.content.contains_key(&shard)
                            && !b.found_at_start.contains(&shard)
                            && self.is_reachable(**id)
                            && !self.in_scope(**id, &shard)
                    });
                    if let Some((id, _)) = left.find(|_| self.state.pins().contains_key(&shard)) {
                        let why = format!(
                            "(a) media server {} has {shard} at {:?} after earlier versions were retired",
                            id.0, self.now
                        );
                        self.violation.get_or_insert(why);
                    }
                }
            }
        }
        if let Answer::Front { front, seq, outcome } = answer
            && let Some(n) = self.fronts.iter().position(|f| f.view.front() == front && !f.partitioned)
        {
            let incarnation = self.fronts[n].incarnation;
            self.send(|| SimulationEvent::LeaseAnswer(n, incarnation, seq, outcome));
        }
        if let Err(why) = self.state.audit() {
            self.violation.get_or_insert(format!("{why}, after {command:?} at {:?}", self.now));
        }
        if self.state.clock() > self.now.as_millis() as u64 {
            self.violation.get_or_insert(format!("the log's clock is ahead at {:?}", self.now));
        }
    }

    /// Checks rule (b): a step leaves enough copies.
    fn check_step(&mut self, step: &Step, before: &Placements) {
        let shard = match step {
            Step::Withdraw(shard) | Step::Drain { shard, .. } | Step::Delete { shard, .. } => shard,
            Step::FailOver(..) => {
                self.failovers += 1;
                return;
            }
            _ => return,
        };
        self.withdrawals += usize::from(matches!(step, Step::Withdraw(_)));
        let Some(pin) = self.state.pins().get(shard).filter(|p| !p.removing) else { return };
        let wanted = pin.request.copies() as usize;
        let (had, has) = (self.good_copies(shard, before), self.good_copies(shard, &self.state));
        // A failover that has reached its maximum duration ends, whatever is left.
        let exhausted = pin.failovers.iter().any(|(r, l)| l.ending && pin.exhausted_failovers.contains(r));
        if has < had && has < wanted && !exhausted {
            let why = format!(
                "(b) {step:?} leaves {has} of {had} copies, {wanted} are wanted, at {:?}: {pin:#?}",
                self.now
            );
            self.violation.get_or_insert(why);
        }
    }

    /// Moves the lease to another worker. With `restart`, the previous holder loses its state.
    pub fn move_lease(&mut self, to: usize, restart: bool) {
        if restart {
            let worker = self.worker();
            let host = &mut self.workers[self.holder];
            (host.worker, host.incarnation) = (worker, host.incarnation + 1);
        }
        self.holder = to;
        self.token += 1;
    }

    pub fn change_leader(&mut self) {
        self.leader_rate = self.rate();
        let local = self.now.mul_f64(self.leader_rate);
        self.lease_deadlines.begin(local, &self.state);
    }

    pub fn restart_front(&mut self, n: usize) {
        let view = self.view();
        let host = &mut self.fronts[n];
        (host.view, host.records_fed, host.incarnation) = (view, 0, host.incarnation + 1);
    }

    pub fn stop_server(&mut self, id: ServerId) {
        self.servers.entry(id).and_modify(|b| b.up = false);
    }

    /// Starts a media server with an empty disk (0), an earlier state of its disk (1) or its current disk.
    pub fn start_server(&mut self, id: ServerId, with: u32) {
        let (incarnation, new) = (Incarnation(self.next_id()), DiskId(self.next_id()));
        let host = self.servers.get_mut(&id).expect("a known media server");
        let had = (host.server.disk_id(), host.content.clone());
        let (disk, content) = match (with, host.old_disk.clone()) {
            (0, _) => (new, BTreeMap::new()),
            // A disk restored from a backup counts as another one: its media server draws a new id on noticing that.
            (1, Some(old)) => (new, old.1),
            _ => had.clone(),
        };
        host.old_disk = Some(had);
        (host.content, host.up) = (content, true);
        let found_at_start: Vec<ShardId> = host.content.keys().cloned().collect();
        let server = self.media_server(incarnation, disk, found_at_start.clone());
        self.servers.entry(id).and_modify(|b| b.found_at_start = found_at_start.into_iter().collect());
        self.servers.entry(id).and_modify(|b| b.server = server);
    }

    pub fn heal(&mut self) {
        (self.loss_per_mille, self.duplicate_per_mille, self.late_per_mille) = (0, 0, 0);
        let ids: Vec<ServerId> = self.servers.keys().copied().collect();
        for id in ids {
            if !self.servers[&id].up {
                self.start_server(id, 2);
            }
            let host = self.servers.get_mut(&id).expect("a known media server");
            (
                host.partitioned,
                host.full,
                host.corrupt_per_mille,
                host.broken_per_mille,
                host.false_reports,
            ) = (false, false, 0, 0, false);
        }
        for front in &mut self.fronts {
            (front.partitioned, front.no_records) = (false, false);
        }
    }

    /// Returns a description of what has not settled after all faults are healed.
    pub fn unsettled(&self) -> Option<String> {
        for (shard, pin) in self.state.pins() {
            if !pin.is_settled() {
                return Some(format!("{shard} is {:?}: {pin:#?}", pin.status(self.state.rules())));
            }
            for (n, front) in self.fronts.iter().enumerate() {
                let allowed = front.view.allowed_servers(
                    self.now.mul_f64(front.rate),
                    shard.customer.as_str(),
                    shard.name.as_str(),
                );
                let all: BTreeSet<ServerId> = pin.copies.keys().copied().collect();
                if !matches!(&allowed, AllowedServers::Servers { all: is, .. } if *is == all) {
                    return Some(format!("front {n} has {allowed:?} for {shard}, which is on {all:?}"));
                }
            }
        }
        for (id, host) in &self.servers {
            let is: BTreeSet<&ShardId> = host.content.keys().collect();
            let wanted: BTreeSet<&ShardId> =
                self.state.pins().iter().filter(|(_, p)| p.copies.contains_key(id)).map(|(s, _)| s).collect();
            if is != wanted {
                return Some(format!("media server {} has {is:?}, but {wanted:?} is wanted", id.0));
            }
        }
        None
    }
}
