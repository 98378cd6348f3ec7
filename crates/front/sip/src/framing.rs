//! Framing of messages in a byte stream: `Content-Length` (RFC 3261, section 18.3) and keep-alive (RFC 5626, section 3.5.1).

use thiserror::Error;

use crate::message::{self, MAX_MESSAGE_BYTES, Message, MessageError};

/// Item received on a stream.
#[derive(Debug, Clone, PartialEq)]
pub enum Framed {
    /// A complete message.
    Message(Box<Message>),
    /// Keep-alive of two line ends, which is to be answered by one line end.
    Ping,
}

/// Reason why a stream can't be read further.
///
/// The start of the next message is unknown, so the connection must be closed.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum FramingError {
    /// A message is longer than [`MAX_MESSAGE_BYTES`].
    #[error("message exceeds {MAX_MESSAGE_BYTES} bytes")]
    TooLong,
    /// A message has no valid `Content-Length`, which is mandatory on a stream.
    #[error("message on a stream has no valid Content-Length")]
    NoLength,
    /// A message is malformed.
    #[error(transparent)]
    Message(#[from] MessageError),
}

/// Splits a byte stream into messages.
#[derive(Debug, Default)]
pub struct Framer {
    buffer: Vec<u8>,
}

impl Framer {
    /// Adds received bytes and appends the items that are complete.
    ///
    /// # Errors
    /// Returns an error if a message exceeds its limit, has no length or is malformed.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<Framed>) -> Result<(), FramingError> {
        self.buffer.extend_from_slice(bytes);
        while self.next(out)? {}
        if self.buffer.len() > MAX_MESSAGE_BYTES { Err(FramingError::TooLong) } else { Ok(()) }
    }

    fn next(&mut self, out: &mut Vec<Framed>) -> Result<bool, FramingError> {
        if self.buffer.starts_with(b"\r\n\r\n") {
            self.buffer.drain(..4);
            out.push(Framed::Ping);
            return Ok(true);
        }
        // A single line end is the peer's answer to a keep-alive, or precedes a message (section 7.5). It is consumed only
        // when the bytes that follow show that it doesn't begin a keep-alive.
        if self.buffer.len() > 2
            && self.buffer.starts_with(b"\r\n")
            && !b"\r\n".starts_with(&self.buffer[2..self.buffer.len().min(4)])
        {
            self.buffer.drain(..2);
            return Ok(true);
        }
        let Some(head) = find(&self.buffer, b"\r\n\r\n") else { return Ok(false) };
        if head > MAX_MESSAGE_BYTES {
            return Err(FramingError::TooLong);
        }
        let length = message::content_length(&self.buffer[..head]).ok_or(FramingError::NoLength)?;
        let total = head + 4 + length;
        if total > MAX_MESSAGE_BYTES {
            return Err(FramingError::TooLong);
        }
        if self.buffer.len() < total {
            return Ok(false);
        }
        let message = Message::parse(&self.buffer[..total])?;
        self.buffer.drain(..total);
        out.push(Framed::Message(Box::new(message)));
        Ok(true)
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|w| w == needle)
}
