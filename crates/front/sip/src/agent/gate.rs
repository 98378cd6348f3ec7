//! Overload control of new calls, applied before any other work is done for them.

use beechloft_session::api::Micros;
use beechloft_session::io::RequestId;
use rsip::Header;

use super::{Agent, Output};
use crate::message::{Message, Method, Request, Response};
use crate::overload::refused::Name;
use crate::overload::{Ruling, wire};
use crate::transaction::Key;
use crate::transaction::layer::Peer;

impl Agent {
    /// Returns whether a message that arrived at a time is to be processed. A rejected call has already been answered.
    pub(super) fn passes(&mut self, peer: Peer, message: &Message, at: Micros) -> bool {
        let Message::Request(invite) = message else { return true };
        let new = invite.method() == Method::Invite && invite.names.to_tag.is_none();
        if !new || self.layer.knows(invite) {
            return true;
        }
        self.arrived = at;
        let name = self.refused.name(invite);
        if let Some(after) = self.refused.had(name) {
            self.turn_away(peer, invite, name, after);
            return false;
        }
        let claims = wire::claims(&invite.raw.headers);
        match self.control.judge(self.now, at, peer.address, claims) {
            Ruling::Take => true,
            Ruling::TurnAway(after) => {
                if self.refused.remember(self.now, name, after) {
                    self.turn_away(peer, invite, name, after);
                }
                false
            }
        }
    }

    /// Rejects a call without a transaction: the 503 is not retransmitted, and its ACK is ignored.
    fn turn_away(&mut self, peer: Peer, invite: &Request, name: Name, after: Option<u64>) {
        let mut refusal = invite.answer(503, &name.tag());
        if let Some(after) = after {
            refusal.raw.headers.push(Header::RetryAfter(after.to_string().into()));
        }
        self.advise_peer(peer, &mut refusal);
        self.out.push(Output::Transmit(peer, Box::new(Message::Response(refusal))));
    }

    /// Records the session controller's first response to a request. The delay of the call until then indicates overload.
    pub(super) fn first_word(&mut self, request: RequestId) {
        let call = self.by_request.get(&request).and_then(|s| self.calls.get_mut(s));
        if let Some(arrived) = call.and_then(|c| c.arrived.take()) {
            self.control.worked(self.now, arrived);
        }
    }

    /// Adds overload control parameters to a response to an INVITE if its sender supports them.
    pub(super) fn advise(&mut self, key: &Key, response: &mut Response) {
        if response.method == Method::Invite
            && let Some(peer) = self.layer.peer_of(key)
        {
            self.advise_peer(peer, response);
        }
    }

    fn advise_peer(&mut self, peer: Peer, response: &mut Response) {
        if wire::claims(&response.raw.headers)
            && let Some(advice) = self.control.advice(self.now, peer.address)
        {
            wire::advise(response, advice);
        }
    }

    /// Returns the overload control for inspection.
    pub fn control(&self) -> &crate::overload::Control {
        &self.control
    }
}
