//! One stream: its socket, what waits on both sides, and what it waits for.

use std::collections::VecDeque;
use std::io::{self, Write};
use std::net::TcpStream;
use std::time::Instant;

use beechloft_sip::agent::Input;
use beechloft_sip::framing::Framer;
use beechloft_sip::transaction::layer::Peer;
use rustix::event::epoll::EventFlags;

/// Bytes that may wait for a peer to read them.
const UNREAD: usize = 256 * 1024;

pub(super) struct Stream {
    pub(super) peer: Peer,
    pub(super) socket: TcpStream,
    pub(super) connecting: bool,
    /// What the peer has not taken yet.
    pub(super) out: VecDeque<u8>,
    pub(super) framer: Framer,
    /// What the agent had no room for.
    pub(super) waiting: VecDeque<Input>,
    /// When it must have connected, or its caller must have said something.
    pub(super) until: Instant,
    pub(super) interest: EventFlags,
}

impl Stream {
    /// What it waits for.
    pub(super) fn wants(&self) -> EventFlags {
        let mut wants = EventFlags::empty();
        if !self.connecting && self.waiting.is_empty() {
            wants |= EventFlags::IN | EventFlags::RDHUP;
        }
        if self.connecting || !self.out.is_empty() {
            wants |= EventFlags::OUT;
        }
        wants
    }

    /// Writes what the peer takes.
    pub(super) fn flush(&mut self) -> io::Result<()> {
        while !self.out.is_empty() {
            match self.socket.write(self.out.as_slices().0) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => drop(self.out.drain(..n)),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        if self.out.len() > UNREAD { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }
}

/// Why a stream is over.
pub(super) enum Over {
    /// Nobody listens there.
    Refused,
    /// Whatever else.
    Lost,
}
