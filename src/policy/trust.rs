//! Trust in servers: strikes, rests, and the way back.

use super::*;

const FULL_FOR: Micros = Micros(1_000_000); // a server that turned a set-up away counts as full so long

impl Policy {
    /// A failure: the server rests, longer each time, and then takes one set-up at a time. Holds against
    /// silent, erring, dead and unreachable servers alike, whatever the list says; it hurts when a lossy
    /// network shuts out a sound one. Set-ups sent before the last strike add none, nor a late answer of one
    /// that has answered others since: it is slow. One that turns set-ups away is full for a while.
    pub(super) fn strike(&mut self, id: ServerId, sent: Micros, outcome: Outcome) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        if outcome == Outcome::Overloaded {
            s.shut_until = s.shut_until.max(self.now + FULL_FOR);
            return s.link.hear(self.now, REPORT_WINDOW, self.set.admission_limit.unwrap_or(1.0));
        }
        if outcome == Outcome::Timeout && s.alive_at > sent {
            return;
        }
        s.witnessed |= outcome != Outcome::Error;
        if s.strikes > 0 && sent <= s.struck_at {
            return;
        }
        s.strikes = (s.strikes + 1).min(MAX_STRIKES);
        s.struck_at = self.now;
        s.shut_until = self.now + Micros(SHUT.0 << (s.strikes - 1));
        if s.strikes == 1 {
            self.out.push(Action::Log(format!("server {} distrusted: {outcome:?}", id.0)));
        }
    }

    pub(super) fn alive(&mut self, id: ServerId) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        self.trials += if s.strikes > 0 { 1.0 } else { 0.0 };
        s.strikes = s.strikes.saturating_sub(1);
        (s.shut_until, s.alive_at) = (Micros(0), self.now);
        let (seen, struck_at, rack) = (std::mem::take(&mut s.witnessed), s.struck_at, s.rack);
        if seen && !self.survived(id, rack, struck_at) {
            self.servers.entry(id).and_modify(|s| s.cold_since = Some(self.now));
        }
    }

    /// Whether own sessions that played on a server before its last strike still do: a start cuts them all.
    /// Guards against a lost answer or a broken connection that makes a sound server look cold; it hurts
    /// when a start is told before the ends of the sessions that it cut.
    fn survived(&self, id: ServerId, rack: u32, struck_at: Micros) -> bool {
        let there = self.books.at_rack.get(&rack).into_iter().flatten().filter_map(|s| self.sessions.get(s));
        let before = |s: &Session| s.ran.last().is_none_or(|r| r.1 < struck_at);
        there.into_iter().any(|s| s.at == Some(id) && s.phase == Phase::Playing && before(s))
    }

    /// A session is over that never played. An error that followed it from server to server is its own: a
    /// client's rubbish that reads well must not cost sound servers their trust. An error of one server alone
    /// counts against it. It hurts where all holders of a title err: none of them rests.
    pub(super) fn blame(&mut self, s: &Session) {
        if let [(server, sent)] = s.erred[..] {
            self.strike(server, sent, Outcome::Error);
        }
    }
}
