//! Model checking of the production code with three nodes, in all event orders up to a depth.
//!
//! The events are deliveries, duplicates, crashes with and without loss of the storage, elections, proposals and membership
//! changes. A message that is never delivered counts as lost.
//!
//! Time is abstracted conservatively. All timeouts are zero, so that any node may start an election at any time, and pre-votes
//! are always granted. Invariants that hold under this abstraction hold for any clocks.

mod support;

use std::collections::BTreeMap;
use std::hash::Hash;
use std::sync::Arc;
use std::time::Duration;

use beechloft_consensus::{
    Fault, Index, Input, LogPosition, MembershipChange, Message, MessageBody, NodeId, PendingOutputs,
    PersistentState, Raft, RequestId, Settings, Term,
};
use beechloft_model_checker::{
    Counterexample, Exploration, FingerprintHasher, Limits, Model, explore, hash_unordered, insert_unique,
};
use support::{Invariants, MemoryStorage, members};

const ZERO: Duration = Duration::ZERO;

/// Remaining number of events of each kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct EventBudget {
    elections: u8,
    crashes: u8,
    duplicates: u8,
    proposals: u8,
    changes: u8,
    losses: u8,
    erasures: u8,
}

#[derive(Debug, Clone)]
struct ClusterState {
    /// Nodes with their storage, shared between states like all large fields.
    processes: BTreeMap<NodeId, Arc<(Raft, MemoryStorage)>>,
    /// Messages in flight, without duplicates.
    in_flight: Vec<Arc<Message>>,
    invariants: Arc<Invariants>,
    budget: EventBudget,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Event {
    Deliver(Arc<Message>),
    /// The message is delivered and stays in flight, so that a duplicate may arrive later.
    Duplicate(Arc<Message>),
    /// The receiver crashes after it has handled the message and before it saves the result, and restarts.
    DeliverCrash(Arc<Message>),
    Crash(NodeId),
    /// The storage is erased and the node restarts under its old id, which operators must never do.
    EraseStorage(NodeId),
    /// The node is permanently lost together with its storage.
    Lose(NodeId),
    /// The node abandons its role and starts an election.
    StartElection(NodeId),
    Propose(NodeId),
    ChangeMembership(NodeId, MembershipChange),
}

struct ClusterModel {
    budget: EventBudget,
    fault: Option<Fault>,
    /// Nodes that may start elections.
    candidates: Vec<NodeId>,
    /// Events that lead to each initial state.
    histories: Vec<Vec<Event>>,
}

fn settings() -> Settings {
    // Each message has at most one entry, so that logs diverge at any index.
    Settings { election_timeout: ZERO, heartbeat_interval: ZERO, max_message_bytes: 1, ..Settings::default() }
}

impl ClusterModel {
    fn start_node(&self, id: NodeId, storage: &MemoryStorage) -> Raft {
        #[allow(unused_mut)]
        let mut raft = Raft::new(id, settings(), storage.0.clone(), 0, ZERO);
        if let Some(fault) = self.fault {
            raft.inject_fault(fault);
        }
        raft
    }

    fn initial_state(&self) -> ClusterState {
        let storage = MemoryStorage(PersistentState::first(members(3)));
        let process = |id| Arc::new((self.start_node(id, &storage), storage.clone()));
        let processes = members(3).voters().map(|id| (id, process(id))).collect();
        ClusterState { processes, in_flight: Vec::new(), invariants: Arc::default(), budget: self.budget }
    }

    fn handle(&self, state: &mut ClusterState, id: NodeId, input: Input, crashes: bool) {
        let Some(process) = state.processes.get_mut(&id) else { return };
        let (raft, storage) = Arc::make_mut(process);
        let mut out = PendingOutputs::default();
        raft.handle(ZERO, input, &mut out);
        if crashes {
            let premature_messages = out.crash();
            *raft = self.start_node(id, &storage.clone());
            return send_all(state, premature_messages);
        }
        let Ok(ready) = out.persist(storage);
        if raft.is_leader() {
            Arc::make_mut(&mut state.invariants).check_leader(raft);
        }
        let term = raft.status().term;
        for entry in &ready.committed_entries {
            Arc::make_mut(&mut state.invariants).check_commit(id, term, entry);
        }
        send_all(state, ready.messages);
    }

    fn start_election(&self, state: &mut ClusterState, id: NodeId) {
        if state.processes.get(&id).is_some_and(|process| process.0.is_leader()) {
            // With a timeout of zero the leader has no contact with a quorum and steps down.
            self.handle(state, id, Input::Tick, false);
        }
        let in_flight = state.in_flight.clone();
        self.handle(state, id, Input::Tick, false);
        // Pre-votes are always granted, so their messages need not be explored.
        state.in_flight = in_flight;
        let Some(process) = state.processes.get(&id) else { return };
        let status = process.0.status();
        let body = MessageBody::PreVoteResponse(true);
        for from in status.members.voters().filter(|voter| *voter != id) {
            let message = Message { from, to: id, term: Term(status.term.0 + 1), body: body.clone() };
            self.handle(state, id, Input::Message(message), false);
        }
    }
}

fn send_all(state: &mut ClusterState, messages: Vec<Message>) {
    messages.into_iter().for_each(|message| insert_unique(&mut state.in_flight, message));
}

impl Model for ClusterModel {
    type State = ClusterState;
    type Action = Event;

    fn initial_states(&self) -> Vec<ClusterState> {
        let mut initial_states = Vec::new();
        for history in &self.histories {
            let mut state = self.initial_state();
            history.iter().for_each(|event| self.step(&mut state, event));
            state.budget = self.budget;
            // Messages of terms before the latest one are dropped, to limit the number of states.
            let latest_term = state.processes.values().map(|process| process.0.status().term).max();
            state.in_flight.retain(|message| Some(message.term) >= latest_term);
            initial_states.push(state);
        }
        initial_states
    }

    fn actions(&self, state: &ClusterState) -> Vec<Event> {
        let mut events: Vec<Event> = state.in_flight.iter().cloned().map(Event::Deliver).collect();
        if state.budget.duplicates > 0 {
            events.extend(state.in_flight.iter().cloned().map(Event::Duplicate));
        }
        if state.budget.crashes > 0 {
            events.extend(state.in_flight.iter().cloned().map(Event::DeliverCrash));
            events.extend(state.processes.keys().map(|id| Event::Crash(*id)));
        }
        if state.budget.erasures > 0 {
            events.extend(state.processes.keys().map(|id| Event::EraseStorage(*id)));
        }
        if state.budget.losses > 0 {
            events.extend(state.processes.keys().map(|id| Event::Lose(*id)));
        }
        for (id, process) in &state.processes {
            let raft = &process.0;
            if state.budget.elections > 0 && self.candidates.contains(id) {
                events.push(Event::StartElection(*id));
            }
            if raft.is_leader() && state.budget.proposals > 0 {
                events.push(Event::Propose(*id));
            }
            if raft.is_leader() && state.budget.changes > 0 {
                let membership = raft.status().members;
                let others = membership.voters().filter(|voter| voter != id);
                let remove = |other| Event::ChangeMembership(*id, MembershipChange::Remove(other));
                events.extend(others.map(remove));
            }
        }
        events
    }

    fn step(&self, state: &mut ClusterState, event: &Event) {
        match event {
            Event::Deliver(message) | Event::DeliverCrash(message) => {
                state.in_flight.retain(|other| other != message);
            }
            _ => {}
        }
        let budget = &mut state.budget;
        match event {
            Event::Deliver(message) => {
                self.handle(state, message.to, Input::Message((**message).clone()), false);
            }
            Event::Duplicate(message) => {
                budget.duplicates -= 1;
                self.handle(state, message.to, Input::Message((**message).clone()), false);
            }
            Event::DeliverCrash(message) => {
                budget.crashes -= 1;
                self.handle(state, message.to, Input::Message((**message).clone()), true);
            }
            Event::Crash(id) => {
                budget.crashes = budget.crashes.saturating_sub(1);
                if let Some(process) = state.processes.get_mut(id) {
                    let storage = process.1.clone();
                    *process = Arc::new((self.start_node(*id, &storage), storage));
                }
            }
            Event::EraseStorage(id) => {
                budget.erasures -= 1;
                let storage = MemoryStorage(PersistentState::first(members(3)));
                let raft = self.start_node(*id, &storage);
                state.processes.insert(*id, Arc::new((raft, storage)));
            }
            Event::Lose(id) => {
                budget.losses -= 1;
                state.processes.remove(id);
            }
            Event::StartElection(id) => {
                budget.elections = budget.elections.saturating_sub(1);
                self.start_election(state, *id);
            }
            Event::Propose(id) => {
                budget.proposals = budget.proposals.saturating_sub(1);
                let command: Arc<[u8]> = Arc::from([budget.proposals]);
                self.handle(state, *id, Input::Propose(RequestId(0), command), false);
            }
            Event::ChangeMembership(id, change) => {
                budget.changes = budget.changes.saturating_sub(1);
                self.handle(state, *id, Input::ChangeMembership(RequestId(0), change.clone()), false);
            }
        }
    }

    fn fingerprint(&self, state: &ClusterState, into: &mut FingerprintHasher) {
        state.budget.hash(into);
        state.invariants.hash(into);
        for (id, process) in &state.processes {
            let (raft, storage) = &**process;
            (id, raft, storage.0.hard_state, &storage.0.entries).hash(into);
        }
        hash_unordered(&state.in_flight, into);
    }

    fn violation(&self, state: &ClusterState) -> Option<String> {
        let mut invariants = (*state.invariants).clone();
        invariants.check_log_matching(state.processes.values().map(|process| &process.0));
        invariants.violation
    }
}

const DEFAULT_BUDGET: EventBudget =
    EventBudget { elections: 2, crashes: 1, duplicates: 1, proposals: 1, changes: 0, losses: 1, erasures: 0 };
const BUDGET_WITH_CHANGES: EventBudget =
    EventBudget { changes: 2, crashes: 0, duplicates: 0, losses: 0, ..DEFAULT_BUDGET };

fn run(
    budget: EventBudget,
    fault: Option<Fault>,
    histories: Vec<Vec<Event>>,
    limits: Limits,
) -> Result<Exploration, Counterexample<Event>> {
    let candidates = members(3).voters().collect();
    explore(&ClusterModel { budget, fault, candidates, histories }, limits)
}

fn limits(depth: usize, states: usize) -> Limits {
    Limits { depth, states, threads: 4 }
}

/// Returns the events in which a node is elected with the vote of `voter`. Its other messages stay in flight.
fn election(candidate: u64, voter: u64, term: u64, last_entry: LogPosition) -> Vec<Event> {
    let (candidate, voter, term) = (NodeId(candidate), NodeId(voter), Term(term));
    let request = MessageBody::VoteRequest { last_entry, leadership_transfer: false };
    let response = MessageBody::VoteResponse(true);
    vec![
        Event::StartElection(candidate),
        Event::Deliver(Arc::new(Message { from: candidate, to: voter, term, body: request })),
        Event::Deliver(Arc::new(Message { from: voter, to: candidate, term, body: response })),
    ]
}

/// Returns the events in which node 1 is elected in term 1 with the vote of another node.
fn first_election(voter: u64) -> Vec<Event> {
    election(1, voter, 1, LogPosition::default())
}

/// Returns the events of figure 8 of the paper with three nodes, up to the second election of the first leader.
///
/// Node 1 then has an entry of its first term that no other node has, and node 2 has an entry of a later term at the same index.
fn figure_8() -> Vec<Event> {
    let mut events = first_election(3);
    // Node 2 becomes a candidate in term 1 first, so that its next election is in term 2. Node 1 likewise skips term 2.
    events.push(Event::StartElection(NodeId(2)));
    events.extend(election(2, 3, 2, LogPosition::default()));
    events.push(Event::StartElection(NodeId(1)));
    events.extend(election(1, 3, 3, LogPosition { term: Term(1), index: Index(1) }));
    events
}

/// Returns the histories of the initial states: a new cluster, a cluster with a leader, and figure 8 of the paper.
fn initial_histories() -> Vec<Vec<Event>> {
    vec![Vec::new(), first_election(2), figure_8()]
}

#[test]
fn invariants_hold_in_all_event_orders() {
    let explored = run(DEFAULT_BUDGET, None, initial_histories(), limits(5, 400_000)).expect("no violation");
    println!("{explored:?}");
    assert!(explored.complete && explored.states > 10_000, "{explored:?}");
    let with_changes =
        run(BUDGET_WITH_CHANGES, None, initial_histories(), limits(5, 400_000)).expect("no violation");
    println!("{with_changes:?}");
    assert!(with_changes.complete, "{with_changes:?}");
}

/// Runs outside CI with `cargo test --release -p beechloft-consensus --test explored -- --ignored --nocapture`.
#[test]
#[ignore = "millions of states, minutes"]
fn invariants_hold_in_all_event_orders_to_depth_8() {
    for budget in [DEFAULT_BUDGET, BUDGET_WITH_CHANGES] {
        let limits = Limits { depth: 8, states: 1_500_000, threads: 8 };
        let explored = run(budget, None, initial_histories(), limits);
        println!("{:?}", explored.expect("no violation"));
    }
}

fn find_violation(model: &ClusterModel, depth: usize) -> Counterexample<Event> {
    let found = explore(model, limits(depth, 400_000)).expect_err("a violation");
    println!(
        "{:?}: {} in {} events, {} states",
        model.fault,
        found.violation,
        found.trace.len(),
        found.states
    );
    found
}

fn model_with_fault(
    fault: Fault,
    budget: EventBudget,
    candidates: &[u64],
    history: Vec<Event>,
) -> ClusterModel {
    let candidates = candidates.iter().map(|id| NodeId(*id)).collect();
    ClusterModel { budget, fault: Some(fault), candidates, histories: vec![history] }
}

const ELECTIONS: EventBudget =
    EventBudget { elections: 2, crashes: 0, duplicates: 0, proposals: 0, changes: 0, losses: 0, erasures: 0 };

#[test]
fn detects_vote_before_persistence() {
    let model = model_with_fault(
        Fault::VoteNotPersisted,
        EventBudget { crashes: 1, ..ELECTIONS },
        &[1, 2, 3],
        Vec::new(),
    );
    assert!(find_violation(&model, 8).violation.contains("two leaders"));
}

#[test]
fn detects_acknowledgement_before_persistence() {
    let budget = EventBudget { elections: 1, crashes: 1, ..ELECTIONS };
    find_violation(&model_with_fault(Fault::EntriesNotPersisted, budget, &[2], first_election(2)), 10);
}

#[test]
fn detects_commit_of_earlier_term() {
    find_violation(&model_with_fault(Fault::EarlierTermCommitted, ELECTIONS, &[2], figure_8()), 12);
}

#[test]
fn detects_reuse_of_id_with_erased_storage() {
    let mut model = model_with_fault(
        Fault::VoteNotPersisted,
        EventBudget { erasures: 1, ..ELECTIONS },
        &[1, 2],
        Vec::new(),
    );
    model.fault = None;
    assert!(find_violation(&model, 8).violation.contains("two leaders"));
}

#[test]
fn detects_concurrent_membership_changes() {
    let model = model_with_fault(
        Fault::ConcurrentChanges,
        EventBudget { changes: 2, ..ELECTIONS },
        &[1, 2, 3],
        first_election(2),
    );
    find_violation(&model, 10);
}
