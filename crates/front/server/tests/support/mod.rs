//! A front in the test process with a fleet of simulated media servers, whose observations are checked against the rules.
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

/// Returns a fleet in which all media servers hold the title `all`, the first holds `one`, the first two hold `pair` and
/// none holds `none`.
pub fn fleet_spec(media_servers: u32) -> FleetSpec {
    let title = |name: &str, holders: Vec<u32>| TitleSpec {
        name: name.into(),
        class: "video".into(),
        rates_kb: RATES.to_vec(),
        holders: holders.into_iter().collect(),
    };
    FleetSpec {
        boxes: (0..media_servers)
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
            title("all", (1..=media_servers).collect()),
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

/// Returns settings with the given source of the endpoint list and further sections.
pub fn settings(list: &str, more_sections: &str) -> FrontSettings {
    let text = format!(
        "service:\n  zones: [a]\n  racks: 2\n  ladder:\n    - {{rate_kb: 200, worth: 0.2}}\n    - {{rate_kb: 450, worth: 0.6}}\n    \
         - {{rate_kb: 1000, worth: 1}}\n  classes:\n    - {{name: video, aim_ms: 800, patience_ms: 4000}}\n  kinds:\n    \
         - {{name: small, streams: 100}}\n  links: {{unit_kb: 20000, guard: 1.2}}\n  limits: {{attempts: 3, retry_after_ms: 500}}\n\
         front:\n  listen: 127.0.0.1:0\n  seed: 7\nlist:\n  {list}\n{more_sections}"
    );
    front::parse(&text).unwrap_or_else(|error| panic!("{error}\n{text}"))
}

/// Starts a fleet and a front with SIP, which knows its endpoint list.
pub fn start_with_sip(media_servers: u32, recorder: &Recorder) -> (Fleet, Front) {
    let fleet = Fleet::start(&fleet_spec(media_servers), recorder).expect("a fleet");
    let mut settings = settings(&format!("url: {}", fleet.list.url()), "");
    settings.sip = Some("127.0.0.1:0".parse().expect("an address"));
    let front = Front::start(settings, None).expect("a front");
    until("the endpoint list is known", || front.status().media_servers == media_servers as usize);
    (fleet, front)
}

/// A running front with its fleet, and a player of its own.
pub struct Harness {
    pub recorder: Recorder,
    pub fleet: Fleet,
    pub front: Option<Front>,
    pub address: SocketAddr,
    pub dice: Dice,
    pub pool: Pool,
}

impl Harness {
    pub fn new(media_servers: u32) -> Harness {
        Harness::with(fleet_spec(media_servers), "")
    }

    pub fn with(spec: FleetSpec, more_sections: &str) -> Harness {
        let recorder = Recorder::default();
        let fleet = Fleet::start(&spec, &recorder).expect("a fleet");
        let front = Front::start(settings(&format!("url: {}", fleet.list.url()), more_sections), None)
            .expect("a front");
        let address = front.address();
        let harness = Harness {
            recorder,
            fleet,
            front: Some(front),
            address,
            dice: Dice::new(3),
            pool: Pool::default(),
        };
        let media_servers = harness.fleet.boxes().count();
        until("the endpoint list is known", || harness.front().status().media_servers == media_servers);
        harness
    }

    pub fn front(&self) -> &Front {
        self.front.as_ref().expect("the front runs")
    }

    /// Returns the request of a player for a title.
    pub fn request(&self, title: &str) -> Wish {
        Wish::new(self.address, 0, title)
    }

    /// Requests a title and returns how the request ended.
    pub fn request_session(&mut self, title: &str) -> Asked {
        let request = self.request(title);
        player::ask(&request, &mut self.dice, &self.recorder)
    }

    /// Requests a title, which must play.
    pub fn play(&mut self, title: &str) -> Playing {
        let requested = self.request_session(title);
        requested.playing.unwrap_or_else(|| panic!("{:?} {:?}", requested.ending, requested.response))
    }

    /// Requests a title and returns the HTTP status of the answer, or 0 if there was none.
    pub fn status(&mut self, title: &str) -> u16 {
        self.request_session(title).response.map_or(0, |response| response.status.as_u16())
    }

    /// Waits until the media servers run this many sessions.
    pub fn wait_for_sessions(&self, sessions: usize) {
        until("the media servers run the expected number of sessions", || self.fleet.sessions() == sessions);
    }

    /// Checks the recorded observations against the rules.
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

    /// Asserts that all rules were kept and no session is left.
    pub fn finish(self) -> Report {
        let report = self.report();
        assert!(report.kept(), "{report:#?}");
        report
    }
}

/// Waits until no session of the title `one` is set up any more, and checks that this is not for lack of capacity.
pub fn wait_until_draining_is_known(harness: &mut Harness) {
    until("sessions are rejected", || harness.status("one") == 503);
    harness.wait_for_sessions(0);
    assert_eq!(harness.status("one"), 503, "the draining state is not known");
}

/// Waits until a condition holds. Panics if it does not hold within 20 seconds.
pub fn until(condition: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(20);
    while !holds() {
        assert!(Instant::now() < deadline, "timed out: {condition}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Renews a session's media consent for a while, as players do, and returns the delivered fractions of the media.
pub fn watch(playing: &Playing, duration: Duration) -> Vec<f64> {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket.set_read_timeout(Some(Duration::from_millis(50))).expect("a socket");
    let end = Instant::now() + duration;
    let mut delivered_fractions = Vec::new();
    while Instant::now() < end {
        socket.send_to(&media::consent(&playing.name), playing.media).expect("sent");
        let mut buffer = [0; 256];
        if let Ok((length, _)) = socket.recv_from(&mut buffer) {
            delivered_fractions.extend(media::framed(&buffer[..length]).map(|frame| frame.1));
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    delivered_fractions
}
