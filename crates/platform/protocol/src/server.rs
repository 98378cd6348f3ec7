//! Messages between the front node and media servers, one JSON object a line.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use thiserror::Error;

use crate::viewer::SetUp;
use crate::{CallId, Cause, MAX_MESSAGE};

/// Why a line is no message of a media server. The connection is of no use after it.
#[derive(Debug, Error)]
pub enum ServerMessageError {
    /// The line is not JSON of the expected form.
    #[error("not a message: {0}")]
    Json(#[from] serde_json::Error),
    /// The session's identifier is not valid.
    #[error("the session's identifier is not valid")]
    InvalidId,
    /// The operation is not known.
    #[error("unknown operation")]
    UnknownOperation,
    /// A field that the operation needs is missing.
    #[error("the field {0} is missing")]
    MissingField(&'static str),
}

/// A measurement of an established session.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Note {
    /// `kept_up`: the delivered fraction of the rate.
    DeliveredFraction(f64),
    /// `tier`: the rung in use.
    Rung(f64),
    /// `wire`: utilization of the server's link.
    LinkUtilization(f64),
    /// `trunk`: utilization of the rack's uplink.
    UplinkUtilization(f64),
}

/// What a media server reports.
#[derive(Debug, Clone, PartialEq)]
pub enum FromServer {
    /// The session is established; its description.
    Accept(CallId, String),
    /// A refusal, a failure or the end of a session.
    End(CallId, Cause),
    /// A measurement.
    Note(CallId, Note),
    /// Whether a health check or a probe passed.
    TestResult(CallId, bool),
    /// A message that needs no action: progress, a release is complete, an unknown or invalid note.
    Ignored(CallId),
}

/// A message of a media server.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerMessage {
    /// What it reports.
    pub event: FromServer,
    /// The text of the load report that came with it, see [`crate::load`].
    pub load: Option<String>,
}

/// A line of a media server as written.
#[derive(Deserialize)]
struct RawMessage {
    op: String,
    call: String,
    #[serde(default)]
    with: Map<String, Value>,
    why: Option<u8>,
    desc: Option<String>,
}

impl ServerMessage {
    /// Parses a line.
    ///
    /// # Errors
    ///
    /// A [`ServerMessageError`] if the line is not a known message with the fields that it needs.
    pub fn parse(line: &[u8]) -> Result<ServerMessage, ServerMessageError> {
        let raw: RawMessage = serde_json::from_slice(line)?;
        let id: CallId = raw.call.parse().map_err(|_| ServerMessageError::InvalidId)?;
        let load = raw.with.get("load").and_then(Value::as_str).map(str::to_owned);
        let event = raw.event(id)?;
        Ok(ServerMessage { event, load })
    }
}

impl RawMessage {
    fn event(self, id: CallId) -> Result<FromServer, ServerMessageError> {
        let why = self.why.ok_or(ServerMessageError::MissingField("why"));
        match self.op.as_str() {
            "accept" => {
                let description = self.desc.ok_or(ServerMessageError::MissingField("desc"))?;
                Ok(FromServer::Accept(id, description))
            }
            "end" => Ok(FromServer::End(id, why?.into())),
            "tested" => Ok(FromServer::TestResult(id, why? == 1)),
            "info" => Ok(self.note().map_or(FromServer::Ignored(id), |note| FromServer::Note(id, note))),
            "ringing" | "ended" | "test" | "set" | "redirect" | "group" | "offer" => {
                Ok(FromServer::Ignored(id))
            }
            _ => Err(ServerMessageError::UnknownOperation),
        }
    }

    fn note(&self) -> Option<Note> {
        let name = self.with.get("note").and_then(Value::as_str)?;
        let value = self.with.get("value").and_then(parse_measurement)?;
        match name {
            "kept_up" => Some(Note::DeliveredFraction(value)),
            "tier" => Some(Note::Rung(value)),
            "wire" => Some(Note::LinkUtilization(value)),
            "trunk" => Some(Note::UplinkUtilization(value)),
            _ => None,
        }
    }
}

/// A finite number from 0 on, as a number or as text.
fn parse_measurement(value: &Value) -> Option<f64> {
    let number: f64 = match value {
        Value::Number(number) => number.as_f64()?,
        Value::String(text) => text.parse().ok()?,
        _ => return None,
    };
    (number.is_finite() && number >= 0.0).then_some(number)
}

/// A message to a media server.
#[derive(Debug, Clone, Copy)]
pub enum ToServer<'a> {
    /// A set-up.
    Offer {
        /// The session.
        id: CallId,
        /// What the viewer stated.
        setup: &'a SetUp,
        /// How long the front node waits for the answer, in milliseconds.
        timeout_ms: u64,
        /// The rung, from 0.
        rung: u8,
    },
    /// A set-up is abandoned, or a session released.
    End(CallId, Cause),
    /// The session's rung changes.
    SetRung(CallId, u8),
    /// A health check; with `true` a probe, whose result has a load report.
    Test(CallId, bool),
}

/// A line to a media server as written; the fields' order is that of the wire.
#[derive(Serialize)]
struct RawCommand<'a> {
    op: &'a str,
    call: String,
    with: Map<String, Value>,
    #[serde(skip_serializing_if = "Option::is_none")]
    why: Option<u8>,
    #[serde(skip_serializing_if = "Option::is_none")]
    desc: Option<&'a str>,
}

impl<'a> RawCommand<'a> {
    fn new(op: &'a str, id: CallId) -> Self {
        RawCommand { op, call: id.to_string(), with: Map::new(), why: None, desc: None }
    }

    fn with(mut self, name: &str, value: impl Into<Value>) -> Self {
        self.with.insert(name.to_owned(), value.into());
        self
    }
}

impl ToServer<'_> {
    /// The line with its end; none if it would exceed [`MAX_MESSAGE`].
    pub fn encode(&self) -> Option<Vec<u8>> {
        let mut line = serde_json::to_vec(&self.raw()).ok()?;
        line.push(b'\n');
        (line.len() <= MAX_MESSAGE).then_some(line)
    }

    fn raw(&self) -> RawCommand<'_> {
        match *self {
            ToServer::Offer { id, setup, timeout_ms, rung } => {
                let mut offer = RawCommand::new("offer", id)
                    .with("class", setup.class.as_str())
                    .with("key", setup.title.as_str())
                    .with("left", timeout_ms.to_string())
                    .with("rung", rung.to_string());
                offer.desc = Some(&setup.description);
                offer
            }
            ToServer::End(id, cause) => RawCommand { why: Some(cause.code()), ..RawCommand::new("end", id) },
            ToServer::SetRung(id, rung) => RawCommand::new("set", id).with("rung", rung.to_string()),
            ToServer::Test(id, probe) => {
                RawCommand { why: Some(u8::from(probe)), ..RawCommand::new("test", id) }
            }
        }
    }
}
