//! The line framing under any split of the stream, and lines past its bound.

use beechloft_protocol::MAX_MESSAGE;
use beechloft_protocol::lines::{LineDecoder, LineTooLong};
use proptest::prelude::*;

proptest! {
    #[test]
    fn lines_are_decoded_under_any_split(lines in prop::collection::vec("[ -~]{0,50}", 1..8), step in 1..30usize) {
        let bytes: Vec<u8> = lines.iter().flat_map(|l| [l.as_bytes(), b"\n"].concat()).collect();
        let (mut decoder, mut received) = (LineDecoder::default(), Vec::new());
        for part in bytes.chunks(step) {
            decoder.push(part);
            while let Some(line) = decoder.next_line().expect("short") {
                received.push(String::from_utf8(line).expect("text"));
            }
        }
        prop_assert_eq!(received, lines);
        prop_assert_eq!(decoder.pending(), 0);
    }
}

#[test]
fn a_line_without_end_is_an_error_within_its_bound() {
    let mut decoder = LineDecoder::default();
    let mut pushed = 0;
    while decoder.next_line() == Ok(None) {
        decoder.push(&[b'x'; 1000]);
        pushed += 1000;
    }
    assert!(pushed <= MAX_MESSAGE + 1000, "{pushed}");
    let mut decoder_of_one_push = LineDecoder::default();
    decoder_of_one_push.push(&[vec![b'x'; MAX_MESSAGE + 1], vec![b'\n']].concat());
    assert_eq!(decoder_of_one_push.next_line(), Err(LineTooLong));
}
