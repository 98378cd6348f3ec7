//! The placement as a component, with its replicated state, the expiry of front nodes' placement leases while this replica is the leader,
//! and the topic of placement records.
//!
//! The log entry that creates a record also writes it to the topic, in the order of revisions. Records wait in the replicated state
//! while the topic does not exist or is full. The delay is safe, because a change that narrows a placement has no effect before the
//! front nodes have its record.

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

/// Name of the topic of placement records. Keys are `CUSTOMER/SHARD`, values a revision and a [`Record`], or a tombstone for a
/// removed shard.
pub(crate) const TOPIC: &str = "fleet/placement";
/// Publisher id under which the replicated state itself writes the records.
const PUBLISHER: PublisherId = PublisherId(18);

/// The origin of a placement command or read, which is a client that waits or the replica itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum PendingPlacementRequest {
    /// A client that waits for the outcome of a command, with the client's number for it.
    Command(ClientId, u64),
    /// A client that waits until the state has everything that was committed, with the client's number for the read.
    Read(ClientId, u64),
    /// The replica itself, which proposed the command.
    Internal,
}

/// A record that is not written to the topic yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct PendingRecord {
    shard: ShardId,
    revision: Revision,
    record: Option<Record>,
}

/// The replicated content.
///
/// Snapshots contain it in the encoding of postcard, so the order of fields is part of the format.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
struct Replicated {
    placements: Placements,
    /// Publisher session of the replicated state, and the sequence number of its next message.
    session: Option<(Session, u64)>,
    epoch: u64,
    pending_records: VecDeque<PendingRecord>,
}

/// The placement at this replica.
#[derive(Debug, Clone, Hash, Default)]
pub(crate) struct PlacementComponent {
    replicated: Replicated,
    /// Expiry of the front nodes' placement leases, or `None` while this replica is not the leader.
    lease_deadlines: Option<LeaseDeadlines>,
    fault: Option<Fault>,
}

impl PlacementComponent {
    pub fn write(&self) -> Vec<Chunk> {
        // A state without placement commands is encoded as in versions without this component.
        if self.replicated == Replicated::default() {
            return Vec::new();
        }
        // Encoding fails only for sequences of unknown length, which the state does not contain.
        vec![Chunk::new(postcard::to_allocvec(&self.replicated).unwrap_or_default())]
    }

    pub fn restore(&mut self, chunks: &[Chunk]) -> Result<(), StateError> {
        self.replicated = match chunks.first() {
            None => Replicated::default(),
            Some(chunk) => {
                postcard::from_bytes(chunk.bytes()).map_err(|error| StateError::new(error.to_string()))?
            }
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

    /// Writes pending records to the topic until none is left or the topic accepts no more.
    pub fn publish(
        &mut self,
        topics: &mut TopicsComponent,
        context: ApplyContext,
        out: &mut Vec<ReplicaOutput>,
    ) {
        // The topic may have dropped the session, or another publisher fenced it. It is replaced at most once per log entry.
        let mut may_replace_session = true;
        while let Some(pending) = self.replicated.pending_records.front() {
            let (Ok(key), Ok(topic)) =
                (Key::new(pending.shard.to_string().as_bytes()), Name::try_from(TOPIC.to_owned()))
            else {
                return;
            };
            let mut apply_request = |op| {
                let request = TopicRequest { publisher: PUBLISHER, topic: topic.clone(), op };
                topics.command(context, &TopicCommand::Request(request), out)
            };
            let Some((session, seq)) = self.replicated.session else {
                let next = Epoch(self.replicated.epoch + 1);
                match apply_request(TopicOp::Begin { epoch: next }) {
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
                // Unreachable, because the size limits of a request are below those of a value.
                Some(Err(_)) => return,
            };
            let record = beechloft_topic::Record { key, value };
            match apply_request(TopicOp::Publish { session, seq, record, expect: Expect::Anything }) {
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

    /// Restarts the timers of all placement leases on a new leader, which does not know when they were renewed.
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
