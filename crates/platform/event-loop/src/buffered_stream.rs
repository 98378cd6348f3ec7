//! Non-blocking TCP connection with a bounded write buffer.

use std::io::{self, ErrorKind, Read, Write};

use mio::net::TcpStream;

/// Result of one read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadOutcome {
    /// The read returned this number of bytes, and there may be more.
    Data(usize),
    /// The receive buffer of the socket is empty.
    WouldBlock,
    /// The peer has closed the connection, or the connection is broken.
    Closed,
}

/// Error: the connection is broken, or its peer does not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ConnectionBroken;

/// Non-blocking TCP connection with a bounded write buffer.
#[derive(Debug)]
pub(crate) struct BufferedStream {
    pub socket: TcpStream,
    buffer: Vec<u8>,
    /// Number of bytes at the start of the buffer that are already written to the socket.
    written: usize,
    max_buffered: usize,
}

impl BufferedStream {
    /// Wraps a socket. The write buffer takes at most `max_buffered` bytes.
    pub fn new(socket: TcpStream, max_buffered: usize) -> Self {
        BufferedStream { socket, buffer: Vec::new(), written: 0, max_buffered }
    }

    /// Reads once, and retries a read that a signal interrupted.
    pub fn read(&mut self, buffer: &mut [u8]) -> ReadOutcome {
        loop {
            match self.socket.read(buffer) {
                Ok(0) => return ReadOutcome::Closed,
                Ok(count) => return ReadOutcome::Data(count),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return ReadOutcome::WouldBlock,
                Err(_) => return ReadOutcome::Closed,
            }
        }
    }

    /// Writes bytes, and buffers those that the socket does not take now.
    ///
    /// # Errors
    /// Returns an error if the connection is broken, or if the buffer would exceed its bound because the peer does not
    /// read.
    pub fn send(&mut self, bytes: &[u8]) -> Result<(), ConnectionBroken> {
        if self.pending_bytes() + bytes.len() > self.max_buffered {
            return Err(ConnectionBroken);
        }
        self.buffer.extend_from_slice(bytes);
        self.flush()
    }

    /// Writes as much of the buffer as the socket takes.
    ///
    /// # Errors
    /// Returns an error if the connection is broken.
    pub fn flush(&mut self) -> Result<(), ConnectionBroken> {
        while self.written < self.buffer.len() {
            match self.socket.write(&self.buffer[self.written..]) {
                Ok(0) => return Err(ConnectionBroken),
                Ok(count) => self.written += count,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {
                    self.buffer.drain(..self.written);
                    self.written = 0;
                    return Ok(());
                }
                Err(_) => return Err(ConnectionBroken),
            }
        }
        // The allocation is freed, so that an idle connection uses no memory.
        self.buffer = Vec::new();
        self.written = 0;
        Ok(())
    }

    /// Returns the number of bytes that are buffered and not written yet.
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len() - self.written
    }

    /// Returns the result of a connect, or `None` while the connect is in progress.
    pub fn connect_result(&self) -> Option<io::Result<()>> {
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
