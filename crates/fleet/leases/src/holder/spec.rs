//! What a holder acquires.

use std::time::Duration;

use thiserror::Error;

use crate::drift_bound::DriftBound;
use crate::message::Op;
use crate::name::Name;

/// What must remain of a time to live after deduction of the drift, milliseconds. It allows for half a dozen tries of a renewal,
/// each committed by a majority's disks, and for an election in between.
const MIN_USABLE_MS: u64 = 450;

/// The lease that a holder acquires.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseSpec {
    /// The task.
    pub name: Name,
    /// Maximum number of concurrent holders.
    pub slots: u16,
    /// Time to live, milliseconds.
    pub ttl_ms: u32,
}

/// A lease that could not be kept renewed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LeaseSpecError {
    /// The time to live is too short.
    #[error(
        "{ttl_ms} ms leave {left_ms} ms after a drift of {ppm} ppm, and {MIN_USABLE_MS} are needed to renew it"
    )]
    TtlTooShort {
        /// The time to live.
        ttl_ms: u32,
        /// What remains after deduction of the drift.
        left_ms: u64,
        /// The drift bound.
        ppm: u32,
    },
}

impl LeaseSpec {
    /// Checks that a holder has time to renew the lease.
    ///
    /// # Errors
    /// The time to live is too short for the drift bound.
    pub fn check(&self, drift: DriftBound) -> Result<(), LeaseSpecError> {
        let ttl_ms = self.ttl_ms;
        let usable = drift.shorter(self.ttl());
        if usable >= Duration::from_millis(MIN_USABLE_MS) {
            return Ok(());
        }
        let left_ms = u64::try_from(usable.as_millis()).unwrap_or(u64::MAX);
        Err(LeaseSpecError::TtlTooShort { ttl_ms, left_ms, ppm: drift.as_ppm() })
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
