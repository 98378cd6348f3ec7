//! GossipTable of `beechloft_gossip` on the members' socket: their own kind of datagram, and the way to them for whoever writes and reads.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beechloft_gossip::{Counters, Gossip, Input, Output, Packet, Peer, RowTooLong, SectionKind, Settings};
use beechloft_membership::{MemberId, MemberKind, MemberList};

use crate::wire::{self, WireError};

/// Begins a datagram of rows, so that members of a version without them refuse it.
pub(crate) const MAGIC: [u8; 4] = *b"blro";

/// The bytes of a packet of rows; none: past the bound, which no machine's packet is.
pub fn datagram(fleet: u64, packet: &Packet) -> Option<Vec<u8>> {
    wire::write_frame(MAGIC, fleet, packet, wire::MAX_DATAGRAM_BYTES - wire::HEADER_BYTES)
}

/// Reads a packet of rows, which is all of a datagram.
///
/// # Errors
/// Whatever is said in [`WireError`]; it is dropped then.
pub fn read_datagram(fleet: u64, mut bytes: &[u8]) -> Result<Packet, WireError> {
    let packet = wire::read_frame(MAGIC, fleet, &mut bytes)?;
    if bytes.is_empty() { Ok(packet) } else { Err(WireError::Malformed) }
}

/// A row, for whoever reads it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GossipRow {
    /// Whose.
    pub life: MemberId,
    /// Its number among the fronts, as it says.
    pub number: Option<u16>,
    /// Its zone by the roster; empty if it is no member any more.
    pub zone: String,
    /// Its version.
    pub version: u64,
    /// How old it is at most; nought for the own row.
    pub age: Duration,
    /// What it says of the matter that was asked for.
    pub bytes: Vec<u8>,
}

/// The rows of this process.
pub(crate) struct GossipTable {
    spread: Mutex<Gossip>,
    zone: String,
}

impl GossipTable {
    pub(crate) fn new(id: MemberId, zone: String, set: Settings, now: Duration) -> GossipTable {
        GossipTable { spread: Mutex::new(Gossip::new(id, set, rand::random(), now)), zone }
    }

    fn spread(&self) -> MutexGuard<'_, Gossip> {
        self.spread.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn next_due(&self) -> Duration {
        self.spread().next_deadline()
    }

    /// What is to be sent where.
    pub(crate) fn handle(&self, now: Duration, input: Input) -> Vec<(SocketAddr, Packet)> {
        let outputs = self.spread().handle(now, input);
        outputs.into_iter().map(|Output::Send(to, packet)| (to, packet)).collect()
    }

    /// Whom rows are spread among: the fronts that the roster has there.
    pub(crate) fn peers(&self, now: Duration, members: &MemberList) -> Vec<(SocketAddr, Packet)> {
        let own = self.spread().id();
        let front = |id: &MemberId, m: &beechloft_membership::Member| {
            *id != own && m.state.is_active() && m.info.kind == MemberKind::Front
        };
        let fronts = members.iter().filter(|(id, m)| front(id, m));
        let peers = fronts.map(|(id, m)| Peer { id, address: m.info.address, zone: m.info.zone.clone() });
        self.handle(now, Input::Peers(peers.collect()))
    }

    pub(crate) fn write(&self, now: Duration, kind: SectionKind, bytes: Vec<u8>) -> Result<(), RowTooLong> {
        self.spread().write_section(now, kind, bytes)
    }

    pub(crate) fn number(&self, now: Duration, number: Option<u16>) {
        self.spread().set_front_number(now, number);
    }

    pub(crate) fn seen(&self, now: Duration, kind: SectionKind) -> Vec<GossipRow> {
        let spread = self.spread();
        let zone = |life| {
            if life == spread.id() {
                return self.zone.clone();
            }
            spread.peer(life).map(|p| p.zone.to_string()).unwrap_or_default()
        };
        let rows = spread.rows(now).filter_map(|r| {
            let bytes = r.section(kind)?.to_vec();
            let (life, number, version, age) = (r.member, r.front_number, r.version, r.age);
            Some(GossipRow { life, number, zone: zone(life), version, age, bytes })
        });
        rows.collect()
    }

    pub(crate) fn counts(&self) -> Counters {
        self.spread().counters()
    }
}

#[cfg(test)]
mod tests;
