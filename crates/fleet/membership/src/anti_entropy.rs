//! Anti-entropy: selects the updates of the buckets in which two member lists differ, to repair what dissemination missed.

use std::sync::Arc;

use crate::identity::MemberId;
use crate::member_list::{Member, MemberList, MemberState};
use crate::messages::{BUCKETS, Digests, MAX_UPDATE_BYTES, Update};

/// Maximum number of packets of an answer. Later exchanges send the updates that are left out.
const MAX_PACKETS: usize = 8;

/// Returns the updates of all buckets whose digests differ, split into packets.
///
/// The caller draws `first_bucket` at random, so that a truncated answer leaves out different buckets each time.
pub(crate) fn updates_of_differing_buckets(
    members: &MemberList,
    theirs: &Digests,
    first_bucket: usize,
    by: MemberId,
) -> Vec<Vec<Update>> {
    let own = members.digests();
    let differs = |bucket: usize| theirs.0.get(bucket) != own.0.get(bucket);
    let buckets = (0..BUCKETS).map(|offset| (first_bucket + offset) % BUCKETS);
    let updates = buckets
        .filter(|bucket| differs(*bucket))
        .flat_map(|bucket| members.in_bucket(bucket))
        .flat_map(|(id, member)| updates_of(id, member, by));
    split_into_packets(updates)
}

/// Returns the updates that transfer the believed state of a member to another member list.
fn updates_of(id: MemberId, member: &Member, by: MemberId) -> Vec<Update> {
    let incarnation = member.incarnation;
    let alive = Update::Alive { id, incarnation, info: Arc::clone(&member.info) };
    match member.state {
        MemberState::Alive => vec![alive],
        MemberState::Suspect => vec![alive, Update::Suspect { id, incarnation, by }],
        MemberState::Dead => vec![Update::Dead { id, incarnation, by }],
        MemberState::Left => vec![Update::Dead { id, incarnation, by: id }],
    }
}

fn split_into_packets(updates: impl Iterator<Item = Update>) -> Vec<Vec<Update>> {
    let (mut packets, mut bytes) = (vec![Vec::new()], 0);
    for update in updates {
        if bytes + update.max_encoded_len() > MAX_UPDATE_BYTES {
            if packets.len() == MAX_PACKETS {
                break;
            }
            packets.push(Vec::new());
            bytes = 0;
        }
        bytes += update.max_encoded_len();
        if let Some(last) = packets.last_mut() {
            last.push(update);
        }
    }
    packets.retain(|packet| !packet.is_empty());
    packets
}
