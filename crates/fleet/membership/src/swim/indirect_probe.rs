//! Indirect probes that this member requests from others, and those that it relays for others (SWIM, section 3.1; Lifeguard,
//! section IV-A).

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;

use super::probe::{PROBE_TIMEOUT, Probe};
use super::{Output, PERIOD, Swim};
use crate::fault_injection::Fault;
use crate::identity::MemberId;
use crate::member_list::MemberState;
use crate::messages::Message;

/// Number of members from which indirect probes are requested (SWIM's k).
const INDIRECT_PROBES: usize = 3;
/// Maximum number of random draws to find those members.
const MAX_DRAWS: usize = 8 * INDIRECT_PROBES;
/// Time after which a relay sends a nack, as a fraction of the probe timeout (Lifeguard, section IV-A).
const NACK_TIMEOUT_FACTOR: f64 = 0.8;
/// Maximum number of concurrent relayed probes.
const MAX_RELAYED_PROBES: usize = 64;

/// The member that requested an indirect probe.
#[derive(Debug, Clone, Copy)]
pub(super) struct Requester {
    pub(super) id: MemberId,
    pub(super) address: SocketAddr,
    /// Sequence number that the requester gave the probe.
    pub(super) seq: u64,
}

/// A probe that this member sends on behalf of another.
#[derive(Debug, Clone)]
pub(super) struct RelayedProbe {
    requester: Requester,
    /// Time at which a nack is sent to the requester, or `None` once it has been sent.
    nack_at: Option<Duration>,
    expires_at: Duration,
}

impl RelayedProbe {
    pub(super) fn next_deadline(&self) -> Duration {
        self.nack_at.unwrap_or(self.expires_at)
    }
}

impl Swim {
    /// Requests indirect probes of the current probe's target from other members.
    pub(super) fn request_indirect_probes(&mut self, out: &mut Vec<Output>) {
        let Some(mut probe) = self.probe.take() else { return };
        probe.indirect_at = None;
        let relays = self.relays_of(&probe);
        let (target, seq) = (probe.target, probe.seq);
        probe.relays = u32::try_from(relays.len()).unwrap_or(u32::MAX);
        self.probe = Some(probe);
        let Some(address) = self.target(target).map(|target| target.address) else { return };
        for relay in relays {
            if let Some(to) = self.target(relay) {
                let request = Message::PingRequest { seq, target, address };
                self.send(to.address, Some(relay), request, Vec::new(), out);
            }
        }
    }

    /// Returns the members from which to request indirect probes. There are none if the probe has been answered.
    fn relays_of(&mut self, probe: &Probe) -> Vec<MemberId> {
        let is_known = self.members.get(probe.target).is_some();
        if probe.is_acked || !is_known || self.has_fault(Fault::NoIndirectProbes) {
            return Vec::new();
        }
        self.draw_relays(probe.target)
    }

    /// Draws relays at random among the members that are alive.
    ///
    /// At most one relay is in this member's own zone if enough members of other zones are drawn. Otherwise a partition between two
    /// zones could look like the target's death, as all relays would be on the same side.
    fn draw_relays(&mut self, target: MemberId) -> Vec<MemberId> {
        let mut relays: Vec<MemberId> = Vec::new();
        let mut in_own_zone: Vec<MemberId> = Vec::new();
        for _ in 0..MAX_DRAWS {
            let targets = &self.probe_order.targets;
            let index = self.rng.random_range(0..targets.len().max(1));
            let Some(id) = targets.get(index).copied() else { break };
            let Some(member) = self.members.get(id).filter(|member| member.state == MemberState::Alive)
            else {
                continue;
            };
            if id == target || id == self.id || relays.contains(&id) || in_own_zone.contains(&id) {
                continue;
            }
            let is_in_own_zone = member.info.zone == self.info.zone;
            if !is_in_own_zone || in_own_zone.is_empty() {
                relays.push(id);
            }
            if is_in_own_zone {
                in_own_zone.push(id);
            }
            if relays.len() == INDIRECT_PROBES {
                return relays;
            }
        }
        let remaining: Vec<MemberId> = in_own_zone.into_iter().filter(|id| !relays.contains(id)).collect();
        relays.extend(remaining);
        relays.truncate(INDIRECT_PROBES);
        relays
    }

    /// Probes a member on behalf of another.
    pub(super) fn relay_probe(
        &mut self,
        requester: Requester,
        target: MemberId,
        address: SocketAddr,
        out: &mut Vec<Output>,
    ) {
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES {
            return;
        }
        let seq = self.next_seq();
        let timeout = self.scaled_by_health(PROBE_TIMEOUT).mul_f64(NACK_TIMEOUT_FACTOR);
        let relayed = RelayedProbe {
            requester,
            nack_at: Some(self.now + timeout),
            expires_at: self.now + self.scaled_by_health(PERIOD),
        };
        self.relayed_probes.insert(seq, relayed);
        let digest = self.members.digest();
        self.send(address, Some(target), Message::Ping { seq, digest }, Vec::new(), out);
    }

    /// Sends a nack to each requester whose target has not answered in time.
    pub(super) fn send_due_nacks(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        self.relayed_probes.retain(|_, relayed| now < relayed.expires_at);
        let is_due = |relayed: &RelayedProbe| relayed.nack_at.is_some_and(|at| now >= at);
        let mut requesters: Vec<Requester> = Vec::new();
        for relayed in self.relayed_probes.values_mut().filter(|relayed| is_due(relayed)) {
            relayed.nack_at = None;
            requesters.push(relayed.requester);
        }
        for to in requesters {
            self.send(to.address, Some(to.id), Message::Nack { seq: to.seq }, Vec::new(), out);
        }
    }

    /// Sends an ack to the requester of a relayed probe whose target has answered.
    pub(super) fn relay_ack(&mut self, seq: u64, out: &mut Vec<Output>) {
        if let Some(relayed) = self.relayed_probes.remove(&seq) {
            let to = relayed.requester;
            let ack = Message::Ack { seq: to.seq, digest: self.members.digest() };
            self.send(to.address, Some(to.id), ack, Vec::new(), out);
        }
    }
}
