//! What passes between the state machine and the shell around it.

use std::net::SocketAddr;

use beechloft::api::{Micros, SlotAssignment};
use beechloft_protocol::CallId;
use beechloft_protocol::bus::Topology;
use beechloft_protocol::server::Line;
use beechloft_protocol::viewer::{FromViewer, ToViewer};

/// A viewers' connection; numbers never come twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ViewerConn(pub u64);

/// One start of one media server: what connections and sessions belong to. A restart, or another server at the same
/// address, is another lane.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lane(pub u32);

/// How an attempt broke without a word of the media server's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Broken {
    /// No connection came up: nothing ran.
    NoConnection,
    /// Not a byte of it was written, for a reason of this front node's own: nothing ran.
    Unsent,
    /// The connection broke with the set-up written, or a part of it.
    Reset,
}

/// What the machine hears.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// The events of the start, before all else.
    Known(Vec<Topology>),
    /// An event of the event bus.
    Bus(Topology),
    /// A message of a viewer.
    Viewer(ViewerConn, FromViewer),
    /// A viewers' connection has closed.
    ViewerClosed(ViewerConn),
    /// An answer that says that a session stands never left whole: its viewer can't have it.
    Unsaid(CallId),
    /// A line of a media server.
    Server(Lane, Line),
    /// An attempt broke.
    Broken(Lane, CallId, Broken),
    /// The media server's process is gone: connections are refused, or it can't be reached and was looked for long
    /// enough.
    Lost(Lane),
    /// This front node's number among the fronts changed.
    Numbered(SlotAssignment),
    /// SIGTERM.
    Terminate,
    /// Only time has passed.
    Tick,
}

/// What the shell is to do, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Say this on a viewers' connection.
    ToViewer(ViewerConn, ToViewer),
    /// Close a viewers' connection that is of no use.
    CloseViewer(ViewerConn),
    /// A lane begins, at this address.
    Lane(Lane, SocketAddr),
    /// Nothing belongs to this lane any more: close its connections.
    Forget(Lane),
    /// Keep a connection to the media server open from now on, or no longer.
    Hold(Lane, bool),
    /// The list has the media server no more: see whether it can still be reached, and call it lost if not.
    Check(Lane),
    /// Write a set-up on a connection that is fit for one, if its viewer is still there.
    SetUp {
        /// The media server.
        lane: Lane,
        /// The session.
        id: CallId,
        /// The connection of the viewer who waits for it.
        conn: ViewerConn,
        /// What to write.
        line: Vec<u8>,
        /// It must not leave later than this, however long it waits for a connection: by then it is given up, and a
        /// repeat would run a second time.
        leave_by: Micros,
    },
    /// Nobody waits for a set-up any more: if it has not left yet, it is not to.
    Unwanted(Lane, CallId),
    /// Stop waiting for a set-up: write this on its connection before anything else goes out. `silent`: the media
    /// server did not answer in time.
    GiveUp {
        /// The media server.
        lane: Lane,
        /// The session.
        id: CallId,
        /// What to write.
        line: Vec<u8>,
        /// The media server did not answer in time.
        silent: bool,
    },
    /// Write this on any connection of the lane, if there is one best on that of the session's set-up.
    Send(Lane, CallId, Vec<u8>),
    /// A line for the log.
    Log(String),
}
