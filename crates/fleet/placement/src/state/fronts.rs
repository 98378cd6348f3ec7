//! Fronts' rights to place: each is a lease on a view of the placement.
//!
//! A front says which records it has and goes by nothing older from then on. A narrowing counts when each front that may place
//! has it, so that none that may place offers what was narrowed. Who does not renew loses its right by an entry of the log, like a
//! lease's expiry (`docs/fleet.md`, "Time"), and places nothing by then, whatever its clock does within the drift.

use serde::{Deserialize, Serialize};

use super::Placements;
use crate::words::answers::{Answer, Event, Renewed};
use crate::words::commands::Renew;
use crate::words::names::{FrontId, Revision};

/// Fronts at most.
const MOST_FRONTS: usize = 4_096;
/// The shortest and the longest time of a right, milliseconds.
pub const TTL_MS: std::ops::RangeInclusive<u32> = 100..=600_000;
/// How often a front that lacks a narrowing may renew before it gets no more: one that hears keepers and no records would hold every
/// narrowing up for ever.
pub const MOST_BEHIND: u8 = 5;

/// A front's right to place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Right {
    /// The records that it has.
    pub has: Revision,
    /// For how long each time, milliseconds.
    pub ttl_ms: u32,
    /// How often it was renewed.
    pub renewals: u64,
    /// How often in a row it was renewed without a narrowing that there is.
    pub behind: u8,
}

impl Placements {
    pub(super) fn renew(&mut self, renew: &Renew, events: &mut Vec<Event>) -> Answer {
        let Renew { front, seq, ttl_ms, .. } = *renew;
        let renewed = self.renewed(renew, events);
        if renewed == Renewed::Right
            && let Some(right) = self.fronts.get(&front)
        {
            events.push(Event::Right { front, ttl_ms, renewals: right.renewals });
        }
        Answer::Front { front, seq, renewed }
    }

    fn renewed(&mut self, renew: &Renew, events: &mut Vec<Event>) -> Renewed {
        let Some(has) = renew.has else {
            if self.fronts.remove(&renew.front).is_some() {
                events.push(Event::RightOver(renew.front));
            }
            return Renewed::Released;
        };
        if !TTL_MS.contains(&renew.ttl_ms) {
            return Renewed::Unable;
        }
        let needs = self.narrowed;
        let full = self.fronts.len() >= MOST_FRONTS;
        match self.fronts.get_mut(&renew.front) {
            // One that had no right may have missed anything: it is not let in with a view that is to be narrowed.
            None if has < needs => Renewed::Behind(needs),
            None if full => Renewed::Unable,
            None => {
                let right = Right { has, ttl_ms: renew.ttl_ms, renewals: 0, behind: 0 };
                self.fronts.insert(renew.front, right);
                Renewed::Right
            }
            Some(right) => {
                // A copy of an earlier word may come after a later one.
                right.has = right.has.max(has);
                if right.has < needs && right.behind >= MOST_BEHIND {
                    return Renewed::Behind(needs);
                }
                right.behind = if right.has < needs { right.behind + 1 } else { 0 };
                // The longest that was asked for: a grant that was answered before may last as long.
                right.ttl_ms = right.ttl_ms.max(renew.ttl_ms);
                right.renewals += 1;
                Renewed::Right
            }
        }
    }

    pub(super) fn expire(&mut self, front: FrontId, renewals: u64, events: &mut Vec<Event>) -> Answer {
        // Renewed between the leader's word and this: it goes on.
        if self.fronts.get(&front).is_none_or(|r| r.renewals != renewals) {
            return Answer::Nothing;
        }
        self.fronts.remove(&front);
        events.push(Event::RightOver(front));
        Answer::Done
    }
}
