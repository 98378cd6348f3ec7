//! Counts of events within a sliding window.

use std::collections::VecDeque;

use crate::api::Micros;

/// Times of recent events, in ascending order.
#[derive(Debug, Default)]
pub(crate) struct RecentEvents(VecDeque<Micros>);

impl RecentEvents {
    /// Records an event now and forgets the events that are older than the window.
    pub fn record(&mut self, now: Micros, window: Micros) {
        while self.0.front().is_some_and(|at| now - *at > window) {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// Returns the number of events that are no older than the window.
    pub fn count_within(&self, now: Micros, window: Micros) -> usize {
        self.0.iter().filter(|at| now - **at <= window).count()
    }

    /// Returns the number of events that are younger than the window.
    pub fn count_younger(&self, now: Micros, window: Micros) -> usize {
        self.0.iter().filter(|at| now - **at < window).count()
    }
}
