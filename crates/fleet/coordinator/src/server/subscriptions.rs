//! Subscriptions to topics, served from what this keeper has applied, whether it leads or not.
//!
//! A subscription has no queue of its own here: a feed is a place in the topic, and it is asked for more when its connection has
//! room and its subscriber allows it. So one that is slow costs its place and a few words, and holds up nobody.

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

/// Subscriptions at most; more connections than these may come in.
const MOST_FEEDS: usize = 640;
/// Words that wait for one connection, at most, before its subscription is asked for more: that many batches of about 64 KiB.
const ROOM: usize = 4;
/// Batches for one subscription before the next one's turn.
const A_FEED: usize = 4;
/// Bytes made for subscriptions before the log's machine has its turn again.
const A_TURN: usize = 512 << 10;
/// What is new is told after this at the earliest from when something was told last, so that many messages go in one word where
/// there are many.
const LINGER: Duration = Duration::from_millis(5);
/// With nothing to tell a sign of life goes out after this.
const STILL: Duration = Duration::from_secs(1);

struct Subscription {
    feed: u64,
    topic: Name,
    place: Feed,
    said_at: Duration,
    /// It was told that this keeper has no such topic.
    missing: bool,
}

/// What was made for one subscription and may be told to others as it is: messages of a topic from one offset to another, with
/// nothing left out.
type Made = HashMap<(Name, Offset, Offset, Offset), Vec<u8>>;

/// All subscriptions at this keeper.
#[derive(Default)]
pub(super) struct Subscriptions {
    all: BTreeMap<ConnectionId, Subscription>,
    /// Whose turn it was last.
    turn: Option<ConnectionId>,
    /// When they have their turn next; none: nothing has changed.
    due: Option<Duration>,
    served_at: Duration,
    /// Bytes told in all.
    pub delivered_bytes: u64,
    #[cfg(feature = "planted")]
    fault: Option<Fault>,
}

/// What all that is told at one moment has in common.
#[derive(Clone, Copy)]
struct Moment {
    now: Duration,
    applied: u64,
    silent_ms: u32,
    fleet: u64,
}

impl Subscriptions {
    /// Plants a fault in subscriptions to come.
    #[cfg(feature = "planted")]
    pub fn plant(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    /// A subscription begins, in place of the one that its connection had.
    pub fn subscribe(
        &mut self,
        conn: ConnectionId,
        (feed, topic): (u64, Name),
        from: Option<Position>,
        allow: u64,
        now: Duration,
    ) -> Result<(), Response> {
        if self.all.len() >= MOST_FEEDS && !self.all.contains_key(&conn) {
            return Err(Response::Busy);
        }
        debug!(conn = conn.0, %topic, ?from, "subscribed");
        let mut place = Feed::open(from);
        #[cfg(feature = "planted")]
        if let Some(fault) = self.fault {
            place.plant(fault);
        }
        place.allow(allow);
        let subscription = Subscription { feed, topic, place, said_at: now, missing: false };
        self.all.insert(conn, subscription);
        self.due = Some(now);
        Ok(())
    }

    /// More may be told.
    pub fn allow(&mut self, conn: ConnectionId, feed: u64, total: u64, now: Duration) {
        if let Some(subscription) = self.all.get_mut(&conn).filter(|s| s.feed == feed) {
            subscription.place.allow(total);
            self.due = Some(now);
        }
    }

    pub fn closed(&mut self, conn: ConnectionId) {
        self.all.remove(&conn);
    }

    /// How many there are of a topic.
    pub fn of(&self, topic: &Name) -> usize {
        self.all.values().filter(|s| s.topic == *topic).count()
    }

    /// Topics have changed.
    pub fn changed(&mut self, now: Duration) {
        let next = now.max(self.served_at + LINGER);
        self.due = Some(self.due.map_or(next, |due| due.min(next)));
    }

    /// When they are to have their turn; by then at the latest, for signs of life.
    pub fn next_due(&self) -> Duration {
        let signs = if self.all.is_empty() { Duration::MAX } else { self.served_at + STILL / 4 };
        self.due.unwrap_or(Duration::MAX).min(signs)
    }

    /// Gives each its turn, as far as a turn's bytes go.
    pub fn serve(&mut self, now: Duration, keeper: &Replica, conns: &Connections, fleet: u64) {
        if now < self.next_due() {
            return;
        }
        let applied = keeper.applied_index().0;
        let silent_ms = u32::try_from(keeper.staleness().as_millis()).unwrap_or(u32::MAX);
        let moment = Moment { now, applied, silent_ms, fleet };
        (self.served_at, self.due) = (now, None);
        let (mut left, mut waits, mut made) = (A_TURN, false, Made::new());
        // Round and round, each turn beginning where the last one ended.
        let after = self.turn.take().map_or(Bound::Unbounded, Bound::Excluded);
        let mut order: Vec<ConnectionId> =
            self.all.range((after, Bound::Unbounded)).map(|(c, _)| *c).collect();
        order.extend(self.all.keys().copied().take(self.all.len() - order.len()));
        for conn in order {
            if left == 0 {
                // The rest are the first in the next turn, which is soon: the machine's inputs come between.
                self.due = Some(now);
                break;
            }
            self.turn = Some(conn);
            let Some(subscription) = self.all.get_mut(&conn) else { continue };
            let topic = keeper.topics().topic(&subscription.topic);
            let told = subscription.tell(moment, topic, &mut made, (conns, conn));
            self.delivered_bytes += told.bytes as u64;
            left = left.saturating_sub(told.bytes);
            waits |= told.more;
        }
        if waits && self.due.is_none() {
            self.due = Some(now + LINGER);
        }
    }
}

/// What came of a subscription's turn.
#[derive(Default)]
struct Told {
    bytes: usize,
    /// There may be more for it, once its connection has room.
    more: bool,
}

impl Subscription {
    /// What is next, if anything.
    fn next(&mut self, topic: Option<&Topic>) -> Option<Said> {
        let Some(topic) = topic else {
            // Not declared as far as this keeper knows, which may be behind: another may know more.
            let first = !std::mem::replace(&mut self.missing, true);
            return first.then_some(Said::Behind { head: Offset(0) });
        };
        self.missing = false;
        self.place.next(topic)
    }

    fn tell(
        &mut self,
        moment: Moment,
        topic: Option<&Topic>,
        made: &mut Made,
        (conns, conn): (&Connections, ConnectionId),
    ) -> Told {
        let mut told = Told::default();
        for _ in 0..A_FEED {
            // Room first: what a feed has said it does not say again.
            if !conns.has_room(conn, ROOM) {
                return Told { more: true, ..told };
            }
            let Some(said) = self.next(topic) else {
                if moment.now >= self.said_at + STILL {
                    self.say(moment, &Said::Still, made, (conns, conn));
                }
                return told;
            };
            if let Said::Anew { base, .. } = &said {
                info!(conn = conn.0, topic = %self.topic, base = base.0, "a subscriber is told all anew");
            }
            told.bytes += self.say(moment, &said, made, (conns, conn));
        }
        Told { more: true, ..told }
    }

    fn say(
        &mut self,
        moment: Moment,
        said: &Said,
        made: &mut Made,
        (conns, conn): (&Connections, ConnectionId),
    ) -> usize {
        self.said_at = moment.now;
        let shared = match said {
            Said::Batch(b) if b.is_whole() => Some((self.topic.clone(), b.from, b.to, b.head)),
            _ => None,
        };
        let bytes = match shared {
            Some(key) => made.entry(key).or_insert_with(|| wire::encode_feed_item(said)).clone(),
            None => wire::encode_feed_item(said),
        };
        let word = wire::encode_delivery(moment.fleet, self.feed, moment.applied, moment.silent_ms, &bytes);
        let length = word.len();
        conns.say(conn, word);
        length
    }
}
