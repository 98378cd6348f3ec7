//! One connection to the event bus: its request, and the response as far as it has arrived.

use std::io;
use std::net::SocketAddr;

use beechloft::api::Micros;
use beechloft_http::message::Request;
use beechloft_http::sse::Event;
use http::{HeaderName, Method};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use thiserror::Error;

use super::response::{Response, ResponseError};
use super::retry::RequestFailure;
use crate::buffered_stream::{BufferedStream, ReadOutcome};
use crate::tokens::TokenAllocator;

/// Size of the write buffer for the request.
const WRITE_BUFFER_BYTES: usize = 4096;

/// Reason for which a connection to the event bus was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum ConnectionError {
    #[error("connect failed")]
    NotConnected,
    #[error("request not sent")]
    NotWritten,
    #[error("connection closed by the event bus")]
    Ended,
    #[error("unreadable event")]
    UnreadableEvent,
    #[error(transparent)]
    Response(#[from] ResponseError),
}

/// What a connection waits for. It is logged, as the causes of a silence differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// The TCP connection is not established.
    Connecting,
    /// The request is sent, and no byte of the response has arrived.
    AwaitingResponse,
    /// The response head has arrived at least in part, and no byte of the body.
    AwaitingContent,
    /// The event stream has begun.
    Streaming,
}

/// Connection to the event bus.
pub(super) struct Connection {
    pub token: Token,
    stream: BufferedStream,
    request_sent: bool,
    response: Response,
    opened_at: Micros,
    /// Time of the first received byte.
    responded_at: Option<Micros>,
    last_received_at: Micros,
}

impl Connection {
    /// Starts to connect.
    ///
    /// # Errors
    /// Returns an error if the operating system provides no socket or refuses to poll it.
    pub fn open(
        addr: SocketAddr,
        now: Micros,
        max_event_bytes: usize,
        registry: &Registry,
        tokens: &mut TokenAllocator,
    ) -> io::Result<Connection> {
        let mut socket = TcpStream::connect(addr)?;
        let token = tokens.allocate();
        registry.register(&mut socket, token, Interest::READABLE | Interest::WRITABLE)?;
        Ok(Connection {
            token,
            stream: BufferedStream::new(socket, WRITE_BUFFER_BYTES),
            request_sent: false,
            response: Response::new(max_event_bytes),
            opened_at: now,
            responded_at: None,
            last_received_at: now,
        })
    }

    /// Removes the socket from the poll. Dropping the connection closes it.
    pub fn deregister(&mut self, registry: &Registry) {
        let _ = registry.deregister(&mut self.stream.socket);
    }

    /// Sends the request for the events after `last_event_id` once the connection is established. Returns whether the
    /// request is sent.
    pub fn send_request(&mut self, addr: SocketAddr, last_event_id: u64) -> Result<bool, ConnectionError> {
        if self.request_sent {
            self.stream.flush().map_err(|_| ConnectionError::NotWritten)?;
            return Ok(true);
        }
        match self.stream.connect_result() {
            None => return Ok(false),
            Some(Err(_)) => return Err(ConnectionError::NotConnected),
            Some(Ok(())) => {}
        }
        let request = Request::new(Method::GET, "/bus/read")
            .with(HeaderName::from_static("last-event-id"), last_event_id.to_string())
            .with(http::header::ACCEPT, "text/event-stream");
        let bytes = request.encode(&addr.to_string());
        self.stream.send(&bytes).map_err(|_| ConnectionError::NotWritten)?;
        self.request_sent = true;
        Ok(true)
    }

    /// Returns whether the request is sent.
    pub fn is_request_sent(&self) -> bool {
        self.request_sent
    }

    /// Reads once.
    pub fn read(&mut self, buffer: &mut [u8]) -> ReadOutcome {
        self.stream.read(buffer)
    }

    /// Adds received bytes and appends the events that they complete to `events`, including those before an error.
    ///
    /// # Errors
    /// See [`Response::receive`].
    pub fn receive(
        &mut self,
        now: Micros,
        bytes: &[u8],
        events: &mut Vec<Event>,
        skip_oversized: &mut dyn FnMut() -> bool,
    ) -> Result<(), ResponseError> {
        self.responded_at.get_or_insert(now);
        self.last_received_at = now;
        self.response.receive(now, bytes, events, skip_oversized)
    }

    /// Returns what the connection waits for.
    pub fn phase(&self) -> Phase {
        if self.response.has_content() {
            Phase::Streaming
        } else if self.responded_at.is_some() {
            Phase::AwaitingContent
        } else if self.request_sent {
            Phase::AwaitingResponse
        } else {
            Phase::Connecting
        }
    }

    /// Returns the time since the last received byte, or since the connect if there is none.
    pub fn silent_for(&self, now: Micros) -> Micros {
        now - self.last_received_at
    }

    /// Returns the time since the connect.
    pub fn age(&self, now: Micros) -> Micros {
        now - self.opened_at
    }

    /// Returns how long the response head or an event has been incomplete.
    pub fn incomplete_for(&self, now: Micros) -> Micros {
        self.response.incomplete_for(now)
    }

    /// Returns for how long a valid response has delivered data, until the last received byte.
    pub fn delivered_for(&self) -> Micros {
        match self.responded_at {
            Some(responded_at) if self.response.is_accepted() => self.last_received_at - responded_at,
            _ => Micros(0),
        }
    }

    /// Returns how the request counts as failed if the connection is lost or silent.
    pub fn failure(&self) -> RequestFailure {
        match self.responded_at {
            Some(_) => RequestFailure::Disconnected,
            None => RequestFailure::NoResponse,
        }
    }
}
