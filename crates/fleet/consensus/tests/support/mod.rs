//! Members in one process under one clock, a network that loses, delays, doubles and overtakes, crashes at any moment, and
//! what must hold whatever happens.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use beechloft_consensus::{
    Chunk, Entry, Fault, Index, Input, LogPosition, Membership, MembershipChange, Message, NodeId, Payload,
    PendingOutputs, PersistentState, Raft, Ready, RequestId, Settings, SnapshotData, StateUpdate, Storage,
    Term,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A disk that keeps all of it.
#[derive(Debug, Clone, Default)]
pub struct Memory(pub PersistentState);

impl Storage for Memory {
    type Error = std::convert::Infallible;

    fn save(&mut self, save: &StateUpdate) -> Result<(), Self::Error> {
        self.0.apply(save);
        Ok(())
    }
}

/// What must hold over all members and all time. The first breach is kept.
#[derive(Debug, Clone, Default, Hash)]
pub struct Laws {
    leaders: BTreeMap<Term, NodeId>,
    /// In which term each place was first committed.
    committed_in: BTreeMap<Index, Term>,
    /// What was committed, by place.
    pub committed: BTreeMap<Index, Entry>,
    pub breach: Option<String>,
}

impl Laws {
    fn breaks(&mut self, why: String) {
        self.breach.get_or_insert(why);
    }

    /// Election safety: at most one leader in a term. Leader completeness: it has all that was committed before its term.
    pub fn leads(&mut self, raft: &Raft) {
        let (id, term) = (raft.status().id, raft.status().term);
        let known = self.leaders.contains_key(&term);
        let first = *self.leaders.entry(term).or_insert(id);
        if first != id {
            self.breaks(format!("two leaders in {term:?}: {first} and {id}"));
        }
        if known {
            return;
        }
        for (index, entry) in &self.committed {
            let before = self.committed_in.get(index).is_some_and(|t| *t < term);
            if before && *index >= raft.first_index() && raft.entry(*index) != Some(entry) {
                let why = format!("{id} leads in {term:?} without {:?}, which was committed", entry.at);
                return self.breaks(why);
            }
        }
    }

    /// State-machine safety: one entry at a place, for ever.
    pub fn commits(&mut self, id: NodeId, term: Term, entry: &Entry) {
        match self.committed.get(&entry.at.index) {
            Some(other) if other != entry => {
                let (a, b) = (other.at, entry.at);
                self.breaks(format!("{id} commits {b:?} where {a:?} was committed"));
            }
            Some(_) => {}
            None => {
                self.committed.insert(entry.at.index, entry.clone());
                self.committed_in.insert(entry.at.index, term);
            }
        }
    }

    /// The last place that anybody has committed.
    pub fn last(&self) -> Index {
        self.committed.last_key_value().map_or(Index(0), |e| *e.0)
    }

    /// Log matching: where two logs have the same place and term, all before it is the same.
    pub fn match_logs<'a>(&mut self, all: impl Iterator<Item = &'a Raft> + Clone) {
        for a in all.clone() {
            for b in all.clone() {
                let (sa, sb) = (a.status(), b.status());
                if sa.id >= sb.id {
                    continue;
                }
                let mut same = false;
                let mut at = sa.last.index.min(sb.last.index);
                while at >= a.first_index().max(b.first_index()) && at.0 > 0 {
                    let (Some(x), Some(y)) = (a.entry(at), b.entry(at)) else { break };
                    if same && x != y {
                        self.breaks(format!(
                            "logs of {} and {} differ at {at:?} below a match",
                            sa.id, sb.id
                        ));
                    }
                    same |= x.at == y.at;
                    at = Index(at.0 - 1);
                }
            }
        }
    }
}

pub struct Host {
    pub raft: Raft,
    pub disk: Memory,
    pub up: bool,
    /// Its clock runs at this rate.
    pub rate: f64,
    start: u32,
    /// How far its replicated state goes, and what it comes to.
    pub applied: Index,
    pub state: u64,
}

enum Ahead {
    Deliver(Message),
    Tick(NodeId, u32),
    Restart(NodeId),
}

/// How much goes wrong, in a thousand.
#[derive(Debug, Clone, Copy)]
pub struct Weather {
    pub lost: u32,
    pub doubled: u32,
    pub late: u32,
    /// A crash right after an input, before its save.
    pub crash: u32,
}

pub struct Cluster {
    pub hosts: BTreeMap<NodeId, Host>,
    pub now: Duration,
    pub laws: Laws,
    pub weather: Weather,
    /// Nothing goes from the one to the other.
    pub cut: BTreeSet<(NodeId, NodeId)>,
    pub dice: ChaCha8Rng,
    pub settings: Settings,
    fault: Option<Fault>,
    ahead: BTreeMap<(Duration, u64), Ahead>,
    put: u64,
    tickets: u64,
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

impl Cluster {
    pub fn new(voters: u64, seed: u64, fault: Option<Fault>) -> Cluster {
        let mut cluster = Cluster {
            hosts: BTreeMap::new(),
            now: Duration::ZERO,
            laws: Laws::default(),
            weather: Weather { lost: 0, doubled: 0, late: 0, crash: 0 },
            cut: BTreeSet::new(),
            dice: ChaCha8Rng::seed_from_u64(seed),
            settings: settings(),
            fault,
            ahead: BTreeMap::new(),
            put: 0,
            tickets: 0,
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
        let rate = self.dice.random_range(0.95..1.05);
        let disk = Memory(stored);
        let raft = self.process(id, &disk, rate);
        let host = Host { raft, disk, up: true, rate, start: 0, applied: Index(0), state: 0 };
        self.hosts.insert(id, host);
        self.wake(id);
    }

    fn process(&mut self, id: NodeId, disk: &Memory, rate: f64) -> Raft {
        let now = self.now.mul_f64(rate);
        #[allow(unused_mut)]
        let mut raft = Raft::new(id, self.settings, disk.0.clone(), self.dice.random(), now);
        if let Some(fault) = self.fault {
            raft.inject_fault(fault);
        }
        raft
    }

    fn put(&mut self, after: Duration, what: Ahead) {
        self.put += 1;
        self.ahead.insert((self.now + after, self.put), what);
    }

    fn wake(&mut self, id: NodeId) {
        let host = &self.hosts[&id];
        let due = host.raft.next_due().div_f64(host.rate);
        let start = host.start;
        self.put(due.saturating_sub(self.now) + Duration::from_micros(1), Ahead::Tick(id, start));
    }

    fn chance(&mut self, in_thousand: u32) -> bool {
        self.dice.random_range(0..1000) < in_thousand
    }

    fn send(&mut self, message: Message) {
        self.messages += 1;
        if self.cut.contains(&(message.from, message.to)) || self.chance(self.weather.lost) {
            return;
        }
        let copies = 1 + u32::from(self.chance(self.weather.doubled));
        for _ in 0..copies {
            let most = if self.chance(self.weather.late) { 2_000 } else { 20 };
            let after = Duration::from_micros(self.dice.random_range(200..most * 1000));
            self.put(after, Ahead::Deliver(message.clone()));
        }
    }

    /// Lets time pass.
    pub fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.ahead.first_entry().filter(|e| e.key().0 <= end) {
            let ((at, _), what) = entry.remove_entry();
            self.now = at;
            match what {
                Ahead::Deliver(message) => {
                    let to = message.to;
                    self.hear(to, Input::Message(message));
                }
                Ahead::Tick(id, start) if self.hosts.get(&id).is_some_and(|h| h.start == start && h.up) => {
                    self.hear(id, Input::Tick);
                    self.wake(id);
                }
                Ahead::Tick(..) => {}
                Ahead::Restart(id) => self.restart(id),
            }
            if self.laws.breach.is_some() {
                return;
            }
        }
        self.now = end;
    }

    pub fn hear(&mut self, id: NodeId, input: Input) {
        let crash = self.chance(self.weather.crash);
        let Some(host) = self.hosts.get_mut(&id).filter(|h| h.up) else { return };
        let mut out = PendingOutputs::default();
        host.raft.handle(self.now.mul_f64(host.rate), input, &mut out);
        if crash {
            for message in out.crash() {
                self.send(message);
            }
            self.stop(id);
            let after = Duration::from_millis(self.dice.random_range(1..2_000));
            return self.put(after, Ahead::Restart(id));
        }
        let Ok(released) = out.persist(&mut host.disk);
        if host.raft.is_leader() {
            self.laws.leads(&host.raft);
        }
        self.take(id, released);
    }

    fn take(&mut self, id: NodeId, released: Ready) {
        let Ready {
            messages,
            installed_snapshot: restored,
            committed_entries: committed,
            proposals: _,
            reads,
            membership: _,
        } = released;
        let host = self.hosts.get_mut(&id).expect("it spoke");
        let term = host.raft.status().term;
        if let Some(snapshot) = restored {
            host.applied = snapshot.at.index;
            host.state = state_of(&snapshot.state);
        }
        for entry in &committed {
            if entry.at.index <= host.applied {
                continue;
            }
            if entry.at.index != Index(host.applied.0 + 1) {
                self.laws.breach.get_or_insert(format!("{id} skips to {:?}", entry.at));
            }
            host.applied = entry.at.index;
            host.state = fold(host.state, entry);
            self.laws.commits(id, term, entry);
        }
        let (applied, state) = (host.applied, host.state);
        let expected = self.laws.committed.range(..=applied).fold(0, |s, (_, e)| fold(s, e));
        if applied.0 as usize == self.laws.committed.range(..=applied).count() && state != expected {
            self.laws.breach.get_or_insert(format!("{id}'s state at {applied:?} is another's"));
        }
        for (ticket, answer) in reads {
            let before = self.reads.remove(&ticket);
            if let (Ok(()), Some(before)) = (answer, before) {
                self.read += 1;
                if applied < before {
                    let why = format!("{id} reads at {applied:?} what was {before:?} when it was asked");
                    self.laws.breach.get_or_insert(why);
                }
            }
        }
        messages.into_iter().for_each(|m| self.send(m));
    }

    pub fn stop(&mut self, id: NodeId) {
        if let Some(host) = self.hosts.get_mut(&id) {
            host.up = false;
            host.start += 1;
        }
    }

    pub fn restart(&mut self, id: NodeId) {
        let Some(host) = self.hosts.get(&id).filter(|h| !h.up) else { return };
        let (disk, rate) = (host.disk.clone(), host.rate);
        let raft = self.process(id, &disk, rate);
        let host = self.hosts.get_mut(&id).expect("it is there");
        (host.applied, host.state) =
            raft.snapshot().map_or((Index(0), 0), |s| (s.at.index, state_of(&s.state)));
        (host.raft, host.up) = (raft, true);
        self.wake(id);
    }

    /// Its disk is lost: it never comes back.
    pub fn lose(&mut self, id: NodeId) {
        self.hosts.remove(&id);
    }

    pub fn leader(&self) -> Option<NodeId> {
        let leads = |h: &&Host| h.up && h.raft.is_leader();
        self.hosts.values().filter(leads).max_by_key(|h| h.raft.status().term).map(|h| h.raft.status().id)
    }

    pub fn ticket(&mut self) -> RequestId {
        self.tickets += 1;
        RequestId(self.tickets)
    }

    /// Asks a member to take a command.
    pub fn propose(&mut self, id: NodeId) {
        let ticket = self.ticket();
        let command: Arc<[u8]> = ticket.0.to_be_bytes().into();
        self.hear(id, Input::Propose(ticket, command));
    }

    /// Asks a member to read.
    pub fn ask(&mut self, id: NodeId) {
        let ticket = self.ticket();
        self.reads.insert(ticket, self.laws.last());
        self.hear(id, Input::Read(ticket));
    }

    pub fn change(&mut self, change: MembershipChange) {
        if let Some(leader) = self.leader() {
            let ticket = self.ticket();
            self.hear(leader, Input::ChangeMembership(ticket, change));
        }
    }

    /// Takes a snapshot of a member's state.
    pub fn compact(&mut self, id: NodeId) {
        let Some(host) = self.hosts.get(&id) else { return };
        let (applied, state) = (host.applied, host.state.to_be_bytes());
        // In two pieces, of which one changes each time.
        let state = [Chunk::new(&b"state"[..]), Chunk::new(state.to_vec())].to_vec();
        self.hear(id, Input::Compact(applied, SnapshotData::new(state)));
    }

    /// Members as the newest leader has them.
    pub fn membership(&self) -> Membership {
        self.leader().map(|l| self.hosts[&l].raft.status().members).unwrap_or_default()
    }

    pub fn check_logs(&mut self) {
        let hosts = &self.hosts;
        self.laws.match_logs(hosts.values().map(|h| &h.raft));
    }

    /// All goes well from now on.
    pub fn heal(&mut self) {
        self.weather = Weather { lost: 0, doubled: 0, late: 0, crash: 0 };
        self.cut.clear();
        let down: Vec<NodeId> = self.hosts.iter().filter(|(_, h)| !h.up).map(|(id, _)| *id).collect();
        down.into_iter().for_each(|id| self.restart(id));
    }
}

fn fold(state: u64, entry: &Entry) -> u64 {
    let of = match &entry.payload {
        Payload::Command(c) => c.iter().fold(7, |h: u64, b| h.wrapping_mul(31).wrapping_add(u64::from(*b))),
        Payload::Noop => 1,
        Payload::Membership(m) => 2 + m.iter().count() as u64,
    };
    let LogPosition { term, index } = entry.at;
    (state ^ of ^ (term.0 << 32) ^ index.0).wrapping_mul(0x0100_0000_01b3)
}

fn state_of(state: &SnapshotData) -> u64 {
    let bytes = state.to_bytes();
    bytes.strip_prefix(b"state").and_then(|b| b.try_into().ok()).map_or(0, u64::from_be_bytes)
}
