//! The agent's inbound side: callers' requests are validated and admitted, and the outputs of their legs carried out.

use beechloft_session::api::SessionId;
use beechloft_session::io::{self as core_io, Protocol, RequestId, Secret, SessionRequest};
use beechloft_whep::sdp::Offer;
use rsip::Header;

use super::{Agent, CALLS, Call, OWN, Owner};
use crate::admission;
use crate::caller::{self, CallerLeg, Why};
use crate::dialog::Local;
use crate::message::{Method, Request};
use crate::transaction::layer::Peer;
use crate::transaction::{self, Key, Transport};

impl Agent {
    pub(super) fn request(&mut self, key: Key, peer: Peer, request: Request) {
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

    pub(super) fn invite(&mut self, key: Key, peer: Peer, request: Request) {
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
        let arrived = Some(self.arrived);
        let call =
            Call { request: number, secret, leg, peer, key, name, title: title.clone(), offer, arrived };
        self.calls.insert(session, call);
        let ask = SessionRequest {
            request: number,
            session,
            secret,
            title,
            protocol: Protocol::Sip,
            max_rate_kb,
            idempotency_key: None,
        };
        self.tell(core_io::Input::Request(ask));
    }

    pub(super) fn local(&self, transport: Transport) -> Local {
        let transport = if transport == Transport::Udp { "UDP" } else { "TCP" };
        Local { transport, sent_by: self.sent_by.clone() }
    }

    pub(super) fn cancelled(&mut self, key: &Key) {
        if let Some(session) = self.by_invite.get(key).copied() {
            self.on_caller(session, caller::In::Cancel, None);
        }
    }

    pub(super) fn acknowledged(&mut self, ack: &Request) {
        let name = (ack.names.call.clone(), ack.names.from_tag.clone());
        if let Some(session) = self.by_caller.get(&name).copied() {
            self.on_caller(session, caller::In::Ack(ack), None);
        }
    }

    /// Passes an input to a caller's leg and carries out its outputs.
    pub(super) fn on_caller(
        &mut self,
        session: SessionId,
        input: caller::In<'_>,
        asked: Option<(&Key, &Request)>,
    ) {
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
                caller::Out::Cancelled => self.tell(core_io::Input::ClientDisconnected(session)),
                caller::Out::Confirmed => {}
                caller::Out::Over(Why::NoAck) => self.tell(core_io::Input::AnswerUndelivered(session)),
                caller::Out::Over(Why::Bye | Why::Expired) => {
                    self.next += 1;
                    let request = RequestId(OWN | self.next);
                    self.tell(core_io::Input::Delete { request, session, secret });
                }
            }
        }
        self.drop_if_over(session);
    }

    pub(super) fn drop_if_over(&mut self, session: SessionId) {
        if self.calls.get(&session).is_some_and(|c| c.leg.is_over())
            && let Some(call) = self.calls.remove(&session)
        {
            self.by_request.remove(&call.request);
            self.by_invite.remove(&call.key);
            self.by_caller.remove(&call.name);
        }
        self.arm(Owner::Caller(session));
    }
}
