//! Framing of message bodies (RFC 9112, section 6): a decoder without I/O.

use http::{HeaderMap, header};
use thiserror::Error;

/// Why a body can't be decoded.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// `Content-Length` is not one number.
    #[error("Content-Length is not one number")]
    Length,
    /// Both a length and a transfer coding, as used in request smuggling.
    #[error("both Content-Length and Transfer-Encoding")]
    Both,
    /// A transfer coding other than `chunked`.
    #[error("a transfer coding other than chunked")]
    Coding,
    /// A chunk's size line or end is malformed.
    #[error("a malformed chunk")]
    Chunk,
    /// Longer than allowed.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
}

/// The framing of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// A number of bytes.
    Length(u64),
    /// Chunks.
    Chunked,
    /// Until the connection closes; responses only.
    Close,
}

/// The framing that a message's header fields declare, if any.
///
/// # Errors
/// The fields are malformed or contradictory.
pub fn framing(headers: &HeaderMap) -> Result<Option<Framing>, BodyError> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    match (codings.next(), lengths.next()) {
        (Some(_), Some(_)) => Err(BodyError::Both),
        (Some(coding), None) => {
            let chunked = coding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked");
            if chunked && codings.next().is_none() {
                Ok(Some(Framing::Chunked))
            } else {
                Err(BodyError::Coding)
            }
        }
        (None, Some(length)) => {
            let text = length.to_str().map_err(|_| BodyError::Length)?.trim();
            let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
            if !digits || lengths.any(|other| other != length) {
                return Err(BodyError::Length);
            }
            text.parse().map(|n| Some(Framing::Length(n))).map_err(|_| BodyError::Length)
        }
        (None, None) => Ok(None),
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Data(u64),
    UntilClose,
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    Done,
}

/// Maximum length of a chunk's size line, with extensions, and of a trailer line.
const MAX_LINE_LEN: usize = 256;
/// Maximum number of trailer lines, which are ignored.
const MAX_TRAILERS: u32 = 16;

/// Extracts a body from a buffer as its bytes arrive.
#[derive(Debug, Clone)]
pub struct Decoder {
    state: State,
    left: usize,
    limit: usize,
    trailers: u32,
}

impl Decoder {
    /// A decoder for a body of at most `limit` bytes.
    ///
    /// # Errors
    /// The declared length exceeds the limit.
    pub fn new(framing: Framing, limit: usize) -> Result<Self, BodyError> {
        let state = match framing {
            Framing::Length(n) if n > limit as u64 => return Err(BodyError::TooLong(limit)),
            Framing::Length(0) => State::Done,
            Framing::Length(n) => State::Data(n),
            Framing::Chunked => State::ChunkSize,
            Framing::Close => State::UntilClose,
        };
        Ok(Decoder { state, left: limit, limit, trailers: 0 })
    }

    /// A decoder for a body without limit, such as an event stream.
    pub fn endless(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(n) => State::Data(n),
            Framing::Chunked => State::ChunkSize,
            Framing::Close => State::UntilClose,
        };
        Decoder { state, left: usize::MAX, limit: usize::MAX, trailers: 0 }
    }

    /// Whether the body is complete.
    pub fn done(&self) -> bool {
        matches!(self.state, State::Done | State::Data(0))
    }

    /// Whether the body may end with the connection.
    pub fn ends_with_connection(&self) -> bool {
        self.state == State::UntilClose
    }

    /// Moves the bytes of the body from the front of `buf` to `out`.
    ///
    /// # Errors
    /// The framing is malformed or the body exceeds the limit.
    pub fn take(&mut self, buf: &mut Vec<u8>, out: &mut Vec<u8>) -> Result<(), BodyError> {
        let mut at = 0;
        while !self.done() && at < buf.len() {
            let Some(used) = self.step(&buf[at..], out)? else { break };
            at += used;
        }
        buf.drain(..at);
        Ok(())
    }

    /// Decodes one element; the number of bytes used, or `None` if more are needed.
    fn step(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<Option<usize>, BodyError> {
        match self.state {
            State::Data(len) => {
                let used = self.data(input, len, out)?;
                self.state = State::Data(len - used as u64);
                Ok(Some(used))
            }
            State::UntilClose => self.data(input, u64::MAX, out).map(Some),
            State::ChunkSize => self.chunk_size(input),
            State::ChunkData(len) => {
                let used = self.data(input, len, out)?;
                let left = len - used as u64;
                self.state = if left == 0 { State::ChunkEnd } else { State::ChunkData(left) };
                Ok(Some(used))
            }
            State::ChunkEnd => self.chunk_end(input),
            State::Trailer => self.trailer(input),
            State::Done => Ok(None),
        }
    }

    fn chunk_size(&mut self, input: &[u8]) -> Result<Option<usize>, BodyError> {
        let window = &input[..input.len().min(MAX_LINE_LEN)];
        match httparse::parse_chunk_size(window) {
            Ok(httparse::Status::Complete((used, size))) => {
                self.state = if size == 0 { State::Trailer } else { State::ChunkData(size) };
                Ok(Some(used))
            }
            Ok(httparse::Status::Partial) if input.len() < MAX_LINE_LEN => Ok(None),
            _ => Err(BodyError::Chunk),
        }
    }

    fn chunk_end(&mut self, input: &[u8]) -> Result<Option<usize>, BodyError> {
        match input {
            [b'\r', b'\n', ..] => {
                self.state = State::ChunkSize;
                Ok(Some(2))
            }
            [b'\r'] => Ok(None),
            _ => Err(BodyError::Chunk),
        }
    }

    fn trailer(&mut self, input: &[u8]) -> Result<Option<usize>, BodyError> {
        let Some(end) = input.iter().take(MAX_LINE_LEN).position(|byte| *byte == b'\n') else {
            return if input.len() >= MAX_LINE_LEN { Err(BodyError::Chunk) } else { Ok(None) };
        };
        self.trailers += 1;
        if self.trailers > MAX_TRAILERS {
            return Err(BodyError::Chunk);
        }
        if matches!(&input[..end], b"" | b"\r") {
            self.state = State::Done;
        }
        Ok(Some(end + 1))
    }

    /// Copies data of at most `len` bytes; the number of bytes copied.
    fn data(&mut self, input: &[u8], len: u64, out: &mut Vec<u8>) -> Result<usize, BodyError> {
        let used = input.len().min(usize::try_from(len).unwrap_or(usize::MAX));
        if used > self.left {
            return Err(BodyError::TooLong(self.limit));
        }
        if self.limit != usize::MAX {
            self.left -= used;
        }
        out.extend_from_slice(&input[..used]);
        Ok(used)
    }
}
