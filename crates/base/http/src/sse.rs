//! Event streams (`text/event-stream`, WHATWG HTML section 9.2): an encoder and an incremental parser without I/O.

use std::fmt::Write as _;

use thiserror::Error;

/// An event of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Event {
    /// Type of the event. Empty for the default type `message`.
    pub name: String,
    /// Data of the event. Lines are separated by line feeds.
    pub data: String,
    /// Id of the event. Empty if the event has no id.
    pub id: String,
}

impl Event {
    /// Encodes the event.
    pub fn encode(&self) -> Vec<u8> {
        let mut text = String::with_capacity(self.data.len() + 32);
        if !self.name.is_empty() {
            let _ = writeln!(text, "event: {}", self.name);
        }
        if !self.id.is_empty() {
            let _ = writeln!(text, "id: {}", self.id);
        }
        for line in self.data.split('\n') {
            let _ = writeln!(text, "data: {line}");
        }
        text.push('\n');
        text.into_bytes()
    }
}

/// An empty comment, which a server sends to keep an idle connection open. Parsers skip it.
pub const KEEP_ALIVE: &[u8] = b":\n\n";

/// Error of parsing an event that exceeds the limit in bytes.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("event is longer than {0} bytes")]
pub struct TooLong(pub usize);

/// An incremental parser of an event stream.
#[derive(Debug)]
pub struct Parser {
    /// Bytes of the incomplete last line.
    line: Vec<u8>,
    /// Event that the lines so far belong to.
    event: Event,
    /// Whether the event has a data field.
    has_data: bool,
    /// Whether the last byte was a carriage return.
    after_cr: bool,
    /// Maximum length of an event, bytes.
    limit: usize,
}

impl Parser {
    /// Creates a parser for events of at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Parser { line: Vec::new(), event: Event::default(), has_data: false, after_cr: false, limit }
    }

    /// Parses bytes and appends the events that they complete to `out`.
    ///
    /// # Errors
    /// Returns an error if an event exceeds the limit.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<Event>) -> Result<(), TooLong> {
        for &byte in bytes {
            let is_lf_of_crlf = std::mem::replace(&mut self.after_cr, byte == b'\r') && byte == b'\n';
            if is_lf_of_crlf {
                continue;
            }
            if byte != b'\n' && byte != b'\r' {
                if self.line.len() + self.event.data.len() + self.event.id.len() >= self.limit {
                    return Err(TooLong(self.limit));
                }
                self.line.push(byte);
                continue;
            }
            let line = std::mem::take(&mut self.line);
            self.parse_line(&String::from_utf8_lossy(&line), out);
        }
        Ok(())
    }

    /// Parses a complete line. An empty line completes the event.
    fn parse_line(&mut self, line: &str, out: &mut Vec<Event>) {
        if line.is_empty() {
            let event = std::mem::take(&mut self.event);
            if std::mem::take(&mut self.has_data) {
                out.push(event);
            }
            return;
        }
        let (field, rest) = line.split_once(':').unwrap_or((line, ""));
        let value = rest.strip_prefix(' ').unwrap_or(rest);
        match field {
            "event" => self.event.name = value.to_owned(),
            "data" => {
                if std::mem::replace(&mut self.has_data, true) {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
            }
            "id" if !value.contains('\0') => self.event.id = value.to_owned(),
            // Comments, reconnection times and unknown fields are ignored.
            _ => {}
        }
    }
}
