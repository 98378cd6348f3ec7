//! One connection to a media server.

use std::collections::VecDeque;

use beechloft::api::Micros;
use beechloft_front_node::{ServerIncarnation, ViewerConnection};
use beechloft_protocol::CallId;
use beechloft_protocol::lines::LineDecoder;

use crate::buffered_stream::BufferedStream;

/// A set-up to send.
pub(crate) struct SetUp {
    pub id: CallId,
    /// The connection of the viewer who waits for it.
    pub viewer: ViewerConnection,
    pub line: Vec<u8>,
    /// It is not sent later than this.
    pub send_by: Micros,
}

/// A line about a session that could not be sent yet.
pub(super) struct PendingLine {
    /// When it was to be sent first.
    pub since: Micros,
    pub id: CallId,
    pub line: Vec<u8>,
}

/// What waits for a connection to be established.
pub(super) enum Queued {
    /// A set-up.
    SetUp(SetUp),
    /// Another line.
    Line(PendingLine),
}

impl Queued {
    /// Whether it is the set-up of this session.
    pub fn is_set_up(&self, id: CallId) -> bool {
        matches!(self, Queued::SetUp(set_up) if set_up.id == id)
    }
}

/// One connection to a media server.
pub(super) struct ServerConnection {
    pub incarnation: ServerIncarnation,
    pub stream: BufferedStream,
    pub decoder: LineDecoder,
    /// When it is to be established; `None`: it is.
    pub connect_by: Option<Micros>,
    /// What waits for it to be established.
    pub queue: VecDeque<Queued>,
    /// Set-ups that are open on it.
    pub open: Vec<CallId>,
    /// A set-up was not answered in time and nothing has come since: it takes no further one.
    pub unresponsive: bool,
    /// When something was last sent or received.
    pub last_used_at: Micros,
}

impl ServerConnection {
    pub fn new(
        incarnation: ServerIncarnation,
        stream: BufferedStream,
        now: Micros,
        connect_by: Micros,
    ) -> ServerConnection {
        ServerConnection {
            incarnation,
            stream,
            decoder: LineDecoder::default(),
            connect_by: Some(connect_by),
            queue: VecDeque::new(),
            open: Vec::new(),
            unresponsive: false,
            last_used_at: now,
        }
    }

    /// Whether it is established.
    pub fn is_connected(&self) -> bool {
        self.connect_by.is_none()
    }

    /// Whether it is established to this incarnation.
    pub fn is_connected_to(&self, incarnation: ServerIncarnation) -> bool {
        self.incarnation == incarnation && self.is_connected()
    }

    /// Whether no set-up is open on it and nothing waits for it.
    pub fn is_idle(&self) -> bool {
        self.open.is_empty() && self.queue.is_empty()
    }

    /// Whether everything that was to be sent on it has left.
    pub fn all_sent(&self) -> bool {
        self.queue.is_empty() && self.stream.pending_bytes() == 0
    }
}
