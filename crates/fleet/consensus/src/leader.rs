//! What a leader does: it sends, counts, answers reads, changes members, hands over.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::fault_injection::Fault;
use crate::membership::{Membership, MembershipChange, MembershipChangeError};
use crate::message::{AppendResult, Message, MessageBody};
use crate::outputs::PendingOutputs;
use crate::progress::{Flow, Progress};
use crate::raft::{Leading, Raft, RoleState, WaitingRead};
use crate::types::{Index, LogPosition, NodeId, Payload, RequestError, RequestId, Settings};

impl Raft {
    /// Leads from now on. The first entry is empty: what earlier terms left can be committed with one of this term alone
    /// (section 5.4.2).
    pub(crate) fn lead(&mut self, out: &mut PendingOutputs) {
        self.role = RoleState::Leader(Leading {
            others: BTreeMap::new(),
            round: 0,
            beat_at: self.now,
            since: self.now,
            reads: VecDeque::new(),
            heir: None,
        });
        let next = self.log.last().index.next();
        self.meet(next);
        self.append(Payload::Noop, out);
        self.beat(out);
        self.count(out);
    }

    /// Keeps a record of each member, and of nobody else.
    fn meet(&mut self, next: Index) {
        let (_, members) = self.log.members();
        let (me, now) = (self.id, self.now);
        let RoleState::Leader(l) = &mut self.role else { return };
        l.others.retain(|id, _| members.get(*id).is_some());
        for (id, _) in members.iter().filter(|(id, _)| *id != me) {
            l.others.entry(id).or_insert_with(|| Progress::new(next, now));
        }
    }

    /// Whether a majority of the voters was heard within a time; itself always.
    fn heard_by_quorum(&self, l: &Leading, within: Duration) -> bool {
        let heard = |id| l.others.get(&id).is_some_and(|p| self.now < p.heard + within);
        self.log.members().1.has_quorum(|id| id == self.id || heard(id))
    }

    pub(crate) fn lead_on(&mut self, out: &mut PendingOutputs) {
        let RoleState::Leader(l) = &self.role else { return };
        // Guards against a leader that is cut off and goes on taking what it can never commit (section 6.2).
        if !self.heard_by_quorum(l, self.settings.election_timeout * 2)
            && self.now >= l.since + self.settings.election_timeout * 2
        {
            return self.follow(self.hard_state.term, None, out);
        }
        let now = self.now;
        let RoleState::Leader(l) = &mut self.role else { return };
        if l.heir.is_some_and(|h| now >= h.1) {
            l.heir = None;
        }
        if now >= l.beat_at {
            self.beat(out);
        }
    }

    /// A round: all are told something, and what is lost is found out.
    fn beat(&mut self, out: &mut PendingOutputs) {
        let (now, every) = (self.now, self.settings.heartbeat_interval);
        let RoleState::Leader(l) = &mut self.role else { return };
        l.round += 1;
        l.beat_at = now + every;
        let all: Vec<NodeId> = l.others.keys().copied().collect();
        for id in all {
            if let RoleState::Leader(l) = &mut self.role
                && let Some(p) = l.others.get_mut(&id)
            {
                // What was on its way and brought no word for two rounds is lost, or its answer is: it goes again.
                let lost = now >= p.heard + every * 2;
                match &mut p.flow {
                    // It is small, and a sign of life by itself.
                    Flow::Probe { waiting } => *waiting = false,
                    // Signs of life are answered meanwhile, so the part has a time of its own.
                    Flow::Snapshot { sent, .. } => *sent = sent.filter(|t| now < *t + every * 4),
                    Flow::Stream(_) if lost => p.differs(p.matched),
                    Flow::Stream(_) => {}
                }
            }
            if !self.send(id, out) {
                self.sign(id, out);
            }
        }
    }

    /// A sign of life without entries.
    fn sign(&self, to: NodeId, out: &mut PendingOutputs) {
        let RoleState::Leader(l) = &self.role else { return };
        let Some(p) = l.others.get(&to) else { return };
        // Behind all that went there: if the last of it was lost, the answer tells.
        let index = match &p.flow {
            Flow::Snapshot { at, .. } => at.index,
            Flow::Stream(_) | Flow::Probe { .. } => p.next.before(),
        };
        let Some(term) = self.log.term_at(index) else { return };
        let prev = LogPosition { term, index };
        let commit = self.commit;
        self.say(to, MessageBody::AppendEntries { prev, entries: Vec::new(), commit, round: l.round }, out);
    }

    /// Sends a member what it lacks, as far as its window goes; whether anything went.
    fn send(&mut self, to: NodeId, out: &mut PendingOutputs) -> bool {
        let mut any = false;
        while self.send_one(to, out) {
            any = true;
        }
        any
    }

    fn send_one(&mut self, to: NodeId, out: &mut PendingOutputs) -> bool {
        let Settings { max_in_flight, max_message_bytes, snapshot_chunk_bytes, .. } = self.settings;
        let (me, now, term, commit) = (self.id, self.now, self.hard_state.term, self.commit);
        let last = self.log.last().index;
        let RoleState::Leader(l) = &mut self.role else { return false };
        let round = l.round;
        let Some(p) = l.others.get_mut(&to).filter(|p| p.may_send(max_in_flight)) else { return false };
        let prev = p.next.before();
        let known = self.log.term_at(prev).filter(|_| p.next >= self.log.first());
        if known.is_none() && !matches!(p.flow, Flow::Snapshot { .. }) {
            let Some(s) = &self.log.snapshot else { return false };
            p.flow = Flow::Snapshot { at: s.at, offset: 0, sent: None };
        }
        let body = match (&mut p.flow, known) {
            (Flow::Snapshot { at, offset, sent }, _) => {
                let Some(s) = &self.log.snapshot else { return false };
                if s.at != *at {
                    // A newer one was taken meanwhile: from its start.
                    (*at, *offset) = (s.at, 0);
                }
                let length = s.state.encoded_len();
                let from = usize::try_from(*offset).unwrap_or(usize::MAX).min(length);
                let part = s.state.encoded_range(from, snapshot_chunk_bytes);
                *sent = Some(now);
                MessageBody::InstallSnapshot {
                    at: s.at,
                    members: s.members.clone(),
                    offset: from as u64,
                    last: from + part.len() == length,
                    part: part.into(),
                    round,
                }
            }
            (flow, Some(before)) => {
                if prev == last && matches!(flow, Flow::Stream(_)) {
                    return false;
                }
                let entries = match flow {
                    Flow::Stream(on_way) => {
                        let entries = self.log.from(p.next, max_message_bytes);
                        let through = entries.last().map_or(prev, |e| e.at.index);
                        on_way.push_back(through);
                        p.next = through.next();
                        entries
                    }
                    // Where the logs part is looked for without entries.
                    Flow::Probe { waiting } => {
                        *waiting = true;
                        Vec::new()
                    }
                    Flow::Snapshot { .. } => Vec::new(),
                };
                MessageBody::AppendEntries {
                    prev: LogPosition { term: before, index: prev },
                    entries,
                    commit,
                    round,
                }
            }
            (_, None) => return false,
        };
        out.ready.messages.push(Message { from: me, to, term, body });
        true
    }

    fn send_all(&mut self, out: &mut PendingOutputs) {
        let RoleState::Leader(l) = &self.role else { return };
        let all: Vec<NodeId> = l.others.keys().copied().collect();
        for id in all {
            self.send(id, out);
        }
    }

    /// Notes that a member was heard, and of which round; its record.
    fn heard_from(&mut self, from: NodeId, round: u64) -> Option<&mut Progress> {
        let now = self.now;
        let RoleState::Leader(l) = &mut self.role else { return None };
        let p = l.others.get_mut(&from)?;
        (p.heard, p.round) = (now, p.round.max(round.min(l.round)));
        Some(p)
    }

    pub(crate) fn appended_there(
        &mut self,
        from: NodeId,
        verdict: AppendResult,
        round: u64,
        out: &mut PendingOutputs,
    ) {
        let last = self.log.last().index;
        let Some(p) = self.heard_from(from, round) else { return };
        match verdict {
            // No member can have more of this leader's log than there is.
            AppendResult::Match(index) if index <= last => p.matches(index),
            AppendResult::Match(_) => return,
            AppendResult::Conflict(hint) => p.differs(hint),
        }
        self.count(out);
        self.reads_confirmed(out);
        self.send(from, out);
        self.heir_ready(out);
    }

    pub(crate) fn installing_there(
        &mut self,
        from: NodeId,
        of: LogPosition,
        so_far: u64,
        round: u64,
        out: &mut PendingOutputs,
    ) {
        let Some(p) = self.heard_from(from, round) else { return };
        if let Flow::Snapshot { at, offset, sent } = &mut p.flow
            && *at == of
        {
            (*offset, *sent) = (so_far, None);
        }
        self.reads_confirmed(out);
        self.send(from, out);
    }

    /// Commits what a majority has, if it is of this term. The leader's own log counts: it lasts before any of this goes out.
    fn count(&mut self, out: &mut PendingOutputs) {
        let RoleState::Leader(l) = &self.role else { return };
        let (_, members) = self.log.members();
        let last = self.log.last().index;
        let matched =
            |id| if id == self.id { last } else { l.others.get(&id).map_or(Index(0), |p| p.matched) };
        let reached = if self.has_fault(Fault::LearnerCounts) {
            let mut all: Vec<Index> = members.iter().map(|(id, _)| matched(id)).collect();
            all.sort_unstable_by(|a, b| b.cmp(a));
            all.get(members.quorum() - 1).copied().unwrap_or_default()
        } else {
            members.reached(matched)
        };
        let own = self.log.term_at(reached) == Some(self.hard_state.term);
        if reached > self.commit && (own || self.has_fault(Fault::CommitsOlderTerm)) {
            self.commit_to(reached, out);
            self.reads_begun();
            self.reads_confirmed(out);
            // One that is no voter any more leads no longer than until that is committed (section 4.2.2).
            let (place, members) = self.log.members();
            if place <= self.commit && !members.votes(self.id) {
                self.beat(out);
                self.follow(self.hard_state.term, None, out);
            }
        }
    }

    /// Whether it has committed an entry of its own term, so that it knows what is committed.
    fn knows_commit(&self) -> bool {
        self.log.term_at(self.commit) == Some(self.hard_state.term)
    }

    pub(crate) fn propose(
        &mut self,
        command: Arc<[u8]>,
        out: &mut PendingOutputs,
    ) -> Result<LogPosition, RequestError> {
        self.may_take()?;
        if command.len() > self.settings.max_proposal_bytes {
            return Err(RequestError::ProposalTooLarge);
        }
        if self.log.bytes_after(self.commit) + command.len() > self.settings.max_uncommitted_bytes {
            return Err(RequestError::Busy);
        }
        let at = self.append(Payload::Command(command), out);
        self.count(out);
        self.send_all(out);
        Ok(at)
    }

    fn may_take(&self) -> Result<(), RequestError> {
        match &self.role {
            RoleState::Leader(l) if l.heir.is_some() => Err(RequestError::Busy),
            RoleState::Leader(_) => Ok(()),
            RoleState::Follower { leader, .. } => Err(RequestError::NotLeader(*leader)),
            _ => Err(RequestError::NotLeader(None)),
        }
    }

    pub(crate) fn change(
        &mut self,
        change: &MembershipChange,
        out: &mut PendingOutputs,
    ) -> Result<LogPosition, RequestError> {
        self.may_take()?;
        let (place, members) = self.log.members();
        let to = members.changed(change)?;
        let free = place <= self.commit && self.knows_commit();
        if !free && !self.has_fault(Fault::ChangesTogether) {
            return Err(MembershipChangeError::ChangeInProgress.into());
        }
        if let MembershipChange::Promote(id) = change {
            self.caught_up(*id)?;
        }
        Ok(self.change_to(to, out))
    }

    /// Guards against a voter that counts for the quorum and is minutes behind: nothing would be committed meanwhile.
    fn caught_up(&self, id: NodeId) -> Result<(), MembershipChangeError> {
        let RoleState::Leader(l) = &self.role else { return Err(MembershipChangeError::ChangeInProgress) };
        match l.others.get(&id) {
            Some(p) if p.matched >= self.commit => Ok(()),
            Some(_) => Err(MembershipChangeError::NotCaughtUp(id)),
            None => Err(MembershipChangeError::NotMember(id)),
        }
    }

    fn change_to(&mut self, to: Membership, out: &mut PendingOutputs) -> LogPosition {
        // In force as soon as it is in the log (section 4.1).
        let at = self.append(Payload::Membership(to), out);
        let first = self.log.first();
        self.meet(first);
        self.count(out);
        self.send_all(out);
        at
    }

    pub(crate) fn read(&mut self, ticket: RequestId, out: &mut PendingOutputs) {
        let index = self.knows_commit().then_some(self.commit);
        let most = self.settings.max_pending_reads;
        let refused = match &mut self.role {
            RoleState::Leader(l) if l.reads.len() >= most => Err(RequestError::Busy),
            RoleState::Leader(l) => {
                // A round that begins now: what was heard before proves nothing of now.
                l.reads.push_back(WaitingRead { ticket, round: l.round + 1, index });
                Ok(())
            }
            RoleState::Follower { leader, .. } => Err(RequestError::NotLeader(*leader)),
            _ => Err(RequestError::NotLeader(None)),
        };
        match refused {
            Err(why) => out.ready.reads.push((ticket, Err(why))),
            Ok(()) => {
                self.beat(out);
                self.reads_confirmed(out);
            }
        }
    }

    /// Reads that came before the leader knew what is committed: now it does.
    fn reads_begun(&mut self) {
        let (knows, commit) = (self.knows_commit(), self.commit);
        if let RoleState::Leader(l) = &mut self.role {
            l.reads.iter_mut().filter(|r| knows && r.index.is_none()).for_each(|r| r.index = Some(commit));
        }
    }

    /// Answers reads whose round a majority has heard: it led when they came (section 6.4).
    fn reads_confirmed(&mut self, out: &mut PendingOutputs) {
        let unconfirmed = self.has_fault(Fault::ReadsUnconfirmed);
        let (_, members) = self.log.members();
        let me = self.id;
        let RoleState::Leader(l) = &mut self.role else { return };
        let (own, others) = (l.round, &l.others);
        let heard = members.reached(|id| if id == me { own } else { others.get(&id).map_or(0, |p| p.round) });
        while let Some(r) = l.reads.front().filter(|r| (r.round <= heard || unconfirmed) && r.index.is_some())
        {
            out.ready.reads.push((r.ticket, Ok(())));
            l.reads.pop_front();
        }
    }

    pub(crate) fn hand_over(&mut self, to: NodeId, out: &mut PendingOutputs) {
        let until = self.now + self.settings.election_timeout;
        let fit = to != self.id && self.log.members().1.votes(to);
        if let RoleState::Leader(l) = &mut self.role
            && fit
        {
            l.heir = Some((to, until));
            self.send(to, out);
            self.heir_ready(out);
        }
    }

    /// The heir has all there is: it may ask for votes.
    fn heir_ready(&mut self, out: &mut PendingOutputs) {
        let last = self.log.last().index;
        let RoleState::Leader(l) = &self.role else { return };
        if let Some((to, _)) = l.heir
            && l.others.get(&to).is_some_and(|p| p.matched == last)
        {
            self.say(to, MessageBody::TimeoutNow, out);
        }
    }
}
