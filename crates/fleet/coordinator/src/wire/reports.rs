//! What commands print of a fleet. The names of the fields are those of the printed JSON.

use serde::{Deserialize, Serialize};

/// A grant of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseInfo {
    /// The task.
    pub name: String,
    /// Slots: the maximum number of concurrent holders.
    #[serde(rename = "places")]
    pub slots: u16,
    /// The grant's slot.
    #[serde(rename = "place")]
    pub slot: u16,
    /// The fencing token.
    pub token: u64,
    /// The holder's id.
    pub holder: u64,
    /// Time to live of each renewal, milliseconds.
    pub ttl_ms: u32,
    /// Number of renewals.
    pub renewals: u64,
}

/// A grant that was made or has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseChange {
    /// The task.
    pub name: String,
    /// The fencing token.
    pub token: u64,
    /// `granted`, `released`, `expired`, or `left`: the slot is reserved for the next holder of its instance.
    pub what: String,
    /// The holder's id, if the lease was granted.
    pub holder: Option<u64>,
    /// Token of the same holder's grant that ended as this one was made, if there was one.
    #[serde(rename = "before")]
    pub previous: Option<u64>,
}

/// A replica as a member of the group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaInfo {
    /// Its id.
    pub id: String,
    /// Its address.
    pub address: String,
    /// Whether it votes.
    pub voter: bool,
}

/// The state of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Its id.
    pub id: String,
    /// Its role.
    pub role: String,
    /// Its term.
    pub term: u64,
    /// The leader's id, if it is known.
    pub leader: Option<String>,
    /// The commit index that it knows.
    pub commit: u64,
    /// The index of its last log entry.
    pub last: u64,
    /// The members of the group that it knows.
    pub members: Vec<ReplicaInfo>,
    /// Connections closed because of messages that could not be read.
    #[serde(rename = "refused_words")]
    pub rejected_messages: u64,
    /// For how long it may lack entries that were committed, milliseconds.
    pub silent_ms: u64,
    /// Bytes delivered to subscribers.
    #[serde(rename = "told_bytes")]
    pub delivered_bytes: u64,
    /// The topics as far as it has applied them.
    pub topics: Vec<TopicStatus>,
}

/// The state of a topic at a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopicStatus {
    /// Its name.
    pub name: String,
    /// The offset of the next message.
    pub head: u64,
    /// Deletions below this offset are forgotten.
    pub horizon: u64,
    /// Keys with a value.
    pub keys: u64,
    /// Bytes of keys and latest values.
    pub bytes: u64,
    /// Bytes of memory that the replica uses for them.
    #[serde(rename = "held_bytes")]
    pub memory_bytes: u64,
    /// Subscribers at the replica.
    pub subscribers: u64,
}

/// A member of the fleet as another member sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// Its id, drawn when it started.
    pub id: String,
    /// Its address.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// `front` or `keeper`.
    pub kind: String,
    /// `alive`, `suspected`, `gone` or `left`.
    #[serde(rename = "life")]
    pub state: String,
    /// Time since that state began, as the reporting member saw it, milliseconds.
    pub since_ms: u64,
    /// Time since it first was seen, milliseconds.
    pub known_ms: u64,
    /// How often it refuted a suspicion.
    pub incarnation: u64,
    /// Whether it is the reporting member.
    #[serde(rename = "asked")]
    pub is_reporter: bool,
    /// Membership datagrams that the reporting member has sent since its start, gossip not counted; 0 for others.
    pub sent: u64,
    /// Bytes of them with UDP and IP headers.
    pub sent_bytes: u64,
}
