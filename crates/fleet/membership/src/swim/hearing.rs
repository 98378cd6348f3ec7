//! What is heard: packets, and the rumours in them.

use std::net::SocketAddr;
use std::sync::Arc;

use super::joining::MORE;
use super::{Output, PERIOD, Swim};
use crate::planted::Fault;
use crate::roster::Worth;
use crate::suspicion::Suspicion;
use crate::words::{Incarnation, MemberId, Packet, Rumour, Said};

impl Swim {
    pub(super) fn heard(&mut self, from: SocketAddr, packet: Packet, out: &mut Vec<Output>) {
        if packet.from == self.id {
            return;
        }
        let before = self.roster.there();
        let asked = packet.said == Said::Entries && self.compared.is_some_and(|(at, _)| at == from);
        // Guards against a newcomer that tells the fleet again of all its members.
        self.passes_on = !(asked && self.newcomer);
        for rumour in packet.rumours {
            self.learn(rumour, out);
        }
        self.passes_on = true;
        if asked && !self.more && self.roster.there() > before {
            // Whoever was asked had somebody that this one did not know: there may be more.
            (self.more, self.compare_at) = (true, self.now + self.about(MORE));
        }
        if packet.to.is_some_and(|to| to != self.id) {
            // Whoever was meant listened here before.
            if let Said::Ping { seq, .. } = packet.said {
                self.send(from, Some(packet.from), Said::Another { seq }, Vec::new(), out);
            }
            return;
        }
        match packet.said {
            Said::Ping { seq, digest } => {
                let own = self.roster.digest();
                self.send(from, Some(packet.from), Said::Ack { seq, digest: own }, Vec::new(), out);
                self.differs(digest, from, packet.from, out);
            }
            Said::PingFor { seq, target, address } => {
                self.help(packet.from, from, seq, (target, address), out)
            }
            Said::Ack { seq, digest } => {
                self.acked(seq, out);
                self.differs(digest, from, packet.from, out);
            }
            Said::Nack { seq } => {
                if let Some(probe) = self.probe.as_mut().filter(|p| p.seq == seq && p.nacks < p.helpers) {
                    probe.nacks += 1;
                }
            }
            Said::Another { seq } => {
                if let Some(probe) = self.probe.take_if(|p| p.seq == seq) {
                    self.replaced(probe.target, out);
                }
            }
            Said::Compare { digests, answers } => self.answer(from, packet.from, &digests, answers, out),
            Said::Entries => {}
        }
    }

    /// Another process has this one's address: only one can listen there.
    fn replaced(&mut self, id: MemberId, out: &mut Vec<Output>) {
        if let Some((_, life, incarnation)) = self.whereabouts(id)
            && life.is_there()
        {
            self.learn(Rumour::Gone { id, incarnation, by: self.id }, out);
        }
    }

    /// Takes a rumour, and passes it on if it is news.
    pub(super) fn learn(&mut self, rumour: Rumour, out: &mut Vec<Output>) {
        if !rumour.sound() {
            self.counts.nonsense += 1;
            return;
        }
        let id = rumour.of();
        if id == self.id {
            return self.of_self(&rumour);
        }
        let worth = self.roster.hear(self.now, &rumour);
        match (worth, &rumour) {
            (Worth::Old, _) => return,
            (Worth::Again, Rumour::Suspected { by, .. }) => {
                if !self.suspicions.get_mut(&id).is_some_and(|s| s.confirm(*by)) {
                    return;
                }
            }
            (_, Rumour::Suspected { incarnation, by, .. }) => {
                self.suspicions.insert(id, Suspicion::new(*incarnation, *by, self.now));
            }
            _ => {
                self.suspicions.remove(&id);
            }
        }
        if let Some(member) = self.roster.get(id).filter(|_| worth != Worth::Again) {
            out.push(Output::Changed(id, member.life));
        }
        if self.passes_on {
            self.rumours.push(rumour);
        }
    }

    /// What is said of itself, and is not so, is refuted by a higher incarnation.
    fn of_self(&mut self, rumour: &Rumour) {
        let said = rumour.incarnation();
        let refutes = match rumour {
            Rumour::Alive { .. } => said > self.incarnation,
            Rumour::Suspected { .. } | Rumour::Gone { .. } => said >= self.incarnation,
        };
        if !refutes || self.planted(Fault::NoRefuting) {
            return;
        }
        self.counts.refuted += 1;
        // Others did not hear from this one in time: it may be slow itself.
        self.worse(1);
        self.incarnation = said.next();
        let alive = self.alive();
        self.roster.hear(self.now, &alive);
        self.rumours.push(alive);
    }

    /// What it says of itself.
    pub(super) fn alive(&self) -> Rumour {
        Rumour::Alive { id: self.id, incarnation: self.incarnation, about: Arc::clone(&self.about) }
    }

    /// Suspicions that have lasted.
    pub(super) fn believe(&mut self, out: &mut Vec<Output>) {
        let (there, now) = (self.roster.there(), self.now);
        let over: Vec<(MemberId, Incarnation)> = self
            .suspicions
            .iter()
            .filter(|(_, s)| now >= s.ends(there, PERIOD))
            .map(|(id, s)| (*id, s.incarnation))
            .collect();
        for (id, incarnation) in over {
            self.learn(Rumour::Gone { id, incarnation, by: self.id }, out);
        }
    }
}
