//! Event streams of media servers. A thread per media server reads the events and reports the state of the stream.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use beechloft_http::client::{CallError, Stream, StreamRequests};
use beechloft_http::sse::Parser;
use beechloft_http::{Method, Request, header};
use beechloft_session::api::ServerId;
use beechloft_session::io::{Input, MediaServerEvent};
use beechloft_whep::{EVENTS, server_events};
use tracing::{debug, warn};

use crate::handle::EngineHandle;

/// Pause after the first failed connection. It is doubled with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// The longest pause between two connection attempts, and so the time within which a restarted media server is noticed.
const MAX_BACKOFF: Duration = Duration::from_millis(1600);
/// Interval at which a pause checks whether the stream was closed.
const CLOSE_POLL: Duration = Duration::from_millis(100);
/// Interval at which a blocked read checks whether the stream was closed.
const READ_POLL: Duration = Duration::from_millis(250);
/// Stack size of a stream's thread.
const THREAD_STACK_BYTES: usize = 128 * 1024;
/// Time without a response after which the events are requested again. The earlier request stays open. The time is longer than
/// the connection timeout, as the sessions of a busy media server continue to play.
const REPEAT_AFTER: Duration = Duration::from_secs(2);
/// Time without a response after which a request for events is given up.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of missed heartbeats after which a stream counts as broken.
const MAX_MISSED_HEARTBEATS: u64 = 3;
/// Maximum rate of events. A stream that exceeds it counts as broken, as its events would delay those of other streams.
const MAX_EVENTS_PER_SECOND: usize = 20_000;

/// The open event streams.
pub struct EventStreams {
    handle: EngineHandle,
    connect_timeout: Duration,
    closed_flags: BTreeMap<ServerId, Arc<AtomicBool>>,
}

impl EventStreams {
    /// Creates an empty set of streams.
    pub fn new(handle: EngineHandle, connect_timeout: Duration) -> Self {
        EventStreams { handle, connect_timeout, closed_flags: BTreeMap::new() }
    }

    /// Opens a stream to a media server at this address, in place of any earlier one.
    pub fn open(&mut self, server: ServerId, address: SocketAddr) {
        self.close(server);
        let closed = Arc::new(AtomicBool::new(false));
        let stream = EventStream {
            server,
            address,
            handle: self.handle.clone(),
            closed: closed.clone(),
            connect_timeout: self.connect_timeout,
        };
        let thread = thread::Builder::new().name("watch".into()).stack_size(THREAD_STACK_BYTES);
        match thread.spawn(move || stream.run()) {
            Ok(_) => {
                self.closed_flags.insert(server, closed);
            }
            Err(error) => {
                warn!(target: "boxes", server = server.0, %error, "failed to start the thread of an event stream");
            }
        }
    }

    /// Closes the stream to a media server. Its thread ends after at most one poll interval.
    pub fn close(&mut self, server: ServerId) {
        if let Some(closed) = self.closed_flags.remove(&server) {
            closed.store(true, Ordering::SeqCst);
        }
    }

    /// Closes all streams.
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
    connect_timeout: Duration,
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
        let mut requests = StreamRequests::new(self.address, RESPONSE_TIMEOUT);
        let mut pause = Duration::ZERO;
        // A refused connection is reported only once, as repeating the event would load the engine for nothing.
        let mut refusal_reported = false;
        while !self.is_closed() {
            let error = match self.connect(&mut requests, pause) {
                Ok(mut stream) => {
                    backoff = INITIAL_BACKOFF;
                    refusal_reported = false;
                    self.read(&mut stream)
                }
                Err(error) => error,
            };
            debug!(target: "boxes", server = self.server.0, %error, "event stream ended");
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
            pause = backoff;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Requests the events after a pause, and waits for the first response to this request or an earlier one.
    fn connect(&self, requests: &mut StreamRequests, pause: Duration) -> Result<Stream, CallError> {
        let until = Instant::now() + pause;
        while Instant::now() < until {
            if let Some(stream) = requests.pause(until.min(Instant::now() + CLOSE_POLL)) {
                return Ok(stream);
            }
            if self.is_closed() {
                return Err(CallError::TimedOut);
            }
        }
        let request = Request::new(Method::GET, server_events::PATH).with(header::ACCEPT, EVENTS);
        requests.send(&request, Instant::now() + self.connect_timeout)?;
        requests.wait(Instant::now() + REPEAT_AFTER)?.ok_or(CallError::TimedOut)
    }

    /// Reads the stream until it breaks, times out or is closed, and returns the reason.
    fn read(&self, stream: &mut Stream) -> CallError {
        let max_silence = Duration::from_micros(server_events::HEARTBEAT.0 * MAX_MISSED_HEARTBEATS);
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
                let error = format!("more than {MAX_EVENTS_PER_SECOND} events per second");
                return CallError::Broken(std::io::Error::other(error));
            }
            for event in events.drain(..).filter_map(|event| server_events::decode(&event)) {
                self.report(event);
            }
        }
    }
}
