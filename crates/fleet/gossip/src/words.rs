//! What fronts say to each other of their rows.

use beechloft_membership::MemberId;
use serde::{Deserialize, Serialize};

/// Rows at most: what a full table is offered besides is refused.
pub const MOST_ROWS: usize = 1_024;
/// Sections of a row at most.
pub const MOST_SECTIONS: usize = 8;
/// Bytes of all sections of a row: a row fits into one packet.
pub const MOST_ROW: usize = 1_100;
/// Bytes of a packet's body; with its head a datagram stays under 1,432 bytes, which no network between two fronts cuts up.
pub const MOST_PACKET: usize = 1_300;
/// A version past this is nonsense: a thousand changes a second reach it after 8,000 years.
pub(crate) const MOST_VERSION: u64 = 1 << 48;
/// Parts into which rows are compared.
pub(crate) const PARTS: usize = 32;
/// An age past this is nonsense.
pub(crate) const MOST_AGE_MS: u32 = 86_400_000;

/// What a section is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Kind(pub u8);

impl Kind {
    /// What a front has admitted of limits that are counted by gossip.
    pub const SOFT_LIMITS: Kind = Kind(1);
    /// What a front has seen of boxes.
    pub const EVIDENCE: Kind = Kind(2);
}

/// A front's life in a packet: eight bytes whatever its value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LifeKey(pub [u8; 8]);

impl From<MemberId> for LifeKey {
    fn from(id: MemberId) -> LifeKey {
        LifeKey(id.0.to_le_bytes())
    }
}

impl From<LifeKey> for MemberId {
    fn from(key: LifeKey) -> MemberId {
        MemberId(u64::from_le_bytes(key.0))
    }
}

/// Of a row, what is known: its version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Whose.
    pub life: LifeKey,
    /// Its version; nought: nothing is known of it.
    pub version: u64,
}

/// A part of a row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Section {
    /// What it is about.
    pub kind: Kind,
    /// The row's version when it changed last.
    pub version: u64,
    /// What it says.
    pub bytes: Vec<u8>,
}

/// What changed of a row since a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Whose.
    pub life: LifeKey,
    /// Its number among the fronts, if it has one.
    pub number: Option<u16>,
    /// Since which; who knows less can't use it.
    pub since: u64,
    /// Up to which.
    pub version: u64,
    /// How old it is at most, in milliseconds, when it is said.
    pub age_ms: u32,
    /// The sections that changed.
    pub sections: Vec<Section>,
}

impl Delta {
    /// Bytes that it takes at most: numbers have up to ten.
    pub(crate) fn bytes(&self) -> usize {
        40 + self.sections.iter().map(|s| 1 + 10 + 2 + s.bytes.len()).sum::<usize>()
    }

    pub(crate) fn sound(&self) -> bool {
        let sections = self.sections.len() <= MOST_SECTIONS
            && self.sections.iter().all(|s| s.version <= self.version)
            && self.sections.iter().map(|s| s.bytes.len()).sum::<usize>() <= MOST_ROW;
        sections && self.since <= self.version && self.version <= MOST_VERSION && self.age_ms <= MOST_AGE_MS
    }
}

/// What a packet is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Said {
    /// How do our rows differ? Digests of all parts.
    Compare {
        /// The asker's number for it.
        seq: u64,
        /// Of each part.
        parts: Vec<[u8; 8]>,
    },
    /// These versions are known here, of the parts that differ; whoever knows newer ones is asked for them.
    Digest {
        /// The number of what it answers.
        answers: u64,
        /// Its own number: rows come in answer to it.
        seq: u64,
        /// The parts, a bit each, that are named in full.
        parts: u32,
        /// The versions.
        entries: Vec<Entry>,
    },
    /// Rows newer than these, please.
    Want {
        /// The asker's number for it.
        seq: u64,
        /// What it knows.
        entries: Vec<Entry>,
    },
    /// Rows.
    Rows {
        /// The number of the [`Said::Digest`] or [`Said::Want`] that it answers.
        answers: u64,
        /// What changed of each.
        rows: Vec<Delta>,
    },
}

/// A packet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// Who says it.
    pub from: MemberId,
    /// To whom.
    pub to: MemberId,
    /// What.
    pub said: Said,
}

impl Packet {
    /// Bytes that it takes at most.
    pub fn bytes(&self) -> usize {
        let said = match &self.said {
            Said::Compare { parts, .. } => 10 + 2 + 8 * parts.len(),
            Said::Digest { entries, .. } => 10 + 10 + 5 + 2 + 18 * entries.len(),
            Said::Want { entries, .. } => 10 + 2 + 18 * entries.len(),
            Said::Rows { rows, .. } => 10 + 2 + rows.iter().map(Delta::bytes).sum::<usize>(),
        };
        10 + 10 + 1 + said
    }
}
