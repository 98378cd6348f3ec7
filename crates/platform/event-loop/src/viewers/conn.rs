//! One viewers' connection: what it has said and what it is yet to be told.

use std::collections::VecDeque;

use beechloft::api::Micros;
use beechloft_protocol::CallId;
use beechloft_protocol::binary::FrameDecoder;
use beechloft_protocol::viewer::{FromViewer, ToViewer};

use crate::stream::{Got, Stream};

/// What reading ahead has come to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Pulled {
    /// The kernel holds no more for now.
    All,
    /// What was read ahead waits for its turn first.
    Enough,
    /// Its client has gone.
    Gone,
}

pub(super) struct Conn {
    pub stream: Stream,
    decoder: FrameDecoder,
    /// Messages read and not handed over yet, each with its length.
    read: VecDeque<(FromViewer, usize)>,
    /// Bytes of those.
    ahead: usize,
    /// The kernel may hold more.
    more: bool,
    /// It has carried a set-up that could be read, or a test.
    pub proved: bool,
    /// Something came that can't be read: once what was read before it is handed over, it is closed.
    pub spoilt: bool,
    /// Its client has gone: nothing is owed on it, and what it still has to say counts for sessions that stand alone.
    pub left: bool,
    /// When it was opened, or the last whole message came.
    pub since: Micros,
    /// Since when a part of a message waits for its rest, and when something of it last came.
    pub part: Option<(Micros, Micros)>,
    /// Bytes said so far, and where each answer that has not wholly left ends among them.
    said: u64,
    unsaid: VecDeque<(u64, CallId)>,
}

impl Conn {
    pub fn new(stream: Stream, now: Micros) -> Conn {
        Conn {
            stream,
            decoder: FrameDecoder::default(),
            read: VecDeque::new(),
            ahead: 0,
            more: false,
            proved: false,
            spoilt: false,
            left: false,
            since: now,
            part: None,
            said: 0,
            unsaid: VecDeque::new(),
        }
    }

    /// Reads ahead, up to so many bytes that wait for their turn or that are read at once. A set-up taken back before its turn has come is no more
    /// heard of; any other release is handed over at once, into `at_once`: it must not wait behind what its client said
    /// before it, as an attempt that begins meanwhile is for nobody.
    pub fn pull(
        &mut self,
        now: Micros,
        most: usize,
        scratch: &mut [u8],
        at_once: &mut Vec<FromViewer>,
    ) -> Pulled {
        let mut bytes = 0;
        loop {
            self.sort(now, at_once);
            self.more = !self.spoilt && (self.ahead >= most || bytes >= most);
            if self.spoilt || self.more {
                return Pulled::Enough;
            }
            match self.stream.read(scratch) {
                Got::Some(n) => {
                    bytes += n;
                    self.decoder.push(&scratch[..n]);
                    if let Some((_, last)) = &mut self.part {
                        *last = now;
                    }
                }
                Got::Nothing => return Pulled::All,
                Got::End => return Pulled::Gone,
            }
        }
    }

    /// Puts what has come into messages.
    fn sort(&mut self, now: Micros, at_once: &mut Vec<FromViewer>) {
        while !self.spoilt {
            let before = self.decoder.pending();
            let message = match self.decoder.next_frame() {
                Ok(None) => break,
                Ok(Some(frame)) => FromViewer::parse(&frame),
                Err(e) => Err(e),
            };
            let len = before - self.decoder.pending();
            let Ok(message) = message else {
                self.spoilt = true;
                break;
            };
            (self.since, self.part) = (now, None);
            self.proved |= matches!(message, FromViewer::SetUp(_, Ok(_)) | FromViewer::Test(_));
            match message {
                FromViewer::Release(id) => {
                    let taken_back = |m: &FromViewer| matches!(m, FromViewer::SetUp(i, _) if *i == id);
                    let ahead = &mut self.ahead;
                    self.read.retain(|(m, len)| {
                        let keep = !taken_back(m);
                        *ahead -= if keep { 0 } else { *len };
                        keep
                    });
                    at_once.push(FromViewer::Release(id));
                }
                // Whoever has gone waits for no answer.
                _ if self.left => {}
                message => {
                    self.ahead += len;
                    self.read.push_back((message, len));
                }
            }
        }
        // Also a part behind whole messages of the same read waits from now on.
        let part = !self.spoilt && self.decoder.pending() > 0;
        self.part = part.then(|| self.part.unwrap_or((now, now)));
    }

    /// The next message whose turn it is.
    pub fn next(&mut self) -> Option<FromViewer> {
        let (message, len) = self.read.pop_front()?;
        self.ahead -= len;
        Some(message)
    }

    /// Whether messages wait for their turn.
    pub fn waits(&self) -> bool {
        !self.read.is_empty()
    }

    /// Whether there is anything to be done about it, without its socket telling of more.
    pub fn pending(&self) -> bool {
        self.waits() || self.more || self.spoilt
    }

    /// Whether a part of a message has come, and more of it not long ago.
    pub fn slow(&self, now: Micros, stalled: Micros) -> bool {
        self.part.is_some_and(|(_, last)| now - last <= stalled)
    }

    /// Its client has gone: set-ups that wait for their turn are for nobody.
    pub fn leave(&mut self) {
        self.left = true;
        self.read.clear();
        self.ahead = 0;
    }

    /// Writes a message, or keeps what can't be written now; whether it is of use still.
    pub fn say(&mut self, message: &ToViewer) -> bool {
        let bytes = message.encode();
        self.said += bytes.as_ref().map_or(0, Vec::len) as u64;
        if let ToViewer::Answer(id, _) = message {
            self.unsaid.push_back((self.said, *id));
        }
        let sent = bytes.map(|b| self.stream.send(&b)) == Some(Ok(()));
        if sent {
            self.gone_out();
        }
        sent
    }

    /// Writes what waits; whether it is of use still.
    pub fn flush(&mut self) -> bool {
        let flushed = self.stream.flush().is_ok();
        self.gone_out();
        flushed
    }

    /// Forgets answers that have left.
    fn gone_out(&mut self) {
        let gone = self.said - self.stream.waiting() as u64;
        while self.unsaid.front().is_some_and(|(end, _)| *end <= gone) {
            self.unsaid.pop_front();
        }
    }

    /// Answers that have not wholly left.
    pub fn unsaid(&self) -> impl Iterator<Item = CallId> {
        self.unsaid.iter().map(|(_, id)| *id)
    }
}
