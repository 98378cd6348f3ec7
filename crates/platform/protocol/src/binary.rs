//! The binary framing of viewers: `length:2 type:1 session:8`, then parameters `code:1 length:2 value`.

use thiserror::Error;

use crate::{CallId, MAX_MESSAGE};

/// Type and session, which every message has.
const HEAD: usize = 9;

/// What can't be read. The connection is of no more use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FrameError {
    /// Shorter than a type and a session.
    #[error("a message of {0} bytes is too short")]
    Short(usize),
    /// Longer than allowed.
    #[error("a message of {0} bytes is too long")]
    Long(usize),
    /// A parameter reaches past its message.
    #[error("a parameter reaches past its message")]
    Parameter,
    /// An unknown type.
    #[error("unknown type {0}")]
    Type(u8),
}

/// One message as framed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// Its type.
    pub kind: u8,
    /// Its session.
    pub id: CallId,
    /// Codes and values, in order.
    pub params: Vec<(u8, Vec<u8>)>,
}

impl Frame {
    /// A message without parameters.
    pub fn new(kind: u8, id: CallId) -> Self {
        Frame { kind, id, params: Vec::new() }
    }

    /// Adds a parameter.
    pub fn with(mut self, code: u8, value: impl Into<Vec<u8>>) -> Self {
        self.params.push((code, value.into()));
        self
    }

    /// The bytes on the wire; none: past [`MAX_MESSAGE`].
    pub fn encode(&self) -> Option<Vec<u8>> {
        let len = HEAD + self.params.iter().map(|p| 3 + p.1.len()).sum::<usize>();
        let stated = u16::try_from(len).ok().filter(|_| len <= MAX_MESSAGE)?;
        let mut out = Vec::with_capacity(2 + len);
        out.extend_from_slice(&stated.to_be_bytes());
        out.push(self.kind);
        out.extend_from_slice(&self.id.0.to_be_bytes());
        for (code, value) in &self.params {
            out.push(*code);
            out.extend_from_slice(&(value.len() as u16).to_be_bytes());
            out.extend_from_slice(value);
        }
        Some(out)
    }

    fn decode(body: &[u8]) -> Result<Frame, FrameError> {
        let Some((head, mut rest)) = body.split_first_chunk::<HEAD>() else {
            return Err(FrameError::Short(body.len()));
        };
        let [kind, id @ ..] = *head;
        let mut params = Vec::new();
        while let Some((&[code, high, low], tail)) = rest.split_first_chunk::<3>() {
            let len = usize::from(u16::from_be_bytes([high, low]));
            let (value, tail) = tail.split_at_checked(len).ok_or(FrameError::Parameter)?;
            params.push((code, value.to_vec()));
            rest = tail;
        }
        if !rest.is_empty() {
            return Err(FrameError::Parameter);
        }
        Ok(Frame { kind, id: CallId(u64::from_be_bytes(id)), params })
    }
}

/// Puts messages together as bytes come.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buf: Vec<u8>,
    at: usize,
}

impl FrameDecoder {
    /// Takes bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.drain(..std::mem::take(&mut self.at));
        self.buf.extend_from_slice(bytes);
    }

    /// The next whole message, if there is one. After an error there is none ever.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        let rest = &self.buf[self.at..];
        let Some((&[high, low], body)) = rest.split_first_chunk::<2>() else { return Ok(None) };
        let len = usize::from(u16::from_be_bytes([high, low]));
        if len < HEAD {
            return Err(FrameError::Short(len));
        }
        if len > MAX_MESSAGE {
            return Err(FrameError::Long(len));
        }
        let Some(body) = body.get(..len) else { return Ok(None) };
        let frame = Frame::decode(body)?;
        self.at += 2 + len;
        if self.at == self.buf.len() {
            // Nothing is left: an idle connection holds no memory.
            *self = FrameDecoder::default();
        }
        Ok(Some(frame))
    }

    /// Bytes that wait for more.
    pub fn pending(&self) -> usize {
        self.buf.len() - self.at
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn frames() -> impl Strategy<Value = Vec<Frame>> {
        let param = (any::<u8>(), prop::collection::vec(any::<u8>(), 0..60));
        let frame = (any::<u8>(), any::<u64>(), prop::collection::vec(param, 0..5));
        prop::collection::vec(
            frame.prop_map(|(kind, id, params)| Frame { kind, id: CallId(id), params }),
            1..6,
        )
    }

    proptest! {
        #[test]
        fn what_is_written_is_read_again_however_it_is_cut(sent in frames(), step in 1..40usize) {
            let bytes: Vec<u8> = sent.iter().flat_map(|f| f.encode().expect("short")).collect();
            let (mut decoder, mut got) = (FrameDecoder::default(), Vec::new());
            for part in bytes.chunks(step) {
                decoder.push(part);
                while let Some(frame) = decoder.next_frame().expect("sound") {
                    got.push(frame);
                }
            }
            prop_assert_eq!(got, sent);
            prop_assert_eq!(decoder.pending(), 0);
        }

        #[test]
        fn no_bytes_make_it_panic_or_hold_more_than_it_was_given(bytes in prop::collection::vec(any::<u8>(), 0..400), step in 1..50usize) {
            let mut decoder = FrameDecoder::default();
            'bytes: for part in bytes.chunks(step) {
                decoder.push(part);
                loop {
                    match decoder.next_frame() {
                        Ok(Some(_)) => {}
                        Ok(None) => break,
                        Err(_) => break 'bytes,
                    }
                }
                prop_assert!(decoder.pending() <= 2 + MAX_MESSAGE);
            }
        }
    }

    #[test]
    fn wrong_lengths_are_errors_at_once() {
        let read = |bytes: &[u8]| {
            let mut decoder = FrameDecoder::default();
            decoder.push(bytes);
            decoder.next_frame()
        };
        assert_eq!(read(&[0, 0]), Err(FrameError::Short(0)));
        assert_eq!(read(&[0, 8]), Err(FrameError::Short(8)));
        assert_eq!(read(&[0xff, 0xff]), Err(FrameError::Long(0xffff)));
        assert_eq!(read(&[0, 9, 1]), Ok(None));
        let head = [0, 13, 1, 0, 0, 0, 0, 0, 0, 0, 7];
        assert_eq!(read(&[&head[..], &[3, 0, 2, 1]].concat()), Err(FrameError::Parameter));
        assert_eq!(
            read(&[&head[..], &[3, 0, 1, 1]].concat()).map(|f| f.map(|f| f.params)),
            Ok(Some(vec![(3, vec![1])]))
        );
    }
}
