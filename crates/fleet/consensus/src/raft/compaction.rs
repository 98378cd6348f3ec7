//! Log compaction with snapshots of this node (chapter 5).

use super::Raft;
use super::progress::Flow;
use super::role::RoleState;
use crate::entry::Snapshot;
use crate::ids::{Index, LogPosition};
use crate::output::PendingOutputs;
use crate::snapshot_data::SnapshotData;

impl Raft {
    /// Returns the size of the log after its newest snapshot, in bytes.
    pub fn log_bytes(&self) -> usize {
        let snapshot_index = self.log.snapshot.as_ref().map_or(Index(0), |snapshot| snapshot.at.index);
        self.log.bytes_after(snapshot_index)
    }

    /// Returns whether a snapshot may be taken now.
    ///
    /// A new snapshot would restart a transfer of the previous one. A leader that is sending its snapshot to a follower
    /// therefore takes no new one until the log exceeds
    /// [`Settings::max_log_bytes_during_transfer`](crate::Settings::max_log_bytes_during_transfer).
    pub fn can_compact(&self) -> bool {
        let sends_snapshot = match &self.role {
            RoleState::Leader(state) => {
                state.followers.values().any(|progress| matches!(progress.flow, Flow::Snapshot { .. }))
            }
            _ => false,
        };
        !sends_snapshot || self.log_bytes() > self.settings.max_log_bytes_during_transfer
    }

    /// Replaces the snapshot and removes the entries that it includes, except for those retained for followers.
    pub(super) fn compact(&mut self, index: Index, state: SnapshotData, out: &mut PendingOutputs) {
        let is_newer = self.log.snapshot.as_ref().is_none_or(|snapshot| snapshot.at.index < index);
        if !is_newer || index > self.commit_index {
            return;
        }
        let Some(term) = self.log.term_at(index) else { return };
        let at = LogPosition { term, index };
        let snapshot = Snapshot { at, members: self.log.membership_at(index), state };
        out.update.snapshot = Some(snapshot.clone());
        let (retained, max_bytes) = (self.settings.retained_entries, self.settings.max_retained_bytes);
        out.update.compact_through = Some(self.log.compact(snapshot, retained, max_bytes));
    }
}
