//! Joining a fleet, reconnecting to partitioned members, and leaving.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::seq::SliceRandom;

use super::{Output, Swim};
use crate::identity::MemberId;
use crate::member_list::{Member, MemberState};
use crate::messages::{Message, Packet, Update};

/// Initial time between two attempts to join, while this member knows no others.
const MIN_JOIN_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum time between two attempts to join, while this member knows no others.
const MAX_JOIN_BACKOFF: Duration = Duration::from_secs(10);
/// Number of attempts after which the backoff is no longer doubled.
const MAX_JOIN_DOUBLINGS: u32 = 6;
/// Time between two attempts to join while other members are known. These attempts reconnect the parts of a fleet after a partition.
const REJOIN_INTERVAL: Duration = Duration::from_secs(20);
/// Number of members to which a departure is sent directly.
const LEAVE_FANOUT: usize = 8;

/// The schedule of this member's attempts to join.
#[derive(Debug)]
pub(super) struct JoinSchedule {
    pub(super) next_at: Duration,
    /// Number of attempts since this member last knew others.
    attempts: u32,
}

impl JoinSchedule {
    pub(super) fn new(first_at: Duration) -> JoinSchedule {
        JoinSchedule { next_at: first_at, attempts: 0 }
    }

    /// Counts an attempt. Returns the time until the next one.
    fn advance(&mut self, is_alone: bool) -> Duration {
        if !is_alone {
            self.attempts = 0;
            return REJOIN_INTERVAL;
        }
        let backoff = MIN_JOIN_BACKOFF * 2u32.pow(self.attempts.min(MAX_JOIN_DOUBLINGS));
        self.attempts = self.attempts.saturating_add(1);
        backoff.min(MAX_JOIN_BACKOFF)
    }
}

impl Swim {
    /// Starts a digest exchange with a seed, or with a dead member that may only have been partitioned away.
    pub(super) fn run_join(&mut self, out: &mut Vec<Output>) {
        let is_alone = self.members.active_count() <= 1;
        let wait = self.join.advance(is_alone);
        self.join.next_at = self.now + self.jittered(wait);
        let candidates = self.join_candidates();
        if !candidates.is_empty() {
            let address = candidates[self.rng.random_range(0..candidates.len())];
            self.start_exchange(address, None, out);
        }
    }

    /// Returns the addresses of seeds and dead members at which no active member is known.
    fn join_candidates(&self) -> Vec<SocketAddr> {
        let is_active = |member: &&Member| member.state.is_active();
        let members = || self.members.iter().map(|(_, member)| member);
        let known: BTreeSet<SocketAddr> =
            members().filter(is_active).map(|member| member.info.address).collect();
        let dead = members().filter(|member| member.state == MemberState::Dead);
        let candidates = self.seeds.iter().copied().chain(dead.map(|member| member.info.address));
        candidates.filter(|address| !known.contains(address)).collect()
    }

    /// Announces the departure of this member to some others. This member handles no inputs afterwards.
    pub(super) fn leave(&mut self) -> Vec<Output> {
        let (id, incarnation) = (self.id, self.incarnation);
        let left = Update::Dead { id, incarnation, by: id };
        let is_recipient = |member: &(MemberId, &Member)| member.0 != id && member.1.state.is_active();
        let mut others: Vec<(MemberId, SocketAddr)> =
            self.members.iter().filter(is_recipient).map(|(to, member)| (to, member.info.address)).collect();
        others.shuffle(&mut self.rng);
        self.has_left = true;
        let send = |(to, address): (MemberId, SocketAddr)| {
            let updates = vec![left.clone()];
            Output::Send(address, Packet { from: id, to: Some(to), message: Message::Updates, updates })
        };
        others.into_iter().take(LEAVE_FANOUT).map(send).collect()
    }
}
