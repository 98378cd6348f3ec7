//! Framing of bodies, however the bytes arrive.

use beechloft_http::HeaderMap;
use beechloft_http::body::{BodyError, Decoder, Framing, framing};
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
        d.decode(&mut buf, &mut out)?;
    }
    Ok((out, d.is_complete(), buf))
}

#[test]
fn chunked_bodies_are_decoded_however_they_are_split() {
    let text = b"4\r\nWiki\r\n5;ext=1\r\npedia\r\n0\r\nX-Sum: 1\r\n\r\nGET /next";
    for step in 1..text.len() {
        let (out, done, rest) = all(Framing::Chunked, 100, text, step).expect("valid chunks");
        assert_eq!((out.as_slice(), done, rest.as_slice()), (&b"Wikipedia"[..], true, &b"GET /next"[..]));
    }
}

#[test]
fn bodies_over_the_limit_and_malformed_chunks_are_rejected() {
    assert_eq!(all(Framing::Length(9), 8, b"", 1), Err(BodyError::TooLong(8)));
    assert_eq!(all(Framing::Chunked, 4, b"5\r\nabcde\r\n0\r\n\r\n", 99), Err(BodyError::TooLong(4)));
    for bad in [&b"x\r\n"[..], b"4\r\nWikiXX", b"ffffffffffffffffff\r\n"] {
        assert_eq!(all(Framing::Chunked, 100, bad, 99), Err(BodyError::Chunk), "{bad:?}");
    }
    let endless = [b"1;".as_slice(), &[b'a'; 400]].concat();
    assert_eq!(all(Framing::Chunked, 100, &endless, 7), Err(BodyError::Chunk));
}

#[test]
fn contradictory_lengths_are_rejected() {
    let fields = |list: &[(&'static str, &'static str)]| {
        let mut map = HeaderMap::new();
        for (k, v) in list {
            map.append(*k, beechloft_http::HeaderValue::from_static(v));
        }
        framing(&map)
    };
    assert_eq!(fields(&[]), Ok(None));
    assert_eq!(fields(&[("content-length", "5"), ("content-length", "5")]), Ok(Some(Framing::Length(5))));
    assert_eq!(fields(&[("content-length", "5"), ("content-length", "6")]), Err(BodyError::Length));
    assert_eq!(fields(&[("content-length", "+5")]), Err(BodyError::Length));
    assert_eq!(fields(&[("content-length", "5"), ("transfer-encoding", "chunked")]), Err(BodyError::Both));
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
