//! Handling of a leader's entries and snapshots by a follower.

use std::time::Duration;

use super::Raft;
use super::role::{IncomingSnapshot, RoleState};
use crate::entry::{Entry, Snapshot};
use crate::fault_injection::Fault;
use crate::ids::{Index, LogPosition, NodeId};
use crate::membership::Membership;
use crate::message::{AppendResult, MessageBody};
use crate::output::PendingOutputs;
use crate::snapshot_data::SnapshotData;

/// Content of an AppendEntries request.
pub(super) struct ReceivedEntries {
    pub prev: LogPosition,
    pub entries: Vec<Entry>,
    pub leader_commit: Index,
}

impl ReceivedEntries {
    /// Returns whether the indexes are consecutive.
    fn are_consecutive(&self) -> bool {
        self.entries.iter().zip(self.prev.index.0 + 1..).all(|(entry, index)| entry.at.index.0 == index)
    }
}

/// Content of an InstallSnapshot request, which is a part of a snapshot.
pub(super) struct SnapshotPart<'a> {
    pub last_included: LogPosition,
    pub membership: Membership,
    pub offset: u64,
    pub data: &'a [u8],
    pub is_last: bool,
}

impl Raft {
    /// Accepts the sender as the leader of this term. Returns false if this node is the leader itself.
    fn accept_leader(&mut self, from: NodeId, out: &mut PendingOutputs) -> bool {
        if self.is_leader() {
            return false;
        }
        match &mut self.role {
            RoleState::Follower { leader, .. } => *leader = Some(from),
            _ => self.become_follower(self.hard_state.term, Some(from), out),
        }
        self.last_leader_contact = Some(self.now);
        self.reset_election_timer();
        true
    }

    fn send_append_response(&self, to: NodeId, result: AppendResult, round: u64, out: &mut PendingOutputs) {
        self.send_message(to, MessageBody::AppendEntriesResponse { result, round }, out);
    }

    pub(super) fn handle_append_entries(
        &mut self,
        from: NodeId,
        received: ReceivedEntries,
        round: u64,
        out: &mut PendingOutputs,
    ) {
        if !self.accept_leader(from, out) {
            return;
        }
        // A correct leader never skips an index, so the message is ignored.
        if !received.are_consecutive() {
            return;
        }
        let result = match self.find_conflict(received.prev) {
            Some(hint) => AppendResult::Conflict(hint),
            None => AppendResult::Match(self.accept_entries(received, out)),
        };
        self.send_append_response(from, result, round, out);
    }

    /// Appends the received entries and advances the commit index. Returns the last index that matches the leader's log.
    fn accept_entries(&mut self, received: ReceivedEntries, out: &mut PendingOutputs) -> Index {
        let through = Index(received.prev.index.0 + received.entries.len() as u64);
        self.append_received(received.entries, out);
        // Only entries that this message has shown to match are committed, because later ones may stem from another leader.
        self.commit_through(received.leader_commit.min(through), out);
        if received.leader_commit <= self.commit_index {
            self.up_to_date_at = Some(self.now);
        }
        through
    }

    /// Returns the index that the leader may try next if the log does not contain the entry at `prev`. Returns `None` if it does.
    fn find_conflict(&self, prev: LogPosition) -> Option<Index> {
        // Committed entries are the same on all nodes.
        if prev.index <= self.commit_index || self.has_fault(Fault::PreviousEntryUnchecked) {
            return None;
        }
        match self.log.term_at(prev.index) {
            Some(term) if term == prev.term => None,
            // All entries of the conflicting term are skipped, so that the search needs one probe per term instead of one per
            // entry (paper, section 5.3).
            Some(term) => {
                let mut index = prev.index.previous();
                while index > self.commit_index && self.log.term_at(index) == Some(term) {
                    index = index.previous();
                }
                Some(index)
            }
            None => Some(self.log.last().index.min(prev.index.previous())),
        }
    }

    /// Appends missing entries and removes conflicting ones.
    ///
    /// Only a conflict removes entries, so that a delayed message does not remove matching entries that a later message added.
    fn append_received(&mut self, entries: Vec<Entry>, out: &mut PendingOutputs) {
        for entry in entries {
            if entry.at.index <= self.commit_index {
                continue;
            }
            match self.log.term_at(entry.at.index) {
                Some(term) if term == entry.at.term => continue,
                Some(_) => {
                    self.log.truncate(entry.at.index);
                    out.update.truncate(entry.at.index);
                }
                None => {}
            }
            if entry.at.index == self.log.last().index.next() {
                out.update.entries.push(entry.clone());
                self.log.push(entry);
            }
        }
    }

    pub(super) fn handle_install_snapshot(
        &mut self,
        from: NodeId,
        part: SnapshotPart<'_>,
        round: u64,
        out: &mut PendingOutputs,
    ) {
        if !self.accept_leader(from, out) {
            return;
        }
        if part.last_included.index <= self.commit_index {
            let result = AppendResult::Match(self.commit_index);
            return self.send_append_response(from, result, round, out);
        }
        let last_included = part.last_included;
        let max_bytes = self.settings.max_snapshot_bytes;
        let RoleState::Follower { incoming_snapshot, .. } = &mut self.role else { return };
        if incoming_snapshot.as_ref().is_none_or(|incoming| incoming.at != last_included) {
            *incoming_snapshot = Some(IncomingSnapshot { at: last_included, encoded: Vec::new() });
        }
        let Some(incoming) = incoming_snapshot else { return };
        let is_next = part.offset == incoming.encoded.len() as u64;
        let fits = incoming.encoded.len() + part.data.len() <= max_bytes;
        if is_next && fits {
            incoming.encoded.extend_from_slice(part.data);
            if part.is_last {
                let encoded = std::mem::take(&mut incoming.encoded);
                *incoming_snapshot = None;
                return self.complete_snapshot(from, part, &encoded, round, out);
            }
        }
        // A duplicated or reordered part is answered too, so that the leader continues from this offset.
        let offset = incoming.encoded.len() as u64;
        let response = MessageBody::InstallSnapshotResponse { last_included, offset, round };
        self.send_message(from, response, out);
    }

    /// Installs a completely received snapshot. If it cannot be decoded, the transfer starts over.
    fn complete_snapshot(
        &mut self,
        from: NodeId,
        part: SnapshotPart<'_>,
        encoded: &[u8],
        round: u64,
        out: &mut PendingOutputs,
    ) {
        let last_included = part.last_included;
        let Some(state) = SnapshotData::decode(encoded) else {
            let response = MessageBody::InstallSnapshotResponse { last_included, offset: 0, round };
            return self.send_message(from, response, out);
        };
        self.install_snapshot(Snapshot { at: last_included, members: part.membership, state }, out);
        self.send_append_response(from, AppendResult::Match(self.commit_index), round, out);
    }

    fn install_snapshot(&mut self, snapshot: Snapshot, out: &mut PendingOutputs) {
        out.update.snapshot = Some(snapshot.clone());
        out.update.compact_through = Some(snapshot.at.index);
        out.update.entries.retain(|entry| entry.at.index > snapshot.at.index);
        self.commit_index = snapshot.at.index;
        out.ready.committed_entries.clear();
        out.ready.installed_snapshot = Some(snapshot.clone());
        if !self.log.install(snapshot) {
            out.update.truncate(self.commit_index.next());
        }
    }

    /// Returns the maximum age of the node's state, which is the time since it last had everything that a leader had committed.
    ///
    /// The age is measured by the node's own clock and is `Duration::MAX` if the node never was up to date. Heartbeats alone do
    /// not count, because a node whose own messages are lost still receives heartbeats but no entries. The age of a leader's
    /// state is zero. A leader without contact to a quorum steps down after at most twice the election timeout.
    pub fn staleness(&self) -> Duration {
        match self.role {
            RoleState::Leader(_) => Duration::ZERO,
            _ => self.up_to_date_at.map_or(Duration::MAX, |at| self.now.saturating_sub(at)),
        }
    }
}
