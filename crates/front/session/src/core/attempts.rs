//! Attempts at boxes, from set-up to verdict.

use beechloft::api::{self as api, *};

use super::Core;
use crate::io::*;
use crate::session::{Attempt, GRACE, OVERDUE, Playing, REPLAY_FOR, Stage, attempt_id};

impl Core {
    pub(super) fn verdict(
        &mut self,
        id: AttemptId,
        server: ServerId,
        verdict: Verdict,
        took: Micros,
        load: LoadReport,
        out: &mut Vec<Output>,
    ) {
        let Some(session) = self.sessions.get_mut(&id.session).filter(|s| s.is_out(id)) else {
            return self.stray(id, server, verdict);
        };
        let (resource, reply) = match verdict {
            Verdict::Accepted { resource, reply } => (resource, reply),
            Verdict::Undone { resource, outcome } => {
                self.releases.add(self.now, server, resource);
                return self.attempt_over(id, server, outcome, took, load);
            }
            Verdict::Declined(status) => {
                if let Some(owed) = self.close(id.session) {
                    out.push(owed.settle(Answer::Declined(status)));
                    self.queue.push_back(Event::Withdrawn(id.session));
                }
                return self.attempt_over(id, server, Outcome::Cancelled, took, load);
            }
            Verdict::Ended(outcome) => return self.attempt_over(id, server, outcome, took, load),
        };
        if !matches!(session.stage, Stage::Owed(..)) {
            // Its client has left or has another answer: what was set up is undone.
            self.releases.add(self.now, server, resource);
            return self.attempt_over(id, server, Outcome::Cancelled, took, load);
        }
        let playing = Playing {
            server,
            resource: resource.clone(),
            layers: reply.layers.as_deref().map(Into::into),
            number: id.number,
            since: self.now,
            reply: session.repeat.is_some().then(|| reply.clone()),
        };
        let secret = session.secret;
        session.title = None;
        let before = std::mem::replace(&mut session.stage, Stage::Playing(playing));
        self.forget_overdue(id.session, &before);
        if let Stage::Owed(owed, _) = before {
            let session = id.session;
            out.push(owed.settle(Answer::Playing { session, secret, server, reply }));
        }
        self.replays.push_back((self.now + REPLAY_FOR, id.session));
        self.playing.entry(server).or_default().insert(resource, id.session);
        let (session, attempt) = (id.session, api::Attempt(id.number));
        self.queue.push_back(Event::Started { session, attempt, server, elapsed: took });
        self.queue.push_back(Event::HealthChecked { server, outcome: Outcome::Ok, report: load });
    }

    /// Told twice, or of a session long forgotten. What was set up and is nobody's must not stay at the box.
    fn stray(&mut self, id: AttemptId, server: ServerId, verdict: Verdict) {
        let (Verdict::Accepted { resource, .. } | Verdict::Undone { resource, .. }) = verdict else { return };
        let ours = self.playing.get(&server).and_then(|p| p.get(&resource));
        if ours != Some(&id.session) {
            self.releases.add(self.now, server, resource);
        }
    }

    /// An attempt ended without a session.
    fn attempt_over(
        &mut self,
        id: AttemptId,
        server: ServerId,
        outcome: Outcome,
        took: Micros,
        report: LoadReport,
    ) {
        let Some(session) = self.sessions.get_mut(&id.session) else { return };
        let closed = if let Stage::Owed(_, attempt) = &mut session.stage {
            if let Some(attempt) = attempt.take() {
                self.overdue.remove(&(overdue(attempt.until), id.session));
            }
            false
        } else {
            self.forget(id.session);
            true
        };
        let (session, attempt) = (id.session, api::Attempt(id.number));
        self.queue.push_back(Event::AttemptEnded {
            session,
            attempt,
            server,
            outcome,
            is_final: closed,
            elapsed: took,
            report,
        });
    }

    /// The rate of a rung of a class, kB a second.
    pub(super) fn rate_kb(&self, class: ClassId, rung: Rung) -> f64 {
        let scale = self.set.classes.get(usize::from(class.0)).map_or(1.0, |c| c.rate_scale);
        scale * self.set.ladder.rates_kb.get(usize::from(rung.0)).copied().unwrap_or(0.0)
    }

    pub(super) fn set_up(&mut self, id: SessionId, server: ServerId, until: Micros, out: &mut Vec<Output>) {
        let line = self.catalog.server(server);
        let Some((class, rung)) = self.sessions.get(&id).map(|s| (s.class, s.rung)) else { return };
        let rate_kb = self.rate_kb(class, rung);
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let number = session.made;
        session.made += 1;
        let attempt = attempt_id(id, number);
        let address = line.and_then(|l| l.address(session.protocol)).cloned();
        // Guards against an attempt that was chosen before the title was narrowed.
        let allowed = session.title.as_ref().is_none_or(|t| self.narrowing.allows(t, server));
        let address = address.filter(|_| allowed);
        match (&mut session.stage, address) {
            (Stage::Owed(owed, out_now @ None), Some(url)) => {
                *out_now = Some(Attempt { id: attempt, server, until });
                let request = owed.request();
                self.overdue.insert((overdue(until), id));
                out.push(Output::SetUp { attempt, request, server, url, rung, rate_kb, until });
            }
            // The box's address is not known, or the title may not be played there any more: the attempt never ran.
            (stage, _) => {
                let closed = !matches!(stage, Stage::Owed(..));
                self.queue.push_back(Event::AttemptEnded {
                    session: id,
                    attempt: api::Attempt(number),
                    server,
                    outcome: Outcome::NotSent,
                    is_final: closed,
                    elapsed: Micros(0),
                    report: LoadReport::default(),
                });
            }
        }
    }
}

/// When a client is answered whatever its attempt does.
pub(super) fn overdue(until: Micros) -> Micros {
    until + GRACE + OVERDUE
}
