//! Outlier detection: decides when a server is ejected, for how long, and how it comes back.

use super::{BASE_EJECTION_TIME, MAX_EJECTION_LEVEL, Policy, SAMPLE_WINDOW};
use crate::api::{Action, Micros, Outcome, ServerId};
use crate::state::{Dispatch, Session};

/// Duration for which a server that rejected a set-up gets no others: one feedback period, after which its
/// load is known better.
const OVERLOAD_EJECTION_TIME: Micros = Micros(1_000_000);

impl Policy {
    /// Records a failed attempt or health check, which ejects the server.
    ///
    /// Each further failure ejects for longer, and afterwards the server gets one set-up at a time. This
    /// covers servers that are silent, failing, dead or unreachable, whatever the endpoint list says.
    /// Limitation: on a lossy network a healthy server is ejected.
    ///
    /// Attempts that were sent before the last failure add no further failure. A timeout does not count if
    /// the server has answered other attempts since this one was sent, because it is only slow. A server that
    /// rejects set-ups is full, and gets no more of them for a fixed time.
    pub(super) fn record_failure(&mut self, id: ServerId, sent_at: Micros, outcome: Outcome) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        if outcome == Outcome::Overloaded {
            server.ejected_until = server.ejected_until.max(self.now + OVERLOAD_EJECTION_TIME);
            let admission_limit = self.settings.admission_limit.unwrap_or(1.0);
            server.link.record(self.now, SAMPLE_WINDOW, admission_limit);
            return;
        }
        let has_answered_since = server.responded_at > sent_at;
        if outcome == Outcome::Timeout && has_answered_since {
            return;
        }
        server.may_have_restarted |= outcome != Outcome::Error;
        let is_counted_already = server.ejection_level > 0 && sent_at <= server.failed_at;
        if is_counted_already {
            return;
        }
        server.eject(self.now, BASE_EJECTION_TIME, MAX_EJECTION_LEVEL);
        if server.ejection_level == 1 {
            self.actions.push(Action::Log(format!("server {} distrusted: {outcome:?}", id.0)));
        }
    }

    /// Records a successful response, which ends an ejection.
    ///
    /// A server that may have restarted unnoticed counts as started now, unless own sessions on it survived.
    pub(super) fn record_success(&mut self, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let was_on_probation = server.ejection_level > 0;
        self.probation_credit += if was_on_probation { 1.0 } else { 0.0 };
        let failed_at = server.failed_at;
        let rack = server.rack;
        let may_have_restarted = server.record_response(self.now);
        if may_have_restarted && !self.sessions_survived(id, rack, failed_at) {
            self.servers.entry(id).and_modify(|restarted| restarted.started_at = Some(self.now));
        }
    }

    /// Returns whether any own session that played on a server before its last failure still plays there.
    ///
    /// A restart ends all sessions, so that a surviving one proves that only an answer or a connection was
    /// lost. Without this check a healthy server would count as cold after each loss. Limitation: a restart
    /// can go unnoticed if it is reported before the ends of the sessions that it cut.
    fn sessions_survived(&self, id: ServerId, rack: u32, failed_at: Micros) -> bool {
        let is_older = |session: &Session| {
            let last_sent = session.may_have_run.last();
            last_sent.is_none_or(|sent| sent.sent_at < failed_at)
        };
        self.playing_at_rack(rack).any(|(server, session)| server == id && is_older(session))
    }

    /// Attributes the errors of a session that ended without ever playing.
    ///
    /// An error of exactly one server counts against that server. Errors of several servers are put down to
    /// the session itself, so that a client's malformed offer does not eject healthy servers. Limitation: if
    /// all servers that hold a title fail with errors, none of them is ejected.
    pub(super) fn attribute_errors(&mut self, session: &Session) {
        if let [Dispatch { server, sent_at }] = session.errors[..] {
            self.record_failure(server, sent_at, Outcome::Error);
        }
    }
}
