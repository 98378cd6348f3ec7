//! The poll loop: its state, its startup and its public operations.
//!
//! [`iteration`] contains one iteration of the loop, and [`effects`] executes the outputs of the state machine.
//! [`reload`] and [`shutdown`] handle SIGHUP and SIGTERM. [`test_hooks`] lets tests set the time and act between the
//! phases of an iteration.

mod effects;
mod iteration;
mod reload;
mod shutdown;
mod sweep;
mod test_hooks;

use std::collections::{BTreeSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use beechloft::api::Micros;
use beechloft_clock::Clock;
use beechloft_front_node::{Counts, Input, Node};
use beechloft_protocol::bus::InitialEvents;
use beechloft_protocol::config::Environment;
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token};
use tracing::{info, warn};

use crate::event_bus::EventBusClient;
use crate::fleet::{FleetHooks, FleetMembership};
use crate::limits::SocketLimits;
use crate::servers::{ServerConnections, ServerContext};
use crate::signals::{SignalHandle, Signals};
use crate::startup::{StartError, build_node, read_config};
use crate::time_source::TimeSource;
use crate::tokens::{LISTENER, TokenAllocator};
use crate::viewers::{ViewerConnections, ViewerContext};
use reload::PendingReload;
use shutdown::ShutdownStage;
use test_hooks::TestHooks;

pub use test_hooks::IterationPhase;

/// Number of events that one poll returns at most.
const MAX_EVENTS_PER_POLL: usize = 512;

/// Size of the buffer for reads from the event bus.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Event loop of a front node, which owns the state machine and all sockets.
pub struct EventLoop {
    config_path: PathBuf,
    time: TimeSource,
    node: Node,
    poll: Poll,
    events: Events,
    /// Listener for viewers' connections. `None` once the shutdown has closed it.
    listener: Option<TcpListener>,
    signals: Signals,
    viewers: ViewerConnections,
    servers: ServerConnections,
    event_bus: EventBusClient,
    limits: SocketLimits,
    tokens: TokenAllocator,
    /// Queue of inputs that the state machine has not handled yet.
    inputs: VecDeque<Input>,
    /// Connections to media servers and to the event bus whose sockets may hold more data to read.
    unread: BTreeSet<Token>,
    next_sweep_at: Micros,
    next_state_log_at: Micros,
    pending_reload: Option<PendingReload>,
    read_buffer: Vec<u8>,
    fleet: FleetMembership,
    shutdown: ShutdownStage,
    test_hooks: TestHooks,
}

/// Status of the loop after an iteration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoopStatus {
    /// The loop has to be run again.
    Running,
    /// The shutdown after SIGTERM is complete.
    Stopped,
}

/// Creates a poll that watches the listener and the signals.
fn create_poll(listener: &mut TcpListener, signals: &mut Signals) -> io::Result<Poll> {
    let poll = Poll::new()?;
    poll.registry().register(listener, LISTENER, Interest::READABLE)?;
    signals.watch(poll.registry())?;
    Ok(poll)
}

/// Returns the input that contains the endpoint list of the configuration.
fn initial_input(events: InitialEvents) -> Input {
    let skipped: usize = events.batch.iter().map(|event| event.skipped.count).sum();
    if skipped > 0 {
        warn!(skipped, "skipped unreadable endpoints of the configured endpoint list");
    }
    Input::InitialTopologies(events.batch.into_iter().filter_map(|event| event.topology).collect())
}

impl EventLoop {
    /// Reads the configuration and starts listening.
    ///
    /// # Errors
    /// Returns an error if the configuration cannot be read, contradicts the environment or contains an invalid value, or
    /// if the operating system refuses a socket, the poll or the signal handlers.
    pub fn start(config_path: &Path, stated: &Environment) -> Result<EventLoop, StartError> {
        // The handlers are installed before anything else, as a signal may arrive at any time.
        let mut signals = Signals::install().map_err(StartError::io("cannot install the signal handlers"))?;
        let config = read_config(config_path)?;
        config.check_environment(stated)?;
        let time = TimeSource::Clock(Clock::start());
        let (node, limits) = build_node(&config)?;
        let mut listener =
            TcpListener::bind(config.listen).map_err(StartError::io("the address can't be listened on"))?;
        let poll =
            create_poll(&mut listener, &mut signals).map_err(StartError::io("cannot create the poll"))?;
        info!(name = config.name, listen = %config.listen, sockets = config.limits.sockets, "front node started");
        let seed = config.seed();
        let last_event_id = config.initial_events.offset;
        Ok(EventLoop {
            config_path: config_path.to_owned(),
            time,
            node,
            poll,
            events: Events::with_capacity(MAX_EVENTS_PER_POLL),
            listener: Some(listener),
            signals,
            viewers: ViewerConnections::new(limits),
            servers: ServerConnections::new(limits),
            event_bus: EventBusClient::new(config.bus, last_event_id, limits, seed),
            limits,
            tokens: TokenAllocator::default(),
            inputs: VecDeque::from([initial_input(config.initial_events)]),
            unread: BTreeSet::new(),
            next_sweep_at: Micros(0),
            next_state_log_at: Micros(0),
            pending_reload: None,
            read_buffer: vec![0; READ_BUFFER_BYTES],
            fleet: FleetMembership::default(),
            shutdown: ShutdownStage::default(),
            test_hooks: TestHooks::default(),
        })
    }

    /// Runs until SIGTERM arrives and the shutdown that follows is complete.
    ///
    /// # Errors
    /// Returns an error if the poll fails.
    pub fn run(&mut self) -> io::Result<()> {
        while self.run_iteration(None)? == LoopStatus::Running {}
        Ok(())
    }

    /// Makes this front node a member of a fleet, which the loop accesses through `hooks`.
    pub fn join_fleet(&mut self, hooks: FleetHooks) {
        self.fleet.join(hooks);
        self.update_slot();
    }

    /// Returns the time for which set-ups to a newly started media server are paced.
    pub fn slow_start_window(&self) -> Duration {
        Duration::from_micros(self.node.slow_start_window().0)
    }

    /// Returns the address on which the front node listens.
    ///
    /// # Errors
    /// Returns an error if the listener is closed or the operating system does not report its address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        let listener = self.listener.as_ref().ok_or(io::ErrorKind::NotConnected)?;
        listener.local_addr()
    }

    /// Returns a handle that reloads or terminates this loop from another thread.
    ///
    /// # Errors
    /// Returns an error if no file descriptor is available.
    pub fn signal_handle(&self) -> io::Result<SignalHandle> {
        self.signals.handle()
    }

    /// Returns the limits of the sockets.
    pub fn limits(&self) -> SocketLimits {
        self.limits
    }

    /// Returns the numbers of sessions and other objects in the state machine.
    pub fn counts(&self) -> Counts {
        self.node.counts()
    }

    /// Returns the current time of the loop, in microseconds since 1970.
    pub fn now(&self) -> Micros {
        self.time.now()
    }

    /// Returns the viewers' connections and the context for their operations.
    fn viewers_with_context(&mut self, now: Micros) -> (&mut ViewerConnections, ViewerContext<'_>) {
        let registry = self.poll.registry();
        (&mut self.viewers, ViewerContext { now, registry, inputs: &mut self.inputs })
    }

    /// Returns the connections to media servers and the context for their operations.
    fn servers_with_context(&mut self, now: Micros) -> (&mut ServerConnections, ServerContext<'_>) {
        let context = ServerContext {
            now,
            registry: self.poll.registry(),
            tokens: &mut self.tokens,
            inputs: &mut self.inputs,
            viewers: &mut self.viewers,
        };
        (&mut self.servers, context)
    }
}
