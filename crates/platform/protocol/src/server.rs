//! Messages between the front node and media servers.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use thiserror::Error;

use crate::viewer::SetUp;
use crate::{CallId, Cause, MAX_MESSAGE};

/// What can't be read. The connection is of no more use.
#[derive(Debug, Error)]
pub enum LineError {
    /// No object of the stated form.
    #[error("not a message: {0}")]
    Json(#[from] serde_json::Error),
    /// Its id is not one.
    #[error("not an id")]
    Id,
    /// An unknown type.
    #[error("unknown type")]
    Type,
    /// Something that the type needs is missing or makes no sense.
    #[error("the field {0} is missing or makes no sense")]
    Field(&'static str),
}

/// A note on a session that stands.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Note {
    /// `kept_up`: share of the rate delivered.
    KeptUp(f64),
    /// `tier`: the rung in force.
    Tier(f64),
    /// `wire`: use of the link.
    Wire(f64),
    /// `trunk`: use of the rack's uplink.
    Trunk(f64),
}

/// What a media server says.
#[derive(Debug, Clone, PartialEq)]
pub enum FromServer {
    /// The session stands.
    Accept(CallId, String),
    /// A refusal, a failure or the end of a session, by its cause.
    End(CallId, Cause),
    /// A note.
    Note(CallId, Note),
    /// A test was passed or not.
    TestResult(CallId, bool),
    /// Something that means nothing here: progress, a release heard, a note of another kind.
    Ignored(CallId),
}

/// A message and the load report that came with it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerMessage {
    /// The message.
    pub message: FromServer,
    /// The report's text.
    pub load: Option<String>,
}

#[derive(Deserialize)]
struct Raw {
    op: String,
    call: String,
    #[serde(default)]
    with: Map<String, Value>,
    why: Option<u8>,
    desc: Option<String>,
}

fn figure(value: &Value) -> Option<f64> {
    let figure = match value {
        Value::Number(n) => n.as_f64()?,
        Value::String(s) => s.parse().ok()?,
        _ => return None,
    };
    (figure.is_finite() && figure >= 0.0).then_some(figure)
}

impl ServerMessage {
    /// Reads a line.
    pub fn parse(line: &[u8]) -> Result<ServerMessage, LineError> {
        let raw: Raw = serde_json::from_slice(line)?;
        let id: CallId = raw.call.parse().map_err(|_| LineError::Id)?;
        let message = match raw.op.as_str() {
            "accept" => FromServer::Accept(id, raw.desc.ok_or(LineError::Field("desc"))?),
            "end" => FromServer::End(id, raw.why.ok_or(LineError::Field("why"))?.into()),
            "tested" => FromServer::TestResult(id, raw.why.ok_or(LineError::Field("why"))? == 1),
            "info" => {
                match (raw.with.get("note").and_then(Value::as_str), raw.with.get("value").and_then(figure)) {
                    (Some("kept_up"), Some(x)) => FromServer::Note(id, Note::KeptUp(x)),
                    (Some("tier"), Some(x)) => FromServer::Note(id, Note::Tier(x)),
                    (Some("wire"), Some(x)) => FromServer::Note(id, Note::Wire(x)),
                    (Some("trunk"), Some(x)) => FromServer::Note(id, Note::Trunk(x)),
                    _ => FromServer::Ignored(id),
                }
            }
            "ringing" | "ended" | "test" | "set" | "redirect" | "group" | "offer" => FromServer::Ignored(id),
            _ => return Err(LineError::Type),
        };
        let load = raw.with.get("load").and_then(Value::as_str).map(str::to_owned);
        Ok(ServerMessage { message, load })
    }
}

/// What the front node says to a media server.
#[derive(Debug, Clone, Copy)]
pub enum ToServer<'a> {
    /// A set-up: how long the front node waits, in milliseconds, and the rung.
    Offer {
        /// The session.
        id: CallId,
        /// What the viewer stated.
        setup: &'a SetUp,
        /// How long the front node waits, in milliseconds.
        left_ms: u64,
        /// The rung, from 0.
        rung: u8,
    },
    /// A set-up is given up, or a session released.
    End(CallId, Cause),
    /// A new rung.
    Set(CallId, u8),
    /// A test; a probe with `true`, which gets a report.
    Test(CallId, bool),
}

#[derive(Serialize)]
struct Out<'a> {
    op: &'a str,
    call: String,
    with: Map<String, Value>,
    #[serde(skip_serializing_if = "Option::is_none")]
    why: Option<u8>,
    #[serde(skip_serializing_if = "Option::is_none")]
    desc: Option<&'a str>,
}

impl ToServer<'_> {
    /// The line with its end; none: past the bound of a message.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let mut with = Map::new();
        let (op, id, why, desc) = match *self {
            ToServer::Offer { id, setup, left_ms, rung } => {
                with.insert("class".into(), setup.class.as_str().into());
                with.insert("key".into(), setup.title.as_str().into());
                with.insert("left".into(), left_ms.to_string().into());
                with.insert("rung".into(), rung.to_string().into());
                ("offer", id, None, Some(setup.description.as_str()))
            }
            ToServer::End(id, cause) => ("end", id, Some(cause.code()), None),
            ToServer::Set(id, rung) => {
                with.insert("rung".into(), rung.to_string().into());
                ("set", id, None, None)
            }
            ToServer::Test(id, probe) => ("test", id, Some(u8::from(probe)), None),
        };
        let mut line = serde_json::to_vec(&Out { op, call: id.to_string(), with, why, desc }).ok()?;
        line.push(b'\n');
        (line.len() <= MAX_MESSAGE).then_some(line)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn messages_are_read_with_their_reports() {
        let got = ServerMessage::parse(
            br#"{"op":"end","call":"9b1f03aa5c7e2d41","with":{"load":"x0:12"},"why":34}"#,
        )
        .expect("sound");
        let id = CallId(0x9b1f_03aa_5c7e_2d41);
        assert_eq!(
            got,
            ServerMessage { message: FromServer::End(id, Cause::NoCircuit), load: Some("x0:12".into()) }
        );
        let got = ServerMessage::parse(
            br#"{"op":"info","call":"9b1f03aa5c7e2d41","with":{"note":"wire","value":"0.5"}}"#,
        )
        .expect("sound");
        assert_eq!(got.message, FromServer::Note(id, Note::Wire(0.5)));
        for bad in [
            &b"{}"[..],
            b"[",
            br#"{"op":"accept","call":"9b1f03aa5c7e2d41"}"#,
            br#"{"op":"end","call":"1","why":34}"#,
        ] {
            assert!(ServerMessage::parse(bad).is_err());
        }
    }

    proptest! {
        #[test]
        fn no_line_makes_it_panic(line in prop::collection::vec(any::<u8>(), 0..200)) {
            let _ = ServerMessage::parse(&line);
        }

        #[test]
        fn descriptions_pass_unchanged(text in any::<String>()) {
            let line = serde_json::json!({"op": "accept", "call": "9b1f03aa5c7e2d41", "with": {}, "desc": text});
            let got = ServerMessage::parse(line.to_string().as_bytes()).expect("sound").message;
            prop_assert_eq!(got, FromServer::Accept(CallId(0x9b1f_03aa_5c7e_2d41), text));
        }
    }
}
