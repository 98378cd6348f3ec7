//! Packets in which fronts exchange rows.

use beechloft_membership::MemberId;
use serde::{Deserialize, Serialize};

/// Maximum number of rows. Rows of further members are rejected.
pub const MAX_ROWS: usize = 1_024;
/// Maximum number of sections of a row.
pub const MAX_SECTIONS: usize = 8;
/// Maximum bytes of all sections of a row: a row fits into one packet.
pub const MAX_ROW_BYTES: usize = 1_100;
/// Maximum bytes of a packet. With its headers a datagram stays under 1,432 bytes, which no network between two fronts fragments.
pub const MAX_PACKET_BYTES: usize = 1_300;
/// A version above this is invalid: a thousand changes a second reach it after 8,000 years.
pub(crate) const MAX_VERSION: u64 = 1 << 48;
/// An age above this is invalid.
pub(crate) const MAX_AGE_MS: u32 = 86_400_000;
/// Buckets of rows, each with a digest of its own.
pub(crate) const BUCKETS: usize = 32;

/// Maximum bytes of an encoded 64-bit number.
const MAX_NUMBER_LEN: usize = 10;
/// Maximum bytes of an encoded length of a list.
const MAX_LENGTH_LEN: usize = 2;
/// Maximum bytes of an encoded bit set of buckets.
const MAX_BUCKET_SET_LEN: usize = 5;
/// Bytes of an encoded digest of a bucket.
const DIGEST_LEN: usize = 8;
/// Bytes of a packet besides its message's fields: sender, receiver and the message's tag.
const PACKET_HEADER_LEN: usize = MAX_NUMBER_LEN + MAX_NUMBER_LEN + 1;

/// Maximum bytes of an encoded [`RowVersion`].
pub(crate) const MAX_ROW_VERSION_LEN: usize = 18;
/// Bytes that a packet with [`Message::Versions`] reserves for all but the versions.
pub(crate) const VERSIONS_OVERHEAD: usize = 58;
/// Maximum bytes of a packet with [`Message::Rows`] besides the rows.
pub(crate) const ROWS_OVERHEAD: usize = PACKET_HEADER_LEN + MAX_NUMBER_LEN + MAX_LENGTH_LEN;

/// What a section of a row is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SectionKind(pub u8);

impl SectionKind {
    /// What a front has admitted against quotas that are counted by gossip.
    pub const SOFT_QUOTAS: SectionKind = SectionKind(1);
    /// What a front has observed of media servers.
    pub const OUTLIER_REPORT: SectionKind = SectionKind(2);
}

/// A member's id in a packet: eight bytes whatever its value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberKey(pub [u8; 8]);

impl From<MemberId> for MemberKey {
    fn from(id: MemberId) -> MemberKey {
        MemberKey(id.0.to_le_bytes())
    }
}

impl From<MemberKey> for MemberId {
    fn from(key: MemberKey) -> MemberId {
        MemberId(u64::from_le_bytes(key.0))
    }
}

/// Which version of a row is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowVersion {
    /// Whose row.
    pub member: MemberKey,
    /// Its version; 0: the row is unknown.
    pub version: u64,
}

/// A section of a row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Section {
    /// What it is about.
    pub kind: SectionKind,
    /// The row's version at which it changed last.
    pub version: u64,
    /// Its content.
    pub bytes: Vec<u8>,
}

/// The sections of a row that changed since a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowDelta {
    /// Whose row.
    pub member: MemberKey,
    /// The front's number among the fronts, if it has one.
    pub front_number: Option<u16>,
    /// Sections that changed after this version are included. A receiver that knows an older one can't use them.
    pub since: u64,
    /// The row's version.
    pub version: u64,
    /// Bound of the row's age when it was sent, in milliseconds.
    pub age_ms: u32,
    /// The changed sections.
    pub sections: Vec<Section>,
}

impl RowDelta {
    /// An upper bound of its encoded length in bytes.
    pub(crate) fn max_encoded_len(&self) -> usize {
        let section_len = |section: &Section| 1 + MAX_NUMBER_LEN + MAX_LENGTH_LEN + section.bytes.len();
        40 + self.sections.iter().map(section_len).sum::<usize>()
    }

    /// Whether a front could have sent it.
    pub(crate) fn is_valid(&self) -> bool {
        let section_bytes: usize = self.sections.iter().map(|section| section.bytes.len()).sum();
        self.sections.len() <= MAX_SECTIONS
            && section_bytes <= MAX_ROW_BYTES
            && self.sections.iter().all(|section| section.version <= self.version)
            && self.since <= self.version
            && self.version <= MAX_VERSION
            && self.age_ms <= MAX_AGE_MS
    }
}

/// What a packet is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for the versions of all rows in buckets whose digests differ.
    CompareDigests {
        /// The sender's number for the request.
        seq: u64,
        /// The sender's digest of each bucket.
        digests: Vec<[u8; 8]>,
    },
    /// The versions that the sender knows in buckets that differ. It asks for rows that are newer at the receiver.
    Versions {
        /// The number of the request that it answers.
        in_reply_to: u64,
        /// The sender's number for its own request.
        seq: u64,
        /// A bit set of the buckets of which all rows are listed.
        complete_buckets: u32,
        /// The known versions.
        versions: Vec<RowVersion>,
    },
    /// Asks for rows that are newer than these versions.
    RequestRows {
        /// The sender's number for the request.
        seq: u64,
        /// The versions that the sender knows.
        versions: Vec<RowVersion>,
    },
    /// Rows.
    Rows {
        /// The number of the [`Message::Versions`] or [`Message::RequestRows`] that it answers.
        in_reply_to: u64,
        /// The changes of each row.
        rows: Vec<RowDelta>,
    },
}

/// A datagram's payload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// The sender.
    pub from: MemberId,
    /// The receiver.
    pub to: MemberId,
    /// What it is for.
    pub message: Message,
}

impl Packet {
    /// An upper bound of its encoded length in bytes.
    pub fn max_encoded_len(&self) -> usize {
        let message = match &self.message {
            Message::CompareDigests { digests, .. } => {
                MAX_NUMBER_LEN + MAX_LENGTH_LEN + DIGEST_LEN * digests.len()
            }
            Message::Versions { versions, .. } => {
                let numbers = MAX_NUMBER_LEN + MAX_NUMBER_LEN + MAX_BUCKET_SET_LEN;
                numbers + MAX_LENGTH_LEN + MAX_ROW_VERSION_LEN * versions.len()
            }
            Message::RequestRows { versions, .. } => {
                MAX_NUMBER_LEN + MAX_LENGTH_LEN + MAX_ROW_VERSION_LEN * versions.len()
            }
            Message::Rows { rows, .. } => {
                MAX_NUMBER_LEN + MAX_LENGTH_LEN + rows.iter().map(RowDelta::max_encoded_len).sum::<usize>()
            }
        };
        PACKET_HEADER_LEN + message
    }
}
