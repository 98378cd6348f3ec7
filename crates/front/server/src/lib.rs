//! The session front on sockets and threads.
//!
//! One thread owns the session controller (`engine`), and all other threads send it messages. Each client connection has a
//! thread (`http`), which also runs the attempts of its session (`attempt`). It waits for the media server and the client
//! at the same time, so that neither has to be handed to another thread. One thread per media server reads its event
//! stream (`event_streams`), one thread follows the endpoint list (`endpoint_list`), and a pool of workers makes short
//! calls to media servers (`server_calls`). SIP has threads of its own (`sip`).
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

/// State shared by the modules of a front.
#[derive(Clone)]
struct Shared {
    handle: EngineHandle,
    clock: Clock,
    pool: Arc<Pool>,
    settings: Arc<FrontSettings>,
}

impl Shared {
    /// Returns a seed for ids that must be unique across restarts.
    ///
    /// Two starts with the same configured seed must not give a new call or session the id of one that is still active.
    fn seed_for_this_start(&self, seed: u64) -> u64 {
        seed ^ self.clock.started_at().0.rotate_left(16)
    }
}

/// Access to the media servers on a front's endpoint list.
#[derive(Clone)]
pub struct MediaServers(Shared);

impl MediaServers {
    /// Reads the tags of the sessions at each media server, with the number of sessions of each tag.
    ///
    /// Returns `None` if a media server did not answer, or if the front has no endpoint list yet.
    pub fn tags(&self) -> Option<Vec<std::collections::BTreeMap<String, u64>>> {
        if !self.0.handle.status().has_endpoint_list {
            return None;
        }
        self.0.handle.addresses().into_iter().map(|address| admission::tags(&self.0, address)).collect()
    }
}

/// A running front.
pub struct Front {
    shared: Shared,
    server: Server,
    engine: Engine,
    sip: Option<SocketAddr>,
}

impl Front {
    /// Starts a front on `listener`, or on the address in its settings if there is none.
    ///
    /// # Errors
    /// Fails if a socket can't be bound or a thread can't be started.
    pub fn start(settings: FrontSettings, listener: Option<TcpListener>) -> io::Result<Front> {
        Front::start_with(settings, listener, false, FleetHooks::default())
    }

    /// Starts a front that belongs to a fleet.
    ///
    /// # Errors
    /// Fails if a socket can't be bound or a thread can't be started.
    pub fn start_in_fleet(settings: FrontSettings, hooks: FleetHooks) -> io::Result<Front> {
        Front::start_with(settings, None, false, hooks)
    }

    /// Starts a front that records all inputs and outputs of its session controller, which [`Front::stop`] returns.
    ///
    /// The memory of the recording grows for as long as the front runs.
    ///
    /// # Errors
    /// Fails if a socket can't be bound or a thread can't be started.
    pub fn start_recorded(settings: FrontSettings) -> io::Result<Front> {
        Front::start_with(settings, None, true, FleetHooks::default())
    }

    fn start_with(
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
        info!(target: "core", address = %server.address(), "front started");
        Ok(Front { shared, server, engine, sip })
    }

    /// Returns the address that the front listens on for HTTP.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address that the front listens on for SIP, or `None` if SIP is not configured.
    pub fn sip_address(&self) -> Option<SocketAddr> {
        self.sip
    }

    /// Returns access to the media servers on the endpoint list.
    pub fn media_servers(&self) -> MediaServers {
        MediaServers(self.shared.clone())
    }

    /// Returns the current status of the front.
    pub fn status(&self) -> Status {
        self.shared.handle.status()
    }

    /// Shuts the front down gracefully and returns its recording, which is empty unless the front was started with
    /// [`Front::start_recorded`].
    ///
    /// New requests are rejected. Pending requests are answered and pending releases are completed, for at most `wait`.
    /// Sessions that play are not ended, as their media does not pass through the front.
    pub fn stop(self, wait: Duration) -> Recording {
        info!(target: "core", "front stopping");
        let until = Instant::now() + wait;
        self.shared.handle.input(Input::Shutdown);
        // The listener stays open until all requests are answered, so that new ones receive a rejection.
        self.shared.handle.wait_idle(until);
        self.server.stop(until.saturating_duration_since(Instant::now()).max(Duration::from_millis(50)));
        let recording = self.engine.stop();
        info!(target: "core", "front stopped");
        recording
    }
}
