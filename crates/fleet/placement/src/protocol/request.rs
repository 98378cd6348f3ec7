//! Customers' requests to pin a shard.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::names::{Digest, Region};
use super::shard::{MAX_TITLES, Titles};

/// Maximum number of copies in one region.
pub const MAX_COPIES: u8 = 8;
/// Maximum total size of the names of a shard's titles, in bytes, so that its record fits into a message of a topic.
pub const MAX_TITLE_NAMES_BYTES: usize = 32 << 10;
/// Maximum number of regions of a request.
pub const MAX_REGIONS: usize = 16;
/// Maximum size of a copy in bytes: 64 TiB.
pub const MAX_COPY_BYTES: u64 = 64 << 40;
/// Maximum duration of a failover, in milliseconds: 30 days.
pub const MAX_FAILOVER_MS: u64 = 30 * 24 * 3_600_000;

/// The region that fronts prefer for a shard.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum First {
    /// Fronts prefer this region while any media server there is usable.
    Home(Region),
    /// Fronts have no preference among the allowed regions, and the decision module chooses.
    Nearest,
}

/// The behaviour when a region is lost.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum OnLoss {
    /// No copy is made or served in any other region.
    Refuse,
    /// The region's copies are made and served in another region for a limited time.
    #[serde(rename = "lend")]
    FailOver {
        /// Candidate regions. The first one with enough capacity is used.
        to: Vec<Region>,
        /// Maximum duration of the failover, in milliseconds.
        #[serde(rename = "for_ms")]
        max_duration_ms: u64,
    },
}

/// The behaviour when there is not enough capacity for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WhenFull {
    /// The request is refused.
    #[default]
    Refuse,
    /// The request waits for capacity, and can be replaced by a later one meanwhile.
    Wait,
}

/// A customer's request to pin a shard, as JSON or in settings.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Titles of the shard.
    pub titles: Titles,
    /// Size of a copy in bytes.
    pub bytes: u64,
    /// Digest of the content, which never changes. Different content needs a new shard.
    pub digest: Digest,
    /// Number of streams that each copy has to be able to play at once.
    #[serde(default)]
    pub streams: u32,
    /// Rate that each copy has to be able to send, in kB per second.
    #[serde(default)]
    pub kb_s: u32,
    /// Number of copies in each allowed region.
    pub regions: BTreeMap<Region, u8>,
    /// The preferred region.
    pub first: First,
    /// The behaviour when a region is lost.
    pub on_loss: OnLoss,
    /// The behaviour when there is not enough capacity.
    #[serde(default)]
    pub when_full: WhenFull,
}

/// Resources that a copy needs of its media server and of the rack's uplink, or that are available there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Resources {
    /// Bytes on disk.
    pub bytes: u64,
    /// Number of concurrent streams.
    pub streams: u64,
    /// Rate on the media server's link and on the rack's uplink, in kB per second.
    pub kb_s: u64,
}

impl Resources {
    /// Returns the sum of both amounts, saturating.
    pub fn saturating_add(self, other: Resources) -> Resources {
        Resources {
            bytes: self.bytes.saturating_add(other.bytes),
            streams: self.streams.saturating_add(other.streams),
            kb_s: self.kb_s.saturating_add(other.kb_s),
        }
    }

    /// Returns the difference of both amounts, saturating at zero.
    pub fn saturating_sub(self, other: Resources) -> Resources {
        Resources {
            bytes: self.bytes.saturating_sub(other.bytes),
            streams: self.streams.saturating_sub(other.streams),
            kb_s: self.kb_s.saturating_sub(other.kb_s),
        }
    }

    /// Returns whether `other` fits into this amount.
    pub fn fits(self, other: Resources) -> bool {
        other.bytes <= self.bytes && other.streams <= self.streams && other.kb_s <= self.kb_s
    }
}

/// The reason why a request is invalid, with a remedy.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The request names no titles, or too many.
    #[error("titles: name 1 to {MAX_TITLES}, or a range of hashes")]
    Titles,
    /// The names of the titles are too long in total.
    #[error(
        "titles: their names take {0} bytes, more than {MAX_TITLE_NAMES_BYTES}; use a range of hashes, or two shards"
    )]
    Names(usize),
    /// The bounds of a range of hashes are in the wrong order.
    #[error("titles: from {from} is above to {to}; swap them")]
    Range {
        /// The requested lower bound.
        from: u64,
        /// The requested upper bound.
        to: u64,
    },
    /// The size of a copy is out of range.
    #[error("bytes: {0} is not 1 to {MAX_COPY_BYTES}; split a larger shard")]
    Bytes(u64),
    /// The number of regions is out of range.
    #[error("regions: {0} are named, 1 to {MAX_REGIONS} are needed")]
    Regions(usize),
    /// The number of copies in a region is out of range.
    #[error("regions: {copies} copies in {region}; 1 to {MAX_COPIES} may be asked for")]
    Copies {
        /// The region.
        region: Region,
        /// The requested number of copies.
        copies: u8,
    },
    /// The preferred region is not an allowed one.
    #[error("first: home {0} is not an allowed region")]
    Home(Region),
    /// A failover names no region, too many, or one that is allowed anyway.
    #[error("on_loss: lend to 1 to {MAX_REGIONS} regions that are not allowed already")]
    FailoverRegions,
    /// The duration of a failover is out of range.
    #[error("on_loss: for_ms {0} is not 1000 to {MAX_FAILOVER_MS}")]
    FailoverDuration(u64),
}

impl Request {
    /// Checks whether the request is valid by itself.
    ///
    /// # Errors
    /// Returns the first problem that was found.
    pub fn check(&self) -> Result<(), RequestError> {
        match &self.titles {
            Titles::Named(all) if all.is_empty() || all.len() > MAX_TITLES => {
                return Err(RequestError::Titles);
            }
            Titles::Named(all) => {
                let names: usize = all.iter().map(|t| t.as_str().len()).sum();
                if names > MAX_TITLE_NAMES_BYTES {
                    return Err(RequestError::Names(names));
                }
            }
            Titles::Range { from, to } if from > to => {
                return Err(RequestError::Range { from: *from, to: *to });
            }
            Titles::Range { .. } => {}
        }
        if self.bytes == 0 || self.bytes > MAX_COPY_BYTES {
            return Err(RequestError::Bytes(self.bytes));
        }
        if self.regions.is_empty() || self.regions.len() > MAX_REGIONS {
            return Err(RequestError::Regions(self.regions.len()));
        }
        if let Some((region, copies)) = self.regions.iter().find(|(_, c)| **c == 0 || **c > MAX_COPIES) {
            return Err(RequestError::Copies { region: region.clone(), copies: *copies });
        }
        if let First::Home(home) = &self.first
            && !self.regions.contains_key(home)
        {
            return Err(RequestError::Home(home.clone()));
        }
        if let OnLoss::FailOver { to, max_duration_ms } = &self.on_loss {
            let others: BTreeSet<&Region> = to.iter().filter(|r| !self.regions.contains_key(r)).collect();
            if to.is_empty() || to.len() > MAX_REGIONS || others.len() != to.len() {
                return Err(RequestError::FailoverRegions);
            }
            if !(1_000..=MAX_FAILOVER_MS).contains(max_duration_ms) {
                return Err(RequestError::FailoverDuration(*max_duration_ms));
            }
        }
        Ok(())
    }

    /// Returns the resources that one copy needs.
    pub fn resources(&self) -> Resources {
        Resources { bytes: self.bytes, streams: u64::from(self.streams), kb_s: u64::from(self.kb_s) }
    }

    /// Returns the number of copies in all regions.
    pub fn copies(&self) -> u32 {
        self.regions.values().map(|c| u32::from(*c)).sum()
    }

    /// Returns the size of all copies in bytes.
    pub fn total_bytes(&self) -> u64 {
        self.bytes.saturating_mul(u64::from(self.copies()))
    }
}
