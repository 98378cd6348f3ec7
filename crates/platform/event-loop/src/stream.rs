//! A non-blocking connection with a bounded buffer of what waits to be written.

use std::io::{self, ErrorKind, Read, Write};

use mio::net::TcpStream;

/// How far reading got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Got {
    /// So many bytes; there may be more.
    Some(usize),
    /// Nothing for now.
    Nothing,
    /// The other side has ended it, or it broke.
    End,
}

#[derive(Debug)]
pub(crate) struct Stream {
    pub socket: TcpStream,
    out: Vec<u8>,
    at: usize,
    bound: usize,
}

/// The connection is of no more use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Dead;

impl Stream {
    pub fn new(socket: TcpStream, bound: usize) -> Self {
        Stream { socket, out: Vec::new(), at: 0, bound }
    }

    /// Reads once.
    pub fn read(&mut self, buf: &mut [u8]) -> Got {
        loop {
            match self.socket.read(buf) {
                Ok(0) => return Got::End,
                Ok(n) => return Got::Some(n),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Got::Nothing,
                Err(_) => return Got::End,
            }
        }
    }

    /// Writes, or keeps what can't be written now. A reader that does not read is given up at the bound.
    pub fn send(&mut self, bytes: &[u8]) -> Result<(), Dead> {
        if self.out.len() - self.at + bytes.len() > self.bound {
            return Err(Dead);
        }
        self.out.extend_from_slice(bytes);
        self.flush()
    }

    /// Writes what waits.
    pub fn flush(&mut self) -> Result<(), Dead> {
        while self.at < self.out.len() {
            match self.socket.write(&self.out[self.at..]) {
                Ok(0) => return Err(Dead),
                Ok(n) => self.at += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {
                    self.out.drain(..self.at);
                    self.at = 0;
                    return Ok(());
                }
                Err(_) => return Err(Dead),
            }
        }
        // Nothing waits: an idle connection holds no memory.
        (self.out, self.at) = (Vec::new(), 0);
        Ok(())
    }

    /// Bytes that wait.
    pub fn waiting(&self) -> usize {
        self.out.len() - self.at
    }

    /// What a connection that was begun has come to; none: it is not up yet.
    pub fn connected(&self) -> Option<io::Result<()>> {
        match self.socket.take_error() {
            Ok(Some(e)) | Err(e) => return Some(Err(e)),
            Ok(None) => {}
        }
        match self.socket.peer_addr() {
            Ok(_) => Some(Ok(())),
            Err(e) if matches!(e.kind(), ErrorKind::NotConnected | ErrorKind::WouldBlock) => None,
            Err(e) => Some(Err(e)),
        }
    }
}
