//! State of one front: servers, racks, sessions, and totals over them. Nothing is decided here.

mod accounting;
mod random;
mod recent_events;
mod resource_gauge;
mod rung_step;
mod server;
mod session;
mod settings_lookup;
mod utilization;

pub(crate) use accounting::{Accounting, Change};
pub(crate) use random::SplitMix64;
pub(crate) use recent_events::RecentEvents;
pub(crate) use resource_gauge::{Load, Resource, ResourceGauge, UtilizationSample};
pub(crate) use rung_step::{Downgrade, RungStep, Selection, Upgrade};
pub(crate) use server::{Server, Shortfall};
pub(crate) use session::{Dispatch, Phase, Session};
pub(crate) use settings_lookup::Slot;
pub(crate) use utilization::{AssumedUtilization, UtilizationTotals};

/// Returns the number of complete steps in a value, rounded towards zero. Values out of range saturate.
#[expect(clippy::cast_possible_truncation, reason = "rounded towards zero on purpose")]
pub(crate) fn complete_steps(value: f64, step: f64) -> i64 {
    (value / step) as i64
}

/// Returns the integer part of a count, and zero for negative values.
#[expect(clippy::cast_possible_truncation, reason = "rounded towards zero on purpose")]
pub(crate) fn truncated_count(count: f64) -> usize {
    count as usize
}
