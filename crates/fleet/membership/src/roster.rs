//! All members, as one of them believes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::words::{About, Digests, Incarnation, MemberId, PARTS, Rumour};

/// Members at most, gone ones counted.
const MOST: usize = 8192;
/// Whoever is gone is remembered for so long: later words of it are old, and after a partition it is looked for.
const GONE_FOR: Duration = Duration::from_secs(600);

/// How a member is believed to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Life {
    /// There.
    Alive,
    /// It did not answer lately, and may say that it is there.
    Suspected,
    /// It did not say so in time.
    Gone,
    /// It said that it leaves.
    Left,
}

impl Life {
    /// Whether it counts as there.
    pub fn is_there(self) -> bool {
        matches!(self, Life::Alive | Life::Suspected)
    }
}

/// A member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// What it says of itself.
    pub about: Arc<About>,
    /// As last heard.
    pub incarnation: Incarnation,
    /// How it is.
    pub life: Life,
    /// Since when, by the clock of who believes it.
    pub since: Duration,
    /// Since when it is known at all.
    pub known_since: Duration,
}

/// What a rumour was worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Worth {
    /// Known already, older than what is known, or of nobody that is known.
    Old,
    /// Somebody is there who was not known, or not believed to be there.
    New,
    /// Something else is believed now.
    Changed,
    /// What is suspected already is suspected by this one too, perhaps.
    Again,
}

/// All members that are known, the one who knows them among them.
#[derive(Debug, Clone)]
pub struct Roster {
    members: BTreeMap<MemberId, Member>,
    parts: Vec<u64>,
    /// Who is compared in which part, whether there or gone.
    by_part: Vec<BTreeSet<MemberId>>,
    there: usize,
}

impl Default for Roster {
    fn default() -> Self {
        Roster {
            members: BTreeMap::new(),
            parts: vec![0; PARTS],
            by_part: vec![BTreeSet::new(); PARTS],
            there: 0,
        }
    }
}

/// Spreads a number over all bits (the finalizer of SplitMix64).
fn mixed(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Which part of the roster a member is compared in.
pub(crate) fn part(id: MemberId) -> usize {
    (mixed(id.0) % PARTS as u64) as usize
}

impl Roster {
    /// A member.
    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// All, also those that are gone.
    pub fn iter(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.members.iter().map(|(id, m)| (*id, m))
    }

    /// Those that are compared in this part.
    pub(crate) fn of_part(&self, part: usize) -> impl Iterator<Item = (MemberId, &Member)> {
        self.by_part[part].iter().filter_map(|id| Some((*id, self.members.get(id)?)))
    }

    /// How many are there, by what is believed.
    pub fn there(&self) -> usize {
        self.there
    }

    /// Of each part, a digest of who is there.
    pub fn digests(&self) -> Digests {
        Digests(self.parts.clone())
    }

    /// Of all of them.
    pub fn digest(&self) -> u64 {
        self.parts.iter().fold(0, |all, part| mixed(all ^ part))
    }

    /// Takes a member in or out of its part's digest: a sum in which the order does not count.
    fn count(&mut self, id: MemberId, there: bool) {
        let Some(member) = self.members.get(&id) else { return };
        if member.life.is_there() {
            self.parts[part(id)] ^= mixed(mixed(id.0) ^ member.incarnation.0);
            self.there = if there { self.there + 1 } else { self.there.saturating_sub(1) };
        }
    }

    fn change(&mut self, id: MemberId, now: Duration, change: impl FnOnce(&mut Member)) {
        self.count(id, false);
        if let Some(member) = self.members.get_mut(&id) {
            let before = member.life;
            change(member);
            if member.life != before {
                member.since = now;
            }
        }
        self.count(id, true);
    }

    /// Believes a rumour, if it is newer than what is known (SWIM, section 4.2; as members may be parted and meet again,
    /// whoever is gone comes back by a higher incarnation, which it alone can say).
    pub(crate) fn hear(&mut self, now: Duration, rumour: &Rumour) -> Worth {
        let (id, said) = (rumour.of(), rumour.incarnation());
        let Some(member) = self.members.get(&id) else {
            let Rumour::Alive { about, .. } = rumour else { return Worth::Old };
            return self.add(id, said, about, now);
        };
        let (life, known) = (member.life, member.incarnation);
        match rumour {
            Rumour::Alive { about, .. } if said > known && life != Life::Left => {
                let about = Arc::clone(about);
                self.change(id, now, |m| (m.about, m.incarnation, m.life) = (about, said, Life::Alive));
                if life.is_there() { Worth::Changed } else { Worth::New }
            }
            Rumour::Suspected { .. } if life.is_there() && said >= known => {
                if life == Life::Suspected && said == known {
                    return Worth::Again;
                }
                self.change(id, now, |m| (m.incarnation, m.life) = (said, Life::Suspected));
                Worth::Changed
            }
            Rumour::Gone { by, .. } if life.is_there() && said >= known => {
                let life = if *by == id { Life::Left } else { Life::Gone };
                self.change(id, now, |m| (m.incarnation, m.life) = (said, life));
                Worth::Changed
            }
            _ => Worth::Old,
        }
    }

    fn add(&mut self, id: MemberId, incarnation: Incarnation, about: &Arc<About>, now: Duration) -> Worth {
        if self.members.len() >= MOST {
            let gone = self.members.iter().filter(|(_, m)| !m.life.is_there());
            let Some(oldest) = gone.min_by_key(|(_, m)| m.since).map(|(id, _)| *id) else {
                return Worth::Old;
            };
            self.members.remove(&oldest);
            self.by_part[part(oldest)].remove(&oldest);
        }
        let about = Arc::clone(about);
        let member = Member { about, incarnation, life: Life::Alive, since: now, known_since: now };
        self.members.insert(id, member);
        self.by_part[part(id)].insert(id);
        self.count(id, true);
        Worth::New
    }

    /// Lets go of whoever is gone for long.
    pub(crate) fn forget(&mut self, now: Duration) {
        self.members.retain(|_, m| m.life.is_there() || now.saturating_sub(m.since) < GONE_FOR);
        let members = &self.members;
        self.by_part.iter_mut().for_each(|ids| ids.retain(|id| members.contains_key(id)));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::words::{Kind, Zone};

    fn alive(id: u64, incarnation: u64) -> Rumour {
        let address = "127.0.0.1:1".parse().expect("an address");
        let about = Arc::new(About { address, zone: Zone::default(), kind: Kind::Front });
        Rumour::Alive { id: MemberId(id), incarnation: Incarnation(incarnation), about }
    }

    fn suspected(id: u64, incarnation: u64, by: u64) -> Rumour {
        Rumour::Suspected { id: MemberId(id), incarnation: Incarnation(incarnation), by: MemberId(by) }
    }

    fn gone(id: u64, incarnation: u64, by: u64) -> Rumour {
        Rumour::Gone { id: MemberId(id), incarnation: Incarnation(incarnation), by: MemberId(by) }
    }

    /// What is believed in the end does not hang on the order in which it is heard.
    #[test]
    fn the_same_rumours_in_any_order_end_in_the_same_belief() {
        let all = [
            alive(1, 0),
            alive(1, 1),
            alive(1, 3),
            suspected(1, 0, 7),
            suspected(1, 1, 8),
            suspected(1, 2, 7),
            gone(1, 1, 9),
            gone(1, 2, 9),
        ];
        // All orders of eight, by Heap's algorithm; the first word of a member must be that it is there, as others mean nothing.
        let mut order: Vec<usize> = (0..all.len()).collect();
        let mut at = vec![0; all.len()];
        let (mut i, mut ends) = (0, std::collections::BTreeMap::new());
        let mut look = |order: &[usize]| {
            let mut r = Roster::default();
            r.hear(Duration::ZERO, &alive(1, 0));
            for n in order {
                r.hear(Duration::ZERO, &all[*n]);
            }
            let m = r.get(MemberId(1)).expect("known");
            *ends.entry((m.life, m.incarnation, r.digest(), r.there())).or_insert(0) += 1;
        };
        look(&order);
        while i < all.len() {
            if at[i] < i {
                order.swap(if i % 2 == 0 { 0 } else { at[i] }, i);
                look(&order);
                at[i] += 1;
                i = 0;
            } else {
                at[i] = 0;
                i += 1;
            }
        }
        assert_eq!(ends.values().sum::<i32>(), 40_320);
        assert_eq!(ends.len(), 1, "{ends:?}");
        assert_eq!(ends.keys().next().map(|k| (k.0, k.1)), Some((Life::Alive, Incarnation(3))));
    }

    #[test]
    fn whoever_left_stays_away_and_whoever_is_gone_comes_back_by_its_own_word() {
        let mut r = Roster::default();
        assert_eq!(r.hear(Duration::ZERO, &suspected(1, 0, 2)), Worth::Old, "nobody of that name");
        for id in [1, 2] {
            assert_eq!(r.hear(Duration::ZERO, &alive(id, 0)), Worth::New);
        }
        let before = r.digest();
        r.hear(Duration::ZERO, &gone(1, 0, 3));
        r.hear(Duration::ZERO, &gone(2, 0, 2));
        assert_eq!((r.there(), r.digest()), (0, Roster::default().digest()));
        assert_eq!(r.hear(Duration::ZERO, &alive(1, 0)), Worth::Old);
        assert_eq!(r.hear(Duration::ZERO, &alive(1, 1)), Worth::New);
        assert_eq!(r.hear(Duration::ZERO, &alive(2, 1)), Worth::Old);
        assert_ne!(r.digest(), before);
        r.forget(GONE_FOR);
        assert_eq!(r.iter().map(|m| m.0).collect::<Vec<_>>(), [MemberId(1)]);
    }

    #[test]
    fn a_full_roster_lets_go_of_the_gone_and_of_nobody_else() {
        let mut r = Roster::default();
        for id in 0..MOST as u64 {
            r.hear(Duration::ZERO, &alive(id, 0));
        }
        assert_eq!(r.hear(Duration::ZERO, &alive(MOST as u64, 0)), Worth::Old);
        r.hear(Duration::from_secs(1), &gone(5, 0, 6));
        assert_eq!(r.hear(Duration::ZERO, &alive(MOST as u64, 0)), Worth::New);
        assert_eq!((r.there(), r.get(MemberId(5))), (MOST, None));
    }
}
