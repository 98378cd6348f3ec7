//! Encoding of all topics as a list of chunks: a manifest, followed by the segments of each topic, the oldest first and the
//! active segment last. An unchanged segment is the same chunk, by name and in memory, in the next snapshot.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use beechloft_leases::Name;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::bit_set::BitSet;
use crate::fault_injection::Fault;
use crate::log::{Layout, Log, Slot};
use crate::message::Message;
use crate::messages::{MAX_BYTES, Offset};
use crate::segment::Segment;
use crate::topic::{Topic, TopicState};
use crate::topics::Topics;

/// Name of a chunk: the SHA-256 hash of its bytes and their count.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChunkName {
    /// SHA-256 hash of the bytes.
    pub hash: [u8; 32],
    /// Number of bytes.
    pub length: u32,
}

impl ChunkName {
    /// Computes the name of a chunk with the given bytes.
    pub fn of(bytes: &[u8]) -> ChunkName {
        ChunkName { hash: Sha256::digest(bytes).into(), length: bytes.len() as u32 }
    }
}

impl fmt::Debug for ChunkName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.hash.iter().take(6).try_for_each(|b| write!(f, "{b:02x}"))?;
        write!(f, "+{}", self.length)
    }
}

/// Part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Chunk {
    /// Name of the chunk.
    pub name: ChunkName,
    /// Content of the chunk.
    pub bytes: Arc<[u8]>,
}

impl Chunk {
    fn new(bytes: Arc<[u8]>) -> Chunk {
        Chunk { name: ChunkName::of(&bytes), bytes }
    }
}

/// Error for chunks that are not a valid encoding of topics.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ChunkError {
    /// The manifest can't be decoded or has an unknown version.
    #[error("manifest of the topics can't be read: {0}")]
    Manifest(String),
    /// A chunk is missing.
    #[error("chunk {0} of the topics is missing")]
    Missing(usize),
    /// There are more chunks than the manifest lists.
    #[error("topics have {0} chunks more than the manifest lists")]
    TooMany(usize),
    /// A chunk differs from the one that the manifest lists.
    #[error("chunk {0} of the topics does not match its hash in the manifest")]
    HashMismatch(usize),
    /// A chunk is not a valid segment.
    #[error("chunk {0} of the topics is not a valid segment")]
    InvalidSegment(usize),
    /// The state of a topic is inconsistent.
    #[error("topic {0} is inconsistent: {1}")]
    InvalidTopic(Name, &'static str),
}

/// Version of the manifest format.
const FORMAT_VERSION: u16 = 1;
/// Maximum size of a segment that is read. A segment exceeds its configured size by at most one record; the rest is a margin
/// for other layouts.
const MAX_SEGMENT_BYTES: u32 = 16 << 20;

/// First chunk: the state of all topics except for their segments.
#[derive(Debug, Serialize, Deserialize)]
struct Manifest {
    version: u16,
    topics: BTreeMap<Name, TopicManifest>,
}

/// State and segments of one topic.
#[derive(Debug, Serialize, Deserialize)]
struct TopicManifest {
    state: TopicState,
    head: Offset,
    /// Names of the segments with their live bits. The last segment is the active one.
    segments: Vec<(ChunkName, BitSet)>,
}

impl Topics {
    /// Encodes all topics as chunks.
    pub fn write_chunks(&self) -> Vec<Chunk> {
        let mut chunks = Vec::new();
        let mut topics = BTreeMap::new();
        for (name, topic) in self.all() {
            let mut segments = Vec::new();
            for slot in &topic.log.sealed {
                segments.push((slot.segment.name(), slot.live.clone()));
                chunks.push(Chunk { name: slot.segment.name(), bytes: slot.segment.bytes().clone() });
            }
            let (active, live) = topic.log.active();
            segments.push((active.name(), live.clone()));
            chunks.push(Chunk { name: active.name(), bytes: active.bytes().clone() });
            if topic.has_fault(Fault::LiveBitsNotInSnapshot) {
                recompute_live(topic, &mut segments);
            }
            let manifest = TopicManifest { state: topic.state(), head: topic.head(), segments };
            topics.insert(name.clone(), manifest);
        }
        // Serialization fails only for sequences of unknown length, which the manifest does not contain.
        let manifest =
            postcard::to_allocvec(&Manifest { version: FORMAT_VERSION, topics }).unwrap_or_default();
        chunks.insert(0, Chunk::new(manifest.into()));
        chunks
    }

    /// Decodes the content of the chunks that [`Topics::write_chunks`] returned, in the same order. An empty list decodes to
    /// no topics.
    ///
    /// # Errors
    /// Returns an error if the chunks are not a valid encoding. The bytes may be arbitrary.
    pub fn read_chunks(chunks: &[Arc<[u8]>], layout: Layout) -> Result<Topics, ChunkError> {
        let Some((manifest, rest)) = chunks.split_first() else { return Ok(Topics::new(layout)) };
        let manifest: Manifest =
            postcard::from_bytes(manifest).map_err(|e| ChunkError::Manifest(e.to_string()))?;
        if manifest.version != FORMAT_VERSION {
            return Err(ChunkError::Manifest(format!("version {}", manifest.version)));
        }
        let mut rest = rest.iter().enumerate().map(|(n, bytes)| (n + 1, bytes));
        let mut topics = BTreeMap::new();
        for (name, topic_manifest) in manifest.topics {
            let topic = read_topic(&name, topic_manifest, &mut rest, layout, chunks.len())?;
            topics.insert(name, topic);
        }
        match rest.count() {
            0 => Ok(Topics::restored(topics, layout)),
            extra => Err(ChunkError::TooMany(extra)),
        }
    }
}

/// Injected fault: derives the live bits from the order of the stored records.
fn recompute_live(topic: &Topic, segments: &mut [(ChunkName, BitSet)]) {
    let mut latest = BTreeMap::new();
    for message in topic.log.messages_from(Offset(0), true) {
        latest.insert(message.key().to_vec(), message);
    }
    let is_live = |m: &Message| {
        let is_latest = latest.get(m.key()).is_some_and(|l| l.offset == m.offset);
        is_latest && !(m.body.is_tombstone() && m.offset < topic.horizon())
    };
    let mut messages = topic.log.messages_from(Offset(0), true);
    for (_, bits) in segments {
        let mut recomputed = BitSet::default();
        (0..bits.len()).for_each(|_| recomputed.push(messages.next().is_some_and(|m| is_live(&m))));
        *bits = recomputed;
    }
}

/// Reads the segments of one topic from `rest` and restores the topic.
fn read_topic<'a>(
    name: &Name,
    manifest: TopicManifest,
    rest: &mut impl Iterator<Item = (usize, &'a Arc<[u8]>)>,
    layout: Layout,
    chunk_count: usize,
) -> Result<Topic, ChunkError> {
    let invalid = |reason| ChunkError::InvalidTopic(name.clone(), reason);
    let mut segments = Vec::new();
    let mut bytes = 0;
    for (expected, live) in manifest.segments {
        let (n, chunk) = rest.next().ok_or(ChunkError::Missing(chunk_count))?;
        if expected.length > MAX_SEGMENT_BYTES || expected != ChunkName::of(chunk) {
            return Err(ChunkError::HashMismatch(n));
        }
        bytes += u64::from(expected.length);
        let segment = Segment::read(chunk.clone()).ok_or(ChunkError::InvalidSegment(n))?;
        if !live.is_valid() || live.len() != segment.len() {
            return Err(invalid("a segment has another number of records than live bits"));
        }
        segments.push((segment, live));
    }
    if bytes > 4 * MAX_BYTES {
        return Err(invalid("its segments exceed the maximum size"));
    }
    let active = segments.pop().ok_or_else(|| invalid("it has no active segment"))?;
    let mut end = None;
    let mut sealed = Vec::new();
    for (segment, live) in segments {
        let last = segment.offset(segment.len().wrapping_sub(1));
        let slot = Slot::new(segment, live).ok_or_else(|| invalid("a sealed segment is empty"))?;
        if end >= Some(slot.first) {
            return Err(invalid("its segments are not in offset order"));
        }
        end = last;
        sealed.push(slot);
    }
    let head = manifest.head;
    let log = Log::restored(layout, sealed, active, head)
        .ok_or_else(|| invalid("its active segment does not end at its head"))?;
    if end.is_some_and(|end| end.0 >= log.active_first().0) {
        return Err(invalid("its segments are not in offset order"));
    }
    Topic::restored(manifest.state, log).map_err(invalid)
}
