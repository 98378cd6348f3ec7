//! Verdicts shared by fronts as real processes: 3 keepers, 8 fronts in 3 zones, 6 stand-in boxes, relays. What is judged here is what boxes
//! and players saw, not what fronts say of themselves.
// Counts of a test are small.
#![allow(clippy::cast_possible_truncation)]

mod support;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use beechloft_checker::Recorder;
use beechloft_checker::trace::{Seen, What};
use beechloft_fakes::dice::Dice;
use beechloft_fakes::fault::Fault;
use beechloft_fakes::fleet::{Fleet, FleetBox, FleetSpec, TitleSpec};
use beechloft_fakes::player::{self, Wish};
use beechloft_fault_proxy::udp::{self, DatagramFault};
use beechloft_fault_proxy::{LinkFault, TcpProxy};
use beechloft_http::client::Pool;
use support::{Process, beechloft, reserve_addresses, wait_until};

const KEEPERS: usize = 3;
const FRONTS: usize = 8;
const BOXES: u32 = 6;
/// So that three boxes are used to three quarters by all sessions: unused ones are wanted.
const LINK_KB: f64 = 8_000.0;
/// How long a session plays.
const PLAYS: Duration = Duration::from_millis(1_100);
const ZONES: [&str; 3] = ["a", "b", "c"];
const SECOND: Duration = Duration::from_secs(1);
/// Shorter than by default, so that a test sees a way back: evidence 6 s, first trial after 10 s.
const SHARED: &str = "  most_fronts: 16\n  verdicts: {window_ms: 6000, fresh_ms: 5000, quiet_ms: 10000, hold_ms: 40000, trial_gap_ms: 3000, \
                      step_ms: 2000, slow_ms: 400";

/// Titles, each at two boxes, one of which stays sound: so all fronts need boxes of all zones.
fn titles() -> Vec<(String, [u32; 2])> {
    let pairs = (1..=BOXES).flat_map(|a| (4..=BOXES).filter(move |b| a < *b).map(move |b| [a, b]));
    pairs.map(|pair| (format!("t-{}-{}", pair[0], pair[1]), pair)).collect()
}

fn zone(n: usize) -> &'static str {
    ZONES[n % 3]
}

/// Boxes count from 1; two in each zone.
fn zone_of_box(id: u32) -> &'static str {
    zone(id as usize - 1)
}

struct Rig {
    dir: tempfile::TempDir,
    recorder: Recorder,
    boxes: Arc<Fleet>,
    keepers: Vec<SocketAddr>,
    members: Vec<SocketAddr>,
    listens: Vec<SocketAddr>,
    processes: Vec<Process>,
    to_boxes: BTreeMap<(usize, u32), TcpProxy>,
    to_fronts: BTreeMap<(usize, usize), udp::UdpProxy>,
    end: Arc<AtomicBool>,
    players: Vec<JoinHandle<()>>,
}

impl Rig {
    fn new(shared: bool, liar: Option<usize>, relays: bool) -> Rig {
        let recorder = Recorder::default();
        let spec = FleetSpec {
            boxes: (1..=BOXES)
                .map(|id| FleetBox {
                    rack: 0,
                    zone: zone_of_box(id).into(),
                    kind: "small".into(),
                    size: 1.0,
                    link_kb: LINK_KB,
                    streams: 100,
                    cores: 8,
                })
                .collect(),
            uplinks_kb: vec![1e6],
            titles: titles()
                .into_iter()
                .map(|(name, holders)| TitleSpec {
                    name,
                    class: "video".into(),
                    rates_kb: vec![200.0],
                    holders: holders.into_iter().collect(),
                })
                .collect(),
            set_up: Duration::from_millis(5),
            guard: 1.2,
            warming: None,
            seed: 5,
        };
        let boxes = Arc::new(Fleet::start(&spec, &recorder).expect("boxes"));
        let mut all = reserve_addresses(KEEPERS + 2 * FRONTS);
        let (listens, members) = (all.split_off(KEEPERS + FRONTS), all.split_off(KEEPERS));
        let mut rig = Rig {
            dir: tempfile::tempdir().expect("a folder"),
            recorder,
            boxes,
            keepers: all,
            members,
            listens,
            processes: Vec::new(),
            to_boxes: BTreeMap::new(),
            to_fronts: BTreeMap::new(),
            end: Arc::default(),
            players: Vec::new(),
        };
        if relays {
            rig.relay();
        }
        for n in 0..KEEPERS {
            let file = rig.keeper(n);
            rig.start("keeper", &file, &format!("k{n}"));
        }
        for n in 0..FRONTS {
            let file = rig.front(n, shared, liar == Some(n));
            rig.start("serve", &file, &format!("f{n}"));
        }
        rig.wait_for_all();
        rig
    }

    /// Between fronts and what is in another zone.
    fn relay(&mut self) {
        for n in 0..FRONTS {
            for id in (1..=BOXES).filter(|id| zone_of_box(*id) != zone(n)) {
                let to = self.boxes.get(id).expect("a box").address();
                self.to_boxes.insert((n, id), TcpProxy::start(to).expect("a relay"));
            }
            for m in (0..FRONTS).filter(|m| zone(*m) != zone(n)) {
                self.to_fronts.insert((n, m), udp::UdpProxy::start(self.members[m], 1).expect("a relay"));
            }
        }
    }

    /// Nothing passes between a zone and the others, or everything does.
    fn cut(&self, cut: &str, is_cut: bool) {
        let concerned = |a: &str, b: &str| a == cut || b == cut;
        for ((n, id), relay) in &self.to_boxes {
            if concerned(zone(*n), zone_of_box(*id)) {
                relay.set_fault(if is_cut { LinkFault::partition() } else { LinkFault::default() });
                relay.close_connections();
            }
        }
        for ((n, m), relay) in &self.to_fronts {
            if concerned(zone(*n), zone(*m)) {
                relay.set_fault(udp::DatagramLinkFault::symmetric(if is_cut {
                    DatagramFault::drop_all()
                } else {
                    DatagramFault::default()
                }));
            }
        }
    }

    fn texts(all: &[SocketAddr]) -> String {
        all.iter().map(|a| format!("'{a}'")).collect::<Vec<_>>().join(", ")
    }

    fn keeper(&self, n: usize) -> std::path::PathBuf {
        let keepers = Rig::texts(&self.keepers);
        let (listen, store) = (self.keepers[n], self.dir.path().join(format!("store{n}")));
        let text = format!(
            "fleet:\n  name: test\n  listen: {listen}\n  keepers: [{keepers}]\n  store: {}\n  seeds: [{keepers}]\n  zones: [a, b, c]\n  \
             zone: {}\n",
            store.display(),
            zone(n)
        );
        self.write(&format!("k{n}"), &text)
    }

    fn write(&self, name: &str, text: &str) -> std::path::PathBuf {
        let path = self.dir.path().join(format!("{name}.yaml"));
        std::fs::write(&path, text).expect("written");
        path
    }

    fn front(&self, n: usize, shared: bool, lies: bool) -> std::path::PathBuf {
        let keepers = Rig::texts(&self.keepers);
        let mut text = format!(
            "fleet:\n  name: test\n  listen: {}\n  keepers: [{keepers}]\n  seeds: [{keepers}]\n  zone: {}\n",
            self.members[n],
            zone(n)
        );
        let via: Vec<String> = self
            .to_fronts
            .iter()
            .filter(|((from, _), _)| *from == n)
            .map(|((_, to), relay)| format!("'{}={}'", self.members[*to], relay.address()))
            .collect();
        if !via.is_empty() {
            let _ = writeln!(text, "  test_udp_via: [{}]", via.join(", "));
        }
        if shared {
            let _ = writeln!(text, "{SHARED}{}}}", if lies { ", test_lies: yes" } else { "" });
        }
        let _ = write!(
            text,
            "service:\n  zones: [a, b, c]\n  racks: 1\n  ladder:\n    - {{rate_kb: 200, worth: 1}}\n  classes:\n    - {{name: video, aim_ms: \
             2000, patience_ms: 6000}}\n  kinds:\n    - {{name: small, streams: 100}}\n  links: {{unit_kb: {LINK_KB}, guard: 1.2}}\n  limits: \
             {{attempts: 4, retry_after_ms: 500}}\nfront:\n  listen: {}\n  number: {n}\n  of: {FRONTS}\n  zone: {}\nlog:\n  level: info\nlist:\n  \
             boxes:\n",
            self.listens[n],
            zone(n)
        );
        for id in 1..=BOXES {
            let direct = self.boxes.get(id).expect("a box").address();
            let address = self.to_boxes.get(&(n, id)).map_or(direct, TcpProxy::address);
            let _ = writeln!(
                text,
                "    - {{id: {id}, name: box-{id}, address: \"{address}\", rack: 0, zone: {}, kind: small}}",
                zone_of_box(id)
            );
        }
        let _ = writeln!(text, "  titles:");
        for (name, [a, b]) in titles() {
            let _ = writeln!(
                text,
                "    - {{name: {name}, class: video, holders: [box-{a}, box-{b}], length_s: 40}}"
            );
        }
        self.write(&format!("f{n}"), &text)
    }

    fn start(&mut self, what: &str, file: &std::path::Path, name: &str) {
        let log = std::fs::File::create(self.dir.path().join(format!("{name}.log"))).expect("a file");
        let mut command = beechloft();
        command.arg(what).arg(file).stderr(log);
        self.processes.push(Process::start(&mut command));
    }

    fn log(&self, n: usize) -> String {
        std::fs::read_to_string(self.dir.path().join(format!("f{n}.log"))).unwrap_or_default()
    }

    /// All fronts see all processes, and take requests.
    fn wait_for_all(&self) {
        wait_until(|| {
            for n in 0..FRONTS {
                let file = self.dir.path().join(format!("f{n}.yaml"));
                let mut command = beechloft();
                let out =
                    command.args(["fleet", "members"]).arg(file).arg("--json").output().expect("it runs");
                let lines = String::from_utf8_lossy(&out.stdout);
                let there = lines.lines().filter(|l| l.contains("\"alive\"")).count();
                if there != KEEPERS + FRONTS {
                    return Err(format!("front {n} sees {there}: {}", self.log(n)));
                }
            }
            Ok(())
        });
    }

    /// At each front ten sessions a second, each short, until the end.
    fn play(&mut self) {
        for n in 0..FRONTS {
            let (front, recorder, end) = (self.listens[n], self.recorder.clone(), Arc::clone(&self.end));
            self.players.push(thread::spawn(move || {
                let (mut dice, pool) = (Dice::new(n as u64 + 1), Pool::default());
                let (titles, mut playing) = (titles(), VecDeque::new());
                for turn in n.. {
                    if end.load(Ordering::Relaxed) {
                        break;
                    }
                    let mut wish = Wish::new(front, n as u32, &titles[turn * 5 % titles.len()].0);
                    wish.patience = 6 * SECOND;
                    let asked = player::ask(&wish, &mut dice, &recorder);
                    playing.extend(asked.playing.map(|p| (Instant::now() + PLAYS, p)));
                    thread::sleep(Duration::from_millis(80));
                    while playing.front().is_some_and(|p| p.0 <= Instant::now()) {
                        if let Some((_, p)) = playing.pop_front() {
                            let _ = p.end(&pool, &recorder);
                        }
                    }
                }
            }));
        }
    }

    fn now(&self) -> u64 {
        self.recorder.now()
    }

    /// Offers that reached a box, with the front whose player made them, between two moments.
    fn offers(&self, id: u32, from: u64, to: u64) -> Vec<(u64, u32)> {
        let trace = self.recorder.trace();
        let fronts: BTreeMap<&str, u32> = trace
            .iter()
            .filter_map(|s| match &s.what {
                What::Asked { offer, front, .. } => Some((offer.as_str(), *front)),
                _ => None,
            })
            .collect();
        let of = |s: &Seen| match &s.what {
            What::Offered { server, offer, .. } if *server == id && (from..to).contains(&s.at) => {
                Some((s.at, *fronts.get(offer.as_str())?))
            }
            _ => None,
        };
        trace.iter().filter_map(of).collect()
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.end.store(true, Ordering::Relaxed);
        self.processes.clear();
        for player in self.players.drain(..) {
            let _ = player.join();
        }
        if thread::panicking() {
            for n in 0..FRONTS {
                let log = self.log(n);
                log.lines()
                    .filter(|l| {
                        l.contains("judged")
                            || l.contains("despite ejection")
                            || l.contains("trial")
                            || l.contains("comes back")
                    })
                    .for_each(|l| {
                        eprintln!("front {n}: {l}");
                    });
            }
        }
    }
}

const MICROS: u64 = 1_000_000;

/// By box: when an offer reached it, and of which front.
type Offers = BTreeMap<u32, Vec<(u64, u32)>>;

/// One box errs, one hangs, one is slow, each in another zone, for a while: attempts that each got, and when the last of its first
/// fronts stopped.
fn three_bad(shared: bool, span: u64) -> (Rig, u64, Offers) {
    let mut rig = Rig::new(shared, shared.then_some(FRONTS - 1), false);
    rig.play();
    thread::sleep(5 * SECOND);
    let began = rig.now();
    rig.boxes.fault(1, Fault::Fail { share: 1.0 });
    rig.boxes.fault(2, Fault::NeverAnswer);
    rig.boxes.fault(3, Fault::Late { ms: 600 });
    thread::sleep(Duration::from_secs(span));
    let to = rig.now();
    let all: Offers = (1..=BOXES).map(|id| (id, rig.offers(id, began, to))).collect();
    (rig, began, all)
}

#[test]
fn a_bad_box_is_left_alone_by_all_and_comes_back_and_one_that_lies_changes_nothing() {
    const SPAN: u64 = 25;
    let (rig, began, all) = three_bad(true, SPAN);
    for id in 1..=3 {
        let wasted = &all[&id];
        let first = wasted.first().expect("somebody tried it").0;
        // Before the first trial.
        let last = wasted.iter().filter(|o| o.0 < first + 9 * MICROS).map(|o| o.0).max().unwrap_or(first);
        println!(
            "box {id}: {} attempts, the last of the first ones {} ms after the first",
            wasted.len(),
            (last - first) / 1_000
        );
        assert!(last - first < 8 * MICROS, "box {id} is tried on and on: {wasted:?}");
        // Trials are few, and no front alone keeps trying.
        let late = wasted.iter().filter(|o| o.0 > first + 9 * MICROS).count();
        assert!(late <= 8, "box {id}: {late} later attempts: {wasted:?}");
    }
    // Sound ones serve on, at the fronts of more than one zone, whatever the liar says of them.
    for id in 4..=BOXES {
        let fronts: BTreeSet<u32> =
            all[&id].iter().filter(|o| o.0 > began + 10 * MICROS).map(|o| o.1).collect();
        assert!(fronts.len() >= 3, "box {id} is offered by {fronts:?} alone");
    }
    // All three are sound again: they come back to most fronts, not by a herd but by trials first.
    (1..=3).for_each(|id| rig.boxes.mend(id));
    let mended = rig.now();
    wait_until(|| {
        thread::sleep(SECOND / 2);
        for id in 1..=3 {
            let fronts: BTreeSet<u32> = rig.offers(id, mended, u64::MAX).into_iter().map(|o| o.1).collect();
            if fronts.len() < 5 {
                return Err(format!("box {id} is back at {fronts:?} alone"));
            }
        }
        Ok(())
    });
    println!("all back at five fronts or more {} ms after they were mended", (rig.now() - mended) / 1_000);
}

#[test]
fn a_zone_that_is_cut_off_condemns_nobody_and_is_not_condemned() {
    let mut rig = Rig::new(true, None, true);
    rig.play();
    thread::sleep(5 * SECOND);
    rig.cut("c", true);
    thread::sleep(8 * SECOND);
    rig.cut("c", false);
    thread::sleep(12 * SECOND);
    // From the boxes' side: each is offered by fronts of its zone and of others again.
    let (from, to) = (rig.now() - 4 * MICROS, rig.now());
    for id in 1..=BOXES {
        let fronts: BTreeSet<u32> = rig.offers(id, from, to).into_iter().map(|o| o.1).collect();
        assert!(!fronts.is_empty(), "box {id} is offered by nobody");
    }
    for n in 0..FRONTS {
        let log = rig.log(n);
        let texts =
            ["media server ejected", "media server not ejected", "judged bad", "offered despite ejection"];
        let is_ejection = |line: &&str| texts.iter().any(|text| line.contains(text));
        let ejections: Vec<&str> = log.lines().filter(is_ejection).collect();
        assert!(ejections.is_empty(), "front {n}: {ejections:?}");
    }
}

/// The figures: attempts at the bad boxes in the whole fleet, with sharing and each front by itself.
#[test]
#[ignore = "a measurement of two minutes"]
fn attempts_wasted_with_sharing_and_without() {
    const SPAN: u64 = 50;
    let count = |shared| -> (BTreeMap<u32, usize>, BTreeMap<u32, u64>) {
        let (_rig, _, all) = three_bad(shared, SPAN);
        let stopped = |offers: &[(u64, u32)]| {
            let first = offers.first().map_or(0, |o| o.0);
            let early =
                offers.iter().filter(|o| o.0 < first + 9 * MICROS).map(|o| o.0).max().unwrap_or(first);
            (early - first) / 1_000
        };
        let bad = || all.iter().filter(|(id, _)| **id <= 3);
        (bad().map(|(id, o)| (*id, o.len())).collect(), bad().map(|(id, o)| (*id, stopped(o))).collect())
    };
    let (alone, _) = count(false);
    let (shared, times) = count(true);
    println!(
        "attempts in {SPAN} s at boxes that err, hang, are slow: each front by itself {alone:?}, with sharing {shared:?}; ms until the last front acts {times:?}"
    );
}
