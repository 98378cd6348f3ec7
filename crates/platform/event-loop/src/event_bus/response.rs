//! Incremental parser of a response of the event bus: a head, and an endless body of server-sent events.

use beechloft::api::Micros;
use beechloft_http::body::Decoder;
use beechloft_http::limits::Limits;
use beechloft_http::message;
use beechloft_http::sse::Event;
use http::{Method, StatusCode};
use thiserror::Error;

use super::lines::EventAssembler;

/// Reason for which a response cannot be read any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum ResponseError {
    #[error("event exceeds the size limit")]
    OversizedEvent,
    #[error("malformed response head")]
    MalformedHead,
    #[error("unexpected response status")]
    UnexpectedStatus,
    #[error("malformed response body")]
    MalformedBody,
    #[error("response ended")]
    Ended,
}

#[derive(Debug)]
enum Part {
    /// The head is incomplete. These are its bytes so far.
    Head(Vec<u8>),
    /// The head is complete, and events arrive.
    Body(Body),
}

#[derive(Debug)]
struct Body {
    /// Received bytes that are not decoded yet.
    encoded: Vec<u8>,
    decoder: Decoder,
    assembler: EventAssembler,
}

/// Response of the event bus of which the received part is parsed.
#[derive(Debug)]
pub(super) struct Response {
    part: Part,
    max_event_bytes: usize,
    /// Whether any byte of the body has arrived.
    has_content: bool,
    /// Time since which the head or an event has been incomplete. `None` if neither is.
    incomplete_since: Option<Micros>,
}

impl Response {
    pub fn new(max_event_bytes: usize) -> Response {
        Response { part: Part::Head(Vec::new()), max_event_bytes, has_content: false, incomplete_since: None }
    }

    /// Returns whether the head is complete and valid.
    pub fn is_accepted(&self) -> bool {
        matches!(self.part, Part::Body(_))
    }

    /// Returns whether any byte of the body has arrived.
    pub fn has_content(&self) -> bool {
        self.has_content
    }

    /// Returns how long the head or an event has been incomplete. The time before the first byte does not count.
    pub fn incomplete_for(&self, now: Micros) -> Micros {
        self.incomplete_since.map_or(Micros(0), |since| now - since)
    }

    /// Adds received bytes and appends the events that they complete to `events`, including those before an error.
    ///
    /// # Errors
    /// Returns an error if the response is malformed or has ended, or if an event is oversized and `skip_oversized`
    /// returns false.
    pub fn receive(
        &mut self,
        now: Micros,
        bytes: &[u8],
        events: &mut Vec<Event>,
        skip_oversized: &mut dyn FnMut() -> bool,
    ) -> Result<(), ResponseError> {
        self.incomplete_since.get_or_insert(now);
        match &mut self.part {
            Part::Head(head) => {
                head.extend_from_slice(bytes);
                let Some(body) = parse_head(head, self.max_event_bytes)? else { return Ok(()) };
                self.part = Part::Body(body);
            }
            Part::Body(body) => body.encoded.extend_from_slice(bytes),
        }
        let Part::Body(body) = &mut self.part else { return Ok(()) };
        self.has_content |= body.decode(events, skip_oversized)?;
        if !body.assembler.in_event {
            self.incomplete_since = None;
        }
        if body.decoder.is_complete() { Err(ResponseError::Ended) } else { Ok(()) }
    }
}

/// Parses a head and moves the bytes after it to the body. Returns `None` if the head is incomplete.
fn parse_head(head: &mut Vec<u8>, max_event_bytes: usize) -> Result<Option<Body>, ResponseError> {
    let parsed = message::response_head(head, &Method::GET, &Limits::default());
    let Some(message::ParsedHead { message: response, framing }) =
        parsed.map_err(|_| ResponseError::MalformedHead)?
    else {
        return Ok(None);
    };
    // Redirects are not followed, as the configuration determines the address.
    if response.status != StatusCode::OK {
        return Err(ResponseError::UnexpectedStatus);
    }
    let assembler = EventAssembler::new(max_event_bytes);
    Ok(Some(Body { encoded: std::mem::take(head), decoder: Decoder::unlimited(framing), assembler }))
}

impl Body {
    /// Decodes the received bytes. Returns whether they contain a part of the event stream.
    fn decode(
        &mut self,
        events: &mut Vec<Event>,
        skip_oversized: &mut dyn FnMut() -> bool,
    ) -> Result<bool, ResponseError> {
        let mut text = Vec::new();
        // Events before a malformed chunk are handled. Otherwise they would be lost if they arrived together with it
        // after each reconnect.
        let decoded = self.decoder.decode(&mut self.encoded, &mut text);
        self.assembler.push(&text, events, skip_oversized)?;
        decoded.map_err(|_| ResponseError::MalformedBody)?;
        Ok(!text.is_empty())
    }
}
