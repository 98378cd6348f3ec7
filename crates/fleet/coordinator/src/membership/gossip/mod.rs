//! The gossip of fronts. It shares the UDP socket with the membership, and its datagrams have a different magic.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beechloft_gossip::{Counters, Gossip, Input, Output, Packet, Peer, RowTooLong, SectionKind, Settings};
use beechloft_membership::{Member, MemberId, MemberKind, MemberList};

use crate::wire::{self, WireError};

/// The magic of gossip datagrams. Members of versions without gossip reject them.
pub(crate) const MAGIC: [u8; 4] = *b"blro";

/// Encodes a packet as a datagram. Returns `None` if it is too long, which packets of the protocol never are.
pub(super) fn encode_datagram(fleet: u64, packet: &Packet) -> Option<Vec<u8>> {
    wire::write_frame(MAGIC, fleet, packet, wire::MAX_DATAGRAM_BYTES - wire::HEADER_BYTES)
}

/// Decodes a packet.
///
/// # Errors
/// Returns an error if the datagram is not exactly one gossip packet of this fleet and protocol version. It is to be dropped
/// then.
pub(super) fn decode_datagram(fleet: u64, mut bytes: &[u8]) -> Result<Packet, WireError> {
    let packet = wire::read_frame(MAGIC, fleet, &mut bytes)?;
    if bytes.is_empty() { Ok(packet) } else { Err(WireError::Malformed) }
}

/// One section of a member's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GossipRow {
    /// The member that wrote the row.
    pub member: MemberId,
    /// The front's slot, as written by the member itself.
    pub front_slot: Option<u16>,
    /// The member's zone according to the member list, or an empty string if the member is no longer in the list.
    pub zone: String,
    /// The row's version.
    pub version: u64,
    /// The row's maximum age, which is 0 for this member's own row.
    pub age: Duration,
    /// The content of the section.
    pub bytes: Vec<u8>,
}

/// A packet and its destination.
pub(super) struct Datagram {
    pub to: SocketAddr,
    pub packet: Packet,
}

/// The gossip state of this process: the known rows and the peers.
pub(crate) struct GossipTable {
    gossip: Mutex<Gossip>,
    zone: String,
}

impl GossipTable {
    pub(super) fn new(id: MemberId, zone: String, settings: Settings, now: Duration) -> GossipTable {
        GossipTable { gossip: Mutex::new(Gossip::new(id, settings, rand::random(), now)), zone }
    }

    fn gossip(&self) -> MutexGuard<'_, Gossip> {
        self.gossip.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time at which the next round is due.
    pub(super) fn next_deadline(&self) -> Duration {
        self.gossip().next_deadline()
    }

    /// Handles an input and returns the datagrams to be sent.
    pub(super) fn handle(&self, now: Duration, input: Input) -> Vec<Datagram> {
        let outputs = self.gossip().handle(now, input);
        outputs.into_iter().map(|Output::Send(to, packet)| Datagram { to, packet }).collect()
    }

    /// Replaces the peers by the active fronts of the member list. Returns the datagrams to be sent.
    pub(super) fn update_peers(&self, now: Duration, members: &MemberList) -> Vec<Datagram> {
        let own = self.gossip().id();
        let is_peer = |id: &MemberId, member: &Member| {
            *id != own && member.state.is_active() && member.info.kind == MemberKind::Front
        };
        let peers = members.iter().filter(|(id, member)| is_peer(id, member)).map(|(id, member)| Peer {
            id,
            address: member.info.address,
            zone: member.info.zone.clone(),
        });
        self.handle(now, Input::Peers(peers.collect()))
    }

    /// Writes a section of this member's own row.
    pub(super) fn write_section(
        &self,
        now: Duration,
        kind: SectionKind,
        bytes: Vec<u8>,
    ) -> Result<(), RowTooLong> {
        self.gossip().write_section(now, kind, bytes)
    }

    /// Writes the front's slot into this member's own row.
    pub(super) fn set_front_slot(&self, now: Duration, slot: Option<u16>) {
        self.gossip().set_front_slot(now, slot);
    }

    /// Returns one section of all rows that have it.
    pub(super) fn sections(&self, now: Duration, kind: SectionKind) -> Vec<GossipRow> {
        let gossip = self.gossip();
        let zone_of = |member| {
            if member == gossip.id() {
                return self.zone.clone();
            }
            gossip.peer(member).map(|peer| peer.zone.to_string()).unwrap_or_default()
        };
        let rows = gossip.rows(now).filter_map(|row| {
            Some(GossipRow {
                member: row.member,
                front_slot: row.front_slot,
                zone: zone_of(row.member),
                version: row.version,
                age: row.age,
                bytes: row.section(kind)?.to_vec(),
            })
        });
        rows.collect()
    }

    pub(super) fn counters(&self) -> Counters {
        self.gossip().counters()
    }
}

#[cfg(test)]
mod tests;
