//! Share of a fleet-wide rate limit that a front may use, derived from the slot of its lease.
//!
//! A front uses the slot of its grant, so no two concurrent holders have the same slot. The fronts must also agree on the slot
//! count, although they learn of a change at different moments. Four rules keep the sum of all shares within the limit at each
//! moment and over any measurement span of the rate:
//!
//! - The slot count is a power of two. A front's share with a larger count is at most its share with a smaller one. If the
//!   limit is below the slot count, only some slots have a share, and the slots that have one with the larger count are a
//!   subset of those with the smaller count, because a value below the limit modulo `2n` is also below it modulo `n`. So
//!   fronts with different counts use at most as much as if all of them used the smallest of these counts, provided that every
//!   slot is below that count.
//! - A new holder waits before it uses its slot. The wait is the sum of two periods. The first is the longest time to live of
//!   all grants of the lease, after which every other front has either renewed its grant and received the new slot bound, or
//!   lost its grant. The second is the measurement span, after which operations that other fronts performed with larger shares,
//!   or that the slot's last holder performed, no longer count.
//! - A larger count is used immediately. A smaller one is used after the measurement span, when the operations of fronts with
//!   slots at or above the smaller count no longer count.
//! - A front without a lease has no share. The number of such fronts is unbounded, so any positive share would make the sum
//!   unbounded.
//!
//! # Handoff
//!
//! A front that shuts down stops using its slot permanently ([`SlotAssignment::stop`]) and hands it off to the next front of the
//! same instance ([`SlotAssignment::handoff_offer`]). The successor is granted the same slot with another token and waits only
//! for the remaining time. The four rules still hold, for these reasons:
//!
//! - The slot is never free in between, so nothing changes for the other fronts. All fronts that have renewed use a count above
//!   the slot, because the predecessor waited until they did.
//! - The predecessor's operations count for one span from when it stopped. Part of that span has passed by the predecessor's
//!   clock at the handoff. The remaining time is passed on with the slot and is counted from when the successor receives its
//!   grant, which is later. By clocks within the drift bound, both parts together are the span extended by the drift, so the
//!   span has passed in true time. If the predecessor was still waiting itself, the rest of its wait is passed on instead.
//! - The successor never uses a count that is too small for the slot of a front that was active within the span. It starts with
//!   the predecessor's count and changes to a smaller one after a span, as any front does. The predecessor knew of all grants
//!   that existed at its last renewal. The table detects a grant that was made later and ended before the succession, because
//!   its token is above the newest token that the predecessor knew. The successor then waits like any new holder.
//! - If two fronts use one instance name at the same time, the slot is handed off once and taken over once. The other front gets
//!   another slot and waits.
//!
//! If the handoff is lost or the predecessor was killed, the grant expires like any other.

use std::time::Duration;

use crate::drift_bound::DriftBound;
use crate::fault_injection::Fault;
use crate::holder::{HandoffOffer, Permit};
use crate::message::{Succession, Token};

/// Maximum slot count that a successor inherits from its predecessor.
const MAX_INHERITED_SLOT_COUNT: u32 = 1 << 20;

/// Share of the fleet-wide limit that a front may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SlotShare {
    /// No share.
    None,
    /// The share of one slot out of `slot_count`.
    Of {
        /// Zero-based index of the slot.
        slot: u32,
        /// Slot count, a power of two that is greater than `slot`.
        slot_count: u32,
    },
}

/// Smaller slot count that takes effect later.
#[derive(Debug, Clone, Copy)]
struct PendingCount {
    slot_count: u32,
    effective_at: Duration,
}

/// Slot of the current grant.
#[derive(Debug, Clone, Copy)]
struct HeldSlot {
    token: Token,
    slot: u32,
    usable_from: Duration,
    expires_at: Duration,
    slot_count: u32,
    pending_count: Option<PendingCount>,
}

/// End of a front's use of its slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoppedUse {
    /// Time at which the front stopped using its slot.
    pub at: Duration,
    /// Duration after `at` during which the front's earlier operations still count against the limit.
    pub counts_for: Duration,
}

/// Tracks the slot of a front and the slot count that it uses.
#[derive(Debug)]
pub struct SlotAssignment {
    /// Measurement span of the rate, extended by the drift bound.
    span: Duration,
    drift: DriftBound,
    held: Option<HeldSlot>,
    stopped_at: Option<Duration>,
    fault: Option<Fault>,
}

impl SlotAssignment {
    /// Creates an assignment without a slot. `span` is the time over which the rate is measured.
    pub fn new(drift: DriftBound, span: Duration) -> SlotAssignment {
        SlotAssignment { span: drift.longer(span), drift, held: None, stopped_at: None, fault: None }
    }

    /// Injects a fault.
    #[cfg(feature = "fault_injection")]
    pub fn inject(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn has_fault(&self, fault: Fault) -> bool {
        cfg!(feature = "fault_injection") && self.fault == Some(fault)
    }

    /// Updates the slot and the slot count from the holder's current permit.
    ///
    /// Callers must call this whenever the holder has received a response or lost its lease, and before any other call of
    /// [`SlotAssignment::share`].
    pub fn update(&mut self, now: Duration, permit: Option<&Permit>) {
        let Some((token, permit)) = permit.and_then(|permit| Some((permit.token_at(now)?, permit))) else {
            self.held = None;
            return;
        };
        // The table permits at most 4,096 slots, so this cannot overflow.
        let needed_count = u32::from(permit.position().slot_bound).next_power_of_two();
        let known = self.held.filter(|held| held.token == token);
        let mut held = known.unwrap_or_else(|| self.new_slot(now, token, permit, needed_count));
        held.expires_at = permit.expires_at();
        self.update_count(now, &mut held, needed_count);
        self.held = Some(held);
    }

    /// Creates the state for a new grant, with the wait before its slot may be used.
    fn new_slot(&self, now: Duration, token: Token, permit: &Permit, needed_count: u32) -> HeldSlot {
        let position = permit.position();
        let max_ttl = self.drift.longer(Duration::from_millis(u64::from(position.max_ttl_ms)));
        let full_wait =
            if self.has_fault(Fault::SlotUsedAtOnce) { Duration::ZERO } else { max_ttl + self.span };
        let (wait, slot_count) = match permit.succession() {
            Some(succession) => self.succeed(full_wait, needed_count, succession),
            None => (full_wait, needed_count),
        };
        HeldSlot {
            token,
            slot: u32::from(position.slot),
            usable_from: now + wait,
            expires_at: permit.expires_at(),
            slot_count,
            pending_count: None,
        }
    }

    /// Returns the wait and the slot count of a successor.
    fn succeed(&self, full_wait: Duration, needed_count: u32, succession: Succession) -> (Duration, u32) {
        let remaining = Duration::from_millis(u64::from(succession.remaining_ms));
        let wait =
            if self.has_fault(Fault::RemainderIgnored) { Duration::ZERO } else { full_wait.min(remaining) };
        if self.has_fault(Fault::SlotCountNotInherited) {
            return (wait, needed_count);
        }
        // The predecessor should have sent a power of two. Rounding any other count up makes the share smaller.
        let inherited = succession.slot_count.min(MAX_INHERITED_SLOT_COUNT).next_power_of_two();
        (wait, needed_count.max(inherited))
    }

    fn update_count(&self, now: Duration, held: &mut HeldSlot, needed_count: u32) {
        if needed_count >= held.slot_count || self.has_fault(Fault::SmallerCountAtOnce) {
            held.slot_count = needed_count;
            held.pending_count = None;
            return;
        }
        let after_span = PendingCount { slot_count: needed_count, effective_at: now + self.span };
        // If the needed count has dropped further, the pending count is still sufficient and its wait continues. If the needed
        // count has grown, it replaces the pending count within the same wait.
        let pending = held.pending_count.unwrap_or(after_span);
        let pending = PendingCount { slot_count: pending.slot_count.max(needed_count), ..pending };
        if now < pending.effective_at {
            held.pending_count = Some(pending);
            return;
        }
        held.slot_count = pending.slot_count;
        // The needed count may have dropped further since the wait began, which requires another wait.
        held.pending_count = (needed_count < pending.slot_count).then_some(after_span);
    }

    /// Returns the share that this front may use at `now`.
    pub fn share(&self, now: Duration) -> SlotShare {
        let has_stopped = self.stopped_at.is_some() && !self.has_fault(Fault::UsedAfterHandoff);
        match self.held {
            Some(held) if !has_stopped && now >= held.usable_from && now < held.expires_at => {
                SlotShare::Of { slot: held.slot, slot_count: held.slot_count }
            }
            _ => SlotShare::None,
        }
    }

    /// Permanently ends the use of any slot.
    pub fn stop(&mut self, now: Duration) {
        self.stopped_at.get_or_insert(now);
    }

    /// Returns when the use of slots was stopped. Returns `None` if it was not.
    pub fn stopped(&self) -> Option<StoppedUse> {
        self.stopped_at.map(|at| StoppedUse { at, counts_for: self.span })
    }

    /// Returns the data to hand off with the slot. Returns `None` if there is no slot or [`SlotAssignment::stop`] was not called.
    /// `reserve_ms` is the time in milliseconds for which the slot stays reserved.
    pub fn handoff_offer(&self, now: Duration, reserve_ms: u32) -> Option<HandoffOffer> {
        let (held, stopped_at) = (self.held?, self.stopped_at?);
        let was_used = stopped_at >= held.usable_from;
        let counts_until = if was_used { stopped_at + self.span } else { held.usable_from };
        let remaining = counts_until.saturating_sub(now);
        let remaining_ms = u32::try_from(remaining.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX);
        Some(HandoffOffer { slot_count: held.slot_count, remaining_ms, reserve_ms })
    }

    /// Returns the slot, even if it may not be used yet.
    pub fn slot(&self) -> Option<u32> {
        self.held.map(|held| held.slot)
    }
}
