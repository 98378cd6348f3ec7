//! The agent's outbound side: attempts and calls at media servers, their rungs and their ends.

use std::net::SocketAddr;
use std::sync::Arc;

use beechloft_session::api::{LoadReport, Micros, Outcome, ServerId};
use beechloft_session::io::{
    self as controller_io, AttemptId, AttemptResult, MediaServerEvent, MediaServerReply,
};
use beechloft_whep::sdp;

use super::{AGENT_ID_BIT, Agent, OutboundCall, Output, TimerOwner, leg_of, resource_of, user_agent};
use crate::callee::{self, CalleeLeg};
use crate::caller;
use crate::established::timer_fields;
use crate::message::{Message, Method, Request, Response};
use crate::transaction::layer::Peer;
use crate::transaction::{self, Key, Layer, Transport};

impl Agent {
    pub(super) fn set_up(
        &mut self,
        attempt: AttemptId,
        server: ServerId,
        url: &str,
        rate_kb: f64,
        deadline: Micros,
    ) {
        let session = attempt.session;
        let offer = self.inbound.get(&session).map(|c| c.offer.clone());
        let invite = self.inbound.get(&session).map(|c| (c.title.clone(), c.offer.with_rate_limit(rate_kb)));
        let parsed_address = url.parse::<SocketAddr>().ok();
        let built = invite.zip(parsed_address).and_then(|((title, body), address)| {
            let call_id = self.id_generator.call_id(&self.sent_by);
            let tag = self.id_generator.tag();
            let branch = self.id_generator.branch();
            let text = format!(
                "INVITE sip:{title}@{address} SIP/2.0\r\nVia: SIP/2.0/TCP {at};branch={branch}\r\nMax-Forwards: 69\r\n\
                 From: <sip:front@{at}>;tag={tag}\r\nTo: <sip:{title}@{address}>\r\nCall-ID: {call_id}\r\nCSeq: 1 INVITE\r\n\
                 Contact: <sip:front@{at};transport=tcp>\r\nUser-Agent: {agent}\r\nContent-Type: application/sdp\r\n\
                 Content-Length: {length}\r\n\r\n{body}",
                at = self.sent_by,
                agent = user_agent(self.slot),
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
        let Some(((request, server_address), offer)) = built.zip(offer) else {
            let result = AttemptResult::Ended(Outcome::NotSent);
            let load = LoadReport::default();
            return self.send_to_controller(controller_io::Input::AttemptEnded {
                attempt,
                server,
                result,
                sent_at: self.now,
                load,
            });
        };
        self.last_id += 1;
        let id = self.last_id;
        let peer = Peer { address: server_address, transport: Transport::Tcp, conn: AGENT_ID_BIT | id };
        self.by_outbound_call_id.insert(request.ids.call_id.clone(), id);
        let leg = CalleeLeg::new(request.clone(), self.local(Transport::Tcp));
        let (sent_at, deadline) = (self.now, Some(deadline));
        let call = OutboundCall {
            leg,
            peer,
            server,
            session,
            attempt,
            sent_at,
            deadline,
            connection_refused: false,
            release: None,
            offer,
            keys: Vec::new(),
        };
        self.outbound.insert(id, call);
        self.attempts.insert(session, id);
        self.register_transaction(id, &request);
        self.update_timer(TimerOwner::Outbound(id));
        self.layer(transaction::Input::Send(peer, Box::new(request)));
    }

    pub(super) fn leg_of_call(&self, call: &str) -> Option<u64> {
        self.by_outbound_call_id.get(call).copied()
    }

    pub(super) fn response(&mut self, key: &Key, response: &Response) {
        let Some(leg) = self.leg_of_call(&response.ids.call_id) else { return };
        debug_assert_eq!(key.side(), transaction::Side::Client);
        match response.method {
            Method::Invite => self.on_outbound(leg, callee::Input::Response(response)),
            Method::Bye if response.is_final() => self.on_outbound(leg, callee::Input::ByeCompleted),
            Method::Update if response.is_final() => {
                self.on_outbound(leg, callee::Input::UpdateAnswered(key, Some(response)));
                self.remove_transaction(leg, key);
            }
            _ => {}
        }
    }

    pub(super) fn unmatched_success(&mut self, response: &Response) {
        if let Some(leg) = self.leg_of_call(&response.ids.call_id) {
            self.on_outbound(leg, callee::Input::Response(response));
        }
    }

    pub(super) fn timed_out(&mut self, key: &Key) {
        let Some(leg) = self.by_key.get(key).copied() else { return };
        let Some(call) = self.outbound.get(&leg) else { return };
        if call.keys.first() == Some(key) {
            self.on_outbound(leg, callee::Input::NoFinalResponse);
        } else if call.leg.bye_key().as_ref() == Some(key) {
            // The BYE has timed out, so the media server doesn't have the call any more.
            self.on_outbound(leg, callee::Input::ByeCompleted);
        } else if call.leg.update_key() == Some(key) {
            self.on_outbound(leg, callee::Input::UpdateAnswered(key, None));
            self.remove_transaction(leg, key);
        }
    }

    /// Removes a completed transaction of a leg that continues.
    fn remove_transaction(&mut self, leg: u64, key: &Key) {
        self.by_key.remove(key);
        if let Some(call) = self.outbound.get_mut(&leg) {
            call.keys.retain(|k| k != key);
        }
    }

    /// Responds to a request that a media server sent within its call.
    pub(super) fn outbound_request(&mut self, key: &Key, leg: u64, request: &Request) {
        let Some(call) = self.outbound.get_mut(&leg) else { return };
        let accepted = call.leg.dialog().map_or(Err(481), |d| d.accept_request(request));
        let status = match (accepted, request.method()) {
            (Err(status), _) => status,
            (Ok(()), Method::Bye | Method::Options) => 200,
            (Ok(()), Method::Invite | Method::Update) => 488,
            (Ok(()), _) => 405,
        };
        let response = request.response(status, "");
        self.respond(key, response);
        if accepted.is_ok() && request.method() == Method::Bye {
            self.on_outbound(leg, callee::Input::Bye);
        }
    }

    /// Changes the rung by an UPDATE with the caller's offer limited to the rung's rate (RFC 3311, RFC 3890).
    pub(super) fn set_rung(&mut self, resource: &str, rate_kb: f64) {
        let Some(leg) = leg_of(resource) else { return };
        let Some(call) = self.outbound.get(&leg) else { return };
        let body = call.offer.with_rate_limit(rate_kb);
        self.on_outbound(leg, callee::Input::ChangeOffer(&body));
    }

    /// Passes an input to a leg at a media server and carries out its outputs.
    pub(super) fn on_outbound(&mut self, leg: u64, input: callee::Input<'_>) {
        let Some(call) = self.outbound.get_mut(&leg) else { return };
        let lost = matches!(input, callee::Input::NoFinalResponse);
        let mut outputs = Vec::new();
        call.leg.handle(self.now, input, &mut self.id_generator, &mut outputs);
        let (peer, session, server, attempt) = (call.peer, call.session, call.server, call.attempt);
        let (sent_at, refused) = (call.sent_at, call.connection_refused);
        for output in outputs {
            match output {
                callee::Output::Send(request) => {
                    self.register_transaction(leg, &request);
                    self.layer(transaction::Input::Send(peer, request));
                }
                callee::Output::Ack(request) => {
                    self.outputs.push(Output::Transmit(peer, Box::new(Message::Request(*request))));
                }
                callee::Output::Provisional(status) if status > 100 => {
                    self.on_inbound(session, caller::Input::Ringing, None)
                }
                callee::Output::Provisional(_) => {}
                callee::Output::Established(body) => {
                    self.established.insert(session, leg);
                    let result = accepted(leg, body);
                    self.end_attempt(leg, attempt, server, result, sent_at);
                }
                callee::Output::AttemptEnded(status) => {
                    let outcome = match status {
                        Some(status) => rejected(status),
                        None if refused => AttemptResult::Ended(Outcome::ConnectFailed),
                        None if lost => AttemptResult::Ended(Outcome::Reset),
                        None => AttemptResult::Ended(Outcome::Timeout),
                    };
                    self.end_attempt(leg, attempt, server, outcome, sent_at);
                }
                callee::Output::CloseConnection => {
                    self.outputs.push(Output::Close(peer));
                    self.layer(transaction::Input::ConnectionLost(peer));
                }
                callee::Output::RemoteBye => {
                    let resource = resource_of(leg);
                    self.send_to_controller(controller_io::Input::MediaServer(
                        server,
                        MediaServerEvent::SessionEnded { resource },
                    ));
                }
                callee::Output::Terminated => self.remove_outbound(leg),
            }
        }
        self.update_timer(TimerOwner::Outbound(leg));
    }

    pub(super) fn end_attempt(
        &mut self,
        leg: u64,
        attempt: AttemptId,
        server: ServerId,
        result: AttemptResult,
        sent_at: Micros,
    ) {
        if let Some(call) = self.outbound.get_mut(&leg) {
            call.deadline = None;
        }
        self.attempts.remove(&attempt.session);
        self.send_to_controller(controller_io::Input::AttemptEnded {
            attempt,
            server,
            result,
            sent_at,
            load: LoadReport::default(),
        });
    }

    /// Registers an outstanding transaction of a leg.
    pub(super) fn register_transaction(&mut self, leg: u64, request: &Request) {
        let key = Layer::key_of(request);
        if let Some(call) = self.outbound.get_mut(&leg) {
            call.keys.push(key.clone());
            self.by_key.insert(key, leg);
        }
    }

    pub(super) fn remove_outbound(&mut self, leg: u64) {
        let Some(call) = self.outbound.remove(&leg) else { return };
        self.by_outbound_call_id.remove(&call.leg.invite().ids.call_id);
        for key in &call.keys {
            self.by_key.remove(key);
        }
        if self.established.get(&call.session) == Some(&leg) {
            self.established.remove(&call.session);
        }
        self.outputs.push(Output::Close(call.peer));
        if let Some(release) = call.release {
            self.send_to_controller(controller_io::Input::Released { id: release, ended: true });
        }
    }
}

/// Converts the answer in a media server's 2xx into the result of the attempt.
fn accepted(leg: u64, body: Vec<u8>) -> AttemptResult {
    let resource = resource_of(leg);
    if sdp::check_answer(&body).is_err() {
        return AttemptResult::Unusable { resource, outcome: Outcome::Error };
    }
    let reply = MediaServerReply { sdp: body, layers: Some(resource.clone()), ..MediaServerReply::default() };
    AttemptResult::Accepted { resource, reply: Arc::new(reply) }
}

/// Converts a media server's final status into the result of the attempt: overloaded, the caller's fault, or an error.
fn rejected(status: u16) -> AttemptResult {
    match status {
        486 | 503 | 600 => AttemptResult::Ended(Outcome::Overloaded),
        400 | 401 | 403 | 407 | 415 | 488 => AttemptResult::Declined(status),
        408 => AttemptResult::Ended(Outcome::Timeout),
        _ => AttemptResult::Ended(Outcome::Error),
    }
}
