//! A simulated cluster: nodes in one process under one true clock, a network that loses, delays, duplicates and reorders messages,
//! crashes at any moment, and the invariants that must hold.
#![allow(dead_code)]

mod invariants;
mod state_machine;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use beechloft_consensus::{
    Chunk, Fault, Index, Input, Membership, MembershipChange, Message, NodeId, PendingOutputs,
    PersistentState, Raft, Ready, RequestId, Settings, SnapshotData, StateUpdate, Storage,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use invariants::Invariants;
use state_machine::{fold, state_of};

/// A disk that keeps all of it.
#[derive(Debug, Clone, Default)]
pub struct MemoryStorage(pub PersistentState);

impl Storage for MemoryStorage {
    type Error = std::convert::Infallible;

    fn save(&mut self, save: &StateUpdate) -> Result<(), Self::Error> {
        self.0.apply(save);
        Ok(())
    }
}

pub struct Process {
    pub raft: Raft,
    pub disk: MemoryStorage,
    pub up: bool,
    /// Its clock runs at this rate.
    pub rate: f64,
    start: u32,
    /// How far its replicated state goes, and what it comes to.
    pub applied: Index,
    pub state: u64,
}

enum ScheduledEvent {
    Deliver(Message),
    Tick(NodeId, u32),
    Restart(NodeId),
}

/// How much goes wrong, in a thousand.
#[derive(Debug, Clone, Copy)]
pub struct NetworkFaults {
    pub lost: u32,
    pub duplicated: u32,
    pub delayed: u32,
    /// A crash right after an input, before its save.
    pub crash: u32,
}

pub struct SimulatedCluster {
    pub processes: BTreeMap<NodeId, Process>,
    pub now: Duration,
    pub invariants: Invariants,
    pub faults: NetworkFaults,
    /// Nothing goes from the one to the other.
    pub cut: BTreeSet<(NodeId, NodeId)>,
    pub rng: ChaCha8Rng,
    pub settings: Settings,
    fault: Option<Fault>,
    scheduled: BTreeMap<(Duration, u64), ScheduledEvent>,
    last_event_id: u64,
    last_request: u64,
    /// Reads that are out: what had been committed when they came.
    reads: BTreeMap<RequestId, Index>,
    pub read: usize,
    pub messages: u64,
}

pub fn settings() -> Settings {
    Settings {
        retained_entries: 4,
        max_uncommitted_bytes: 4096,
        max_message_bytes: 256,
        snapshot_chunk_bytes: 5,
        ..Settings::default()
    }
}

pub fn members(n: u64) -> Membership {
    Membership::of((1..=n).map(|i| (NodeId(i), format!("m{i}"))))
}

impl SimulatedCluster {
    pub fn new(voters: u64, seed: u64, fault: Option<Fault>) -> SimulatedCluster {
        let mut cluster = SimulatedCluster {
            processes: BTreeMap::new(),
            now: Duration::ZERO,
            invariants: Invariants::default(),
            faults: NetworkFaults { lost: 0, duplicated: 0, delayed: 0, crash: 0 },
            cut: BTreeSet::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            settings: settings(),
            fault,
            scheduled: BTreeMap::new(),
            last_event_id: 0,
            last_request: 0,
            reads: BTreeMap::new(),
            read: 0,
            messages: 0,
        };
        for id in members(voters).voters() {
            cluster.add(id, PersistentState::first(members(voters)));
        }
        cluster
    }

    pub fn add(&mut self, id: NodeId, stored: PersistentState) {
        let rate = self.rng.random_range(0.95..1.05);
        let disk = MemoryStorage(stored);
        let raft = self.start_node(id, &disk, rate);
        let process = Process { raft, disk, up: true, rate, start: 0, applied: Index(0), state: 0 };
        self.processes.insert(id, process);
        self.schedule_tick(id);
    }

    fn start_node(&mut self, id: NodeId, disk: &MemoryStorage, rate: f64) -> Raft {
        let now = self.now.mul_f64(rate);
        #[allow(unused_mut)]
        let mut raft = Raft::new(id, self.settings, disk.0.clone(), self.rng.random(), now);
        if let Some(fault) = self.fault {
            raft.inject_fault(fault);
        }
        raft
    }

    fn schedule(&mut self, after: Duration, what: ScheduledEvent) {
        self.last_event_id += 1;
        self.scheduled.insert((self.now + after, self.last_event_id), what);
    }

    fn schedule_tick(&mut self, id: NodeId) {
        let process = &self.processes[&id];
        let due = process.raft.next_due().div_f64(process.rate);
        let start = process.start;
        self.schedule(
            due.saturating_sub(self.now) + Duration::from_micros(1),
            ScheduledEvent::Tick(id, start),
        );
    }

    fn chance(&mut self, in_thousand: u32) -> bool {
        self.rng.random_range(0..1000) < in_thousand
    }

    fn send(&mut self, message: Message) {
        self.messages += 1;
        if self.cut.contains(&(message.from, message.to)) || self.chance(self.faults.lost) {
            return;
        }
        let duplicates = 1 + u32::from(self.chance(self.faults.duplicated));
        for _ in 0..duplicates {
            let most = if self.chance(self.faults.delayed) { 2_000 } else { 20 };
            let after = Duration::from_micros(self.rng.random_range(200..most * 1000));
            self.schedule(after, ScheduledEvent::Deliver(message.clone()));
        }
    }

    /// Lets time pass.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.scheduled.first_entry().filter(|e| e.key().0 <= end) {
            let ((at, _), what) = entry.remove_entry();
            self.now = at;
            match what {
                ScheduledEvent::Deliver(message) => {
                    let to = message.to;
                    self.handle(to, Input::Message(message));
                }
                ScheduledEvent::Tick(id, start)
                    if self.processes.get(&id).is_some_and(|h| h.start == start && h.up) =>
                {
                    self.handle(id, Input::Tick);
                    self.schedule_tick(id);
                }
                ScheduledEvent::Tick(..) => {}
                ScheduledEvent::Restart(id) => self.restart(id),
            }
            if self.invariants.violation.is_some() {
                return;
            }
        }
        self.now = end;
    }

    pub fn handle(&mut self, id: NodeId, input: Input) {
        let crash = self.chance(self.faults.crash);
        let Some(process) = self.processes.get_mut(&id).filter(|h| h.up) else { return };
        let mut out = PendingOutputs::default();
        process.raft.handle(self.now.mul_f64(process.rate), input, &mut out);
        if crash {
            for message in out.crash() {
                self.send(message);
            }
            self.stop(id);
            let after = Duration::from_millis(self.rng.random_range(1..2_000));
            return self.schedule(after, ScheduledEvent::Restart(id));
        }
        let Ok(released) = out.persist(&mut process.disk);
        if process.raft.is_leader() {
            self.invariants.check_leader(&process.raft);
        }
        self.process_ready(id, released);
    }

    fn process_ready(&mut self, id: NodeId, released: Ready) {
        let Ready {
            messages,
            installed_snapshot: restored,
            committed_entries: committed,
            proposals: _,
            reads,
            membership: _,
        } = released;
        let process = self.processes.get_mut(&id).expect("it spoke");
        let term = process.raft.status().term;
        if let Some(snapshot) = restored {
            process.applied = snapshot.at.index;
            process.state = state_of(&snapshot.state);
        }
        for entry in &committed {
            if entry.at.index <= process.applied {
                continue;
            }
            if entry.at.index != Index(process.applied.0 + 1) {
                self.invariants.violation.get_or_insert(format!("{id} skips to {:?}", entry.at));
            }
            process.applied = entry.at.index;
            process.state = fold(process.state, entry);
            self.invariants.check_commit(id, term, entry);
        }
        let (applied, state) = (process.applied, process.state);
        let expected = self.invariants.committed.range(..=applied).fold(0, |s, (_, e)| fold(s, e));
        let committed_count = self.invariants.committed.range(..=applied).count() as u64;
        if applied.0 == committed_count && state != expected {
            self.invariants.violation.get_or_insert(format!("{id}'s state at {applied:?} is another's"));
        }
        for (request, answer) in reads {
            let before = self.reads.remove(&request);
            if let (Ok(()), Some(before)) = (answer, before) {
                self.read += 1;
                if applied < before {
                    let why = format!("{id} reads at {applied:?} what was {before:?} when it was asked");
                    self.invariants.violation.get_or_insert(why);
                }
            }
        }
        messages.into_iter().for_each(|m| self.send(m));
    }

    pub fn stop(&mut self, id: NodeId) {
        if let Some(process) = self.processes.get_mut(&id) {
            process.up = false;
            process.start += 1;
        }
    }

    pub fn restart(&mut self, id: NodeId) {
        let Some(stopped) = self.processes.get(&id).filter(|h| !h.up) else { return };
        let (disk, rate) = (stopped.disk.clone(), stopped.rate);
        let raft = self.start_node(id, &disk, rate);
        let process = self.processes.get_mut(&id).expect("it is there");
        (process.applied, process.state) =
            raft.snapshot().map_or((Index(0), 0), |s| (s.at.index, state_of(&s.state)));
        (process.raft, process.up) = (raft, true);
        self.schedule_tick(id);
    }

    /// Its disk is lost: it never comes back.
    pub fn lose(&mut self, id: NodeId) {
        self.processes.remove(&id);
    }

    pub fn leader(&self) -> Option<NodeId> {
        let leads = |h: &&Process| h.up && h.raft.is_leader();
        self.processes.values().filter(leads).max_by_key(|h| h.raft.status().term).map(|h| h.raft.status().id)
    }

    pub fn next_request(&mut self) -> RequestId {
        self.last_request += 1;
        RequestId(self.last_request)
    }

    /// Asks a member to take a command.
    pub fn propose(&mut self, id: NodeId) {
        let request = self.next_request();
        let command: Arc<[u8]> = request.0.to_be_bytes().into();
        self.handle(id, Input::Propose(request, command));
    }

    /// Asks a member to read.
    pub fn read(&mut self, id: NodeId) {
        let request = self.next_request();
        self.reads.insert(request, self.invariants.last());
        self.handle(id, Input::Read(request));
    }

    pub fn change(&mut self, change: MembershipChange) {
        if let Some(leader) = self.leader() {
            let request = self.next_request();
            self.handle(leader, Input::ChangeMembership(request, change));
        }
    }

    /// Takes a snapshot of a member's state.
    pub fn compact(&mut self, id: NodeId) {
        let Some(process) = self.processes.get(&id) else { return };
        let (applied, state) = (process.applied, process.state.to_be_bytes());
        // In two pieces, of which one changes each time.
        let state = [Chunk::new(&b"state"[..]), Chunk::new(state.to_vec())].to_vec();
        self.handle(id, Input::Compact(applied, SnapshotData::new(state)));
    }

    /// Members as the newest leader has them.
    pub fn membership(&self) -> Membership {
        self.leader().map(|l| self.processes[&l].raft.status().members).unwrap_or_default()
    }

    pub fn check_logs(&mut self) {
        let processes = &self.processes;
        self.invariants.check_log_matching(processes.values().map(|h| &h.raft));
    }

    /// All goes well from now on.
    pub fn heal(&mut self) {
        self.faults = NetworkFaults { lost: 0, duplicated: 0, delayed: 0, crash: 0 };
        self.cut.clear();
        let down: Vec<NodeId> = self.processes.iter().filter(|(_, h)| !h.up).map(|(id, _)| *id).collect();
        down.into_iter().for_each(|id| self.restart(id));
    }
}
