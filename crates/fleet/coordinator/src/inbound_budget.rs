//! Memory for messages that are received and not handled yet, shared by all inbound connections.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Maximum total size of messages that are received and not handled yet, bytes.
const MAX_RESERVED_BYTES: usize = 16 << 20;

/// Bytes that inbound messages may use together, [`MAX_RESERVED_BYTES`] at first.
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

impl Default for InboundBudget {
    fn default() -> InboundBudget {
        InboundBudget { available_bytes: Mutex::new(MAX_RESERVED_BYTES), released: Condvar::new() }
    }
}

impl InboundBudget {
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
