//! All topics: the part of the replicated state that is theirs.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use beechloft_leases::Name;

use crate::fault_injection::Fault;
use crate::log::Layout;
use crate::messages::{
    MAX_BYTES, Offset, Refusal, Terms, TopicAnswer, TopicCommand, TopicEvent, TopicOp, TopicRequest,
};
use crate::topic::{Topic, are_valid};

/// Topics at most.
const MAX_TOPICS: usize = 64;
/// Bytes of work for one topic before the next one's turn.
const TURN: usize = 16 << 10;
/// Bytes of work that a look at a topic with nothing to clean counts as.
const REST: usize = 256;

/// All topics.
#[derive(Debug, Clone, Default)]
pub struct Topics {
    topics: BTreeMap<Name, Topic>,
    layout: Layout,
    /// Whose turn it was last to be cleaned.
    turn: Option<Name>,
    fault: Option<Fault>,
}

/// What is promised of them is the same; how they are laid out may differ.
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
    /// None yet, to be laid out in this way.
    pub fn new(layout: Layout) -> Topics {
        Topics { layout, ..Topics::default() }
    }

    pub(crate) fn restored(topics: BTreeMap<Name, Topic>, layout: Layout) -> Topics {
        Topics { topics, layout, ..Topics::default() }
    }

    /// Plants a fault.
    #[cfg(feature = "planted")]
    pub fn plant(&mut self, fault: Fault) {
        self.fault = Some(fault);
        self.topics.values_mut().for_each(|t| t.plant(Some(fault)));
    }

    /// A topic.
    pub fn topic(&self, name: &Name) -> Option<&Topic> {
        self.topics.get(name)
    }

    /// All topics, by name.
    pub fn all(&self) -> impl Iterator<Item = (&Name, &Topic)> {
        self.topics.iter()
    }

    /// Hashes how they are laid out and how far the cleaners are, too.
    pub fn hash_layout<H: Hasher>(&self, into: &mut H) {
        self.hash(into);
        self.turn.hash(into);
        self.topics.values().for_each(|t| t.log.hash(into));
    }

    /// Does a command; what became of it, for who asked, and what has changed. Both follow from the commands so far alone,
    /// whatever this keeper's layout is.
    pub fn apply(&mut self, command: &TopicCommand) -> (Option<TopicAnswer>, Option<TopicEvent>) {
        match command {
            TopicCommand::Declare { topic, life, terms } => match self.declare(topic, *life, *terms) {
                Ok(event) => (None, event),
                Err(why) => (Some(TopicAnswer::Refused(why)), None),
            },
            TopicCommand::Ask(request) => {
                let (answer, event) = self.ask(request);
                (Some(answer), event)
            }
            TopicCommand::Horizon { topic, to } => {
                let moved = self.topics.get_mut(topic).and_then(|t| t.move_horizon(*to));
                (None, moved.map(|to| TopicEvent::Horizon(topic.clone(), to)))
            }
        }
    }

    fn declare(&mut self, name: &Name, life: u64, terms: Terms) -> Result<Option<TopicEvent>, Refusal> {
        if !are_valid(&terms) {
            return Err(Refusal::Terms);
        }
        let event = Some(TopicEvent::Declared(name.clone(), terms));
        if let Some(topic) = self.topics.get_mut(name) {
            let same = topic.terms() == terms;
            topic.set_terms(terms);
            return Ok(event.filter(|_| !same));
        }
        if self.topics.len() >= MAX_TOPICS {
            return Err(Refusal::TooManyTopics);
        }
        let mut topic = Topic::new(life, terms, self.layout);
        topic.plant(self.fault);
        self.topics.insert(name.clone(), topic);
        Ok(event)
    }

    fn ask(&mut self, request: &TopicRequest) -> (TopicAnswer, Option<TopicEvent>) {
        let TopicRequest { publisher, topic: name, op } = request;
        let room = MAX_BYTES.saturating_sub(self.topics.values().map(Topic::bytes).sum());
        let Some(topic) = self.topics.get_mut(name) else {
            return (TopicAnswer::Refused(Refusal::NoTopic), None);
        };
        match op {
            TopicOp::Begin { epoch } => match topic.begin(*publisher, *epoch) {
                Err(why) => (TopicAnswer::Refused(why), None),
                Ok(session) => {
                    let (topic, publisher, epoch) = (name.clone(), *publisher, *epoch);
                    let event = TopicEvent::Began { topic, publisher, epoch, session };
                    (TopicAnswer::Began(session), Some(event))
                }
            },
            TopicOp::Publish { session, seq, record, expect } => {
                let (answer, written) = topic.publish(*publisher, (*session, *seq), record, *expect, room);
                (answer, written.map(|offset: Offset| TopicEvent::Appended(name.clone(), offset)))
            }
        }
    }

    /// Has the cleaners work for about so many bytes, one topic after another; whether there may be more to do. Nothing of it
    /// is in the log: each keeper cleans for itself.
    pub fn clean(&mut self, budget: usize) -> bool {
        let mut left = budget;
        let mut rested = 0;
        while left > 0 && rested < self.topics.len() {
            let after = self.turn.take();
            let next = after.and_then(|after| {
                use std::ops::Bound::{Excluded, Unbounded};
                self.topics.range((Excluded(after), Unbounded)).next().map(|(name, _)| name.clone())
            });
            let Some(name) = next.or_else(|| self.topics.keys().next().cloned()) else { return false };
            let part = left.min(TURN);
            let more = self.topics.get_mut(&name).is_some_and(|t| t.log.clean(part));
            rested = if more { 0 } else { rested + 1 };
            left -= if more { part } else { part.min(REST) };
            self.turn = Some(name);
        }
        rested < self.topics.len()
    }
}
