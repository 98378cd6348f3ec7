//! Parameters of all limits.

use std::time::Duration;

use beechloft_leases::DriftBound;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::MAX_FRONTS;

/// Parameters of all limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QuotaParameters {
    /// Maximum number of fronts; further ones may find no minimum share.
    pub fronts: u32,
    /// Time to live of a front's account, milliseconds.
    pub ttl_ms: u32,
    /// Maximum time from the admission of a set-up to its arrival at the media server, milliseconds.
    pub settle_ms: u32,
    /// A front that has received rows from no more than half of the fronts within this time is partitioned, milliseconds.
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
    /// The time to live is too short.
    #[error(
        "{ttl_ms} ms leave {left_ms} ms after a drift of {ppm} ppm, and {MIN_USABLE_TTL_MS} are needed to renew it"
    )]
    TtlTooShort {
        /// The time to live.
        ttl_ms: u32,
        /// What remains after deduction of the drift.
        left_ms: u64,
        /// The drift bound.
        ppm: u32,
    },
    /// Too many fronts.
    #[error("{0} fronts are out of range: 1 to {MAX_FRONTS}")]
    Fronts(u32),
}

/// What must remain of a time to live after deduction of the drift, milliseconds.
const MIN_USABLE_TTL_MS: u64 = 450;

impl QuotaParameters {
    /// Checks that an account can be renewed in time.
    ///
    /// # Errors
    /// The time to live is too short for the drift bound, or the number of fronts is out of range.
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
            return Err(QuotaParametersError::Fronts(self.fronts));
        }
        Ok(())
    }
}
