//! A small driver for the module's tests: settings, servers, and a front that only records.
#![allow(dead_code)]

use beechloft::api::*;
use beechloft::policy::Policy;

pub const MS: u64 = 1_000;
pub const S: u64 = 1_000_000;

pub fn settings() -> Settings {
    Settings {
        classes: vec![class(Effect::Repeatable)],
        tenants: vec![],
        kind_streams: vec![20],
        ladder: Ladder {
            rates_kb: vec![200.0, 450.0, 1_000.0, 2_000.0],
            worth: vec![0.2, 0.5, 0.75, 1.0],
            change_cost_s: 0.5,
        },
        cells: 4,
        racks: 2,
        all_links_kb: Some(40_000.0),
        link_unit_kb: Some(10_000.0),
        uplink_kb: Some(18_000.0),
        guard: Some(1.2),
        note_delay: Micros(S),
        fronts: 2,
        number: 0,
        zone: ZoneId(0),
        reporting: Reporting::InAnswers,
        sizes: Sizes::Silent,
        discovery: Discovery::Push,
        limits: Limits { max_attempts: 4, probes: false, cancel: true, retry_after: Some(Micros(500 * MS)) },
        budget: None,
        cold: ColdRule { warm_after: Micros(12 * S), from: 0.4, multiple: 2.5, span: Micros(2 * S) },
        probe_price: 0.01,
        move_price: 0.1,
        over_share_worth: 1.0,
    }
}

pub fn class(effect: Effect) -> Class {
    Class {
        aim: Micros(800 * MS),
        deadline: Micros(4 * S),
        effect,
        worth: 1.0,
        scale: 1.0,
        floor: Rung(0),
        top: Rung(3),
        seats: None,
        join: 1.0,
    }
}

/// Server `n` stands in cell `n` of four, zone `n` mod 2.
pub fn entry(n: u32, state: ServerState, started: u64) -> ServerEntry {
    ServerEntry {
        server: ServerId(n),
        state,
        cell: CellId((n % 4) as u16),
        zone: ZoneId((n % 2) as u16),
        kind: KindId(0),
        started: Micros(started),
        size: 1.0,
    }
}

pub fn request(id: u64, now: u64) -> Request {
    Request {
        session: SessionId(id),
        title: TitleId(7),
        holders: 4,
        top: Rung(3),
        gives_up: Micros(now + 4 * S),
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
        let mut front = Front::started_anew(settings);
        front.hand_over(1_000_000, 0);
        front.ended(1_000_000, 0, Outcome::Ok, true);
        front
    }

    /// A front that has just started and knows nothing but its cached list of four servers.
    pub fn started_anew(settings: Settings) -> Self {
        Front::seeded(settings, 1)
    }

    /// The same with another seed.
    pub fn seeded(settings: Settings, seed: u64) -> Self {
        let all = (0..4).map(|n| entry(n, ServerState::Ready, 0)).collect();
        Front::from_start(Policy::new(settings, seed), all)
    }

    /// The same with another cached list.
    pub fn with_list(settings: Settings, list: Vec<ServerEntry>) -> Self {
        Front::from_start(Policy::new(settings, 1), list)
    }

    fn from_start(policy: Policy, list: Vec<ServerEntry>) -> Self {
        let mut front = Front { policy, now: 100 * S };
        front.send(Event::Servers(ListForm::Cached, list));
        front
    }

    /// Hands over a session that plays already.
    pub fn hand_over(&mut self, id: u64, server: u32) {
        let req = Request { gives_up: Micros(0), ..request(id, 0) };
        self.send(Event::HandedOver(req, ServerId(server)));
    }

    pub fn send(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.policy.handle(Micros(self.now), event, &mut out);
        out
    }

    pub fn ask(&mut self, id: u64) -> Vec<Action> {
        let req = request(id, self.now);
        self.send(Event::Request(req))
    }

    pub fn started(&mut self, id: u64, server: u32) -> Vec<Action> {
        let (session, server) = (SessionId(id), ServerId(server));
        self.send(Event::Started { session, attempt: Attempt(0), server, took: Micros(80 * MS) })
    }

    pub fn ended(&mut self, id: u64, server: u32, outcome: Outcome, closed: bool) -> Vec<Action> {
        self.send(Event::Ended {
            session: SessionId(id),
            attempt: Attempt(0),
            server: ServerId(server),
            outcome,
            closed,
            took: Micros(10 * MS),
            report: LoadReport::default(),
        })
    }

    pub fn list(&mut self, n: u32, state: ServerState, started: u64) -> Vec<Action> {
        self.send(Event::Servers(ListForm::Delta, vec![entry(n, state, started)]))
    }

    pub fn note(&mut self, server: u32, note: Note) {
        self.send(Event::Noted { session: SessionId(0), server: ServerId(server), note });
    }

    pub fn wait(&mut self, us: u64) {
        self.now += us;
    }

    pub fn tick(&mut self) -> Vec<Action> {
        self.send(Event::Timer(TimerToken(1)))
    }
}

/// Where a set-up goes, and until when.
pub fn set_up(actions: &[Action]) -> Option<(u32, u64)> {
    actions.iter().find_map(|a| match a {
        Action::SetUp(_, server, until) => Some((server.0, until.0)),
        _ => None,
    })
}

pub fn set_ups(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::SetUp(..))).count()
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse(..)))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail(..)))
}

pub fn rung(actions: &[Action]) -> Option<u8> {
    actions.iter().rev().find_map(|a| match a {
        Action::SetRung(_, r) => Some(r.0),
        _ => None,
    })
}
