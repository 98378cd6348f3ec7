//! One viewers' connection: messages that are read ahead, and answers that are not wholly sent.

use std::collections::VecDeque;

use beechloft::api::Micros;
use beechloft_protocol::CallId;
use beechloft_protocol::binary::FrameDecoder;
use beechloft_protocol::viewer::{FromViewer, ToViewer};

use crate::buffered_stream::{BufferedStream, ConnectionBroken, ReadOutcome};

/// How far reading ahead has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadAhead {
    /// The kernel holds no more for now.
    Drained,
    /// What was read has to be handled first.
    Paused,
    /// The client has closed the connection, or it is broken.
    Closed,
}

/// A message that is read and not handled yet.
struct QueuedMessage {
    message: FromViewer,
    /// Its length on the connection.
    bytes: usize,
}

/// A message of which a part has arrived.
#[derive(Debug, Clone, Copy)]
pub(super) struct PartialMessage {
    /// When the first part was read.
    pub since: Micros,
    /// When the last part was read.
    last_read_at: Micros,
}

/// An answer that has not wholly left.
struct UnsentAnswer {
    id: CallId,
    /// Its end, in bytes since the beginning of the connection.
    ends_at: u64,
}

/// One viewers' connection.
pub(super) struct ViewerSocket {
    pub stream: BufferedStream,
    decoder: FrameDecoder,
    queue: VecDeque<QueuedMessage>,
    /// Bytes of the messages in the queue.
    queued_bytes: usize,
    /// The kernel may hold more.
    may_have_more: bool,
    /// It has carried a set-up that could be read, or a test.
    pub proven: bool,
    /// Something malformed has come: the connection is closed once everything before it is handled.
    pub malformed: bool,
    /// The client has gone: nothing is owed on this connection, and what is still unread counts for established sessions
    /// alone.
    pub client_closed: bool,
    /// When the last whole message came, or the connection was opened.
    pub last_message_at: Micros,
    pub partial: Option<PartialMessage>,
    /// Bytes sent since the beginning, those in the write buffer included.
    sent_bytes: u64,
    unsent: VecDeque<UnsentAnswer>,
}

impl ViewerSocket {
    pub fn new(stream: BufferedStream, now: Micros) -> ViewerSocket {
        ViewerSocket {
            stream,
            decoder: FrameDecoder::default(),
            queue: VecDeque::new(),
            queued_bytes: 0,
            may_have_more: false,
            proven: false,
            malformed: false,
            client_closed: false,
            last_message_at: now,
            partial: None,
            sent_bytes: 0,
            unsent: VecDeque::new(),
        }
    }

    /// Reads ahead until `max_bytes` wait for their turn or are read at once. A set-up that is withdrawn before its turn is
    /// removed from the queue. Releases go to `releases` at once: they must not wait behind what the client sent before,
    /// as an attempt that begins meanwhile would be for nobody.
    pub fn read_ahead(
        &mut self,
        now: Micros,
        max_bytes: usize,
        buffer: &mut [u8],
        releases: &mut Vec<FromViewer>,
    ) -> ReadAhead {
        let mut read_bytes = 0;
        loop {
            self.decode(now, releases);
            self.may_have_more =
                !self.malformed && (self.queued_bytes >= max_bytes || read_bytes >= max_bytes);
            if self.malformed || self.may_have_more {
                return ReadAhead::Paused;
            }
            match self.stream.read(buffer) {
                ReadOutcome::Data(count) => {
                    read_bytes += count;
                    self.decoder.push(&buffer[..count]);
                    if let Some(partial) = &mut self.partial {
                        partial.last_read_at = now;
                    }
                }
                ReadOutcome::WouldBlock => return ReadAhead::Drained,
                ReadOutcome::Closed => return ReadAhead::Closed,
            }
        }
    }

    /// Decodes what has been read.
    fn decode(&mut self, now: Micros, releases: &mut Vec<FromViewer>) {
        while !self.malformed {
            let bytes_before = self.decoder.pending();
            let message = match self.decoder.next_frame() {
                Ok(None) => break,
                Ok(Some(frame)) => FromViewer::parse(&frame),
                Err(e) => Err(e),
            };
            let Ok(message) = message else {
                self.malformed = true;
                break;
            };
            let bytes = bytes_before - self.decoder.pending();
            self.enqueue(QueuedMessage { message, bytes }, now, releases);
        }
        // A part behind whole messages of the same read waits from now on, too.
        let has_partial = !self.malformed && self.decoder.pending() > 0;
        let begun = PartialMessage { since: now, last_read_at: now };
        self.partial = has_partial.then(|| self.partial.unwrap_or(begun));
    }

    fn enqueue(&mut self, queued: QueuedMessage, now: Micros, releases: &mut Vec<FromViewer>) {
        self.last_message_at = now;
        self.partial = None;
        self.proven |= matches!(queued.message, FromViewer::SetUp(_, Ok(_)) | FromViewer::Test(_));
        if let FromViewer::Release(id) = queued.message {
            self.remove_set_up(id);
            releases.push(queued.message);
        } else if !self.client_closed {
            self.queued_bytes += queued.bytes;
            self.queue.push_back(queued);
        }
    }

    /// Removes a withdrawn set-up from the queue.
    fn remove_set_up(&mut self, withdrawn: CallId) {
        let queued_bytes = &mut self.queued_bytes;
        self.queue.retain(|queued| {
            let keep = !matches!(&queued.message, FromViewer::SetUp(id, _) if *id == withdrawn);
            if !keep {
                *queued_bytes -= queued.bytes;
            }
            keep
        });
    }

    /// The next message whose turn it is.
    pub fn next_message(&mut self) -> Option<FromViewer> {
        let queued = self.queue.pop_front()?;
        self.queued_bytes -= queued.bytes;
        Some(queued.message)
    }

    /// Whether messages wait for their turn.
    pub fn has_messages(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Whether there is work that its socket does not report.
    pub fn has_pending_work(&self) -> bool {
        self.has_messages() || self.may_have_more || self.malformed
    }

    /// Whether a part of a message has arrived, and more of it within `stall_timeout`.
    pub fn is_receiving(&self, now: Micros, stall_timeout: Micros) -> bool {
        self.partial.is_some_and(|partial| now - partial.last_read_at <= stall_timeout)
    }

    /// The client has gone: set-ups that wait for their turn are for nobody.
    pub fn mark_client_closed(&mut self) {
        self.client_closed = true;
        self.queue.clear();
        self.queued_bytes = 0;
    }

    /// Sends a message, or buffers it.
    ///
    /// # Errors
    /// The message can't be encoded, or the connection is broken.
    pub fn send(&mut self, message: &ToViewer) -> Result<(), ConnectionBroken> {
        let bytes = message.encode();
        self.sent_bytes += bytes.as_ref().map_or(0, Vec::len) as u64;
        if let ToViewer::Answer(id, _) = message {
            self.unsent.push_back(UnsentAnswer { id: *id, ends_at: self.sent_bytes });
        }
        self.stream.send(&bytes.ok_or(ConnectionBroken)?)?;
        self.forget_sent_answers();
        Ok(())
    }

    /// Writes what is buffered.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn flush(&mut self) -> Result<(), ConnectionBroken> {
        let flushed = self.stream.flush();
        self.forget_sent_answers();
        flushed
    }

    fn forget_sent_answers(&mut self) {
        let written = self.sent_bytes - self.stream.pending_bytes() as u64;
        while self.unsent.front().is_some_and(|answer| answer.ends_at <= written) {
            self.unsent.pop_front();
        }
    }

    /// Answers that have not wholly left.
    pub fn unsent_answers(&self) -> impl Iterator<Item = CallId> {
        self.unsent.iter().map(|answer| answer.id)
    }
}
