//! How a follower handles a leader's entries and snapshots.

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

/// The content of an AppendEntries request.
pub(super) struct ReceivedEntries {
    pub prev: LogPosition,
    pub entries: Vec<Entry>,
    pub leader_commit: Index,
}

impl ReceivedEntries {
    /// Whether the indexes are consecutive.
    fn are_consecutive(&self) -> bool {
        self.entries.iter().zip(self.prev.index.0 + 1..).all(|(entry, index)| entry.at.index.0 == index)
    }
}

/// A part of a snapshot.
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
        // No correct leader leaves out an index: the message is ignored.
        if !received.are_consecutive() {
            return;
        }
        let result = match self.find_conflict(received.prev) {
            Some(hint) => AppendResult::Conflict(hint),
            None => AppendResult::Match(self.accept_entries(received, out)),
        };
        self.send_append_response(from, result, round, out);
    }

    /// Appends entries that match, and advances the commit index. Returns the last index that matches the leader's log.
    fn accept_entries(&mut self, received: ReceivedEntries, out: &mut PendingOutputs) -> Index {
        let through = Index(received.prev.index.0 + received.entries.len() as u64);
        self.append_received(received.entries, out);
        // Only what this message has shown to match: later entries here may be another leader's.
        self.commit_through(received.leader_commit.min(through), out);
        if received.leader_commit <= self.commit_index {
            self.up_to_date_at = Some(self.now);
        }
        through
    }

    /// If the log does not contain the entry before the leader's: the index that the leader may try next.
    fn find_conflict(&self, prev: LogPosition) -> Option<Index> {
        // Committed entries match everywhere.
        if prev.index <= self.commit_index || self.has_fault(Fault::TakesAnyPrevious) {
            return None;
        }
        match self.log.term_at(prev.index) {
            Some(term) if term == prev.term => None,
            // No entry of this term can be the leader's, so all of them are skipped (paper, section 5.3).
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

    /// Appends entries that are missing, and removes entries that conflict with them. A delayed message does not remove entries
    /// that arrived after it was sent.
    fn append_received(&mut self, entries: Vec<Entry>, out: &mut PendingOutputs) {
        for entry in entries {
            if entry.at.index <= self.commit_index {
                continue;
            }
            match self.log.term_at(entry.at.index) {
                Some(term) if term == entry.at.term => continue,
                Some(_) => {
                    self.log.truncate(entry.at.index);
                    out.save.truncate(entry.at.index);
                }
                None => {}
            }
            if entry.at.index == self.log.last().index.next() {
                out.save.entries.push(entry.clone());
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
        // Also for a duplicated or reordered part, so that the leader continues from here.
        let offset = incoming.encoded.len() as u64;
        let response = MessageBody::InstallSnapshotResponse { last_included, offset, round };
        self.send_message(from, response, out);
    }

    /// Installs a snapshot that was received completely. If it cannot be decoded, the transfer starts over.
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
        out.save.snapshot = Some(snapshot.clone());
        out.save.compact_through = Some(snapshot.at.index);
        out.save.entries.retain(|entry| entry.at.index > snapshot.at.index);
        self.commit_index = snapshot.at.index;
        out.ready.committed_entries.clear();
        out.ready.installed_snapshot = Some(snapshot.clone());
        if !self.log.install(snapshot) {
            out.save.truncate(self.commit_index.next());
        }
    }

    /// The maximum age of the node's state by its own clock: the time since it last had everything that a leader had committed.
    ///
    /// Heartbeats alone do not count: a node whose messages are lost still receives heartbeats, but no entries. A leader has
    /// everything; one that is cut off steps down after at most twice the election timeout.
    pub fn staleness(&self) -> Duration {
        match self.role {
            RoleState::Leader(_) => Duration::ZERO,
            _ => self.up_to_date_at.map_or(Duration::MAX, |at| self.now.saturating_sub(at)),
        }
    }
}
