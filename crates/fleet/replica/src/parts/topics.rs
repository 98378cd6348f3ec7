//! Topics: the replicated state, and while this keeper leads the time for which deletions are remembered.

use std::time::Duration;

use beechloft_consensus::{Chunk, ChunkId, RequestError};
use beechloft_topic::{
    ChunkError, Fault, Layout, PublisherId, Retention, TopicAnswer, TopicAsk, TopicCommand, TopicHeard,
    Topics,
};

use super::{Moment, Part};
use crate::asked::{ClientId, ReplicaOutput};

/// Who waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum TopicsWait {
    /// For a publisher's request, by what its answer is matched by.
    Publish(ClientId, PublisherId, TopicAsk),
    /// Nobody: what the keeper itself put into the log.
    Nobody,
}

/// For how long deletions have been remembered, and when that is looked at because something has changed.
#[derive(Debug, Clone, Hash)]
struct Counting {
    retention: Retention,
    look_at: Option<Duration>,
}

/// The topics at a keeper.
#[derive(Debug, Clone, Default)]
pub(crate) struct KeyedLogs {
    topics: Topics,
    /// While it leads.
    counting: Option<Counting>,
    /// What has been applied since the cleaners last had their turn, bytes.
    to_clean: usize,
    fault: Option<Fault>,
}

/// All that decides what it does next, but for how each keeper lays its topics out.
impl std::hash::Hash for KeyedLogs {
    fn hash<H: std::hash::Hasher>(&self, into: &mut H) {
        (&self.topics, &self.counting).hash(into);
    }
}

/// Bytes of work for the cleaners for each byte applied, so that they keep up, and for each look beside.
const CLEAN_FACTOR: usize = 4;
const CLEAN_LEAST: usize = 64 << 10;
/// What has changed is looked at after this: deletions are remembered for seconds at least, and looks cost each topic's time.
const LOOK: Duration = Duration::from_millis(100);

impl KeyedLogs {
    pub fn read(chunks: &[Chunk]) -> Result<KeyedLogs, ChunkError> {
        let bytes: Vec<_> = chunks.iter().map(|c| c.bytes().clone()).collect();
        Ok(KeyedLogs { topics: Topics::read_chunks(&bytes, Layout::default())?, ..KeyedLogs::default() })
    }

    pub fn write(&self) -> Vec<Chunk> {
        // Where there are none the state is as if there was no such part.
        if self.topics.all().next().is_none() {
            return Vec::new();
        }
        let chunk = |c: beechloft_topic::Chunk| {
            Chunk::with_id(ChunkId { hash: c.name.hash, length: c.name.length }, c.bytes)
        };
        self.topics.write_chunks().into_iter().map(chunk).collect()
    }

    pub fn restore(&mut self, chunks: &[Chunk]) -> Result<(), ChunkError> {
        self.topics = KeyedLogs::read(chunks)?.topics;
        Ok(())
    }

    pub fn plant(&mut self, fault: Fault) {
        self.fault = Some(fault);
        #[cfg(feature = "planted")]
        {
            self.topics.plant(fault);
            if let Some(counting) = &mut self.counting {
                counting.retention.plant(fault);
            }
        }
    }

    pub fn topics(&self) -> &Topics {
        &self.topics
    }

    /// Does a command, of the log's or of another part's that writes a topic.
    pub fn command(
        &mut self,
        at: Moment,
        command: &TopicCommand,
        out: &mut Vec<ReplicaOutput>,
    ) -> Option<TopicAnswer> {
        if let TopicCommand::Ask(request) = command {
            self.to_clean += size(request);
        }
        let (answer, event) = self.topics.apply(command);
        if let Some(event) = event {
            if let Some(counting) = &mut self.counting {
                counting.look_at.get_or_insert(at.now + LOOK);
            }
            out.push(ReplicaOutput::TopicEvent(event));
        }
        answer
    }

    /// Has the cleaners work off what has been applied, in a bounded step; whether there is more to do.
    pub fn clean(&mut self) -> bool {
        let bytes = std::mem::take(&mut self.to_clean);
        self.topics.clean(CLEAN_LEAST + CLEAN_FACTOR * bytes)
    }
}

impl Part for KeyedLogs {
    type Command = TopicCommand;
    type Waits = TopicsWait;

    fn apply(
        &mut self,
        at: Moment,
        command: TopicCommand,
        waits: Option<TopicsWait>,
        out: &mut Vec<ReplicaOutput>,
    ) {
        let answer = self.command(at, &command, out);
        if let (Some(TopicsWait::Publish(client, publisher, ask)), Some(answer)) = (waits, answer) {
            let heard = TopicHeard { publisher, ask, answer };
            out.push(ReplicaOutput::TopicResponse(client, heard));
        }
    }

    fn read(&mut self, _: TopicsWait, _: &mut Vec<ReplicaOutput>) {}

    fn refuse(&mut self, waits: TopicsWait, why: RequestError, out: &mut Vec<ReplicaOutput>) {
        if let TopicsWait::Publish(client, publisher, ..) = waits {
            out.push(ReplicaOutput::TopicRequestRejected(client, publisher, why));
        }
    }

    /// Deletions are remembered for their whole time again under a new leader, which does not know when they were made.
    fn lead(&mut self, at: Moment) {
        self.counting = at.leads.then(|| {
            let mut retention = Retention::new(at.drift);
            #[cfg(feature = "planted")]
            if let Some(fault) = self.fault {
                retention.plant(fault);
            }
            retention.begin(at.now, &self.topics);
            Counting { retention, look_at: None }
        });
    }

    fn next_due(&self) -> Option<Duration> {
        let counting = self.counting.as_ref()?;
        [counting.retention.next_due(), counting.look_at].into_iter().flatten().min()
    }

    fn due(&mut self, now: Duration) -> Vec<TopicCommand> {
        if self.next_due().is_none_or(|due| now < due) {
            return Vec::new();
        }
        let topics = &self.topics;
        self.counting.as_mut().map_or_else(Vec::new, |counting| {
            counting.look_at = None;
            counting.retention.look(now, topics)
        })
    }

    fn told(&mut self, _: &mut Vec<ReplicaOutput>) {}

    fn closed(&mut self, _: ClientId) {}
}

/// Bytes of a request's record.
fn size(request: &beechloft_topic::TopicRequest) -> usize {
    match &request.op {
        beechloft_topic::TopicOp::Publish { record, .. } => {
            record.key.bytes().len() + record.value.as_ref().map_or(0, |v| v.bytes().len())
        }
        beechloft_topic::TopicOp::Begin { .. } => 0,
    }
}
