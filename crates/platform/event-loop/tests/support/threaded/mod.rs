//! An event loop in a thread, with fake media servers, a fake event bus and clients on loopback.

mod event_bus;
mod media_server;
mod viewer;

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread::{self, JoinHandle};

use beechloft_event_loop::limits::SocketLimits;
use beechloft_event_loop::{EventLoop, SignalHandle};
use beechloft_protocol::config::Environment;
use serde_json::Value;

use super::configuration::{TestSettings, write_configuration};
use super::wait_until;

pub use event_bus::FakeEventBus;
pub use media_server::{FakeMediaServer, ServerBehavior};
pub use viewer::{ViewerClient, set_up};

/// Number of groups over which the media servers are distributed.
const GROUPS: usize = 4;

/// Default number of file descriptors of the front node.
const DEFAULT_SOCKETS: usize = 256;

/// Returns the settings of these tests: four cells, two racks and a class without keys.
pub fn settings(sockets: usize) -> TestSettings {
    TestSettings {
        zones: &["a", "b"],
        cells: 4,
        racks: 2,
        key_window_ms: None,
        sockets,
        ..TestSettings::default()
    }
}

/// Running front node with fake peers.
pub struct RunningFrontNode {
    pub addr: SocketAddr,
    pub event_bus: FakeEventBus,
    pub servers: Vec<FakeMediaServer>,
    pub signals: SignalHandle,
    pub config_path: PathBuf,
    pub limits: SocketLimits,
    thread: JoinHandle<io::Result<()>>,
    _dir: tempfile::TempDir,
}

impl RunningFrontNode {
    /// Starts a front node with one media server for each behavior.
    pub fn start(behaviors: &[ServerBehavior]) -> RunningFrontNode {
        RunningFrontNode::start_with_sockets(behaviors, DEFAULT_SOCKETS)
    }

    /// Starts a front node with one media server for each behavior and a number of file descriptors.
    pub fn start_with_sockets(behaviors: &[ServerBehavior], sockets: usize) -> RunningFrontNode {
        let servers: Vec<FakeMediaServer> = behaviors
            .iter()
            .enumerate()
            .map(|(number, behavior)| FakeMediaServer::start(number, *behavior))
            .collect();
        let endpoints: Vec<Value> = servers
            .iter()
            .enumerate()
            .map(|(number, server)| server.endpoint(number % GROUPS, "Ready"))
            .collect();
        let event_bus = FakeEventBus::start();
        let dir = tempfile::tempdir().expect("cannot create a temporary directory");
        let config_path = dir.path().join("config.json");
        write_configuration(&config_path, event_bus.addr, &settings(sockets), &endpoints);
        let mut event_loop =
            EventLoop::start(&config_path, &Environment::default()).expect("front node did not start");
        let addr = event_loop.local_addr().expect("no address");
        let signals = event_loop.signal_handle().expect("no signal handle");
        let limits = event_loop.limits();
        let thread = thread::spawn(move || event_loop.run());
        wait_until("a request to the event bus", || !event_bus.requested_ids().is_empty());
        RunningFrontNode { addr, event_bus, servers, signals, config_path, limits, thread, _dir: dir }
    }

    /// Returns the number of set-ups that all media servers have received.
    pub fn offer_count(&self) -> usize {
        self.servers.iter().map(|server| server.received("offer").len()).sum()
    }

    pub fn has_stopped(&self) -> bool {
        self.thread.is_finished()
    }

    /// Terminates the front node, and checks that it stops without an error.
    pub fn stop(self) {
        self.signals.terminate();
        self.thread.join().expect("event loop panicked").expect("event loop failed");
    }
}
