//! Simulated cluster: replicas that apply one log, subscribers that switch between them, publishers, and a network that loses,
//! duplicates and delays messages. One replica is the leader and appends to the log; `crates/fleet/consensus` tests that
//! replicas agree on it. A simple reference model records what was written.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use beechloft_topic::{
    Delivery, DriftBound, Expect, Fault, Feed, FeedItem, Key, Layout, Name, Offset, Outcome, Publisher,
    PublisherId, PublisherInput, PublisherOutput, PublisherSettings, PublisherTicket, Record, Retention,
    Subscriber, SubscriberInput, SubscriberOutput, SubscriberSettings, TopicAnswer, TopicCommand,
    TopicConfig, TopicEvent, TopicOp, TopicRequest, TopicResponse, Topics, Value,
};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const SMALL: Layout = Layout {
    segment_bytes: 160,
    segment_records: 5,
    min_tail_bytes: 100,
    max_tail_bytes: 300,
    max_tail_messages: 8,
    garbage_percent: 30,
};

/// Layout that leaves more superseded messages uncleaned.
pub const SPARSE: Layout = Layout { segment_bytes: 300, segment_records: 9, garbage_percent: 60, ..SMALL };

pub const RETENTION_MS: u32 = 1_000;

pub fn name() -> Name {
    Name::try_from("fleet/test".to_owned()).expect("valid name")
}

pub fn key(n: usize) -> Key {
    Key::new(format!("k{n}").as_bytes()).expect("valid key")
}

/// Reference model: all written messages in offset order.
#[derive(Debug, Default, Clone)]
pub struct Reference {
    pub messages: Vec<(Key, Option<Vec<u8>>)>,
}

impl Reference {
    pub fn as_of(&self, to: Offset) -> BTreeMap<Key, (Offset, Vec<u8>)> {
        let mut keys = BTreeMap::new();
        for (n, (key, value)) in self.messages.iter().enumerate().take(to.0 as usize) {
            match value {
                Some(value) => drop(keys.insert(key.clone(), (Offset(n as u64), value.clone()))),
                None => drop(keys.remove(key)),
            }
        }
        keys
    }
}

pub struct Replica {
    pub topics: Topics,
    pub applied: usize,
    disk: (usize, Vec<Arc<[u8]>>),
}

/// Subscriber, its connection, and its last event for each key.
pub struct SubscriberHost {
    pub machine: Subscriber,
    connection: Option<(usize, u64, Feed)>,
    in_transit: VecDeque<Delivery>,
    last_events: BTreeMap<Key, Offset>,
    paused_until: Duration,
    pub resyncs: usize,
    pub fell_behind: usize,
}

/// Write of a publisher, as the publisher observed it. Times are steps of the cluster.
#[derive(Debug, Clone)]
pub struct Operation {
    pub key: Key,
    pub expect: Expect,
    pub delete: bool,
    pub started_at: u64,
    pub ended_at: Option<u64>,
    pub outcome: Option<Outcome>,
}

pub struct PublisherHost {
    pub machine: Publisher,
    incarnation: u64,
}

pub struct Cluster {
    pub log: Vec<TopicCommand>,
    pub reference: Reference,
    /// Offset of each written value. Values are unique.
    tags: BTreeMap<Vec<u8>, Offset>,
    pub replicas: Vec<Replica>,
    pub leader: usize,
    retention: Retention,
    pub subscribers: Vec<SubscriberHost>,
    pub publishers: Vec<PublisherHost>,
    requests: Vec<TopicRequest>,
    answers: Vec<(usize, TopicResponse)>,
    pub operations: BTreeMap<u64, Operation>,
    last_ticket: u64,
    pub now: Duration,
    pub steps: u64,
    pub loss_per_mille: u32,
    pub duplicate_per_mille: u32,
    pub keys: usize,
    pub rng: ChaCha8Rng,
    pub violation: Option<String>,
    pub caught_up: usize,
    pub horizons: usize,
    pub cleaned: usize,
    fault: Option<Fault>,
    layout: Layout,
    /// Whether publishers send only writes with a precondition.
    pub conditional_only: bool,
}

impl Cluster {
    pub fn new(
        replicas: usize,
        subscribers: usize,
        publishers: usize,
        seed: u64,
        fault: Option<Fault>,
    ) -> Cluster {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let config = TopicConfig { retention_ms: RETENTION_MS, ..TopicConfig::default() };
        let layout = if seed.is_multiple_of(2) { SMALL } else { SPARSE };
        let mut first = Topics::new(layout);
        first.apply(&TopicCommand::Declare { topic: name(), incarnation: 1, config });
        let chunks: Vec<_> = first.write_chunks().into_iter().map(|c| c.bytes).collect();
        let mut retention = Retention::new(DriftBound::ppm(1_000).expect("within bounds"));
        if let Some(fault) = fault {
            retention.inject(fault);
        }
        let mut cluster = Cluster {
            log: Vec::new(),
            reference: Reference::default(),
            tags: BTreeMap::new(),
            replicas: Vec::new(),
            leader: 0,
            retention,
            subscribers: Vec::new(),
            publishers: Vec::new(),
            requests: Vec::new(),
            answers: Vec::new(),
            operations: BTreeMap::new(),
            last_ticket: 0,
            now: Duration::from_secs(1),
            steps: 0,
            loss_per_mille: 0,
            duplicate_per_mille: 0,
            keys: 6,
            rng: ChaCha8Rng::seed_from_u64(rng.random()),
            violation: None,
            caught_up: 0,
            horizons: 0,
            cleaned: 0,
            fault,
            layout,
            conditional_only: false,
        };
        for _ in 0..replicas {
            let topics = cluster.read(&chunks);
            cluster.replicas.push(Replica { topics, applied: 0, disk: (0, chunks.clone()) });
        }
        for n in 0..subscribers {
            let window_bytes = *[60, 400, 4_000].choose(&mut cluster.rng).expect("some");
            let settings = SubscriberSettings {
                window_bytes,
                unresponsive_timeout: Duration::from_millis(700),
                retry_backoff: (Duration::from_millis(20), Duration::from_millis(500)),
                ..SubscriberSettings::default()
            };
            let mut machine = Subscriber::new(name(), settings, seed + n as u64);
            if let Some(fault) = fault {
                machine.inject(fault);
            }
            let (in_transit, last_events) = (VecDeque::new(), BTreeMap::new());
            let paused_until = Duration::ZERO;
            cluster.subscribers.push(SubscriberHost {
                machine,
                connection: None,
                in_transit,
                last_events,
                paused_until,
                resyncs: 0,
                fell_behind: 0,
            });
            cluster.subscriber_input(n, SubscriberInput::Start);
        }
        for n in 0..publishers {
            let machine = cluster.new_publisher(n as u64);
            cluster.publishers.push(PublisherHost { machine, incarnation: n as u64 });
        }
        cluster
    }

    fn new_publisher(&mut self, incarnation: u64) -> Publisher {
        let settings = PublisherSettings {
            max_queued_messages: 40,
            retry_backoff: (Duration::from_millis(100), Duration::from_millis(800)),
            delivery_timeout: Duration::from_secs(3),
            ..PublisherSettings::default()
        };
        Publisher::shared(PublisherId(100 + incarnation), name(), settings, self.rng.random())
    }

    fn read(&self, chunks: &[Arc<[u8]>]) -> Topics {
        let mut topics = Topics::read_chunks(chunks, self.layout).expect("valid snapshot");
        if let Some(fault) = self.fault {
            topics.inject(fault);
        }
        topics
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        self.rng.random_range(0..1000) < per_mille
    }

    fn violation(&mut self, reason: String) {
        let steps = self.steps;
        self.violation.get_or_insert_with(|| format!("step {steps}: {reason}"));
    }

    /// Publishes a random record.
    pub fn publish(&mut self, n: usize) {
        self.last_ticket += 1;
        self.steps += 1;
        let ticket = self.last_ticket;
        let key = key(self.rng.random_range(0..self.keys));
        let leader = self.replicas[self.leader].topics.topic(&name()).expect("declared topic");
        // The offset may be outdated when the write is executed.
        let known = leader.offset_of(key.bytes());
        let kinds = if self.conditional_only { 4..10 } else { 0..10 };
        let kind = self.rng.random_range(kinds);
        let expect = match kind {
            0..6 => Expect::Anything,
            6 => Expect::Absent,
            _ => known.map_or(Expect::Absent, Expect::At),
        };
        let expect =
            if self.conditional_only && expect == Expect::Anything { Expect::Absent } else { expect };
        let delete = matches!(kind, 0 | 9);
        let value = (!delete).then(|| {
            let mut value = format!("{ticket}:").into_bytes();
            value.resize(self.rng.random_range(8..30), b'.');
            Value::new(&value).expect("valid value")
        });
        let record = Record { key: key.clone(), value };
        let started_at = self.steps;
        self.operations
            .insert(ticket, Operation { key, expect, delete, started_at, ended_at: None, outcome: None });
        self.publisher_input(n, PublisherInput::Publish { ticket: PublisherTicket(ticket), record, expect });
    }

    fn publisher_input(&mut self, n: usize, input: PublisherInput) {
        for output in self.publishers[n].machine.handle(self.now, input) {
            match output {
                PublisherOutput::Send(request) => {
                    let copies = u32::from(!self.chance(self.loss_per_mille))
                        + u32::from(self.chance(self.duplicate_per_mille));
                    (0..copies).for_each(|_| self.requests.push(request.clone()));
                }
                PublisherOutput::Settled(PublisherTicket(ticket), outcome) => {
                    self.record_outcome(ticket, outcome)
                }
                PublisherOutput::Fenced(epoch) => {
                    self.violation(format!("shared publisher is fenced by {epoch:?}"))
                }
            }
        }
    }

    fn record_outcome(&mut self, ticket: u64, outcome: Outcome) {
        self.steps += 1;
        let steps = self.steps;
        let Some(operation) = self.operations.get_mut(&ticket) else { return };
        if operation.outcome.is_some() {
            return self.violation(format!("{ticket} has two outcomes"));
        }
        (operation.outcome, operation.ended_at) = (Some(outcome), Some(steps));
        let (key, delete) = (operation.key.clone(), operation.delete);
        if let Outcome::Written(offset) = outcome {
            let message = self.reference.messages.get(offset.0 as usize);
            let matches = message.is_some_and(|(k, value)| {
                let has_tag = value.as_ref().map(|v| v.starts_with(format!("{ticket}:").as_bytes()));
                *k == key && has_tag.map_or(delete, |has_tag| has_tag && !delete)
            });
            if !matches {
                self.violation(format!("{ticket} was answered with {offset:?}, which is {message:?}"));
            }
        }
    }

    /// Appends a command to the log and applies it at the leader.
    fn append_command(&mut self, command: TopicCommand) {
        self.log.push(command);
        self.apply(self.leader, usize::MAX);
    }

    /// Applies up to `limit` commands of the log at a replica.
    pub fn apply(&mut self, n: usize, limit: usize) {
        for _ in 0..limit {
            let at = self.replicas[n].applied;
            let Some(command) = self.log.get(at).cloned() else { break };
            self.replicas[n].applied += 1;
            let (answer, event) = self.replicas[n].topics.apply(&command);
            if n == self.leader {
                self.record_applied(&command, answer, event);
            }
        }
    }

    fn record_applied(
        &mut self,
        command: &TopicCommand,
        answer: Option<TopicAnswer>,
        event: Option<TopicEvent>,
    ) {
        if let Some(TopicEvent::Horizon(..)) = &event {
            self.horizons += 1;
        }
        let TopicCommand::Request(request) = command else { return };
        if let (TopicOp::Publish { record, .. }, Some(TopicEvent::Appended(_, offset))) = (&request.op, event)
        {
            let value = record.value.as_ref().map(|v| v.bytes().to_vec());
            let next = self.reference.messages.len() as u64;
            if offset.0 > next {
                self.violation(format!("{offset:?} is assigned, but {next} is expected"));
            } else if offset.0 == next {
                self.reference.messages.push((record.key.clone(), value.clone()));
                let previous = value.and_then(|v| self.tags.insert(v, offset));
                if previous.is_some() {
                    self.violation(format!("written twice, at {previous:?} and {offset:?}"));
                }
            } else if self.reference.messages.get(offset.0 as usize) != Some(&(record.key.clone(), value)) {
                // A new leader may apply a command again with the same result. Any other message needs another offset.
                self.violation(format!("{offset:?} is assigned twice"));
            }
        }
        if let Some(answer) = answer {
            let response = TopicResponse::to(request, answer);
            let publisher = self.publishers.iter().position(|p| p.machine.id() == request.publisher);
            if let Some(n) = publisher {
                let copies = u32::from(!self.chance(self.loss_per_mille))
                    + u32::from(self.chance(self.duplicate_per_mille));
                (0..copies).for_each(|_| self.answers.push((n, response)));
            }
        }
    }

    fn subscriber_input(&mut self, n: usize, input: SubscriberInput) {
        let subscriber = &mut self.subscribers[n];
        if subscriber.paused_until > self.now {
            return;
        }
        for output in subscriber.machine.handle(self.now, input) {
            match output {
                SubscriberOutput::Subscribe { subscription, position, credit_bytes, .. } => {
                    let to = self.rng.random_range(0..self.replicas.len());
                    let mut feed = Feed::open(position);
                    if let Some(fault) = self.fault {
                        feed.inject(fault);
                    }
                    feed.set_credit(credit_bytes);
                    let subscriber = &mut self.subscribers[n];
                    subscriber.in_transit.clear();
                    subscriber.connection = Some((to, subscription, feed));
                }
                SubscriberOutput::Credit { subscription, total_bytes } => {
                    if let Some((_, current, feed)) = &mut self.subscribers[n].connection
                        && *current == subscription
                    {
                        feed.set_credit(total_bytes);
                    }
                }
                SubscriberOutput::Unsubscribe(_) => self.subscribers[n].connection = None,
                SubscriberOutput::Updated(message) => {
                    let key = Key::new(message.key()).expect("valid key");
                    let last = self.subscribers[n].last_events.insert(key, message.offset);
                    if last >= Some(message.offset) {
                        self.violation(format!("{n} receives {message:?} after {last:?}"));
                    }
                }
                SubscriberOutput::Deleted(key, offset) => {
                    let last = self.subscribers[n].last_events.insert(key.clone(), offset);
                    if last > Some(offset) {
                        self.violation(format!(
                            "{n} receives the deletion of {key:?} at {offset:?} after {last:?}"
                        ));
                    }
                }
                SubscriberOutput::CaughtUp(_) => self.caught_up += 1,
                SubscriberOutput::Behind => self.subscribers[n].fell_behind += 1,
                SubscriberOutput::ProtocolViolation(reason) => {
                    self.violation(format!("{n} reports a protocol violation: {reason}"))
                }
            }
        }
        self.check(n);
    }

    fn check(&mut self, n: usize) {
        let machine = &self.subscribers[n].machine;
        let Some(to) = machine.complete_to() else { return };
        let cached = machine.keys().map(|(key, cached)| {
            let value = cached.body.value().unwrap_or_default().to_vec();
            (key.clone(), (cached.offset, value))
        });
        let actual: BTreeMap<_, _> = cached.collect();
        let expected = self.reference.as_of(to);
        if actual != expected {
            let extra: Vec<_> = actual.iter().filter(|(k, v)| expected.get(*k) != Some(v)).collect();
            let missing: BTreeSet<_> = expected.iter().filter(|(k, _)| !has_key(machine, k)).collect();
            let reason = format!("{n} is complete to {to:?}: unexpected {extra:?}, missing {missing:?}");
            self.violation(reason);
        }
    }

    /// Moves up to `limit` items from the feed to the connection.
    fn run_feed(&mut self, n: usize, limit: usize) {
        for _ in 0..limit {
            let Some((replica, subscription, feed)) = &mut self.subscribers[n].connection else { return };
            let subscription = *subscription;
            let topic = self.replicas[*replica].topics.topic(&name()).expect("declared topic");
            let Some(item) = feed.next(topic) else { return };
            let applied = self.replicas[*replica].applied as u64;
            if matches!(item, FeedItem::Resync { .. }) {
                self.subscribers[n].resyncs += 1;
            }
            self.subscribers[n].in_transit.push_back(Delivery {
                subscription,
                applied_index: applied,
                staleness_ms: 0,
                item,
            });
        }
    }

    fn deliver(&mut self, n: usize, limit: usize) {
        for _ in 0..limit {
            if self.subscribers[n].paused_until > self.now {
                return;
            }
            let Some(delivery) = self.subscribers[n].in_transit.pop_front() else { return };
            // Deliveries are encoded and decoded as on a connection.
            let bytes = postcard::to_allocvec(&delivery).expect("encodable");
            let delivery = postcard::from_bytes(&bytes).expect("what was written");
            self.subscriber_input(n, SubscriberInput::Delivery(delivery));
        }
    }

    pub fn pause(&mut self, n: usize, span: Duration) {
        self.subscribers[n].paused_until = self.now + span;
        self.disconnect(n);
    }

    /// Closes the subscriber's connection. Deliveries in transit are lost.
    pub fn disconnect(&mut self, n: usize) {
        let subscriber = &mut self.subscribers[n];
        subscriber.in_transit.clear();
        if let Some((_, subscription, _)) = subscriber.connection.take() {
            // A paused subscriber still handles the disconnection.
            let asleep = std::mem::take(&mut subscriber.paused_until);
            self.subscriber_input(n, SubscriberInput::Disconnected(subscription));
            self.subscribers[n].paused_until = asleep;
        }
    }

    fn disconnect_all(&mut self, replica: usize) {
        for n in 0..self.subscribers.len() {
            if self.subscribers[n].connection.as_ref().is_some_and(|connection| connection.0 == replica) {
                self.disconnect(n);
            }
        }
    }

    pub fn snapshot(&mut self, n: usize) {
        let replica = &mut self.replicas[n];
        replica.disk =
            (replica.applied, replica.topics.write_chunks().into_iter().map(|c| c.bytes).collect());
    }

    /// Restarts a replica from its disk. It applies the rest of the log again. If it is the leader, another replica is elected
    /// first.
    pub fn restart(&mut self, n: usize) {
        if n == self.leader {
            self.elect();
        }
        let (applied, chunks) = self.replicas[n].disk.clone();
        (self.replicas[n].topics, self.replicas[n].applied) = (self.read(&chunks), applied);
        self.disconnect_all(n);
    }

    /// Replaces a replica whose disk is lost with one that gets the leader's state.
    pub fn replace(&mut self, n: usize) {
        if n == self.leader {
            self.elect();
        }
        let from = &self.replicas[self.leader];
        let (applied, chunks) = (from.applied, from.topics.write_chunks());
        let chunks: Vec<_> = chunks.into_iter().map(|c| c.bytes).collect();
        let topics = self.read(&chunks);
        self.replicas[n] = Replica { topics, applied, disk: (applied, chunks) };
        self.disconnect_all(n);
    }

    /// Elects another leader, which first applies the whole log. Requests to the previous leader are lost.
    pub fn elect(&mut self) {
        let others: Vec<usize> = (0..self.replicas.len()).filter(|n| *n != self.leader).collect();
        let Some(next) = others.choose(&mut self.rng) else { return };
        self.requests.clear();
        self.apply(*next, usize::MAX);
        self.leader = *next;
        self.retention.begin(self.now, &self.replicas[*next].topics);
    }

    /// Replaces a publisher with a new process.
    pub fn replace_publisher(&mut self, n: usize) {
        let incarnation = self.publishers[n].incarnation + 1_000;
        let machine = self.new_publisher(incarnation);
        self.publishers[n] = PublisherHost { machine, incarnation };
        self.answers.retain(|(publisher, _)| *publisher != n);
    }

    /// Advances the time and executes random work of all processes.
    pub fn step(&mut self) {
        self.steps += 1;
        self.now += Duration::from_millis(self.rng.random_range(1..20));
        let n = self.rng.random_range(0..self.replicas.len());
        let limit = self.rng.random_range(0..6);
        self.apply(n, limit);
        let n = self.rng.random_range(0..self.replicas.len());
        let budget = self.rng.random_range(1..400);
        self.cleaned += usize::from(self.replicas[n].topics.clean(budget));
        for _ in 0..2 {
            if !self.requests.is_empty() {
                // Requests arrive in any order, and some much later.
                let at = self.rng.random_range(0..self.requests.len());
                let request = self.requests.swap_remove(at);
                self.append_command(TopicCommand::Request(request));
            }
            if !self.answers.is_empty() {
                let at = self.rng.random_range(0..self.answers.len());
                let (n, response) = self.answers.swap_remove(at);
                self.publisher_input(n, PublisherInput::Response(response));
            }
        }
        for n in 0..self.subscribers.len() {
            let (item_limit, delivery_limit) = (self.rng.random_range(0..3), self.rng.random_range(0..3));
            self.run_feed(n, item_limit);
            self.deliver(n, delivery_limit);
            if self.subscribers[n].machine.next_due().is_some_and(|due| due <= self.now) {
                self.subscriber_input(n, SubscriberInput::Tick);
            }
        }
        for n in 0..self.publishers.len() {
            if self.publishers[n].machine.next_due().is_some_and(|due| due <= self.now) {
                self.publisher_input(n, PublisherInput::Tick);
            }
        }
        for command in self.retention.poll(self.now, &self.replicas[self.leader].topics) {
            if !self.chance(self.loss_per_mille) {
                self.append_command(command);
            }
        }
    }

    /// Executes steps without faults until everything is delivered.
    pub fn settle(&mut self) {
        (self.loss_per_mille, self.duplicate_per_mille) = (0, 0);
        self.subscribers.iter_mut().for_each(|s| s.paused_until = Duration::ZERO);
        for _ in 0..600 {
            self.step();
            for n in 0..self.replicas.len() {
                self.apply(n, usize::MAX);
            }
        }
    }

    /// Checks that subscribers are complete, replicas are equal, and outcomes match the written messages.
    pub fn check_settled(&mut self) {
        let head = Offset(self.reference.messages.len() as u64);
        for n in 0..self.subscribers.len() {
            let to = self.subscribers[n].machine.complete_to();
            if to != Some(head) {
                self.violation(format!("{n} is complete to {to:?} and not to {head:?}"));
            }
        }
        for n in 1..self.replicas.len() {
            if self.replicas[n].topics != self.replicas[0].topics {
                self.violation(format!("replicas 0 and {n} differ"));
            }
        }
        let operations: Vec<(u64, Operation)> =
            self.operations.iter().map(|(t, a)| (*t, a.clone())).collect();
        for (ticket, operation) in operations {
            let written = self.tags.range(format!("{ticket}:").into_bytes()..).next();
            let is_written = written.is_some_and(|(v, _)| v.starts_with(format!("{ticket}:").as_bytes()));
            let is_wrong = match operation.outcome {
                Some(Outcome::Written(_)) => !operation.delete && !is_written,
                Some(Outcome::Refused(_) | Outcome::QueueFull | Outcome::TimedOut) => is_written,
                Some(Outcome::Unsure) | None => false,
            };
            if is_wrong {
                self.violation(format!(
                    "{ticket} is written: {is_written}, and its outcome {:?}",
                    operation.outcome
                ));
            }
        }
    }

    /// Returns the offset at which the message of a ticket was written.
    pub fn offset_of(&self, ticket: u64) -> Option<Offset> {
        let tag = format!("{ticket}:").into_bytes();
        self.tags.range(tag.clone()..).next().filter(|(v, _)| v.starts_with(&tag)).map(|(_, o)| *o)
    }
}

fn has_key(machine: &Subscriber, key: &Key) -> bool {
    machine.get(key.bytes()).is_some()
}
