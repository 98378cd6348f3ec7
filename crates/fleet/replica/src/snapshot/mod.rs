//! The encoding of the replicated state in a snapshot: a first chunk with a table of contents, then the chunks of all components.

#[cfg(test)]
mod tests;

use beechloft_consensus::{Chunk, SnapshotData};
use beechloft_leases::TableError;
use beechloft_topic::ChunkError;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A snapshot can not be read. The replica must stop.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StateError {
    /// The leases can not be read.
    #[error(transparent)]
    Leases(#[from] TableError),
    /// The topics can not be read.
    #[error(transparent)]
    Topics(#[from] ChunkError),
    /// The placement can not be read.
    #[error(transparent)]
    Placement(#[from] beechloft_placement::state::StateError),
    /// The quotas can not be read.
    #[error(transparent)]
    Quotas(#[from] beechloft_quotas::LedgerError),
    /// The chunks do not fit the table of contents.
    #[error("a snapshot whose pieces do not fit together")]
    Malformed,
    /// A component that this version does not know, and whose state it would lose.
    #[error("a snapshot with part {0}, which this version does not know")]
    UnknownComponent(u8),
}

/// The start of the first chunk. A state that does not start with it is a table of leases, which was the only component at first.
const MAGIC: &[u8] = b"beechloft parts 1\n";

/// The tags of the components, in order, and the number of chunks of each.
#[derive(Debug, Serialize, Deserialize)]
struct TableOfContents(Vec<(u8, u32)>);

/// The chunks of a component.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Section<'a> {
    pub tag: u8,
    pub chunks: &'a [Chunk],
}

/// Encodes the chunks of components, by tag. A component without chunks is left out.
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
    // Only values of unknown length fail to be encoded, and this is none.
    let encoded_contents = postcard::to_allocvec(&contents).unwrap_or_default();
    all_chunks.insert(0, Chunk::new([MAGIC, &encoded_contents].concat()));
    SnapshotData::new(all_chunks)
}

/// The sections of a state. A state in the old format is one section with the tag `leases`.
pub(crate) fn read(state: &SnapshotData, leases: u8) -> Result<Vec<Section<'_>>, StateError> {
    let Some((first, mut rest)) = state.chunks().split_first() else { return Ok(Vec::new()) };
    let Some(encoded_contents) = first.bytes().strip_prefix(MAGIC) else {
        let table = Section { tag: leases, chunks: state.chunks() };
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
