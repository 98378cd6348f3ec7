//! Settings of gossip.

use std::time::Duration;

use thiserror::Error;

/// Minimum interval between rounds.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum fanout.
const MAX_FANOUT: usize = 8;
/// Number of rounds that a row takes to reach all fronts, in addition to one per doubling of their number.
const EXTRA_ROUNDS: u32 = 7;
/// Divisor of a drift in parts per million.
const PARTS_PER_MILLION: u32 = 1_000_000;

/// Intervals and limits of gossip.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Time between two rounds.
    pub round_interval: Duration,
    /// Number of peers with which an exchange is started in each round.
    pub fanout: usize,
    /// Maximum time between two versions of the own row. An unchanged row gets a new version too, so that its age stays small.
    pub refresh_interval: Duration,
    /// Age at which a row expires, because its front is considered gone.
    pub row_expiry: Duration,
    /// Maximum number of bytes sent per second. A packet that exceeds it is dropped, and its rows are requested again later.
    pub max_bytes_per_second: u32,
    /// Maximum difference of two clocks' rates, in parts per million.
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

/// Error of settings with which rows cannot be disseminated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The interval of rounds or the fanout is out of range.
    #[error("gossip needs a round of at least 10 ms and 1 to 8 peers per round")]
    Rounds,
    /// Rows could expire before their next version arrives.
    #[error("rows expire after {row_expiry:?}, less than the {min:?} that the size of the fleet requires")]
    RowExpiry {
        /// The configured expiry.
        row_expiry: Duration,
        /// The minimum expiry.
        min: Duration,
    },
}

impl Settings {
    /// Checks the settings for a fleet of `fronts` fronts.
    ///
    /// # Errors
    /// Returns an error if a setting is out of range or rows could expire before their next version arrives.
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

    /// Returns an upper bound of the age of a running front's row at any other front.
    ///
    /// The bound is `refresh + round x (log2(fronts) + 7)`, with the logarithm rounded up. It holds while at most a tenth of all
    /// packets is lost and none is delayed by more than half a round, with high probability: an older row is expected less than once
    /// in a million rows and rounds. It does not hold across a partition. `docs/outlier-detection.md` derives it.
    pub fn staleness(&self, fronts: usize) -> Duration {
        let doublings = fronts.max(2).next_power_of_two().trailing_zeros();
        self.refresh_interval + self.round_interval * (doublings + EXTRA_ROUNDS)
    }

    /// Returns an upper bound of the true duration of a span that was measured with a clock that may be slow.
    ///
    /// The bound is `measured / (1 - drift)`, rounded up.
    pub(crate) fn max_true_duration(&self, measured: Duration) -> Duration {
        let rate = u64::from(PARTS_PER_MILLION) - u64::from(self.max_drift_ppm.min(PARTS_PER_MILLION / 2));
        let nanos = (measured.as_nanos() * u128::from(PARTS_PER_MILLION)).div_ceil(u128::from(rate));
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }
}
