//! Tests of the framing of bodies, with input split at arbitrary positions.

use beechloft_http::HeaderMap;
use beechloft_http::body::{BodyError, Decoder, Framing, framing};
use proptest::prelude::*;

/// Decodes `input` in parts of `part_len` bytes. Returns the body, whether it is complete, and the bytes after it.
fn decode(
    framing: Framing,
    limit: usize,
    input: &[u8],
    part_len: usize,
) -> Result<(Vec<u8>, bool, Vec<u8>), BodyError> {
    let mut decoder = Decoder::new(framing, limit)?;
    let (mut buf, mut out) = (Vec::new(), Vec::new());
    for part in input.chunks(part_len.max(1)) {
        buf.extend_from_slice(part);
        decoder.decode(&mut buf, &mut out)?;
    }
    Ok((out, decoder.is_complete(), buf))
}

#[test]
fn decodes_chunked_body_split_anywhere() {
    let input = b"4\r\nWiki\r\n5;ext=1\r\npedia\r\n0\r\nX-Sum: 1\r\n\r\nGET /next";
    for part_len in 1..input.len() {
        let (body, is_complete, remaining) =
            decode(Framing::Chunked, 100, input, part_len).expect("decoding failed");
        assert_eq!(
            (body.as_slice(), is_complete, remaining.as_slice()),
            (&b"Wikipedia"[..], true, &b"GET /next"[..])
        );
    }
}

#[test]
fn rejects_bodies_over_limit_and_malformed_chunks() {
    assert_eq!(decode(Framing::Length(9), 8, b"", 1), Err(BodyError::TooLong(8)));
    assert_eq!(decode(Framing::Chunked, 4, b"5\r\nabcde\r\n0\r\n\r\n", 99), Err(BodyError::TooLong(4)));
    for malformed in [&b"x\r\n"[..], b"4\r\nWikiXX", b"ffffffffffffffffff\r\n"] {
        assert_eq!(decode(Framing::Chunked, 100, malformed, 99), Err(BodyError::Chunk), "{malformed:?}");
    }
    let long_extension = [b"1;".as_slice(), &[b'a'; 400]].concat();
    assert_eq!(decode(Framing::Chunked, 100, &long_extension, 7), Err(BodyError::Chunk));
}

#[test]
fn rejects_contradictory_lengths() {
    let parse_framing = |fields: &[(&'static str, &'static str)]| {
        let mut map = HeaderMap::new();
        for (name, value) in fields {
            map.append(*name, beechloft_http::HeaderValue::from_static(value));
        }
        framing(&map)
    };
    assert_eq!(parse_framing(&[]), Ok(None));
    assert_eq!(
        parse_framing(&[("content-length", "5"), ("content-length", "5")]),
        Ok(Some(Framing::Length(5)))
    );
    assert_eq!(parse_framing(&[("content-length", "5"), ("content-length", "6")]), Err(BodyError::Length));
    assert_eq!(parse_framing(&[("content-length", "+5")]), Err(BodyError::Length));
    assert_eq!(
        parse_framing(&[("content-length", "5"), ("transfer-encoding", "chunked")]),
        Err(BodyError::Both)
    );
    assert_eq!(parse_framing(&[("transfer-encoding", "gzip, chunked")]), Err(BodyError::Coding));
}

proptest! {
    #[test]
    fn decodes_arbitrary_input_to_error_or_bounded_body(input in prop::collection::vec(any::<u8>(), 0..600), part_len in 1..50usize) {
        if let Ok((body, _, _)) = decode(Framing::Chunked, 64, &input, part_len) {
            prop_assert!(body.len() <= 64);
        }
    }
}
