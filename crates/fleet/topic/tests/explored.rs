//! Explores every order of events up to a depth with the real state machines: writes, deletions, moves of the horizon, applied
//! entries, cleaning steps, snapshots, restarts, deliveries and new subscriptions. Two replicas apply one log, and one
//! subscriber switches between them. A lost delivery is modelled as a closed connection.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]

use std::collections::BTreeMap;
use std::hash::Hash;
use std::sync::Arc;
use std::time::Duration;

use beechloft_model_checker::{Counterexample, Exploration, FingerprintHasher, Limits, Model, explore};
use beechloft_topic::{
    Delivery, Epoch, Expect, Fault, Feed, Key, Layout, Name, Offset, PublisherId, Record, Session,
    Subscriber, SubscriberInput, SubscriberOutput, SubscriberSettings, TopicAnswer, TopicCommand,
    TopicConfig, TopicOp, TopicRequest, Topics, Value,
};

const ZERO: Duration = Duration::ZERO;
/// Layout in which one or two records fill a segment and the tail is empty.
const LAYOUT: Layout = Layout {
    segment_bytes: 30,
    segment_records: 2,
    min_tail_bytes: 0,
    max_tail_bytes: 0,
    max_tail_messages: 1,
    garbage_percent: 30,
};

/// Number of times that each kind of event may still occur.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Remaining {
    puts: u8,
    deletions: u8,
    horizons: u8,
    snapshots: u8,
    restores: u8,
    opens: u8,
    cleans: u8,
}

#[derive(Debug, Clone)]
struct Replica {
    topics: Topics,
    applied: usize,
    /// Applied commands and chunks of the last snapshot.
    disk: (usize, Arc<Vec<Arc<[u8]>>>),
}

#[derive(Debug, Clone)]
struct Cluster {
    log: Arc<Vec<TopicCommand>>,
    seq: u64,
    replicas: [Arc<Replica>; 2],
    subscriber: Arc<Subscriber>,
    /// Replica, subscription id and feed of the current subscription.
    feed: Option<(usize, u64, Feed)>,
    /// Offset of the last event of each key.
    last_events: BTreeMap<Key, Offset>,
    violation: Option<String>,
    remaining: Remaining,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    Put(u8),
    Delete(u8),
    Horizon,
    Apply(usize),
    Clean(usize),
    Snapshot(usize),
    /// A replica restarts from its disk.
    Restart(usize),
    /// A replica gets the state of the other one, as after the loss of its disk.
    Restore(usize),
    Open(usize),
    /// The next item of the feed is delivered.
    Deliver,
}

struct TopicModel {
    remaining: Remaining,
    fault: Option<Fault>,
    prefix: &'static [Event],
}

fn name() -> Name {
    Name::try_from("t".to_owned()).expect("valid name")
}

fn key(n: u8) -> Key {
    Key::new(&[b'a' + n]).expect("valid key")
}

impl TopicModel {
    fn read(&self, chunks: &[Arc<[u8]>]) -> Topics {
        let mut topics = Topics::read_chunks(chunks, LAYOUT).expect("valid snapshot");
        if let Some(fault) = self.fault {
            topics.inject(fault);
        }
        topics
    }

    fn initial_state(&self) -> Cluster {
        let mut topics = Topics::new(LAYOUT);
        let config = TopicConfig { retention_ms: 1_000, ..TopicConfig::default() };
        topics.apply(&TopicCommand::Declare { topic: name(), incarnation: 1, config });
        let op = TopicOp::Begin { epoch: Epoch(0) };
        topics.apply(&TopicCommand::Request(TopicRequest { publisher: PublisherId(1), topic: name(), op }));
        let chunks: Vec<_> = topics.write_chunks().into_iter().map(|c| c.bytes).collect();
        let replica =
            Arc::new(Replica { topics: self.read(&chunks), applied: 0, disk: (0, Arc::new(chunks)) });
        let settings = SubscriberSettings {
            window_bytes: 1,
            retry_backoff: (ZERO, ZERO),
            ..SubscriberSettings::default()
        };
        let mut subscriber = Subscriber::new(name(), settings, 1);
        if let Some(fault) = self.fault {
            subscriber.inject(fault);
        }
        let mut cluster = Cluster {
            log: Arc::default(),
            seq: 0,
            replicas: [replica.clone(), replica],
            subscriber: Arc::new(subscriber),
            feed: None,
            last_events: BTreeMap::new(),
            violation: None,
            remaining: Remaining {
                puts: 9,
                deletions: 9,
                horizons: 9,
                snapshots: 9,
                restores: 9,
                opens: 9,
                cleans: 99,
            },
        };
        self.prefix.iter().for_each(|event| self.step(&mut cluster, event));
        cluster.remaining = self.remaining;
        cluster
    }

    fn write(&self, cluster: &mut Cluster, n: u8, value: Option<Value>) {
        cluster.seq += 1;
        let record = Record { key: key(n), value };
        let op = TopicOp::Publish { session: Session(1), seq: cluster.seq, record, expect: Expect::Anything };
        let request = TopicRequest { publisher: PublisherId(1), topic: name(), op };
        Arc::make_mut(&mut cluster.log).push(TopicCommand::Request(request));
    }

    fn subscribe(&self, cluster: &mut Cluster, replica: usize) {
        let subscriber = Arc::make_mut(&mut cluster.subscriber);
        if let Some((_, subscription, _)) = cluster.feed.take() {
            subscriber.handle(ZERO, SubscriberInput::Disconnected(subscription));
        }
        let mut out = subscriber.handle(ZERO, SubscriberInput::Start);
        out.extend(subscriber.handle(ZERO, SubscriberInput::Tick));
        for output in out {
            if let SubscriberOutput::Subscribe { subscription, position, credit_bytes, .. } = output {
                let mut feed = Feed::open(position);
                if let Some(fault) = self.fault {
                    feed.inject(fault);
                }
                feed.set_credit(credit_bytes);
                cluster.feed = Some((replica, subscription, feed));
            }
        }
    }

    fn deliver(&self, cluster: &mut Cluster) {
        let Some((replica, subscription, feed)) = &mut cluster.feed else { return };
        let subscription = *subscription;
        let topic = cluster.replicas[*replica].topics.topic(&name()).expect("declared topic");
        let Some(item) = feed.next(topic) else { return };
        let delivery = Delivery { subscription, applied_index: 0, staleness_ms: 0, item };
        let before = cluster.subscriber.position();
        let out = Arc::make_mut(&mut cluster.subscriber).handle(ZERO, SubscriberInput::Delivery(delivery));
        for output in out {
            match output {
                SubscriberOutput::Credit { total_bytes, .. } => {
                    if let Some((_, _, feed)) = &mut cluster.feed {
                        feed.set_credit(total_bytes);
                    }
                }
                SubscriberOutput::Updated(m) => {
                    let key = Key::new(m.key()).expect("valid key");
                    let last = cluster.last_events.insert(key, m.offset);
                    if last.is_some_and(|last| last >= m.offset) {
                        cluster.violation = Some(format!("{m:?} after {last:?}, from {before:?}"));
                    }
                }
                SubscriberOutput::Deleted(key, offset) => {
                    let last = cluster.last_events.insert(key, offset);
                    if last > Some(offset) {
                        cluster.violation = Some(format!("deleted at {offset:?} after {last:?}"));
                    }
                }
                SubscriberOutput::ProtocolViolation(reason) => {
                    cluster.violation = Some(format!("protocol violation: {reason}"))
                }
                SubscriberOutput::Unsubscribe(_) => cluster.feed = None,
                SubscriberOutput::CaughtUp(_)
                | SubscriberOutput::Behind
                | SubscriberOutput::Subscribe { .. } => {}
            }
        }
    }

    fn reset(&self, cluster: &mut Cluster, n: usize, topics: Topics, applied: usize) {
        let replica = Arc::make_mut(&mut cluster.replicas[n]);
        (replica.topics, replica.applied) = (topics, applied);
        // The replica's connections are closed.
        if cluster.feed.as_ref().is_some_and(|f| f.0 == n) {
            self.subscribe(cluster, n);
        }
    }
}

/// Returns the expected values of all keys below an offset.
fn as_of(log: &[TopicCommand], to: Offset) -> BTreeMap<Key, (Offset, Vec<u8>)> {
    let mut keys = BTreeMap::new();
    let mut next = 0;
    for command in log {
        let TopicCommand::Request(TopicRequest { op: TopicOp::Publish { record, .. }, .. }) = command else {
            continue;
        };
        if next >= to.0 {
            break;
        }
        let exists = keys.contains_key(&record.key);
        match (&record.value, exists) {
            (Some(v), _) => drop(keys.insert(record.key.clone(), (Offset(next), v.bytes().to_vec()))),
            (None, true) => drop(keys.remove(&record.key)),
            // A key without a value can't be deleted.
            (None, false) => continue,
        }
        next += 1;
    }
    keys
}

impl Model for TopicModel {
    type State = Cluster;
    type Action = Event;

    fn initial_states(&self) -> Vec<Cluster> {
        vec![self.initial_state()]
    }

    fn actions(&self, cluster: &Cluster) -> Vec<Event> {
        let mut all = Vec::new();
        let Remaining { puts, deletions, horizons, snapshots, restores, opens, cleans } = cluster.remaining;
        if puts > 0 {
            all.extend([Event::Put(0), Event::Put(1)]);
        }
        if deletions > 0 {
            all.push(Event::Delete(0));
        }
        if horizons > 0 {
            all.push(Event::Horizon);
        }
        for n in 0..2 {
            let replica = &cluster.replicas[n];
            if replica.applied < cluster.log.len() {
                all.push(Event::Apply(n));
            }
            if cleans > 0 {
                all.push(Event::Clean(n));
            }
            if snapshots > 0 && replica.disk.0 < replica.applied {
                all.push(Event::Snapshot(n));
            }
            if restores > 0 {
                all.push(Event::Restart(n));
                if cluster.replicas[1 - n].applied > replica.applied {
                    all.push(Event::Restore(n));
                }
            }
            if opens > 0 {
                all.push(Event::Open(n));
            }
        }
        if cluster.feed.is_some() {
            all.push(Event::Deliver);
        }
        all
    }

    fn step(&self, cluster: &mut Cluster, event: &Event) {
        match *event {
            Event::Put(n) => {
                cluster.remaining.puts -= 1;
                let value = Value::new(&[cluster.seq as u8]).expect("valid value");
                self.write(cluster, n, Some(value));
            }
            Event::Delete(n) => {
                cluster.remaining.deletions -= 1;
                self.write(cluster, n, None);
            }
            Event::Horizon => {
                cluster.remaining.horizons -= 1;
                // The replicas limit the horizon to their heads.
                let to = Offset(cluster.log.len() as u64);
                Arc::make_mut(&mut cluster.log).push(TopicCommand::Horizon { topic: name(), to });
            }
            Event::Apply(n) => {
                let replica = Arc::make_mut(&mut cluster.replicas[n]);
                let answer = replica.topics.apply(&cluster.log[replica.applied]).0;
                replica.applied += 1;
                assert!(!matches!(answer, Some(TopicAnswer::Began(_))));
            }
            Event::Clean(n) => {
                cluster.remaining.cleans -= 1;
                Arc::make_mut(&mut cluster.replicas[n]).topics.clean(1);
            }
            Event::Snapshot(n) => {
                cluster.remaining.snapshots -= 1;
                let replica = Arc::make_mut(&mut cluster.replicas[n]);
                let chunks = replica.topics.write_chunks().into_iter().map(|c| c.bytes).collect();
                replica.disk = (replica.applied, Arc::new(chunks));
            }
            Event::Restart(n) => {
                cluster.remaining.restores -= 1;
                let (applied, chunks) = cluster.replicas[n].disk.clone();
                let topics = self.read(&chunks);
                self.reset(cluster, n, topics, applied);
            }
            Event::Restore(n) => {
                cluster.remaining.restores -= 1;
                let other = cluster.replicas[1 - n].clone();
                let chunks: Vec<_> = other.topics.write_chunks().into_iter().map(|c| c.bytes).collect();
                let topics = self.read(&chunks);
                self.reset(cluster, n, topics, other.applied);
            }
            Event::Open(n) => {
                cluster.remaining.opens -= 1;
                self.subscribe(cluster, n);
            }
            Event::Deliver => self.deliver(cluster),
        }
    }

    fn fingerprint(&self, cluster: &Cluster, into: &mut FingerprintHasher) {
        (cluster.remaining, cluster.seq, &*cluster.log, &cluster.last_events, &cluster.subscriber).hash(into);
        for replica in &cluster.replicas {
            replica.topics.hash_layout(into);
            (replica.applied, &replica.disk).hash(into);
        }
        (cluster
            .feed
            .as_ref()
            .map(|(n, subscription, feed)| (n, subscription, feed.position(), feed.is_following())))
        .hash(into);
    }

    fn violation(&self, cluster: &Cluster) -> Option<String> {
        if cluster.violation.is_some() {
            return cluster.violation.clone();
        }
        let to = cluster.subscriber.complete_to()?;
        let expected = as_of(&cluster.log, to);
        let cached = cluster.subscriber.keys().map(|(key, cached)| {
            (key.clone(), (cached.offset, cached.body.value().unwrap_or_default().to_vec()))
        });
        let actual: BTreeMap<_, _> = cached.collect();
        (actual != expected).then(|| format!("complete to {to:?}: has {actual:?}, but expected {expected:?}"))
    }
}

const SHORT: Remaining =
    Remaining { puts: 2, deletions: 1, horizons: 1, snapshots: 1, restores: 1, opens: 2, cleans: 2 };

fn run(
    remaining: Remaining,
    fault: Option<Fault>,
    prefix: &'static [Event],
    depth: usize,
    states: usize,
) -> Result<Exploration, Counterexample<Event>> {
    explore(&TopicModel { remaining, fault, prefix }, Limits { depth, states, threads: 4 })
}

/// Both keys have values, and the first replica has delivered one of them.
const ONE_KEY_DELIVERED: &[Event] = &[
    Event::Put(0),
    Event::Put(1),
    Event::Apply(0),
    Event::Apply(0),
    Event::Apply(1),
    Event::Open(0),
    Event::Deliver,
    Event::Deliver,
];

/// Both keys have values and the first is deleted. The subscriber has received everything except for the deletion, and the
/// second replica is behind.
const DELETION_PENDING: &[Event] = &[
    Event::Put(0),
    Event::Put(1),
    Event::Apply(0),
    Event::Apply(0),
    Event::Open(0),
    Event::Deliver,
    Event::Deliver,
    Event::Deliver,
    Event::Delete(0),
    Event::Apply(0),
    Event::Apply(1),
    Event::Apply(1),
];

/// As [`DELETION_PENDING`], but the tombstone is in a segment that may be cleaned.
const DELETION_SEALED: &[Event] = &[
    Event::Put(0),
    Event::Put(1),
    Event::Apply(0),
    Event::Apply(0),
    Event::Open(0),
    Event::Deliver,
    Event::Deliver,
    Event::Deliver,
    Event::Delete(0),
    Event::Put(1),
    Event::Put(1),
    Event::Apply(0),
    Event::Apply(0),
    Event::Apply(0),
];

const PREFIXES: [&[Event]; 4] = [&[], ONE_KEY_DELIVERED, DELETION_PENDING, DELETION_SEALED];

#[test]
fn no_order_of_events_violates_completeness() {
    for prefix in PREFIXES {
        let exploration = run(SHORT, None, prefix, 6, 2_000_000).unwrap_or_else(|f| panic!("{f:#?}"));
        println!("{exploration:?}");
        assert!(exploration.complete && exploration.states > 10_000, "{exploration:?}");
    }
}

/// Not part of CI: `cargo test --release -p beechloft-topic --test explored -- --ignored --nocapture`.
#[test]
#[ignore = "millions of states take minutes"]
fn no_order_of_events_violates_completeness_in_large_space() {
    for prefix in PREFIXES {
        let wide =
            Remaining { puts: 3, deletions: 2, horizons: 2, snapshots: 1, restores: 2, opens: 3, cleans: 6 };
        let limits = Limits { depth: 12, states: 1_500_000, threads: 6 };
        let exploration = explore(&TopicModel { remaining: wide, fault: None, prefix }, limits)
            .unwrap_or_else(|f| panic!("{f:#?}"));
        println!("wide: {exploration:?}");
        // Without snapshots and restarts the exploration reaches a greater depth.
        let deep = Remaining { snapshots: 0, restores: 0, ..SHORT };
        let limits = Limits { depth: 16, ..limits };
        let exploration = explore(&TopicModel { remaining: deep, fault: None, prefix }, limits)
            .unwrap_or_else(|f| panic!("{f:#?}"));
        println!("deep: {exploration:?}");
    }
}

#[test]
fn injected_faults_are_detected() {
    let none =
        Remaining { puts: 0, deletions: 0, horizons: 0, snapshots: 0, restores: 0, opens: 0, cleans: 0 };
    let all: [(Fault, Remaining, &'static [Event]); 6] = [
        (Fault::HorizonIgnored, Remaining { horizons: 1, opens: 1, ..none }, DELETION_PENDING),
        (Fault::TombstoneDroppedEarly, Remaining { opens: 1, cleans: 9, ..none }, DELETION_SEALED),
        (Fault::BatchClaimsHead, Remaining { puts: 2, opens: 1, ..none }, &[]),
        (
            Fault::LaggingReplicaServes,
            Remaining { puts: 1, deletions: 1, opens: 1, ..none },
            ONE_KEY_DELIVERED,
        ),
        (Fault::DeletedKeysKept, Remaining { horizons: 1, opens: 1, ..none }, DELETION_PENDING),
        (Fault::OffsetReused, Remaining { puts: 2, opens: 1, ..none }, &[]),
    ];
    for (fault, remaining, prefix) in all {
        let found = run(remaining, Some(fault), prefix, 16, 400_000);
        match &found {
            Err(f) => println!("{fault:?}: {} in {} events, {} states", f.violation, f.trace.len(), f.states),
            Ok(exploration) => println!("{fault:?}: {exploration:?}"),
        }
        assert!(found.is_err(), "{fault:?} is not detected");
    }
}
