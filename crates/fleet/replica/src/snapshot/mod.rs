//! The encoding of the replicated state in a snapshot.
//!
//! The first chunk contains a table of contents. The chunks of all components follow in its order.

#[cfg(test)]
mod tests;

use beechloft_consensus::{Chunk, SnapshotData};
use beechloft_leases::TableError;
use beechloft_topic::ChunkError;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The reason why a snapshot cannot be read. The replica must stop.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StateError {
    /// The leases cannot be read.
    #[error(transparent)]
    Leases(#[from] TableError),
    /// The topics cannot be read.
    #[error(transparent)]
    Topics(#[from] ChunkError),
    /// The placement cannot be read.
    #[error(transparent)]
    Placement(#[from] beechloft_placement::state::StateError),
    /// The quotas cannot be read.
    #[error(transparent)]
    Quotas(#[from] beechloft_quotas::LedgerError),
    /// The chunks do not match the table of contents, or the table of contents is invalid.
    #[error("the chunks of the snapshot do not match its table of contents")]
    Malformed,
    /// The snapshot contains a component that this version does not know and whose state it would lose.
    #[error("the snapshot contains component {0}, which this version does not support")]
    UnknownComponent(u8),
}

/// First bytes of the first chunk.
///
/// A snapshot that does not start with them is a table of leases, because early versions had no other component.
const MAGIC: &[u8] = b"beechloft parts 1\n";

/// The tags of the components in order, each with its number of chunks.
#[derive(Debug, Serialize, Deserialize)]
struct TableOfContents(Vec<(u8, u32)>);

/// The chunks of one component.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Section<'a> {
    pub tag: u8,
    pub chunks: &'a [Chunk],
}

/// Encodes the chunks of components, by tag. Omits components without chunks.
#[expect(clippy::cast_possible_truncation, reason = "a state has at most MAX_CHUNKS chunks")]
pub(crate) fn write(components: impl IntoIterator<Item = (u8, Vec<Chunk>)>) -> SnapshotData {
    let mut contents = TableOfContents(Vec::new());
    let mut all_chunks = Vec::new();
    for (tag, chunks) in components {
        if !chunks.is_empty() {
            contents.0.push((tag, chunks.len() as u32));
            all_chunks.extend(chunks);
        }
    }
    // Encoding fails only for sequences of unknown length, which the table of contents does not contain.
    let encoded_contents = postcard::to_allocvec(&contents).unwrap_or_default();
    all_chunks.insert(0, Chunk::new([MAGIC, &encoded_contents].concat()));
    SnapshotData::new(all_chunks)
}

/// Splits a snapshot into its sections. A snapshot of the old format is one section with the tag `leases_tag`.
///
/// # Errors
/// Returns [`StateError::Malformed`] if the chunks do not match the table of contents.
pub(crate) fn read(state: &SnapshotData, leases_tag: u8) -> Result<Vec<Section<'_>>, StateError> {
    let Some((first, mut rest)) = state.chunks().split_first() else { return Ok(Vec::new()) };
    let Some(encoded_contents) = first.bytes().strip_prefix(MAGIC) else {
        let table = Section { tag: leases_tag, chunks: state.chunks() };
        return if rest.is_empty() { Ok(vec![table]) } else { Err(StateError::Malformed) };
    };
    let contents: TableOfContents =
        postcard::from_bytes(encoded_contents).map_err(|_| StateError::Malformed)?;
    let mut sections: Vec<Section<'_>> = Vec::new();
    for (tag, count) in contents.0 {
        let is_duplicate = sections.iter().any(|section| section.tag == tag);
        let (chunks, remaining) = rest.split_at_checked(count as usize).ok_or(StateError::Malformed)?;
        if is_duplicate {
            return Err(StateError::Malformed);
        }
        sections.push(Section { tag, chunks });
        rest = remaining;
    }
    if rest.is_empty() { Ok(sections) } else { Err(StateError::Malformed) }
}
