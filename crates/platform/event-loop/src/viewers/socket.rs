//! One viewers' connection, with its queue of received messages and its partly sent answers.

use std::collections::VecDeque;

use beechloft::api::Micros;
use beechloft_protocol::CallId;
use beechloft_protocol::binary::FrameDecoder;
use beechloft_protocol::viewer::{FromViewer, ToViewer};

use crate::buffered_stream::{BufferedStream, ConnectionBroken, ReadOutcome};

/// Maximum number of releases and hand-overs that one call of [`ViewerSocket::read_ahead`] returns.
const MAX_IMMEDIATE_MESSAGES: usize = 32;

/// Reason for which reading ahead has stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadAhead {
    /// The receive buffer of the socket is empty.
    Drained,
    /// Queued messages have to be handled before more data is read.
    Paused,
    /// The client has closed the connection, or the connection is broken.
    Closed,
}

/// Message that is received and not handled yet.
struct QueuedMessage {
    message: FromViewer,
    /// Length of the encoded message.
    encoded_bytes: usize,
}

impl QueuedMessage {
    /// Returns the memory that the message uses in the queue. Most of a long message is text, which is kept as it was sent, and
    /// a short message is larger in the queue than on the wire.
    fn memory_bytes(&self) -> usize {
        size_of::<QueuedMessage>() + self.encoded_bytes
    }
}

/// Message of which only a part has arrived.
#[derive(Debug, Clone, Copy)]
pub(super) struct PartialMessage {
    /// Time at which the first part was read.
    pub since: Micros,
    /// Time at which the last part was read.
    last_read_at: Micros,
}

/// Answer that is not completely written to the socket yet.
struct UnsentAnswer {
    id: CallId,
    /// Offset of the end of the answer, in bytes since the start of the connection.
    ends_at: u64,
}

/// Viewers' connection.
pub(super) struct ViewerSocket {
    pub stream: BufferedStream,
    decoder: FrameDecoder,
    queue: VecDeque<QueuedMessage>,
    /// Memory that the messages in the queue use.
    queued_bytes: usize,
    /// Whether decoding has stopped, as enough messages are queued, although complete messages may follow.
    may_have_undecoded: bool,
    /// Whether reading ahead has stopped although the socket may hold more data.
    may_have_more: bool,
    /// Whether the connection has carried a valid set-up or a test.
    pub has_valid_request: bool,
    /// Whether malformed data has arrived. The connection is closed once all messages before it are handled.
    pub malformed: bool,
    /// Whether the connection is closed, mostly by its client. No answers are sent on the connection any more, and of the unread messages
    /// only releases and hand-overs are handled.
    pub client_closed: bool,
    /// Time at which the last complete message arrived, or at which the connection was accepted.
    pub last_message_at: Micros,
    pub partial: Option<PartialMessage>,
    /// Number of bytes sent since the start of the connection, including buffered ones.
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
            may_have_undecoded: false,
            may_have_more: false,
            has_valid_request: false,
            malformed: false,
            client_closed: false,
            last_message_at: now,
            partial: None,
            sent_bytes: 0,
            unsent: VecDeque::new(),
        }
    }

    /// Reads messages into the queue, until they use `max_bytes`, this call has read `max_bytes`, or it has returned
    /// [`MAX_IMMEDIATE_MESSAGES`].
    ///
    /// Releases are appended to `immediate` and not queued, as an attempt that started before a queued release is handled
    /// would be useless. A queued set-up that is released is removed from the queue. Hand-overs are appended to
    /// `immediate` once the client has disconnected, as their sessions belong to no connection.
    pub fn read_ahead(
        &mut self,
        now: Micros,
        max_bytes: usize,
        buffer: &mut [u8],
        immediate: &mut Vec<FromViewer>,
    ) -> ReadAhead {
        let mut read_bytes = 0;
        loop {
            self.decode(now, max_bytes, immediate);
            self.may_have_more = !self.malformed && (self.may_have_undecoded || read_bytes >= max_bytes);
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

    /// Decodes received bytes, and queues the complete messages until they use `max_bytes`.
    fn decode(&mut self, now: Micros, max_bytes: usize, immediate: &mut Vec<FromViewer>) {
        self.may_have_undecoded = false;
        while !self.malformed {
            if self.queued_bytes >= max_bytes || immediate.len() >= MAX_IMMEDIATE_MESSAGES {
                self.may_have_undecoded = true;
                return;
            }
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
            let encoded_bytes = bytes_before - self.decoder.pending();
            self.enqueue(QueuedMessage { message, encoded_bytes }, now, immediate);
        }
        // An incomplete message that follows complete ones in the same read counts from now on.
        let has_partial = !self.malformed && self.decoder.pending() > 0;
        let started = PartialMessage { since: now, last_read_at: now };
        self.partial = has_partial.then(|| self.partial.unwrap_or(started));
    }

    fn enqueue(&mut self, queued: QueuedMessage, now: Micros, immediate: &mut Vec<FromViewer>) {
        self.last_message_at = now;
        self.partial = None;
        self.has_valid_request |= matches!(queued.message, FromViewer::SetUp(_, Ok(_)) | FromViewer::Test(_));
        if let FromViewer::Release(id) = queued.message {
            self.remove_set_up(id);
            immediate.push(queued.message);
        } else if self.client_closed && queued.message.is_hand_over() {
            immediate.push(queued.message);
        } else if !self.client_closed {
            self.queued_bytes += queued.memory_bytes();
            self.queue.push_back(queued);
        }
    }

    /// Removes a released set-up from the queue, unless it hands over a session that its media server has to end.
    fn remove_set_up(&mut self, released: CallId) {
        let queued_bytes = &mut self.queued_bytes;
        self.queue.retain(|queued| {
            let is_released = matches!(&queued.message, FromViewer::SetUp(id, _) if *id == released);
            let keep = !is_released || queued.message.is_hand_over();
            if !keep {
                *queued_bytes -= queued.memory_bytes();
            }
            keep
        });
    }

    /// Removes and returns the first message of the queue.
    pub fn next_message(&mut self) -> Option<FromViewer> {
        let queued = self.queue.pop_front()?;
        self.queued_bytes -= queued.memory_bytes();
        Some(queued.message)
    }

    /// Returns whether received messages may wait to be handled.
    pub fn has_messages(&self) -> bool {
        !self.queue.is_empty() || self.may_have_undecoded
    }

    /// Returns whether there is pending work that the poll does not report.
    pub fn has_pending_work(&self) -> bool {
        self.has_messages() || self.may_have_more || self.malformed
    }

    /// Returns whether a message is incomplete and its last part arrived within `stall_timeout`.
    pub fn is_receiving(&self, now: Micros, stall_timeout: Micros) -> bool {
        self.partial.is_some_and(|partial| now - partial.last_read_at <= stall_timeout)
    }

    /// Marks the connection as closed, and drops the queued messages. Returns the hand-overs among them, which belong to no
    /// connection.
    pub fn mark_closed(&mut self) -> Vec<FromViewer> {
        self.client_closed = true;
        self.queued_bytes = 0;
        let queued = std::mem::take(&mut self.queue);
        queued.into_iter().map(|queued| queued.message).filter(FromViewer::is_hand_over).collect()
    }

    /// Sends a message, and buffers the bytes that the socket does not take now.
    ///
    /// # Errors
    /// Returns an error if the message cannot be encoded or the connection is broken.
    pub fn send(&mut self, message: &ToViewer) -> Result<(), ConnectionBroken> {
        let bytes = message.encode();
        self.sent_bytes += bytes.as_ref().map_or(0, Vec::len) as u64;
        if let ToViewer::Answer(id, _) = message {
            self.unsent.push_back(UnsentAnswer { id: *id, ends_at: self.sent_bytes });
        }
        self.stream.send(&bytes.ok_or(ConnectionBroken)?)?;
        self.remove_sent_answers();
        Ok(())
    }

    /// Writes buffered bytes.
    ///
    /// # Errors
    /// Returns an error if the connection is broken.
    pub fn flush(&mut self) -> Result<(), ConnectionBroken> {
        let flushed = self.stream.flush();
        self.remove_sent_answers();
        flushed
    }

    fn remove_sent_answers(&mut self) {
        let written = self.sent_bytes - self.stream.pending_bytes() as u64;
        while self.unsent.front().is_some_and(|answer| answer.ends_at <= written) {
            self.unsent.pop_front();
        }
    }

    /// Returns the sessions whose answers are not completely written to the socket yet.
    pub fn unsent_answers(&self) -> impl Iterator<Item = CallId> {
        self.unsent.iter().map(|answer| answer.id)
    }
}
