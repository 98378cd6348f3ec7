//! Placement: the replicated state, the expiry of front nodes' placement leases while this replica is the leader, and the topic of its
//! records.
//!
//! Records are written to the topic by the same log entry that creates them, in the order of their revisions. While the topic does
//! not exist or is full, they wait in the replicated state. That is safe: a withdrawal has no effect before the front nodes have its
//! record.

use std::collections::VecDeque;
use std::time::Duration;

use beechloft_consensus::{Chunk, RequestError};
use beechloft_leases::Name;
use beechloft_placement::names::{Revision, ShardId};
use beechloft_placement::state::StateError;
use beechloft_placement::{Answer, Command, Event, Fault, LeaseDeadlines, Placements, Record};
use beechloft_topic::{
    Epoch, Expect, Key, PublisherId, Refusal, Session, TopicAnswer, TopicCommand, TopicOp, TopicRequest,
    Value,
};
use serde::{Deserialize, Serialize};

use super::topics::TopicsComponent;
use super::{ApplyContext, Component};
use crate::input::ClientId;
use crate::output::ReplicaOutput;

/// The topic of records. Keys are `CUSTOMER/SHARD`, values a revision and a [`Record`], or a tombstone for a removed shard.
pub(crate) const TOPIC: &str = "fleet/placement";
/// The publisher of the records, which is the log itself.
const PUBLISHER: PublisherId = PublisherId(18);

/// A client that waits, or the leader itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum PendingPlacementRequest {
    /// Waits for the outcome of a command, by the client's number.
    Command(ClientId, u64),
    /// Waits until the state has everything that was committed, by the client's number.
    Read(ClientId, u64),
    /// No client: the replica proposed the command itself.
    Internal,
}

/// A record that is to be written to the topic.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct PendingRecord {
    shard: ShardId,
    revision: Revision,
    record: Option<Record>,
}

/// The replicated content. It is encoded with postcard in snapshots: the order of fields is part of the format.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
struct Replicated {
    placements: Placements,
    /// The publisher session of the log, and the sequence number of its next message.
    session: Option<(Session, u64)>,
    epoch: u64,
    pending_records: VecDeque<PendingRecord>,
}

/// The placement at a replica.
#[derive(Debug, Clone, Hash, Default)]
pub(crate) struct PlacementComponent {
    replicated: Replicated,
    /// Present while this replica is the leader.
    lease_deadlines: Option<LeaseDeadlines>,
    fault: Option<Fault>,
}

impl PlacementComponent {
    pub fn write(&self) -> Vec<Chunk> {
        // Without placement commands the state is the same as before this component existed.
        if self.replicated == Replicated::default() {
            return Vec::new();
        }
        // Only values of unknown length fail to be encoded, and this is none.
        vec![Chunk::new(postcard::to_allocvec(&self.replicated).unwrap_or_default())]
    }

    pub fn restore(&mut self, chunks: &[Chunk]) -> Result<(), StateError> {
        self.replicated = match chunks.first() {
            None => Replicated::default(),
            Some(chunk) => postcard::from_bytes(chunk.bytes()).map_err(|e| StateError::new(e.to_string()))?,
        };
        Ok(())
    }

    pub fn inject_fault(&mut self, fault: Fault) {
        self.fault = Some(fault);
        #[cfg(feature = "fault_injection")]
        {
            self.replicated.placements.inject_fault(fault);
            if let Some(lease_deadlines) = &mut self.lease_deadlines {
                lease_deadlines.inject_fault(fault);
            }
        }
    }

    pub fn placements(&self) -> &Placements {
        &self.replicated.placements
    }

    /// Writes the pending records, as far as the topic accepts them.
    pub fn publish(
        &mut self,
        topics: &mut TopicsComponent,
        context: ApplyContext,
        out: &mut Vec<ReplicaOutput>,
    ) {
        // The session may have been dropped, or fenced by another publisher. It is replaced once per entry at most.
        let mut may_replace_session = true;
        while let Some(pending) = self.replicated.pending_records.front() {
            let (Ok(key), Ok(topic)) =
                (Key::new(pending.shard.to_string().as_bytes()), Name::try_from(TOPIC.to_owned()))
            else {
                return;
            };
            let mut ask = |op| {
                let request = TopicRequest { publisher: PUBLISHER, topic: topic.clone(), op };
                topics.command(context, &TopicCommand::Ask(request), out)
            };
            let Some((session, seq)) = self.replicated.session else {
                let next = Epoch(self.replicated.epoch + 1);
                match ask(TopicOp::Begin { epoch: next }) {
                    Some(TopicAnswer::Began(session)) => self.replicated.session = Some((session, 1)),
                    Some(TopicAnswer::Refused(Refusal::Fenced(epoch))) if may_replace_session => {
                        (self.replicated.epoch, may_replace_session) = (epoch.0, false);
                        continue;
                    }
                    // The topic does not exist yet.
                    _ => return,
                }
                self.replicated.epoch = next.0;
                continue;
            };
            let value = pending.record.as_ref().map(|record| {
                Value::new(&postcard::to_allocvec(&(pending.revision, record)).unwrap_or_default())
            });
            let value = match value {
                None => None,
                Some(Ok(value)) => Some(value),
                // Does not happen: the bounds of a request are below those of a value.
                Some(Err(_)) => return,
            };
            let record = beechloft_topic::Record { key, value };
            match ask(TopicOp::Publish { session, seq, record, expect: Expect::Anything }) {
                Some(TopicAnswer::Written(_)) => {}
                // A key that was never written needs no tombstone.
                Some(TopicAnswer::Refused(Refusal::NoKey)) => {}
                Some(TopicAnswer::Refused(Refusal::NoSession | Refusal::Fenced(_)))
                    if may_replace_session =>
                {
                    (self.replicated.session, may_replace_session) = (None, false);
                    continue;
                }
                _ => return,
            }
            self.replicated.session = Some((session, seq + 1));
            self.replicated.pending_records.pop_front();
        }
    }
}

impl Component for PlacementComponent {
    type Command = Command;
    type Pending = PendingPlacementRequest;

    fn apply(
        &mut self,
        context: ApplyContext,
        command: Command,
        pending: Option<PendingPlacementRequest>,
        out: &mut Vec<ReplicaOutput>,
    ) {
        let (answer, events) = self.replicated.placements.apply(&command);
        for event in events {
            if let Some(lease_deadlines) = &mut self.lease_deadlines {
                lease_deadlines.applied(context.now, &event, &self.replicated.placements);
            }
            if let Event::Published { shard, revision, record } = &event {
                let pending_record =
                    PendingRecord { shard: shard.clone(), revision: *revision, record: record.clone() };
                self.replicated.pending_records.push_back(pending_record);
            }
            out.push(ReplicaOutput::PlacementEvent(event));
        }
        if let Some(PendingPlacementRequest::Command(client, number)) = pending {
            out.push(ReplicaOutput::PlacementResponse(client, number, answer));
        }
    }

    fn complete_read(&mut self, pending: PendingPlacementRequest, out: &mut Vec<ReplicaOutput>) {
        if let PendingPlacementRequest::Read(client, number) = pending {
            out.push(ReplicaOutput::PlacementResponse(client, number, Answer::Done));
        }
    }

    fn reject(
        &mut self,
        pending: PendingPlacementRequest,
        error: RequestError,
        out: &mut Vec<ReplicaOutput>,
    ) {
        if let PendingPlacementRequest::Command(client, number)
        | PendingPlacementRequest::Read(client, number) = pending
        {
            out.push(ReplicaOutput::PlacementRejected(client, number, error));
        }
    }

    /// A new leader restarts the time of all placement leases, because it does not know when they were renewed.
    fn leadership_changed(&mut self, context: ApplyContext) {
        self.lease_deadlines = context.is_leader.then(|| {
            let mut lease_deadlines = LeaseDeadlines::new(context.drift);
            #[cfg(feature = "fault_injection")]
            if let Some(fault) = self.fault {
                lease_deadlines.inject_fault(fault);
            }
            lease_deadlines.begin(context.now, &self.replicated.placements);
            lease_deadlines
        });
    }

    fn next_due(&self) -> Option<Duration> {
        self.lease_deadlines.as_ref()?.next_due()
    }

    fn due_commands(&mut self, now: Duration) -> Vec<Command> {
        self.lease_deadlines.as_mut().map_or_else(Vec::new, |lease_deadlines| lease_deadlines.due(now))
    }

    fn drain_notifications(&mut self, _: &mut Vec<ReplicaOutput>) {}

    fn client_disconnected(&mut self, _: ClientId) {}
}
