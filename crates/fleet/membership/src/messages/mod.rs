//! Packets between members, and the updates that are piggybacked on them.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::identity::{Incarnation, MemberId, MemberInfo};

/// Buckets of a member list, each with a digest of its own.
pub(crate) const BUCKETS: usize = 64;
/// Maximum bytes of a packet's updates, by [`Update::max_encoded_len`]. A whole packet then stays under 1,300 bytes, which no
/// network between two fronts fragments.
pub(crate) const MAX_UPDATE_BYTES: usize = 700;
/// An incarnation above this is invalid: each increment takes a suspicion, and there are never so many.
const MAX_INCARNATION: u64 = 1 << 40;

/// Maximum bytes of an encoded 64-bit number.
const MAX_NUMBER_LEN: usize = 10;
/// Maximum bytes of an encoded address.
const MAX_ADDRESS_LEN: usize = 20;

/// A statement about one member, which members disseminate.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Update {
    /// The member is alive.
    Alive {
        /// The member.
        id: MemberId,
        /// Its incarnation, as the member states it.
        incarnation: Incarnation,
        /// What the member announces of itself.
        info: Arc<MemberInfo>,
    },
    /// The member did not answer a probe.
    Suspect {
        /// The member.
        id: MemberId,
        /// The incarnation that is suspected.
        incarnation: Incarnation,
        /// Who suspects it.
        by: MemberId,
    },
    /// The member is dead, or has left.
    Dead {
        /// The member.
        id: MemberId,
        /// The incarnation that is declared dead.
        incarnation: Incarnation,
        /// Who declares it. The member itself: it has left.
        by: MemberId,
    },
}

impl Update {
    /// The member that the update is about.
    pub fn member(&self) -> MemberId {
        match self {
            Update::Alive { id, .. } | Update::Suspect { id, .. } | Update::Dead { id, .. } => *id,
        }
    }

    /// The incarnation that the update is about.
    pub fn incarnation(&self) -> Incarnation {
        match self {
            Update::Alive { incarnation, .. }
            | Update::Suspect { incarnation, .. }
            | Update::Dead { incarnation, .. } => *incarnation,
        }
    }

    /// An upper bound of its encoded length in bytes.
    pub fn max_encoded_len(&self) -> usize {
        match self {
            Update::Alive { info, .. } => {
                1 + MAX_NUMBER_LEN + MAX_NUMBER_LEN + MAX_ADDRESS_LEN + 1 + info.zone.len() + 1
            }
            Update::Suspect { .. } | Update::Dead { .. } => 1 + 3 * MAX_NUMBER_LEN,
        }
    }

    /// Whether a member could have sent it.
    pub(crate) fn is_valid(&self) -> bool {
        self.incarnation().0 <= MAX_INCARNATION
    }
}

/// A digest of each bucket of a member list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digests(pub Vec<u64>);

/// What a packet is for, besides the updates in it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A probe. It asks for an [`Message::Ack`].
    Ping {
        /// The sender's number for the probe.
        seq: u64,
        /// Digest of the sender's whole member list.
        digest: u64,
    },
    /// Asks the receiver to probe a third member: SWIM's ping-req, an indirect probe.
    PingRequest {
        /// The sender's number for the probe.
        seq: u64,
        /// The member to probe.
        target: MemberId,
        /// Its address.
        address: SocketAddr,
    },
    /// The probed member has answered, directly or by way of the sender.
    Ack {
        /// The number of the probe.
        seq: u64,
        /// Digest of the sender's whole member list.
        digest: u64,
    },
    /// The sender is alive, and the member that it was asked to probe has not answered yet (Lifeguard, section IV-A).
    Nack {
        /// The number of the probe.
        seq: u64,
    },
    /// The probed member does not run at this address any more: the sender does.
    Replaced {
        /// The number of the probe.
        seq: u64,
    },
    /// Asks for the updates of all buckets whose digests differ.
    CompareDigests {
        /// The sender's digests.
        digests: Digests,
        /// It answers another one, and no answer to it is wanted.
        is_reply: bool,
    },
    /// Carries the updates of buckets that differ, and nothing else.
    Updates,
}

/// A datagram's payload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// The sender.
    pub from: MemberId,
    /// The receiver; none: whoever listens at the address.
    pub to: Option<MemberId>,
    /// What it is for.
    pub message: Message,
    /// Piggybacked updates.
    pub updates: Vec<Update>,
}

#[cfg(test)]
mod tests;
