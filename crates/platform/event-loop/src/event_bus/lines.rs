//! Assembles events from the text of the stream, and skips events that exceed their bound.

use beechloft_http::sse::{Event, Parser};

use super::response::ResponseError;

/// Bytes of an event past its bound that are skipped until it ends, in multiples of the bound: an event that never ends costs
/// the connection.
const MAX_SKIPPED_BOUNDS: usize = 2;

/// Assembles events from lines; knows whether an event has begun and not ended.
#[derive(Debug)]
pub(super) struct EventAssembler {
    parser: Parser,
    max_event_bytes: usize,
    /// An event has begun and not ended.
    pub in_event: bool,
    /// Nothing of the current line has come yet.
    at_line_start: bool,
    /// The current line is a comment.
    in_comment: bool,
    after_cr: bool,
    /// Bytes of an oversized event skipped so far, while it lasts.
    skipped_bytes: Option<usize>,
}

fn is_line_end(byte: &u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

impl EventAssembler {
    pub fn new(max_event_bytes: usize) -> EventAssembler {
        EventAssembler {
            parser: Parser::new(max_event_bytes),
            max_event_bytes,
            in_event: false,
            at_line_start: true,
            in_comment: false,
            after_cr: false,
            skipped_bytes: None,
        }
    }

    /// Takes text and appends the events that it completes; those before an error, too.
    ///
    /// # Errors
    /// An event exceeds its bound, and `skip_oversized` says that it is not to be skipped, or it does not end.
    pub fn push(
        &mut self,
        text: &[u8],
        events: &mut Vec<Event>,
        skip_oversized: &mut dyn FnMut() -> bool,
    ) -> Result<(), ResponseError> {
        for piece in text.split_inclusive(is_line_end) {
            let is_blank_line = self.track_line(piece);
            if self.skipped_bytes.is_some() {
                self.skip(piece, is_blank_line)?;
                continue;
            }
            if self.parser.push(piece, events).is_err() {
                if !skip_oversized() {
                    return Err(ResponseError::OversizedEvent);
                }
                self.parser = Parser::new(self.max_event_bytes);
                self.skipped_bytes = Some(0);
            }
        }
        Ok(())
    }

    /// Follows the lines, of which `piece` is one or a part; whether it is a blank line, which ends an event.
    fn track_line(&mut self, piece: &[u8]) -> bool {
        let second_of_crlf = std::mem::take(&mut self.after_cr) && piece == b"\n";
        self.after_cr = piece.ends_with(b"\r");
        let ends_line = piece.last().is_some_and(is_line_end);
        let is_blank_line = self.at_line_start && ends_line && piece.len() == 1 && !second_of_crlf;
        if self.at_line_start && !second_of_crlf {
            self.in_comment = piece.first() == Some(&b':');
        }
        self.at_line_start = ends_line;
        if is_blank_line {
            self.in_event = false;
        } else if !second_of_crlf {
            self.in_event |= !self.in_comment;
        }
        is_blank_line
    }

    /// Skips a piece of an oversized event.
    fn skip(&mut self, piece: &[u8], ends_event: bool) -> Result<(), ResponseError> {
        let skipped = self.skipped_bytes.unwrap_or(0) + piece.len();
        if skipped > self.max_event_bytes.saturating_mul(MAX_SKIPPED_BOUNDS) {
            return Err(ResponseError::OversizedEvent);
        }
        self.skipped_bytes = (!ends_event).then_some(skipped);
        Ok(())
    }
}
