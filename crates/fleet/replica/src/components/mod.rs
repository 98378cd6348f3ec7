//! The components of the replicated state, and the state that consists of them.

mod component;
mod leases;
mod placement;
mod quotas;
mod topics;

use std::time::Duration;

use beechloft_consensus::{Chunk, RequestError, SnapshotData};
use beechloft_topic::{Record, TopicCommand, TopicEvent, TopicOp, TopicRequest};

pub(crate) use component::{ApplyContext, Component};
#[cfg(test)]
pub(crate) use leases::MAX_WATCHERS;
pub(crate) use leases::{LeasesComponent, PendingLeaseRequest};
pub(crate) use placement::{PendingPlacementRequest, PlacementComponent};
pub(crate) use quotas::{PendingQuotaRequest, QuotasComponent};
pub(crate) use topics::{PendingTopicRequest, TopicsComponent};

use crate::command::{Command, tag};
use crate::fault_injection::Fault;
use crate::input::ClientId;
use crate::output::ReplicaOutput;
use crate::snapshot::{self, StateError};

/// Tags of all components that this version can read from a snapshot.
const KNOWN_TAGS: [u8; 4] = [tag::LEASES, tag::TOPICS, tag::QUOTAS, tag::PLACEMENT];

/// A client request that waits for the outcome of a command or a read, by component.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum PendingRequest {
    Leases(PendingLeaseRequest),
    Topics(PendingTopicRequest),
    Quotas(PendingQuotaRequest),
    Placement(PendingPlacementRequest),
}

impl PendingRequest {
    fn into_leases(self) -> Option<PendingLeaseRequest> {
        if let PendingRequest::Leases(pending) = self { Some(pending) } else { None }
    }

    fn into_topics(self) -> Option<PendingTopicRequest> {
        if let PendingRequest::Topics(pending) = self { Some(pending) } else { None }
    }

    fn into_quotas(self) -> Option<PendingQuotaRequest> {
        if let PendingRequest::Quotas(pending) = self { Some(pending) } else { None }
    }

    fn into_placement(self) -> Option<PendingPlacementRequest> {
        if let PendingRequest::Placement(pending) = self { Some(pending) } else { None }
    }
}

/// The state of all components at this replica.
#[derive(Debug, Clone, Hash, Default)]
pub(crate) struct ReplicatedState {
    pub leases: LeasesComponent,
    pub topics: TopicsComponent,
    pub quotas: QuotasComponent,
    pub placement: PlacementComponent,
}

impl ReplicatedState {
    /// Decodes the state of a snapshot. A snapshot without chunks is the empty state.
    pub fn read(data: &SnapshotData) -> Result<ReplicatedState, StateError> {
        let mut state = ReplicatedState::default();
        state.restore(data, None)?;
        Ok(state)
    }

    /// Encodes the replicated content, without the timers and watchers that exist at this replica alone.
    pub fn write(&self) -> SnapshotData {
        let leases = vec![Chunk::new(self.leases.table().write())];
        snapshot::write([
            (tag::LEASES, leases),
            (tag::TOPICS, self.topics.write()),
            (tag::QUOTAS, self.quotas.write()),
            (tag::PLACEMENT, self.placement.write()),
        ])
    }

    /// Replaces the replicated content by that of a snapshot. Keeps the subscriptions of clients.
    pub fn restore(&mut self, data: &SnapshotData, fault: Option<Fault>) -> Result<(), StateError> {
        let sections = snapshot::read(data, tag::LEASES)?;
        if let Some(unknown) = sections.iter().find(|section| !KNOWN_TAGS.contains(&section.tag)) {
            return Err(StateError::UnknownComponent(unknown.tag));
        }
        let chunks_of = |tag| {
            sections.iter().find(|section| section.tag == tag).map_or(&[][..], |section| section.chunks)
        };
        self.leases.restore(chunks_of(tag::LEASES).first().map_or(&[][..], |chunk| chunk.bytes()))?;
        self.topics.restore(chunks_of(tag::TOPICS))?;
        self.quotas.restore(chunks_of(tag::QUOTAS))?;
        self.placement.restore(chunks_of(tag::PLACEMENT))?;
        if let Some(fault) = fault {
            self.inject_fault(fault);
        }
        Ok(())
    }

    /// Injects a fault, which has no effect without the feature `fault_injection`.
    pub fn inject_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Leases(fault) => self.leases.inject_fault(fault),
            Fault::Topics(fault) => self.topics.inject_fault(fault),
            Fault::Quotas(fault) => self.quotas.inject_fault(fault),
            Fault::Placement(fault) => self.placement.inject_fault(fault),
        }
    }

    /// Applies a committed command. `pending` is the request of this replica's client that waits for it.
    pub fn apply(
        &mut self,
        context: ApplyContext,
        command: Command,
        pending: Option<PendingRequest>,
        out: &mut Vec<ReplicaOutput>,
    ) {
        match command {
            Command::Leases(command) => {
                self.leases.apply(context, command, pending.and_then(PendingRequest::into_leases), out);
            }
            Command::Topics(command) => {
                let record = quota_record(&command);
                let outputs_before = out.len();
                self.topics.apply(context, command, pending.and_then(PendingRequest::into_topics), out);
                self.apply_quota_record(context, record, outputs_before, out);
                // The topic of placement records may exist now, or have free space again.
                self.placement.publish(&mut self.topics, context, out);
            }
            Command::Placement(command) => {
                let pending_placement = pending.and_then(PendingRequest::into_placement);
                self.placement.apply(context, command, pending_placement, out);
                self.placement.publish(&mut self.topics, context, out);
            }
            Command::Quotas(command) => {
                self.quotas.apply(context, command, pending.and_then(PendingRequest::into_quotas), out);
            }
        }
    }

    /// Applies a record that was written to the topic of quota definitions to the ledger.
    ///
    /// The same log entry changes the topic and the ledger, so each replica has both changes or neither.
    fn apply_quota_record(
        &mut self,
        context: ApplyContext,
        record: Option<Record>,
        outputs_before: usize,
        out: &mut Vec<ReplicaOutput>,
    ) {
        let Some(record) = record else { return };
        let written_offset =
            out.get(outputs_before..).into_iter().flatten().find_map(|output| match output {
                ReplicaOutput::TopicEvent(TopicEvent::Appended(_, offset)) => Some(offset.0),
                _ => None,
            });
        if let Some(offset) = written_offset {
            let value = record.value.as_ref().map(|value| value.bytes());
            self.quotas.record(context, record.key.bytes(), value, offset, out);
        }
    }

    pub fn complete_read(&mut self, pending: PendingRequest, out: &mut Vec<ReplicaOutput>) {
        match pending {
            PendingRequest::Leases(pending) => self.leases.complete_read(pending, out),
            PendingRequest::Topics(pending) => self.topics.complete_read(pending, out),
            PendingRequest::Quotas(pending) => self.quotas.complete_read(pending, out),
            PendingRequest::Placement(pending) => self.placement.complete_read(pending, out),
        }
    }

    pub fn reject(&mut self, pending: PendingRequest, error: RequestError, out: &mut Vec<ReplicaOutput>) {
        match pending {
            PendingRequest::Leases(pending) => self.leases.reject(pending, error, out),
            PendingRequest::Topics(pending) => self.topics.reject(pending, error, out),
            PendingRequest::Quotas(pending) => self.quotas.reject(pending, error, out),
            PendingRequest::Placement(pending) => self.placement.reject(pending, error, out),
        }
    }

    pub fn leadership_changed(&mut self, context: ApplyContext) {
        self.leases.leadership_changed(context);
        self.topics.leadership_changed(context);
        self.quotas.leadership_changed(context);
        self.placement.leadership_changed(context);
    }

    pub fn next_due(&self) -> Option<Duration> {
        let due_times = [
            self.leases.next_due(),
            self.topics.next_due(),
            self.quotas.next_due(),
            self.placement.next_due(),
        ];
        due_times.into_iter().flatten().min()
    }

    /// Returns the commands that are due, which the leader proposes.
    pub fn due_commands(&mut self, now: Duration) -> Vec<(Command, PendingRequest)> {
        let leases = self.leases.due_commands(now).into_iter().map(Command::Leases);
        let topics = self.topics.due_commands(now).into_iter().map(Command::Topics);
        let quotas = self.quotas.due_commands(now).into_iter().map(Command::Quotas);
        let placement = self.placement.due_commands(now).into_iter().map(Command::Placement);
        let with_pending = |pending| move |command| (command, pending);
        leases
            .map(with_pending(PendingRequest::Leases(PendingLeaseRequest::Internal)))
            .chain(topics.map(with_pending(PendingRequest::Topics(PendingTopicRequest::Internal))))
            .chain(quotas.map(with_pending(PendingRequest::Quotas(PendingQuotaRequest::Internal))))
            .chain(placement.map(with_pending(PendingRequest::Placement(PendingPlacementRequest::Internal))))
            .collect()
    }

    pub fn drain_notifications(&mut self, out: &mut Vec<ReplicaOutput>) {
        self.leases.drain_notifications(out);
        self.topics.drain_notifications(out);
        self.quotas.drain_notifications(out);
        self.placement.drain_notifications(out);
    }

    pub fn client_disconnected(&mut self, client: ClientId) {
        self.leases.client_disconnected(client);
        self.topics.client_disconnected(client);
        self.quotas.client_disconnected(client);
        self.placement.client_disconnected(client);
    }
}

/// Returns the record that a command would write to the topic of quota definitions, or `None` if it writes none.
fn quota_record(command: &TopicCommand) -> Option<Record> {
    match command {
        TopicCommand::Request(TopicRequest { topic, op: TopicOp::Publish { record, .. }, .. })
            if topic.to_string() == quotas::TOPIC =>
        {
            Some(record.clone())
        }
        _ => None,
    }
}
