//! The binary framing of viewers: `length:2 type:1 session:8`, then parameters `code:1 length:2 value`, all big-endian.

use thiserror::Error;

use crate::{CallId, MAX_MESSAGE};

/// Bytes of the length that precedes a message.
const LENGTH_PREFIX: usize = 2;
/// Bytes of type and session, which every message has.
const HEADER: usize = 9;
/// Bytes of a parameter's code and length.
const PARAMETER_HEADER: usize = 3;

/// Why bytes are no message. The rest of the stream can't be decoded after any of these.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The stated length does not cover type and session.
    #[error("a message of {0} bytes is too short")]
    TooShort(usize),
    /// The stated length is above [`MAX_MESSAGE`].
    #[error("a message of {0} bytes is too long")]
    TooLong(usize),
    /// A parameter extends past the end of its message.
    #[error("a parameter extends past the end of its message")]
    TruncatedParameter,
    /// No message of a viewer has this type.
    #[error("unknown message type {0}")]
    UnknownType(u8),
}

/// A parameter of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Parameter {
    /// What it is.
    pub code: u8,
    /// Its value, which the code gives a meaning.
    pub value: Vec<u8>,
}

/// A message as framed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// The message's type.
    pub kind: u8,
    /// The session that it is about.
    pub id: CallId,
    /// The parameters in the order of the wire; a code may repeat.
    pub parameters: Vec<Parameter>,
}

impl Frame {
    /// A message without parameters.
    pub fn new(kind: u8, id: CallId) -> Self {
        Frame { kind, id, parameters: Vec::new() }
    }

    /// The message with one more parameter.
    #[must_use]
    pub fn with(mut self, code: u8, value: impl Into<Vec<u8>>) -> Self {
        self.parameters.push(Parameter { code, value: value.into() });
        self
    }

    /// The bytes on the wire; none if they would exceed [`MAX_MESSAGE`].
    pub fn encode(&self) -> Option<Vec<u8>> {
        let parameters: usize = self.parameters.iter().map(|p| PARAMETER_HEADER + p.value.len()).sum();
        let length = HEADER + parameters;
        let stated = u16::try_from(length).ok().filter(|_| length <= MAX_MESSAGE)?;
        let mut bytes = Vec::with_capacity(LENGTH_PREFIX + length);
        bytes.extend_from_slice(&stated.to_be_bytes());
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

    fn decode(body: &[u8]) -> Result<Frame, FrameError> {
        let Some((header, mut rest)) = body.split_first_chunk::<HEADER>() else {
            return Err(FrameError::TooShort(body.len()));
        };
        let [kind, id @ ..] = *header;
        let mut parameters = Vec::new();
        while let Some((&[code, high, low], tail)) = rest.split_first_chunk::<PARAMETER_HEADER>() {
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

/// Decodes a stream of bytes, in pieces of any size, into frames.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: Vec<u8>,
    /// Bytes at the start of the buffer that are decoded.
    consumed: usize,
}

impl FrameDecoder {
    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..std::mem::take(&mut self.consumed));
        self.buffer.extend_from_slice(bytes);
    }

    /// The next frame; none if it is not complete yet.
    ///
    /// # Errors
    ///
    /// A [`FrameError`] for bytes that are no frame, each time from then on.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        let rest = &self.buffer[self.consumed..];
        let Some((&[high, low], after_length)) = rest.split_first_chunk::<LENGTH_PREFIX>() else {
            return Ok(None);
        };
        let length = usize::from(u16::from_be_bytes([high, low]));
        if length < HEADER {
            return Err(FrameError::TooShort(length));
        }
        if length > MAX_MESSAGE {
            return Err(FrameError::TooLong(length));
        }
        let Some(body) = after_length.get(..length) else { return Ok(None) };
        let frame = Frame::decode(body)?;
        self.consumed += LENGTH_PREFIX + length;
        if self.consumed == self.buffer.len() {
            // An idle connection holds no memory.
            *self = FrameDecoder::default();
        }
        Ok(Some(frame))
    }

    /// Bytes that are not decoded yet.
    pub fn pending(&self) -> usize {
        self.buffer.len() - self.consumed
    }
}
