//! For how long deletions are remembered: counted by the leader on its own clock, told to all by the log.
//!
//! A mark says: the head stood here at this time by my clock. When the topic's retention has gone by since, and the drift with it,
//! whoever was complete to that mark at the time had the whole retention to come back, whatever his clock says; deletions below
//! the mark need not be remembered any more. A new leader knows nothing of the marks before it and begins again: deletions are
//! remembered longer, never shorter.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use beechloft_leases::{DriftBound, Name};

use crate::fault_injection::Fault;
use crate::messages::{Offset, TopicCommand};
use crate::topic::Topic;
use crate::topics::Topics;

/// Marks of a topic at most; so the horizon moves in steps of an eighth of the retention, and deletions are remembered for up to
/// that much longer.
const MARKS: u32 = 8;
/// A move that was put into the log and has not come back yet is put there again after this.
const AGAIN: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Hash, Default)]
struct Marks {
    marks: VecDeque<(Duration, Offset)>,
    /// When a move was put into the log last, and where the horizon stood then.
    told: Option<(Duration, Offset)>,
    due: Option<Duration>,
}

impl Marks {
    /// Where the horizon is to go now, if anywhere.
    fn look(&mut self, now: Duration, retention: Duration, topic: &Topic) -> Option<Offset> {
        // With nothing to forget the horizon stays where it is, and who was long away has all he needs.
        let Some(oldest) = topic.oldest_tombstone() else {
            *self = Marks::default();
            return None;
        };
        let step = retention / MARKS;
        let more = |m: &VecDeque<(Duration, Offset)>| m.back().is_none_or(|(_, head)| *head < topic.head());
        if more(&self.marks) && self.marks.back().is_none_or(|(at, _)| now >= *at + step) {
            self.marks.push_back((now, topic.head()));
        }
        // Of those that are over the last one says all. One that speaks of nothing that is remembered says nothing.
        while self.marks.get(1).is_some_and(|(at, _)| now >= *at + retention)
            || self.marks.front().is_some_and(|(_, to)| oldest >= *to)
        {
            self.marks.pop_front();
        }
        let next = self.marks.back().filter(|_| more(&self.marks)).map(|(at, _)| *at + step);
        let (at, to) = *self.marks.front()?;
        if now < at + retention {
            self.due = Some(next.map_or(at + retention, |next| next.min(at + retention)));
            return None;
        }
        // What was put into the log may be lost with a lead; and a long list of deletions takes several moves.
        let again = self.told.is_none_or(|(told, stood)| now >= told + AGAIN || stood < topic.horizon());
        if again {
            self.told = Some((now, topic.horizon()));
        }
        self.due = self.told.map(|(told, _)| told + AGAIN);
        again.then_some(to)
    }
}

/// The leader's count.
#[derive(Debug, Clone)]
pub struct Retention {
    drift: DriftBound,
    topics: BTreeMap<Name, Marks>,
    fault: Option<Fault>,
}

/// All that decides what it does next.
impl std::hash::Hash for Retention {
    fn hash<H: std::hash::Hasher>(&self, into: &mut H) {
        (self.drift.as_ppm(), &self.topics).hash(into);
    }
}

impl Retention {
    /// Nothing is counted yet.
    pub fn new(drift: DriftBound) -> Retention {
        Retention { drift, topics: BTreeMap::new(), fault: None }
    }

    /// Plants a fault.
    #[cfg(feature = "planted")]
    pub fn plant(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    /// It begins to lead. Whatever it counted before counts no more: its topics may have stood still since.
    pub fn begin(&mut self, now: Duration, topics: &Topics) {
        self.topics.clear();
        self.look(now, topics);
    }

    fn retention(&self, topic: &Topic) -> Duration {
        let retention = Duration::from_millis(u64::from(topic.terms().retention_ms));
        let short = cfg!(feature = "planted") && self.fault == Some(Fault::RetentionShort);
        if short { retention / 4 } else { self.drift.longer(retention) }
    }

    /// What the log is to be told now. To be called while it leads, with the topics as it has applied them: when they have changed
    /// and when [`Retention::next_due`] says.
    pub fn look(&mut self, now: Duration, topics: &Topics) -> Vec<TopicCommand> {
        self.topics.retain(|name, _| topics.topic(name).is_some());
        let mut commands = Vec::new();
        for (name, topic) in topics.all() {
            let retention = self.retention(topic);
            let of = self.topics.entry(name.clone()).or_default();
            let to = of.look(now, retention, topic);
            commands.extend(to.map(|to| TopicCommand::Horizon { topic: name.clone(), to }));
        }
        commands
    }

    /// When it wants to look again, if nothing changes before.
    pub fn next_due(&self) -> Option<Duration> {
        self.topics.values().filter_map(|m| m.due).min()
    }
}
