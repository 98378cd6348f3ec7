//! Conversion of the replica's state and of leases to the reports that commands print.

use beechloft_consensus::{Member, NodeId};
use beechloft_leases::{Event, GrantEntry, Name, Table};
use beechloft_topic::Topic;

use super::CoordinatorServer;
use crate::wire::{LeaseChange, LeaseInfo, ReplicaInfo, ReplicaStatus, TopicStatus};

impl CoordinatorServer {
    pub(super) fn status(&self) -> ReplicaStatus {
        let status = self.replica.status();
        let member = |(id, m): (NodeId, &Member)| ReplicaInfo {
            id: id.to_string(),
            address: m.address.clone(),
            voter: m.voter,
        };
        ReplicaStatus {
            id: status.id.to_string(),
            role: format!("{:?}", status.role).to_lowercase(),
            term: status.term.0,
            leader: status.leader.map(|leader| leader.to_string()),
            commit_index: status.commit.0,
            last_index: status.last.index.0,
            members: status.members.iter().map(member).collect(),
            rejected_messages: self.connections.rejected_messages(),
            staleness_ms: u64::try_from(self.replica.staleness().as_millis()).unwrap_or(u64::MAX),
            delivered_bytes: self.subscriptions.delivered_bytes,
            topics: self.replica.topics().all().map(|(name, topic)| self.topic_status(name, topic)).collect(),
        }
    }

    fn topic_status(&self, name: &Name, topic: &Topic) -> TopicStatus {
        TopicStatus {
            name: name.to_string(),
            head: topic.head().0,
            horizon: topic.horizon().0,
            keys: topic.keys() as u64,
            bytes: topic.bytes(),
            memory_bytes: topic.stored_bytes(),
            subscribers: self.subscriptions.count(name) as u64,
        }
    }
}

/// Returns the change that a watch reports for an event, or `None` for a renewal.
pub(super) fn change(event: &Event) -> Option<LeaseChange> {
    let (name, token, kind) = match event {
        Event::Granted { name, token, .. } => (name, token, "granted"),
        Event::Released(name, token) => (name, token, "released"),
        Event::Expired(name, token) => (name, token, "expired"),
        Event::HandedOff(name, token) => (name, token, "left"),
        Event::Renewed(..) => return None,
    };
    let (holder, previous) = match event {
        Event::Granted { holder, previous, .. } => (Some(holder.0), previous.map(|t| t.0)),
        _ => (None, None),
    };
    Some(LeaseChange { name: name.to_string(), token: token.0, kind: kind.to_owned(), holder, previous })
}

/// Returns all grants of a lease table.
pub(super) fn grants(table: &Table) -> Vec<LeaseInfo> {
    let info = |entry: GrantEntry<'_>| LeaseInfo {
        name: entry.task.to_string(),
        slots: entry.slots,
        slot: entry.grant.slot,
        token: entry.token.0,
        holder: entry.grant.holder.0,
        ttl_ms: entry.grant.ttl_ms,
        renewals: entry.grant.renewals,
    };
    table.grants().map(info).collect()
}
