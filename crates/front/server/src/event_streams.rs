//! Event streams of media servers: one thread for each reads its events and reports how the stream fares.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use beechloft_http::client::{CallError, Conn, Stream};
use beechloft_http::sse::Parser;
use beechloft_http::{Method, Request, header};
use beechloft_session::api::ServerId;
use beechloft_session::io::{Input, MediaServerEvent};
use beechloft_whep::{EVENTS, server_events};
use tracing::{debug, warn};

use crate::handle::EngineHandle;

/// The first pause between two attempts to connect; doubled by each failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// The longest pause. A media server that returns is known within this time.
const MAX_BACKOFF: Duration = Duration::from_millis(1600);
/// How often a pause polls whether the stream is to be closed.
const CLOSE_POLL: Duration = Duration::from_millis(100);
/// How often a read that waits polls the same.
const READ_POLL: Duration = Duration::from_millis(250);
/// The stack of a stream's thread, bytes.
const THREAD_STACK: usize = 128 * 1024;
/// How long the response to the request for events may take. A media server that is up but busy may take its time; its
/// sessions play on.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// A stream without an event for this many beats is broken.
const SILENT_BEATS: u64 = 3;
/// A media server that sends more is taken for broken: its events would crowd out those of others.
const MAX_EVENTS_PER_SECOND: usize = 20_000;

/// The streams that are open.
pub struct EventStreams {
    handle: EngineHandle,
    connect_time: Duration,
    closed_flags: BTreeMap<ServerId, Arc<AtomicBool>>,
}

impl EventStreams {
    /// None yet.
    pub fn new(handle: EngineHandle, connect_time: Duration) -> Self {
        EventStreams { handle, connect_time, closed_flags: BTreeMap::new() }
    }

    /// Keeps a stream to a media server at this address, in place of an earlier one.
    pub fn open(&mut self, server: ServerId, address: SocketAddr) {
        self.close(server);
        let closed = Arc::new(AtomicBool::new(false));
        let stream = EventStream {
            server,
            address,
            handle: self.handle.clone(),
            closed: closed.clone(),
            connect_time: self.connect_time,
        };
        let thread = thread::Builder::new().name("watch".into()).stack_size(THREAD_STACK);
        match thread.spawn(move || stream.run()) {
            Ok(_) => {
                self.closed_flags.insert(server, closed);
            }
            Err(error) => {
                warn!(target: "boxes", server = server.0, %error, "no thread for a media server's event stream");
            }
        }
    }

    /// Closes the stream to a media server. Its thread ends within a poll.
    pub fn close(&mut self, server: ServerId) {
        if let Some(closed) = self.closed_flags.remove(&server) {
            closed.store(true, Ordering::SeqCst);
        }
    }

    /// Closes all.
    pub fn stop(&mut self) {
        for closed in std::mem::take(&mut self.closed_flags).into_values() {
            closed.store(true, Ordering::SeqCst);
        }
    }
}

struct EventStream {
    server: ServerId,
    address: SocketAddr,
    handle: EngineHandle,
    closed: Arc<AtomicBool>,
    connect_time: Duration,
}

impl EventStream {
    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    fn report(&self, event: MediaServerEvent) {
        if !self.is_closed() {
            self.handle.input(Input::MediaServer(self.server, event));
        }
    }

    fn run(&self) {
        let mut backoff = INITIAL_BACKOFF;
        // Repeating the same event would only keep the engine busy.
        let mut refusal_reported = false;
        while !self.is_closed() {
            let error = match self.connect() {
                Ok(mut stream) => {
                    backoff = INITIAL_BACKOFF;
                    refusal_reported = false;
                    self.read(&mut stream)
                }
                Err(error) => error,
            };
            debug!(target: "boxes", server = self.server.0, %error, "event stream");
            match error {
                CallError::Refused if refusal_reported => {}
                CallError::Refused => {
                    refusal_reported = true;
                    self.report(MediaServerEvent::ConnectionRefused);
                }
                _ => {
                    refusal_reported = false;
                    self.report(MediaServerEvent::Disconnected);
                }
            }
            self.sleep(backoff);
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    fn sleep(&self, pause: Duration) {
        let until = Instant::now() + pause;
        while Instant::now() < until && !self.is_closed() {
            thread::sleep(pause.min(CLOSE_POLL));
        }
    }

    fn connect(&self) -> Result<Stream, CallError> {
        let request = Request::new(Method::GET, server_events::PATH).with(header::ACCEPT, EVENTS);
        let until = Instant::now() + self.connect_time;
        let exchange = Conn::open(self.address, until)?.send(&request, until)?;
        let (response, stream) = exchange.into_stream(Instant::now() + RESPONSE_TIMEOUT)?;
        if response.status.is_success() {
            return Ok(stream);
        }
        Err(CallError::Broken(std::io::Error::other(format!("status {}", response.status))))
    }

    /// Reads until the stream breaks or falls silent.
    fn read(&self, stream: &mut Stream) -> CallError {
        let max_silence = Duration::from_micros(server_events::HEARTBEAT.0 * SILENT_BEATS);
        let mut parser = Parser::new(server_events::MAX_EVENT_BYTES);
        let mut events = Vec::new();
        let mut received_at = Instant::now();
        let (mut second_began, mut events_in_second) = (Instant::now(), 0);
        loop {
            if self.is_closed() || received_at.elapsed() >= max_silence {
                return CallError::TimedOut;
            }
            match stream.read(Instant::now() + READ_POLL) {
                Ok(part) if part.is_empty() => continue,
                Ok(part) => {
                    received_at = Instant::now();
                    if let Err(error) = parser.push(&part, &mut events) {
                        return CallError::Broken(std::io::Error::other(error));
                    }
                }
                Err(error) => return error,
            }
            if second_began.elapsed() >= Duration::from_secs(1) {
                (second_began, events_in_second) = (Instant::now(), 0);
            }
            events_in_second += events.len();
            if events_in_second > MAX_EVENTS_PER_SECOND {
                let flood = "more events a second than a healthy media server sends";
                return CallError::Broken(std::io::Error::other(flood));
            }
            for event in events.drain(..).filter_map(|event| server_events::decode(&event)) {
                self.report(event);
            }
        }
    }
}
