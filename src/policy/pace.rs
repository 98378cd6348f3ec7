//! The pace of set-ups at servers that started lately, or may have.

use super::*;

const COLD_SAFETY: f64 = 0.75; // part of the set-ups that would topple a cold server, for all fronts

impl Policy {
    /// How much of its capacity a server has for certain: less than 1 while it warms up.
    pub(super) fn warmth(&self, s: &Server) -> f64 {
        let c = &self.set.slow_start;
        let age = s.cold_since.map_or(c.warm_up, |t| self.now - t).min(c.warm_up);
        if age == c.warm_up {
            1.0
        } else {
            c.initial_fraction + (1.0 - c.initial_fraction) * age.secs() / c.warm_up.secs()
        }
    }

    /// The pace of a server that started lately, or may have: this front's part of what all fronts may send
    /// within the rule's span if each does the same. Where a part is under one set-up, only some fronts send,
    /// chosen by the server's id and the front's number. What this front's earlier self sent within the span
    /// before its own start is not known: for a span, nothing goes to a server known to have started earlier.
    /// It hurts where a whole service starts at once; servers that are only doubted get the part.
    pub(super) fn pace_allows(&self, s: &Server) -> bool {
        let c = &self.set.slow_start;
        if c.overload_factor <= 0.0 || (!s.witnessed && self.warmth(s) >= 1.0 && self.now >= s.doubt_until) {
            return true;
        }
        let earlier = self.warmth(s) < 1.0 && s.cold_since.is_some_and(|t| t < self.born);
        if earlier && self.now < self.born + c.overload_window {
            return false;
        }
        let spans = c.overload_window.secs() / c.warm_up.secs().max(1e-6);
        let all = COLD_SAFETY * c.overload_factor * c.initial_fraction * s.streams.size * spans;
        let Some((number, fronts)) = self.turn else { return false };
        let part = (all / f64::from(fronts)) as usize;
        let turn = (u64::from(s.entry.server.0) + u64::from(number)) % u64::from(fronts);
        let mine = if part == 0 && (turn as f64) < all.floor() { 1 } else { part };
        s.sent.within(self.now, c.overload_window) + (s.out as usize) < mine
    }

    /// A set-up is out no more. It arrived by now, but when is not known: it counts until a span from here.
    /// Guards against those that wait for a connection and arrive together with the next span's.
    pub(super) fn back(&mut self, id: ServerId) {
        if let Some(s) = self.servers.get_mut(&id) {
            s.out = s.out.saturating_sub(1);
            s.sent.note(self.now, self.set.slow_start.overload_window);
        }
    }
}
