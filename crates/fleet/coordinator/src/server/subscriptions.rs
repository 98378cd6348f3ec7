//! Subscriptions to topics. Leaders and followers both serve them, from their applied state.
//!
//! A subscription has no queue: its feed is a position in the topic, from which the next batch is read when the connection has
//! capacity and the subscriber has granted credit. A slow subscriber costs its position and a few queued messages, and delays
//! no other subscriber.

use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;
use std::time::Duration;

use beechloft_leases::{Name, Response};
use beechloft_replica::Replica;
#[cfg(feature = "planted")]
use beechloft_topic::Fault;
use beechloft_topic::{Feed, FeedItem, Offset, Position, Topic};
use tracing::{debug, info};

use crate::connections::{ConnectionId, Connections};
use crate::wire;

/// Maximum number of subscriptions. It is less than the maximum number of connections.
const MAX_SUBSCRIPTIONS: usize = 640;
/// A subscription gets no batch while this many messages, mostly batches of about 64 KiB, are queued for its connection.
const MAX_QUEUED_BATCHES: usize = 4;
/// Maximum number of batches for one subscription in a round.
const MAX_BATCHES_PER_ROUND: usize = 4;
/// Number of bytes after which a round ends, so that the replica's inputs are handled between rounds.
const ROUND_BYTES: usize = 512 << 10;
/// Minimum interval between the rounds that follow changes of topics, so that several messages share a delivery.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(5);
/// Time without a delivery on a subscription after which a heartbeat is sent.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

struct Subscription {
    /// The id that the subscriber chose.
    id: u64,
    topic: Name,
    feed: Feed,
    sent_at: Duration,
    /// Whether the subscriber was informed that this replica does not have the topic.
    missing_reported: bool,
}

/// Identifies a batch that omits no message, which is the same for all subscriptions of the topic.
#[derive(PartialEq, Eq, Hash)]
struct BatchKey {
    topic: Name,
    from: Offset,
    to: Offset,
    head: Offset,
}

/// The batches that were encoded in a round.
type EncodedBatches = HashMap<BatchKey, Vec<u8>>;

/// All subscriptions at this replica.
#[derive(Default)]
pub(super) struct Subscriptions {
    all: BTreeMap<ConnectionId, Subscription>,
    /// The connection that was served last.
    last_served: Option<ConnectionId>,
    /// Time at which the next round is due, apart from heartbeats. `None` if there is nothing to send.
    deadline: Option<Duration>,
    served_at: Duration,
    /// Number of bytes delivered to all subscribers.
    pub delivered_bytes: u64,
    #[cfg(feature = "planted")]
    fault: Option<Fault>,
}

/// The values that all deliveries of a round share.
#[derive(Clone, Copy)]
struct Round {
    now: Duration,
    applied: u64,
    staleness_ms: u32,
    fleet: u64,
}

impl Subscriptions {
    /// Injects a fault into the subscriptions that are opened from now on.
    #[cfg(feature = "planted")]
    pub fn inject_fault(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    /// Opens a subscription. It replaces the earlier subscription of the connection.
    ///
    /// # Errors
    /// Returns `Busy` if there are too many subscriptions.
    pub fn subscribe(
        &mut self,
        connection: ConnectionId,
        id: u64,
        topic: Name,
        position: Option<Position>,
        credit_bytes: u64,
        now: Duration,
    ) -> Result<(), Response> {
        if self.all.len() >= MAX_SUBSCRIPTIONS && !self.all.contains_key(&connection) {
            return Err(Response::Busy);
        }
        debug!(connection = connection.0, %topic, ?position, "subscribed");
        let mut feed = Feed::open(position);
        #[cfg(feature = "planted")]
        if let Some(fault) = self.fault {
            feed.inject(fault);
        }
        feed.set_credit(credit_bytes);
        let subscription = Subscription { id, topic, feed, sent_at: now, missing_reported: false };
        self.all.insert(connection, subscription);
        self.deadline = Some(now);
        Ok(())
    }

    /// Raises the credit of a subscription to `total_bytes`, counted since the subscription began.
    pub fn set_credit(&mut self, connection: ConnectionId, id: u64, total_bytes: u64, now: Duration) {
        if let Some(subscription) = self.all.get_mut(&connection).filter(|s| s.id == id) {
            subscription.feed.set_credit(total_bytes);
            self.deadline = Some(now);
        }
    }

    /// Removes the subscription of a connection.
    pub fn remove(&mut self, connection: ConnectionId) {
        self.all.remove(&connection);
    }

    /// Returns the number of subscriptions to a topic.
    pub fn count(&self, topic: &Name) -> usize {
        self.all.values().filter(|s| s.topic == *topic).count()
    }

    /// Schedules a round after a change of a topic.
    pub fn on_topic_change(&mut self, now: Duration) {
        let next = now.max(self.served_at + MIN_ROUND_INTERVAL);
        self.deadline = Some(self.deadline.map_or(next, |due| due.min(next)));
    }

    /// Returns the time at which the next round is due, for deliveries or for heartbeats.
    pub fn next_deadline(&self) -> Duration {
        let heartbeat =
            if self.all.is_empty() { Duration::MAX } else { self.served_at + HEARTBEAT_INTERVAL / 4 };
        self.deadline.unwrap_or(Duration::MAX).min(heartbeat)
    }

    /// Runs a round if one is due: serves the subscriptions in round-robin order until the round's bytes are used up.
    pub fn serve(&mut self, now: Duration, replica: &Replica, connections: &Connections, fleet: u64) {
        if now < self.next_deadline() {
            return;
        }
        let applied = replica.applied_index().0;
        let staleness_ms = u32::try_from(replica.staleness().as_millis()).unwrap_or(u32::MAX);
        let round = Round { now, applied, staleness_ms, fleet };
        (self.served_at, self.deadline) = (now, None);
        let (mut bytes_left, mut any_pending, mut batches) = (ROUND_BYTES, false, EncodedBatches::new());
        // Each round begins after the connection at which the last one ended.
        let after = self.last_served.take().map_or(Bound::Unbounded, Bound::Excluded);
        let mut order: Vec<ConnectionId> =
            self.all.range((after, Bound::Unbounded)).map(|(c, _)| *c).collect();
        order.extend(self.all.keys().copied().take(self.all.len() - order.len()));
        for connection in order {
            if bytes_left == 0 {
                // The next round begins with the remaining subscriptions, after the replica's inputs.
                self.deadline = Some(now);
                break;
            }
            self.last_served = Some(connection);
            let Some(subscription) = self.all.get_mut(&connection) else { continue };
            let topic = replica.topics().topic(&subscription.topic);
            let mut sender = DeliverySender { round, connections, connection, batches: &mut batches };
            let progress = subscription.serve(topic, &mut sender);
            self.delivered_bytes += progress.bytes as u64;
            bytes_left = bytes_left.saturating_sub(progress.bytes);
            any_pending |= progress.has_more;
        }
        if any_pending && self.deadline.is_none() {
            self.deadline = Some(now + MIN_ROUND_INTERVAL);
        }
    }
}

/// Sends deliveries to one connection within a round.
struct DeliverySender<'a> {
    round: Round,
    connections: &'a Connections,
    connection: ConnectionId,
    batches: &'a mut EncodedBatches,
}

/// The result of serving one subscription in a round.
#[derive(Default)]
struct Progress {
    bytes: usize,
    /// Whether there may be more to send once the connection has capacity.
    has_more: bool,
}

impl Subscription {
    /// Returns the next item to be sent, or `None` if there is nothing to send.
    fn next(&mut self, topic: Option<&Topic>) -> Option<FeedItem> {
        let Some(topic) = topic else {
            // This replica may lag behind one that has applied the topic's declaration, so it reports that it is behind.
            let first = !std::mem::replace(&mut self.missing_reported, true);
            return first.then_some(FeedItem::Behind { head: Offset(0) });
        };
        self.missing_reported = false;
        self.feed.next(topic)
    }

    /// Sends the pending items, up to the maximum number of batches in a round.
    fn serve(&mut self, topic: Option<&Topic>, sender: &mut DeliverySender<'_>) -> Progress {
        let mut progress = Progress::default();
        for _ in 0..MAX_BATCHES_PER_ROUND {
            // Checked before the feed is advanced, as a feed yields each item once.
            if !sender.connections.has_capacity(sender.connection, MAX_QUEUED_BATCHES) {
                return Progress { has_more: true, ..progress };
            }
            let Some(item) = self.next(topic) else {
                if sender.round.now >= self.sent_at + HEARTBEAT_INTERVAL {
                    self.send(&FeedItem::Heartbeat, sender);
                }
                return progress;
            };
            if let FeedItem::Resync { base, .. } = &item {
                info!(
                    connection = sender.connection.0,
                    topic = %self.topic,
                    base = base.0,
                    "subscriber resynchronizes"
                );
            }
            progress.bytes += self.send(&item, sender);
        }
        Progress { has_more: true, ..progress }
    }

    /// Sends an item and returns the size of its frame in bytes.
    fn send(&mut self, item: &FeedItem, sender: &mut DeliverySender<'_>) -> usize {
        let round = sender.round;
        self.sent_at = round.now;
        let shared = match item {
            FeedItem::Batch(b) if b.is_contiguous() => {
                Some(BatchKey { topic: self.topic.clone(), from: b.from, to: b.to, head: b.head })
            }
            _ => None,
        };
        let bytes = match shared {
            Some(key) => {
                sender.batches.entry(key).or_insert_with(|| wire::encode_delivery_item(item)).clone()
            }
            None => wire::encode_delivery_item(item),
        };
        let message = wire::encode_delivery(round.fleet, self.id, round.applied, round.staleness_ms, &bytes);
        let length = message.len();
        sender.connections.send(sender.connection, message);
        length
    }
}
