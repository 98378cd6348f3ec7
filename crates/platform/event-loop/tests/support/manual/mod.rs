//! An event loop whose turns the test runs by hand, between sockets that the test holds itself: no threads, no sleeps, a
//! manual time. Events that are to meet are put into the kernel's buffers first; only then the turn is run.

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

/// From one sweep of the loop to the next.
const SWEEP_INTERVAL: Micros = Micros(25_000);

/// The time at which tests begin.
const START_TIME: Micros = Micros(1_700_000_000_000_000);

/// The number of the first session that [`Harness::warm_up_connections`] sets up.
const FIRST_WARM_UP_SESSION: u64 = 900;

/// Turns after which nothing is left to be done at a given time.
const TURNS_TO_SETTLE: usize = 50;

/// An event loop with media servers and an event bus.
pub struct Harness {
    pub event_loop: EventLoop,
    pub addr: SocketAddr,
    pub signals: SignalHandle,
    pub now: Micros,
    pub servers: Vec<ManualServer>,
    /// The loop has stopped.
    pub stopped: bool,
    event_bus: TcpListener,
    event_stream: Option<TcpStream>,
    _dir: tempfile::TempDir,
}

/// A set-up that has arrived at a media server.
pub struct OfferedSetUp {
    /// The media server's index.
    pub server: usize,
    pub connection: ServerConnection,
}

/// A session that is established at a media server which can't be reached.
pub struct UnreachableSession {
    pub harness: Harness,
    pub client: Client,
    /// Keeps the media server's listen queue full.
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
        let event_bus = TcpListener::bind("127.0.0.1:0").expect("a port");
        let dir = tempfile::tempdir().expect("a temporary folder");
        let path = dir.path().join("config.json");
        let endpoints: Vec<Value> = servers
            .iter()
            .enumerate()
            .map(|(number, server)| endpoint(&server_name(number), server.addr, 0, "Ready"))
            .collect();
        write_configuration(&path, event_bus.local_addr().expect("an address"), settings, &endpoints);
        let event_loop = EventLoop::start(&path, &Environment::default()).expect("it starts");
        let addr = event_loop.local_addr().expect("an address");
        let signals = event_loop.signal_handle().expect("a handle");
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
        harness.run_turn();
        // Past the time in which a media server may still be starting slowly from before.
        harness.advance_ms(100);
        harness
    }

    /// Session 1 is established at the only media server, which has closed its connection. No other is established until
    /// the filler is taken out of the listen queue.
    pub fn with_unreachable_session() -> UnreachableSession {
        let (server, first_filler) = ManualServer::with_full_queue();
        let mut harness = Harness::with_servers(vec![server], &TestSettings::default());
        // The queue is emptied, so that one connection is established, ...
        harness.servers[0].drop_queued_connection();
        drop(first_filler);
        let (mut client, mut offered) = harness.start_set_up(1);
        offered.connection.accept(1);
        harness.settle();
        assert_eq!(kinds(&client.receive_frames()), [9]);
        // ... and filled again before that one ends.
        let filler = TcpStream::connect(harness.servers[0].addr).expect("a connection");
        offered.connection.close();
        harness.servers[0].connections.clear();
        UnreachableSession { harness, client, filler }
    }

    /// Runs one turn, with what the kernel holds now.
    pub fn run_turn(&mut self) {
        if !self.stopped {
            self.event_loop.set_time(self.now);
            let status = self.event_loop.run_turn(Some(Duration::ZERO)).expect("no error");
            self.stopped = status == LoopStatus::Stopped;
        }
    }

    /// Runs turns until nothing is left to be done at this time.
    pub fn settle(&mut self) {
        for _ in 0..TURNS_TO_SETTLE {
            self.run_turn();
        }
    }

    /// Lets time pass, with a turn for each sweep.
    pub fn advance_ms(&mut self, ms: u64) {
        for _ in 0..(ms * 1000).div_ceil(SWEEP_INTERVAL.0) {
            self.now = self.now + SWEEP_INTERVAL;
            self.run_turn();
        }
    }

    /// Lets time pass without a turn.
    pub fn skip(&mut self, time: Micros) {
        self.now = self.now + time;
    }

    /// Runs turns until something holds; time stands still.
    pub fn run_until(&mut self, what: &str, mut holds: impl FnMut(&mut Harness) -> bool) {
        let deadline = Instant::now() + TIMEOUT;
        while !holds(self) {
            assert!(Instant::now() < deadline, "timed out waiting for: {what}");
            self.run_turn();
        }
    }

    /// Runs turns until the end of a session has come at the first media server, once.
    pub fn run_until_end_received(&mut self) {
        self.run_until("the end of the session", |h| h.servers[0].received("end").len() == 1);
    }

    /// A client whose connection has been accepted.
    pub fn connect_client(&mut self) -> Client {
        let client = Client::connect(self.addr);
        self.settle();
        client
    }

    /// A client whose set-up has been sent to a media server.
    pub fn start_set_up(&mut self, id: u64) -> (Client, OfferedSetUp) {
        let mut client = self.connect_client();
        client.send(&set_up(id, 3_000));
        let offered = self.wait_for_offer(id);
        (client, offered)
    }

    /// A client with an established session.
    pub fn establish_session(&mut self, id: u64) -> (Client, ServerConnection) {
        let (client, mut offered) = self.start_set_up(id);
        offered.connection.accept(id);
        self.settle();
        (client, offered.connection)
    }

    /// Sets up and ends a session at each media server, so that each has an established idle connection.
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

    /// Runs turns until the set-up of a session has come at a media server.
    pub fn wait_for_offer(&mut self, id: u64) -> OfferedSetUp {
        self.wait_for_offer_at(id, |_| true)
    }

    /// The same, at another media server than this one.
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
        offered.expect("just found")
    }

    /// The event bus closes the connection of its client, once there is one.
    pub fn disconnect_event_bus(&mut self) {
        drop(self.event_bus.accept().expect("a connection"));
    }

    /// The event bus responds with one event, about changes of these endpoints.
    pub fn send_event(&mut self, endpoints: &[Value]) {
        let (mut stream, _) = self.event_bus.accept().expect("a connection");
        let text = format!("{EVENT_STREAM_HEAD}{}", topology_event(2, false, endpoints));
        stream.write_all(text.as_bytes()).expect("written");
        self.event_stream = Some(stream);
    }

    /// How many set-ups have come so far, at all media servers.
    pub fn offer_count(&mut self) -> usize {
        self.servers.iter_mut().map(|server| server.received("offer").len()).sum()
    }
}
