//! Sessions at media servers, and the survey of what lost fronts left there.

use std::collections::BTreeMap;
use std::time::Duration;

use beechloft_quotas::{
    Answer, Claim, Command, FrontId, Key, LimitDefinition, Op, Request, Resource, Scope, Stage, Subject,
};
use rand::RngExt;

use super::ms;
use super::simulation::{Scheduled, Simulation};

/// The rate of each session.
const SESSION_KBITS: u64 = 100;
/// Time from the end of a session at its media server to the front's learning of it.
const END_DELAY: Duration = Duration::from_millis(2);
const SURVEY_INTERVAL: Duration = Duration::from_millis(250);
/// The id under which surveys are reported.
const SURVEYOR: FrontId = FrontId(u64::MAX);

/// A session as the media servers know it.
#[derive(Debug, Clone)]
pub(super) struct PlayingSession {
    front: FrontId,
    claims: Vec<(Claim, u64)>,
    /// When the set-up arrives at the media server.
    arrives_at: Duration,
}

impl Simulation {
    fn subject(&self, n: usize) -> Subject {
        let customer = self.fronts[n].customer.clone();
        Subject {
            title: Key::of("asparagus"),
            class: Key::of("stall"),
            customer,
            kbits: SESSION_KBITS,
            ..Subject::default()
        }
    }

    /// Returns the claims of a session at a front with the units of each, for all limits.
    fn claims(&self, n: usize) -> Vec<(Claim, u64)> {
        let customer = &self.fronts[n].customer;
        let claim = |limit: &LimitDefinition| {
            let key = match limit.scope {
                Scope::Customer => customer.clone(),
                _ => Key::default(),
            };
            let weighted_customer = if limit.weights.is_empty() { Key::default() } else { customer.clone() };
            let units = if limit.resource == Resource::Kbits { SESSION_KBITS } else { 1 };
            (Claim { limit: limit.name.clone(), key, customer: weighted_customer }, units)
        };
        self.definitions.iter().map(claim).collect()
    }

    /// Requests a session at a front. Bounds are checked if it is admitted.
    pub(super) fn request_session(&mut self, n: usize) {
        if !self.fronts[n].is_active(self.now) {
            return;
        }
        let (local, subject) = (self.local_time(n), self.subject(n));
        let admission = self.fronts[n].front.admit(local, &subject, Stage::Session);
        self.fronts[n].update_next_tick();
        let Ok(reservation) = admission else { return };
        self.fronts[n].admitted += 1;
        self.last_session += 1;
        let id = self.last_session;
        let duration = ms(self.rng.random_range(self.session_ms.clone()));
        let max_set_up_us = u64::try_from(self.max_set_up_time.as_micros()).unwrap_or(u64::MAX);
        let arrives_at = self.now + Duration::from_micros(self.rng.random_range(0..=max_set_up_us));
        let claims = self.count_claims(n);
        for (claim, _) in &claims {
            self.check_units_in_use(claim);
        }
        let front = self.fronts[n].id;
        self.sessions.insert(id, PlayingSession { front, claims, arrives_at });
        self.fronts[n].sessions.push((id, reservation));
        self.schedule(duration + END_DELAY, Scheduled::SessionEnd(n, front, id));
    }

    /// Counts an admitted session under all limits. Returns its claims on concurrent limits.
    fn count_claims(&mut self, n: usize) -> Vec<(Claim, u64)> {
        let mut concurrent = Vec::new();
        for (claim, units) in self.claims(n) {
            let limit = self.definition(&claim).clone();
            if limit.resource.is_rate() {
                self.check_rate(&limit, &claim);
                continue;
            }
            *self.units_in_use.entry(claim.clone()).or_default() += units;
            concurrent.push((claim, units));
        }
        concurrent
    }

    pub(super) fn definition(&self, claim: &Claim) -> &LimitDefinition {
        self.definitions.iter().find(|d| d.name == claim.limit).expect("the limit is defined")
    }

    /// Ends a session at its media server and at the front that admitted it, if that still runs.
    pub(super) fn end_session(&mut self, n: usize, front: FrontId, id: u64) {
        if let Some(session) = self.sessions.remove(&id) {
            for (claim, units) in session.claims {
                if let Some(in_use) = self.units_in_use.get_mut(&claim) {
                    *in_use -= units;
                }
            }
        }
        if self.fronts[n].id != front || !self.fronts[n].running {
            return;
        }
        if self.fronts[n].paused_until > self.now {
            // The media server's message waits in the socket of the paused process.
            let delay = self.fronts[n].paused_until - self.now + ms(1);
            return self.schedule(delay, Scheduled::SessionEnd(n, front, id));
        }
        let index = self.fronts[n].sessions.iter().position(|session| session.0 == id);
        if let Some(index) = index {
            let (_, reservation) = self.fronts[n].sessions.swap_remove(index);
            let local = self.local_time(n);
            self.fronts[n].front.release(local, reservation);
            self.fronts[n].update_next_tick();
        }
    }

    /// Surveys the media servers for the sessions of all orphans, if a survey is due.
    pub(super) fn survey(&mut self) {
        if !self.surveys_enabled || self.now < self.next_survey_at || !self.has_leader {
            return;
        }
        self.next_survey_at = self.now + SURVEY_INTERVAL;
        let Some(Answer::Orphans(orphans)) = self.apply_survey_op(Op::ListOrphans) else { return };
        for (orphan, front) in orphans {
            let remaining = self.units_at_media_servers(front).into_iter().collect();
            self.apply_survey_op(Op::ReportSurvey { orphan, remaining });
        }
    }

    fn apply_survey_op(&mut self, op: Op) -> Option<Answer> {
        self.survey_seq += 1;
        let request = Request { front: SURVEYOR, seq: self.survey_seq, op };
        self.apply(&Command::Request(request))
    }

    /// Returns the units that a front's sessions use, as far as their set-ups have arrived.
    fn units_at_media_servers(&self, front: FrontId) -> BTreeMap<Claim, u64> {
        let mut units_by_claim: BTreeMap<Claim, u64> = BTreeMap::new();
        let arrived = self.sessions.values().filter(|s| s.front == front && s.arrives_at <= self.now);
        for (claim, units) in arrived.flat_map(|session| &session.claims) {
            *units_by_claim.entry(claim.clone()).or_default() += units;
        }
        units_by_claim
    }
}
