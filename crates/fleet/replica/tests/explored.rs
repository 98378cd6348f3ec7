//! Model checking of the production code with three replicas and two candidates for a lease, in all event orders up to a depth.
//!
//! The events are deliveries, duplicates, crashes, elections, losses of storage, membership changes, requests, responses and
//! steps of time. A message that is never delivered counts as lost.
//!
//! Any replica may start an election at any time, because all timeouts are zero, as in the model of `crates/fleet/consensus`.
//! True time advances by a fraction of the lease's TTL per step. The clocks of replicas and those of candidates run at the
//! fastest and the slowest rate that the drift bound permits, or at the true rate.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]

mod support;

use std::collections::BTreeMap;
use std::hash::Hash;
use std::sync::Arc;
use std::time::Duration;

use beechloft_consensus::{
    Input, Membership, MembershipChange, Message, MessageBody, NodeId, PendingOutputs, PersistentState,
    RequestId, Settings, Term,
};
use beechloft_leases::{
    DriftBound, Fault, Holder, HolderId, HolderInput, HolderOutput, LeaseSpec, Name, Request, Response, Token,
};
use beechloft_model_checker::{
    Counterexample, Exploration, FingerprintHasher, Limits, Model, explore, hash_unordered, insert_unique,
};
use beechloft_replica::{ClientId, Replica, ReplicaInput, ReplicaOutput};
use support::MemoryStorage;

const TTL: Duration = Duration::from_millis(1_000);
/// Drift bound of the clocks, in parts per million.
const DRIFT_PPM: u32 = 90_000;

/// Remaining number of events of each kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct EventBudget {
    elections: u8,
    crashes: u8,
    duplicates: u8,
    steps: u8,
    /// Ticks of candidates that are due.
    ticks: u8,
    releases: u8,
    kills: u8,
    /// Permanent losses of a replica with its storage.
    losses: u8,
    /// Membership changes that replace a lost replica.
    changes: u8,
    /// Restarts under the old id after the storage was erased, which operators must never do.
    erasures: u8,
}

#[derive(Debug, Clone)]
struct FleetState {
    /// True time, in steps since the start.
    steps: u32,
    replicas: BTreeMap<NodeId, Arc<(Replica, MemoryStorage)>>,
    holders: Vec<Arc<Holder>>,
    in_flight: Vec<Arc<Message>>,
    requests: Vec<Arc<(usize, Request)>>,
    responses: Vec<Arc<(usize, Response)>>,
    highest_token: Token,
    violation: Option<String>,
    budget: EventBudget,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Event {
    Deliver(Arc<Message>),
    Duplicate(Arc<Message>),
    /// The receiver crashes after it has handled the message and before it saves the result, and restarts.
    DeliverCrash(Arc<Message>),
    Crash(NodeId),
    StartElection(NodeId),
    /// All clocks advance.
    AdvanceTime,
    /// A replica checks its deadlines.
    CheckClock(NodeId),
    DeliverRequest(NodeId, Arc<(usize, Request)>),
    DuplicateRequest(NodeId, Arc<(usize, Request)>),
    DeliverResponse(Arc<(usize, Response)>),
    AcquireLease(usize),
    /// A candidate checks its deadlines.
    Tick(usize),
    Release(usize),
    /// A candidate's process is killed, and another one replaces it.
    Kill(usize),
    /// A replica is lost with its storage, and a replacement with a new id and empty storage starts.
    Lose(NodeId),
    /// An operator takes the next step of a replacement at the leader. The steps remove the lost replica, add the new one as a
    /// learner, and promote it.
    Change(NodeId, MembershipChange),
    /// The storage is erased and the replica restarts under its old id, which operators must never do.
    EraseStorage(NodeId),
}

struct LeaseModel {
    budget: EventBudget,
    fault: Option<Fault>,
    /// Deviations of the clock rates of all replicas and of all candidates, in multiples of the drift bound.
    rates: (f64, f64),
    /// True time that passes per step.
    step_duration: Duration,
    /// Initial states.
    starts: Vec<Start>,
}

/// An initial state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Start {
    /// The first replica is the leader.
    LeaderElected,
    /// The first replica is the leader, the first candidate holds the lease, and the second was rejected and retries.
    Granted,
    /// As in `Granted`, and the second replica was elected since.
    GrantedThenReelected,
    /// As in `Granted`, and the first candidate has requested a renewal, whose response is in flight.
    Renewed,
    /// As in `Granted`, and the leader was lost with its storage. The second replica is the leader.
    GrantedThenLeaderLost,
    /// As in `GrantedThenLeaderLost`, and a new voter has replaced the lost replica.
    GrantedThenLeaderReplaced,
    /// The first candidate holds the lease, and the third replica does not have the log entry of the grant.
    GrantedWithoutThirdReplica,
}

/// The replica that replaces a lost one.
const REPLACEMENT: NodeId = NodeId(4);

fn members() -> Membership {
    Membership::of(replicas().map(|id| (id, String::new())))
}

fn replicas() -> impl Iterator<Item = NodeId> {
    (1..=3).map(NodeId)
}

impl LeaseModel {
    fn drift(&self) -> DriftBound {
        DriftBound::ppm(DRIFT_PPM).expect("within bounds")
    }

    fn clock(&self, rate: f64, steps: u32) -> Duration {
        let rate_factor = 1.0 + rate * f64::from(DRIFT_PPM) / 1e6;
        Duration::from_secs(1) + self.step_duration.mul_f64(rate_factor) * steps
    }

    fn start_replica(&self, id: NodeId, storage: &MemoryStorage, now: Duration) -> Replica {
        let zero = Duration::ZERO;
        let settings = Settings {
            election_timeout: zero,
            heartbeat_interval: zero,
            max_message_bytes: 1,
            ..Settings::default()
        };
        #[allow(unused_mut)]
        let mut replica =
            Replica::new(id, settings, storage.0.clone(), self.drift(), 0, now).expect("a readable snapshot");
        if let Some(fault) = self.fault {
            replica.inject_fault(fault);
        }
        replica
    }

    fn holder(&self, candidate: usize, incarnation: u64) -> Holder {
        let name = Name::try_from("task".to_owned()).expect("a name");
        let spec = LeaseSpec { name, slots: 1, ttl_ms: TTL.as_millis() as u32 };
        #[allow(unused_mut)]
        let mut holder =
            Holder::new(HolderId(10 * (candidate as u64 + 1) + incarnation), spec, self.drift(), 7);
        if let Some(fault) = self.fault {
            holder.inject(fault);
        }
        holder
    }

    fn new_state(&self) -> FleetState {
        let storage = MemoryStorage(PersistentState::first(members()));
        let now = self.clock(self.rates.0, 0);
        FleetState {
            steps: 0,
            replicas: replicas()
                .map(|id| (id, Arc::new((self.start_replica(id, &storage, now), storage.clone()))))
                .collect(),
            holders: (0..2).map(|candidate| Arc::new(self.holder(candidate, 0))).collect(),
            in_flight: Vec::new(),
            requests: Vec::new(),
            responses: Vec::new(),
            highest_token: Token::default(),
            violation: None,
            budget: self.budget,
        }
    }

    fn handle(&self, state: &mut FleetState, id: NodeId, input: ReplicaInput, crash: bool) {
        let now = self.clock(self.rates.0, state.steps);
        let Some(process) = state.replicas.get_mut(&id) else { return };
        let (replica, storage) = Arc::make_mut(process);
        let mut out = PendingOutputs::default();
        replica.handle(now, input, &mut out);
        if crash {
            // Outputs are lost with the state that was not saved.
            drop(out);
            *replica = self.start_replica(id, &storage.clone(), now);
            return;
        }
        let Ok(ready) = out.persist(storage);
        for output in replica.process_ready(now, ready).expect("a readable snapshot") {
            match output {
                ReplicaOutput::Peer(message) => insert_unique(&mut state.in_flight, message),
                ReplicaOutput::LeaseResponse(client, response @ Response::Answer { .. }) => {
                    insert_unique(&mut state.responses, (client.0 as usize, response));
                }
                _ => {}
            }
        }
    }

    fn handle_at_candidate(&self, state: &mut FleetState, candidate: usize, input: HolderInput) {
        let now = self.clock(self.rates.1, state.steps);
        for output in Arc::make_mut(&mut state.holders[candidate]).handle(now, input) {
            match output {
                HolderOutput::Send(request) => insert_unique(&mut state.requests, (candidate, request)),
                HolderOutput::Acquired(token) => {
                    if token <= state.highest_token {
                        state
                            .violation
                            .get_or_insert(format!("{token:?} is granted after {:?}", state.highest_token));
                    }
                    state.highest_token = state.highest_token.max(token);
                }
                HolderOutput::Lost(_) | HolderOutput::Rejected(_) => {}
            }
        }
    }

    fn start_election(&self, state: &mut FleetState, id: NodeId) {
        if state.replicas.get(&id).is_some_and(|process| process.0.raft().is_leader()) {
            // With timeouts of zero, a tick makes the leader step down.
            self.handle(state, id, ReplicaInput::Tick, false);
        }
        let in_flight_before = state.in_flight.clone();
        self.handle(state, id, ReplicaInput::Tick, false);
        // Pre-votes are always granted, so their messages are not explored.
        state.in_flight = in_flight_before;
        let Some(process) = state.replicas.get(&id) else { return };
        let status = process.0.status();
        let term = Term(status.term.0 + 1);
        for from in status.members.voters().filter(|voter| *voter != id) {
            let message = Message { from, to: id, term, body: MessageBody::PreVoteResponse(true) };
            self.handle(state, id, ReplicaInput::Peer(message), false);
        }
    }

    fn lose(&self, state: &mut FleetState, id: NodeId) {
        state.replicas.remove(&id);
        let storage = MemoryStorage(PersistentState::default());
        let now = self.clock(self.rates.0, state.steps);
        state
            .replicas
            .insert(REPLACEMENT, Arc::new((self.start_replica(REPLACEMENT, &storage, now), storage)));
    }

    /// Returns the next membership change that replaces a lost replica, or `None` if this replica is not the leader or none is
    /// left.
    fn next_change(&self, state: &FleetState, id: NodeId) -> Option<MembershipChange> {
        let process = state
            .replicas
            .get(&id)
            .filter(|process| process.0.raft().is_leader() && state.replicas.contains_key(&REPLACEMENT))?;
        let members = process.0.status().members;
        if let Some((lost, _)) = members.iter().find(|(id, _)| !state.replicas.contains_key(id)) {
            return Some(MembershipChange::Remove(lost));
        }
        match members.get(REPLACEMENT) {
            None => Some(MembershipChange::AddLearner(REPLACEMENT, String::new())),
            Some(new) if !new.voter => Some(MembershipChange::Promote(REPLACEMENT)),
            Some(_) => None,
        }
    }

    fn change(&self, state: &mut FleetState, id: NodeId, change: &MembershipChange) {
        self.handle(
            state,
            id,
            ReplicaInput::Raft(Input::ChangeMembership(RequestId(0), change.clone())),
            false,
        );
    }

    /// Delivers all messages between replicas in the order in which they were sent, until none is in flight.
    fn deliver_all_messages(&self, state: &mut FleetState) {
        while !state.in_flight.is_empty() {
            let message = state.in_flight.remove(0);
            self.handle(state, message.to, ReplicaInput::Peer((*message).clone()), false);
        }
    }

    fn start_state(&self, start: Start) -> FleetState {
        let mut state = self.new_state();
        let (first, second) = (NodeId(1), NodeId(2));
        self.start_election(&mut state, first);
        self.deliver_all_messages(&mut state);
        assert!(state.replicas[&first].0.raft().is_leader());
        if start == Start::LeaderElected {
            return state;
        }
        for candidate in 0..2 {
            self.handle_at_candidate(&mut state, candidate, HolderInput::Acquire);
            self.complete_requests(&mut state, first);
        }
        if start == Start::GrantedWithoutThirdReplica {
            state = self.new_state();
            self.start_election(&mut state, first);
            self.deliver_all_messages(&mut state);
            self.handle_at_candidate(&mut state, 0, HolderInput::Acquire);
            while let Some(request) = state.requests.pop() {
                self.handle(
                    &mut state,
                    first,
                    ReplicaInput::LeaseRequest(ClientId(0), request.1.clone()),
                    false,
                );
            }
            while !state.in_flight.is_empty() {
                let message = state.in_flight.remove(0);
                if message.to != NodeId(3) && message.from != NodeId(3) {
                    self.handle(&mut state, message.to, ReplicaInput::Peer((*message).clone()), false);
                }
            }
            while let Some(response) = state.responses.pop() {
                self.handle_at_candidate(&mut state, response.0, HolderInput::Response(response.1.clone()));
            }
            self.handle_at_candidate(&mut state, 1, HolderInput::Acquire);
            assert!(state.holders[0].permit(self.clock(self.rates.1, 0)).is_some());
            return state;
        }
        let now = self.clock(self.rates.1, 0);
        assert!(state.holders[0].permit(now).is_some() && state.holders[1].permit(now).is_none());
        match start {
            Start::GrantedThenReelected => {
                self.start_election(&mut state, second);
                self.deliver_all_messages(&mut state);
                assert!(state.replicas[&second].0.raft().is_leader());
            }
            Start::GrantedThenLeaderLost | Start::GrantedThenLeaderReplaced => {
                self.lose(&mut state, first);
                self.start_election(&mut state, second);
                self.deliver_all_messages(&mut state);
                assert!(state.replicas[&second].0.raft().is_leader());
                while let Some(change) =
                    self.next_change(&state, second).filter(|_| start == Start::GrantedThenLeaderReplaced)
                {
                    self.change(&mut state, second, &change);
                    self.deliver_all_messages(&mut state);
                }
            }
            Start::Renewed => {
                state.steps += 1;
                self.handle_at_candidate(&mut state, 0, HolderInput::Tick);
                while let Some(request) = state.requests.pop() {
                    self.handle(
                        &mut state,
                        first,
                        ReplicaInput::LeaseRequest(ClientId(0), request.1.clone()),
                        false,
                    );
                }
                self.deliver_all_messages(&mut state);
                assert!(!state.responses.is_empty());
            }
            _ => {}
        }
        state.requests.clear();
        state
    }

    /// Delivers all requests of candidates to the leader and all responses to the candidates.
    fn complete_requests(&self, state: &mut FleetState, leader: NodeId) {
        while let Some(request) = state.requests.pop() {
            let input = ReplicaInput::LeaseRequest(ClientId(request.0 as u64), request.1.clone());
            self.handle(state, leader, input, false);
        }
        self.deliver_all_messages(state);
        while let Some(response) = state.responses.pop() {
            self.handle_at_candidate(state, response.0, HolderInput::Response(response.1.clone()));
        }
    }
}

impl Model for LeaseModel {
    type State = FleetState;
    type Action = Event;

    fn initial_states(&self) -> Vec<FleetState> {
        self.starts
            .iter()
            .map(|start| FleetState { budget: self.budget, ..self.start_state(*start) })
            .collect()
    }

    fn actions(&self, state: &FleetState) -> Vec<Event> {
        let mut all: Vec<Event> = state.in_flight.iter().cloned().map(Event::Deliver).collect();
        all.extend(state.responses.iter().cloned().map(Event::DeliverResponse));
        if state.budget.duplicates > 0 {
            all.extend(state.in_flight.iter().cloned().map(Event::Duplicate));
        }
        if state.budget.crashes > 0 {
            all.extend(state.in_flight.iter().cloned().map(Event::DeliverCrash));
            all.extend(state.replicas.keys().map(|id| Event::Crash(*id)));
        }
        if state.budget.steps > 0 {
            all.push(Event::AdvanceTime);
        }
        let clock = self.clock(self.rates.0, state.steps);
        if state.budget.losses > 0 && !state.replicas.contains_key(&REPLACEMENT) {
            all.extend(state.replicas.keys().map(|id| Event::Lose(*id)));
        }
        if state.budget.erasures > 0 {
            all.extend(state.replicas.keys().map(|id| Event::EraseStorage(*id)));
        }
        for (id, process) in &state.replicas {
            if state.budget.changes > 0 {
                all.extend(self.next_change(state, *id).map(|change| Event::Change(*id, change)));
            }
            if state.budget.elections > 0 {
                all.push(Event::StartElection(*id));
            }
            // Requests to other replicas have no effect.
            if process.0.raft().is_leader() {
                all.extend(state.requests.iter().cloned().map(|request| Event::DeliverRequest(*id, request)));
                if state.budget.duplicates > 0 {
                    all.extend(
                        state.requests.iter().cloned().map(|request| Event::DuplicateRequest(*id, request)),
                    );
                }
                if process.0.expires_by(clock) {
                    all.push(Event::CheckClock(*id));
                }
            }
        }
        let now = self.clock(self.rates.1, state.steps);
        for (candidate, holder) in state.holders.iter().enumerate() {
            if holder.is_idle() {
                all.push(Event::AcquireLease(candidate));
            } else if state.budget.ticks > 0 && holder.next_due().is_some_and(|due| due <= now) {
                all.push(Event::Tick(candidate));
            }
            if state.budget.releases > 0 && holder.permit(now).is_some() {
                all.push(Event::Release(candidate));
            }
            if state.budget.kills > 0 {
                all.push(Event::Kill(candidate));
            }
        }
        all
    }

    fn step(&self, state: &mut FleetState, event: &Event) {
        let to_input = |request: &(usize, Request)| {
            ReplicaInput::LeaseRequest(ClientId(request.0 as u64), request.1.clone())
        };
        match event {
            Event::Deliver(message) => {
                state.in_flight.retain(|other| other != message);
                self.handle(state, message.to, ReplicaInput::Peer((**message).clone()), false);
            }
            Event::Duplicate(message) => {
                state.budget.duplicates -= 1;
                self.handle(state, message.to, ReplicaInput::Peer((**message).clone()), false);
            }
            Event::DeliverCrash(message) => {
                state.budget.crashes -= 1;
                state.in_flight.retain(|other| other != message);
                self.handle(state, message.to, ReplicaInput::Peer((**message).clone()), true);
            }
            Event::Crash(id) => {
                state.budget.crashes -= 1;
                let now = self.clock(self.rates.0, state.steps);
                if let Some(process) = state.replicas.get_mut(id) {
                    let storage = process.1.clone();
                    *process = Arc::new((self.start_replica(*id, &storage, now), storage));
                }
            }
            Event::StartElection(id) => {
                state.budget.elections -= 1;
                self.start_election(state, *id);
            }
            Event::AdvanceTime => {
                state.budget.steps -= 1;
                state.steps += 1;
            }
            // A tick would make the leader step down, so this is another input.
            Event::CheckClock(id) => {
                self.handle(state, *id, ReplicaInput::ClientDisconnected(ClientId(9)), false)
            }
            Event::DeliverRequest(id, request) => {
                state.requests.retain(|other| other != request);
                self.handle(state, *id, to_input(request), false);
            }
            Event::DuplicateRequest(id, request) => {
                state.budget.duplicates -= 1;
                self.handle(state, *id, to_input(request), false);
            }
            Event::DeliverResponse(response) => {
                state.responses.retain(|other| other != response);
                self.handle_at_candidate(state, response.0, HolderInput::Response(response.1.clone()));
            }
            Event::AcquireLease(candidate) => {
                self.handle_at_candidate(state, *candidate, HolderInput::Acquire)
            }
            Event::Tick(candidate) => {
                state.budget.ticks -= 1;
                self.handle_at_candidate(state, *candidate, HolderInput::Tick);
            }
            Event::Release(candidate) => {
                state.budget.releases -= 1;
                self.handle_at_candidate(state, *candidate, HolderInput::Release);
            }
            Event::Lose(id) => {
                state.budget.losses -= 1;
                self.lose(state, *id);
            }
            Event::Change(id, change) => {
                state.budget.changes -= 1;
                self.change(state, *id, change);
            }
            Event::EraseStorage(id) => {
                state.budget.erasures -= 1;
                let storage = MemoryStorage(PersistentState::first(members()));
                let replica = self.start_replica(*id, &storage, self.clock(self.rates.0, state.steps));
                state.replicas.insert(*id, Arc::new((replica, storage)));
            }
            Event::Kill(candidate) => {
                state.budget.kills -= 1;
                state.holders[*candidate] =
                    Arc::new(self.holder(*candidate, u64::from(state.budget.kills) + 1));
                // Requests of the killed process are still in flight. Responses to it are lost.
                state.responses.retain(|response| response.0 != *candidate);
            }
        }
    }

    fn fingerprint(&self, state: &FleetState, into: &mut FingerprintHasher) {
        (state.budget, state.steps, state.highest_token, &state.holders).hash(into);
        for (id, process) in &state.replicas {
            let (replica, storage) = &**process;
            (id, replica, storage.0.hard_state, &storage.0.entries).hash(into);
        }
        hash_unordered(&state.in_flight, into);
        hash_unordered(&state.requests, into);
        hash_unordered(&state.responses, into);
    }

    fn violation(&self, state: &FleetState) -> Option<String> {
        let now = self.clock(self.rates.1, state.steps);
        let valid: Vec<HolderId> =
            state.holders.iter().filter_map(|holder| holder.permit(now).map(|_| holder.id())).collect();
        let conflict = (valid.len() > 1).then(|| format!("{valid:?} hold valid permits at the same time"));
        state.violation.clone().or(conflict)
    }
}

const NO_EVENTS: EventBudget = EventBudget {
    elections: 0,
    crashes: 0,
    duplicates: 0,
    steps: 0,
    ticks: 0,
    releases: 0,
    kills: 0,
    losses: 0,
    changes: 0,
    erasures: 0,
};
const DEFAULT_BUDGET: EventBudget = EventBudget {
    elections: 1,
    crashes: 1,
    duplicates: 1,
    steps: 3,
    ticks: 2,
    releases: 1,
    kills: 1,
    ..NO_EVENTS
};
const STARTS: [Start; 4] =
    [Start::LeaderElected, Start::Granted, Start::GrantedThenReelected, Start::Renewed];
/// Clock rates with fast replicas and slow candidates, with the reverse, and with equal clocks.
const RATES: [(f64, f64); 3] = [(1.0, -1.0), (-1.0, 1.0), (0.0, 0.0)];

fn run(
    budget: EventBudget,
    rates: (f64, f64),
    step_tenths: u32,
    fault: Option<Fault>,
    starts: &[Start],
    limits: Limits,
) -> Result<Exploration, Counterexample<Event>> {
    explore(
        &LeaseModel { budget, fault, rates, step_duration: TTL / 10 * step_tenths, starts: starts.to_vec() },
        limits,
    )
}

fn limits(depth: usize, states: usize) -> Limits {
    Limits { depth, states, threads: 4 }
}

#[test]
fn permits_are_exclusive_in_all_event_orders() {
    for (rates, step_tenths) in RATES.into_iter().flat_map(|r| [(r, 5), (r, 4)]) {
        let exploration = run(DEFAULT_BUDGET, rates, step_tenths, None, &STARTS, limits(5, 2_000_000))
            .unwrap_or_else(|counterexample| panic!("{counterexample:#?}"));
        println!("{rates:?} {step_tenths}: {exploration:?}");
        assert!(exploration.complete && exploration.states > 10_000, "{exploration:?}");
    }
}

/// Checks that permits are exclusive while replicas lose their storage and are replaced.
fn check_storage_losses(limits: Limits, budget: EventBudget) {
    let starts = [
        Start::LeaderElected,
        Start::Granted,
        Start::GrantedThenLeaderLost,
        Start::GrantedThenLeaderReplaced,
    ];
    for rates in RATES {
        let exploration = run(budget, rates, 5, None, &starts, limits)
            .unwrap_or_else(|counterexample| panic!("{counterexample:#?}"));
        println!("losses, {rates:?}: {exploration:?}");
        assert!(exploration.states > 10_000, "{exploration:?}");
    }
}

const STORAGE_LOSSES: EventBudget =
    EventBudget { elections: 1, steps: 3, ticks: 1, kills: 1, losses: 1, changes: 3, ..NO_EVENTS };

#[test]
fn permits_are_exclusive_after_storage_losses() {
    check_storage_losses(limits(5, 2_000_000), STORAGE_LOSSES);
}

/// Does not run in CI.
#[test]
#[ignore = "explores millions of states, takes minutes"]
fn permits_are_exclusive_after_storage_losses_at_larger_depth() {
    let budget = EventBudget { elections: 2, crashes: 1, releases: 1, ..STORAGE_LOSSES };
    check_storage_losses(Limits { depth: 9, states: 1_500_000, threads: 2 }, budget);
}

#[test]
fn detects_restart_under_old_id_with_erased_storage() {
    let budget = EventBudget { elections: 1, erasures: 1, ..NO_EVENTS };
    let exploration =
        run(budget, (0.0, 0.0), 5, None, &[Start::GrantedWithoutThirdReplica], limits(12, 400_000));
    let counterexample = exploration.expect_err("two votes of one replica must be detected");
    println!(
        "{} in {} events, {} states",
        counterexample.violation,
        counterexample.trace.len(),
        counterexample.states
    );
}

/// Does not run in CI. Run it with `cargo test --release -p beechloft-replica --test explored -- --ignored --nocapture`.
#[test]
#[ignore = "explores millions of states, takes minutes"]
fn permits_are_exclusive_in_all_event_orders_at_larger_depth() {
    let budget = EventBudget {
        elections: 2,
        crashes: 2,
        duplicates: 1,
        steps: 4,
        ticks: 3,
        releases: 1,
        kills: 1,
        ..NO_EVENTS
    };
    for rates in RATES {
        let limits = Limits { depth: 8, states: 1_500_000, threads: 8 };
        let exploration = run(budget, rates, 5, None, &STARTS, limits)
            .unwrap_or_else(|counterexample| panic!("{counterexample:#?}"));
        println!("{rates:?}: {exploration:?}");
    }
    // Without crashes, duplicates and kills, the exploration reaches a larger depth.
    let without_crashes = EventBudget { elections: 1, steps: 3, ticks: 2, ..NO_EVENTS };
    for rates in RATES {
        let limits = Limits { depth: 14, states: 1_500_000, threads: 8 };
        let exploration = run(without_crashes, rates, 4, None, &STARTS, limits)
            .unwrap_or_else(|counterexample| panic!("{counterexample:#?}"));
        println!("without_crashes {rates:?}: {exploration:?}");
    }
}

#[test]
fn injected_faults_are_detected() {
    let time_only = EventBudget { steps: 3, ticks: 2, ..NO_EVENTS };
    let single_step = EventBudget { steps: 1, ..time_only };
    let cases: [(Fault, EventBudget, u32, &[Start]); 4] = [
        (Fault::DriftIgnored, time_only, 5, &[Start::Granted]),
        (Fault::TtlFromArrival, EventBudget { steps: 3, ticks: 1, ..time_only }, 4, &[Start::Renewed]),
        (Fault::TokenReused, EventBudget { releases: 1, ..time_only }, 5, &[Start::Granted]),
        (Fault::TtlNotRestartedOnElection, single_step, 5, &[Start::GrantedThenReelected]),
    ];
    for (fault, budget, step_tenths, starts) in cases {
        let result = run(budget, (1.0, -1.0), step_tenths, Some(fault), starts, limits(12, 150_000));
        match &result {
            Err(counterexample) => println!(
                "{fault:?}: {} in {} events, {} states",
                counterexample.violation,
                counterexample.trace.len(),
                counterexample.states
            ),
            Ok(exploration) => println!("{fault:?}: {exploration:?}"),
        }
        assert!(result.is_err(), "{fault:?} is not detected");
    }
}
