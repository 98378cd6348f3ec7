//! Replica's side of one subscription.
//!
//! The state of a feed is a position in the topic. It reads messages in offset order and skips those that were superseded. A
//! subscriber that has received everything up to the head has the latest message of each key, because the latest message was
//! not superseded when the feed reached it. From then on the feed skips nothing: the newest messages, which the cleaner does
//! not touch, are a queue that all subscribers share. A subscriber that falls behind them returns to catching up.

use serde::{Deserialize, Serialize};

use crate::fault_injection::Fault;
use crate::message::Message;
use crate::messages::Offset;
use crate::topic::Topic;

/// Maximum number of messages in a batch.
pub(crate) const MAX_BATCH_MESSAGES: usize = 1024;
/// Approximate maximum size of a batch. It can be exceeded by one message.
const MAX_BATCH_BYTES: usize = 64 << 10;
/// Bytes that count for a message in addition to its key and value.
pub(crate) const MESSAGE_OVERHEAD_BYTES: u64 = 16;
/// Maximum number of messages that are examined for one batch.
const MAX_SCANNED_MESSAGES: usize = 4096;

/// Progress of a subscriber, which it reports when it subscribes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Position {
    /// Incarnation of the topic to which the offsets belong.
    pub incarnation: u64,
    /// Offset of the next message. The subscriber has processed all earlier ones.
    pub next: Offset,
    /// Head of the topic when the subscriber started empty. It needs no earlier tombstones.
    pub base: Offset,
    /// Head of the replica that last skipped messages for this subscriber. A replica with a lower head may lack the messages
    /// that superseded them.
    pub min_head: Offset,
}

impl Position {
    /// Returns the offset from which on no tombstone may be missing.
    pub(crate) fn required_history(&self) -> Offset {
        self.next.max(self.base)
    }

    /// Returns the lowest head at which a replica can serve this subscriber.
    pub(crate) fn required_head(&self) -> Offset {
        self.required_history().max(self.min_head)
    }
}

/// Messages of a range of offsets, in offset order.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Batch {
    /// Offset at which the previous batch ended.
    pub from: Offset,
    /// End of the range, exclusive.
    pub to: Offset,
    /// Head of the replica's topic when the batch was created. The subscriber is caught up if the batch ends there.
    pub head: Offset,
    /// Messages in the range that are not superseded.
    pub messages: Vec<Message>,
}

impl Batch {
    /// Returns whether the batch contains every message of its range.
    pub fn is_contiguous(&self) -> bool {
        self.to.0.checked_sub(self.from.0) == Some(self.messages.len() as u64)
    }

    /// Returns whether the batch ends at the replica's head.
    pub fn is_caught_up(&self) -> bool {
        self.to == self.head
    }

    /// Returns the number of bytes that the batch consumes from the subscriber's credit.
    pub fn cost_bytes(&self) -> u64 {
        self.messages.iter().map(cost_bytes).sum()
    }
}

fn cost_bytes(message: &Message) -> u64 {
    message.body.size() as u64 + MESSAGE_OVERHEAD_BYTES
}

/// Item of a feed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FeedItem {
    /// All messages follow from the start, because the subscriber has none or tombstones that it needs were removed. When it
    /// has caught up, it deletes the keys that it did not receive again.
    Resync {
        /// Incarnation of the topic.
        incarnation: u64,
        /// Head of the replica's topic. Earlier tombstones are not sent.
        base: Offset,
    },
    /// The replica is behind the subscriber. The feed continues once the replica has caught up.
    Behind {
        /// Head of the replica's topic.
        head: Offset,
    },
    /// Messages.
    Batch(Batch),
    /// There is nothing new.
    Heartbeat,
}

/// Feed item as it is sent to a subscriber.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Delivery {
    /// Id of the subscription. The subscriber ignores late deliveries of earlier subscriptions.
    pub subscription: u64,
    /// Index of the last log entry that the replica has applied.
    pub applied_index: u64,
    /// Upper bound of the time since the replica had all committed entries, in milliseconds. It is 0 at a leader.
    pub staleness_ms: u32,
    /// Item of the feed.
    pub item: FeedItem,
}

/// Whether a feed may skip messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Mode {
    /// Superseded messages are skipped.
    CatchingUp,
    /// The subscriber was caught up and receives every message.
    Following,
}

/// State of one subscription at a replica.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Feed {
    position: Option<Position>,
    mode: Mode,
    /// Total number of bytes that may be sent.
    credit_bytes: u64,
    /// Total number of bytes that were sent.
    sent_bytes: u64,
    /// Head that was last reported with [`FeedItem::Behind`].
    reported_head: Option<Offset>,
    fault: Option<Fault>,
}

impl Feed {
    /// Creates a feed for a subscriber at the given position, or without one if it has no messages.
    pub fn open(position: Option<Position>) -> Feed {
        Feed {
            position,
            mode: Mode::CatchingUp,
            credit_bytes: 0,
            sent_bytes: 0,
            reported_head: None,
            fault: None,
        }
    }

    /// Injects a fault.
    #[cfg(feature = "fault_injection")]
    pub fn inject(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn has_fault(&self, fault: Fault) -> bool {
        cfg!(feature = "fault_injection") && self.fault == Some(fault)
    }

    /// Sets the total number of bytes that may be sent since the start of the subscription. A lower value than before has no
    /// effect.
    pub fn set_credit(&mut self, total_bytes: u64) {
        self.credit_bytes = self.credit_bytes.max(total_bytes);
    }

    /// Returns the position of the next message.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Returns whether the subscriber was caught up and has received every message since.
    pub fn is_following(&self) -> bool {
        self.mode == Mode::Following
    }

    /// Returns the next item, or `None` if there is nothing to send. Callers repeat the call until it returns `None`, whenever
    /// the topic has changed or the credit has grown and the connection accepts more data. The work of each call is bounded.
    pub fn next(&mut self, topic: &Topic) -> Option<FeedItem> {
        let current = self.position.filter(|position| position.incarnation == topic.incarnation());
        let Some(position) = current else { return Some(self.resync(topic)) };
        if topic.horizon() > position.required_history() && !self.has_fault(Fault::HorizonIgnored) {
            return Some(self.resync(topic));
        }
        let head = topic.head();
        if head < position.required_head()
            && !(self.has_fault(Fault::LaggingReplicaServes) && head >= position.next)
        {
            // A replica can be behind after a restart or while it has no leader.
            let is_new = self.reported_head != Some(head);
            self.reported_head = Some(head);
            return is_new.then_some(FeedItem::Behind { head });
        }
        self.reported_head = None;
        self.batch(topic, position).map(FeedItem::Batch)
    }

    /// Starts over at the first message.
    fn resync(&mut self, topic: &Topic) -> FeedItem {
        let (incarnation, base) = (topic.incarnation(), topic.head());
        self.position = Some(Position { incarnation, next: Offset(0), base, min_head: base });
        self.mode = Mode::CatchingUp;
        FeedItem::Resync { incarnation, base }
    }

    /// Returns the next batch, or `None` if there are no new messages or no credit is left.
    fn batch(&mut self, topic: &Topic, mut position: Position) -> Option<Batch> {
        let (from, head) = (position.next, topic.head());
        if from == head {
            // A batch without messages reports once that the subscriber is caught up.
            let is_first = self.mode == Mode::CatchingUp;
            self.mode = Mode::Following;
            return is_first.then(|| Batch { from, to: from, head, messages: Vec::new() });
        }
        if self.sent_bytes >= self.credit_bytes {
            return None;
        }
        let mut start = from;
        if self.mode == Mode::Following && !topic.log.in_tail(from) {
            self.mode = Mode::CatchingUp;
            if self.has_fault(Fault::BacklogSkipped) {
                (start, self.mode) = (Offset(head.0 - 1), Mode::Following);
            }
        }
        let budget = (self.credit_bytes - self.sent_bytes).min(MAX_BATCH_BYTES as u64);
        let mut selection = self.select(topic, &position, start, budget);
        if selection.has_gap {
            // A snapshot replaced the topic and lacks superseded messages that were not sent yet.
            self.mode = Mode::CatchingUp;
            selection = self.select(topic, &position, from, budget);
        }
        let to = if self.has_fault(Fault::BatchClaimsHead) { head } else { selection.to.unwrap_or(head) };
        self.sent_bytes += selection.cost_bytes;
        if to == head {
            self.mode = Mode::Following;
        }
        let batch = Batch { from, to, head, messages: selection.messages };
        position.next = to;
        if !batch.is_contiguous() {
            position.min_head = position.min_head.max(head);
        }
        self.position = Some(position);
        Some(batch)
    }

    /// Selects the messages of a batch.
    fn select(&self, topic: &Topic, position: &Position, from: Offset, budget: u64) -> Selection {
        let following = self.mode == Mode::Following;
        let mut selection = Selection { messages: Vec::new(), cost_bytes: 0, to: None, has_gap: false };
        let mut end = from;
        for (scanned, message) in topic.log.messages_from(from, following).enumerate() {
            if following && message.offset != end && !self.has_fault(Fault::BacklogSkipped) {
                selection.has_gap = true;
                break;
            }
            let is_full = selection.messages.len() >= MAX_BATCH_MESSAGES
                || selection.cost_bytes >= budget
                || scanned >= MAX_SCANNED_MESSAGES;
            if is_full
                || (!selection.messages.is_empty() && selection.cost_bytes + cost_bytes(&message) > budget)
            {
                selection.to = Some(end);
                break;
            }
            end = message.offset.next();
            // A subscriber that started empty after this tombstone has no message that it deletes.
            if !following && message.body.is_tombstone() && message.offset < position.base {
                continue;
            }
            selection.cost_bytes += cost_bytes(&message);
            selection.messages.push(message);
        }
        selection
    }
}

/// Messages selected for a batch.
struct Selection {
    messages: Vec<Message>,
    cost_bytes: u64,
    /// End of the selected range, exclusive. `None` means the head.
    to: Option<Offset>,
    /// Whether a message is missing although none may be skipped.
    has_gap: bool,
}
