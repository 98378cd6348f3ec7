//! Admission control of a front: its state machine behind a lock, and permits that release their units when they are dropped.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::admission::{Reservation, Stage, Subject};
use crate::front::Front;
use crate::message::Claim;
use crate::refusal::Refusal;

type Clock = dyn Fn() -> Duration + Send + Sync;

/// The admission controller of a front. It never waits for the network: the lock is held for a look-up only.
#[derive(Clone)]
pub struct AdmissionController {
    front: Arc<Mutex<Front>>,
    clock: Arc<Clock>,
}

impl AdmissionController {
    /// A controller; `clock` is the one that the front's state machine uses.
    pub fn new(front: Front, clock: impl Fn() -> Duration + Send + Sync + 'static) -> AdmissionController {
        AdmissionController { front: Arc::new(Mutex::new(front)), clock: Arc::new(clock) }
    }

    /// The state machine, for the thread that exchanges its messages.
    pub fn front(&self) -> MutexGuard<'_, Front> {
        self.front.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The time of its clock.
    pub fn now(&self) -> Duration {
        (self.clock)()
    }

    /// Admits a session or an attempt, against all of its limits or none.
    ///
    /// # Errors
    /// The first limit, by name, that is reached.
    pub fn admit(&self, subject: &Subject, stage: Stage) -> Result<Permit, Refusal> {
        let mut front = self.front();
        // Read after the lock was acquired: the account may have expired while waiting for it.
        let now = self.now();
        let taken = front.take(now, subject, stage)?;
        drop(front);
        Ok(Permit { taken: Some(taken), controller: self.clone() })
    }
}

/// The units that a session or an attempt holds. They are released when it is dropped.
#[must_use]
pub struct Permit {
    taken: Option<Reservation>,
    controller: AdmissionController,
}

impl Permit {
    /// Releases the units.
    pub fn end(self) {}

    /// Its claims on hard limits of concurrent use, for the session's tag at the media server.
    pub fn claims(&self) -> Vec<(Claim, u64)> {
        self.taken.as_ref().map(|taken| self.controller.front().claims(taken)).unwrap_or_default()
    }

    /// Keeps the units: the session continues at its media server after this front has ended.
    pub fn leave(mut self) {
        self.taken = None;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(taken) = self.taken.take() {
            let now = self.controller.now();
            self.controller.front().release(now, taken);
        }
    }
}

impl std::fmt::Debug for Permit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Permit").field(&self.taken).finish()
    }
}
