//! Messages in a byte stream: `Content-Length` (RFC 3261, section 18.3) and keep-alive (RFC 5626, section 3.5.1).

use thiserror::Error;

use crate::message::{self, BYTES, Message, MessageError};

/// What a stream brings.
#[derive(Debug, Clone, PartialEq)]
pub enum Framed {
    /// A message.
    Message(Box<Message>),
    /// Two line ends: the other side asks whether we are there; one is to be sent back.
    Ping,
}

/// Why a stream can't be read on. Its connection is to be closed: where the next message begins is not known.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum FramingError {
    /// A message is longer than allowed.
    #[error("a message is longer than {BYTES} bytes")]
    TooLong,
    /// No length; on a stream it must be there.
    #[error("a message without a Content-Length on a stream")]
    NoLength,
    /// It can't be read.
    #[error(transparent)]
    Message(#[from] MessageError),
}

/// Cuts a stream into messages as bytes come.
#[derive(Debug, Default)]
pub struct Framer {
    buf: Vec<u8>,
}

impl Framer {
    /// Takes bytes; what is complete is appended.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<Framed>) -> Result<(), FramingError> {
        self.buf.extend_from_slice(bytes);
        while self.next(out)? {}
        if self.buf.len() > BYTES { Err(FramingError::TooLong) } else { Ok(()) }
    }

    fn next(&mut self, out: &mut Vec<Framed>) -> Result<bool, FramingError> {
        if self.buf.starts_with(b"\r\n\r\n") {
            self.buf.drain(..4);
            out.push(Framed::Ping);
            return Ok(true);
        }
        // One line end is the other side's answer to a ping, or stands before a message (section 7.5). It is taken
        // only when what follows shows which of the two pairs it belongs to.
        if self.buf.len() > 2
            && self.buf.starts_with(b"\r\n")
            && !b"\r\n".starts_with(&self.buf[2..self.buf.len().min(4)])
        {
            self.buf.drain(..2);
            return Ok(true);
        }
        let Some(head) = find(&self.buf, b"\r\n\r\n") else { return Ok(false) };
        if head > BYTES {
            return Err(FramingError::TooLong);
        }
        let length = message::content_length(&self.buf[..head]).ok_or(FramingError::NoLength)?;
        let whole = head + 4 + length;
        if whole > BYTES {
            return Err(FramingError::TooLong);
        }
        if self.buf.len() < whole {
            return Ok(false);
        }
        let message = Message::parse(&self.buf[..whole])?;
        self.buf.drain(..whole);
        out.push(Framed::Message(Box::new(message)));
        Ok(true)
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|w| w == needle)
}
