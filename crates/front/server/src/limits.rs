//! Limits of the whole fleet, looked at before the core is asked and before an attempt goes to a box. The core and the module know
//! nothing of them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;

use beechloft_config::Service;
use beechloft_http::client::CallError;
use beechloft_quotas::{FrontId, Gate, Key, No, Permit, Stage, Subject, tag};
use beechloft_session::SessionController;
use beechloft_session::api::{Micros, Outcome, ServerId, SessionId};
use beechloft_session::io::{Answer, AttemptId, AttemptResult, Input, Output, SessionRequest};
use beechloft_whep::boxes;
use tracing::{debug, info};

use crate::Shared;

/// What a session holds.
struct Held {
    subject: Subject,
    session: Permit,
    /// Of attempts, by their number; the one that plays, and those that may have left something at a box.
    attempts: BTreeMap<u16, Permit>,
    /// Where it was set up: it is over once nothing is to be ended there any more.
    at: Vec<(ServerId, String)>,
}

/// What becomes of a set-up that a limit has no room for.
pub(crate) enum Stopped {
    /// That box has no room; the attempt counts as one that never ran.
    Here(Box<Input>),
    /// No further attempt may be made: the client is answered.
    AtAll(Box<(No, [Input; 2])>),
}

/// The limits at a front.
pub(crate) struct Limited {
    gate: Gate,
    life: FrontId,
    service: Service,
    held: BTreeMap<SessionId, Held>,
    /// Asked for and not playing yet.
    waiting: BTreeSet<SessionId>,
    /// Over, but perhaps still to be ended at a box.
    ending: BTreeSet<SessionId>,
}

impl Limited {
    pub(crate) fn new(gate: Gate, service: Service) -> Limited {
        let life = gate.front().id();
        let (held, waiting, ending) = Default::default();
        Limited { gate, life, service, held, waiting, ending }
    }

    /// Whether a session may be asked for.
    pub(crate) fn ask(
        &mut self,
        core: &SessionController,
        ask: &SessionRequest,
        viewer: Option<Key>,
    ) -> Result<(), No> {
        // What the core answers without a session is not counted; an offer sent again is counted once.
        let Some(title) = core.catalog().title(&ask.title).filter(|_| !core.is_repeat(ask)) else {
            return Ok(());
        };
        let name = |names: &[String], at: u16| Key::of(names.get(usize::from(at)).map_or("", |n| n));
        let subject = Subject {
            customer: name(&self.service.tenants, title.tenant.0),
            title: Key::of(&ask.title),
            class: name(&self.service.classes, title.class.0),
            viewer,
            kbits: (core.top_rate_kb(title.class, ask.max_rate_kb) * 8.0).ceil() as u64,
            uplink: None,
            server: None,
        };
        let session = self.gate.admit(&subject, Stage::Session).inspect_err(|no| said(ask.session, no))?;
        let held = Held { subject, session, attempts: BTreeMap::new(), at: Vec::new() };
        self.held.insert(ask.session, held);
        self.waiting.insert(ask.session);
        Ok(())
    }

    /// Whether an attempt may go to its box; what the box keeps with the session.
    pub(crate) fn attempt(
        &mut self,
        core: &SessionController,
        now: Micros,
        attempt: AttemptId,
        server: ServerId,
    ) -> Result<Option<String>, Stopped> {
        let Some(held) = self.held.get_mut(&attempt.session) else { return Ok(None) };
        let line = core.catalog().server(server);
        let subject = Subject {
            uplink: line.map(|l| Key::of(&l.rack.to_string())),
            server: line.map(|l| Key::of(&l.name)),
            ..held.subject.clone()
        };
        match self.gate.admit(&subject, Stage::Attempt(attempt.number)) {
            Ok(permit) => {
                let mut claims = held.session.claims();
                claims.extend(permit.claims());
                held.attempts.insert(attempt.number, permit);
                Ok(tag::write(self.life, &claims))
            }
            Err(no) => {
                said(attempt.session, &no);
                let never = Input::AttemptEnded {
                    attempt,
                    server,
                    result: AttemptResult::Ended(Outcome::NotSent),
                    sent_at: now,
                    load: Default::default(),
                };
                let of_box = self.gate.front().definitions().any(|d| d.name == no.limit && d.of.needs_box());
                if of_box {
                    Err(Stopped::Here(Box::new(never)))
                } else {
                    Err(Stopped::AtAll(Box::new((no, [Input::ClientDisconnected(attempt.session), never]))))
                }
            }
        }
    }

    /// Notes what an input says of a session's attempts.
    pub(crate) fn before(&mut self, input: &Input) {
        let Input::AttemptEnded { attempt, server, result: verdict, .. } = input else { return };
        let Some(held) = self.held.get_mut(&attempt.session) else { return };
        match verdict {
            AttemptResult::Accepted { resource, .. } | AttemptResult::Unusable { resource, .. } => {
                held.at.push((*server, resource.clone()));
            }
            AttemptResult::Declined(_) | AttemptResult::Ended(_) => {
                drop(held.attempts.remove(&attempt.number))
            }
        }
    }

    /// Notes what the core had done.
    pub(crate) fn done(&mut self, output: &Output) {
        match output {
            Output::Reply(_, Answer::Playing { session, .. }) => drop(self.waiting.remove(session)),
            Output::SessionEnded(session, _) if self.held.contains_key(session) => {
                self.ending.insert(*session);
            }
            _ => {}
        }
    }

    /// Gives back what sessions held that are over, at their boxes too. What a box may still play counts.
    pub(crate) fn after(&mut self, core: &SessionController) {
        let gone: Vec<SessionId> = self.waiting.iter().filter(|id| !core.has(**id)).copied().collect();
        for id in gone {
            self.waiting.remove(&id);
            self.ending.insert(id);
        }
        let held = &mut self.held;
        self.ending.retain(|id| {
            let left = held.get(id).is_some_and(|h| h.at.iter().any(|(s, r)| core.is_releasing(*s, r)));
            if !left {
                held.remove(id);
            }
            left
        });
    }

    /// This front ends; what plays is not given back, as boxes have it.
    pub(crate) fn leave(&mut self) {
        for held in std::mem::take(&mut self.held).into_values() {
            held.session.leave();
            held.attempts.into_values().for_each(Permit::leave);
        }
    }
}

fn said(session: SessionId, no: &No) {
    let session = format_args!("{:016x}", session.0);
    info!(
        target: "core", session, limit = %no.limit, key = %no.key, why = ?no.why,
        again_ms = no.again.as_millis() as u64, "not admitted"
    );
    debug!(target: "core", "{no}");
}

/// When a refused client is to come again, as the core says it.
pub(crate) fn advice(no: &No) -> Micros {
    Micros(u64::try_from(no.again.as_micros()).unwrap_or(u64::MAX))
}

/// Asks a box for its sessions' tags. A box that is not there any more plays nothing.
pub(crate) fn tags(shared: &Shared, address: SocketAddr) -> Option<BTreeMap<String, u64>> {
    let until = Instant::now() + shared.settings.call_time;
    match shared.pool.call(address, &boxes::tags(), until) {
        Ok(response) if response.status.is_success() => serde_json::from_slice(&response.body).ok(),
        Err(CallError::Refused) => Some(BTreeMap::new()),
        _ => None,
    }
}
