//! The framing of media servers: a JSON object a line.

use thiserror::Error;

use crate::MAX_MESSAGE;

/// A line that does not end in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a line is longer than {MAX_MESSAGE} bytes")]
pub struct LineTooLong;

/// Puts lines together as bytes come.
#[derive(Debug, Default)]
pub struct LineDecoder {
    buf: Vec<u8>,
    at: usize,
    /// Bytes past `at` that are known to hold no line end.
    looked: usize,
}

impl LineDecoder {
    /// Takes bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.drain(..std::mem::take(&mut self.at));
        self.buf.extend_from_slice(bytes);
    }

    /// The next whole line without its end, if there is one.
    pub fn next_line(&mut self) -> Result<Option<Vec<u8>>, LineTooLong> {
        let rest = &self.buf[self.at..];
        let Some(end) = rest[self.looked..].iter().position(|b| *b == b'\n').map(|n| n + self.looked) else {
            self.looked = rest.len();
            return if rest.len() > MAX_MESSAGE { Err(LineTooLong) } else { Ok(None) };
        };
        if end > MAX_MESSAGE {
            return Err(LineTooLong);
        }
        let line = rest[..end].to_vec();
        (self.at, self.looked) = (self.at + end + 1, 0);
        if self.at == self.buf.len() {
            *self = LineDecoder::default();
        }
        Ok(Some(line))
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

    proptest! {
        #[test]
        fn lines_come_out_however_they_are_cut(lines in prop::collection::vec("[ -~]{0,50}", 1..8), step in 1..30usize) {
            let bytes: Vec<u8> = lines.iter().flat_map(|l| [l.as_bytes(), b"\n"].concat()).collect();
            let (mut decoder, mut got) = (LineDecoder::default(), Vec::new());
            for part in bytes.chunks(step) {
                decoder.push(part);
                while let Some(line) = decoder.next_line().expect("short") {
                    got.push(String::from_utf8(line).expect("text"));
                }
            }
            prop_assert_eq!(got, lines);
            prop_assert_eq!(decoder.pending(), 0);
        }
    }

    #[test]
    fn a_line_that_never_ends_is_an_error_within_its_bound() {
        let mut decoder = LineDecoder::default();
        let mut pushed = 0;
        while decoder.next_line() == Ok(None) {
            decoder.push(&[b'x'; 1000]);
            pushed += 1000;
        }
        assert!(pushed <= MAX_MESSAGE + 1000, "{pushed}");
        let mut decoder = LineDecoder::default();
        decoder.push(&[vec![b'x'; MAX_MESSAGE + 1], vec![b'\n']].concat());
        assert_eq!(decoder.next_line(), Err(LineTooLong));
    }
}
