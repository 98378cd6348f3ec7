//! The source of the endpoint list: the settings, or a list service that pushes updates.
//!
//! A list from the service is cached on disk, so that the front can start while the service is unreachable.

use std::io;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use beechloft_config::front::ListSource;
use beechloft_discovery::mirror::Mirror;
use beechloft_discovery::{CHANGE, MAX_MESSAGE_BYTES, Message, MessageKind, SNAPSHOT, cache};
use beechloft_http::client::{CallError, Stream, StreamRequests};
use beechloft_http::sse::{Event, Parser};
use beechloft_http::{Method, Request, header};
use beechloft_session::catalog::EndpointUpdate;
use beechloft_session::io::Input;
use beechloft_whep::{EVENTS, media_server};
use rand_chacha::ChaCha20Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use tracing::{info, warn};

use crate::Shared;

/// Pause after the first failed connection. It is doubled with each further failure, and jitter keeps fronts from
/// reconnecting at the same time.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// The longest pause between two connection attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Time within which the connection must be established and the request written.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a response after which the list is requested again. The earlier request stays open.
const REPEAT_AFTER: Duration = Duration::from_secs(2);
/// Time without a response after which a request is given up.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which a blocked read checks whether the front has ended.
const READ_POLL: Duration = Duration::from_millis(500);
/// Time without data after which the stream counts as broken. The service sends a comment every second.
const MAX_SILENCE: Duration = Duration::from_secs(4);
/// Minimum interval between two writes of the cached list.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);
/// Makes the subscriber's random numbers differ from others that are derived from the same seed.
const SEED_SALT: u64 = 0x6c69_7374;

/// Passes the session controller its first list and, if the list is pushed by a service, starts to follow it.
///
/// # Errors
/// Fails if a thread can't be started.
pub fn start(shared: &Shared, seed: u64) -> io::Result<()> {
    match &shared.settings.list {
        ListSource::Static(servers, titles) => {
            let (servers, titles) = (servers.clone(), titles.clone());
            let snapshot = EndpointUpdate::Snapshot { cached: false, servers, titles };
            shared.handle.input(Input::Endpoints(snapshot));
            Ok(())
        }
        ListSource::Pushed { address, cache, .. } => {
            let mut mirror = Mirror::default();
            if let Some(path) = cache {
                load_cached_list(shared, path, &mut mirror);
            }
            let subscriber = Subscriber {
                shared: shared.clone(),
                requests: StreamRequests::new(*address, RESPONSE_TIMEOUT),
                rng: ChaCha20Rng::seed_from_u64(seed ^ SEED_SALT),
                mirror,
                cache_path: cache.clone(),
                unsaved_since: None,
            };
            thread::Builder::new().name("list".into()).spawn(move || subscriber.run())?;
            Ok(())
        }
    }
}

fn load_cached_list(shared: &Shared, path: &Path, mirror: &mut Mirror) {
    match cache::load(path) {
        Ok(Some(message)) => {
            let kind = MessageKind::Snapshot { cached: true };
            let read = beechloft_discovery::read(kind, &message, &shared.settings.service);
            let (servers, titles) = (message.media_servers.len(), message.titles.len());
            info!(target: "list", servers, titles, "cached endpoint list loaded");
            mirror.apply(true, &message);
            shared.handle.input(Input::Endpoints(read.update));
        }
        Ok(None) => info!(target: "list", "no cached endpoint list found"),
        Err(error) => {
            warn!(target: "list", path = %path.display(), %error, "failed to read the cached endpoint list");
        }
    }
}

/// Follows the updates of the list service.
struct Subscriber {
    shared: Shared,
    requests: StreamRequests,
    rng: ChaCha20Rng,
    mirror: Mirror,
    cache_path: Option<PathBuf>,
    unsaved_since: Option<Instant>,
}

impl Subscriber {
    fn run(mut self) {
        let mut backoff = INITIAL_BACKOFF;
        let mut was_up = true;
        let mut pause = Duration::ZERO;
        while !self.shared.handle.ended() {
            let error = match self.connect(pause) {
                Ok(mut stream) => {
                    info!(target: "list", "connected to the list service");
                    backoff = INITIAL_BACKOFF;
                    was_up = true;
                    self.read(&mut stream)
                }
                Err(error) => error,
            };
            if self.shared.handle.ended() {
                return;
            }
            if std::mem::take(&mut was_up) {
                warn!(target: "list", %error, "connection to the list service lost; the known endpoint list is kept");
                self.shared.handle.input(Input::Endpoints(EndpointUpdate::Failed));
            }
            pause = self.jittered(backoff);
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Draws a pause between half of `backoff` and all of it.
    fn jittered(&mut self, backoff: Duration) -> Duration {
        let half = backoff / 2;
        let fraction = self.rng.next_u64() as f64 / u64::MAX as f64;
        half + half.mul_f64(fraction)
    }

    /// Requests the list after a pause, and waits for the first response to this request or an earlier one.
    fn connect(&mut self, pause: Duration) -> Result<Stream, CallError> {
        if let Some(stream) = self.requests.pause(Instant::now() + pause) {
            return Ok(stream);
        }
        let ListSource::Pushed { path, .. } = &self.shared.settings.list else {
            return Err(CallError::Refused);
        };
        let request = Request::new(Method::GET, path.clone()).with(header::ACCEPT, EVENTS);
        let request = request.with(header::VIA, media_server::via(self.shared.settings.settings.slot));
        self.requests.send(&request, Instant::now() + CONNECT_TIMEOUT)?;
        self.requests.wait(Instant::now() + REPEAT_AFTER)?.ok_or(CallError::TimedOut)
    }

    /// Reads the stream until it breaks or times out, and returns the reason.
    fn read(&mut self, stream: &mut Stream) -> CallError {
        let mut parser = Parser::new(MAX_MESSAGE_BYTES);
        let mut events = Vec::new();
        let mut received_at = Instant::now();
        loop {
            if received_at.elapsed() >= MAX_SILENCE || self.shared.handle.ended() {
                return CallError::TimedOut;
            }
            match stream.read(Instant::now() + READ_POLL) {
                Ok(part) => {
                    if !part.is_empty() {
                        received_at = Instant::now();
                    }
                    if let Err(error) = parser.push(&part, &mut events) {
                        return CallError::Broken(io::Error::other(error));
                    }
                }
                Err(error) => return error,
            }
            for event in events.drain(..) {
                self.handle_event(&event);
            }
            self.save_if_due();
        }
    }

    fn handle_event(&mut self, event: &Event) {
        let kind = match event.name.as_str() {
            SNAPSHOT => MessageKind::Snapshot { cached: false },
            CHANGE => MessageKind::Change,
            _ => return,
        };
        let message: Message = match serde_json::from_str(&event.data) {
            Ok(message) => message,
            Err(error) => {
                return warn!(target: "list", %error, "malformed endpoint list message ignored");
            }
        };
        let read = beechloft_discovery::read(kind, &message, &self.shared.settings.service);
        for fault in read.faults {
            warn!(target: "list", "{fault}");
        }
        self.mirror.apply(kind != MessageKind::Change, &message);
        self.unsaved_since.get_or_insert_with(Instant::now);
        self.shared.handle.input(Input::Endpoints(read.update));
    }

    /// Writes the cached list if it has changed and [`SAVE_INTERVAL`] has passed since the change.
    fn save_if_due(&mut self) {
        let Some(path) = &self.cache_path else { return };
        if self.unsaved_since.is_some_and(|since| since.elapsed() >= SAVE_INTERVAL) {
            self.unsaved_since = None;
            if let Err(error) = cache::save(path, &self.mirror.message()) {
                warn!(target: "list", path = %path.display(), %error, "failed to write the cached endpoint list");
            }
        }
    }
}
