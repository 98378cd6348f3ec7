//! Wakes the thread out of its wait.

use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicBool, Ordering};

/// Wakes the thread out of its wait; rung once however many commands wait.
pub(super) struct Bell {
    pub(super) fd: OwnedFd,
    pub(super) rung: AtomicBool,
}

impl Bell {
    pub(super) fn ring(&self) {
        if !self.rung.swap(true, Ordering::SeqCst) {
            // Its counter can't overflow: it is read before it is rung again.
            let _ = rustix::io::write(&self.fd, &1u64.to_ne_bytes());
        }
    }

    pub(super) fn hear(&self) {
        let _ = rustix::io::read(&self.fd, &mut [0; 8]);
        // Commands sent from now on ring again; those before are taken after this.
        self.rung.store(false, Ordering::SeqCst);
    }
}
