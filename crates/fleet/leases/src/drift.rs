//! How far two clocks' rates may differ.

use std::time::Duration;

/// The bound: each clock runs at a rate between 1 - d and 1 + d of true time, d in parts of a million. It is an assumption, and
/// the only one about clocks: with a clock that runs at another rate two holders may act at once, and tokens are what is left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Drift(u32);

const MILLION: u128 = 1_000_000;

impl Drift {
    /// A bound in parts of a million, under a tenth.
    pub fn ppm(ppm: u32) -> Option<Drift> {
        (ppm < 100_000).then_some(Drift(ppm))
    }

    /// The bound, in parts of a million.
    pub fn as_ppm(self) -> u32 {
        self.0
    }

    fn times(self, span: Duration, part: u128, up: bool) -> Duration {
        let nanos = span.as_nanos() * part;
        let whole = if up { nanos.div_ceil(MILLION) } else { nanos / MILLION };
        Duration::from_nanos(u64::try_from(whole).unwrap_or(u64::MAX))
    }

    /// So long by this clock is over by true time before the span is, at any rate within the bound.
    pub fn shorter(self, span: Duration) -> Duration {
        self.times(span, MILLION - u128::from(self.0), false)
    }

    /// So long by this clock is not over by true time before the span is.
    pub fn longer(self, span: Duration) -> Duration {
        self.times(span, MILLION + u128::from(self.0), true)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_holders_time_is_over_before_its_keepers_at_any_rates_within_the_bound() {
        for ppm in [0, 1, 200, 10_000, 99_999] {
            let drift = Drift::ppm(ppm).expect("within bounds");
            let d = f64::from(ppm) / 1e6;
            for ms in [1, 250, 3_000, 3_600_000] {
                let ttl = Duration::from_millis(ms);
                // The slowest holder's clock and the fastest keeper's.
                let held = drift.shorter(ttl).as_secs_f64() / (1.0 - d);
                let kept = drift.longer(ttl).as_secs_f64() / (1.0 + d);
                assert!(held <= kept + 1e-9, "{ppm} {ms}: {held} and {kept}");
            }
        }
        assert_eq!(Drift::ppm(100_000), None);
    }
}
