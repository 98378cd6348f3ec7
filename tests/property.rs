//! Property tests: for random settings and any valid order of events, the policy's rules hold and nothing
//! panics.
// Counts in these tests are small.
#![allow(clippy::cast_possible_truncation)]

#[path = "support/random_settings.rs"]
mod random_settings;
mod support;

use std::collections::BTreeMap;

use beechloft::api::{
    Action, Class, ClassId, DedupScope, Endpoint, EndpointState, Event, Feedback, Idempotency, LoadReport,
    Micros, Outcome, Request, Rung, ServerId, SessionId, Settings, TitleId, UpdateKind, ZoneId,
};
use beechloft::policy::Policy;
use proptest::prelude::*;
use random_settings::{RandomSettings, random_settings, settings_from};
use support::{Front, SECONDS, endpoint, request};

/// One step of a test. An index selects one of the sessions to which the step can apply.
#[derive(Debug, Clone)]
enum Step {
    /// Lets this many microseconds pass.
    Wait(u64),
    Request(RequestStep),
    Adopt {
        class: u16,
        server: u32,
        rung: u8,
    },
    Start(usize),
    End {
        index: usize,
        outcome: u8,
    },
    Withdraw(usize),
    UpdateEndpoints {
        kind: u8,
        server: u32,
        state: u8,
        is_restarted: bool,
    },
    Feedback {
        server: u32,
        kind: u8,
        value: f64,
    },
    HealthCheck {
        server: u32,
        outcome: u8,
        value: f64,
    },
    Tick,
    PeerMessage,
}

/// A step that requests a session.
#[derive(Debug, Clone)]
struct RequestStep {
    class: u16,
    title: u64,
    first_cell: u32,
    cell_count: u32,
    max_rung: u8,
    /// Maximum time that the viewer waits, in microseconds.
    patience: u64,
}

fn request_step() -> impl Strategy<Value = Step> {
    (0..9u16, 0..3u64, 0..6u32, 0..6u32, 0..5u8, 50_000..20_000_000u64).prop_map(
        |(class, title, first_cell, cell_count, max_rung, patience)| {
            Step::Request(RequestStep { class, title, first_cell, cell_count, max_rung, patience })
        },
    )
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let value = prop_oneof![
        4 => 0.0..2.0f64,
        1 => prop_oneof![Just(f64::NAN), Just(f64::INFINITY), Just(-3.0), Just(1e300)]
    ];
    let step = prop_oneof![
        6 => (1_000..600_000u64).prop_map(Step::Wait),
        6 => request_step(),
        1 => (0..9u16, 0..6u32, 0..4u8)
            .prop_map(|(class, server, rung)| Step::Adopt { class, server, rung }),
        4 => any::<usize>().prop_map(Step::Start),
        6 => (any::<usize>(), 0..8u8).prop_map(|(index, outcome)| Step::End { index, outcome }),
        1 => any::<usize>().prop_map(Step::Withdraw),
        2 => (0..6u8, 0..6u32, 0..3u8, any::<bool>()).prop_map(|(kind, server, state, is_restarted)| {
            Step::UpdateEndpoints { kind, server, state, is_restarted }
        }),
        2 => (0..7u32, 0..4u8, value.clone())
            .prop_map(|(server, kind, value)| Step::Feedback { server, kind, value }),
        1 => (0..7u32, 0..8u8, value)
            .prop_map(|(server, outcome, value)| Step::HealthCheck { server, outcome, value }),
        3 => Just(Step::Tick),
        1 => Just(Step::PeerMessage),
    ];
    prop::collection::vec(step, 1..160)
}

fn outcome(index: u8) -> Outcome {
    const OUTCOMES: [Outcome; 8] = [
        Outcome::Ok,
        Outcome::Error,
        Outcome::Overloaded,
        Outcome::Timeout,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::Cancelled,
        Outcome::NotSent,
    ];
    OUTCOMES[usize::from(index % 8)]
}

fn endpoint_state(index: u8) -> EndpointState {
    const STATES: [EndpointState; 3] =
        [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed];
    STATES[usize::from(index)]
}

/// Returns the kind of an update, and whether its list is empty.
fn update_kind(index: u8) -> (UpdateKind, bool) {
    const KINDS: [UpdateKind; 6] = [
        UpdateKind::Delta,
        UpdateKind::Full,
        UpdateKind::Cached,
        UpdateKind::Failed,
        UpdateKind::Full,
        UpdateKind::Cached,
    ];
    (KINDS[usize::from(index)], index >= 3)
}

/// An attempt that may have been executed.
#[derive(Debug)]
struct SentAttempt {
    server: u32,
    sent_at: u64,
}

/// What the test knows about a request.
#[derive(Default)]
struct RequestState {
    class: usize,
    max_rung: u8,
    /// Time at which the viewer gives up, or zero for an adopted session.
    deadline: u64,
    answers: u32,
    /// Whether the viewer left or the session ended.
    is_closed: bool,
    /// Server of the attempt in flight or of the playing session.
    server: Option<u32>,
    is_playing: bool,
    attempts: u32,
    may_have_run: Vec<SentAttempt>,
}

impl RequestState {
    /// Checks that the class's idempotency allows an attempt.
    fn check_idempotency(&self, class: &Class, has_zones: bool, now: u64, server: u32, deadline: u64) {
        match class.idempotency {
            Idempotency::AtMostOnce => {
                assert!(self.may_have_run.is_empty(), "an at-most-once set-up is sent twice");
            }
            Idempotency::Deduplicated { scope, window } => {
                for earlier in &self.may_have_run {
                    let is_in_scope = match scope {
                        DedupScope::All => true,
                        DedupScope::Zone => !has_zones || earlier.server % 2 == server % 2,
                        DedupScope::Cell => earlier.server % 4 == server % 4,
                    };
                    // A retry that arrives after the window is executed, whenever it was sent.
                    let is_in_window = now < deadline && deadline < earlier.sent_at + window.0;
                    assert!(is_in_scope && is_in_window, "a retry is outside the scope or window");
                }
            }
            Idempotency::Idempotent => {}
        }
    }
}

struct Harness {
    settings: Settings,
    has_zones: bool,
    front: Front,
    requests: BTreeMap<u64, RequestState>,
    /// States of the servers on the endpoint list.
    server_states: BTreeMap<u32, EndpointState>,
    retry_times: Vec<u64>,
    request_times: Vec<u64>,
}

impl Harness {
    /// Passes an event to the policy, checks the actions against the rules and applies them.
    fn send(&mut self, event: Event) {
        let actions = self.front.send(event);
        self.apply(actions);
    }

    /// Checks actions against the rules and applies them.
    fn apply(&mut self, actions: Vec<Action>) {
        let totals = self.front.policy.own_demand();
        let recomputed = self.front.policy.recompute_own_demand();
        assert_eq!(totals, recomputed, "totals kept by events differ from recomputed ones");
        for action in actions {
            self.apply_action(action);
        }
        self.check_requests();
        self.check_title_limits();
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::StartAttempt { session, server, deadline } => {
                self.start_attempt(session.0, server.0, deadline.0);
            }
            Action::SetRung { session, rung } => {
                let request = &self.requests[&session.0];
                let class = &self.settings.classes[request.class];
                assert!(rung >= class.min_rung && rung.0 <= request.max_rung, "{rung:?}");
            }
            Action::Reject { session, .. } => self.reject(session.0),
            Action::Fail(session) => {
                if let Some(request) = self.requests.get_mut(&session.0) {
                    request.answers += 1;
                }
            }
            Action::CancelAttempt { session, .. } => {
                assert!(self.settings.capabilities.cancel && self.requests[&session.0].attempts > 0);
            }
            Action::HealthCheck(_) => assert!(self.settings.capabilities.health_checks),
            Action::Migrate(session) => assert!(self.requests[&session.0].is_playing),
            Action::Subscribe | Action::SetTimer { .. } | Action::Log(_) => {}
        }
    }

    fn start_attempt(&mut self, session: u64, server: u32, deadline: u64) {
        let now = self.front.now;
        let request = self.requests.get_mut(&session).expect("a known request");
        let class = &self.settings.classes[request.class];
        assert!(request.server.is_none(), "two attempts are in flight");
        assert!(request.answers == 0 && !request.is_closed, "an attempt is sent after the end");
        assert_eq!(self.server_states.get(&server), Some(&EndpointState::Ready), "the server is not ready");
        assert!(deadline <= request.deadline, "an attempt exceeds the viewer's deadline");
        assert!(request.attempts < self.settings.capabilities.max_attempts);
        request.check_idempotency(class, self.has_zones, now, server, deadline);
        let is_retry = request.attempts > 0;
        request.server = Some(server);
        request.attempts += 1;
        request.may_have_run.push(SentAttempt { server, sent_at: now });
        if is_retry {
            self.retry_times.push(now);
            self.check_retry_budget();
        }
    }

    fn check_retry_budget(&self) {
        let Some(budget) = self.settings.retry_budget else { return };
        let is_recent = |at: &&u64| self.front.now - **at < budget.window.0;
        let requests = self.request_times.iter().filter(is_recent).count() as f64;
        let retries = self.retry_times.iter().filter(is_recent).count() as f64;
        assert!(retries <= budget.min_retries + budget.retry_ratio * requests + 1e-9);
    }

    fn reject(&mut self, session: u64) {
        let request = self.requests.get_mut(&session).expect("a known request");
        assert!(request.server.is_none() || request.is_closed, "rejected with an attempt in flight");
        let is_repeatable = matches!(
            self.settings.classes[request.class].idempotency,
            Idempotency::Idempotent | Idempotency::Deduplicated { scope: DedupScope::All, .. }
        );
        assert!(is_repeatable || request.may_have_run.is_empty(), "rejected after it may have run");
        request.answers += 1;
    }

    fn check_requests(&self) {
        for request in self.requests.values() {
            assert!(request.answers <= 1, "a request has two answers");
            let is_open = request.server.is_some() || request.is_playing || request.is_closed;
            assert!(is_open || request.answers == 1, "a request is neither in progress nor answered");
        }
    }

    fn check_title_limits(&self) {
        for (index, class) in self.settings.classes.iter().enumerate() {
            let Some(max_sessions) = class.max_sessions_per_title else { continue };
            let of_class = || self.requests.values().filter(|request| request.class == index);
            let sessions = of_class().filter(|request| request.server.is_some()).count();
            let adopted = of_class().filter(|request| request.deadline == 0).count();
            let max_of_three_titles = max_sessions as usize * 3;
            assert!(sessions <= max_of_three_titles + adopted, "{sessions} sessions of three titles");
        }
    }

    /// Returns one of the sessions at a server, including those that play only if `with_playing` is set.
    fn session_at_server(&self, index: usize, with_playing: bool) -> Option<u64> {
        let is_suitable =
            |request: &RequestState| request.server.is_some() && (with_playing || !request.is_playing);
        let suitable = self.requests.iter().filter(|(_, request)| is_suitable(request));
        let ids: Vec<u64> = suitable.map(|(id, _)| *id).collect();
        (!ids.is_empty()).then(|| ids[index % ids.len()])
    }

    /// Returns the same session as [`Harness::session_at_server`], unless it is closed or answered.
    fn open_session(&mut self, index: usize, with_playing: bool) -> Option<(u64, &mut RequestState)> {
        let id = self.session_at_server(index, with_playing)?;
        let request = self.requests.get_mut(&id).expect("a known request");
        (!request.is_closed && request.answers == 0).then_some((id, request))
    }

    /// Does one step. A requested or adopted session gets the id `next_id`.
    fn step(&mut self, next_id: u64, step: Step) {
        match step {
            Step::Wait(duration) => self.wait(duration),
            Step::Request(step) => self.request(next_id, &step),
            Step::Adopt { class, server, rung } => self.adopt(next_id, class, server, rung),
            Step::Start(index) => self.start(index),
            Step::End { index, outcome: code } => {
                if let Some(id) = self.session_at_server(index, true) {
                    self.end(id, outcome(code));
                }
            }
            Step::Withdraw(index) => {
                let Some((id, request)) = self.open_session(index, true) else { return };
                request.is_closed = true;
                self.send(Event::Withdrawn(SessionId(id)));
            }
            Step::UpdateEndpoints { kind, server, state, is_restarted } => {
                self.update_endpoints(kind, server, endpoint_state(state), is_restarted);
            }
            Step::Feedback { server, kind, value } => {
                let feedback = match kind {
                    0 => Feedback::DeliveredFraction(value),
                    1 => Feedback::LinkUtilization(value),
                    _ => Feedback::UplinkUtilization(value),
                };
                self.front.feedback(server, feedback);
            }
            Step::HealthCheck { server, outcome: code, value } => {
                let report = LoadReport {
                    streams: Some(value),
                    link_utilization: Some(value),
                    uplink_utilization: Some(value),
                };
                let server = ServerId(server);
                self.send(Event::HealthChecked { server, outcome: outcome(code), report });
            }
            Step::Tick => {
                let actions = self.front.tick();
                self.apply(actions);
            }
            Step::PeerMessage => self.send(Event::PeerMessage { sender: 1, payload: vec![1, 2] }),
        }
    }

    /// Lets time pass and ends the attempts whose viewers have given up, as a front does.
    fn wait(&mut self, duration: u64) {
        self.front.advance(duration);
        let now = self.front.now;
        let is_overdue = |request: &RequestState| {
            request.server.is_some() && !request.is_playing && now >= request.deadline
        };
        let overdue = self.requests.iter().filter(|(_, request)| is_overdue(request));
        let ids: Vec<u64> = overdue.map(|(id, _)| *id).collect();
        for id in ids {
            self.end(id, Outcome::Timeout);
        }
    }

    fn request(&mut self, id: u64, step: &RequestStep) {
        let now = self.front.now;
        let class = step.class % self.settings.classes.len() as u16;
        let patience = step.patience.min(self.settings.classes[usize::from(class)].deadline.0);
        let deadline = now + patience;
        let state = RequestState {
            class: class.into(),
            max_rung: step.max_rung,
            deadline,
            ..RequestState::default()
        };
        self.requests.insert(id, state);
        self.request_times.push(now);
        self.send(Event::Request(Request {
            class: ClassId(class),
            title: TitleId(step.title),
            first_cell: step.first_cell,
            cell_count: step.cell_count,
            max_rung: Rung(step.max_rung),
            deadline: Micros(deadline),
            ..request(id, now)
        }));
    }

    fn adopt(&mut self, id: u64, class: u16, server: u32, rung: u8) {
        let class = class % self.settings.classes.len() as u16;
        let min_rung = self.settings.classes[usize::from(class)].min_rung;
        let state = RequestState {
            class: class.into(),
            max_rung: 3,
            server: Some(server),
            is_playing: true,
            attempts: 1,
            ..RequestState::default()
        };
        self.requests.insert(id, state);
        let request = Request { class: ClassId(class), deadline: Micros(0), ..request(id, 0) };
        let (session, server) = (SessionId(id), ServerId(server));
        let mut actions = self.front.send(Event::SessionAdopted { request, server });
        let feedback = Feedback::Rung(Rung(rung).max(min_rung));
        actions.extend(self.front.send(Event::FeedbackReceived { session, server, feedback }));
        self.apply(actions);
    }

    fn start(&mut self, index: usize) {
        let Some((id, request)) = self.open_session(index, false) else { return };
        request.is_playing = true;
        let server = request.server.expect("an attempt in flight");
        let actions = self.front.started(id, server);
        self.apply(actions);
    }

    fn update_endpoints(&mut self, kind: u8, server: u32, state: EndpointState, is_restarted: bool) {
        let (kind, is_empty) = update_kind(kind);
        let mut endpoints = vec![];
        // An empty full list changes nothing.
        if !is_empty {
            if kind != UpdateKind::Delta {
                self.server_states.clear();
            }
            self.server_states.insert(server, state);
            let started_at = if is_restarted { self.front.now } else { 0 };
            endpoints.push(endpoint_in_zone(self.has_zones, server, state, started_at));
        }
        self.send(Event::EndpointsUpdated { kind, endpoints });
    }

    fn end(&mut self, id: u64, outcome: Outcome) {
        let request = self.requests.get_mut(&id).expect("a known request");
        let server = request.server.take().expect("a session at a server");
        if outcome.never_ran() && !request.is_playing {
            request.may_have_run.pop();
        }
        let is_final =
            request.is_playing || request.is_closed || request.answers > 0 || outcome == Outcome::Ok;
        if is_final {
            request.is_closed = true;
            request.is_playing = false;
        }
        let actions = self.front.ended(id, server, outcome, is_final);
        self.apply(actions);
    }
}

/// Returns a list entry whose server is in one of two zones if there are zones, or else in the only zone.
fn endpoint_in_zone(has_zones: bool, server: u32, state: EndpointState, started_at: u64) -> Endpoint {
    let endpoint = endpoint(server, state, started_at);
    let zone = if has_zones { endpoint.zone } else { ZoneId(0) };
    Endpoint { zone, ..endpoint }
}

/// Does the steps in order, checks the rules, and returns a summary of each request.
fn run_steps(random: &RandomSettings, seed: u64, steps: &[Step]) -> Vec<String> {
    let settings = settings_from(random);
    let front = Front { policy: Policy::new(settings.clone(), seed), now: 50 * SECONDS };
    let mut harness = Harness {
        settings,
        has_zones: random.has_zones,
        front,
        requests: BTreeMap::new(),
        server_states: (0..4).map(|server| (server, EndpointState::Ready)).collect(),
        retry_times: vec![],
        request_times: vec![],
    };
    let ready = |server| endpoint_in_zone(random.has_zones, server, EndpointState::Ready, 0);
    let endpoints = (0..4).map(ready).collect();
    harness.send(Event::EndpointsUpdated { kind: UpdateKind::Cached, endpoints });
    for (index, step) in steps.iter().enumerate() {
        harness.step(index as u64 + 1, step.clone());
    }
    // Each request must have its answer one tick after the longest deadline.
    harness.step(0, Step::Wait(21 * SECONDS));
    harness.step(0, Step::Tick);
    for (id, request) in &harness.requests {
        let is_done = request.is_closed || request.is_playing || request.answers == 1;
        assert!(is_done, "request {id} has no answer");
    }
    let summary = |(id, request): (&u64, &RequestState)| {
        format!("{id} {} {:?} {}", request.answers, request.may_have_run, request.attempts)
    };
    harness.requests.iter().map(summary).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_201),
        ..ProptestConfig::default()
    })]

    #[test]
    fn rules_hold_for_any_settings_and_event_order(
        random in random_settings(),
        seed: u64,
        steps in steps(),
    ) {
        let summary = run_steps(&random, seed, &steps);
        prop_assert_eq!(summary, run_steps(&random, seed, &steps), "equal events lead to different actions");
    }
}
