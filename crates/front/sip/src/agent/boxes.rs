//! The agent towards media servers: attempts, calls that stand there, their rungs and their ends.

use std::net::SocketAddr;
use std::sync::Arc;

use beechloft_session::api::{LoadReport, Micros, Outcome, ServerId};
use beechloft_session::io::{self as core_io, AttemptId, AttemptResult, MediaServerEvent, MediaServerReply};
use beechloft_whep::sdp;

use super::{Agent, OWN, Output, Owner, Placed, leg_of, resource_of, user_agent};
use crate::callee::{self, BoxLeg};
use crate::caller;
use crate::message::{Message, Method, Request, Response};
use crate::standing::timer_fields;
use crate::transaction::layer::Peer;
use crate::transaction::{self, Key, Layer, Transport};

impl Agent {
    pub(super) fn set_up(
        &mut self,
        attempt: AttemptId,
        server: ServerId,
        url: &str,
        rate_kb: f64,
        until: Micros,
    ) {
        let session = attempt.session;
        let offer = self.calls.get(&session).map(|c| c.offer.clone());
        let invite = self.calls.get(&session).map(|c| (c.title.clone(), c.offer.limited(rate_kb)));
        let address = url.parse::<SocketAddr>().ok();
        let built = invite.zip(address).and_then(|((title, body), address)| {
            let (call, tag, branch) = (self.mint.call(&self.sent_by), self.mint.name(), self.mint.branch());
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
                Ok(Message::Request(mut request)) => {
                    for field in timer_fields() {
                        request.raw.headers.push(field);
                    }
                    Some((request, address))
                }
                _ => None,
            }
        });
        let Some(((request, address), offer)) = built.zip(offer) else {
            let verdict = AttemptResult::Ended(Outcome::NotSent);
            let load = LoadReport::default();
            return self.tell(core_io::Input::AttemptEnded {
                attempt,
                server,
                result: verdict,
                sent_at: self.now,
                load,
            });
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

    pub(super) fn leg_of_call(&self, call: &str) -> Option<u64> {
        self.by_box.get(call).copied()
    }

    pub(super) fn response(&mut self, key: &Key, response: &Response) {
        let Some(leg) = self.leg_of_call(&response.names.call) else { return };
        debug_assert_eq!(key.side(), transaction::Side::Client);
        match response.method {
            Method::Invite => self.on_box(leg, callee::In::Response(response)),
            Method::Bye if response.is_final() => self.on_box(leg, callee::In::ByeDone),
            Method::Update if response.is_final() => {
                self.on_box(leg, callee::In::Updated(key, Some(response)));
                self.forget(leg, key);
            }
            _ => {}
        }
    }

    pub(super) fn stray(&mut self, response: &Response) {
        if let Some(leg) = self.leg_of_call(&response.names.call) {
            self.on_box(leg, callee::In::Response(response));
        }
    }

    pub(super) fn timed_out(&mut self, key: &Key) {
        let Some(leg) = self.by_key.get(key).copied() else { return };
        let Some(placed) = self.placed.get(&leg) else { return };
        if placed.keys.first() == Some(key) {
            self.on_box(leg, callee::In::Lost);
        } else if placed.leg.bye_key().as_ref() == Some(key) {
            // A BYE that nobody answered: its other side is gone.
            self.on_box(leg, callee::In::ByeDone);
        } else if placed.leg.update_key() == Some(key) {
            self.on_box(leg, callee::In::Updated(key, None));
            self.forget(leg, key);
        }
    }

    /// A transaction that a leg waited for is over, and the leg goes on.
    fn forget(&mut self, leg: u64, key: &Key) {
        self.by_key.remove(key);
        if let Some(placed) = self.placed.get_mut(&leg) {
            placed.keys.retain(|k| k != key);
        }
    }

    /// A request of a media server within its call.
    pub(super) fn box_asks(&mut self, key: &Key, leg: u64, request: &Request) {
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
    pub(super) fn set_rung(&mut self, resource: &str, rate_kb: f64) {
        let Some(leg) = leg_of(resource) else { return };
        let Some(placed) = self.placed.get(&leg) else { return };
        let body = placed.offer.limited(rate_kb);
        self.on_box(leg, callee::In::Change(&body));
    }

    /// Hands something to a leg at a media server and carries out what it wants.
    pub(super) fn on_box(&mut self, leg: u64, input: callee::In<'_>) {
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
                        None if refused => AttemptResult::Ended(Outcome::ConnectFailed),
                        None if lost => AttemptResult::Ended(Outcome::Reset),
                        None => AttemptResult::Ended(Outcome::Timeout),
                    };
                    self.verdict(leg, attempt, server, outcome, sent);
                }
                callee::Out::Close => {
                    self.out.push(Output::Close(peer));
                    self.layer(transaction::Input::Lost(peer));
                }
                callee::Out::HungUp => {
                    let resource = resource_of(leg);
                    self.tell(core_io::Input::MediaServer(
                        server,
                        MediaServerEvent::SessionEnded { resource },
                    ));
                }
                callee::Out::Gone => self.gone(leg),
            }
        }
        self.arm(Owner::Box(leg));
    }

    pub(super) fn verdict(
        &mut self,
        leg: u64,
        attempt: AttemptId,
        server: ServerId,
        verdict: AttemptResult,
        sent: Micros,
    ) {
        if let Some(placed) = self.placed.get_mut(&leg) {
            placed.until = None;
        }
        self.trying.remove(&attempt.session);
        self.tell(core_io::Input::AttemptEnded {
            attempt,
            server,
            result: verdict,
            sent_at: sent,
            load: LoadReport::default(),
        });
    }

    /// Notes a transaction that a leg waits for.
    pub(super) fn name(&mut self, leg: u64, request: &Request) {
        let key = Layer::key_of(request);
        if let Some(placed) = self.placed.get_mut(&leg) {
            placed.keys.push(key.clone());
            self.by_key.insert(key, leg);
        }
    }

    pub(super) fn gone(&mut self, leg: u64) {
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
            self.tell(core_io::Input::Released { id: ticket, ended: true });
        }
    }
}

/// What a media server's answer to an INVITE comes to.
fn accepted(leg: u64, body: Vec<u8>) -> AttemptResult {
    let resource = resource_of(leg);
    if sdp::check_answer(&body).is_err() {
        return AttemptResult::Unusable { resource, outcome: Outcome::Error };
    }
    let reply = MediaServerReply { sdp: body, layers: Some(resource.clone()), ..MediaServerReply::default() };
    AttemptResult::Accepted { resource, reply: Arc::new(reply) }
}

/// What a media server's final status means: full, the caller's own fault, or an error.
fn refusal(status: u16) -> AttemptResult {
    match status {
        486 | 503 | 600 => AttemptResult::Ended(Outcome::Overloaded),
        400 | 401 | 403 | 407 | 415 | 488 => AttemptResult::Declined(status),
        408 => AttemptResult::Ended(Outcome::Timeout),
        _ => AttemptResult::Ended(Outcome::Error),
    }
}
