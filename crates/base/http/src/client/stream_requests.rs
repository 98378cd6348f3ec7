//! Requests for an endless response, such as an event stream, from a server that may be slow.
//!
//! A request without a response may be lost, or its server may be slow. The client cannot distinguish these, so it repeats the
//! request on another connection and keeps the earlier ones open: a lost request is replaced early, and a slow response is
//! still received.

use std::array;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{CallError, Conn, Exchange, Stream};
use crate::message::Request;
use crate::wait;

/// Maximum number of requests that wait for a response at the same time.
const MAX_WAITING: usize = 4;

#[derive(Debug)]
struct WaitingRequest {
    exchange: Exchange,
    sent_at: Instant,
}

/// Requests to one server that wait for a response.
#[derive(Debug)]
pub struct StreamRequests {
    server: SocketAddr,
    response_timeout: Duration,
    /// Requests without a response, the oldest first.
    waiting: Vec<WaitingRequest>,
}

impl StreamRequests {
    /// Creates an empty set. A request is given up if its response has not begun within `response_timeout`.
    pub fn new(server: SocketAddr, response_timeout: Duration) -> StreamRequests {
        StreamRequests { server, response_timeout, waiting: Vec::new() }
    }

    /// Sends another request on a new connection. Earlier requests stay open.
    ///
    /// # Errors
    /// Returns an error if the connection could not be established, or the request not be written, before the deadline.
    pub fn send(&mut self, request: &Request, deadline: Instant) -> Result<(), CallError> {
        self.give_up_expired();
        let exchange = Conn::open(self.server, deadline)?.send(request, deadline)?;
        if self.waiting.len() == MAX_WAITING {
            self.waiting.remove(0);
        }
        self.waiting.push(WaitingRequest { exchange, sent_at: Instant::now() });
        Ok(())
    }

    /// Waits for the first successful response to any of the requests, and gives up the others. Returns `None` if the deadline
    /// passed without one.
    ///
    /// # Errors
    /// Returns an error as soon as the newest request has failed. The others stay open.
    pub fn wait(&mut self, deadline: Instant) -> Result<Option<Stream>, CallError> {
        loop {
            self.give_up_expired();
            let ready = self.wait_until_readable(deadline)?;
            if !ready.contains(&true) {
                return Ok(None);
            }
            // From the newest to the oldest, so that a removal does not shift those that are still to be read.
            for index in (0..self.waiting.len()).rev().filter(|index| ready[*index]) {
                if let Some(stream) = self.advance(index)? {
                    return Ok(Some(stream));
                }
            }
        }
    }

    /// Waits as [`StreamRequests::wait`] does, but also waits on after failures of requests until the deadline.
    pub fn pause(&mut self, deadline: Instant) -> Option<Stream> {
        while Instant::now() < deadline {
            if let Ok(stream) = self.wait(deadline) {
                return stream;
            }
        }
        None
    }

    fn give_up_expired(&mut self) {
        self.waiting.retain(|request| request.sent_at.elapsed() < self.response_timeout);
    }

    /// Returns for each request whether bytes of its response can be read.
    fn wait_until_readable(&self, deadline: Instant) -> Result<[bool; MAX_WAITING], CallError> {
        let sockets =
            array::from_fn(|index| self.waiting.get(index).map(|request| request.exchange.socket()));
        wait::readable::<MAX_WAITING>(sockets, deadline).map_err(CallError::Broken)
    }

    /// Reads the response to a request. Removes the request if it has failed.
    fn advance(&mut self, index: usize) -> Result<Option<Stream>, CallError> {
        let is_newest = index + 1 == self.waiting.len();
        let error = match self.waiting[index].exchange.poll_stream_head() {
            Ok(None) => return Ok(None),
            Ok(Some(head)) if head.response.status.is_success() => {
                let accepted = self.waiting.swap_remove(index);
                self.waiting.clear();
                return Ok(Some(accepted.exchange.into_body_stream(head)));
            }
            Ok(Some(head)) => {
                CallError::Broken(io::Error::other(format!("unexpected status {}", head.response.status)))
            }
            Err(error) => error,
        };
        self.waiting.remove(index);
        if is_newest { Err(error) } else { Ok(None) }
    }
}
