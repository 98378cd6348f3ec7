//! Line framing of the media servers' protocol: each line is one JSON object.

use thiserror::Error;

use crate::MAX_MESSAGE_BYTES;

/// Error for a line that exceeds [`MAX_MESSAGE_BYTES`]. The rest of the stream can't be decoded after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a line is longer than {MAX_MESSAGE_BYTES} bytes")]
pub struct LineTooLong;

/// Incremental decoder that splits a stream of bytes into lines. The stream may arrive in pieces of any size.
#[derive(Debug, Default)]
pub struct LineDecoder {
    buffer: Vec<u8>,
    /// Number of bytes at the start of the buffer that are already decoded.
    consumed: usize,
    /// Number of bytes after those that are known to contain no line feed, so that no byte is searched twice.
    searched: usize,
}

impl LineDecoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..std::mem::take(&mut self.consumed));
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next line without its line feed, or `None` if it is not complete yet.
    ///
    /// # Errors
    ///
    /// Returns [`LineTooLong`] as soon as a line exceeds [`MAX_MESSAGE_BYTES`], even if its end was not received yet.
    pub fn next_line(&mut self) -> Result<Option<Vec<u8>>, LineTooLong> {
        let rest = &self.buffer[self.consumed..];
        let Some(offset) = rest[self.searched..].iter().position(|byte| *byte == b'\n') else {
            self.searched = rest.len();
            return if rest.len() > MAX_MESSAGE_BYTES { Err(LineTooLong) } else { Ok(None) };
        };
        let end = self.searched + offset;
        if end > MAX_MESSAGE_BYTES {
            return Err(LineTooLong);
        }
        let line = rest[..end].to_vec();
        self.consumed += end + 1;
        self.searched = 0;
        if self.consumed == self.buffer.len() {
            // Frees the buffer, so that an idle connection uses no memory.
            *self = LineDecoder::default();
        }
        Ok(Some(line))
    }

    /// Returns the number of bytes that are not decoded yet.
    pub fn pending(&self) -> usize {
        self.buffer.len() - self.consumed
    }
}
