//! What a leader does: heartbeats, replication, commits, reads, membership changes and leadership transfer.

mod proposals;
mod reads;
mod replication;
mod transfer;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::Raft;
use super::progress::Progress;
use super::role::{LeaderState, RoleState};
use crate::entry::Payload;
use crate::fault_injection::Fault;
use crate::ids::{Index, NodeId};
use crate::membership::Membership;
use crate::output::PendingOutputs;

impl Raft {
    /// Becomes the leader. Its first entry is empty: entries of earlier terms can only be committed together with one of this
    /// term (section 3.6.2).
    pub(super) fn become_leader(&mut self, out: &mut PendingOutputs) {
        self.role = RoleState::Leader(LeaderState {
            followers: BTreeMap::new(),
            round: 0,
            heartbeat_due: self.now,
            elected_at: self.now,
            reads: VecDeque::new(),
            transfer: None,
        });
        let next_index = self.log.last().index.next();
        self.track_members(next_index);
        self.append_entry(Payload::Noop, out);
        self.send_heartbeats(out);
        self.advance_commit_index(out);
    }

    /// Keeps a progress record of each other member, and of nobody else. New ones start at `next_index`.
    fn track_members(&mut self, next_index: Index) {
        let membership = self.log.membership();
        let (own_id, now) = (self.id, self.now);
        let RoleState::Leader(state) = &mut self.role else { return };
        state.followers.retain(|id, _| membership.get(*id).is_some());
        for (id, _) in membership.iter().filter(|(id, _)| *id != own_id) {
            state.followers.entry(id).or_insert_with(|| Progress::new(next_index, now));
        }
    }

    /// Whether a majority of the voters, this node included, was heard within a time.
    fn has_contact_with_quorum(&self, state: &LeaderState, within: Duration) -> bool {
        let is_recent =
            |id| state.followers.get(&id).is_some_and(|progress| self.now < progress.last_contact + within);
        self.log.membership().has_quorum(|id| id == self.id || is_recent(id))
    }

    pub(super) fn tick_leader(&mut self, out: &mut PendingOutputs) {
        if self.is_without_quorum() {
            return self.become_follower(self.hard_state.term, None, out);
        }
        let now = self.now;
        let RoleState::Leader(state) = &mut self.role else { return };
        if state.transfer.is_some_and(|transfer| now >= transfer.deadline) {
            state.transfer = None;
        }
        if now >= state.heartbeat_due {
            self.send_heartbeats(out);
        }
    }

    /// Whether this leader has been cut off from a quorum for twice the election timeout. It must not go on accepting what it can
    /// never commit (section 6.2).
    fn is_without_quorum(&self) -> bool {
        let RoleState::Leader(state) = &self.role else { return false };
        let grace = self.settings.election_timeout * 2;
        !self.has_contact_with_quorum(state, grace) && self.now >= state.elected_at + grace
    }

    /// Commits what a majority has, if it is of this term (section 3.6.2). The leader's own log counts, because it is durable
    /// before any output is released.
    fn advance_commit_index(&mut self, out: &mut PendingOutputs) {
        let RoleState::Leader(state) = &self.role else { return };
        let membership = self.log.membership();
        let last_index = self.log.last().index;
        let match_index = |id| {
            let of_follower = || state.followers.get(&id).map_or(Index(0), |progress| progress.match_index);
            if id == self.id { last_index } else { of_follower() }
        };
        let reached = if self.has_fault(Fault::LearnerCounts) {
            reached_with_learners(&membership, match_index)
        } else {
            membership.reached_by_quorum(match_index)
        };
        let is_of_term = self.log.term_at(reached) == Some(self.hard_state.term);
        if reached <= self.commit_index || !(is_of_term || self.has_fault(Fault::CommitsOlderTerm)) {
            return;
        }
        self.commit_through(reached, out);
        self.assign_read_indexes();
        self.complete_reads(out);
        self.step_down_if_removed(out);
    }

    /// A leader that is no voter any more leads only until that change is committed (section 4.2.2).
    fn step_down_if_removed(&mut self, out: &mut PendingOutputs) {
        let is_committed = self.log.membership_index() <= self.commit_index;
        if is_committed && !self.log.membership().is_voter(self.id) {
            self.send_heartbeats(out);
            self.become_follower(self.hard_state.term, None, out);
        }
    }

    /// Whether an entry of this term is committed, so that the commit index is known to be current.
    fn has_committed_in_term(&self) -> bool {
        self.log.term_at(self.commit_index) == Some(self.hard_state.term)
    }
}

/// With an injected fault: the index that a quorum has reached when learners count.
fn reached_with_learners(membership: &Membership, match_index: impl Fn(NodeId) -> Index) -> Index {
    let mut indexes: Vec<Index> = membership.iter().map(|(id, _)| match_index(id)).collect();
    indexes.sort_unstable_by(|a, b| b.cmp(a));
    indexes.get(membership.quorum() - 1).copied().unwrap_or_default()
}
