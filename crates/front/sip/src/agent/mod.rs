//! The back-to-back user agent: callers' calls on one side, media servers' on the other, and the front's core in between.
//!
//! A caller's INVITE is an `SessionRequest` of the session controller; each attempt that the session controller asks for is an INVITE to a media server on a
//! connection of its own; a leg's end is a verdict, a release a BYE. Retransmissions stop at the transaction layer and
//! never reach the session controller. No I/O, clock or randomness but seeded.

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

/// Calls at once; past that an INVITE is refused unseen.
pub const CALLS: usize = 100_000;
/// What begins the path of a call at a media server, as the session controller knows it.
pub const RESOURCE: &str = "sip:";
/// The agent's own requests to the session controller are told from others' by this bit.
pub const OWN: u64 = 1 << 63;

/// What happens to the agent.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A message came, at this time: it may have waited since.
    Received(Peer, Box<Message>, Micros),
    /// A connection is gone, or never came about (`refused`: nobody listens there).
    Lost(Peer, bool),
    /// The core wants something of it.
    Core(Box<core_io::Output>),
    /// Time passes.
    Tick,
}

/// What the agent wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Put a message on the wire; a stream that is not open yet is opened.
    Transmit(Peer, Box<Message>),
    /// Close a connection.
    Close(Peer),
    /// Tell the session controller.
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
    /// When its INVITE came; none once the session controller has said its first word on it.
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
    /// When the attempt is given up; none: it is over, or the call stands.
    until: Option<Micros>,
    refused: bool,
    release: Option<ReleaseId>,
    /// The caller's offer, for changes of the rung.
    offer: Offer,
    /// Its transactions, the INVITE's first.
    keys: Vec<Key>,
}

/// Whose time has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Owner {
    Caller(SessionId),
    Box(u64),
}

/// The agent.
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
    /// When the message at hand came.
    arrived: Micros,
    calls: BTreeMap<SessionId, Call>,
    /// Callers' calls by `Call-ID` and tag.
    by_caller: BTreeMap<(String, String), SessionId>,
    by_request: BTreeMap<RequestId, SessionId>,
    by_invite: BTreeMap<Key, SessionId>,
    placed: BTreeMap<u64, Placed>,
    /// Legs at media servers by their `Call-ID`.
    by_box: BTreeMap<String, u64>,
    /// Legs at media servers by the transactions that they wait for.
    by_key: BTreeMap<Key, u64>,
    /// Attempts that are out.
    trying: BTreeMap<SessionId, u64>,
    /// Calls that stand at media servers.
    standing: BTreeMap<SessionId, u64>,
    /// When each leg is next due, both ways.
    timers: BTreeSet<(Micros, Owner)>,
    armed: BTreeMap<Owner, Micros>,
    out: Vec<Output>,
}

impl Agent {
    /// The agent of the front of this number, which others reach at this address.
    pub fn new(listen: SocketAddr, number: u32, seed: u64) -> Self {
        Agent::with(listen, number, seed, Control::new(seed, true))
    }

    /// The same with an overload control of one's own, as for a comparison with none.
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

    /// Takes one input and appends what is to be done.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::Received(peer, message, at) => {
                if self.passes(peer, &message, at) {
                    self.layer(transaction::Input::Received(peer, message));
                }
            }
            Input::Lost(peer, refused) => {
                // The connection of an attempt has its leg's number.
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

    /// When [`Input::Tick`] is next needed.
    pub fn next_due(&self) -> Option<Micros> {
        self.layer.next_due().into_iter().chain(self.timers.first().map(|t| t.0)).min()
    }

    /// Notes when a leg is next due.
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

    /// Calls of callers, and legs at media servers, that are not over.
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
                // The failure went out; whether it was heard is the caller's loss.
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
                // At most one attempt of a session is out.
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
                _ => self.tell(core_io::Input::Released { id: ticket, ended: true }),
            },
            core_io::Output::SessionEnded(session, _) => {
                self.on_caller(session, caller::In::End, None);
                // Of a media server that is lost the session controller asks nothing more, but its process may run on and the call with it:
                // unlike a player's session it does not end by itself when its caller has gone.
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

    /// What is due by now, on both sides.
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

/// How a front names itself to media servers (section 20.41).
fn user_agent(number: u32) -> String {
    format!("beechloft-{number}")
}

/// The number of the front that sent a request, if it says so.
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
