//! Messages between the engine's thread and the other threads.

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
    /// An input of the session controller that is not answered.
    Input(Input),
    /// A request for a session, with the client's key if the client is known.
    Request(Box<SessionRequest>, Option<Key>, Sender<EngineReply>),
    /// An input that is answered immediately.
    Call(Input, RequestId, Sender<EngineReply>),
    /// A query of the front's status.
    Status(Sender<Status>),
    /// A client's subscription to the events of its session.
    Follow(SessionId, Secret, Sender<PlayerEvent>),
    /// The SIP agent, which takes over all outputs that concern SIP.
    AttachSip(Sender<agent::Input>),
    /// A command to end the thread.
    Stop,
}

/// An attempt to be made by the client's thread.
#[derive(Debug, Clone)]
pub struct SetUp {
    /// Identifies the attempt.
    pub attempt: AttemptId,
    /// The media server to send the offer to.
    pub server: ServerId,
    /// Address of the media server, or `None` if it can't be parsed.
    pub address: Option<SocketAddr>,
    /// The rung's rate, kB per second.
    pub rate_kb: f64,
    /// When to cancel the attempt.
    pub deadline: Micros,
    /// Tag for the media server to store with the session, if the session counts against quotas of the fleet.
    pub tag: Option<String>,
}

/// The engine's reply to a waiting thread.
#[derive(Debug, Clone)]
pub enum EngineReply {
    /// An attempt is to be made. Further replies follow.
    SetUp(SetUp),
    /// The answer, which is the last reply.
    Answer(Answer),
    /// A rejection because a quota of the fleet is exhausted, which is the last reply.
    QuotaExceeded(Refusal),
}

/// The status of a front.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Status {
    /// Whether the front has received an endpoint list.
    pub has_endpoint_list: bool,
    /// Number of media servers on the endpoint list.
    pub media_servers: usize,
    /// Number of titles on the endpoint list.
    pub titles: usize,
    /// Number of playing sessions.
    pub playing: usize,
    /// Number of sessions that are still to be ended at media servers.
    pub releasing: usize,
    /// Whether no client waits, no attempt is in flight and no release is pending.
    pub idle: bool,
}

/// All inputs and outputs of a front's session controller, in order.
#[derive(Debug, Clone, Default)]
pub struct Recording {
    /// The inputs with their times.
    pub inputs: Vec<(Micros, Input)>,
    /// The outputs.
    pub outputs: Vec<Output>,
    /// The exchanges between the controller and the policy.
    pub exchanges: Vec<Exchange>,
}

/// Returns a front's current slot, or `None` if the slot in its settings applies.
///
/// The function is called before each input and must not block.
pub type SlotSource = Box<dyn Fn() -> Option<SlotAssignment> + Send>;

/// Hooks that connect a front to its fleet.
#[derive(Default)]
pub struct FleetHooks {
    /// Source of the front's slot. If there is none, the slot in its settings applies.
    pub slots: Option<SlotSource>,
    /// Observer that collects evidence about media servers and filters the holders offered to the policy.
    pub observer: Option<Box<dyn Observer>>,
    /// Admission control by the quotas of the fleet.
    pub admission_controller: Option<AdmissionController>,
}
