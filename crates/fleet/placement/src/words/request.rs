//! What a customer asks for.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::names::{Digest, Region};
use super::shard::{MOST_TITLES, Titles};

/// Copies in one region at most.
pub const MOST_COPIES: u8 = 8;
/// Bytes of the names of a shard's titles at most: its record is to fit into a message of a topic.
pub const MOST_NAMES: usize = 32 << 10;
/// Regions of a request at most.
pub const MOST_REGIONS: usize = 16;
/// Bytes of a copy at most: 64 TiB.
pub const MOST_BYTES: u64 = 64 << 40;
/// The longest lend: 30 days, milliseconds.
pub const LONGEST_LEND_MS: u64 = 30 * 24 * 3_600_000;

/// Where fronts play a shard first.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum First {
    /// In this region while any box there can be used, elsewhere after it.
    Home(Region),
    /// Wherever the decision module likes best among all that are allowed.
    Nearest,
}

/// What happens when a region is lost.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum OnLoss {
    /// Nothing is kept or played anywhere else.
    Refuse,
    /// Its copies are made and played in one of these for a time.
    Lend {
        /// Where, the first that has room.
        to: Vec<Region>,
        /// For how long at most, milliseconds.
        for_ms: u64,
    },
}

/// What becomes of a request that does not fit now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WhenFull {
    /// It is refused.
    #[default]
    Refuse,
    /// It waits for room, and may be taken back meanwhile.
    Wait,
}

/// A request, as JSON or in settings.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Which titles.
    pub titles: Titles,
    /// What a copy takes, bytes.
    pub bytes: u64,
    /// Of a copy's content, which never changes: other content is another shard.
    pub digest: Digest,
    /// Streams that each copy is to be able to play at once.
    #[serde(default)]
    pub streams: u32,
    /// What each copy is to be able to send, kB a second.
    #[serde(default)]
    pub kb_s: u32,
    /// The regions allowed, and copies in each.
    pub regions: BTreeMap<Region, u8>,
    /// Where it is played first.
    pub first: First,
    /// What happens on loss of a region.
    pub on_loss: OnLoss,
    /// What becomes of it if it does not fit.
    #[serde(default)]
    pub when_full: WhenFull,
}

/// What one copy needs at its box, and at its rack's uplink.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Room {
    /// On disk.
    pub bytes: u64,
    /// Streams at once.
    pub streams: u64,
    /// Of the link, and of the rack's uplink, kB a second.
    pub kb_s: u64,
}

impl Room {
    /// Both together.
    pub fn plus(self, other: Room) -> Room {
        Room {
            bytes: self.bytes.saturating_add(other.bytes),
            streams: self.streams.saturating_add(other.streams),
            kb_s: self.kb_s.saturating_add(other.kb_s),
        }
    }

    /// What is left without another.
    pub fn less(self, other: Room) -> Room {
        Room {
            bytes: self.bytes.saturating_sub(other.bytes),
            streams: self.streams.saturating_sub(other.streams),
            kb_s: self.kb_s.saturating_sub(other.kb_s),
        }
    }

    /// Whether it has room for another.
    pub fn fits(self, other: Room) -> bool {
        other.bytes <= self.bytes && other.streams <= self.streams && other.kb_s <= self.kb_s
    }
}

/// What can't be asked for, and what to do.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RequestError {
    /// No titles, or too many.
    #[error("titles: name 1 to {MOST_TITLES}, or a range of hashes")]
    Titles,
    /// Names that take too much.
    #[error("titles: their names take {0} bytes, {MOST_NAMES} at most; use a range of hashes, or two shards")]
    Names(usize),
    /// A range that goes backwards.
    #[error("titles: from {from} is above to {to}; swap them")]
    Range {
        /// As asked.
        from: u64,
        /// As asked.
        to: u64,
    },
    /// No bytes, or too many.
    #[error("bytes: {0} is not 1 to {MOST_BYTES}; a larger shard is to be split")]
    Bytes(u64),
    /// No regions, or too many.
    #[error("regions: {0} are named, 1 to {MOST_REGIONS} are needed")]
    Regions(usize),
    /// Copies out of bounds.
    #[error("regions: {copies} copies in {region}; 1 to {MOST_COPIES} may be asked for")]
    Copies {
        /// Where.
        region: Region,
        /// As asked.
        copies: u8,
    },
    /// A home that is not allowed.
    #[error("first: home {0} is none of the regions allowed")]
    Home(Region),
    /// Lending to nobody, or to a region that is allowed anyway.
    #[error("on_loss: lend to 1 to {MOST_REGIONS} regions that are not allowed already")]
    LendTo,
    /// Lending for no time, or for too long.
    #[error("on_loss: for_ms {0} is not 1000 to {LONGEST_LEND_MS}")]
    LendFor(u64),
}

impl Request {
    /// Whether it makes sense by itself.
    ///
    /// # Errors
    /// The first thing that does not, and what to do.
    pub fn check(&self) -> Result<(), RequestError> {
        match &self.titles {
            Titles::Named(all) if all.is_empty() || all.len() > MOST_TITLES => {
                return Err(RequestError::Titles);
            }
            Titles::Named(all) => {
                let names: usize = all.iter().map(|t| t.as_str().len()).sum();
                if names > MOST_NAMES {
                    return Err(RequestError::Names(names));
                }
            }
            Titles::Range { from, to } if from > to => {
                return Err(RequestError::Range { from: *from, to: *to });
            }
            Titles::Range { .. } => {}
        }
        if self.bytes == 0 || self.bytes > MOST_BYTES {
            return Err(RequestError::Bytes(self.bytes));
        }
        if self.regions.is_empty() || self.regions.len() > MOST_REGIONS {
            return Err(RequestError::Regions(self.regions.len()));
        }
        if let Some((region, copies)) = self.regions.iter().find(|(_, c)| **c == 0 || **c > MOST_COPIES) {
            return Err(RequestError::Copies { region: region.clone(), copies: *copies });
        }
        if let First::Home(home) = &self.first
            && !self.regions.contains_key(home)
        {
            return Err(RequestError::Home(home.clone()));
        }
        if let OnLoss::Lend { to, for_ms } = &self.on_loss {
            let others: BTreeSet<&Region> = to.iter().filter(|r| !self.regions.contains_key(r)).collect();
            if to.is_empty() || to.len() > MOST_REGIONS || others.len() != to.len() {
                return Err(RequestError::LendTo);
            }
            if !(1_000..=LONGEST_LEND_MS).contains(for_ms) {
                return Err(RequestError::LendFor(*for_ms));
            }
        }
        Ok(())
    }

    /// What a copy needs.
    pub fn room(&self) -> Room {
        Room { bytes: self.bytes, streams: u64::from(self.streams), kb_s: u64::from(self.kb_s) }
    }

    /// Copies in all regions.
    pub fn copies(&self) -> u32 {
        self.regions.values().map(|c| u32::from(*c)).sum()
    }

    /// Bytes of all copies.
    pub fn all_bytes(&self) -> u64 {
        self.bytes.saturating_mul(u64::from(self.copies()))
    }
}
