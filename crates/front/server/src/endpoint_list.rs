//! Where the endpoint list comes from: the settings, or a service that pushes it, with a copy on disk for the start.

use std::io;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use beechloft_config::front::ListSource;
use beechloft_discovery::mirror::Mirror;
use beechloft_discovery::{CHANGE, Form, MAX_MESSAGE_BYTES, Message, SNAPSHOT, cache};
use beechloft_http::client::{CallError, Conn, Stream};
use beechloft_http::sse::{Event, Parser};
use beechloft_http::{Method, Request, header};
use beechloft_session::catalog::EndpointUpdate;
use beechloft_session::io::Input;
use beechloft_whep::{EVENTS, media_server};
use rand_chacha::ChaCha20Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use tracing::{info, warn};

use crate::Shared;

/// The first pause between two attempts; doubled by each failure. Each pause is drawn between half and all of it, so that
/// fronts do not return together.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// The longest pause.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// How long a connection and its response may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a read that waits polls whether the front has ended.
const READ_POLL: Duration = Duration::from_millis(500);
/// A stream silent for this long is broken; the service sends a comment each second.
const MAX_SILENCE: Duration = Duration::from_secs(4);
/// The copy is written at most this often.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);
/// Makes the subscriber's random numbers differ from others of the same seed.
const SEED_SALT: u64 = 0x6c69_7374;

/// Hands the session controller its first list and, where one is pushed, starts to follow it.
///
/// # Errors
/// No thread.
pub fn start(shared: &Shared, seed: u64) -> io::Result<()> {
    match &shared.settings.list {
        ListSource::Written(servers, titles) => {
            let (servers, titles) = (servers.clone(), titles.clone());
            let snapshot = EndpointUpdate::Snapshot { cached: false, servers, titles };
            shared.handle.input(Input::Endpoints(snapshot));
            Ok(())
        }
        ListSource::Pushed { cache, .. } => {
            let mut mirror = Mirror::default();
            if let Some(path) = cache {
                load_copy(shared, path, &mut mirror);
            }
            let subscriber = Subscriber {
                shared: shared.clone(),
                rng: ChaCha20Rng::seed_from_u64(seed ^ SEED_SALT),
                mirror,
                copy: cache.clone(),
                unsaved_since: None,
            };
            thread::Builder::new().name("list".into()).spawn(move || subscriber.run())?;
            Ok(())
        }
    }
}

fn load_copy(shared: &Shared, path: &Path, mirror: &mut Mirror) {
    match cache::load(path) {
        Ok(Some(message)) => {
            let form = Form::Snapshot { cached: true };
            let read = beechloft_discovery::read(form, &message, &shared.settings.service);
            let (servers, titles) = (message.boxes.len(), message.titles.len());
            info!(target: "list", servers, titles, "copy of the endpoint list read");
            mirror.apply(true, &message);
            shared.handle.input(Input::Endpoints(read.update));
        }
        Ok(None) => info!(target: "list", "no copy of the endpoint list yet"),
        Err(error) => {
            warn!(target: "list", path = %path.display(), %error, "the copy of the endpoint list can't be read");
        }
    }
}

/// Follows the list's service.
struct Subscriber {
    shared: Shared,
    rng: ChaCha20Rng,
    mirror: Mirror,
    copy: Option<PathBuf>,
    unsaved_since: Option<Instant>,
}

impl Subscriber {
    fn run(mut self) {
        let mut backoff = INITIAL_BACKOFF;
        let mut was_up = true;
        while !self.shared.handle.ended() {
            let error = match self.connect() {
                Ok(mut stream) => {
                    info!(target: "list", "endpoint list's service reached");
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
                warn!(target: "list", %error, "endpoint list's service lost; the known list stays");
                self.shared.handle.input(Input::Endpoints(EndpointUpdate::Failed));
            }
            thread::sleep(self.with_jitter(backoff));
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// A pause between half and all of this one.
    fn with_jitter(&mut self, pause: Duration) -> Duration {
        let half = pause / 2;
        let part = self.rng.next_u64() as f64 / u64::MAX as f64;
        half + half.mul_f64(part)
    }

    fn connect(&self) -> Result<Stream, CallError> {
        let ListSource::Pushed { address, path, .. } = &self.shared.settings.list else {
            return Err(CallError::Refused);
        };
        let request = Request::new(Method::GET, path.clone()).with(header::ACCEPT, EVENTS);
        let request = request.with(header::VIA, media_server::via(self.shared.settings.settings.slot));
        let until = Instant::now() + CONNECT_TIMEOUT;
        let (response, stream) = Conn::open(*address, until)?.send(&request, until)?.into_stream(until)?;
        if response.status.is_success() {
            return Ok(stream);
        }
        Err(CallError::Broken(io::Error::other(format!("status {}", response.status))))
    }

    /// Reads until the stream breaks or falls silent.
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
                self.take(&event);
            }
            self.save();
        }
    }

    fn take(&mut self, event: &Event) {
        let form = match event.name.as_str() {
            SNAPSHOT => Form::Snapshot { cached: false },
            CHANGE => Form::Change,
            _ => return,
        };
        let message: Message = match serde_json::from_str(&event.data) {
            Ok(message) => message,
            Err(error) => {
                return warn!(target: "list", %error, "a message of the endpoint list that can't be read is ignored");
            }
        };
        let read = beechloft_discovery::read(form, &message, &self.shared.settings.service);
        for fault in read.faults {
            warn!(target: "list", "{fault}");
        }
        self.mirror.apply(form != Form::Change, &message);
        self.unsaved_since.get_or_insert_with(Instant::now);
        self.shared.handle.input(Input::Endpoints(read.update));
    }

    fn save(&mut self) {
        let Some(path) = &self.copy else { return };
        if self.unsaved_since.is_some_and(|since| since.elapsed() >= SAVE_INTERVAL) {
            self.unsaved_since = None;
            if let Err(error) = cache::save(path, &self.mirror.message()) {
                warn!(target: "list", path = %path.display(), %error, "the copy of the endpoint list can't be written");
            }
        }
    }
}
