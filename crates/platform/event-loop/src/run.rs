//! The front node on sockets: one turn of its loop, and the loop.

use std::collections::{BTreeSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use beechloft::api::Micros;
use beechloft_clock::Clock;
use beechloft_front_node::{Counts, Input, Node, Output};
use beechloft_protocol::config::Environment;
use mio::net::{TcpListener, UnixStream};
use mio::{Events, Interest, Poll, Token};
use signal_hook::consts::{SIGHUP, SIGTERM};
use tracing::{debug, info, warn};

use crate::bounds::Bounds;
use crate::bus::Bus;
use crate::ending::Ending;
use crate::fleet::Among;
use crate::servers::{Servers, SetUp, Turn};
use crate::start::{Control, StartError, drain, machine, read_config, signal};
use crate::time::Time;
use crate::viewers::{Desk, Viewers};

const LISTENER: usize = 0;
const HUP: usize = 1;
const TERM: usize = 2;
const FIRST: usize = 16;
/// How often connections are looked at for what has had its time.
const SWEEP: Micros = Micros(25_000);
/// How often what is believed is logged, where that is asked for.
const BELIEVES: Micros = Micros(1_000_000);
/// A configuration that could not be read is read again after this.
const READ_AGAIN: Micros = Micros(100_000);
/// ... so many times.
const MOST_READS: u32 = 50;

/// A front node on sockets.
pub struct Shell {
    path: PathBuf,
    pub(crate) time: Time,
    pub(crate) node: Node,
    pub(crate) poll: Poll,
    events: Events,
    /// None: it takes no new connections any more.
    pub(crate) listener: Option<TcpListener>,
    hup: UnixStream,
    term: UnixStream,
    control: Control,
    pub(crate) viewers: Viewers,
    pub(crate) servers: Servers,
    bus: Bus,
    pub(crate) bounds: Bounds,
    next: usize,
    pub(crate) inputs: VecDeque<Input>,
    /// Connections to media servers and to the event bus that may have more to read.
    pub(crate) more: BTreeSet<usize>,
    sweep_at: Micros,
    believes_at: Micros,
    read_again: Option<(Micros, u32)>,
    scratch: Vec<u8>,
    pub(crate) among: Among,
    pub(crate) ending: Ending,
    at_moment: Option<AtMoment>,
}

/// The moments of a turn at which what comes next from outside may cross what is done in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Moment {
    /// Sockets have told what there is; nothing is read yet.
    Polled,
    /// Media servers and the event bus are read; viewers' messages have their turn next.
    Heard,
    /// All messages have had their turn; time-outs come next.
    Taken,
    /// Time-outs are over; it is looked whether the front node may end.
    Due,
}

/// What is done at a moment of a turn.
type AtMoment = Box<dyn FnMut(Moment) + Send>;

/// Whether the loop goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Goes {
    /// It goes on.
    On,
    /// All that was owed is done, and the front node has ended.
    Ended,
}

impl Shell {
    /// Reads the configuration and starts to listen.
    pub fn start(path: &Path, stated: &Environment) -> Result<Shell, StartError> {
        // First of all, as a signal may come at any time.
        let (mut hup, tell_hup) = signal(SIGHUP).map_err(|e| StartError::Io("no signals", e))?;
        let (mut term, tell_term) = signal(SIGTERM).map_err(|e| StartError::Io("no signals", e))?;
        let config = read_config(path)?;
        config.check_environment(stated)?;
        let time = Time::Runs(Clock::start());
        let (node, bounds) = machine(&config)?;
        let mut listener = TcpListener::bind(config.listen)
            .map_err(|e| StartError::Io("the address can't be listened on", e))?;
        let poll = Poll::new().map_err(|e| StartError::Io("no poll", e))?;
        let r = poll.registry();
        r.register(&mut listener, Token(LISTENER), Interest::READABLE)
            .and_then(|()| r.register(&mut hup, Token(HUP), Interest::READABLE))
            .and_then(|()| r.register(&mut term, Token(TERM), Interest::READABLE))
            .map_err(|e| StartError::Io("no poll", e))?;
        info!(name = config.name, listen = %config.listen, sockets = config.limits.sockets, "front node starts");
        let seed = config.seed();
        let unread: usize = config.initial_events.batch.iter().map(|e| e.skipped.count).sum();
        if unread > 0 {
            warn!(unread, "lines of the list at the start can't be read");
        }
        let known = config.initial_events.batch.into_iter().filter_map(|e| e.topology).collect();
        Ok(Shell {
            path: path.to_owned(),
            time,
            node,
            poll,
            events: Events::with_capacity(512),
            listener: Some(listener),
            hup,
            term,
            control: Control { hup: tell_hup, term: tell_term },
            viewers: Viewers::new(bounds),
            servers: Servers::new(bounds),
            bus: Bus::new(config.bus, config.initial_events.offset, bounds, seed),
            bounds,
            next: FIRST,
            inputs: VecDeque::from([Input::InitialTopologies(known)]),
            more: BTreeSet::new(),
            sweep_at: Micros(0),
            believes_at: Micros(0),
            read_again: None,
            scratch: vec![0; 16 * 1024],
            among: Among::default(),
            ending: Ending::default(),
            at_moment: None,
        })
    }

    /// The span over which cold servers are paced.
    pub fn pace_span(&self) -> Duration {
        Duration::from_micros(self.node.slow_start_window().0)
    }

    /// Where it listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener
            .as_ref()
            .map_or_else(|| Err(io::ErrorKind::NotConnected.into()), TcpListener::local_addr)
    }

    /// What can end it, or have it read its configuration again.
    pub fn control(&self) -> io::Result<Control> {
        Ok(Control { hup: self.control.hup.try_clone()?, term: self.control.term.try_clone()? })
    }

    /// The bounds it keeps.
    pub fn bounds(&self) -> Bounds {
        self.bounds
    }

    /// From now on it goes by times that are given; each call gives one. For whoever takes its turns by hand.
    pub fn set_time(&mut self, now: Micros) {
        self.time = Time::Given(now);
    }

    /// How much its machine holds.
    pub fn counts(&self) -> Counts {
        self.node.counts()
    }

    /// Has something done at each moment of a turn, for whoever forces what crosses it.
    pub fn at_moments(&mut self, what: impl FnMut(Moment) + Send + 'static) {
        self.at_moment = Some(Box::new(what));
    }

    fn moment(&mut self, moment: Moment) {
        if let Some(what) = &mut self.at_moment {
            what(moment);
        }
    }

    /// The time it goes by.
    pub fn now(&self) -> Micros {
        self.time.now()
    }

    /// Serves until SIGTERM, and then until all that was taken is answered.
    pub fn run(&mut self) -> io::Result<()> {
        while self.turn(None)? == Goes::On {}
        Ok(())
    }

    /// One turn: waits until a socket tells of something or a time comes, `at_most` so long; reads what has come, decides,
    /// writes, and looks at what has had its time.
    pub fn turn(&mut self, at_most: Option<Duration>) -> io::Result<Goes> {
        let wait = self.wait().min(at_most.unwrap_or(Duration::MAX));
        self.poll_for(wait)?;
        let mut now = self.time.now();
        if self.events.is_empty() && self.node.next_due().is_some_and(|due| due <= now) {
            // Time-outs come after all that had arrived. Guards against a process that was stopped while it waited: the wait is
            // over without events, and much may have come since.
            self.poll_for(Duration::ZERO)?;
            now = self.time.now();
        }
        let mut ready = std::mem::take(&mut self.more);
        let mut told = Vec::new();
        for event in &self.events {
            match event.token().0 {
                LISTENER => self.viewers.accepting = true,
                HUP => {
                    drain(&mut self.hup);
                    info!("SIGHUP");
                    self.read_again = Some((now, 0));
                }
                TERM => {
                    let signals = drain(&mut self.term);
                    info!("SIGTERM");
                    self.among.told_to_end(now, signals, &mut self.inputs);
                }
                token if self.viewers.has(token) => told.push((token, event.is_read_closed())),
                token => {
                    ready.insert(token);
                }
            }
        }
        self.moment(Moment::Polled);
        self.among.look(now, &self.node, &mut self.inputs);
        self.carry_on(now);
        // Who has gone or has taken back what he asked for comes first: nothing more is begun for him.
        for (token, left) in told {
            let (viewers, mut desk) = self.desk(now);
            viewers.ready(token, left, &mut desk);
        }
        self.carry_on(now);
        // Then what media servers and the event bus have to say: it decides what viewers get.
        for token in ready {
            if self.ready(token, now) {
                self.more.insert(token);
            }
            self.carry_on(now);
        }
        self.moment(Moment::Heard);
        self.accept(now);
        for token in self.viewers.pending() {
            let (viewers, mut desk) = self.desk(now);
            viewers.take(token, &mut desk);
            self.carry_on(now);
        }
        self.moment(Moment::Taken);
        // Time-outs come after all that had arrived.
        self.inputs.push_back(Input::Tick);
        self.carry_on(now);
        if now >= self.sweep_at {
            self.sweep_at = now + SWEEP;
            self.sweep(now);
            self.carry_on(now);
        }
        self.moment(Moment::Due);
        let ended = self.end(now);
        self.carry_on(now);
        Ok(if ended { Goes::Ended } else { Goes::On })
    }

    fn poll_for(&mut self, wait: Duration) -> io::Result<()> {
        match self.poll.poll(&mut self.events, Some(wait)) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {
                self.events.clear();
                Ok(())
            }
            other => other,
        }
    }

    /// How long there is nothing to do unless a socket tells of something.
    pub fn wait(&self) -> Duration {
        let now = self.time.now();
        let due = self.node.next_due().unwrap_or(self.sweep_at).min(self.sweep_at);
        let busy = !self.more.is_empty() || !self.inputs.is_empty() || self.viewers.busy();
        Duration::from_micros(if busy { 0 } else { (due - now).0 })
    }

    pub(crate) fn desk(&mut self, now: Micros) -> (&mut Viewers, Desk<'_>) {
        (&mut self.viewers, Desk { now, registry: self.poll.registry(), inputs: &mut self.inputs })
    }

    pub(crate) fn servers_turn(&mut self, now: Micros) -> (&mut Servers, Turn<'_>) {
        let registry = self.poll.registry();
        let (next, inputs, viewers) = (&mut self.next, &mut self.inputs, &mut self.viewers);
        (&mut self.servers, Turn { now, registry, next, inputs, viewers })
    }

    pub(crate) fn accept(&mut self, now: Micros) {
        if !self.viewers.accepting {
            return;
        }
        let use_of = |conn| self.node.connection_use(conn);
        let mut desk = Desk { now, registry: self.poll.registry(), inputs: &mut self.inputs };
        self.viewers.accept(self.listener.as_ref(), &mut self.next, &use_of, &mut desk);
        self.carry_on(now);
    }

    /// Takes no new connections any more, and no descriptor for them.
    pub(crate) fn stop_listening(&mut self) {
        if let Some(mut listener) = self.listener.take() {
            let _ = self.poll.registry().deregister(&mut listener);
        }
    }

    fn ready(&mut self, token: usize, now: Micros) -> bool {
        if self.bus.has(token) {
            return self.bus.ready(now, &mut self.scratch, self.poll.registry(), &mut self.inputs);
        }
        let (servers, mut turn) = self.servers_turn(now);
        servers.ready(token, &mut turn)
    }

    /// Has the machine know its number, right before whatever else it hears: a lease may have run out since, as while this
    /// process was stopped.
    pub(crate) fn renumber(&mut self) {
        if let Some(numbered) = self.among.renumbered() {
            self.inputs.push_front(Input::SlotAssigned(numbered));
        }
    }

    /// Has the machine hear all there is, and does what it says.
    pub(crate) fn carry_on(&mut self, now: Micros) {
        if !self.inputs.is_empty() {
            self.renumber();
        }
        while let Some(input) = self.inputs.pop_front() {
            for output in self.node.handle(now, input) {
                self.put_out(output, now);
            }
        }
    }

    fn put_out(&mut self, output: Output, now: Micros) {
        if let Output::SendToViewer(conn, message) = output {
            let (viewers, mut desk) = self.desk(now);
            return viewers.say(conn.0 as usize, &message, &mut desk);
        }
        if let Output::CloseViewerConnection(conn) = output {
            let (viewers, mut desk) = self.desk(now);
            return viewers.close(conn.0 as usize, &mut desk);
        }
        let (servers, mut turn) = self.servers_turn(now);
        match output {
            Output::AddIncarnation(lane, addr) => servers.lane(lane, addr, now),
            Output::RemoveIncarnation(lane) => servers.forget(lane, &mut turn),
            Output::KeepConnected(lane, hold) => servers.hold(lane, hold, &mut turn),
            Output::CheckReachability(lane) => servers.check(lane, &mut turn),
            Output::SendSetUp { incarnation: lane, id, connection: conn, line, send_by } => {
                servers.set_up(lane, SetUp { id, viewer: conn, line, send_by }, &mut turn);
            }
            Output::DiscardUnsent(lane, id) => servers.unwanted(lane, id, &mut turn),
            Output::AbandonAttempt { incarnation: lane, id, line, timed_out: silent } => {
                servers.give_up(lane, id, &line, silent, &mut turn)
            }
            Output::SendToServer(lane, id, line) => servers.send(lane, id, line, &mut turn),
            Output::Log(text) => info!("{text}"),
            Output::SendToViewer(..) | Output::CloseViewerConnection(_) => {}
        }
    }

    fn sweep(&mut self, now: Micros) {
        let use_of = |conn| self.node.connection_use(conn);
        let mut desk = Desk { now, registry: self.poll.registry(), inputs: &mut self.inputs };
        self.viewers.sweep(&use_of, &mut desk);
        let (servers, mut turn) = self.servers_turn(now);
        servers.sweep(&mut turn);
        if self.servers.take_refused() {
            self.bus.doubt(now);
        }
        self.bus.sweep(now, self.poll.registry(), &mut self.next);
        if self.read_again.is_some_and(|r| now >= r.0) {
            self.reread(now);
        }
        if now >= self.believes_at && tracing::enabled!(tracing::Level::DEBUG) {
            self.believes_at = now + BELIEVES;
            let counts = self.node.counts();
            debug!(?counts, viewers = self.viewers.len(), servers = self.servers.len(), "holds");
            self.node.diagnostics().iter().for_each(|line| debug!("{line}"));
        }
    }

    /// Reads the configuration again. One that can't be read, or is half written, keeps the old one for now.
    fn reread(&mut self, now: Micros) {
        let tries = self.read_again.take().map_or(0, |r| r.1);
        match read_config(&self.path) {
            Ok(config) => self.bus.move_to(config.bus, now, self.poll.registry()),
            Err(e) if tries < MOST_READS => {
                warn!("{e}; the old configuration stays, and the file is read again");
                self.read_again = Some((now + READ_AGAIN, tries + 1));
            }
            Err(e) => warn!("{e}; the old configuration stays"),
        }
    }
}
