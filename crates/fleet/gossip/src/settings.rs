//! How rows are spread.

use std::time::Duration;

use thiserror::Error;

/// How often, with how many, within which bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// From one round to the next.
    pub round: Duration,
    /// Others that are asked in a round.
    pub peers: usize,
    /// The own row has a new version at least this often, so that its age is known.
    pub refresh: Duration,
    /// A row older than this is dropped: its front is gone.
    pub forget: Duration,
    /// Bytes of packets a second at most; what is over is not sent and asked for again later.
    pub bytes: u32,
    /// How far clocks' rates may differ, parts of a million.
    pub drift_ppm: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            round: Duration::from_millis(250),
            peers: 2,
            refresh: Duration::from_secs(1),
            forget: Duration::from_secs(60),
            bytes: 128 << 10,
            drift_ppm: 10_000,
        }
    }
}

/// Settings that can't hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// Nothing would be sent.
    #[error("a round of at least 10 ms and 1 to 8 peers are needed")]
    Round,
    /// All rows would be dropped between two refreshes.
    #[error("rows are dropped after {forget:?}, which is under what they need to come around: {least:?}")]
    Forget {
        /// As asked for.
        forget: Duration,
        /// What is needed.
        least: Duration,
    },
}

impl Settings {
    /// Whether rows can come around in time among so many fronts.
    ///
    /// # Errors
    /// They can't.
    pub fn check(&self, fronts: usize) -> Result<(), SettingsError> {
        if self.round < Duration::from_millis(10) || !(1..=8).contains(&self.peers) {
            return Err(SettingsError::Round);
        }
        let least = self.staleness(fronts) * 2;
        if self.forget < least {
            return Err(SettingsError::Forget { forget: self.forget, least });
        }
        Ok(())
    }

    /// How old a row of a front that runs is at most, at any other, while each packet is lost with a chance of a tenth at most
    /// and none is late by more than half a round: `refresh + round x (log2(fronts) + 7)`, the logarithm rounded up.
    ///
    /// `docs/verdicts.md` argues it. It is a bound by chance: a row older than this is to be expected less than once in a million
    /// rows and rounds. It does not hold across a cut.
    pub fn staleness(&self, fronts: usize) -> Duration {
        let doublings = fronts.max(2).next_power_of_two().trailing_zeros();
        self.refresh + self.round * (doublings + 7)
    }

    /// A span counted by a clock that may run slow, as true time at most: span / (1 - d), rounded up.
    pub(crate) fn longer(&self, span: Duration) -> Duration {
        let rest = 1_000_000 - u64::from(self.drift_ppm.min(500_000));
        let nanos = (span.as_nanos() * 1_000_000).div_ceil(u128::from(rest));
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }
}
