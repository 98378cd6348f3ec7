//! The back-to-back user agent: callers' calls on one side, boxes' on the other, and the front's core in between.
//!
//! A caller's INVITE is an [`Ask`] of the core; each attempt that the core asks for is an INVITE to a box on a
//! connection of its own; a leg's end is a verdict, a release a BYE. Retransmissions stop at the transaction layer and
//! never reach the core. No I/O, clock or randomness but seeded.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use beechloft_core::api::{LoadReport, Micros, Outcome, ServerId, SessionId};
use beechloft_core::io::{
    self as core_io, Answer, Ask, AttemptId, BoxNews, BoxReply, Protocol, RequestId, Secret, Verdict,
};
use beechloft_core::release::Ticket;
use beechloft_whep::sdp::{self, Offer};
use rsip::{Header, headers::UntypedHeader};

use crate::admission;
use crate::callee::{self, BoxLeg};
use crate::caller::{self, CallerLeg, Why};
use crate::dialog::{Local, Mint};
use crate::message::{Message, Method, Request, Response};
use crate::transaction::layer::Peer;
use crate::transaction::{self, Key, Layer, Transport};

/// Calls at once; past that an INVITE is refused unseen.
pub const CALLS: usize = 100_000;
/// What begins the path of a call at a box, as the core knows it.
pub const RESOURCE: &str = "sip:";
/// The agent's own requests to the core are told from others' by this bit.
pub const OWN: u64 = 1 << 63;

/// What happens to the agent.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A message came.
    Received(Peer, Box<Message>),
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
    /// Tell the core.
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
    release: Option<Ticket>,
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
    calls: BTreeMap<SessionId, Call>,
    /// Callers' calls by `Call-ID` and tag.
    by_caller: BTreeMap<(String, String), SessionId>,
    by_request: BTreeMap<RequestId, SessionId>,
    by_invite: BTreeMap<Key, SessionId>,
    placed: BTreeMap<u64, Placed>,
    /// Legs at boxes by their `Call-ID`.
    by_box: BTreeMap<String, u64>,
    /// Legs at boxes by the transactions that they wait for.
    by_key: BTreeMap<Key, u64>,
    /// Attempts that are out.
    trying: BTreeMap<SessionId, u64>,
    /// Calls that stand at boxes.
    standing: BTreeMap<SessionId, u64>,
    /// When each leg is next due, both ways.
    timers: BTreeSet<(Micros, Owner)>,
    armed: BTreeMap<Owner, Micros>,
    out: Vec<Output>,
}

impl Agent {
    /// The agent of the front of this number, which others reach at this address.
    pub fn new(listen: SocketAddr, number: u32, seed: u64) -> Self {
        Agent {
            layer: Layer::default(),
            mint: Mint::new(seed),
            sent_by: listen.to_string(),
            number,
            now: Micros(0),
            next: 0,
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
            Input::Received(peer, message) => self.layer(transaction::Input::Received(peer, message)),
            Input::Lost(peer, refused) => {
                // The connection of an attempt has its leg's number.
                if let Some(placed) = self.placed.get_mut(&(peer.conn & !OWN)).filter(|p| p.peer == peer) {
                    placed.refused = refused;
                }
                self.layer(transaction::Input::Lost(peer));
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

    /// Calls of callers, and legs at boxes, that are not over.
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

    fn respond(&mut self, key: &Key, response: Response) {
        self.layer(transaction::Input::Respond(key.clone(), Box::new(response)));
    }

    // Callers.

    fn request(&mut self, key: Key, peer: Peer, request: Request) {
        let by_box = self.by_box.get(&request.names.call).copied();
        if let Some(leg) = by_box {
            return self.box_asks(&key, leg, &request);
        }
        if request.names.to_tag.is_some() {
            let name = (request.names.call.clone(), request.names.from_tag.clone());
            return match self.by_caller.get(&name).copied() {
                Some(session) => {
                    self.on_caller(session, caller::In::Request(&request), Some((&key, &request)))
                }
                None => self.respond(&key, request.answer(481, "")),
            };
        }
        match request.method() {
            Method::Invite => self.invite(key, peer, request),
            Method::Options => {
                let mut ok = request.answer(200, &self.mint.name());
                ok.raw.headers.push(Header::Allow(admission::ALLOW.into()));
                ok.raw.headers.push(Header::Accept("application/sdp".into()));
                self.respond(&key, ok);
            }
            Method::Bye | Method::Update => self.respond(&key, request.answer(481, "")),
            _ => {
                let mut no = request.answer(405, &self.mint.name());
                no.raw.headers.push(Header::Allow(admission::ALLOW.into()));
                self.respond(&key, no);
            }
        }
    }

    fn invite(&mut self, key: Key, peer: Peer, request: Request) {
        let tag = self.mint.name();
        let name = (request.names.call.clone(), request.names.from_tag.clone());
        let merged = self.by_caller.contains_key(&name);
        if let Some(fault) = admission::fault(&request, &tag, self.calls.len() >= CALLS, merged) {
            return self.respond(&key, fault);
        }
        let offer = match Offer::parse_plain(&request.raw.body) {
            Ok(offer) => offer,
            Err(e) => {
                return self.respond(&key, request.answer(if e.status() == 400 { 400 } else { 488 }, &tag));
            }
        };
        let Some(title) = request.raw.uri.user().map(str::to_owned).filter(|t| !t.is_empty()) else {
            return self.respond(&key, request.answer(404, &tag));
        };
        let at = self.local(peer.transport);
        let Ok(leg) = CallerLeg::new(request.clone(), at, &mut self.mint) else {
            return self.respond(&key, request.answer(400, &tag));
        };
        if let Some(fault) = leg.session_fault() {
            return self.respond(&key, fault);
        }
        self.respond(&key, request.answer(100, ""));
        self.next += 1;
        let (number, secret) = (RequestId(OWN | self.next), Secret(self.next));
        let session = SessionId(u64::from_str_radix(&self.mint.name(), 16).unwrap_or(self.next));
        let max_rate_kb = offer.max_rate_kb;
        self.by_caller.insert(name.clone(), session);
        self.by_request.insert(number, session);
        self.by_invite.insert(key.clone(), session);
        let call = Call { request: number, secret, leg, peer, key, name, title: title.clone(), offer };
        self.calls.insert(session, call);
        let ask = Ask {
            request: number,
            session,
            secret,
            title,
            protocol: Protocol::Sip,
            max_rate_kb,
            repeat: None,
        };
        self.tell(core_io::Input::Ask(ask));
    }

    fn local(&self, transport: Transport) -> Local {
        let transport = if transport == Transport::Udp { "UDP" } else { "TCP" };
        Local { transport, sent_by: self.sent_by.clone() }
    }

    fn cancelled(&mut self, key: &Key) {
        if let Some(session) = self.by_invite.get(key).copied() {
            self.on_caller(session, caller::In::Cancel, None);
        }
    }

    fn acknowledged(&mut self, ack: &Request) {
        let name = (ack.names.call.clone(), ack.names.from_tag.clone());
        if let Some(session) = self.by_caller.get(&name).copied() {
            self.on_caller(session, caller::In::Ack(ack), None);
        }
    }

    /// Hands something to a caller's leg and carries out what it wants.
    fn on_caller(&mut self, session: SessionId, input: caller::In<'_>, asked: Option<(&Key, &Request)>) {
        let Some(call) = self.calls.get_mut(&session) else { return };
        let mut done = Vec::new();
        call.leg.handle(self.now, input, &mut self.mint, &mut done);
        let (key, peer, secret) = (call.key.clone(), call.peer, call.secret);
        for output in done {
            match output {
                caller::Out::AnswerInvite(response) => self.respond(&key, *response),
                caller::Out::Answer(response) => {
                    if let Some((key, _)) = asked {
                        self.respond(key, *response);
                    }
                }
                caller::Out::Send(request) => self.layer(transaction::Input::Send(peer, request)),
                caller::Out::Cancelled => self.tell(core_io::Input::HungUp(session)),
                caller::Out::Confirmed => {}
                caller::Out::Over(Why::NoAck) => self.tell(core_io::Input::AnswerLost(session)),
                caller::Out::Over(Why::Bye | Why::Expired) => {
                    self.next += 1;
                    let request = RequestId(OWN | self.next);
                    self.tell(core_io::Input::Delete { request, session, secret });
                }
            }
        }
        self.drop_if_over(session);
    }

    fn drop_if_over(&mut self, session: SessionId) {
        if self.calls.get(&session).is_some_and(|c| c.leg.is_over())
            && let Some(call) = self.calls.remove(&session)
        {
            self.by_request.remove(&call.request);
            self.by_invite.remove(&call.key);
            self.by_caller.remove(&call.name);
        }
        self.arm(Owner::Caller(session));
    }

    // The core.

    fn core(&mut self, output: core_io::Output) {
        match output {
            core_io::Output::SetUp { attempt, request, server, url, rate_kb, until, .. }
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
            core_io::Output::Release { ticket, resource, .. } => match leg_of(&resource) {
                Some(leg) if self.placed.contains_key(&leg) => {
                    if let Some(placed) = self.placed.get_mut(&leg) {
                        placed.release = Some(ticket);
                    }
                    self.on_box(leg, callee::In::End);
                }
                _ => self.tell(core_io::Input::Released(ticket, true)),
            },
            core_io::Output::Over(session, _) => {
                self.on_caller(session, caller::In::End, None);
                // Of a box that is lost the core asks nothing more, but its process may run on and the call with it:
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
            Answer::Refused(advice) => {
                caller::In::Refuse(503, advice.map(|a| a.0.div_ceil(1_000_000).max(1)))
            }
            Answer::Failed => caller::In::Refuse(504, None),
            Answer::Declined(status) => caller::In::Refuse(*status, None),
            Answer::NoTitle => caller::In::Refuse(404, None),
            _ => caller::In::Refuse(500, None),
        };
        self.on_caller(session, input, None);
    }

    // Boxes.

    fn set_up(&mut self, attempt: AttemptId, server: ServerId, url: &str, rate_kb: f64, until: Micros) {
        let session = attempt.session;
        let offer = self.calls.get(&session).map(|c| c.offer.clone());
        let invite = self.calls.get(&session).map(|c| (c.title.clone(), c.offer.limited(rate_kb)));
        let address = url.parse::<SocketAddr>().ok();
        let built = invite.zip(address).and_then(|((title, body), address)| {
            let (call, tag, branch) = (self.mint.name(), self.mint.name(), self.mint.branch());
            let text = format!(
                "INVITE sip:{title}@{address} SIP/2.0\r\nVia: SIP/2.0/TCP {at};branch={branch}\r\nMax-Forwards: 69\r\n\
                 From: <sip:front@{at}>;tag={tag}\r\nTo: <sip:{title}@{address}>\r\nCall-ID: {call}\r\nCSeq: 1 INVITE\r\n\
                 Contact: <sip:front@{at};transport=tcp>\r\nUser-Agent: {agent}\r\nContent-Type: application/sdp\r\n\
                 Content-Length: {length}\r\n\r\n{body}",
                at = self.sent_by,
                agent = user_agent(self.number),
                length = body.len(),
            );
            match Message::parse(text.as_bytes()) {
                Ok(Message::Request(request)) => Some((request, address)),
                _ => None,
            }
        });
        let Some(((request, address), offer)) = built.zip(offer) else {
            let verdict = Verdict::Ended(Outcome::Moot);
            let load = LoadReport::default();
            return self.tell(core_io::Input::Verdict { attempt, server, verdict, sent: self.now, load });
        };
        self.next += 1;
        let id = self.next;
        let peer = Peer { address, transport: Transport::Tcp, conn: OWN | id };
        self.by_box.insert(request.names.call.clone(), id);
        let leg = BoxLeg::new(request.clone(), self.local(Transport::Tcp));
        let (sent, until) = (self.now, Some(until));
        let placed = Placed {
            leg,
            peer,
            server,
            session,
            attempt,
            sent,
            until,
            refused: false,
            release: None,
            offer,
            keys: Vec::new(),
        };
        self.placed.insert(id, placed);
        self.trying.insert(session, id);
        self.name(id, &request);
        self.arm(Owner::Box(id));
        self.layer(transaction::Input::Send(peer, Box::new(request)));
    }

    fn leg_of_call(&self, call: &str) -> Option<u64> {
        self.by_box.get(call).copied()
    }

    fn response(&mut self, key: &Key, response: &Response) {
        let Some(leg) = self.leg_of_call(&response.names.call) else { return };
        debug_assert_eq!(key.side(), transaction::Side::Client);
        match response.method {
            Method::Invite => self.on_box(leg, callee::In::Response(response)),
            Method::Bye if response.is_final() => self.on_box(leg, callee::In::ByeDone),
            _ => {}
        }
    }

    fn stray(&mut self, response: &Response) {
        if let Some(leg) = self.leg_of_call(&response.names.call) {
            self.on_box(leg, callee::In::Response(response));
        }
    }

    fn timed_out(&mut self, key: &Key) {
        let Some(leg) = self.by_key.get(key).copied() else { return };
        let Some(placed) = self.placed.get(&leg) else { return };
        if placed.keys.first() == Some(key) {
            self.on_box(leg, callee::In::Lost);
        } else if placed.leg.bye_key().as_ref() == Some(key) {
            // A BYE that nobody answered: its other side is gone.
            self.on_box(leg, callee::In::ByeDone);
        }
    }

    /// A request of a box within its call.
    fn box_asks(&mut self, key: &Key, leg: u64, request: &Request) {
        let Some(placed) = self.placed.get_mut(&leg) else { return };
        let taken = placed.leg.dialog().map_or(Err(481), |d| d.takes(request));
        let status = match (taken, request.method()) {
            (Err(status), _) => status,
            (Ok(()), Method::Bye | Method::Options) => 200,
            (Ok(()), Method::Invite | Method::Update) => 488,
            (Ok(()), _) => 405,
        };
        let answer = request.answer(status, "");
        self.respond(key, answer);
        if taken.is_ok() && request.method() == Method::Bye {
            self.on_box(leg, callee::In::Bye);
        }
    }

    /// A rung is changed by an UPDATE with the caller's offer limited to the rung's rate (RFC 3311, RFC 3890).
    fn set_rung(&mut self, resource: &str, rate_kb: f64) {
        let Some(placed) = leg_of(resource).and_then(|leg| self.placed.get_mut(&leg)) else { return };
        let (at, branch) = (Local { transport: "TCP", sent_by: self.sent_by.clone() }, self.mint.branch());
        let body = placed.offer.limited(rate_kb);
        let update = placed.leg.dialog().and_then(|d| d.request(Method::Update, &at, &branch, Some(&body)));
        let peer = placed.peer;
        if let Some(update) = update {
            self.layer(transaction::Input::Send(peer, Box::new(update)));
        }
    }

    /// Hands something to a leg at a box and carries out what it wants.
    fn on_box(&mut self, leg: u64, input: callee::In<'_>) {
        let Some(placed) = self.placed.get_mut(&leg) else { return };
        let lost = matches!(input, callee::In::Lost);
        let mut done = Vec::new();
        placed.leg.handle(self.now, input, &mut self.mint, &mut done);
        let (peer, session, server, attempt) = (placed.peer, placed.session, placed.server, placed.attempt);
        let (sent, refused) = (placed.sent, placed.refused);
        for output in done {
            match output {
                callee::Out::Send(request) => {
                    self.name(leg, &request);
                    self.layer(transaction::Input::Send(peer, request));
                }
                callee::Out::Ack(request) => {
                    self.out.push(Output::Transmit(peer, Box::new(Message::Request(*request))));
                }
                callee::Out::Rings(status) if status > 100 => self.on_caller(session, caller::In::Ring, None),
                callee::Out::Rings(_) => {}
                callee::Out::Up(body) => {
                    self.standing.insert(session, leg);
                    let verdict = accepted(leg, body);
                    self.verdict(leg, attempt, server, verdict, sent);
                }
                callee::Out::Over(status) => {
                    let outcome = match status {
                        Some(status) => refusal(status),
                        None if refused => Verdict::Ended(Outcome::ConnectFailed),
                        None if lost => Verdict::Ended(Outcome::Reset),
                        None => Verdict::Ended(Outcome::Timeout),
                    };
                    self.verdict(leg, attempt, server, outcome, sent);
                }
                callee::Out::Close => {
                    self.out.push(Output::Close(peer));
                    self.layer(transaction::Input::Lost(peer));
                }
                callee::Out::HungUp => {
                    let resource = resource_of(leg);
                    self.tell(core_io::Input::Box(server, BoxNews::Over { resource }));
                }
                callee::Out::Gone => self.gone(leg),
            }
        }
        self.arm(Owner::Box(leg));
    }

    fn verdict(&mut self, leg: u64, attempt: AttemptId, server: ServerId, verdict: Verdict, sent: Micros) {
        if let Some(placed) = self.placed.get_mut(&leg) {
            placed.until = None;
        }
        self.trying.remove(&attempt.session);
        self.tell(core_io::Input::Verdict { attempt, server, verdict, sent, load: LoadReport::default() });
    }

    /// Notes a transaction that a leg waits for.
    fn name(&mut self, leg: u64, request: &Request) {
        let key = Layer::key_of(request);
        if let Some(placed) = self.placed.get_mut(&leg) {
            placed.keys.push(key.clone());
            self.by_key.insert(key, leg);
        }
    }

    fn gone(&mut self, leg: u64) {
        let Some(placed) = self.placed.remove(&leg) else { return };
        self.by_box.remove(&placed.leg.invite().names.call);
        for key in &placed.keys {
            self.by_key.remove(key);
        }
        if self.standing.get(&placed.session) == Some(&leg) {
            self.standing.remove(&placed.session);
        }
        self.out.push(Output::Close(placed.peer));
        if let Some(ticket) = placed.release {
            self.tell(core_io::Input::Released(ticket, true));
        }
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

/// How a front names itself to boxes (section 20.41).
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

/// What a box's answer to an INVITE comes to.
fn accepted(leg: u64, body: Vec<u8>) -> Verdict {
    let resource = resource_of(leg);
    if sdp::check_answer(&body).is_err() {
        return Verdict::Undone { resource, outcome: Outcome::Error };
    }
    let reply = BoxReply { sdp: body, layers: Some(resource.clone()), ..BoxReply::default() };
    Verdict::Accepted { resource, reply: Arc::new(reply) }
}

/// What a box's final status means: full, the caller's own fault, or an error.
fn refusal(status: u16) -> Verdict {
    match status {
        486 | 503 | 600 => Verdict::Ended(Outcome::Full),
        400 | 401 | 403 | 407 | 415 | 488 => Verdict::Declined(status),
        408 => Verdict::Ended(Outcome::Timeout),
        _ => Verdict::Ended(Outcome::Error),
    }
}
