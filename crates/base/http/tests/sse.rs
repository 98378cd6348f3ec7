//! Parsing of event streams, however the bytes arrive.

use beechloft_http::sse::{Event, KEEP_ALIVE, Parser, TooLong};
use proptest::prelude::*;

proptest! {
    #[test]
    fn encoded_events_are_parsed_however_they_are_split(
        events in prop::collection::vec(("[a-z]{0,8}", "[ -~\n]{0,40}", "[0-9]{0,4}"), 1..6), step in 1..20usize,
    ) {
        let events: Vec<Event> = events.into_iter().map(|(name, data, id)| Event { name, data, id }).collect();
        let bytes: Vec<u8> = events.iter().flat_map(|e| [KEEP_ALIVE.to_vec(), e.encode()].concat()).collect();
        let (mut parser, mut got) = (Parser::new(1_000), Vec::new());
        for part in bytes.chunks(step) {
            parser.push(part, &mut got).expect("short");
        }
        prop_assert_eq!(got, events);
    }
}

#[test]
fn all_line_ends_are_accepted_and_events_over_the_limit_are_rejected() {
    let (mut parser, mut got) = (Parser::new(16), Vec::new());
    parser.push(b"event: a\r\ndata: 1\r\n\r\ndata\r\rdata: 2\n\n: no\n\nid: 4\n\n", &mut got).expect("short");
    let of = |name: &str, data: &str| Event { name: name.into(), data: data.into(), id: String::new() };
    assert_eq!(got, [of("a", "1"), of("", ""), of("", "2")]);
    assert_eq!(parser.push(&[b'x'; 40], &mut got), Err(TooLong(16)));
    let mut second = Parser::new(16);
    assert!(second.push(&b"data: abc\n".repeat(30), &mut got).is_err());
}
