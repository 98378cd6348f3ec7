//! A small driver for the module's tests: settings, servers, and a front that only records.
#![allow(dead_code)]

use beechloft::api::{
    Action, Attempt, BitrateLadder, Capabilities, CellId, Class, Discovery, Endpoint, EndpointState, Event,
    Feedback, Idempotency, LoadReport, LoadReporting, Micros, Outcome, Request, Rung, ServerId, ServerType,
    SessionId, Settings, SlowStart, TimerToken, TitleId, UpdateKind, WeightMeaning, ZoneId,
};
use beechloft::policy::Policy;

pub const MILLIS: u64 = 1_000;
pub const SECONDS: u64 = 1_000_000;

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

pub fn class(effect: Idempotency) -> Class {
    Class {
        latency_objective: Micros(800 * MILLIS),
        deadline: Micros(4 * SECONDS),
        idempotency: effect,
        utility: 1.0,
        rate_scale: 1.0,
        min_rung: Rung(0),
        max_rung: Rung(3),
        max_sessions_per_title: None,
        shared_rate_fraction: 1.0,
    }
}

/// Server `n` stands in cell `n` of four, zone `n` mod 2.
pub fn entry(n: u32, state: EndpointState, started: u64) -> Endpoint {
    Endpoint {
        server: ServerId(n),
        state,
        cell: CellId((n % 4) as u16),
        zone: ZoneId((n % 2) as u16),
        server_type: ServerType(0),
        started_at: Micros(started),
        weight: 1.0,
    }
}

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

pub struct Front {
    pub policy: Policy,
    pub now: u64,
}

impl Front {
    /// A front in service: four servers listed and known to be up.
    pub fn new(settings: Settings) -> Self {
        let mut front = Front::restarted(settings);
        front.adopt(1_000_000, 0);
        front.ended(1_000_000, 0, Outcome::Ok, true);
        front
    }

    /// A front that has just started and knows nothing but its cached list of four servers.
    pub fn restarted(settings: Settings) -> Self {
        Front::seeded(settings, 1)
    }

    /// The same with another seed.
    pub fn seeded(settings: Settings, seed: u64) -> Self {
        let all = (0..4).map(|n| entry(n, EndpointState::Ready, 0)).collect();
        Front::from_start(Policy::new(settings, seed), all)
    }

    /// The same with another cached list.
    pub fn with_list(settings: Settings, list: Vec<Endpoint>) -> Self {
        Front::from_start(Policy::new(settings, 1), list)
    }

    fn from_start(policy: Policy, list: Vec<Endpoint>) -> Self {
        let mut front = Front { policy, now: 100 * SECONDS };
        front.send(Event::EndpointsUpdated { kind: UpdateKind::Cached, endpoints: list });
        front
    }

    /// Hands over a session that plays already.
    pub fn adopt(&mut self, id: u64, server: u32) {
        let req = Request { deadline: Micros(0), ..request(id, 0) };
        self.send(Event::SessionAdopted { request: req, server: ServerId(server) });
    }

    pub fn send(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.policy.handle(Micros(self.now), event, &mut out);
        out
    }

    pub fn request(&mut self, id: u64) -> Vec<Action> {
        let req = request(id, self.now);
        self.send(Event::Request(req))
    }

    pub fn started(&mut self, id: u64, server: u32) -> Vec<Action> {
        let (session, server) = (SessionId(id), ServerId(server));
        self.send(Event::Started { session, attempt: Attempt(0), server, elapsed: Micros(80 * MILLIS) })
    }

    pub fn ended(&mut self, id: u64, server: u32, outcome: Outcome, closed: bool) -> Vec<Action> {
        self.send(Event::AttemptEnded {
            session: SessionId(id),
            attempt: Attempt(0),
            server: ServerId(server),
            outcome,
            is_final: closed,
            elapsed: Micros(10 * MILLIS),
            report: LoadReport::default(),
        })
    }

    pub fn update_endpoint(&mut self, n: u32, state: EndpointState, started: u64) -> Vec<Action> {
        self.send(Event::EndpointsUpdated {
            kind: UpdateKind::Delta,
            endpoints: vec![entry(n, state, started)],
        })
    }

    pub fn feedback(&mut self, server: u32, note: Feedback) {
        self.send(Event::FeedbackReceived {
            session: SessionId(0),
            server: ServerId(server),
            feedback: note,
        });
    }

    pub fn advance(&mut self, us: u64) {
        self.now += us;
    }

    pub fn tick(&mut self) -> Vec<Action> {
        self.send(Event::Timer(TimerToken(1)))
    }
}

/// Where a set-up goes, and until when.
pub fn set_up(actions: &[Action]) -> Option<(u32, u64)> {
    actions.iter().find_map(|a| match a {
        Action::StartAttempt { server, deadline: until, .. } => Some((server.0, until.0)),
        _ => None,
    })
}

pub fn set_ups(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::StartAttempt { .. })).count()
}

pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail(..)))
}

pub fn rung(actions: &[Action]) -> Option<u8> {
    actions.iter().rev().find_map(|a| match a {
        Action::SetRung { rung: r, .. } => Some(r.0),
        _ => None,
    })
}

/// Plays a session at once and gives its server and rung.
pub fn play(front: &mut Front, id: u64) -> Option<(u32, u8)> {
    let actions = front.request(id);
    let (server, _) = set_up(&actions)?;
    front.started(id, server);
    Some((server, rung(&actions).expect("a rung comes before the set-up")))
}
