//! A connection to a server, before a request is sent on it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

use super::{CallError, Exchange};
use crate::message::Request;
use crate::wait;

/// Size of a read from a socket, bytes.
pub(super) const READ_CHUNK_BYTES: usize = 4096;

/// A connection to a server.
#[derive(Debug)]
pub struct Conn {
    pub(super) stream: TcpStream,
    pub(super) peer: SocketAddr,
    /// Bytes that were read but not parsed.
    pub(super) buf: Vec<u8>,
}

impl Conn {
    /// Opens a connection.
    ///
    /// # Errors
    /// Returns an error if the connection could not be established before the deadline.
    pub fn open(peer: SocketAddr, deadline: Instant) -> Result<Conn, CallError> {
        let stream =
            TcpStream::connect_timeout(&peer, wait::socket_timeout(deadline)).map_err(|e| {
                match e.kind() {
                    io::ErrorKind::ConnectionRefused => CallError::Refused,
                    _ => CallError::Connect(e),
                }
            })?;
        stream.set_nodelay(true).map_err(CallError::Connect)?;
        Ok(Conn { stream, peer, buf: Vec::new() })
    }

    /// Waits for bytes and reads them once. Returns `false` if the deadline passed without any.
    ///
    /// # Errors
    /// Returns an error if the connection ended or broke.
    pub(super) fn fill(&mut self, deadline: Instant) -> Result<bool, CallError> {
        let [ready] = wait::readable([Some(&self.stream)], deadline).map_err(CallError::Broken)?;
        if !ready {
            return Ok(false);
        }
        let mut chunk = [0; READ_CHUNK_BYTES];
        match self.stream.read(&mut chunk) {
            Ok(0) => return Err(CallError::Broken(io::ErrorKind::UnexpectedEof.into())),
            Ok(n) => self.buf.extend_from_slice(&chunk[..n]),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(CallError::Broken(e)),
        }
        Ok(true)
    }

    /// Returns the unparsed bytes and all that arrive until the server closes the connection or the deadline passes.
    pub fn read_to_end(mut self, deadline: Instant) -> Vec<u8> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        while let Ok([true]) = wait::readable([Some(&self.stream)], deadline) {
            match self.stream.read(&mut chunk) {
                Ok(n) if n > 0 => self.buf.extend_from_slice(&chunk[..n]),
                _ => break,
            }
        }
        self.buf
    }

    /// Sends a request.
    ///
    /// # Errors
    /// Returns an error if the connection broke or the request could not be written before the deadline.
    pub fn send(mut self, request: &Request, deadline: Instant) -> Result<Exchange, CallError> {
        let bytes = request.encode(&self.peer.to_string());
        self.stream.set_write_timeout(Some(wait::socket_timeout(deadline))).map_err(CallError::Broken)?;
        self.stream.write_all(&bytes).map_err(|e| match e.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => CallError::TimedOut,
            _ => CallError::Broken(e),
        })?;
        Ok(Exchange::new(self, request.method.clone()))
    }
}
