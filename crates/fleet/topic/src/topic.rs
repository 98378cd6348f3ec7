//! One topic: what its messages say, and which of them are the latest of their keys.

use std::collections::{BTreeMap, HashMap};
use std::hash::{Hash, Hasher};

use serde::{Deserialize, Serialize};

use crate::fault_injection::Fault;
use crate::log::{Layout, Log};
use crate::message::{Body, Message};
use crate::messages::{
    Epoch, Expect, KEY_COST, MAX_BYTES, MAX_KEYS, Offset, PublisherId, RETENTION_MS, Refusal, Session, Terms,
    TopicAnswer,
};
use crate::record::{Key, Record, Value};
use crate::sessions::{Seen, Sessions};

/// Deletions that one move of the horizon forgets at most; a further one goes on from there.
const MAX_FORGOTTEN: usize = 4096;

/// The latest message of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Latest {
    offset: Offset,
    tombstone: bool,
    /// Bytes of key and value, and [`KEY_COST`].
    size: usize,
}

/// What of a topic is not in its segments.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Parts {
    life: u64,
    terms: Terms,
    horizon: Offset,
    sessions: Sessions,
}

/// A topic.
#[derive(Debug, Clone)]
pub struct Topic {
    life: u64,
    terms: Terms,
    /// Deletions below it are not remembered.
    horizon: Offset,
    sessions: Sessions,
    index: HashMap<Key, Latest>,
    /// Deletions that are remembered, by place.
    tombstones: BTreeMap<Offset, Key>,
    /// The sum of their sizes.
    bytes: u64,
    pub(crate) log: Log,
    fault: Option<Fault>,
}

/// What is promised of them is the same; how they are laid out may differ.
impl PartialEq for Topic {
    fn eq(&self, other: &Topic) -> bool {
        (self.parts(), self.head()) == (other.parts(), other.head())
            && self.log.walk(Offset(0), false).eq(other.log.walk(Offset(0), false))
    }
}

impl Eq for Topic {}

impl Hash for Topic {
    fn hash<H: Hasher>(&self, into: &mut H) {
        (self.parts(), self.head()).hash(into);
        self.log.walk(Offset(0), false).for_each(|message| message.hash(into));
    }
}

/// Whether terms can be kept.
pub(crate) fn are_valid(terms: &Terms) -> bool {
    RETENTION_MS.contains(&terms.retention_ms)
        && (1..=MAX_KEYS).contains(&terms.keys)
        && (1..=MAX_BYTES).contains(&terms.bytes)
}

impl Topic {
    pub(crate) fn new(life: u64, terms: Terms, layout: Layout) -> Topic {
        Topic {
            life,
            terms,
            horizon: Offset(0),
            sessions: Sessions::default(),
            index: HashMap::new(),
            tombstones: BTreeMap::new(),
            bytes: 0,
            log: Log::new(layout),
            fault: None,
        }
    }

    /// A topic of what a snapshot has.
    pub(crate) fn restored(parts: Parts, log: Log) -> Result<Topic, &'static str> {
        let Parts { life, terms, horizon, sessions } = parts;
        if !are_valid(&terms) || !sessions.is_valid() {
            return Err("its terms or sessions make no sense");
        }
        if horizon > log.head() {
            return Err("its horizon is beyond its head");
        }
        let mut topic = Topic { horizon, sessions, ..Topic::new(life, terms, log.layout) };
        for message in log.walk(Offset(0), false) {
            let Some(key) = Option::<Key>::from(&message.body) else { return Err("a key makes no sense") };
            let (tombstone, size) = (message.body.is_tombstone(), message.body.size() + KEY_COST);
            if tombstone && message.offset < horizon {
                return Err("it remembers a deletion below its horizon");
            }
            if tombstone {
                topic.tombstones.insert(message.offset, key.clone());
            }
            topic.bytes += size as u64;
            let latest = Latest { offset: message.offset, tombstone, size };
            if topic.index.insert(key, latest).is_some() {
                return Err("a key has two latest messages");
            }
        }
        topic.log = log;
        Ok(topic)
    }

    pub(crate) fn plant(&mut self, fault: Option<Fault>) {
        self.fault = fault;
        self.log.cleaner.stale = self.planted(Fault::CleanerStale);
        self.log.cleaner.drops_tombstones = self.planted(Fault::TombstoneEarly);
    }

    pub(crate) fn planted(&self, fault: Fault) -> bool {
        cfg!(feature = "planted") && self.fault == Some(fault)
    }

    pub(crate) fn parts(&self) -> Parts {
        let forgotten = self.planted(Fault::SessionsForgotten);
        let sessions = if forgotten { Sessions::default() } else { self.sessions.clone() };
        Parts { life: self.life, terms: self.terms, horizon: self.horizon, sessions }
    }

    /// Which founding of the topic this is.
    pub fn life(&self) -> u64 {
        self.life
    }

    /// What it is to be.
    pub fn terms(&self) -> Terms {
        self.terms
    }

    pub(crate) fn set_terms(&mut self, terms: Terms) {
        self.terms = terms;
    }

    /// The offset that the next message gets.
    pub fn head(&self) -> Offset {
        self.log.head()
    }

    /// Deletions below it are not remembered: whoever is not complete to it needs the whole anew.
    pub fn horizon(&self) -> Offset {
        self.horizon
    }

    /// The highest epoch that began.
    pub fn highest_epoch(&self) -> Epoch {
        self.sessions.highest()
    }

    /// Where the oldest deletion that is remembered stands.
    pub fn oldest_tombstone(&self) -> Option<Offset> {
        self.tombstones.first_key_value().map(|(offset, _)| *offset)
    }

    /// Keys that have a value.
    pub fn keys(&self) -> usize {
        self.index.len() - self.tombstones.len()
    }

    /// Bytes of keys and latest values, 16 for each key added.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Bytes of all records that this keeper holds, heads and what is overtaken counted.
    pub fn held_bytes(&self) -> u64 {
        self.log.size() as u64
    }

    /// Segments that this keeper holds.
    pub fn segments(&self) -> usize {
        self.log.sealed.len() + 1
    }

    /// The offset of a key's value.
    pub fn offset_of(&self, key: &[u8]) -> Option<Offset> {
        self.index.get(key).filter(|l| !l.tombstone).map(|l| l.offset)
    }

    /// A key's latest message, if it has a value.
    pub fn get(&self, key: &[u8]) -> Option<Message> {
        let offset = self.offset_of(key)?;
        self.log.walk(offset, false).next().filter(|m| m.offset == offset)
    }

    /// The latest message of each key that has a value, in the order of offsets.
    pub fn values(&self) -> impl Iterator<Item = Message> {
        self.log.walk(Offset(0), false).filter(|m| !m.body.is_tombstone())
    }

    pub(crate) fn begin(&mut self, publisher: PublisherId, epoch: Epoch) -> Result<Session, Refusal> {
        let any = self.planted(Fault::OldEpoch);
        self.sessions.begin(publisher, epoch, self.terms.writers, any)
    }

    /// Has a record written, if its number and its expectation fit; the offset, if it was written just now. `room` is how many
    /// bytes there are for all topics.
    pub(crate) fn publish(
        &mut self,
        publisher: PublisherId,
        (session, seq): (Session, u64),
        record: &Record,
        expect: Expect,
        room: u64,
    ) -> (TopicAnswer, Option<Offset>) {
        let gaps = self.planted(Fault::GapTaken);
        match self.sessions.look(publisher, session, seq, self.terms.writers, gaps) {
            Err(why) => (TopicAnswer::Refused(why), None),
            Ok(Seen::Done(answer)) => (answer, None),
            Ok(Seen::New) => {
                let written = self.write(record, expect, room);
                let answer = written.map_or_else(TopicAnswer::Refused, TopicAnswer::Written);
                self.sessions.done(publisher, seq, answer);
                (answer, written.ok())
            }
        }
    }

    fn write(&mut self, record: &Record, expect: Expect, room: u64) -> Result<Offset, Refusal> {
        let before = self.index.get(&record.key).copied();
        let stands = before.filter(|l| !l.tombstone).map(|l| l.offset);
        let fits = match expect {
            Expect::Anything => true,
            Expect::Absent => stands.is_none(),
            Expect::At(_) if self.planted(Fault::ExpectBlind) => stands.is_some(),
            Expect::At(offset) => stands == Some(offset),
        };
        if !fits {
            return Err(Refusal::Other(stands));
        }
        let value = record.value.as_ref().map_or(0, |v| Value::bytes(v).len());
        let size = record.key.bytes().len() + value + KEY_COST;
        let old = before.map_or(0, |l| l.size);
        if record.value.is_none() {
            stands.ok_or(Refusal::NoKey)?;
        } else if size > old || before.is_none() {
            let more = (size - old.min(size)) as u64;
            let too_many = before.is_none() && self.index.len() >= self.terms.keys as usize;
            if too_many || self.bytes + more > self.terms.bytes {
                return Err(Refusal::Full);
            }
            if more > room {
                return Err(Refusal::AllFull);
            }
        }
        let tombstone = record.value.is_none();
        let offset = self.append(Body::of(record));
        if let Some(latest) = self.index.insert(record.key.clone(), Latest { offset, tombstone, size }) {
            if latest.offset != offset {
                self.log.kill(latest.offset);
            }
            if latest.tombstone {
                self.tombstones.remove(&latest.offset);
            }
        }
        if tombstone {
            self.tombstones.insert(offset, record.key.clone());
        }
        self.bytes = self.bytes + size as u64 - old as u64;
        Ok(offset)
    }

    fn append(&mut self, body: Body) -> Offset {
        if self.planted(Fault::OffsetTwice)
            && let Some(offset) = self.log.coalesce(&body)
        {
            return offset;
        }
        self.log.append(body)
    }

    /// Deletions below an offset are remembered no more; where it stands now.
    pub(crate) fn move_horizon(&mut self, to: Offset) -> Option<Offset> {
        let to = to.min(self.head());
        if to <= self.horizon {
            return None;
        }
        let mut gone: Vec<Offset> =
            self.tombstones.range(..to).map(|(o, _)| *o).take(MAX_FORGOTTEN + 1).collect();
        // Only so many at once; the horizon then stands before the first that is left.
        let reached = if gone.len() > MAX_FORGOTTEN { gone.pop().unwrap_or(to) } else { to };
        for offset in gone {
            if let Some(key) = self.tombstones.remove(&offset)
                && let Some(latest) = self.index.remove(&key)
            {
                self.bytes -= latest.size as u64;
                self.log.kill(offset);
            }
        }
        self.horizon = reached;
        Some(reached)
    }
}
