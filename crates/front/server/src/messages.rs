//! What passes between the engine's thread and the threads around it.

use std::net::SocketAddr;

use beechloft_quotas::{AdmissionController, Key, Refusal};
use beechloft_session::Exchange;
use beechloft_session::api::{Micros, ServerId, SessionId, SlotAssignment};
use beechloft_session::io::{Answer, AttemptId, Input, Output, RequestId, Secret, SessionRequest};
use beechloft_sip::agent;
use beechloft_whep::events::PlayerEvent;
use crossbeam_channel::Sender;

use crate::evidence::Observer;

/// A message to the engine's thread.
pub(crate) enum EngineMessage {
    /// An input of the session controller that nobody waits for.
    Input(Input),
    /// A request for a session, by a client with this key if it is known.
    Request(Box<SessionRequest>, Option<Key>, Sender<EngineReply>),
    /// An input that is answered at once.
    Call(Input, RequestId, Sender<EngineReply>),
    /// The front's status is wanted.
    Status(Sender<Status>),
    /// A client follows the events of its session.
    Follow(SessionId, Secret, Sender<PlayerEvent>),
    /// What concerns SIP goes to this agent from now on.
    AttachSip(Sender<agent::Input>),
    /// The thread ends.
    Stop,
}

/// An attempt to be made by the thread of its client.
#[derive(Debug, Clone)]
pub struct SetUp {
    /// Which.
    pub attempt: AttemptId,
    /// The media server.
    pub server: ServerId,
    /// Its address.
    pub address: Option<SocketAddr>,
    /// The rung's rate, kB a second.
    pub rate_kb: f64,
    /// When to drop it.
    pub deadline: Micros,
    /// For the media server to keep with the session, if quotas of the fleet count it.
    pub tag: Option<String>,
}

/// What the engine replies to a thread that waits.
#[derive(Debug, Clone)]
pub enum EngineReply {
    /// Make an attempt.
    SetUp(SetUp),
    /// The answer; nothing comes after it.
    Answer(Answer),
    /// A quota of the fleet is exhausted; nothing comes after it.
    QuotaExceeded(Refusal),
}

/// What a front knows and holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Status {
    /// It has received an endpoint list.
    pub listed: bool,
    /// Media servers on it.
    pub media_servers: usize,
    /// Titles on it.
    pub titles: usize,
    /// Sessions that play.
    pub playing: usize,
    /// Sessions still to be ended at media servers.
    pub releasing: usize,
    /// No client waits.
    pub idle: bool,
}

/// All inputs and outputs of a front's session controller, in order.
#[derive(Debug, Clone, Default)]
pub struct Recording {
    /// The inputs, and when they came.
    pub inputs: Vec<(Micros, Input)>,
    /// The outputs.
    pub outputs: Vec<Output>,
    /// What passed between the controller and the policy.
    pub exchanges: Vec<Exchange>,
}

/// A front's slot among others, now; none: as its settings say. It is called before each input and must not block.
pub type SlotSource = Box<dyn Fn() -> Option<SlotAssignment> + Send>;

/// What connects a front with its fleet.
#[derive(Default)]
pub struct FleetHooks {
    /// Its slot among the fronts; none: as its settings say.
    pub slots: Option<SlotSource>,
    /// Takes evidence of media servers, and filters by it what the policy is offered.
    pub observer: Option<Box<dyn Observer>>,
    /// Admits by quotas that hold for all fronts.
    pub gate: Option<AdmissionController>,
}
