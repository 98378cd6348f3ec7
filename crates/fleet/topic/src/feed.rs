//! The keeper's side of one subscription.
//!
//! A feed is a place in the topic's order and nothing else. It goes through the messages by offset and leaves out those that are
//! overtaken by their own key: whoever has gone through all of them to the head has the latest message of each key, as the
//! latest one was not overtaken when its turn came. From there it leaves out nothing: the newest messages, which the cleaner
//! leaves alone, are the queue of all subscribers at once. One that falls behind them is put back to leaving out.

use serde::{Deserialize, Serialize};

use crate::fault_injection::Fault;
use crate::message::Message;
use crate::messages::Offset;
use crate::topic::Topic;

/// Messages of a batch at most.
pub(crate) const MAX_MESSAGES: usize = 1024;
/// Bytes of a batch, about: one more message may come on top.
const BATCH_BYTES: usize = 64 << 10;
/// What a message counts beside its key and value, bytes.
pub(crate) const MESSAGE_COST: u64 = 16;
/// Messages looked at for one batch at most.
const MAX_SCANNED: usize = 4096;

/// What a subscriber says of itself when it comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Position {
    /// Which founding of the topic its offsets are of.
    pub life: u64,
    /// It has gone through everything below.
    pub next: Offset,
    /// It began with nothing when the head stood here: it needs no deletion from before.
    pub base: Offset,
    /// The head that a keeper had when it last left anything out for it. A keeper that is not so far would not know what comes
    /// instead.
    pub seen: Offset,
}

impl Position {
    /// Below this no deletion may be missing.
    pub(crate) fn floor(&self) -> Offset {
        self.next.max(self.base)
    }

    /// A keeper must be so far to serve it.
    pub(crate) fn needs(&self) -> Offset {
        self.floor().max(self.seen)
    }
}

/// Messages, in the order of offsets.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Batch {
    /// The batch before this ended here.
    pub from: Offset,
    /// It is complete to here, without it.
    pub to: Offset,
    /// Where the keeper's topic ended when it was made. If that is where the batch ends, the subscriber is caught up.
    pub head: Offset,
    /// Those of its messages that are not overtaken; all of them, if there are as many as offsets.
    pub messages: Vec<Message>,
}

impl Batch {
    /// Whether no message of its offsets is left out.
    pub fn is_whole(&self) -> bool {
        self.to.0.checked_sub(self.from.0) == Some(self.messages.len() as u64)
    }

    /// Whether the subscriber has everything that this keeper had.
    pub fn is_caught_up(&self) -> bool {
        self.to == self.head
    }

    /// What it counts against the subscriber's allowance, bytes.
    pub fn cost(&self) -> u64 {
        self.messages.iter().map(cost).sum()
    }
}

fn cost(message: &Message) -> u64 {
    message.body.size() as u64 + MESSAGE_COST
}

/// What a feed says.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Said {
    /// All of it comes anew: deletions that the subscriber may have missed are not remembered, or it has nothing yet. What it
    /// holds and has not heard of again when it is caught up is deleted.
    Anew {
        /// Which founding of the topic this is.
        life: u64,
        /// Where the head stood: deletions before it are not told.
        base: Offset,
    },
    /// This keeper is behind the subscriber. It goes on when it is not any more.
    Behind {
        /// How far it is.
        head: Offset,
    },
    /// Messages.
    Batch(Batch),
    /// Nothing new.
    Still,
}

/// What a subscriber hears.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Told {
    /// Of which subscription: a late word of one that was given up is not taken for the next one's.
    pub feed: u64,
    /// The last entry of the keepers' log that this keeper has applied.
    pub applied: u64,
    /// For how long this keeper may not have had all that was committed, milliseconds; a leader says nought.
    pub silent_ms: u32,
    /// What is said.
    pub said: Said,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Mode {
    /// Overtaken messages are left out.
    CatchingUp,
    /// It was caught up and has been told all since.
    Following,
}

/// One subscription.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Feed {
    at: Option<Position>,
    mode: Mode,
    /// Bytes that it may be told in all, and was.
    allowed: u64,
    told: u64,
    /// It was told last that this keeper is behind, with this head.
    behind: Option<Offset>,
    fault: Option<Fault>,
}

impl Feed {
    /// A subscription of one that has nothing, or is as far as it says.
    pub fn open(from: Option<Position>) -> Feed {
        Feed { at: from, mode: Mode::CatchingUp, allowed: 0, told: 0, behind: None, fault: None }
    }

    /// Plants a fault.
    #[cfg(feature = "planted")]
    pub fn plant(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn planted(&self, fault: Fault) -> bool {
        cfg!(feature = "planted") && self.fault == Some(fault)
    }

    /// So many bytes may be told in all, from the first on. Less than before changes nothing.
    pub fn allow(&mut self, total: u64) {
        self.allowed = self.allowed.max(total);
    }

    /// How far it has gone.
    pub fn position(&self) -> Option<Position> {
        self.at
    }

    /// Whether it was caught up and has been told all since.
    pub fn is_following(&self) -> bool {
        self.mode == Mode::Following
    }

    /// What is to be said next, if anything: to be asked for until there is nothing, whenever the topic has changed or more is
    /// allowed, and there is room on the way. Each time it is a bounded piece of work.
    pub fn next(&mut self, topic: &Topic) -> Option<Said> {
        let known = self.at.filter(|at| at.life == topic.life());
        let Some(at) = known else { return Some(self.anew(topic)) };
        if topic.horizon() > at.floor() && !self.planted(Fault::HorizonUnseen) {
            return Some(self.anew(topic));
        }
        let head = topic.head();
        if head < at.needs() && !(self.planted(Fault::BehindServes) && head >= at.next) {
            // A keeper that was restarted, or hears no leader, may be so.
            let new = self.behind != Some(head);
            self.behind = Some(head);
            return new.then_some(Said::Behind { head });
        }
        self.behind = None;
        self.batch(topic, at).map(Said::Batch)
    }

    fn anew(&mut self, topic: &Topic) -> Said {
        let (life, base) = (topic.life(), topic.head());
        self.at = Some(Position { life, next: Offset(0), base, seen: base });
        self.mode = Mode::CatchingUp;
        Said::Anew { life, base }
    }

    fn batch(&mut self, topic: &Topic, mut at: Position) -> Option<Batch> {
        let (from, head) = (at.next, topic.head());
        if from == head {
            // Told once that it is caught up; after that only of what is new.
            let first = self.mode == Mode::CatchingUp;
            self.mode = Mode::Following;
            return first.then(|| Batch { from, to: from, head, messages: Vec::new() });
        }
        if self.told >= self.allowed {
            return None;
        }
        let mut skipped_to = from;
        if self.mode == Mode::Following && !topic.log.in_tail(from) {
            self.mode = Mode::CatchingUp;
            if self.planted(Fault::DropsOldest) {
                (skipped_to, self.mode) = (Offset(head.0 - 1), Mode::Following);
            }
        }
        let room = (self.allowed - self.told).min(BATCH_BYTES as u64);
        let mut gathered = self.gather(topic, &at, skipped_to, room);
        if gathered.hole {
            // A snapshot was put in place of the topic, and what it left out was not told: it is behind after all.
            self.mode = Mode::CatchingUp;
            gathered = self.gather(topic, &at, from, room);
        }
        let to = if self.planted(Fault::HeadAfter) { head } else { gathered.to.unwrap_or(head) };
        self.told += gathered.cost;
        if to == head {
            self.mode = Mode::Following;
        }
        let batch = Batch { from, to, head, messages: gathered.messages };
        at.next = to;
        if !batch.is_whole() {
            at.seen = at.seen.max(head);
        }
        self.at = Some(at);
        Some(batch)
    }

    fn gather(&self, topic: &Topic, at: &Position, from: Offset, room: u64) -> Gathered {
        let following = self.mode == Mode::Following;
        let mut got = Gathered { messages: Vec::new(), cost: 0, to: None, hole: false };
        let mut last = from;
        for (looks, message) in topic.log.walk(from, following).enumerate() {
            if following && message.offset != last && !self.planted(Fault::DropsOldest) {
                got.hole = true;
                break;
            }
            let full = got.messages.len() >= MAX_MESSAGES || got.cost >= room || looks >= MAX_SCANNED;
            if full || (!got.messages.is_empty() && got.cost + cost(&message) > room) {
                got.to = Some(last);
                break;
            }
            last = message.offset.next();
            // One that began with nothing after this deletion has never heard of what it deletes.
            if !following && message.body.is_tombstone() && message.offset < at.base {
                continue;
            }
            got.cost += cost(&message);
            got.messages.push(message);
        }
        got
    }
}

/// What was gathered for a batch.
struct Gathered {
    messages: Vec<Message>,
    cost: u64,
    /// Complete to here; none: to the head.
    to: Option<Offset>,
    /// A message is missing where none should be.
    hole: bool,
}
