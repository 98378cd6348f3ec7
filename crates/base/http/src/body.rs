//! Where a body ends (RFC 9112, section 6), as a decoder without I/O.

use http::{HeaderMap, header};
use thiserror::Error;

/// Why a body can't be read.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// `Content-Length` is not one number.
    #[error("Content-Length is not one number")]
    Length,
    /// Both a length and a transfer coding, which is how requests are smuggled.
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

/// How a body is framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// So many bytes.
    Length(u64),
    /// Chunks.
    Chunked,
    /// Until the connection closes; responses only.
    Close,
}

/// Reads the framing off a message's fields; none: the fields say nothing.
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
    Open,
    Size,
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    Done,
}

/// Longest size line of a chunk, extensions included, and longest trailer line.
const LINE: usize = 256;
/// Trailer lines that are skipped.
const TRAILERS: u32 = 16;

/// Takes a body's bytes out of a buffer as they come.
#[derive(Debug, Clone)]
pub struct Decoder {
    state: State,
    left: usize,
    limit: usize,
    trailers: u32,
}

impl Decoder {
    /// A body of at most `limit` bytes.
    pub fn new(framing: Framing, limit: usize) -> Result<Self, BodyError> {
        let state = match framing {
            Framing::Length(n) if n > limit as u64 => return Err(BodyError::TooLong(limit)),
            Framing::Length(0) => State::Done,
            Framing::Length(n) => State::Data(n),
            Framing::Chunked => State::Size,
            Framing::Close => State::Open,
        };
        Ok(Decoder { state, left: limit, limit, trailers: 0 })
    }

    /// A stream without an end of its own, such as one of events.
    pub fn endless(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(n) => State::Data(n),
            Framing::Chunked => State::Size,
            Framing::Close => State::Open,
        };
        Decoder { state, left: usize::MAX, limit: usize::MAX, trailers: 0 }
    }

    /// Whether the whole body has been taken.
    pub fn done(&self) -> bool {
        matches!(self.state, State::Done | State::Data(0))
    }

    /// Whether the body may end with the connection.
    pub fn ends_with_connection(&self) -> bool {
        self.state == State::Open
    }

    /// Moves what belongs to the body from the front of `buf` to `out`.
    pub fn take(&mut self, buf: &mut Vec<u8>, out: &mut Vec<u8>) -> Result<(), BodyError> {
        let mut at = 0;
        while !self.done() && at < buf.len() {
            let rest = &buf[at..];
            match self.state {
                State::Data(n) => {
                    let took = self.data(rest, n, out)?;
                    self.state = State::Data(n - took as u64);
                    at += took;
                }
                State::Open => at += self.data(rest, u64::MAX, out)?,
                State::Size => {
                    let window = &rest[..rest.len().min(LINE)];
                    match httparse::parse_chunk_size(window) {
                        Ok(httparse::Status::Complete((used, size))) => {
                            at += used;
                            self.state = if size == 0 { State::Trailer } else { State::ChunkData(size) };
                        }
                        Ok(httparse::Status::Partial) if rest.len() < LINE => break,
                        _ => return Err(BodyError::Chunk),
                    }
                }
                State::ChunkData(n) => {
                    let took = self.data(rest, n, out)?;
                    at += took;
                    let left = n - took as u64;
                    self.state = if left == 0 { State::ChunkEnd } else { State::ChunkData(left) };
                }
                State::ChunkEnd => match rest {
                    [b'\r', b'\n', ..] => {
                        at += 2;
                        self.state = State::Size;
                    }
                    [b'\r'] => break,
                    _ => return Err(BodyError::Chunk),
                },
                State::Trailer => {
                    let Some(end) = rest.iter().take(LINE).position(|b| *b == b'\n') else {
                        if rest.len() >= LINE {
                            return Err(BodyError::Chunk);
                        }
                        break;
                    };
                    self.trailers += 1;
                    if self.trailers > TRAILERS {
                        return Err(BodyError::Chunk);
                    }
                    if matches!(&rest[..end], b"" | b"\r") {
                        self.state = State::Done;
                    }
                    at += end + 1;
                }
                State::Done => break,
            }
        }
        buf.drain(..at);
        Ok(())
    }

    fn data(&mut self, rest: &[u8], most: u64, out: &mut Vec<u8>) -> Result<usize, BodyError> {
        let took = rest.len().min(usize::try_from(most).unwrap_or(usize::MAX));
        if took > self.left {
            return Err(BodyError::TooLong(self.limit));
        }
        if self.limit != usize::MAX {
            self.left -= took;
        }
        out.extend_from_slice(&rest[..took]);
        Ok(took)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn all(
        framing: Framing,
        limit: usize,
        text: &[u8],
        step: usize,
    ) -> Result<(Vec<u8>, bool, Vec<u8>), BodyError> {
        let mut d = Decoder::new(framing, limit)?;
        let (mut buf, mut out) = (Vec::new(), Vec::new());
        for part in text.chunks(step.max(1)) {
            buf.extend_from_slice(part);
            d.take(&mut buf, &mut out)?;
        }
        Ok((out, d.done(), buf))
    }

    #[test]
    fn chunks_end_where_they_say_however_they_are_cut() {
        let text = b"4\r\nWiki\r\n5;ext=1\r\npedia\r\n0\r\nX-Sum: 1\r\n\r\nGET /next";
        for step in 1..text.len() {
            let (out, done, rest) = all(Framing::Chunked, 100, text, step).expect("sound chunks");
            assert_eq!((out.as_slice(), done, rest.as_slice()), (&b"Wikipedia"[..], true, &b"GET /next"[..]));
        }
    }

    #[test]
    fn bodies_past_their_bound_and_malformed_chunks_are_refused() {
        assert_eq!(all(Framing::Length(9), 8, b"", 1), Err(BodyError::TooLong(8)));
        assert_eq!(all(Framing::Chunked, 4, b"5\r\nabcde\r\n0\r\n\r\n", 99), Err(BodyError::TooLong(4)));
        for bad in [&b"x\r\n"[..], b"4\r\nWikiXX", b"ffffffffffffffffff\r\n"] {
            assert_eq!(all(Framing::Chunked, 100, bad, 99), Err(BodyError::Chunk), "{bad:?}");
        }
        let endless = [b"1;".as_slice(), &[b'a'; 400]].concat();
        assert_eq!(all(Framing::Chunked, 100, &endless, 7), Err(BodyError::Chunk));
    }

    #[test]
    fn contradictory_lengths_are_refused() {
        let fields = |list: &[(&'static str, &'static str)]| {
            let mut map = HeaderMap::new();
            for (k, v) in list {
                map.append(*k, http::HeaderValue::from_static(v));
            }
            framing(&map)
        };
        assert_eq!(fields(&[]), Ok(None));
        assert_eq!(fields(&[("content-length", "5"), ("content-length", "5")]), Ok(Some(Framing::Length(5))));
        assert_eq!(fields(&[("content-length", "5"), ("content-length", "6")]), Err(BodyError::Length));
        assert_eq!(fields(&[("content-length", "+5")]), Err(BodyError::Length));
        assert_eq!(
            fields(&[("content-length", "5"), ("transfer-encoding", "chunked")]),
            Err(BodyError::Both)
        );
        assert_eq!(fields(&[("transfer-encoding", "gzip, chunked")]), Err(BodyError::Coding));
    }

    proptest! {
        #[test]
        fn any_bytes_end_in_an_error_or_a_bounded_body(text in prop::collection::vec(any::<u8>(), 0..600), step in 1..50usize) {
            if let Ok((out, _, _)) = all(Framing::Chunked, 64, &text, step) {
                prop_assert!(out.len() <= 64);
            }
        }
    }
}
