//! Inputs and outputs of the state machine: all that passes between it and the event loop that runs it.

use std::net::SocketAddr;

use beechloft::api::{Micros, SlotAssignment};
use beechloft_protocol::CallId;
use beechloft_protocol::bus::Topology;
use beechloft_protocol::server::ServerMessage;
use beechloft_protocol::viewer::{FromViewer, ToViewer};

/// A viewer's connection. Numbers are never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ViewerConnection(pub u64);

/// One run of a media server's process: connections, attempts and sessions belong to it, not to an address. A restarted
/// server, or another server at the same address, is another incarnation. Numbers are never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerIncarnation(pub u32);

/// How an attempt failed without an answer of the media server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection was established: the media server ran nothing.
    NoConnection,
    /// No byte of the set-up was written, for a local reason: the media server ran nothing.
    NotSent,
    /// The connection broke after the set-up, or a part of it, was written: the media server may have run it.
    ConnectionReset,
}

/// What happens to the state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// The topologies that the configuration holds, in order; comes before all else.
    InitialTopologies(Vec<Topology>),
    /// A topology, whole or as a change, from the event bus.
    Topology(Topology),
    /// A message of a viewer.
    ViewerMessage(ViewerConnection, FromViewer),
    /// A viewer's connection is closed.
    ViewerConnectionClosed(ViewerConnection),
    /// The answer that a session is established was not written whole: its viewer can't have it.
    AnswerUndelivered(CallId),
    /// A message of a media server.
    ServerMessage(ServerIncarnation, ServerMessage),
    /// An attempt failed without an answer.
    AttemptFailed(ServerIncarnation, CallId, AttemptFailure),
    /// The media server's process is down: connections are refused, or it stayed unreachable for the bound of that.
    ServerDown(ServerIncarnation),
    /// This front node's slot among the front nodes changed.
    SlotAssigned(SlotAssignment),
    /// SIGTERM.
    Terminate,
    /// Only time has passed.
    Tick,
}

/// What the event loop has to do, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Write a message on a viewer's connection.
    SendToViewer(ViewerConnection, ToViewer),
    /// Close a viewer's connection that broke the protocol.
    CloseViewerConnection(ViewerConnection),
    /// A new incarnation, and the address it listens on.
    AddIncarnation(ServerIncarnation, SocketAddr),
    /// Nothing belongs to the incarnation any more: close its connections.
    RemoveIncarnation(ServerIncarnation),
    /// From now on keep a connection to the incarnation open, or no longer.
    KeepConnected(ServerIncarnation, bool),
    /// The incarnation was removed from the list: check whether it is reachable, and report it down if not.
    CheckReachability(ServerIncarnation),
    /// Write a set-up on a connection that is free for one, if its viewer still waits.
    SendSetUp {
        /// The media server.
        incarnation: ServerIncarnation,
        /// The session.
        id: CallId,
        /// The connection of the viewer that waits for it.
        connection: ViewerConnection,
        /// The bytes to write.
        line: Vec<u8>,
        /// It must not be sent later than this, however long it waits for a connection: by then the attempt is
        /// abandoned, and a retry of a keyed set-up would run a second time.
        send_by: Micros,
    },
    /// No viewer waits for a set-up any more: do not send it if it was not sent yet.
    DiscardUnsent(ServerIncarnation, CallId),
    /// Stop waiting for the answer of a set-up: write the line on its connection before anything else is sent.
    AbandonAttempt {
        /// The media server.
        incarnation: ServerIncarnation,
        /// The session.
        id: CallId,
        /// The bytes to write.
        line: Vec<u8>,
        /// The media server did not answer in time.
        timed_out: bool,
    },
    /// Write a line on a connection of the incarnation, preferably that of the session's set-up.
    SendToServer(ServerIncarnation, CallId, Vec<u8>),
    /// A line for the log.
    Log(String),
}
