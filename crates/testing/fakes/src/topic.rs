//! Those who write a topic and those who follow it, with all that they are told recorded.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use beechloft_checker::topic::{Recorded, Saw, Told, Write};
use beechloft_coordinator::FleetSettings;
use beechloft_coordinator::topics::{Follower, FollowerEvent, PublishResult, Publisher, WriteMode};
use beechloft_topic::{Expect, Key, Name, Outcome, PublisherSettings, Record, SubscriberSettings, Value};

/// Values' numbers: no two values that are ever written in this process have the same.
static VALUES: AtomicU64 = AtomicU64::new(1);

/// How a writer writes.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// From one message to the next.
    pub every: Duration,
    /// Keys of its own, among which it goes round by chance.
    pub keys: u64,
    /// Bytes of a value, eight at least.
    pub bytes: usize,
    /// Of a hundred messages so many delete a key.
    pub deletes: u32,
}

/// Writes until it is dropped or told to end. It has keys of its own, so that it knows whether there is something to delete.
pub struct Writer {
    end: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Begins. `name` is the beginning of its keys.
    ///
    /// # Errors
    /// There is no thread.
    pub fn start(
        set: &FleetSettings,
        topic: &Name,
        name: &str,
        pace: Pace,
        record: &Recorded,
    ) -> io::Result<Writer> {
        // Longer than any trouble in a test: what becomes of each is to be known.
        let settings = PublisherSettings {
            delivery_timeout: Duration::from_secs(120),
            retry_backoff: (Duration::from_millis(100), Duration::from_secs(1)),
            ..PublisherSettings::default()
        };
        let publisher = Publisher::start(set, topic.clone(), WriteMode::Shared, settings)?;
        let end = Arc::new(AtomicBool::new(false));
        let (ends, name, record) = (Arc::clone(&end), name.to_owned(), record.clone());
        let writes = move || {
            let mut writing =
                Writing { publisher, record, name, out: BTreeMap::new(), there: BTreeMap::new() };
            writing.run(pace, &ends);
        };
        let thread = thread::Builder::new().name("writer".into()).spawn(writes)?;
        Ok(Writer { end, thread: Some(thread) })
    }

    /// Writes no more, and waits until each message has its answer, or none comes any more.
    pub fn finish(mut self) {
        self.end.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.end.store(true, Ordering::Relaxed);
    }
}

struct Writing {
    publisher: Publisher,
    record: Recorded,
    name: String,
    /// Messages that are out, by ticket: which of the record's, and of which key.
    out: BTreeMap<u64, (usize, u64)>,
    /// Keys that have a value; none: nothing may be done with it while something is out.
    there: BTreeMap<u64, bool>,
}

/// How long answers are waited for at the end.
const LAST: Duration = Duration::from_secs(60);

impl Writing {
    fn run(&mut self, pace: Pace, end: &AtomicBool) {
        let mut next = Instant::now();
        while !end.load(Ordering::Relaxed) {
            let wait = next.saturating_duration_since(Instant::now());
            if let Ok(settled) = self.publisher.results().recv_timeout(wait) {
                self.settles(settled);
                continue;
            }
            next += pace.every;
            // A writer that was held up does not make up for it at once.
            next = next.max(Instant::now() - pace.every * 10);
            self.write(pace);
        }
        let until = Instant::now() + LAST;
        while !self.out.is_empty() && Instant::now() < until {
            if let Ok(settled) = self.publisher.results().recv_timeout(Duration::from_millis(50)) {
                self.settles(settled);
            }
        }
    }

    fn write(&mut self, pace: Pace) {
        let key = rand::random_range(0..pace.keys.max(1));
        if self.out.values().any(|(_, busy)| *busy == key) {
            return;
        }
        let there = self.there.get(&key).copied().unwrap_or(false);
        let deletes = there && rand::random_range(0..100) < pace.deletes;
        let text = format!("{}/{key}", self.name);
        let Ok(of) = Key::new(text.as_bytes()) else { return };
        let (write, value) = if deletes {
            (Write::Delete, None)
        } else {
            let number = VALUES.fetch_add(1, Ordering::Relaxed);
            let mut bytes = number.to_be_bytes().to_vec();
            bytes.resize(pace.bytes.max(8), b'.');
            (Write::Value(number), Value::new(&bytes).ok())
        };
        let record = Record { key: of, value };
        let message = self.record.lock().sends(text.as_bytes(), write);
        match self.publisher.publish(record, Expect::Anything) {
            Some(ticket) => drop(self.out.insert(ticket.0, (message, key))),
            None => self.record.lock().told(message, Told::Refused),
        }
        self.there.insert(key, !deletes);
    }

    fn settles(&mut self, settled: PublishResult) {
        let Some((message, key)) = self.out.remove(&settled.ticket.0) else { return };
        let told = match settled.outcome {
            Outcome::Written(offset) => Told::Written(offset.0),
            Outcome::Refused(_) | Outcome::QueueFull | Outcome::TimedOut => Told::Refused,
            Outcome::Unsure => Told::Unsure,
        };
        if told == Told::Refused {
            self.there.insert(key, false);
        }
        self.record.lock().told(message, told);
    }
}

/// How often a paused reader checks whether it may go on.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Follows a topic and records what it sees.
pub struct Reader {
    name: String,
    follower: Follower,
    record: Recorded,
    paused: Arc<AtomicBool>,
}

impl Reader {
    /// Begins. Each thing that it sees takes it `takes`, so that it may be a slow one.
    ///
    /// # Errors
    /// There is no thread.
    pub fn start(
        set: &FleetSettings,
        topic: &Name,
        name: &str,
        takes: Duration,
        record: &Recorded,
    ) -> io::Result<Reader> {
        let (whose, into) = (name.to_owned(), record.clone());
        let paused = Arc::new(AtomicBool::new(false));
        let waits = Arc::clone(&paused);
        let hear = move |followed| {
            while waits.load(Ordering::Relaxed) {
                thread::sleep(PAUSE_CHECK_INTERVAL);
            }
            if let Some(saw) = saw(followed) {
                into.lock().saw(&whose, saw);
            }
            if !takes.is_zero() {
                thread::sleep(takes);
            }
        };
        let settings = SubscriberSettings {
            unresponsive_timeout: Duration::from_secs(3),
            max_staleness: Duration::from_secs(2),
            ..SubscriberSettings::default()
        };
        let follower = Follower::start(set, topic.clone(), settings, hear)?;
        Ok(Reader { name: name.to_owned(), follower, record: record.clone(), paused })
    }

    /// Stops taking events, from the next one on, until [`Reader::resume`] is called.
    pub fn pause(&self) {
        self.paused.store(true, Ordering::Relaxed);
    }

    /// Takes events again.
    pub fn resume(&self) {
        self.paused.store(false, Ordering::Relaxed);
    }

    /// What is known of the topic.
    pub fn follower(&self) -> &Follower {
        &self.follower
    }

    /// Up to where it is complete.
    pub fn complete_to(&self) -> Option<u64> {
        self.follower.reported_to().map(|o| o.0)
    }

    /// Waits until it is complete to an offset, and records that; false: not in time.
    pub fn ends(&self, at_least: u64, within: Duration) -> bool {
        let until = Instant::now() + within;
        loop {
            let complete = self.complete_to();
            if let Some(complete) = complete.filter(|c| *c >= at_least) {
                self.record.lock().ends(&self.name, complete);
                return true;
            }
            if Instant::now() >= until {
                self.record.lock().ends(&self.name, complete.unwrap_or(0));
                return false;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.resume();
    }
}

fn saw(followed: FollowerEvent) -> Option<Saw> {
    Some(match followed {
        FollowerEvent::Updated(message) => {
            let (key, offset) = (message.key().to_vec(), message.offset.0);
            let number = message.body.value().and_then(|v| v.first_chunk::<8>()).copied().unwrap_or_default();
            Saw::Changed { key, offset, value: u64::from_be_bytes(number) }
        }
        FollowerEvent::Deleted(key, at) => Saw::Gone { key: key.bytes().to_vec(), at: at.0 },
        FollowerEvent::CaughtUp(to) => Saw::CaughtUp(to.0),
        FollowerEvent::Behind => Saw::Behind,
        FollowerEvent::ProtocolViolation(_) => return None,
    })
}
