//! Parameters that all limits share.

use std::time::Duration;

use beechloft_leases::DriftBound;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::MAX_FRONTS;

/// Parameters that all limits share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QuotaParameters {
    /// Maximum number of fronts. For further ones no minimum share is reserved.
    pub fronts: u32,
    /// Time to live of a front's account, milliseconds.
    pub ttl_ms: u32,
    /// Maximum time from the admission of a set-up to its arrival at the media server, milliseconds.
    pub settle_ms: u32,
    /// Horizon of gossiped reports, milliseconds. A front counts as partitioned unless it has reports from a majority of the fronts
    /// that are no older than this.
    pub horizon_ms: u32,
}

impl Default for QuotaParameters {
    fn default() -> QuotaParameters {
        QuotaParameters { fronts: 8, ttl_ms: 2_000, settle_ms: 10_000, horizon_ms: 3_000 }
    }
}

/// Why parameters are invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum QuotaParametersError {
    /// The time to live is too short to renew an account in time.
    #[error(
        "{ttl_ms} ms leave {left_ms} ms after a drift of {ppm} ppm, and {MIN_USABLE_TTL_MS} ms are needed to renew it"
    )]
    TtlTooShort {
        /// The time to live, milliseconds.
        ttl_ms: u32,
        /// The time that remains after deduction of the drift, milliseconds.
        left_ms: u64,
        /// The drift bound, parts per million.
        ppm: u32,
    },
    /// The number of fronts is out of range.
    #[error("{0} fronts are out of range: 1 to {MAX_FRONTS}")]
    FrontsOutOfRange(u32),
}

/// Minimum part of a time to live that must remain after deduction of the drift, milliseconds.
const MIN_USABLE_TTL_MS: u64 = 450;

impl QuotaParameters {
    /// Checks that an account can be renewed in time and that the number of fronts is valid.
    ///
    /// # Errors
    /// Returns an error if the time to live is too short for the drift bound, or if the number of fronts is out of range.
    pub fn check(&self, drift: DriftBound) -> Result<(), QuotaParametersError> {
        let ttl = Duration::from_millis(u64::from(self.ttl_ms));
        let left_ms = u64::try_from(drift.shorter(ttl).as_millis()).unwrap_or(u64::MAX);
        if left_ms < MIN_USABLE_TTL_MS {
            return Err(QuotaParametersError::TtlTooShort {
                ttl_ms: self.ttl_ms,
                left_ms,
                ppm: drift.as_ppm(),
            });
        }
        if self.fronts == 0 || self.fronts > MAX_FRONTS {
            return Err(QuotaParametersError::FrontsOutOfRange(self.fronts));
        }
        Ok(())
    }
}
