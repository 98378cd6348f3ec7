//! A front in this process against a fleet of stand-ins, and the rules checked from what they saw.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use beechloft_checker::check::ClassRules;
use beechloft_checker::{Recorder, Report, Rules, check};
use beechloft_config::{FrontSettings, front};
use beechloft_fakes::dice::Dice;
use beechloft_fakes::fleet::{Fleet, FleetBox, FleetSpec, TitleSpec};
use beechloft_fakes::media;
use beechloft_fakes::player::{self, Asked, Playing, Wish};
use beechloft_http::client::Pool;
use beechloft_server::Front;

pub const RATES: [f64; 3] = [200.0, 450.0, 1000.0];

/// Titles: `all` lies on every box, `one` on box 1, `pair` on boxes 1 and 2, `none` nowhere.
pub fn fleet_spec(boxes: u32) -> FleetSpec {
    let title = |name: &str, holders: Vec<u32>| TitleSpec {
        name: name.into(),
        class: "video".into(),
        rates_kb: RATES.to_vec(),
        holders: holders.into_iter().collect(),
    };
    FleetSpec {
        boxes: (0..boxes)
            .map(|n| FleetBox {
                rack: (n % 2) as u16,
                zone: "a".into(),
                kind: "small".into(),
                size: 1.0,
                link_kb: 20_000.0,
                streams: 100,
                cores: 4,
            })
            .collect(),
        uplinks_kb: vec![1e6, 1e6],
        titles: vec![
            title("all", (1..=boxes).collect()),
            title("one", vec![1]),
            title("pair", vec![1, 2]),
            title("none", vec![]),
        ],
        set_up: Duration::from_millis(5),
        guard: 1.2,
        warming: None,
        seed: 5,
    }
}

pub fn settings(list: &str, more: &str) -> FrontSettings {
    let text = format!(
        "service:\n  zones: [a]\n  racks: 2\n  ladder:\n    - {{rate_kb: 200, worth: 0.2}}\n    - {{rate_kb: 450, worth: 0.6}}\n    \
         - {{rate_kb: 1000, worth: 1}}\n  classes:\n    - {{name: video, aim_ms: 800, patience_ms: 4000}}\n  kinds:\n    \
         - {{name: small, streams: 100}}\n  links: {{unit_kb: 20000, guard: 1.2}}\n  limits: {{attempts: 3, retry_after_ms: 500}}\n\
         front:\n  listen: 127.0.0.1:0\n  seed: 7\nlist:\n  {list}\n{more}"
    );
    front::parse(&text).unwrap_or_else(|e| panic!("{e}\n{text}"))
}

pub struct Rig {
    pub recorder: Recorder,
    pub fleet: Fleet,
    pub front: Option<Front>,
    pub address: SocketAddr,
    pub dice: Dice,
    pub pool: Pool,
}

impl Rig {
    pub fn new(boxes: u32) -> Rig {
        Rig::with(fleet_spec(boxes), "")
    }

    pub fn with(spec: FleetSpec, more: &str) -> Rig {
        let recorder = Recorder::default();
        let fleet = Fleet::start(&spec, &recorder).expect("a fleet");
        let front =
            Front::start(settings(&format!("url: {}", fleet.list.url()), more), None).expect("a front");
        let address = front.address();
        let rig =
            Rig { recorder, fleet, front: Some(front), address, dice: Dice::new(3), pool: Pool::default() };
        let boxes = rig.fleet.boxes().count();
        until("the list is known", || rig.front().status().media_servers == boxes);
        rig
    }

    pub fn front(&self) -> &Front {
        self.front.as_ref().expect("the front runs")
    }

    pub fn wish(&self, title: &str) -> Wish {
        Wish::new(self.address, 0, title)
    }

    pub fn ask(&mut self, title: &str) -> Asked {
        let wish = self.wish(title);
        player::ask(&wish, &mut self.dice, &self.recorder)
    }

    pub fn play(&mut self, title: &str) -> Playing {
        let asked = self.ask(title);
        asked.playing.unwrap_or_else(|| panic!("{:?} {:?}", asked.ending, asked.response))
    }

    pub fn status(&mut self, title: &str) -> u16 {
        self.ask(title).response.map_or(0, |r| r.status.as_u16())
    }

    /// Waits until the boxes run this many sessions.
    pub fn settle(&self, sessions: usize) {
        until("the boxes' sessions settle", || self.fleet.sessions() == sessions);
    }

    /// The rules, from what was seen; all sessions must be gone.
    pub fn report(&self) -> Report {
        let rules = Rules {
            titles: BTreeMap::new(),
            classes: vec![ClassRules::default()],
            drain_grace_us: 1_000_000,
            cold: None,
            budget: None,
        };
        check(&self.recorder.trace(), &rules)
    }

    /// Checks that all rules were kept and nothing is left anywhere.
    pub fn finish(self) -> Report {
        let report = self.report();
        assert!(report.kept(), "{report:#?}");
        report
    }
}

/// Waits for something that must come about.
pub fn until(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !done() {
        assert!(Instant::now() < end, "in vain: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Consents to a session's media for a while, as players do; parts delivered, as told.
pub fn watch(playing: &Playing, time: Duration) -> Vec<f64> {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket.set_read_timeout(Some(Duration::from_millis(50))).expect("a socket");
    let end = Instant::now() + time;
    let mut shares = Vec::new();
    while Instant::now() < end {
        socket.send_to(&media::consent(&playing.name), playing.media).expect("sent");
        let mut buf = [0; 256];
        if let Ok((n, _)) = socket.recv_from(&mut buf) {
            shares.extend(media::framed(&buf[..n]).map(|f| f.1));
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    shares
}
