//! Messages between the front node and media servers, with one JSON object per line.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use thiserror::Error;

use crate::viewer::SetUp;
use crate::{CallId, Cause, MAX_MESSAGE_BYTES};

/// Error of parsing a line from a media server. The connection can't be used after it.
#[derive(Debug, Error)]
pub enum ServerMessageError {
    /// The line is not JSON with the expected fields.
    #[error("not a message: {0}")]
    Json(#[from] serde_json::Error),
    /// The identifier of the session is not valid.
    #[error("the session's identifier is not valid")]
    InvalidId,
    /// The operation is unknown.
    #[error("unknown operation")]
    UnknownOperation,
    /// A field that the operation requires is missing.
    #[error("the field {0} is missing")]
    MissingField(&'static str),
}

/// A measurement of an established session.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Measurement {
    /// Fraction of the rate that is delivered (`kept_up`).
    DeliveredFraction(f64),
    /// Rung in use (`tier`).
    Rung(f64),
    /// Utilization of the media server's link (`wire`).
    LinkUtilization(f64),
    /// Utilization of the rack's uplink (`trunk`).
    UplinkUtilization(f64),
}

/// Event that a media server reports.
#[derive(Debug, Clone, PartialEq)]
pub enum FromServer {
    /// The session is established, with its description.
    Accept(CallId, String),
    /// The set-up is refused, or the session failed or ended.
    End(CallId, Cause),
    /// A measurement of an established session.
    Measurement(CallId, Measurement),
    /// Result of a health check or a probe: whether it passed.
    TestResult(CallId, bool),
    /// A message that requires no action: progress, the completion of a release, or an unknown or invalid measurement.
    Ignored(CallId),
}

/// A message from a media server.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerMessage {
    /// Event that the message reports.
    pub event: FromServer,
    /// Text of the load report in the message, which [`crate::load`] parses. `None` if there is none.
    pub load: Option<String>,
}

/// A line from a media server as encoded in JSON.
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
    /// Parses a line without its line feed.
    ///
    /// # Errors
    ///
    /// Returns a [`ServerMessageError`] if the line is not a known message with the required fields.
    pub fn parse(line: &[u8]) -> Result<ServerMessage, ServerMessageError> {
        let raw: RawMessage = serde_json::from_slice(line)?;
        let id: CallId = raw.call.parse().map_err(|_| ServerMessageError::InvalidId)?;
        let load = raw.with.get("load").and_then(Value::as_str).map(str::to_owned);
        let event = raw.event(id)?;
        Ok(ServerMessage { event, load })
    }
}

impl RawMessage {
    /// Converts the line to the event that it reports.
    fn event(self, id: CallId) -> Result<FromServer, ServerMessageError> {
        let why = self.why.ok_or(ServerMessageError::MissingField("why"));
        match self.op.as_str() {
            "accept" => {
                let description = self.desc.ok_or(ServerMessageError::MissingField("desc"))?;
                Ok(FromServer::Accept(id, description))
            }
            "end" => Ok(FromServer::End(id, why?.into())),
            "tested" => Ok(FromServer::TestResult(id, why? == 1)),
            "info" => Ok(self
                .measurement()
                .map_or(FromServer::Ignored(id), |value| FromServer::Measurement(id, value))),
            "ringing" | "ended" | "test" | "set" | "redirect" | "group" | "offer" => {
                Ok(FromServer::Ignored(id))
            }
            _ => Err(ServerMessageError::UnknownOperation),
        }
    }

    /// Returns the measurement of an `info` line. Returns `None` if it is unknown or not valid.
    fn measurement(&self) -> Option<Measurement> {
        let name = self.with.get("note").and_then(Value::as_str)?;
        let value = self.with.get("value").and_then(parse_measured_value)?;
        match name {
            "kept_up" => Some(Measurement::DeliveredFraction(value)),
            "tier" => Some(Measurement::Rung(value)),
            "wire" => Some(Measurement::LinkUtilization(value)),
            "trunk" => Some(Measurement::UplinkUtilization(value)),
            _ => None,
        }
    }
}

/// Parses a finite, non-negative number, which is encoded as a JSON number or as text.
fn parse_measured_value(value: &Value) -> Option<f64> {
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
    /// Requests a session.
    Offer {
        /// Identifier of the session.
        id: CallId,
        /// Set-up that the viewer sent.
        setup: &'a SetUp,
        /// Time for which the front node waits for the answer, in milliseconds.
        timeout_ms: u64,
        /// Rung to start with, counted from 0.
        rung: u8,
    },
    /// Abandons a set-up, or releases a session.
    End(CallId, Cause),
    /// Changes the rung of a session.
    SetRung(CallId, u8),
    /// Requests a health check, or a probe if the flag is set. The result of a probe includes a load report.
    Test(CallId, bool),
}

/// A line to a media server as encoded in JSON. The fields are in the order of the wire.
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
    /// Encodes the line with its line feed. Returns `None` if it would exceed [`MAX_MESSAGE_BYTES`].
    pub fn encode(&self) -> Option<Vec<u8>> {
        let mut line = serde_json::to_vec(&self.raw()).ok()?;
        line.push(b'\n');
        (line.len() <= MAX_MESSAGE_BYTES).then_some(line)
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
