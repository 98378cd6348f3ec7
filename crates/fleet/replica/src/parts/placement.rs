//! Placement: the replicated state, while this keeper leads the times at which fronts' rights run out, and the topic that its records go to.
//!
//! Records are written to the topic by the same entry that makes them, in the order of their revisions. Where the topic is not there, or
//! is full, they wait in the replicated state; a narrowing does not count before fronts have its record, so waiting breaks no rule.

use std::collections::VecDeque;
use std::time::Duration;

use beechloft_consensus::{Chunk, RequestError};
use beechloft_leases::Name;
use beechloft_placement::names::{Revision, ShardId};
use beechloft_placement::state::StateError;
use beechloft_placement::{Answer, Command, Event, Fault, Placements, Record, Rights};
use beechloft_topic::{
    Epoch, Expect, Key, PublisherId, Refusal, Session, TopicAnswer, TopicCommand, TopicOp, TopicRequest,
    Value,
};
use serde::{Deserialize, Serialize};

use super::topics::KeyedLogs;
use super::{Moment, Part};
use crate::asked::{ClientId, ReplicaOutput};

/// The topic of records: key `CUSTOMER/SHARD`, value a revision and a [`Record`], a tombstone for what is pinned no more.
pub(crate) const TOPIC: &str = "fleet/placement";
/// Who writes them: the log itself.
const PUBLISHER: PublisherId = PublisherId(18);

/// Who waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum PlacementWait {
    /// For what becomes of a command, by the number that whoever asked gave it.
    Command(ClientId, u64),
    /// For the state to have all that was committed.
    Read(ClientId, u64),
    /// Nobody: what the keeper itself put into the log.
    Nobody,
}

/// A record that is to be written.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Due {
    shard: ShardId,
    revision: Revision,
    record: Option<Record>,
}

/// What is replicated.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
struct Replicated {
    placements: Placements,
    /// By which the log writes, and the number of the message to come.
    session: Option<(Session, u64)>,
    epoch: u64,
    due: VecDeque<Due>,
}

/// The placement at a keeper.
#[derive(Debug, Clone, Hash, Default)]
pub(crate) struct Pinned {
    replicated: Replicated,
    /// While it leads.
    rights: Option<Rights>,
    fault: Option<Fault>,
}

impl Pinned {
    pub fn write(&self) -> Vec<Chunk> {
        // Where nothing was ever said of it the state is as if there was no such part.
        if self.replicated == Replicated::default() {
            return Vec::new();
        }
        // Only a value that has no length beforehand could fail, and this has none such.
        vec![Chunk::new(postcard::to_allocvec(&self.replicated).unwrap_or_default())]
    }

    pub fn restore(&mut self, chunks: &[Chunk]) -> Result<(), StateError> {
        self.replicated = match chunks.first() {
            None => Replicated::default(),
            Some(chunk) => postcard::from_bytes(chunk.bytes()).map_err(|e| StateError::of(e.to_string()))?,
        };
        Ok(())
    }

    pub fn plant(&mut self, fault: Fault) {
        self.fault = Some(fault);
        #[cfg(feature = "planted")]
        {
            self.replicated.placements.plant(fault);
            if let Some(rights) = &mut self.rights {
                rights.plant(fault);
            }
        }
    }

    pub fn placements(&self) -> &Placements {
        &self.replicated.placements
    }

    /// Writes the records that are due, as far as the topic takes them.
    pub fn publish(&mut self, topics: &mut KeyedLogs, at: Moment, out: &mut Vec<ReplicaOutput>) {
        // One session may have been let go, or fenced by somebody who had no business there; not twice in one entry.
        let mut anew = true;
        while let Some(due) = self.replicated.due.front() {
            let (Ok(key), Ok(topic)) =
                (Key::new(due.shard.to_string().as_bytes()), Name::try_from(TOPIC.to_owned()))
            else {
                return;
            };
            let mut ask = |op| {
                let request = TopicRequest { publisher: PUBLISHER, topic: topic.clone(), op };
                topics.command(at, &TopicCommand::Ask(request), out)
            };
            let Some((session, seq)) = self.replicated.session else {
                let next = Epoch(self.replicated.epoch + 1);
                match ask(TopicOp::Begin { epoch: next }) {
                    Some(TopicAnswer::Began(session)) => self.replicated.session = Some((session, 1)),
                    Some(TopicAnswer::Refused(Refusal::Fenced(epoch))) if anew => {
                        (self.replicated.epoch, anew) = (epoch.0, false);
                        continue;
                    }
                    // No topic yet: when there is one.
                    _ => return,
                }
                self.replicated.epoch = next.0;
                continue;
            };
            let value = due.record.as_ref().map(|record| {
                Value::new(&postcard::to_allocvec(&(due.revision, record)).unwrap_or_default())
            });
            let value = match value {
                None => None,
                Some(Ok(value)) => Some(value),
                // Its request's bounds are under those of a value.
                Some(Err(_)) => return,
            };
            let record = beechloft_topic::Record { key, value };
            match ask(TopicOp::Publish { session, seq, record, expect: Expect::Anything }) {
                Some(TopicAnswer::Written(_)) => {}
                // What was never written need not be deleted.
                Some(TopicAnswer::Refused(Refusal::NoKey)) => {}
                Some(TopicAnswer::Refused(Refusal::NoSession | Refusal::Fenced(_))) if anew => {
                    (self.replicated.session, anew) = (None, false);
                    continue;
                }
                _ => return,
            }
            self.replicated.session = Some((session, seq + 1));
            self.replicated.due.pop_front();
        }
    }
}

impl Part for Pinned {
    type Command = Command;
    type Waits = PlacementWait;

    fn apply(
        &mut self,
        at: Moment,
        command: Command,
        waits: Option<PlacementWait>,
        out: &mut Vec<ReplicaOutput>,
    ) {
        let (answer, events) = self.replicated.placements.apply(&command);
        for event in events {
            if let Some(rights) = &mut self.rights {
                rights.applied(at.now, &event, &self.replicated.placements);
            }
            if let Event::Published { shard, revision, record } = &event {
                let due = Due { shard: shard.clone(), revision: *revision, record: record.clone() };
                self.replicated.due.push_back(due);
            }
            out.push(ReplicaOutput::PlacementEvent(event));
        }
        if let Some(PlacementWait::Command(client, number)) = waits {
            out.push(ReplicaOutput::PlacementResponse(client, number, answer));
        }
    }

    fn read(&mut self, waits: PlacementWait, out: &mut Vec<ReplicaOutput>) {
        if let PlacementWait::Read(client, number) = waits {
            out.push(ReplicaOutput::PlacementResponse(client, number, Answer::Done));
        }
    }

    fn refuse(&mut self, waits: PlacementWait, why: RequestError, out: &mut Vec<ReplicaOutput>) {
        if let PlacementWait::Command(client, number) | PlacementWait::Read(client, number) = waits {
            out.push(ReplicaOutput::PlacementRejected(client, number, why));
        }
    }

    /// Fronts' rights get their whole time again under a new leader, which does not know when they were renewed.
    fn lead(&mut self, at: Moment) {
        self.rights = at.leads.then(|| {
            let mut rights = Rights::new(at.drift);
            #[cfg(feature = "planted")]
            if let Some(fault) = self.fault {
                rights.plant(fault);
            }
            rights.begin(at.now, &self.replicated.placements);
            rights
        });
    }

    fn next_due(&self) -> Option<Duration> {
        self.rights.as_ref()?.next_due()
    }

    fn due(&mut self, now: Duration) -> Vec<Command> {
        self.rights.as_mut().map_or_else(Vec::new, |rights| rights.due(now))
    }

    fn told(&mut self, _: &mut Vec<ReplicaOutput>) {}

    fn closed(&mut self, _: ClientId) {}
}
