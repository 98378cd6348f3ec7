//! Handling of received packets.

use std::net::SocketAddr;

use super::indirect_probe::Requester;
use super::{Output, Swim};
use crate::identity::MemberId;
use crate::messages::{Message, Packet, Update};

impl Swim {
    pub(super) fn receive(&mut self, from: SocketAddr, packet: Packet, out: &mut Vec<Output>) {
        let Packet { from: sender, to, message, updates } = packet;
        if sender == self.id {
            return;
        }
        let is_exchange = message == Message::Updates && self.exchange.is_peer(from);
        self.apply_all(updates, is_exchange, out);
        if to.is_some_and(|to| to != self.id) {
            // The intended receiver listened at this address before.
            if let Message::Ping { seq, .. } = message {
                self.send(from, Some(sender), Message::Replaced { seq }, Vec::new(), out);
            }
            return;
        }
        self.handle_message(from, sender, message, out);
    }

    fn apply_all(&mut self, updates: Vec<Update>, is_exchange: bool, out: &mut Vec<Output>) {
        let before = self.members.active_count();
        // A newcomer must not disseminate the entire member list that it gets from an exchange.
        self.disseminates = !(is_exchange && self.is_newcomer);
        for update in updates {
            self.apply(update, out);
        }
        self.disseminates = true;
        if is_exchange && self.members.active_count() > before {
            self.repeat_exchange_soon();
        }
    }

    fn handle_message(
        &mut self,
        from: SocketAddr,
        sender: MemberId,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::Ping { seq, digest } => {
                let ack = Message::Ack { seq, digest: self.members.digest() };
                self.send(from, Some(sender), ack, Vec::new(), out);
                self.compare_digest(digest, from, sender, out);
            }
            Message::PingRequest { seq, target, address } => {
                self.relay_probe(Requester { id: sender, address: from, seq }, target, address, out);
            }
            Message::Ack { seq, digest } => {
                self.acked(seq, out);
                self.compare_digest(digest, from, sender, out);
            }
            Message::Nack { seq } => self.nacked(seq),
            Message::Replaced { seq } => self.target_replaced(seq, out),
            Message::CompareDigests { digests, is_reply } => {
                self.answer_exchange(from, sender, &digests, is_reply, out);
            }
            Message::Updates => {}
        }
    }
}
