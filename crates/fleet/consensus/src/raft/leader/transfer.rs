//! Leadership transfer (section 3.10).

use super::super::Raft;
use super::super::role::{LeadershipTransfer, RoleState};
use crate::ids::NodeId;
use crate::message::MessageBody;
use crate::output::PendingOutputs;

impl Raft {
    /// Starts a transfer to a voter. The transfer is abandoned after one election timeout.
    pub(in super::super) fn start_transfer(&mut self, target: NodeId, out: &mut PendingOutputs) {
        let deadline = self.now + self.settings.election_timeout;
        let is_valid = target != self.id && self.log.membership().is_voter(target);
        if let RoleState::Leader(state) = &mut self.role
            && is_valid
        {
            state.transfer = Some(LeadershipTransfer { target, deadline });
            self.send_pending(target, out);
            self.advance_transfer(out);
        }
    }

    /// Tells the target to start an election once it has the complete log.
    pub(super) fn advance_transfer(&mut self, out: &mut PendingOutputs) {
        let last_index = self.log.last().index;
        let RoleState::Leader(state) = &self.role else { return };
        let Some(LeadershipTransfer { target, .. }) = state.transfer else { return };
        if state.followers.get(&target).is_some_and(|progress| progress.match_index == last_index) {
            self.send_message(target, MessageBody::TimeoutNow, out);
        }
    }
}
