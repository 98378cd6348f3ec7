//! Filters on a title's holders: which media servers are offered to the policy.
//!
//! The policy chooses among the holders it is offered and does not know why they are fewer. Two sources filter them.
//! Outlier detection excludes media servers for now: that is advice and never takes a title's last ready holder.
//! Placement restricts a title to some media servers: that is a rule and may leave none. With neither, the holders are
//! those of the endpoint list, the same `Arc` as ever. `docs/design.md` lists this as a departure.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use beechloft::api::{ServerId, SessionId, TitleId};

/// Shares of sessions and of holders are given in parts of this.
const PER_MILLE: u16 = 1_000;

/// A media server that is excluded for now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exclusion {
    /// Which.
    pub server: ServerId,
    /// Of a thousand sessions so many are offered it nonetheless, by a hash of their ids: the media server returns in
    /// steps, and two fronts that step at different moments send the same sessions.
    pub admitted_per_mille: u16,
}

/// Media servers that are excluded for now.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Exclusions {
    /// For all titles, in order of priority.
    pub servers: Vec<Exclusion>,
    /// For one title each.
    pub titles: BTreeMap<Arc<str>, Vec<Exclusion>>,
    /// Of a thousand ready holders of a title so many are excluded at most, rounded down; never all.
    pub max_excluded_per_mille: u16,
}

/// Changes of the media servers that titles may be played at; none: all that hold the title.
pub type Restrictions = Vec<(Arc<str>, Option<Arc<BTreeSet<ServerId>>>)>;

/// A change of the filters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HolderFilter {
    /// From now on these are excluded, and no others.
    Exclude(Exclusions),
    /// From now on these titles are offered at these media servers alone. Other titles stay as they are. What plays is
    /// not cut; no further attempt goes elsewhere.
    Restrict(Restrictions),
}

/// A title, as a filter looks at it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FilteredTitle<'a> {
    pub name: &'a str,
    pub id: TitleId,
}

/// The holders that are left.
#[derive(Debug)]
pub(crate) struct OfferedHolders {
    pub holders: Arc<BTreeSet<ServerId>>,
    /// That media servers are offered although they should be excluded; reported once.
    pub warning: Option<String>,
}

/// The filters in force.
#[derive(Debug, Default)]
pub(crate) struct HolderFilters {
    exclusions: Exclusions,
    restrictions: BTreeMap<Arc<str>, Arc<BTreeSet<ServerId>>>,
    /// Titles whose operators were warned that not all of their bad holders are excluded.
    warned: BTreeSet<TitleId>,
}

/// A hash of session and media server between 0 and 999 (`SplitMix64`'s finalizer over both ids).
fn admission_hash(session: SessionId, server: ServerId) -> u16 {
    let mut hash = session.0 ^ u64::from(server.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    let bounded = (hash ^ (hash >> 31)) % u64::from(PER_MILLE);
    u16::try_from(bounded).unwrap_or_default()
}

impl HolderFilters {
    pub(crate) fn change(&mut self, change: HolderFilter) {
        match change {
            HolderFilter::Exclude(exclusions) => {
                if exclusions != self.exclusions {
                    self.warned.clear();
                }
                self.exclusions = exclusions;
            }
            HolderFilter::Restrict(changes) => {
                for (title, servers) in changes {
                    match servers {
                        Some(servers) => self.restrictions.insert(title, servers),
                        None => self.restrictions.remove(&title),
                    };
                }
            }
        }
    }

    /// Whether a title may be played at a media server.
    pub(crate) fn allows(&self, title: &str, server: ServerId) -> bool {
        self.restrictions.get(title).is_none_or(|servers| servers.contains(&server))
    }

    /// The holders to be offered to a session.
    pub(crate) fn offered(
        &mut self,
        title: FilteredTitle<'_>,
        session: SessionId,
        holders: Arc<BTreeSet<ServerId>>,
        ready: impl Fn(ServerId) -> bool,
    ) -> OfferedHolders {
        let holders = match self.restrictions.get(title.name) {
            Some(allowed) => Arc::new(holders.intersection(allowed).copied().collect()),
            None => holders,
        };
        let of_title = self.exclusions.titles.get(title.name).into_iter().flatten();
        let exclusions: Vec<&Exclusion> = self.exclusions.servers.iter().chain(of_title).collect();
        if exclusions.is_empty() {
            return OfferedHolders { holders, warning: None };
        }
        let ready_holders = holders.iter().filter(|server| ready(**server)).count();
        let max_excluded = self.max_excluded(ready_holders);
        let mut left = BTreeSet::clone(&holders);
        let (mut excluded, mut over_limit) = (0, 0);
        for exclusion in exclusions {
            let server = exclusion.server;
            let admitted = admission_hash(session, server) < exclusion.admitted_per_mille;
            if admitted || !left.contains(&server) || !ready(server) {
                continue;
            }
            if excluded >= max_excluded {
                over_limit += 1;
                continue;
            }
            left.remove(&server);
            excluded += 1;
        }
        let warns = over_limit > 0 && self.warned.insert(title.id);
        let warning = warns.then(|| {
            let name = title.name;
            format!("title {name}: {over_limit} of its {ready_holders} ready media servers are judged bad and offered nonetheless")
        });
        let holders = if excluded > 0 { Arc::new(left) } else { holders };
        OfferedHolders { holders, warning }
    }

    /// How many of a title's ready holders may be excluded. The last one is offered, bad or not.
    fn max_excluded(&self, ready_holders: usize) -> usize {
        let per_mille = usize::from(self.exclusions.max_excluded_per_mille.min(PER_MILLE));
        let rounded_down = ready_holders * per_mille / usize::from(PER_MILLE);
        rounded_down.min(ready_holders.saturating_sub(1))
    }
}
