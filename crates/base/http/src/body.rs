//! Framing of message bodies (RFC 9112, section 6), and a decoder without I/O.

use http::{HeaderMap, header};
use thiserror::Error;

/// Error of decoding a body.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The `Content-Length` fields are not a single number.
    #[error("Content-Length is not one number")]
    Length,
    /// The message has both `Content-Length` and `Transfer-Encoding`, as in request smuggling.
    #[error("both Content-Length and Transfer-Encoding")]
    Both,
    /// The transfer coding is not `chunked`.
    #[error("a transfer coding other than chunked")]
    Coding,
    /// The size line or the end of a chunk is malformed, or the trailer section is too long.
    #[error("a malformed chunk")]
    Chunk,
    /// The body exceeds the maximum length in bytes.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
}

/// Framing of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The body has this number of bytes.
    Length(u64),
    /// The body is sent in chunks.
    Chunked,
    /// The body ends when the connection is closed. Only responses have this framing.
    Close,
}

/// Returns the framing that a message's header fields declare, or `None` if they declare none.
///
/// # Errors
/// Returns an error if the fields are malformed or contradictory, or the transfer coding is not supported.
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
            let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
            if !is_number || lengths.any(|other| other != length) {
                return Err(BodyError::Length);
            }
            text.parse().map(|len| Some(Framing::Length(len))).map_err(|_| BodyError::Length)
        }
        (None, None) => Ok(None),
    }
}

/// Part of the body that is decoded next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// This number of remaining bytes of a body without chunks.
    Data(u64),
    /// Data up to the end of the connection.
    UntilClose,
    /// The size line of a chunk.
    ChunkSize,
    /// This number of remaining bytes of a chunk.
    ChunkData(u64),
    /// The line end after a chunk.
    ChunkEnd,
    /// A line of the trailer section.
    Trailer,
    /// Nothing, because the body is complete.
    Done,
}

/// Maximum length of a chunk's size line, including extensions, and of a trailer line, bytes.
const MAX_LINE_LEN: usize = 256;
/// Maximum number of trailer lines. Their content is ignored.
const MAX_TRAILERS: u32 = 16;

/// An incremental decoder of a body.
#[derive(Debug, Clone)]
pub struct Decoder {
    state: State,
    /// Number of bytes that the body may still have.
    remaining: usize,
    limit: usize,
    /// Number of trailer lines so far.
    trailers: u32,
}

impl Decoder {
    /// Creates a decoder for a body of at most `limit` bytes.
    ///
    /// # Errors
    /// Returns an error if the declared length exceeds the limit.
    pub fn new(framing: Framing, limit: usize) -> Result<Self, BodyError> {
        let state = match framing {
            Framing::Length(len) if len > limit as u64 => return Err(BodyError::TooLong(limit)),
            Framing::Length(0) => State::Done,
            Framing::Length(len) => State::Data(len),
            Framing::Chunked => State::ChunkSize,
            Framing::Close => State::UntilClose,
        };
        Ok(Decoder { state, remaining: limit, limit, trailers: 0 })
    }

    /// Creates a decoder for a body without a limit, such as an event stream.
    pub fn unlimited(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(len) => State::Data(len),
            Framing::Chunked => State::ChunkSize,
            Framing::Close => State::UntilClose,
        };
        Decoder { state, remaining: usize::MAX, limit: usize::MAX, trailers: 0 }
    }

    /// Returns whether the body is complete.
    pub fn is_complete(&self) -> bool {
        matches!(self.state, State::Done | State::Data(0))
    }

    /// Returns whether the end of the connection completes the body.
    pub fn ends_with_connection(&self) -> bool {
        self.state == State::UntilClose
    }

    /// Removes bytes from the front of `buf` and appends the body that they encode to `out`. Bytes after the end of the body stay
    /// in `buf`.
    ///
    /// # Errors
    /// Returns an error if the framing is malformed or the body exceeds the limit.
    pub fn decode(&mut self, buf: &mut Vec<u8>, out: &mut Vec<u8>) -> Result<(), BodyError> {
        let mut used = 0;
        while !self.is_complete() && used < buf.len() {
            let Some(element_len) = self.decode_element(&buf[used..], out)? else { break };
            used += element_len;
        }
        buf.drain(..used);
        Ok(())
    }

    /// Decodes one element of the framing. Returns the number of bytes used, or `None` if more bytes are needed.
    fn decode_element(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<Option<usize>, BodyError> {
        match self.state {
            State::Data(len) => {
                let used = self.copy_data(input, len, out)?;
                self.state = State::Data(len - used as u64);
                Ok(Some(used))
            }
            State::UntilClose => self.copy_data(input, u64::MAX, out).map(Some),
            State::ChunkSize => self.decode_chunk_size(input),
            State::ChunkData(len) => {
                let used = self.copy_data(input, len, out)?;
                let remaining = len - used as u64;
                self.state = if remaining == 0 { State::ChunkEnd } else { State::ChunkData(remaining) };
                Ok(Some(used))
            }
            State::ChunkEnd => self.decode_chunk_end(input),
            State::Trailer => self.decode_trailer(input),
            State::Done => Ok(None),
        }
    }

    fn decode_chunk_size(&mut self, input: &[u8]) -> Result<Option<usize>, BodyError> {
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

    fn decode_chunk_end(&mut self, input: &[u8]) -> Result<Option<usize>, BodyError> {
        match input {
            [b'\r', b'\n', ..] => {
                self.state = State::ChunkSize;
                Ok(Some(2))
            }
            [b'\r'] => Ok(None),
            _ => Err(BodyError::Chunk),
        }
    }

    fn decode_trailer(&mut self, input: &[u8]) -> Result<Option<usize>, BodyError> {
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

    /// Copies at most `len` bytes of data to `out`. Returns the number of bytes copied.
    fn copy_data(&mut self, input: &[u8], len: u64, out: &mut Vec<u8>) -> Result<usize, BodyError> {
        let used = input.len().min(usize::try_from(len).unwrap_or(usize::MAX));
        if used > self.remaining {
            return Err(BodyError::TooLong(self.limit));
        }
        if self.limit != usize::MAX {
            self.remaining -= used;
        }
        out.extend_from_slice(&input[..used]);
        Ok(used)
    }
}
