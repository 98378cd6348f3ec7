//! All topics as a rope of chunks: first what is not in segments, then each topic's segments, oldest first, and the one that is
//! written. A segment that has not changed is the same chunk, by name and in memory, in the next snapshot.

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
use crate::topic::{Parts, Topic};
use crate::topics::Topics;

/// A chunk's name: SHA-256 of its bytes, and how many they are.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChunkName {
    /// The hash.
    pub hash: [u8; 32],
    /// Bytes.
    pub length: u32,
}

impl ChunkName {
    /// The name of bytes.
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

/// A part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Chunk {
    /// Its name.
    pub name: ChunkName,
    /// Its bytes.
    pub bytes: Arc<[u8]>,
}

impl Chunk {
    fn of(bytes: Arc<[u8]>) -> Chunk {
        Chunk { name: ChunkName::of(&bytes), bytes }
    }
}

/// Why chunks are no topics.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ChunkError {
    /// The first can't be read.
    #[error("the first chunk of the topics can't be read: {0}")]
    First(String),
    /// One is missing.
    #[error("chunk {0} of the topics is missing")]
    Missing(usize),
    /// There are more than there should be.
    #[error("{0} chunks too many")]
    TooMany(usize),
    /// One is not what the first names.
    #[error("chunk {0} of the topics is another than the first one names")]
    Other(usize),
    /// One is no segment.
    #[error("chunk {0} of the topics is no segment")]
    Segment(usize),
    /// What they hold does not fit together.
    #[error("topic {0}: {1}")]
    Topic(Name, &'static str),
}

/// The version that is written.
const VERSION: u16 = 1;
/// Bytes of a segment that is read, at most: one record beyond a segment's bound, with room for other bounds.
const MAX_SEGMENT_BYTES: u32 = 16 << 20;

#[derive(Debug, Serialize, Deserialize)]
struct First {
    version: u16,
    topics: BTreeMap<Name, Written>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Written {
    parts: Parts,
    head: Offset,
    /// The segments, and which of their records are live; the last is the one that is written.
    segments: Vec<(ChunkName, BitSet)>,
}

impl Topics {
    /// All of it as chunks.
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
            if topic.planted(Fault::LiveForgotten) {
                forget_live(topic, &mut segments);
            }
            let written = Written { parts: topic.parts(), head: topic.head(), segments };
            topics.insert(name.clone(), written);
        }
        // Only a value that has no length beforehand could fail, and this has none such.
        let first = postcard::to_allocvec(&First { version: VERSION, topics }).unwrap_or_default();
        chunks.insert(0, Chunk::of(first.into()));
        chunks
    }

    /// Reads what [`Topics::write_chunks`] wrote, from the bytes of the chunks in the same order. No chunks are no topics.
    ///
    /// # Errors
    /// What is wrong with them. They may be anything.
    pub fn read_chunks(chunks: &[Arc<[u8]>], layout: Layout) -> Result<Topics, ChunkError> {
        let Some((first, rest)) = chunks.split_first() else { return Ok(Topics::new(layout)) };
        let first: First = postcard::from_bytes(first).map_err(|e| ChunkError::First(e.to_string()))?;
        if first.version != VERSION {
            return Err(ChunkError::First(format!("version {}", first.version)));
        }
        let mut rest = rest.iter().enumerate().map(|(n, bytes)| (n + 1, bytes));
        let mut topics = BTreeMap::new();
        for (name, written) in first.topics {
            let topic = read_topic(&name, written, &mut rest, layout, chunks.len())?;
            topics.insert(name, topic);
        }
        match rest.count() {
            0 => Ok(Topics::restored(topics, layout)),
            more => Err(ChunkError::TooMany(more)),
        }
    }
}

/// A planted fault: what is live is told from the order of all records that are there.
fn forget_live(topic: &Topic, segments: &mut [(ChunkName, BitSet)]) {
    let mut last = BTreeMap::new();
    for message in topic.log.walk(Offset(0), true) {
        last.insert(message.key().to_vec(), message);
    }
    let live = |m: &Message| {
        let latest = last.get(m.key()).is_some_and(|l| l.offset == m.offset);
        latest && !(m.body.is_tombstone() && m.offset < topic.horizon())
    };
    let mut all = topic.log.walk(Offset(0), true);
    for (_, bits) in segments {
        let mut fresh = BitSet::default();
        (0..bits.len()).for_each(|_| fresh.push(all.next().is_some_and(|m| live(&m))));
        *bits = fresh;
    }
}

fn read_topic<'a>(
    name: &Name,
    written: Written,
    rest: &mut impl Iterator<Item = (usize, &'a Arc<[u8]>)>,
    layout: Layout,
    chunks: usize,
) -> Result<Topic, ChunkError> {
    let wrong = |what| ChunkError::Topic(name.clone(), what);
    let mut read = Vec::new();
    let mut bytes = 0;
    for (expected, live) in written.segments {
        let (n, chunk) = rest.next().ok_or(ChunkError::Missing(chunks))?;
        if expected.length > MAX_SEGMENT_BYTES || expected != ChunkName::of(chunk) {
            return Err(ChunkError::Other(n));
        }
        bytes += u64::from(expected.length);
        let segment = Segment::read(chunk.clone()).ok_or(ChunkError::Segment(n))?;
        if !live.is_valid() || live.len() != segment.len() {
            return Err(wrong("a segment's records are not as many as are told of"));
        }
        read.push((segment, live));
    }
    if bytes > 4 * MAX_BYTES {
        return Err(wrong("its segments have too many bytes"));
    }
    let active = read.pop().ok_or_else(|| wrong("it has no segment"))?;
    let mut end = None;
    let mut sealed = Vec::new();
    for (segment, live) in read {
        let last = segment.offset(segment.len().wrapping_sub(1));
        let slot = Slot::new(segment, live).ok_or_else(|| wrong("a segment is empty"))?;
        if end >= Some(slot.first) {
            return Err(wrong("its segments are not in order"));
        }
        end = last;
        sealed.push(slot);
    }
    let head = written.head;
    let log =
        Log::restored(layout, sealed, active, head).ok_or_else(|| wrong("it does not end at its head"))?;
    if end.is_some_and(|end| end.0 >= log.active_first().0) {
        return Err(wrong("its segments are not in order"));
    }
    Topic::restored(written.parts, log).map_err(wrong)
}
