//! Subscriptions to topics, served from what this replica has applied, whether it leads or not.
//!
//! A subscription has no queue of its own: its feed is a position in the topic, from which more is taken when the connection has
//! capacity and the subscriber has given credit. A slow subscriber costs its position and a few messages, and holds up nobody.

use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;
use std::time::Duration;

use beechloft_leases::{Name, Response};
use beechloft_replica::Replica;
#[cfg(feature = "planted")]
use beechloft_topic::Fault;
use beechloft_topic::{Feed, Offset, Position, Said, Topic};
use tracing::{debug, info};

use crate::connections::{ConnectionId, Connections};
use crate::wire;

/// Subscriptions at most; there may be more connections.
const MAX_SUBSCRIPTIONS: usize = 640;
/// A subscription is served while fewer messages, batches of about 64 KiB, wait for its connection.
const MAX_QUEUED_BATCHES: usize = 4;
/// Batches for one subscription before the next one has its turn.
const BATCHES_PER_TURN: usize = 4;
/// Bytes encoded for subscriptions before the replica has its turn again.
const BYTES_PER_ROUND: usize = 512 << 10;
/// Minimum interval between two rounds, so that many messages go in one delivery where there are many.
const LINGER: Duration = Duration::from_millis(5);
/// A heartbeat is sent to a subscription on which nothing was sent for this long.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

struct Subscription {
    feed: u64,
    topic: Name,
    position: Feed,
    sent_at: Duration,
    /// Whether it was sent that this replica has no such topic.
    missing_reported: bool,
}

/// A batch without omissions: it is the same for all subscriptions of the topic.
#[derive(PartialEq, Eq, Hash)]
struct BatchKey {
    topic: Name,
    from: Offset,
    to: Offset,
    head: Offset,
}

/// Encoded batches of this round.
type EncodedBatches = HashMap<BatchKey, Vec<u8>>;

/// All subscriptions at this replica.
#[derive(Default)]
pub(super) struct Subscriptions {
    all: BTreeMap<ConnectionId, Subscription>,
    /// The one that was served last.
    last_served: Option<ConnectionId>,
    /// When the next round is due; none if nothing has changed.
    deadline: Option<Duration>,
    served_at: Duration,
    /// Bytes delivered in all.
    pub delivered_bytes: u64,
    #[cfg(feature = "planted")]
    fault: Option<Fault>,
}

/// What all deliveries of a round have in common.
#[derive(Clone, Copy)]
struct Round {
    now: Duration,
    applied: u64,
    silent_ms: u32,
    fleet: u64,
}

impl Subscriptions {
    /// Injects a fault into subscriptions to come.
    #[cfg(feature = "planted")]
    pub fn inject_fault(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    /// Begins a subscription, in place of the one that its connection had.
    ///
    /// # Errors
    /// Busy: there are too many.
    pub fn subscribe(
        &mut self,
        connection: ConnectionId,
        feed: u64,
        topic: Name,
        from: Option<Position>,
        credit: u64,
        now: Duration,
    ) -> Result<(), Response> {
        if self.all.len() >= MAX_SUBSCRIPTIONS && !self.all.contains_key(&connection) {
            return Err(Response::Busy);
        }
        debug!(connection = connection.0, %topic, ?from, "subscribed");
        let mut position = Feed::open(from);
        #[cfg(feature = "planted")]
        if let Some(fault) = self.fault {
            position.plant(fault);
        }
        position.allow(credit);
        let subscription = Subscription { feed, topic, position, sent_at: now, missing_reported: false };
        self.all.insert(connection, subscription);
        self.deadline = Some(now);
        Ok(())
    }

    /// More may be delivered.
    pub fn add_credit(&mut self, connection: ConnectionId, feed: u64, total: u64, now: Duration) {
        if let Some(subscription) = self.all.get_mut(&connection).filter(|s| s.feed == feed) {
            subscription.position.allow(total);
            self.deadline = Some(now);
        }
    }

    /// Ends the subscription of a connection.
    pub fn remove(&mut self, connection: ConnectionId) {
        self.all.remove(&connection);
    }

    /// The number of a topic's subscriptions.
    pub fn count(&self, topic: &Name) -> usize {
        self.all.values().filter(|s| s.topic == *topic).count()
    }

    /// Topics have changed: a round is due soon.
    pub fn on_topic_change(&mut self, now: Duration) {
        let next = now.max(self.served_at + LINGER);
        self.deadline = Some(self.deadline.map_or(next, |due| due.min(next)));
    }

    /// When the next round is due, heartbeats counted.
    pub fn next_deadline(&self) -> Duration {
        let heartbeat =
            if self.all.is_empty() { Duration::MAX } else { self.served_at + HEARTBEAT_INTERVAL / 4 };
        self.deadline.unwrap_or(Duration::MAX).min(heartbeat)
    }

    /// Serves each subscription in turn, as far as a round's bytes go.
    pub fn serve(&mut self, now: Duration, replica: &Replica, connections: &Connections, fleet: u64) {
        if now < self.next_deadline() {
            return;
        }
        let applied = replica.applied_index().0;
        let silent_ms = u32::try_from(replica.staleness().as_millis()).unwrap_or(u32::MAX);
        let round = Round { now, applied, silent_ms, fleet };
        (self.served_at, self.deadline) = (now, None);
        let (mut bytes_left, mut waits, mut batches) = (BYTES_PER_ROUND, false, EncodedBatches::new());
        // Round-robin: each round begins where the last one ended.
        let after = self.last_served.take().map_or(Bound::Unbounded, Bound::Excluded);
        let mut order: Vec<ConnectionId> =
            self.all.range((after, Bound::Unbounded)).map(|(c, _)| *c).collect();
        order.extend(self.all.keys().copied().take(self.all.len() - order.len()));
        for connection in order {
            if bytes_left == 0 {
                // The rest are first in the next round, which is soon: the replica's inputs come between.
                self.deadline = Some(now);
                break;
            }
            self.last_served = Some(connection);
            let Some(subscription) = self.all.get_mut(&connection) else { continue };
            let topic = replica.topics().topic(&subscription.topic);
            let mut sender = Sender { round, connections, connection, batches: &mut batches };
            let turn = subscription.serve(topic, &mut sender);
            self.delivered_bytes += turn.bytes as u64;
            bytes_left = bytes_left.saturating_sub(turn.bytes);
            waits |= turn.more;
        }
        if waits && self.deadline.is_none() {
            self.deadline = Some(now + LINGER);
        }
    }
}

/// Sends to one connection within a round.
struct Sender<'a> {
    round: Round,
    connections: &'a Connections,
    connection: ConnectionId,
    batches: &'a mut EncodedBatches,
}

/// What came of a subscription's turn.
#[derive(Default)]
struct Turn {
    bytes: usize,
    /// Whether there may be more for it, once its connection has capacity.
    more: bool,
}

impl Subscription {
    /// What is to be sent next, if anything.
    fn next(&mut self, topic: Option<&Topic>) -> Option<Said> {
        let Some(topic) = topic else {
            // Not declared as far as this replica knows, which may be behind: another may know more.
            let first = !std::mem::replace(&mut self.missing_reported, true);
            return first.then_some(Said::Behind { head: Offset(0) });
        };
        self.missing_reported = false;
        self.position.next(topic)
    }

    /// Sends what there is, up to a turn's batches.
    fn serve(&mut self, topic: Option<&Topic>, sender: &mut Sender<'_>) -> Turn {
        let mut turn = Turn::default();
        for _ in 0..BATCHES_PER_TURN {
            // Capacity first: what a feed has yielded it does not yield again.
            if !sender.connections.has_capacity(sender.connection, MAX_QUEUED_BATCHES) {
                return Turn { more: true, ..turn };
            }
            let Some(item) = self.next(topic) else {
                if sender.round.now >= self.sent_at + HEARTBEAT_INTERVAL {
                    self.send(&Said::Still, sender);
                }
                return turn;
            };
            if let Said::Anew { base, .. } = &item {
                info!(connection = sender.connection.0, topic = %self.topic, base = base.0, "a subscriber starts over");
            }
            turn.bytes += self.send(&item, sender);
        }
        Turn { more: true, ..turn }
    }

    /// Sends an item; the bytes that it took.
    fn send(&mut self, item: &Said, sender: &mut Sender<'_>) -> usize {
        let round = sender.round;
        self.sent_at = round.now;
        let shared = match item {
            Said::Batch(b) if b.is_whole() => {
                Some(BatchKey { topic: self.topic.clone(), from: b.from, to: b.to, head: b.head })
            }
            _ => None,
        };
        let bytes = match shared {
            Some(key) => sender.batches.entry(key).or_insert_with(|| wire::encode_feed_item(item)).clone(),
            None => wire::encode_feed_item(item),
        };
        let message = wire::encode_delivery(round.fleet, self.feed, round.applied, round.silent_ms, &bytes);
        let length = message.len();
        sender.connections.send(sender.connection, message);
        length
    }
}
