//! Tests of parsing event streams, with input split at arbitrary positions.

use beechloft_http::sse::{Event, KEEP_ALIVE, Parser, TooLong};
use proptest::prelude::*;

proptest! {
    #[test]
    fn parses_encoded_events_split_anywhere(
        events in prop::collection::vec(("[a-z]{0,8}", "[ -~\n]{0,40}", "[0-9]{0,4}"), 1..6), part_len in 1..20usize,
    ) {
        let events: Vec<Event> = events.into_iter().map(|(name, data, id)| Event { name, data, id }).collect();
        let bytes: Vec<u8> = events.iter().flat_map(|event| [KEEP_ALIVE.to_vec(), event.encode()].concat()).collect();
        let (mut parser, mut parsed) = (Parser::new(1_000), Vec::new());
        for part in bytes.chunks(part_len) {
            parser.push(part, &mut parsed).expect("event exceeds the limit");
        }
        prop_assert_eq!(parsed, events);
    }
}

#[test]
fn accepts_all_line_ends_and_rejects_events_over_limit() {
    let (mut parser, mut parsed) = (Parser::new(16), Vec::new());
    parser
        .push(b"event: a\r\ndata: 1\r\n\r\ndata\r\rdata: 2\n\n: no\n\nid: 4\n\n", &mut parsed)
        .expect("event exceeds the limit");
    let event = |name: &str, data: &str| Event { name: name.into(), data: data.into(), id: String::new() };
    assert_eq!(parsed, [event("a", "1"), event("", ""), event("", "2")]);
    assert_eq!(parser.push(&[b'x'; 40], &mut parsed), Err(TooLong(16)));
    let mut other_parser = Parser::new(16);
    assert!(other_parser.push(&b"data: abc\n".repeat(30), &mut parsed).is_err());
}
