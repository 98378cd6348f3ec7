//! Tests of parsing and encoding message heads.

use beechloft_http::body::Framing;
use beechloft_http::message::{HeadError, ParsedHead, request_head, response_head};
use beechloft_http::{Limits, Method, Request, Response, StatusCode, header};
use proptest::prelude::*;

fn parse(text: &str) -> Result<Option<ParsedHead<Request>>, HeadError> {
    request_head(&mut text.as_bytes().to_vec(), &Limits::default())
}

#[test]
fn parses_encoded_messages() {
    let request = Request::new(Method::POST, "/whep/a?b=c").body("application/sdp", "v=0\r\n");
    let mut bytes = request.encode("host:1");
    let parsed =
        request_head(&mut bytes, &Limits::default()).expect("invalid head").expect("incomplete head");
    assert_eq!(
        (parsed.message.target.as_str(), parsed.framing, bytes.as_slice()),
        ("/whep/a?b=c", Framing::Length(5), &b"v=0\r\n"[..])
    );
    let response = Response::text(StatusCode::NOT_FOUND, "no").with(header::RETRY_AFTER, "1");
    let mut response_bytes = response.encode(&Method::GET);
    let parsed_response = response_head(&mut response_bytes, &Method::GET, &Limits::default())
        .expect("invalid head")
        .expect("incomplete head");
    assert_eq!(
        (
            parsed_response.message.status,
            parsed_response.message.field("retry-after"),
            parsed_response.framing
        ),
        (response.status, Some("1"), Framing::Length(3))
    );
}

#[test]
fn invalid_heads_map_to_status() {
    let status = |text: &str| parse(text).expect_err(text).status().as_u16();
    assert_eq!(status("GET / HTTP/1.1\r\n\r\n"), 400, "missing Host field");
    assert_eq!(status("GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n"), 400);
    assert_eq!(status("GET / HTTP/3.0\r\nhost: a\r\n\r\n"), 505);
    assert_eq!(status("GET nowhere HTTP/1.1\r\nhost: a\r\n\r\n"), 400);
    assert_eq!(status("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip\r\n\r\n"), 501);
    assert_eq!(status(&format!("GET / HTTP/1.1\r\nhost: a\r\n{}\r\n", "x: y\r\n".repeat(80))), 431);
    assert_eq!(status(&format!("GET /{} HTTP/1.1\r\n", "a".repeat(20_000))), 431);
    assert_eq!(parse("GET / HTTP/1.1\r\nhost:"), Ok(None));
    assert!(
        parse("GET http://a/b?c HTTP/1.1\r\nhost: a\r\n\r\n")
            .expect("invalid head")
            .expect("incomplete head")
            .message
            .target
            == "/b?c"
    );
}

proptest! {
    #[test]
    fn parser_never_panics(mut bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = request_head(&mut bytes.clone(), &Limits::default());
        let _ = response_head(&mut bytes, &Method::GET, &Limits::default());
    }
}
