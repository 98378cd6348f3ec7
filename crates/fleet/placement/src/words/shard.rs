//! What a shard is: which of its customer's titles.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::names::Title;

/// Titles of a shard that names them, at most.
pub const MOST_TITLES: usize = 512;

/// Which titles of its customer's. A title lies in one shard at most; those of other customers are never meant.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Titles {
    /// These.
    Named(BTreeSet<Title>),
    /// Those whose hash lies here, both ends included.
    Range {
        /// The lowest hash.
        from: u64,
        /// The highest.
        to: u64,
    },
}

/// A title's hash: FNV-1a of 64 bits, then the last mix of `SplitMix64` (Steele, Lea and Flood, OOPSLA 2014), as FNV alone leaves
/// the upper bits of names that differ at their end alike.
pub fn title_hash(title: &str) -> u64 {
    let fnv = title
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    let mixed = (fnv ^ (fnv >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

impl Titles {
    /// Whether a title of its customer's is one of them.
    pub fn has(&self, title: &str) -> bool {
        match self {
            Titles::Named(all) => Title::try_from(title).is_ok_and(|t| all.contains(&t)),
            Titles::Range { from, to } => (*from..=*to).contains(&title_hash(title)),
        }
    }

    /// A title that both have, or that both might have.
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
