//! The replicated state as a snapshot has it: a first piece that says which pieces are which part's, and then those.

use beechloft_consensus::{Chunk, SnapshotData};
use beechloft_leases::TableError;
use beechloft_topic::ChunkError;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A snapshot that can't be read: this keeper must not go on.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StateError {
    /// Of the leases.
    #[error(transparent)]
    Leases(#[from] TableError),
    /// Of the topics.
    #[error(transparent)]
    Topics(#[from] ChunkError),
    /// Of the placement.
    #[error(transparent)]
    Placement(#[from] beechloft_placement::state::StateError),
    /// Of the limits.
    #[error(transparent)]
    Quotas(#[from] beechloft_quotas::LedgerError),
    /// What says which pieces are whose.
    #[error("a snapshot whose pieces do not fit together")]
    Malformed,
    /// It has a part that this version does not know, and would lose.
    #[error("a snapshot with part {0}, which this version does not know")]
    UnknownPart(u8),
}

/// What the first piece begins with. What does not is a table of leases, which was all there was at first.
const MAGIC: &[u8] = b"beechloft parts 1\n";

/// Which part, and how many pieces.
#[derive(Debug, Serialize, Deserialize)]
struct Shares(Vec<(u8, u32)>);

/// Pieces of parts, by tag, as one state. A part without pieces is not named.
pub(crate) fn write(parts: impl IntoIterator<Item = (u8, Vec<Chunk>)>) -> SnapshotData {
    let (mut shares, mut all) = (Shares(Vec::new()), Vec::new());
    for (tag, chunks) in parts {
        if !chunks.is_empty() {
            shares.0.push((tag, chunks.len() as u32));
            all.extend(chunks);
        }
    }
    // Only a value that has no length beforehand could fail, and this has none such.
    let shares = postcard::to_allocvec(&shares).unwrap_or_default();
    all.insert(0, Chunk::new([MAGIC, &shares].concat()));
    SnapshotData::new(all)
}

/// The pieces of each part, by tag; `leases` is the tag of a state that has nothing but a table.
pub(crate) fn read(state: &SnapshotData, leases: u8) -> Result<Vec<(u8, &[Chunk])>, StateError> {
    let Some((first, mut rest)) = state.chunks().split_first() else { return Ok(Vec::new()) };
    let Some(shares) = first.bytes().strip_prefix(MAGIC) else {
        return if rest.is_empty() { Ok(vec![(leases, state.chunks())]) } else { Err(StateError::Malformed) };
    };
    let shares: Shares = postcard::from_bytes(shares).map_err(|_| StateError::Malformed)?;
    let mut parts: Vec<(u8, &[Chunk])> = Vec::new();
    for (tag, count) in shares.0 {
        let known = parts.iter().any(|(t, _)| *t == tag);
        let (own, more) = rest.split_at_checked(count as usize).ok_or(StateError::Malformed)?;
        if known {
            return Err(StateError::Malformed);
        }
        parts.push((tag, own));
        rest = more;
    }
    if rest.is_empty() { Ok(parts) } else { Err(StateError::Malformed) }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn pieces_come_back_to_their_parts_and_what_does_not_fit_is_refused() {
        let piece = |text: &str| Chunk::new(text.as_bytes());
        let state = write([(1, vec![piece("a")]), (16, vec![piece("b"), piece("c")]), (17, Vec::new())]);
        let read_back = read(&state, 1).expect("sound");
        assert_eq!(read_back, [(1, &[piece("a")][..]), (16, &[piece("b"), piece("c")][..])]);
        assert_eq!(read(&SnapshotData::default(), 1), Ok(Vec::new()));
        // As versions before had it.
        let whole = SnapshotData::from_bytes(*b"a table");
        assert_eq!(read(&whole, 1), Ok(vec![(1, whole.chunks())]));
        for n in 1..state.chunks().len() {
            assert_eq!(
                read(&SnapshotData::new(state.chunks()[..n].to_vec()), 1),
                Err(StateError::Malformed),
                "{n}"
            );
        }
        let more = [state.chunks(), &[piece("d")]].concat();
        assert_eq!(read(&SnapshotData::new(more), 1), Err(StateError::Malformed));
        assert_eq!(read(&SnapshotData::new(state.chunks()[1..].to_vec()), 1), Err(StateError::Malformed));
        let twice = write([(1, vec![piece("a")]), (1, vec![piece("b")])]);
        assert_eq!(read(&twice, 1), Err(StateError::Malformed));
    }
}
