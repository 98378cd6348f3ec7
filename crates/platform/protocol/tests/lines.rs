//! Line framing: any split of the stream, and lines that are too long.

use beechloft_protocol::MAX_MESSAGE_BYTES;
use beechloft_protocol::lines::{LineDecoder, LineTooLong};
use proptest::prelude::*;

proptest! {
    #[test]
    fn decodes_lines_under_any_split(lines in prop::collection::vec("[ -~]{0,50}", 1..8), chunk_bytes in 1..30usize) {
        let bytes: Vec<u8> = lines.iter().flat_map(|line| [line.as_bytes(), b"\n"].concat()).collect();
        let (mut decoder, mut received) = (LineDecoder::default(), Vec::new());
        for chunk in bytes.chunks(chunk_bytes) {
            decoder.push(chunk);
            while let Some(line) = decoder.next_line().expect("a line within the limit") {
                received.push(String::from_utf8(line).expect("valid UTF-8"));
            }
        }
        prop_assert_eq!(received, lines);
        prop_assert_eq!(decoder.pending(), 0);
    }
}

#[test]
fn rejects_overlong_line() {
    const CHUNK_BYTES: usize = 1000;
    let mut decoder = LineDecoder::default();
    let mut pushed_bytes = 0;
    while decoder.next_line() == Ok(None) {
        decoder.push(&[b'x'; CHUNK_BYTES]);
        pushed_bytes += CHUNK_BYTES;
    }
    assert!(pushed_bytes <= MAX_MESSAGE_BYTES + CHUNK_BYTES, "{pushed_bytes}");
    let mut single_push_decoder = LineDecoder::default();
    single_push_decoder.push(&[vec![b'x'; MAX_MESSAGE_BYTES + 1], vec![b'\n']].concat());
    assert_eq!(single_push_decoder.next_line(), Err(LineTooLong));
}
