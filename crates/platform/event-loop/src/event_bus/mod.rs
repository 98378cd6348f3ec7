//! The client of the event bus, which receives changes of the endpoint list as server-sent events.
//!
//! The client requests the events after the last handled offset. It skips unreadable events after some retries, and backs
//! off while requests return no new events. See the HTML standard, "Server-sent events", for the format and
//! `Last-Event-ID`.

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

/// Maximum time between the first and the last byte of a response head or an event.
///
/// The connection is closed afterwards, even if single bytes keep arriving. Half a megabyte over a slow line takes less.
const COMPLETION_TIMEOUT: Micros = Micros(5_000_000);

/// Size of the write buffer for the request.
const WRITE_BUFFER_BYTES: usize = 4096;

/// Reason for which a connection to the event bus was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
enum ConnectionError {
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

/// Connection to the event bus.
struct Connection {
    token: Token,
    stream: BufferedStream,
    request_sent: bool,
    /// Whether any data was received on the connection.
    has_received: bool,
    response: Response,
    opened_at: Micros,
    last_received_at: Micros,
}

impl Connection {
    /// Sends the request if the connection is established. Returns whether it was sent.
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

/// Client of the event bus.
pub struct EventBusClient {
    addr: SocketAddr,
    sequence: EventSequence,
    connection: Option<Connection>,
    retry: RetryPolicy,
    limits: SocketLimits,
}

impl EventBusClient {
    /// Creates a client that requests the events after `last_event_id`. It connects when [`EventBusClient::sweep`] is
    /// called.
    pub fn new(addr: SocketAddr, last_event_id: u64, limits: SocketLimits, seed: u64) -> Self {
        EventBusClient {
            addr,
            sequence: EventSequence::starting_after(last_event_id),
            connection: None,
            retry: RetryPolicy::new(&limits, seed),
            limits,
        }
    }

    /// Returns whether a token belongs to the connection of this client.
    pub fn has(&self, token: Token) -> bool {
        self.connection.as_ref().is_some_and(|connection| connection.token == token)
    }

    /// Changes the address of the event bus, and keeps the offset of the last handled event.
    ///
    /// Unread events of the old connection arrive again on the new one, as events are requested after the last handled
    /// one.
    pub fn change_address(&mut self, addr: SocketAddr, now: Micros, registry: &Registry) {
        if addr != self.addr {
            info!(%addr, last = self.sequence.last(), "event bus address changed");
            self.addr = addr;
            self.close(registry);
            self.retry.connect_at(now);
            self.retry.reset();
        }
    }

    /// Reports a contradiction to the endpoint list, for example a media server that is listed as ready and refuses
    /// connections.
    ///
    /// If no new event arrives within some seconds, events are requested again after the last handled one. A stream
    /// that has lost events but still sends comments cannot be distinguished from an unchanged list.
    pub fn suspect(&mut self, now: Micros) {
        self.retry.suspect(now);
    }

    fn close(&mut self, registry: &Registry) -> Option<Connection> {
        let mut connection = self.connection.take()?;
        let _ = registry.deregister(&mut connection.stream.socket);
        Some(connection)
    }

    /// Closes the connection and schedules a retry. An incomplete event was not handled, and arrives again.
    fn fail(&mut self, now: Micros, registry: &Registry) {
        let connection = self.close(registry);
        let failure = match &connection {
            Some(open) if open.has_received => RequestFailure::Disconnected,
            _ => RequestFailure::NoResponse,
        };
        let was_healthy = |c: &Connection| {
            c.response.is_accepted() && c.last_received_at - c.opened_at > self.limits.bus_silence_timeout
        };
        if connection.as_ref().is_some_and(was_healthy) {
            // The stream delivered data for longer than the silence timeout, so this is an ordinary disconnect.
            self.retry.reset_failures();
        }
        self.retry.schedule(now, failure);
    }

    /// Connects if a request is due, and closes a connection that makes no progress.
    pub fn sweep(&mut self, now: Micros, registry: &Registry, tokens: &mut TokenAllocator) {
        self.check_progress(now, registry);
        if self.retry.take_due_suspicion(now) && self.close(registry).is_some() {
            info!(
                last = self.sequence.last(),
                "endpoint list contradicts the state of media servers; requesting it again"
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
            warn!(silent, slow, last = self.sequence.last(), "event bus connection timed out; retrying");
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

    /// Handles the ready socket. Returns whether it may hold more data.
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
                warn!(%error, last = self.sequence.last(), "event bus connection failed; retrying");
                self.fail(now, registry);
                false
            }
        }
    }

    /// Sends the request and reads, up to the limit for one iteration. Returns whether the socket may hold more data.
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
            // Any request clears a suspicion, as it returns the events that may have been lost.
            self.retry.clear_suspicion();
        }
        connection.stream.flush().map_err(|_| ConnectionError::NotWritten)?;
        let mut read_bytes = 0;
        while read_bytes < self.limits.upstream_bytes_per_iteration {
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

    /// Adds received bytes, and passes the events that they complete to the state machine.
    ///
    /// Complete events before an error are handled. Otherwise they would be lost if they arrived together with it after
    /// each reconnect.
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
                EventOutcome::WithoutOffset(topology) => inputs.extend(topology.map(Input::Topology)),
                EventOutcome::Retry => return Err(ConnectionError::UnreadableEvent),
                EventOutcome::Ignored => {}
            }
        }
        received.map_err(ConnectionError::Response)
    }
}
