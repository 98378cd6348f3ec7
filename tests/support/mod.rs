//! Helpers for tests of the policy: default settings and endpoints, and a front that passes events to its
//! policy.
#![allow(dead_code)]

use beechloft::api::{
    Action, Attempt, BitrateLadder, Capabilities, CellId, Class, Discovery, Endpoint, EndpointState, Event,
    Feedback, Idempotency, LoadReport, LoadReporting, Micros, Outcome, Request, Rung, ServerId, ServerType,
    SessionId, Settings, SlowStart, TimerToken, TitleId, UpdateKind, WeightMeaning, ZoneId,
};
use beechloft::policy::Policy;

/// Microseconds in a millisecond.
pub const MILLIS: u64 = 1_000;
/// Microseconds in a second.
pub const SECONDS: u64 = 1_000_000;

/// Returns the settings of the first of two fronts, with four cells in two racks and one class of sessions.
pub fn settings() -> Settings {
    Settings {
        classes: vec![class(Idempotency::Idempotent)],
        tenants: vec![],
        max_streams_by_type: vec![20],
        ladder: BitrateLadder {
            rates_kb: vec![200.0, 450.0, 1_000.0, 2_000.0],
            utility: vec![0.2, 0.5, 0.75, 1.0],
            switch_cost_s: 0.5,
        },
        cells: 4,
        racks: 2,
        total_link_kb: Some(40_000.0),
        link_kb_per_weight: Some(10_000.0),
        mean_uplink_kb: Some(18_000.0),
        admission_limit: Some(1.2),
        feedback_delay: Micros(SECONDS),
        front_count: 2,
        slot: 0,
        zone: ZoneId(0),
        load_reporting: LoadReporting::InResponses,
        weight_meaning: WeightMeaning::Unset,
        discovery: Discovery::Push,
        capabilities: Capabilities {
            max_attempts: 4,
            health_checks: false,
            cancel: true,
            max_retry_after: Some(Micros(500 * MILLIS)),
        },
        retry_budget: None,
        slow_start: SlowStart {
            warm_up: Micros(12 * SECONDS),
            initial_fraction: 0.4,
            overload_factor: 2.5,
            overload_window: Micros(2 * SECONDS),
        },
        health_check_price: 0.01,
        migration_price: 0.1,
        over_quota_utility: 1.0,
    }
}

/// Returns a class with default values.
pub fn class(idempotency: Idempotency) -> Class {
    Class {
        latency_objective: Micros(800 * MILLIS),
        deadline: Micros(4 * SECONDS),
        idempotency,
        utility: 1.0,
        rate_scale: 1.0,
        min_rung: Rung(0),
        max_rung: Rung(3),
        max_sessions_per_title: None,
        shared_rate_fraction: 1.0,
    }
}

/// Returns the list entry of server `n`, which is in cell `n` modulo 4 and zone `n` modulo 2.
pub fn endpoint(n: u32, state: EndpointState, started_at: u64) -> Endpoint {
    Endpoint {
        server: ServerId(n),
        state,
        cell: CellId((n % 4) as u16),
        zone: ZoneId((n % 2) as u16),
        server_type: ServerType(0),
        started_at: Micros(started_at),
        weight: 1.0,
    }
}

/// Returns a request of a viewer that waits four seconds for a title that all cells hold.
pub fn request(id: u64, now: u64) -> Request {
    Request {
        session: SessionId(id),
        title: TitleId(7),
        cell_count: 4,
        max_rung: Rung(3),
        deadline: Micros(now + 4 * SECONDS),
        ..Request::default()
    }
}

/// A front that passes events to its policy at a simulated time.
pub struct Front {
    pub policy: Policy,
    /// Simulated time in microseconds.
    pub now: u64,
}

impl Front {
    /// Creates a front that knows four listed servers to be running.
    pub fn new(settings: Settings) -> Self {
        let mut front = Front::restarted(settings);
        front.adopt(1_000_000, 0);
        front.ended(1_000_000, 0, Outcome::Ok, true);
        front
    }

    /// Creates a front that has just started and knows only its cached list of four servers.
    pub fn restarted(settings: Settings) -> Self {
        Front::seeded(settings, 1)
    }

    /// Creates a front that has just started, with a seed for its random numbers.
    pub fn seeded(settings: Settings, seed: u64) -> Self {
        let list = (0..4).map(|n| endpoint(n, EndpointState::Ready, 0)).collect();
        Front::start(Policy::new(settings, seed), list)
    }

    /// Creates a front that has just started, with a cached list.
    pub fn with_list(settings: Settings, list: Vec<Endpoint>) -> Self {
        Front::start(Policy::new(settings, 1), list)
    }

    fn start(policy: Policy, list: Vec<Endpoint>) -> Self {
        let mut front = Front { policy, now: 100 * SECONDS };
        front.send(Event::EndpointsUpdated { kind: UpdateKind::Cached, endpoints: list });
        front
    }

    /// Adopts a session that plays already.
    pub fn adopt(&mut self, id: u64, server: u32) {
        let request = Request { deadline: Micros(0), ..request(id, 0) };
        self.send(Event::SessionAdopted { request, server: ServerId(server) });
    }

    /// Passes an event to the policy and returns the actions.
    pub fn send(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.policy.handle(Micros(self.now), event, &mut actions);
        actions
    }

    pub fn request(&mut self, id: u64) -> Vec<Action> {
        self.send(Event::Request(request(id, self.now)))
    }

    pub fn started(&mut self, id: u64, server: u32) -> Vec<Action> {
        let (session, server) = (SessionId(id), ServerId(server));
        self.send(Event::Started { session, attempt: Attempt(0), server, elapsed: Micros(80 * MILLIS) })
    }

    pub fn ended(&mut self, id: u64, server: u32, outcome: Outcome, is_final: bool) -> Vec<Action> {
        self.send(Event::AttemptEnded {
            session: SessionId(id),
            attempt: Attempt(0),
            server: ServerId(server),
            outcome,
            is_final,
            elapsed: Micros(10 * MILLIS),
            report: LoadReport::default(),
        })
    }

    pub fn update_endpoint(&mut self, n: u32, state: EndpointState, started_at: u64) -> Vec<Action> {
        self.send(Event::EndpointsUpdated {
            kind: UpdateKind::Delta,
            endpoints: vec![endpoint(n, state, started_at)],
        })
    }

    pub fn feedback(&mut self, server: u32, feedback: Feedback) {
        self.send(Event::FeedbackReceived { session: SessionId(0), server: ServerId(server), feedback });
    }

    pub fn advance(&mut self, us: u64) {
        self.now += us;
    }

    pub fn tick(&mut self) -> Vec<Action> {
        self.send(Event::Timer(TimerToken(1)))
    }
}

/// Returns the server and deadline of the attempt that is started, if there is one.
pub fn set_up(actions: &[Action]) -> Option<(u32, u64)> {
    actions.iter().find_map(|action| match action {
        Action::StartAttempt { server, deadline, .. } => Some((server.0, deadline.0)),
        _ => None,
    })
}

/// Returns the number of attempts that are started.
pub fn set_ups(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::StartAttempt { .. })).count()
}

pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { .. }))
}

pub fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail(..)))
}

/// Returns the rung that is set last.
pub fn rung(actions: &[Action]) -> Option<u8> {
    actions.iter().rev().find_map(|action| match action {
        Action::SetRung { rung, .. } => Some(rung.0),
        _ => None,
    })
}

/// Requests a session that starts at once, and returns its server and rung.
pub fn play(front: &mut Front, id: u64) -> Option<(u32, u8)> {
    let actions = front.request(id);
    let (server, _) = set_up(&actions)?;
    front.started(id, server);
    Some((server, rung(&actions).expect("the rung is set with the attempt")))
}
