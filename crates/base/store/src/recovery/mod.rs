//! Decoding of a whole generation, without I/O.
//!
//! An invalid frame has two explanations. Either power was lost before it was synced: then the state before it is the last
//! certain one, and what follows goes with it, as disks write in any order. Or data that had been synced is corrupt, and going on
//! would lose it silently: that is an error for the operator. The frames that follow tell which: each has the number of the last
//! batch that was synced when it was written.

mod error;

use std::sync::Arc;

use imbl::OrdMap;

use crate::frame::{self, DecodedFrame, FrameError, FrameKind, Op, Table};

pub use self::error::{Corruption, RecoveryNote};

/// A batch number further ahead than this is not taken for one.
const MAX_BATCHES_AHEAD: u64 = 1_000_000_000;

/// The whole state: values by table and key.
pub type State = OrdMap<(Table, Vec<u8>), Arc<[u8]>>;

/// A generation that can be used.
#[derive(Debug, Clone)]
pub struct Recovered {
    /// Its number.
    pub generation: u64,
    /// Its state.
    pub state: State,
    /// The number of the last batch.
    pub seq: u64,
    /// Number of valid bytes; what follows is to be truncated.
    pub valid_len: usize,
    /// Number of bytes after the valid ones.
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

/// Decodes a generation whose file has the number `name`.
///
/// # Errors
/// Something that had been synced can't be decoded.
pub fn recover(name: u64, bytes: &[u8]) -> Result<Recovered, Corruption> {
    let generation = frame::read_header(bytes)?;
    if generation != name {
        return Err(Corruption::Name { name, head: generation });
    }
    let first = read_snapshot(generation, bytes)?;
    let mut valid_len = frame::HEADER_LEN + first.length;
    let mut seq = first.frame.seq;
    let mut state = State::new();
    apply(&mut state, first.frame.ops);
    while valid_len < bytes.len() {
        let Some(next) = read_batch(generation, bytes, valid_len, seq)? else { break };
        apply(&mut state, next.frame.ops);
        seq = next.frame.seq;
        valid_len += next.length;
    }
    Ok(Recovered { generation, state, seq, valid_len, torn_len: bytes.len() - valid_len })
}

fn read_snapshot(generation: u64, bytes: &[u8]) -> Result<DecodedFrame, Corruption> {
    let at = frame::HEADER_LEN;
    match frame::read(generation, &bytes[at..]) {
        Ok(decoded) if decoded.frame.kind == FrameKind::Snapshot => Ok(decoded),
        Ok(_) => Err(Corruption::Snapshot { at, error: FrameError::Payload }),
        Err(error) => Err(Corruption::Snapshot { at, error }),
    }
}

/// The batch after number `seq`, or `None` where a torn write begins.
fn read_batch(
    generation: u64,
    bytes: &[u8],
    at: usize,
    seq: u64,
) -> Result<Option<DecodedFrame>, Corruption> {
    let error = match frame::read(generation, &bytes[at..]) {
        Ok(decoded) if decoded.frame.kind == FrameKind::Batch && decoded.frame.seq == seq + 1 => {
            return Ok(Some(decoded));
        }
        Ok(decoded) => return Err(Corruption::Order { at, seq, found: decoded.frame.seq }),
        Err(error) => error,
    };
    if error == FrameError::Payload {
        // It was written completely, by a program unknown to this one.
        return Err(Corruption::Batch { at, seq, error, next: at });
    }
    match find_synced_later(generation, bytes, at + 1, seq) {
        Some(next) => Err(Corruption::Batch { at, seq, error, next }),
        None => Ok(None),
    }
}

/// The offset of a valid batch that was written when more than batch `seq` had been synced.
fn find_synced_later(generation: u64, bytes: &[u8], from: usize, seq: u64) -> Option<usize> {
    let offsets = from..bytes.len().saturating_sub(frame::FRAME_HEADER_LEN);
    let candidates = offsets.filter(|at| frame::may_be_batch(bytes, *at, seq + 1..=seq + MAX_BATCHES_AHEAD));
    let synced_later =
        |at: &usize| frame::read(generation, &bytes[*at..]).is_ok_and(|decoded| decoded.frame.synced > seq);
    candidates.into_iter().find(synced_later)
}
