//! Outlier detection: decides when a server is ejected, for how long, and how it comes back.

use super::{EJECTION_TIME, MAX_EJECTION_LEVEL, Policy, SAMPLE_WINDOW};
use crate::api::{Action, Micros, Outcome, ServerId};
use crate::state::{Dispatch, Session};

const OVERLOADED_FOR: Micros = Micros(1_000_000); // feedback's period: then a better figure is there

impl Policy {
    /// A failure: the server is ejected, longer each time, and then takes one set-up at a time. Holds against
    /// silent, erring, dead and unreachable servers alike, whatever the list says; it hurts when a lossy
    /// network ejects a sound one. Set-ups sent before the last failure add none, nor a late answer of one
    /// that has answered others since: it is slow. One that rejects set-ups is full for a while.
    pub(super) fn record_failure(&mut self, id: ServerId, sent_at: Micros, outcome: Outcome) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        if outcome == Outcome::Overloaded {
            server.ejected_until = server.ejected_until.max(self.now + OVERLOADED_FOR);
            let limit = self.settings.admission_limit.unwrap_or(1.0);
            return server.link.record(self.now, SAMPLE_WINDOW, limit);
        }
        if outcome == Outcome::Timeout && server.responded_at > sent_at {
            return;
        }
        server.may_have_restarted |= outcome != Outcome::Error;
        if server.ejection_level > 0 && sent_at <= server.failed_at {
            return;
        }
        server.eject(self.now, EJECTION_TIME, MAX_EJECTION_LEVEL);
        if server.ejection_level == 1 {
            self.actions.push(Action::Log(format!("server {} distrusted: {outcome:?}", id.0)));
        }
    }

    pub(super) fn record_success(&mut self, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        self.probation_credit += if server.ejection_level > 0 { 1.0 } else { 0.0 };
        let (failed_at, rack, may_be_new) = (server.failed_at, server.rack, server.responded(self.now));
        if may_be_new && !self.sessions_survived(id, rack, failed_at) {
            self.servers.entry(id).and_modify(|s| s.started_at = Some(self.now));
        }
    }

    /// Whether own sessions that played on a server before its last failure still do: a start cuts them all.
    /// Guards against a lost answer or a broken connection that makes a sound server look cold; it hurts
    /// when a start is reported before the ends of the sessions that it cut.
    fn sessions_survived(&self, id: ServerId, rack: u32, failed_at: Micros) -> bool {
        let is_older = |s: &Session| s.may_have_run.last().is_none_or(|d| d.sent_at < failed_at);
        self.playing_at_rack(rack).any(|(server, session)| server == id && is_older(session))
    }

    /// A session is over that never played. An error that followed it from server to server is its own: a
    /// client's malformed offer must not eject sound servers. An error of one server alone counts against it.
    /// It hurts where all holders of a title err: none of them is ejected.
    pub(super) fn attribute_errors(&mut self, session: &Session) {
        if let [Dispatch { server, sent_at }] = session.errors[..] {
            self.record_failure(server, sent_at, Outcome::Error);
        }
    }
}
