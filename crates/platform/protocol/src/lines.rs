//! The framing of media servers: one JSON object a line.

use thiserror::Error;

use crate::MAX_MESSAGE;

/// A line that exceeds [`MAX_MESSAGE`]. The rest of the stream can't be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a line is longer than {MAX_MESSAGE} bytes")]
pub struct LineTooLong;

/// Decodes a stream of bytes, in pieces of any size, into lines.
#[derive(Debug, Default)]
pub struct LineDecoder {
    buffer: Vec<u8>,
    /// Bytes at the start of the buffer that are decoded.
    consumed: usize,
    /// Bytes after those that hold no end of a line, so that none is searched twice.
    searched: usize,
}

impl LineDecoder {
    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..std::mem::take(&mut self.consumed));
        self.buffer.extend_from_slice(bytes);
    }

    /// The next line without its end; none if it is not complete yet.
    ///
    /// # Errors
    ///
    /// [`LineTooLong`] once a line exceeds the bound, whether its end has come or not.
    pub fn next_line(&mut self) -> Result<Option<Vec<u8>>, LineTooLong> {
        let rest = &self.buffer[self.consumed..];
        let Some(offset) = rest[self.searched..].iter().position(|byte| *byte == b'\n') else {
            self.searched = rest.len();
            return if rest.len() > MAX_MESSAGE { Err(LineTooLong) } else { Ok(None) };
        };
        let end = self.searched + offset;
        if end > MAX_MESSAGE {
            return Err(LineTooLong);
        }
        let line = rest[..end].to_vec();
        self.consumed += end + 1;
        self.searched = 0;
        if self.consumed == self.buffer.len() {
            // An idle connection holds no memory.
            *self = LineDecoder::default();
        }
        Ok(Some(line))
    }

    /// Bytes that are not decoded yet.
    pub fn pending(&self) -> usize {
        self.buffer.len() - self.consumed
    }
}
