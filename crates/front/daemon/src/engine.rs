//! The thread that owns the core: inputs in, outputs carried to those who wait.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use beechloft_config::FrontSettings;
use beechloft_core::api::{Micros, Numbered, ServerId, SessionId};
use beechloft_core::io::{Answer, Ask, AttemptId, Input, Output, RequestId, Secret};
use beechloft_core::{Core, Exchanged};
use beechloft_http::client::Pool;
use beechloft_sip::agent;
use beechloft_whep::events::PlayerEvent;
use crossbeam_channel::{Receiver, Sender, bounded, unbounded};
use tracing::{debug, info, warn};

use crate::calls::{Calls, Job};
use crate::clock::Clock;
use crate::observe::{Observer, Observing};
use crate::watch::Watchers;

/// Streams of one session's events at once; a further one takes the place of the last.
const FOLLOWERS: usize = 2;
/// Events that a stream may be behind.
const FOLLOW_BEHIND: usize = 64;

/// An attempt to be made by the thread of its viewer.
#[derive(Debug, Clone)]
pub struct SetUp {
    /// Which.
    pub attempt: AttemptId,
    /// The box.
    pub server: ServerId,
    /// Its address.
    pub address: Option<SocketAddr>,
    /// The rung's rate, kB a second.
    pub rate_kb: f64,
    /// When to drop it.
    pub until: Micros,
}

/// What a waiting thread is told.
#[derive(Debug, Clone)]
pub enum Told {
    /// Make an attempt.
    SetUp(SetUp),
    /// The reply; nothing comes after it.
    Answer(Answer),
}

/// What a front knows and holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Status {
    /// It has seen a list.
    pub listed: bool,
    /// Boxes on it.
    pub boxes: usize,
    /// Titles on it.
    pub titles: usize,
    /// Sessions that play.
    pub playing: usize,
    /// Sessions still to be ended at boxes.
    pub releasing: usize,
    /// Nobody waits.
    pub idle: bool,
}

/// All that a front's core was told and did, in order.
#[derive(Debug, Clone, Default)]
pub struct Recording {
    /// What it was told, and when.
    pub inputs: Vec<(Micros, Input)>,
    /// What it had done.
    pub outputs: Vec<Output>,
    /// What passed between it and the module.
    pub exchanged: Vec<Exchanged>,
}

enum Message {
    Input(Input),
    Ask(Box<Ask>, Sender<Told>),
    Call(Input, RequestId, Sender<Told>),
    Status(Sender<Status>),
    Follow(SessionId, Secret, Sender<PlayerEvent>),
    Sip(Sender<agent::Input>),
    End,
}

/// The way to the core.
#[derive(Clone)]
pub struct Handle {
    sender: Sender<Message>,
    next: Arc<AtomicU64>,
    addresses: Arc<RwLock<BTreeMap<ServerId, SocketAddr>>>,
    ended: Arc<AtomicBool>,
}

impl Handle {
    /// Tells the core something.
    pub fn input(&self, input: Input) {
        // The engine ends last; what comes after is nobody's any more.
        let _ = self.sender.send(Message::Input(input));
    }

    /// Whether the front has ended: nobody listens any more.
    pub fn ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// A name for a client's call.
    pub fn request(&self) -> RequestId {
        RequestId(self.next.fetch_add(1, Ordering::Relaxed))
    }

    /// Asks for a session; what is to be done for it comes out of the receiver.
    pub fn ask(&self, ask: Ask) -> Receiver<Told> {
        let (sender, receiver) = unbounded();
        let _ = self.sender.send(Message::Ask(Box::new(ask), sender));
        receiver
    }

    /// A call that is answered at once.
    pub fn call(&self, make: impl FnOnce(RequestId) -> Input) -> Answer {
        let (sender, receiver) = bounded(1);
        let request = self.request();
        let _ = self.sender.send(Message::Call(make(request), request, sender));
        match receiver.recv_timeout(Duration::from_secs(5)) {
            Ok(Told::Answer(answer)) => answer,
            _ => Answer::Failed,
        }
    }

    /// Learns a box's address, or that it has none any more.
    pub fn know(&self, server: ServerId, address: Option<SocketAddr>) {
        let mut known = self.addresses.write().unwrap_or_else(PoisonError::into_inner);
        match address {
            Some(address) => known.insert(server, address),
            None => known.remove(&server),
        };
    }

    /// Where a box listens.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.addresses.read().unwrap_or_else(PoisonError::into_inner).get(&server).copied()
    }

    /// What concerns SIP goes to its agent from now on.
    pub fn sip(&self, agent: Sender<agent::Input>) {
        let _ = self.sender.send(Message::Sip(agent));
    }

    /// A playing session's events, until it is over; nothing comes if there is no such session.
    pub fn follow(&self, session: SessionId, secret: Secret) -> Receiver<PlayerEvent> {
        let (sender, receiver) = bounded(FOLLOW_BEHIND);
        let _ = self.sender.send(Message::Follow(session, secret, sender));
        receiver
    }

    /// What the front knows and holds.
    pub fn status(&self) -> Status {
        let (sender, receiver) = bounded(1);
        let _ = self.sender.send(Message::Status(sender));
        receiver.recv_timeout(Duration::from_secs(5)).unwrap_or_default()
    }

    /// Waits until no client waits and nothing is left to be ended at boxes.
    pub fn wait_idle(&self, until: Instant) {
        while !self.status().idle && Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// A front's number among others, now; none: as its settings say. It is asked before each input and must not wait.
pub type Numbers = Box<dyn Fn() -> Option<Numbered> + Send>;

/// What a front is told by its fleet, and tells it.
#[derive(Default)]
pub struct Hooks {
    /// Its number among others; none: as its settings say.
    pub numbers: Option<Numbers>,
    /// Who keeps evidence of boxes, and narrows by it what the module is offered.
    pub observer: Option<Box<dyn Observer>>,
}

/// The engine's thread and its helpers.
pub struct Engine {
    sender: Sender<Message>,
    thread: JoinHandle<Recording>,
}

impl Engine {
    /// Starts it.
    pub fn start(
        core: Core,
        clock: Clock,
        settings: Arc<FrontSettings>,
        pool: Arc<Pool>,
        record: bool,
        hooks: Hooks,
    ) -> io::Result<(Engine, Handle)> {
        let (sender, receiver) = unbounded();
        let handle = Handle {
            sender: sender.clone(),
            next: Arc::default(),
            addresses: Arc::default(),
            ended: Arc::default(),
        };
        let calls = Calls::start(handle.clone(), pool.clone(), settings.call_time)?;
        let watchers = Watchers::new(handle.clone(), settings.connect_time);
        let recording = record.then(Recording::default);
        let (waiting, followers) = (BTreeMap::new(), BTreeMap::new());
        let ended = handle.ended.clone();
        let (out, sip, numbered) = (Vec::new(), None, None);
        let Hooks { numbers, observer } = hooks;
        let observing = observer.map(Observing::new);
        let run = Run {
            core,
            clock,
            calls,
            watchers,
            waiting,
            followers,
            out,
            recording,
            sip,
            numbers,
            numbered,
            observing,
        };
        let thread = thread::Builder::new().name("core".into()).spawn(move || {
            let recording = run.run(&receiver);
            ended.store(true, Ordering::SeqCst);
            recording
        })?;
        Ok((Engine { sender, thread }, handle))
    }

    /// Ends the thread; what it recorded, if it did.
    pub fn stop(self) -> Recording {
        let _ = self.sender.send(Message::End);
        self.thread.join().unwrap_or_default()
    }
}

struct Run {
    core: Core,
    clock: Clock,
    calls: Calls,
    watchers: Watchers,
    waiting: BTreeMap<RequestId, Sender<Told>>,
    followers: BTreeMap<SessionId, Vec<Sender<PlayerEvent>>>,
    out: Vec<Output>,
    recording: Option<Recording>,
    sip: Option<Sender<agent::Input>>,
    numbers: Option<Numbers>,
    numbered: Option<Numbered>,
    observing: Option<Observing>,
}

impl Run {
    fn run(mut self, receiver: &Receiver<Message>) -> Recording {
        if self.recording.is_some() {
            self.core.listen();
        }
        loop {
            let due = self.core.next_due().map(|at| self.clock.instant(at));
            let wait = due.map_or(Duration::from_secs(1), |at| at.saturating_duration_since(Instant::now()));
            match receiver.recv_timeout(wait) {
                Ok(Message::End) => break,
                Ok(message) => self.take(message),
                Err(_) => self.input(Input::Tick),
            }
        }
        self.watchers.stop();
        self.calls.stop();
        let mut recording = self.recording.unwrap_or_default();
        recording.exchanged = self.core.take_heard();
        recording
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Input(input) => self.input(input),
            Message::Ask(ask, sender) => {
                self.waiting.insert(ask.request, sender);
                self.input(Input::Ask(*ask));
            }
            Message::Call(input, request, sender) => {
                self.waiting.insert(request, sender);
                self.input(input);
            }
            Message::Status(sender) => {
                let catalog = self.core.catalog();
                let _ = sender.send(Status {
                    listed: catalog.heard(),
                    boxes: catalog.boxes().count(),
                    titles: catalog.titles().count(),
                    playing: self.core.playing(),
                    releasing: self.core.releasing(),
                    idle: self.core.is_idle(),
                });
            }
            Message::Follow(session, secret, sender) => {
                if matches!(self.core.find(session, secret), Answer::At { .. }) {
                    let followers = self.followers.entry(session).or_default();
                    followers.truncate(FOLLOWERS - 1);
                    followers.push(sender);
                }
            }
            Message::Sip(agent) => self.sip = Some(agent),
            Message::End => {}
        }
    }

    /// Hands what concerns SIP to its agent; whether that was all that is to be done.
    fn for_sip(&self, output: &Output) -> bool {
        let Some(agent) = &self.sip else { return false };
        let (its, all) = match output {
            Output::SetUp { request, .. } | Output::Reply(request, _) => (request.0 & agent::OWN != 0, true),
            Output::SetRung { layers, .. } => (layers.starts_with(agent::RESOURCE), true),
            Output::Release { resource, .. } => (resource.starts_with(agent::RESOURCE), true),
            Output::Cancel(_) | Output::Over(..) => (true, false),
            _ => (false, false),
        };
        if its {
            let _ = agent.send(agent::Input::Core(Box::new(output.clone())));
        }
        its && all
    }

    /// Tells those who follow a session; one that does not keep up is dropped.
    fn tell(&mut self, session: SessionId, event: PlayerEvent) {
        if let Some(followers) = self.followers.get_mut(&session) {
            followers.retain(|f| f.try_send(event).is_ok());
        }
    }

    /// Has the core know its number right before whatever else it hears: a lease may have run out since.
    fn renumber(&mut self) {
        let now = self.numbers.as_ref().and_then(|n| n());
        if let Some(numbered) = now.filter(|n| Some(*n) != self.numbered) {
            info!(target: "core", number = numbered.number, of = numbered.of, fronts = numbered.fronts, "numbered");
            self.numbered = Some(numbered);
            self.handle(Input::Numbered(numbered));
        }
    }

    /// Has the core offer what is to be offered now.
    fn narrow(&mut self) {
        if let Some(narrowed) = self.observing.as_mut().and_then(Observing::narrowed) {
            self.handle(Input::Narrowed(narrowed));
        }
    }

    fn input(&mut self, input: Input) {
        self.renumber();
        self.narrow();
        self.handle(input);
    }

    fn handle(&mut self, input: Input) {
        debug!(target: "core", ?input, "input");
        let now = self.clock.now();
        if let Some(recording) = &mut self.recording {
            recording.inputs.push((now, input.clone()));
        }
        let listed = matches!(input, Input::List(_));
        if let Some(observing) = &mut self.observing {
            observing.input(now, &input);
        }
        self.core.handle(now, input, &mut self.out);
        if let Some(observing) = &mut self.observing {
            self.out.iter().for_each(|output| observing.output(now, output));
            if listed {
                observing.listed(self.core.catalog());
            }
        }
        if let Some(recording) = &mut self.recording {
            recording.outputs.extend(self.out.iter().cloned());
        }
        for output in std::mem::take(&mut self.out) {
            debug!(target: "core", ?output, "output");
            log(&output);
            if !self.for_sip(&output) {
                self.carry_out(output);
            }
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::SetUp { attempt, request, server, url, rate_kb, until, .. } => {
                if let Some(waiting) = self.waiting.get(&request) {
                    let set_up = SetUp { attempt, server, address: url.parse().ok(), rate_kb, until };
                    let _ = waiting.send(Told::SetUp(set_up));
                }
            }
            Output::Reply(request, answer) => {
                if let Some(waiting) = self.waiting.remove(&request) {
                    let _ = waiting.send(Told::Answer(answer));
                }
            }
            // The viewer's own thread dropped the attempt when it saw the hang-up.
            Output::Cancel(_) => {}
            Output::SetRung { server, session, layers, rung, .. } => {
                self.calls.push(server, Job::SetRung { path: layers, rung });
                self.tell(session, PlayerEvent::Layer(rung));
            }
            Output::Release { ticket, server, resource } => {
                self.calls.push(server, Job::Release { ticket, resource });
            }
            Output::Probe(server) => self.calls.push(server, Job::Probe),
            Output::Watch(server, url) => match url.parse() {
                Ok(address) => {
                    self.calls.know(server, address);
                    self.watchers.watch(server, address);
                }
                Err(_) => warn!(target: "list", server = server.0, %url, "no address"),
            },
            Output::Unwatch(server) => {
                self.calls.forget(server);
                self.watchers.unwatch(server);
            }
            Output::Subscribe => {} // the list is pushed
            Output::Over(session, why) => {
                info!(target: "core", session = format_args!("{:016x}", session.0), ?why, "over");
                self.tell(session, PlayerEvent::Inactive);
                self.followers.remove(&session);
            }
            Output::Log(line) => warn!(target: "core", "{line}"),
        }
    }
}

/// What is done for sessions, whatever they speak.
fn log(output: &Output) {
    match output {
        Output::SetUp { attempt, server, rung, .. } => info!(
            target: "core", session = format_args!("{:016x}", attempt.session.0), attempt = attempt.number,
            server = server.0, rung = rung.0, "set-up"
        ),
        Output::SetRung { server, session, rung, .. } => debug!(
            target: "core", session = format_args!("{:016x}", session.0), server = server.0, rung = rung.0, "rung"
        ),
        _ => {}
    }
}
