//! The session front on sockets.
//!
//! One thread owns the core (`engine`); everything else talks to it through a channel. A viewer's connection has a
//! thread of its own (`player`), and the attempts of its session run on that thread (`attempt`): it waits for the
//! box and watches its viewer at once, with no hand-over in between. Each box has a thread that reads its events
//! (`watch`), the list has one (`list`), and short calls to boxes run on a few workers (`calls`).
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::missing_errors_doc, clippy::shadow_unrelated)]
#![forbid(unsafe_code)]

mod attempt;
mod calls;
mod clock;
mod engine;
mod handle;
mod lanes;
mod limits;
mod list;
pub mod observe;
mod player;
mod sip;
mod streams;
mod told;
mod watch;

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
use crate::handle::Handle;
pub use crate::told::{Hooks, Numbers, Recording, Status};

/// What the parts of a front share.
#[derive(Clone)]
struct Shared {
    handle: Handle,
    clock: Clock,
    pool: Arc<Pool>,
    settings: Arc<FrontSettings>,
}

impl Shared {
    /// A seed for names that must not come again: two starts with one seed in their settings must not give a new call
    /// or session the name of one that still stands somewhere.
    fn of_this_start(&self, seed: u64) -> u64 {
        seed ^ self.clock.started().0.rotate_left(16)
    }
}

/// The boxes that a front knows.
#[derive(Clone)]
pub struct Boxes(Shared);

impl Boxes {
    /// Asks each for the tags of its sessions, and how many have each; none: one of them did not say, or no list is known yet.
    pub fn tags(&self) -> Option<Vec<std::collections::BTreeMap<String, u64>>> {
        if !self.0.handle.status().listed {
            return None;
        }
        self.0.handle.addresses().into_iter().map(|address| limits::tags(&self.0, address)).collect()
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
    pub fn start(settings: FrontSettings, listener: Option<TcpListener>) -> io::Result<Front> {
        Front::begin(settings, listener, false, Hooks::default())
    }

    /// The same, as one of a fleet.
    ///
    /// # Errors
    /// No socket or no thread.
    pub fn start_among(settings: FrontSettings, hooks: Hooks) -> io::Result<Front> {
        Front::begin(settings, None, false, hooks)
    }

    /// The same, keeping in mind all that its core is told and does, for [`Front::stop`] to give out. Its memory
    /// grows with its life.
    pub fn start_recorded(settings: FrontSettings) -> io::Result<Front> {
        Front::begin(settings, None, true, Hooks::default())
    }

    fn begin(
        settings: FrontSettings,
        listener: Option<TcpListener>,
        record: bool,
        hooks: Hooks,
    ) -> io::Result<Front> {
        let listener = match listener {
            Some(listener) => listener,
            None => TcpListener::bind(settings.listen)?,
        };
        let clock = Clock::start();
        let seed = settings.seed.unwrap_or_else(clock::entropy);
        let core = SessionController::new(settings.settings.clone(), seed);
        let settings = Arc::new(settings);
        let pool = Arc::new(Pool::default());
        let (engine, handle) = Engine::start(core, clock, settings.clone(), pool.clone(), record, hooks)?;
        let shared = Shared { handle, clock, pool, settings };
        list::start(&shared, seed)?;
        let sip = match shared.settings.sip {
            Some(listen) => Some(sip::start(&shared, listen, seed)?),
            None => None,
        };
        let handler = Arc::new(player::Player::new(shared.clone(), seed));
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

    /// Where the boxes that it knows listen, for whoever asks them for something.
    pub fn boxes(&self) -> Boxes {
        Boxes(self.shared.clone())
    }

    /// What it knows and holds now.
    pub fn status(&self) -> Status {
        self.shared.handle.status()
    }

    /// Takes nothing new, answers what it took, ends what it may have left at boxes, and then itself.
    ///
    /// Sessions that play are left alone: their media does not pass through here.
    pub fn stop(self, wait: Duration) -> Recording {
        info!(target: "core", "front stops");
        let until = Instant::now() + wait;
        self.shared.handle.input(Input::Shutdown);
        // Requests that come while the last ones are answered are turned away; then the door is closed.
        self.shared.handle.wait_idle(until);
        self.server.stop(until.saturating_duration_since(Instant::now()).max(Duration::from_millis(50)));
        let recording = self.engine.stop();
        info!(target: "core", "front is down");
        recording
    }
}
