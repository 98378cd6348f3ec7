//! Sliding-window counts of events.

use std::collections::VecDeque;

use crate::api::Micros;

/// Times of events that happened lately.
#[derive(Debug, Default)]
pub(crate) struct RecentEvents(VecDeque<Micros>);

impl RecentEvents {
    /// Records an event and forgets those older than the window.
    pub fn record(&mut self, now: Micros, window: Micros) {
        while self.0.front().is_some_and(|at| now - *at > window) {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// Number of events that are no older than the window.
    pub fn count_within(&self, now: Micros, window: Micros) -> usize {
        self.0.iter().filter(|at| now - **at <= window).count()
    }

    /// Number of events that are younger than the window.
    pub fn count_younger(&self, now: Micros, window: Micros) -> usize {
        self.0.iter().filter(|at| now - **at < window).count()
    }
}
