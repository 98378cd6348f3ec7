//! The gossip of fronts on the membership socket: its datagrams have a magic of their own.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beechloft_gossip::{Counters, Gossip, Input, Output, Packet, Peer, RowTooLong, SectionKind, Settings};
use beechloft_membership::{Member, MemberId, MemberKind, MemberList};

use crate::wire::{self, WireError};

/// The magic of gossip datagrams: members of a version without gossip reject them.
pub(crate) const MAGIC: [u8; 4] = *b"blro";

/// The datagram of a packet; none if it is too long, which no packet that the protocol makes is.
pub(super) fn encode_datagram(fleet: u64, packet: &Packet) -> Option<Vec<u8>> {
    wire::write_frame(MAGIC, fleet, packet, wire::MAX_DATAGRAM_BYTES - wire::HEADER_BYTES)
}

/// Decodes a packet, which must be all of the datagram.
///
/// # Errors
/// As [`WireError`] says; the datagram is dropped then.
pub(super) fn decode_datagram(fleet: u64, mut bytes: &[u8]) -> Result<Packet, WireError> {
    let packet = wire::read_frame(MAGIC, fleet, &mut bytes)?;
    if bytes.is_empty() { Ok(packet) } else { Err(WireError::Malformed) }
}

/// One section of a member's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GossipRow {
    /// The member that wrote it.
    pub member: MemberId,
    /// The member's slot among the fronts, as it says itself.
    pub front_number: Option<u16>,
    /// The member's zone by the member list; empty if it is no member any more.
    pub zone: String,
    /// The row's version.
    pub version: u64,
    /// The row's maximum age; 0 for the own row.
    pub age: Duration,
    /// The section.
    pub bytes: Vec<u8>,
}

/// A packet and where it is to be sent.
pub(super) struct Datagram {
    pub to: SocketAddr,
    pub packet: Packet,
}

/// The rows that this process knows.
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

    /// When the next round is due.
    pub(super) fn next_deadline(&self) -> Duration {
        self.gossip().next_deadline()
    }

    /// Handles an input; what is to be sent.
    pub(super) fn handle(&self, now: Duration, input: Input) -> Vec<Datagram> {
        let outputs = self.gossip().handle(now, input);
        outputs.into_iter().map(|Output::Send(to, packet)| Datagram { to, packet }).collect()
    }

    /// Takes the active fronts of the member list as peers; what is to be sent.
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

    /// Writes a section of the own row.
    pub(super) fn write_section(
        &self,
        now: Duration,
        kind: SectionKind,
        bytes: Vec<u8>,
    ) -> Result<(), RowTooLong> {
        self.gossip().write_section(now, kind, bytes)
    }

    /// Writes the front's slot into the own row.
    pub(super) fn set_front_number(&self, now: Duration, number: Option<u16>) {
        self.gossip().set_front_number(now, number);
    }

    /// A section of all rows that have it.
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
                front_number: row.front_number,
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
