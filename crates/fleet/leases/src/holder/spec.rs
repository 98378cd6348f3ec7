//! Specification of the lease that a holder acquires.

use std::time::Duration;

use thiserror::Error;

use crate::drift_bound::DriftBound;
use crate::message::Op;
use crate::name::Name;

/// Minimum time to live after deduction of the drift, in milliseconds. It leaves time for six transmissions of a renewal, each
/// of which is written to the disks of a majority, and for an election in between.
const MIN_USABLE_TTL_MS: u64 = 450;

/// Specification of the lease that a holder acquires.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseSpec {
    /// Name of the task.
    pub name: Name,
    /// Maximum number of concurrent holders.
    pub slots: u16,
    /// Time to live, in milliseconds.
    pub ttl_ms: u32,
}

/// Reason why a lease specification is not usable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LeaseSpecError {
    /// The time to live is too short for the lease to be kept renewed.
    #[error(
        "{ttl_ms} ms leave {usable_ms} ms after a drift of {drift_ppm} ppm, and {MIN_USABLE_TTL_MS} are needed to renew it"
    )]
    TtlTooShort {
        /// Time to live, in milliseconds.
        ttl_ms: u32,
        /// Time to live after deduction of the drift, in milliseconds.
        usable_ms: u64,
        /// Drift bound, in parts per million.
        drift_ppm: u32,
    },
}

impl LeaseSpec {
    /// Checks that the time to live leaves a holder enough time to renew the lease.
    ///
    /// # Errors
    /// Returns an error if the time to live is too short for the drift bound.
    pub fn check(&self, drift: DriftBound) -> Result<(), LeaseSpecError> {
        let ttl_ms = self.ttl_ms;
        let usable = drift.shorter(self.ttl());
        if usable >= Duration::from_millis(MIN_USABLE_TTL_MS) {
            return Ok(());
        }
        let usable_ms = u64::try_from(usable.as_millis()).unwrap_or(u64::MAX);
        Err(LeaseSpecError::TtlTooShort { ttl_ms, usable_ms, drift_ppm: drift.as_ppm() })
    }

    pub(super) fn ttl(&self) -> Duration {
        Duration::from_millis(u64::from(self.ttl_ms))
    }

    pub(super) fn acquire(&self, instance: Option<&Name>) -> Op {
        let LeaseSpec { name, slots, ttl_ms } = self.clone();
        match instance.cloned() {
            Some(instance) => Op::AcquireAs { name, slots, ttl_ms, instance },
            None => Op::Acquire { name, slots, ttl_ms },
        }
    }
}
