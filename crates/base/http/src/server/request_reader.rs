//! Reading of requests from a connection.

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

/// During a stop, a connection without request so far is given this long: its request may be on the way.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(100);
/// During a stop, a connection between requests is given this long, which suffices for what has arrived.
const NEXT_REQUEST_GRACE: Duration = Duration::from_millis(1);
/// Interval at which an idle connection checks whether the server stops.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(500);
const READ_CHUNK: usize = 4096;
/// Capacity of the buffer that is kept between requests.
const KEPT_CAPACITY: usize = 4096;

/// Why no request was read.
pub(super) enum NoRequest {
    /// The peer closed the connection.
    Closed,
    /// The time passed without a byte of a request.
    Idle,
    /// The time passed with a part of a request.
    TimedOut,
    /// The request is invalid.
    Invalid(HeadError),
}

fn invalid_body(error: BodyError) -> NoRequest {
    NoRequest::Invalid(HeadError::Body(error))
}

/// Reads the requests of one connection.
pub(super) struct RequestReader<'a> {
    stream: &'a TcpStream,
    shared: &'a Shared,
    limits: &'a Limits,
    buf: Vec<u8>,
}

impl<'a> RequestReader<'a> {
    pub fn new(stream: &'a TcpStream, shared: &'a Shared) -> RequestReader<'a> {
        RequestReader { stream, shared, limits: &shared.sizes.limits, buf: Vec::new() }
    }

    /// Reads the next request.
    pub fn read(&mut self, is_first: bool) -> Result<Request, NoRequest> {
        self.wait_for_start(is_first)?;
        let head_until = Instant::now() + self.limits.head_time;
        let head = loop {
            match request_head(&mut self.buf, self.limits).map_err(NoRequest::Invalid)? {
                Some(head) => break head,
                None => self.fill(head_until)?,
            }
        };
        let mut request = head.message;
        let mut decoder = Decoder::new(head.framing, self.limits.body_bytes).map_err(invalid_body)?;
        if expects_continue(&request) && !decoder.done() && self.buf.is_empty() {
            let mut stream = self.stream;
            stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").map_err(|_| NoRequest::Closed)?;
        }
        self.read_body(&mut decoder, &mut request.body)?;
        Ok(request)
    }

    /// Waits for the first byte of a request.
    fn wait_for_start(&mut self, is_first: bool) -> Result<(), NoRequest> {
        let idle_until = Instant::now() + self.limits.idle_time;
        while self.buf.is_empty() {
            let stops = self.shared.stop.load(Ordering::SeqCst);
            let wait = match (stops, is_first) {
                (true, true) => FIRST_REQUEST_GRACE,
                (true, false) => NEXT_REQUEST_GRACE,
                (false, _) => STOP_CHECK_INTERVAL,
            };
            match self.fill(idle_until.min(Instant::now() + wait)) {
                Err(NoRequest::Idle) if stops => return Err(NoRequest::Closed),
                Err(NoRequest::Idle) if Instant::now() < idle_until => {}
                other => other?,
            }
        }
        Ok(())
    }

    fn read_body(&mut self, decoder: &mut Decoder, body: &mut Vec<u8>) -> Result<(), NoRequest> {
        let body_until = Instant::now() + self.limits.body_time;
        loop {
            decoder.take(&mut self.buf, body).map_err(invalid_body)?;
            if decoder.done() {
                self.buf.shrink_to(KEPT_CAPACITY);
                return Ok(());
            }
            match self.fill(body_until) {
                Err(NoRequest::Idle | NoRequest::TimedOut) => return Err(NoRequest::TimedOut),
                other => other?,
            }
        }
    }

    /// Reads once, waiting at most until `until`.
    fn fill(&mut self, until: Instant) -> Result<(), NoRequest> {
        match wait::readable([Some(self.stream)], until) {
            Ok([true]) => {}
            Ok([false]) if self.buf.is_empty() => return Err(NoRequest::Idle),
            Ok([false]) => return Err(NoRequest::TimedOut),
            Err(_) => return Err(NoRequest::Closed),
        }
        let mut chunk = [0; READ_CHUNK];
        let mut stream = self.stream;
        match stream.read(&mut chunk) {
            Ok(0) => Err(NoRequest::Closed),
            Ok(len) => {
                self.buf.extend_from_slice(&chunk[..len]);
                Ok(())
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => Ok(()),
            Err(_) => Err(NoRequest::Closed),
        }
    }
}

fn expects_continue(request: &Request) -> bool {
    let expect = request.headers.get(header::EXPECT);
    expect.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}
