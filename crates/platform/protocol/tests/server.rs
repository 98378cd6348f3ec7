//! Parsing of messages from media servers.

use beechloft_protocol::server::{FromServer, Measurement, ServerMessage};
use beechloft_protocol::{CallId, Cause};
use proptest::prelude::*;

#[test]
fn parses_messages_with_load_reports() {
    let end =
        ServerMessage::parse(br#"{"op":"end","call":"9b1f03aa5c7e2d41","with":{"load":"x0:12"},"why":34}"#)
            .expect("a valid message");
    let id = CallId(0x9b1f_03aa_5c7e_2d41);
    assert_eq!(
        end,
        ServerMessage { event: FromServer::End(id, Cause::NoCircuit), load: Some("x0:12".into()) }
    );
    let info = ServerMessage::parse(
        br#"{"op":"info","call":"9b1f03aa5c7e2d41","with":{"note":"wire","value":"0.5"}}"#,
    )
    .expect("a valid message");
    assert_eq!(info.event, FromServer::Measurement(id, Measurement::LinkUtilization(0.5)));
    for invalid in [
        &b"{}"[..],
        b"[",
        br#"{"op":"accept","call":"9b1f03aa5c7e2d41"}"#,
        br#"{"op":"end","call":"1","why":34}"#,
    ] {
        assert!(ServerMessage::parse(invalid).is_err());
    }
}

proptest! {
    #[test]
    fn arbitrary_lines_do_not_panic(line in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = ServerMessage::parse(&line);
    }

    #[test]
    fn keeps_descriptions_unchanged(text in any::<String>()) {
        let line = serde_json::json!({"op": "accept", "call": "9b1f03aa5c7e2d41", "with": {}, "desc": text});
        let event = ServerMessage::parse(line.to_string().as_bytes()).expect("a valid message").event;
        prop_assert_eq!(event, FromServer::Accept(CallId(0x9b1f_03aa_5c7e_2d41), text));
    }
}
