//! Encoding of a generation's header and frames, without I/O. All numbers are little-endian.
//!
//! A generation begins with a header:
//!
//! | offset | bytes | content |
//! | --- | --- | --- |
//! | 0 | 8 | `BLSTORE` and a zero byte |
//! | 8 | 2 | version of the format, 1 |
//! | 10 | 8 | number of the generation |
//! | 18 | 4 | CRC-32 of the bytes before |
//!
//! One or more frames follow the header:
//!
//! | offset | bytes | content |
//! | --- | --- | --- |
//! | 0 | 4 | length of the payload |
//! | 4 | 1 | 1: a snapshot of the whole state, the first frame of a generation and no other; 2: a batch |
//! | 5 | 8 | number of the batch; for a snapshot, the number of the last batch that it contains |
//! | 13 | 8 | number of the last batch that was synced when the frame was written |
//! | 21 | 4 | CRC-32 of the generation's number, the 21 bytes before, and the payload |
//! | 25 | n | operations (postcard) |

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The first bytes of a generation.
pub const MAGIC: [u8; 8] = *b"BLSTORE\0";
/// Version of the format.
pub const VERSION: u16 = 1;
/// Length of a generation's header, bytes.
pub const HEADER_LEN: usize = 22;
/// Length of a frame's header, bytes.
pub const FRAME_HEADER_LEN: usize = 25;
/// Maximum length of a payload, bytes.
pub const MAX_PAYLOAD_LEN: usize = 256 << 20;
/// Offset of the checksum in a generation's header.
const HEADER_CHECKSUM_OFFSET: usize = 18;
/// Offset of the checksum in a frame's header.
const FRAME_CHECKSUM_OFFSET: usize = 21;

/// Number of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Table(pub u8);

/// A change of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Op {
    /// The table.
    pub table: Table,
    /// The key.
    pub key: Vec<u8>,
    /// The new value, or `None` to remove the entry. It is shared with the state that the operation is applied to.
    pub value: Option<Arc<[u8]>>,
}

/// The kind of a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameKind {
    /// A snapshot of the whole state.
    Snapshot,
    /// A batch of changes.
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

/// A decoded frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// Kind of the frame.
    pub kind: FrameKind,
    /// Number of the batch. For a snapshot, the number of the last batch that it contains.
    pub seq: u64,
    /// Number of the last batch that was synced when the frame was written.
    pub synced: u64,
    /// Changes of the batch, or the operations that build the state of the snapshot from an empty one.
    pub ops: Vec<Op>,
}

/// A decoded frame and its encoded length.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodedFrame {
    /// The frame.
    pub frame: Frame,
    /// Length of the encoded frame, bytes.
    pub len: usize,
}

/// Error of encoding a frame whose payload exceeds [`MAX_PAYLOAD_LEN`].
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
#[error("frame payload is longer than {MAX_PAYLOAD_LEN} bytes")]
pub struct FrameTooLong;

/// Error of decoding a frame.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
pub enum FrameError {
    /// The input ends before the frame does.
    #[error("frame is truncated")]
    Truncated,
    /// The checksum does not match, or the frame's header is invalid.
    #[error("frame checksum does not match")]
    Checksum,
    /// The checksum matches, but the payload can't be decoded or the frame is of an unexpected kind. An incompatible program
    /// wrote it.
    #[error("frame payload is invalid")]
    Payload,
}

/// Error of decoding a generation's header.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
pub enum HeaderError {
    /// The input is shorter than a header.
    #[error("header is truncated")]
    Truncated,
    /// The first bytes are not [`MAGIC`].
    #[error("not a file of a store")]
    Magic,
    /// The checksum does not match.
    #[error("header checksum does not match")]
    Checksum,
    /// The format has a version that this program does not support.
    #[error("unsupported format version {0}; the supported version is {VERSION}")]
    Version(u16),
}

fn u64_at(bytes: &[u8], offset: usize) -> Option<u64> {
    Some(u64::from_le_bytes(bytes.get(offset..offset + 8)?.try_into().ok()?))
}

fn u32_at(bytes: &[u8], offset: usize) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.get(offset..offset + 4)?.try_into().ok()?))
}

/// Encodes the header of a generation.
pub fn encode_header(generation: u64) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEADER_LEN);
    out.extend(MAGIC);
    out.extend(VERSION.to_le_bytes());
    out.extend(generation.to_le_bytes());
    out.extend(crc32fast::hash(&out).to_le_bytes());
    out
}

/// Decodes a header and returns the number of the generation.
///
/// # Errors
/// Returns an error if the input does not begin with a valid header.
pub fn decode_header(bytes: &[u8]) -> Result<u64, HeaderError> {
    let header = bytes.get(..HEADER_LEN).ok_or(HeaderError::Truncated)?;
    if header[..MAGIC.len()] != MAGIC {
        return Err(HeaderError::Magic);
    }
    let checksum = crc32fast::hash(&header[..HEADER_CHECKSUM_OFFSET]);
    if u32_at(header, HEADER_CHECKSUM_OFFSET) != Some(checksum) {
        return Err(HeaderError::Checksum);
    }
    let version = u16::from_le_bytes([header[8], header[9]]);
    if version != VERSION {
        return Err(HeaderError::Version(version));
    }
    u64_at(header, 10).ok_or(HeaderError::Truncated)
}

/// Computes the checksum of a frame.
///
/// The checksum covers the generation's number, so that a frame of an older file does not match if its disk block is reused.
fn checksum(generation: u64, header: &[u8], payload: &[u8]) -> u32 {
    let mut crc = crc32fast::Hasher::new();
    crc.update(&generation.to_le_bytes());
    crc.update(header);
    crc.update(payload);
    crc.finalize()
}

/// Encodes a frame and appends it to `out`.
///
/// # Errors
/// Returns an error, with `out` unchanged, if the payload would exceed [`MAX_PAYLOAD_LEN`].
pub fn encode(
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
    let payload_len = u32::try_from(payload.len()).map_err(|_| FrameTooLong)?;
    let start = out.len();
    out.extend(payload_len.to_le_bytes());
    out.push(kind.to_byte());
    out.extend(seq.to_le_bytes());
    out.extend(synced.to_le_bytes());
    let crc = checksum(generation, &out[start..], &payload);
    out.extend(crc.to_le_bytes());
    out.extend(payload);
    Ok(())
}

/// Decodes the frame at the beginning of the input.
///
/// # Errors
/// Returns an error if the input does not begin with a valid frame of the generation.
pub fn decode(generation: u64, bytes: &[u8]) -> Result<DecodedFrame, FrameError> {
    let header = bytes.get(..FRAME_HEADER_LEN).ok_or(FrameError::Truncated)?;
    let payload_len = u32_at(header, 0).ok_or(FrameError::Truncated)? as usize;
    let kind = FrameKind::from_byte(header[4]).ok_or(FrameError::Checksum)?;
    if payload_len > MAX_PAYLOAD_LEN {
        return Err(FrameError::Checksum);
    }
    let end = FRAME_HEADER_LEN + payload_len;
    let payload = bytes.get(FRAME_HEADER_LEN..end).ok_or(FrameError::Truncated)?;
    let expected = checksum(generation, &header[..FRAME_CHECKSUM_OFFSET], payload);
    if u32_at(header, FRAME_CHECKSUM_OFFSET) != Some(expected) {
        return Err(FrameError::Checksum);
    }
    let seq = u64_at(header, 5).ok_or(FrameError::Truncated)?;
    let synced = u64_at(header, 13).ok_or(FrameError::Truncated)?;
    let ops = postcard::from_bytes(payload).map_err(|_| FrameError::Payload)?;
    Ok(DecodedFrame { frame: Frame { kind, seq, synced, ops }, len: end })
}

/// Returns whether the bytes at `offset` may be a batch whose number is in the range. The test rejects most offsets without the
/// cost of a checksum.
pub(crate) fn may_be_batch(bytes: &[u8], offset: usize, numbers: std::ops::RangeInclusive<u64>) -> bool {
    bytes.get(offset + 4).copied() == Some(FrameKind::Batch.to_byte())
        && u64_at(bytes, offset + 5).is_some_and(|seq| numbers.contains(&seq))
}
