//! A front's process in the simulation.

use std::time::Duration;

use beechloft_quotas::{Front, FrontId, Key, Reservation};

pub struct FrontNode {
    pub front: Front,
    pub id: FrontId,
    /// The rate of the front's clock relative to true time.
    pub(super) clock_rate: f64,
    pub(super) paused_until: Duration,
    /// A front that is not running handles no inputs and requests no sessions.
    pub running: bool,
    pub arrivals_per_s: f64,
    /// Arrivals that are due, including a fraction of the next one.
    pub(super) due_arrivals: f64,
    pub(super) sessions: Vec<(u64, Reservation)>,
    /// Messages from and to the front are lost.
    pub partitioned: bool,
    pub admitted: u64,
    pub requests_sent: u64,
    pub customer: Key,
    /// When the front needs a tick, by its own clock.
    pub(super) next_tick: Duration,
}

impl FrontNode {
    pub(super) fn new(front: Front, clock_rate: f64) -> FrontNode {
        FrontNode {
            id: front.id(),
            front,
            clock_rate,
            paused_until: Duration::ZERO,
            running: true,
            arrivals_per_s: 0.0,
            due_arrivals: 0.0,
            sessions: Vec::new(),
            partitioned: false,
            admitted: 0,
            requests_sent: 0,
            customer: Key::of("market"),
            next_tick: Duration::ZERO,
        }
    }

    /// Returns the time of the front's clock at a true time.
    pub(super) fn local_time(&self, now: Duration) -> Duration {
        now.mul_f64(self.clock_rate)
    }

    /// Returns whether the process runs and is not paused.
    pub(super) fn is_active(&self, now: Duration) -> bool {
        self.running && self.paused_until <= now
    }

    /// Schedules the next tick after an input.
    pub(super) fn update_next_tick(&mut self) {
        self.next_tick = self.front.next_due().unwrap_or(Duration::MAX);
    }
}
