//! Hooks for tests: a manual clock, and a callback between the phases of an iteration.
//!
//! Production code does not use this module. A test that runs iterations by itself can force the order of two concurrent
//! events with it.

use beechloft::api::Micros;

use super::EventLoop;
use crate::time_source::TimeSource;

/// Phase of an iteration that has just ended, in the order of execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IterationPhase {
    /// The poll has reported ready sockets and signals. No connection is read yet.
    SocketsPolled,
    /// Messages of media servers and the event bus are handled. Viewers' messages are next.
    ServersHandled,
    /// Viewers' messages are handled. Timeouts are next.
    ViewersHandled,
    /// Timeouts are handled. The shutdown is next.
    TimeoutsHandled,
}

/// Callbacks that a test has installed.
#[derive(Default)]
pub(super) struct TestHooks {
    phase_callback: Option<Box<dyn FnMut(IterationPhase) + Send>>,
}

impl EventLoop {
    /// Replaces the clock by a fixed time, which is valid until the next call.
    #[doc(hidden)]
    pub fn set_time(&mut self, now: Micros) {
        self.time = TimeSource::Manual(now);
    }

    /// Calls `callback` at the end of each phase of an iteration.
    #[doc(hidden)]
    pub fn on_phase_end(&mut self, callback: impl FnMut(IterationPhase) + Send + 'static) {
        self.test_hooks.phase_callback = Some(Box::new(callback));
    }

    pub(super) fn end_phase(&mut self, phase: IterationPhase) {
        if let Some(callback) = &mut self.test_hooks.phase_callback {
            callback(phase);
        }
    }
}
