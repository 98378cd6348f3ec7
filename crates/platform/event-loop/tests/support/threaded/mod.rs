//! An event loop in a thread, between fakes on loopback: media servers, an event bus, viewers' clients.

mod event_bus;
mod media_server;
mod viewer;

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread::{self, JoinHandle};

use beechloft_event_loop::{EventLoop, SignalHandle};
use beechloft_protocol::config::Environment;
use serde_json::Value;

use super::configuration::{TestSettings, write_configuration};
use super::wait_until;

pub use event_bus::FakeEventBus;
pub use media_server::{FakeMediaServer, ServerBehavior};
pub use viewer::{ViewerClient, set_up};

/// Groups over which the media servers are spread.
const GROUPS: usize = 4;

/// Descriptors of the front node, unless a test says otherwise.
const DEFAULT_SOCKETS: usize = 256;

/// Settings of these tests: titles on four places, and a class without keys.
pub fn settings(sockets: usize) -> TestSettings {
    TestSettings {
        zones: &["a", "b"],
        places: 4,
        shelves: 2,
        key_window_ms: None,
        sockets,
        ..TestSettings::default()
    }
}

/// A running front node between fakes.
pub struct RunningFrontNode {
    pub addr: SocketAddr,
    pub event_bus: FakeEventBus,
    pub servers: Vec<FakeMediaServer>,
    pub signals: SignalHandle,
    pub config_path: PathBuf,
    thread: JoinHandle<io::Result<()>>,
    _dir: tempfile::TempDir,
}

impl RunningFrontNode {
    /// Starts a front node with a media server for each of the behaviors.
    pub fn start(behaviors: &[ServerBehavior]) -> RunningFrontNode {
        RunningFrontNode::start_with_sockets(behaviors, DEFAULT_SOCKETS)
    }

    /// The same, with so many descriptors.
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
        let dir = tempfile::tempdir().expect("a temporary folder");
        let config_path = dir.path().join("config.json");
        write_configuration(&config_path, event_bus.addr, &settings(sockets), &endpoints);
        let mut event_loop = EventLoop::start(&config_path, &Environment::default()).expect("it starts");
        let addr = event_loop.local_addr().expect("an address");
        let signals = event_loop.signal_handle().expect("a handle");
        let thread = thread::spawn(move || event_loop.run());
        wait_until("a request to the event bus", || !event_bus.requested_ids().is_empty());
        RunningFrontNode { addr, event_bus, servers, signals, config_path, thread, _dir: dir }
    }

    /// How many set-ups have come at all media servers.
    pub fn offer_count(&self) -> usize {
        self.servers.iter().map(|server| server.received("offer").len()).sum()
    }

    pub fn has_stopped(&self) -> bool {
        self.thread.is_finished()
    }

    /// Terminates it, and checks that it stops without an error.
    pub fn stop(self) {
        self.signals.terminate();
        self.thread.join().expect("no panic").expect("no error");
    }
}
