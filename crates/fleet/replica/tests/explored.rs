//! Explores every order of deliveries, duplicates, losses, crashes, elections, steps of time, requests and responses of three replicas
//! and two candidates for a lease, up to a depth, with the production code. What is never delivered is lost.
//!
//! Any replica may start an election at any moment (all timeouts are zero), as in the model of `crates/fleet/consensus`. True time
//! advances by a part of a lease's TTL per step, and each process's clock by that at its own rate: the fastest and the slowest that
//! the drift bound permits, in each combination for replicas and candidates.
// Not reworked yet, see docs/ROADMAP.md.
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
/// In parts of a million; the bound that `DriftBound` has.
const PPM: u32 = 90_000;

/// How often each kind of event may still happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct EventBudget {
    elections: u8,
    crashes: u8,
    duplicates: u8,
    steps: u8,
    /// Ticks of candidates.
    ticks: u8,
    releases: u8,
    kills: u8,
    /// Replicas that are lost with their storage.
    losses: u8,
    /// Membership changes that replace a lost replica.
    changes: u8,
    /// Storages that are erased under their old ids, which must never be done.
    erasures: u8,
}

#[derive(Debug, Clone)]
struct FleetState {
    /// True time, in steps.
    steps: u32,
    replicas: BTreeMap<NodeId, Arc<(Replica, MemoryStorage)>>,
    holders: Vec<Arc<Holder>>,
    in_flight: Vec<Arc<Message>>,
    requests: Vec<Arc<(usize, Request)>>,
    responses: Vec<Arc<(usize, Response)>>,
    highest: Token,
    violation: Option<String>,
    budget: EventBudget,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Event {
    Deliver(Arc<Message>),
    Duplicate(Arc<Message>),
    /// The receiver crashes after it has handled the message and before anything is saved, and restarts.
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
    Want(usize),
    /// A candidate checks its deadlines.
    Tick(usize),
    Release(usize),
    /// A candidate's process is killed, and another one replaces it.
    Kill(usize),
    /// A replica is lost with its storage. Another one starts in its place, with its own id and an empty storage.
    Lose(NodeId),
    /// The next step of an operator at the leader: the lost replica is removed, the new one is added as a learner, then promoted.
    Change(NodeId, MembershipChange),
    /// What must never be done: the storage is erased, and the replica restarts under its old id.
    EraseStorage(NodeId),
}

struct LeaseModel {
    budget: EventBudget,
    fault: Option<Fault>,
    /// How fast the clocks of all replicas, and of all candidates, are, as a factor of the drift bound.
    rates: (f64, f64),
    /// How far true time advances per step.
    span: Duration,
    /// The initial states.
    before: Vec<Start>,
}

/// An initial state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Start {
    /// The first replica is the leader.
    LeaderElected,
    /// Also, the first candidate holds the lease, and the second was rejected and retries.
    Held,
    /// Also, the second replica is the leader after it.
    HeldAndReelected,
    /// Also, the first candidate has renewed, and the response is in flight.
    Renewed,
    /// The first candidate holds the lease, and the leader is lost with its storage. The second replica leads.
    HeldAndLost,
    /// Also, the lost replica is replaced by a new voter.
    HeldAndReplaced,
    /// The first candidate holds the lease, and the third replica has no entry of it.
    HeldByTwo,
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
        DriftBound::ppm(PPM).expect("within bounds")
    }

    fn clock(&self, rate: f64, steps: u32) -> Duration {
        let by = 1.0 + rate * f64::from(PPM) / 1e6;
        Duration::from_secs(1) + self.span.mul_f64(by) * steps
    }

    fn start_replica(&self, id: NodeId, disk: &MemoryStorage, now: Duration) -> Replica {
        let zero = Duration::ZERO;
        let set = Settings {
            election_timeout: zero,
            heartbeat_interval: zero,
            max_message_bytes: 1,
            ..Settings::default()
        };
        #[allow(unused_mut)]
        let mut replica = Replica::new(id, set, disk.0.clone(), self.drift(), 0, now).expect("a table");
        if let Some(fault) = self.fault {
            replica.inject_fault(fault);
        }
        replica
    }

    fn holder(&self, n: usize, life: u64) -> Holder {
        let name = Name::try_from("task".to_owned()).expect("a name");
        let terms = LeaseSpec { name, slots: 1, ttl_ms: TTL.as_millis() as u32 };
        #[allow(unused_mut)]
        let mut holder = Holder::new(HolderId(10 * (n as u64 + 1) + life), terms, self.drift(), 7);
        if let Some(fault) = self.fault {
            holder.inject(fault);
        }
        holder
    }

    fn new_state(&self) -> FleetState {
        let disk = MemoryStorage(PersistentState::first(members()));
        let now = self.clock(self.rates.0, 0);
        FleetState {
            steps: 0,
            replicas: replicas()
                .map(|id| (id, Arc::new((self.start_replica(id, &disk, now), disk.clone()))))
                .collect(),
            holders: (0..2).map(|n| Arc::new(self.holder(n, 0))).collect(),
            in_flight: Vec::new(),
            requests: Vec::new(),
            responses: Vec::new(),
            highest: Token::default(),
            violation: None,
            budget: self.budget,
        }
    }

    fn handle(&self, state: &mut FleetState, id: NodeId, requests: ReplicaInput, crash: bool) {
        let now = self.clock(self.rates.0, state.steps);
        let Some(host) = state.replicas.get_mut(&id) else { return };
        let (replica, disk) = Arc::make_mut(host);
        let mut out = PendingOutputs::default();
        replica.handle(now, requests, &mut out);
        if crash {
            // Nothing has budget that was not saved.
            drop(out);
            *replica = self.start_replica(id, &disk.clone(), now);
            return;
        }
        let Ok(released) = out.persist(disk);
        for output in replica.process_ready(now, released).expect("a table") {
            match output {
                ReplicaOutput::Peer(message) => insert_unique(&mut state.in_flight, message),
                ReplicaOutput::LeaseResponse(client, heard @ Response::Answer { .. }) => {
                    insert_unique(&mut state.responses, (client.0 as usize, heard));
                }
                _ => {}
            }
        }
    }

    fn handle_at_candidate(&self, state: &mut FleetState, n: usize, input: HolderInput) {
        let now = self.clock(self.rates.1, state.steps);
        for output in Arc::make_mut(&mut state.holders[n]).handle(now, input) {
            match output {
                HolderOutput::Send(request) => insert_unique(&mut state.requests, (n, request)),
                HolderOutput::Acquired(token) => {
                    if token <= state.highest {
                        state.violation.get_or_insert(format!("{token:?} is held after {:?}", state.highest));
                    }
                    state.highest = state.highest.max(token);
                }
                HolderOutput::Lost(_) | HolderOutput::Rejected(_) => {}
            }
        }
    }

    fn start_election(&self, state: &mut FleetState, id: NodeId) {
        if state.replicas.get(&id).is_some_and(|h| h.0.raft().is_leader()) {
            // With a timeout of zero it has no quorum and steps down.
            self.handle(state, id, ReplicaInput::Tick, false);
        }
        let before = state.in_flight.clone();
        self.handle(state, id, ReplicaInput::Tick, false);
        // Pre-votes are always granted, so their messages need not be explored.
        state.in_flight = before;
        let Some(host) = state.replicas.get(&id) else { return };
        let status = host.0.status();
        let term = Term(status.term.0 + 1);
        for from in status.members.voters().filter(|v| *v != id) {
            let message = Message { from, to: id, term, body: MessageBody::PreVoteResponse(true) };
            self.handle(state, id, ReplicaInput::Peer(message), false);
        }
    }

    fn lose(&self, state: &mut FleetState, id: NodeId) {
        state.replicas.remove(&id);
        let disk = MemoryStorage(PersistentState::default());
        let now = self.clock(self.rates.0, state.steps);
        state.replicas.insert(REPLACEMENT, Arc::new((self.start_replica(REPLACEMENT, &disk, now), disk)));
    }

    /// The next change at this replica, if it is the leader, to replace a lost one.
    fn next_change(&self, state: &FleetState, id: NodeId) -> Option<MembershipChange> {
        let host = state
            .replicas
            .get(&id)
            .filter(|h| h.0.raft().is_leader() && state.replicas.contains_key(&REPLACEMENT))?;
        let members = host.0.status().members;
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
    fn settle(&self, state: &mut FleetState) {
        while !state.in_flight.is_empty() {
            let message = state.in_flight.remove(0);
            self.handle(state, message.to, ReplicaInput::Peer((*message).clone()), false);
        }
    }

    fn before(&self, before: Start) -> FleetState {
        let mut state = self.new_state();
        let (first, second) = (NodeId(1), NodeId(2));
        self.start_election(&mut state, first);
        self.settle(&mut state);
        assert!(state.replicas[&first].0.raft().is_leader());
        if before == Start::LeaderElected {
            return state;
        }
        for n in 0..2 {
            self.handle_at_candidate(&mut state, n, HolderInput::Acquire);
            self.delivered(&mut state, first);
        }
        if before == Start::HeldByTwo {
            let mut without = self.new_state();
            std::mem::swap(&mut state, &mut without);
            self.start_election(&mut state, first);
            self.settle(&mut state);
            self.handle_at_candidate(&mut state, 0, HolderInput::Acquire);
            while let Some(requests) = state.requests.pop() {
                self.handle(
                    &mut state,
                    first,
                    ReplicaInput::LeaseRequest(ClientId(0), requests.1.clone()),
                    false,
                );
            }
            while !state.in_flight.is_empty() {
                let message = state.in_flight.remove(0);
                if message.to != NodeId(3) && message.from != NodeId(3) {
                    self.handle(&mut state, message.to, ReplicaInput::Peer((*message).clone()), false);
                }
            }
            while let Some(responses) = state.responses.pop() {
                self.handle_at_candidate(&mut state, responses.0, HolderInput::Response(responses.1.clone()));
            }
            self.handle_at_candidate(&mut state, 1, HolderInput::Acquire);
            assert!(state.holders[0].permit(self.clock(self.rates.1, 0)).is_some());
            return state;
        }
        let now = self.clock(self.rates.1, 0);
        assert!(state.holders[0].permit(now).is_some() && state.holders[1].permit(now).is_none());
        match before {
            Start::HeldAndReelected => {
                self.start_election(&mut state, second);
                self.settle(&mut state);
                assert!(state.replicas[&second].0.raft().is_leader());
            }
            Start::HeldAndLost | Start::HeldAndReplaced => {
                self.lose(&mut state, first);
                self.start_election(&mut state, second);
                self.settle(&mut state);
                assert!(state.replicas[&second].0.raft().is_leader());
                while let Some(change) =
                    self.next_change(&state, second).filter(|_| before == Start::HeldAndReplaced)
                {
                    self.change(&mut state, second, &change);
                    self.settle(&mut state);
                }
            }
            Start::Renewed => {
                state.steps += 1;
                self.handle_at_candidate(&mut state, 0, HolderInput::Tick);
                while let Some(requests) = state.requests.pop() {
                    self.handle(
                        &mut state,
                        first,
                        ReplicaInput::LeaseRequest(ClientId(0), requests.1.clone()),
                        false,
                    );
                }
                self.settle(&mut state);
                assert!(!state.responses.is_empty());
            }
            _ => {}
        }
        state.requests.clear();
        state
    }

    /// Delivers all requests and responses of candidates.
    fn delivered(&self, state: &mut FleetState, leader: NodeId) {
        while let Some(requests) = state.requests.pop() {
            let request = ReplicaInput::LeaseRequest(ClientId(requests.0 as u64), requests.1.clone());
            self.handle(state, leader, request, false);
        }
        self.settle(state);
        while let Some(responses) = state.responses.pop() {
            self.handle_at_candidate(state, responses.0, HolderInput::Response(responses.1.clone()));
        }
    }
}

impl Model for LeaseModel {
    type State = FleetState;
    type Action = Event;

    fn initial_states(&self) -> Vec<FleetState> {
        self.before.iter().map(|before| FleetState { budget: self.budget, ..self.before(*before) }).collect()
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
        for (id, host) in &state.replicas {
            if state.budget.changes > 0 {
                all.extend(self.next_change(state, *id).map(|change| Event::Change(*id, change)));
            }
            if state.budget.elections > 0 {
                all.push(Event::StartElection(*id));
            }
            // At other replicas a request has no effect.
            if host.0.raft().is_leader() {
                all.extend(state.requests.iter().cloned().map(|a| Event::DeliverRequest(*id, a)));
                if state.budget.duplicates > 0 {
                    all.extend(state.requests.iter().cloned().map(|a| Event::DuplicateRequest(*id, a)));
                }
                if host.0.expires_by(clock) {
                    all.push(Event::CheckClock(*id));
                }
            }
        }
        let now = self.clock(self.rates.1, state.steps);
        for (n, holder) in state.holders.iter().enumerate() {
            if holder.is_idle() {
                all.push(Event::Want(n));
            } else if state.budget.ticks > 0 && holder.next_due().is_some_and(|due| due <= now) {
                all.push(Event::Tick(n));
            }
            if state.budget.releases > 0 && holder.permit(now).is_some() {
                all.push(Event::Release(n));
            }
            if state.budget.kills > 0 {
                all.push(Event::Kill(n));
            }
        }
        all
    }

    fn step(&self, state: &mut FleetState, event: &Event) {
        let request = |a: &(usize, Request)| ReplicaInput::LeaseRequest(ClientId(a.0 as u64), a.1.clone());
        match event {
            Event::Deliver(m) => {
                state.in_flight.retain(|x| x != m);
                self.handle(state, m.to, ReplicaInput::Peer((**m).clone()), false);
            }
            Event::Duplicate(m) => {
                state.budget.duplicates -= 1;
                self.handle(state, m.to, ReplicaInput::Peer((**m).clone()), false);
            }
            Event::DeliverCrash(m) => {
                state.budget.crashes -= 1;
                state.in_flight.retain(|x| x != m);
                self.handle(state, m.to, ReplicaInput::Peer((**m).clone()), true);
            }
            Event::Crash(id) => {
                state.budget.crashes -= 1;
                let now = self.clock(self.rates.0, state.steps);
                if let Some(host) = state.replicas.get_mut(id) {
                    let disk = host.1.clone();
                    *host = Arc::new((self.start_replica(*id, &disk, now), disk));
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
            // Any input but a tick of the consensus node, with which the leader would step down.
            Event::CheckClock(id) => {
                self.handle(state, *id, ReplicaInput::ClientDisconnected(ClientId(9)), false)
            }
            Event::DeliverRequest(id, a) => {
                state.requests.retain(|x| x != a);
                self.handle(state, *id, request(a), false);
            }
            Event::DuplicateRequest(id, a) => {
                state.budget.duplicates -= 1;
                self.handle(state, *id, request(a), false);
            }
            Event::DeliverResponse(t) => {
                state.responses.retain(|x| x != t);
                self.handle_at_candidate(state, t.0, HolderInput::Response(t.1.clone()));
            }
            Event::Want(n) => self.handle_at_candidate(state, *n, HolderInput::Acquire),
            Event::Tick(n) => {
                state.budget.ticks -= 1;
                self.handle_at_candidate(state, *n, HolderInput::Tick);
            }
            Event::Release(n) => {
                state.budget.releases -= 1;
                self.handle_at_candidate(state, *n, HolderInput::Release);
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
                let disk = MemoryStorage(PersistentState::first(members()));
                let replica = self.start_replica(*id, &disk, self.clock(self.rates.0, state.steps));
                state.replicas.insert(*id, Arc::new((replica, disk)));
            }
            Event::Kill(n) => {
                state.budget.kills -= 1;
                state.holders[*n] = Arc::new(self.holder(*n, u64::from(state.budget.kills) + 1));
                // Its requests are still in flight. Responses to it are lost.
                state.responses.retain(|t| t.0 != *n);
            }
        }
    }

    fn fingerprint(&self, state: &FleetState, into: &mut FingerprintHasher) {
        (state.budget, state.steps, state.highest, &state.holders).hash(into);
        for (id, host) in &state.replicas {
            let (replica, disk) = &**host;
            (id, replica, disk.0.hard_state, &disk.0.entries).hash(into);
        }
        hash_unordered(&state.in_flight, into);
        hash_unordered(&state.requests, into);
        hash_unordered(&state.responses, into);
    }

    fn violation(&self, state: &FleetState) -> Option<String> {
        let now = self.clock(self.rates.1, state.steps);
        let valid: Vec<HolderId> =
            state.holders.iter().filter_map(|h| h.permit(now).map(|_| h.id())).collect();
        let two = (valid.len() > 1).then(|| format!("{valid:?} may act at once"));
        state.violation.clone().or(two)
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
const STARTS: [Start; 4] = [Start::LeaderElected, Start::Held, Start::HeldAndReelected, Start::Renewed];
/// Fast replicas and slow candidates, the other way round, and equal clocks.
const RATES: [(f64, f64); 3] = [(1.0, -1.0), (-1.0, 1.0), (0.0, 0.0)];

fn run(
    budget: EventBudget,
    rates: (f64, f64),
    parts: u32,
    fault: Option<Fault>,
    before: &[Start],
    limits: Limits,
) -> Result<Exploration, Counterexample<Event>> {
    explore(&LeaseModel { budget, fault, rates, span: TTL / 10 * parts, before: before.to_vec() }, limits)
}

fn limits(depth: usize, states: usize) -> Limits {
    Limits { depth, states, threads: 4 }
}

#[test]
fn at_most_one_permit_is_valid_in_every_order_of_events() {
    for (rates, parts) in RATES.into_iter().flat_map(|r| [(r, 5), (r, 4)]) {
        let seen = run(DEFAULT_BUDGET, rates, parts, None, &STARTS, limits(5, 2_000_000))
            .unwrap_or_else(|f| panic!("{f:#?}"));
        println!("{rates:?} {parts}: {seen:?}");
        assert!(seen.complete && seen.states > 10_000, "{seen:?}");
    }
}

/// Replicas that lose their storage and are replaced, from a leader on and from after a loss.
fn with_losses(limits: Limits, budget: EventBudget) {
    let starts = [Start::LeaderElected, Start::Held, Start::HeldAndLost, Start::HeldAndReplaced];
    for rates in RATES {
        let seen = run(budget, rates, 5, None, &starts, limits).unwrap_or_else(|f| panic!("{f:#?}"));
        println!("losses, {rates:?}: {seen:?}");
        assert!(seen.states > 10_000, "{seen:?}");
    }
}

const LOSSES: EventBudget =
    EventBudget { elections: 1, steps: 3, ticks: 1, kills: 1, losses: 1, changes: 3, ..NO_EVENTS };

#[test]
fn at_most_one_permit_is_valid_when_replicas_lose_their_storage() {
    with_losses(limits(5, 2_000_000), LOSSES);
}

/// Outside CI.
#[test]
#[ignore = "millions of states, minutes"]
fn at_most_one_permit_is_valid_when_replicas_lose_their_storage_deeper() {
    let wide = EventBudget { elections: 2, crashes: 1, releases: 1, ..LOSSES };
    with_losses(Limits { depth: 9, states: 1_500_000, threads: 2 }, wide);
}

#[test]
fn an_erased_storage_under_the_old_id_is_detected() {
    let budget = EventBudget { elections: 1, erasures: 1, ..NO_EVENTS };
    let found = run(budget, (0.0, 0.0), 5, None, &[Start::HeldByTwo], limits(12, 400_000));
    let found = found.expect_err("two votes of one replica are found");
    println!("{} in {} events, {} states", found.violation, found.trace.len(), found.states);
}

/// Outside CI: `cargo test --release -p beechloft-replica --test explored -- --ignored --nocapture`.
#[test]
#[ignore = "millions of states, minutes"]
fn at_most_one_permit_is_valid_in_every_order_of_events_deeper() {
    let wide = EventBudget {
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
        let seen = run(wide, rates, 5, None, &STARTS, limits).unwrap_or_else(|f| panic!("{f:#?}"));
        println!("{rates:?}: {seen:?}");
    }
    // Without crashes, duplicates and kills it goes deeper.
    let plain = EventBudget {
        elections: 1,
        crashes: 0,
        duplicates: 0,
        steps: 3,
        ticks: 2,
        releases: 0,
        kills: 0,
        ..NO_EVENTS
    };
    for rates in RATES {
        let limits = Limits { depth: 14, states: 1_500_000, threads: 8 };
        let seen = run(plain, rates, 4, None, &STARTS, limits).unwrap_or_else(|f| panic!("{f:#?}"));
        println!("plain {rates:?}: {seen:?}");
    }
}

#[test]
fn injected_faults_are_detected() {
    let plain = EventBudget {
        elections: 0,
        crashes: 0,
        duplicates: 0,
        steps: 3,
        ticks: 2,
        releases: 0,
        kills: 0,
        ..NO_EVENTS
    };
    let looks = EventBudget { steps: 1, ..plain };
    let all: [(Fault, EventBudget, u32, &[Start]); 4] = [
        (Fault::DriftIgnored, plain, 5, &[Start::Held]),
        (Fault::TtlFromArrival, EventBudget { steps: 3, ticks: 1, ..plain }, 4, &[Start::Renewed]),
        (Fault::TokenReused, EventBudget { releases: 1, ..plain }, 5, &[Start::Held]),
        (Fault::TtlNotRestartedOnElection, looks, 5, &[Start::HeldAndReelected]),
    ];
    for (fault, budget, parts, before) in all {
        let found = run(budget, (1.0, -1.0), parts, Some(fault), before, limits(12, 150_000));
        match &found {
            Err(f) => println!("{fault:?}: {} in {} events, {} states", f.violation, f.trace.len(), f.states),
            Ok(seen) => println!("{fault:?}: {seen:?}"),
        }
        assert!(found.is_err(), "{fault:?} is not detected");
    }
}
