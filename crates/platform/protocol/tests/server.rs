//! Messages of media servers as they are parsed.

use beechloft_protocol::server::{FromServer, Note, ServerMessage};
use beechloft_protocol::{CallId, Cause};
use proptest::prelude::*;

#[test]
fn messages_are_parsed_with_their_load_reports() {
    let end =
        ServerMessage::parse(br#"{"op":"end","call":"9b1f03aa5c7e2d41","with":{"load":"x0:12"},"why":34}"#)
            .expect("sound");
    let id = CallId(0x9b1f_03aa_5c7e_2d41);
    assert_eq!(
        end,
        ServerMessage { event: FromServer::End(id, Cause::NoCircuit), load: Some("x0:12".into()) }
    );
    let note = ServerMessage::parse(
        br#"{"op":"info","call":"9b1f03aa5c7e2d41","with":{"note":"wire","value":"0.5"}}"#,
    )
    .expect("sound");
    assert_eq!(note.event, FromServer::Note(id, Note::LinkUtilization(0.5)));
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
    fn no_line_panics(line in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = ServerMessage::parse(&line);
    }

    #[test]
    fn descriptions_pass_unchanged(text in any::<String>()) {
        let line = serde_json::json!({"op": "accept", "call": "9b1f03aa5c7e2d41", "with": {}, "desc": text});
        let event = ServerMessage::parse(line.to_string().as_bytes()).expect("sound").event;
        prop_assert_eq!(event, FromServer::Accept(CallId(0x9b1f_03aa_5c7e_2d41), text));
    }
}
