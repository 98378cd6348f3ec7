//! A topic of a day: those who write it, those who follow it from the start, and those who join late.

use std::io;
use std::time::{Duration, Instant};

use beechloft_checker::topic::{Recorded, Verdict};
use beechloft_config_reader::Section;
use beechloft_coordinator::FleetSettings;
use beechloft_fakes::topic::{Pace, Reader, Writer};
use beechloft_topic::Name;
use serde_json::{Value, json};

use super::Keepers;

/// The topic's name.
const TOPIC: &str = "day/topic";
/// How long the last messages may take to reach every subscriber.
const ENDS_WITHIN: Duration = Duration::from_secs(60);

/// What a script says of it.
#[derive(Debug, Clone, PartialEq)]
pub struct TopicSpec {
    /// Who writes.
    pub writers: u64,
    /// Who follows from the start.
    pub readers: u64,
    /// When more of those come, seconds from the start.
    pub late_s: Vec<u64>,
    /// From one message of a writer to its next, milliseconds.
    pub every_ms: u64,
    /// Keys of each writer.
    pub keys: u64,
    /// Bytes of a value.
    pub bytes: u64,
    /// Of a hundred messages so many delete.
    pub deletes: u64,
    /// For how long deletions are remembered, milliseconds.
    pub retention_ms: u64,
}

impl TopicSpec {
    /// Reads the section.
    pub fn of(s: &Section<'_>) -> TopicSpec {
        TopicSpec {
            writers: s.integer("writers", 1..=64).unwrap_or(2),
            readers: s.integer("readers", 0..=256).unwrap_or(4),
            late_s: s.integers("late_s", 0..=86_400),
            every_ms: s.integer("every_ms", 1..=60_000).unwrap_or(5),
            keys: s.integer("keys", 1..=10_000).unwrap_or(50),
            bytes: s.integer("bytes", 8..=65_536).unwrap_or(100),
            deletes: s.integer("deletes", 0..=100).unwrap_or(20),
            retention_ms: s.integer("retention_ms", 1_000..=86_400_000).unwrap_or(2_000),
        }
    }

    /// Processes that reach keepers by ways of their own.
    pub(super) fn places(&self) -> usize {
        (self.writers + self.readers) as usize + self.late_s.len()
    }

    /// What the keepers' settings say of it.
    pub(super) fn section(&self) -> Value {
        json!([{ "name": TOPIC, "retention_ms": self.retention_ms, "keys": 1_000_000 }])
    }
}

/// The topic as it is played.
#[derive(Default)]
pub(super) struct TopicDay {
    record: Recorded,
    writers: Vec<Writer>,
    readers: Vec<Reader>,
    began: Option<Instant>,
    /// Places that are taken, and readers that have come late.
    places: usize,
    late: usize,
}

impl Keepers {
    fn topic_name() -> io::Result<Name> {
        Name::try_from(TOPIC.to_owned()).map_err(|e| io::Error::other(e.to_string()))
    }

    /// The settings of the next who writes or follows.
    fn next_place(&mut self) -> io::Result<FleetSettings> {
        let place = self.addresses.len() + self.candidates.len() + self.fronts + self.topic.places;
        self.topic.places += 1;
        let text = json!({ "fleet": self.section(Some(place)) }).to_string();
        FleetSettings::read(&text).map_err(|e| io::Error::other(e.to_string()))
    }

    fn reads(&mut self) -> io::Result<()> {
        let (set, name) = (self.next_place()?, format!("reader-{}", self.topic.readers.len()));
        let reader = Reader::start(&set, &Keepers::topic_name()?, &name, Duration::ZERO, &self.topic.record)?;
        self.topic.readers.push(reader);
        Ok(())
    }

    /// Begins to write and follow, if the day has a topic.
    pub(super) fn begin_topic(&mut self) -> io::Result<()> {
        let Some(spec) = self.spec.topic.clone() else { return Ok(()) };
        let pace = Pace {
            every: Duration::from_millis(spec.every_ms),
            keys: spec.keys,
            bytes: spec.bytes as usize,
            deletes: spec.deletes as u32,
        };
        for n in 0..spec.writers {
            let (set, name) = (self.next_place()?, format!("writer-{n}"));
            let writer = Writer::start(&set, &Keepers::topic_name()?, &name, pace, &self.topic.record)?;
            self.topic.writers.push(writer);
        }
        for _ in 0..spec.readers {
            self.reads()?;
        }
        self.topic.began = Some(Instant::now());
        Ok(())
    }

    /// Has those come who come late; to be called now and then.
    pub(super) fn look_at_topic(&mut self) -> io::Result<()> {
        let (Some(spec), Some(began)) = (self.spec.topic.clone(), self.topic.began) else { return Ok(()) };
        let due = spec.late_s.iter().filter(|s| began.elapsed() >= Duration::from_secs(**s)).count();
        while self.topic.late < due && !self.over {
            self.topic.late += 1;
            self.reads()?;
        }
        Ok(())
    }

    /// Ends the writers, waits until all who follow have all, and judges; none: the day has no topic.
    pub fn end_topic(&mut self) -> Option<Verdict> {
        self.topic.began?;
        self.topic.writers.drain(..).for_each(Writer::finish);
        let until = Instant::now() + ENDS_WITHIN;
        let record = self.topic.record.clone();
        let needs = record.lock().highest().map_or(0, |h| h + 1);
        for reader in &self.topic.readers {
            // One that does not get there is found by the check: it is not complete.
            let _ = reader.ends(needs, until.saturating_duration_since(Instant::now()));
        }
        let verdict = record.lock().judge();
        Some(verdict)
    }
}
