//! Linearizable reads without log writes, which use a read index and a heartbeat round (section 6.4).

use super::super::Raft;
use super::super::role::{PendingRead, RoleState};
use crate::error::RequestError;
use crate::fault_injection::Fault;
use crate::ids::RequestId;
use crate::output::PendingOutputs;

impl Raft {
    pub(in super::super) fn start_read(&mut self, request: RequestId, out: &mut PendingOutputs) {
        match self.enqueue_read(request) {
            Err(error) => out.ready.reads.push((request, Err(error))),
            Ok(()) => {
                self.send_heartbeats(out);
                self.complete_reads(out);
            }
        }
    }

    fn enqueue_read(&mut self, request: RequestId) -> Result<(), RequestError> {
        let read_index = self.has_committed_in_term().then_some(self.commit_index);
        let max_pending = self.settings.max_pending_reads;
        match &mut self.role {
            RoleState::Leader(state) if state.reads.len() >= max_pending => Err(RequestError::Busy),
            RoleState::Leader(state) => {
                // The read needs a round that starts now, because answers to earlier rounds do not confirm leadership now.
                let round = state.round + 1;
                state.reads.push_back(PendingRead { request, round, read_index });
                Ok(())
            }
            RoleState::Follower { leader, .. } => Err(RequestError::NotLeader(*leader)),
            _ => Err(RequestError::NotLeader(None)),
        }
    }

    /// Assigns a read index to reads that arrived before the leader had committed an entry of its term.
    pub(super) fn assign_read_indexes(&mut self) {
        if !self.has_committed_in_term() {
            return;
        }
        let commit_index = self.commit_index;
        let RoleState::Leader(state) = &mut self.role else { return };
        for read in state.reads.iter_mut().filter(|read| read.read_index.is_none()) {
            read.read_index = Some(commit_index);
        }
    }

    /// Completes the reads whose round a majority has answered, which confirms that this node was the leader when they arrived.
    pub(super) fn complete_reads(&mut self, out: &mut PendingOutputs) {
        let skips_round = self.has_fault(Fault::ReadWithoutRound);
        let membership = self.log.membership();
        let own_id = self.id;
        let RoleState::Leader(state) = &mut self.role else { return };
        let (own_round, followers) = (state.round, &state.followers);
        let confirmed_round = membership.reached_by_quorum(|id| {
            let of_follower = || followers.get(&id).map_or(0, |progress| progress.round);
            if id == own_id { own_round } else { of_follower() }
        });
        let is_complete =
            |read: &&PendingRead| (read.round <= confirmed_round || skips_round) && read.read_index.is_some();
        while let Some(read) = state.reads.front().filter(is_complete) {
            out.ready.reads.push((read.request, Ok(())));
            state.reads.pop_front();
        }
    }
}
