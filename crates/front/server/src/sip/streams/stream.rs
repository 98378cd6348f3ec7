//! A single SIP stream with its socket, its buffers and the events that it waits for.

use std::collections::VecDeque;
use std::io::{self, Write};
use std::net::TcpStream;
use std::time::Instant;

use beechloft_sip::agent::Input;
use beechloft_sip::framing::Framer;
use beechloft_sip::transaction::layer::Peer;
use rustix::event::epoll::EventFlags;

/// Maximum number of buffered bytes that a peer has not read.
const MAX_UNREAD_BYTES: usize = 256 * 1024;

pub(super) struct Stream {
    pub(super) peer: Peer,
    pub(super) socket: TcpStream,
    pub(super) connecting: bool,
    /// Data that the peer has not accepted yet.
    pub(super) unsent: VecDeque<u8>,
    pub(super) framer: Framer,
    /// Messages that did not fit into the agent's queue.
    pub(super) undelivered: VecDeque<Input>,
    /// When the stream is closed if it has not connected, or if its caller has not sent anything.
    pub(super) deadline: Instant,
    pub(super) interest: EventFlags,
}

impl Stream {
    /// Returns the events that the stream waits for now.
    pub(super) fn wanted_events(&self) -> EventFlags {
        let mut wanted = EventFlags::empty();
        if !self.connecting && self.undelivered.is_empty() {
            wanted |= EventFlags::IN | EventFlags::RDHUP;
        }
        if self.connecting || !self.unsent.is_empty() {
            wanted |= EventFlags::OUT;
        }
        wanted
    }

    /// Writes as much buffered data as the peer accepts. Fails if more than [`MAX_UNREAD_BYTES`] are left.
    pub(super) fn flush(&mut self) -> io::Result<()> {
        while !self.unsent.is_empty() {
            match self.socket.write(self.unsent.as_slices().0) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => drop(self.unsent.drain(..written)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        if self.unsent.len() > MAX_UNREAD_BYTES { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }
}

/// Why a stream was lost.
pub(super) enum LossReason {
    /// The connection was refused.
    Refused,
    /// The connection broke or timed out.
    Broken,
}
