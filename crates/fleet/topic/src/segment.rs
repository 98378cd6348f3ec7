//! A sealed segment: records in the order of their offsets, in bytes that never change. Numbers are little-endian.
//!
//! | offset | bytes | what |
//! | --- | --- | --- |
//! | 0 | 4 | `BLT` and the version of the format, 1 |
//! | 4 | 4 | how many records |
//!
//! Records follow: 8 bytes of offset, 4 of length, the body ([`crate::message`]).

use std::hash::{Hash, Hasher};
use std::sync::{Arc, OnceLock};

use crate::chunks::ChunkName;
use crate::message::{Body, MAX_BODY_BYTES, Message};
use crate::messages::Offset;

const MAGIC: [u8; 4] = *b"BLT\x01";
/// Bytes before the first record.
const HEAD: usize = 8;
/// Bytes of a record beside its body.
pub(crate) const RECORD_HEAD: usize = 12;

/// Writes a segment.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Builder {
    bytes: Vec<u8>,
    at: Vec<u32>,
}

impl Builder {
    pub(crate) fn new(room: usize) -> Builder {
        let mut bytes = Vec::with_capacity(HEAD + room);
        bytes.extend(MAGIC);
        bytes.extend([0; 4]);
        Builder { bytes, at: Vec::new() }
    }

    pub(crate) fn push(&mut self, offset: Offset, body: &[u8]) {
        self.at.push(self.bytes.len() as u32);
        self.bytes.extend(offset.0.to_le_bytes());
        self.bytes.extend((body.len() as u32).to_le_bytes());
        self.bytes.extend(body);
    }

    /// A record as another segment has it.
    pub(crate) fn push_record(&mut self, record: &[u8]) {
        self.at.push(self.bytes.len() as u32);
        self.bytes.extend(record);
    }

    pub(crate) fn len(&self) -> usize {
        self.at.len()
    }

    pub(crate) fn build(mut self) -> Segment {
        let count = (self.at.len() as u32).to_le_bytes();
        self.bytes[4..HEAD].copy_from_slice(&count);
        Segment { bytes: self.bytes.into(), at: self.at.into(), name: OnceLock::new() }
    }
}

/// A sealed segment.
#[derive(Debug)]
pub(crate) struct Segment {
    bytes: Arc<[u8]>,
    /// Where each record begins.
    at: Box<[u32]>,
    /// Found when it is first asked for: a hash over all of it is no work for the append that seals it.
    name: OnceLock<ChunkName>,
}

impl Hash for Segment {
    fn hash<H: Hasher>(&self, into: &mut H) {
        self.bytes.hash(into);
    }
}

fn u64_at(bytes: &[u8], at: usize) -> Option<u64> {
    Some(u64::from_le_bytes(bytes.get(at..at.checked_add(8)?)?.try_into().ok()?))
}

fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.get(at..at.checked_add(4)?)?.try_into().ok()?))
}

impl Segment {
    /// Reads what a [`Builder`] wrote, of whatever bytes; none: they are no segment.
    pub(crate) fn read(bytes: Arc<[u8]>) -> Option<Segment> {
        if bytes.get(..4)? != MAGIC || u32::try_from(bytes.len()).is_err() {
            return None;
        }
        let count = u32_at(&bytes, 4)? as usize;
        // A count that the bytes can't hold is not made room for.
        let mut at = Vec::with_capacity(count.min(bytes.len() / RECORD_HEAD));
        let (mut from, mut last) = (HEAD, None);
        for _ in 0..count {
            let offset = u64_at(&bytes, from)?;
            let length = u32_at(&bytes, from + 8)? as usize;
            if length > MAX_BODY_BYTES || last.is_some_and(|l| l >= offset) {
                return None;
            }
            Body::part(&bytes, from + RECORD_HEAD..from + RECORD_HEAD + length)?;
            at.push(from as u32);
            last = Some(offset);
            from += RECORD_HEAD + length;
        }
        (from == bytes.len()).then_some(Segment { bytes, at: at.into(), name: OnceLock::new() })
    }

    pub(crate) fn bytes(&self) -> &Arc<[u8]> {
        &self.bytes
    }

    pub(crate) fn name(&self) -> ChunkName {
        *self.name.get_or_init(|| ChunkName::of(&self.bytes))
    }

    pub(crate) fn len(&self) -> usize {
        self.at.len()
    }

    pub(crate) fn offset(&self, n: usize) -> Option<Offset> {
        u64_at(&self.bytes, *self.at.get(n)? as usize).map(Offset)
    }

    /// Bytes of a record in the segment.
    pub(crate) fn record_size(&self, n: usize) -> usize {
        let Some(from) = self.at.get(n) else { return 0 };
        let to = self.at.get(n + 1).map_or(self.bytes.len(), |to| *to as usize);
        to - *from as usize
    }

    /// The bytes of a record, its offset and length among them.
    pub(crate) fn record(&self, n: usize) -> Option<&[u8]> {
        let from = *self.at.get(n)? as usize;
        self.bytes.get(from..from + self.record_size(n))
    }

    /// Bytes of the records before one.
    pub(crate) fn bytes_before(&self, n: usize) -> usize {
        self.at.get(n).map_or(self.bytes.len(), |at| *at as usize) - HEAD
    }

    pub(crate) fn message(&self, n: usize) -> Option<Message> {
        let from = *self.at.get(n)? as usize;
        let to = from + self.record_size(n);
        let body = Body::part(&self.bytes, from + RECORD_HEAD..to)?;
        Some(Message { offset: self.offset(n)?, body })
    }

    /// The first record at an offset or behind it.
    pub(crate) fn find(&self, offset: Offset) -> usize {
        self.at.partition_point(|at| u64_at(&self.bytes, *at as usize).is_some_and(|o| o < offset.0))
    }
}
