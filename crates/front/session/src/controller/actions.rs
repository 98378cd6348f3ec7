//! Running the policy: passing it events and carrying out its actions.

use beechloft::api::{Action, Rung, SessionId};

use super::{Exchange, SessionController};
use crate::io::{Answer, AttemptId, EndReason, Output};
use crate::session::{Playing, SessionState};

impl SessionController {
    /// Passes the queued events to the policy and carries out its actions, until no event is left.
    pub(super) fn run_policy(&mut self, out: &mut Vec<Output>) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            let recorded = self.exchanges.is_some().then(|| event.clone());
            self.policy.handle(self.now, event, &mut actions);
            if let (Some(exchanges), Some(recorded)) = (&mut self.exchanges, recorded) {
                exchanges.push(Exchange { at: self.now, event: recorded, actions: actions.clone() });
            }
            for action in actions.drain(..) {
                self.carry_out(action, out);
            }
        }
    }

    fn carry_out(&mut self, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::StartAttempt { session: id, server, deadline } => self.set_up(id, server, deadline, out),
            Action::SetRung { session: id, rung } => self.set_rung(id, rung, out),
            Action::Reject { session: id, retry_after } => {
                self.answer_pending(id, Answer::Rejected(retry_after), out)
            }
            Action::Fail(id) => self.answer_pending(id, Answer::Failed, out),
            Action::CancelAttempt { session, attempt: number } => {
                let id = AttemptId { session, number: number.0 };
                if self.sessions.get(&session).is_some_and(|session| session.is_in_flight(id)) {
                    out.push(Output::Cancel(id));
                }
            }
            Action::Migrate(id) => self.end_and_release(id, EndReason::Migrated, out),
            Action::HealthCheck(server) => out.push(Output::HealthCheck(server)),
            Action::Subscribe => out.push(Output::Subscribe),
            Action::SetTimer { delay, token } => {
                self.timers.insert((self.now + delay, token));
            }
            Action::Log(line) => out.push(Output::Log(line)),
        }
    }

    fn set_rung(&mut self, id: SessionId, rung: Rung, out: &mut Vec<Output>) {
        let Some(class) = self.sessions.get(&id).map(|session| session.class) else { return };
        let rate_kb = self.rate_kb(class, rung);
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.rung = rung;
        if let SessionState::Playing(Playing { server, layers: Some(layers), .. }) = &session.state {
            let (server, layers) = (*server, layers.to_string());
            out.push(Output::SetRung { server, session: id, layers, rung, rate_kb });
        }
    }

    fn answer_pending(&mut self, id: SessionId, answer: Answer, out: &mut Vec<Output>) {
        out.extend(self.take_pending_answer(id).map(|pending| pending.answer(answer)));
    }

    /// Starts the release attempts that are due.
    pub(super) fn start_releases(&mut self, out: &mut Vec<Output>) {
        let due = self.releases.take_due(self.now);
        if due.given_up > 0 {
            let count = due.given_up;
            out.push(Output::Log(format!(
                "{count} releases given up; the sessions are left to their media servers' own timeout"
            )));
        }
        for attempt in due.attempts {
            out.push(Output::Release { id: attempt.id, server: attempt.server, resource: attempt.resource });
        }
    }
}
