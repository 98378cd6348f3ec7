//! Event streams (`text/event-stream`, WHATWG HTML section 9.2): a parser without I/O and a writer.

use std::fmt::Write as _;

use thiserror::Error;

/// One event.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Event {
    /// Its type; empty for a plain message.
    pub name: String,
    /// Its data, lines joined.
    pub data: String,
    /// Its id; empty if it has none.
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

/// A comment, which keeps a connection alive and is no event.
pub const KEEP_ALIVE: &[u8] = b":\n\n";

/// An event that exceeds the limit.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("an event is longer than {0} bytes")]
pub struct TooLong(pub usize);

/// An incremental parser.
#[derive(Debug)]
pub struct Parser {
    line: Vec<u8>,
    event: Event,
    has_data: bool,
    after_cr: bool,
    limit: usize,
}

impl Parser {
    /// A parser for events of at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Parser { line: Vec::new(), event: Event::default(), has_data: false, after_cr: false, limit }
    }

    /// Parses bytes and appends the events that they complete.
    ///
    /// # Errors
    /// An event exceeds the limit.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<Event>) -> Result<(), TooLong> {
        for &byte in bytes {
            let lf_of_crlf = std::mem::replace(&mut self.after_cr, byte == b'\r') && byte == b'\n';
            if lf_of_crlf {
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
            self.line_end(&String::from_utf8_lossy(&line), out);
        }
        Ok(())
    }

    fn line_end(&mut self, line: &str, out: &mut Vec<Event>) {
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
            // Comments and reconnection times.
            _ => {}
        }
    }
}
