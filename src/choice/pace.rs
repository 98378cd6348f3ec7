//! The pace of set-ups at servers that started lately, or may have.

use super::*;

const COLD_SAFETY: f64 = 0.75; // part of the set-ups that would topple a cold server, for all fronts

impl Choice {
    /// How much of its capacity a server has for certain: less than 1 while it warms up.
    pub(super) fn warmth(&self, s: &Server) -> f64 {
        let c = &self.set.cold;
        let age = s.cold_since.map_or(c.warm_after, |t| self.now - t).min(c.warm_after);
        if age == c.warm_after { 1.0 } else { c.from + (1.0 - c.from) * age.secs() / c.warm_after.secs() }
    }

    /// The pace of a server that started lately, or may have: this front's part of what all fronts may send
    /// within the rule's span if each does the same. Where a part is under one set-up, only some fronts send,
    /// chosen by the server's id and the front's number.
    pub(super) fn pace_allows(&self, s: &Server) -> bool {
        let c = &self.set.cold;
        if c.multiple <= 0.0 || (!s.witnessed && self.warmth(s) >= 1.0 && self.now >= s.doubt_until) {
            return true;
        }
        let spans = c.span.secs() / c.warm_after.secs().max(1e-6);
        let all = COLD_SAFETY * c.multiple * c.from * s.streams.size * spans;
        let Some((number, fronts)) = self.turn else { return false };
        let part = (all / f64::from(fronts)) as usize;
        let turn = (u64::from(s.entry.server.0) + u64::from(number)) % u64::from(fronts);
        let mine = if part == 0 && (turn as f64) < all.floor() { 1 } else { part };
        s.sent.within(self.now, c.span) < mine
    }
}
