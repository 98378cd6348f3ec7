//! Keepers and candidates in one process under one true clock, each with a clock of its own rate; a network that loses,
//! delays and doubles; crashes, pauses, cuts. Whoever holds a permit at any true moment is known here, and nowhere else.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::time::Duration;

use beechloft_consensus::{
    Input, Membership, MembershipChange, Message, NodeId, PendingOutputs, PersistentState, RequestId,
    Settings, StateUpdate, Storage,
};
use beechloft_leases::{
    Answer, DriftBound, Fault, HandoffOffer, Holder, HolderId, HolderInput, HolderOutput, LeaderLocator,
    LeaseSpec, Name, Op, Request, Response, Token,
};
use beechloft_replica::{ClientId, Replica, ReplicaInput, ReplicaOutput};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[derive(Debug, Clone, Default)]
pub struct MemoryStorage(pub PersistentState);

impl Storage for MemoryStorage {
    type Error = Infallible;

    fn save(&mut self, save: &StateUpdate) -> Result<(), Infallible> {
        self.0.apply(save);
        Ok(())
    }
}

struct ReplicaProcess {
    replica: Replica,
    disk: MemoryStorage,
    rate: f64,
    up: bool,
    start: u32,
    /// It stands still until then, as a stopped process does, with all that comes for it waiting.
    stopped_until: Duration,
}

/// A candidate, and how it fares.
pub struct Candidate {
    pub holder: Holder,
    pub id: HolderId,
    rate: f64,
    stopped_until: Duration,
    route: LeaderLocator,
    start: u32,
    /// The entry that has it look at its clock next, and when; what was put in before is none any more.
    next_tick: (u64, Duration),
    wants: bool,
    last_token: Option<Token>,
}

enum ScheduledEvent {
    Peer(Message),
    Ask(NodeId, usize, Request),
    Tell(usize, u32, Response),
    ReplicaTick(NodeId, u32),
    CandidateTick(usize, u64),
    Restart(NodeId),
}

/// A renewal or grant that a holder heard of.
#[derive(Debug, Clone, Copy)]
struct Lived {
    token: Token,
    /// When the request was made that was answered, by true time.
    asked: Duration,
}

pub struct SimulatedFleet {
    replicas: BTreeMap<NodeId, ReplicaProcess>,
    pub candidates: Vec<Candidate>,
    pub now: Duration,
    pub lost: u32,
    pub duplicated: u32,
    pub late: u32,
    pub crash: u32,
    pub cut: BTreeSet<(NodeId, NodeId)>,
    pub deaf: BTreeSet<(usize, NodeId)>,
    pub rng: ChaCha8Rng,
    drift: DriftBound,
    off_by: f64,
    places: u16,
    ttl_ms: u32,
    set: Settings,
    fault: Option<Fault>,
    scheduled: BTreeMap<(Duration, u64), ScheduledEvent>,
    last_event_id: u64,
    /// When each request was made, by true time.
    made: BTreeMap<(HolderId, u64), Duration>,
    /// Of each holder, by true time: until when its permit lasts.
    pub violation: Option<String>,
    highest: Token,
    first_heard: BTreeMap<Token, Duration>,
    pub granted: usize,
    pub renewed: usize,
    pub lives: usize,
    /// Since when nobody holds, and the longest that ever was.
    none_since: Option<Duration>,
    pub longest_none: Duration,
    pub messages: u64,
    rogue: Option<usize>,
    /// Candidates that had a permit when they were looked at last: all others have none, as a permit comes of an input alone.
    may_hold: BTreeSet<usize>,
    /// Each two candidates, one after the other, sit in one seat.
    pub seats: bool,
    /// A replica that was lost with its disk, and the one that is to take its place.
    replacing: Option<(NodeId, NodeId)>,
    next_id: u64,
    pub replaced: usize,
}

impl SimulatedFleet {
    pub fn new(
        replicas: u64,
        candidates: usize,
        places: u16,
        seed: u64,
        fault: Option<Fault>,
    ) -> SimulatedFleet {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let ppm = 50_000;
        let members = Membership::of((1..=replicas).map(|i| (NodeId(i), format!("k{i}"))));
        let mut world = SimulatedFleet {
            replicas: BTreeMap::new(),
            candidates: Vec::new(),
            now: Duration::from_secs(1),
            lost: 0,
            duplicated: 0,
            late: 0,
            crash: 0,
            cut: BTreeSet::new(),
            deaf: BTreeSet::new(),
            drift: DriftBound::ppm(ppm).expect("within bounds"),
            off_by: f64::from(ppm) / 1e6,
            places,
            ttl_ms: 1_000,
            set: Settings {
                election_timeout: Duration::from_millis(200),
                heartbeat_interval: Duration::from_millis(50),
                ..Settings::default()
            },
            fault,
            scheduled: BTreeMap::new(),
            last_event_id: 0,
            made: BTreeMap::new(),
            violation: None,
            highest: Token(0),
            first_heard: BTreeMap::new(),
            granted: 0,
            renewed: 0,
            lives: 0,
            none_since: None,
            longest_none: Duration::ZERO,
            messages: 0,
            rogue: None,
            may_hold: BTreeSet::new(),
            seats: false,
            replacing: None,
            next_id: replicas + 1,
            replaced: 0,
            rng: ChaCha8Rng::seed_from_u64(rng.random()),
        };
        for id in members.voters() {
            let disk = MemoryStorage(PersistentState::first(members.clone()));
            let rate = world.rate();
            let replica = world.start_replica(id, &disk, rate);
            let host =
                ReplicaProcess { replica, disk, rate, up: true, start: 0, stopped_until: Duration::ZERO };
            world.replicas.insert(id, host);
            world.wake_keeper(id);
        }
        for n in 0..candidates {
            let rate = world.rate();
            let id = HolderId(1_000 + n as u64);
            let holder = world.holder(id);
            world.candidates.push(Candidate {
                holder,
                id,
                rate,
                stopped_until: Duration::ZERO,
                route: LeaderLocator::new(replicas as usize, n),
                start: 0,
                next_tick: (0, Duration::MAX),
                wants: false,
                last_token: None,
            });
        }
        world
    }

    /// Clocks are as far apart as the bound allows, or anywhere between.
    fn rate(&mut self) -> f64 {
        match self.rng.random_range(0..4) {
            0 => 1.0 - self.off_by,
            1 => 1.0 + self.off_by,
            _ => self.rng.random_range(1.0 - self.off_by..1.0 + self.off_by),
        }
    }

    fn start_replica(&mut self, id: NodeId, disk: &MemoryStorage, rate: f64) -> Replica {
        let (now, seed) = (self.now.mul_f64(rate), self.rng.random());
        let stored = disk.0.clone();
        #[allow(unused_mut)]
        let mut replica = Replica::new(id, self.set, stored, self.drift, seed, now).expect("a table");
        if let Some(fault) = self.fault {
            replica.inject_fault(fault);
        }
        replica
    }

    fn holder(&mut self, id: HolderId) -> Holder {
        let name = Name::try_from("task".to_owned()).expect("a name");
        let terms = LeaseSpec { name, slots: self.places, ttl_ms: self.ttl_ms };
        #[allow(unused_mut)]
        let mut holder = Holder::new(id, terms, self.drift, self.rng.random());
        if self.seats {
            let seat = Name::try_from(format!("seat-{}", id.0 % 1_000 / 2)).expect("a name");
            holder = holder.with_instance(seat);
        }
        if let Some(fault) = self.fault {
            holder.inject(fault);
        }
        holder
    }

    fn schedule(&mut self, after: Duration, what: ScheduledEvent) {
        self.last_event_id += 1;
        self.scheduled.insert((self.now + after, self.last_event_id), what);
    }

    fn chance(&mut self, in_thousand: u32) -> bool {
        self.rng.random_range(0..1000) < in_thousand
    }

    fn way(&mut self) -> Duration {
        let most = if self.chance(self.late) { 3_000 } else { 10 };
        Duration::from_micros(self.rng.random_range(200..most * 1000))
    }

    fn wake_keeper(&mut self, id: NodeId) {
        let host = &self.replicas[&id];
        let due = host.replica.next_due().div_f64(host.rate).saturating_sub(self.now);
        let start = host.start;
        self.schedule(due + Duration::from_micros(50), ScheduledEvent::ReplicaTick(id, start));
    }

    /// One entry at a time has a candidate look at its clock: an entry that is due earlier stands for a later one as well.
    /// Guards against entries that each put in another for ever, which grew with all that a candidate heard.
    fn wake_candidate(&mut self, n: usize) {
        let c = &self.candidates[n];
        let Some(due) = c.holder.next_due() else { return };
        let at = self.now.max(due.div_f64(c.rate)) + Duration::from_micros(50);
        if at < c.next_tick.1 {
            let after = at - self.now;
            self.schedule(after, ScheduledEvent::CandidateTick(n, self.last_event_id + 1));
            self.candidates[n].next_tick = (self.last_event_id, at);
        }
    }

    /// Lets true time pass.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.scheduled.first_entry().filter(|e| e.key().0 <= end) {
            let ((at, _), what) = entry.remove_entry();
            self.now = at;
            // A stopped process hears it when it goes on.
            let still = match &what {
                ScheduledEvent::Peer(m) => self.replicas.get(&m.to).map(|h| h.stopped_until),
                ScheduledEvent::Ask(id, ..) | ScheduledEvent::ReplicaTick(id, _) => {
                    self.replicas.get(id).map(|h| h.stopped_until)
                }
                ScheduledEvent::Tell(n, ..) | ScheduledEvent::CandidateTick(n, _) => {
                    Some(self.candidates[*n].stopped_until)
                }
                ScheduledEvent::Restart(_) => None,
            };
            if let Some(until) = still.filter(|u| *u > self.now) {
                self.schedule(until - self.now, what);
                continue;
            }
            match what {
                ScheduledEvent::Peer(message) => self.replica(message.to, ReplicaInput::Peer(message)),
                ScheduledEvent::Ask(id, n, request) => {
                    self.replica(id, ReplicaInput::LeaseRequest(ClientId(n as u64), request))
                }
                ScheduledEvent::ReplicaTick(id, start) => {
                    if self.replicas.get(&id).is_some_and(|h| h.start == start && h.up) {
                        self.replica(id, ReplicaInput::Tick);
                        self.wake_keeper(id);
                    }
                }
                ScheduledEvent::Tell(n, start, heard) => {
                    if self.candidates[n].start == start {
                        self.told(n, heard);
                    }
                }
                ScheduledEvent::CandidateTick(n, entry) => {
                    if self.candidates[n].next_tick.0 == entry {
                        self.candidates[n].next_tick.1 = Duration::MAX;
                        self.candidate(n, HolderInput::Tick);
                    }
                }
                ScheduledEvent::Restart(id) => self.restart(id),
            }
            self.watch();
            if self.violation.is_some() {
                return;
            }
        }
        self.now = end;
    }

    fn replica(&mut self, id: NodeId, asked: ReplicaInput) {
        let crash = self.chance(self.crash);
        let Some(host) = self.replicas.get_mut(&id).filter(|h| h.up) else { return };
        let local = self.now.mul_f64(host.rate);
        let mut out = PendingOutputs::default();
        host.replica.handle(local, asked, &mut out);
        if crash {
            self.stop(id);
            let after = Duration::from_millis(self.rng.random_range(1..1_500));
            return self.schedule(after, ScheduledEvent::Restart(id));
        }
        let Ok(released) = out.persist(&mut host.disk);
        let outputs = host.replica.process_ready(local, released).expect("a table");
        for output in outputs {
            match output {
                ReplicaOutput::Peer(message) => {
                    self.messages += 1;
                    if self.cut.contains(&(message.from, message.to)) || self.chance(self.lost) {
                        continue;
                    }
                    for _ in 0..1 + u32::from(self.chance(self.duplicated)) {
                        let way = self.way();
                        self.schedule(way, ScheduledEvent::Peer(message.clone()));
                    }
                }
                ReplicaOutput::LeaseResponse(client, heard) => {
                    let n = client.0 as usize;
                    if self.deaf.contains(&(n, id)) || self.chance(self.lost) {
                        continue;
                    }
                    let (way, start) = (self.way(), self.candidates[n].start);
                    self.schedule(way, ScheduledEvent::Tell(n, start, heard));
                }
                ReplicaOutput::Leases(..)
                | ReplicaOutput::LeaseEvent(_)
                | ReplicaOutput::WatchEvent(..)
                | ReplicaOutput::WatchEnded(_)
                | ReplicaOutput::TopicResponse(..)
                | ReplicaOutput::TopicRequestRejected(..)
                | ReplicaOutput::TopicEvent(_)
                | ReplicaOutput::PlacementResponse(..)
                | ReplicaOutput::PlacementRejected(..)
                | ReplicaOutput::PlacementEvent(_)
                | ReplicaOutput::QuotaResponse(..)
                | ReplicaOutput::QuotaEvent(_)
                | ReplicaOutput::Raft(..) => {}
            }
        }
    }

    pub fn stop(&mut self, id: NodeId) {
        if let Some(host) = self.replicas.get_mut(&id) {
            host.up = false;
            host.start += 1;
        }
    }

    pub fn restart(&mut self, id: NodeId) {
        let Some(host) = self.replicas.get(&id).filter(|h| !h.up) else { return };
        let (disk, rate) = (host.disk.clone(), host.rate);
        let replica = self.start_replica(id, &disk, rate);
        let host = self.replicas.get_mut(&id).expect("it is there");
        (host.replica, host.up) = (replica, true);
        self.wake_keeper(id);
    }

    /// A replica's process is stopped for a while, and goes on.
    /// A replica is lost with its disk, and another comes up in its place with an empty one. One at a time: a second loss while
    /// the group is being mended could leave it without a majority, which is no fault of anybody's.
    pub fn lose(&mut self, id: NodeId) {
        if self.replacing.is_some() || self.replicas.remove(&id).is_none() {
            return;
        }
        let new = NodeId(self.next_id);
        self.next_id += 1;
        let (disk, rate) = (MemoryStorage::default(), self.rate());
        let replica = self.start_replica(new, &disk, rate);
        let host = ReplicaProcess { replica, disk, rate, up: true, start: 0, stopped_until: Duration::ZERO };
        self.replicas.insert(new, host);
        self.wake_keeper(new);
        self.replacing = Some((id, new));
    }

    /// What an operator does after that, one step at a time, at whichever replica leads: the lost one is let go, the new one
    /// learns, then votes.
    pub fn mend_group(&mut self) {
        let (Some((old, new)), Some(leader)) = (self.replacing, self.leader()) else { return };
        let Some(host) = self.replicas.get(&leader).filter(|h| h.stopped_until <= self.now) else { return };
        let members = host.replica.status().members;
        let change = if members.get(old).is_some() {
            MembershipChange::Remove(old)
        } else {
            match members.get(new) {
                None => MembershipChange::AddLearner(new, format!("k{}", new.0)),
                Some(member) if !member.voter => MembershipChange::Promote(new),
                Some(_) => {
                    self.replaced += 1;
                    self.replacing = None;
                    return;
                }
            }
        };
        self.replica(
            leader,
            ReplicaInput::Raft(Input::ChangeMembership(RequestId(self.last_event_id), change)),
        );
    }

    pub fn pause_replica(&mut self, id: NodeId, span: Duration) {
        let until = self.now + span;
        self.replicas.entry(id).and_modify(|h| h.stopped_until = until);
    }

    /// A candidate's process is stopped for a while, and goes on.
    pub fn pause(&mut self, n: usize, span: Duration) {
        self.candidates[n].stopped_until = self.now + span;
    }

    /// The clock of a candidate; none while it is stopped.
    pub fn clock(&self, n: usize) -> Option<Duration> {
        let c = &self.candidates[n];
        (c.stopped_until <= self.now).then(|| self.now.mul_f64(c.rate))
    }

    /// A candidate's process is killed, and another starts in its place.
    pub fn kill(&mut self, n: usize) {
        let id = HolderId(self.candidates[n].id.0 + 1_000);
        let holder = self.holder(id);
        self.may_hold.remove(&n);
        let c = &mut self.candidates[n];
        (c.holder, c.id, c.last_token) = (holder, id, None);
        c.start += 1;
        if c.wants {
            self.want(n);
        }
    }

    /// A candidate that holds nothing renews what it had once, as its own machine never would. It is killed before the next
    /// one does.
    pub fn rogue(&mut self, n: usize) {
        self.kill_rogue();
        if self.holding().contains(&n) {
            return;
        }
        if let Some(token) = self.candidates[n].last_token.take() {
            let name = Name::try_from("task".to_owned()).expect("a name");
            let holder = self.candidates[n].id;
            self.rogue = Some(n);
            self.send(n, Request { holder, seq: u64::MAX / 2, op: Op::Renew { name, token } });
        }
    }

    fn kill_rogue(&mut self) {
        if let Some(n) = self.rogue.take() {
            self.kill(n);
        }
    }

    pub fn want(&mut self, n: usize) {
        self.candidates[n].wants = true;
        self.candidate(n, HolderInput::Acquire);
    }

    /// All candidates have seats from now on; none has asked for anything yet.
    pub fn seat_all(&mut self) {
        self.seats = true;
        for n in 0..self.candidates.len() {
            let holder = self.holder(self.candidates[n].id);
            self.candidates[n].holder = holder;
        }
    }

    /// Its place is left to the next one of its seat.
    pub fn leave(&mut self, n: usize, farewell: HandoffOffer) {
        self.candidates[n].wants = false;
        self.candidate(n, HolderInput::HandOff(farewell));
    }

    /// A candidate's process is killed, and another starts that wants the lease.
    pub fn start_again(&mut self, n: usize) {
        self.candidates[n].wants = true;
        self.kill(n);
    }

    pub fn give_back(&mut self, n: usize) {
        self.candidates[n].wants = false;
        self.candidate(n, HolderInput::Release);
    }

    pub fn leader(&self) -> Option<NodeId> {
        let leads = |h: &&ReplicaProcess| h.up && h.replica.raft().is_leader();
        self.replicas.values().filter(leads).map(|h| h.replica.status()).max_by_key(|s| s.term).map(|s| s.id)
    }

    pub fn replica_ids(&self) -> Vec<NodeId> {
        self.replicas.keys().copied().collect()
    }

    fn told(&mut self, n: usize, heard: Response) {
        if let Response::NotLeader(leader) = &heard {
            let ids = self.replica_ids();
            let at = leader.and_then(|l| ids.iter().position(|i| i.0 == l.0));
            self.candidates[n].route.on_not_leader(at);
        } else {
            self.candidates[n].route.on_response();
        }
        if let Response::Answer { holder, seq, answer } = heard {
            // A process that was killed in between hears nothing of what was asked before.
            let asked = self.made.get(&(holder, seq)).copied().unwrap_or_default();
            match answer {
                _ if holder != self.candidates[n].id => {}
                Answer::Granted(token, _) => self.lives(Lived { token, asked }, true),
                Answer::HeldByInstance(token, ..) => self.lives(Lived { token, asked }, false),
                Answer::Renewed(token, _) => self.lives(Lived { token, asked }, false),
                _ => {}
            }
        }
        self.candidate(n, HolderInput::Response(heard));
    }

    /// The history as holders saw it. For one place: a grant or renewal that was asked for after a higher token's grant had
    /// been heard of can't be: its lease had ended by then. And no token is anybody's twice.
    fn lives(&mut self, lived: Lived, granted: bool) {
        self.lives += 1;
        if self.places == 1
            && let Some((token, heard)) =
                self.first_heard.range(Token(lived.token.0 + 1)..).find(|(_, heard)| **heard < lived.asked)
        {
            let what = if granted { "granted" } else { "renewed" };
            let why = format!(
                "{:?} is {what} on a request of {:?}, after {token:?} was heard of at {heard:?}",
                lived.token, lived.asked
            );
            self.violation.get_or_insert(why);
        }
        if granted {
            self.first_heard.entry(lived.token).or_insert(self.now);
        }
    }

    fn candidate(&mut self, n: usize, input: HolderInput) {
        if self.candidates[n].stopped_until > self.now {
            return;
        }
        let local = self.now.mul_f64(self.candidates[n].rate);
        let outputs = self.candidates[n].holder.handle(local, input);
        if self.candidates[n].holder.permit(local).is_some() {
            self.may_hold.insert(n);
        } else {
            self.may_hold.remove(&n);
        }
        for output in outputs {
            match output {
                HolderOutput::Send(request) => self.send(n, request),
                HolderOutput::Acquired(token) => {
                    self.granted += 1;
                    self.candidates[n].last_token = Some(token);
                    if token <= self.highest && self.places == 1 {
                        let why = format!("{token:?} is held after {:?}", self.highest);
                        self.violation.get_or_insert(why);
                    }
                    self.highest = self.highest.max(token);
                    self.overlap(n);
                }
                HolderOutput::Lost(_) => {}
                HolderOutput::Rejected(why) => panic!("never: {why}"),
            }
        }
        self.wake_candidate(n);
    }

    fn send(&mut self, n: usize, request: Request) {
        let ids = self.replica_ids();
        let id = self.candidates[n].id;
        self.made.entry((id, request.seq)).or_insert(self.now);
        if matches!(request.op, Op::Renew { .. }) {
            self.renewed += 1;
        }
        let to = ids[self.candidates[n].route.next_target()];
        if self.deaf.contains(&(n, to)) || self.chance(self.lost) {
            return;
        }
        for _ in 0..1 + u32::from(self.chance(self.duplicated)) {
            let way = self.way();
            self.schedule(way, ScheduledEvent::Ask(to, n, request.clone()));
        }
    }

    /// Who may act at this true moment, a stopped process included: it might go on at any moment.
    pub fn holding(&self) -> Vec<usize> {
        self.may_hold.iter().copied().filter(|n| self.holds(*n)).collect()
    }

    fn holds(&self, n: usize) -> bool {
        let c = &self.candidates[n];
        c.holder.permit(self.now.mul_f64(c.rate)).is_some()
    }

    fn overlap(&mut self, newest: usize) {
        let all = self.holding();
        if all.len() > usize::from(self.places) {
            self.violation
                .get_or_insert(format!("{all:?} hold at once at {:?}, {newest} the newest", self.now));
        }
    }

    fn watch(&mut self) {
        if !self.may_hold.iter().any(|n| self.holds(*n)) {
            let since = *self.none_since.get_or_insert(self.now);
            self.longest_none = self.longest_none.max(self.now - since);
        } else {
            self.none_since = None;
        }
    }

    pub fn forget_longest(&mut self) {
        self.longest_none = Duration::ZERO;
        self.none_since = None;
    }

    pub fn heal(&mut self) {
        self.kill_rogue();
        (self.lost, self.duplicated, self.late, self.crash) = (0, 0, 0, 0);
        self.cut.clear();
        self.deaf.clear();
        let down: Vec<NodeId> = self.replicas.iter().filter(|(_, h)| !h.up).map(|(id, _)| *id).collect();
        down.into_iter().for_each(|id| self.restart(id));
    }
}
