//! Simulated cluster in one process.
//!
//! The network loses, delays, duplicates and reorders messages, nodes crash at any input, and the invariants are checked after
//! each input.
#![allow(dead_code)]

mod invariants;
mod state_machine;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use beechloft_consensus::{
    Chunk, Entry, Fault, Index, Input, Membership, MembershipChange, Message, NodeId, PendingOutputs,
    PersistentState, Raft, Reads, Ready, RequestId, Settings, SnapshotData, StateUpdate, Storage,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use invariants::Invariants;
use state_machine::{apply, decode_state};

/// Range of the clock rates relative to the simulated time.
const CLOCK_RATES: std::ops::Range<f64> = 0.95..1.05;
/// Minimum network delay, microseconds.
const MIN_DELAY_US: u64 = 200;
/// Exclusive upper bound of the network delay, microseconds.
const DELAY_BOUND_US: u64 = 20_000;
/// Exclusive upper bound of the network delay of a delayed message, microseconds.
const LONG_DELAY_BOUND_US: u64 = 2_000_000;
/// Range of the delay before a crashed node restarts, milliseconds.
const RESTART_DELAY_MS: std::ops::Range<u64> = 1..2_000;

/// Storage that keeps the persistent state in memory and never fails.
#[derive(Debug, Clone, Default)]
pub struct MemoryStorage(pub PersistentState);

impl Storage for MemoryStorage {
    type Error = std::convert::Infallible;

    fn save(&mut self, update: &StateUpdate) -> Result<(), Self::Error> {
        self.0.apply(update);
        Ok(())
    }
}

/// Node with its storage, clock and state machine.
pub struct Process {
    pub raft: Raft,
    pub storage: MemoryStorage,
    pub is_running: bool,
    /// Rate of the node's clock relative to the simulated time.
    pub clock_rate: f64,
    /// Number of times that the process was stopped. Timers of earlier runs are ignored.
    stop_count: u32,
    /// Index of the last applied entry.
    pub applied: Index,
    /// State of the state machine as of `applied`.
    pub state: u64,
}

enum ScheduledEvent {
    Deliver(Message),
    /// Timer of a node, with the node's stop count when the timer was set.
    Tick(NodeId, u32),
    Restart(NodeId),
}

/// Probabilities of faults, in thousandths.
#[derive(Debug, Clone, Copy)]
pub struct NetworkFaults {
    /// Probability that a message is lost.
    pub lost: u32,
    /// Probability that a message is duplicated.
    pub duplicated: u32,
    /// Probability that a copy of a message is delayed for a long time.
    pub delayed: u32,
    /// Probability that a node crashes after an input and before the resulting save.
    pub crash: u32,
}

impl NetworkFaults {
    const NONE: NetworkFaults = NetworkFaults { lost: 0, duplicated: 0, delayed: 0, crash: 0 };
}

pub struct SimulatedCluster {
    pub processes: BTreeMap<NodeId, Process>,
    pub now: Duration,
    pub invariants: Invariants,
    pub faults: NetworkFaults,
    /// Partitioned links, as pairs of sender and receiver.
    pub partitioned: BTreeSet<(NodeId, NodeId)>,
    pub rng: ChaCha8Rng,
    pub settings: Settings,
    fault: Option<Fault>,
    scheduled: BTreeMap<(Duration, u64), ScheduledEvent>,
    last_event_id: u64,
    last_request: u64,
    /// Pending reads, with the last index that was committed when each of them was requested.
    pending_reads: BTreeMap<RequestId, Index>,
    pub completed_reads: usize,
    pub sent_messages: u64,
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

/// Returns a membership of `count` voters with the ids 1 to `count`.
pub fn members(count: u64) -> Membership {
    Membership::of((1..=count).map(|id| (NodeId(id), format!("m{id}"))))
}

impl SimulatedCluster {
    pub fn new(voters: u64, seed: u64, fault: Option<Fault>) -> SimulatedCluster {
        let mut cluster = SimulatedCluster {
            processes: BTreeMap::new(),
            now: Duration::ZERO,
            invariants: Invariants::default(),
            faults: NetworkFaults::NONE,
            partitioned: BTreeSet::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            settings: settings(),
            fault,
            scheduled: BTreeMap::new(),
            last_event_id: 0,
            last_request: 0,
            pending_reads: BTreeMap::new(),
            completed_reads: 0,
            sent_messages: 0,
        };
        for id in members(voters).voters() {
            cluster.add(id, PersistentState::first(members(voters)));
        }
        cluster
    }

    /// Adds a running node with the given persistent state.
    pub fn add(&mut self, id: NodeId, stored: PersistentState) {
        let clock_rate = self.rng.random_range(CLOCK_RATES);
        let storage = MemoryStorage(stored);
        let raft = self.start_node(id, &storage, clock_rate);
        let process = Process {
            raft,
            storage,
            is_running: true,
            clock_rate,
            stop_count: 0,
            applied: Index(0),
            state: 0,
        };
        self.processes.insert(id, process);
        self.schedule_tick(id);
    }

    fn start_node(&mut self, id: NodeId, storage: &MemoryStorage, clock_rate: f64) -> Raft {
        let now = self.now.mul_f64(clock_rate);
        #[allow(unused_mut)]
        let mut raft = Raft::new(id, self.settings, storage.0.clone(), self.rng.random(), now);
        if let Some(fault) = self.fault {
            raft.inject_fault(fault);
        }
        raft
    }

    fn schedule(&mut self, delay: Duration, event: ScheduledEvent) {
        self.last_event_id += 1;
        self.scheduled.insert((self.now + delay, self.last_event_id), event);
    }

    fn schedule_tick(&mut self, id: NodeId) {
        let process = &self.processes[&id];
        let due = process.raft.next_due().div_f64(process.clock_rate);
        let stop_count = process.stop_count;
        self.schedule(
            due.saturating_sub(self.now) + Duration::from_micros(1),
            ScheduledEvent::Tick(id, stop_count),
        );
    }

    /// Returns true with a probability in thousandths.
    fn random_bool(&mut self, thousandths: u32) -> bool {
        self.rng.random_range(0..1000) < thousandths
    }

    fn send(&mut self, message: Message) {
        self.sent_messages += 1;
        if self.partitioned.contains(&(message.from, message.to)) || self.random_bool(self.faults.lost) {
            return;
        }
        let copies = 1 + u32::from(self.random_bool(self.faults.duplicated));
        for _ in 0..copies {
            let bound_us =
                if self.random_bool(self.faults.delayed) { LONG_DELAY_BOUND_US } else { DELAY_BOUND_US };
            let delay = Duration::from_micros(self.rng.random_range(MIN_DELAY_US..bound_us));
            self.schedule(delay, ScheduledEvent::Deliver(message.clone()));
        }
    }

    /// Advances the simulated time and processes all events that are due.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.scheduled.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.process_event(event);
            if self.invariants.violation.is_some() {
                return;
            }
        }
        self.now = end;
    }

    fn process_event(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Deliver(message) => {
                let to = message.to;
                self.handle(to, Input::Message(message));
            }
            ScheduledEvent::Tick(id, stop_count) => {
                let is_current = |process: &Process| process.stop_count == stop_count && process.is_running;
                if self.processes.get(&id).is_some_and(is_current) {
                    self.handle(id, Input::Tick);
                    self.schedule_tick(id);
                }
            }
            ScheduledEvent::Restart(id) => self.restart(id),
        }
    }

    /// Passes an input to a node, which may crash before it saves the result.
    pub fn handle(&mut self, id: NodeId, input: Input) {
        let crashes = self.random_bool(self.faults.crash);
        let Some(process) = self.processes.get_mut(&id).filter(|process| process.is_running) else { return };
        let mut out = PendingOutputs::default();
        process.raft.handle(self.now.mul_f64(process.clock_rate), input, &mut out);
        if crashes {
            for message in out.crash() {
                self.send(message);
            }
            self.stop(id);
            let delay = Duration::from_millis(self.rng.random_range(RESTART_DELAY_MS));
            return self.schedule(delay, ScheduledEvent::Restart(id));
        }
        let Ok(ready) = out.persist(&mut process.storage);
        if process.raft.is_leader() {
            self.invariants.check_leader(&process.raft);
        }
        self.process_ready(id, ready);
    }

    fn process_ready(&mut self, id: NodeId, ready: Ready) {
        let Ready { messages, installed_snapshot, committed_entries, proposals: _, reads, membership: _ } =
            ready;
        if let Some(snapshot) = installed_snapshot {
            let process = self.processes.get_mut(&id).expect("the node exists");
            process.applied = snapshot.at.index;
            process.state = decode_state(&snapshot.state);
        }
        self.apply_committed(id, &committed_entries);
        self.check_state(id);
        self.check_reads(id, reads);
        messages.into_iter().for_each(|message| self.send(message));
    }

    fn apply_committed(&mut self, id: NodeId, entries: &[Entry]) {
        let process = self.processes.get_mut(&id).expect("the node exists");
        let term = process.raft.status().term;
        for entry in entries {
            if entry.at.index <= process.applied {
                continue;
            }
            if entry.at.index != Index(process.applied.0 + 1) {
                self.invariants.record(format!("{id} skips entries before {:?}", entry.at));
            }
            process.applied = entry.at.index;
            process.state = apply(process.state, entry);
            self.invariants.check_commit(id, term, entry);
        }
    }

    /// Checks the state of a node against the committed entries, if all entries up to its applied index are known.
    fn check_state(&mut self, id: NodeId) {
        let Process { applied, state, .. } = self.processes[&id];
        let committed = self.invariants.committed.range(..=applied);
        let expected = committed.clone().fold(0, |expected, (_, entry)| apply(expected, entry));
        let committed_count = committed.count() as u64;
        if applied.0 == committed_count && state != expected {
            self.invariants.record(format!("the state of {id} at {applied:?} differs from the log"));
        }
    }

    /// Checks that completed reads see everything that was committed when they were requested.
    fn check_reads(&mut self, id: NodeId, reads: Reads) {
        let applied = self.processes[&id].applied;
        for (request, result) in reads {
            let committed = self.pending_reads.remove(&request);
            if let (Ok(()), Some(committed)) = (result, committed) {
                self.completed_reads += 1;
                if applied < committed {
                    self.invariants.record(format!(
                        "{id} reads at {applied:?}, but {committed:?} was committed before the request"
                    ));
                }
            }
        }
    }

    pub fn stop(&mut self, id: NodeId) {
        if let Some(process) = self.processes.get_mut(&id) {
            process.is_running = false;
            process.stop_count += 1;
        }
    }

    /// Restarts a stopped node from its storage.
    pub fn restart(&mut self, id: NodeId) {
        let Some(stopped) = self.processes.get(&id).filter(|process| !process.is_running) else { return };
        let (storage, clock_rate) = (stopped.storage.clone(), stopped.clock_rate);
        let raft = self.start_node(id, &storage, clock_rate);
        let process = self.processes.get_mut(&id).expect("the node exists");
        (process.applied, process.state) = raft
            .snapshot()
            .map_or((Index(0), 0), |snapshot| (snapshot.at.index, decode_state(&snapshot.state)));
        (process.raft, process.is_running) = (raft, true);
        self.schedule_tick(id);
    }

    /// Removes a node permanently, together with its storage.
    pub fn lose(&mut self, id: NodeId) {
        self.processes.remove(&id);
    }

    /// Returns the running leader with the latest term. Returns `None` if there is none.
    pub fn leader(&self) -> Option<NodeId> {
        let is_leader = |process: &&Process| process.is_running && process.raft.is_leader();
        let leaders = self.processes.values().filter(is_leader);
        leaders.max_by_key(|process| process.raft.status().term).map(|process| process.raft.status().id)
    }

    pub fn next_request(&mut self) -> RequestId {
        self.last_request += 1;
        RequestId(self.last_request)
    }

    /// Proposes a new command at a node.
    pub fn propose(&mut self, id: NodeId) {
        let request = self.next_request();
        let command: Arc<[u8]> = request.0.to_be_bytes().into();
        self.handle(id, Input::Propose(request, command));
    }

    /// Requests a read at a node.
    pub fn read(&mut self, id: NodeId) {
        let request = self.next_request();
        self.pending_reads.insert(request, self.invariants.last_committed());
        self.handle(id, Input::Read(request));
    }

    /// Requests a membership change at the leader, if there is one.
    pub fn change_membership(&mut self, change: MembershipChange) {
        if let Some(leader) = self.leader() {
            let request = self.next_request();
            self.handle(leader, Input::ChangeMembership(request, change));
        }
    }

    /// Takes a snapshot of a node's state.
    pub fn compact(&mut self, id: NodeId) {
        let Some(process) = self.processes.get(&id) else { return };
        let (applied, state) = (process.applied, process.state.to_be_bytes());
        // Only the second chunk changes between snapshots.
        let state = [Chunk::new(&b"state"[..]), Chunk::new(state.to_vec())].to_vec();
        self.handle(id, Input::Compact(applied, SnapshotData::new(state)));
    }

    /// Returns the membership of the leader, or an empty one if there is no leader.
    pub fn membership(&self) -> Membership {
        self.leader().map(|leader| self.processes[&leader].raft.status().members).unwrap_or_default()
    }

    pub fn check_logs(&mut self) {
        let processes = &self.processes;
        self.invariants.check_log_matching(processes.values().map(|process| &process.raft));
    }

    /// Ends all faults and partitions, and restarts all stopped nodes.
    pub fn heal(&mut self) {
        self.faults = NetworkFaults::NONE;
        self.partitioned.clear();
        let is_stopped = |(_, process): &(&NodeId, &Process)| !process.is_running;
        let stopped: Vec<NodeId> = self.processes.iter().filter(is_stopped).map(|(id, _)| *id).collect();
        stopped.into_iter().for_each(|id| self.restart(id));
    }
}
