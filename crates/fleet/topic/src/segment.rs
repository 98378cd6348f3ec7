//! Sealed segment: encoded records in offset order, which never change. Numbers are little-endian.
//!
//! | offset | bytes | content |
//! | --- | --- | --- |
//! | 0 | 4 | `BLT` and the version of the format, 1 |
//! | 4 | 4 | number of records |
//!
//! The records follow. A record consists of an offset of 8 bytes, a length of 4 bytes, and the body ([`crate::message`]).

use std::hash::{Hash, Hasher};
use std::sync::{Arc, OnceLock};

use crate::chunks::ChunkName;
use crate::message::{Body, MAX_BODY_BYTES, Message};
use crate::messages::Offset;

const MAGIC: [u8; 4] = *b"BLT\x01";
/// Number of bytes before the first record.
const HEADER_BYTES: usize = 8;
/// Number of bytes of a record before its body.
pub(crate) const RECORD_HEADER_BYTES: usize = 12;

/// Encoder of a segment.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Builder {
    bytes: Vec<u8>,
    record_starts: Vec<u32>,
}

impl Builder {
    pub(crate) fn new(record_bytes: usize) -> Builder {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + record_bytes);
        bytes.extend(MAGIC);
        bytes.extend([0; 4]);
        Builder { bytes, record_starts: Vec::new() }
    }

    pub(crate) fn push(&mut self, offset: Offset, body: &[u8]) {
        self.record_starts.push(self.bytes.len() as u32);
        self.bytes.extend(offset.0.to_le_bytes());
        self.bytes.extend((body.len() as u32).to_le_bytes());
        self.bytes.extend(body);
    }

    /// Appends an encoded record of another segment.
    pub(crate) fn push_record(&mut self, record: &[u8]) {
        self.record_starts.push(self.bytes.len() as u32);
        self.bytes.extend(record);
    }

    pub(crate) fn len(&self) -> usize {
        self.record_starts.len()
    }

    pub(crate) fn build(mut self) -> Segment {
        let count = (self.record_starts.len() as u32).to_le_bytes();
        self.bytes[4..HEADER_BYTES].copy_from_slice(&count);
        Segment { bytes: self.bytes.into(), record_starts: self.record_starts.into(), name: OnceLock::new() }
    }
}

/// Sealed segment.
#[derive(Debug)]
pub(crate) struct Segment {
    bytes: Arc<[u8]>,
    /// Position of each record.
    record_starts: Box<[u32]>,
    /// Name, computed on first use, so that the append that seals the segment does not have to hash it.
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
    /// Decodes a segment. Returns `None` if the bytes are not a valid segment. They may be arbitrary.
    pub(crate) fn read(bytes: Arc<[u8]>) -> Option<Segment> {
        if bytes.get(..4)? != MAGIC || u32::try_from(bytes.len()).is_err() {
            return None;
        }
        let count = u32_at(&bytes, 4)? as usize;
        // The capacity is limited because the encoded count is untrusted.
        let mut record_starts = Vec::with_capacity(count.min(bytes.len() / RECORD_HEADER_BYTES));
        let (mut start, mut last_offset) = (HEADER_BYTES, None);
        for _ in 0..count {
            let offset = u64_at(&bytes, start)?;
            let length = u32_at(&bytes, start + 8)? as usize;
            if length > MAX_BODY_BYTES || last_offset.is_some_and(|last| last >= offset) {
                return None;
            }
            Body::slice(&bytes, start + RECORD_HEADER_BYTES..start + RECORD_HEADER_BYTES + length)?;
            record_starts.push(start as u32);
            last_offset = Some(offset);
            start += RECORD_HEADER_BYTES + length;
        }
        (start == bytes.len()).then_some(Segment {
            bytes,
            record_starts: record_starts.into(),
            name: OnceLock::new(),
        })
    }

    pub(crate) fn bytes(&self) -> &Arc<[u8]> {
        &self.bytes
    }

    pub(crate) fn name(&self) -> ChunkName {
        *self.name.get_or_init(|| ChunkName::of(&self.bytes))
    }

    pub(crate) fn len(&self) -> usize {
        self.record_starts.len()
    }

    pub(crate) fn offset(&self, n: usize) -> Option<Offset> {
        u64_at(&self.bytes, *self.record_starts.get(n)? as usize).map(Offset)
    }

    /// Returns the size of an encoded record in bytes, including its header.
    pub(crate) fn record_size(&self, n: usize) -> usize {
        let Some(start) = self.record_starts.get(n) else { return 0 };
        let end = self.record_starts.get(n + 1).map_or(self.bytes.len(), |end| *end as usize);
        end - *start as usize
    }

    /// Returns an encoded record, including its header.
    pub(crate) fn record(&self, n: usize) -> Option<&[u8]> {
        let start = *self.record_starts.get(n)? as usize;
        self.bytes.get(start..start + self.record_size(n))
    }

    /// Returns the size of all records before the given one.
    pub(crate) fn bytes_before(&self, n: usize) -> usize {
        self.record_starts.get(n).map_or(self.bytes.len(), |start| *start as usize) - HEADER_BYTES
    }

    pub(crate) fn message(&self, n: usize) -> Option<Message> {
        let start = *self.record_starts.get(n)? as usize;
        let end = start + self.record_size(n);
        let body = Body::slice(&self.bytes, start + RECORD_HEADER_BYTES..end)?;
        Some(Message { offset: self.offset(n)?, body })
    }

    /// Returns the index of the first record at or after an offset.
    pub(crate) fn find(&self, offset: Offset) -> usize {
        self.record_starts
            .partition_point(|start| u64_at(&self.bytes, *start as usize).is_some_and(|o| o < offset.0))
    }
}
