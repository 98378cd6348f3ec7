//! The topics as a component, with the replicated logs, and the retention of tombstones while this replica is the leader.

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

/// The origin of a topic command, which is a client that waits or the replica itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum PendingTopicRequest {
    /// A client that waits for the answer to this request of a publisher.
    Publish(ClientId, PublisherId, TopicRequestId),
    /// The replica itself, which proposed the command.
    Internal,
}

/// The ages of tombstones, and the time of their next check.
#[derive(Debug, Clone, Hash)]
struct RetentionTimer {
    retention: Retention,
    /// Time of the check that follows a change, or `None` if nothing changed since the last check.
    check_due: Option<Duration>,
}

/// The topics at this replica.
#[derive(Debug, Clone, Default)]
pub(crate) struct TopicsComponent {
    topics: Topics,
    /// Retention of tombstones, or `None` while this replica is not the leader.
    retention_timer: Option<RetentionTimer>,
    /// Number of bytes that were applied since the log cleaners last ran.
    uncleaned_bytes: usize,
    fault: Option<Fault>,
}

/// Hashes everything that determines the component's next outputs. Excludes the layout of the logs, because each replica cleans
/// them by itself.
impl Hash for TopicsComponent {
    fn hash<H: Hasher>(&self, into: &mut H) {
        (&self.topics, &self.retention_timer).hash(into);
    }
}

/// Number of bytes that the log cleaners may process for each applied byte, so that they keep up with the writes.
const CLEAN_BYTES_PER_APPLIED_BYTE: usize = 4;
/// Number of bytes that the log cleaners may process in each run in addition.
const MIN_CLEAN_BYTES: usize = 64 << 10;
/// Delay between a change and the check of tombstones, which visits each topic. Tombstones are retained for seconds at least.
const RETENTION_CHECK_DELAY: Duration = Duration::from_millis(100);

impl TopicsComponent {
    pub fn read(chunks: &[Chunk]) -> Result<TopicsComponent, ChunkError> {
        let bytes: Vec<_> = chunks.iter().map(|chunk| chunk.bytes().clone()).collect();
        Ok(TopicsComponent {
            topics: Topics::read_chunks(&bytes, Layout::default())?,
            ..TopicsComponent::default()
        })
    }

    pub fn write(&self) -> Vec<Chunk> {
        // A state without topics is encoded as in versions without this component.
        if self.topics.all().next().is_none() {
            return Vec::new();
        }
        let with_id = |chunk: beechloft_topic::Chunk| {
            Chunk::with_id(ChunkId { hash: chunk.name.hash, length: chunk.name.length }, chunk.bytes)
        };
        self.topics.write_chunks().into_iter().map(with_id).collect()
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

    /// Applies a command that comes from the log or from another component that writes to a topic.
    pub fn command(
        &mut self,
        context: ApplyContext,
        command: &TopicCommand,
        out: &mut Vec<ReplicaOutput>,
    ) -> Option<TopicAnswer> {
        if let TopicCommand::Request(request) = command {
            self.uncleaned_bytes += record_bytes(request);
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

    /// Runs the log cleaners for a bounded step, and returns whether there is more to clean.
    pub fn clean(&mut self) -> bool {
        let applied_bytes = std::mem::take(&mut self.uncleaned_bytes);
        self.topics.clean(MIN_CLEAN_BYTES + CLEAN_BYTES_PER_APPLIED_BYTE * applied_bytes)
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

    /// Restarts the retention of all tombstones on a new leader, which does not know when they were written.
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

/// Returns the size, in bytes, of the key and value that a request publishes.
fn record_bytes(request: &beechloft_topic::TopicRequest) -> usize {
    match &request.op {
        beechloft_topic::TopicOp::Publish { record, .. } => {
            record.key.bytes().len() + record.value.as_ref().map_or(0, |value| value.bytes().len())
        }
        beechloft_topic::TopicOp::Begin { .. } => 0,
    }
}
