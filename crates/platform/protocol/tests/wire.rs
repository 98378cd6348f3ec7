//! The exact bytes of each message, in both framings and both directions.

use beechloft_protocol::binary::{Frame, FrameDecoder, FrameError};
use beechloft_protocol::figures::{FigureError, Figures};
use beechloft_protocol::server::{FromServer, LineError, Note, ServerMessage, ToServer};
use beechloft_protocol::viewer::{FromViewer, SetUp, SetUpError, ToViewer};
use beechloft_protocol::{CallId, Cause};

const ID: CallId = CallId(0x9b1f_03aa_5c7e_2d41);
const ID_BYTES: [u8; 8] = [0x9b, 0x1f, 0x03, 0xaa, 0x5c, 0x7e, 0x2d, 0x41];

/// A message: type, the id of the fixtures, and parameters as bytes.
fn message(kind: u8, parameters: &[&[u8]]) -> Vec<u8> {
    let body = [&[kind][..], &ID_BYTES[..], &parameters.concat()].concat();
    let length = u16::try_from(body.len()).expect("a short message");
    [&length.to_be_bytes()[..], &body].concat()
}

/// A parameter: code, length, value.
fn parameter(code: u8, value: &[u8]) -> Vec<u8> {
    let length = u16::try_from(value.len()).expect("a short value");
    [&[code][..], &length.to_be_bytes(), value].concat()
}

fn decode(bytes: &[u8]) -> Frame {
    let mut decoder = FrameDecoder::default();
    decoder.push(bytes);
    decoder.next_frame().expect("a sound frame").expect("a whole frame")
}

fn set_up() -> SetUp {
    SetUp {
        class: "paid".into(),
        left_ms: 1_500,
        title: "7f3a9c21e0b4d655".into(),
        title_id: 0x7f3a_9c21_e0b4_d655,
        figures: Figures {
            home: 4,
            copies: 3,
            top: 2,
            viewer: 0xb4d6_5521,
            again: true,
            at: Some("s-1".into()),
        },
        description: "9d41\r\nc=IN\r\n".into(),
    }
}

#[test]
fn messages_to_viewers_have_these_bytes() {
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
fn a_set_up_of_a_viewer_is_read_from_these_bytes() {
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
fn other_messages_of_viewers_are_read_from_these_bytes() {
    let cases = [
        (6, FromViewer::Ignored(ID)),
        (12, FromViewer::Release(ID)),
        (16, FromViewer::Ignored(ID)),
        (44, FromViewer::Ignored(ID)),
        (52, FromViewer::Test(ID)),
    ];
    for (kind, want) in cases {
        let bytes = message(kind, &[&parameter(29, &[16])]);
        assert_eq!(FromViewer::parse(&decode(&bytes)), Ok(want), "type {kind}");
    }
    for kind in [0, 9, 51, 53, 255] {
        assert_eq!(FromViewer::parse(&decode(&message(kind, &[]))), Err(FrameError::Type(kind)));
    }
}

#[test]
fn what_a_set_up_must_hold_and_how_is_told_by_the_parameters_code() {
    let good: [(u8, &[u8]); 5] = [
        (1, b"paid"),
        (3, b"1500"),
        (9, b"7f3a9c21e0b4d655"),
        (11, b"home:4;copies:3;top:2;viewer:00000000b4d65521"),
        (31, b"text"),
    ];
    let read = |parameters: &[(u8, &[u8])]| {
        let parameters: Vec<Vec<u8>> = parameters.iter().map(|p| parameter(p.0, p.1)).collect();
        let slices: Vec<&[u8]> = parameters.iter().map(Vec::as_slice).collect();
        match FromViewer::parse(&decode(&message(1, &slices))) {
            Ok(FromViewer::SetUp(_, result)) => result.map(|_| ()),
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(read(&good), Ok(()));
    for index in 0..good.len() {
        let mut without = good.to_vec();
        let (code, _) = without.remove(index);
        assert_eq!(read(&without), Err(SetUpError::Missing(code)));
        let mut twice = good.to_vec();
        twice.push(good[index]);
        assert_eq!(read(&twice), Err(SetUpError::Twice(code)));
        let mut no_text = good;
        no_text[index].1 = b"\xff";
        assert_eq!(read(&no_text), Err(SetUpError::Nonsense(code)));
    }
    let mut figures = good;
    figures[3].1 = b"home:4;copies:-3;top:2;viewer:00000000b4d65521";
    assert_eq!(read(&figures), Err(SetUpError::Figures(FigureError::Nonsense("copies"))));
    // Ten minutes at most, but for a session that plays.
    let mut left = good;
    left[1].1 = b"600000";
    assert_eq!(read(&left), Ok(()));
    left[1].1 = b"600001";
    assert_eq!(read(&left), Err(SetUpError::Nonsense(3)));
}

#[test]
fn lines_to_media_servers_have_these_bytes() {
    let set_up = set_up();
    let cases: [(ToServer<'_>, &str); 5] = [
        (
            ToServer::Offer { id: ID, setup: &set_up, left_ms: 1_234, rung: 2 },
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
        (ToServer::Set(ID, 3), "{\"op\":\"set\",\"call\":\"9b1f03aa5c7e2d41\",\"with\":{\"rung\":\"3\"}}\n"),
        (ToServer::Test(ID, true), "{\"op\":\"test\",\"call\":\"9b1f03aa5c7e2d41\",\"with\":{},\"why\":1}\n"),
        (
            ToServer::Test(ID, false),
            "{\"op\":\"test\",\"call\":\"9b1f03aa5c7e2d41\",\"with\":{},\"why\":0}\n",
        ),
    ];
    for (message, want) in cases {
        let bytes = message.encode().expect("a message within its bound");
        assert_eq!(String::from_utf8(bytes).expect("text"), want);
    }
    let long = SetUp { description: "x".repeat(16 * 1024), ..set_up };
    assert_eq!(ToServer::Offer { id: ID, setup: &long, left_ms: 1, rung: 0 }.encode(), None);
}

#[test]
fn lines_of_media_servers_are_read_from_these_bytes() {
    let read = |text: &str| ServerMessage::parse(text.as_bytes()).unwrap_or_else(|e| panic!("{text}: {e}"));
    let line = |message| ServerMessage { message, load: None };
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
            FromServer::Note(ID, Note::KeptUp(0.75)),
        ),
        (
            r#"{"op":"info","call":"9b1f03aa5c7e2d41","with":{"note":"tier","value":2}}"#,
            FromServer::Note(ID, Note::Tier(2.0)),
        ),
        (
            r#"{"op":"info","call":"9b1f03aa5c7e2d41","with":{"note":"wire","value":1.5}}"#,
            FromServer::Note(ID, Note::Wire(1.5)),
        ),
        (
            r#"{"op":"info","call":"9b1f03aa5c7e2d41","with":{"note":"trunk","value":"0"}}"#,
            FromServer::Note(ID, Note::Trunk(0.0)),
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
    for (text, want) in cases {
        assert_eq!(read(text), line(want), "{text}");
    }
    for op in ["ringing", "ended", "test", "set", "redirect", "group", "offer"] {
        let text = format!(r#"{{"op":"{op}","call":"9b1f03aa5c7e2d41","with":{{"load":"x0:12"}}}}"#);
        assert_eq!(
            read(&text),
            ServerMessage { message: FromServer::Ignored(ID), load: Some("x0:12".into()) }
        );
    }
}

#[test]
fn lines_of_media_servers_that_can_not_be_read_say_why() {
    let error = |text: &str| ServerMessage::parse(text.as_bytes()).expect_err(text);
    assert!(matches!(error("{"), LineError::Json(_)));
    assert!(matches!(error(r#"{"op":"end","call":"9b1f03aa5c7e2d41","why":256}"#), LineError::Json(_)));
    assert!(matches!(error(r#"{"op":"end","call":"+b1f03aa5c7e2d41","why":1}"#), LineError::Id));
    assert!(matches!(error(r#"{"op":"fly","call":"9b1f03aa5c7e2d41"}"#), LineError::Type));
    assert!(matches!(error(r#"{"op":"end","call":"9b1f03aa5c7e2d41"}"#), LineError::Field("why")));
    assert!(matches!(error(r#"{"op":"tested","call":"9b1f03aa5c7e2d41"}"#), LineError::Field("why")));
    assert!(matches!(error(r#"{"op":"accept","call":"9b1f03aa5c7e2d41"}"#), LineError::Field("desc")));
}

#[test]
fn causes_have_the_codes_of_q_850() {
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
