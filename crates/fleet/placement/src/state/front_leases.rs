//! Placement leases of fronts. A front holds a lease on its view of the placement.
//!
//! A front reports which records its view contains, and uses no older ones from then on. A withdrawal takes effect
//! once every front with a lease has its record, so that no such front offers what was withdrawn. A front that does
//! not renew loses its lease by a log entry, like the expiry of any lease (`docs/fleet.md`, "Time"). By then it places
//! nothing, whatever its clock does within the drift bound.

use serde::{Deserialize, Serialize};

use super::Placements;
use crate::protocol::answers::{Answer, Event, RenewOutcome};
use crate::protocol::commands::Renew;
use crate::protocol::names::{FrontId, Revision};

/// Maximum number of fronts.
const MAX_FRONTS: usize = 4_096;
/// Range of a lease's duration, in milliseconds.
pub const TTL_RANGE_MS: std::ops::RangeInclusive<u32> = 100..=600_000;
/// Maximum number of consecutive renewals of a front that lacks a withdrawal. Without the limit, a front that reaches
/// the coordinator but receives no records would delay every withdrawal forever.
pub const MAX_RENEWALS_BEHIND: u8 = 5;

/// A front's placement lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FrontLease {
    /// The front has all records up to this one.
    pub revision: Revision,
    /// Duration of the lease, in milliseconds.
    pub ttl_ms: u32,
    /// Number of renewals so far.
    pub renewals: u64,
    /// Number of consecutive renewals without a withdrawal that was already published.
    pub renewals_behind: u8,
}

impl Placements {
    pub(super) fn renew(&mut self, renew: &Renew, events: &mut Vec<Event>) -> Answer {
        let Renew { front, seq, ttl_ms, .. } = *renew;
        let outcome = self.renew_lease(renew, events);
        if outcome == RenewOutcome::Granted
            && let Some(lease) = self.fronts.get(&front)
        {
            events.push(Event::LeaseGranted { front, ttl_ms, renewals: lease.renewals });
        }
        Answer::Front { front, seq, outcome }
    }

    fn renew_lease(&mut self, renew: &Renew, events: &mut Vec<Event>) -> RenewOutcome {
        let Some(revision) = renew.revision else {
            if self.fronts.remove(&renew.front).is_some() {
                events.push(Event::LeaseEnded(renew.front));
            }
            return RenewOutcome::Released;
        };
        if !TTL_RANGE_MS.contains(&renew.ttl_ms) {
            return RenewOutcome::Refused;
        }
        let last_withdrawal = self.last_withdrawal;
        let full = self.fronts.len() >= MAX_FRONTS;
        match self.fronts.get_mut(&renew.front) {
            // A front without a lease may have missed any record, so that it gets none before its view contains every
            // withdrawal.
            None if revision < last_withdrawal => RenewOutcome::Behind(last_withdrawal),
            None if full => RenewOutcome::Refused,
            None => {
                let lease = FrontLease { revision, ttl_ms: renew.ttl_ms, renewals: 0, renewals_behind: 0 };
                self.fronts.insert(renew.front, lease);
                RenewOutcome::Granted
            }
            Some(lease) => {
                // A duplicate of an earlier request may arrive after a later one.
                lease.revision = lease.revision.max(revision);
                if lease.revision < last_withdrawal && lease.renewals_behind >= MAX_RENEWALS_BEHIND {
                    return RenewOutcome::Behind(last_withdrawal);
                }
                lease.renewals_behind =
                    if lease.revision < last_withdrawal { lease.renewals_behind + 1 } else { 0 };
                // An earlier grant with a longer duration may still be in effect.
                lease.ttl_ms = lease.ttl_ms.max(renew.ttl_ms);
                lease.renewals += 1;
                RenewOutcome::Granted
            }
        }
    }

    pub(super) fn expire(&mut self, front: FrontId, renewals: u64, events: &mut Vec<Event>) -> Answer {
        // The front renewed after the leader proposed the expiry.
        if self.fronts.get(&front).is_none_or(|r| r.renewals != renewals) {
            return Answer::NotApplicable;
        }
        self.fronts.remove(&front);
        events.push(Event::LeaseEnded(front));
        Answer::Done
    }
}
