//! Assembles events from the text of the stream, and skips oversized events.

use beechloft_http::sse::{Event, Parser};

use super::response::ResponseError;

/// Maximum number of bytes that are skipped of an oversized event, as a multiple of the maximum event size.
///
/// The connection fails beyond it, as the event may never end.
const MAX_SKIPPED_FACTOR: usize = 2;

/// Assembler of events from lines, which tracks whether an event is incomplete.
#[derive(Debug)]
pub(super) struct EventAssembler {
    parser: Parser,
    max_event_bytes: usize,
    /// Whether an event is incomplete.
    pub in_event: bool,
    /// Whether no part of the current line has arrived yet.
    at_line_start: bool,
    /// Whether the current line is a comment.
    in_comment: bool,
    after_cr: bool,
    /// Number of skipped bytes of the current event, or `None` if the event is not skipped.
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

    /// Adds text and appends the events that it completes to `events`, including those before an error.
    ///
    /// # Errors
    /// Returns an error if an event is oversized and `skip_oversized` returns false, or if the event exceeds the limit
    /// for skipped bytes as well.
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

    /// Updates the state of the current line with `piece`, which is a line or a part of one. Returns whether `piece` is a
    /// blank line, which ends an event.
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

    /// Counts a piece of an oversized event as skipped.
    ///
    /// # Errors
    /// Returns an error if the event exceeds the limit for skipped bytes.
    fn skip(&mut self, piece: &[u8], ends_event: bool) -> Result<(), ResponseError> {
        let skipped = self.skipped_bytes.unwrap_or(0) + piece.len();
        if skipped > self.max_event_bytes.saturating_mul(MAX_SKIPPED_FACTOR) {
            return Err(ResponseError::OversizedEvent);
        }
        self.skipped_bytes = (!ends_event).then_some(skipped);
        Ok(())
    }
}
