//! Where the list comes from: the settings, or a service that pushes it, with a copy on disk for the start.

use std::io;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use beechloft_config::front::ListSource;
use beechloft_discovery::mirror::Mirror;
use beechloft_discovery::{BYTES, CHANGE, Form, Message, SNAPSHOT, cache};
use beechloft_http::client::{CallError, Conn, Stream};
use beechloft_http::sse::{Event, Parser};
use beechloft_http::{Method, Request, header};
use beechloft_session::catalog::EndpointUpdate;
use beechloft_session::io::Input;
use beechloft_whep::{EVENTS, boxes};
use rand_chacha::ChaCha20Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use tracing::{info, warn};

use crate::Shared;

/// First pause between two tries; doubled by each failure...
const PAUSE: Duration = Duration::from_millis(100);
/// ...up to here. Each is drawn between half and all of it, so that fronts do not come back together.
const LONGEST: Duration = Duration::from_secs(5);
/// A stream silent for so long is broken; the service sends a comment each second.
const SILENCE: Duration = Duration::from_secs(4);
/// The copy is written at most this often.
const SAVE_EVERY: Duration = Duration::from_secs(1);

/// Hands the core its first list and, where one is pushed, starts to follow it.
pub fn start(shared: &Shared, seed: u64) -> io::Result<()> {
    match &shared.settings.list {
        ListSource::Written(boxes, titles) => {
            let (boxes, titles) = (boxes.clone(), titles.clone());
            shared.handle.input(Input::Endpoints(EndpointUpdate::Snapshot {
                cached: false,
                servers: boxes,
                titles,
            }));
            Ok(())
        }
        ListSource::Pushed { cache, .. } => {
            let mut mirror = Mirror::default();
            if let Some(path) = cache {
                load(shared, path, &mut mirror);
            }
            let follow = Follow {
                shared: shared.clone(),
                rng: ChaCha20Rng::seed_from_u64(seed ^ 0x6c69_7374),
                mirror,
                cache: cache.clone(),
                unsaved: None,
            };
            thread::Builder::new().name("list".into()).spawn(move || follow.run())?;
            Ok(())
        }
    }
}

fn load(shared: &Shared, path: &Path, mirror: &mut Mirror) {
    match cache::load(path) {
        Ok(Some(message)) => {
            let read = beechloft_discovery::read(
                Form::Snapshot { cached: true },
                &message,
                &shared.settings.service,
            );
            info!(target: "list", boxes = message.boxes.len(), titles = message.titles.len(), "copy of the list read");
            mirror.apply(true, &message);
            shared.handle.input(Input::Endpoints(read.update));
        }
        Ok(None) => info!(target: "list", "no copy of the list yet"),
        Err(error) => {
            warn!(target: "list", path = %path.display(), %error, "the copy of the list can't be read")
        }
    }
}

struct Follow {
    shared: Shared,
    rng: ChaCha20Rng,
    mirror: Mirror,
    cache: Option<PathBuf>,
    unsaved: Option<Instant>,
}

impl Follow {
    fn run(mut self) {
        let mut pause = PAUSE;
        let mut was_up = true;
        while !self.shared.handle.ended() {
            let error = match self.connect() {
                Ok(mut stream) => {
                    info!(target: "list", "list service reached");
                    (pause, was_up) = (PAUSE, true);
                    self.read(&mut stream)
                }
                Err(error) => error,
            };
            if self.shared.handle.ended() {
                return;
            }
            if std::mem::take(&mut was_up) {
                warn!(target: "list", %error, "list service lost; what is known holds");
                self.shared.handle.input(Input::Endpoints(EndpointUpdate::Failed));
            }
            let half = pause / 2;
            let part = self.rng.next_u64() as f64 / u64::MAX as f64;
            thread::sleep(half + half.mul_f64(part));
            pause = (pause * 2).min(LONGEST);
        }
    }

    fn connect(&self) -> Result<Stream, CallError> {
        let ListSource::Pushed { address, path, .. } = &self.shared.settings.list else {
            return Err(CallError::Refused);
        };
        let request = Request::new(Method::GET, path.clone()).with(header::ACCEPT, EVENTS);
        let request = request.with(header::VIA, boxes::via(self.shared.settings.settings.slot));
        let until = Instant::now() + Duration::from_secs(2);
        let (response, stream) = Conn::open(*address, until)?.send(&request, until)?.into_stream(until)?;
        if response.status.is_success() {
            return Ok(stream);
        }
        Err(CallError::Broken(io::Error::other(format!("status {}", response.status))))
    }

    fn read(&mut self, stream: &mut Stream) -> CallError {
        let mut parser = Parser::new(BYTES);
        let (mut events, mut heard) = (Vec::new(), Instant::now());
        loop {
            if heard.elapsed() >= SILENCE || self.shared.handle.ended() {
                return CallError::TimedOut;
            }
            match stream.read(Instant::now() + Duration::from_millis(500)) {
                Ok(part) => {
                    if !part.is_empty() {
                        heard = Instant::now();
                    }
                    if let Err(e) = parser.push(&part, &mut events) {
                        return CallError::Broken(io::Error::other(e));
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
            Err(error) => return warn!(target: "list", %error, "a message that can't be read is left out"),
        };
        let read = beechloft_discovery::read(form, &message, &self.shared.settings.service);
        for fault in read.faults {
            warn!(target: "list", "{fault}");
        }
        self.mirror.apply(form != Form::Change, &message);
        self.unsaved.get_or_insert_with(Instant::now);
        self.shared.handle.input(Input::Endpoints(read.update));
    }

    fn save(&mut self) {
        let Some(path) = &self.cache else { return };
        if self.unsaved.is_some_and(|since| since.elapsed() >= SAVE_EVERY) {
            self.unsaved = None;
            if let Err(error) = cache::save(path, &self.mirror.message()) {
                warn!(target: "list", path = %path.display(), %error, "the copy of the list can't be written");
            }
        }
    }
}
