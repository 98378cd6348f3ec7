//! Slow start: decides the rate of set-ups at servers that started recently, or may have.

use super::Policy;
use crate::state::{Server, truncated_count};

/// Fraction of the overload rate of a cold server that is used, because set-ups differ in the work that they
/// cause.
const OVERLOAD_RATE_FRACTION: f64 = 0.75;

/// Shortest warm-up that is divided by, in seconds.
const MIN_WARM_UP_SECS: f64 = 1e-6;

impl Policy {
    /// Returns the fraction of its capacity that a server is certain to have, which is below 1 while it warms
    /// up.
    pub(super) fn warm_up_fraction(&self, server: &Server) -> f64 {
        let age = server.started_at.map(|at| self.now - at);
        self.settings.slow_start.capacity_fraction(age)
    }

    /// Returns whether slow start allows one more set-up at a server now.
    ///
    /// A server that started recently, or may have, gets this front's part of the set-ups that all fronts
    /// together may send within the overload window. Where that part is less than one set-up, only some
    /// fronts send. The server's id and the front's slot choose them.
    ///
    /// A front does not know what its predecessor sent within the window before its own start. Therefore it
    /// sends nothing for one window to a server that is known to have started earlier than the front.
    /// Limitation: this delays the first set-ups where a whole service starts at once. A server that is only
    /// suspected to be cold gets its part without this delay.
    pub(super) fn slow_start_allows(&self, server: &Server) -> bool {
        let rule = &self.settings.slow_start;
        let is_cold = self.warm_up_fraction(server) < 1.0;
        let is_suspect = server.may_have_restarted || self.now < server.suspect_until;
        if rule.overload_factor <= 0.0 || !(is_cold || is_suspect) {
            return true;
        }
        let started_before_front = is_cold && server.started_at.is_some_and(|at| at < self.started_at);
        if started_before_front && self.now < self.started_at + rule.overload_window {
            return false;
        }
        let windows_per_warm_up = rule.overload_window.secs() / rule.warm_up.secs().max(MIN_WARM_UP_SECS);
        let streams = server.streams.capacity;
        let allowed_by_all = OVERLOAD_RATE_FRACTION
            * rule.overload_factor
            * rule.initial_fraction
            * streams
            * windows_per_warm_up;
        let Some(slot) = self.slot else { return false };
        let allowed_by_front = truncated_count(allowed_by_all / f64::from(slot.count));
        let server_number = u64::from(server.endpoint.server.0);
        let rank = (server_number + u64::from(slot.index)) % u64::from(slot.count);
        let is_chosen = (rank as f64) < allowed_by_all.floor();
        let allowed = if allowed_by_front == 0 && is_chosen { 1 } else { allowed_by_front };
        let recent = server.recent_attempts.count_within(self.now, rule.overload_window);
        let in_flight = server.attempts_in_flight as usize;
        recent + in_flight < allowed
    }
}
