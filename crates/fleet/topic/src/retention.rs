//! Retention of tombstones. The leader measures it on its own clock and moves the horizon through the replicated log.
//!
//! A mark is a reading of the leader's clock together with the head at that time. Once the topic's retention, extended by the
//! drift bound, has passed since the mark, every subscriber that was complete to the mark at that time had the whole retention
//! to reconnect, whatever its clock shows. Tombstones below the mark need not be retained any longer. A new leader does not
//! know earlier marks and starts over, so tombstones are retained longer than configured but never shorter.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use beechloft_leases::{DriftBound, Name};

use crate::fault_injection::Fault;
use crate::messages::{Offset, TopicCommand};
use crate::topic::Topic;
use crate::topics::Topics;

/// Number of marks during one retention. The horizon moves in steps of an eighth of the retention, so tombstones are retained
/// for up to that much longer.
const MARKS_PER_RETENTION: u32 = 8;
/// Time after which a move of the horizon that was not applied is proposed again.
const REPROPOSE_INTERVAL: Duration = Duration::from_secs(2);

/// Marks of one topic.
#[derive(Debug, Clone, Hash, Default)]
struct Marks {
    marks: VecDeque<(Duration, Offset)>,
    /// Time of the last proposal and the horizon at that time.
    proposed: Option<(Duration, Offset)>,
    due: Option<Duration>,
}

impl Marks {
    /// Adds and removes marks. Returns the new horizon if a move is to be proposed now.
    fn update(&mut self, now: Duration, retention: Duration, topic: &Topic) -> Option<Offset> {
        // Without tombstones the horizon does not move, so a subscriber that returns after a long absence need not
        // resynchronize.
        let Some(oldest) = topic.oldest_tombstone() else {
            *self = Marks::default();
            return None;
        };
        let step = retention / MARKS_PER_RETENTION;
        let has_new =
            |marks: &VecDeque<(Duration, Offset)>| marks.back().is_none_or(|(_, head)| *head < topic.head());
        if has_new(&self.marks) && self.marks.back().is_none_or(|(at, _)| now >= *at + step) {
            self.marks.push_back((now, topic.head()));
        }
        // Of the marks whose retention has passed only the last one is needed. A mark without a tombstone below it has no
        // effect.
        while self.marks.get(1).is_some_and(|(at, _)| now >= *at + retention)
            || self.marks.front().is_some_and(|(_, to)| oldest >= *to)
        {
            self.marks.pop_front();
        }
        let next = self.marks.back().filter(|_| has_new(&self.marks)).map(|(at, _)| *at + step);
        let (at, to) = *self.marks.front()?;
        if now < at + retention {
            self.due = Some(next.map_or(at + retention, |next| next.min(at + retention)));
            return None;
        }
        // A proposal may be lost in a change of leader, and a large number of tombstones takes several moves.
        let proposes = self.proposed.is_none_or(|(proposed_at, horizon)| {
            now >= proposed_at + REPROPOSE_INTERVAL || horizon < topic.horizon()
        });
        if proposes {
            self.proposed = Some((now, topic.horizon()));
        }
        self.due = self.proposed.map(|(proposed_at, _)| proposed_at + REPROPOSE_INTERVAL);
        proposes.then_some(to)
    }
}

/// Marks of all topics, kept by the leader.
#[derive(Debug, Clone)]
pub struct Retention {
    drift: DriftBound,
    topics: BTreeMap<Name, Marks>,
    fault: Option<Fault>,
}

/// Hashes all state that affects the next decision.
impl std::hash::Hash for Retention {
    fn hash<H: std::hash::Hasher>(&self, into: &mut H) {
        (self.drift.as_ppm(), &self.topics).hash(into);
    }
}

impl Retention {
    /// Creates an instance without marks.
    pub fn new(drift: DriftBound) -> Retention {
        Retention { drift, topics: BTreeMap::new(), fault: None }
    }

    /// Injects a fault.
    #[cfg(feature = "fault_injection")]
    pub fn inject(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    /// Starts to measure as the leader. Earlier marks are discarded, because this replica's topics may have been outdated
    /// since.
    pub fn begin(&mut self, now: Duration, topics: &Topics) {
        self.topics.clear();
        self.poll(now, topics);
    }

    fn retention(&self, topic: &Topic) -> Duration {
        let retention = Duration::from_millis(u64::from(topic.config().retention_ms));
        let is_short = cfg!(feature = "fault_injection") && self.fault == Some(Fault::RetentionTooShort);
        if is_short { retention / 4 } else { self.drift.longer(retention) }
    }

    /// Returns the commands to be proposed now. The leader calls it with its applied state whenever the topics change and at
    /// [`Retention::next_due`].
    pub fn poll(&mut self, now: Duration, topics: &Topics) -> Vec<TopicCommand> {
        self.topics.retain(|name, _| topics.topic(name).is_some());
        let mut commands = Vec::new();
        for (name, topic) in topics.all() {
            let retention = self.retention(topic);
            let marks = self.topics.entry(name.clone()).or_default();
            let to = marks.update(now, retention, topic);
            commands.extend(to.map(|to| TopicCommand::Horizon { topic: name.clone(), to }));
        }
        commands
    }

    /// Returns when to poll again if nothing changes before, or `None` if nothing is due.
    pub fn next_due(&self) -> Option<Duration> {
        self.topics.values().filter_map(|m| m.due).min()
    }
}
