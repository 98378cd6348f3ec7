//! What gossip missed: two rosters compared by parts, so that only what differs is said.

use std::sync::Arc;

use crate::roster::{Life, Member, Roster};
use crate::words::{Digests, MOST_RUMOURS, MemberId, PARTS, Rumour};

/// Packets of one answer: the rest comes with the next.
pub(crate) const MOST_PACKETS: usize = 8;

/// What to say of one member, as it is believed to be.
pub(crate) fn said(id: MemberId, member: &Member, by: MemberId) -> Vec<Rumour> {
    let incarnation = member.incarnation;
    let alive = Rumour::Alive { id, incarnation, about: Arc::clone(&member.about) };
    match member.life {
        Life::Alive => vec![alive],
        Life::Suspected => vec![alive, Rumour::Suspected { id, incarnation, by }],
        Life::Gone => vec![Rumour::Gone { id, incarnation, by }],
        Life::Left => vec![Rumour::Gone { id, incarnation, by: id }],
    }
}

/// Of the parts that differ, all members, in packets. It begins with any part, so that what is left out is another each time.
pub(crate) fn entries(roster: &Roster, theirs: &Digests, first: usize, by: MemberId) -> Vec<Vec<Rumour>> {
    let own = roster.digests();
    let differs = |p: usize| theirs.0.get(p) != own.0.get(p);
    let (mut packets, mut bytes) = (vec![Vec::new()], 0);
    let parts = (0..PARTS).map(|p| (first + p) % PARTS).filter(|p| differs(*p));
    let all = parts.flat_map(|p| roster.of_part(p)).flat_map(|(id, member)| said(id, member, by));
    for rumour in all {
        if bytes + rumour.bytes() > MOST_RUMOURS {
            if packets.len() == MOST_PACKETS {
                break;
            }
            packets.push(Vec::new());
            bytes = 0;
        }
        bytes += rumour.bytes();
        if let Some(last) = packets.last_mut() {
            last.push(rumour);
        }
    }
    packets.retain(|p| !p.is_empty());
    packets
}
