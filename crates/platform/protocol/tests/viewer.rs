//! Parsing of messages from viewers.

use beechloft_protocol::CallId;
use beechloft_protocol::binary::{Frame, FrameError};
use beechloft_protocol::viewer::{FromViewer, SetUp, SetUpError};

const SET_UP: u8 = 1;

const CLASS: u8 = 1;
const TIMEOUT: u8 = 3;
const TITLE: u8 = 9;
const ATTRIBUTES: u8 = 11;
const DESCRIPTION: u8 = 31;

fn valid_set_up() -> Frame {
    Frame::new(SET_UP, CallId(7))
        .with(CLASS, "paid")
        .with(TIMEOUT, "1500")
        .with(TITLE, "7f3a9c21e0b4d655")
        .with(ATTRIBUTES, "home:4;copies:3;top:4;viewer:00000000b4d65521")
        .with(DESCRIPTION, "9d41\r\nc=IN\r\n")
}

fn set_parameter(frame: &mut Frame, code: u8, value: &[u8]) {
    for parameter in frame.parameters.iter_mut().filter(|parameter| parameter.code == code) {
        parameter.value = value.to_vec();
    }
}

fn parse_set_up(frame: &Frame) -> Result<Box<SetUp>, SetUpError> {
    match FromViewer::parse(frame) {
        Ok(FromViewer::SetUp(_, result)) => result,
        other => panic!("{other:?}"),
    }
}

#[test]
fn parses_set_up() {
    let set_up = parse_set_up(&valid_set_up()).expect("a valid set-up");
    assert_eq!(
        (set_up.class.as_str(), set_up.timeout_ms, set_up.title_id),
        ("paid", 1500, 0x7f3a_9c21_e0b4_d655)
    );
    assert_eq!(set_up.description, "9d41\r\nc=IN\r\n");
}

#[test]
fn accepts_any_timeout_for_established_session() {
    let attributes_of_new = "home:9;copies:3;top:2;viewer:000f4c3cc09d2c2f";
    let parse = |timeout: &str, attributes: &str| {
        let mut frame = valid_set_up();
        set_parameter(&mut frame, TIMEOUT, timeout.as_bytes());
        set_parameter(&mut frame, ATTRIBUTES, attributes.as_bytes());
        parse_set_up(&frame)
    };
    assert_eq!(parse("4294967", attributes_of_new), Err(SetUpError::Invalid(TIMEOUT)));
    let set_up = parse("4294967", &format!("{attributes_of_new};at:s-a4c91747")).expect("a valid set-up");
    assert_eq!((set_up.timeout_ms, set_up.attributes.playing_at.as_deref()), (4_294_967, Some("s-a4c91747")));
}

#[test]
fn invalid_set_up_does_not_invalidate_connection() {
    let parse_with = |code: u8, value: &[u8]| {
        let mut frame = valid_set_up();
        set_parameter(&mut frame, code, value);
        parse_set_up(&frame)
    };
    for invalid in ["-5", "1e3", "", "99999999999999999999", "700000", "NaN"] {
        assert_eq!(parse_with(TIMEOUT, invalid.as_bytes()), Err(SetUpError::Invalid(TIMEOUT)), "{invalid}");
    }
    assert_eq!(parse_with(TITLE, b"zz"), Err(SetUpError::Invalid(TITLE)));
    assert_eq!(parse_with(DESCRIPTION, &[0xff, 0xfe]), Err(SetUpError::Invalid(DESCRIPTION)));
    assert_eq!(parse_set_up(&valid_set_up().with(TIMEOUT, "3")), Err(SetUpError::Duplicate(TIMEOUT)));
    let mut without_class = valid_set_up();
    without_class.parameters.remove(0);
    assert_eq!(parse_set_up(&without_class), Err(SetUpError::Missing(CLASS)));
    assert_eq!(parse_set_up(&Frame { id: CallId(0), ..valid_set_up() }), Err(SetUpError::MissingId));
    assert_eq!(FromViewer::parse(&Frame::new(99, CallId(1))), Err(FrameError::UnknownType(99)));
}
