//! The client of the event bus, which receives changes of the endpoint list as server-sent events.
//!
//! The client requests the events after the last handled offset. It skips unreadable events after some retries, and backs
//! off while requests return no new events. See the HTML standard, "Server-sent events", for the format and
//! `Last-Event-ID`.
//!
//! A connection without data may be lost, or its event bus may be slow. The client cannot distinguish these, so it sends
//! another request on a further connection and keeps the silent one open: a lost connection is replaced early, and a slow
//! response is still received. The first response with content replaces all other connections.

mod connection;
mod lines;
mod response;
mod retry;
mod sequence;

use std::collections::VecDeque;
use std::net::SocketAddr;

use beechloft::api::Micros;
use beechloft_front_node::Input;
use mio::{Registry, Token};
use tracing::{debug, info, warn};

use crate::buffered_stream::ReadOutcome;
use crate::limits::{MAX_BUS_CONNECTIONS, SocketLimits};
use crate::tokens::TokenAllocator;
use connection::{Connection, ConnectionError, Phase};
use retry::{RequestFailure, RetryPolicy};
use sequence::{EventOutcome, EventSequence};

/// Maximum time between the first and the last byte of a response head or an event.
///
/// The connection is closed afterwards, even if single bytes keep arriving. Half a megabyte over a slow line takes less.
const COMPLETION_TIMEOUT: Micros = Micros(5_000_000);

/// Client of the event bus.
pub struct EventBusClient {
    addr: SocketAddr,
    sequence: EventSequence,
    /// Open connections, the oldest first. There are several only while a request waits for its response.
    connections: Vec<Connection>,
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
            connections: Vec::new(),
            retry: RetryPolicy::new(&limits, seed),
            limits,
        }
    }

    /// Returns whether a token belongs to a connection of this client.
    pub fn has(&self, token: Token) -> bool {
        self.connection(token).is_some()
    }

    /// Returns the number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Changes the address of the event bus, and keeps the offset of the last handled event.
    ///
    /// Unread events of the old connections arrive again on the new one, as events are requested after the last handled
    /// one.
    pub fn change_address(&mut self, addr: SocketAddr, now: Micros, registry: &Registry) {
        if addr != self.addr {
            info!(%addr, last = self.sequence.last(), "event bus address changed");
            self.addr = addr;
            self.close_all(registry);
            self.retry.request_at(now);
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

    fn connection(&self, token: Token) -> Option<&Connection> {
        self.connections.iter().find(|connection| connection.token == token)
    }

    fn has_content(&self, token: Token) -> bool {
        self.connection(token).is_some_and(|connection| connection.phase() == Phase::Streaming)
    }

    /// Closes the connections for which `keep` returns false.
    fn retain(&mut self, registry: &Registry, mut keep: impl FnMut(&Connection) -> bool) {
        self.connections.retain_mut(|connection| {
            let is_kept = keep(connection);
            if !is_kept {
                connection.deregister(registry);
            }
            is_kept
        });
    }

    fn close_all(&mut self, registry: &Registry) {
        self.retain(registry, |_| false);
    }

    /// Closes a connection. If it carries the newest request, another one is scheduled. An incomplete event was not
    /// handled, and arrives again.
    fn fail(&mut self, token: Token, now: Micros, registry: &Registry) {
        if self.connections.last().is_some_and(|newest| newest.token == token) {
            self.schedule_request(now);
        }
        self.retain(registry, |connection| connection.token != token);
    }

    /// Schedules another request after the newest one has failed or fallen silent.
    fn schedule_request(&mut self, now: Micros) {
        let newest = self.connections.last();
        if newest.is_some_and(|newest| newest.delivered_for() > self.limits.bus_silence_timeout) {
            // The stream delivered data for longer than the silence timeout, so this is an ordinary disconnect.
            self.retry.reset_failures();
        }
        let failure = newest.map_or(RequestFailure::NoResponse, Connection::failure);
        self.retry.schedule(now, failure);
    }

    /// Connects if a request is due, and closes connections that make no progress.
    pub fn sweep(&mut self, now: Micros, registry: &Registry, tokens: &mut TokenAllocator) {
        self.close_stalled(now, registry);
        self.request_again_if_silent(now);
        if self.retry.take_due_suspicion(now) && !self.connections.is_empty() {
            info!(
                last = self.sequence.last(),
                "endpoint list contradicts the state of media servers; requesting it again"
            );
            // The suspected stream is read until the request is answered, as the answer may be slow.
            self.retry.request_at(now);
        }
        if self.retry.take_due_request(now) {
            self.connect(now, registry, tokens);
        }
    }

    /// Closes connections that were silent for too long, or whose response head or event is not completed.
    fn close_stalled(&mut self, now: Micros, registry: &Registry) {
        let stalled = |connection: &Connection| {
            let silent = connection.silent_for(now) > self.limits.bus_response_timeout;
            let slow = connection.incomplete_for(now) > COMPLETION_TIMEOUT;
            if silent || slow {
                let phase = connection.phase();
                warn!(
                    silent,
                    slow,
                    ?phase,
                    last = self.sequence.last(),
                    "event bus connection timed out; closing it"
                );
            }
            silent || slow
        };
        let tokens: Vec<Token> =
            self.connections.iter().filter(|c| stalled(c)).map(|connection| connection.token).collect();
        for token in tokens {
            self.fail(token, now, registry);
        }
    }

    /// Schedules another request if the newest one has received no data for the silence timeout.
    fn request_again_if_silent(&mut self, now: Micros) {
        let Some(newest) = self.connections.last() else { return self.schedule_request(now) };
        if self.retry.is_request_scheduled() || newest.silent_for(now) <= self.limits.bus_silence_timeout {
            return;
        }
        let (phase, connections, last) = (newest.phase(), self.connections.len(), self.sequence.last());
        warn!(
            ?phase,
            connections, last, "no data from the event bus; requesting again on another connection"
        );
        self.schedule_request(now);
    }

    fn connect(&mut self, now: Micros, registry: &Registry, tokens: &mut TokenAllocator) {
        if self.connections.len() >= MAX_BUS_CONNECTIONS {
            self.close_longest_silent(now, registry);
        }
        match Connection::open(self.addr, now, self.limits.max_event_bytes, registry, tokens) {
            Ok(connection) => self.connections.push(connection),
            Err(error) => {
                warn!(%error, "no socket for the event bus; retrying");
                self.retry.schedule(now, RequestFailure::NoResponse);
            }
        }
    }

    fn close_longest_silent(&mut self, now: Micros, registry: &Registry) {
        let longest_silent = self.connections.iter().max_by_key(|connection| connection.silent_for(now));
        if let Some(token) = longest_silent.map(|connection| connection.token) {
            self.retain(registry, |connection| connection.token != token);
        }
    }

    /// Handles the ready socket of a connection. Returns whether it may hold more data.
    pub fn handle_ready(
        &mut self,
        token: Token,
        now: Micros,
        buffer: &mut [u8],
        registry: &Registry,
        inputs: &mut VecDeque<Input>,
    ) -> bool {
        let had_content = self.has_content(token);
        let advanced = self.advance(token, now, buffer, inputs);
        if !had_content && self.has_content(token) {
            self.close_others(token, now, registry);
        }
        advanced.unwrap_or_else(|error| {
            warn!(%error, last = self.sequence.last(), "event bus connection failed; retrying");
            self.fail(token, now, registry);
            false
        })
    }

    /// Closes all connections but the one whose stream has begun, and cancels a scheduled request.
    fn close_others(&mut self, token: Token, now: Micros, registry: &Registry) {
        let age = self.connection(token).map_or(Micros(0), |connection| connection.age(now));
        let others = self.connections.len() - 1;
        if age > self.limits.bus_silence_timeout {
            info!(response_ms = age.0 / 1_000, others, "event bus responded slowly");
        } else {
            debug!(response_ms = age.0 / 1_000, others, "event bus responded");
        }
        self.retain(registry, |connection| connection.token == token);
        self.retry.cancel_request();
    }

    /// Sends the request and reads, up to the limit for one iteration. Returns whether the socket may hold more data.
    fn advance(
        &mut self,
        token: Token,
        now: Micros,
        buffer: &mut [u8],
        inputs: &mut VecDeque<Input>,
    ) -> Result<bool, ConnectionError> {
        let Some(index) = self.connections.iter().position(|connection| connection.token == token) else {
            return Ok(false);
        };
        let connection = &mut self.connections[index];
        let was_sent = connection.is_request_sent();
        if !connection.send_request(self.addr, self.sequence.last())? {
            return Ok(false);
        }
        if !was_sent {
            // Any request clears a suspicion, as it returns the events that may have been lost.
            self.retry.clear_suspicion();
        }
        let mut read_bytes = 0;
        while read_bytes < self.limits.upstream_bytes_per_iteration {
            match self.connections[index].read(buffer) {
                ReadOutcome::Data(count) => {
                    read_bytes += count;
                    self.receive(index, now, &buffer[..count], inputs)?;
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
        index: usize,
        now: Micros,
        bytes: &[u8],
        inputs: &mut VecDeque<Input>,
    ) -> Result<(), ConnectionError> {
        let mut events = Vec::new();
        let sequence = &mut self.sequence;
        let connection = &mut self.connections[index];
        let received = connection.receive(now, bytes, &mut events, &mut || !sequence.take_retry());
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
