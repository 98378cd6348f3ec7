//! One connection to a media server, with its queue.

use std::collections::VecDeque;

use beechloft::api::Micros;
use beechloft_front_node::{ServerIncarnation, ViewerConnection};
use beechloft_protocol::CallId;
use beechloft_protocol::lines::LineDecoder;

use crate::buffered_stream::BufferedStream;

/// Set-up that is to be sent to a media server.
pub(crate) struct SetUp {
    pub id: CallId,
    /// Connection of the viewer that waits for the answer.
    pub viewer: ViewerConnection,
    pub line: Vec<u8>,
    /// Time after which the set-up is not sent any more.
    pub send_by: Micros,
}

/// Line about a session that could not be sent yet.
pub(super) struct PendingLine {
    /// Time of the first try to send the line.
    pub since: Micros,
    pub id: CallId,
    pub line: Vec<u8>,
}

/// Line that is queued until a connection is established.
pub(super) enum Queued {
    /// Line that requests a set-up.
    SetUp(SetUp),
    /// Any other line.
    Line(PendingLine),
}

impl Queued {
    /// Returns whether this is the set-up of the given session.
    pub fn is_set_up(&self, id: CallId) -> bool {
        matches!(self, Queued::SetUp(set_up) if set_up.id == id)
    }
}

/// Connection to a media server.
pub(super) struct ServerConnection {
    pub incarnation: ServerIncarnation,
    pub stream: BufferedStream,
    pub decoder: LineDecoder,
    /// Deadline of the connect. `None` if the connection is established.
    pub connect_by: Option<Micros>,
    /// Lines that are sent once the connection is established.
    pub queue: VecDeque<Queued>,
    /// Set-ups that were sent on the connection and are not answered yet.
    pub open: Vec<CallId>,
    /// Whether a set-up has timed out and nothing was received since. No further set-up is then sent on the connection.
    pub unresponsive: bool,
    /// Time at which data was last sent or received.
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

    /// Returns whether the connection is established.
    pub fn is_connected(&self) -> bool {
        self.connect_by.is_none()
    }

    /// Returns whether this is an established connection to the given incarnation.
    pub fn is_connected_to(&self, incarnation: ServerIncarnation) -> bool {
        self.incarnation == incarnation && self.is_connected()
    }

    /// Returns whether the connection has no open set-up and no queued line.
    pub fn is_idle(&self) -> bool {
        self.open.is_empty() && self.queue.is_empty()
    }

    /// Returns whether no line is queued or buffered.
    pub fn all_sent(&self) -> bool {
        self.queue.is_empty() && self.stream.pending_bytes() == 0
    }
}
