//! The back-to-back user agent: inbound calls of callers, outbound calls to media servers, and the session controller.
//!
//! A caller's INVITE becomes a `SessionRequest` of the session controller. Each attempt that the controller requests is an
//! INVITE to a media server on a connection of its own. The end of a leg is reported as the attempt's result, and a release
//! is a BYE. Retransmissions end at the transaction layer. The agent has no I/O or clock, and its randomness is seeded.

mod caller_streams;
mod inbound;
mod outbound;
mod overload;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use beechloft_session::api::{Micros, ServerId, SessionId};
use beechloft_session::io::{self as controller_io, Answer, AttemptId, RequestId, Secret};
use beechloft_session::release::ReleaseId;
use beechloft_whep::sdp::Offer;
use rsip::{Header, headers::UntypedHeader};

use self::caller_streams::CallerStreams;
use crate::callee::{self, CalleeLeg};
use crate::caller::{self, CallerLeg};
use crate::dialog::IdGenerator;
use crate::message::{Message, Request, Response};
use crate::overload::{Control, RejectionCache};
use crate::transaction::layer::Peer;
use crate::transaction::{self, Key, Layer};

/// Maximum number of concurrent calls. Further INVITEs are rejected.
pub const MAX_CALLS: usize = 100_000;
/// Prefix of the resource by which the session controller knows a call at a media server.
pub const RESOURCE_PREFIX: &str = "sip:";
/// Bit that marks request and connection IDs of the agent, which tells them from those of others.
pub const AGENT_ID_BIT: u64 = 1 << 63;

/// Input of the agent.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A message arrived at this time. It may have been queued since.
    Received(Peer, Box<Message>, Micros),
    /// A connection was closed or could not be established. The flag is set if the peer refused it.
    ConnectionLost(Peer, bool),
    /// An output of the session controller.
    Controller(Box<controller_io::Output>),
    /// Timers may have expired.
    Tick,
}

/// Output of the agent.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a message. A stream that is not open yet is to be opened.
    Transmit(Peer, Box<Message>),
    /// Close a connection.
    Close(Peer),
    /// An input of the session controller.
    Controller(Box<controller_io::Input>),
}

#[derive(Debug)]
struct InboundCall {
    request: RequestId,
    secret: Secret,
    leg: CallerLeg,
    peer: Peer,
    key: Key,
    dialog_id: (String, String),
    title: String,
    offer: Offer,
    /// Arrival time of the INVITE, or `None` once the session controller has first responded to it.
    arrived: Option<Micros>,
}

#[derive(Debug)]
struct OutboundCall {
    leg: CalleeLeg,
    peer: Peer,
    server: ServerId,
    session: SessionId,
    attempt: AttemptId,
    sent_at: Micros,
    /// Deadline of the attempt, or `None` once the attempt has ended.
    deadline: Option<Micros>,
    connection_refused: bool,
    release: Option<ReleaseId>,
    /// The caller's offer, which rung changes are derived from.
    offer: Offer,
    /// Transactions of the leg, starting with that of the INVITE.
    keys: Vec<Key>,
}

/// Leg that a timer belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum TimerOwner {
    Inbound(SessionId),
    Outbound(u64),
}

/// Back-to-back user agent of a front.
#[derive(Debug)]
pub struct Agent {
    layer: Layer,
    id_generator: IdGenerator,
    sent_by: String,
    slot: u32,
    now: Micros,
    last_id: u64,
    control: Control,
    rejections: RejectionCache,
    /// Arrival time of the message that is being handled.
    arrived: Micros,
    inbound: BTreeMap<SessionId, InboundCall>,
    /// Callers' calls by `Call-ID` and `From` tag.
    by_caller: BTreeMap<(String, String), SessionId>,
    by_request: BTreeMap<RequestId, SessionId>,
    by_invite: BTreeMap<Key, SessionId>,
    caller_streams: CallerStreams,
    outbound: BTreeMap<u64, OutboundCall>,
    /// Legs at media servers by `Call-ID`.
    by_outbound_call_id: BTreeMap<String, u64>,
    /// Legs at media servers by outstanding transaction.
    by_key: BTreeMap<Key, u64>,
    /// Legs of outstanding attempts.
    attempts: BTreeMap<SessionId, u64>,
    /// Legs of calls that are established at media servers.
    established: BTreeMap<SessionId, u64>,
    /// Timers of the legs in order of time.
    timers: BTreeSet<(Micros, TimerOwner)>,
    due_at: BTreeMap<TimerOwner, Micros>,
    outputs: Vec<Output>,
}

impl Agent {
    /// Creates the agent of the front in this slot, which is reached at the address `listen`.
    pub fn new(listen: SocketAddr, slot: u32, seed: u64) -> Self {
        Agent::with(listen, slot, seed, Control::new(seed, true))
    }

    /// Creates an agent with the given overload control, for example a disabled one for comparison.
    pub fn with(listen: SocketAddr, slot: u32, seed: u64, control: Control) -> Self {
        Agent {
            layer: Layer::default(),
            id_generator: IdGenerator::new(seed),
            sent_by: listen.to_string(),
            slot,
            now: Micros(0),
            last_id: 0,
            control,
            rejections: RejectionCache::new(seed),
            arrived: Micros(0),
            inbound: BTreeMap::new(),
            by_caller: BTreeMap::new(),
            by_request: BTreeMap::new(),
            by_invite: BTreeMap::new(),
            caller_streams: CallerStreams::default(),
            outbound: BTreeMap::new(),
            by_outbound_call_id: BTreeMap::new(),
            by_key: BTreeMap::new(),
            attempts: BTreeMap::new(),
            established: BTreeMap::new(),
            timers: BTreeSet::new(),
            due_at: BTreeMap::new(),
            outputs: Vec::new(),
        }
    }

    /// Handles one input and appends the resulting outputs.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::Received(peer, message, at) => {
                if !self.is_of_lost_caller(peer, &message) && self.admits(peer, &message, at) {
                    self.layer(transaction::Input::Received(peer, message));
                }
            }
            Input::ConnectionLost(peer, refused) => {
                // The connection of an attempt carries the ID of its leg.
                let leg = peer.conn & !AGENT_ID_BIT;
                if let Some(call) = self.outbound.get_mut(&leg).filter(|p| p.peer == peer) {
                    call.connection_refused = refused;
                }
                self.caller_lost(peer);
                self.layer(transaction::Input::ConnectionLost(peer));
                if self.outbound.get(&leg).is_some_and(|p| p.peer == peer) {
                    self.on_outbound(leg, callee::Input::ConnectionLost);
                }
            }
            Input::Controller(output) => self.on_controller_output(*output),
            Input::Tick => self.layer(transaction::Input::Tick),
        }
        self.run_timers();
        out.append(&mut self.outputs);
    }

    /// Returns the time at which [`Input::Tick`] is needed next.
    pub fn next_due(&self) -> Option<Micros> {
        self.layer.next_due().into_iter().chain(self.timers.first().map(|t| t.0)).min()
    }

    /// Updates the timer of a leg.
    fn update_timer(&mut self, owner: TimerOwner) {
        let due = match owner {
            TimerOwner::Inbound(session) => self.inbound.get(&session).and_then(|c| c.leg.next_due()),
            TimerOwner::Outbound(leg) => {
                self.outbound.get(&leg).and_then(|p| p.leg.next_due().into_iter().chain(p.deadline).min())
            }
        };
        let before = match due {
            Some(at) => self.due_at.insert(owner, at),
            None => self.due_at.remove(&owner),
        };
        self.timers.extend(due.map(|at| (at, owner)));
        if let Some(before) = before.filter(|b| Some(*b) != due) {
            self.timers.remove(&(before, owner));
        }
    }

    /// Returns the number of callers' calls and the number of legs at media servers that have not ended.
    pub fn len(&self) -> (usize, usize) {
        (self.inbound.len(), self.outbound.len())
    }

    fn send_to_controller(&mut self, input: controller_io::Input) {
        self.outputs.push(Output::Controller(Box::new(input)));
    }

    fn layer(&mut self, input: transaction::Input) {
        let mut outputs = Vec::new();
        self.layer.handle(self.now, input, &mut outputs);
        for output in outputs {
            match output {
                transaction::Output::Transmit(peer, message) => {
                    self.outputs.push(Output::Transmit(peer, message))
                }
                transaction::Output::Request(key, peer, request) => self.request(key, peer, *request),
                transaction::Output::Cancelled(key) => self.cancelled(&key),
                transaction::Output::Ack(_, ack) => self.acknowledged(&ack),
                transaction::Output::Response(key, response) => self.response(&key, &response),
                transaction::Output::UnmatchedSuccess(_, response) => self.unmatched_success(&response),
                transaction::Output::TimedOut(key) => self.timed_out(&key),
                // The failure was sent. Nothing more can be done for a caller that doesn't acknowledge it.
                transaction::Output::NoAck(_) => {}
            }
        }
    }

    fn respond(&mut self, key: &Key, mut response: Response) {
        self.add_feedback(key, &mut response);
        self.layer(transaction::Input::Respond(key.clone(), Box::new(response)));
    }

    fn on_controller_output(&mut self, output: controller_io::Output) {
        if let controller_io::Output::SetUp { request, .. } | controller_io::Output::Reply(request, _) =
            &output
        {
            self.record_first_response(*request);
        }
        match output {
            controller_io::Output::SetUp { attempt, request, server, url, rate_kb, deadline, .. }
                if self.by_request.contains_key(&request) =>
            {
                self.set_up(attempt, server, &url, rate_kb, deadline);
            }
            controller_io::Output::Cancel(attempt) => {
                // A session has at most one outstanding attempt.
                let leg = self.attempts.get(&attempt.session).copied();
                if let Some(leg) = leg.filter(|l| self.outbound.get(l).is_some_and(|p| p.attempt == attempt))
                {
                    self.on_outbound(leg, callee::Input::End);
                }
            }
            controller_io::Output::Reply(request, answer) => self.reply(request, &answer),
            controller_io::Output::SetRung { layers, rate_kb, .. } => self.set_rung(&layers, rate_kb),
            controller_io::Output::Release { id: release, resource, .. } => match leg_of(&resource) {
                Some(leg) if self.outbound.contains_key(&leg) => {
                    if let Some(call) = self.outbound.get_mut(&leg) {
                        call.release = Some(release);
                    }
                    self.on_outbound(leg, callee::Input::End);
                }
                _ => self.send_to_controller(controller_io::Input::Released { id: release, ended: true }),
            },
            controller_io::Output::SessionEnded(session, _) => {
                self.on_inbound(session, caller::Input::End, None);
                // The session controller releases nothing at a lost media server, but its process and the call may
                // still run. Unlike a player's session, the call doesn't end by itself when its caller disconnects.
                if let Some(leg) = self.established.get(&session).copied() {
                    self.on_outbound(leg, callee::Input::End);
                }
            }
            _ => {}
        }
    }

    fn reply(&mut self, request: RequestId, answer: &Answer) {
        let Some(session) = self.by_request.get(&request).copied() else { return };
        let input = match answer {
            Answer::Playing { reply, .. } => match std::str::from_utf8(&reply.sdp) {
                Ok(sdp) => caller::Input::Accept(sdp),
                Err(_) => caller::Input::Reject(500, None),
            },
            Answer::Rejected(retry_after) => {
                caller::Input::Reject(503, retry_after.map(|delay| delay.0.div_ceil(1_000_000).max(1)))
            }
            Answer::Failed => caller::Input::Reject(504, None),
            Answer::Declined(status) => caller::Input::Reject(*status, None),
            Answer::UnknownTitle => caller::Input::Reject(404, None),
            _ => caller::Input::Reject(500, None),
        };
        self.on_inbound(session, input, None);
    }

    /// Runs the expired timers of both sides.
    fn run_timers(&mut self) {
        while let Some((at, owner)) = self.timers.first().copied().filter(|t| t.0 <= self.now) {
            self.timers.remove(&(at, owner));
            self.due_at.remove(&owner);
            match owner {
                TimerOwner::Inbound(session) => self.on_inbound(session, caller::Input::Tick, None),
                TimerOwner::Outbound(leg) => {
                    let Some(call) = self.outbound.get_mut(&leg) else { continue };
                    let expired = call.deadline.take_if(|deadline| *deadline <= self.now).is_some();
                    self.on_outbound(leg, if expired { callee::Input::End } else { callee::Input::Tick });
                }
            }
        }
    }
}

/// Returns the `User-Agent` by which a front identifies itself to media servers (section 20.41).
fn user_agent(slot: u32) -> String {
    format!("beechloft-{slot}")
}

/// Returns the slot of the front that sent a request, or `None` if the request doesn't name it.
pub fn front_of(request: &Request) -> Option<u32> {
    let agent = request
        .raw
        .headers
        .iter()
        .find_map(|h| if let Header::UserAgent(a) = h { Some(a.value()) } else { None })?;
    agent.strip_prefix("beechloft-")?.parse().ok()
}

fn resource_of(leg: u64) -> String {
    format!("{RESOURCE_PREFIX}{leg}")
}

fn leg_of(resource: &str) -> Option<u64> {
    resource.strip_prefix(RESOURCE_PREFIX)?.parse().ok()
}
