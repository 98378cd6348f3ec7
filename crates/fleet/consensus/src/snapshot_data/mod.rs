//! Replicated state of a snapshot, split into chunks.
//!
//! A state in one piece is written completely for each snapshot, however little has changed. Section 5.1.2 of the dissertation
//! weighs that cost against the length of the log. With content-addressed chunks, the cost of a snapshot depends on what has
//! changed since the previous one, because a chunk that both contain is neither written nor held in memory twice.

mod chunk;
#[cfg(test)]
mod tests;

use std::sync::Arc;

pub use chunk::{Chunk, ChunkId};

/// Maximum number of chunks of one state.
pub const MAX_CHUNKS: usize = 1 << 16;
/// Maximum size of one chunk, in bytes.
pub const MAX_CHUNK_BYTES: usize = 4 << 20;
/// Size of an encoded length, in bytes.
const LENGTH_BYTES: usize = 4;

/// Replicated state as a sequence of chunks.
///
/// The transfer encoding consists of the number of chunks and the length of each one as big-endian 32-bit integers, followed by
/// the bytes of all chunks. A state without chunks is encoded as zero bytes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct SnapshotData(Arc<[Chunk]>);

impl SnapshotData {
    /// Creates a state of the given chunks.
    pub fn new(chunks: impl Into<Arc<[Chunk]>>) -> SnapshotData {
        SnapshotData(chunks.into())
    }

    /// Creates a state of one chunk, or of none if there are no bytes.
    pub fn from_bytes(bytes: impl Into<Arc<[u8]>>) -> SnapshotData {
        let bytes = bytes.into();
        if bytes.is_empty() { SnapshotData::default() } else { SnapshotData::new(vec![Chunk::new(bytes)]) }
    }

    /// Returns the chunks, in order.
    pub fn chunks(&self) -> &[Chunk] {
        &self.0
    }

    /// Returns the total size of all chunks, in bytes.
    pub fn size(&self) -> usize {
        self.0.iter().map(|chunk| chunk.bytes().len()).sum()
    }

    /// Returns the concatenated bytes of all chunks.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.0.iter().flat_map(|chunk| chunk.bytes().iter().copied()).collect()
    }

    /// Returns the length of the transfer encoding, in bytes.
    pub fn encoded_len(&self) -> usize {
        if self.0.is_empty() { 0 } else { LENGTH_BYTES * (1 + self.0.len()) + self.size() }
    }

    /// Encodes the number of chunks and their lengths.
    #[expect(clippy::cast_possible_truncation, reason = "there are at most MAX_CHUNKS chunks")]
    fn encoded_header(&self) -> Vec<u8> {
        let lengths = self.0.iter().map(|chunk| chunk.id().length);
        let count = self.0.len() as u32;
        std::iter::once(count).chain(lengths).flat_map(u32::to_be_bytes).collect()
    }

    /// Returns up to `max_bytes` of the transfer encoding, starting at offset `from`.
    pub fn encoded_range(&self, from: usize, max_bytes: usize) -> Vec<u8> {
        let mut range = Vec::with_capacity(max_bytes.min(self.encoded_len().saturating_sub(from)));
        if self.0.is_empty() {
            return range;
        }
        let header = self.encoded_header();
        let chunks = self.0.iter().map(|chunk| &**chunk.bytes());
        let mut section_start = 0;
        for section in std::iter::once(&header[..]).chain(chunks) {
            let section_end = section_start + section.len();
            let position = from + range.len();
            if position < section_end && range.len() < max_bytes {
                let rest = &section[position - section_start..];
                range.extend_from_slice(&rest[..rest.len().min(max_bytes - range.len())]);
            }
            section_start = section_end;
        }
        range
    }

    /// Decodes a complete transfer encoding. Returns `None` if it is malformed or exceeds a limit.
    pub fn decode(encoded: &[u8]) -> Option<SnapshotData> {
        if encoded.is_empty() {
            return Some(SnapshotData::default());
        }
        let (count, rest) = decode_length(encoded)?;
        if count == 0 || count > MAX_CHUNKS || rest.len() < count * LENGTH_BYTES {
            return None;
        }
        let (mut lengths, mut contents) = rest.split_at(count * LENGTH_BYTES);
        let mut chunks = Vec::with_capacity(count);
        for _ in 0..count {
            let (length, remaining_lengths) = decode_length(lengths)?;
            if length > MAX_CHUNK_BYTES || length > contents.len() {
                return None;
            }
            let (content, remaining_contents) = contents.split_at(length);
            chunks.push(Chunk::new(content));
            (lengths, contents) = (remaining_lengths, remaining_contents);
        }
        contents.is_empty().then(|| SnapshotData::new(chunks))
    }
}

fn decode_length(bytes: &[u8]) -> Option<(usize, &[u8])> {
    let (length, rest) = bytes.split_first_chunk::<LENGTH_BYTES>()?;
    Some((u32::from_be_bytes(*length) as usize, rest))
}
