//! Packets with which fronts exchange rows.

use beechloft_membership::MemberId;
use serde::{Deserialize, Serialize};

/// Maximum number of known rows. Rows of further members are rejected.
pub const MAX_ROWS: usize = 1_024;
/// Maximum number of sections in a row.
pub const MAX_SECTIONS: usize = 8;
/// Maximum total size of a row's sections in bytes, so that a row fits into one packet.
pub const MAX_ROW_BYTES: usize = 1_100;
/// Maximum size of a packet in bytes. A datagram including headers then stays under 1,432 bytes, so that no network between two
/// fronts fragments it.
pub const MAX_PACKET_BYTES: usize = 1_300;
/// Maximum valid version. A thousand changes per second reach it after 8,000 years.
pub(crate) const MAX_VERSION: u64 = 1 << 48;
/// Maximum valid age of a row in milliseconds: one day.
pub(crate) const MAX_AGE_MS: u32 = 86_400_000;
/// Number of buckets of rows. Each bucket has a digest.
pub(crate) const BUCKETS: usize = 32;

/// Maximum size in bytes of an encoded 64-bit integer.
const MAX_VARINT_LEN: usize = 10;
/// Maximum size in bytes of the encoded length of a list.
const MAX_LENGTH_PREFIX_LEN: usize = 2;
/// Maximum size in bytes of an encoded bit set of buckets.
const MAX_BUCKET_SET_LEN: usize = 5;
/// Size in bytes of an encoded digest of a bucket.
const DIGEST_LEN: usize = 8;
/// Maximum size in bytes of a packet without its message's fields: the sender, the receiver and the message's tag.
const PACKET_HEADER_LEN: usize = MAX_VARINT_LEN + MAX_VARINT_LEN + 1;

/// Maximum size in bytes of an encoded [`RowDelta`] without its sections.
const MAX_DELTA_OVERHEAD: usize = 40;
/// Maximum size in bytes of an encoded [`RowVersion`].
pub(crate) const MAX_ROW_VERSION_LEN: usize = 18;
/// Size in bytes that a packet with [`Message::Versions`] reserves for everything but the versions.
pub(crate) const VERSIONS_OVERHEAD: usize = 58;
/// Maximum size in bytes of a packet with [`Message::Rows`] without the rows.
pub(crate) const ROWS_OVERHEAD: usize = PACKET_HEADER_LEN + MAX_VARINT_LEN + MAX_LENGTH_PREFIX_LEN;

/// The kind of data in a section of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SectionKind(pub u8);

impl SectionKind {
    /// Usage that a front has admitted against quotas that are enforced by gossip.
    pub const SOFT_QUOTAS: SectionKind = SectionKind(1);
    /// A front's report on its attempts at media servers.
    pub const OUTLIER_REPORT: SectionKind = SectionKind(2);
}

/// A member id in a packet, with a fixed size of eight bytes.
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

/// The known version of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowVersion {
    /// The member whose row it is.
    pub member: MemberKey,
    /// The version, or 0 if the row is unknown.
    pub version: u64,
}

/// A section of a row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Section {
    /// The kind of data in the section.
    pub kind: SectionKind,
    /// The row's version at which the section changed last.
    pub version: u64,
    /// The encoded content.
    pub bytes: Vec<u8>,
}

/// The sections of a row that changed since a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowDelta {
    /// The member whose row it is.
    pub member: MemberKey,
    /// The front's slot, or `None` if it has none.
    pub front_slot: Option<u16>,
    /// Version after which the included sections changed. The delta is of no use to a receiver that knows only an older version.
    pub since: u64,
    /// The row's version.
    pub version: u64,
    /// Upper bound of the row's age when the delta was sent, in milliseconds.
    pub age_ms: u32,
    /// The changed sections.
    pub sections: Vec<Section>,
}

impl RowDelta {
    /// Returns an upper bound of the encoded length in bytes.
    pub(crate) fn max_encoded_len(&self) -> usize {
        let section_len =
            |section: &Section| 1 + MAX_VARINT_LEN + MAX_LENGTH_PREFIX_LEN + section.bytes.len();
        MAX_DELTA_OVERHEAD + self.sections.iter().map(section_len).sum::<usize>()
    }

    /// Returns whether a front could have sent the delta.
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

/// The purpose of a packet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Request for the versions of all rows in buckets whose digests differ.
    CompareDigests {
        /// The id that the sender gave the request.
        seq: u64,
        /// The sender's digests, one per bucket.
        digests: Vec<[u8; 8]>,
    },
    /// Versions that the sender knows in buckets that differ, and a request for the rows that are newer at the receiver.
    Versions {
        /// The id of the request that the message answers.
        in_reply_to: u64,
        /// The id that the sender gave its own request.
        seq: u64,
        /// Bit set of the buckets of which all rows are listed.
        complete_buckets: u32,
        /// Versions that the sender knows.
        versions: Vec<RowVersion>,
    },
    /// Request for rows that are newer than the listed versions.
    RequestRows {
        /// The id that the sender gave the request.
        seq: u64,
        /// Versions that the sender knows.
        versions: Vec<RowVersion>,
    },
    /// Rows that are newer than the versions in the message that this one answers.
    Rows {
        /// The id of the [`Message::Versions`] or [`Message::RequestRows`] that the message answers.
        in_reply_to: u64,
        /// The changed sections of each row.
        rows: Vec<RowDelta>,
    },
}

/// The payload of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// The sender.
    pub from: MemberId,
    /// The receiver.
    pub to: MemberId,
    /// The purpose of the packet.
    pub message: Message,
}

impl Packet {
    /// Returns an upper bound of the encoded length in bytes.
    pub fn max_encoded_len(&self) -> usize {
        let message = match &self.message {
            Message::CompareDigests { digests, .. } => {
                MAX_VARINT_LEN + MAX_LENGTH_PREFIX_LEN + DIGEST_LEN * digests.len()
            }
            Message::Versions { versions, .. } => {
                let fixed_fields = MAX_VARINT_LEN + MAX_VARINT_LEN + MAX_BUCKET_SET_LEN;
                fixed_fields + MAX_LENGTH_PREFIX_LEN + MAX_ROW_VERSION_LEN * versions.len()
            }
            Message::RequestRows { versions, .. } => {
                MAX_VARINT_LEN + MAX_LENGTH_PREFIX_LEN + MAX_ROW_VERSION_LEN * versions.len()
            }
            Message::Rows { rows, .. } => {
                MAX_VARINT_LEN
                    + MAX_LENGTH_PREFIX_LEN
                    + rows.iter().map(RowDelta::max_encoded_len).sum::<usize>()
            }
        };
        PACKET_HEADER_LEN + message
    }
}
