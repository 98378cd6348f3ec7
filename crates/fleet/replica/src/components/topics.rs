//! Topics: the replicated logs, and the retention of tombstones while this replica is the leader.

use std::hash::{Hash, Hasher};
use std::time::Duration;

use beechloft_consensus::{Chunk, ChunkId, RequestError};
use beechloft_topic::{
    ChunkError, Fault, Layout, PublisherId, Retention, TopicAnswer, TopicCommand, TopicRequestId,
    TopicResponse, Topics,
};

use super::{ApplyContext, Component};
use crate::input::ClientId;
use crate::output::ReplicaOutput;

/// A client that waits, or the leader itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum PendingTopicRequest {
    /// Waits for the answer to a publisher's request, by what identifies that answer.
    Publish(ClientId, PublisherId, TopicRequestId),
    /// No client: the replica proposed the command itself.
    Internal,
}

/// The ages of tombstones, and when they are checked next because something changed.
#[derive(Debug, Clone, Hash)]
struct RetentionTimer {
    retention: Retention,
    check_due: Option<Duration>,
}

/// The topics at a replica.
#[derive(Debug, Clone, Default)]
pub(crate) struct TopicsComponent {
    topics: Topics,
    /// Present while this replica is the leader.
    retention_timer: Option<RetentionTimer>,
    /// Bytes applied since the log cleaners last ran.
    applied_since_cleaning: usize,
    fault: Option<Fault>,
}

/// Everything that determines its next outputs. The layout of the logs, which each replica cleans by itself, does not.
impl Hash for TopicsComponent {
    fn hash<H: Hasher>(&self, into: &mut H) {
        (&self.topics, &self.retention_timer).hash(into);
    }
}

/// Bytes that the log cleaners may process for each applied byte, so that they keep up, and at least in each run.
const CLEAN_BYTES_PER_APPLIED_BYTE: usize = 4;
const MIN_CLEAN_BYTES: usize = 64 << 10;
/// Tombstones are checked this long after a change: they are retained for seconds at least, and a check visits each topic.
const RETENTION_CHECK_DELAY: Duration = Duration::from_millis(100);

impl TopicsComponent {
    pub fn read(chunks: &[Chunk]) -> Result<TopicsComponent, ChunkError> {
        let bytes: Vec<_> = chunks.iter().map(|c| c.bytes().clone()).collect();
        Ok(TopicsComponent {
            topics: Topics::read_chunks(&bytes, Layout::default())?,
            ..TopicsComponent::default()
        })
    }

    pub fn write(&self) -> Vec<Chunk> {
        // Without topics the state is the same as before this component existed.
        if self.topics.all().next().is_none() {
            return Vec::new();
        }
        let chunk = |c: beechloft_topic::Chunk| {
            Chunk::with_id(ChunkId { hash: c.name.hash, length: c.name.length }, c.bytes)
        };
        self.topics.write_chunks().into_iter().map(chunk).collect()
    }

    pub fn restore(&mut self, chunks: &[Chunk]) -> Result<(), ChunkError> {
        self.topics = TopicsComponent::read(chunks)?.topics;
        Ok(())
    }

    pub fn inject_fault(&mut self, fault: Fault) {
        self.fault = Some(fault);
        #[cfg(feature = "fault_injection")]
        {
            self.topics.inject(fault);
            if let Some(retention_timer) = &mut self.retention_timer {
                retention_timer.retention.inject(fault);
            }
        }
    }

    pub fn topics(&self) -> &Topics {
        &self.topics
    }

    /// Applies a command of the log, or of another component that writes to a topic.
    pub fn command(
        &mut self,
        context: ApplyContext,
        command: &TopicCommand,
        out: &mut Vec<ReplicaOutput>,
    ) -> Option<TopicAnswer> {
        if let TopicCommand::Request(request) = command {
            self.applied_since_cleaning += size(request);
        }
        let (answer, event) = self.topics.apply(command);
        if let Some(event) = event {
            if let Some(retention_timer) = &mut self.retention_timer {
                retention_timer.check_due.get_or_insert(context.now + RETENTION_CHECK_DELAY);
            }
            out.push(ReplicaOutput::TopicEvent(event));
        }
        answer
    }

    /// Runs the log cleaners for a bounded step. Returns whether there is more to clean.
    pub fn clean(&mut self) -> bool {
        let bytes = std::mem::take(&mut self.applied_since_cleaning);
        self.topics.clean(MIN_CLEAN_BYTES + CLEAN_BYTES_PER_APPLIED_BYTE * bytes)
    }
}

impl Component for TopicsComponent {
    type Command = TopicCommand;
    type Pending = PendingTopicRequest;

    fn apply(
        &mut self,
        context: ApplyContext,
        command: TopicCommand,
        pending: Option<PendingTopicRequest>,
        out: &mut Vec<ReplicaOutput>,
    ) {
        let answer = self.command(context, &command, out);
        if let (Some(PendingTopicRequest::Publish(client, publisher, request_id)), Some(answer)) =
            (pending, answer)
        {
            let response = TopicResponse { publisher, request_id, answer };
            out.push(ReplicaOutput::TopicResponse(client, response));
        }
    }

    fn complete_read(&mut self, _: PendingTopicRequest, _: &mut Vec<ReplicaOutput>) {}

    fn reject(&mut self, pending: PendingTopicRequest, error: RequestError, out: &mut Vec<ReplicaOutput>) {
        if let PendingTopicRequest::Publish(client, publisher, ..) = pending {
            out.push(ReplicaOutput::TopicRequestRejected(client, publisher, error));
        }
    }

    /// A new leader restarts the retention of all tombstones, because it does not know when they were written.
    fn leadership_changed(&mut self, context: ApplyContext) {
        self.retention_timer = context.is_leader.then(|| {
            let mut retention = Retention::new(context.drift);
            #[cfg(feature = "fault_injection")]
            if let Some(fault) = self.fault {
                retention.inject(fault);
            }
            retention.begin(context.now, &self.topics);
            RetentionTimer { retention, check_due: None }
        });
    }

    fn next_due(&self) -> Option<Duration> {
        let retention_timer = self.retention_timer.as_ref()?;
        [retention_timer.retention.next_due(), retention_timer.check_due].into_iter().flatten().min()
    }

    fn due_commands(&mut self, now: Duration) -> Vec<TopicCommand> {
        if self.next_due().is_none_or(|due| now < due) {
            return Vec::new();
        }
        let topics = &self.topics;
        self.retention_timer.as_mut().map_or_else(Vec::new, |retention_timer| {
            retention_timer.check_due = None;
            retention_timer.retention.poll(now, topics)
        })
    }

    fn drain_notifications(&mut self, _: &mut Vec<ReplicaOutput>) {}

    fn client_disconnected(&mut self, _: ClientId) {}
}

/// The size of a request's record, in bytes.
fn size(request: &beechloft_topic::TopicRequest) -> usize {
    match &request.op {
        beechloft_topic::TopicOp::Publish { record, .. } => {
            record.key.bytes().len() + record.value.as_ref().map_or(0, |v| v.bytes().len())
        }
        beechloft_topic::TopicOp::Begin { .. } => 0,
    }
}
