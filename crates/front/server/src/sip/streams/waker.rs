//! Wakes the thread out of its wait.

use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicBool, Ordering};

/// Wakes the thread out of its wait; woken once however many commands wait.
pub(super) struct Waker {
    pub(super) fd: OwnedFd,
    pub(super) pending: AtomicBool,
}

impl Waker {
    pub(super) fn wake(&self) {
        if !self.pending.swap(true, Ordering::SeqCst) {
            // Its counter can't overflow: it is read before it is pending again.
            let _ = rustix::io::write(&self.fd, &1u64.to_ne_bytes());
        }
    }

    pub(super) fn clear(&self) {
        let _ = rustix::io::read(&self.fd, &mut [0; 8]);
        // Commands sent from now on wake the thread again; those before are taken after this.
        self.pending.store(false, Ordering::SeqCst);
    }
}
