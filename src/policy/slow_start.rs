//! Slow start: decides the rate of set-ups at servers that started lately, or may have.

use super::Policy;
use crate::state::{Server, whole_count};

const SAFETY: f64 = 0.75; // fraction used of what overloads a cold server: set-ups differ in work

impl Policy {
    /// How much of its capacity a server has for certain: less than 1 while it warms up.
    pub(super) fn warm_up_fraction(&self, server: &Server) -> f64 {
        let age = server.started_at.map(|at| self.now - at);
        self.settings.slow_start.capacity_fraction(age)
    }

    /// The rate of a server that started lately, or may have: this front's part of what all fronts may send
    /// within the rule's window if each does the same. Where a part is under one set-up, only some fronts
    /// send, chosen by the server's id and the front's slot. What this front's predecessor sent within the
    /// window before its own start is not known: for a window, nothing goes to a server known to have started
    /// earlier. It hurts where a whole service starts at once; servers that are only suspected get the part.
    pub(super) fn slow_start_allows(&self, server: &Server) -> bool {
        let rule = &self.settings.slow_start;
        let is_cold = self.warm_up_fraction(server) < 1.0;
        let is_suspect = server.may_have_restarted || self.now < server.suspect_until;
        if rule.overload_factor <= 0.0 || !(is_cold || is_suspect) {
            return true;
        }
        let started_before = is_cold && server.started_at.is_some_and(|at| at < self.started_at);
        if started_before && self.now < self.started_at + rule.overload_window {
            return false;
        }
        let windows = rule.overload_window.secs() / rule.warm_up.secs().max(1e-6);
        let streams = server.streams.capacity;
        let allowed = SAFETY * rule.overload_factor * rule.initial_fraction * streams * windows;
        let Some(slot) = self.slot else { return false };
        let part = whole_count(allowed / f64::from(slot.count));
        let turn = (u64::from(server.endpoint.server.0) + u64::from(slot.index)) % u64::from(slot.count);
        let allowed_here = if part == 0 && (turn as f64) < allowed.floor() { 1 } else { part };
        let recent = server.recent_attempts.count_within(self.now, rule.overload_window);
        recent + (server.attempts_in_flight as usize) < allowed_here
    }
}
