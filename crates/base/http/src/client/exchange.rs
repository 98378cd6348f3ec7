//! A sent request and its response, which is read as a whole or as a stream.

use std::io::{self, Read};
use std::net::{Shutdown, TcpStream};
use std::time::Instant;

use http::Method;

use super::CallError;
use super::connection::{Conn, READ_CHUNK_BYTES};
use crate::body::Decoder;
use crate::limits::Limits;
use crate::message::{HeadError, Response, response_head};
use crate::wait;

/// A response with a parsed head and an incomplete body.
#[derive(Debug)]
struct PendingBody {
    response: Response,
    decoder: Decoder,
}

/// A sent request with a pending response.
#[derive(Debug)]
pub struct Exchange {
    conn: Conn,
    method: Method,
    /// The response if its head was parsed.
    pending: Option<PendingBody>,
    limits: Limits,
}

impl Exchange {
    /// Starts to wait for the response to a request that was sent on a connection.
    pub(super) fn new(conn: Conn, method: Method) -> Exchange {
        Exchange { conn, method, pending: None, limits: Limits::default() }
    }

    /// Returns the socket, for polling.
    pub fn socket(&self) -> &TcpStream {
        &self.conn.stream
    }

    /// Reads once, which may block. Returns the response when it is complete.
    ///
    /// # Errors
    /// Returns an error if the connection broke or the response is invalid.
    pub fn advance(&mut self) -> Result<Option<Response>, CallError> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let n = match self.conn.stream.read(&mut chunk) {
            Ok(n) => n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => return Ok(None),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                return Ok(None);
            }
            Err(e) => return Err(CallError::Broken(e)),
        };
        self.conn.buf.extend_from_slice(&chunk[..n]);
        self.parse(n == 0)
    }

    /// Parses the bytes that were read. `ended` is whether the server has closed the connection.
    fn parse(&mut self, ended: bool) -> Result<Option<Response>, CallError> {
        if self.pending.is_none()
            && let Some(head) = response_head(&mut self.conn.buf, &self.method, &self.limits)?
        {
            let decoder = Decoder::new(head.framing, self.limits.body_bytes).map_err(HeadError::from)?;
            self.pending = Some(PendingBody { response: head.message, decoder });
        }
        let broken = || CallError::Broken(io::ErrorKind::UnexpectedEof.into());
        let Some(PendingBody { response, decoder }) = &mut self.pending else {
            return if ended { Err(broken()) } else { Ok(None) };
        };
        decoder.decode(&mut self.conn.buf, &mut response.body).map_err(HeadError::from)?;
        let complete = decoder.is_complete() || (ended && decoder.ends_with_connection());
        if !complete {
            return if ended { Err(broken()) } else { Ok(None) };
        }
        Ok(self.pending.take().map(|pending| pending.response))
    }

    /// Waits for the complete response.
    ///
    /// # Errors
    /// Returns an error if the connection broke, the response is invalid, or it is not complete before the deadline.
    pub fn wait(&mut self, deadline: Instant) -> Result<Response, CallError> {
        loop {
            let [ready] = wait::readable([Some(&self.conn.stream)], deadline).map_err(CallError::Broken)?;
            if !ready {
                return Err(CallError::TimedOut);
            }
            if let Some(response) = self.advance()? {
                return Ok(response);
            }
        }
    }

    /// Signals to the server that the request is abandoned, by shutting down the sending direction.
    pub fn abandon(&self) {
        let _ = self.conn.stream.shutdown(Shutdown::Write);
    }

    /// Returns the connection, for another request.
    pub fn into_conn(self) -> Conn {
        self.conn
    }

    /// Waits for the head of a response and returns its body as a stream.
    ///
    /// # Errors
    /// Returns an error if the connection broke, the head is invalid, or it is not complete before the deadline.
    pub fn into_stream(mut self, deadline: Instant) -> Result<(Response, Stream), CallError> {
        loop {
            if let Some(head) = self.parse_stream_head()? {
                return Ok((head.response, Stream { conn: self.conn, decoder: head.decoder }));
            }
            if !self.conn.fill(deadline)? {
                return Err(CallError::TimedOut);
            }
        }
    }

    /// Reads the bytes that are available. Returns the head of the response once it is complete.
    ///
    /// # Errors
    /// Returns an error if the connection broke or the head is invalid.
    pub(super) fn poll_stream_head(&mut self) -> Result<Option<StreamHead>, CallError> {
        self.conn.fill(Instant::now())?;
        self.parse_stream_head()
    }

    fn parse_stream_head(&mut self) -> Result<Option<StreamHead>, CallError> {
        let head = response_head(&mut self.conn.buf, &self.method, &self.limits)?;
        Ok(head.map(|head| StreamHead { response: head.message, decoder: Decoder::unlimited(head.framing) }))
    }

    /// Returns the body that follows a head as a stream.
    pub(super) fn into_body_stream(self, head: StreamHead) -> Stream {
        Stream { conn: self.conn, decoder: head.decoder }
    }
}

/// The head of a response whose body is read as a stream.
#[derive(Debug)]
pub(super) struct StreamHead {
    pub response: Response,
    decoder: Decoder,
}

/// The body of a response of unlimited length, such as an event stream.
#[derive(Debug)]
pub struct Stream {
    conn: Conn,
    decoder: Decoder,
}

impl Stream {
    /// Waits for a part of the body and returns it. Returns an empty vector if the deadline passed without any.
    ///
    /// # Errors
    /// Returns an error if the stream ended or broke, or its framing is invalid.
    pub fn read(&mut self, deadline: Instant) -> Result<Vec<u8>, CallError> {
        let mut part = Vec::new();
        loop {
            self.decoder.decode(&mut self.conn.buf, &mut part).map_err(HeadError::from)?;
            if !part.is_empty() {
                return Ok(part);
            }
            if self.decoder.is_complete() {
                return Err(CallError::Broken(io::ErrorKind::UnexpectedEof.into()));
            }
            if !self.conn.fill(deadline)? {
                return Ok(part);
            }
        }
    }
}
