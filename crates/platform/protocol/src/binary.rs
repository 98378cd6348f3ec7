//! Binary framing of the viewers' protocol.
//!
//! A message is `length:2 type:1 session:8`, followed by parameters `code:1 length:2 value`. Sizes are in bytes, and
//! numbers are big-endian.

use thiserror::Error;

use crate::{CallId, MAX_MESSAGE_BYTES};

/// Size of the length that precedes a message.
const LENGTH_PREFIX_BYTES: usize = 2;
/// Size of the type and the session, which every message has.
const HEADER_BYTES: usize = 9;
/// Size of a parameter's code and length.
const PARAMETER_HEADER_BYTES: usize = 3;

/// Error of decoding a message. The rest of the stream can't be decoded after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The length of the message is less than that of its type and session.
    #[error("a message of {0} bytes is too short")]
    TooShort(usize),
    /// The length of the message exceeds [`MAX_MESSAGE_BYTES`].
    #[error("a message of {0} bytes is too long")]
    TooLong(usize),
    /// A parameter extends past the end of its message.
    #[error("a parameter extends past the end of its message")]
    TruncatedParameter,
    /// Viewers send no messages of this type.
    #[error("unknown message type {0}")]
    UnknownType(u8),
}

/// A parameter of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Parameter {
    /// Code that identifies the parameter.
    pub code: u8,
    /// Value, whose meaning depends on the code.
    pub value: Vec<u8>,
}

/// A message in the binary framing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// Type of the message.
    pub kind: u8,
    /// Session that the message belongs to.
    pub id: CallId,
    /// Parameters in the order of the wire. A code may occur more than once.
    pub parameters: Vec<Parameter>,
}

impl Frame {
    /// Creates a message without parameters.
    pub fn new(kind: u8, id: CallId) -> Self {
        Frame { kind, id, parameters: Vec::new() }
    }

    /// Appends a parameter.
    #[must_use]
    pub fn with(mut self, code: u8, value: impl Into<Vec<u8>>) -> Self {
        self.parameters.push(Parameter { code, value: value.into() });
        self
    }

    /// Encodes the message. Returns `None` if it would exceed [`MAX_MESSAGE_BYTES`].
    pub fn encode(&self) -> Option<Vec<u8>> {
        let parameter_bytes: usize =
            self.parameters.iter().map(|p| PARAMETER_HEADER_BYTES + p.value.len()).sum();
        let length = HEADER_BYTES + parameter_bytes;
        let length_prefix = u16::try_from(length).ok().filter(|_| length <= MAX_MESSAGE_BYTES)?;
        let mut bytes = Vec::with_capacity(LENGTH_PREFIX_BYTES + length);
        bytes.extend_from_slice(&length_prefix.to_be_bytes());
        bytes.push(self.kind);
        bytes.extend_from_slice(&self.id.0.to_be_bytes());
        for parameter in &self.parameters {
            let value_length = u16::try_from(parameter.value.len()).ok()?;
            bytes.push(parameter.code);
            bytes.extend_from_slice(&value_length.to_be_bytes());
            bytes.extend_from_slice(&parameter.value);
        }
        Some(bytes)
    }

    /// Decodes a message without its length prefix.
    fn decode(body: &[u8]) -> Result<Frame, FrameError> {
        let Some((header, mut rest)) = body.split_first_chunk::<HEADER_BYTES>() else {
            return Err(FrameError::TooShort(body.len()));
        };
        let [kind, id @ ..] = *header;
        let mut parameters = Vec::new();
        while let Some((&[code, high, low], tail)) = rest.split_first_chunk::<PARAMETER_HEADER_BYTES>() {
            let length = usize::from(u16::from_be_bytes([high, low]));
            let Some((value, after)) = tail.split_at_checked(length) else {
                return Err(FrameError::TruncatedParameter);
            };
            parameters.push(Parameter { code, value: value.to_vec() });
            rest = after;
        }
        if !rest.is_empty() {
            return Err(FrameError::TruncatedParameter);
        }
        Ok(Frame { kind, id: CallId(u64::from_be_bytes(id)), parameters })
    }
}

/// Incremental decoder that splits a stream of bytes into frames. The stream may arrive in pieces of any size.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: Vec<u8>,
    /// Number of bytes at the start of the buffer that are already decoded.
    consumed: usize,
}

impl FrameDecoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..std::mem::take(&mut self.consumed));
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next frame, or `None` if it is not complete yet.
    ///
    /// # Errors
    ///
    /// Returns a [`FrameError`] if the bytes are not a valid frame. All later calls return it as well.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        let rest = &self.buffer[self.consumed..];
        let Some((&[high, low], after_length)) = rest.split_first_chunk::<LENGTH_PREFIX_BYTES>() else {
            return Ok(None);
        };
        let length = usize::from(u16::from_be_bytes([high, low]));
        if length < HEADER_BYTES {
            return Err(FrameError::TooShort(length));
        }
        if length > MAX_MESSAGE_BYTES {
            return Err(FrameError::TooLong(length));
        }
        let Some(body) = after_length.get(..length) else { return Ok(None) };
        let frame = Frame::decode(body)?;
        self.consumed += LENGTH_PREFIX_BYTES + length;
        if self.consumed == self.buffer.len() {
            // Frees the buffer, so that an idle connection uses no memory.
            *self = FrameDecoder::default();
        }
        Ok(Some(frame))
    }

    /// Returns the number of bytes that are not decoded yet.
    pub fn pending(&self) -> usize {
        self.buffer.len() - self.consumed
    }
}
