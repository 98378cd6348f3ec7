//! A bound on how far the rates of clocks differ.

use std::time::Duration;

/// The bound: each clock runs at a rate between 1 - d and 1 + d of true time, with d in parts per million.
///
/// It is an assumption, and the only one about clocks. If a clock runs at another rate, two holders may be active at once, and
/// only fencing tokens protect the resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct DriftBound(u32);

const MILLION: u128 = 1_000_000;

#[derive(Clone, Copy)]
enum Rounding {
    Down,
    Up,
}

impl DriftBound {
    /// A bound in parts per million; `None` from a tenth on.
    pub fn ppm(ppm: u32) -> Option<DriftBound> {
        (ppm < 100_000).then_some(DriftBound(ppm))
    }

    /// The bound, in parts per million.
    pub fn as_ppm(self) -> u32 {
        self.0
    }

    /// A time by this clock that has passed before `span` of true time has, at any rate within the bound.
    pub fn shorter(self, span: Duration) -> Duration {
        scale(span, MILLION - u128::from(self.0), Rounding::Down)
    }

    /// A time by this clock that has not passed before `span` of true time has, at any rate within the bound.
    pub fn longer(self, span: Duration) -> Duration {
        scale(span, MILLION + u128::from(self.0), Rounding::Up)
    }
}

/// The span times so many millionths.
fn scale(span: Duration, millionths: u128, rounding: Rounding) -> Duration {
    let product = span.as_nanos() * millionths;
    let nanos = match rounding {
        Rounding::Down => product / MILLION,
        Rounding::Up => product.div_ceil(MILLION),
    };
    Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
}
