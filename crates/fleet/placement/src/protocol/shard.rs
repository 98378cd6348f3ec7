//! The titles of a shard.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::names::Title;

/// Maximum number of titles of a shard that lists them by name.
pub const MAX_TITLES: usize = 512;

/// A set of one customer's titles. A title is in one shard of its customer at most.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Titles {
    /// Titles by name.
    Named(BTreeSet<Title>),
    /// Titles whose hash is in a range that includes both bounds.
    Range {
        /// Lower bound.
        from: u64,
        /// Upper bound.
        to: u64,
    },
}

/// Returns the hash of a title: 64-bit FNV-1a, followed by the finalizer of `SplitMix64` (Steele, Lea and Flood,
/// OOPSLA 2014), because FNV alone gives names that differ only at their end the same upper bits.
pub fn title_hash(title: &str) -> u64 {
    let fnv = title
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    let mixed = (fnv ^ (fnv >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

impl Titles {
    /// Returns whether the set contains a title of its customer.
    pub fn has(&self, title: &str) -> bool {
        match self {
            Titles::Named(all) => Title::try_from(title).is_ok_and(|t| all.contains(&t)),
            Titles::Range { from, to } => (*from..=*to).contains(&title_hash(title)),
        }
    }

    /// Returns a description of what both sets contain, or may contain, and `None` if they are disjoint.
    pub fn overlaps(&self, other: &Titles) -> Option<String> {
        match (self, other) {
            (Titles::Named(a), Titles::Named(b)) => a.intersection(b).next().map(|t| format!("title '{t}'")),
            (Titles::Named(a), Titles::Range { .. }) => {
                a.iter().find(|t| other.has(t.as_str())).map(|t| format!("title '{t}'"))
            }
            (Titles::Range { .. }, Titles::Named(_)) => other.overlaps(self),
            (Titles::Range { from: a, to: b }, Titles::Range { from: c, to: d }) => {
                (a <= d && c <= b).then(|| format!("hashes from {} to {}", a.max(c), b.min(d)))
            }
        }
    }
}
