//! Narrowing: which of a title's holders are offered to the module.
//!
//! The module chooses among the holders it is offered and knows nothing of why they are fewer. Two narrow them: whoever keeps
//! verdicts of the fleet says which boxes are better avoided for now, and whoever keeps placements says which boxes a title may
//! be played at. The first is advice and never takes a title's last ready holder; the second is a rule and may leave none.
//! With neither, the holders are those of the list, the same `Arc` as ever. `docs/design.md` has it as a departure.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use beechloft::api::{ServerId, SessionId, TitleId};

/// A box to be avoided for now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shy {
    /// Which.
    pub server: ServerId,
    /// Of a thousand sessions so many are offered it nonetheless, by a hash of their names: so a box comes back in steps, and two
    /// fronts that step at different moments never send a herd.
    pub share: u16,
}

/// Boxes to be avoided for now.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Avoid {
    /// For all titles; those that are avoided most surely come first.
    pub boxes: Vec<Shy>,
    /// For one title each.
    pub titles: BTreeMap<Arc<str>, Vec<Shy>>,
    /// Of a thousand ready holders of a title so many are avoided at most, rounded down; never all.
    pub at_most: u16,
}

/// Boxes that titles may be played at: changes.
pub type Only = Vec<(Arc<str>, Option<Arc<BTreeSet<ServerId>>>)>;

/// What narrows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Narrowed {
    /// From now on these are avoided, and no others.
    Avoid(Avoid),
    /// From now on these titles are offered at these boxes alone; none: at all that hold them again. Other titles stay as they
    /// are. What plays is not cut; no further attempt goes elsewhere.
    Only(Only),
}

/// What narrows now.
#[derive(Debug, Default)]
pub(crate) struct Narrowing {
    avoid: Avoid,
    only: BTreeMap<Arc<str>, Arc<BTreeSet<ServerId>>>,
    /// Titles whose operators were told that not all of their bad holders are avoided.
    told: BTreeSet<TitleId>,
}

/// Which sessions, of a thousand, go to a box that comes back (SplitMix64's finalizer over both numbers).
fn lot(session: SessionId, server: ServerId) -> u16 {
    let mut x = session.0 ^ u64::from(server.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((x ^ (x >> 31)) % 1_000) as u16
}

impl Narrowing {
    pub(crate) fn change(&mut self, to: Narrowed) {
        match to {
            Narrowed::Avoid(avoid) => {
                if avoid != self.avoid {
                    self.told.clear();
                }
                self.avoid = avoid;
            }
            Narrowed::Only(changes) => {
                for (title, boxes) in changes {
                    match boxes {
                        Some(boxes) => self.only.insert(title, boxes),
                        None => self.only.remove(&title),
                    };
                }
            }
        }
    }

    /// Whether a title may be played at a box.
    pub(crate) fn allows(&self, title: &str, server: ServerId) -> bool {
        self.only.get(title).is_none_or(|boxes| boxes.contains(&server))
    }

    /// The holders to be offered, and the boxes that would be avoided if others were left: told once.
    pub(crate) fn offered(
        &mut self,
        title: (&str, TitleId),
        session: SessionId,
        holders: Arc<BTreeSet<ServerId>>,
        ready: impl Fn(ServerId) -> bool,
    ) -> (Arc<BTreeSet<ServerId>>, Option<String>) {
        let (name, id) = title;
        let holders = match self.only.get(name) {
            Some(only) => Arc::new(holders.intersection(only).copied().collect()),
            None => holders,
        };
        let of_title = self.avoid.titles.get(name).into_iter().flatten();
        let shy: Vec<&Shy> = self.avoid.boxes.iter().chain(of_title).collect();
        if shy.is_empty() {
            return (holders, None);
        }
        let standing = holders.iter().filter(|b| ready(**b)).count();
        // Never all, whatever is asked for: the last ready holder of a title is played at, bad or not.
        let most =
            (standing * usize::from(self.avoid.at_most.min(1_000)) / 1_000).min(standing.saturating_sub(1));
        let (mut left, mut avoided, mut kept) = (BTreeSet::clone(&holders), 0, 0);
        for s in shy {
            if lot(session, s.server) < s.share || !left.contains(&s.server) || !ready(s.server) {
                continue;
            }
            if avoided >= most {
                kept += 1;
                continue;
            }
            left.remove(&s.server);
            avoided += 1;
        }
        let warns = kept > 0 && self.told.insert(id);
        let said = format!(
            "title {name}: {kept} of its {standing} ready boxes are judged bad and offered nonetheless"
        );
        (if avoided > 0 { Arc::new(left) } else { holders }, warns.then_some(said))
    }
}
