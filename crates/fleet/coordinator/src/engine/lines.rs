//! How a keeper stands and what it holds, for people.

use std::sync::atomic::Ordering;

use beechloft_consensus::{Member, NodeId};
use beechloft_leases::{Event, GrantEntry, Name, Table};
use beechloft_topic::Topic;

use super::Keeping;
use crate::wire::{ChangeLine, LeaseLine, MemberLine, StatusLine, TopicLine};

impl Keeping {
    pub(super) fn status(&self) -> StatusLine {
        let s = self.keeper.status();
        let member = |(id, m): (NodeId, &Member)| MemberLine {
            id: id.to_string(),
            address: m.address.clone(),
            voter: m.voter,
        };
        StatusLine {
            id: s.id.to_string(),
            role: format!("{:?}", s.role).to_lowercase(),
            term: s.term.0,
            leader: s.leader.map(|l| l.to_string()),
            commit: s.commit.0,
            last: s.last.index.0,
            members: s.members.iter().map(member).collect(),
            refused_words: self.conns.refused.load(Ordering::Relaxed),
            silent_ms: u64::try_from(self.keeper.staleness().as_millis()).unwrap_or(u64::MAX),
            told_bytes: self.serving.told_bytes,
            topics: self.keeper.topics().all().map(|(name, topic)| self.topic(name, topic)).collect(),
        }
    }

    fn topic(&self, name: &Name, topic: &Topic) -> TopicLine {
        TopicLine {
            name: name.to_string(),
            head: topic.head().0,
            horizon: topic.horizon().0,
            keys: topic.keys() as u64,
            bytes: topic.bytes(),
            held_bytes: topic.held_bytes(),
            subscribers: self.serving.of(name) as u64,
        }
    }
}

/// What those who watch are told; nothing of a renewal.
pub(super) fn change(event: &Event) -> Option<ChangeLine> {
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
    Some(ChangeLine { name: name.to_string(), token: token.0, what: what.to_owned(), holder, before })
}

/// All grants.
pub(super) fn grants(table: &Table) -> Vec<LeaseLine> {
    let line = |entry: GrantEntry<'_>| LeaseLine {
        name: entry.task.to_string(),
        places: entry.slots,
        place: entry.grant.slot,
        token: entry.token.0,
        holder: entry.grant.holder.0,
        ttl_ms: entry.grant.ttl_ms,
        renewals: entry.grant.renewals,
    };
    table.grants().map(line).collect()
}
