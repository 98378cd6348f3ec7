//! Packets between members, and the updates that are piggybacked on them.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::identity::{Incarnation, MemberId, MemberInfo};

/// Number of buckets of a member list. Each bucket has a digest.
pub(crate) const BUCKETS: usize = 64;
/// Maximum size in bytes of a packet's updates, by [`Update::max_encoded_len`]. A complete packet then stays under 1,300 bytes, so
/// that no network between two fronts fragments it.
pub(crate) const MAX_UPDATE_BYTES: usize = 700;
/// Maximum valid incarnation. Each increment takes a suspicion, so that no member reaches it.
const MAX_INCARNATION: u64 = 1 << 40;

/// Maximum size in bytes of an encoded 64-bit integer.
const MAX_VARINT_LEN: usize = 10;
/// Maximum size in bytes of an encoded address.
const MAX_ADDRESS_LEN: usize = 20;

/// A statement about one member that members disseminate.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Update {
    /// The member is alive.
    Alive {
        /// The member that the update is about.
        id: MemberId,
        /// The incarnation of the member.
        incarnation: Incarnation,
        /// Properties that the member announces.
        info: Arc<MemberInfo>,
    },
    /// The member did not answer a probe.
    Suspect {
        /// The member that the update is about.
        id: MemberId,
        /// The incarnation that is suspected.
        incarnation: Incarnation,
        /// The member that suspects it.
        by: MemberId,
    },
    /// The member is dead, or has left.
    Dead {
        /// The member that the update is about.
        id: MemberId,
        /// The incarnation that is declared dead.
        incarnation: Incarnation,
        /// The member that declares it dead. If it is the member itself, the member has left.
        by: MemberId,
    },
}

impl Update {
    /// Returns the member that the update is about.
    pub fn member(&self) -> MemberId {
        match self {
            Update::Alive { id, .. } | Update::Suspect { id, .. } | Update::Dead { id, .. } => *id,
        }
    }

    /// Returns the incarnation that the update is about.
    pub fn incarnation(&self) -> Incarnation {
        match self {
            Update::Alive { incarnation, .. }
            | Update::Suspect { incarnation, .. }
            | Update::Dead { incarnation, .. } => *incarnation,
        }
    }

    /// Returns an upper bound of the encoded length in bytes.
    pub fn max_encoded_len(&self) -> usize {
        match self {
            Update::Alive { info, .. } => {
                1 + MAX_VARINT_LEN + MAX_VARINT_LEN + MAX_ADDRESS_LEN + 1 + info.zone.len() + 1
            }
            Update::Suspect { .. } | Update::Dead { .. } => 1 + 3 * MAX_VARINT_LEN,
        }
    }

    /// Returns whether a member could have sent the update.
    pub(crate) fn is_valid(&self) -> bool {
        self.incarnation().0 <= MAX_INCARNATION
    }
}

/// The digests of a member list, one per bucket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digests(pub Vec<u64>);

/// The purpose of a packet, besides the updates in it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Probe, which the receiver answers with [`Message::Ack`].
    Ping {
        /// Sequence number that the sender gave the probe.
        seq: u64,
        /// Digest of the sender's entire member list.
        digest: u64,
    },
    /// Request to the receiver to probe a third member on behalf of the sender (SWIM's ping-req).
    PingRequest {
        /// Sequence number that the sender gave the probe.
        seq: u64,
        /// The member to probe.
        target: MemberId,
        /// The address of the member to probe.
        address: SocketAddr,
    },
    /// Answer of the probed member, sent by itself or forwarded by a relay.
    Ack {
        /// Sequence number of the probe.
        seq: u64,
        /// Digest of the sender's entire member list.
        digest: u64,
    },
    /// Answer of a relay whose target has not answered yet (Lifeguard, section IV-A).
    Nack {
        /// Sequence number of the probe.
        seq: u64,
    },
    /// Answer to a probe of a member that no longer runs at this address, sent by the member that does.
    Replaced {
        /// Sequence number of the probe.
        seq: u64,
    },
    /// Request for the updates of all buckets whose digests differ.
    CompareDigests {
        /// The sender's digests.
        digests: Digests,
        /// Whether the message answers another one, so that only updates are sent in return.
        is_reply: bool,
    },
    /// Packet that only carries updates, as an answer to [`Message::CompareDigests`] or an announcement of a departure.
    Updates,
}

/// The payload of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// The sender.
    pub from: MemberId,
    /// The receiver, or `None` for whichever member listens at the address.
    pub to: Option<MemberId>,
    /// The purpose of the packet.
    pub message: Message,
    /// Piggybacked updates.
    pub updates: Vec<Update>,
}

#[cfg(test)]
mod tests;
