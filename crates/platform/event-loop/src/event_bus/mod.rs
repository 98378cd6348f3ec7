//! The client of the event bus: server-sent events about the list of media servers, requested from the last number on.
//!
//! Whatever comes, the client goes on: what can't be read costs itself alone, and the less the earlier requests brought,
//! the later the next one comes. See the HTML standard, "Server-sent events", for the format and `Last-Event-ID`.

mod lines;
mod response;
mod retry;
mod sequence;

use std::collections::VecDeque;
use std::net::SocketAddr;

use beechloft::api::Micros;
use beechloft_front_node::Input;
use beechloft_http::message::Request;
use http::{HeaderName, Method};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use thiserror::Error;
use tracing::{info, warn};

use crate::buffered_stream::{BufferedStream, ReadOutcome};
use crate::limits::SocketLimits;
use crate::tokens::TokenAllocator;
use response::{Response, ResponseError};
use retry::{RequestFailure, RetryPolicy};
use sequence::{EventOutcome, EventSequence};

/// A response's head, and each event, is whole this long after its first byte, or the connection is closed: a byte now and
/// then is no progress. Half a megabyte over a slow line takes less.
const COMPLETION_TIMEOUT: Micros = Micros(5_000_000);

/// Bytes of the request that wait to be written at most.
const WRITE_BUFFER_BYTES: usize = 4096;

/// Why a connection to the event bus was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
enum ConnectionError {
    #[error("no connection")]
    NotConnected,
    #[error("not written")]
    NotWritten,
    #[error("ended")]
    Ended,
    #[error("an event that can't be read")]
    UnreadableEvent,
    #[error(transparent)]
    Response(#[from] ResponseError),
}

/// A connection to the event bus.
struct Connection {
    token: Token,
    stream: BufferedStream,
    request_sent: bool,
    /// Anything has come on it.
    has_received: bool,
    response: Response,
    opened_at: Micros,
    last_received_at: Micros,
}

impl Connection {
    /// Sends the request once the connection is established; whether it is sent.
    fn send_request(&mut self, addr: SocketAddr, last_event_id: u64) -> Result<bool, ConnectionError> {
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
}

/// The client of the event bus.
pub struct EventBusClient {
    addr: SocketAddr,
    sequence: EventSequence,
    connection: Option<Connection>,
    retry: RetryPolicy,
    limits: SocketLimits,
}

impl EventBusClient {
    /// A client that knows all events up to a number; it connects when [`EventBusClient::sweep`] is called.
    pub fn new(addr: SocketAddr, last_event_id: u64, limits: SocketLimits, seed: u64) -> Self {
        EventBusClient {
            addr,
            sequence: EventSequence::starting_after(last_event_id),
            connection: None,
            retry: RetryPolicy::new(&limits, seed),
            limits,
        }
    }

    /// Whether a token is its connection's.
    pub fn has(&self, token: Token) -> bool {
        self.connection.as_ref().is_some_and(|connection| connection.token == token)
    }

    /// Moves to another address; the numbering goes on. What is unread on the old connection comes again on the new one, as
    /// events are requested from the last one that was handled.
    pub fn move_to(&mut self, addr: SocketAddr, now: Micros, registry: &Registry) {
        if addr != self.addr {
            info!(%addr, last = self.sequence.last(), "event bus moves");
            self.addr = addr;
            self.close(registry);
            self.retry.connect_at(now);
            self.retry.reset();
        }
    }

    /// Something contradicts the list, for example a media server that it calls ready and that refuses connections. If no
    /// new event comes for some seconds, events are requested again from the last one on: a stream that goes on with
    /// comments but has lost its events looks like a list that does not change.
    pub fn suspect(&mut self, now: Micros) {
        self.retry.suspect(now);
    }

    fn close(&mut self, registry: &Registry) -> Option<Connection> {
        let mut connection = self.connection.take()?;
        let _ = registry.deregister(&mut connection.stream.socket);
        Some(connection)
    }

    /// Closes the connection and retries later. A partial event was not handled, and comes again.
    fn fail(&mut self, now: Micros, registry: &Registry) {
        let connection = self.close(registry);
        let failure = match &connection {
            Some(open) if open.has_received => RequestFailure::Disconnected,
            _ => RequestFailure::NoResponse,
        };
        let outlasted_silence = |c: &Connection| {
            c.response.is_accepted() && c.last_received_at - c.opened_at > self.limits.bus_silence_timeout
        };
        if connection.as_ref().is_some_and(outlasted_silence) {
            // It worked for longer than a dead one would have: an ordinary disconnect.
            self.retry.forget_failures();
        }
        self.retry.schedule(now, failure);
    }

    /// Connects if that is due, and closes a connection that makes no progress.
    pub fn sweep(&mut self, now: Micros, registry: &Registry, tokens: &mut TokenAllocator) {
        self.check_progress(now, registry);
        if self.retry.take_due_suspicion(now) && self.close(registry).is_some() {
            info!(
                last = self.sequence.last(),
                "the list contradicts the state of media servers; it is requested again"
            );
            self.retry.connect_at(now);
        }
        if self.connection.is_none() && self.retry.is_connect_due(now) {
            self.connect(now, registry, tokens);
        }
    }

    fn check_progress(&mut self, now: Micros, registry: &Registry) {
        let Some(connection) = &self.connection else { return };
        let silent = now - connection.last_received_at > self.limits.bus_silence_timeout;
        let slow = connection.response.incomplete_for(now) > COMPLETION_TIMEOUT;
        if silent || slow {
            warn!(silent, slow, last = self.sequence.last(), "event bus silent");
            self.fail(now, registry);
        }
    }

    fn connect(&mut self, now: Micros, registry: &Registry, tokens: &mut TokenAllocator) {
        let Ok(mut socket) = TcpStream::connect(self.addr) else { return self.fail(now, registry) };
        let token = tokens.allocate();
        let interest = Interest::READABLE | Interest::WRITABLE;
        if registry.register(&mut socket, token, interest).is_err() {
            return self.fail(now, registry);
        }
        self.connection = Some(Connection {
            token,
            stream: BufferedStream::new(socket, WRITE_BUFFER_BYTES),
            request_sent: false,
            has_received: false,
            response: Response::new(now, self.limits.max_event_bytes),
            opened_at: now,
            last_received_at: now,
        });
    }

    /// Handles its ready socket; whether there may be more to read.
    pub fn handle_ready(
        &mut self,
        now: Micros,
        buffer: &mut [u8],
        registry: &Registry,
        inputs: &mut VecDeque<Input>,
    ) -> bool {
        match self.advance(now, buffer, inputs) {
            Ok(may_have_more) => may_have_more,
            Err(error) => {
                warn!(%error, last = self.sequence.last(), "event bus broke off");
                self.fail(now, registry);
                false
            }
        }
    }

    /// Sends the request and reads, up to the share of a turn; whether there may be more to read.
    fn advance(
        &mut self,
        now: Micros,
        buffer: &mut [u8],
        inputs: &mut VecDeque<Input>,
    ) -> Result<bool, ConnectionError> {
        let Some(connection) = &mut self.connection else { return Ok(false) };
        if !connection.request_sent {
            if !connection.send_request(self.addr, self.sequence.last())? {
                return Ok(false);
            }
            // A request for any reason answers the suspicion.
            self.retry.clear_suspicion();
        }
        connection.stream.flush().map_err(|_| ConnectionError::NotWritten)?;
        let mut read_bytes = 0;
        while read_bytes < self.limits.upstream_bytes_per_turn {
            let Some(open) = &mut self.connection else { return Ok(false) };
            match open.stream.read(buffer) {
                ReadOutcome::Data(count) => {
                    read_bytes += count;
                    self.receive(now, &buffer[..count], inputs)?;
                }
                ReadOutcome::WouldBlock => return Ok(false),
                ReadOutcome::Closed => return Err(ConnectionError::Ended),
            }
        }
        Ok(true)
    }

    /// Takes bytes, and passes on the events that they complete. Whole events before an error are handled: otherwise they
    /// would be lost if they came together with it each time.
    fn receive(
        &mut self,
        now: Micros,
        bytes: &[u8],
        inputs: &mut VecDeque<Input>,
    ) -> Result<(), ConnectionError> {
        let Some(connection) = &mut self.connection else { return Ok(()) };
        connection.last_received_at = now;
        connection.has_received = true;
        let mut events = Vec::new();
        let sequence = &mut self.sequence;
        let received = connection.response.receive(now, bytes, &mut events, &mut || !sequence.take_retry());
        for event in events {
            match self.sequence.receive(&event) {
                EventOutcome::New(topology) => {
                    self.retry.reset();
                    inputs.extend(topology.map(Input::Topology));
                }
                EventOutcome::Unnumbered(topology) => inputs.extend(topology.map(Input::Topology)),
                EventOutcome::Retry => return Err(ConnectionError::UnreadableEvent),
                EventOutcome::Ignored => {}
            }
        }
        received.map_err(ConnectionError::Response)
    }
}
