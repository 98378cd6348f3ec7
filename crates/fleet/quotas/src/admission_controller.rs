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
    /// Creates a controller. `clock` must be the clock of the front's state machine.
    pub fn new(front: Front, clock: impl Fn() -> Duration + Send + Sync + 'static) -> AdmissionController {
        AdmissionController { front: Arc::new(Mutex::new(front)), clock: Arc::new(clock) }
    }

    /// Locks the state machine, for the thread that exchanges its messages.
    pub fn front(&self) -> MutexGuard<'_, Front> {
        self.front.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time of the front's clock.
    pub fn now(&self) -> Duration {
        (self.clock)()
    }

    /// Admits a session or an attempt under all limits that apply to it, or charges none of them.
    ///
    /// # Errors
    /// Returns a refusal by the first limit, in the order of names, that is reached.
    pub fn admit(&self, subject: &Subject, stage: Stage) -> Result<Permit, Refusal> {
        let mut front = self.front();
        // Read after the lock was acquired: the account may have expired while waiting for it.
        let now = self.now();
        let reservation = front.admit(now, subject, stage)?;
        drop(front);
        Ok(Permit { reservation: Some(reservation), controller: self.clone() })
    }
}

/// The units that a session or an attempt uses. They are released when the permit is dropped.
#[must_use]
pub struct Permit {
    reservation: Option<Reservation>,
    controller: AdmissionController,
}

impl Permit {
    /// Releases the units.
    pub fn release(self) {}

    /// Returns the claims on hard limits of concurrent use, for the session's tag at the media server.
    pub fn claims(&self) -> Vec<(Claim, u64)> {
        let reservation = self.reservation.as_ref();
        reservation.map(|reservation| self.controller.front().claims(reservation)).unwrap_or_default()
    }

    /// Keeps the units in use, because the session continues at its media server after this front has ended.
    pub fn detach(mut self) {
        self.reservation = None;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            let now = self.controller.now();
            self.controller.front().release(now, reservation);
        }
    }
}

impl std::fmt::Debug for Permit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Permit").field(&self.reservation).finish()
    }
}
