//! A response of the event bus as it arrives: a head, then events in a body without end.

use beechloft::api::Micros;
use beechloft_http::body::Decoder;
use beechloft_http::limits::Limits;
use beechloft_http::message;
use beechloft_http::sse::Event;
use http::{Method, StatusCode};
use thiserror::Error;

use super::lines::EventAssembler;

/// Why a response is of no more use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum ResponseError {
    #[error("an endless event")]
    OversizedEvent,
    #[error("a head that can't be read")]
    MalformedHead,
    #[error("not the events asked for")]
    UnexpectedStatus,
    #[error("a body that can't be read")]
    MalformedBody,
    #[error("ended")]
    Ended,
}

#[derive(Debug)]
enum Part {
    /// The head is not whole yet.
    Head(Vec<u8>),
    /// Events arrive.
    Body(Body),
}

#[derive(Debug)]
struct Body {
    /// Bytes that are not decoded yet.
    encoded: Vec<u8>,
    decoder: Decoder,
    assembler: EventAssembler,
}

/// A response of the event bus as it arrives.
#[derive(Debug)]
pub(super) struct Response {
    part: Part,
    max_event_bytes: usize,
    /// When nothing that had begun was incomplete last: at the beginning, and whenever no event had begun.
    last_complete_at: Micros,
}

impl Response {
    pub fn new(now: Micros, max_event_bytes: usize) -> Response {
        Response { part: Part::Head(Vec::new()), max_event_bytes, last_complete_at: now }
    }

    /// Whether its head has come, and is that of a stream of events.
    pub fn is_accepted(&self) -> bool {
        matches!(self.part, Part::Body(_))
    }

    /// For how long a head or an event that has begun is incomplete.
    pub fn incomplete_for(&self, now: Micros) -> Micros {
        now - self.last_complete_at
    }

    /// Takes bytes and appends the events that they complete, also those before an error.
    ///
    /// # Errors
    /// The response is malformed or has ended, or an event exceeds its bound and `skip_oversized` says that it is not to be
    /// skipped.
    pub fn receive(
        &mut self,
        now: Micros,
        bytes: &[u8],
        events: &mut Vec<Event>,
        skip_oversized: &mut dyn FnMut() -> bool,
    ) -> Result<(), ResponseError> {
        match &mut self.part {
            Part::Head(head) => {
                head.extend_from_slice(bytes);
                let Some(body) = parse_head(head, self.max_event_bytes)? else { return Ok(()) };
                self.part = Part::Body(body);
            }
            Part::Body(body) => body.encoded.extend_from_slice(bytes),
        }
        let Part::Body(body) = &mut self.part else { return Ok(()) };
        body.decode(events, skip_oversized)?;
        if !body.assembler.in_event {
            self.last_complete_at = now;
        }
        if body.decoder.done() { Err(ResponseError::Ended) } else { Ok(()) }
    }
}

/// Parses a head once it is whole, and takes the bytes behind it for the body.
fn parse_head(head: &mut Vec<u8>, max_event_bytes: usize) -> Result<Option<Body>, ResponseError> {
    let parsed = message::response_head(head, &Method::GET, &Limits::default());
    let Some(message::ParsedHead { message: response, framing }) =
        parsed.map_err(|_| ResponseError::MalformedHead)?
    else {
        return Ok(None);
    };
    // Redirects are not followed: the configuration names the address.
    if response.status != StatusCode::OK {
        return Err(ResponseError::UnexpectedStatus);
    }
    let assembler = EventAssembler::new(max_event_bytes);
    Ok(Some(Body { encoded: std::mem::take(head), decoder: Decoder::endless(framing), assembler }))
}

impl Body {
    fn decode(
        &mut self,
        events: &mut Vec<Event>,
        skip_oversized: &mut dyn FnMut() -> bool,
    ) -> Result<(), ResponseError> {
        let mut text = Vec::new();
        // What came before a malformed chunk is handled, and would be lost if it came together with it each time.
        let decoded = self.decoder.take(&mut self.encoded, &mut text);
        self.assembler.push(&text, events, skip_oversized)?;
        decoded.map_err(|_| ResponseError::MalformedBody)
    }
}
