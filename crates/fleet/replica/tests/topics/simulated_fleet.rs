//! Keepers with their real machines, subscribers and publishers, in one process under one true clock, each with a clock of its own
//! rate; a network that loses, delays and doubles between replicas and from publishers, and connections of subscribers that break.
//! What the log says is known here from what replicas commit, and applied beside, plainly.

use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::time::Duration;

use beechloft_consensus::{
    Input, Membership, MembershipChange, Message, NodeId, Payload, PendingOutputs, PersistentState,
    RequestError, RequestId, Settings, StateUpdate, Storage,
};
use beechloft_leases::{DriftBound, LeaderLocator, Name};
use beechloft_replica::{ClientId, Command, Replica, ReplicaInput, ReplicaOutput};
use beechloft_topic::{
    Delivery, Expect, Fault, Feed, FeedItem, Key, Offset, Outcome, Position, Publisher, PublisherId,
    PublisherInput, PublisherOutput, PublisherSettings, PublisherTicket, Record, Subscriber, SubscriberInput,
    SubscriberOutput, SubscriberSettings, TopicCommand, TopicConfig, TopicEvent, TopicOp, TopicRequest,
    TopicResponse, Topics, Value,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[derive(Debug, Clone, Default)]
struct MemoryStorage(PersistentState);

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
    stopped_until: Duration,
    /// By subscriber: the number of its subscription, the feed, and when the last word of it arrives.
    feeds: BTreeMap<usize, (u64, Feed, Duration)>,
}

pub struct Sub {
    pub machine: Subscriber,
    on: Option<(NodeId, u64)>,
    last: BTreeMap<Key, Offset>,
    asleep_until: Duration,
    at: usize,
    checked: Option<Offset>,
    pub anew: usize,
    pub behind: usize,
}

pub struct Pub {
    machine: Publisher,
    route: LeaderLocator,
    life: u64,
}

enum ScheduledEvent {
    Peer(Message),
    ReplicaTick(NodeId, u32),
    Restart(NodeId),
    Ask(NodeId, usize, TopicRequest),
    Answer(usize, u64, Result<TopicResponse, Option<usize>>),
    Subscribe(NodeId, usize, u64, Option<Position>, u64),
    Allow(NodeId, usize, u64, u64),
    Told(usize, Delivery),
    Broken(usize, u64),
    SubTick(usize),
    PubTick(usize, u64),
    Still(NodeId, u32),
}

pub struct SimulatedFleet {
    replicas: BTreeMap<NodeId, ReplicaProcess>,
    pub subs: Vec<Sub>,
    pub pubs: Vec<Pub>,
    pub now: Duration,
    pub lost: u32,
    pub duplicated: u32,
    pub late: u32,
    pub crash: u32,
    pub cut: BTreeSet<(NodeId, NodeId)>,
    pub rng: ChaCha8Rng,
    drift: DriftBound,
    set: Settings,
    fault: Option<Fault>,
    scheduled: BTreeMap<(Duration, u64), ScheduledEvent>,
    last_event_id: u64,
    /// What the log says, by place, and how far it was applied here.
    log: BTreeMap<u64, Payload>,
    reference: Topics,
    applied: u64,
    pub messages: Vec<(Key, Option<Vec<u8>>)>,
    tags: BTreeMap<u64, Offset>,
    pub outcomes: BTreeMap<u64, Option<(Key, bool, Outcome)>>,
    wanted: BTreeMap<u64, (Key, bool)>,
    tickets: u64,
    pub violation: Option<String>,
    replacing: Option<(NodeId, NodeId)>,
    next_id: u64,
    pub replaced: usize,
    pub caught_up: usize,
    pub horizons: usize,
    pub restored: usize,
}

pub fn name() -> Name {
    Name::try_from("fleet/test".to_owned()).expect("a name")
}

fn key(n: usize) -> Key {
    Key::new(format!("k{n}").as_bytes()).expect("a key")
}

fn tag(value: &[u8]) -> Option<u64> {
    let end = value.iter().position(|b| *b == b':')?;
    std::str::from_utf8(&value[..end]).ok()?.parse().ok()
}

impl SimulatedFleet {
    pub fn new(replicas: u64, subs: usize, pubs: usize, seed: u64, fault: Option<Fault>) -> SimulatedFleet {
        let members = Membership::of((1..=replicas).map(|i| (NodeId(i), format!("k{i}"))));
        let set = Settings {
            election_timeout: Duration::from_millis(200),
            heartbeat_interval: Duration::from_millis(50),
            ..Settings::default()
        };
        let mut fleet = SimulatedFleet {
            replicas: BTreeMap::new(),
            subs: Vec::new(),
            pubs: Vec::new(),
            now: Duration::from_secs(1),
            lost: 0,
            duplicated: 0,
            late: 0,
            crash: 0,
            cut: BTreeSet::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            drift: DriftBound::ppm(50_000).expect("within bounds"),
            set,
            fault,
            scheduled: BTreeMap::new(),
            last_event_id: 0,
            log: BTreeMap::new(),
            reference: Topics::default(),
            applied: 0,
            messages: Vec::new(),
            tags: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            wanted: BTreeMap::new(),
            tickets: 0,
            violation: None,
            replacing: None,
            next_id: replicas + 1,
            replaced: 0,
            caught_up: 0,
            horizons: 0,
            restored: 0,
        };
        for id in members.voters() {
            fleet.add(id, MemoryStorage(PersistentState::first(members.clone())));
        }
        for n in 0..subs {
            let settings = SubscriberSettings {
                window_bytes: [20_000, 256 << 10][n % 2],
                unresponsive_timeout: Duration::from_millis(1_500),
                max_staleness: Duration::from_secs(2),
                retry_backoff: (Duration::from_millis(50), Duration::from_secs(1)),
            };
            let machine = Subscriber::new(name(), settings, seed + n as u64);
            let (last, asleep_until) = (BTreeMap::new(), Duration::ZERO);
            fleet.subs.push(Sub {
                machine,
                on: None,
                last,
                asleep_until,
                at: n,
                checked: None,
                anew: 0,
                behind: 0,
            });
            fleet.subscriber(n, SubscriberInput::Start);
        }
        for n in 0..pubs {
            let pubs = fleet.publisher(n, 0);
            fleet.pubs.push(pubs);
        }
        fleet
    }

    fn rate(&mut self) -> f64 {
        [0.95, 1.0, 1.05][self.rng.random_range(0..3)]
    }

    fn add(&mut self, id: NodeId, disk: MemoryStorage) {
        let rate = self.rate();
        let replica = self.start_replica(id, &disk, rate);
        let (stopped_until, feeds) = (Duration::ZERO, BTreeMap::new());
        self.replicas
            .insert(id, ReplicaProcess { replica, disk, rate, up: true, start: 0, stopped_until, feeds });
        self.wake_keeper(id);
        self.later(Duration::from_millis(500), ScheduledEvent::Still(id, 0));
    }

    fn start_replica(&mut self, id: NodeId, disk: &MemoryStorage, rate: f64) -> Replica {
        let (now, seed) = (self.now.mul_f64(rate), self.rng.random());
        let mut replica = Replica::new(id, self.set, disk.0.clone(), self.drift, seed, now).expect("a state");
        if let Some(fault) = self.fault {
            replica.inject_fault(fault);
        }
        replica
    }

    fn publisher(&mut self, n: usize, life: u64) -> Pub {
        let settings = PublisherSettings {
            retry_backoff: (Duration::from_millis(150), Duration::from_secs(1)),
            delivery_timeout: Duration::from_secs(6),
            ..PublisherSettings::default()
        };
        let id = PublisherId(1_000 * life + n as u64);
        let machine = Publisher::shared(id, name(), settings, self.rng.random());
        Pub { machine, route: LeaderLocator::new(self.replicas.len(), n), life }
    }

    fn later(&mut self, after: Duration, what: ScheduledEvent) {
        self.last_event_id += 1;
        self.scheduled.insert((self.now + after, self.last_event_id), what);
    }

    fn chance(&mut self, in_thousand: u32) -> bool {
        self.rng.random_range(0..1000) < in_thousand
    }

    fn way(&mut self) -> Duration {
        let most = if self.chance(self.late) { 2_000 } else { 10 };
        Duration::from_micros(self.rng.random_range(200..most * 1000))
    }

    fn violation(&mut self, why: String) {
        let now = self.now;
        self.violation.get_or_insert_with(|| format!("{now:?}: {why}"));
    }

    fn wake_keeper(&mut self, id: NodeId) {
        let Some(host) = self.replicas.get(&id) else { return };
        let due = host.replica.next_due().div_f64(host.rate).saturating_sub(self.now);
        let start = host.start;
        self.later(due + Duration::from_micros(50), ScheduledEvent::ReplicaTick(id, start));
    }

    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.scheduled.first_entry().filter(|e| e.key().0 <= end) {
            let ((at, _), what) = entry.remove_entry();
            self.now = at;
            // A stopped replica hears it when it goes on.
            let to = match &what {
                ScheduledEvent::Peer(m) => Some(m.to),
                ScheduledEvent::ReplicaTick(id, _)
                | ScheduledEvent::Ask(id, ..)
                | ScheduledEvent::Subscribe(id, ..) => Some(*id),
                ScheduledEvent::Allow(id, ..) | ScheduledEvent::Still(id, _) => Some(*id),
                _ => None,
            };
            let still = to.and_then(|id| self.replicas.get(&id)).map(|h| h.stopped_until);
            if let Some(until) = still.filter(|u| *u > self.now) {
                self.later(until - self.now, what);
                continue;
            }
            self.happen(what);
            if self.violation.is_some() {
                return;
            }
        }
        self.now = end;
    }

    fn is_up(&self, id: NodeId, start: u32) -> bool {
        self.replicas.get(&id).is_some_and(|h| h.up && h.start == start)
    }

    fn happen(&mut self, what: ScheduledEvent) {
        match what {
            ScheduledEvent::Peer(message) => self.replica(message.to, ReplicaInput::Peer(message)),
            ScheduledEvent::ReplicaTick(id, start) => {
                if self.is_up(id, start) {
                    self.replica(id, ReplicaInput::Tick);
                    self.wake_keeper(id);
                }
            }
            ScheduledEvent::Restart(id) => self.restart(id),
            ScheduledEvent::Ask(id, n, request) => {
                self.replica(id, ReplicaInput::TopicRequest(ClientId(n as u64), request))
            }
            ScheduledEvent::Answer(n, life, answer) => {
                if self.pubs[n].life == life {
                    let input = match answer {
                        Ok(heard) => {
                            self.pubs[n].route.on_response();
                            PublisherInput::Response(heard)
                        }
                        Err(leader) => {
                            self.pubs[n].route.on_not_leader(leader);
                            PublisherInput::NotAccepted
                        }
                    };
                    self.input(n, input);
                }
            }
            ScheduledEvent::Subscribe(id, n, number, from, allow) => {
                match self.replicas.get_mut(&id).filter(|h| h.up) {
                    None => self.later(Duration::from_millis(5), ScheduledEvent::Broken(n, number)),
                    Some(host) => {
                        let mut feed = Feed::open(from);
                        if let Some(fault) = self.fault {
                            feed.inject(fault);
                        }
                        feed.set_credit(allow);
                        host.feeds.insert(n, (number, feed, Duration::ZERO));
                        self.feed(id, n);
                    }
                }
            }
            ScheduledEvent::Allow(id, n, number, total) => {
                let feeds = self.replicas.get_mut(&id).map(|h| &mut h.feeds);
                if let Some((has, feed, _)) = feeds.and_then(|f| f.get_mut(&n))
                    && *has == number
                {
                    feed.set_credit(total);
                    self.feed(id, n);
                }
            }
            ScheduledEvent::Told(n, told) => {
                // A connection's words wait for a sleeper until it wakes or the connection breaks.
                if self.subs[n].asleep_until > self.now {
                    let after = self.subs[n].asleep_until - self.now;
                    return self.later(after, ScheduledEvent::Told(n, told));
                }
                let bytes = postcard::to_allocvec(&told).expect("bytes");
                let told = postcard::from_bytes(&bytes).expect("what was sent");
                self.subscriber(n, SubscriberInput::Delivery(told));
            }
            ScheduledEvent::Broken(n, number) => self.subscriber(n, SubscriberInput::Disconnected(number)),
            ScheduledEvent::SubTick(n) => self.subscriber(n, SubscriberInput::Tick),
            ScheduledEvent::PubTick(n, life) => {
                if self.pubs[n].life == life {
                    self.input(n, PublisherInput::Tick);
                }
            }
            ScheduledEvent::Still(id, start) => {
                if self.is_up(id, start) {
                    let all: Vec<usize> = self.replicas[&id].feeds.keys().copied().collect();
                    all.into_iter().for_each(|n| self.say(id, n, FeedItem::Heartbeat));
                    self.later(Duration::from_millis(500), ScheduledEvent::Still(id, start));
                }
            }
        }
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
            return self.later(after, ScheduledEvent::Restart(id));
        }
        let Ok(released) = out.persist(&mut host.disk);
        let committed: Vec<_> =
            released.committed_entries.iter().map(|e| (e.at.index.0, e.payload.clone())).collect();
        self.restored += usize::from(released.installed_snapshot.is_some());
        let outputs = host.replica.process_ready(local, released).expect("a state");
        host.replica.clean_topics();
        let ids = self.replica_ids();
        committed.into_iter().for_each(|(index, payload)| self.committed(index, payload));
        for output in outputs {
            match output {
                ReplicaOutput::Peer(message) => {
                    if self.cut.contains(&(message.from, message.to)) || self.chance(self.lost) {
                        continue;
                    }
                    for _ in 0..1 + u32::from(self.chance(self.duplicated)) {
                        let way = self.way();
                        self.later(way, ScheduledEvent::Peer(message.clone()));
                    }
                }
                ReplicaOutput::TopicResponse(client, heard) => self.answer(client, Ok(heard)),
                ReplicaOutput::TopicRequestRejected(client, _, why) => {
                    let leader = if let RequestError::NotLeader(Some(l)) = why { Some(l) } else { None };
                    self.answer(client, Err(leader.and_then(|l| ids.iter().position(|i| *i == l))));
                }
                _ => {}
            }
        }
        let all: Vec<usize> = self.replicas[&id].feeds.keys().copied().collect();
        all.into_iter().for_each(|n| self.feed(id, n));
    }

    fn answer(&mut self, client: ClientId, answer: Result<TopicResponse, Option<usize>>) {
        if self.chance(self.lost) {
            return;
        }
        let n = client.0 as usize;
        let (way, life) = (self.way(), self.pubs[n].life);
        self.later(way, ScheduledEvent::Answer(n, life, answer));
    }

    /// An entry is committed: all replicas say the same of its place, and it is done here in order.
    fn committed(&mut self, index: u64, payload: Payload) {
        if self.log.get(&index).is_some_and(|p| *p != payload) {
            return self.violation(format!("two entries at {index}"));
        }
        self.log.insert(index, payload);
        while let Some(payload) = self.log.get(&(self.applied + 1)).cloned() {
            self.applied += 1;
            let Payload::Command(bytes) = payload else { continue };
            let Some(Command::Topics(command)) = Command::read(&bytes) else { continue };
            let event = self.reference.apply(&command).1;
            match (&command, event) {
                (_, Some(TopicEvent::Horizon(..))) => self.horizons += 1,
                (TopicCommand::Request(request), Some(TopicEvent::Appended(_, offset))) => {
                    self.appended(request, offset);
                }
                _ => {}
            }
        }
    }

    fn appended(&mut self, request: &TopicRequest, offset: Offset) {
        let TopicOp::Publish { record, .. } = &request.op else { return };
        if offset.0 != self.messages.len() as u64 {
            return self.violation(format!("{offset:?} is given, {} is to come next", self.messages.len()));
        }
        let value = record.value.as_ref().map(|v| v.bytes().to_vec());
        if let Some(before) = value.as_ref().and_then(|v| self.tags.insert(tag(v)?, offset)) {
            self.violation(format!("written twice, at {before:?} and {offset:?}"));
        }
        self.messages.push((record.key.clone(), value));
    }

    /// A feed says all that it may.
    fn feed(&mut self, id: NodeId, n: usize) {
        loop {
            let Some(host) = self.replicas.get_mut(&id).filter(|h| h.up) else { return };
            let Some(topic) = host.replica.topics().topic(&name()) else { return };
            let Some(said) = host.feeds.get_mut(&n).and_then(|(_, feed, _)| feed.next(topic)) else { return };
            if matches!(said, FeedItem::Resync { .. }) {
                self.subs[n].anew += 1;
            }
            self.say(id, n, said);
        }
    }

    fn say(&mut self, id: NodeId, n: usize, said: FeedItem) {
        let way = self.way();
        let Some(host) = self.replicas.get_mut(&id) else { return };
        let (applied, stale) = (host.replica.applied_index().0, host.replica.staleness());
        let Some((number, _, last)) = host.feeds.get_mut(&n) else { return };
        // In order, as on a connection.
        *last = (self.now + way).max(*last);
        let (feed, at) = (*number, *last);
        let told = Delivery {
            subscription: feed,
            applied_index: applied,
            staleness_ms: stale.as_millis() as u32,
            item: said,
        };
        self.later(at - self.now, ScheduledEvent::Told(n, told));
    }

    fn subscriber(&mut self, n: usize, input: SubscriberInput) {
        if self.subs[n].asleep_until > self.now {
            let after = self.subs[n].asleep_until - self.now;
            return self.later(after, ScheduledEvent::SubTick(n));
        }
        for output in self.subs[n].machine.handle(self.now, input) {
            match output {
                SubscriberOutput::Subscribe {
                    subscription: feed,
                    position: from,
                    credit_bytes: allow,
                    ..
                } => {
                    let ids = self.replica_ids();
                    self.subs[n].at += 1;
                    let id = ids[self.subs[n].at % ids.len()];
                    self.hang_up(n);
                    self.subs[n].on = Some((id, feed));
                    let way = self.way();
                    self.later(way, ScheduledEvent::Subscribe(id, n, feed, from, allow));
                }
                SubscriberOutput::Credit { subscription: feed, total_bytes: total } => {
                    if let Some((id, _)) = self.subs[n].on.filter(|(_, number)| *number == feed) {
                        let way = self.way();
                        self.later(way, ScheduledEvent::Allow(id, n, feed, total));
                    }
                }
                SubscriberOutput::Unsubscribe(_) => self.hang_up(n),
                SubscriberOutput::Updated(message) => {
                    let key = Key::new(message.key()).expect("a key");
                    let last = self.subs[n].last.insert(key, message.offset);
                    if last >= Some(message.offset) {
                        self.violation(format!("{n} hears of {message:?} after {last:?}"));
                    }
                }
                SubscriberOutput::Deleted(key, offset) => {
                    let last = self.subs[n].last.insert(key.clone(), offset);
                    if last > Some(offset) {
                        self.violation(format!("{n}: {key:?} gone at {offset:?} after {last:?}"));
                    }
                }
                SubscriberOutput::CaughtUp(_) => self.caught_up += 1,
                SubscriberOutput::Behind => self.subs[n].behind += 1,
                SubscriberOutput::ProtocolViolation(why) => self.violation(format!("{n} distrusts: {why}")),
            }
        }
        self.check(n);
        if let Some(due) = self.subs[n].machine.next_due() {
            self.later(due.saturating_sub(self.now) + Duration::from_micros(10), ScheduledEvent::SubTick(n));
        }
    }

    fn hang_up(&mut self, n: usize) {
        if let Some((id, number)) = self.subs[n].on.take()
            && let Some(host) = self.replicas.get_mut(&id)
            && host.feeds.get(&n).is_some_and(|f| f.0 == number)
        {
            host.feeds.remove(&n);
        }
    }

    fn check(&mut self, n: usize) {
        let Some(to) = self.subs[n].machine.complete_to() else { return };
        // Looked at once for each offset: what it knows changes with that alone.
        if self.subs[n].checked.replace(to) == Some(to) {
            return;
        }
        let machine = &self.subs[n].machine;
        let mut expected: BTreeMap<&Key, (Offset, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in self.messages.iter().enumerate().take(to.0 as usize) {
            match value {
                Some(value) => drop(expected.insert(key, (Offset(offset as u64), value))),
                None => drop(expected.remove(key)),
            }
        }
        let has: BTreeMap<&Key, (Offset, &[u8])> =
            machine.keys().map(|(k, h)| (k, (h.offset, h.body.value().unwrap_or_default()))).collect();
        if has != expected {
            let short = |m: &BTreeMap<&Key, (Offset, &[u8])>| -> Vec<(Key, Offset)> {
                m.iter().map(|(k, v)| ((*k).clone(), v.0)).collect()
            };
            let (has, expected) = (short(&has), short(&expected));
            self.violation(format!("{n} is complete to {to:?}: has {has:?}, and not {expected:?}"));
        }
    }

    pub fn publish(&mut self, n: usize) {
        self.tickets += 1;
        let ticket = self.tickets;
        let key = key(self.rng.random_range(0..12));
        let kind = self.rng.random_range(0..10);
        let stands = self.reference.topic(&name()).and_then(|t| t.offset_of(key.bytes()));
        let expect = match kind {
            0..7 => Expect::Anything,
            _ => stands.map_or(Expect::Absent, Expect::At),
        };
        let delete = matches!(kind, 0 | 1 | 9);
        let value = (!delete).then(|| {
            let mut value = format!("{ticket}:").into_bytes();
            // Large ones, so that segments are sealed and snapshots taken within a run.
            value.resize(self.rng.random_range(20..24_000), b'.');
            Value::new(&value).expect("a value")
        });
        self.wanted.insert(ticket, (key.clone(), delete));
        let record = Record { key, value };
        self.input(n, PublisherInput::Publish { ticket: PublisherTicket(ticket), record, expect });
    }

    fn input(&mut self, n: usize, input: PublisherInput) {
        for output in self.pubs[n].machine.handle(self.now, input) {
            match output {
                PublisherOutput::Send(request) => {
                    let ids = self.replica_ids();
                    let to = ids[self.pubs[n].route.next_target() % ids.len()];
                    let copies = u32::from(!self.chance(self.lost)) + u32::from(self.chance(self.duplicated));
                    for _ in 0..copies {
                        let way = self.way();
                        self.later(way, ScheduledEvent::Ask(to, n, request.clone()));
                    }
                }
                PublisherOutput::Settled(PublisherTicket(ticket), outcome) => self.settled(ticket, outcome),
                PublisherOutput::Fenced(epoch) => {
                    self.violation(format!("one of many is fenced by {epoch:?}"))
                }
            }
        }
        let (due, life) = (self.pubs[n].machine.next_due(), self.pubs[n].life);
        if let Some(due) = due {
            self.later(
                due.saturating_sub(self.now) + Duration::from_micros(10),
                ScheduledEvent::PubTick(n, life),
            );
        }
    }

    fn settled(&mut self, ticket: u64, outcome: Outcome) {
        let Some((key, delete)) = self.wanted.get(&ticket).cloned() else { return };
        if self.outcomes.insert(ticket, Some((key.clone(), delete, outcome))).is_some() {
            return self.violation(format!("{ticket} has two outcomes"));
        }
        if let Outcome::Written(offset) = outcome {
            let is = self.messages.get(offset.0 as usize);
            let own = is.is_some_and(|(k, value)| {
                *k == key && value.as_ref().map_or(delete, |v| !delete && tag(v) == Some(ticket))
            });
            if !own {
                let is = is.map(|(k, v)| (k, v.as_ref().map(|v| tag(v))));
                self.violation(format!("{ticket} is told to be at {offset:?}, where {is:?} is"));
            }
        }
    }

    pub fn declare(&mut self) {
        let terms = TopicConfig { retention_ms: 2_000, ..TopicConfig::default() };
        if let Some(leader) = self.leader().filter(|_| self.reference.topic(&name()).is_none()) {
            let life = self.rng.random();
            self.replica(leader, ReplicaInput::DeclareTopic(life, name(), terms));
        }
    }

    pub fn leader(&self) -> Option<NodeId> {
        let leads = |h: &&ReplicaProcess| h.up && h.replica.raft().is_leader();
        self.replicas.values().filter(leads).map(|h| h.replica.status()).max_by_key(|s| s.term).map(|s| s.id)
    }

    pub fn replica_ids(&self) -> Vec<NodeId> {
        self.replicas.keys().copied().collect()
    }

    /// Its connections break; whoever was on them hears of it.
    fn drop_feeds(&mut self, id: NodeId) {
        let feeds = self.replicas.get_mut(&id).map(|h| std::mem::take(&mut h.feeds)).unwrap_or_default();
        for (n, (number, ..)) in feeds {
            self.later(Duration::from_millis(3), ScheduledEvent::Broken(n, number));
        }
    }

    pub fn stop(&mut self, id: NodeId) {
        self.drop_feeds(id);
        if let Some(host) = self.replicas.get_mut(&id) {
            host.up = false;
            host.start += 1;
        }
    }

    pub fn restart(&mut self, id: NodeId) {
        let Some(host) = self.replicas.get(&id).filter(|h| !h.up) else { return };
        let (disk, rate, start) = (host.disk.clone(), host.rate, host.start);
        let replica = self.start_replica(id, &disk, rate);
        if let Some(host) = self.replicas.get_mut(&id) {
            (host.replica, host.up) = (replica, true);
        }
        self.wake_keeper(id);
        self.later(Duration::from_millis(500), ScheduledEvent::Still(id, start));
    }

    /// A replica is lost with its disk, and another comes in its place with an empty one. One at a time: a second loss while the
    /// group is being mended could leave it without a majority, which is no fault of anybody's.
    pub fn lose(&mut self, id: NodeId) {
        if self.replacing.is_some() || !self.replicas.contains_key(&id) {
            return;
        }
        self.drop_feeds(id);
        self.replicas.remove(&id);
        let new = NodeId(self.next_id);
        self.next_id += 1;
        self.add(new, MemoryStorage::default());
        self.replacing = Some((id, new));
    }

    /// What an operator does after that, one step at a time, at whichever replica leads.
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

    /// A subscriber's connection breaks. Asleep, it finds out when it wakes.
    pub fn break_off(&mut self, n: usize, asleep: Duration) {
        let on = self.subs[n].on;
        self.hang_up(n);
        self.subs[n].asleep_until = self.now + asleep;
        if let Some((_, number)) = on {
            self.later(asleep + Duration::from_millis(1), ScheduledEvent::Broken(n, number));
        }
    }

    pub fn kill_publisher(&mut self, n: usize) {
        let life = self.pubs[n].life + 1;
        self.pubs[n] = self.publisher(n, life);
    }

    pub fn heal(&mut self) {
        (self.lost, self.duplicated, self.late, self.crash) = (0, 0, 0, 0);
        self.cut.clear();
        self.replica_ids().into_iter().for_each(|id| self.restart(id));
    }

    /// What must hold once all is well.
    pub fn is_well(&mut self) {
        let head = Offset(self.messages.len() as u64);
        for n in 0..self.subs.len() {
            let to = self.subs[n].machine.complete_to();
            if to != Some(head) {
                self.violation(format!("{n} is complete to {to:?} and not to {head:?}"));
            }
        }
        let reference = self.reference.clone();
        let other: Vec<NodeId> = self
            .replicas
            .iter()
            .filter(|(_, h)| *h.replica.topics() != reference)
            .map(|(id, _)| *id)
            .collect();
        if !other.is_empty() {
            self.violation(format!("{other:?} are not what the log says"));
        }
        let outcomes: Vec<_> = self.outcomes.iter().filter_map(|(t, o)| Some((*t, o.clone()?))).collect();
        for (ticket, (_, delete, outcome)) in outcomes {
            let is = self.tags.contains_key(&ticket);
            let wrong = match outcome {
                Outcome::Written(_) => !delete && !is,
                Outcome::Refused(_) | Outcome::QueueFull | Outcome::TimedOut => is,
                Outcome::Unsure => false,
            };
            if wrong {
                self.violation(format!("{ticket} is written: {is}, and its outcome {outcome:?}"));
            }
        }
    }
}
