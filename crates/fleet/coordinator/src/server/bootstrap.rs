//! Bootstrap of the replica group, its membership changes, and the replacement of a lost replica by an operator.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use beechloft_consensus::{
    Input, Membership, MembershipChange, NodeId, PendingOutputs, PersistentState, RequestId, Settings,
    Snapshot, StateUpdate, Storage,
};
use beechloft_replica::{Replica, ReplicaInput};
use beechloft_topic::Topic;
use thiserror::Error;
use tracing::info;

use super::{CoordinatorServer, ServerError};
use crate::connections::ConnectionId;
use crate::settings::TopicSpec;
use crate::wire::Message;

/// Reason why the replacement of a replica is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
enum ReplaceRejection {
    #[error("replica {0} is not a member of the group")]
    NotAMember(NodeId),
    #[error("the replica at {address} is {found}, not the new replica {expected}")]
    UnexpectedReplica { address: String, found: NodeId, expected: NodeId },
    #[error("no new replica has started at {0}")]
    NoReplacement(String),
}

impl CoordinatorServer {
    /// Removes a replica that was lost with its store, provided that its replacement has sent a `Hello` from the same address.
    ///
    /// [`CoordinatorServer::check_membership`] then adds the replacement as a learner and later promotes it to a voter.
    pub(super) fn replace(
        &mut self,
        connection: ConnectionId,
        old: NodeId,
        new: NodeId,
        outputs: &mut PendingOutputs,
    ) {
        let status = self.replica.status();
        if status.leader != Some(self.id) {
            let address = status.leader.and_then(|leader| self.address_of(leader)).map(|a| a.to_string());
            return self.send(connection, &Message::NotLeader(address));
        }
        if let Err(rejection) = self.check_replacement(old, new) {
            return self.send(connection, &Message::ReplaceResult(Err(rejection.to_string())));
        }
        let request = self.next_request_id();
        self.pending_changes.insert(request, connection);
        let change = Input::ChangeMembership(request, MembershipChange::Remove(old));
        self.replica.handle((self.clock)(), ReplicaInput::Raft(change), outputs);
    }

    fn check_replacement(&self, old: NodeId, new: NodeId) -> Result<(), ReplaceRejection> {
        let status = self.replica.status();
        let member = status.members.get(old).ok_or(ReplaceRejection::NotAMember(old))?;
        let address: Option<SocketAddr> = member.address.parse().ok();
        // The last `Hello` from this address may be the lost replica's own.
        let replacement = address
            .and_then(|address| self.introductions.get(&address))
            .filter(|introduction| introduction.id != old)
            .ok_or_else(|| ReplaceRejection::NoReplacement(member.address.clone()))?;
        if replacement.id == new && !replacement.formed {
            return Ok(());
        }
        Err(ReplaceRejection::UnexpectedReplica {
            address: member.address.clone(),
            found: replacement.id,
            expected: new,
        })
    }

    fn next_request_id(&mut self) -> RequestId {
        self.last_request_id += 1;
        RequestId(self.last_request_id)
    }

    /// Returns whether a majority of the configured replicas are voters, which clients' requests require.
    ///
    /// Until then the founder, as the only voter, would be a majority by itself.
    pub(super) fn is_serving(&self) -> bool {
        self.replica.status().members.voters().count() > self.settings.replicas.len() / 2
    }

    /// Bootstraps the group if there is none. On the leader, declares topics, adds new replicas and promotes learners.
    pub(super) fn check_membership(
        &mut self,
        now: Duration,
        outputs: &mut PendingOutputs,
    ) -> Result<(), ServerError> {
        let status = self.replica.status();
        if status.members.iter().next().is_none() {
            return self.bootstrap_group(now);
        }
        if status.leader != Some(self.id) {
            return Ok(());
        }
        self.declare_topics(now, outputs);
        let member_addresses: BTreeSet<&str> =
            status.members.iter().map(|(_, m)| m.address.as_str()).collect();
        let learner = status.members.iter().find(|(_, m)| !m.voter).map(|(id, _)| id);
        // One replica is added at a time: the next one when the last one is a voter.
        let change = match learner {
            Some(id) => Some(MembershipChange::Promote(id)),
            None => self.introductions.iter().find_map(|(address, introduction)| {
                let address = address.to_string();
                // A replica that lost its store has a new id. Its address is taken until `keeper replace` removes the old id.
                let is_new = !introduction.formed
                    && !member_addresses.contains(address.as_str())
                    && status.members.get(introduction.id).is_none();
                is_new.then_some(MembershipChange::AddLearner(introduction.id, address))
            }),
        };
        if let Some(change) = change {
            let request = self.next_request_id();
            let input = ReplicaInput::Raft(Input::ChangeMembership(request, change));
            self.replica.handle(now, input, outputs);
        }
        Ok(())
    }

    /// Declares topics that are missing from the log or have another configuration there. The leader's settings take precedence.
    fn declare_topics(&mut self, now: Duration, outputs: &mut PendingOutputs) {
        if !self.is_serving() {
            return;
        }
        let declared = |spec: &TopicSpec| self.replica.topics().topic(&spec.name).map(Topic::config);
        let missing: Vec<TopicSpec> =
            self.settings.topics.iter().filter(|spec| declared(spec) != Some(spec.config)).cloned().collect();
        for TopicSpec { name, config } in missing {
            self.replica.handle(now, ReplicaInput::DeclareTopic(rand::random(), name, config), outputs);
        }
    }

    /// Bootstraps the group with this replica as its only member.
    ///
    /// Only the replica with the lowest address does so, and only when every other replica has reported that it has never been
    /// a member: two replicas can't bootstrap separate groups. If another replica has been a member, this one has lost its
    /// store and waits for its replacement by an operator.
    fn bootstrap_group(&mut self, now: Duration) -> Result<(), ServerError> {
        let is_founder = self.settings.replicas.iter().min() == Some(&self.address);
        let mut others = self.settings.replicas.iter().filter(|address| **address != self.address);
        let all_new = others.all(|address| self.introductions.get(address).is_some_and(|i| !i.formed));
        if !is_founder || !all_new {
            return Ok(());
        }
        info!("bootstrapping the replica group");
        let members = Membership::of([(self.id, self.address.to_string())]);
        let stored = PersistentState::first(members);
        let snapshot: Option<Snapshot> = stored.snapshot.clone();
        self.store.save(&StateUpdate { snapshot, ..StateUpdate::default() })?;
        let drift_bound = self.settings.drift_bound;
        self.replica = Replica::new(self.id, Settings::default(), stored, drift_bound, rand::random(), now)?;
        #[cfg(feature = "planted")]
        if let Some(fault) = self.fault {
            self.replica.inject_fault(fault);
        }
        Ok(())
    }
}

/// Returns whether the stored state is that of a replica that has been a member of a group.
pub(super) fn has_formed(stored: &PersistentState) -> bool {
    stored.snapshot.is_some() || !stored.entries.is_empty()
}
