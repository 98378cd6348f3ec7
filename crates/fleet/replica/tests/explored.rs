//! Every order of deliveries, copies, losses, crashes, elections, steps of clocks, requests and answers of three keepers and two
//! candidates, up to a depth, with the real machines. What is never delivered is lost.
//!
//! Any keeper may stand for election at any moment (all its spans are nought), as in the explorer of `crates/fleet/consensus`. True
//! time goes on by a part of a lease's time at once, and each process's clock by that at its own rate: the fastest and the slowest
//! that the drift allows, in each way that they can lie between keepers and candidates.
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
use support::Memory;

const TTL: Duration = Duration::from_millis(1_000);
/// In parts of a million; the bound that `DriftBound` has.
const PPM: u32 = 90_000;

/// What may happen how often.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Left {
    stands: u8,
    crashes: u8,
    copies: u8,
    steps: u8,
    /// Times that a candidate's own clock has it speak.
    ticks: u8,
    releases: u8,
    kills: u8,
    /// Keepers that are lost with their disks.
    losses: u8,
    /// Steps of the replacing of one that was lost.
    changes: u8,
    /// Disks that are emptied under their old ids, which must never be done.
    empties: u8,
}

#[derive(Debug, Clone)]
struct World {
    /// True time, in steps.
    steps: u32,
    keepers: BTreeMap<NodeId, Arc<(Replica, Memory)>>,
    holders: Vec<Arc<Holder>>,
    on_way: Vec<Arc<Message>>,
    asked: Vec<Arc<(usize, Request)>>,
    told: Vec<Arc<(usize, Response)>>,
    highest: Token,
    breach: Option<String>,
    left: Left,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Event {
    Deliver(Arc<Message>),
    Copy(Arc<Message>),
    /// Its receiver crashes with it handled and nothing saved, and starts again.
    DeliverCrash(Arc<Message>),
    Crash(NodeId),
    Stand(NodeId),
    /// All clocks go on.
    Step,
    /// A keeper looks at its clock.
    Look(NodeId),
    Ask(NodeId, Arc<(usize, Request)>),
    AskCopy(NodeId, Arc<(usize, Request)>),
    Tell(Arc<(usize, Response)>),
    Want(usize),
    /// A candidate looks at its clock.
    Tick(usize),
    GiveBack(usize),
    /// A candidate's process is killed, and another comes in its place.
    Kill(usize),
    /// A keeper is lost with its disk; another, with an id of its own and nothing on its disk, comes up in its place.
    Lose(NodeId),
    /// What an operator does next at a keeper that leads: the lost one is let go, the new one learns, then votes.
    Change(NodeId, MembershipChange),
    /// What must never be done: the disk is emptied, and the keeper starts under its old id.
    Empty(NodeId),
}

struct Small {
    left: Left,
    fault: Option<Fault>,
    /// Of all keepers, and of all candidates: by how much of the drift its clock is fast.
    rates: (f64, f64),
    /// How far true time goes on at once.
    span: Duration,
    /// What has happened before.
    before: Vec<Before>,
}

/// Where an exploration begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Before {
    /// The first keeper leads.
    Led,
    /// ... and the first candidate holds the lease, and the second has been turned away and asks again.
    Held,
    /// ... and the second keeper leads after it.
    HeldAndLedAnew,
    /// ... and the first candidate has renewed, with its answer still on the way.
    Renewed,
    /// The first candidate holds, and the leader is lost with its disk; the second keeper leads, and nobody is replaced yet.
    HeldAndLost,
    /// ... and the lost one is replaced: it learns and votes.
    HeldAndReplaced,
    /// The first candidate holds, and the third keeper has heard nothing of it.
    HeldByTwo,
}

/// The one that comes up in a lost one's place.
const NEW: NodeId = NodeId(4);

fn members() -> Membership {
    Membership::of(keepers().map(|id| (id, String::new())))
}

fn keepers() -> impl Iterator<Item = NodeId> {
    (1..=3).map(NodeId)
}

impl Small {
    fn drift(&self) -> DriftBound {
        DriftBound::ppm(PPM).expect("within bounds")
    }

    fn clock(&self, rate: f64, steps: u32) -> Duration {
        let by = 1.0 + rate * f64::from(PPM) / 1e6;
        Duration::from_secs(1) + self.span.mul_f64(by) * steps
    }

    fn process(&self, id: NodeId, disk: &Memory, now: Duration) -> Replica {
        let nought = Duration::ZERO;
        let set = Settings {
            election_timeout: nought,
            heartbeat_interval: nought,
            max_message_bytes: 1,
            ..Settings::default()
        };
        #[allow(unused_mut)]
        let mut keeper = Replica::new(id, set, disk.0.clone(), self.drift(), 0, now).expect("a table");
        if let Some(fault) = self.fault {
            keeper.inject_fault(fault);
        }
        keeper
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

    fn new_world(&self) -> World {
        let disk = Memory(PersistentState::first(members()));
        let now = self.clock(self.rates.0, 0);
        World {
            steps: 0,
            keepers: keepers()
                .map(|id| (id, Arc::new((self.process(id, &disk, now), disk.clone()))))
                .collect(),
            holders: (0..2).map(|n| Arc::new(self.holder(n, 0))).collect(),
            on_way: Vec::new(),
            asked: Vec::new(),
            told: Vec::new(),
            highest: Token::default(),
            breach: None,
            left: self.left,
        }
    }

    fn keeper(&self, w: &mut World, id: NodeId, asked: ReplicaInput, crash: bool) {
        let now = self.clock(self.rates.0, w.steps);
        let Some(host) = w.keepers.get_mut(&id) else { return };
        let (keeper, disk) = Arc::make_mut(host);
        let mut out = PendingOutputs::default();
        keeper.handle(now, asked, &mut out);
        if crash {
            // Nothing has left that was not saved.
            drop(out);
            *keeper = self.process(id, &disk.clone(), now);
            return;
        }
        let Ok(released) = out.persist(disk);
        for output in keeper.process_ready(now, released).expect("a table") {
            match output {
                ReplicaOutput::Peer(message) => insert_unique(&mut w.on_way, message),
                ReplicaOutput::LeaseResponse(client, heard @ Response::Answer { .. }) => {
                    insert_unique(&mut w.told, (client.0 as usize, heard));
                }
                _ => {}
            }
        }
    }

    fn candidate(&self, w: &mut World, n: usize, input: HolderInput) {
        let now = self.clock(self.rates.1, w.steps);
        for output in Arc::make_mut(&mut w.holders[n]).handle(now, input) {
            match output {
                HolderOutput::Send(request) => insert_unique(&mut w.asked, (n, request)),
                HolderOutput::Acquired(token) => {
                    if token <= w.highest {
                        w.breach.get_or_insert(format!("{token:?} is held after {:?}", w.highest));
                    }
                    w.highest = w.highest.max(token);
                }
                HolderOutput::Lost(_) | HolderOutput::Rejected(_) => {}
            }
        }
    }

    fn stand(&self, w: &mut World, id: NodeId) {
        if w.keepers.get(&id).is_some_and(|h| h.0.raft().is_leader()) {
            // With no time to hear anybody it steps down.
            self.keeper(w, id, ReplicaInput::Tick, false);
        }
        let before = w.on_way.clone();
        self.keeper(w, id, ReplicaInput::Tick, false);
        // Consent to stand is always had, so its messages need not be followed.
        w.on_way = before;
        let Some(host) = w.keepers.get(&id) else { return };
        let status = host.0.status();
        let term = Term(status.term.0 + 1);
        for from in status.members.voters().filter(|v| *v != id) {
            let message = Message { from, to: id, term, body: MessageBody::PreVoteResponse(true) };
            self.keeper(w, id, ReplicaInput::Peer(message), false);
        }
    }

    fn lose(&self, w: &mut World, id: NodeId) {
        w.keepers.remove(&id);
        let disk = Memory(PersistentState::default());
        let now = self.clock(self.rates.0, w.steps);
        w.keepers.insert(NEW, Arc::new((self.process(NEW, &disk, now), disk)));
    }

    /// What is to be done next at this keeper, if it leads, for one that was lost to be replaced.
    fn next_change(&self, w: &World, id: NodeId) -> Option<MembershipChange> {
        let host = w.keepers.get(&id).filter(|h| h.0.raft().is_leader() && w.keepers.contains_key(&NEW))?;
        let members = host.0.status().members;
        if let Some((lost, _)) = members.iter().find(|(id, _)| !w.keepers.contains_key(id)) {
            return Some(MembershipChange::Remove(lost));
        }
        match members.get(NEW) {
            None => Some(MembershipChange::AddLearner(NEW, String::new())),
            Some(new) if !new.voter => Some(MembershipChange::Promote(NEW)),
            Some(_) => None,
        }
    }

    fn change(&self, w: &mut World, id: NodeId, change: &MembershipChange) {
        self.keeper(w, id, ReplicaInput::Raft(Input::ChangeMembership(RequestId(0), change.clone())), false);
    }

    /// Delivers all that is on its way between keepers in the order in which it was said, until nothing is.
    fn settle(&self, w: &mut World) {
        while !w.on_way.is_empty() {
            let message = w.on_way.remove(0);
            self.keeper(w, message.to, ReplicaInput::Peer((*message).clone()), false);
        }
    }

    fn before(&self, before: Before) -> World {
        let mut w = self.new_world();
        let (first, second) = (NodeId(1), NodeId(2));
        self.stand(&mut w, first);
        self.settle(&mut w);
        assert!(w.keepers[&first].0.raft().is_leader());
        if before == Before::Led {
            return w;
        }
        for n in 0..2 {
            self.candidate(&mut w, n, HolderInput::Acquire);
            self.delivered(&mut w, first);
        }
        if before == Before::HeldByTwo {
            let mut without = self.new_world();
            std::mem::swap(&mut w, &mut without);
            self.stand(&mut w, first);
            self.settle(&mut w);
            self.candidate(&mut w, 0, HolderInput::Acquire);
            while let Some(asked) = w.asked.pop() {
                self.keeper(&mut w, first, ReplicaInput::LeaseRequest(ClientId(0), asked.1.clone()), false);
            }
            while !w.on_way.is_empty() {
                let message = w.on_way.remove(0);
                if message.to != NodeId(3) && message.from != NodeId(3) {
                    self.keeper(&mut w, message.to, ReplicaInput::Peer((*message).clone()), false);
                }
            }
            while let Some(told) = w.told.pop() {
                self.candidate(&mut w, told.0, HolderInput::Response(told.1.clone()));
            }
            self.candidate(&mut w, 1, HolderInput::Acquire);
            assert!(w.holders[0].permit(self.clock(self.rates.1, 0)).is_some());
            return w;
        }
        let now = self.clock(self.rates.1, 0);
        assert!(w.holders[0].permit(now).is_some() && w.holders[1].permit(now).is_none());
        match before {
            Before::HeldAndLedAnew => {
                self.stand(&mut w, second);
                self.settle(&mut w);
                assert!(w.keepers[&second].0.raft().is_leader());
            }
            Before::HeldAndLost | Before::HeldAndReplaced => {
                self.lose(&mut w, first);
                self.stand(&mut w, second);
                self.settle(&mut w);
                assert!(w.keepers[&second].0.raft().is_leader());
                while let Some(change) =
                    self.next_change(&w, second).filter(|_| before == Before::HeldAndReplaced)
                {
                    self.change(&mut w, second, &change);
                    self.settle(&mut w);
                }
            }
            Before::Renewed => {
                w.steps += 1;
                self.candidate(&mut w, 0, HolderInput::Tick);
                while let Some(asked) = w.asked.pop() {
                    self.keeper(
                        &mut w,
                        first,
                        ReplicaInput::LeaseRequest(ClientId(0), asked.1.clone()),
                        false,
                    );
                }
                self.settle(&mut w);
                assert!(!w.told.is_empty());
            }
            _ => {}
        }
        w.asked.clear();
        w
    }

    /// What a candidate asks is done, and it hears so.
    fn delivered(&self, w: &mut World, leader: NodeId) {
        while let Some(asked) = w.asked.pop() {
            let request = ReplicaInput::LeaseRequest(ClientId(asked.0 as u64), asked.1.clone());
            self.keeper(w, leader, request, false);
        }
        self.settle(w);
        while let Some(told) = w.told.pop() {
            self.candidate(w, told.0, HolderInput::Response(told.1.clone()));
        }
    }
}

impl Model for Small {
    type State = World;
    type Action = Event;

    fn initial_states(&self) -> Vec<World> {
        self.before.iter().map(|before| World { left: self.left, ..self.before(*before) }).collect()
    }

    fn actions(&self, w: &World) -> Vec<Event> {
        let mut all: Vec<Event> = w.on_way.iter().cloned().map(Event::Deliver).collect();
        all.extend(w.told.iter().cloned().map(Event::Tell));
        if w.left.copies > 0 {
            all.extend(w.on_way.iter().cloned().map(Event::Copy));
        }
        if w.left.crashes > 0 {
            all.extend(w.on_way.iter().cloned().map(Event::DeliverCrash));
            all.extend(w.keepers.keys().map(|id| Event::Crash(*id)));
        }
        if w.left.steps > 0 {
            all.push(Event::Step);
        }
        let clock = self.clock(self.rates.0, w.steps);
        if w.left.losses > 0 && !w.keepers.contains_key(&NEW) {
            all.extend(w.keepers.keys().map(|id| Event::Lose(*id)));
        }
        if w.left.empties > 0 {
            all.extend(w.keepers.keys().map(|id| Event::Empty(*id)));
        }
        for (id, host) in &w.keepers {
            if w.left.changes > 0 {
                all.extend(self.next_change(w, *id).map(|change| Event::Change(*id, change)));
            }
            if w.left.stands > 0 {
                all.push(Event::Stand(*id));
            }
            // To one that does not lead a request changes nothing.
            if host.0.raft().is_leader() {
                all.extend(w.asked.iter().cloned().map(|a| Event::Ask(*id, a)));
                if w.left.copies > 0 {
                    all.extend(w.asked.iter().cloned().map(|a| Event::AskCopy(*id, a)));
                }
                if host.0.expires_by(clock) {
                    all.push(Event::Look(*id));
                }
            }
        }
        let now = self.clock(self.rates.1, w.steps);
        for (n, holder) in w.holders.iter().enumerate() {
            if holder.is_idle() {
                all.push(Event::Want(n));
            } else if w.left.ticks > 0 && holder.next_due().is_some_and(|due| due <= now) {
                all.push(Event::Tick(n));
            }
            if w.left.releases > 0 && holder.permit(now).is_some() {
                all.push(Event::GiveBack(n));
            }
            if w.left.kills > 0 {
                all.push(Event::Kill(n));
            }
        }
        all
    }

    fn step(&self, w: &mut World, event: &Event) {
        let request = |a: &(usize, Request)| ReplicaInput::LeaseRequest(ClientId(a.0 as u64), a.1.clone());
        match event {
            Event::Deliver(m) => {
                w.on_way.retain(|x| x != m);
                self.keeper(w, m.to, ReplicaInput::Peer((**m).clone()), false);
            }
            Event::Copy(m) => {
                w.left.copies -= 1;
                self.keeper(w, m.to, ReplicaInput::Peer((**m).clone()), false);
            }
            Event::DeliverCrash(m) => {
                w.left.crashes -= 1;
                w.on_way.retain(|x| x != m);
                self.keeper(w, m.to, ReplicaInput::Peer((**m).clone()), true);
            }
            Event::Crash(id) => {
                w.left.crashes -= 1;
                let now = self.clock(self.rates.0, w.steps);
                if let Some(host) = w.keepers.get_mut(id) {
                    let disk = host.1.clone();
                    *host = Arc::new((self.process(*id, &disk, now), disk));
                }
            }
            Event::Stand(id) => {
                w.left.stands -= 1;
                self.stand(w, *id);
            }
            Event::Step => {
                w.left.steps -= 1;
                w.steps += 1;
            }
            // Anything that is not time for the log's machine, as that would have its leader step down.
            Event::Look(id) => self.keeper(w, *id, ReplicaInput::ClientDisconnected(ClientId(9)), false),
            Event::Ask(id, a) => {
                w.asked.retain(|x| x != a);
                self.keeper(w, *id, request(a), false);
            }
            Event::AskCopy(id, a) => {
                w.left.copies -= 1;
                self.keeper(w, *id, request(a), false);
            }
            Event::Tell(t) => {
                w.told.retain(|x| x != t);
                self.candidate(w, t.0, HolderInput::Response(t.1.clone()));
            }
            Event::Want(n) => self.candidate(w, *n, HolderInput::Acquire),
            Event::Tick(n) => {
                w.left.ticks -= 1;
                self.candidate(w, *n, HolderInput::Tick);
            }
            Event::GiveBack(n) => {
                w.left.releases -= 1;
                self.candidate(w, *n, HolderInput::Release);
            }
            Event::Lose(id) => {
                w.left.losses -= 1;
                self.lose(w, *id);
            }
            Event::Change(id, change) => {
                w.left.changes -= 1;
                self.change(w, *id, change);
            }
            Event::Empty(id) => {
                w.left.empties -= 1;
                let disk = Memory(PersistentState::first(members()));
                let keeper = self.process(*id, &disk, self.clock(self.rates.0, w.steps));
                w.keepers.insert(*id, Arc::new((keeper, disk)));
            }
            Event::Kill(n) => {
                w.left.kills -= 1;
                w.holders[*n] = Arc::new(self.holder(*n, u64::from(w.left.kills) + 1));
                // What it asked is still on its way; what it is told reaches nobody.
                w.told.retain(|t| t.0 != *n);
            }
        }
    }

    fn fingerprint(&self, w: &World, into: &mut FingerprintHasher) {
        (w.left, w.steps, w.highest, &w.holders).hash(into);
        for (id, host) in &w.keepers {
            let (keeper, disk) = &**host;
            (id, keeper, disk.0.hard_state, &disk.0.entries).hash(into);
        }
        hash_unordered(&w.on_way, into);
        hash_unordered(&w.asked, into);
        hash_unordered(&w.told, into);
    }

    fn violation(&self, w: &World) -> Option<String> {
        let now = self.clock(self.rates.1, w.steps);
        let valid: Vec<HolderId> = w.holders.iter().filter_map(|h| h.permit(now).map(|_| h.id())).collect();
        let two = (valid.len() > 1).then(|| format!("{valid:?} may act at once"));
        w.breach.clone().or(two)
    }
}

const NONE: Left = Left {
    stands: 0,
    crashes: 0,
    copies: 0,
    steps: 0,
    ticks: 0,
    releases: 0,
    kills: 0,
    losses: 0,
    changes: 0,
    empties: 0,
};
const SOME: Left =
    Left { stands: 1, crashes: 1, copies: 1, steps: 3, ticks: 2, releases: 1, kills: 1, ..NONE };
const ALL: [Before; 4] = [Before::Led, Before::Held, Before::HeldAndLedAnew, Before::Renewed];
/// Keepers fast and candidates slow, the other way round, and all alike.
const RATES: [(f64, f64); 3] = [(1.0, -1.0), (-1.0, 1.0), (0.0, 0.0)];

fn run(
    left: Left,
    rates: (f64, f64),
    parts: u32,
    fault: Option<Fault>,
    before: &[Before],
    limits: Limits,
) -> Result<Exploration, Counterexample<Event>> {
    explore(&Small { left, fault, rates, span: TTL / 10 * parts, before: before.to_vec() }, limits)
}

fn limits(depth: usize, states: usize) -> Limits {
    Limits { depth, states, threads: 4 }
}

#[test]
fn no_two_may_act_at_once_in_any_order_up_to_a_depth() {
    for (rates, parts) in RATES.into_iter().flat_map(|r| [(r, 5), (r, 4)]) {
        let seen =
            run(SOME, rates, parts, None, &ALL, limits(5, 2_000_000)).unwrap_or_else(|f| panic!("{f:#?}"));
        println!("{rates:?} {parts}: {seen:?}");
        assert!(seen.complete && seen.states > 10_000, "{seen:?}");
    }
}

/// Keepers lost with their disks and replaced, from a leader on and from after a loss.
fn with_losses(limits: Limits, left: Left) {
    let starts = [Before::Led, Before::Held, Before::HeldAndLost, Before::HeldAndReplaced];
    for rates in RATES {
        let seen = run(left, rates, 5, None, &starts, limits).unwrap_or_else(|f| panic!("{f:#?}"));
        println!("losses, {rates:?}: {seen:?}");
        assert!(seen.states > 10_000, "{seen:?}");
    }
}

const LOSSES: Left = Left { stands: 1, steps: 3, ticks: 1, kills: 1, losses: 1, changes: 3, ..NONE };

#[test]
fn no_two_may_act_at_once_though_keepers_are_lost_with_their_disks() {
    with_losses(limits(5, 2_000_000), LOSSES);
}

/// Outside CI.
#[test]
#[ignore = "millions of states, minutes"]
fn no_two_may_act_at_once_though_keepers_are_lost_far() {
    let wide = Left { stands: 2, crashes: 1, releases: 1, ..LOSSES };
    with_losses(Limits { depth: 9, states: 1_500_000, threads: 2 }, wide);
}

#[test]
fn an_emptied_disk_under_its_old_id_is_found() {
    let left = Left { stands: 1, empties: 1, ..NONE };
    let found = run(left, (0.0, 0.0), 5, None, &[Before::HeldByTwo], limits(12, 400_000));
    let found = found.expect_err("two votes of one keeper are found");
    println!("{} in {} events, {} states", found.violation, found.trace.len(), found.states);
}

/// Outside CI: `cargo test --release -p beechloft-replica --test explored -- --ignored --nocapture`.
#[test]
#[ignore = "millions of states, minutes"]
fn no_two_may_act_at_once_in_any_order_far() {
    let wide = Left { stands: 2, crashes: 2, copies: 1, steps: 4, ticks: 3, releases: 1, kills: 1, ..NONE };
    for rates in RATES {
        let limits = Limits { depth: 8, states: 1_500_000, threads: 8 };
        let seen = run(wide, rates, 5, None, &ALL, limits).unwrap_or_else(|f| panic!("{f:#?}"));
        println!("{rates:?}: {seen:?}");
    }
    // Without crashes, copies and kills it goes deeper.
    let plain = Left { stands: 1, crashes: 0, copies: 0, steps: 3, ticks: 2, releases: 0, kills: 0, ..NONE };
    for rates in RATES {
        let limits = Limits { depth: 14, states: 1_500_000, threads: 8 };
        let seen = run(plain, rates, 4, None, &ALL, limits).unwrap_or_else(|f| panic!("{f:#?}"));
        println!("plain {rates:?}: {seen:?}");
    }
}

#[test]
fn planted_faults_are_found() {
    let plain = Left { stands: 0, crashes: 0, copies: 0, steps: 3, ticks: 2, releases: 0, kills: 0, ..NONE };
    let looks = Left { steps: 1, ..plain };
    let all: [(Fault, Left, u32, &[Before]); 4] = [
        (Fault::DriftIgnored, plain, 5, &[Before::Held]),
        (Fault::TtlFromArrival, Left { steps: 3, ticks: 1, ..plain }, 4, &[Before::Renewed]),
        (Fault::TokenReused, Left { releases: 1, ..plain }, 5, &[Before::Held]),
        (Fault::TtlNotRestartedOnElection, looks, 5, &[Before::HeldAndLedAnew]),
    ];
    for (fault, left, parts, before) in all {
        let found = run(left, (1.0, -1.0), parts, Some(fault), before, limits(12, 150_000));
        match &found {
            Err(f) => println!("{fault:?}: {} in {} events, {} states", f.violation, f.trace.len(), f.states),
            Ok(seen) => println!("{fault:?}: {seen:?}"),
        }
        assert!(found.is_err(), "{fault:?} is not found");
    }
}
