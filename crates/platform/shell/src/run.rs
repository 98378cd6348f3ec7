//! The loop.

use std::collections::{BTreeSet, VecDeque};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use beechloft::interface::{Micros, Numbered};
use beechloft_clock::Clock;
use beechloft_node::{Input, Node, Output};
use beechloft_proto::config::{Config, Disagreement, Stated};
use mio::net::{TcpListener, UnixStream};
use mio::{Events, Interest, Poll, Token};
use signal_hook::consts::{SIGHUP, SIGTERM};
use thiserror::Error;
use tracing::{debug, info, warn};

use crate::bounds::Bounds;
use crate::bus::Bus;
use crate::servers::{Servers, Turn};
use crate::viewers::Viewers;

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
/// A configuration is read up to this size.
const MOST_CONFIG: u64 = 8 << 20;

/// Why a front node can't start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The configuration can't be read.
    #[error("{path}: {source}")]
    File {
        /// Its path.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// It is not the stated JSON.
    #[error("{path}: {source}")]
    Config {
        /// Its path.
        path: PathBuf,
        /// What the parser says.
        source: serde_json::Error,
    },
    /// The environment states another front node than the configuration.
    #[error(transparent)]
    Disagreement(#[from] Disagreement),
    /// Its settings are not the stated ones.
    #[error("the settings can't be read: {0}")]
    Settings(serde_json::Error),
    /// No socket, or no signals.
    #[error("{0}: {1}")]
    Io(&'static str, io::Error),
}

/// What a front node has to do with others of its fleet, if it has. Both are asked at any moment and must not wait.
pub struct Fleet {
    /// Its number among them, now; none: as the configuration says.
    pub numbered: Box<dyn Fn() -> Option<Numbered> + Send>,
    /// Whether it may stop taking requests, now, once it was told to.
    pub may_end: Box<dyn Fn() -> bool + Send>,
    /// It is told to end, and waits for its turn.
    pub wants_end: Box<dyn Fn() + Send>,
    /// How long it waits for its turn at most; none: fronts do not take turns.
    pub waits: Option<Duration>,
}

/// A front node on sockets.
pub struct Shell {
    path: PathBuf,
    clock: Clock,
    node: Node,
    poll: Poll,
    listener: TcpListener,
    hup: UnixStream,
    term: UnixStream,
    control: Control,
    viewers: Viewers,
    servers: Servers,
    bus: Bus,
    bounds: Bounds,
    next: usize,
    inputs: VecDeque<Input>,
    /// Connections that may have more to read.
    more: BTreeSet<usize>,
    sweep_at: Micros,
    believes_at: Micros,
    read_again: Option<(Micros, u32)>,
    scratch: Vec<u8>,
    fleet: Option<Fleet>,
    numbered: Option<Numbered>,
    /// It was told to end, and waits for its turn until then at most.
    ends_by: Option<Micros>,
}

fn read_config(path: &Path) -> Result<Config, StartError> {
    let file = |source| StartError::File { path: path.to_owned(), source };
    let mut text = Vec::new();
    std::fs::File::open(path).map_err(file)?.take(MOST_CONFIG).read_to_end(&mut text).map_err(file)?;
    Config::read(&text).map_err(|source| StartError::Config { path: path.to_owned(), source })
}

/// The end of a pipe that a signal's arrival is read from, and the one it is written to.
fn signal(number: i32) -> io::Result<(UnixStream, std::os::unix::net::UnixStream)> {
    let (read, write) = std::os::unix::net::UnixStream::pair()?;
    read.set_nonblocking(true)?;
    write.set_nonblocking(true)?;
    signal_hook::low_level::pipe::register(number, write.try_clone()?)?;
    Ok((UnixStream::from_std(read), write))
}

/// Does from within the process what signals do from outside.
#[derive(Debug)]
pub struct Control {
    hup: std::os::unix::net::UnixStream,
    term: std::os::unix::net::UnixStream,
}

impl Control {
    /// As SIGHUP: the configuration is read again.
    pub fn reload(&self) {
        // A full pipe has enough to tell.
        let _ = (&self.hup).write(&[1]);
    }

    /// As SIGTERM: what was taken is answered, and the front node ends.
    pub fn terminate(&self) {
        let _ = (&self.term).write(&[1]);
    }
}

impl Shell {
    /// Reads the configuration and starts to listen.
    pub fn start(path: &Path, stated: &Stated) -> Result<Shell, StartError> {
        // First of all, as a signal may come at any time.
        let (mut hup, tell_hup) = signal(SIGHUP).map_err(|e| StartError::Io("no signals", e))?;
        let (mut term, tell_term) = signal(SIGTERM).map_err(|e| StartError::Io("no signals", e))?;
        let config = read_config(path)?;
        config.agrees(stated)?;
        let text = serde_json::to_vec(&config.settings).map_err(StartError::Settings)?;
        let parsed = beechloft_settings::parse(&text).map_err(StartError::Settings)?;
        let clock = Clock::start();
        let deadline = parsed.settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        let connections = parsed.connections;
        let bounds =
            Bounds::fit(config.limits.sockets, deadline, connections.connect_within, connections.idle);
        let machine = beechloft_node::Bounds {
            transit: Micros(20_000),
            probe_within: connections.connect_within,
            sessions: 8192,
        };
        let seed = config.seed();
        let node = Node::new(parsed, seed, machine);
        let mut listener = TcpListener::bind(config.listen)
            .map_err(|e| StartError::Io("the address can't be listened on", e))?;
        let poll = Poll::new().map_err(|e| StartError::Io("no poll", e))?;
        let r = poll.registry();
        r.register(&mut listener, Token(LISTENER), Interest::READABLE)
            .and_then(|()| r.register(&mut hup, Token(HUP), Interest::READABLE))
            .and_then(|()| r.register(&mut term, Token(TERM), Interest::READABLE))
            .map_err(|e| StartError::Io("no poll", e))?;
        info!(name = config.name, listen = %config.listen, sockets = config.limits.sockets, "front node starts");
        let known = config.known.batch.into_iter().filter_map(|e| e.topology).collect();
        Ok(Shell {
            path: path.to_owned(),
            clock,
            node,
            poll,
            listener,
            hup,
            term,
            control: Control { hup: tell_hup, term: tell_term },
            viewers: Viewers::new(bounds),
            servers: Servers::new(bounds),
            bus: Bus::new(config.bus, config.known.offset, bounds, seed),
            bounds,
            next: FIRST,
            inputs: VecDeque::from([Input::Known(known)]),
            more: BTreeSet::new(),
            sweep_at: Micros(0),
            believes_at: Micros(0),
            read_again: None,
            scratch: vec![0; 16 * 1024],
            fleet: None,
            numbered: None,
            ends_by: None,
        })
    }

    /// From now on it is one of a fleet.
    pub fn join(&mut self, fleet: Fleet) {
        self.fleet = Some(fleet);
        self.renumber();
    }

    /// The span over which cold servers are paced.
    pub fn pace_span(&self) -> Duration {
        Duration::from_micros(self.node.pace_span().0)
    }

    /// Where it listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// What can end it, or have it read its configuration again.
    pub fn control(&self) -> io::Result<Control> {
        Ok(Control { hup: self.control.hup.try_clone()?, term: self.control.term.try_clone()? })
    }

    /// Serves until SIGTERM, and then until all that was taken is answered.
    pub fn run(&mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(512);
        loop {
            let now = self.clock.now();
            let due = self.node.next_due().unwrap_or(self.sweep_at).min(self.sweep_at);
            let busy = !self.more.is_empty() || self.viewers.accepting || !self.inputs.is_empty();
            let wait = if busy { Micros(0) } else { due - now };
            match self.poll.poll(&mut events, Some(Duration::from_micros(wait.0))) {
                Err(e) if e.kind() != io::ErrorKind::Interrupted => return Err(e),
                _ => {}
            }
            let now = self.clock.now();
            let mut ready = std::mem::take(&mut self.more);
            for event in &events {
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
                        self.told_to_end(now, signals);
                    }
                    token => {
                        ready.insert(token);
                    }
                }
            }
            self.among_others(now);
            self.carry_on(now);
            // What media servers and the event bus have to say comes first: it decides what viewers get.
            for &token in ready.iter().filter(|t| !self.viewers.has(**t)).collect::<Vec<_>>() {
                if self.ready(token, now) {
                    self.more.insert(token);
                }
                self.carry_on(now);
            }
            if self.viewers.accepting {
                let registry = self.poll.registry();
                let use_of = |conn| self.node.use_of(conn);
                let (listener, next) = (&self.listener, &mut self.next);
                self.viewers.accept(listener, registry, now, next, &use_of, &mut self.inputs)?;
                self.carry_on(now);
            }
            for token in ready {
                if self.viewers.has(token) {
                    self.viewers.flush(token, self.poll.registry(), &mut self.inputs);
                    if self.viewers.read(
                        token,
                        now,
                        &mut self.scratch,
                        self.poll.registry(),
                        &mut self.inputs,
                    ) {
                        self.more.insert(token);
                    }
                    self.carry_on(now);
                }
            }
            // Time-outs come after all that had arrived.
            self.inputs.push_back(Input::Tick);
            self.carry_on(now);
            if now >= self.sweep_at {
                self.sweep_at = now + SWEEP;
                self.sweep(now);
                self.carry_on(now);
            }
            if self.may_end(now) {
                info!("front node ends");
                return Ok(());
            }
        }
    }

    fn ready(&mut self, token: usize, now: Micros) -> bool {
        let registry = self.poll.registry();
        if self.bus.has(token) {
            return self.bus.ready(now, &mut self.scratch, registry, &mut self.inputs);
        }
        let mut turn = Turn { now, registry, next: &mut self.next, inputs: &mut self.inputs };
        self.servers.ready(token, &mut self.scratch, &mut turn)
    }

    /// Told once it waits for its turn, told twice it goes at once: an operator who does not want to wait.
    fn told_to_end(&mut self, now: Micros, signals: usize) {
        let turns = self.fleet.as_ref().and_then(|f| Some((f, f.waits?)));
        match turns {
            Some((fleet, waits)) if self.ends_by.is_none() && signals < 2 => {
                (fleet.wants_end)();
                self.ends_by = Some(now + Micros(waits.as_micros() as u64));
            }
            _ => self.inputs.push_back(Input::Terminate),
        }
    }

    /// Looks whether it is its turn to end, if it was told to.
    fn among_others(&mut self, now: Micros) {
        let Some(fleet) = &self.fleet else { return };
        let Some(by) = self.ends_by.filter(|_| self.node.terminated().is_none()) else { return };
        let turn = (fleet.may_end)();
        if turn || now >= by {
            if !turn {
                warn!("no turn to end within the time that is waited for one; it ends without");
            }
            self.inputs.push_back(Input::Terminate);
        }
    }

    /// Has the machine know its number, right before whatever else it hears: a lease may have run out since, as while this
    /// process was stopped.
    fn renumber(&mut self) {
        let now = self.fleet.as_ref().and_then(|f| (f.numbered)());
        if now.is_some() && now != self.numbered {
            self.numbered = now;
            if let Some(numbered) = now {
                info!(number = numbered.number, of = numbered.of, fronts = numbered.fronts, "numbered");
                self.inputs.push_front(Input::Numbered(numbered));
            }
        }
    }

    /// Has the machine hear all there is, and does what it says.
    fn carry_on(&mut self, now: Micros) {
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
        let registry = self.poll.registry();
        let mut turn = Turn { now, registry, next: &mut self.next, inputs: &mut self.inputs };
        match output {
            Output::ToViewer(conn, message) => {
                self.viewers.say(conn.0 as usize, &message, registry, turn.inputs);
            }
            Output::CloseViewer(conn) => self.viewers.close(conn.0 as usize, registry, turn.inputs),
            Output::Lane(lane, addr) => self.servers.lane(lane, addr, now),
            Output::Forget(lane) => self.servers.forget(lane, &mut turn),
            Output::Hold(lane, hold) => self.servers.hold(lane, hold, &mut turn),
            Output::Check(lane) => self.servers.check(lane, &mut turn),
            Output::SetUp(lane, id, line) => self.servers.set_up(lane, id, line, &mut turn),
            Output::GiveUp { lane, id, line, silent } => {
                self.servers.give_up(lane, id, &line, silent, &mut turn);
            }
            Output::Send(lane, id, line) => self.servers.send(lane, id, line, &mut turn),
            Output::Log(text) => info!("{text}"),
        }
    }

    fn sweep(&mut self, now: Micros) {
        let registry = self.poll.registry();
        let use_of = |conn| self.node.use_of(conn);
        self.viewers.sweep(now, &self.more, &use_of, registry, &mut self.inputs);
        let mut turn = Turn { now, registry, next: &mut self.next, inputs: &mut self.inputs };
        self.servers.sweep(&mut turn);
        self.bus.sweep(now, registry, &mut self.next);
        if self.read_again.is_some_and(|r| now >= r.0) {
            self.reread(now);
        }
        if now >= self.believes_at && tracing::enabled!(tracing::Level::DEBUG) {
            self.believes_at = now + BELIEVES;
            let counts = self.node.counts();
            debug!(?counts, viewers = self.viewers.len(), servers = self.servers.len(), "holds");
            self.node.beliefs().iter().for_each(|line| debug!("{line}"));
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

    fn may_end(&self, now: Micros) -> bool {
        let Some(since) = self.node.terminated() else { return false };
        let counts = self.node.counts();
        let done = counts.owed == 0 && self.viewers.waiting() == 0;
        now - since >= self.bounds.end_by || (now - since >= self.bounds.serve_on && done)
    }
}

/// Empties a signal's pipe; how many there were, up to its bound.
fn drain(pipe: &mut UnixStream) -> usize {
    let (mut buf, mut signals) = ([0; 64], 0);
    while let Ok(n @ 1..) = pipe.read(&mut buf) {
        signals += n;
    }
    signals
}
