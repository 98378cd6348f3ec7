//! How the group comes together, and what an operator does about a keeper that was lost.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use beechloft_consensus::{
    Input, Membership, MembershipChange, NodeId, PendingOutputs, PersistentState, RequestId, Settings,
    Snapshot, StateUpdate, Storage,
};
use beechloft_replica::{Replica, ReplicaInput};
use beechloft_topic::Topic;
use tracing::info;

use super::{CoordinatorServer, ServerError};
use crate::connections::ConnectionId;
use crate::settings::TopicSpec;
use crate::wire::Message;

impl CoordinatorServer {
    /// Removes a member that was lost with its disk, if the one that came up in its place has been met there. That one is let
    /// in as a new keeper then, as it learns and votes.
    pub(super) fn replace(&mut self, conn: ConnectionId, old: NodeId, new: NodeId, out: &mut PendingOutputs) {
        let status = self.keeper.status();
        if status.leader != Some(self.id) {
            let address = status.leader.and_then(|l| self.address_of(l)).map(|a| a.to_string());
            return self.say(conn, &Message::NotLeader(address));
        }
        let no = |why: String| Message::ReplaceResult(Err(why));
        let Some(member) = status.members.get(old) else {
            return self.say(conn, &no(format!("{old} is no member")));
        };
        // The lost one itself, if it was the last to say who it is: whoever came up in its place has not yet.
        let met = member.address.parse().ok().and_then(|a: SocketAddr| self.met.get(&a));
        let there = met.filter(|met| met.id != old);
        match there {
            Some(met) if met.id == new && !met.formed => {}
            Some(met) => {
                let at = &member.address;
                return self.say(conn, &no(format!("at {at} there is {}, not {new}", met.id)));
            }
            None => return self.say(conn, &no(format!("nobody has come up at {}", member.address))),
        }
        self.tickets += 1;
        let ticket = RequestId(self.tickets);
        self.asked.insert(ticket, conn);
        let change = Input::ChangeMembership(ticket, MembershipChange::Remove(old));
        self.keeper.handle((self.clock)(), ReplicaInput::Raft(change), out);
    }

    /// A group that has not come together yet grants nothing: its founder alone would be a majority of one.
    pub(super) fn serves(&self) -> bool {
        self.keeper.status().members.voters().count() > self.set.keepers.len() / 2
    }

    /// Looks at who belongs to the group: founds it, once, and has new keepers learn and then vote.
    pub(super) fn look(&mut self, now: Duration, out: &mut PendingOutputs) -> Result<(), ServerError> {
        let status = self.keeper.status();
        if status.members.iter().next().is_none() {
            return self.found(now);
        }
        if status.leader != Some(self.id) {
            return Ok(());
        }
        self.declare(now, out);
        let taken: BTreeSet<&str> = status.members.iter().map(|(_, m)| m.address.as_str()).collect();
        let learner = status.members.iter().find(|(_, m)| !m.voter).map(|(id, _)| id);
        // One at a time: the next when the last votes.
        let change = match learner {
            Some(id) => Some(MembershipChange::Promote(id)),
            None => self.met.iter().find_map(|(address, met)| {
                let address = address.to_string();
                // A keeper that has lost its disk is none until its old self is removed (`keeper replace`).
                let new =
                    !met.formed && !taken.contains(address.as_str()) && status.members.get(met.id).is_none();
                new.then_some(MembershipChange::AddLearner(met.id, address))
            }),
        };
        if let Some(change) = change {
            self.tickets += 1;
            self.keeper.handle(
                now,
                ReplicaInput::Raft(Input::ChangeMembership(RequestId(self.tickets), change)),
                out,
            );
        }
        Ok(())
    }

    /// Has the log say which topics there are to be, where it does not: the settings of the keeper that leads say so.
    fn declare(&mut self, now: Duration, out: &mut PendingOutputs) {
        if !self.serves() {
            return;
        }
        let there = |spec: &TopicSpec| self.keeper.topics().topic(&spec.name).map(Topic::terms);
        let lacking = self.set.topics.iter().filter(|spec| there(spec) != Some(spec.terms));
        let lacking: Vec<TopicSpec> = lacking.cloned().collect();
        for TopicSpec { name, terms } in lacking {
            self.keeper.handle(now, ReplicaInput::DeclareTopic(rand::random(), name, terms), out);
        }
    }

    /// The first of the listed keepers founds the group, alone, when all others have said that they are new: one founder, so
    /// that there are never two groups. If any other has been a member before, this one has lost its disk and must wait.
    fn found(&mut self, now: Duration) -> Result<(), ServerError> {
        let first = self.set.keepers.iter().min() == Some(&self.address);
        let others = self.set.keepers.iter().filter(|a| **a != self.address);
        let all_new = others.into_iter().all(|a| self.met.get(a).is_some_and(|m| !m.formed));
        if !first || !all_new {
            return Ok(());
        }
        info!("founds the group");
        let members = Membership::of([(self.id, self.address.to_string())]);
        let stored = PersistentState::first(members);
        let snapshot: Option<Snapshot> = stored.snapshot.clone();
        self.disk.save(&StateUpdate { snapshot, ..StateUpdate::default() })?;
        self.keeper =
            Replica::new(self.id, Settings::default(), stored, self.set.drift, rand::random(), now)?;
        #[cfg(feature = "planted")]
        if let Some(fault) = self.fault {
            self.keeper.inject_fault(fault);
        }
        Ok(())
    }
}

/// Whether a disk has been a group's.
pub(super) fn has_formed(stored: &PersistentState) -> bool {
    stored.snapshot.is_some() || !stored.entries.is_empty()
}
