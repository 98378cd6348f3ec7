//! The encoding of a generation, without I/O. All numbers are little-endian.
//!
//! | offset | bytes | content |
//! | --- | --- | --- |
//! | 0 | 8 | `BLSTORE` and a zero byte |
//! | 8 | 2 | version of the format, 1 |
//! | 10 | 8 | number of the generation |
//! | 18 | 4 | CRC-32 of the bytes before |
//!
//! Frames follow:
//!
//! | offset | bytes | content |
//! | --- | --- | --- |
//! | 0 | 4 | length of the payload |
//! | 4 | 1 | 1: a snapshot of the whole state, the first frame of a generation and no other; 2: a batch |
//! | 5 | 8 | number of the batch; a snapshot has that of the last batch in it |
//! | 13 | 8 | number of the last batch that was synced when this was written |
//! | 21 | 4 | CRC-32 of the generation's number, the 21 bytes before, and the payload |
//! | 25 | n | operations (postcard) |

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The first bytes of a generation.
pub const MAGIC: [u8; 8] = *b"BLSTORE\0";
/// The version of the format that is written.
pub const VERSION: u16 = 1;
/// Length of a generation's header, bytes.
pub const HEADER_LEN: usize = 22;
/// Length of a frame's header, bytes.
pub const FRAME_HEADER_LEN: usize = 25;
/// Maximum length of a payload, bytes.
pub const MAX_PAYLOAD_LEN: usize = 256 << 20;
/// Offset of the checksum in a generation's header.
const HEADER_CHECKSUM_AT: usize = 18;
/// Offset of the checksum in a frame's header.
const FRAME_CHECKSUM_AT: usize = 21;

/// The number of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Table(pub u8);

/// A change of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Op {
    /// The table.
    pub table: Table,
    /// The key.
    pub key: Vec<u8>,
    /// The new value, or `None` to remove the entry. Shared with the state that it goes into.
    pub value: Option<Arc<[u8]>>,
}

/// The kind of a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameKind {
    /// A snapshot of the whole state.
    Snapshot,
    /// A batch.
    Batch,
}

impl FrameKind {
    fn to_byte(self) -> u8 {
        match self {
            FrameKind::Snapshot => 1,
            FrameKind::Batch => 2,
        }
    }

    fn from_byte(byte: u8) -> Option<FrameKind> {
        match byte {
            1 => Some(FrameKind::Snapshot),
            2 => Some(FrameKind::Batch),
            _ => None,
        }
    }
}

/// A frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// Its kind.
    pub kind: FrameKind,
    /// The number of the batch.
    pub seq: u64,
    /// The number of the last batch that was synced before it was written.
    pub synced: u64,
    /// Its changes.
    pub ops: Vec<Op>,
}

/// A frame that was read, with its length.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodedFrame {
    /// The frame.
    pub frame: Frame,
    /// Its length, bytes.
    pub length: usize,
}

/// A frame that is too long to be written.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
#[error("more than {MAX_PAYLOAD_LEN} bytes in one frame")]
pub struct FrameTooLong;

/// Why bytes are no valid frame.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
pub enum FrameError {
    /// There are fewer bytes than the frame has.
    #[error("cut short")]
    Truncated,
    /// Its checksum does not match, or its header is invalid.
    #[error("its checksum does not fit")]
    Checksum,
    /// The checksum matches and yet the payload can't be decoded: another program wrote it.
    #[error("its operations make no sense")]
    Payload,
}

/// Why bytes are no valid header of a generation.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
pub enum HeaderError {
    /// There are fewer bytes than a header has.
    #[error("cut short")]
    Truncated,
    /// Not a store's file.
    #[error("not a store's file")]
    Magic,
    /// Its checksum does not match.
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

/// The header of a generation.
pub fn header(generation: u64) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEADER_LEN);
    out.extend(MAGIC);
    out.extend(VERSION.to_le_bytes());
    out.extend(generation.to_le_bytes());
    out.extend(crc32fast::hash(&out).to_le_bytes());
    out
}

/// Reads a header; the number of its generation.
///
/// # Errors
/// The bytes are no valid header.
pub fn read_header(bytes: &[u8]) -> Result<u64, HeaderError> {
    let header = bytes.get(..HEADER_LEN).ok_or(HeaderError::Truncated)?;
    if header[..MAGIC.len()] != MAGIC {
        return Err(HeaderError::Magic);
    }
    let checksum = crc32fast::hash(&header[..HEADER_CHECKSUM_AT]);
    if u32_at(header, HEADER_CHECKSUM_AT) != Some(checksum) {
        return Err(HeaderError::Checksum);
    }
    let version = u16::from_le_bytes([header[8], header[9]]);
    if version != VERSION {
        return Err(HeaderError::Version(version));
    }
    u64_at(header, 10).ok_or(HeaderError::Truncated)
}

/// The generation is part of the checksum, so that a frame that a disk brings back from an older file does not match.
fn checksum(generation: u64, header: &[u8], payload: &[u8]) -> u32 {
    let mut crc = crc32fast::Hasher::new();
    crc.update(&generation.to_le_bytes());
    crc.update(header);
    crc.update(payload);
    crc.finalize()
}

/// Appends a frame.
///
/// # Errors
/// The payload would be longer than [`MAX_PAYLOAD_LEN`]; nothing is appended then.
pub fn write(
    generation: u64,
    kind: FrameKind,
    seq: u64,
    synced: u64,
    ops: &[Op],
    out: &mut Vec<u8>,
) -> Result<(), FrameTooLong> {
    let payload = postcard::to_allocvec(ops).map_err(|_| FrameTooLong)?;
    if payload.len() > MAX_PAYLOAD_LEN {
        return Err(FrameTooLong);
    }
    let length = u32::try_from(payload.len()).map_err(|_| FrameTooLong)?;
    let begin = out.len();
    out.extend(length.to_le_bytes());
    out.push(kind.to_byte());
    out.extend(seq.to_le_bytes());
    out.extend(synced.to_le_bytes());
    let crc = checksum(generation, &out[begin..], &payload);
    out.extend(crc.to_le_bytes());
    out.extend(payload);
    Ok(())
}

/// Reads the frame at the beginning of the bytes.
///
/// # Errors
/// The bytes do not begin with a valid frame of the generation.
pub fn read(generation: u64, bytes: &[u8]) -> Result<DecodedFrame, FrameError> {
    let header = bytes.get(..FRAME_HEADER_LEN).ok_or(FrameError::Truncated)?;
    let length = u32_at(header, 0).ok_or(FrameError::Truncated)? as usize;
    let kind = FrameKind::from_byte(header[4]).ok_or(FrameError::Checksum)?;
    if length > MAX_PAYLOAD_LEN {
        return Err(FrameError::Checksum);
    }
    let end = FRAME_HEADER_LEN + length;
    let payload = bytes.get(FRAME_HEADER_LEN..end).ok_or(FrameError::Truncated)?;
    let expected = checksum(generation, &header[..FRAME_CHECKSUM_AT], payload);
    if u32_at(header, FRAME_CHECKSUM_AT) != Some(expected) {
        return Err(FrameError::Checksum);
    }
    let seq = u64_at(header, 5).ok_or(FrameError::Truncated)?;
    let synced = u64_at(header, 13).ok_or(FrameError::Truncated)?;
    let ops = postcard::from_bytes(payload).map_err(|_| FrameError::Payload)?;
    Ok(DecodedFrame { frame: Frame { kind, seq, synced, ops }, length: end })
}

/// Whether the bytes at an offset look like a batch whose number is in the range. Most offsets fail here, before any checksum.
pub(crate) fn may_be_batch(bytes: &[u8], at: usize, numbers: std::ops::RangeInclusive<u64>) -> bool {
    bytes.get(at + 4).copied() == Some(FrameKind::Batch.to_byte())
        && u64_at(bytes, at + 5).is_some_and(|seq| numbers.contains(&seq))
}
