//! Boxes' event streams: one thread for each box, which tells the core what comes and how the stream fares.

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
use beechloft_whep::{EVENTS, news};
use tracing::{debug, warn};

use crate::handle::Handle;

/// First pause between two tries to connect; doubled by each failure...
const PAUSE: Duration = Duration::from_millis(100);
/// ...up to here. A box that comes back is known within this time.
const LONGEST: Duration = Duration::from_millis(1600);

/// A box that sends more is taken for broken: its events would crowd out those of others.
const EVENTS_A_SECOND: usize = 20_000;

/// The streams that are kept.
pub struct Watchers {
    handle: Handle,
    connect_time: Duration,
    kept: BTreeMap<ServerId, Arc<AtomicBool>>,
}

impl Watchers {
    /// None yet.
    pub fn new(handle: Handle, connect_time: Duration) -> Self {
        Watchers { handle, connect_time, kept: BTreeMap::new() }
    }

    /// Keeps a stream to a box at this address, in place of an earlier one.
    pub fn watch(&mut self, server: ServerId, address: SocketAddr) {
        self.unwatch(server);
        let stop = Arc::new(AtomicBool::new(false));
        let watch = Watch {
            server,
            address,
            handle: self.handle.clone(),
            stop: stop.clone(),
            time: self.connect_time,
        };
        let thread = thread::Builder::new().name("watch".into()).stack_size(128 * 1024);
        match thread.spawn(move || watch.run()) {
            Ok(_) => {
                self.kept.insert(server, stop);
            }
            Err(error) => warn!(target: "boxes", server = server.0, %error, "no thread to watch a box"),
        }
    }

    /// Drops the stream to a box.
    pub fn unwatch(&mut self, server: ServerId) {
        if let Some(stop) = self.kept.remove(&server) {
            stop.store(true, Ordering::SeqCst);
        }
    }

    /// Drops all.
    pub fn stop(&mut self) {
        for stop in std::mem::take(&mut self.kept).into_values() {
            stop.store(true, Ordering::SeqCst);
        }
    }
}

struct Watch {
    server: ServerId,
    address: SocketAddr,
    handle: Handle,
    stop: Arc<AtomicBool>,
    time: Duration,
}

impl Watch {
    fn tell(&self, news: MediaServerEvent) {
        if !self.stop.load(Ordering::SeqCst) {
            self.handle.input(Input::MediaServer(self.server, news));
        }
    }

    fn run(&self) {
        let mut pause = PAUSE;
        // The same word again and again would only keep the core busy.
        let mut refused = false;
        while !self.stop.load(Ordering::SeqCst) {
            let error = match self.connect() {
                Ok(mut stream) => {
                    (pause, refused) = (PAUSE, false);
                    self.read(&mut stream)
                }
                Err(error) => error,
            };
            debug!(target: "boxes", server = self.server.0, %error, "event stream");
            match error {
                CallError::Refused if refused => {}
                CallError::Refused => {
                    refused = true;
                    self.tell(MediaServerEvent::ConnectionRefused);
                }
                _ => {
                    refused = false;
                    self.tell(MediaServerEvent::Disconnected);
                }
            }
            self.rest(pause);
            pause = (pause * 2).min(LONGEST);
        }
    }

    fn rest(&self, pause: Duration) {
        let until = Instant::now() + pause;
        while Instant::now() < until && !self.stop.load(Ordering::SeqCst) {
            thread::sleep(pause.min(Duration::from_millis(100)));
        }
    }

    fn connect(&self) -> Result<Stream, CallError> {
        let request = Request::new(Method::GET, news::PATH).with(header::ACCEPT, EVENTS);
        let until = Instant::now() + self.time;
        let exchange = Conn::open(self.address, until)?.send(&request, until)?;
        // A box that is up but busy may take its time; its sessions play on.
        let (response, stream) = exchange.into_stream(Instant::now() + Duration::from_secs(2))?;
        if response.status.is_success() {
            return Ok(stream);
        }
        Err(CallError::Broken(std::io::Error::other(format!("status {}", response.status))))
    }

    /// Reads until the stream breaks or falls silent.
    fn read(&self, stream: &mut Stream) -> CallError {
        let silence = Duration::from_micros(news::BEAT.0 * 3);
        let mut parser = Parser::new(news::EVENT_BYTES);
        let mut events = Vec::new();
        let mut heard = Instant::now();
        let (mut since, mut count) = (Instant::now(), 0);
        loop {
            if self.stop.load(Ordering::SeqCst) || heard.elapsed() >= silence {
                return CallError::TimedOut;
            }
            match stream.read(Instant::now() + Duration::from_millis(250)) {
                Ok(part) if part.is_empty() => continue,
                Ok(part) => {
                    heard = Instant::now();
                    if let Err(e) = parser.push(&part, &mut events) {
                        return CallError::Broken(std::io::Error::other(e));
                    }
                }
                Err(error) => return error,
            }
            if since.elapsed() >= Duration::from_secs(1) {
                (since, count) = (Instant::now(), 0);
            }
            count += events.len();
            if count > EVENTS_A_SECOND {
                return CallError::Broken(std::io::Error::other(
                    "more events a second than a sound box sends",
                ));
            }
            for news in events.drain(..).filter_map(|e| news::read(&e)) {
                self.tell(news);
            }
        }
    }
}
