//! Every order of deliveries, copies, crashes with and without the disk, elections, proposals and changes of three members,
//! up to a depth, with the real machines. Messages that are never delivered are lost ones.
//!
//! Time is left out in the way that allows most: all times are nought, so that any member may ask for votes at any moment,
//! whatever it has heard, and consent to stand is always had. What holds so holds whatever clocks do.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use beechloft_consensus::{
    Fault, Index, Input, MembershipChange, Message, MessageBody, NodeId, PendingOutputs, PersistentState,
    Raft, RequestId, Settings, Term,
};
use beechloft_model_checker::{Found, Limits, Model, Seen, explore};
use siphasher::sip128::SipHasher13;
use support::{Laws, Memory, members};

const NOUGHT: Duration = Duration::ZERO;

/// What may happen how often.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Left {
    stands: u8,
    crashes: u8,
    copies: u8,
    proposals: u8,
    changes: u8,
    losses: u8,
    empties: u8,
}

#[derive(Debug, Clone)]
struct World {
    /// Shared between states that differ elsewhere, like all that is large here.
    hosts: BTreeMap<NodeId, Arc<(Raft, Memory)>>,
    /// Messages on their way, each once.
    on_way: Vec<Arc<Message>>,
    laws: Arc<Laws>,
    left: Left,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Event {
    Deliver(Arc<Message>),
    /// It stays on its way: a copy comes later.
    Copy(Arc<Message>),
    /// Its receiver crashes with it handled and nothing saved, and starts again.
    DeliverCrash(Arc<Message>),
    Crash(NodeId),
    /// What must never be done: the disk is emptied, and the member starts under its old id.
    Empty(NodeId),
    /// The member is lost with its disk.
    Lose(NodeId),
    /// It gives up what it is, and asks for votes.
    Stand(NodeId),
    Propose(NodeId),
    Change(NodeId, MembershipChange),
}

struct Small {
    left: Left,
    fault: Option<Fault>,
    /// Who may ask for votes.
    may_stand: Vec<NodeId>,
    /// What has happened before the exploration begins.
    before: Vec<Vec<Event>>,
}

fn settings() -> Settings {
    // One entry a message, so that logs part at any place.
    Settings {
        election_timeout: NOUGHT,
        heartbeat_interval: NOUGHT,
        max_message_bytes: 1,
        ..Settings::default()
    }
}

impl Small {
    fn process(&self, id: NodeId, disk: &Memory) -> Raft {
        #[allow(unused_mut)]
        let mut raft = Raft::new(id, settings(), disk.0.clone(), 0, NOUGHT);
        if let Some(fault) = self.fault {
            raft.inject_fault(fault);
        }
        raft
    }

    fn new_world(&self) -> World {
        let disk = Memory(PersistentState::first(members(3)));
        let host = |id| Arc::new((self.process(id, &disk), disk.clone()));
        let hosts = members(3).voters().map(|id| (id, host(id))).collect();
        World { hosts, on_way: Vec::new(), laws: Arc::default(), left: self.left }
    }

    fn hear(&self, w: &mut World, id: NodeId, input: Input, crash: bool) {
        let Some(host) = w.hosts.get_mut(&id) else { return };
        let (raft, disk) = Arc::make_mut(host);
        let mut out = PendingOutputs::default();
        raft.handle(NOUGHT, input, &mut out);
        if crash {
            let early = out.crash();
            *raft = self.process(id, &disk.clone());
            return early.into_iter().for_each(|m| put(&mut w.on_way, m));
        }
        let Ok(released) = out.persist(disk);
        if raft.is_leader() {
            Arc::make_mut(&mut w.laws).leads(raft);
        }
        let term = raft.status().term;
        for entry in &released.committed_entries {
            Arc::make_mut(&mut w.laws).commits(id, term, entry);
        }
        released.messages.into_iter().for_each(|m| put(&mut w.on_way, m));
    }

    fn stand(&self, w: &mut World, id: NodeId) {
        if w.hosts.get(&id).is_some_and(|h| h.0.is_leader()) {
            // With no time to hear anybody it steps down.
            self.hear(w, id, Input::Tick, false);
        }
        let before = w.on_way.clone();
        self.hear(w, id, Input::Tick, false);
        // Consent to stand is always had, so its messages need not be followed.
        w.on_way = before;
        let Some(host) = w.hosts.get(&id) else { return };
        let status = host.0.status();
        let consent = MessageBody::PreVoteResponse(true);
        for from in status.members.voters().filter(|v| *v != id) {
            let message = Message { from, to: id, term: Term(status.term.0 + 1), body: consent.clone() };
            self.hear(w, id, Input::Message(message), false);
        }
    }
}

fn put(on_way: &mut Vec<Arc<Message>>, message: Message) {
    if on_way.iter().all(|m| **m != message) {
        on_way.push(Arc::new(message));
    }
}

impl Model for Small {
    type State = World;
    type Action = Event;

    fn starts(&self) -> Vec<World> {
        let mut starts = Vec::new();
        for before in &self.before {
            let mut world = self.new_world();
            before.iter().for_each(|e| self.step(&mut world, e));
            world.left = self.left;
            // What was said in earlier terms than the newest is lost: it would only be in the way.
            let newest = world.hosts.values().map(|h| h.0.status().term).max();
            world.on_way.retain(|m| Some(m.term) >= newest);
            starts.push(world);
        }
        starts
    }

    fn actions(&self, w: &World) -> Vec<Event> {
        let mut all: Vec<Event> = w.on_way.iter().cloned().map(Event::Deliver).collect();
        if w.left.copies > 0 {
            all.extend(w.on_way.iter().cloned().map(Event::Copy));
        }
        if w.left.crashes > 0 {
            all.extend(w.on_way.iter().cloned().map(Event::DeliverCrash));
            all.extend(w.hosts.keys().map(|id| Event::Crash(*id)));
        }
        if w.left.empties > 0 {
            all.extend(w.hosts.keys().map(|id| Event::Empty(*id)));
        }
        if w.left.losses > 0 {
            all.extend(w.hosts.keys().map(|id| Event::Lose(*id)));
        }
        for (id, host) in &w.hosts {
            let raft = &host.0;
            if w.left.stands > 0 && self.may_stand.contains(id) {
                all.push(Event::Stand(*id));
            }
            if raft.is_leader() && w.left.proposals > 0 {
                all.push(Event::Propose(*id));
            }
            if raft.is_leader() && w.left.changes > 0 {
                let others = raft.status().members;
                let others = others.voters().filter(|v| v != id);
                all.extend(others.map(|other| Event::Change(*id, MembershipChange::Remove(other))));
            }
        }
        all
    }

    fn step(&self, w: &mut World, event: &Event) {
        match event {
            Event::Deliver(m) | Event::DeliverCrash(m) => w.on_way.retain(|x| x != m),
            _ => {}
        }
        let left = &mut w.left;
        match event {
            Event::Deliver(m) => self.hear(w, m.to, Input::Message((**m).clone()), false),
            Event::Copy(m) => {
                left.copies -= 1;
                self.hear(w, m.to, Input::Message((**m).clone()), false);
            }
            Event::DeliverCrash(m) => {
                left.crashes -= 1;
                self.hear(w, m.to, Input::Message((**m).clone()), true);
            }
            Event::Crash(id) => {
                left.crashes = left.crashes.saturating_sub(1);
                if let Some(host) = w.hosts.get_mut(id) {
                    let disk = host.1.clone();
                    *host = Arc::new((self.process(*id, &disk), disk));
                }
            }
            Event::Empty(id) => {
                left.empties -= 1;
                let disk = Memory(PersistentState::first(members(3)));
                let raft = self.process(*id, &disk);
                w.hosts.insert(*id, Arc::new((raft, disk)));
            }
            Event::Lose(id) => {
                left.losses -= 1;
                w.hosts.remove(id);
            }
            Event::Stand(id) => {
                left.stands = left.stands.saturating_sub(1);
                self.stand(w, *id);
            }
            Event::Propose(id) => {
                left.proposals = left.proposals.saturating_sub(1);
                let command: Arc<[u8]> = Arc::from([left.proposals]);
                self.hear(w, *id, Input::Propose(RequestId(0), command), false);
            }
            Event::Change(id, change) => {
                left.changes = left.changes.saturating_sub(1);
                self.hear(w, *id, Input::ChangeMembership(RequestId(0), change.clone()), false);
            }
        }
    }

    fn print(&self, w: &World, into: &mut SipHasher13) {
        w.left.hash(into);
        w.laws.hash(into);
        for (id, host) in &w.hosts {
            let (raft, disk) = &**host;
            (id, raft, disk.0.hard_state, &disk.0.entries).hash(into);
        }
        // Whatever their order on the way.
        let of = |m: &Message| {
            let mut one = SipHasher13::new();
            m.hash(&mut one);
            one.finish()
        };
        w.on_way.iter().map(|m| of(m)).collect::<BTreeSet<u64>>().hash(into);
    }

    fn broken(&self, w: &World) -> Option<String> {
        let mut laws = (*w.laws).clone();
        laws.match_logs(w.hosts.values().map(|h| &h.0));
        laws.breach
    }
}

const SOME: Left = Left { stands: 2, crashes: 1, copies: 1, proposals: 1, changes: 0, losses: 1, empties: 0 };

fn run(
    left: Left,
    fault: Option<Fault>,
    before: Vec<Vec<Event>>,
    limits: Limits,
) -> Result<Seen, Found<Event>> {
    let may_stand = members(3).voters().collect();
    explore(&Small { left, fault, may_stand, before }, limits)
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
        Event::Stand(id),
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
/// else has, and another leader's entry of a later term stands at the same place elsewhere.
fn figure_8() -> Vec<Event> {
    let mut all = elected(1, 3, 1, (0, 0));
    // The second knows the first term by its own standing in it, and takes the next.
    all.push(Event::Stand(NodeId(2)));
    all.extend(elected(2, 3, 2, (0, 0)));
    all.push(Event::Stand(NodeId(1)));
    all.extend(elected(1, 3, 3, (1, 1)));
    all
}

/// What the explorer starts from: nothing, a leader, and figure 8.
fn starts() -> Vec<Vec<Event>> {
    vec![Vec::new(), elected(1, 2, 1, (0, 0)), figure_8()]
}

#[test]
fn every_order_of_events_keeps_the_laws() {
    let seen = run(SOME, None, starts(), limits(5, 400_000)).expect("the laws hold");
    println!("{seen:?}");
    assert!(seen.complete && seen.states > 10_000, "{seen:?}");
    let changes = Left { changes: 2, crashes: 0, copies: 0, losses: 0, ..SOME };
    let seen = run(changes, None, starts(), limits(5, 400_000)).expect("the laws hold");
    println!("{seen:?}");
    assert!(seen.complete, "{seen:?}");
}

/// Outside CI: `cargo test --release -p beechloft-consensus --test explored -- --ignored --nocapture`.
#[test]
#[ignore = "millions of states, minutes"]
fn every_order_of_events_keeps_the_laws_deeper() {
    for (left, depth) in [(SOME, 8), (Left { changes: 2, crashes: 0, copies: 0, losses: 0, ..SOME }, 8)] {
        let seen = run(left, None, starts(), Limits { depth, states: 1_500_000, threads: 8 });
        println!("{:?}", seen.expect("the laws hold"));
    }
}

fn found(small: &Small, depth: usize) -> Found<Event> {
    let found = explore(small, limits(depth, 400_000)).expect_err("the fault is found");
    println!("{:?}: {} in {} events, {} states", small.fault, found.why, found.trail.len(), found.states);
    found
}

fn has_fault(fault: Fault, left: Left, may_stand: &[u64], before: Vec<Event>) -> Small {
    let may_stand = may_stand.iter().map(|id| NodeId(*id)).collect();
    Small { left, fault: Some(fault), may_stand, before: vec![before] }
}

const STANDS: Left =
    Left { stands: 2, crashes: 0, copies: 0, proposals: 0, changes: 0, losses: 0, empties: 0 };

#[test]
fn a_vote_that_does_not_last_is_found() {
    let small = has_fault(Fault::VoteUnsaved, Left { crashes: 1, ..STANDS }, &[1, 2, 3], Vec::new());
    assert!(found(&small, 8).why.contains("two leaders"));
}

#[test]
fn entries_that_leave_before_they_last_are_found() {
    let left = Left { stands: 1, crashes: 1, ..STANDS };
    found(&has_fault(Fault::EntriesUnsaved, left, &[2], elected(1, 2, 1, (0, 0))), 10);
}

#[test]
fn an_older_terms_entry_counted_as_committed_is_found() {
    found(&has_fault(Fault::CommitsOlderTerm, STANDS, &[2], figure_8()), 12);
}

#[test]
fn an_emptied_disk_under_the_old_id_is_found() {
    let mut small = has_fault(Fault::VoteUnsaved, Left { empties: 1, ..STANDS }, &[1, 2], Vec::new());
    small.fault = None;
    assert!(found(&small, 8).why.contains("two leaders"));
}

#[test]
fn two_changes_at_once_are_found() {
    let small = has_fault(
        Fault::ChangesTogether,
        Left { changes: 2, ..STANDS },
        &[1, 2, 3],
        elected(1, 2, 1, (0, 0)),
    );
    found(&small, 10);
}
