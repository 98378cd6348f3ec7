use super::*;
use crate::identity::Incarnation;

fn dead(id: u64) -> Update {
    Update::Dead { id: MemberId(id), incarnation: Incarnation(0), by: MemberId(1) }
}

#[test]
fn transmits_each_update_equally_often() {
    let mut queue = BroadcastQueue::default();
    (0..100).for_each(|id| queue.push(dead(id)));
    let (mut transmissions, mut packets) = (BTreeMap::new(), 0);
    loop {
        let mut packet = Vec::new();
        queue.fill(&mut packet, 7);
        if packet.is_empty() {
            break;
        }
        packets += 1;
        assert!(packet.iter().map(Update::max_encoded_len).sum::<usize>() <= MAX_UPDATE_BYTES);
        packet.iter().for_each(|update| *transmissions.entry(update.member()).or_insert(0) += 1);
        if packets == 6 {
            assert!(transmissions.len() == 100, "each update is sent once before any is sent repeatedly");
        }
    }
    assert!(transmissions.values().all(|times| *times == 9), "{transmissions:?}");
}

#[test]
fn newer_update_replaces_older_and_queue_is_bounded() {
    let mut queue = BroadcastQueue::default();
    queue.push(dead(1));
    queue.push(Update::Suspect { id: MemberId(1), incarnation: Incarnation(4), by: MemberId(2) });
    assert_eq!(queue.len(), 1);
    (0..2 * MAX_QUEUED as u64).for_each(|id| queue.push(dead(id)));
    assert_eq!((queue.updates.len(), queue.order.len()), (MAX_QUEUED, MAX_QUEUED));
}
