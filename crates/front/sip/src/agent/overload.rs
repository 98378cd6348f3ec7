//! Overload control of new calls, applied before any other work is done for them.

use beechloft_session::api::Micros;
use beechloft_session::io::RequestId;
use rsip::Header;

use super::{Agent, Output};
use crate::message::{Message, Method, Request, Response};
use crate::overload::rejections::Fingerprint;
use crate::overload::{Decision, wire};
use crate::transaction::Key;
use crate::transaction::layer::Peer;

impl Agent {
    /// Returns whether a message that arrived at a time is to be processed. A rejected call has already been answered.
    pub(super) fn admits(&mut self, peer: Peer, message: &Message, at: Micros) -> bool {
        let Message::Request(invite) = message else { return true };
        if !invite.starts_call() || self.layer.is_retransmission(invite) {
            return true;
        }
        self.arrived = at;
        let fingerprint = self.rejections.fingerprint(invite);
        if let Some(retry_after_seconds) = self.rejections.get(fingerprint) {
            self.reject_stateless(peer, invite, fingerprint, retry_after_seconds);
            return false;
        }
        let supports_control = wire::supports_loss_control(&invite.raw.headers);
        match self.control.decide(self.now, at, peer.address, supports_control) {
            Decision::Accept => true,
            Decision::Reject(retry_after_seconds) => {
                if self.rejections.remember(self.now, fingerprint, retry_after_seconds) {
                    self.reject_stateless(peer, invite, fingerprint, retry_after_seconds);
                }
                false
            }
        }
    }

    /// Rejects a call without a transaction: the 503 is not retransmitted, and its ACK is ignored.
    fn reject_stateless(
        &mut self,
        peer: Peer,
        invite: &Request,
        fingerprint: Fingerprint,
        retry_after_seconds: Option<u64>,
    ) {
        let mut rejection = invite.response(503, &fingerprint.tag());
        if let Some(retry_after_seconds) = retry_after_seconds {
            rejection.raw.headers.push(Header::RetryAfter(retry_after_seconds.to_string().into()));
        }
        self.add_feedback_for(peer, &mut rejection);
        self.outputs.push(Output::Transmit(peer, Box::new(Message::Response(rejection))));
    }

    /// Records the session controller's first response to a request. The delay of the call until then indicates overload.
    pub(super) fn record_first_response(&mut self, request: RequestId) {
        let call = self.by_request.get(&request).and_then(|s| self.inbound.get_mut(s));
        if let Some(arrived) = call.and_then(|c| c.arrived.take()) {
            self.control.record_response(self.now, arrived);
        }
    }

    /// Adds overload control parameters to a response to an INVITE if its sender supports them.
    pub(super) fn add_feedback(&mut self, key: &Key, response: &mut Response) {
        if response.method == Method::Invite
            && let Some(peer) = self.layer.peer_of(key)
        {
            self.add_feedback_for(peer, response);
        }
    }

    fn add_feedback_for(&mut self, peer: Peer, response: &mut Response) {
        if wire::supports_loss_control(&response.raw.headers)
            && let Some(feedback) = self.control.feedback(self.now, peer.address)
        {
            wire::add_feedback(response, feedback);
        }
    }

    /// Returns the overload control for inspection.
    pub fn control(&self) -> &crate::overload::Control {
        &self.control
    }
}
