//! Bound on the difference between clock rates.

use std::time::Duration;

/// Bound `d`, in parts per million, such that each clock runs at a rate between `1 - d` and `1 + d` of true time.
///
/// This bound is the only assumption about clocks. If a clock violates it, two holders may be active at once, and only fencing
/// tokens protect the resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct DriftBound(u32);

const PARTS_PER_MILLION: u128 = 1_000_000;

/// Exclusive upper limit of a bound, parts per million.
const PPM_LIMIT: u32 = 100_000;

#[derive(Clone, Copy)]
enum Rounding {
    Down,
    Up,
}

impl DriftBound {
    /// Creates a bound of `ppm` parts per million. Returns `None` if the bound is 10% or more.
    pub fn ppm(ppm: u32) -> Option<DriftBound> {
        (ppm < PPM_LIMIT).then_some(DriftBound(ppm))
    }

    /// Returns the bound in parts per million.
    pub fn as_ppm(self) -> u32 {
        self.0
    }

    /// Returns a duration on a local clock that elapses no later than `span` of true time, at any rate within the bound.
    pub fn shorter(self, span: Duration) -> Duration {
        scale(span, PARTS_PER_MILLION - u128::from(self.0), Rounding::Down)
    }

    /// Returns a duration on a local clock that elapses no earlier than `span` of true time, at any rate within the bound.
    pub fn longer(self, span: Duration) -> Duration {
        scale(span, PARTS_PER_MILLION + u128::from(self.0), Rounding::Up)
    }
}

/// Multiplies `span` by `factor_ppm` parts per million.
fn scale(span: Duration, factor_ppm: u128, rounding: Rounding) -> Duration {
    let product = span.as_nanos() * factor_ppm;
    let nanos = match rounding {
        Rounding::Down => product / PARTS_PER_MILLION,
        Rounding::Up => product.div_ceil(PARTS_PER_MILLION),
    };
    Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
}
