//! The agent's inbound side: callers' requests are validated and admitted, and the outputs of their legs carried out.

use beechloft_session::api::SessionId;
use beechloft_session::io::{self as controller_io, Protocol, RequestId, Secret, SessionRequest};
use beechloft_whep::sdp::Offer;
use rsip::Header;

use super::{AGENT_ID_BIT, Agent, InboundCall, MAX_CALLS, TimerOwner};
use crate::admission;
use crate::caller::{self, CallerLeg, EndReason};
use crate::dialog::LocalEndpoint;
use crate::message::{Method, Request};
use crate::transaction::layer::Peer;
use crate::transaction::{self, Key, Transport};

impl Agent {
    pub(super) fn request(&mut self, key: Key, peer: Peer, request: Request) {
        let by_outbound_call_id = self.by_outbound_call_id.get(&request.ids.call_id).copied();
        if let Some(leg) = by_outbound_call_id {
            return self.outbound_request(&key, leg, &request);
        }
        if request.ids.to_tag.is_some() {
            let dialog_id = (request.ids.call_id.clone(), request.ids.from_tag.clone());
            return match self.by_caller.get(&dialog_id).copied() {
                Some(session) => {
                    self.on_inbound(session, caller::Input::Request(&request), Some((&key, &request)))
                }
                None => self.respond(&key, request.response(481, "")),
            };
        }
        match request.method() {
            Method::Invite => self.invite(key, peer, request),
            Method::Options => {
                let mut ok = request.response(200, &self.id_generator.tag());
                ok.raw.headers.push(Header::Allow(admission::ALLOW.into()));
                ok.raw.headers.push(Header::Accept("application/sdp".into()));
                self.respond(&key, ok);
            }
            Method::Bye | Method::Update => self.respond(&key, request.response(481, "")),
            _ => {
                let mut rejection = request.response(405, &self.id_generator.tag());
                rejection.raw.headers.push(Header::Allow(admission::ALLOW.into()));
                self.respond(&key, rejection);
            }
        }
    }

    pub(super) fn invite(&mut self, key: Key, peer: Peer, request: Request) {
        let tag = self.id_generator.tag();
        let dialog_id = (request.ids.call_id.clone(), request.ids.from_tag.clone());
        let merged = self.by_caller.contains_key(&dialog_id);
        if let Some(rejection) = admission::rejection(&request, &tag, self.inbound.len() >= MAX_CALLS, merged)
        {
            return self.respond(&key, rejection);
        }
        let offer = match Offer::parse_plain(&request.raw.body) {
            Ok(offer) => offer,
            Err(e) => {
                return self.respond(&key, request.response(if e.status() == 400 { 400 } else { 488 }, &tag));
            }
        };
        let Some(title) = request.raw.uri.user().map(str::to_owned).filter(|t| !t.is_empty()) else {
            return self.respond(&key, request.response(404, &tag));
        };
        let local = self.local(peer.transport);
        let Ok(leg) = CallerLeg::new(request.clone(), local, &mut self.id_generator) else {
            return self.respond(&key, request.response(400, &tag));
        };
        if let Some(rejection) = leg.session_interval_error() {
            return self.respond(&key, rejection);
        }
        self.respond(&key, request.response(100, ""));
        self.last_id += 1;
        let (request_id, secret) = (RequestId(AGENT_ID_BIT | self.last_id), Secret(self.last_id));
        let session = SessionId(u64::from_str_radix(&self.id_generator.tag(), 16).unwrap_or(self.last_id));
        let max_rate_kb = offer.max_rate_kb;
        self.by_caller.insert(dialog_id.clone(), session);
        self.by_request.insert(request_id, session);
        self.by_invite.insert(key.clone(), session);
        self.caller_streams.add(peer, session);
        let arrived = Some(self.arrived);
        let call = InboundCall {
            request: request_id,
            secret,
            leg,
            peer,
            key,
            dialog_id,
            title: title.clone(),
            offer,
            arrived,
        };
        self.inbound.insert(session, call);
        let session_request = SessionRequest {
            request: request_id,
            session,
            secret,
            title,
            protocol: Protocol::Sip,
            max_rate_kb,
            idempotency_key: None,
        };
        self.send_to_controller(controller_io::Input::Request(session_request));
    }

    pub(super) fn local(&self, transport: Transport) -> LocalEndpoint {
        let transport = if transport == Transport::Udp { "UDP" } else { "TCP" };
        LocalEndpoint { transport, sent_by: self.sent_by.clone() }
    }

    pub(super) fn cancelled(&mut self, key: &Key) {
        if let Some(session) = self.by_invite.get(key).copied() {
            self.on_inbound(session, caller::Input::Cancel, None);
        }
    }

    pub(super) fn acknowledged(&mut self, ack: &Request) {
        let dialog_id = (ack.ids.call_id.clone(), ack.ids.from_tag.clone());
        if let Some(session) = self.by_caller.get(&dialog_id).copied() {
            self.on_inbound(session, caller::Input::Ack(ack), None);
        }
    }

    /// Passes an input to a caller's leg and carries out its outputs.
    pub(super) fn on_inbound(
        &mut self,
        session: SessionId,
        input: caller::Input<'_>,
        in_reply_to: Option<(&Key, &Request)>,
    ) {
        let Some(call) = self.inbound.get_mut(&session) else { return };
        let mut outputs = Vec::new();
        call.leg.handle(self.now, input, &mut self.id_generator, &mut outputs);
        let (key, peer, secret) = (call.key.clone(), call.peer, call.secret);
        for output in outputs {
            match output {
                caller::Output::RespondInvite(response) => self.respond(&key, *response),
                caller::Output::Respond(response) => {
                    if let Some((request_key, _)) = in_reply_to {
                        self.respond(request_key, *response);
                    }
                }
                caller::Output::Send(request) => self.layer(transaction::Input::Send(peer, request)),
                caller::Output::Cancelled => {
                    self.send_to_controller(controller_io::Input::ClientDisconnected(session))
                }
                caller::Output::Confirmed => {}
                caller::Output::Ended(EndReason::NoAck) => {
                    self.send_to_controller(controller_io::Input::AnswerUndelivered(session))
                }
                caller::Output::Ended(EndReason::Bye | EndReason::Expired) => {
                    self.last_id += 1;
                    let request = RequestId(AGENT_ID_BIT | self.last_id);
                    self.send_to_controller(controller_io::Input::Delete { request, session, secret });
                }
            }
        }
        self.remove_if_ended(session);
    }

    pub(super) fn remove_if_ended(&mut self, session: SessionId) {
        if self.inbound.get(&session).is_some_and(|c| c.leg.is_ended())
            && let Some(call) = self.inbound.remove(&session)
        {
            self.by_request.remove(&call.request);
            self.by_invite.remove(&call.key);
            self.by_caller.remove(&call.dialog_id);
            self.caller_streams.remove(call.peer, session);
        }
        self.update_timer(TimerOwner::Inbound(session));
    }
}
