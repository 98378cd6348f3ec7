//! A non-blocking connection with a bounded write buffer.

use std::io::{self, ErrorKind, Read, Write};

use mio::net::TcpStream;

/// The result of one read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadOutcome {
    /// So many bytes were read; there may be more.
    Data(usize),
    /// The kernel holds nothing for now.
    WouldBlock,
    /// The peer has closed the connection, or it is broken.
    Closed,
}

/// The connection is broken, or its peer does not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ConnectionBroken;

/// A non-blocking connection with a bounded write buffer.
#[derive(Debug)]
pub(crate) struct BufferedStream {
    pub socket: TcpStream,
    buffer: Vec<u8>,
    /// Bytes at the start of the buffer that are written already.
    written: usize,
    max_buffered: usize,
}

impl BufferedStream {
    /// Wraps a socket; at most `max_buffered` bytes wait to be written.
    pub fn new(socket: TcpStream, max_buffered: usize) -> Self {
        BufferedStream { socket, buffer: Vec::new(), written: 0, max_buffered }
    }

    /// Reads once.
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

    /// Writes, and buffers what can't be written now.
    ///
    /// # Errors
    /// The connection is broken, or the buffer would exceed its bound because the peer does not read.
    pub fn send(&mut self, bytes: &[u8]) -> Result<(), ConnectionBroken> {
        if self.pending_bytes() + bytes.len() > self.max_buffered {
            return Err(ConnectionBroken);
        }
        self.buffer.extend_from_slice(bytes);
        self.flush()
    }

    /// Writes as much of the buffer as the kernel takes.
    ///
    /// # Errors
    /// The connection is broken.
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
        // An idle connection holds no memory.
        self.buffer = Vec::new();
        self.written = 0;
        Ok(())
    }

    /// Bytes that wait to be written.
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len() - self.written
    }

    /// The result of a connect in progress; `None` while it is not decided.
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
