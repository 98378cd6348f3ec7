//! The slot that a front has by lease: which share of a fleet-wide rate it may use now.
//!
//! The slot of a front's grant is its slot here, so that no two concurrent holders have the same. The slot count must agree,
//! too, and fronts learn of a change at different moments. Four rules keep the sum of all shares under the whole at each moment,
//! and over any span of the rate:
//!
//! - The slot count is a power of two. A front's share of a larger count is no more than its share of a smaller one, and where
//!   shares are under one, the fronts that have one of the larger count are among those that have one of the smaller (a turn that
//!   is under the bound modulo `2n` is under it modulo `n`). So fronts with different counts use together no more than all with
//!   the smallest count in use, as long as no slot is past that count.
//! - A new holder waits before it uses its slot: for the longest time to live of all grants of this lease, after which every
//!   other front has either renewed since, and received the new slot bound, or has lost its own; and for the span, after which
//!   nothing counts that others did with larger shares, or that the slot's last holder did.
//! - A larger count is used at once, a smaller one after the span: what those did that had slots past it is over then.
//! - Without a lease a front has no share at all: the number of such fronts is not bounded, so any share above zero would make a
//!   sum without bound.
//!
//! # Handoff
//!
//! A front that ends stops using its slot for good ([`SlotAssignment::stop`]), and hands it off to the next front of the same
//! instance ([`SlotAssignment::handoff_offer`]). That one is granted the same slot with another token and waits for the remaining
//! time alone. Why the four rules hold then:
//!
//! - The slot is never free in between. For all other fronts nothing has changed: all that have renewed use a count above it, as
//!   the predecessor had waited until they did.
//! - What the predecessor did counts for the span from when it stopped. A part of that has passed by its clock at the handoff; the
//!   remaining time goes with the slot and is counted from when the successor receives its grant, which is later. Both parts, by
//!   clocks within the drift bound, come to the span extended by the drift, so that the span is over by true time. If the
//!   predecessor was itself waiting, the rest of that wait goes with the slot instead.
//! - Using a smaller count than the slot of a front that acted within the span: the successor begins with the predecessor's
//!   count, and changes to a smaller one after a span like any other. The predecessor knew of all grants that existed at its last
//!   renewal. A grant that was made after that and has ended before the succession is detected by the table, as its token is above
//!   the newest that the predecessor knew; then the successor waits like any new holder.
//! - Two fronts with one instance name at once: the slot is handed off once and taken over once; the other has another slot, and
//!   waits.
//!
//! If the handoff is lost, or its sender was killed, the grant expires as any other.

use std::time::Duration;

use crate::drift_bound::DriftBound;
use crate::fault_injection::Fault;
use crate::holder::{HandoffOffer, Permit};
use crate::message::{Succession, Token};

/// Maximum slot count that is taken over from a predecessor.
const MAX_INHERITED_SLOT_COUNT: u32 = 1 << 20;

/// The share of the whole that a front may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SlotShare {
    /// Nothing.
    None,
    /// The share of a slot.
    Of {
        /// The slot, counted from zero.
        slot: u32,
        /// The slot count: a power of two above each slot.
        slot_count: u32,
    },
}

/// A smaller slot count that is used later.
#[derive(Debug, Clone, Copy)]
struct PendingCount {
    slot_count: u32,
    effective_at: Duration,
}

/// The slot of a grant.
#[derive(Debug, Clone, Copy)]
struct HeldSlot {
    token: Token,
    slot: u32,
    usable_from: Duration,
    expires_at: Duration,
    slot_count: u32,
    pending_count: Option<PendingCount>,
}

/// The end of a front's use of its slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoppedUse {
    /// When it stopped.
    pub at: Duration,
    /// For how long its use counts after that.
    pub counts_for: Duration,
}

/// Tracks a front's slot and the slot count that it uses.
#[derive(Debug)]
pub struct SlotAssignment {
    /// The span of the rate, extended by the drift.
    span: Duration,
    drift: DriftBound,
    held: Option<HeldSlot>,
    stopped_at: Option<Duration>,
    fault: Option<Fault>,
}

impl SlotAssignment {
    /// No slot yet. `span` is the time over which the rate is measured.
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

    /// Takes the holder's permit into account. To be called whenever the holder has received a response or lost its lease, and
    /// before [`SlotAssignment::share`] at any other time.
    pub fn update(&mut self, now: Duration, permit: Option<&Permit>) {
        let Some((token, permit)) = permit.and_then(|permit| Some((permit.token_at(now)?, permit))) else {
            self.held = None;
            return;
        };
        // There are 4,096 slots at most: no overflow.
        let needed_count = u32::from(permit.position().slot_bound).next_power_of_two();
        let known = self.held.filter(|held| held.token == token);
        let mut held = known.unwrap_or_else(|| self.new_slot(now, token, permit, needed_count));
        held.expires_at = permit.expires_at();
        self.update_count(now, &mut held, needed_count);
        self.held = Some(held);
    }

    /// The slot of a new grant, with the wait before its use.
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

    /// The wait and the slot count of a successor.
    fn succeed(&self, full_wait: Duration, needed_count: u32, succession: Succession) -> (Duration, u32) {
        let remaining = Duration::from_millis(u64::from(succession.remaining_ms));
        let wait =
            if self.has_fault(Fault::RemainderIgnored) { Duration::ZERO } else { full_wait.min(remaining) };
        if self.has_fault(Fault::SlotCountNotInherited) {
            return (wait, needed_count);
        }
        // The count that was sent should be a power of two; rounding another one up makes the share smaller.
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
        // A pending count that is needed no more was enough before and still is: its wait goes on. A larger need replaces it.
        let pending = held.pending_count.unwrap_or(after_span);
        let pending = PendingCount { slot_count: pending.slot_count.max(needed_count), ..pending };
        if now < pending.effective_at {
            held.pending_count = Some(pending);
            return;
        }
        held.slot_count = pending.slot_count;
        // What is needed now may be less than what was when the wait began.
        held.pending_count = (needed_count < pending.slot_count).then_some(after_span);
    }

    /// This front's share at `now`.
    pub fn share(&self, now: Duration) -> SlotShare {
        let has_stopped = self.stopped_at.is_some() && !self.has_fault(Fault::UsedAfterHandoff);
        match self.held {
            Some(held) if !has_stopped && now >= held.usable_from && now < held.expires_at => {
                SlotShare::Of { slot: held.slot, slot_count: held.slot_count }
            }
            _ => SlotShare::None,
        }
    }

    /// Ends the use of any slot for good.
    pub fn stop(&mut self, now: Duration) {
        self.stopped_at.get_or_insert(now);
    }

    /// When the use of slots was stopped, if it was.
    pub fn stopped(&self) -> Option<StoppedUse> {
        self.stopped_at.map(|at| StoppedUse { at, counts_for: self.span })
    }

    /// What is handed off with the slot; `None` without a slot or before [`SlotAssignment::stop`]. `reserve_ms` is for how long
    /// the slot is reserved, milliseconds.
    pub fn handoff_offer(&self, now: Duration, reserve_ms: u32) -> Option<HandoffOffer> {
        let (held, stopped_at) = (self.held?, self.stopped_at?);
        let was_used = stopped_at >= held.usable_from;
        let counts_until = if was_used { stopped_at + self.span } else { held.usable_from };
        let remaining = counts_until.saturating_sub(now);
        let remaining_ms = u32::try_from(remaining.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX);
        Some(HandoffOffer { slot_count: held.slot_count, remaining_ms, reserve_ms })
    }

    /// Its slot, whether it may be used yet or not.
    pub fn slot(&self) -> Option<u32> {
        self.held.map(|held| held.slot)
    }
}
