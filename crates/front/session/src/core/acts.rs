//! The module's turn: events in, actions carried out.

use beechloft::api::*;

use super::Core;
use crate::io::*;
use crate::session::{Playing, Stage, attempt_id};

impl Core {
    /// Hands the queued events to the module and carries out what it answers, until both are empty.
    pub(super) fn run(&mut self, out: &mut Vec<Output>) {
        let mut actions = Vec::new();
        while let Some(event) = self.queue.pop_front() {
            let noted = self.heard.is_some().then(|| event.clone());
            self.choice.handle(self.now, event, &mut actions);
            if let (Some(heard), Some(event)) = (&mut self.heard, noted) {
                heard.push((self.now, event, actions.clone()));
            }
            for action in actions.drain(..) {
                self.act(action, out);
            }
        }
    }

    fn act(&mut self, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::StartAttempt { session: id, server, deadline: until } => {
                self.set_up(id, server, until, out)
            }
            Action::SetRung { session: id, rung } => {
                let Some(class) = self.sessions.get(&id).map(|s| s.class) else { return };
                let rate_kb = self.rate_kb(class, rung);
                let Some(session) = self.sessions.get_mut(&id) else { return };
                session.rung = rung;
                if let Stage::Playing(Playing { server, layers: Some(layers), .. }) = &session.stage {
                    let (server, layers) = (*server, layers.to_string());
                    out.push(Output::SetRung { server, session: id, layers, rung, rate_kb });
                }
            }
            Action::Reject { session: id, retry_after: advice } => {
                out.extend(self.close(id).map(|owed| owed.settle(Answer::Refused(advice))));
            }
            Action::Fail(id) => out.extend(self.close(id).map(|owed| owed.settle(Answer::Failed))),
            Action::CancelAttempt { session: id, attempt: number } => {
                let id = attempt_id(id, number.0);
                if self.sessions.get(&id.session).is_some_and(|s| s.is_out(id)) {
                    out.push(Output::Cancel(id));
                }
            }
            Action::Migrate(id) => self.take_back(id, Why::Moved, out),
            Action::HealthCheck(server) => out.push(Output::Probe(server)),
            Action::Subscribe => out.push(Output::Subscribe),
            Action::SetTimer { delay, token } => {
                self.timers.insert((self.now + delay, token));
            }
            Action::Log(line) => out.push(Output::Log(line)),
        }
    }

    /// Makes the tries of releases that are due.
    pub(super) fn release(&mut self, out: &mut Vec<Output>) {
        let (tries, given_up) = self.releases.take_due(self.now);
        if given_up > 0 {
            out.push(Output::Log(format!("{given_up} sessions left to their boxes' own time-out")));
        }
        for t in tries {
            out.push(Output::Release { ticket: t.ticket, server: t.server, resource: t.resource });
        }
    }
}
