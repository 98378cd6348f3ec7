//! The poll loop: its state, its start and its public operations.
//!
//! One turn of the loop is [`turn`]; [`effects`] carries out what the state machine decides, [`reload`] and [`shutdown`]
//! handle SIGHUP and SIGTERM, and [`test_hooks`] lets tests set the time and act between the phases of a turn.

mod effects;
mod reload;
mod shutdown;
mod sweep;
mod test_hooks;
mod turn;

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

pub use test_hooks::TurnPhase;

/// Events that one poll returns at most.
const MAX_EVENTS_PER_POLL: usize = 512;

/// The size of the buffer that the event bus is read into.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// A front node on sockets.
pub struct EventLoop {
    config_path: PathBuf,
    time: TimeSource,
    node: Node,
    poll: Poll,
    events: Events,
    /// `None` once no new connections are accepted any more.
    listener: Option<TcpListener>,
    signals: Signals,
    viewers: ViewerConnections,
    servers: ServerConnections,
    event_bus: EventBusClient,
    limits: SocketLimits,
    tokens: TokenAllocator,
    /// Inputs that the state machine has not handled yet.
    inputs: VecDeque<Input>,
    /// Connections to media servers and to the event bus that may have more to read.
    unread: BTreeSet<Token>,
    next_sweep_at: Micros,
    next_state_log_at: Micros,
    pending_reload: Option<PendingReload>,
    read_buffer: Vec<u8>,
    fleet: FleetMembership,
    shutdown: ShutdownStage,
    test_hooks: TestHooks,
}

/// Whether the loop has stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoopStatus {
    /// The loop goes on.
    Running,
    /// Everything owed after SIGTERM is done.
    Stopped,
}

/// A poll that watches the listener and the signals.
fn watch(listener: &mut TcpListener, signals: &mut Signals) -> io::Result<Poll> {
    let poll = Poll::new()?;
    poll.registry().register(listener, LISTENER, Interest::READABLE)?;
    signals.watch(poll.registry())?;
    Ok(poll)
}

/// The list of media servers that the configuration contains.
fn initial_input(events: InitialEvents) -> Input {
    let unread: usize = events.batch.iter().map(|event| event.skipped.count).sum();
    if unread > 0 {
        warn!(unread, "lines of the list at the start can't be read");
    }
    Input::InitialTopologies(events.batch.into_iter().filter_map(|event| event.topology).collect())
}

impl EventLoop {
    /// Reads the configuration and starts to listen.
    ///
    /// # Errors
    /// The configuration can't be read, does not agree with the environment or does not suit a front node, or the system
    /// refuses a socket, the poll or the signal handlers.
    pub fn start(config_path: &Path, stated: &Environment) -> Result<EventLoop, StartError> {
        // First of all, as a signal may come at any time.
        let mut signals = Signals::install().map_err(StartError::io("no signals"))?;
        let config = read_config(config_path)?;
        config.check_environment(stated)?;
        let time = TimeSource::Clock(Clock::start());
        let (node, limits) = build_node(&config)?;
        let mut listener =
            TcpListener::bind(config.listen).map_err(StartError::io("the address can't be listened on"))?;
        let poll = watch(&mut listener, &mut signals).map_err(StartError::io("no poll"))?;
        info!(name = config.name, listen = %config.listen, sockets = config.limits.sockets, "front node starts");
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

    /// Runs until SIGTERM, and then until everything that was taken is answered.
    ///
    /// # Errors
    /// The poll fails.
    pub fn run(&mut self) -> io::Result<()> {
        while self.run_turn(None)? == LoopStatus::Running {}
        Ok(())
    }

    /// From now on this front node is one of a fleet.
    pub fn join_fleet(&mut self, hooks: FleetHooks) {
        self.fleet.join(hooks);
        self.update_slot();
    }

    /// The span over which set-ups for servers that have just started are paced.
    pub fn slow_start_window(&self) -> Duration {
        Duration::from_micros(self.node.slow_start_window().0)
    }

    /// The address that it listens on.
    ///
    /// # Errors
    /// It has stopped listening, or the system does not tell the address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        let listener = self.listener.as_ref().ok_or(io::ErrorKind::NotConnected)?;
        listener.local_addr()
    }

    /// A handle that reloads or terminates this loop from another thread.
    ///
    /// # Errors
    /// There is no descriptor left.
    pub fn signal_handle(&self) -> io::Result<SignalHandle> {
        self.signals.handle()
    }

    /// The limits that it keeps.
    pub fn limits(&self) -> SocketLimits {
        self.limits
    }

    /// How much its state machine holds.
    pub fn counts(&self) -> Counts {
        self.node.counts()
    }

    /// The time that it uses, in microseconds since 1970.
    pub fn now(&self) -> Micros {
        self.time.now()
    }

    /// The viewers' connections, with what they need from the loop.
    fn viewers_with_context(&mut self, now: Micros) -> (&mut ViewerConnections, ViewerContext<'_>) {
        let registry = self.poll.registry();
        (&mut self.viewers, ViewerContext { now, registry, inputs: &mut self.inputs })
    }

    /// The connections to media servers, with what they need from the loop.
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
