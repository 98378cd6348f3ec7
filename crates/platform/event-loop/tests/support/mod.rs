//! Shared test support: settings, messages, and two harnesses around the event loop.
//!
//! [`manual`] runs single iterations of the loop, with a manual clock and sockets that the test controls. [`threaded`]
//! runs the loop in a thread, with fake peers on loopback.
#![allow(dead_code, unused_imports, reason = "each test binary uses a part of the support")]

pub mod configuration;
pub mod manual;
pub mod messages;
pub mod threaded;

use std::thread;
use std::time::{Duration, Instant};

/// Maximum time that a test waits for a condition.
pub const TIMEOUT: Duration = Duration::from_secs(15);

const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Waits until a condition holds.
///
/// # Panics
/// Panics if it does not hold within [`TIMEOUT`].
pub fn wait_until(description: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "timed out waiting for: {description}");
        thread::sleep(POLL_INTERVAL);
    }
}
