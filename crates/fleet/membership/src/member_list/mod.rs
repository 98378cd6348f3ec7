//! The member list: all members that one member knows, with the state that it believes them to be in.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::hash::{bucket_of, mix64};
use crate::identity::{Incarnation, MemberId, MemberInfo};
use crate::messages::{BUCKETS, Digests, Update};

/// Maximum number of members, dead ones included.
const MAX_MEMBERS: usize = 8192;
/// How long dead members are remembered: later updates about them are stale, and after a partition they are contacted again.
const DEAD_MEMBER_RETENTION: Duration = Duration::from_secs(600);

/// The state that a member is believed to be in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// It did not answer lately, and may refute that.
    Suspect,
    /// It did not refute in time.
    Dead,
    /// It announced that it leaves.
    Left,
}

impl MemberState {
    /// Whether it counts as a member: alive or suspect.
    pub fn is_active(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// A known member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// What it announced of itself.
    pub info: Arc<MemberInfo>,
    /// Its highest known incarnation.
    pub incarnation: Incarnation,
    /// Its state.
    pub state: MemberState,
    /// When it entered that state, by the clock of who keeps the list.
    pub state_since: Duration,
    /// When it was first known, by the same clock.
    pub first_seen: Duration,
}

/// What an update did to the member list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Effect {
    /// Nothing: it is known, older than what is known, or about an unknown member.
    Stale,
    /// A member that was unknown or inactive is active.
    Joined,
    /// A known member changed its state or incarnation.
    Changed,
    /// Nothing, but it may be an independent confirmation of a suspicion.
    SuspectedAlready,
}

/// All known members, the one that keeps the list included.
#[derive(Debug, Clone)]
pub struct MemberList {
    members: BTreeMap<MemberId, Member>,
    /// Digest of the active members of each bucket.
    bucket_digests: Vec<u64>,
    /// The members of each bucket, active or not.
    buckets: Vec<BTreeSet<MemberId>>,
    active: usize,
}

impl Default for MemberList {
    fn default() -> Self {
        MemberList {
            members: BTreeMap::new(),
            bucket_digests: vec![0; BUCKETS],
            buckets: vec![BTreeSet::new(); BUCKETS],
            active: 0,
        }
    }
}

fn bucket(id: MemberId) -> usize {
    bucket_of(id.0, BUCKETS)
}

impl MemberList {
    /// A known member.
    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// All known members, dead ones included.
    pub fn iter(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.members.iter().map(|(id, member)| (*id, member))
    }

    /// The known members of a bucket.
    pub(crate) fn in_bucket(&self, bucket: usize) -> impl Iterator<Item = (MemberId, &Member)> {
        self.buckets[bucket].iter().filter_map(|id| Some((*id, self.members.get(id)?)))
    }

    /// Number of members that are alive or suspect.
    pub fn active_count(&self) -> usize {
        self.active
    }

    /// A digest of the active members of each bucket.
    pub fn digests(&self) -> Digests {
        Digests(self.bucket_digests.clone())
    }

    /// A digest of all active members.
    pub fn digest(&self) -> u64 {
        self.bucket_digests.iter().fold(0, |digest, bucket| mix64(digest ^ bucket))
    }

    /// Adds an active member to the digest of its bucket, or removes it: an exclusive or, so that the order does not matter.
    fn toggle_in_digest(&mut self, id: MemberId) -> bool {
        let Some(member) = self.members.get(&id) else { return false };
        let is_active = member.state.is_active();
        if is_active {
            self.bucket_digests[bucket(id)] ^= mix64(mix64(id.0) ^ member.incarnation.0);
        }
        is_active
    }

    fn add_to_digest(&mut self, id: MemberId) {
        if self.toggle_in_digest(id) {
            self.active += 1;
        }
    }

    fn remove_from_digest(&mut self, id: MemberId) {
        if self.toggle_in_digest(id) {
            self.active = self.active.saturating_sub(1);
        }
    }

    fn change(&mut self, id: MemberId, now: Duration, change: impl FnOnce(&mut Member)) {
        self.remove_from_digest(id);
        if let Some(member) = self.members.get_mut(&id) {
            let before = member.state;
            change(member);
            if member.state != before {
                member.state_since = now;
            }
        }
        self.add_to_digest(id);
    }

    /// Applies an update if it is newer than what is known (SWIM, section 4.2). In contrast to the paper, a dead member may come
    /// back by a higher incarnation, which only the member itself issues: partitions may heal.
    pub(crate) fn apply(&mut self, now: Duration, update: &Update) -> Effect {
        let (id, incarnation) = (update.member(), update.incarnation());
        let Some(member) = self.members.get(&id) else {
            let Update::Alive { info, .. } = update else { return Effect::Stale };
            return self.add(id, incarnation, info, now);
        };
        let (state, known) = (member.state, member.incarnation);
        match update {
            Update::Alive { info, .. } if incarnation > known && state != MemberState::Left => {
                self.change(id, now, |changed| {
                    changed.info = Arc::clone(info);
                    changed.incarnation = incarnation;
                    changed.state = MemberState::Alive;
                });
                if state.is_active() { Effect::Changed } else { Effect::Joined }
            }
            Update::Suspect { .. } if state.is_active() && incarnation >= known => {
                if state == MemberState::Suspect && incarnation == known {
                    return Effect::SuspectedAlready;
                }
                self.change_state(id, now, incarnation, MemberState::Suspect)
            }
            Update::Dead { by, .. } if state.is_active() && incarnation >= known => {
                let dead = if *by == id { MemberState::Left } else { MemberState::Dead };
                self.change_state(id, now, incarnation, dead)
            }
            _ => Effect::Stale,
        }
    }

    fn change_state(
        &mut self,
        id: MemberId,
        now: Duration,
        incarnation: Incarnation,
        state: MemberState,
    ) -> Effect {
        self.change(id, now, |member| {
            member.incarnation = incarnation;
            member.state = state;
        });
        Effect::Changed
    }

    fn add(
        &mut self,
        id: MemberId,
        incarnation: Incarnation,
        info: &Arc<MemberInfo>,
        now: Duration,
    ) -> Effect {
        if self.members.len() >= MAX_MEMBERS && !self.evict_oldest_inactive() {
            return Effect::Stale;
        }
        let member = Member {
            info: Arc::clone(info),
            incarnation,
            state: MemberState::Alive,
            state_since: now,
            first_seen: now,
        };
        self.members.insert(id, member);
        self.buckets[bucket(id)].insert(id);
        self.add_to_digest(id);
        Effect::Joined
    }

    /// Makes room for another member; false if all are active.
    fn evict_oldest_inactive(&mut self) -> bool {
        let inactive = self.members.iter().filter(|(_, member)| !member.state.is_active());
        let Some(oldest) = inactive.min_by_key(|(_, member)| member.state_since).map(|(id, _)| *id) else {
            return false;
        };
        self.members.remove(&oldest);
        self.buckets[bucket(oldest)].remove(&oldest);
        true
    }

    /// Removes members that have been dead for longer than they are remembered.
    pub(crate) fn remove_expired(&mut self, now: Duration) {
        self.members.retain(|_, member| {
            member.state.is_active() || now.saturating_sub(member.state_since) < DEAD_MEMBER_RETENTION
        });
        let members = &self.members;
        self.buckets.iter_mut().for_each(|ids| ids.retain(|id| members.contains_key(id)));
    }
}

#[cfg(test)]
mod tests;
