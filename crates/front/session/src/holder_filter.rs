//! Filters on the holders of titles, which determine the media servers that are offered to the policy.
//!
//! The policy chooses among the holders that it is offered, without knowing why some are missing. There are two filters.
//! Outlier detection excludes media servers temporarily. Exclusions are advisory and never remove the last ready holder
//! of a title. Placement restricts a title to some media servers. Restrictions are binding and may leave no holder. If
//! neither applies, the policy is offered the holders of the endpoint list, as the same `Arc`. `docs/design.md` lists this
//! as a departure.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use beechloft::api::{ServerId, SessionId, TitleId};

/// The unit of shares of sessions and of holders: one thousandth.
const PER_MILLE: u16 = 1_000;

/// A temporary exclusion of a media server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exclusion {
    /// The excluded media server.
    pub server: ServerId,
    /// Share of sessions that are offered the media server anyway, in thousandths.
    ///
    /// The sessions are chosen by a hash of their ids. The share is raised in steps as the media server is readmitted, and
    /// fronts that take a step at different times still choose the same sessions.
    pub admitted_per_mille: u16,
}

/// The set of temporary exclusions.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Exclusions {
    /// Exclusions from all titles, in order of priority.
    pub servers: Vec<Exclusion>,
    /// Exclusions from single titles, by the name of the title.
    pub titles: BTreeMap<Arc<str>, Vec<Exclusion>>,
    /// Maximum share of a title's ready holders that are excluded, in thousandths, rounded down. At least one holder is
    /// always left.
    pub max_excluded_per_mille: u16,
}

/// Changes of the media servers that titles are restricted to, by the name of the title. `None` lifts the restriction.
pub type Restrictions = Vec<(Arc<str>, Option<Arc<BTreeSet<ServerId>>>)>;

/// A change of the filters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HolderFilter {
    /// Replaces all exclusions.
    Exclude(Exclusions),
    /// Changes the restrictions of the given titles and leaves those of other titles unchanged. Sessions that play are not
    /// interrupted, but no further attempt goes to a media server that is no longer allowed.
    Restrict(Restrictions),
}

/// A title whose holders are to be filtered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FilteredTitle<'a> {
    pub name: &'a str,
    pub id: TitleId,
}

/// The holders that passed the filters.
#[derive(Debug)]
pub(crate) struct OfferedHolders {
    pub holders: Arc<BTreeSet<ServerId>>,
    /// Warning that some media servers are offered despite their exclusion. It is given once per title until the
    /// exclusions change.
    pub warning: Option<String>,
}

/// The current filters.
#[derive(Debug, Default)]
pub(crate) struct HolderFilters {
    exclusions: Exclusions,
    restrictions: BTreeMap<Arc<str>, Arc<BTreeSet<ServerId>>>,
    /// Titles for which the warning was given.
    warned: BTreeSet<TitleId>,
}

/// Hashes the ids of a session and a media server to a value from 0 to 999, with the finalizer of `SplitMix64`.
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

    /// Returns whether the restrictions allow a title to be played at a media server.
    pub(crate) fn allows(&self, title: &str, server: ServerId) -> bool {
        self.restrictions.get(title).is_none_or(|servers| servers.contains(&server))
    }

    /// Returns the holders to be offered to a session.
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
            format!(
                "title {name}: {over_limit} of {ready_holders} ready media servers offered despite ejection: limit reached"
            )
        });
        let holders = if excluded > 0 { Arc::new(left) } else { holders };
        OfferedHolders { holders, warning }
    }

    /// Returns how many of a title's ready holders may be excluded. At least one is always offered.
    fn max_excluded(&self, ready_holders: usize) -> usize {
        let per_mille = usize::from(self.exclusions.max_excluded_per_mille.min(PER_MILLE));
        let rounded_down = ready_holders * per_mille / usize::from(PER_MILLE);
        rounded_down.min(ready_holders.saturating_sub(1))
    }
}
