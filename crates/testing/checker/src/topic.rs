//! What publishers were told and what subscribers saw of a topic, judged: no message that was acknowledged is lost, none is there
//! twice, no subscriber misses one, and nothing that was deleted or overtaken comes back.
//!
//! It goes by what came out of publishers and subscribers alone. Each value that is ever written has a number of its own, so that a
//! message is known wherever it is seen.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::Serialize;

/// What was to be written to a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Write {
    /// The value with this number.
    Value(u64),
    /// None: the key is deleted.
    Delete,
}

/// What a publisher was told of a message, if anything.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// It is written at this offset.
    Written(u64),
    /// It is not, and never will be.
    Refused,
    /// It may be.
    Unsure,
}

/// What a subscriber saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Saw {
    /// A key has the value with this number, written at this offset.
    Changed {
        /// Which.
        key: Vec<u8>,
        /// Where.
        offset: u64,
        /// The value's number.
        value: u64,
    },
    /// A key has none, for all that is known at this offset.
    Gone {
        /// Which.
        key: Vec<u8>,
        /// Known there.
        at: u64,
    },
    /// It has the latest of each key as of this offset.
    CaughtUp(u64),
    /// It may miss something until it is caught up again.
    Behind,
}

#[derive(Debug, Clone)]
struct Sent {
    key: Vec<u8>,
    write: Write,
    told: Told,
}

/// All that publishers and subscribers of one topic have said.
#[derive(Debug, Clone, Default)]
pub struct Record {
    sent: Vec<Sent>,
    seen: BTreeMap<String, Vec<Saw>>,
    /// Of subscribers that were caught up at the end: up to where.
    complete: BTreeMap<String, u64>,
}

/// What was found wrong, in words; each list is empty where all is well.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct Verdict {
    /// A subscriber that was caught up did not see a message that came after.
    pub gaps: Vec<String>,
    /// Something deleted, or older than what was known, came back.
    pub revived: Vec<String>,
    /// An acknowledged message is not there.
    pub lost: Vec<String>,
    /// A message is there at two offsets, or two at one.
    pub twice: Vec<String>,
    /// Messages that were acknowledged.
    pub acknowledged: u64,
    /// Messages of which nobody knows what became.
    pub unsure: u64,
    /// What subscribers saw, in all.
    pub seen: u64,
    /// How often one of them was caught up.
    pub caught_up: u64,
}

impl Verdict {
    /// Whether nothing is wrong.
    pub fn is_clean(&self) -> bool {
        [&self.gaps, &self.revived, &self.lost, &self.twice].iter().all(|v| v.is_empty())
    }
}

/// What is known for certain of a topic, by the publishers' answers.
struct Known<'a> {
    /// Acknowledged messages by offset.
    at: BTreeMap<u64, &'a Sent>,
    /// Of each key, the offsets of acknowledged messages.
    of: BTreeMap<&'a [u8], BTreeSet<u64>>,
    /// Keys that something may have been written to, nobody knows when.
    doubtful: BTreeSet<&'a [u8]>,
}

impl Known<'_> {
    /// The last acknowledged message of a key before an offset.
    fn last(&self, key: &[u8], before: u64) -> Option<(u64, Write)> {
        let offset = *self.of.get(key)?.range(..before).next_back()?;
        Some((offset, self.at.get(&offset)?.write))
    }
}

impl Record {
    /// How often a subscriber was caught up so far.
    pub fn caught_up(&self, subscriber: &str) -> usize {
        let all = self.seen.get(subscriber).into_iter().flatten();
        all.filter(|saw| matches!(saw, Saw::CaughtUp(_))).count()
    }

    /// How often a subscriber fell behind after it had been caught up.
    pub fn fell_behind(&self, subscriber: &str) -> usize {
        let all = self.seen.get(subscriber).into_iter().flatten();
        all.filter(|saw| matches!(saw, Saw::Behind)).count()
    }

    /// Values under keys with this prefix that were acknowledged at this offset or after it.
    pub fn values_since(&self, key_prefix: &str, offset: u64) -> usize {
        let counts = |sent: &&Sent| {
            let is_since = matches!(sent.told, Told::Written(at) if at >= offset);
            is_since && sent.key.starts_with(key_prefix.as_bytes()) && matches!(sent.write, Write::Value(_))
        };
        self.sent.iter().filter(counts).count()
    }

    /// A message is to be written: what it is called from now on.
    pub fn sends(&mut self, key: &[u8], write: Write) -> usize {
        self.sent.push(Sent { key: key.to_vec(), write, told: Told::Unsure });
        self.sent.len() - 1
    }

    /// What became of a message.
    pub fn told(&mut self, message: usize, told: Told) {
        if let Some(sent) = self.sent.get_mut(message) {
            sent.told = told;
        }
    }

    /// A subscriber saw something.
    pub fn saw(&mut self, subscriber: &str, saw: Saw) {
        self.seen.entry(subscriber.to_owned()).or_default().push(saw);
    }

    /// At the end a subscriber has everything up to an offset, without it.
    pub fn ends(&mut self, subscriber: &str, complete: u64) {
        self.complete.insert(subscriber.to_owned(), complete);
    }

    /// Messages that were acknowledged so far.
    pub fn acknowledged(&self) -> usize {
        self.sent.iter().filter(|s| matches!(s.told, Told::Written(_))).count()
    }

    /// The highest offset that was acknowledged so far.
    pub fn highest(&self) -> Option<u64> {
        let offset = |s: &Sent| if let Told::Written(offset) = s.told { Some(offset) } else { None };
        self.sent.iter().filter_map(offset).max()
    }

    /// Judges all of it.
    pub fn judge(&self) -> Verdict {
        let mut verdict = Verdict::default();
        let mut known = Known { at: BTreeMap::new(), of: BTreeMap::new(), doubtful: BTreeSet::new() };
        for sent in &self.sent {
            match sent.told {
                Told::Written(offset) => {
                    verdict.acknowledged += 1;
                    if let Some(other) = known.at.insert(offset, sent) {
                        verdict.twice.push(format!("{offset} was acknowledged for {other:?} and {sent:?}"));
                    }
                    known.of.entry(&sent.key).or_default().insert(offset);
                }
                Told::Unsure => {
                    verdict.unsure += 1;
                    known.doubtful.insert(&sent.key);
                }
                Told::Refused => {}
            }
        }
        self.places(&known, &mut verdict);
        for (name, seen) in &self.seen {
            let mut one = Walk::new(name, &known);
            seen.iter().for_each(|saw| one.step(saw, &mut verdict));
            if let Some(complete) = self.complete.get(name) {
                one.ends(*complete, &mut verdict);
            }
        }
        verdict
    }

    /// Each value stands at one offset, wherever it is seen, and that is the one that was acknowledged.
    fn places(&self, known: &Known<'_>, verdict: &mut Verdict) {
        let mut places: BTreeMap<u64, u64> = BTreeMap::new();
        let mut values: BTreeMap<u64, u64> = BTreeMap::new();
        for (offset, sent) in &known.at {
            if let Write::Value(value) = sent.write {
                places.insert(value, *offset);
                values.insert(*offset, value);
            }
        }
        let refused: BTreeSet<u64> = self
            .sent
            .iter()
            .filter(|s| s.told == Told::Refused)
            .filter_map(|s| if let Write::Value(value) = s.write { Some(value) } else { None })
            .collect();
        for (name, seen) in &self.seen {
            for saw in seen {
                let Saw::Changed { offset, value, .. } = saw else { continue };
                let place = *places.entry(*value).or_insert(*offset);
                let there = *values.entry(*offset).or_insert(*value);
                if place != *offset || there != *value || refused.contains(value) {
                    let why = format!(
                        "{name} saw value {value} at {offset}; it stands at {place}, and {there} stands there"
                    );
                    verdict.twice.push(why);
                }
            }
        }
    }
}

/// One subscriber's way through what it saw.
struct Walk<'a> {
    name: &'a str,
    known: &'a Known<'a>,
    /// What it holds: of each key, where its value was written.
    holds: BTreeMap<Vec<u8>, u64>,
    /// Of each key, the newest that it ever knew of it: nothing below may come.
    newest: BTreeMap<Vec<u8>, u64>,
    /// While it is caught up: from where on it must see all, and what it saw.
    since: Option<(u64, BTreeSet<u64>)>,
}

impl<'a> Walk<'a> {
    fn new(name: &'a str, known: &'a Known<'a>) -> Walk<'a> {
        Walk { name, known, holds: BTreeMap::new(), newest: BTreeMap::new(), since: None }
    }

    fn step(&mut self, saw: &Saw, verdict: &mut Verdict) {
        verdict.seen += 1;
        match saw {
            Saw::Changed { key, offset, .. } => {
                let newest = self.newest.get(key).copied();
                if newest.is_some_and(|n| *offset < n) {
                    let why =
                        format!("{} saw {} at {offset} after {newest:?}", self.name, key.escape_ascii());
                    verdict.revived.push(why);
                }
                self.newest.insert(key.clone(), *offset);
                self.holds.insert(key.clone(), *offset);
                self.sees(*offset);
            }
            Saw::Gone { key, at } => {
                self.newest.insert(key.clone(), *at);
                self.holds.remove(key);
                self.sees(*at);
            }
            Saw::CaughtUp(to) => {
                verdict.caught_up += 1;
                self.check(*to, verdict);
                self.since = Some((*to, BTreeSet::new()));
            }
            Saw::Behind => self.close(None, verdict),
        }
    }

    fn sees(&mut self, offset: u64) {
        if let Some((_, seen)) = &mut self.since {
            seen.insert(offset);
        }
    }

    /// Ends a time in which it was caught up: whatever was acknowledged from its beginning to the last that it saw, or to where it
    /// says that it is complete, it must have seen.
    fn close(&mut self, complete: Option<u64>, verdict: &mut Verdict) {
        let Some((from, seen)) = self.since.take() else { return };
        let to = complete.unwrap_or_else(|| seen.last().map_or(from, |last| last + 1));
        for (offset, sent) in self.known.at.range(from..to.max(from)) {
            if !seen.contains(offset) {
                verdict.gaps.push(format!("{} did not see {offset}, {sent:?}", self.name));
            }
        }
    }

    /// As of this offset it must hold the latest of each key and nothing that was deleted.
    fn check(&self, to: u64, verdict: &mut Verdict) {
        for key in self.known.of.keys().filter(|key| !self.known.doubtful.contains(*key)) {
            let Some((offset, write)) = self.known.last(key, to) else { continue };
            let holds = self.holds.get(*key).copied();
            let (name, key) = (self.name, key.escape_ascii());
            match write {
                Write::Value(_) if holds.is_none_or(|h| h < offset) => {
                    verdict.lost.push(format!("{name} holds {key} at {holds:?} as of {to}, not {offset}"));
                }
                Write::Delete if holds.is_some_and(|h| h < offset) => {
                    let why = format!("{name} holds {key} at {holds:?} as of {to}, deleted at {offset}");
                    verdict.revived.push(why);
                }
                _ => {}
            }
        }
    }

    fn ends(&mut self, complete: u64, verdict: &mut Verdict) {
        let highest = self.known.at.last_key_value().map_or(0, |last| last.0 + 1);
        if complete < highest {
            verdict.lost.push(format!("{} is complete to {complete} of {highest}", self.name));
        }
        self.close(Some(complete), verdict);
        self.check(complete, verdict);
    }
}

/// A record that many write to.
#[derive(Debug, Clone, Default)]
pub struct Recorded(Arc<Mutex<Record>>);

impl Recorded {
    /// The record, for the moment.
    pub fn lock(&self) -> MutexGuard<'_, Record> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
