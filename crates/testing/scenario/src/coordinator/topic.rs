//! Topic of a day with its writers, readers from the start and late readers.

use std::io;
use std::time::{Duration, Instant};

use beechloft_checker::topic::{Recorded, Verdict};
use beechloft_config_reader::Section;
use beechloft_coordinator::FleetSettings;
use beechloft_fakes::topic::{Pace, Reader, Writer};
use beechloft_topic::Name;
use serde_json::{Value, json};

use super::Coordinator;

/// Name of the topic.
const TOPIC: &str = "day/topic";
/// Time within which the last messages must reach every reader.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(60);

/// Section of a script that describes the topic.
#[derive(Debug, Clone, PartialEq)]
pub struct TopicSpec {
    /// Number of writers.
    pub writers: u64,
    /// Number of readers from the start.
    pub readers: u64,
    /// Times at which further readers start, in seconds from the start.
    pub late_s: Vec<u64>,
    /// Interval between the messages of a writer in milliseconds.
    pub every_ms: u64,
    /// Number of keys of each writer.
    pub keys: u64,
    /// Size of a value in bytes.
    pub bytes: u64,
    /// Share of messages that delete a key, in percent.
    pub deletes: u64,
    /// Time for which deletions are retained, in milliseconds.
    pub retention_ms: u64,
}

impl TopicSpec {
    /// Reads the section.
    pub fn read(section: &Section<'_>) -> TopicSpec {
        TopicSpec {
            writers: section.integer("writers", 1..=64).unwrap_or(2),
            readers: section.integer("readers", 0..=256).unwrap_or(4),
            late_s: section.integers("late_s", 0..=86_400),
            every_ms: section.integer("every_ms", 1..=60_000).unwrap_or(5),
            keys: section.integer("keys", 1..=10_000).unwrap_or(50),
            bytes: section.integer("bytes", 8..=65_536).unwrap_or(100),
            deletes: section.integer("deletes", 0..=100).unwrap_or(20),
            retention_ms: section.integer("retention_ms", 1_000..=86_400_000).unwrap_or(2_000),
        }
    }

    /// Returns the number of writers and readers, each of which has its own links to the replicas.
    pub(super) fn client_count(&self) -> usize {
        (self.writers + self.readers) as usize + self.late_s.len()
    }

    /// Returns the `topics` section of the replicas' settings.
    pub(super) fn section(&self) -> Value {
        json!([{ "name": TOPIC, "retention_ms": self.retention_ms, "keys": 1_000_000 }])
    }
}

/// State of the topic in a running day.
#[derive(Default)]
pub(super) struct TopicRun {
    record: Recorded,
    writers: Vec<Writer>,
    readers: Vec<Reader>,
    started_at: Option<Instant>,
    /// Number of writers and readers that were given settings.
    clients: usize,
    late_readers: usize,
}

impl Coordinator {
    fn topic_name() -> io::Result<Name> {
        Name::try_from(TOPIC.to_owned()).map_err(|e| io::Error::other(e.to_string()))
    }

    /// Returns the settings of the next writer or reader.
    fn next_client_settings(&mut self) -> io::Result<FleetSettings> {
        let process = self.addresses.len() + self.candidates.len() + self.fronts + self.topic.clients;
        self.topic.clients += 1;
        let text = json!({ "fleet": self.section(Some(process)) }).to_string();
        FleetSettings::read(&text).map_err(|e| io::Error::other(e.to_string()))
    }

    fn start_reader(&mut self) -> io::Result<()> {
        let (settings, name) = (self.next_client_settings()?, format!("reader-{}", self.topic.readers.len()));
        let reader =
            Reader::start(&settings, &Coordinator::topic_name()?, &name, Duration::ZERO, &self.topic.record)?;
        self.topic.readers.push(reader);
        Ok(())
    }

    /// Starts the writers and readers, if the day has a topic.
    pub(super) fn start_topic(&mut self) -> io::Result<()> {
        let Some(spec) = self.spec.topic.clone() else { return Ok(()) };
        let pace = Pace {
            every: Duration::from_millis(spec.every_ms),
            keys: spec.keys,
            bytes: spec.bytes as usize,
            deletes: spec.deletes as u32,
        };
        for n in 0..spec.writers {
            let (settings, name) = (self.next_client_settings()?, format!("writer-{n}"));
            let writer =
                Writer::start(&settings, &Coordinator::topic_name()?, &name, pace, &self.topic.record)?;
            self.topic.writers.push(writer);
        }
        for _ in 0..spec.readers {
            self.start_reader()?;
        }
        self.topic.started_at = Some(Instant::now());
        Ok(())
    }

    /// Starts the late readers that are due. It must be called periodically.
    pub(super) fn start_late_readers(&mut self) -> io::Result<()> {
        let (Some(spec), Some(started_at)) = (self.spec.topic.clone(), self.topic.started_at) else {
            return Ok(());
        };
        let due =
            spec.late_s.iter().filter(|late_s| started_at.elapsed() >= Duration::from_secs(**late_s)).count();
        while self.topic.late_readers < due && !self.is_over {
            self.topic.late_readers += 1;
            self.start_reader()?;
        }
        Ok(())
    }

    /// Ends the writers, waits until the readers have all messages, and checks the topic.
    ///
    /// Returns `None` if the day has no topic.
    pub fn end_topic(&mut self) -> Option<Verdict> {
        self.topic.started_at?;
        self.topic.writers.drain(..).for_each(Writer::finish);
        let deadline = Instant::now() + DELIVERY_TIMEOUT;
        let record = self.topic.record.clone();
        let end_offset = record.lock().highest().map_or(0, |highest| highest + 1);
        for reader in &self.topic.readers {
            // The check reports a reader that does not receive all messages in time.
            let _ = reader.ends(end_offset, deadline.saturating_duration_since(Instant::now()));
        }
        let verdict = record.lock().judge();
        Some(verdict)
    }
}
