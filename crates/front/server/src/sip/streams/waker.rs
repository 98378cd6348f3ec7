//! Waking the thread of the streams while it waits for events.

use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicBool, Ordering};

/// Wakes the thread of the streams. Any number of commands before it wakes cause a single event.
pub(super) struct Waker {
    pub(super) fd: OwnedFd,
    pub(super) pending: AtomicBool,
}

impl Waker {
    pub(super) fn wake(&self) {
        if !self.pending.swap(true, Ordering::SeqCst) {
            // The counter can't overflow, as it is read before `pending` is cleared.
            let _ = rustix::io::write(&self.fd, &1u64.to_ne_bytes());
        }
    }

    pub(super) fn clear(&self) {
        let _ = rustix::io::read(&self.fd, &mut [0; 8]);
        // Commands sent from now on wake the thread again, and those sent before are received after this call.
        self.pending.store(false, Ordering::SeqCst);
    }
}
