//! What goes round next: what was said least often first, each a bounded number of times.

use std::collections::{BTreeMap, BTreeSet};

use crate::words::{MOST_RUMOURS, MemberId, Rumour};

/// Rumours that wait, at most: one of each member of the largest fleet.
const MOST: usize = 8192;
/// How often each is said, for each doubling of members (lambda of SWIM's section 4.1).
const TIMES: u32 = 3;

#[derive(Debug, Clone)]
struct Waits {
    rumour: Rumour,
    said: u32,
    /// Newer ones first among those said as often.
    order: u64,
}

/// Rumours that are still to be said; the newest of each member alone.
#[derive(Debug, Default)]
pub(crate) struct Rumours {
    of: BTreeMap<MemberId, Waits>,
    queue: BTreeSet<(u32, u64, MemberId)>,
    made: u64,
}

impl Rumours {
    /// Says this from now on, in place of what was said of the same member.
    pub fn push(&mut self, rumour: Rumour) {
        let id = rumour.of();
        if let Some(old) = self.of.remove(&id) {
            self.queue.remove(&(old.said, old.order, id));
        }
        if self.of.len() >= MOST
            && let Some(last) = self.queue.pop_last()
        {
            self.of.remove(&last.2);
        }
        self.made += 1;
        let order = u64::MAX - self.made;
        self.queue.insert((0, order, id));
        self.of.insert(id, Waits { rumour, said: 0, order });
    }

    /// What goes with one packet, among so many members, besides what is in it already.
    pub fn fill(&mut self, rumours: &mut Vec<Rumour>, members: usize) {
        let times = TIMES * (members + 1).next_power_of_two().trailing_zeros().max(1);
        let mut room = MOST_RUMOURS.saturating_sub(rumours.iter().map(Rumour::bytes).sum());
        let there: Vec<MemberId> = rumours.iter().map(Rumour::of).collect();
        let mut taken = Vec::new();
        for &(said, order, id) in &self.queue {
            let Some(bytes) = self.of.get(&id).map(|w| w.rumour.bytes()) else { continue };
            if bytes > room {
                break;
            }
            if !there.contains(&id) {
                room -= bytes;
                taken.push((said, order, id));
            }
        }
        for key in taken {
            self.queue.remove(&key);
            let Some(waits) = self.of.get_mut(&key.2) else { continue };
            rumours.push(waits.rumour.clone());
            waits.said += 1;
            if waits.said >= times {
                self.of.remove(&key.2);
            } else {
                self.queue.insert((waits.said, key.1, key.2));
            }
        }
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.of.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::words::Incarnation;

    fn gone(id: u64) -> Rumour {
        Rumour::Gone { id: MemberId(id), incarnation: Incarnation(0), by: MemberId(1) }
    }

    #[test]
    fn each_is_said_a_bounded_number_of_times_and_none_waits_for_ever() {
        let mut r = Rumours::default();
        (0..100).for_each(|n| r.push(gone(n)));
        let (mut said, mut packets) = (BTreeMap::new(), 0);
        loop {
            let mut packet = Vec::new();
            r.fill(&mut packet, 7);
            if packet.is_empty() {
                break;
            }
            packets += 1;
            assert!(packet.iter().map(Rumour::bytes).sum::<usize>() <= MOST_RUMOURS);
            packet.iter().for_each(|p| *said.entry(p.of()).or_insert(0) += 1);
            if packets == 6 {
                assert!(said.len() == 100, "all were said once before any was said often");
            }
        }
        assert!(said.values().all(|n| *n == 9), "{said:?}");
    }

    #[test]
    fn a_newer_word_takes_the_place_of_an_older_one_and_the_number_is_bounded() {
        let mut r = Rumours::default();
        r.push(gone(1));
        r.push(Rumour::Suspected { id: MemberId(1), incarnation: Incarnation(4), by: MemberId(2) });
        assert_eq!(r.len(), 1);
        (0..2 * MOST as u64).for_each(|n| r.push(gone(n)));
        assert_eq!((r.of.len(), r.queue.len()), (MOST, MOST));
    }
}
