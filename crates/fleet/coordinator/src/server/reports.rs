//! How a keeper stands and what it holds, for people.

use std::sync::atomic::Ordering;

use beechloft_consensus::{Member, NodeId};
use beechloft_leases::{Event, GrantEntry, Name, Table};
use beechloft_topic::Topic;

use super::CoordinatorServer;
use crate::wire::{LeaseChange, LeaseInfo, ReplicaInfo, ReplicaStatus, TopicStatus};

impl CoordinatorServer {
    pub(super) fn status(&self) -> ReplicaStatus {
        let s = self.keeper.status();
        let member = |(id, m): (NodeId, &Member)| ReplicaInfo {
            id: id.to_string(),
            address: m.address.clone(),
            voter: m.voter,
        };
        ReplicaStatus {
            id: s.id.to_string(),
            role: format!("{:?}", s.role).to_lowercase(),
            term: s.term.0,
            leader: s.leader.map(|l| l.to_string()),
            commit: s.commit.0,
            last: s.last.index.0,
            members: s.members.iter().map(member).collect(),
            rejected_messages: self.conns.refused.load(Ordering::Relaxed),
            silent_ms: u64::try_from(self.keeper.staleness().as_millis()).unwrap_or(u64::MAX),
            delivered_bytes: self.serving.delivered_bytes,
            topics: self.keeper.topics().all().map(|(name, topic)| self.topic(name, topic)).collect(),
        }
    }

    fn topic(&self, name: &Name, topic: &Topic) -> TopicStatus {
        TopicStatus {
            name: name.to_string(),
            head: topic.head().0,
            horizon: topic.horizon().0,
            keys: topic.keys() as u64,
            bytes: topic.bytes(),
            memory_bytes: topic.held_bytes(),
            subscribers: self.serving.of(name) as u64,
        }
    }
}

/// What those who watch are told; nothing of a renewal.
pub(super) fn change(event: &Event) -> Option<LeaseChange> {
    let (name, token, what) = match event {
        Event::Granted { name, token, .. } => (name, token, "granted"),
        Event::Released(name, token) => (name, token, "released"),
        Event::Expired(name, token) => (name, token, "expired"),
        Event::HandedOff(name, token) => (name, token, "left"),
        Event::Renewed(..) => return None,
    };
    let (holder, before) = match event {
        Event::Granted { holder, previous: before, .. } => (Some(holder.0), before.map(|t| t.0)),
        _ => (None, None),
    };
    Some(LeaseChange {
        name: name.to_string(),
        token: token.0,
        what: what.to_owned(),
        holder,
        previous: before,
    })
}

/// All grants.
pub(super) fn grants(table: &Table) -> Vec<LeaseInfo> {
    let line = |entry: GrantEntry<'_>| LeaseInfo {
        name: entry.task.to_string(),
        slots: entry.slots,
        slot: entry.grant.slot,
        token: entry.token.0,
        holder: entry.grant.holder.0,
        ttl_ms: entry.grant.ttl_ms,
        renewals: entry.grant.renewals,
    };
    table.grants().map(line).collect()
}
