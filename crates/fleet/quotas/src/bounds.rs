//! What limits promise, worked out from settings. `beechloft check` prints it.

use std::time::Duration;

use beechloft_leases::DriftBound;

use crate::definition::{Enforcement, LimitDefinition, MILLI, QuotaParameters, Resource};

/// How far a soft limit may be over, in units; nought for a hard one.
pub fn soft_bound(of: &LimitDefinition) -> u64 {
    match of.kind {
        Enforcement::Hard => 0,
        Enforcement::Soft { .. } => unseen(of).saturating_mul(u64::from(of.fronts.saturating_sub(1))),
    }
}

/// What one front may grow by while the others have not heard of it.
fn unseen(of: &LimitDefinition) -> u64 {
    let Enforcement::Soft { over_milli } = of.kind else { return 0 };
    let over =
        of.units() / 1_000 * u64::from(over_milli) + of.units() % 1_000 * u64::from(over_milli) / 1_000;
    over / u64::from(of.fronts.saturating_sub(1)).max(1)
}

/// How fast a soft part grows: units a second at most, and units at once.
pub fn soft_pace(of: &LimitDefinition, rules: &QuotaParameters, drift: DriftBound) -> (u64, u64) {
    let most = unseen(of);
    let cap = (most / 5).max(1).min(most);
    // A front hears of another's growth within twice the horizon, or one of the two stops to grow.
    let window = drift.longer(Duration::from_millis(2 * u64::from(rules.horizon_ms))).as_millis().max(1);
    let window_ms = u64::try_from(window).unwrap_or(u64::MAX);
    ((most - cap).saturating_mul(1_000) / window_ms, cap)
}

/// The most that a rate may admit in a window.
pub fn rate_bound(of: &LimitDefinition, drift: DriftBound, window: Duration) -> u64 {
    let minted = u128::from(of.units()) * drift.longer(window).as_millis();
    let stored = u128::from(of.units()) * u128::from(of.burst_milli);
    let whole = (minted + stored).div_ceil(1_000 * u128::from(MILLI));
    u64::try_from(whole).unwrap_or(u64::MAX).saturating_add(u64::from(of.fronts))
}

/// What one front can use at most while the others keep their least parts, in thousandths of the limit.
pub fn one_hot_milli(of: &LimitDefinition) -> u64 {
    let kept = of.least.saturating_mul(of.seats().saturating_sub(1));
    let rest = of.units().saturating_sub(kept);
    let milli = u128::from(rest) * 1_000 / u128::from(of.units().max(1));
    u64::try_from(milli).unwrap_or(u64::MAX)
}

/// After so long a lowered limit is in force for all that comes new, and a lender has back what stands unused.
pub fn in_force_after(rules: &QuotaParameters, drift: DriftBound) -> Duration {
    drift.longer(Duration::from_millis(u64::from(rules.ttl_ms)))
}

/// What is promised of a limit, for people.
pub fn lines(of: &LimitDefinition, rules: &QuotaParameters, drift: DriftBound) -> Vec<String> {
    let mut all = Vec::new();
    let whole = |units: u64| if of.counts.is_rate() { units as f64 / MILLI as f64 } else { units as f64 };
    match of.kind {
        Enforcement::Hard => {
            let force = in_force_after(rules, drift).as_millis();
            all.push(format!(
                "never over {} {}; lowered, it is in force after {force} ms; one front alone can use {:.3} of it",
                of.limit,
                of.counts,
                one_hot_milli(of) as f64 / 1_000.0
            ));
            if of.counts.is_rate() {
                let second = rate_bound(of, drift, Duration::from_secs(1));
                all.push(format!(
                    "in any second at most {second}: the rate, its burst, and one for each front"
                ));
            } else {
                let settle = u64::from(of.settle_ms) / 1_000;
                all.push(format!(
                    "what a lost front left counts until boxes were asked, from {settle} s after it was lost, or for {} s",
                    of.longest_ms / 1_000
                ));
            }
            if !of.weights.is_empty() {
                all.push(format!(
                    "lent parts are back after {force} ms as far as they stand unused, and as sessions end after that"
                ));
            }
        }
        Enforcement::Soft { .. } => {
            let (pace, cap) = soft_pace(of, rules, drift);
            let bound = soft_bound(of);
            let hot = if pace == 0 { f64::INFINITY } else { of.units() as f64 / pace as f64 };
            all.push(format!(
                "over {} {} by at most {}: {} fronts, each growing by {} a second and {} at once; one hot front has all of it after {hot:.0} s",
                of.limit, of.counts, whole(bound), of.fronts, whole(pace), whole(cap)
            ));
        }
    }
    all
}

/// Whether a soft limit's `over` is enough for its fronts: each must be able to grow by one.
pub fn soft_can_grow(of: &LimitDefinition) -> bool {
    let one = if of.counts == Resource::Kbits { 1 } else { of.units() / of.limit.max(1) };
    of.is_hard() || unseen(of) >= 2 * one
}
