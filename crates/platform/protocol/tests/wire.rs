//! Exact encoding of each message, in both framings and both directions.

use beechloft_protocol::attributes::{AttributeError, Attributes};
use beechloft_protocol::binary::{Frame, FrameDecoder, FrameError};
use beechloft_protocol::server::{FromServer, Measurement, ServerMessage, ServerMessageError, ToServer};
use beechloft_protocol::viewer::{FromViewer, SetUp, SetUpError, ToViewer};
use beechloft_protocol::{CallId, Cause};

const ID: CallId = CallId(0x9b1f_03aa_5c7e_2d41);
const ID_BYTES: [u8; 8] = [0x9b, 0x1f, 0x03, 0xaa, 0x5c, 0x7e, 0x2d, 0x41];

/// Encodes a message from its type, the identifier of the fixtures and encoded parameters.
fn message(kind: u8, parameters: &[&[u8]]) -> Vec<u8> {
    let body = [&[kind][..], &ID_BYTES[..], &parameters.concat()].concat();
    let length = u16::try_from(body.len()).expect("a short message");
    [&length.to_be_bytes()[..], &body].concat()
}

/// Encodes a parameter.
fn parameter(code: u8, value: &[u8]) -> Vec<u8> {
    let length = u16::try_from(value.len()).expect("a short value");
    [&[code][..], &length.to_be_bytes(), value].concat()
}

fn decode(bytes: &[u8]) -> Frame {
    let mut decoder = FrameDecoder::default();
    decoder.push(bytes);
    decoder.next_frame().expect("a valid frame").expect("a complete frame")
}

fn set_up() -> SetUp {
    SetUp {
        class: "paid".into(),
        timeout_ms: 1_500,
        title: "7f3a9c21e0b4d655".into(),
        title_id: 0x7f3a_9c21_e0b4_d655,
        attributes: Attributes {
            home_cell: 4,
            copies: 3,
            max_rung: 2,
            viewer: 0xb4d6_5521,
            is_retry: true,
            playing_at: Some("s-1".into()),
        },
        description: "9d41\r\nc=IN\r\n".into(),
    }
}

#[test]
fn encodes_messages_to_viewers() {
    let cases: [(ToViewer, &[u8]); 7] = [
        (
            ToViewer::Answer(ID, "v=0\r\n\u{e9}".into()),
            b"\x00\x13\x09\x9b\x1f\x03\xaa\x5c\x7e\x2d\x41\x1f\x00\x07v=0\r\n\xc3\xa9",
        ),
        (
            ToViewer::Release(ID, Cause::TemporaryFailure),
            b"\x00\x0d\x0c\x9b\x1f\x03\xaa\x5c\x7e\x2d\x41\x1d\x00\x01\x29",
        ),
        (
            ToViewer::ReleaseWithRetryAfter(ID, Cause::NoCircuit, 500),
            b"\x00\x13\x0c\x9b\x1f\x03\xaa\x5c\x7e\x2d\x41\x1d\x00\x01\x22\x0d\x00\x03500",
        ),
        (ToViewer::Move(ID), b"\x00\x09\x33\x9b\x1f\x03\xaa\x5c\x7e\x2d\x41"),
        (ToViewer::ReleaseComplete(ID), b"\x00\x09\x10\x9b\x1f\x03\xaa\x5c\x7e\x2d\x41"),
        (ToViewer::TestResult(ID, true), b"\x00\x0d\x35\x9b\x1f\x03\xaa\x5c\x7e\x2d\x41\x1d\x00\x01\x01"),
        (ToViewer::TestResult(ID, false), b"\x00\x0d\x35\x9b\x1f\x03\xaa\x5c\x7e\x2d\x41\x1d\x00\x01\x00"),
    ];
    for (message, bytes) in cases {
        assert_eq!(message.encode().as_deref(), Some(bytes), "{message:?}");
        assert_eq!(decode(bytes).encode().as_deref(), Some(bytes), "{message:?}");
    }
    assert_eq!(ToViewer::Answer(ID, "x".repeat(16 * 1024)).encode(), None);
}

#[test]
fn parses_set_up_of_viewer() {
    let bytes = b"\x00\x82\x01\x9b\x1f\x03\xaa\x5c\x7e\x2d\x41\
        \x01\x00\x04paid\
        \x03\x00\x041500\
        \x09\x00\x107f3a9c21e0b4d655\
        \x0b\x00\x42home:4;copies:3;top:2;viewer:00000000b4d65521;again:1;new:9;at:s-1\
        \x1f\x00\x0c9d41\r\nc=IN\r\n\
        \x63\x00\x01x";
    let frame = decode(bytes);
    assert_eq!(frame.encode().as_deref(), Some(&bytes[..]));
    assert_eq!(FromViewer::parse(&frame), Ok(FromViewer::SetUp(ID, Ok(Box::new(set_up())))));
}

#[test]
fn parses_other_messages_of_viewers() {
    let cases = [
        (6, FromViewer::Ignored(ID)),
        (12, FromViewer::Release(ID)),
        (16, FromViewer::Ignored(ID)),
        (44, FromViewer::Ignored(ID)),
        (52, FromViewer::Test(ID)),
    ];
    for (kind, expected) in cases {
        let bytes = message(kind, &[&parameter(29, &[16])]);
        assert_eq!(FromViewer::parse(&decode(&bytes)), Ok(expected), "type {kind}");
    }
    for kind in [0, 9, 51, 53, 255] {
        assert_eq!(FromViewer::parse(&decode(&message(kind, &[]))), Err(FrameError::UnknownType(kind)));
    }
}

#[test]
fn invalid_set_up_names_parameter() {
    let valid: [(u8, &[u8]); 5] = [
        (1, b"paid"),
        (3, b"1500"),
        (9, b"7f3a9c21e0b4d655"),
        (11, b"home:4;copies:3;top:2;viewer:00000000b4d65521"),
        (31, b"text"),
    ];
    let parse = |parameters: &[(u8, &[u8])]| {
        let parameters: Vec<Vec<u8>> = parameters.iter().map(|p| parameter(p.0, p.1)).collect();
        let slices: Vec<&[u8]> = parameters.iter().map(Vec::as_slice).collect();
        match FromViewer::parse(&decode(&message(1, &slices))) {
            Ok(FromViewer::SetUp(_, result)) => result.map(|_| ()),
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(parse(&valid), Ok(()));
    for index in 0..valid.len() {
        let mut without = valid.to_vec();
        let (code, _) = without.remove(index);
        assert_eq!(parse(&without), Err(SetUpError::Missing(code)));
        let mut twice = valid.to_vec();
        twice.push(valid[index]);
        assert_eq!(parse(&twice), Err(SetUpError::Duplicate(code)));
        let mut not_utf8 = valid;
        not_utf8[index].1 = b"\xff";
        assert_eq!(parse(&not_utf8), Err(SetUpError::Invalid(code)));
    }
    let mut attributes = valid;
    attributes[3].1 = b"home:4;copies:-3;top:2;viewer:00000000b4d65521";
    assert_eq!(parse(&attributes), Err(SetUpError::Attributes(AttributeError::Invalid("copies"))));
    // The maximum timeout of a new session is ten minutes.
    let mut timeout = valid;
    timeout[1].1 = b"600000";
    assert_eq!(parse(&timeout), Ok(()));
    timeout[1].1 = b"600001";
    assert_eq!(parse(&timeout), Err(SetUpError::Invalid(3)));
}

#[test]
fn encodes_lines_to_servers() {
    let set_up = set_up();
    let cases: [(ToServer<'_>, &str); 5] = [
        (
            ToServer::Offer { id: ID, setup: &set_up, timeout_ms: 1_234, rung: 2 },
            concat!(
                r#"{"op":"offer","call":"9b1f03aa5c7e2d41","with":{"class":"paid","key":"7f3a9c21e0b4d655","#,
                r#""left":"1234","rung":"2"},"desc":"9d41\r\nc=IN\r\n"}"#,
                "\n"
            ),
        ),
        (
            ToServer::End(ID, Cause::Cancelled),
            "{\"op\":\"end\",\"call\":\"9b1f03aa5c7e2d41\",\"with\":{},\"why\":31}\n",
        ),
        (
            ToServer::SetRung(ID, 3),
            "{\"op\":\"set\",\"call\":\"9b1f03aa5c7e2d41\",\"with\":{\"rung\":\"3\"}}\n",
        ),
        (ToServer::Test(ID, true), "{\"op\":\"test\",\"call\":\"9b1f03aa5c7e2d41\",\"with\":{},\"why\":1}\n"),
        (
            ToServer::Test(ID, false),
            "{\"op\":\"test\",\"call\":\"9b1f03aa5c7e2d41\",\"with\":{},\"why\":0}\n",
        ),
    ];
    for (message, expected) in cases {
        let bytes = message.encode().expect("a message within the limit");
        assert_eq!(String::from_utf8(bytes).expect("valid UTF-8"), expected);
    }
    let long = SetUp { description: "x".repeat(16 * 1024), ..set_up };
    assert_eq!(ToServer::Offer { id: ID, setup: &long, timeout_ms: 1, rung: 0 }.encode(), None);
}

#[test]
fn parses_lines_of_servers() {
    let parse = |text: &str| ServerMessage::parse(text.as_bytes()).unwrap_or_else(|e| panic!("{text}: {e}"));
    let line = |event| ServerMessage { event, load: None };
    let cases = [
        (
            r#"{"op":"accept","call":"9b1f03aa5c7e2d41","with":{},"desc":"v=0\r\n"}"#,
            FromServer::Accept(ID, "v=0\r\n".into()),
        ),
        (r#"{"op":"end","call":"9b1f03aa5c7e2d41","why":102}"#, FromServer::End(ID, Cause::TimerExpiry)),
        (r#"{"op":"end","call":"9b1f03aa5c7e2d41","why":200}"#, FromServer::End(ID, Cause::Other(200))),
        (r#"{"op":"tested","call":"9b1f03aa5c7e2d41","why":1}"#, FromServer::TestResult(ID, true)),
        (r#"{"op":"tested","call":"9b1f03aa5c7e2d41","why":0}"#, FromServer::TestResult(ID, false)),
        (r#"{"op":"tested","call":"9b1f03aa5c7e2d41","why":2}"#, FromServer::TestResult(ID, false)),
        (
            r#"{"op":"info","call":"9b1f03aa5c7e2d41","with":{"note":"kept_up","value":"0.75"}}"#,
            FromServer::Measurement(ID, Measurement::DeliveredFraction(0.75)),
        ),
        (
            r#"{"op":"info","call":"9b1f03aa5c7e2d41","with":{"note":"tier","value":2}}"#,
            FromServer::Measurement(ID, Measurement::Rung(2.0)),
        ),
        (
            r#"{"op":"info","call":"9b1f03aa5c7e2d41","with":{"note":"wire","value":1.5}}"#,
            FromServer::Measurement(ID, Measurement::LinkUtilization(1.5)),
        ),
        (
            r#"{"op":"info","call":"9b1f03aa5c7e2d41","with":{"note":"trunk","value":"0"}}"#,
            FromServer::Measurement(ID, Measurement::UplinkUtilization(0.0)),
        ),
        (
            r#"{"op":"info","call":"9b1f03aa5c7e2d41","with":{"note":"wire","value":"-1"}}"#,
            FromServer::Ignored(ID),
        ),
        (
            r#"{"op":"info","call":"9b1f03aa5c7e2d41","with":{"note":"other","value":1}}"#,
            FromServer::Ignored(ID),
        ),
    ];
    for (text, expected) in cases {
        assert_eq!(parse(text), line(expected), "{text}");
    }
    for op in ["ringing", "ended", "test", "set", "redirect", "group", "offer"] {
        let text = format!(r#"{{"op":"{op}","call":"9b1f03aa5c7e2d41","with":{{"load":"x0:12"}}}}"#);
        assert_eq!(
            parse(&text),
            ServerMessage { event: FromServer::Ignored(ID), load: Some("x0:12".into()) }
        );
    }
}

#[test]
fn invalid_lines_have_specific_errors() {
    let error = |text: &str| ServerMessage::parse(text.as_bytes()).expect_err(text);
    assert!(matches!(error("{"), ServerMessageError::Json(_)));
    assert!(matches!(
        error(r#"{"op":"end","call":"9b1f03aa5c7e2d41","why":256}"#),
        ServerMessageError::Json(_)
    ));
    assert!(matches!(
        error(r#"{"op":"end","call":"+b1f03aa5c7e2d41","why":1}"#),
        ServerMessageError::InvalidId
    ));
    assert!(matches!(
        error(r#"{"op":"fly","call":"9b1f03aa5c7e2d41"}"#),
        ServerMessageError::UnknownOperation
    ));
    assert!(matches!(
        error(r#"{"op":"end","call":"9b1f03aa5c7e2d41"}"#),
        ServerMessageError::MissingField("why")
    ));
    assert!(matches!(
        error(r#"{"op":"tested","call":"9b1f03aa5c7e2d41"}"#),
        ServerMessageError::MissingField("why")
    ));
    assert!(matches!(
        error(r#"{"op":"accept","call":"9b1f03aa5c7e2d41"}"#),
        ServerMessageError::MissingField("desc")
    ));
}

#[test]
fn causes_have_q850_codes() {
    let codes = [
        (Cause::Normal, 16),
        (Cause::Cancelled, 31),
        (Cause::NoCircuit, 34),
        (Cause::TemporaryFailure, 41),
        (Cause::Congestion, 42),
        (Cause::ResourceUnavailable, 47),
        (Cause::MissingElement, 96),
        (Cause::InvalidElement, 100),
        (Cause::TimerExpiry, 102),
        (Cause::Protocol, 111),
        (Cause::Other(7), 7),
    ];
    for (cause, code) in codes {
        assert_eq!((cause.code(), Cause::from(code)), (code, cause));
    }
}
