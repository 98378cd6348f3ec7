//! Explores every order of deliveries, duplicates, crashes with and without loss of the storage, elections, proposals and membership
//! changes of three nodes, up to a depth, with the production code. Messages that are never delivered are lost.
//!
//! Time is abstracted conservatively: all timeouts are zero, so that any node may start an election at any moment, and pre-votes are
//! always granted. What holds then holds for any clocks.

mod support;

use std::collections::BTreeMap;
use std::hash::Hash;
use std::sync::Arc;
use std::time::Duration;

use beechloft_consensus::{
    Fault, Index, Input, MembershipChange, Message, MessageBody, NodeId, PendingOutputs, PersistentState,
    Raft, RequestId, Settings, Term,
};
use beechloft_model_checker::{
    Counterexample, Exploration, FingerprintHasher, Limits, Model, explore, hash_unordered, insert_unique,
};
use support::{Invariants, MemoryStorage, members};

const ZERO: Duration = Duration::ZERO;

/// How often each kind of event may still happen.
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
    /// Shared between states that differ elsewhere, like all large fields.
    processes: BTreeMap<NodeId, Arc<(Raft, MemoryStorage)>>,
    /// Messages in flight, without duplicates.
    in_flight: Vec<Arc<Message>>,
    invariants: Arc<Invariants>,
    budget: EventBudget,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Event {
    Deliver(Arc<Message>),
    /// It is delivered and stays in flight: a duplicate arrives later.
    Duplicate(Arc<Message>),
    /// The receiver crashes after it has handled the message and before anything is saved, and restarts.
    DeliverCrash(Arc<Message>),
    Crash(NodeId),
    /// What must never be done: the storage is erased, and the node restarts under its old id.
    EraseStorage(NodeId),
    /// The node is lost with its storage.
    Lose(NodeId),
    /// The node gives up its role and starts an election.
    StartElection(NodeId),
    Propose(NodeId),
    ChangeMembership(NodeId, MembershipChange),
}

struct ClusterModel {
    budget: EventBudget,
    fault: Option<Fault>,
    /// The nodes that may start elections.
    candidates: Vec<NodeId>,
    /// The events before each initial state.
    histories: Vec<Vec<Event>>,
}

fn settings() -> Settings {
    // One entry a message, so that logs diverge at any index.
    Settings { election_timeout: ZERO, heartbeat_interval: ZERO, max_message_bytes: 1, ..Settings::default() }
}

impl ClusterModel {
    fn start_node(&self, id: NodeId, disk: &MemoryStorage) -> Raft {
        #[allow(unused_mut)]
        let mut raft = Raft::new(id, settings(), disk.0.clone(), 0, ZERO);
        if let Some(fault) = self.fault {
            raft.inject_fault(fault);
        }
        raft
    }

    fn initial_state(&self) -> ClusterState {
        let disk = MemoryStorage(PersistentState::first(members(3)));
        let process = |id| Arc::new((self.start_node(id, &disk), disk.clone()));
        let processes = members(3).voters().map(|id| (id, process(id))).collect();
        ClusterState { processes, in_flight: Vec::new(), invariants: Arc::default(), budget: self.budget }
    }

    fn handle(&self, state: &mut ClusterState, id: NodeId, input: Input, crash: bool) {
        let Some(process) = state.processes.get_mut(&id) else { return };
        let (raft, disk) = Arc::make_mut(process);
        let mut out = PendingOutputs::default();
        raft.handle(ZERO, input, &mut out);
        if crash {
            let early = out.crash();
            *raft = self.start_node(id, &disk.clone());
            return early.into_iter().for_each(|m| insert_unique(&mut state.in_flight, m));
        }
        let Ok(released) = out.persist(disk);
        if raft.is_leader() {
            Arc::make_mut(&mut state.invariants).check_leader(raft);
        }
        let term = raft.status().term;
        for entry in &released.committed_entries {
            Arc::make_mut(&mut state.invariants).check_commit(id, term, entry);
        }
        released.messages.into_iter().for_each(|m| insert_unique(&mut state.in_flight, m));
    }

    fn start_election(&self, state: &mut ClusterState, id: NodeId) {
        if state.processes.get(&id).is_some_and(|h| h.0.is_leader()) {
            // With a timeout of zero it has no quorum and steps down.
            self.handle(state, id, Input::Tick, false);
        }
        let before = state.in_flight.clone();
        self.handle(state, id, Input::Tick, false);
        // Pre-votes are always granted, so their messages need not be explored.
        state.in_flight = before;
        let Some(process) = state.processes.get(&id) else { return };
        let status = process.0.status();
        let consent = MessageBody::PreVoteResponse(true);
        for from in status.members.voters().filter(|v| *v != id) {
            let message = Message { from, to: id, term: Term(status.term.0 + 1), body: consent.clone() };
            self.handle(state, id, Input::Message(message), false);
        }
    }
}

impl Model for ClusterModel {
    type State = ClusterState;
    type Action = Event;

    fn initial_states(&self) -> Vec<ClusterState> {
        let mut starts = Vec::new();
        for before in &self.histories {
            let mut state = self.initial_state();
            before.iter().for_each(|e| self.step(&mut state, e));
            state.budget = self.budget;
            // Messages of earlier terms than the latest are lost, to keep the exploration small.
            let newest = state.processes.values().map(|h| h.0.status().term).max();
            state.in_flight.retain(|m| Some(m.term) >= newest);
            starts.push(state);
        }
        starts
    }

    fn actions(&self, state: &ClusterState) -> Vec<Event> {
        let mut all: Vec<Event> = state.in_flight.iter().cloned().map(Event::Deliver).collect();
        if state.budget.duplicates > 0 {
            all.extend(state.in_flight.iter().cloned().map(Event::Duplicate));
        }
        if state.budget.crashes > 0 {
            all.extend(state.in_flight.iter().cloned().map(Event::DeliverCrash));
            all.extend(state.processes.keys().map(|id| Event::Crash(*id)));
        }
        if state.budget.erasures > 0 {
            all.extend(state.processes.keys().map(|id| Event::EraseStorage(*id)));
        }
        if state.budget.losses > 0 {
            all.extend(state.processes.keys().map(|id| Event::Lose(*id)));
        }
        for (id, process) in &state.processes {
            let raft = &process.0;
            if state.budget.elections > 0 && self.candidates.contains(id) {
                all.push(Event::StartElection(*id));
            }
            if raft.is_leader() && state.budget.proposals > 0 {
                all.push(Event::Propose(*id));
            }
            if raft.is_leader() && state.budget.changes > 0 {
                let others = raft.status().members;
                let others = others.voters().filter(|v| v != id);
                all.extend(others.map(|other| Event::ChangeMembership(*id, MembershipChange::Remove(other))));
            }
        }
        all
    }

    fn step(&self, state: &mut ClusterState, event: &Event) {
        match event {
            Event::Deliver(m) | Event::DeliverCrash(m) => state.in_flight.retain(|x| x != m),
            _ => {}
        }
        let budget = &mut state.budget;
        match event {
            Event::Deliver(m) => self.handle(state, m.to, Input::Message((**m).clone()), false),
            Event::Duplicate(m) => {
                budget.duplicates -= 1;
                self.handle(state, m.to, Input::Message((**m).clone()), false);
            }
            Event::DeliverCrash(m) => {
                budget.crashes -= 1;
                self.handle(state, m.to, Input::Message((**m).clone()), true);
            }
            Event::Crash(id) => {
                budget.crashes = budget.crashes.saturating_sub(1);
                if let Some(process) = state.processes.get_mut(id) {
                    let disk = process.1.clone();
                    *process = Arc::new((self.start_node(*id, &disk), disk));
                }
            }
            Event::EraseStorage(id) => {
                budget.erasures -= 1;
                let disk = MemoryStorage(PersistentState::first(members(3)));
                let raft = self.start_node(*id, &disk);
                state.processes.insert(*id, Arc::new((raft, disk)));
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
            let (raft, disk) = &**process;
            (id, raft, disk.0.hard_state, &disk.0.entries).hash(into);
        }
        hash_unordered(&state.in_flight, into);
    }

    fn violation(&self, state: &ClusterState) -> Option<String> {
        let mut invariants = (*state.invariants).clone();
        invariants.check_log_matching(state.processes.values().map(|h| &h.0));
        invariants.violation
    }
}

const DEFAULT_BUDGET: EventBudget =
    EventBudget { elections: 2, crashes: 1, duplicates: 1, proposals: 1, changes: 0, losses: 1, erasures: 0 };

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

/// A member is elected with the vote of another; what it says besides stays on its way.
fn elected(id: u64, by: u64, term: u64, last: (u64, u64)) -> Vec<Event> {
    use beechloft_consensus::LogPosition;
    let (id, by, term) = (NodeId(id), NodeId(by), Term(term));
    let last = LogPosition { term: Term(last.0), index: Index(last.1) };
    vec![
        Event::StartElection(id),
        Event::Deliver(Arc::new(Message {
            from: id,
            to: by,
            term,
            body: MessageBody::VoteRequest { last_entry: last, leadership_transfer: false },
        })),
        Event::Deliver(Arc::new(Message { from: by, to: id, term, body: MessageBody::VoteResponse(true) })),
    ]
}

/// The paper's figure 8 with three members, up to where the first leads again: it has an entry of its first term that nobody
/// else has, and another leader's entry of a later term elections at the same place elsewhere.
fn figure_8() -> Vec<Event> {
    let mut all = elected(1, 3, 1, (0, 0));
    // The second knows the first term by its own standing in it, and takes the next.
    all.push(Event::StartElection(NodeId(2)));
    all.extend(elected(2, 3, 2, (0, 0)));
    all.push(Event::StartElection(NodeId(1)));
    all.extend(elected(1, 3, 3, (1, 1)));
    all
}

/// What the explorer starts from: nothing, a leader, and figure 8.
fn initial_histories() -> Vec<Vec<Event>> {
    vec![Vec::new(), elected(1, 2, 1, (0, 0)), figure_8()]
}

#[test]
fn invariants_hold_in_every_order_of_events() {
    let seen = run(DEFAULT_BUDGET, None, initial_histories(), limits(5, 400_000)).expect("no violation");
    println!("{seen:?}");
    assert!(seen.complete && seen.states > 10_000, "{seen:?}");
    let changes = EventBudget { changes: 2, crashes: 0, duplicates: 0, losses: 0, ..DEFAULT_BUDGET };
    let with_changes = run(changes, None, initial_histories(), limits(5, 400_000)).expect("no violation");
    println!("{with_changes:?}");
    assert!(with_changes.complete, "{with_changes:?}");
}

/// Outside CI: `cargo test --release -p beechloft-consensus --test explored -- --ignored --nocapture`.
#[test]
#[ignore = "millions of states, minutes"]
fn invariants_hold_in_every_order_of_events_deeper() {
    for (budget, depth) in [
        (DEFAULT_BUDGET, 8),
        (EventBudget { changes: 2, crashes: 0, duplicates: 0, losses: 0, ..DEFAULT_BUDGET }, 8),
    ] {
        let seen = run(budget, None, initial_histories(), Limits { depth, states: 1_500_000, threads: 8 });
        println!("{:?}", seen.expect("no violation"));
    }
}

fn find_violation(model: &ClusterModel, depth: usize) -> Counterexample<Event> {
    let found = explore(model, limits(depth, 400_000)).expect_err("the fault is found");
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
fn a_vote_sent_before_it_is_durable_is_detected() {
    let model =
        model_with_fault(Fault::VoteUnsaved, EventBudget { crashes: 1, ..ELECTIONS }, &[1, 2, 3], Vec::new());
    assert!(find_violation(&model, 8).violation.contains("two leaders"));
}

#[test]
fn entries_acknowledged_before_they_are_durable_are_detected() {
    let budget = EventBudget { elections: 1, crashes: 1, ..ELECTIONS };
    find_violation(&model_with_fault(Fault::EntriesUnsaved, budget, &[2], elected(1, 2, 1, (0, 0))), 10);
}

#[test]
fn committing_an_entry_of_an_older_term_by_its_copies_is_detected() {
    find_violation(&model_with_fault(Fault::CommitsOlderTerm, ELECTIONS, &[2], figure_8()), 12);
}

#[test]
fn an_erased_storage_under_the_old_id_is_detected() {
    let mut model =
        model_with_fault(Fault::VoteUnsaved, EventBudget { erasures: 1, ..ELECTIONS }, &[1, 2], Vec::new());
    model.fault = None;
    assert!(find_violation(&model, 8).violation.contains("two leaders"));
}

#[test]
fn two_membership_changes_at_once_are_detected() {
    let model = model_with_fault(
        Fault::ChangesTogether,
        EventBudget { changes: 2, ..ELECTIONS },
        &[1, 2, 3],
        elected(1, 2, 1, (0, 0)),
    );
    find_violation(&model, 10);
}
