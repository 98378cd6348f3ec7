//! Reads requests from a connection.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use http::header;

use super::Shared;
use crate::body::{BodyError, Decoder};
use crate::limits::Limits;
use crate::message::{HeadError, Request, request_head};
use crate::wait;

/// Time for which a stopping server waits for the first request of a connection, which may be in transit.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(100);
/// Time for which a stopping server waits for a further request on a connection. It only suffices for received bytes.
const NEXT_REQUEST_GRACE: Duration = Duration::from_millis(1);
/// Interval at which an idle connection checks whether the server is stopping.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Size of a read from the socket, bytes.
const READ_CHUNK_BYTES: usize = 4096;
/// Maximum capacity of the buffer between requests, bytes.
const IDLE_BUFFER_BYTES: usize = 4096;

/// Error of reading a request.
pub(super) enum ReadError {
    /// The connection ended, or the server is stopping.
    Closed,
    /// The idle time passed without a byte of a request.
    Idle,
    /// The time limit passed before the request was complete.
    TimedOut,
    /// The request is invalid.
    Invalid(HeadError),
}

fn invalid_body(error: BodyError) -> ReadError {
    ReadError::Invalid(HeadError::Body(error))
}

/// Reads the requests of one connection.
pub(super) struct RequestReader<'a> {
    stream: &'a TcpStream,
    shared: &'a Shared,
    limits: &'a Limits,
    /// Bytes that were read but not parsed.
    buf: Vec<u8>,
}

impl<'a> RequestReader<'a> {
    pub fn new(stream: &'a TcpStream, shared: &'a Shared) -> RequestReader<'a> {
        RequestReader { stream, shared, limits: &shared.sizes.limits, buf: Vec::new() }
    }

    /// Reads the next request. `is_first` is whether the connection had no request before.
    pub fn read(&mut self, is_first: bool) -> Result<Request, ReadError> {
        self.wait_for_start(is_first)?;
        let head_deadline = Instant::now() + self.limits.head_time;
        let head = loop {
            match request_head(&mut self.buf, self.limits).map_err(ReadError::Invalid)? {
                Some(head) => break head,
                None => self.fill(head_deadline)?,
            }
        };
        let mut request = head.message;
        let mut decoder = Decoder::new(head.framing, self.limits.body_bytes).map_err(invalid_body)?;
        if expects_continue(&request) && !decoder.is_complete() && self.buf.is_empty() {
            let mut stream = self.stream;
            stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").map_err(|_| ReadError::Closed)?;
        }
        self.read_body(&mut decoder, &mut request.body)?;
        Ok(request)
    }

    /// Waits for the first byte of a request.
    fn wait_for_start(&mut self, is_first: bool) -> Result<(), ReadError> {
        let idle_deadline = Instant::now() + self.limits.idle_time;
        while self.buf.is_empty() {
            let is_stopping = self.shared.stop.load(Ordering::SeqCst);
            let wait = match (is_stopping, is_first) {
                (true, true) => FIRST_REQUEST_GRACE,
                (true, false) => NEXT_REQUEST_GRACE,
                (false, _) => STOP_CHECK_INTERVAL,
            };
            match self.fill(idle_deadline.min(Instant::now() + wait)) {
                Err(ReadError::Idle) if is_stopping => return Err(ReadError::Closed),
                Err(ReadError::Idle) if Instant::now() < idle_deadline => {}
                other => other?,
            }
        }
        Ok(())
    }

    /// Reads the rest of a request's body.
    fn read_body(&mut self, decoder: &mut Decoder, body: &mut Vec<u8>) -> Result<(), ReadError> {
        let body_deadline = Instant::now() + self.limits.body_time;
        loop {
            decoder.decode(&mut self.buf, body).map_err(invalid_body)?;
            if decoder.is_complete() {
                self.buf.shrink_to(IDLE_BUFFER_BYTES);
                return Ok(());
            }
            match self.fill(body_deadline) {
                Err(ReadError::Idle | ReadError::TimedOut) => return Err(ReadError::TimedOut),
                other => other?,
            }
        }
    }

    /// Waits for bytes, at most until the deadline, and reads them once.
    fn fill(&mut self, deadline: Instant) -> Result<(), ReadError> {
        match wait::readable([Some(self.stream)], deadline) {
            Ok([true]) => {}
            Ok([false]) if self.buf.is_empty() => return Err(ReadError::Idle),
            Ok([false]) => return Err(ReadError::TimedOut),
            Err(_) => return Err(ReadError::Closed),
        }
        let mut chunk = [0; READ_CHUNK_BYTES];
        let mut stream = self.stream;
        match stream.read(&mut chunk) {
            Ok(0) => Err(ReadError::Closed),
            Ok(len) => {
                self.buf.extend_from_slice(&chunk[..len]);
                Ok(())
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => Ok(()),
            Err(_) => Err(ReadError::Closed),
        }
    }
}

/// Returns whether the client waits for an interim response before it sends the body.
fn expects_continue(request: &Request) -> bool {
    let expect = request.headers.get(header::EXPECT);
    expect.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}
