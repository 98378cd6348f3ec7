//! State of one topic: its messages, and an index of the latest message of each key.

use std::collections::{BTreeMap, HashMap};
use std::hash::{Hash, Hasher};

use serde::{Deserialize, Serialize};

use crate::fault_injection::Fault;
use crate::log::{Layout, Log};
use crate::message::{Body, Message};
use crate::messages::{
    Epoch, Expect, KEY_COST, MAX_BYTES, MAX_KEYS, Offset, PublisherId, RETENTION_MS, Refusal, Session,
    TopicAnswer, TopicConfig,
};
use crate::record::{Key, Record, Value};
use crate::sessions::{SequenceCheck, Sessions};

/// Maximum number of tombstones that one move of the horizon removes. The next move continues from there.
const MAX_TOMBSTONES_PER_MOVE: usize = 4096;

/// Latest message of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct LatestMessage {
    offset: Offset,
    tombstone: bool,
    /// Bytes of key and value plus the constant `KEY_COST`.
    size: usize,
}

/// State of a topic that is not in its segments.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct TopicState {
    incarnation: u64,
    config: TopicConfig,
    horizon: Offset,
    sessions: Sessions,
}

/// State machine of one topic.
#[derive(Debug, Clone)]
pub struct Topic {
    incarnation: u64,
    config: TopicConfig,
    /// Offset below which no tombstones are retained.
    horizon: Offset,
    sessions: Sessions,
    index: HashMap<Key, LatestMessage>,
    /// Keys of the retained tombstones by offset.
    tombstones: BTreeMap<Offset, Key>,
    /// Sum of the sizes of all latest messages.
    bytes: u64,
    pub(crate) log: Log,
    fault: Option<Fault>,
}

/// Compares the replicated state, not the segment layout, which may differ between replicas.
impl PartialEq for Topic {
    fn eq(&self, other: &Topic) -> bool {
        (self.state(), self.head()) == (other.state(), other.head())
            && self.log.messages_from(Offset(0), false).eq(other.log.messages_from(Offset(0), false))
    }
}

impl Eq for Topic {}

impl Hash for Topic {
    fn hash<H: Hasher>(&self, into: &mut H) {
        (self.state(), self.head()).hash(into);
        self.log.messages_from(Offset(0), false).for_each(|message| message.hash(into));
    }
}

/// Returns whether all values are in their ranges.
pub(crate) fn is_valid_config(config: &TopicConfig) -> bool {
    RETENTION_MS.contains(&config.retention_ms)
        && (1..=MAX_KEYS).contains(&config.keys)
        && (1..=MAX_BYTES).contains(&config.bytes)
}

impl Topic {
    pub(crate) fn new(incarnation: u64, config: TopicConfig, layout: Layout) -> Topic {
        Topic {
            incarnation,
            config,
            horizon: Offset(0),
            sessions: Sessions::default(),
            index: HashMap::new(),
            tombstones: BTreeMap::new(),
            bytes: 0,
            log: Log::new(layout),
            fault: None,
        }
    }

    /// Restores a topic from a snapshot. The error says what is inconsistent.
    pub(crate) fn restored(state: TopicState, log: Log) -> Result<Topic, &'static str> {
        let TopicState { incarnation, config, horizon, sessions } = state;
        if !is_valid_config(&config) || !sessions.is_valid() {
            return Err("its configuration or sessions are invalid");
        }
        if horizon > log.head() {
            return Err("its horizon is above its head");
        }
        let mut topic = Topic { horizon, sessions, ..Topic::new(incarnation, config, log.layout) };
        for message in log.messages_from(Offset(0), false) {
            let Some(key) = Option::<Key>::from(&message.body) else { return Err("a key is invalid") };
            let (tombstone, size) = (message.body.is_tombstone(), message.body.size() + KEY_COST);
            if tombstone && message.offset < horizon {
                return Err("it has a tombstone below its horizon");
            }
            if tombstone {
                topic.tombstones.insert(message.offset, key.clone());
            }
            topic.bytes += size as u64;
            let latest = LatestMessage { offset: message.offset, tombstone, size };
            if topic.index.insert(key, latest).is_some() {
                return Err("a key has two live messages");
            }
        }
        topic.log = log;
        Ok(topic)
    }

    pub(crate) fn set_fault(&mut self, fault: Option<Fault>) {
        self.fault = fault;
        self.log.cleaner.installs_stale_copy = self.has_fault(Fault::StaleCopyInstalled);
        self.log.cleaner.drops_tombstones = self.has_fault(Fault::TombstoneDroppedEarly);
    }

    pub(crate) fn has_fault(&self, fault: Fault) -> bool {
        cfg!(feature = "fault_injection") && self.fault == Some(fault)
    }

    pub(crate) fn state(&self) -> TopicState {
        let drops_sessions = self.has_fault(Fault::SessionsNotInSnapshot);
        let sessions = if drops_sessions { Sessions::default() } else { self.sessions.clone() };
        TopicState { incarnation: self.incarnation, config: self.config, horizon: self.horizon, sessions }
    }

    /// Returns the incarnation of the topic.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the configuration.
    pub fn config(&self) -> TopicConfig {
        self.config
    }

    pub(crate) fn set_config(&mut self, config: TopicConfig) {
        self.config = config;
    }

    /// Returns the offset of the next message.
    pub fn head(&self) -> Offset {
        self.log.head()
    }

    /// Returns the offset below which no tombstones are retained. A subscriber that is not complete to it has to
    /// resynchronize.
    pub fn horizon(&self) -> Offset {
        self.horizon
    }

    /// Returns the highest epoch of any session.
    pub fn highest_epoch(&self) -> Epoch {
        self.sessions.highest_epoch()
    }

    /// Returns the offset of the oldest retained tombstone.
    pub fn oldest_tombstone(&self) -> Option<Offset> {
        self.tombstones.first_key_value().map(|(offset, _)| *offset)
    }

    /// Returns the number of keys with a value.
    pub fn keys(&self) -> usize {
        self.index.len() - self.tombstones.len()
    }

    /// Returns the size of keys and latest values in bytes, plus the constant `KEY_COST` for each key.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the size of all records that this replica stores, including headers and superseded messages.
    pub fn stored_bytes(&self) -> u64 {
        self.log.size() as u64
    }

    /// Returns the number of segments that this replica stores.
    pub fn segments(&self) -> usize {
        self.log.sealed.len() + 1
    }

    /// Returns the offset of a key's value, or `None` if the key has none.
    pub fn offset_of(&self, key: &[u8]) -> Option<Offset> {
        self.index.get(key).filter(|l| !l.tombstone).map(|l| l.offset)
    }

    /// Returns the latest message of a key, or `None` if the key has no value.
    pub fn get(&self, key: &[u8]) -> Option<Message> {
        let offset = self.offset_of(key)?;
        self.log.messages_from(offset, false).next().filter(|m| m.offset == offset)
    }

    /// Returns the latest message of each key with a value, in offset order.
    pub fn values(&self) -> impl Iterator<Item = Message> {
        self.log.messages_from(Offset(0), false).filter(|m| !m.body.is_tombstone())
    }

    pub(crate) fn begin(&mut self, publisher: PublisherId, epoch: Epoch) -> Result<Session, Refusal> {
        let accepts_any = self.has_fault(Fault::OldEpochAccepted);
        self.sessions.begin(publisher, epoch, self.config.writers, accepts_any)
    }

    /// Writes a record if its sequence number and its precondition are valid. Returns the answer, and the offset if this call
    /// wrote the record. `available_bytes` is the remaining capacity of all topics.
    pub(crate) fn publish(
        &mut self,
        publisher: PublisherId,
        (session, seq): (Session, u64),
        record: &Record,
        expect: Expect,
        available_bytes: u64,
    ) -> (TopicAnswer, Option<Offset>) {
        let accepts_gaps = self.has_fault(Fault::SequenceGapAccepted);
        match self.sessions.check_sequence(publisher, session, seq, self.config.writers, accepts_gaps) {
            Err(refusal) => (TopicAnswer::Refused(refusal), None),
            Ok(SequenceCheck::Duplicate(answer)) => (answer, None),
            Ok(SequenceCheck::New) => {
                let written = self.write(record, expect, available_bytes);
                let answer = written.map_or_else(TopicAnswer::Refused, TopicAnswer::Written);
                self.sessions.record_answer(publisher, seq, answer);
                (answer, written.ok())
            }
        }
    }

    fn write(&mut self, record: &Record, expect: Expect, available_bytes: u64) -> Result<Offset, Refusal> {
        let previous = self.index.get(&record.key).copied();
        let current = previous.filter(|l| !l.tombstone).map(|l| l.offset);
        let is_met = match expect {
            Expect::Anything => true,
            Expect::Absent => current.is_none(),
            Expect::At(_) if self.has_fault(Fault::ExpectedOffsetIgnored) => current.is_some(),
            Expect::At(offset) => current == Some(offset),
        };
        if !is_met {
            return Err(Refusal::OffsetMismatch(current));
        }
        let value_bytes = record.value.as_ref().map_or(0, |v| Value::bytes(v).len());
        let size = record.key.bytes().len() + value_bytes + KEY_COST;
        let old_size = previous.map_or(0, |l| l.size);
        if record.value.is_none() {
            current.ok_or(Refusal::NoKey)?;
        } else if size > old_size || previous.is_none() {
            let added_bytes = (size - old_size.min(size)) as u64;
            let has_too_many_keys = previous.is_none() && self.index.len() >= self.config.keys as usize;
            if has_too_many_keys || self.bytes + added_bytes > self.config.bytes {
                return Err(Refusal::Full);
            }
            if added_bytes > available_bytes {
                return Err(Refusal::AllFull);
            }
        }
        let tombstone = record.value.is_none();
        let offset = self.append(Body::new(record));
        if let Some(latest) = self.index.insert(record.key.clone(), LatestMessage { offset, tombstone, size })
        {
            if latest.offset != offset {
                self.log.mark_superseded(latest.offset);
            }
            if latest.tombstone {
                self.tombstones.remove(&latest.offset);
            }
        }
        if tombstone {
            self.tombstones.insert(offset, record.key.clone());
        }
        self.bytes = self.bytes + size as u64 - old_size as u64;
        Ok(offset)
    }

    fn append(&mut self, body: Body) -> Offset {
        if self.has_fault(Fault::OffsetReused)
            && let Some(offset) = self.log.overwrite_last(&body)
        {
            return offset;
        }
        self.log.append(body)
    }

    /// Moves the horizon up and removes the tombstones below it. Returns the new horizon, or `None` if it did not move.
    pub(crate) fn move_horizon(&mut self, to: Offset) -> Option<Offset> {
        let to = to.min(self.head());
        if to <= self.horizon {
            return None;
        }
        let mut removed: Vec<Offset> =
            self.tombstones.range(..to).map(|(o, _)| *o).take(MAX_TOMBSTONES_PER_MOVE + 1).collect();
        // If there are too many tombstones, the horizon stops before the first remaining one.
        let reached = if removed.len() > MAX_TOMBSTONES_PER_MOVE { removed.pop().unwrap_or(to) } else { to };
        for offset in removed {
            if let Some(key) = self.tombstones.remove(&offset)
                && let Some(latest) = self.index.remove(&key)
            {
                self.bytes -= latest.size as u64;
                self.log.mark_superseded(offset);
            }
        }
        self.horizon = reached;
        Some(reached)
    }
}
