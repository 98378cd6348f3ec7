//! Reports on a fleet, as commands print them. The serialized names of the fields are those of the printed JSON.

use serde::{Deserialize, Serialize};

/// A grant of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseInfo {
    /// The name of the task.
    pub name: String,
    /// The number of slots, which is the maximum number of concurrent holders.
    #[serde(rename = "places")]
    pub slots: u16,
    /// The slot of the grant.
    #[serde(rename = "place")]
    pub slot: u16,
    /// The fencing token.
    pub token: u64,
    /// The holder's id.
    pub holder: u64,
    /// The time to live after each renewal, milliseconds.
    pub ttl_ms: u32,
    /// The number of renewals.
    pub renewals: u64,
}

/// A grant that was made or has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseChange {
    /// The name of the task.
    pub name: String,
    /// The fencing token.
    pub token: u64,
    /// The kind of change: `granted`, `released`, `expired`, or `left` if the slot was handed off and is reserved for the next
    /// holder of its instance.
    #[serde(rename = "what")]
    pub kind: String,
    /// The holder's id, if the lease was granted.
    pub holder: Option<u64>,
    /// The token of the same holder's earlier grant, if the new grant ended one.
    #[serde(rename = "before")]
    pub previous: Option<u64>,
}

/// A member of the replica group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaInfo {
    /// The replica's id.
    pub id: String,
    /// The replica's address.
    pub address: String,
    /// Whether the replica is a voter.
    pub voter: bool,
}

/// The state of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// The replica's id.
    pub id: String,
    /// The replica's role in the consensus protocol.
    pub role: String,
    /// The replica's term.
    pub term: u64,
    /// The leader's id, if it is known.
    pub leader: Option<String>,
    /// The commit index known to the replica.
    #[serde(rename = "commit")]
    pub commit_index: u64,
    /// The index of the last entry in the replica's log.
    #[serde(rename = "last")]
    pub last_index: u64,
    /// The members of the group known to the replica.
    pub members: Vec<ReplicaInfo>,
    /// The number of connections closed because of messages that could not be read.
    #[serde(rename = "refused_words")]
    pub rejected_messages: u64,
    /// The time for which the replica may have missed committed entries, milliseconds.
    #[serde(rename = "silent_ms")]
    pub staleness_ms: u64,
    /// The number of bytes delivered to subscribers.
    #[serde(rename = "told_bytes")]
    pub delivered_bytes: u64,
    /// The topics in the replica's applied state.
    pub topics: Vec<TopicStatus>,
}

/// The state of a topic at a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopicStatus {
    /// The topic's name.
    pub name: String,
    /// The offset of the next message.
    pub head: u64,
    /// The offset below which deletions are no longer retained.
    pub horizon: u64,
    /// The number of keys that have a value.
    pub keys: u64,
    /// The size of all keys and their latest values, bytes.
    pub bytes: u64,
    /// The memory that the replica uses for the topic, bytes.
    #[serde(rename = "held_bytes")]
    pub memory_bytes: u64,
    /// The number of subscribers at the replica.
    pub subscribers: u64,
}

/// A member of the fleet as another member, the reporting one, sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// The member's id, generated when it started.
    pub id: String,
    /// The member's address.
    pub address: String,
    /// The member's zone.
    pub zone: String,
    /// The kind of member: `front` or `keeper`.
    pub kind: String,
    /// The member's state: `alive`, `suspected`, `gone` or `left`.
    #[serde(rename = "life")]
    pub state: String,
    /// The time since the reporting member observed the start of that state, milliseconds.
    pub since_ms: u64,
    /// The time since the reporting member first observed the member, milliseconds.
    pub known_ms: u64,
    /// The incarnation number, which the member increments to refute a suspicion.
    pub incarnation: u64,
    /// Whether the member is the reporting member.
    #[serde(rename = "asked")]
    pub is_reporter: bool,
    /// The number of membership datagrams, without gossip, that the reporting member has sent since its start. 0 for other
    /// members.
    pub sent: u64,
    /// The size of those datagrams including UDP and IP headers, bytes.
    pub sent_bytes: u64,
}
