//! The back-to-back user agent: inbound calls of callers, outbound calls to media servers, and the session controller.
//!
//! A caller's INVITE becomes a `SessionRequest` of the session controller. Each attempt that the controller requests is an
//! INVITE to a media server on a connection of its own. The end of a leg is reported as the attempt's result, and a release
//! is a BYE. Retransmissions end at the transaction layer. The agent has no I/O or clock, and its randomness is seeded.

mod boxes;
mod callers;
mod gate;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use beechloft_session::api::{Micros, ServerId, SessionId};
use beechloft_session::io::{self as core_io, Answer, AttemptId, RequestId, Secret};
use beechloft_session::release::ReleaseId;
use beechloft_whep::sdp::Offer;
use rsip::{Header, headers::UntypedHeader};

use crate::callee::{self, BoxLeg};
use crate::caller::{self, CallerLeg};
use crate::dialog::Mint;
use crate::message::{Message, Request, Response};
use crate::overload::{Control, Refused};
use crate::transaction::layer::Peer;
use crate::transaction::{self, Key, Layer};

/// Maximum number of concurrent calls. Further INVITEs are rejected.
pub const CALLS: usize = 100_000;
/// Prefix of the resource by which the session controller knows a call at a media server.
pub const RESOURCE: &str = "sip:";
/// Bit that marks request and connection IDs of the agent, which tells them from those of others.
pub const OWN: u64 = 1 << 63;

/// Input of the agent.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A message arrived at this time. It may have been queued since.
    Received(Peer, Box<Message>, Micros),
    /// A connection was closed or could not be established. The flag is set if the peer refused it.
    Lost(Peer, bool),
    /// An output of the session controller.
    Core(Box<core_io::Output>),
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
    Core(Box<core_io::Input>),
}

#[derive(Debug)]
struct Call {
    request: RequestId,
    secret: Secret,
    leg: CallerLeg,
    peer: Peer,
    key: Key,
    name: (String, String),
    title: String,
    offer: Offer,
    /// Arrival time of the INVITE, or `None` once the session controller has first responded to it.
    arrived: Option<Micros>,
}

#[derive(Debug)]
struct Placed {
    leg: BoxLeg,
    peer: Peer,
    server: ServerId,
    session: SessionId,
    attempt: AttemptId,
    sent: Micros,
    /// Deadline of the attempt, or `None` once the attempt has ended.
    until: Option<Micros>,
    refused: bool,
    release: Option<ReleaseId>,
    /// The caller's offer, which rung changes are derived from.
    offer: Offer,
    /// Transactions of the leg, starting with that of the INVITE.
    keys: Vec<Key>,
}

/// Leg that a timer belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Owner {
    Caller(SessionId),
    Box(u64),
}

/// Back-to-back user agent of a front.
#[derive(Debug)]
pub struct Agent {
    layer: Layer,
    mint: Mint,
    sent_by: String,
    number: u32,
    now: Micros,
    next: u64,
    control: Control,
    refused: Refused,
    /// Arrival time of the message that is being handled.
    arrived: Micros,
    calls: BTreeMap<SessionId, Call>,
    /// Callers' calls by `Call-ID` and `From` tag.
    by_caller: BTreeMap<(String, String), SessionId>,
    by_request: BTreeMap<RequestId, SessionId>,
    by_invite: BTreeMap<Key, SessionId>,
    placed: BTreeMap<u64, Placed>,
    /// Legs at media servers by `Call-ID`.
    by_box: BTreeMap<String, u64>,
    /// Legs at media servers by outstanding transaction.
    by_key: BTreeMap<Key, u64>,
    /// Legs of outstanding attempts.
    trying: BTreeMap<SessionId, u64>,
    /// Legs of calls that are established at media servers.
    standing: BTreeMap<SessionId, u64>,
    /// Timers of the legs in order of time.
    timers: BTreeSet<(Micros, Owner)>,
    armed: BTreeMap<Owner, Micros>,
    out: Vec<Output>,
}

impl Agent {
    /// Creates the agent of the front in this slot, which is reached at the address `listen`.
    pub fn new(listen: SocketAddr, number: u32, seed: u64) -> Self {
        Agent::with(listen, number, seed, Control::new(seed, true))
    }

    /// Creates an agent with the given overload control, for example a disabled one for comparison.
    pub fn with(listen: SocketAddr, number: u32, seed: u64, control: Control) -> Self {
        Agent {
            layer: Layer::default(),
            mint: Mint::new(seed),
            sent_by: listen.to_string(),
            number,
            now: Micros(0),
            next: 0,
            control,
            refused: Refused::new(seed),
            arrived: Micros(0),
            calls: BTreeMap::new(),
            by_caller: BTreeMap::new(),
            by_request: BTreeMap::new(),
            by_invite: BTreeMap::new(),
            placed: BTreeMap::new(),
            by_box: BTreeMap::new(),
            by_key: BTreeMap::new(),
            trying: BTreeMap::new(),
            standing: BTreeMap::new(),
            timers: BTreeSet::new(),
            armed: BTreeMap::new(),
            out: Vec::new(),
        }
    }

    /// Handles one input and appends the resulting outputs.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::Received(peer, message, at) => {
                if self.passes(peer, &message, at) {
                    self.layer(transaction::Input::Received(peer, message));
                }
            }
            Input::Lost(peer, refused) => {
                // The connection of an attempt carries the ID of its leg.
                let leg = peer.conn & !OWN;
                if let Some(placed) = self.placed.get_mut(&leg).filter(|p| p.peer == peer) {
                    placed.refused = refused;
                }
                self.layer(transaction::Input::Lost(peer));
                if self.placed.get(&leg).is_some_and(|p| p.peer == peer) {
                    self.on_box(leg, callee::In::Broken);
                }
            }
            Input::Core(output) => self.core(*output),
            Input::Tick => self.layer(transaction::Input::Tick),
        }
        self.due();
        out.append(&mut self.out);
    }

    /// Returns the time at which [`Input::Tick`] is needed next.
    pub fn next_due(&self) -> Option<Micros> {
        self.layer.next_due().into_iter().chain(self.timers.first().map(|t| t.0)).min()
    }

    /// Updates the timer of a leg.
    fn arm(&mut self, owner: Owner) {
        let due = match owner {
            Owner::Caller(session) => self.calls.get(&session).and_then(|c| c.leg.next_due()),
            Owner::Box(leg) => {
                self.placed.get(&leg).and_then(|p| p.leg.next_due().into_iter().chain(p.until).min())
            }
        };
        let before = match due {
            Some(at) => self.armed.insert(owner, at),
            None => self.armed.remove(&owner),
        };
        self.timers.extend(due.map(|at| (at, owner)));
        if let Some(before) = before.filter(|b| Some(*b) != due) {
            self.timers.remove(&(before, owner));
        }
    }

    /// Returns the number of callers' calls and the number of legs at media servers that have not ended.
    pub fn len(&self) -> (usize, usize) {
        (self.calls.len(), self.placed.len())
    }

    fn tell(&mut self, input: core_io::Input) {
        self.out.push(Output::Core(Box::new(input)));
    }

    fn layer(&mut self, input: transaction::Input) {
        let mut done = Vec::new();
        self.layer.handle(self.now, input, &mut done);
        for output in done {
            match output {
                transaction::Output::Transmit(peer, message) => {
                    self.out.push(Output::Transmit(peer, message))
                }
                transaction::Output::Request(key, peer, request) => self.request(key, peer, *request),
                transaction::Output::Cancelled(key) => self.cancelled(&key),
                transaction::Output::Ack(_, ack) => self.acknowledged(&ack),
                transaction::Output::Response(key, response) => self.response(&key, &response),
                transaction::Output::Stray(_, response) => self.stray(&response),
                transaction::Output::TimedOut(key) => self.timed_out(&key),
                // The failure was sent. Nothing more can be done for a caller that doesn't acknowledge it.
                transaction::Output::NoAck(_) => {}
            }
        }
    }

    fn respond(&mut self, key: &Key, mut response: Response) {
        self.advise(key, &mut response);
        self.layer(transaction::Input::Respond(key.clone(), Box::new(response)));
    }

    fn core(&mut self, output: core_io::Output) {
        if let core_io::Output::SetUp { request, .. } | core_io::Output::Reply(request, _) = &output {
            self.first_word(*request);
        }
        match output {
            core_io::Output::SetUp { attempt, request, server, url, rate_kb, deadline: until, .. }
                if self.by_request.contains_key(&request) =>
            {
                self.set_up(attempt, server, &url, rate_kb, until);
            }
            core_io::Output::Cancel(attempt) => {
                // A session has at most one outstanding attempt.
                let leg = self.trying.get(&attempt.session).copied();
                if let Some(leg) = leg.filter(|l| self.placed.get(l).is_some_and(|p| p.attempt == attempt)) {
                    self.on_box(leg, callee::In::End);
                }
            }
            core_io::Output::Reply(request, answer) => self.reply(request, &answer),
            core_io::Output::SetRung { layers, rate_kb, .. } => self.set_rung(&layers, rate_kb),
            core_io::Output::Release { id: ticket, resource, .. } => match leg_of(&resource) {
                Some(leg) if self.placed.contains_key(&leg) => {
                    if let Some(placed) = self.placed.get_mut(&leg) {
                        placed.release = Some(ticket);
                    }
                    self.on_box(leg, callee::In::End);
                }
                _ => self.tell(core_io::Input::Released { id: ticket, gone: true }),
            },
            core_io::Output::SessionEnded(session, _) => {
                self.on_caller(session, caller::In::End, None);
                // The session controller releases nothing at a lost media server, although its process and the call may still run:
                // unlike a player's session, the call doesn't end by itself when its caller disconnects.
                if let Some(leg) = self.standing.get(&session).copied() {
                    self.on_box(leg, callee::In::End);
                }
            }
            _ => {}
        }
    }

    fn reply(&mut self, request: RequestId, answer: &Answer) {
        let Some(session) = self.by_request.get(&request).copied() else { return };
        let input = match answer {
            Answer::Playing { reply, .. } => match std::str::from_utf8(&reply.sdp) {
                Ok(sdp) => caller::In::Accept(sdp),
                Err(_) => caller::In::Refuse(500, None),
            },
            Answer::Rejected(advice) => {
                caller::In::Refuse(503, advice.map(|a| a.0.div_ceil(1_000_000).max(1)))
            }
            Answer::Failed => caller::In::Refuse(504, None),
            Answer::Declined(status) => caller::In::Refuse(*status, None),
            Answer::UnknownTitle => caller::In::Refuse(404, None),
            _ => caller::In::Refuse(500, None),
        };
        self.on_caller(session, input, None);
    }

    /// Runs the expired timers of both sides.
    fn due(&mut self) {
        while let Some((at, owner)) = self.timers.first().copied().filter(|t| t.0 <= self.now) {
            self.timers.remove(&(at, owner));
            self.armed.remove(&owner);
            match owner {
                Owner::Caller(session) => self.on_caller(session, caller::In::Tick, None),
                Owner::Box(leg) => {
                    let Some(placed) = self.placed.get_mut(&leg) else { continue };
                    let given_up = placed.until.take_if(|until| *until <= self.now).is_some();
                    self.on_box(leg, if given_up { callee::In::End } else { callee::In::Tick });
                }
            }
        }
    }
}

/// Returns the `User-Agent` by which a front identifies itself to media servers (section 20.41).
fn user_agent(number: u32) -> String {
    format!("beechloft-{number}")
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
    format!("{RESOURCE}{leg}")
}

fn leg_of(resource: &str) -> Option<u64> {
    resource.strip_prefix(RESOURCE)?.parse().ok()
}
