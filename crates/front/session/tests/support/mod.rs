//! A front of four boxes and three titles, driven by hand.
#![allow(dead_code)]

use std::sync::Arc;

use beechloft_session::Core;
use beechloft_session::api::*;
use beechloft_session::catalog::{BoxLine, ListUpdate, TitleLine};
use beechloft_session::io::*;

pub const MS: u64 = 1_000;
pub const S: u64 = 1_000_000;

pub fn settings() -> Settings {
    Settings {
        classes: vec![Class {
            latency_objective: Micros(800 * MS),
            deadline: Micros(4 * S),
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
            max_retry_after: Some(Micros(500 * MS)),
        },
        retry_budget: Some(RetryBudget { min_retries: 3.0, retry_ratio: 0.1, window: Micros(10 * S) }),
        slow_start: SlowStart {
            warm_up: Micros(12 * S),
            initial_fraction: 0.4,
            overload_factor: 2.5,
            overload_window: Micros(2 * S),
        },
        over_quota_utility: 1.0,
        ..Settings::default()
    }
}

pub fn line(n: u32, state: EndpointState) -> BoxLine {
    BoxLine {
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

pub fn title(name: &str, holders: impl IntoIterator<Item = u32>) -> TitleLine {
    TitleLine {
        name: name.into(),
        class: ClassId(0),
        tenant: TenantId(0),
        holders: holders.into_iter().map(ServerId).collect(),
        length: None,
    }
}

/// All four boxes; `title-2` lies nowhere.
pub fn snapshot(cached: bool) -> ListUpdate {
    let boxes = (0..4).map(|n| line(n, EndpointState::Ready)).collect();
    let titles = vec![title("title-0", 0..4), title("title-1", [1, 3]), title("title-2", [])];
    ListUpdate::Snapshot { cached, boxes, titles }
}

pub fn change(boxes: Vec<BoxLine>) -> ListUpdate {
    ListUpdate::Change { boxes, titles: vec![], gone: vec![] }
}

pub fn list_change(n: u8) -> ListUpdate {
    match n {
        0 => change(vec![line(1, EndpointState::Draining)]),
        1 => change(vec![line(1, EndpointState::Ready)]),
        2 => change(vec![line(2, EndpointState::Removed)]),
        3 => change(vec![line(2, EndpointState::Ready), line(2, EndpointState::Draining)]),
        4 => ListUpdate::Failed,
        5 => ListUpdate::Snapshot { cached: false, boxes: vec![], titles: vec![] },
        _ => snapshot(false),
    }
}

pub fn ask(n: u64, title: &str) -> Ask {
    Ask {
        request: RequestId(n),
        session: SessionId(n),
        secret: Secret(n * 7),
        title: title.into(),
        protocol: Protocol::Whep,
        max_rate_kb: None,
        repeat: None,
    }
}

pub struct Front {
    pub core: Core,
    pub now: u64,
    /// All outputs so far, as text.
    pub log: Vec<String>,
}

impl Front {
    /// In service: its list is known, and long enough for its boxes to be warm.
    pub fn new(seed: u64) -> Self {
        Front::with(settings(), seed)
    }

    pub fn with(settings: Settings, seed: u64) -> Self {
        let mut front = Front { core: Core::new(settings, seed), now: 100 * S, log: Vec::new() };
        front.input(Input::List(snapshot(true)));
        front.now += 20 * S;
        front.input(Input::List(snapshot(false)));
        front
    }

    pub fn input(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.core.handle(Micros(self.now), input, &mut out);
        self.log.extend(out.iter().map(|o| format!("{} {o:?}", self.now)));
        out
    }

    pub fn ask(&mut self, n: u64, title: &str) -> Vec<Output> {
        self.input(Input::Ask(ask(n, title)))
    }

    pub fn verdict(&mut self, attempt: AttemptId, server: ServerId, verdict: Verdict) -> Vec<Output> {
        let sent = Micros(self.now);
        self.input(Input::Verdict { attempt, server, verdict, sent, load: LoadReport::default() })
    }

    pub fn accept(&mut self, attempt: AttemptId, server: ServerId) -> Vec<Output> {
        let resource = format!("/r/{}-{}", attempt.session.0, attempt.number);
        self.verdict(attempt, server, Verdict::Accepted { resource, reply: Arc::default() })
    }

    /// Asks for a title and has its first box take it.
    pub fn play(&mut self, n: u64, title: &str) -> ServerId {
        let (attempt, server, _) = set_up(&self.ask(n, title)).expect("a set-up");
        self.accept(attempt, server);
        server
    }
}

/// The first set-up among outputs: attempt, box, when it is dropped.
pub fn set_up(outputs: &[Output]) -> Option<(AttemptId, ServerId, u64)> {
    outputs.iter().find_map(|o| match o {
        Output::SetUp { attempt, server, until, .. } => Some((*attempt, *server, until.0)),
        _ => None,
    })
}

/// The replies among outputs.
pub fn replies(outputs: &[Output]) -> Vec<&Answer> {
    outputs.iter().filter_map(|o| if let Output::Reply(_, a) = o { Some(a) } else { None }).collect()
}

/// Paths released among outputs.
pub fn released(outputs: &[Output]) -> Vec<&str> {
    let mut paths = Vec::new();
    for output in outputs {
        if let Output::Release { resource, .. } = output {
            paths.push(resource.as_str());
        }
    }
    paths
}
