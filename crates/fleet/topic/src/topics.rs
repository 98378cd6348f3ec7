//! Replicated state of all topics.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use beechloft_leases::Name;

use crate::fault_injection::Fault;
use crate::log::Layout;
use crate::messages::{
    MAX_BYTES, Offset, Refusal, TopicAnswer, TopicCommand, TopicConfig, TopicEvent, TopicOp, TopicRequest,
};
use crate::topic::{Topic, is_valid_config};

/// Maximum number of topics.
const MAX_TOPICS: usize = 64;
/// Cleaning work in one topic before the next topic is cleaned.
const CLEAN_SLICE_BYTES: usize = 16 << 10;
/// Work that counts for visiting a topic without garbage.
const IDLE_TOPIC_COST_BYTES: usize = 256;

/// State machine of all topics.
#[derive(Debug, Clone, Default)]
pub struct Topics {
    topics: BTreeMap<Name, Topic>,
    layout: Layout,
    /// Topic that was cleaned last.
    last_cleaned: Option<Name>,
    fault: Option<Fault>,
}

/// Compares the replicated state, not the segment layout, which may differ between replicas.
impl PartialEq for Topics {
    fn eq(&self, other: &Topics) -> bool {
        self.topics == other.topics
    }
}

impl Eq for Topics {}

impl Hash for Topics {
    fn hash<H: Hasher>(&self, into: &mut H) {
        self.topics.hash(into);
    }
}

impl Topics {
    /// Creates a state without topics. Topics are stored with the given layout.
    pub fn new(layout: Layout) -> Topics {
        Topics { layout, ..Topics::default() }
    }

    pub(crate) fn restored(topics: BTreeMap<Name, Topic>, layout: Layout) -> Topics {
        Topics { topics, layout, ..Topics::default() }
    }

    /// Injects a fault.
    #[cfg(feature = "fault_injection")]
    pub fn inject(&mut self, fault: Fault) {
        self.fault = Some(fault);
        self.topics.values_mut().for_each(|t| t.set_fault(Some(fault)));
    }

    /// Returns a topic by name.
    pub fn topic(&self, name: &Name) -> Option<&Topic> {
        self.topics.get(name)
    }

    /// Returns all topics in the order of their names.
    pub fn all(&self) -> impl Iterator<Item = (&Name, &Topic)> {
        self.topics.iter()
    }

    /// Hashes the replicated state together with the segment layout and the progress of the cleaners.
    pub fn hash_layout<H: Hasher>(&self, into: &mut H) {
        self.hash(into);
        self.last_cleaned.hash(into);
        self.topics.values().for_each(|t| t.log.hash(into));
    }

    /// Applies a command. Returns the answer for the requester and the event for observers. Both depend only on the commands
    /// so far, not on this replica's layout.
    pub fn apply(&mut self, command: &TopicCommand) -> (Option<TopicAnswer>, Option<TopicEvent>) {
        match command {
            TopicCommand::Declare { topic, incarnation, config } => {
                match self.declare(topic, *incarnation, *config) {
                    Ok(event) => (None, event),
                    Err(refusal) => (Some(TopicAnswer::Refused(refusal)), None),
                }
            }
            TopicCommand::Request(request) => {
                let (answer, event) = self.handle_request(request);
                (Some(answer), event)
            }
            TopicCommand::Horizon { topic, to } => {
                let moved = self.topics.get_mut(topic).and_then(|t| t.move_horizon(*to));
                (None, moved.map(|horizon| TopicEvent::Horizon(topic.clone(), horizon)))
            }
        }
    }

    fn declare(
        &mut self,
        name: &Name,
        incarnation: u64,
        config: TopicConfig,
    ) -> Result<Option<TopicEvent>, Refusal> {
        if !is_valid_config(&config) {
            return Err(Refusal::InvalidConfig);
        }
        let event = Some(TopicEvent::Declared(name.clone(), config));
        if let Some(topic) = self.topics.get_mut(name) {
            let is_unchanged = topic.config() == config;
            topic.set_config(config);
            return Ok(event.filter(|_| !is_unchanged));
        }
        if self.topics.len() >= MAX_TOPICS {
            return Err(Refusal::TooManyTopics);
        }
        let mut topic = Topic::new(incarnation, config, self.layout);
        topic.set_fault(self.fault);
        self.topics.insert(name.clone(), topic);
        Ok(event)
    }

    fn handle_request(&mut self, request: &TopicRequest) -> (TopicAnswer, Option<TopicEvent>) {
        let TopicRequest { publisher, topic: name, op } = request;
        let available_bytes = MAX_BYTES.saturating_sub(self.topics.values().map(Topic::bytes).sum());
        let Some(topic) = self.topics.get_mut(name) else {
            return (TopicAnswer::Refused(Refusal::NoTopic), None);
        };
        match op {
            TopicOp::Begin { epoch } => match topic.begin(*publisher, *epoch) {
                Err(refusal) => (TopicAnswer::Refused(refusal), None),
                Ok(session) => {
                    let event = TopicEvent::Began {
                        topic: name.clone(),
                        publisher: *publisher,
                        epoch: *epoch,
                        session,
                    };
                    (TopicAnswer::Began(session), Some(event))
                }
            },
            TopicOp::Publish { session, seq, record, expect } => {
                let (answer, written) =
                    topic.publish(*publisher, (*session, *seq), record, *expect, available_bytes);
                (answer, written.map(|offset: Offset| TopicEvent::Appended(name.clone(), offset)))
            }
        }
    }

    /// Cleans for about `budget` bytes of work, one topic after another. Returns whether there may be more work. Cleaning is
    /// local to a replica and not part of the replicated log.
    pub fn clean(&mut self, budget: usize) -> bool {
        let mut remaining = budget;
        let mut idle_topics = 0;
        while remaining > 0 && idle_topics < self.topics.len() {
            let after = self.last_cleaned.take();
            let next = after.and_then(|after| {
                use std::ops::Bound::{Excluded, Unbounded};
                self.topics.range((Excluded(after), Unbounded)).next().map(|(name, _)| name.clone())
            });
            let Some(name) = next.or_else(|| self.topics.keys().next().cloned()) else { return false };
            let slice = remaining.min(CLEAN_SLICE_BYTES);
            let has_more = self.topics.get_mut(&name).is_some_and(|t| t.log.clean(slice));
            idle_topics = if has_more { 0 } else { idle_topics + 1 };
            remaining -= if has_more { slice } else { slice.min(IDLE_TOPIC_COST_BYTES) };
            self.last_cleaned = Some(name);
        }
        idle_topics < self.topics.len()
    }
}
