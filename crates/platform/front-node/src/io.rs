//! Inputs and outputs of the state machine: everything that it exchanges with the event loop.

use std::net::SocketAddr;

use beechloft::api::{Micros, SlotAssignment};
use beechloft_protocol::CallId;
use beechloft_protocol::bus::Topology;
use beechloft_protocol::server::ServerMessage;
use beechloft_protocol::viewer::{FromViewer, ToViewer};

/// Identifies a viewer's connection. Numbers are never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ViewerConnection(pub u64);

/// Identifies one run of a media server's process.
///
/// Connections, attempts and sessions belong to an incarnation and not to an address. A restarted media server, or
/// another media server at the same address, is a new incarnation. Numbers are never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerIncarnation(pub u32);

/// Reason why an attempt failed without an answer from the media server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection was established, so the media server did not process the set-up.
    NoConnection,
    /// No byte of the set-up was written, for a local reason, so the media server did not process it.
    NotSent,
    /// The connection broke after at least a part of the set-up was written, so the media server may have processed it.
    ConnectionReset,
}

/// An input of the state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// The endpoint list and its updates from the configuration, in order. This is the first input.
    InitialTopologies(Vec<Topology>),
    /// A complete endpoint list, or an update to it, from the event bus.
    Topology(Topology),
    /// A message from a viewer was received.
    ViewerMessage(ViewerConnection, FromViewer),
    /// A viewer's connection was closed.
    ViewerConnectionClosed(ViewerConnection),
    /// The answer that establishes a session was not written completely, so its viewer can't have received it.
    AnswerUndelivered(CallId),
    /// A message from a media server was received.
    ServerMessage(ServerIncarnation, ServerMessage),
    /// An attempt failed without an answer from the media server.
    AttemptFailed(ServerIncarnation, CallId, AttemptFailure),
    /// The media server's process is down: it refuses connections, or it was unreachable for the maximum time.
    ServerDown(ServerIncarnation),
    /// The slot of this front node among all front nodes changed.
    SlotAssigned(SlotAssignment),
    /// The process received SIGTERM.
    Terminate,
    /// Time has passed. Timers that are due fire.
    Tick,
}

/// An output of the state machine. The event loop carries outputs out in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Writes a message to a viewer's connection.
    SendToViewer(ViewerConnection, ToViewer),
    /// Closes the connection of a viewer that violated the protocol.
    CloseViewerConnection(ViewerConnection),
    /// Adds an incarnation with the address that it listens on.
    AddIncarnation(ServerIncarnation, SocketAddr),
    /// Removes an incarnation that no session or attempt belongs to, and closes its connections.
    RemoveIncarnation(ServerIncarnation),
    /// Starts or stops keeping a connection to the incarnation open, according to the flag.
    KeepConnected(ServerIncarnation, bool),
    /// Checks whether an incarnation that was removed from the endpoint list is reachable, and reports it as down if
    /// not.
    CheckReachability(ServerIncarnation),
    /// Writes a set-up to a connection that is free for one, if its viewer is still waiting.
    SendSetUp {
        /// Incarnation of the media server that receives the set-up.
        incarnation: ServerIncarnation,
        /// Identifier of the session.
        id: CallId,
        /// Connection of the viewer that waits for the answer.
        connection: ViewerConnection,
        /// Bytes to write.
        line: Vec<u8>,
        /// Time after which the set-up must not be sent, however long it waits for a connection. The attempt is
        /// abandoned by then, and a late retry of a keyed set-up would be processed a second time.
        send_by: Micros,
    },
    /// Discards a set-up that was not sent yet, because no viewer waits for it.
    DiscardUnsent(ServerIncarnation, CallId),
    /// Stops waiting for the answer to a set-up, and writes the line to the set-up's connection before anything else is
    /// sent.
    AbandonAttempt {
        /// Incarnation of the media server that received the set-up.
        incarnation: ServerIncarnation,
        /// Identifier of the session.
        id: CallId,
        /// Bytes to write.
        line: Vec<u8>,
        /// Whether the media server did not answer in time.
        timed_out: bool,
    },
    /// Writes a line to a connection of the incarnation, preferably to the connection that carried the session's
    /// set-up.
    SendToServer(ServerIncarnation, CallId, Vec<u8>),
    /// Writes a line to the log.
    Log(String),
}
