//! A session controller with four media servers and three titles, driven with explicit inputs and times.
#![allow(dead_code)]

use std::sync::Arc;

use beechloft_session::SessionController;
use beechloft_session::api::*;
use beechloft_session::catalog::{EndpointUpdate, MediaServerEntry, TitleEntry};
use beechloft_session::io::*;

pub const MILLISECOND: u64 = 1_000;
pub const SECOND: u64 = 1_000_000;

pub fn settings() -> Settings {
    Settings {
        classes: vec![Class {
            latency_objective: Micros(800 * MILLISECOND),
            deadline: Micros(4 * SECOND),
            idempotency: Idempotency::Idempotent,
            utility: 1.0,
            rate_scale: 1.0,
            min_rung: Rung(0),
            max_rung: Rung(3),
            max_sessions_per_title: None,
            shared_rate_fraction: 1.0,
        }],
        max_streams_by_type: vec![20],
        ladder: BitrateLadder {
            rates_kb: vec![200.0, 450.0, 1_000.0, 2_000.0],
            utility: vec![0.2, 0.5, 0.75, 1.0],
            switch_cost_s: 0.5,
        },
        cells: 2,
        racks: 2,
        link_kb_per_weight: Some(10_000.0),
        mean_uplink_kb: Some(18_000.0),
        admission_limit: Some(1.2),
        front_count: 2,
        load_reporting: LoadReporting::InResponses,
        capabilities: Capabilities {
            max_attempts: 3,
            health_checks: false,
            cancel: true,
            max_retry_after: Some(Micros(500 * MILLISECOND)),
        },
        retry_budget: Some(RetryBudget { min_retries: 3.0, retry_ratio: 0.1, window: Micros(10 * SECOND) }),
        slow_start: SlowStart {
            warm_up: Micros(12 * SECOND),
            initial_fraction: 0.4,
            overload_factor: 2.5,
            overload_window: Micros(2 * SECOND),
        },
        over_quota_utility: 1.0,
        ..Settings::default()
    }
}

pub fn media_server(n: u32, state: EndpointState) -> MediaServerEntry {
    MediaServerEntry {
        id: ServerId(n),
        name: format!("box-{n}").into(),
        url: format!("127.0.0.1:{}", 9000 + n).into(),
        sip: (n < 2).then(|| format!("127.0.0.1:{}", 7000 + n).into()),
        state,
        rack: (n % 2) as u16,
        zone: ZoneId((n % 2) as u16),
        kind: ServerType(0),
        started: Micros(0),
        size: 1.0,
    }
}

pub fn title_entry(name: &str, holders: impl IntoIterator<Item = u32>) -> TitleEntry {
    TitleEntry {
        name: name.into(),
        class: ClassId(0),
        tenant: TenantId(0),
        holders: holders.into_iter().map(ServerId).collect(),
        length: None,
    }
}

/// Returns a complete list of four media servers. No media server holds `title-2`.
pub fn snapshot(cached: bool) -> EndpointUpdate {
    let servers = (0..4).map(|n| media_server(n, EndpointState::Ready)).collect();
    let titles =
        vec![title_entry("title-0", 0..4), title_entry("title-1", [1, 3]), title_entry("title-2", [])];
    EndpointUpdate::Snapshot { cached, servers, titles }
}

pub fn change(servers: Vec<MediaServerEntry>) -> EndpointUpdate {
    EndpointUpdate::Change { servers, titles: vec![], removed: vec![] }
}

/// Returns one of several valid and faulty updates of the endpoint list.
pub fn endpoint_update(n: u8) -> EndpointUpdate {
    match n {
        0 => change(vec![media_server(1, EndpointState::Draining)]),
        1 => change(vec![media_server(1, EndpointState::Ready)]),
        2 => change(vec![media_server(2, EndpointState::Removed)]),
        3 => change(vec![media_server(2, EndpointState::Ready), media_server(2, EndpointState::Draining)]),
        4 => EndpointUpdate::Failed,
        5 => EndpointUpdate::Snapshot { cached: false, servers: vec![], titles: vec![] },
        _ => snapshot(false),
    }
}

pub fn session_request(n: u64, title: &str) -> SessionRequest {
    SessionRequest {
        request: RequestId(n),
        session: SessionId(n),
        secret: Secret(n * 7),
        title: title.into(),
        protocol: Protocol::Whep,
        max_rate_kb: None,
        idempotency_key: None,
    }
}

pub struct Front {
    pub controller: SessionController,
    pub now: u64,
    /// All outputs so far with their times, as text.
    pub output_log: Vec<String>,
}

impl Front {
    /// Creates a front that has known its endpoint list for longer than its media servers warm up.
    pub fn new(seed: u64) -> Self {
        Front::with(settings(), seed)
    }

    pub fn with(settings: Settings, seed: u64) -> Self {
        let mut front = Front {
            controller: SessionController::new(settings, seed),
            now: 100 * SECOND,
            output_log: Vec::new(),
        };
        front.input(Input::Endpoints(snapshot(true)));
        front.now += 20 * SECOND;
        front.input(Input::Endpoints(snapshot(false)));
        front
    }

    pub fn input(&mut self, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.controller.handle(Micros(self.now), input, &mut outputs);
        self.output_log.extend(outputs.iter().map(|output| format!("{} {output:?}", self.now)));
        outputs
    }

    pub fn request(&mut self, n: u64, title: &str) -> Vec<Output> {
        self.input(Input::Request(session_request(n, title)))
    }

    pub fn attempt_ended(
        &mut self,
        attempt: AttemptId,
        server: ServerId,
        result: AttemptResult,
    ) -> Vec<Output> {
        let sent_at = Micros(self.now);
        self.input(Input::AttemptEnded { attempt, server, result, sent_at, load: LoadReport::default() })
    }

    pub fn accept(&mut self, attempt: AttemptId, server: ServerId) -> Vec<Output> {
        let resource = format!("/r/{}-{}", attempt.session.0, attempt.number);
        self.attempt_ended(attempt, server, AttemptResult::Accepted { resource, reply: Arc::default() })
    }

    /// Requests a title, lets the first media server accept it and returns that media server.
    pub fn play(&mut self, n: u64, title: &str) -> ServerId {
        let (attempt, server, _) = set_up(&self.request(n, title)).expect("a set-up");
        self.accept(attempt, server);
        server
    }
}

/// Returns the attempt, media server and deadline of the first set-up among outputs.
pub fn set_up(outputs: &[Output]) -> Option<(AttemptId, ServerId, u64)> {
    outputs.iter().find_map(|output| match output {
        Output::SetUp { attempt, server, deadline, .. } => Some((*attempt, *server, deadline.0)),
        _ => None,
    })
}

/// Returns the answers among outputs.
pub fn answers(outputs: &[Output]) -> Vec<&Answer> {
    outputs
        .iter()
        .filter_map(|output| if let Output::Reply(_, answer) = output { Some(answer) } else { None })
        .collect()
}

/// Returns the paths of the sessions that are released among outputs.
pub fn released_resources(outputs: &[Output]) -> Vec<&str> {
    let mut paths = Vec::new();
    for output in outputs {
        if let Output::Release { resource, .. } = output {
            paths.push(resource.as_str());
        }
    }
    paths
}
