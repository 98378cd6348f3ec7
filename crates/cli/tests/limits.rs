//! Fleet-wide quotas with coordinator and fronts as processes and simulated media servers, which count the sessions that play.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]

mod support;

use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use beechloft_checker::Recorder;
use beechloft_fakes::dice::Dice;
use beechloft_fakes::fleet::{Fleet as MediaServers, FleetBox, FleetSpec, TitleSpec};
use beechloft_fakes::media;
use beechloft_fakes::player::{self, Playing, Wish};
use rustix::process::Signal;
use support::keepers::Fleet;
use support::{Process, beechloft, reserve_addresses, wait_until};

/// Limit of the quota on sessions.
const LIMIT: usize = 40;
const FRONTS: usize = 3;

/// Session that its player keeps alive until a given time.
struct ActiveSession {
    playing: Playing,
    front: usize,
    ends_at: Instant,
}

/// State that the test shares with its threads.
struct Shared {
    media_servers: MediaServers,
    recorder: Recorder,
    sessions: Mutex<Vec<ActiveSession>>,
    /// Whether new sessions are requested, for each front.
    has_demand: Vec<AtomicBool>,
    stop: AtomicBool,
    /// Maximum number of sessions that played at once.
    max_sessions: AtomicUsize,
    /// Status and body of each refusal.
    refusals: Mutex<Vec<(u16, String)>>,
}

/// Coordinator, fronts, media servers and the threads of the players.
struct Fixture {
    coordinator: Fleet,
    fronts: Vec<Option<Process>>,
    listens: Vec<SocketAddr>,
    shared: Arc<Shared>,
    threads: Vec<thread::JoinHandle<()>>,
}

/// Four media servers, which all have the only title.
fn spec() -> FleetSpec {
    let media_server = |n: u16| FleetBox {
        rack: n % 2,
        zone: "a".into(),
        kind: "small".into(),
        size: 1.0,
        link_kb: 200_000.0,
        streams: 200,
        cores: 8,
    };
    FleetSpec {
        boxes: (0..4).map(media_server).collect(),
        uplinks_kb: vec![1e6, 1e6],
        titles: vec![TitleSpec {
            name: "all".into(),
            class: "video".into(),
            rates_kb: vec![200.0],
            holders: (1..=4).collect(),
        }],
        set_up: Duration::from_millis(5),
        guard: 0.0,
        warming: None,
        seed: 5,
    }
}

impl Fixture {
    fn new() -> Fixture {
        let recorder = Recorder::default();
        let shared = Arc::new(Shared {
            media_servers: MediaServers::start(&spec(), &recorder).expect("start the media servers"),
            recorder,
            sessions: Mutex::default(),
            has_demand: (0..FRONTS).map(|_| AtomicBool::new(false)).collect(),
            stop: AtomicBool::new(false),
            max_sessions: AtomicUsize::new(0),
            refusals: Mutex::default(),
        });
        let mut fixture = Fixture {
            coordinator: Fleet::new(3),
            fronts: Vec::new(),
            listens: reserve_addresses(FRONTS),
            shared,
            threads: Vec::new(),
        };
        fixture.coordinator.leader(3);
        for n in 0..FRONTS {
            fixture.fronts.push(None);
            fixture.start(n);
            for seed in 0..4 {
                let (shared, front) = (Arc::clone(&fixture.shared), fixture.listens[n]);
                fixture
                    .threads
                    .push(thread::spawn(move || shared.request_sessions(n, front, 10 * n as u64 + seed)));
            }
        }
        for task in [Shared::send_consents as fn(&Shared), Shared::track_max_sessions] {
            let shared = Arc::clone(&fixture.shared);
            fixture.threads.push(thread::spawn(move || task(&shared)));
        }
        fixture
    }

    /// Writes the settings file of a front.
    fn write_settings(&self, n: usize) -> PathBuf {
        let replicas: Vec<String> =
            self.coordinator.addresses.iter().map(|address| format!("'{address}'")).collect();
        let text = format!(
            "service:\n  zones: [a]\n  racks: 2\n  ladder:\n    - {{rate_kb: 200, worth: 1}}\n  classes:\n    \
             - {{name: video, aim_ms: 800, patience_ms: 4000}}\n  kinds:\n    - {{name: small, streams: 200}}\n  \
             limits: {{attempts: 3, retry_after_ms: 500}}\nfront:\n  listen: {}\n  seed: {n}\nlist:\n  url: {}\nfleet:\n  \
             name: test\n  keepers: [{}]\n  drift_ppm: 20000\n  test_clock_rate: {}\n  limits:\n    fronts: 4\n    \
             ttl_ms: 1500\n    settle_ms: 1000\n    list:\n      - {{name: plays, counts: sessions, of: all, \
             limit: {LIMIT}, kind: hard, least: 1, longest_s: 600}}\n",
            self.listens[n],
            self.shared.media_servers.list.url(),
            replicas.join(", "),
            0.99 + 0.01 * n as f64,
        );
        let path = self.coordinator.dir.path().join(format!("front{n}.yaml"));
        std::fs::write(&path, text).expect("write the settings");
        path
    }

    /// Starts a front.
    fn start(&mut self, n: usize) {
        let file = self.write_settings(n);
        self.fronts[n] = Some(Process::start(beechloft().arg("serve").arg(file).stderr(Stdio::null())));
    }

    /// Sets whether new sessions are requested at a front.
    fn set_demand(&self, n: usize, has_demand: bool) {
        self.shared.has_demand[n].store(has_demand, Ordering::SeqCst);
    }

    /// Number of sessions that play.
    fn session_count(&self) -> usize {
        self.shared.media_servers.sessions()
    }

    /// Waits until at least 90% of the limit is in use.
    fn wait_until_full(&self, when: &str) -> Duration {
        let threshold = LIMIT - LIMIT / 10;
        wait_until(|| {
            if self.session_count() >= threshold {
                Ok(())
            } else {
                Err(format!("{when}: {} sessions", self.session_count()))
            }
        })
    }

    /// Ends all sessions of a front, as their players leave.
    fn end_sessions(&self, front: usize) {
        let now = Instant::now();
        let mut sessions = self.shared.sessions.lock().expect("lock the sessions");
        sessions
            .iter_mut()
            .filter(|session| session.front == front)
            .for_each(|session| session.ends_at = now);
    }

    /// Asserts that the number of sessions has never exceeded the limit.
    fn assert_never_over_limit(&self) {
        let max = self.shared.max_sessions.load(Ordering::SeqCst);
        assert!(max <= LIMIT, "{max} concurrent sessions exceed the limit of {LIMIT}");
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Shared {
    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }

    /// Requests sessions at one front, one after another, while it has demand.
    fn request_sessions(&self, n: usize, front: SocketAddr, seed: u64) {
        let mut dice = Dice::new(100 + seed);
        while !self.is_stopped() {
            if !self.has_demand[n].load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(10));
                continue;
            }
            let wish = Wish { patience: Duration::from_secs(2), ..Wish::new(front, n as u32, "all") };
            let attempt = player::ask(&wish, &mut dice, &self.recorder);
            if let Some(playing) = attempt.playing {
                let ends_at = Instant::now() + Duration::from_millis(4_000 + 1_000 * (seed % 4));
                self.sessions.lock().expect("lock the sessions").push(ActiveSession {
                    playing,
                    front: n,
                    ends_at,
                });
            } else {
                if let Some(response) = &attempt.response {
                    let text = String::from_utf8_lossy(&response.body).into_owned();
                    self.refusals.lock().expect("lock the refusals").push((response.status.as_u16(), text));
                }
                thread::sleep(Duration::from_millis(30));
            }
        }
    }

    /// Keeps sessions alive until their end.
    fn send_consents(&self) {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("bind a socket");
        while !self.is_stopped() {
            let now = Instant::now();
            let mut sessions = self.sessions.lock().expect("lock the sessions");
            sessions.retain(|session| session.ends_at > now);
            for session in sessions.iter() {
                let _ = socket.send_to(&media::consent(&session.playing.name), session.playing.media);
            }
            drop(sessions);
            thread::sleep(Duration::from_millis(media::EVERY_MS));
        }
    }

    /// Tracks the maximum number of sessions.
    fn track_max_sessions(&self) {
        while !self.is_stopped() {
            self.max_sessions.fetch_max(self.media_servers.sessions(), Ordering::SeqCst);
            thread::sleep(Duration::from_millis(2));
        }
    }
}

#[test]
fn sessions_of_killed_front_count_until_media_servers_report_their_end() {
    let mut fixture = Fixture::new();
    fixture.set_demand(0, true);
    let elapsed = fixture.wait_until_full("demand at one front");
    println!("one front of three has nearly the whole limit after {elapsed:?}");
    // The sessions of the killed front continue.
    let far = Instant::now() + Duration::from_secs(300);
    fixture.set_demand(0, false);
    fixture
        .shared
        .sessions
        .lock()
        .expect("lock the sessions")
        .iter_mut()
        .for_each(|session| session.ends_at = far);
    fixture.fronts[0] = None;
    let killed = Instant::now();
    (1..FRONTS).for_each(|n| fixture.set_demand(n, true));
    // The time covers the expiry of the front's quota account, its last set-ups, and later queries of the media servers.
    while killed.elapsed() < Duration::from_secs(6) {
        fixture.assert_never_over_limit();
        thread::sleep(Duration::from_millis(50));
    }
    fixture.wait_until_full("after the loss of a front");
    let left = fixture
        .shared
        .sessions
        .lock()
        .expect("lock the sessions")
        .iter()
        .filter(|session| session.front == 0)
        .count();
    assert!(left >= LIMIT / 2, "only {left} sessions of the lost front continue");
    // The players of the lost front leave without notice to any front. The fronts query the media servers, and the quota becomes
    // available to the other fronts.
    fixture.end_sessions(0);
    let count_of_others = || {
        fixture
            .shared
            .sessions
            .lock()
            .expect("lock the sessions")
            .iter()
            .filter(|session| session.front != 0)
            .count()
    };
    let elapsed = wait_until(|| {
        let count = count_of_others();
        if count >= LIMIT - LIMIT / 10 { Ok(()) } else { Err(format!("{count} sessions of other fronts")) }
    });
    println!("other fronts use the quota {elapsed:?} after the players left");
    fixture.assert_never_over_limit();
    let refusals = fixture.shared.refusals.lock().expect("lock the refusals");
    let named = refusals
        .iter()
        .filter(|(status, text)| *status == 503 && text.contains("\"limit\":\"plays\""))
        .count();
    assert!(
        named > 0 && named * 10 >= refusals.len() * 9,
        "{named} of {} refusals name the limit",
        refusals.len()
    );
}

#[test]
fn limit_holds_with_stopped_front_and_killed_leader() {
    let mut fixture = Fixture::new();
    (0..FRONTS).for_each(|n| fixture.set_demand(n, true));
    fixture.wait_until_full("three fronts");
    let front = fixture.fronts[1].as_ref().expect("running front");
    front.signal(Signal::STOP);
    thread::sleep(Duration::from_secs(4));
    front.signal(Signal::CONT);
    fixture.wait_until_full("after a stop");
    fixture.assert_never_over_limit();
    let leader = fixture.coordinator.leader(3);
    fixture.coordinator.kill(leader);
    fixture.wait_until_full("without one replica");
    thread::sleep(Duration::from_secs(2));
    fixture.assert_never_over_limit();
    fixture.coordinator.start(leader);
    // A front stops on SIGTERM and is restarted.
    fixture.fronts[2].as_ref().expect("running front").signal(Signal::TERM);
    thread::sleep(Duration::from_secs(2));
    fixture.fronts[2] = None;
    fixture.start(2);
    fixture.wait_until_full("after a restart");
    fixture.assert_never_over_limit();
}
