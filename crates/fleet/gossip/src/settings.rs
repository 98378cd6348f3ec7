//! Settings of the dissemination of rows.

use std::time::Duration;

use thiserror::Error;

/// The shortest interval of rounds.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(10);
/// The largest fanout.
const MAX_FANOUT: usize = 8;
/// Rounds that a row takes to reach all fronts, besides one per doubling of their number.
const EXTRA_ROUNDS: u32 = 7;
/// A million, of which drifts are parts.
const MILLION: u32 = 1_000_000;

/// How rows are disseminated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// From one round to the next.
    pub round_interval: Duration,
    /// Peers that are asked in a round.
    pub fanout: usize,
    /// The own row gets a new version at least this often, so that its age stays small.
    pub refresh_interval: Duration,
    /// Rows that are older than this are dropped: their fronts are gone.
    pub row_expiry: Duration,
    /// Maximum bytes of packets sent per second. A packet that exceeds it is not sent; its rows are requested again later.
    pub max_bytes_per_second: u32,
    /// Bound of the difference of two clocks' rates, in parts per million.
    pub max_drift_ppm: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            round_interval: Duration::from_millis(250),
            fanout: 2,
            refresh_interval: Duration::from_secs(1),
            row_expiry: Duration::from_secs(60),
            max_bytes_per_second: 128 << 10,
            max_drift_ppm: 10_000,
        }
    }
}

/// Settings under which rows can't be disseminated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// Nothing would be sent, or too much.
    #[error("a round of at least 10 ms and 1 to 8 peers are needed")]
    Rounds,
    /// Rows would be dropped before their next version arrives.
    #[error(
        "rows are dropped after {row_expiry:?}, which is less than the {min:?} that they need to reach all fronts"
    )]
    RowExpiry {
        /// As set.
        row_expiry: Duration,
        /// The minimum.
        min: Duration,
    },
}

impl Settings {
    /// Checks whether rows reach all of so many fronts in time.
    ///
    /// # Errors
    /// They don't.
    pub fn check(&self, fronts: usize) -> Result<(), SettingsError> {
        if self.round_interval < MIN_ROUND_INTERVAL || !(1..=MAX_FANOUT).contains(&self.fanout) {
            return Err(SettingsError::Rounds);
        }
        let min = self.staleness(fronts) * 2;
        if self.row_expiry < min {
            return Err(SettingsError::RowExpiry { row_expiry: self.row_expiry, min });
        }
        Ok(())
    }

    /// Bound of the age of a running front's row at any other front, while at most a tenth of all packets is lost and none is
    /// delayed by more than half a round: `refresh + round x (log2(fronts) + 7)`, the logarithm rounded up.
    ///
    /// `docs/outlier-detection.md` derives it. It holds with high probability: an older row is expected less than once in a million
    /// rows and rounds. It does not hold across a partition.
    pub fn staleness(&self, fronts: usize) -> Duration {
        let doublings = fronts.max(2).next_power_of_two().trailing_zeros();
        self.refresh_interval + self.round_interval * (doublings + EXTRA_ROUNDS)
    }

    /// A bound of the true duration of a span that was measured by a clock which may be slow: span / (1 - drift), rounded up.
    pub(crate) fn max_true_duration(&self, measured: Duration) -> Duration {
        let rate = u64::from(MILLION) - u64::from(self.max_drift_ppm.min(MILLION / 2));
        let nanos = (measured.as_nanos() * u128::from(MILLION)).div_ceil(u128::from(rate));
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }
}
