//! Shared test support: settings, messages, and two harnesses around the event loop.
//!
//! [`manual`] runs the loop's turns by hand, with a manual time and sockets that the test holds itself. [`threaded`] runs the
//! loop in a thread, between fakes on loopback.
#![allow(dead_code, unused_imports, reason = "each test binary uses a part of the support")]

pub mod configuration;
pub mod manual;
pub mod messages;
pub mod threaded;

use std::thread;
use std::time::{Duration, Instant};

/// Long enough for anything that is to happen.
pub const TIMEOUT: Duration = Duration::from_secs(15);

const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Waits until something holds.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}
