//! Bounds that limits guarantee, derived from the settings. `beechloft check` prints them.

use std::time::Duration;

use beechloft_leases::DriftBound;

use crate::definition::{Enforcement, LimitDefinition, MILLI, QuotaParameters, Resource};

/// The growth that a front's soft share is permitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SoftGrowth {
    /// Sustained growth, units per second.
    pub units_per_s: u64,
    /// Maximum growth at once, units.
    pub burst: u64,
}

/// Returns by how many units a limit may be exceeded; 0 for a hard limit.
pub fn max_excess(limit: &LimitDefinition) -> u64 {
    match limit.enforcement {
        Enforcement::Hard => 0,
        Enforcement::Soft { .. } => {
            max_unreported_growth(limit).saturating_mul(u64::from(limit.fronts.saturating_sub(1)))
        }
    }
}

/// Returns by how many units one front's share may grow before the others have received its report.
fn max_unreported_growth(limit: &LimitDefinition) -> u64 {
    let Enforcement::Soft { over_milli } = limit.enforcement else { return 0 };
    let over =
        limit.units() / 1_000 * u64::from(over_milli) + limit.units() % 1_000 * u64::from(over_milli) / 1_000;
    over / u64::from(limit.fronts.saturating_sub(1)).max(1)
}

/// Returns how fast a front's soft share may grow.
pub fn soft_growth(limit: &LimitDefinition, parameters: &QuotaParameters, drift: DriftBound) -> SoftGrowth {
    let max_growth = max_unreported_growth(limit);
    let burst = (max_growth / 5).max(1).min(max_growth);
    // A front receives another's growth within twice the horizon, or one of the two stops growing.
    let window = drift.longer(Duration::from_millis(2 * u64::from(parameters.horizon_ms))).as_millis().max(1);
    let window_ms = u64::try_from(window).unwrap_or(u64::MAX);
    SoftGrowth { units_per_s: (max_growth - burst).saturating_mul(1_000) / window_ms, burst }
}

/// Returns the maximum number of events that a hard limit on a rate admits in a window.
pub fn max_admitted_in(limit: &LimitDefinition, drift: DriftBound, window: Duration) -> u64 {
    let filled = u128::from(limit.units()) * drift.longer(window).as_millis();
    let stored = u128::from(limit.units()) * u128::from(limit.burst_ms);
    let events = (filled + stored).div_ceil(1_000 * u128::from(MILLI));
    u64::try_from(events).unwrap_or(u64::MAX).saturating_add(u64::from(limit.fronts))
}

/// Returns the maximum use of a single front while all others have their minimum shares, thousandths of the limit.
pub fn max_single_front_milli(limit: &LimitDefinition) -> u64 {
    let reserved = limit.min_share.saturating_mul(limit.max_min_shares().saturating_sub(1));
    let available = limit.units().saturating_sub(reserved);
    let milli = u128::from(available) * 1_000 / u128::from(limit.units().max(1));
    u64::try_from(milli).unwrap_or(u64::MAX)
}

/// Returns the time after which a lowered limit applies to all new sessions, and after which unused lent units are back with their
/// customer.
pub fn enforcement_delay(parameters: &QuotaParameters, drift: DriftBound) -> Duration {
    drift.longer(Duration::from_millis(u64::from(parameters.ttl_ms)))
}

/// Describes the guarantees of a limit, one per line.
pub fn describe(limit: &LimitDefinition, parameters: &QuotaParameters, drift: DriftBound) -> Vec<String> {
    match limit.enforcement {
        Enforcement::Hard => describe_hard(limit, parameters, drift),
        Enforcement::Soft { .. } => vec![describe_soft(limit, parameters, drift)],
    }
}

fn describe_hard(limit: &LimitDefinition, parameters: &QuotaParameters, drift: DriftBound) -> Vec<String> {
    let delay_ms = enforcement_delay(parameters, drift).as_millis();
    let mut lines = vec![format!(
        "never exceeds {} {}; a lowered value is in force after {delay_ms} ms; a single front can use {:.3} of it",
        limit.limit,
        limit.resource,
        max_single_front_milli(limit) as f64 / 1_000.0
    )];
    if limit.resource.is_rate() {
        let per_second = max_admitted_in(limit, drift, Duration::from_secs(1));
        lines.push(format!("at most {per_second} in any second: the rate, its burst, and one per front"));
    } else {
        lines.push(format!(
            "the share of a lost front counts until media servers are surveyed, from {} s after the loss, or for {} s",
            u64::from(limit.settle_ms) / 1_000,
            limit.max_session_ms / 1_000
        ));
    }
    if !limit.weights.is_empty() {
        lines.push(format!("unused lent units are returned after {delay_ms} ms, used ones as sessions end"));
    }
    lines
}

fn describe_soft(limit: &LimitDefinition, parameters: &QuotaParameters, drift: DriftBound) -> String {
    let value =
        |units: u64| if limit.resource.is_rate() { units as f64 / MILLI as f64 } else { units as f64 };
    let growth = soft_growth(limit, parameters, drift);
    let full_after_s = match growth.units_per_s {
        0 => f64::INFINITY,
        units_per_s => limit.units() as f64 / units_per_s as f64,
    };
    format!(
        "exceeds {} {} by at most {}: {} fronts, each growing by {} per second and {} at once; a single front can use all of it after {full_after_s:.0} s",
        limit.limit,
        limit.resource,
        value(max_excess(limit)),
        limit.fronts,
        value(growth.units_per_s),
        value(growth.burst)
    )
}

/// Returns whether the excess that a soft limit allows lets each front's share grow by one. Always `true` for a hard limit.
pub fn soft_can_grow(limit: &LimitDefinition) -> bool {
    let one = if limit.resource == Resource::Kbits { 1 } else { limit.units() / limit.limit.max(1) };
    limit.is_hard() || max_unreported_growth(limit) >= 2 * one
}
