//! Checks a topic by what its publishers were answered and its subscribers received.
//!
//! No acknowledged message may be lost, no message may exist twice, no subscriber may miss one, and no deleted or superseded
//! value may come back. Only the output of publishers and subscribers is used. Each value that is ever written has a unique
//! number, which identifies its message wherever it is received.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::Serialize;

/// Write that a publisher sends for a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Write {
    /// Sets the value with this number.
    Value(u64),
    /// Deletes the key.
    Delete,
}

/// Result that a publisher received for a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// The message is written at this offset.
    Written(u64),
    /// The message is not written and never will be.
    Refused,
    /// The message may have been written, as no result arrived.
    Unsure,
}

/// Event that a subscriber received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Saw {
    /// A key was set.
    Changed {
        /// Key that was set.
        key: Vec<u8>,
        /// Offset of the message.
        offset: u64,
        /// Number of the value.
        value: u64,
    },
    /// A key has no value.
    Gone {
        /// Key without a value.
        key: Vec<u8>,
        /// Offset as of which the key has no value.
        at: u64,
    },
    /// The subscriber has the latest value of each key as of this offset.
    CaughtUp(u64),
    /// The subscriber may miss messages until it has caught up again.
    Behind,
}

/// Message that a publisher sent, with its result so far.
#[derive(Debug, Clone)]
struct SentMessage {
    key: Vec<u8>,
    write: Write,
    told: Told,
}

/// Messages that publishers of one topic sent and events that its subscribers received.
#[derive(Debug, Clone, Default)]
pub struct Record {
    sent: Vec<SentMessage>,
    seen: BTreeMap<String, Vec<Saw>>,
    /// End offset, exclusive, of each subscriber that was caught up at the end.
    complete: BTreeMap<String, u64>,
}

/// Violations that were found, as descriptions, and counts of messages and events.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct Verdict {
    /// Messages that a subscriber missed while it was caught up.
    pub gaps: Vec<String>,
    /// Deleted or superseded values that a subscriber received again or still holds.
    pub revived: Vec<String>,
    /// Acknowledged messages that a subscriber does not have.
    pub lost: Vec<String>,
    /// Messages at two offsets, offsets with two messages, and refused messages that were received.
    pub twice: Vec<String>,
    /// Number of acknowledged messages.
    pub acknowledged: u64,
    /// Number of messages without a result.
    pub unsure: u64,
    /// Number of events that all subscribers received.
    pub seen: u64,
    /// Number of times that a subscriber caught up.
    pub caught_up: u64,
}

impl Verdict {
    /// Returns whether no violation was found.
    pub fn is_clean(&self) -> bool {
        [&self.gaps, &self.revived, &self.lost, &self.twice].iter().all(|violations| violations.is_empty())
    }
}

/// Content of a topic as far as the results of publishers prove it.
struct KnownContent<'a> {
    /// Acknowledged messages by offset.
    by_offset: BTreeMap<u64, &'a SentMessage>,
    /// Offsets of the acknowledged messages of each key.
    offsets_by_key: BTreeMap<&'a [u8], BTreeSet<u64>>,
    /// Keys with a message whose result is unknown.
    uncertain_keys: BTreeSet<&'a [u8]>,
}

impl KnownContent<'_> {
    /// Returns the offset and content of the last acknowledged message of a key before an offset.
    fn last_write(&self, key: &[u8], before: u64) -> Option<(u64, Write)> {
        let offset = *self.offsets_by_key.get(key)?.range(..before).next_back()?;
        Some((offset, self.by_offset.get(&offset)?.write))
    }
}

impl Record {
    /// Returns how often a subscriber has caught up so far.
    pub fn caught_up(&self, subscriber: &str) -> usize {
        let events = self.seen.get(subscriber).into_iter().flatten();
        events.filter(|event| matches!(event, Saw::CaughtUp(_))).count()
    }

    /// Returns how often a subscriber has fallen behind after it had caught up.
    pub fn fell_behind(&self, subscriber: &str) -> usize {
        let events = self.seen.get(subscriber).into_iter().flatten();
        events.filter(|event| matches!(event, Saw::Behind)).count()
    }

    /// Returns the number of values acknowledged at `offset` or later under keys with this prefix.
    pub fn values_since(&self, key_prefix: &str, offset: u64) -> usize {
        let counts = |sent: &&SentMessage| {
            let is_acknowledged = matches!(sent.told, Told::Written(at) if at >= offset);
            is_acknowledged
                && sent.key.starts_with(key_prefix.as_bytes())
                && matches!(sent.write, Write::Value(_))
        };
        self.sent.iter().filter(counts).count()
    }

    /// Records that a message is sent, and returns the index that identifies it from then on.
    pub fn sends(&mut self, key: &[u8], write: Write) -> usize {
        self.sent.push(SentMessage { key: key.to_vec(), write, told: Told::Unsure });
        self.sent.len() - 1
    }

    /// Records the result of a message.
    pub fn told(&mut self, message: usize, told: Told) {
        if let Some(sent) = self.sent.get_mut(message) {
            sent.told = told;
        }
    }

    /// Records an event that a subscriber received.
    pub fn saw(&mut self, subscriber: &str, saw: Saw) {
        self.seen.entry(subscriber.to_owned()).or_default().push(saw);
    }

    /// Records that a subscriber ends with all messages before the offset `complete`.
    pub fn ends(&mut self, subscriber: &str, complete: u64) {
        self.complete.insert(subscriber.to_owned(), complete);
    }

    /// Returns the number of messages acknowledged so far.
    pub fn acknowledged(&self) -> usize {
        self.sent.iter().filter(|sent| matches!(sent.told, Told::Written(_))).count()
    }

    /// Returns the highest acknowledged offset, or `None` if no message was acknowledged.
    pub fn highest(&self) -> Option<u64> {
        let offset =
            |sent: &SentMessage| if let Told::Written(offset) = sent.told { Some(offset) } else { None };
        self.sent.iter().filter_map(offset).max()
    }

    /// Checks the record and returns all violations.
    pub fn judge(&self) -> Verdict {
        let mut verdict = Verdict::default();
        let mut known = KnownContent {
            by_offset: BTreeMap::new(),
            offsets_by_key: BTreeMap::new(),
            uncertain_keys: BTreeSet::new(),
        };
        for sent in &self.sent {
            match sent.told {
                Told::Written(offset) => {
                    verdict.acknowledged += 1;
                    if let Some(other) = known.by_offset.insert(offset, sent) {
                        verdict
                            .twice
                            .push(format!("offset {offset} was acknowledged for {other:?} and {sent:?}"));
                    }
                    known.offsets_by_key.entry(&sent.key).or_default().insert(offset);
                }
                Told::Unsure => {
                    verdict.unsure += 1;
                    known.uncertain_keys.insert(&sent.key);
                }
                Told::Refused => {}
            }
        }
        self.check_unique_offsets(&known, &mut verdict);
        for (name, seen) in &self.seen {
            let mut replay = SubscriberReplay::new(name, &known);
            seen.iter().for_each(|event| replay.apply(event, &mut verdict));
            if let Some(complete) = self.complete.get(name) {
                replay.finish(*complete, &mut verdict);
            }
        }
        verdict
    }

    /// Checks that each value has one offset in all events, and that it is the acknowledged one.
    fn check_unique_offsets(&self, known: &KnownContent<'_>, verdict: &mut Verdict) {
        let mut offsets_by_value: BTreeMap<u64, u64> = BTreeMap::new();
        let mut values_by_offset: BTreeMap<u64, u64> = BTreeMap::new();
        for (offset, sent) in &known.by_offset {
            if let Write::Value(value) = sent.write {
                offsets_by_value.insert(value, *offset);
                values_by_offset.insert(*offset, value);
            }
        }
        let refused: BTreeSet<u64> = self
            .sent
            .iter()
            .filter(|sent| sent.told == Told::Refused)
            .filter_map(|sent| if let Write::Value(value) = sent.write { Some(value) } else { None })
            .collect();
        for (name, seen) in &self.seen {
            for event in seen {
                let Saw::Changed { offset, value, .. } = event else { continue };
                let known_offset = *offsets_by_value.entry(*value).or_insert(*offset);
                let known_value = *values_by_offset.entry(*offset).or_insert(*value);
                if known_offset != *offset || known_value != *value || refused.contains(value) {
                    let description = format!(
                        "{name} received value {value} at offset {offset}, but the value has offset {known_offset} and the offset has value {known_value}"
                    );
                    verdict.twice.push(description);
                }
            }
        }
    }
}

/// Period in which a subscriber must receive every message.
struct CaughtUpPeriod {
    /// Offset of the first message that it must receive.
    start: u64,
    /// Offsets of the messages that it received.
    received: BTreeSet<u64>,
}

/// Replay of the events of one subscriber.
struct SubscriberReplay<'a> {
    name: &'a str,
    known: &'a KnownContent<'a>,
    /// Offset of the value that the subscriber holds for each key.
    holds: BTreeMap<Vec<u8>, u64>,
    /// Highest offset that the subscriber has received for each key, below which no event of the key may follow.
    newest: BTreeMap<Vec<u8>, u64>,
    /// Period since the subscriber caught up, or `None` while it is behind.
    caught_up: Option<CaughtUpPeriod>,
}

impl<'a> SubscriberReplay<'a> {
    fn new(name: &'a str, known: &'a KnownContent<'a>) -> SubscriberReplay<'a> {
        SubscriberReplay { name, known, holds: BTreeMap::new(), newest: BTreeMap::new(), caught_up: None }
    }

    fn apply(&mut self, event: &Saw, verdict: &mut Verdict) {
        verdict.seen += 1;
        match event {
            Saw::Changed { key, offset, .. } => {
                let newest = self.newest.get(key).copied();
                if newest.is_some_and(|newest| *offset < newest) {
                    let description = format!(
                        "{} received {} at offset {offset} after {newest:?}",
                        self.name,
                        key.escape_ascii()
                    );
                    verdict.revived.push(description);
                }
                self.newest.insert(key.clone(), *offset);
                self.holds.insert(key.clone(), *offset);
                self.record_offset(*offset);
            }
            Saw::Gone { key, at } => {
                self.newest.insert(key.clone(), *at);
                self.holds.remove(key);
                self.record_offset(*at);
            }
            Saw::CaughtUp(to) => {
                verdict.caught_up += 1;
                self.check_held_values(*to, verdict);
                self.caught_up = Some(CaughtUpPeriod { start: *to, received: BTreeSet::new() });
            }
            Saw::Behind => self.end_caught_up_period(None, verdict),
        }
    }

    fn record_offset(&mut self, offset: u64) {
        if let Some(period) = &mut self.caught_up {
            period.received.insert(offset);
        }
    }

    /// Ends a period in which the subscriber was caught up, and checks that it received every message acknowledged in it.
    ///
    /// The period extends to the offset `complete` if that is known, otherwise to the last offset that was received.
    fn end_caught_up_period(&mut self, complete: Option<u64>, verdict: &mut Verdict) {
        let Some(CaughtUpPeriod { start, received }) = self.caught_up.take() else { return };
        let end = complete.unwrap_or_else(|| received.last().map_or(start, |last| last + 1));
        for (offset, sent) in self.known.by_offset.range(start..end.max(start)) {
            if !received.contains(offset) {
                verdict.gaps.push(format!("{} did not receive offset {offset}, {sent:?}", self.name));
            }
        }
    }

    /// Checks that the subscriber holds the latest value of each key as of this offset, and no deleted value.
    ///
    /// Keys with a message whose result is unknown are skipped.
    fn check_held_values(&self, to: u64, verdict: &mut Verdict) {
        for key in self.known.offsets_by_key.keys().filter(|key| !self.known.uncertain_keys.contains(*key)) {
            let Some((offset, write)) = self.known.last_write(key, to) else { continue };
            let held_offset = self.holds.get(*key).copied();
            let (name, key) = (self.name, key.escape_ascii());
            match write {
                Write::Value(_) if held_offset.is_none_or(|held| held < offset) => {
                    verdict.lost.push(format!(
                        "{name} holds {key} at {held_offset:?} as of offset {to}, not at {offset}"
                    ));
                }
                Write::Delete if held_offset.is_some_and(|held| held < offset) => {
                    let description = format!(
                        "{name} holds {key} at {held_offset:?} as of offset {to}, but it was deleted at {offset}"
                    );
                    verdict.revived.push(description);
                }
                _ => {}
            }
        }
    }

    /// Checks the state of a subscriber that ends with all messages before the offset `complete`.
    fn finish(&mut self, complete: u64, verdict: &mut Verdict) {
        let end = self.known.by_offset.last_key_value().map_or(0, |last| last.0 + 1);
        if complete < end {
            verdict.lost.push(format!("{} is complete to offset {complete} of {end}", self.name));
        }
        self.end_caught_up_period(Some(complete), verdict);
        self.check_held_values(complete, verdict);
    }
}

/// Record that several publishers and subscribers share.
#[derive(Debug, Clone, Default)]
pub struct Recorded(Arc<Mutex<Record>>);

impl Recorded {
    /// Locks the record.
    pub fn lock(&self) -> MutexGuard<'_, Record> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
