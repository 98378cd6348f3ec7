//! Chunks of a state, identified by their content.

use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use sha2::{Digest, Sha256};

/// Bytes of a SHA-256 hash.
const HASH_BYTES: usize = 32;
/// Bytes of a [`ChunkId`] as a key.
const KEY_BYTES: usize = 36;
/// Bytes of the hash in the debug output.
const DEBUG_HASH_BYTES: usize = 6;

/// Identifies a chunk: the SHA-256 hash of its content, and its length. The hash is cryptographic because clients determine the
/// content: nobody must be able to construct two different chunks with the same id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChunkId {
    /// The SHA-256 hash of the content.
    pub hash: [u8; HASH_BYTES],
    /// The length of the content, in bytes.
    pub length: u32,
}

impl ChunkId {
    /// The id of a chunk with this content.
    #[expect(clippy::cast_possible_truncation, reason = "a chunk has at most MAX_CHUNK_BYTES")]
    pub fn of_bytes(bytes: &[u8]) -> ChunkId {
        ChunkId { hash: Sha256::digest(bytes).into(), length: bytes.len() as u32 }
    }

    /// The id as the key of a store: the hash, then the length in big-endian order.
    pub fn to_key(&self) -> [u8; KEY_BYTES] {
        let mut key = [0; KEY_BYTES];
        key[..HASH_BYTES].copy_from_slice(&self.hash);
        key[HASH_BYTES..].copy_from_slice(&self.length.to_be_bytes());
        key
    }

    /// Decodes a key of [`ChunkId::to_key`].
    pub fn from_key(key: &[u8]) -> Option<ChunkId> {
        let (hash, length) = key.split_first_chunk::<HASH_BYTES>()?;
        Some(ChunkId { hash: *hash, length: u32::from_be_bytes(length.try_into().ok()?) })
    }
}

/// A chunk of a state. Clones share the content. Equality and hash are those of the id.
#[derive(Clone)]
pub struct Chunk {
    id: ChunkId,
    bytes: Arc<[u8]>,
}

impl Chunk {
    /// A chunk with this content.
    pub fn new(bytes: impl Into<Arc<[u8]>>) -> Chunk {
        let bytes = bytes.into();
        Chunk { id: ChunkId::of_bytes(&bytes), bytes }
    }

    /// A chunk whose id is known. With an id that is not that of the content, the chunk would be taken for another one.
    pub fn with_id(id: ChunkId, bytes: Arc<[u8]>) -> Chunk {
        debug_assert_eq!(id, ChunkId::of_bytes(&bytes));
        Chunk { id, bytes }
    }

    /// Its id.
    pub fn id(&self) -> ChunkId {
        self.id
    }

    /// Its content.
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
