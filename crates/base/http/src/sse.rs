//! Event streams (`text/event-stream`, WHATWG HTML section 9.2): a parser without I/O and a writer.

use std::fmt::Write as _;

use thiserror::Error;

/// One event.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Event {
    /// Its type; empty: a plain message.
    pub name: String,
    /// Its data, lines joined.
    pub data: String,
    /// Its id, if it has one of its own; empty: none.
    pub id: String,
}

impl Event {
    /// The bytes on the wire.
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

/// A comment, which keeps a stream alive and is no event.
pub const BEAT: &[u8] = b":\n\n";

/// Past its bound.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("an event is longer than {0} bytes")]
pub struct TooLong(pub usize);

/// Puts events together as bytes come.
#[derive(Debug)]
pub struct Parser {
    line: Vec<u8>,
    event: Event,
    has_data: bool,
    after_cr: bool,
    limit: usize,
}

impl Parser {
    /// For events of at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Parser { line: Vec::new(), event: Event::default(), has_data: false, after_cr: false, limit }
    }

    /// Takes bytes and appends the events that they complete.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<Event>) -> Result<(), TooLong> {
        for &b in bytes {
            let lf_of_crlf = std::mem::replace(&mut self.after_cr, b == b'\r') && b == b'\n';
            if lf_of_crlf {
                continue;
            }
            if b != b'\n' && b != b'\r' {
                if self.line.len() + self.event.data.len() + self.event.id.len() >= self.limit {
                    return Err(TooLong(self.limit));
                }
                self.line.push(b);
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
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => self.event.name = value.to_owned(),
            "data" => {
                if std::mem::replace(&mut self.has_data, true) {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
            }
            "id" if !value.contains('\0') => self.event.id = value.to_owned(),
            _ => {} // comments, retry times
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn what_is_written_is_read_again_however_it_is_cut(
            events in prop::collection::vec(("[a-z]{0,8}", "[ -~\n]{0,40}", "[0-9]{0,4}"), 1..6), step in 1..20usize,
        ) {
            let events: Vec<Event> = events.into_iter().map(|(name, data, id)| Event { name, data, id }).collect();
            let bytes: Vec<u8> = events.iter().flat_map(|e| [BEAT.to_vec(), e.encode()].concat()).collect();
            let (mut parser, mut got) = (Parser::new(1_000), Vec::new());
            for part in bytes.chunks(step) {
                parser.push(part, &mut got).expect("short");
            }
            prop_assert_eq!(got, events);
        }
    }

    #[test]
    fn all_line_ends_count_and_endless_events_are_refused() {
        let (mut parser, mut got) = (Parser::new(16), Vec::new());
        parser
            .push(b"event: a\r\ndata: 1\r\n\r\ndata\r\rdata: 2\n\n: no\n\nid: 4\n\n", &mut got)
            .expect("short");
        let of = |name: &str, data: &str| Event { name: name.into(), data: data.into(), id: String::new() };
        assert_eq!(got, [of("a", "1"), of("", ""), of("", "2")]);
        assert_eq!(parser.push(&[b'x'; 40], &mut got), Err(TooLong(16)));
        let mut parser = Parser::new(16);
        assert!(parser.push(&b"data: abc\n".repeat(30), &mut got).is_err());
    }
}
