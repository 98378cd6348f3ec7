//! Simulation of replicas, subscribers and publishers of a topic in one process, with faults.
//!
//! Replicas have clocks of different rates. The network between replicas and publishers loses, delays and duplicates messages,
//! links are cut, and connections of subscribers break. The simulation applies the committed entries to topics of its own, with
//! which it compares what replicas, subscribers and publishers observe.

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

/// A storage in memory, which survives restarts of the replica.
#[derive(Debug, Clone, Default)]
struct MemoryStorage(PersistentState);

impl Storage for MemoryStorage {
    type Error = Infallible;

    fn save(&mut self, update: &StateUpdate) -> Result<(), Infallible> {
        self.0.apply(update);
        Ok(())
    }
}

struct ReplicaProcess {
    replica: Replica,
    storage: MemoryStorage,
    rate: f64,
    running: bool,
    incarnation: u32,
    paused_until: Duration,
    /// Feeds by the index of the subscriber, each with the id of the subscription and the true time at which its last message
    /// arrives.
    feeds: BTreeMap<usize, (u64, Feed, Duration)>,
}

/// A subscriber, its connection, and what it has reported.
pub struct SimulatedSubscriber {
    pub machine: Subscriber,
    /// Replica and subscription id of the current connection.
    connection: Option<(NodeId, u64)>,
    /// Offset of the last change that was reported, by key.
    last_offsets: BTreeMap<Key, Offset>,
    paused_until: Duration,
    next_replica: usize,
    /// Offset to which the content was last checked.
    checked_to: Option<Offset>,
    /// Number of feeds that had to restart from the whole content.
    pub restarts: usize,
    pub behind_count: usize,
}

/// A publisher's process. A killed process is replaced by one with the next incarnation.
pub struct SimulatedPublisher {
    machine: Publisher,
    locator: LeaderLocator,
    incarnation: u64,
}

enum ScheduledEvent {
    Peer(Message),
    ReplicaTick(NodeId, u32),
    Restart(NodeId),
    TopicRequest(NodeId, usize, TopicRequest),
    TopicResponse(usize, u64, Result<TopicResponse, Option<usize>>),
    Subscribe(NodeId, usize, u64, Option<Position>, u64),
    GrantCredit(NodeId, usize, u64, u64),
    FeedMessage(usize, Delivery),
    Disconnected(usize, u64),
    SubscriberTick(usize),
    PublisherTick(usize, u64),
    FeedHeartbeat(NodeId, u32),
}

/// A simulation of replicas, subscribers and publishers under true time.
pub struct SimulatedFleet {
    replicas: BTreeMap<NodeId, ReplicaProcess>,
    pub subscribers: Vec<SimulatedSubscriber>,
    pub publishers: Vec<SimulatedPublisher>,
    pub now: Duration,
    /// Probabilities of a message's loss, duplication and long delay, and of a replica's crash per input, in thousandths.
    pub loss_per_mille: u32,
    pub duplicate_per_mille: u32,
    pub delay_per_mille: u32,
    pub crash_per_mille: u32,
    /// Senders and receivers between which consensus messages are lost.
    pub cut_links: BTreeSet<(NodeId, NodeId)>,
    pub rng: ChaCha8Rng,
    drift: DriftBound,
    settings: Settings,
    fault: Option<Fault>,
    scheduled: BTreeMap<(Duration, u64), ScheduledEvent>,
    last_event_id: u64,
    /// Committed entries by index.
    log: BTreeMap<u64, Payload>,
    /// Topics that result from the committed entries up to `expected_applied`.
    expected_topics: Topics,
    expected_applied: u64,
    /// Keys and values in the order of their offsets.
    pub appended_records: Vec<(Key, Option<Vec<u8>>)>,
    offsets_by_ticket: BTreeMap<u64, Offset>,
    /// Outcomes by ticket, each with the key and whether the publication is a deletion.
    pub outcomes: BTreeMap<u64, Option<(Key, bool, Outcome)>>,
    /// Publications by ticket, each with the key and whether it is a deletion.
    publications: BTreeMap<u64, (Key, bool)>,
    last_ticket: u64,
    pub violation: Option<String>,
    /// Replica that was lost with its storage, and the new replica that replaces it.
    replacement: Option<(NodeId, NodeId)>,
    next_node_id: u64,
    pub replaced_count: usize,
    pub caught_up_count: usize,
    pub horizon_count: usize,
    pub restored_count: usize,
}

pub fn topic_name() -> Name {
    Name::try_from("fleet/test".to_owned()).expect("a name")
}

fn key(index: usize) -> Key {
    Key::new(format!("k{index}").as_bytes()).expect("a key")
}

/// Returns the ticket with which a value starts.
fn ticket_of(value: &[u8]) -> Option<u64> {
    let end = value.iter().position(|byte| *byte == b':')?;
    std::str::from_utf8(&value[..end]).ok()?.parse().ok()
}

impl SimulatedFleet {
    pub fn new(
        replicas: u64,
        subscribers: usize,
        publishers: usize,
        seed: u64,
        fault: Option<Fault>,
    ) -> SimulatedFleet {
        let members = Membership::of((1..=replicas).map(|id| (NodeId(id), format!("k{id}"))));
        let settings = Settings {
            election_timeout: Duration::from_millis(200),
            heartbeat_interval: Duration::from_millis(50),
            ..Settings::default()
        };
        let mut fleet = SimulatedFleet {
            replicas: BTreeMap::new(),
            subscribers: Vec::new(),
            publishers: Vec::new(),
            now: Duration::from_secs(1),
            loss_per_mille: 0,
            duplicate_per_mille: 0,
            delay_per_mille: 0,
            crash_per_mille: 0,
            cut_links: BTreeSet::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            drift: DriftBound::ppm(50_000).expect("within bounds"),
            settings,
            fault,
            scheduled: BTreeMap::new(),
            last_event_id: 0,
            log: BTreeMap::new(),
            expected_topics: Topics::default(),
            expected_applied: 0,
            appended_records: Vec::new(),
            offsets_by_ticket: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            publications: BTreeMap::new(),
            last_ticket: 0,
            violation: None,
            replacement: None,
            next_node_id: replicas + 1,
            replaced_count: 0,
            caught_up_count: 0,
            horizon_count: 0,
            restored_count: 0,
        };
        for id in members.voters() {
            fleet.add_replica(id, MemoryStorage(PersistentState::first(members.clone())));
        }
        for index in 0..subscribers {
            let settings = SubscriberSettings {
                window_bytes: [20_000, 256 << 10][index % 2],
                unresponsive_timeout: Duration::from_millis(1_500),
                max_staleness: Duration::from_secs(2),
                retry_backoff: (Duration::from_millis(50), Duration::from_secs(1)),
            };
            let machine = Subscriber::new(topic_name(), settings, seed + index as u64);
            let (last_offsets, paused_until) = (BTreeMap::new(), Duration::ZERO);
            fleet.subscribers.push(SimulatedSubscriber {
                machine,
                connection: None,
                last_offsets,
                paused_until,
                next_replica: index,
                checked_to: None,
                restarts: 0,
                behind_count: 0,
            });
            fleet.handle_at_subscriber(index, SubscriberInput::Start);
        }
        for index in 0..publishers {
            let publisher = fleet.new_publisher(index, 0);
            fleet.publishers.push(publisher);
        }
        fleet
    }

    fn rate(&mut self) -> f64 {
        [0.95, 1.0, 1.05][self.rng.random_range(0..3)]
    }

    fn add_replica(&mut self, id: NodeId, storage: MemoryStorage) {
        let rate = self.rate();
        let replica = self.start_replica(id, &storage, rate);
        let (paused_until, feeds) = (Duration::ZERO, BTreeMap::new());
        self.replicas.insert(
            id,
            ReplicaProcess { replica, storage, rate, running: true, incarnation: 0, paused_until, feeds },
        );
        self.schedule_replica_tick(id);
        self.schedule(Duration::from_millis(500), ScheduledEvent::FeedHeartbeat(id, 0));
    }

    fn start_replica(&mut self, id: NodeId, storage: &MemoryStorage, rate: f64) -> Replica {
        let (now, seed) = (self.now.mul_f64(rate), self.rng.random());
        let mut replica = Replica::new(id, self.settings, storage.0.clone(), self.drift, seed, now)
            .expect("a readable snapshot");
        if let Some(fault) = self.fault {
            replica.inject_fault(fault);
        }
        replica
    }

    fn new_publisher(&mut self, index: usize, incarnation: u64) -> SimulatedPublisher {
        let settings = PublisherSettings {
            retry_backoff: (Duration::from_millis(150), Duration::from_secs(1)),
            delivery_timeout: Duration::from_secs(6),
            ..PublisherSettings::default()
        };
        let id = PublisherId(1_000 * incarnation + index as u64);
        let machine = Publisher::shared(id, topic_name(), settings, self.rng.random());
        SimulatedPublisher { machine, locator: LeaderLocator::new(self.replicas.len(), index), incarnation }
    }

    fn schedule(&mut self, after: Duration, event: ScheduledEvent) {
        self.last_event_id += 1;
        self.scheduled.insert((self.now + after, self.last_event_id), event);
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        self.rng.random_range(0..1000) < per_mille
    }

    fn network_delay(&mut self) -> Duration {
        let max_ms = if self.chance(self.delay_per_mille) { 2_000 } else { 10 };
        Duration::from_micros(self.rng.random_range(200..max_ms * 1000))
    }

    fn record_violation(&mut self, why: String) {
        let now = self.now;
        self.violation.get_or_insert_with(|| format!("{now:?}: {why}"));
    }

    fn schedule_replica_tick(&mut self, id: NodeId) {
        let Some(process) = self.replicas.get(&id) else { return };
        let due = process.replica.next_due().div_f64(process.rate).saturating_sub(self.now);
        let incarnation = process.incarnation;
        self.schedule(due + Duration::from_micros(50), ScheduledEvent::ReplicaTick(id, incarnation));
    }

    /// Advances true time and handles the events that are due.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.scheduled.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            // A paused replica handles the event when it resumes.
            let receiver = match &event {
                ScheduledEvent::Peer(message) => Some(message.to),
                ScheduledEvent::ReplicaTick(id, _)
                | ScheduledEvent::TopicRequest(id, ..)
                | ScheduledEvent::Subscribe(id, ..) => Some(*id),
                ScheduledEvent::GrantCredit(id, ..) | ScheduledEvent::FeedHeartbeat(id, _) => Some(*id),
                _ => None,
            };
            let paused_until =
                receiver.and_then(|id| self.replicas.get(&id)).map(|process| process.paused_until);
            if let Some(until) = paused_until.filter(|until| *until > self.now) {
                self.schedule(until - self.now, event);
                continue;
            }
            self.handle_event(event);
            if self.violation.is_some() {
                return;
            }
        }
        self.now = end;
    }

    fn is_running(&self, id: NodeId, incarnation: u32) -> bool {
        self.replicas.get(&id).is_some_and(|process| process.running && process.incarnation == incarnation)
    }

    fn handle_event(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Peer(message) => self.handle_at_replica(message.to, ReplicaInput::Peer(message)),
            ScheduledEvent::ReplicaTick(id, incarnation) => {
                if self.is_running(id, incarnation) {
                    self.handle_at_replica(id, ReplicaInput::Tick);
                    self.schedule_replica_tick(id);
                }
            }
            ScheduledEvent::Restart(id) => self.restart_replica(id),
            ScheduledEvent::TopicRequest(id, index, request) => {
                self.handle_at_replica(id, ReplicaInput::TopicRequest(ClientId(index as u64), request))
            }
            ScheduledEvent::TopicResponse(index, incarnation, response) => {
                if self.publishers[index].incarnation == incarnation {
                    let input = match response {
                        Ok(response) => {
                            self.publishers[index].locator.on_response();
                            PublisherInput::Response(response)
                        }
                        Err(leader) => {
                            self.publishers[index].locator.on_not_leader(leader);
                            PublisherInput::NotAccepted
                        }
                    };
                    self.handle_at_publisher(index, input);
                }
            }
            ScheduledEvent::Subscribe(id, index, subscription, from, credit) => {
                match self.replicas.get_mut(&id).filter(|process| process.running) {
                    None => self.schedule(
                        Duration::from_millis(5),
                        ScheduledEvent::Disconnected(index, subscription),
                    ),
                    Some(process) => {
                        let mut feed = Feed::open(from);
                        if let Some(fault) = self.fault {
                            feed.inject(fault);
                        }
                        feed.set_credit(credit);
                        process.feeds.insert(index, (subscription, feed, Duration::ZERO));
                        self.send_feed_messages(id, index);
                    }
                }
            }
            ScheduledEvent::GrantCredit(id, index, subscription, total) => {
                let feeds = self.replicas.get_mut(&id).map(|process| &mut process.feeds);
                if let Some((current, feed, _)) = feeds.and_then(|feeds| feeds.get_mut(&index))
                    && *current == subscription
                {
                    feed.set_credit(total);
                    self.send_feed_messages(id, index);
                }
            }
            ScheduledEvent::FeedMessage(index, message) => {
                // Messages wait in the connection of a paused subscriber until it resumes or the connection breaks.
                if self.subscribers[index].paused_until > self.now {
                    let after = self.subscribers[index].paused_until - self.now;
                    return self.schedule(after, ScheduledEvent::FeedMessage(index, message));
                }
                let bytes = postcard::to_allocvec(&message).expect("a message has an encoding");
                let message = postcard::from_bytes(&bytes).expect("an encoded message");
                self.handle_at_subscriber(index, SubscriberInput::Delivery(message));
            }
            ScheduledEvent::Disconnected(index, subscription) => {
                self.handle_at_subscriber(index, SubscriberInput::Disconnected(subscription));
            }
            ScheduledEvent::SubscriberTick(index) => self.handle_at_subscriber(index, SubscriberInput::Tick),
            ScheduledEvent::PublisherTick(index, incarnation) => {
                if self.publishers[index].incarnation == incarnation {
                    self.handle_at_publisher(index, PublisherInput::Tick);
                }
            }
            ScheduledEvent::FeedHeartbeat(id, incarnation) => {
                if self.is_running(id, incarnation) {
                    let subscribers: Vec<usize> = self.replicas[&id].feeds.keys().copied().collect();
                    subscribers
                        .into_iter()
                        .for_each(|index| self.send_feed_message(id, index, FeedItem::Heartbeat));
                    self.schedule(Duration::from_millis(500), ScheduledEvent::FeedHeartbeat(id, incarnation));
                }
            }
        }
    }

    fn handle_at_replica(&mut self, id: NodeId, input: ReplicaInput) {
        let crash = self.chance(self.crash_per_mille);
        let Some(process) = self.replicas.get_mut(&id).filter(|process| process.running) else { return };
        let local_time = self.now.mul_f64(process.rate);
        let mut out = PendingOutputs::default();
        process.replica.handle(local_time, input, &mut out);
        if crash {
            self.stop_replica(id);
            let after = Duration::from_millis(self.rng.random_range(1..1_500));
            return self.schedule(after, ScheduledEvent::Restart(id));
        }
        let Ok(ready) = out.persist(&mut process.storage);
        let committed: Vec<_> =
            ready.committed_entries.iter().map(|entry| (entry.at.index.0, entry.payload.clone())).collect();
        self.restored_count += usize::from(ready.installed_snapshot.is_some());
        let outputs = process.replica.process_ready(local_time, ready).expect("a readable snapshot");
        process.replica.clean_topics();
        let ids = self.replica_ids();
        committed.into_iter().for_each(|(index, payload)| self.record_committed(index, payload));
        for output in outputs {
            match output {
                ReplicaOutput::Peer(message) => {
                    if self.cut_links.contains(&(message.from, message.to))
                        || self.chance(self.loss_per_mille)
                    {
                        continue;
                    }
                    for _ in 0..1 + u32::from(self.chance(self.duplicate_per_mille)) {
                        let delay = self.network_delay();
                        self.schedule(delay, ScheduledEvent::Peer(message.clone()));
                    }
                }
                ReplicaOutput::TopicResponse(client, response) => self.send_response(client, Ok(response)),
                ReplicaOutput::TopicRequestRejected(client, _, why) => {
                    let leader = if let RequestError::NotLeader(Some(id)) = why { Some(id) } else { None };
                    self.send_response(
                        client,
                        Err(leader.and_then(|leader| ids.iter().position(|id| *id == leader))),
                    );
                }
                _ => {}
            }
        }
        let subscribers: Vec<usize> = self.replicas[&id].feeds.keys().copied().collect();
        subscribers.into_iter().for_each(|index| self.send_feed_messages(id, index));
    }

    fn send_response(&mut self, client: ClientId, response: Result<TopicResponse, Option<usize>>) {
        if self.chance(self.loss_per_mille) {
            return;
        }
        let index = client.0 as usize;
        let (delay, incarnation) = (self.network_delay(), self.publishers[index].incarnation);
        self.schedule(delay, ScheduledEvent::TopicResponse(index, incarnation, response));
    }

    /// Checks that all replicas commit the same entry at an index, and applies entries in their order to the expected topics.
    fn record_committed(&mut self, index: u64, payload: Payload) {
        if self.log.get(&index).is_some_and(|known| *known != payload) {
            return self.record_violation(format!("replicas committed different entries at {index}"));
        }
        self.log.insert(index, payload);
        while let Some(payload) = self.log.get(&(self.expected_applied + 1)).cloned() {
            self.expected_applied += 1;
            let Payload::Command(bytes) = payload else { continue };
            let Some(Command::Topics(command)) = Command::read(&bytes) else { continue };
            let event = self.expected_topics.apply(&command).1;
            match (&command, event) {
                (_, Some(TopicEvent::Horizon(..))) => self.horizon_count += 1,
                (TopicCommand::Request(request), Some(TopicEvent::Appended(_, offset))) => {
                    self.record_appended(request, offset);
                }
                _ => {}
            }
        }
    }

    /// Checks the offset of an appended record, and that no publication is appended twice.
    fn record_appended(&mut self, request: &TopicRequest, offset: Offset) {
        let TopicOp::Publish { record, .. } = &request.op else { return };
        if offset.0 != self.appended_records.len() as u64 {
            return self.record_violation(format!(
                "{offset:?} was assigned instead of offset {}",
                self.appended_records.len()
            ));
        }
        let value = record.value.as_ref().map(|value| value.bytes().to_vec());
        if let Some(previous) =
            value.as_ref().and_then(|value| self.offsets_by_ticket.insert(ticket_of(value)?, offset))
        {
            self.record_violation(format!(
                "one publication was appended twice, at {previous:?} and {offset:?}"
            ));
        }
        self.appended_records.push((record.key.clone(), value));
    }

    /// Sends all messages for which the feed has credit.
    fn send_feed_messages(&mut self, id: NodeId, index: usize) {
        loop {
            let Some(process) = self.replicas.get_mut(&id).filter(|process| process.running) else { return };
            let Some(topic) = process.replica.topics().topic(&topic_name()) else { return };
            let Some(message) = process.feeds.get_mut(&index).and_then(|(_, feed, _)| feed.next(topic))
            else {
                return;
            };
            if matches!(message, FeedItem::Resync { .. }) {
                self.subscribers[index].restarts += 1;
            }
            self.send_feed_message(id, index, message);
        }
    }

    fn send_feed_message(&mut self, id: NodeId, index: usize, item: FeedItem) {
        let delay = self.network_delay();
        let Some(process) = self.replicas.get_mut(&id) else { return };
        let (applied_index, staleness) = (process.replica.applied_index().0, process.replica.staleness());
        let Some((subscription, _, last_arrival)) = process.feeds.get_mut(&index) else { return };
        // A connection delivers messages in their order.
        *last_arrival = (self.now + delay).max(*last_arrival);
        let (subscription, arrival) = (*subscription, *last_arrival);
        let message =
            Delivery { subscription, applied_index, staleness_ms: staleness.as_millis() as u32, item };
        self.schedule(arrival - self.now, ScheduledEvent::FeedMessage(index, message));
    }

    fn handle_at_subscriber(&mut self, index: usize, input: SubscriberInput) {
        if self.subscribers[index].paused_until > self.now {
            let after = self.subscribers[index].paused_until - self.now;
            return self.schedule(after, ScheduledEvent::SubscriberTick(index));
        }
        for output in self.subscribers[index].machine.handle(self.now, input) {
            match output {
                SubscriberOutput::Subscribe {
                    subscription: feed,
                    position: from,
                    credit_bytes: allow,
                    ..
                } => {
                    let ids = self.replica_ids();
                    self.subscribers[index].next_replica += 1;
                    let id = ids[self.subscribers[index].next_replica % ids.len()];
                    self.unsubscribe(index);
                    self.subscribers[index].connection = Some((id, feed));
                    let delay = self.network_delay();
                    self.schedule(delay, ScheduledEvent::Subscribe(id, index, feed, from, allow));
                }
                SubscriberOutput::Credit { subscription, total_bytes } => {
                    if let Some((id, _)) =
                        self.subscribers[index].connection.filter(|(_, current)| *current == subscription)
                    {
                        let delay = self.network_delay();
                        self.schedule(
                            delay,
                            ScheduledEvent::GrantCredit(id, index, subscription, total_bytes),
                        );
                    }
                }
                SubscriberOutput::Unsubscribe(_) => self.unsubscribe(index),
                SubscriberOutput::Updated(message) => {
                    let key = Key::new(message.key()).expect("a key");
                    let previous = self.subscribers[index].last_offsets.insert(key, message.offset);
                    if previous >= Some(message.offset) {
                        self.record_violation(format!(
                            "subscriber {index} received {message:?} after {previous:?}"
                        ));
                    }
                }
                SubscriberOutput::Deleted(key, offset) => {
                    let previous = self.subscribers[index].last_offsets.insert(key.clone(), offset);
                    if previous > Some(offset) {
                        self.record_violation(format!(
                            "subscriber {index} received the deletion of {key:?} at {offset:?} after {previous:?}"
                        ));
                    }
                }
                SubscriberOutput::CaughtUp(_) => self.caught_up_count += 1,
                SubscriberOutput::Behind => self.subscribers[index].behind_count += 1,
                SubscriberOutput::ProtocolViolation(why) => {
                    self.record_violation(format!("subscriber {index} detected a protocol violation: {why}"))
                }
            }
        }
        self.check_subscriber(index);
        if let Some(due) = self.subscribers[index].machine.next_due() {
            self.schedule(
                due.saturating_sub(self.now) + Duration::from_micros(10),
                ScheduledEvent::SubscriberTick(index),
            );
        }
    }

    fn unsubscribe(&mut self, index: usize) {
        if let Some((id, subscription)) = self.subscribers[index].connection.take()
            && let Some(process) = self.replicas.get_mut(&id)
            && process.feeds.get(&index).is_some_and(|feed| feed.0 == subscription)
        {
            process.feeds.remove(&index);
        }
    }

    /// Checks that a subscriber's content is that of the log up to the offset to which the subscriber claims to be complete.
    fn check_subscriber(&mut self, index: usize) {
        let Some(complete_to) = self.subscribers[index].machine.complete_to() else { return };
        // The content changes only with the offset, so each offset is checked once.
        if self.subscribers[index].checked_to.replace(complete_to) == Some(complete_to) {
            return;
        }
        let machine = &self.subscribers[index].machine;
        let mut expected: BTreeMap<&Key, (Offset, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in self.appended_records.iter().enumerate().take(complete_to.0 as usize) {
            match value {
                Some(value) => drop(expected.insert(key, (Offset(offset as u64), value))),
                None => drop(expected.remove(key)),
            }
        }
        let actual: BTreeMap<&Key, (Offset, &[u8])> = machine
            .keys()
            .map(|(key, entry)| (key, (entry.offset, entry.body.value().unwrap_or_default())))
            .collect();
        if actual != expected {
            let offsets = |content: &BTreeMap<&Key, (Offset, &[u8])>| -> Vec<(Key, Offset)> {
                content.iter().map(|(key, entry)| ((*key).clone(), entry.0)).collect()
            };
            let (actual, expected) = (offsets(&actual), offsets(&expected));
            self.record_violation(format!(
                "subscriber {index} is complete to {complete_to:?} with {actual:?} instead of {expected:?}"
            ));
        }
    }

    /// Publishes a random record, or deletes a random key.
    pub fn publish(&mut self, index: usize) {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let key = key(self.rng.random_range(0..12));
        let kind = self.rng.random_range(0..10);
        let current_offset =
            self.expected_topics.topic(&topic_name()).and_then(|topic| topic.offset_of(key.bytes()));
        let expect = match kind {
            0..7 => Expect::Anything,
            _ => current_offset.map_or(Expect::Absent, Expect::At),
        };
        let delete = matches!(kind, 0 | 1 | 9);
        let value = (!delete).then(|| {
            let mut value = format!("{ticket}:").into_bytes();
            // Large values, so that segments are sealed and snapshots are taken within a run.
            value.resize(self.rng.random_range(20..24_000), b'.');
            Value::new(&value).expect("a value")
        });
        self.publications.insert(ticket, (key.clone(), delete));
        let record = Record { key, value };
        self.handle_at_publisher(
            index,
            PublisherInput::Publish { ticket: PublisherTicket(ticket), record, expect },
        );
    }

    fn handle_at_publisher(&mut self, index: usize, input: PublisherInput) {
        for output in self.publishers[index].machine.handle(self.now, input) {
            match output {
                PublisherOutput::Send(request) => {
                    let ids = self.replica_ids();
                    let to = ids[self.publishers[index].locator.next_target() % ids.len()];
                    let copies = u32::from(!self.chance(self.loss_per_mille))
                        + u32::from(self.chance(self.duplicate_per_mille));
                    for _ in 0..copies {
                        let delay = self.network_delay();
                        self.schedule(delay, ScheduledEvent::TopicRequest(to, index, request.clone()));
                    }
                }
                PublisherOutput::Settled(PublisherTicket(ticket), outcome) => {
                    self.record_outcome(ticket, outcome)
                }
                PublisherOutput::Fenced(epoch) => self.record_violation(format!(
                    "a publisher of a topic with many writers was fenced by {epoch:?}"
                )),
            }
        }
        let (due, incarnation) =
            (self.publishers[index].machine.next_due(), self.publishers[index].incarnation);
        if let Some(due) = due {
            self.schedule(
                due.saturating_sub(self.now) + Duration::from_micros(10),
                ScheduledEvent::PublisherTick(index, incarnation),
            );
        }
    }

    /// Checks that a publication has one outcome, and that a written one is in the log at its offset.
    fn record_outcome(&mut self, ticket: u64, outcome: Outcome) {
        let Some((key, delete)) = self.publications.get(&ticket).cloned() else { return };
        if self.outcomes.insert(ticket, Some((key.clone(), delete, outcome))).is_some() {
            return self.record_violation(format!("publication {ticket} has two outcomes"));
        }
        if let Outcome::Written(offset) = outcome {
            let appended = self.appended_records.get(offset.0 as usize);
            let matches = appended.is_some_and(|(appended_key, value)| {
                *appended_key == key
                    && value.as_ref().map_or(delete, |value| !delete && ticket_of(value) == Some(ticket))
            });
            if !matches {
                let appended =
                    appended.map(|(key, value)| (key, value.as_ref().map(|value| ticket_of(value))));
                self.record_violation(format!(
                    "publication {ticket} has the outcome written at {offset:?}, where the log has {appended:?}"
                ));
            }
        }
    }

    /// Declares the topic at the leader until it exists.
    pub fn declare(&mut self) {
        let config = TopicConfig { retention_ms: 2_000, ..TopicConfig::default() };
        if let Some(leader) = self.leader().filter(|_| self.expected_topics.topic(&topic_name()).is_none()) {
            let topic_id = self.rng.random();
            self.handle_at_replica(leader, ReplicaInput::DeclareTopic(topic_id, topic_name(), config));
        }
    }

    pub fn leader(&self) -> Option<NodeId> {
        let leads = |process: &&ReplicaProcess| process.running && process.replica.raft().is_leader();
        self.replicas
            .values()
            .filter(leads)
            .map(|process| process.replica.status())
            .max_by_key(|status| status.term)
            .map(|status| status.id)
    }

    pub fn replica_ids(&self) -> Vec<NodeId> {
        self.replicas.keys().copied().collect()
    }

    /// Breaks all connections of a replica. The subscribers detect it.
    fn disconnect_subscribers(&mut self, id: NodeId) {
        let feeds =
            self.replicas.get_mut(&id).map(|process| std::mem::take(&mut process.feeds)).unwrap_or_default();
        for (index, (subscription, ..)) in feeds {
            self.schedule(Duration::from_millis(3), ScheduledEvent::Disconnected(index, subscription));
        }
    }

    pub fn stop_replica(&mut self, id: NodeId) {
        self.disconnect_subscribers(id);
        if let Some(process) = self.replicas.get_mut(&id) {
            process.running = false;
            process.incarnation += 1;
        }
    }

    pub fn restart_replica(&mut self, id: NodeId) {
        let Some(process) = self.replicas.get(&id).filter(|process| !process.running) else { return };
        let (storage, rate, incarnation) = (process.storage.clone(), process.rate, process.incarnation);
        let replica = self.start_replica(id, &storage, rate);
        if let Some(process) = self.replicas.get_mut(&id) {
            (process.replica, process.running) = (replica, true);
        }
        self.schedule_replica_tick(id);
        self.schedule(Duration::from_millis(500), ScheduledEvent::FeedHeartbeat(id, incarnation));
    }

    /// Loses a replica with its storage, and starts a new one with empty storage.
    ///
    /// Has no effect during another replacement, because a second loss could leave the cluster without a quorum.
    pub fn lose_replica(&mut self, id: NodeId) {
        if self.replacement.is_some() || !self.replicas.contains_key(&id) {
            return;
        }
        self.disconnect_subscribers(id);
        self.replicas.remove(&id);
        let new = NodeId(self.next_node_id);
        self.next_node_id += 1;
        self.add_replica(new, MemoryStorage::default());
        self.replacement = Some((id, new));
    }

    /// Takes the operator's next step of a replacement at the leader.
    ///
    /// The steps remove the lost replica, add the new one as a learner, and promote it to a voter.
    pub fn continue_replacement(&mut self) {
        let (Some((old, new)), Some(leader)) = (self.replacement, self.leader()) else { return };
        let Some(process) = self.replicas.get(&leader).filter(|process| process.paused_until <= self.now)
        else {
            return;
        };
        let members = process.replica.status().members;
        let change = if members.get(old).is_some() {
            MembershipChange::Remove(old)
        } else {
            match members.get(new) {
                None => MembershipChange::AddLearner(new, format!("k{}", new.0)),
                Some(member) if !member.voter => MembershipChange::Promote(new),
                Some(_) => {
                    self.replaced_count += 1;
                    self.replacement = None;
                    return;
                }
            }
        };
        self.handle_at_replica(
            leader,
            ReplicaInput::Raft(Input::ChangeMembership(RequestId(self.last_event_id), change)),
        );
    }

    pub fn pause_replica(&mut self, id: NodeId, span: Duration) {
        let until = self.now + span;
        self.replicas.entry(id).and_modify(|process| process.paused_until = until);
    }

    /// Breaks a subscriber's connection and pauses the subscriber, which detects the break when it resumes.
    pub fn disconnect_subscriber(&mut self, index: usize, pause: Duration) {
        let connection = self.subscribers[index].connection;
        self.unsubscribe(index);
        self.subscribers[index].paused_until = self.now + pause;
        if let Some((_, subscription)) = connection {
            self.schedule(
                pause + Duration::from_millis(1),
                ScheduledEvent::Disconnected(index, subscription),
            );
        }
    }

    /// Kills a publisher's process and starts another in its place.
    pub fn kill_publisher(&mut self, index: usize) {
        let incarnation = self.publishers[index].incarnation + 1;
        self.publishers[index] = self.new_publisher(index, incarnation);
    }

    /// Ends all faults and restarts all replicas.
    pub fn heal(&mut self) {
        (self.loss_per_mille, self.duplicate_per_mille, self.delay_per_mille, self.crash_per_mille) =
            (0, 0, 0, 0);
        self.cut_links.clear();
        self.replica_ids().into_iter().for_each(|id| self.restart_replica(id));
    }

    /// Checks the state that must be reached some time after all faults have ended.
    pub fn check_final_state(&mut self) {
        let head = Offset(self.appended_records.len() as u64);
        for index in 0..self.subscribers.len() {
            let complete_to = self.subscribers[index].machine.complete_to();
            if complete_to != Some(head) {
                self.record_violation(format!(
                    "subscriber {index} is complete to {complete_to:?} instead of {head:?}"
                ));
            }
        }
        let expected_topics = self.expected_topics.clone();
        let differing: Vec<NodeId> = self
            .replicas
            .iter()
            .filter(|(_, process)| *process.replica.topics() != expected_topics)
            .map(|(id, _)| *id)
            .collect();
        if !differing.is_empty() {
            self.record_violation(format!("the topics of {differing:?} differ from the log"));
        }
        let outcomes: Vec<_> =
            self.outcomes.iter().filter_map(|(ticket, outcome)| Some((*ticket, outcome.clone()?))).collect();
        for (ticket, (_, delete, outcome)) in outcomes {
            let is_appended = self.offsets_by_ticket.contains_key(&ticket);
            let is_wrong = match outcome {
                Outcome::Written(_) => !delete && !is_appended,
                Outcome::Refused(_) | Outcome::QueueFull | Outcome::TimedOut => is_appended,
                Outcome::Unsure => false,
            };
            if is_wrong {
                self.record_violation(format!(
                    "publication {ticket} has outcome {outcome:?}, but is_appended is {is_appended}"
                ));
            }
        }
    }
}
