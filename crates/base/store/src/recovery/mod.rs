//! Decoding of a whole generation, without I/O.
//!
//! An invalid frame has one of two causes:
//!
//! - Power was lost before the frame was synced. The state before the frame is the last certain one, and all later frames are
//!   discarded too, because disks write in any order.
//! - Synced data is corrupt. Recovery reports an error to the operator, because it would otherwise lose that data silently.
//!
//! The later frames distinguish the two cases, because each contains the number of the last batch that was synced when it was
//! written.

mod error;

use std::sync::Arc;

use imbl::OrdMap;

use crate::frame::{self, DecodedFrame, FrameError, FrameKind, Op, Table};

pub use self::error::{Corruption, RecoveryNote};

/// Maximum distance of a batch number from the last valid one. Bytes that decode to a larger number are not a batch.
const MAX_SEQ_DISTANCE: u64 = 1_000_000_000;

/// State of a store: values by table and key.
pub type State = OrdMap<(Table, Vec<u8>), Arc<[u8]>>;

/// A generation that was decoded.
#[derive(Debug, Clone)]
pub struct Recovered {
    /// Number of the generation.
    pub generation: u64,
    /// State after the last valid batch.
    pub state: State,
    /// Number of the last valid batch.
    pub seq: u64,
    /// Number of valid bytes. The bytes after them are to be truncated.
    pub valid_len: usize,
    /// Number of bytes after the valid ones, which are of an incomplete batch.
    pub torn_len: usize,
}

/// Applies operations to a state.
pub fn apply(state: &mut State, ops: Vec<Op>) {
    for Op { table, key, value } in ops {
        match value {
            Some(value) => state.insert((table, key), value),
            None => state.remove(&(table, key)),
        };
    }
}

/// Decodes a generation whose file name contains the number `file_name`.
///
/// # Errors
/// Returns an error if the header, the snapshot or a synced batch is invalid.
pub fn recover(file_name: u64, bytes: &[u8]) -> Result<Recovered, Corruption> {
    let generation = frame::decode_header(bytes)?;
    if generation != file_name {
        return Err(Corruption::GenerationMismatch { file_name, header: generation });
    }
    let first = read_snapshot(generation, bytes)?;
    let mut valid_len = frame::HEADER_LEN + first.len;
    let mut seq = first.frame.seq;
    let mut state = State::new();
    apply(&mut state, first.frame.ops);
    while valid_len < bytes.len() {
        let Some(next) = read_batch(generation, bytes, valid_len, seq)? else { break };
        apply(&mut state, next.frame.ops);
        seq = next.frame.seq;
        valid_len += next.len;
    }
    Ok(Recovered { generation, state, seq, valid_len, torn_len: bytes.len() - valid_len })
}

fn read_snapshot(generation: u64, bytes: &[u8]) -> Result<DecodedFrame, Corruption> {
    let offset = frame::HEADER_LEN;
    match frame::decode(generation, &bytes[offset..]) {
        Ok(decoded) if decoded.frame.kind == FrameKind::Snapshot => Ok(decoded),
        Ok(_) => Err(Corruption::Snapshot { offset, error: FrameError::Payload }),
        Err(error) => Err(Corruption::Snapshot { offset, error }),
    }
}

/// Decodes the batch after batch `seq`. Returns `None` if the bytes at `offset` are an incomplete write.
fn read_batch(
    generation: u64,
    bytes: &[u8],
    offset: usize,
    seq: u64,
) -> Result<Option<DecodedFrame>, Corruption> {
    let error = match frame::decode(generation, &bytes[offset..]) {
        Ok(decoded) if decoded.frame.kind == FrameKind::Batch && decoded.frame.seq == seq + 1 => {
            return Ok(Some(decoded));
        }
        Ok(decoded) => return Err(Corruption::Order { offset, seq, found: decoded.frame.seq }),
        Err(error) => error,
    };
    if error == FrameError::Payload {
        // The checksum matches, so an incompatible program wrote the whole frame.
        return Err(Corruption::Batch { offset, seq, error, next_offset: offset });
    }
    match find_batch_with_later_sync(generation, bytes, offset + 1, seq) {
        Some(next_offset) => Err(Corruption::Batch { offset, seq, error, next_offset }),
        None => Ok(None),
    }
}

/// Returns the offset of the first valid batch that was written after a batch later than `seq` had been synced.
fn find_batch_with_later_sync(generation: u64, bytes: &[u8], from: usize, seq: u64) -> Option<usize> {
    let offsets = from..bytes.len().saturating_sub(frame::FRAME_HEADER_LEN);
    let candidates =
        offsets.filter(|offset| frame::may_be_batch(bytes, *offset, seq + 1..=seq + MAX_SEQ_DISTANCE));
    let has_later_sync = |offset: &usize| {
        frame::decode(generation, &bytes[*offset..]).is_ok_and(|decoded| decoded.frame.synced > seq)
    };
    candidates.into_iter().find(has_later_sync)
}
