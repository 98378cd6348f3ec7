//! Look-ups of classes, rungs, rates and utilities in the settings.

use super::{RungStep, Session};
use crate::api::{
    Class, ClassId, DedupScope, Endpoint, Idempotency, Micros, Request, Rung, ServerType, Settings, SlowStart,
};

/// Smallest rate, in kB per second, or utility that is divided by.
const MIN_DIVISOR: f64 = 1e-9;

/// The slot of a front in slow start. The index is below the count.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Slot {
    pub index: u32,
    pub count: u32,
}

impl Slot {
    /// Creates a slot. Returns `None` if the index is not below the count.
    pub fn new(index: u32, count: u32) -> Option<Slot> {
        (index < count).then_some(Slot { index, count })
    }
}

impl Settings {
    /// Returns the number of other fronts.
    pub(crate) fn other_fronts(&self) -> f64 {
        f64::from(self.front_count.max(1) - 1)
    }

    /// Returns the maximum number of streams of a server of a type.
    pub(crate) fn max_streams(&self, server_type: ServerType) -> f64 {
        let max_streams = self.max_streams_by_type.get(usize::from(server_type.0)).copied();
        f64::from(max_streams.unwrap_or(u32::MAX))
    }

    /// Returns a class by its id.
    ///
    /// Panics if the class is unknown. Requests of unknown classes are answered before any look-up.
    pub(crate) fn class(&self, class: ClassId) -> &Class {
        &self.classes[usize::from(class.0)]
    }

    /// Returns the highest rung of the ladder.
    #[expect(clippy::cast_possible_truncation, reason = "clamped to the range of u8")]
    pub(crate) fn highest_rung(&self) -> Rung {
        Rung((self.ladder.rates_kb.len().clamp(1, 256) - 1) as u8)
    }

    /// Returns the highest rung that class, viewer and ladder allow.
    pub(crate) fn max_rung(&self, request: &Request) -> Rung {
        self.class(request.class).max_rung.min(request.max_rung).min(self.highest_rung())
    }

    /// Returns the rate of a class at a rung, in kB per second.
    pub(crate) fn rate(&self, class: ClassId, rung: Rung) -> f64 {
        self.class(class).rate_scale * value_at(&self.ladder.rates_kb, rung)
    }

    /// Returns the utility per second of a class at a rung.
    pub(crate) fn utility(&self, class: ClassId, rung: Rung) -> f64 {
        self.class(class).utility * value_at(&self.ladder.utility, rung)
    }

    /// Returns the utility of a class at a rung for each kB.
    pub(crate) fn utility_per_kb(&self, class: ClassId, rung: Rung) -> f64 {
        self.utility(class, rung) / self.rate(class, rung).max(MIN_DIVISOR)
    }

    /// Returns the utility and rate that a rung adds to the one below.
    pub(crate) fn rung_step(&self, class: ClassId, rung: Rung) -> RungStep {
        let below = Rung(rung.0.saturating_sub(1));
        let rate = self.rate(class, rung) - self.rate(class, below);
        let utility = self.utility(class, rung) - self.utility(class, below);
        RungStep { utility, rate: rate.max(MIN_DIVISOR) }
    }

    /// Returns the utility for the rate of the step to a rung.
    pub(crate) fn step_efficiency(&self, class: ClassId, rung: Rung) -> f64 {
        let step = self.rung_step(class, rung);
        step.utility / step.rate
    }

    /// Returns the highest efficiency of any step of any class.
    pub(crate) fn best_step_efficiency(&self) -> f64 {
        let mut best = MIN_DIVISOR;
        for (index, class) in (0..).zip(&self.classes) {
            let rungs = class.min_rung.0 + 1..=class.max_rung.min(self.highest_rung()).0;
            best = rungs.map(|rung| self.step_efficiency(ClassId(index), Rung(rung))).fold(best, f64::max);
        }
        best
    }

    /// Returns the time until which a retry of a session is recognised as a copy.
    ///
    /// The time is unlimited if no attempt may have run or if the class has no deduplication.
    pub(crate) fn deduplicated_until(&self, session: &Session) -> Micros {
        let unlimited = Micros(u64::MAX);
        match self.class(session.request.class).idempotency {
            Idempotency::Deduplicated { window, .. } => {
                session.may_have_run.iter().map(|sent| sent.sent_at + window).min().unwrap_or(unlimited)
            }
            _ => unlimited,
        }
    }

    /// Returns the window of the retry budget, or zero if there is no budget.
    pub(crate) fn retry_window(&self) -> Micros {
        self.retry_budget.map_or(Micros(0), |budget| budget.window)
    }
}

impl SlowStart {
    /// Returns the fraction of its capacity that a server is certain to have at an age, which is below 1
    /// while it warms up. A server of unknown age counts as warm.
    pub(crate) fn capacity_fraction(&self, age: Option<Micros>) -> f64 {
        let age = age.map_or(self.warm_up, |age| age.min(self.warm_up));
        let is_warm = age == self.warm_up;
        if is_warm {
            return 1.0;
        }
        self.initial_fraction + (1.0 - self.initial_fraction) * age.secs() / self.warm_up.secs()
    }
}

impl Idempotency {
    /// Returns the servers at which a set-up that may have been executed can be repeated.
    pub(crate) fn scope(self) -> DedupScope {
        match self {
            Idempotency::Deduplicated { scope, .. } => scope,
            Idempotency::Idempotent | Idempotency::AtMostOnce => DedupScope::All,
        }
    }
}

impl Request {
    /// Returns whether a server holds the title, given the total number of cells.
    pub(crate) fn title_is_at(&self, endpoint: &Endpoint, cells: u32) -> bool {
        if let Some(servers) = &self.eligible_servers {
            return servers.contains(&endpoint.server);
        }
        let cells = cells.max(1);
        let offset = (u32::from(endpoint.cell.0) + cells - self.first_cell % cells) % cells;
        offset < self.cell_count.min(cells)
    }
}

/// Returns the value at a rung, or zero if the ladder has no such rung.
fn value_at(values: &[f64], rung: Rung) -> f64 {
    values.get(usize::from(rung.0)).copied().unwrap_or(0.0)
}
