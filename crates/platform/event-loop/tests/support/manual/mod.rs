//! An event loop of which the test runs single iterations, with sockets that the test controls.
//!
//! There are no threads and no sleeps, and the clock is manual. Concurrent events are placed in the kernel's buffers
//! before the iteration that handles them.

mod client;
mod server;
mod socket_state;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use beechloft::api::Micros;
use beechloft_event_loop::{EventLoop, LoopStatus, SignalHandle};
use beechloft_protocol::config::Environment;
use serde_json::Value;

use super::TIMEOUT;
use super::configuration::{TestSettings, endpoint, server_name, write_configuration};
use super::messages::{EVENT_STREAM_HEAD, kinds, set_up, topology_event};

pub use client::{Client, Received};
pub use server::{ManualServer, ServerConnection};
pub use socket_state::SocketState;

/// Interval between sweeps of the loop.
const SWEEP_INTERVAL: Micros = Micros(25_000);

/// Time at which tests start.
const START_TIME: Micros = Micros(1_700_000_000_000_000);

/// Identifier of the first session that [`Harness::warm_up_connections`] sets up.
const FIRST_WARM_UP_SESSION: u64 = 900;

/// Number of iterations after which no work is left at a given time.
const ITERATIONS_TO_SETTLE: usize = 50;

/// Event loop with media servers and an event bus.
pub struct Harness {
    pub event_loop: EventLoop,
    pub addr: SocketAddr,
    pub signals: SignalHandle,
    pub now: Micros,
    pub servers: Vec<ManualServer>,
    /// Whether the loop has stopped.
    pub stopped: bool,
    event_bus: TcpListener,
    event_stream: Option<TcpStream>,
    _dir: tempfile::TempDir,
}

/// Set-up that has arrived at a media server.
pub struct OfferedSetUp {
    /// Index of the media server.
    pub server: usize,
    pub connection: ServerConnection,
}

/// Session that is established at an unreachable media server.
pub struct UnreachableSession {
    pub harness: Harness,
    pub client: Client,
    /// Connection that keeps the listen queue of the media server full.
    pub filler: TcpStream,
}

impl Harness {
    pub fn new(servers: usize) -> Harness {
        Harness::with_settings(servers, &TestSettings::default())
    }

    pub fn with_settings(servers: usize, settings: &TestSettings) -> Harness {
        Harness::with_servers((0..servers).map(|_| ManualServer::start()).collect(), settings)
    }

    pub fn with_servers(servers: Vec<ManualServer>, settings: &TestSettings) -> Harness {
        let event_bus = TcpListener::bind("127.0.0.1:0").expect("bind failed");
        let dir = tempfile::tempdir().expect("cannot create a temporary directory");
        let path = dir.path().join("config.json");
        let endpoints: Vec<Value> = servers
            .iter()
            .enumerate()
            .map(|(number, server)| endpoint(&server_name(number), server.addr, 0, "Ready"))
            .collect();
        write_configuration(&path, event_bus.local_addr().expect("no address"), settings, &endpoints);
        let event_loop = EventLoop::start(&path, &Environment::default()).expect("front node did not start");
        let addr = event_loop.local_addr().expect("no address");
        let signals = event_loop.signal_handle().expect("no signal handle");
        let mut harness = Harness {
            event_loop,
            addr,
            signals,
            now: START_TIME,
            servers,
            stopped: false,
            event_bus,
            event_stream: None,
            _dir: dir,
        };
        harness.run_iteration();
        // After the slow start of the media servers.
        harness.advance_ms(100);
        harness
    }

    /// Establishes session 1 at the only media server, which then closes the connection.
    ///
    /// No other connection is established until the filler is removed from the listen queue.
    pub fn with_unreachable_session() -> UnreachableSession {
        let (server, first_filler) = ManualServer::with_full_queue();
        let mut harness = Harness::with_servers(vec![server], &TestSettings::default());
        // Emptying the queue lets one connection be established.
        harness.servers[0].drop_queued_connection();
        drop(first_filler);
        let (mut client, mut offered) = harness.start_set_up(1);
        offered.connection.accept(1);
        harness.settle();
        assert_eq!(kinds(&client.receive_frames()), [9]);
        // The queue is full again before that connection is closed.
        let filler = TcpStream::connect(harness.servers[0].addr).expect("no connection");
        offered.connection.close();
        harness.servers[0].connections.clear();
        UnreachableSession { harness, client, filler }
    }

    /// Runs one iteration, with the data that is now in the kernel's buffers.
    pub fn run_iteration(&mut self) {
        if !self.stopped {
            self.event_loop.set_time(self.now);
            let status = self.event_loop.run_iteration(Some(Duration::ZERO)).expect("event loop failed");
            self.stopped = status == LoopStatus::Stopped;
        }
    }

    /// Runs iterations until no work is left at this time.
    pub fn settle(&mut self) {
        for _ in 0..ITERATIONS_TO_SETTLE {
            self.run_iteration();
        }
    }

    /// Advances the clock, with an iteration for each sweep.
    pub fn advance_ms(&mut self, ms: u64) {
        for _ in 0..(ms * 1000).div_ceil(SWEEP_INTERVAL.0) {
            self.now = self.now + SWEEP_INTERVAL;
            self.run_iteration();
        }
    }

    /// Advances the clock without an iteration.
    pub fn skip(&mut self, duration: Micros) {
        self.now = self.now + duration;
    }

    /// Runs iterations until a condition holds. The clock does not advance.
    pub fn run_until(&mut self, description: &str, mut holds: impl FnMut(&mut Harness) -> bool) {
        let deadline = Instant::now() + TIMEOUT;
        while !holds(self) {
            assert!(Instant::now() < deadline, "timed out waiting for: {description}");
            self.run_iteration();
        }
    }

    /// Runs iterations until the first media server has received exactly one release.
    pub fn run_until_end_received(&mut self) {
        self.run_until("the release of the session", |h| h.servers[0].received("end").len() == 1);
    }

    /// Returns a client whose connection has been accepted.
    pub fn connect_client(&mut self) -> Client {
        let client = Client::connect(self.addr);
        self.settle();
        client
    }

    /// Returns a client whose set-up has been sent to a media server.
    pub fn start_set_up(&mut self, id: u64) -> (Client, OfferedSetUp) {
        let mut client = self.connect_client();
        client.send(&set_up(id, 3_000));
        let offered = self.wait_for_offer(id);
        (client, offered)
    }

    /// Returns a client with an established session.
    pub fn establish_session(&mut self, id: u64) -> (Client, ServerConnection) {
        let (client, mut offered) = self.start_set_up(id);
        offered.connection.accept(id);
        self.settle();
        (client, offered.connection)
    }

    /// Sets up and ends sessions until each media server has an established idle connection.
    pub fn warm_up_connections(&mut self) {
        for id in FIRST_WARM_UP_SESSION.. {
            if self.servers.iter().all(|server| !server.connections.is_empty()) {
                return;
            }
            let (_client, mut connection) = self.establish_session(id);
            connection.end(id, 16);
            self.settle();
        }
    }

    /// Runs iterations until the set-up of a session has arrived at a media server.
    pub fn wait_for_offer(&mut self, id: u64) -> OfferedSetUp {
        self.wait_for_offer_at(id, |_| true)
    }

    /// Runs iterations until the set-up of a session has arrived at a media server other than `excluded`.
    pub fn wait_for_offer_elsewhere(&mut self, id: u64, excluded: usize) -> OfferedSetUp {
        self.wait_for_offer_at(id, |server| server != excluded)
    }

    fn wait_for_offer_at(&mut self, id: u64, is_candidate: impl Fn(usize) -> bool) -> OfferedSetUp {
        let mut offered = None;
        self.run_until("a set-up", |harness| {
            let servers = harness.servers.iter_mut().enumerate();
            let mut candidates = servers.filter(|(number, _)| is_candidate(*number));
            offered = candidates.find_map(|(server, manual)| {
                Some(OfferedSetUp { server, connection: manual.connection_with_offer(id)? })
            });
            offered.is_some()
        });
        offered.expect("no set-up found")
    }

    /// Waits for a connection to the event bus, and closes it.
    pub fn disconnect_event_bus(&mut self) {
        drop(self.event_bus.accept().expect("no connection"));
    }

    /// Sends an event about changed endpoints as the response of the event bus.
    pub fn send_event(&mut self, endpoints: &[Value]) {
        let (mut stream, _) = self.event_bus.accept().expect("no connection");
        let text = format!("{EVENT_STREAM_HEAD}{}", topology_event(2, false, endpoints));
        stream.write_all(text.as_bytes()).expect("write failed");
        self.event_stream = Some(stream);
    }

    /// Returns the number of set-ups that all media servers have received.
    pub fn offer_count(&mut self) -> usize {
        self.servers.iter_mut().map(|server| server.received("offer").len()).sum()
    }
}
