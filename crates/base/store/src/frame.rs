//! The bytes of a generation, without I/O. All numbers are little-endian.
//!
//! | offset | bytes | what |
//! | --- | --- | --- |
//! | 0 | 8 | `BLSTORE` and a zero |
//! | 8 | 2 | version of the format, 1 |
//! | 10 | 8 | number of the generation |
//! | 18 | 4 | CRC-32 of the bytes before |
//!
//! Frames follow:
//!
//! | offset | bytes | what |
//! | --- | --- | --- |
//! | 0 | 4 | length of the payload |
//! | 4 | 1 | 1: the whole state, the first frame of a generation and no other; 2: a batch |
//! | 5 | 8 | number of the batch; a whole state has that of the last batch in it |
//! | 13 | 8 | number of the last batch that was synced when this was written |
//! | 21 | 4 | CRC-32 of the generation's number, the 21 bytes before, and the payload |
//! | 25 | n | operations (postcard) |

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// What a generation begins with.
pub const MAGIC: [u8; 8] = *b"BLSTORE\0";
/// The version that is written.
pub const VERSION: u16 = 1;
/// Bytes of the head.
pub const HEAD: usize = 22;
/// Bytes of a frame before its payload.
pub const FRAME: usize = 25;
/// Longest payload, bytes.
pub const PAYLOAD: usize = 256 << 20;

/// A table, by number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Table(pub u8);

/// One change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Op {
    /// In which table.
    pub table: Table,
    /// Of which key.
    pub key: Vec<u8>,
    /// Its value from now on; none: it is removed. Shared with the state that it goes into.
    pub value: Option<Arc<[u8]>>,
}

/// What a frame is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The whole state.
    Whole,
    /// A batch.
    Batch,
}

/// A frame that was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// What it is.
    pub kind: Kind,
    /// The number of the batch.
    pub seq: u64,
    /// The last batch that was synced before it was written.
    pub synced: u64,
    /// What it does.
    pub ops: Vec<Op>,
}

/// Why bytes are no frame.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// There are fewer bytes than a frame has.
    #[error("cut short")]
    Short,
    /// Its checksum does not fit, or its numbers make no sense.
    #[error("its checksum does not fit")]
    Checksum,
    /// The checksum fits, and yet it can't be read: another program wrote it.
    #[error("its operations make no sense")]
    Payload,
}

/// Why a head is none.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
pub enum HeadFault {
    /// There are fewer bytes than a head has.
    #[error("cut short")]
    Short,
    /// Not a store's file.
    #[error("not a store's file")]
    Magic,
    /// Its checksum does not fit.
    #[error("its checksum does not fit")]
    Checksum,
    /// A later program wrote it.
    #[error("its format is of version {0}, and this program reads up to {VERSION}")]
    Version(u16),
}

fn u64_at(bytes: &[u8], at: usize) -> Option<u64> {
    Some(u64::from_le_bytes(bytes.get(at..at + 8)?.try_into().ok()?))
}

fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?))
}

/// The head of a generation.
pub fn head(generation: u64) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEAD);
    out.extend(MAGIC);
    out.extend(VERSION.to_le_bytes());
    out.extend(generation.to_le_bytes());
    out.extend(crc32fast::hash(&out).to_le_bytes());
    out
}

/// The generation that a head names.
pub fn read_head(bytes: &[u8]) -> Result<u64, HeadFault> {
    let head = bytes.get(..HEAD).ok_or(HeadFault::Short)?;
    if head[..8] != MAGIC {
        return Err(HeadFault::Magic);
    }
    if u32_at(head, 18) != Some(crc32fast::hash(&head[..18])) {
        return Err(HeadFault::Checksum);
    }
    let version = u16::from_le_bytes([head[8], head[9]]);
    if version != VERSION {
        return Err(HeadFault::Version(version));
    }
    u64_at(head, 10).ok_or(HeadFault::Short)
}

/// The generation is part of the checksum: a frame that a disk brings back from an older file is none of this one.
fn checksum(generation: u64, head: &[u8], payload: &[u8]) -> u32 {
    let mut crc = crc32fast::Hasher::new();
    crc.update(&generation.to_le_bytes());
    crc.update(head);
    crc.update(payload);
    crc.finalize()
}

/// Appends a frame; none: it would be longer than is read.
pub fn write(
    generation: u64,
    kind: Kind,
    seq: u64,
    synced: u64,
    ops: &[Op],
    out: &mut Vec<u8>,
) -> Option<()> {
    let payload = postcard::to_allocvec(ops).ok().filter(|p| p.len() <= PAYLOAD)?;
    let begin = out.len();
    out.extend((payload.len() as u32).to_le_bytes());
    out.push(if kind == Kind::Whole { 1 } else { 2 });
    out.extend(seq.to_le_bytes());
    out.extend(synced.to_le_bytes());
    let crc = checksum(generation, &out[begin..], &payload);
    out.extend(crc.to_le_bytes());
    out.extend(payload);
    Some(())
}

/// The frame at the beginning of bytes, and how many it takes.
pub fn read(generation: u64, bytes: &[u8]) -> Result<(Frame, usize), Fault> {
    let head = bytes.get(..FRAME).ok_or(Fault::Short)?;
    let length = u32_at(head, 0).ok_or(Fault::Short)? as usize;
    let kind = match head[4] {
        1 => Kind::Whole,
        2 => Kind::Batch,
        _ => return Err(Fault::Checksum),
    };
    if length > PAYLOAD {
        return Err(Fault::Checksum);
    }
    let payload = bytes.get(FRAME..FRAME + length).ok_or(Fault::Short)?;
    if u32_at(head, 21) != Some(checksum(generation, &head[..21], payload)) {
        return Err(Fault::Checksum);
    }
    let seq = u64_at(head, 5).ok_or(Fault::Short)?;
    let synced = u64_at(head, 13).ok_or(Fault::Short)?;
    let ops = postcard::from_bytes(payload).map_err(|_| Fault::Payload)?;
    Ok((Frame { kind, seq, synced, ops }, FRAME + length))
}
