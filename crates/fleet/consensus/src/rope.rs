//! The replicated state in pieces, so that a snapshot costs what has changed since the last one.
//!
//! A state that is written as one array is written whole for each snapshot, however little has changed: the cost that chapter 5.1.2
//! of the dissertation weighs against the length of the log. In pieces that are named by what they hold, a piece that is in the
//! last snapshot too is neither written to the disk nor kept in memory twice.

use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use sha2::{Digest, Sha256};

/// Pieces of one state at most.
pub const MAX_CHUNKS: usize = 1 << 16;
/// Bytes of one piece at most.
pub const MAX_CHUNK_BYTES: usize = 4 << 20;
/// Bytes of a length.
const LENGTH: usize = 4;

/// A piece's name: the SHA-256 of what it holds, and its length. Not a weaker sum, as what pieces hold is said by others: two that
/// differ must not get one name even if somebody means them to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChunkId {
    /// Of its bytes.
    pub hash: [u8; 32],
    /// How many there are.
    pub length: u32,
}

impl ChunkId {
    /// The name of these bytes.
    pub fn of_bytes(bytes: &[u8]) -> ChunkId {
        ChunkId { hash: Sha256::digest(bytes).into(), length: bytes.len() as u32 }
    }

    /// The name as bytes, for a key.
    pub fn to_key(&self) -> [u8; 36] {
        let mut key = [0; 36];
        key[..32].copy_from_slice(&self.hash);
        key[32..].copy_from_slice(&self.length.to_be_bytes());
        key
    }

    /// Reads what [`ChunkId::to_key`] wrote.
    pub fn from_key(key: &[u8]) -> Option<ChunkId> {
        let (hash, length) = key.split_first_chunk::<32>()?;
        Some(ChunkId { hash: *hash, length: u32::from_be_bytes(length.try_into().ok()?) })
    }
}

/// A piece of a state. A copy costs a count.
#[derive(Clone)]
pub struct Chunk {
    name: ChunkId,
    bytes: Arc<[u8]>,
}

impl Chunk {
    /// A piece with these bytes.
    pub fn new(bytes: impl Into<Arc<[u8]>>) -> Chunk {
        let bytes = bytes.into();
        Chunk { name: ChunkId::of_bytes(&bytes), bytes }
    }

    /// A piece whose name was found before. A name that is not that of the bytes would have them mistaken for others'.
    pub fn with_id(name: ChunkId, bytes: Arc<[u8]>) -> Chunk {
        debug_assert_eq!(name, ChunkId::of_bytes(&bytes));
        Chunk { name, bytes }
    }

    /// Its name.
    pub fn name(&self) -> ChunkId {
        self.name
    }

    /// Its bytes.
    pub fn bytes(&self) -> &Arc<[u8]> {
        &self.bytes
    }
}

impl fmt::Debug for Chunk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.name.hash.iter().take(6).try_for_each(|b| write!(f, "{b:02x}"))?;
        write!(f, "+{}", self.name.length)
    }
}

/// Of those with the same name one is as good as the other.
impl PartialEq for Chunk {
    fn eq(&self, other: &Chunk) -> bool {
        self.name == other.name
    }
}

impl Eq for Chunk {}

impl Hash for Chunk {
    fn hash<H: Hasher>(&self, into: &mut H) {
        self.name.hash(into);
    }
}

/// A state in pieces, in order.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct SnapshotData(Arc<[Chunk]>);

impl SnapshotData {
    /// A state of these pieces.
    pub fn new(chunks: impl Into<Arc<[Chunk]>>) -> SnapshotData {
        SnapshotData(chunks.into())
    }

    /// A state of one piece; of none, if it has no bytes.
    pub fn from_bytes(bytes: impl Into<Arc<[u8]>>) -> SnapshotData {
        let bytes = bytes.into();
        if bytes.is_empty() { SnapshotData::default() } else { SnapshotData::new(vec![Chunk::new(bytes)]) }
    }

    /// Its pieces.
    pub fn chunks(&self) -> &[Chunk] {
        &self.0
    }

    /// Bytes of all pieces.
    pub fn bytes(&self) -> usize {
        self.0.iter().map(|c| c.bytes.len()).sum()
    }

    /// All bytes in a row.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.0.iter().flat_map(|c| c.bytes.iter().copied()).collect()
    }

    /// How long it is when it is sent: a count and a length of each piece, then the pieces. The empty one is nothing at all.
    pub fn encoded_len(&self) -> usize {
        if self.0.is_empty() { 0 } else { LENGTH * (1 + self.0.len()) + self.bytes() }
    }

    fn head(&self) -> Vec<u8> {
        let lengths = self.0.iter().map(|c| c.name.length);
        let count = self.0.len() as u32;
        std::iter::once(count).chain(lengths).flat_map(u32::to_be_bytes).collect()
    }

    /// A part of it as it is sent, as far as there is any there.
    pub fn encoded_range(&self, from: usize, bytes: usize) -> Vec<u8> {
        let mut part = Vec::with_capacity(bytes.min(self.encoded_len().saturating_sub(from)));
        if self.0.is_empty() {
            return part;
        }
        let head = self.head();
        let mut begins = 0;
        for piece in std::iter::once(&head[..]).chain(self.0.iter().map(|c| &*c.bytes)) {
            let (ends, at) = (begins + piece.len(), from + part.len());
            if at < ends && part.len() < bytes {
                let rest = &piece[at - begins..];
                part.extend_from_slice(&rest[..rest.len().min(bytes - part.len())]);
            }
            begins = ends;
        }
        part
    }

    /// Reads what was sent, part by part; none: it is nothing that makes sense.
    pub fn decode(sent: &[u8]) -> Option<SnapshotData> {
        if sent.is_empty() {
            return Some(SnapshotData::default());
        }
        let (count, rest) = length(sent)?;
        if count == 0 || count > MAX_CHUNKS || rest.len() < count * LENGTH {
            return None;
        }
        let (mut lengths, mut pieces) = rest.split_at(count * LENGTH);
        let mut chunks = Vec::with_capacity(count);
        for _ in 0..count {
            let (bytes, more) = length(lengths)?;
            if bytes > MAX_CHUNK_BYTES || bytes > pieces.len() {
                return None;
            }
            let (piece, left) = pieces.split_at(bytes);
            chunks.push(Chunk::new(piece));
            (lengths, pieces) = (more, left);
        }
        pieces.is_empty().then(|| SnapshotData::new(chunks))
    }
}

fn length(bytes: &[u8]) -> Option<(usize, &[u8])> {
    let (length, rest) = bytes.split_first_chunk::<LENGTH>()?;
    Some((u32::from_be_bytes(*length) as usize, rest))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn rope() -> SnapshotData {
        let pieces: [&[u8]; 4] = [b"one", b"", b"twotwo", b"one"];
        SnapshotData::new(pieces.map(Chunk::new).to_vec())
    }

    #[test]
    fn it_comes_as_it_was_sent_whatever_the_size_of_parts() {
        for rope in [rope(), SnapshotData::default(), SnapshotData::from_bytes(vec![7; 100])] {
            for bytes in 1..40 {
                let mut sent = Vec::new();
                while sent.len() < rope.encoded_len() {
                    let part = rope.encoded_range(sent.len(), bytes);
                    assert!(!part.is_empty() && part.len() <= bytes);
                    sent.extend(part);
                }
                assert_eq!(SnapshotData::decode(&sent), Some(rope.clone()));
            }
        }
        assert_eq!(rope().encoded_range(rope().encoded_len(), 9), []);
        assert_eq!(rope().to_bytes(), b"onetwotwoone");
    }

    #[test]
    fn what_is_cut_or_says_what_is_not_there_is_none() {
        let sent = rope().encoded_range(0, usize::MAX >> 1);
        for cut in 1..sent.len() {
            assert_eq!(SnapshotData::decode(&sent[..cut]), None, "{cut}");
        }
        assert_eq!(SnapshotData::decode(&[&sent[..], &[0]].concat()), None);
        assert_eq!(SnapshotData::decode(&u32::MAX.to_be_bytes()), None);
        assert_eq!(SnapshotData::decode(&[0; 4]), None);
        // A flipped bit is another state, or none.
        for bit in 0..sent.len() * 8 {
            let mut bad = sent.clone();
            bad[bit / 8] ^= 1 << (bit % 8);
            assert_ne!(SnapshotData::decode(&bad), Some(rope()), "bit {bit}");
        }
    }

    #[test]
    fn a_name_is_read_as_it_was_written_and_is_that_of_the_bytes() {
        let name = ChunkId::of_bytes(b"one");
        assert_eq!(ChunkId::from_key(&name.to_key()), Some(name));
        assert_eq!(ChunkId::from_key(b"short"), None);
        assert_eq!(Chunk::new(&b"one"[..]), Chunk::new(b"one".to_vec()));
        assert_ne!(ChunkId::of_bytes(b"one"), ChunkId::of_bytes(b"two"));
    }
}
