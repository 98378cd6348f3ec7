//! Proposals and membership changes.

use std::sync::Arc;

use super::super::Raft;
use super::super::role::RoleState;
use crate::entry::Payload;
use crate::error::RequestError;
use crate::fault_injection::Fault;
use crate::ids::{LogPosition, NodeId};
use crate::membership::{Membership, MembershipChange, MembershipChangeError};
use crate::output::PendingOutputs;

impl Raft {
    pub(in super::super) fn propose(
        &mut self,
        command: Arc<[u8]>,
        out: &mut PendingOutputs,
    ) -> Result<LogPosition, RequestError> {
        self.check_accepts_proposals()?;
        if command.len() > self.settings.max_proposal_bytes {
            return Err(RequestError::ProposalTooLarge);
        }
        let uncommitted_bytes = self.log.bytes_after(self.commit_index);
        if uncommitted_bytes + command.len() > self.settings.max_uncommitted_bytes {
            return Err(RequestError::Busy);
        }
        let at = self.append_entry(Payload::Command(command), out);
        self.advance_commit_index(out);
        self.send_pending_to_all(out);
        Ok(at)
    }

    fn check_accepts_proposals(&self) -> Result<(), RequestError> {
        match &self.role {
            RoleState::Leader(state) if state.transfer.is_some() => Err(RequestError::Busy),
            RoleState::Leader(_) => Ok(()),
            RoleState::Follower { leader, .. } => Err(RequestError::NotLeader(*leader)),
            _ => Err(RequestError::NotLeader(None)),
        }
    }

    pub(in super::super) fn change_membership(
        &mut self,
        change: &MembershipChange,
        out: &mut PendingOutputs,
    ) -> Result<LogPosition, RequestError> {
        self.check_accepts_proposals()?;
        let changed = self.log.membership().changed(change)?;
        let is_last_committed = self.log.membership_index() <= self.commit_index;
        let may_change = is_last_committed && self.has_committed_in_term();
        if !may_change && !self.has_fault(Fault::ConcurrentChanges) {
            return Err(MembershipChangeError::ChangeInProgress.into());
        }
        if let MembershipChange::Promote(id) = change {
            self.check_caught_up(*id)?;
        }
        Ok(self.append_membership(changed, out))
    }

    /// Checks that a learner has all committed entries.
    ///
    /// A voter that is minutes behind would count towards the quorum size, and nothing could be committed until it has caught up
    /// (section 4.2.1).
    fn check_caught_up(&self, id: NodeId) -> Result<(), MembershipChangeError> {
        let RoleState::Leader(state) = &self.role else {
            return Err(MembershipChangeError::ChangeInProgress);
        };
        match state.followers.get(&id) {
            Some(progress) if progress.match_index >= self.commit_index => Ok(()),
            Some(_) => Err(MembershipChangeError::NotCaughtUp(id)),
            None => Err(MembershipChangeError::NotMember(id)),
        }
    }

    /// Appends a membership, which takes effect as soon as it is in the log (section 4.1).
    fn append_membership(&mut self, membership: Membership, out: &mut PendingOutputs) -> LogPosition {
        let at = self.append_entry(Payload::Membership(membership), out);
        let first_index = self.log.first_index();
        self.track_members(first_index);
        self.advance_commit_index(out);
        self.send_pending_to_all(out);
        at
    }
}
