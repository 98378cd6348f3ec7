//! What a follower does with a leader's entries and snapshots.

use std::time::Duration;

use crate::fault_injection::Fault;
use crate::membership::Membership;
use crate::message::{AppendResult, MessageBody};
use crate::outputs::PendingOutputs;
use crate::raft::{Incoming, Raft, RoleState};
use crate::rope::SnapshotData;
use crate::types::{Entry, Index, LogPosition, NodeId, Snapshot};

impl Raft {
    /// A leader of this term speaks; false: it can't be one.
    fn hears(&mut self, from: NodeId, out: &mut PendingOutputs) -> bool {
        if self.is_leader() {
            return false;
        }
        match &mut self.role {
            RoleState::Follower { leader, .. } => *leader = Some(from),
            _ => self.follow(self.hard_state.term, Some(from), out),
        }
        self.heard_leader = Some(self.now);
        self.wait_anew();
        true
    }

    pub(crate) fn appended(
        &mut self,
        from: NodeId,
        prev: LogPosition,
        entries: Vec<Entry>,
        commit: Index,
        round: u64,
        out: &mut PendingOutputs,
    ) {
        if !self.hears(from, out) {
            return;
        }
        // A sender that skips places is none of ours; nothing of it is taken.
        let in_order = entries.iter().zip(prev.index.0 + 1..).all(|(e, i)| e.at.index.0 == i);
        if !in_order {
            return;
        }
        let verdict = match self.differs_before(prev) {
            Some(hint) => AppendResult::Conflict(hint),
            None => {
                let through = Index(prev.index.0 + entries.len() as u64);
                self.take(entries, out);
                // Not past what this message has shown to be the leader's: what lies behind may be another's.
                self.commit_to(commit.min(through), out);
                if commit <= self.commit {
                    self.current = Some(self.now);
                }
                AppendResult::Match(through)
            }
        };
        self.say(from, MessageBody::AppendEntriesResponse { verdict, round }, out);
    }

    /// Where the leader may try next, if the entry before its own is not here.
    fn differs_before(&self, prev: LogPosition) -> Option<Index> {
        // All up to the commit is the same everywhere.
        if prev.index <= self.commit || self.has_fault(Fault::TakesAnyPrevious) {
            return None;
        }
        match self.log.term_at(prev.index) {
            Some(term) if term == prev.term => None,
            // The term differs: none of it here can be the leader's, so all of it is skipped (section 5.3).
            Some(term) => {
                let mut at = prev.index.before();
                while at > self.commit && self.log.term_at(at) == Some(term) {
                    at = at.before();
                }
                Some(at)
            }
            None => Some(self.log.last().index.min(prev.index.before())),
        }
    }

    /// Takes what is not here yet; what contradicts it goes. An old message must not cut what came after it.
    fn take(&mut self, entries: Vec<Entry>, out: &mut PendingOutputs) {
        for entry in entries {
            if entry.at.index <= self.commit {
                continue;
            }
            match self.log.term_at(entry.at.index) {
                Some(term) if term == entry.at.term => continue,
                Some(_) => {
                    self.log.cut(entry.at.index);
                    out.save.cut(entry.at.index);
                }
                None => {}
            }
            if entry.at.index == self.log.last().index.next() {
                out.save.entries.push(entry.clone());
                self.log.push(entry);
            }
        }
    }

    pub(crate) fn installed(
        &mut self,
        from: NodeId,
        at: LogPosition,
        members: Membership,
        (offset, part, last): (u64, &[u8], bool),
        round: u64,
        out: &mut PendingOutputs,
    ) {
        if !self.hears(from, out) {
            return;
        }
        if at.index <= self.commit {
            let verdict = AppendResult::Match(self.commit);
            return self.say(from, MessageBody::AppendEntriesResponse { verdict, round }, out);
        }
        let bound = self.settings.max_snapshot_bytes;
        let RoleState::Follower { incoming, .. } = &mut self.role else { return };
        if incoming.as_ref().is_none_or(|i| i.at != at) {
            *incoming = Some(Incoming { at, state: Vec::new() });
        }
        let Some(coming) = incoming else { return };
        let have = coming.state.len() as u64;
        if offset == have && coming.state.len() + part.len() <= bound {
            coming.state.extend_from_slice(part);
            if last {
                let state = SnapshotData::decode(&std::mem::take(&mut coming.state));
                *incoming = None;
                let Some(state) = state else {
                    // All of it came and it is no state: it is asked for from its start.
                    return self.say(
                        from,
                        MessageBody::InstallSnapshotResponse { at, offset: 0, round },
                        out,
                    );
                };
                self.replace(Snapshot { at, members, state }, out);
                let verdict = AppendResult::Match(self.commit);
                return self.say(from, MessageBody::AppendEntriesResponse { verdict, round }, out);
            }
        }
        // Said again for a part that came twice or too early, so that the leader goes on from here.
        let offset = coming.state.len() as u64;
        self.say(from, MessageBody::InstallSnapshotResponse { at, offset, round }, out);
    }

    fn replace(&mut self, snapshot: Snapshot, out: &mut PendingOutputs) {
        out.save.snapshot = Some(snapshot.clone());
        out.save.compact_through = Some(snapshot.at.index);
        out.save.entries.retain(|e| e.at.index > snapshot.at.index);
        self.commit = snapshot.at.index;
        out.ready.committed_entries.clear();
        out.ready.installed_snapshot = Some(snapshot.clone());
        if !self.log.install(snapshot) {
            let from = self.commit.next();
            out.save.cut(from);
        }
    }

    /// For how long it may not have had all that was committed, by its own clock: since it last had all that a leader told it was.
    /// A leader's signs of life alone do not count: one that is heard by nobody goes on hearing them, and gets no entries. A
    /// leader has all; one that is cut off from all others thinks itself one for twice an election's time at most.
    pub fn staleness(&self) -> Duration {
        match self.role {
            RoleState::Leader(_) => Duration::ZERO,
            _ => self.current.map_or(Duration::MAX, |t| self.now.saturating_sub(t)),
        }
    }
}
