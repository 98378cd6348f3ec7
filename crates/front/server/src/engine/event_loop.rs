//! The engine's event loop, which handles messages and carries out the session controller's outputs.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use beechloft_quotas::Key;
use beechloft_session::SessionController;
use beechloft_session::api::{ServerId, SessionId, SlotAssignment};
use beechloft_session::io::{Answer, Input, Output, RequestId, SessionRequest};
use beechloft_sip::agent;
use beechloft_whep::events::PlayerEvent;
use crossbeam_channel::{Receiver, Sender};
use tracing::{debug, info, warn};

use crate::admission::{self, Admission, Denied};
use crate::clock::Clock;
use crate::event_streams::EventStreams;
use crate::evidence::EvidenceCollector;
use crate::messages::{EngineMessage, EngineReply, Recording, SetUp, SlotSource, Status};
use crate::server_calls::{Job, ServerCalls};

/// Maximum number of subscribers to the events of one session. A further one replaces the latest.
const MAX_FOLLOWERS: usize = 2;
/// The longest wait for a message if nothing is due.
const MAX_WAIT: Duration = Duration::from_secs(1);

pub(super) struct EventLoop {
    pub(super) controller: SessionController,
    pub(super) clock: Clock,
    pub(super) calls: ServerCalls,
    pub(super) event_streams: EventStreams,
    pub(super) waiting: BTreeMap<RequestId, Sender<EngineReply>>,
    pub(super) followers: BTreeMap<SessionId, Vec<Sender<PlayerEvent>>>,
    pub(super) outputs: Vec<Output>,
    pub(super) recording: Option<Recording>,
    pub(super) sip: Option<Sender<agent::Input>>,
    pub(super) slots: Option<SlotSource>,
    pub(super) slot: Option<SlotAssignment>,
    pub(super) evidence: Option<EvidenceCollector>,
    pub(super) admission: Option<Admission>,
    /// Inputs that tell the controller about attempts that were not admitted.
    pub(super) denied: VecDeque<Input>,
}

impl EventLoop {
    pub(super) fn run(mut self, receiver: &Receiver<EngineMessage>) -> Recording {
        if self.recording.is_some() {
            self.controller.record_exchanges();
        }
        loop {
            let due = self.controller.next_due().map(|at| self.clock.instant(at));
            let wait = due.map_or(MAX_WAIT, |at| at.saturating_duration_since(Instant::now()));
            match receiver.recv_timeout(wait) {
                Ok(EngineMessage::Stop) => break,
                Ok(message) => self.handle_message(message),
                Err(_) => self.input(Input::Tick),
            }
        }
        self.event_streams.stop();
        self.calls.stop();
        if let Some(admission) = &mut self.admission {
            admission.detach_all();
        }
        let mut recording = self.recording.unwrap_or_default();
        recording.exchanges = self.controller.take_exchanges();
        recording
    }

    fn handle_message(&mut self, message: EngineMessage) {
        match message {
            EngineMessage::Input(Input::Request(request)) => self.call_request(request),
            EngineMessage::Input(input) => self.input(input),
            EngineMessage::Request(request, client, sender) => self.client_request(*request, client, sender),
            EngineMessage::Call(input, request, sender) => {
                self.waiting.insert(request, sender);
                self.input(input);
            }
            EngineMessage::Status(sender) => {
                let _ = sender.send(self.status());
            }
            EngineMessage::Follow(session, secret, sender) => {
                if matches!(self.controller.locate(session, secret), Answer::Located { .. }) {
                    let followers = self.followers.entry(session).or_default();
                    followers.truncate(MAX_FOLLOWERS - 1);
                    followers.push(sender);
                }
            }
            EngineMessage::AttachSip(agent) => self.sip = Some(agent),
            EngineMessage::Stop => {}
        }
    }

    /// Handles a request over HTTP, whose thread waits for the replies.
    fn client_request(&mut self, request: SessionRequest, client: Option<Key>, sender: Sender<EngineReply>) {
        let admission = self.admission.as_mut();
        let denied =
            admission.and_then(|admission| admission.admit_session(&self.controller, &request, client).err());
        if let Some(refusal) = denied {
            let _ = sender.send(EngineReply::QuotaExceeded(refusal));
            return;
        }
        self.waiting.insert(request.request, sender);
        self.input(Input::Request(request));
    }

    /// Handles a call over SIP. The agent sees an exhausted quota as an ordinary rejection.
    fn call_request(&mut self, request: SessionRequest) {
        let admission = self.admission.as_mut();
        let denied =
            admission.and_then(|admission| admission.admit_session(&self.controller, &request, None).err());
        match denied {
            Some(refusal) => {
                self.reply(request.request, Answer::Rejected(Some(admission::retry_after(&refusal))))
            }
            None => self.input(Input::Request(request)),
        }
    }

    fn status(&self) -> Status {
        let catalog = self.controller.catalog();
        Status {
            has_endpoint_list: catalog.is_known(),
            media_servers: catalog.servers().count(),
            titles: catalog.titles().count(),
            playing: self.controller.playing(),
            releasing: self.controller.releasing(),
            idle: self.controller.is_idle(),
        }
    }

    /// Passes an output to the SIP agent if it concerns SIP. Returns whether the agent carries it out completely.
    fn handled_by_sip(&self, output: &Output) -> bool {
        let Some(agent) = &self.sip else { return false };
        let (concerns_sip, is_complete) = match output {
            Output::SetUp { request, .. } | Output::Reply(request, _) => {
                (request.0 & agent::AGENT_ID_BIT != 0, true)
            }
            Output::SetRung { layers, .. } => (layers.starts_with(agent::RESOURCE_PREFIX), true),
            Output::Release { resource, .. } => (resource.starts_with(agent::RESOURCE_PREFIX), true),
            Output::Cancel(_) | Output::SessionEnded(..) => (true, false),
            _ => (false, false),
        };
        if concerns_sip {
            let _ = agent.send(agent::Input::Controller(Box::new(output.clone())));
        }
        concerns_sip && is_complete
    }

    /// Sends an event to the subscribers of a session. A subscriber whose buffer is full is dropped.
    fn notify_followers(&mut self, session: SessionId, event: PlayerEvent) {
        if let Some(followers) = self.followers.get_mut(&session) {
            followers.retain(|follower| follower.try_send(event).is_ok());
        }
    }

    /// Updates the controller's slot. This is done before each input, as the slot's lease may have expired.
    fn update_slot(&mut self) {
        let current = self.slots.as_ref().and_then(|slots| slots());
        if let Some(slot) = current.filter(|slot| Some(*slot) != self.slot) {
            info!(target: "core", number = slot.slot, of = slot.slot_count, fronts = slot.live_fronts, "numbered");
            self.slot = Some(slot);
            self.handle(Input::SlotAssigned(slot));
        }
    }

    fn update_holder_filter(&mut self) {
        if let Some(filter) = self.evidence.as_mut().and_then(EvidenceCollector::holder_filter) {
            self.handle(Input::HolderFilter(filter));
        }
    }

    fn reply(&mut self, request: RequestId, answer: Answer) {
        let output = Output::Reply(request, answer);
        if !self.handled_by_sip(&output) {
            self.carry_out(output, None);
        }
    }

    fn input(&mut self, input: Input) {
        self.update_slot();
        self.update_holder_filter();
        self.handle(input);
        while let Some(denied) = self.denied.pop_front() {
            self.handle(denied);
        }
    }

    fn handle(&mut self, input: Input) {
        debug!(target: "core", ?input, "input");
        let now = self.clock.now();
        if let Some(recording) = &mut self.recording {
            recording.inputs.push((now, input.clone()));
        }
        if let Some(admission) = &mut self.admission {
            admission.observe_input(&input);
        }
        let endpoints_changed = matches!(input, Input::Endpoints(_));
        if let Some(evidence) = &mut self.evidence {
            evidence.input(now, &input);
        }
        self.controller.handle(now, input, &mut self.outputs);
        if let Some(evidence) = &mut self.evidence {
            for output in &self.outputs {
                evidence.output(now, output);
            }
            if endpoints_changed {
                evidence.endpoints_changed(self.controller.catalog());
            }
        }
        if let Some(recording) = &mut self.recording {
            recording.outputs.extend(self.outputs.iter().cloned());
        }
        for output in std::mem::take(&mut self.outputs) {
            self.admit_and_carry_out(output);
        }
        if let Some(admission) = &mut self.admission {
            admission.release_finished(&self.controller);
        }
    }

    fn admit_and_carry_out(&mut self, output: Output) {
        debug!(target: "core", ?output, "output");
        if let Some(admission) = &mut self.admission {
            admission.observe_output(&output);
        }
        let admitted = match &output {
            Output::SetUp { attempt, request, server, .. } => self.admit_attempt(*attempt, *request, *server),
            _ => Some(None),
        };
        let Some(tag) = admitted else { return };
        log(&output);
        if !self.handled_by_sip(&output) {
            self.carry_out(output, tag);
        }
    }

    /// Checks whether an attempt may be sent, and returns the tag for the media server if there is one.
    ///
    /// Returns `None` if a quota is exhausted. The controller is then notified that the attempt was not sent.
    fn admit_attempt(
        &mut self,
        attempt: beechloft_session::io::AttemptId,
        request: RequestId,
        server: ServerId,
    ) -> Option<Option<String>> {
        let Some(admission) = &mut self.admission else { return Some(None) };
        match admission.admit_attempt(&self.controller, self.clock.now(), attempt, server) {
            Ok(tag) => return Some(tag),
            Err(Denied::AtServer(not_sent)) => self.denied.push_back(*not_sent),
            Err(Denied::Entirely(denied)) => {
                let (refusal, inputs) = *denied;
                self.denied.extend(inputs);
                match self.waiting.remove(&request) {
                    Some(waiting) => drop(waiting.send(EngineReply::QuotaExceeded(refusal))),
                    None => self.reply(request, Answer::Rejected(Some(admission::retry_after(&refusal)))),
                }
            }
        }
        None
    }

    fn carry_out(&mut self, output: Output, tag: Option<String>) {
        match output {
            Output::SetUp { attempt, request, server, url, rate_kb, deadline, .. } => {
                if let Some(waiting) = self.waiting.get(&request) {
                    let address = url.parse().ok();
                    let set_up = SetUp { attempt, server, address, rate_kb, deadline, tag };
                    let _ = waiting.send(EngineReply::SetUp(set_up));
                }
            }
            Output::Reply(request, answer) => {
                if let Some(waiting) = self.waiting.remove(&request) {
                    let _ = waiting.send(EngineReply::Answer(answer));
                }
            }
            // The client's own thread cancelled the attempt when the client disconnected.
            Output::Cancel(_) => {}
            Output::SetRung { server, session, layers, rung, .. } => {
                self.calls.push(server, Job::SetRung { path: layers, rung });
                self.notify_followers(session, PlayerEvent::Layer(rung));
            }
            Output::Release { id, server, resource } => {
                self.calls.push(server, Job::Release { id, resource });
            }
            Output::HealthCheck(server) => self.calls.push(server, Job::HealthCheck),
            Output::Watch(server, url) => self.watch(server, &url),
            Output::Unwatch(server) => {
                self.calls.forget(server);
                self.event_streams.close(server);
            }
            Output::Subscribe => {} // the endpoint list is pushed without a subscription
            Output::SessionEnded(session, reason) => {
                info!(target: "core", session = format_args!("{:016x}", session.0), ?reason, "session ended");
                self.notify_followers(session, PlayerEvent::Inactive);
                self.followers.remove(&session);
            }
            Output::Log(line) => warn!(target: "core", "{line}"),
        }
    }

    fn watch(&mut self, server: ServerId, url: &str) {
        if let Ok(address) = url.parse() {
            self.calls.set_address(server, address);
            self.event_streams.open(server, address);
        } else {
            warn!(target: "list", server = server.0, %url, "invalid media server address");
        }
    }
}

/// Logs the outputs that act on a session at a media server, for all protocols.
fn log(output: &Output) {
    match output {
        Output::SetUp { attempt, server, rung, .. } => info!(
            target: "core", session = format_args!("{:016x}", attempt.session.0), attempt = attempt.number,
            server = server.0, rung = rung.0, "set-up"
        ),
        Output::SetRung { server, session, rung, .. } => debug!(
            target: "core", session = format_args!("{:016x}", session.0), server = server.0, rung = rung.0, "rung changed"
        ),
        _ => {}
    }
}
