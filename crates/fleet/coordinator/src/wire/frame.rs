//! Frames of messages and datagrams. A frame is a header with magic, version, fleet, length and CRC-32, and a body in postcard's
//! encoding. All integers of the header are big-endian.

use std::io::{self, Read};

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Maximum size of a body, bytes.
pub const MAX_BODY_BYTES: usize = 1 << 20;
/// Maximum size of a datagram between members including its header, bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_432;
/// Size of the header, bytes: magic 4, version 2, fleet 8, length 4, checksum 4.
pub(crate) const HEADER_BYTES: usize = 22;
/// Version of the protocol. Version 2 transfers snapshots in chunks and replicates topics.
const VERSION: u16 = 2;

/// Reason why a message could not be read.
#[derive(Debug, Error)]
pub enum WireError {
    /// The connection failed or ended.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The magic or the version of the protocol differs.
    #[error("message has an unknown magic or protocol version")]
    Version,
    /// The message is for another fleet.
    #[error("message is for another fleet")]
    Fleet,
    /// The length is above the maximum.
    #[error("message of {0} bytes is too long")]
    TooLong(usize),
    /// The checksum differs, or the body can't be decoded.
    #[error("message is malformed")]
    Malformed,
}

impl WireError {
    /// Returns whether the message was received and rejected. Otherwise the connection failed.
    pub fn is_rejection(&self) -> bool {
        !matches!(self, WireError::Io(_))
    }
}

/// Encodes a value and prepends the header. Returns `None` if the body is longer than `max_body_bytes`.
pub(crate) fn write_frame(
    magic: [u8; 4],
    fleet: u64,
    value: &impl Serialize,
    max_body_bytes: usize,
) -> Option<Vec<u8>> {
    let body = postcard::to_allocvec(value).ok().filter(|body| body.len() <= max_body_bytes)?;
    Some(frame_body(magic, fleet, &body))
}

/// Prepends the header to an encoded body.
pub(super) fn frame_body(magic: [u8; 4], fleet: u64, body: &[u8]) -> Vec<u8> {
    #[expect(clippy::cast_possible_truncation, reason = "a body has 1 MiB at most")]
    let length = body.len() as u32;
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.extend_from_slice(&magic);
    frame.extend_from_slice(&VERSION.to_be_bytes());
    frame.extend_from_slice(&fleet.to_be_bytes());
    frame.extend_from_slice(&length.to_be_bytes());
    frame.extend_from_slice(&crc32fast::hash(body).to_be_bytes());
    frame.extend_from_slice(body);
    frame
}

/// Reads the next `N` bytes.
fn read_array<const N: usize>(from: &mut impl Read) -> io::Result<[u8; N]> {
    let mut bytes = [0; N];
    from.read_exact(&mut bytes)?;
    Ok(bytes)
}

/// The valid header of a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct FrameHeader {
    /// Length of the body, bytes.
    pub body_bytes: usize,
    checksum: u32,
}

/// Reads one frame and decodes its body.
///
/// # Errors
/// Returns an error if reading failed or the message was rejected. The position in the stream is undefined then.
pub(crate) fn read_frame<T: DeserializeOwned>(
    magic: [u8; 4],
    fleet: u64,
    from: &mut impl Read,
) -> Result<T, WireError> {
    let header = read_header(magic, fleet, from)?;
    read_body(header, from)
}

/// Reads the header of a frame.
///
/// # Errors
/// Returns an error if reading failed or the header is not valid. The position in the stream is undefined then.
pub(super) fn read_header(
    magic: [u8; 4],
    fleet: u64,
    from: &mut impl Read,
) -> Result<FrameHeader, WireError> {
    let header: [u8; HEADER_BYTES] = read_array(from)?;
    let mut fields = &header[..];
    if read_array(&mut fields)? != magic || u16::from_be_bytes(read_array(&mut fields)?) != VERSION {
        return Err(WireError::Version);
    }
    if u64::from_be_bytes(read_array(&mut fields)?) != fleet {
        return Err(WireError::Fleet);
    }
    let length = u32::from_be_bytes(read_array(&mut fields)?) as usize;
    let checksum = u32::from_be_bytes(read_array(&mut fields)?);
    if length > MAX_BODY_BYTES {
        return Err(WireError::TooLong(length));
    }
    Ok(FrameHeader { body_bytes: length, checksum })
}

/// Reads and decodes the body that follows a header.
///
/// # Errors
/// Returns an error if reading failed or the message was rejected. The position in the stream is undefined then.
pub(super) fn read_body<T: DeserializeOwned>(
    header: FrameHeader,
    from: &mut impl Read,
) -> Result<T, WireError> {
    let mut body = vec![0; header.body_bytes];
    from.read_exact(&mut body)?;
    if crc32fast::hash(&body) != header.checksum {
        return Err(WireError::Malformed);
    }
    postcard::from_bytes(&body).map_err(|_| WireError::Malformed)
}
