//! The member list: all members that one member knows, each with its believed state.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::hash::{bucket_of, mix64};
use crate::identity::{Incarnation, MemberId, MemberInfo};
use crate::messages::{BUCKETS, Digests, Update};

/// Maximum number of members in the list, including dead ones.
const MAX_MEMBERS: usize = 8192;
/// Time for which dead members are kept, so that older updates about them are recognized as stale and that they are contacted again
/// after a partition.
const DEAD_MEMBER_RETENTION: Duration = Duration::from_secs(600);

/// The believed state of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member did not answer a recent probe, and may refute the suspicion.
    Suspect,
    /// The member did not refute the suspicion in time.
    Dead,
    /// The member announced its departure.
    Left,
}

impl MemberState {
    /// Returns whether the member counts as active, which means alive or suspect.
    pub fn is_active(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// A member in the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Properties that the member announced.
    pub info: Arc<MemberInfo>,
    /// Highest known incarnation of the member.
    pub incarnation: Incarnation,
    /// Believed state of the member.
    pub state: MemberState,
    /// Time at which the member entered that state, by the clock of the list's owner.
    pub state_since: Duration,
    /// Time at which the member was first known, by the clock of the list's owner.
    pub first_seen: Duration,
}

/// The effect of an update on the member list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Effect {
    /// The update changed nothing: it is known, older than the known state, or about an unknown member.
    Stale,
    /// A member that was unknown or inactive is active now.
    Joined,
    /// The state or incarnation of a known member changed.
    Changed,
    /// The update changed nothing, but may be an independent confirmation of a suspicion.
    SuspectedAlready,
}

/// All known members, including the owner of the list.
#[derive(Debug, Clone)]
pub struct MemberList {
    members: BTreeMap<MemberId, Member>,
    /// Digest of the active members, by bucket.
    bucket_digests: Vec<u64>,
    /// Ids of the active and inactive members, by bucket.
    buckets: Vec<BTreeSet<MemberId>>,
    active_count: usize,
}

impl Default for MemberList {
    fn default() -> Self {
        MemberList {
            members: BTreeMap::new(),
            bucket_digests: vec![0; BUCKETS],
            buckets: vec![BTreeSet::new(); BUCKETS],
            active_count: 0,
        }
    }
}

fn bucket(id: MemberId) -> usize {
    bucket_of(id.0, BUCKETS)
}

impl MemberList {
    /// Returns a member, or `None` if it is unknown.
    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Returns all known members, including dead ones.
    pub fn iter(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.members.iter().map(|(id, member)| (*id, member))
    }

    /// Returns the known members of a bucket.
    pub(crate) fn in_bucket(&self, bucket: usize) -> impl Iterator<Item = (MemberId, &Member)> {
        self.buckets[bucket].iter().filter_map(|id| Some((*id, self.members.get(id)?)))
    }

    /// Returns the number of members that are alive or suspect.
    pub fn active_count(&self) -> usize {
        self.active_count
    }

    /// Returns a digest of the active members for each bucket.
    pub fn digests(&self) -> Digests {
        Digests(self.bucket_digests.clone())
    }

    /// Returns a digest of all active members.
    pub fn digest(&self) -> u64 {
        self.bucket_digests.iter().fold(0, |digest, bucket| mix64(digest ^ bucket))
    }

    /// Adds an active member to the digest of its bucket, or removes it. Returns whether the member is active.
    ///
    /// The digest is an exclusive or, so it does not depend on the order of changes.
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
            self.active_count += 1;
        }
    }

    fn remove_from_digest(&mut self, id: MemberId) {
        if self.toggle_in_digest(id) {
            self.active_count = self.active_count.saturating_sub(1);
        }
    }

    /// Changes a member, and keeps the digest, the number of active members and the time of the last change of state up to date.
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

    /// Applies an update if it is newer than the known state (SWIM, section 4.2).
    ///
    /// In contrast to the paper, a dead member becomes alive again with a higher incarnation, which only the member itself issues,
    /// because partitions may heal.
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
                let inactive_state = if *by == id { MemberState::Left } else { MemberState::Dead };
                self.change_state(id, now, incarnation, inactive_state)
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

    /// Removes the member that has been inactive for the longest time. Returns false if all members are active.
    fn evict_oldest_inactive(&mut self) -> bool {
        let inactive = self.members.iter().filter(|(_, member)| !member.state.is_active());
        let Some(oldest) = inactive.min_by_key(|(_, member)| member.state_since).map(|(id, _)| *id) else {
            return false;
        };
        self.members.remove(&oldest);
        self.buckets[bucket(oldest)].remove(&oldest);
        true
    }

    /// Removes members that have been inactive for longer than the retention time.
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
