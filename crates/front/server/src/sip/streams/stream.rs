//! One stream: its socket, what waits on both sides, and the events it waits for.

use std::collections::VecDeque;
use std::io::{self, Write};
use std::net::TcpStream;
use std::time::Instant;

use beechloft_sip::agent::Input;
use beechloft_sip::framing::Framer;
use beechloft_sip::transaction::layer::Peer;
use rustix::event::epoll::EventFlags;

/// Bytes that may wait for a peer to read them.
const MAX_UNREAD_BYTES: usize = 256 * 1024;

pub(super) struct Stream {
    pub(super) peer: Peer,
    pub(super) socket: TcpStream,
    pub(super) connecting: bool,
    /// What the peer has not taken yet.
    pub(super) unsent: VecDeque<u8>,
    pub(super) framer: Framer,
    /// What did not fit into the agent's queue.
    pub(super) undelivered: VecDeque<Input>,
    /// When it must have connected, or its caller must have sent something.
    pub(super) deadline: Instant,
    pub(super) interest: EventFlags,
}

impl Stream {
    /// The events that it waits for now.
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

    /// Writes what the peer takes.
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

/// Why a stream is over.
pub(super) enum Closed {
    /// The connection was refused.
    Refused,
    /// It broke, or timed out.
    Lost,
}
