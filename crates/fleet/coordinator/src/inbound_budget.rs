//! Memory for messages that are received and not handled yet, shared by all inbound connections.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// A number of bytes that inbound messages may use together.
#[derive(Debug)]
pub(crate) struct InboundBudget {
    available_bytes: Mutex<usize>,
    released: Condvar,
}

/// Bytes of the budget that are in use until the reservation is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: Arc<InboundBudget>,
    bytes: usize,
}

impl InboundBudget {
    /// Creates a budget of `max_bytes`, none of which are in use.
    pub fn new(max_bytes: usize) -> InboundBudget {
        InboundBudget { available_bytes: Mutex::new(max_bytes), released: Condvar::new() }
    }

    fn available_bytes(&self) -> MutexGuard<'_, usize> {
        self.available_bytes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reserves bytes, and waits for them at most until the deadline. Returns `None` if they are not available by then.
    pub fn reserve(self: &Arc<Self>, bytes: usize, deadline: Instant) -> Option<Reservation> {
        let wait = deadline.saturating_duration_since(Instant::now());
        let waited =
            self.released.wait_timeout_while(self.available_bytes(), wait, |available| *available < bytes);
        let (mut available, _) = waited.unwrap_or_else(PoisonError::into_inner);
        *available = available.checked_sub(bytes)?;
        Some(Reservation { budget: Arc::clone(self), bytes })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        *self.budget.available_bytes() += self.bytes;
        self.budget.released.notify_all();
    }
}
