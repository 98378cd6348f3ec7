//! Content-addressed chunks of a replicated state.

use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use sha2::{Digest, Sha256};

/// Length of a SHA-256 hash, in bytes.
const HASH_BYTES: usize = 32;
/// Length of a [`ChunkId`] encoded as a key, in bytes.
const KEY_BYTES: usize = 36;
/// Length of the hash prefix in the debug output, in bytes.
const DEBUG_HASH_BYTES: usize = 6;

/// Identifier of a chunk, which consists of the SHA-256 hash and the length of its content.
///
/// The hash is cryptographic because clients determine the content. A client must not be able to construct two different chunks
/// with the same id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChunkId {
    /// SHA-256 hash of the content.
    pub hash: [u8; HASH_BYTES],
    /// Length of the content, in bytes.
    pub length: u32,
}

impl ChunkId {
    /// Computes the id of a chunk with the given content.
    #[expect(clippy::cast_possible_truncation, reason = "a chunk has at most MAX_CHUNK_BYTES")]
    pub fn of_bytes(bytes: &[u8]) -> ChunkId {
        ChunkId { hash: Sha256::digest(bytes).into(), length: bytes.len() as u32 }
    }

    /// Encodes the id as a storage key, which is the hash followed by the length as a big-endian integer.
    pub fn to_key(&self) -> [u8; KEY_BYTES] {
        let mut key = [0; KEY_BYTES];
        key[..HASH_BYTES].copy_from_slice(&self.hash);
        key[HASH_BYTES..].copy_from_slice(&self.length.to_be_bytes());
        key
    }

    /// Decodes a key that [`ChunkId::to_key`] encoded. Returns `None` if its length is wrong.
    pub fn from_key(key: &[u8]) -> Option<ChunkId> {
        let (hash, length) = key.split_first_chunk::<HASH_BYTES>()?;
        Some(ChunkId { hash: *hash, length: u32::from_be_bytes(length.try_into().ok()?) })
    }
}

/// Chunk of a replicated state. Clones share the content. Equality and hash are those of the id.
#[derive(Clone)]
pub struct Chunk {
    id: ChunkId,
    bytes: Arc<[u8]>,
}

impl Chunk {
    /// Creates a chunk with the given content.
    pub fn new(bytes: impl Into<Arc<[u8]>>) -> Chunk {
        let bytes = bytes.into();
        Chunk { id: ChunkId::of_bytes(&bytes), bytes }
    }

    /// Creates a chunk whose id is already known. The id must be that of the content, because chunks are compared by id.
    pub fn with_id(id: ChunkId, bytes: Arc<[u8]>) -> Chunk {
        debug_assert_eq!(id, ChunkId::of_bytes(&bytes));
        Chunk { id, bytes }
    }

    /// Returns the id of the chunk.
    pub fn id(&self) -> ChunkId {
        self.id
    }

    /// Returns the content of the chunk.
    pub fn bytes(&self) -> &Arc<[u8]> {
        &self.bytes
    }
}

impl fmt::Debug for Chunk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.id.hash.iter().take(DEBUG_HASH_BYTES).try_for_each(|byte| write!(f, "{byte:02x}"))?;
        write!(f, "+{}", self.id.length)
    }
}

impl PartialEq for Chunk {
    fn eq(&self, other: &Chunk) -> bool {
        self.id == other.id
    }
}

impl Eq for Chunk {}

impl Hash for Chunk {
    fn hash<H: Hasher>(&self, into: &mut H) {
        self.id.hash(into);
    }
}
