//! Direct probes: the choice of targets, and the handling of answers and timeouts (SWIM, sections 3.1 and 4.3).

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use super::{Output, Swim};
use crate::identity::{Incarnation, MemberId};
use crate::member_list::{MemberList, MemberState};
use crate::messages::{Message, Update};

/// Time after which indirect probes are requested if a direct probe is not answered.
pub(super) const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// The probe of the current period.
#[derive(Debug, Clone)]
pub(super) struct Probe {
    pub(super) target: MemberId,
    pub(super) seq: u64,
    /// Time at which indirect probes are requested, or `None` if they have been requested or are not needed.
    pub(super) indirect_at: Option<Duration>,
    pub(super) is_acked: bool,
    /// Number of members from which indirect probes were requested.
    pub(super) relays: u32,
    /// Number of those members that reported that the target did not answer them.
    pub(super) nacks: u32,
}

impl Probe {
    fn new(target: MemberId, seq: u64, indirect_at: Duration) -> Probe {
        Probe { target, seq, indirect_at: Some(indirect_at), is_acked: false, relays: 0, nacks: 0 }
    }
}

/// The order in which members are probed.
///
/// It is a round-robin that is reshuffled for each round, so that no member waits for longer than two rounds (SWIM, section 4.3).
#[derive(Debug, Default)]
pub(super) struct ProbeOrder {
    pub(super) targets: Vec<MemberId>,
    position: usize,
}

impl ProbeOrder {
    /// Returns the next target of this round that is still active, or `None` at the end of the round.
    fn next_in_round(&mut self, members: &MemberList) -> Option<MemberId> {
        while let Some(id) = self.targets.get(self.position).copied() {
            self.position += 1;
            if members.get(id).is_some_and(|member| member.state.is_active()) {
                return Some(id);
            }
        }
        None
    }

    fn start_round(&mut self, members: &MemberList, own: MemberId, rng: &mut ChaCha8Rng) {
        let others = members.iter().filter(|(id, member)| *id != own && member.state.is_active());
        self.targets = others.map(|(id, _)| id).collect();
        self.targets.shuffle(rng);
        self.position = 0;
    }
}

/// Properties of a member that a probe needs.
pub(super) struct Target {
    pub(super) address: SocketAddr,
    pub(super) state: MemberState,
    pub(super) incarnation: Incarnation,
}

impl Swim {
    pub(super) fn probe_next_member(&mut self, out: &mut Vec<Output>) {
        let Some(id) = self.next_probe_target() else { return };
        let Some(target) = self.target(id) else { return };
        let seq = self.next_seq();
        self.counters.probes += 1;
        self.probe = Some(Probe::new(id, seq, self.now + self.scaled_by_health(PROBE_TIMEOUT)));
        // The ping informs a suspect member of the suspicion, so that it can refute it (Lifeguard's buddy system).
        let first = match target.state {
            MemberState::Suspect => {
                vec![Update::Suspect { id, incarnation: target.incarnation, by: self.id }]
            }
            _ => Vec::new(),
        };
        let digest = self.members.digest();
        self.send(target.address, Some(id), Message::Ping { seq, digest }, first, out);
    }

    pub(super) fn target(&self, id: MemberId) -> Option<Target> {
        let member = self.members.get(id)?;
        Some(Target { address: member.info.address, state: member.state, incarnation: member.incarnation })
    }

    fn next_probe_target(&mut self) -> Option<MemberId> {
        for _ in 0..2 {
            let next = self.probe_order.next_in_round(&self.members);
            if next.is_some() {
                return next;
            }
            self.probe_order.start_round(&self.members, self.id, &mut self.rng);
        }
        None
    }

    /// Suspects the target of a probe that was not acked, directly or through a relay.
    pub(super) fn probe_failed(&mut self, probe: &Probe, out: &mut Vec<Output>) {
        self.counters.failed_probes += 1;
        // A relay that sent a nack is reachable, so this member's own network is not at fault (Lifeguard, section IV-A).
        let missed_nacks = if probe.relays == 0 { 1 } else { probe.relays.saturating_sub(probe.nacks) };
        self.degrade_local_health(missed_nacks);
        if let Some(target) = self.target(probe.target).filter(|target| target.state.is_active()) {
            let incarnation = target.incarnation;
            self.apply(Update::Suspect { id: probe.target, incarnation, by: self.id }, out);
        }
    }

    pub(super) fn acked(&mut self, seq: u64, out: &mut Vec<Output>) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == seq && !probe.is_acked) {
            probe.is_acked = true;
            probe.indirect_at = None;
            self.local_health = self.local_health.saturating_sub(1);
        } else {
            self.relay_ack(seq, out);
        }
    }

    pub(super) fn nacked(&mut self, seq: u64) {
        let awaits_nack = |probe: &&mut Probe| probe.seq == seq && probe.nacks < probe.relays;
        if let Some(probe) = self.probe.as_mut().filter(awaits_nack) {
            probe.nacks += 1;
        }
    }

    /// Declares the target of a probe dead because another process answered at its address, where only one can listen.
    pub(super) fn target_replaced(&mut self, seq: u64, out: &mut Vec<Output>) {
        let Some(probe) = self.probe.take_if(|probe| probe.seq == seq) else { return };
        let id = probe.target;
        if let Some(target) = self.target(id).filter(|target| target.state.is_active()) {
            self.apply(Update::Dead { id, incarnation: target.incarnation, by: self.id }, out);
        }
    }
}
