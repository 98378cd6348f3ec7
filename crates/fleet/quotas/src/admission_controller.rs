//! A front's machine behind a lock, and permits that give back what they took when they are dropped.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::admission::{Reservation, Stage, Subject};
use crate::front::Front;
use crate::message::Claim;
use crate::refusal::Refusal;

type Clock = dyn Fn() -> Duration + Send + Sync;

/// What admits at a front. Nothing here waits for the network: the lock is held for a look-up alone.
#[derive(Clone)]
pub struct AdmissionController {
    front: Arc<Mutex<Front>>,
    clock: Arc<Clock>,
}

impl AdmissionController {
    /// A gate; `clock` is the one that the front's machine goes by.
    pub fn new(front: Front, clock: impl Fn() -> Duration + Send + Sync + 'static) -> AdmissionController {
        AdmissionController { front: Arc::new(Mutex::new(front)), clock: Arc::new(clock) }
    }

    /// The machine, for whoever sends and hears for it.
    pub fn front(&self) -> MutexGuard<'_, Front> {
        self.front.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The time that it goes by.
    pub fn now(&self) -> Duration {
        (self.clock)()
    }

    /// Admits, or not: of several limits all or none.
    ///
    /// # Errors
    /// The first limit, by name, that has no room.
    pub fn admit(&self, subject: &Subject, stage: Stage) -> Result<Permit, Refusal> {
        let mut front = self.front();
        // After the lock was waited for: an account may have run out meanwhile.
        let now = self.now();
        let taken = front.take(now, subject, stage)?;
        drop(front);
        Ok(Permit { taken: Some(taken), gate: self.clone() })
    }
}

/// What a session or an attempt took of its limits. Dropped, it gives that back.
#[must_use]
pub struct Permit {
    taken: Option<Reservation>,
    gate: AdmissionController,
}

impl Permit {
    /// It is over.
    pub fn end(self) {}

    /// What it counts for, for the box that plays it: sessions and kbit/s of hard limits.
    pub fn claims(&self) -> Vec<(Claim, u64)> {
        self.taken.as_ref().map(|taken| self.gate.front().claims(taken)).unwrap_or_default()
    }

    /// Sessions that play on after this front has ended are not given back: boxes have them.
    pub fn leave(mut self) {
        self.taken = None;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(taken) = self.taken.take() {
            let now = self.gate.now();
            self.gate.front().release(now, taken);
        }
    }
}

impl std::fmt::Debug for Permit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Permit").field(&self.taken).finish()
    }
}
