//! The session front on sockets.
//!
//! One thread owns the session controller (`engine`); everything else sends it messages. A client's connection has a
//! thread of its own (`http`), and the attempts of its session run on that thread (`attempt`): it waits for the media
//! server and watches its client at once, with no hand-over in between. Each media server has a thread that reads its
//! events (`event_streams`), the endpoint list has one (`endpoint_list`), and short calls to media servers run on a few
//! workers (`server_calls`).
#![forbid(unsafe_code)]

mod admission;
mod attempt;
mod clock;
mod endpoint_list;
mod engine;
mod event_streams;
pub mod evidence;
mod handle;
mod http;
mod messages;
mod server_calls;
mod sip;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use beechloft_config::FrontSettings;
use beechloft_http::client::Pool;
use beechloft_http::server::Server;
use beechloft_session::{Input, SessionController};
use tracing::info;

use crate::clock::Clock;
use crate::engine::Engine;
use crate::handle::EngineHandle;
pub use crate::messages::{FleetHooks, Recording, SlotSource, Status};

/// What the parts of a front share.
#[derive(Clone)]
struct Shared {
    handle: EngineHandle,
    clock: Clock,
    pool: Arc<Pool>,
    settings: Arc<FrontSettings>,
}

impl Shared {
    /// A seed for ids that must not repeat: two starts with one seed in their settings must not give a new call or
    /// session the id of one that is still active somewhere.
    fn seed_of_this_start(&self, seed: u64) -> u64 {
        seed ^ self.clock.started_at().0.rotate_left(16)
    }
}

/// The media servers that a front knows.
#[derive(Clone)]
pub struct MediaServers(Shared);

impl MediaServers {
    /// Reads the tags of each one's sessions, and how many have each; none: one of them did not answer, or no endpoint
    /// list is known yet.
    pub fn tags(&self) -> Option<Vec<std::collections::BTreeMap<String, u64>>> {
        if !self.0.handle.status().listed {
            return None;
        }
        self.0.handle.addresses().into_iter().map(|address| admission::tags(&self.0, address)).collect()
    }
}

/// A front that serves.
pub struct Front {
    shared: Shared,
    server: Server,
    engine: Engine,
    sip: Option<SocketAddr>,
}

impl Front {
    /// Starts a front on its listener's port, or on one that is given.
    ///
    /// # Errors
    /// No socket or no thread.
    pub fn start(settings: FrontSettings, listener: Option<TcpListener>) -> io::Result<Front> {
        Front::begin(settings, listener, false, FleetHooks::default())
    }

    /// The same, as one of a fleet.
    ///
    /// # Errors
    /// No socket or no thread.
    pub fn start_in_fleet(settings: FrontSettings, hooks: FleetHooks) -> io::Result<Front> {
        Front::begin(settings, None, false, hooks)
    }

    /// The same, recording all inputs and outputs of its session controller for [`Front::stop`] to return. Its memory
    /// grows as long as it runs.
    ///
    /// # Errors
    /// No socket or no thread.
    pub fn start_recorded(settings: FrontSettings) -> io::Result<Front> {
        Front::begin(settings, None, true, FleetHooks::default())
    }

    fn begin(
        settings: FrontSettings,
        listener: Option<TcpListener>,
        record: bool,
        hooks: FleetHooks,
    ) -> io::Result<Front> {
        let listener = match listener {
            Some(listener) => listener,
            None => TcpListener::bind(settings.listen)?,
        };
        let clock = Clock::start();
        let seed = settings.seed.unwrap_or_else(clock::entropy);
        let controller = SessionController::new(settings.settings.clone(), seed);
        let settings = Arc::new(settings);
        let pool = Arc::new(Pool::default());
        let (engine, handle) = Engine::start(controller, clock, &settings, pool.clone(), record, hooks)?;
        let shared = Shared { handle, clock, pool, settings };
        endpoint_list::start(&shared, seed)?;
        let sip = match shared.settings.sip {
            Some(listen) => Some(sip::start(&shared, listen, seed)?),
            None => None,
        };
        let handler = Arc::new(http::HttpHandler::new(shared.clone(), seed));
        let server = Server::start(listener, shared.settings.sizes.clone(), handler)?;
        info!(target: "core", address = %server.address(), "front is up");
        Ok(Front { shared, server, engine, sip })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Where it takes SIP calls, if it does.
    pub fn sip_address(&self) -> Option<SocketAddr> {
        self.sip
    }

    /// The media servers that it knows.
    pub fn media_servers(&self) -> MediaServers {
        MediaServers(self.shared.clone())
    }

    /// What it knows and holds now.
    pub fn status(&self) -> Status {
        self.shared.handle.status()
    }

    /// Takes nothing new, answers what it took, ends what it may have left at media servers, and then itself.
    ///
    /// Sessions that play are left alone: their media does not pass through here.
    pub fn stop(self, wait: Duration) -> Recording {
        info!(target: "core", "front stops");
        let until = Instant::now() + wait;
        self.shared.handle.input(Input::Shutdown);
        // Requests that come while the last ones are answered are rejected; then the listener is closed.
        self.shared.handle.wait_idle(until);
        self.server.stop(until.saturating_duration_since(Instant::now()).max(Duration::from_millis(50)));
        let recording = self.engine.stop();
        info!(target: "core", "front is down");
        recording
    }
}
