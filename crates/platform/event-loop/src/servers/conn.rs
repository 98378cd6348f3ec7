//! One connection to a media server.

use std::collections::VecDeque;

use beechloft::api::Micros;
use beechloft_front_node::{ServerIncarnation, ViewerConnection};
use beechloft_protocol::CallId;
use beechloft_protocol::lines::LineDecoder;

use crate::stream::Stream;

/// What waits for a connection to be up.
pub(super) enum Waiting {
    /// A set-up, and the connection of the viewer who waits for it.
    SetUp(SetUp),
    /// Another line: since when, for which session, what.
    Line(Micros, CallId, Vec<u8>),
}

/// A set-up that is to leave.
pub(crate) struct SetUp {
    pub id: CallId,
    pub viewer: ViewerConnection,
    pub line: Vec<u8>,
    /// Not later than this.
    pub send_by: Micros,
}

impl Waiting {
    pub fn is_set_up(&self, of: CallId) -> bool {
        matches!(self, Waiting::SetUp(s) if s.id == of)
    }
}

pub(super) struct Conn {
    pub lane: ServerIncarnation,
    pub stream: Stream,
    pub decoder: LineDecoder,
    /// When it is to be up; none: it is up.
    pub up_by: Option<Micros>,
    /// What waits for it to be up.
    pub queue: VecDeque<Waiting>,
    /// Set-ups that are open on it.
    pub open: Vec<CallId>,
    /// A set-up was not answered in time and nothing has come since: it takes no further one.
    pub silent: bool,
    /// When something last came or went.
    pub used: Micros,
}

impl Conn {
    pub fn new(lane: ServerIncarnation, stream: Stream, now: Micros, up_by: Micros) -> Conn {
        Conn {
            lane,
            stream,
            decoder: LineDecoder::default(),
            up_by: Some(up_by),
            queue: VecDeque::new(),
            open: Vec::new(),
            silent: false,
            used: now,
        }
    }

    /// Nothing is open on it and nothing waits for it.
    pub fn free(&self) -> bool {
        self.open.is_empty() && self.queue.is_empty()
    }

    /// It is up, and everything that was said has left.
    pub fn quiet(&self) -> bool {
        self.queue.is_empty() && self.stream.waiting() == 0
    }
}
