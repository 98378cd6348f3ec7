//! The session controller, which translates inputs to events of the policy and actions of the policy to outputs.

mod actions;
mod attempts;
mod closing;
mod media_servers;
mod requests;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use beechloft::api::{Action, ClassId, Event, Micros, Rung, ServerId, SessionId, Settings, TimerToken};
use beechloft::policy::Policy;

use crate::catalog::Catalog;
use crate::holder_filter::HolderFilters;
use crate::io::{Answer, EndReason, IdempotencyKey, Input, Output, SessionRequest};
use crate::liveness::{Liveness, Loss};
use crate::release::Releases;
use crate::session::{Session, SessionState};

/// The state machine that manages the sessions of one front.
#[derive(Debug)]
pub struct SessionController {
    settings: Settings,
    policy: Policy,
    now: Micros,
    catalog: Catalog,
    sessions: BTreeMap<SessionId, Session>,
    by_idempotency_key: BTreeMap<IdempotencyKey, SessionId>,
    /// Playing sessions, by media server and by path at the media server.
    playing: BTreeMap<ServerId, BTreeMap<String, SessionId>>,
    timers: BTreeSet<(Micros, TimerToken)>,
    /// Times at which unanswered requests fail even if the end of their attempts was not reported.
    overdue: BTreeSet<(Micros, SessionId)>,
    /// Times at which the answers retained for repeated offers are dropped.
    retained_replies: VecDeque<(Micros, SessionId)>,
    releases: Releases,
    holder_filters: HolderFilters,
    liveness: Liveness,
    watched: BTreeSet<ServerId>,
    /// Watched media servers that left the endpoint list.
    departing: BTreeSet<ServerId>,
    shutting_down: bool,
    /// Events queued for the policy.
    events: VecDeque<Event>,
    /// Recorded exchanges with the policy, if they are recorded.
    exchanges: Option<Vec<Exchange>>,
}

/// An event that was passed to the policy, with the actions that it returned.
#[derive(Debug, Clone, PartialEq)]
pub struct Exchange {
    /// When the event was passed.
    pub at: Micros,
    /// The event.
    pub event: Event,
    /// The policy's actions, in order.
    pub actions: Vec<Action>,
}

impl SessionController {
    /// Creates a controller without an endpoint list. It rejects requests until it receives one.
    pub fn new(settings: Settings, seed: u64) -> Self {
        SessionController {
            policy: Policy::new(settings.clone(), seed),
            settings,
            now: Micros(0),
            catalog: Catalog::default(),
            sessions: BTreeMap::new(),
            by_idempotency_key: BTreeMap::new(),
            playing: BTreeMap::new(),
            timers: BTreeSet::new(),
            overdue: BTreeSet::new(),
            retained_replies: VecDeque::new(),
            releases: Releases::default(),
            holder_filters: HolderFilters::default(),
            liveness: Liveness::default(),
            watched: BTreeSet::new(),
            departing: BTreeSet::new(),
            shutting_down: false,
            events: VecDeque::new(),
            exchanges: None,
        }
    }

    /// Starts to record the exchanges with the policy, for [`SessionController::take_exchanges`].
    pub fn record_exchanges(&mut self) {
        self.exchanges.get_or_insert_default();
    }

    /// Returns the exchanges recorded since the last call.
    pub fn take_exchanges(&mut self) -> Vec<Exchange> {
        self.exchanges.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Handles one input and appends the resulting outputs in order.
    ///
    /// Time never goes backwards: a `now` before that of an earlier call is replaced by the latest one.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.handle_due(out);
        match input {
            Input::Endpoints(update) => self.update_endpoints(update, out),
            Input::Request(request) => self.request(request, out),
            Input::AttemptEnded { attempt, server, result, sent_at, load } => {
                self.attempt_ended(attempt, server, result, self.now - sent_at, load, out);
            }
            Input::ClientDisconnected(id) => self.client_disconnected(id, out),
            Input::AnswerUndelivered(id) => self.end_and_release(id, EndReason::AnswerUndelivered, out),
            Input::Delete { request, session, secret } => self.delete(request, session, secret, out),
            Input::Locate { request, session, secret } => {
                out.push(Output::Reply(request, self.locate(session, secret)));
            }
            Input::MediaServer(server, event) => self.media_server_event(server, event, out),
            Input::HealthChecked { server, outcome, load } => {
                self.events.push_back(Event::HealthChecked { server, outcome, report: load });
            }
            Input::Released { id, ended } => self.releases.result(self.now, id, ended),
            Input::HolderFilter(change) => self.holder_filters.change(change),
            Input::SlotAssigned(slot) => self.events.push_back(Event::SlotAssigned(slot)),
            Input::Tick => {}
            Input::Shutdown => self.shutting_down = true,
        }
        self.run_policy(out);
        self.start_releases(out);
        self.unwatch_departed(out);
    }

    /// Returns when [`Input::Tick`] is next needed if there is no other input before, or `None` if nothing is due.
    pub fn next_due(&self) -> Option<Micros> {
        let due_times = [
            self.timers.first().map(|(at, _)| *at),
            self.overdue.first().map(|(at, _)| *at),
            self.retained_replies.front().map(|(at, _)| *at),
            self.releases.next_due(),
            self.liveness.next_due(),
        ];
        due_times.into_iter().flatten().min()
    }

    /// Returns whether no client waits, no attempt is in flight and no release is pending.
    pub fn is_idle(&self) -> bool {
        let all_play =
            self.sessions.values().all(|session| matches!(session.state, SessionState::Playing(_)));
        all_play && self.releases.is_empty()
    }

    /// Returns the current endpoint list.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Returns the number of playing sessions.
    pub fn playing(&self) -> usize {
        self.playing.values().map(BTreeMap::len).sum()
    }

    /// Returns whether the session is known: its client waits, it plays, or an attempt of it is in flight.
    pub fn has(&self, session: SessionId) -> bool {
        self.sessions.contains_key(&session)
    }

    /// Returns whether the request repeats an earlier offer whose answer is pending or retained.
    pub fn is_repeat(&self, request: &SessionRequest) -> bool {
        let known = request.idempotency_key.and_then(|key| self.by_idempotency_key.get(&key));
        known.is_some_and(|id| self.sessions.contains_key(id))
    }

    /// Returns whether the release of this session is pending.
    pub fn is_releasing(&self, server: ServerId, resource: &str) -> bool {
        self.releases.has(server, resource)
    }

    /// Returns the highest rate that a session of a class may be given, kB per second.
    pub fn top_rate_kb(&self, class_id: ClassId, max_rate_kb: Option<f64>) -> f64 {
        let Some(class) = self.settings.classes.get(usize::from(class_id.0)) else { return 0.0 };
        let rung_count = self.settings.ladder.rates_kb.len();
        let top_of_ladder = Rung(u8::try_from(rung_count.saturating_sub(1)).unwrap_or(u8::MAX));
        self.rate_kb(class_id, self.top_rung(class, max_rate_kb).min(top_of_ladder))
    }

    /// Returns the number of pending releases.
    pub fn releasing(&self) -> usize {
        self.releases.len()
    }

    /// Handles everything that is due: the policy's timers, overdue answers, retained replies and lost media servers.
    fn handle_due(&mut self, out: &mut Vec<Output>) {
        self.fire_timers(out);
        self.fail_overdue(out);
        self.drop_retained_replies();
        for server in self.liveness.take_lost(self.now) {
            self.lose_media_server(server, Loss::Unreachable, out);
        }
    }

    fn fire_timers(&mut self, out: &mut Vec<Output>) {
        while let Some(&(at, token)) = self.timers.first().filter(|(at, _)| *at <= self.now) {
            self.timers.remove(&(at, token));
            self.events.push_back(Event::Timer(token));
            self.run_policy(out);
        }
    }

    /// Fails the requests of clients whose attempts were not reported to have ended in time. Such an attempt counts as in
    /// flight until its end is reported.
    fn fail_overdue(&mut self, out: &mut Vec<Output>) {
        while let Some(&(at, id)) = self.overdue.first().filter(|(at, _)| *at <= self.now) {
            self.overdue.remove(&(at, id));
            if let Some(pending) = self.take_pending_answer(id) {
                out.push(pending.answer(Answer::Failed));
                self.events.push_back(Event::Withdrawn(id));
                self.run_policy(out);
            }
        }
    }

    fn drop_retained_replies(&mut self) {
        while self.retained_replies.front().is_some_and(|(at, _)| *at <= self.now) {
            let Some((_, id)) = self.retained_replies.pop_front() else { break };
            let Some(session) = self.sessions.get_mut(&id) else { continue };
            if let SessionState::Playing(playing) = &mut session.state {
                playing.reply = None;
            }
            if let Some(key) = session.idempotency_key.take() {
                self.by_idempotency_key.remove(&key);
            }
        }
    }
}
