//! Attempts: how many, until when, and inside which budget and seats.

use super::*;

const FIRST_SHARE: f64 = 0.45; // part of the time left to the aim for an attempt that another may follow
const LEAST_TRY: Micros = Micros(100_000); // with less time than this left to the aim, no further attempt
const WAY: Micros = Micros(50_000); // a set-up given up may still arrive so much later: a long turn

impl Policy {
    pub(super) fn send(&mut self, id: SessionId, server: ServerId, rung: Rung) {
        if self.sessions.get(&id).is_some_and(|s| !s.tried.is_empty()) {
            self.extra.note(self.now, self.set.budget_window());
        }
        let more = self.budget_left();
        let Some(s) = self.sessions.get_mut(&id) else { return };
        s.tried.push(server);
        let last = !more || s.tried.len() >= self.set.capabilities.max_attempts as usize;
        let left = s.aim - self.now;
        let wait = if last { left } else { Micros::from_secs(left.secs() * FIRST_SHARE) };
        let until = (self.now + wait).min(self.set.repeat_until(s) - WAY);
        (s.at, s.rung) = (Some(server), rung);
        s.ran.push((server, self.now));
        self.out.push(Action::SetRung { session: id, rung });
        self.out.push(Action::StartAttempt { session: id, server, deadline: until });
        if let Some(t) = self.servers.get_mut(&server) {
            t.out += 1;
            self.trials -= if t.strikes > 0 { self.trials.min(1.0) } else { 0.0 };
        }
        self.book(id, true);
    }

    /// Whether one more attempt is allowed by time, count, budget and the class's effect. A repeat has the
    /// time of one set-up and is given up before its class's window ends: one that waits for a connection
    /// until past the window would run as a second one, however early it was sent.
    pub(super) fn may_try(&self, s: &Session) -> bool {
        let safe = match self.set.class(s.req.class).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Deduplicated { .. } => self.now + LEAST_TRY + WAY < self.set.repeat_until(s),
            Idempotency::AtMostOnce => s.ran.is_empty(),
        };
        let further =
            s.aim - self.now > LEAST_TRY && s.tried.len() < self.set.capabilities.max_attempts as usize;
        if s.tried.is_empty() { self.now < s.aim } else { safe && further && self.budget_left() }
    }

    /// Whether one further attempt stays inside the budget.
    fn budget_left(&self) -> bool {
        let Some(b) = self.set.retry_budget else { return true };
        let taken = self.taken.inside(self.now, b.window) as f64;
        let extra = self.extra.within(self.now, b.window) as f64;
        extra + 1.0 <= b.min_retries + b.retry_ratio * taken
    }

    pub(super) fn seats_taken(&self, req: &Request) -> bool {
        self.set.class(req.class).max_sessions_per_title.is_some_and(|n| self.books.seats(req) >= n as usize)
    }
}
