//! Replication of entries and snapshots to followers, and heartbeats.

use super::super::Raft;
use super::super::progress::{Flow, Progress};
use super::super::role::RoleState;
use crate::entry::Snapshot;
use crate::ids::{Index, LogPosition, NodeId};
use crate::message::{AppendResult, MessageBody};
use crate::output::PendingOutputs;

/// Number of heartbeat intervals without a message of a follower after which its pipelined entries count as lost.
const LOSS_TIMEOUT_INTERVALS: u32 = 2;
/// Number of heartbeat intervals without an answer after which a part of a snapshot is retransmitted.
const PART_RETRY_INTERVALS: u32 = 4;

impl Raft {
    /// Starts a heartbeat round, in which each follower is sent at least one message and lost messages are retransmitted.
    pub(super) fn send_heartbeats(&mut self, out: &mut PendingOutputs) {
        let (now, interval) = (self.now, self.settings.heartbeat_interval);
        let RoleState::Leader(state) = &mut self.role else { return };
        state.round += 1;
        state.heartbeat_due = now + interval;
        for id in self.follower_ids() {
            self.detect_loss(id);
            if !self.send_pending(id, out) {
                self.send_heartbeat(id, out);
            }
        }
    }

    fn follower_ids(&self) -> Vec<NodeId> {
        match &self.role {
            RoleState::Leader(state) => state.followers.keys().copied().collect(),
            _ => Vec::new(),
        }
    }

    /// Marks lost messages to a follower for retransmission.
    fn detect_loss(&mut self, id: NodeId) {
        let (now, interval) = (self.now, self.settings.heartbeat_interval);
        let RoleState::Leader(state) = &mut self.role else { return };
        let Some(progress) = state.followers.get_mut(&id) else { return };
        let is_silent = now >= progress.last_contact + interval * LOSS_TIMEOUT_INTERVALS;
        match &mut progress.flow {
            // A probe is small and also serves as a heartbeat, so it is sent again in each round.
            Flow::Probe { in_flight } => *in_flight = false,
            // The follower answers heartbeats during the transfer, so the part needs its own timeout.
            Flow::Snapshot { sent_at, .. } => {
                *sent_at = sent_at.filter(|at| now < *at + interval * PART_RETRY_INTERVALS);
            }
            Flow::Pipeline(_) if is_silent => progress.probe_from(progress.match_index),
            Flow::Pipeline(_) => {}
        }
    }

    /// Sends a heartbeat, which is an AppendEntries request without entries.
    fn send_heartbeat(&self, to: NodeId, out: &mut PendingOutputs) {
        let RoleState::Leader(state) = &self.role else { return };
        let Some(progress) = state.followers.get(&to) else { return };
        // The previous position is the last entry sent, so that the answer reveals whether that entry was lost.
        let index = match &progress.flow {
            Flow::Snapshot { at, .. } => at.index,
            Flow::Pipeline(_) | Flow::Probe { .. } => progress.next_index.previous(),
        };
        let Some(term) = self.log.term_at(index) else { return };
        let body = MessageBody::AppendEntries {
            prev: LogPosition { term, index },
            entries: Vec::new(),
            commit: self.commit_index,
            round: state.round,
        };
        self.send_message(to, body, out);
    }

    pub(super) fn send_pending_to_all(&mut self, out: &mut PendingOutputs) {
        for id in self.follower_ids() {
            self.send_pending(id, out);
        }
    }

    /// Sends a follower the entries or snapshot parts that it lacks, as far as its window permits. Returns whether anything was
    /// sent.
    pub(super) fn send_pending(&mut self, to: NodeId, out: &mut PendingOutputs) -> bool {
        let mut has_sent = false;
        while self.send_next(to, out) {
            has_sent = true;
        }
        has_sent
    }

    /// Sends a follower the next message that it needs. Returns whether one was sent.
    fn send_next(&mut self, to: NodeId, out: &mut PendingOutputs) -> bool {
        let max_in_flight = self.settings.max_in_flight;
        let RoleState::Leader(state) = &mut self.role else { return false };
        let Some(progress) = state.followers.get_mut(&to).filter(|p| p.may_send(max_in_flight)) else {
            return false;
        };
        let prev_index = progress.next_index.previous();
        let is_in_log = progress.next_index >= self.log.first_index();
        let prev_term = self.log.term_at(prev_index).filter(|_| is_in_log);
        if prev_term.is_none() && !matches!(progress.flow, Flow::Snapshot { .. }) {
            let Some(snapshot) = &self.log.snapshot else { return false };
            progress.flow = Flow::Snapshot { at: snapshot.at, offset: 0, sent_at: None };
        }
        let body = match prev_term {
            _ if matches!(progress.flow, Flow::Snapshot { .. }) => self.next_snapshot_part(to),
            Some(term) => self.next_entries(to, LogPosition { term, index: prev_index }),
            None => None,
        };
        let Some(body) = body else { return false };
        self.send_message(to, body, out);
        true
    }

    fn next_snapshot_part(&mut self, to: NodeId) -> Option<MessageBody> {
        let (now, part_bytes) = (self.now, self.settings.snapshot_chunk_bytes);
        let RoleState::Leader(state) = &mut self.role else { return None };
        let progress = state.followers.get_mut(&to)?;
        let Flow::Snapshot { at, offset, sent_at } = &mut progress.flow else { return None };
        let snapshot: &Snapshot = self.log.snapshot.as_ref()?;
        if snapshot.at != *at {
            // A newer snapshot was taken, so the transfer starts over.
            (*at, *offset) = (snapshot.at, 0);
        }
        let encoded_len = snapshot.state.encoded_len();
        let from = usize::try_from(*offset).unwrap_or(usize::MAX).min(encoded_len);
        let data = snapshot.state.encoded_range(from, part_bytes);
        *sent_at = Some(now);
        Some(MessageBody::InstallSnapshot {
            last_included: snapshot.at,
            membership: snapshot.members.clone(),
            offset: from as u64,
            is_last: from + data.len() == encoded_len,
            data: data.into(),
            round: state.round,
        })
    }

    fn next_entries(&mut self, to: NodeId, prev: LogPosition) -> Option<MessageBody> {
        let max_bytes = self.settings.max_message_bytes;
        let last_index = self.log.last().index;
        let RoleState::Leader(state) = &mut self.role else { return None };
        let progress = state.followers.get_mut(&to)?;
        let entries = match &mut progress.flow {
            Flow::Pipeline(_) if prev.index == last_index => return None,
            Flow::Pipeline(in_flight) => {
                let entries = self.log.entries_from(progress.next_index, max_bytes);
                let through = entries.last().map_or(prev.index, |entry| entry.at.index);
                in_flight.push_back(through);
                progress.next_index = through.next();
                entries
            }
            // A probe only checks the previous position.
            Flow::Probe { in_flight } => {
                *in_flight = true;
                Vec::new()
            }
            Flow::Snapshot { .. } => return None,
        };
        Some(MessageBody::AppendEntries { prev, entries, commit: self.commit_index, round: state.round })
    }

    /// Records that a follower has answered a round. Returns its progress, or `None` if it is not a member.
    fn record_contact(&mut self, from: NodeId, round: u64) -> Option<&mut Progress> {
        let now = self.now;
        let RoleState::Leader(state) = &mut self.role else { return None };
        let progress = state.followers.get_mut(&from)?;
        progress.last_contact = now;
        progress.round = progress.round.max(round.min(state.round));
        Some(progress)
    }

    pub(in super::super) fn handle_append_response(
        &mut self,
        from: NodeId,
        result: AppendResult,
        round: u64,
        out: &mut PendingOutputs,
    ) {
        let last_index: Index = self.log.last().index;
        let Some(progress) = self.record_contact(from, round) else { return };
        match result {
            AppendResult::Match(index) if index <= last_index => progress.record_match(index),
            // A correct follower cannot match beyond the end of the leader's log, so the answer is ignored.
            AppendResult::Match(_) => return,
            AppendResult::Conflict(hint) => progress.probe_from(hint),
        }
        self.advance_commit_index(out);
        self.complete_reads(out);
        self.send_pending(from, out);
        self.advance_transfer(out);
    }

    pub(in super::super) fn handle_install_response(
        &mut self,
        from: NodeId,
        last_included: LogPosition,
        received: u64,
        round: u64,
        out: &mut PendingOutputs,
    ) {
        let Some(progress) = self.record_contact(from, round) else { return };
        if let Flow::Snapshot { at, offset, sent_at } = &mut progress.flow
            && *at == last_included
        {
            (*offset, *sent_at) = (received, None);
        }
        self.complete_reads(out);
        self.send_pending(from, out);
    }
}
