//! Hooks for tests: a time that they set, and callbacks between the phases of a turn.
//!
//! Nothing here runs in production. A test that takes turns by hand can so force the order of two events that meet.

use beechloft::api::Micros;

use super::EventLoop;
use crate::time_source::TimeSource;

/// The ends of a turn's phases, in their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TurnPhase {
    /// The poll has reported ready sockets and signals; no connection is read yet.
    SocketsPolled,
    /// Media servers and the event bus are read and handled; viewers' messages come next.
    ServersHandled,
    /// Viewers' messages are handled; timeouts come next.
    ViewersHandled,
    /// Timeouts are handled; the shutdown comes next.
    TimeoutsHandled,
}

/// What a test has hooked in.
#[derive(Default)]
pub(super) struct TestHooks {
    phase_callback: Option<Box<dyn FnMut(TurnPhase) + Send>>,
}

impl EventLoop {
    /// Replaces the clock by this time; it stands still until the next call.
    #[doc(hidden)]
    pub fn set_time(&mut self, now: Micros) {
        self.time = TimeSource::Manual(now);
    }

    /// Calls back at the end of each phase of a turn.
    #[doc(hidden)]
    pub fn on_phase_end(&mut self, callback: impl FnMut(TurnPhase) + Send + 'static) {
        self.test_hooks.phase_callback = Some(Box::new(callback));
    }

    pub(super) fn end_phase(&mut self, phase: TurnPhase) {
        if let Some(callback) = &mut self.test_hooks.phase_callback {
            callback(phase);
        }
    }
}
