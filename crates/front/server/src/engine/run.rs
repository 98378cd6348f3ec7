//! The engine's thread: messages in, outputs carried out.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use beechloft_session::SessionController;
use beechloft_session::api::{SessionId, SlotAssignment};
use beechloft_session::io::{Answer, Input, Output, RequestId, SessionRequest};
use beechloft_sip::agent;
use beechloft_whep::events::PlayerEvent;
use crossbeam_channel::{Receiver, Sender};
use tracing::{debug, info, warn};

use crate::calls::{Calls, Job};
use crate::clock::Clock;
use crate::handle::Message;
use crate::limits::{self, Limited, Stopped};
use crate::observe::Observing;
use crate::told::{Numbers, Recording, SetUp, Status, Told};
use crate::watch::Watchers;

/// Streams of one session's events at once; a further one takes the place of the last.
const FOLLOWERS: usize = 2;

pub(super) struct Run {
    pub(super) core: SessionController,
    pub(super) clock: Clock,
    pub(super) calls: Calls,
    pub(super) watchers: Watchers,
    pub(super) waiting: BTreeMap<RequestId, Sender<Told>>,
    pub(super) followers: BTreeMap<SessionId, Vec<Sender<PlayerEvent>>>,
    pub(super) out: Vec<Output>,
    pub(super) recording: Option<Recording>,
    pub(super) sip: Option<Sender<agent::Input>>,
    pub(super) numbers: Option<Numbers>,
    pub(super) numbered: Option<SlotAssignment>,
    pub(super) observing: Option<Observing>,
    pub(super) limited: Option<Limited>,
    /// What became of attempts that were stopped by a limit, for the core.
    pub(super) stopped: VecDeque<Input>,
}

impl Run {
    pub(super) fn run(mut self, receiver: &Receiver<Message>) -> Recording {
        if self.recording.is_some() {
            self.core.record_exchanges();
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
        if let Some(limited) = &mut self.limited {
            limited.leave();
        }
        let mut recording = self.recording.unwrap_or_default();
        recording.exchanged = self.core.take_exchanges();
        recording
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Input(Input::Request(ask)) => self.call(ask),
            Message::Input(input) => self.input(input),
            Message::SessionRequest(ask, viewer, sender) => {
                let no = self.limited.as_mut().and_then(|l| l.ask(&self.core, &ask, viewer).err());
                match no {
                    Some(no) => drop(sender.send(Told::Limited(no))),
                    None => {
                        self.waiting.insert(ask.request, sender);
                        self.input(Input::Request(*ask));
                    }
                }
            }
            Message::Call(input, request, sender) => {
                self.waiting.insert(request, sender);
                self.input(input);
            }
            Message::Status(sender) => {
                let catalog = self.core.catalog();
                let _ = sender.send(Status {
                    listed: catalog.is_known(),
                    boxes: catalog.servers().count(),
                    titles: catalog.titles().count(),
                    playing: self.core.playing(),
                    releasing: self.core.releasing(),
                    idle: self.core.is_idle(),
                });
            }
            Message::Follow(session, secret, sender) => {
                if matches!(self.core.locate(session, secret), Answer::Located { .. }) {
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
            Output::Cancel(_) | Output::SessionEnded(..) => (true, false),
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
            info!(target: "core", number = numbered.slot, of = numbered.slot_count, fronts = numbered.live_fronts, "numbered");
            self.numbered = Some(numbered);
            self.handle(Input::Numbered(numbered));
        }
    }

    /// Has the core offer what is to be offered now.
    fn narrow(&mut self) {
        if let Some(narrowed) = self.observing.as_mut().and_then(Observing::narrowed) {
            self.handle(Input::HolderFilter(narrowed));
        }
    }

    /// A call: its agent hears of a limit as of any other refusal.
    fn call(&mut self, ask: SessionRequest) {
        match self.limited.as_mut().and_then(|l| l.ask(&self.core, &ask, None).err()) {
            Some(no) => self.reply(ask.request, Answer::Rejected(Some(limits::advice(&no)))),
            None => self.input(Input::Request(ask)),
        }
    }

    fn reply(&mut self, request: RequestId, answer: Answer) {
        let output = Output::Reply(request, answer);
        if !self.for_sip(&output) {
            self.carry_out(output, None);
        }
    }

    fn input(&mut self, input: Input) {
        self.renumber();
        self.narrow();
        self.handle(input);
        while let Some(input) = self.stopped.pop_front() {
            self.handle(input);
        }
    }

    /// Whether a set-up may go out; if a limit stops it, the core hears that it never ran. What the box is to keep with it.
    fn passes(&mut self, output: &Output) -> Result<Option<String>, ()> {
        let (Some(limited), Output::SetUp { attempt, request, server, .. }) = (&mut self.limited, output)
        else {
            return Ok(None);
        };
        let request = *request;
        match limited.attempt(&self.core, self.clock.now(), *attempt, *server) {
            Ok(tag) => return Ok(tag),
            Err(Stopped::Here(never)) => self.stopped.push_back(*never),
            Err(Stopped::AtAll(all)) => {
                let (no, inputs) = *all;
                self.stopped.extend(inputs);
                match self.waiting.remove(&request) {
                    Some(waiting) => drop(waiting.send(Told::Limited(no))),
                    None => self.reply(request, Answer::Rejected(Some(limits::advice(&no)))),
                }
            }
        }
        Err(())
    }

    fn handle(&mut self, input: Input) {
        debug!(target: "core", ?input, "input");
        let now = self.clock.now();
        if let Some(recording) = &mut self.recording {
            recording.inputs.push((now, input.clone()));
        }
        if let Some(limited) = &mut self.limited {
            limited.before(&input);
        }
        let listed = matches!(input, Input::Endpoints(_));
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
            if let Some(limited) = &mut self.limited {
                limited.done(&output);
            }
            let Ok(tag) = self.passes(&output) else { continue };
            log(&output);
            if !self.for_sip(&output) {
                self.carry_out(output, tag);
            }
        }
        if let Some(limited) = &mut self.limited {
            limited.after(&self.core);
        }
    }

    fn carry_out(&mut self, output: Output, tag: Option<String>) {
        match output {
            Output::SetUp { attempt, request, server, url, rate_kb, deadline: until, .. } => {
                if let Some(waiting) = self.waiting.get(&request) {
                    let set_up = SetUp { attempt, server, address: url.parse().ok(), rate_kb, until, tag };
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
            Output::Release { id: ticket, server, resource } => {
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
            Output::SessionEnded(session, why) => {
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
