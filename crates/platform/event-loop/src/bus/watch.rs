//! What comes on a connection to the event bus, put together: a head, a body, lines, events.

use beechloft::api::Micros;
use beechloft_http::body::Decoder;
use beechloft_http::limits::Limits;
use beechloft_http::message;
use beechloft_http::sse::{Event, Parser};
use http::{Method, StatusCode};

/// Bytes of an event past its bound that are thrown away until it ends, in such bounds: one that never ends costs the
/// connection.
const MOST_SKIPPED: usize = 2;

/// Why a connection is of no more use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Bad {
    /// An event past its bound.
    Endless,
    /// Anything else.
    Broken(&'static str),
}

/// Events out of lines; knows whether it is in the middle of one.
#[derive(Debug)]
struct Lines {
    parser: Parser,
    bound: usize,
    /// An event has begun and not ended.
    open: bool,
    /// Nothing of the line has come yet.
    fresh: bool,
    /// The line is a comment.
    comment: bool,
    after_cr: bool,
    /// Bytes of an endless event thrown away so far, while it lasts.
    skipped: Option<usize>,
}

impl Lines {
    fn new(bound: usize) -> Lines {
        let parser = Parser::new(bound);
        Lines { parser, bound, open: false, fresh: true, comment: false, after_cr: false, skipped: None }
    }

    /// Takes bytes and appends the events that they complete; those before a fault too. An event past its bound is thrown
    /// away up to its end if `skips` says so, and an error if not.
    fn push(
        &mut self,
        text: &[u8],
        events: &mut Vec<Event>,
        skips: &mut dyn FnMut() -> bool,
    ) -> Result<(), Bad> {
        let is_end = |b: &u8| matches!(b, b'\n' | b'\r');
        for piece in text.split_inclusive(is_end) {
            let second_of_crlf = std::mem::take(&mut self.after_cr) && piece == b"\n";
            self.after_cr = piece.ends_with(b"\r");
            let ended = piece.last().is_some_and(is_end);
            let blank = self.fresh && ended && piece.len() == 1 && !second_of_crlf;
            if self.fresh && !second_of_crlf {
                self.comment = piece.first() == Some(&b':');
            }
            self.fresh = ended;
            if blank {
                self.open = false;
            } else if !second_of_crlf {
                self.open |= !self.comment;
            }
            if let Some(skipped) = &mut self.skipped {
                *skipped += piece.len();
                if *skipped > self.bound.saturating_mul(MOST_SKIPPED) {
                    return Err(Bad::Endless);
                }
                if blank {
                    self.skipped = None;
                }
                continue;
            }
            if self.parser.push(piece, events).is_err() {
                if !skips() {
                    return Err(Bad::Endless);
                }
                (self.parser, self.skipped) = (Parser::new(self.bound), Some(0));
            }
        }
        Ok(())
    }
}

#[derive(Debug)]
enum Body {
    /// The answer's head is not whole yet.
    Head(Vec<u8>),
    /// Events come.
    Events { raw: Vec<u8>, decoder: Decoder, lines: Lines },
}

/// An answer of the event bus as it comes.
#[derive(Debug)]
pub(crate) struct Watch {
    body: Body,
    event_bytes: usize,
    /// When it was last whole: at its beginning, and with no event begun.
    whole: Micros,
}

impl Watch {
    pub fn new(now: Micros, event_bytes: usize) -> Watch {
        Watch { body: Body::Head(Vec::new()), event_bytes, whole: now }
    }

    /// Whether it is the answer asked for, as far as its head says.
    pub fn answered(&self) -> bool {
        matches!(self.body, Body::Events { .. })
    }

    /// For how long something that began has not ended: a head, an event.
    pub fn unfinished(&self, now: Micros) -> Micros {
        now - self.whole
    }

    /// Takes bytes and appends the events that they complete, also where it then fails.
    pub fn take(
        &mut self,
        now: Micros,
        bytes: &[u8],
        events: &mut Vec<Event>,
        skips: &mut dyn FnMut() -> bool,
    ) -> Result<(), Bad> {
        match &mut self.body {
            Body::Head(head) => {
                head.extend_from_slice(bytes);
                let got = message::response_head(head, &Method::GET, &Limits::default());
                let got = got.map_err(|_| Bad::Broken("a head that can't be read"))?;
                let Some((response, framing)) = got else { return Ok(()) };
                // A redirect is not followed: the address is the configuration's to name.
                if response.status != StatusCode::OK {
                    return Err(Bad::Broken("not the events asked for"));
                }
                let raw = std::mem::take(head);
                let lines = Lines::new(self.event_bytes);
                self.body = Body::Events { raw, decoder: Decoder::endless(framing), lines };
            }
            Body::Events { raw, .. } => raw.extend_from_slice(bytes),
        }
        let Body::Events { raw, decoder, lines } = &mut self.body else { return Ok(()) };
        let mut text = Vec::new();
        // What came before a chunk that can't be read is sound, and would never count if it came with it each time.
        let decoded = decoder.take(raw, &mut text);
        lines.push(&text, events, skips)?;
        decoded.map_err(|_| Bad::Broken("a body that can't be read"))?;
        if !lines.open {
            self.whole = now;
        }
        if decoder.done() { Err(Bad::Broken("ended")) } else { Ok(()) }
    }
}
