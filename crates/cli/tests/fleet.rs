//! Keepers and candidates as real processes, with faults between them: killed, stopped beyond the lease's time and let go on,
//! all stopped and started, a disk emptied, clocks apart. Acts go on all the time; a record of every act shows its token, and a
//! token under one that came before it is a stale act.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use beechloft_trouble::{Mood, Relay, Way};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use support::{PATIENCE, Process, beechloft, free_addresses};

const TTL_MS: u64 = 1_500;

struct Fleet {
    dir: tempfile::TempDir,
    addresses: Vec<SocketAddr>,
    keepers: Vec<Option<Process>>,
    candidates: Vec<Process>,
    /// Between each two: who opens the connection (keepers first, then candidates) and the keeper that it leads to.
    relays: BTreeMap<(usize, usize), Relay>,
}

impl Fleet {
    fn new(keepers: usize) -> Fleet {
        Fleet::relayed(keepers, 0)
    }

    /// With a relay between each two keepers, and between each of so many candidates and each keeper.
    fn relayed(keepers: usize, relayed: usize) -> Fleet {
        let addresses = free_addresses(keepers);
        let dir = tempfile::tempdir().expect("a folder");
        let mut fleet =
            Fleet { dir, addresses, keepers: Vec::new(), candidates: Vec::new(), relays: BTreeMap::new() };
        // All keepers that are to be, and as many candidates as any test has.
        for from in 0..keepers + relayed {
            for to in (0..keepers).filter(|to| relayed > 0 && *to != from) {
                fleet.relays.insert((from, to), Relay::start(fleet.addresses[to]).expect("a relay"));
            }
        }
        for n in 0..keepers {
            fleet.keepers.push(None);
            fleet.start(n);
        }
        fleet
    }

    /// A file of settings; each keeper's clock runs at a rate of its own, 1% apart.
    fn settings(&self, keeper: Option<usize>) -> PathBuf {
        self.settings_of(keeper, keeper)
    }

    /// Of a keeper, of a candidate (whose place comes after all keepers), or of whoever only looks.
    fn settings_of(&self, keeper: Option<usize>, from: Option<usize>) -> PathBuf {
        let list: Vec<String> = self.addresses.iter().map(|a| format!("'{a}'")).collect();
        let mut text =
            format!("fleet:\n  name: test\n  keepers: [{}]\n  drift_ppm: 20000\n", list.join(", "));
        let rate = keeper.map_or(1.005, |n| 0.995 + 0.005 * (n % 3) as f64);
        text += &format!("  test_clock_rate: {rate}\n");
        let of = |r: &((usize, usize), &Relay)| Some(r.0.0) == from;
        let by = self.relays.iter().map(|(k, r)| (*k, r)).filter(of);
        let via: Vec<String> =
            by.map(|((_, to), r)| format!("'{}={}'", self.addresses[to], r.address())).collect();
        text += &format!("  test_via: [{}]\n", via.join(", "));
        if let Some(n) = keeper {
            text += &format!("  listen: {}\n  store: {}\n", self.addresses[n], self.folder(n).display());
        }
        let path = self.dir.path().join(from.map_or("asks.yaml".into(), |n| format!("p{n}.yaml")));
        std::fs::write(&path, text).expect("written");
        path
    }

    fn folder(&self, n: usize) -> PathBuf {
        self.dir.path().join(format!("store{n}"))
    }

    fn start(&mut self, n: usize) {
        let file = self.settings(Some(n));
        self.keepers[n] = Some(Process::start(beechloft().arg("keeper").arg(file).stderr(Stdio::null())));
    }

    fn kill(&mut self, n: usize) {
        self.keepers[n] = None;
    }

    fn acts(&self) -> PathBuf {
        self.dir.path().join("acts")
    }

    /// A candidate whose command acts every 20 ms for as long as it holds the lease, and which begins again when it ends.
    fn candidate(&mut self) {
        let act = format!("while :; do echo $BEECHLOFT_FENCE >> {}; sleep 0.02; done", self.acts().display());
        let program = env!("CARGO_BIN_EXE_beechloft");
        let place = self.addresses.len() + self.candidates.len();
        let (file, ttl) = (self.settings_of(None, Some(place)).display().to_string(), TTL_MS.to_string());
        let again = "while :; do \"$@\"; sleep 0.05; done";
        let mut command = Command::new("sh");
        command.args(["-c", again, "sh", program, "lease", "hold", &file, "task", "--ttl-ms", &ttl, "--"]);
        command.args(["sh", "-c", &act]).stderr(Stdio::null());
        self.candidates.push(Process::start(&mut command));
    }

    fn status(&self) -> Vec<Value> {
        let file = self.settings(None);
        let out = beechloft().args(["fleet", "status", "--json"]).arg(file).output().expect("it runs");
        String::from_utf8_lossy(&out.stdout).lines().filter_map(|l| serde_json::from_str(l).ok()).collect()
    }

    /// The place of the keeper that leads in the newest term, with so many voters.
    fn leader(&self, voters: usize) -> usize {
        let until = Instant::now() + PATIENCE;
        loop {
            let all = self.status();
            let leads = |v: &(usize, &Value)| {
                let s = &v.1["status"];
                let count =
                    s["members"].as_array().map_or(0, |m| m.iter().filter(|m| m["voter"] == true).count());
                s["role"] == "leader" && count == voters
            };
            let found = all.iter().enumerate().filter(leads).max_by_key(|v| v.1["status"]["term"].as_u64());
            if let Some((n, _)) = found {
                return n;
            }
            assert!(Instant::now() < until, "nobody leads {voters} voters: {all:?}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Between two, whoever opened the connection: what `from` says to `to` and the way back.
    fn way(&self, from: usize, to: usize, way: Way) {
        if let Some(relay) = self.relays.get(&(from, to)) {
            relay.set(way);
        }
        if let Some(relay) = self.relays.get(&(to, from)) {
            relay.set(Way { there: way.back, back: way.there });
        }
    }

    fn heal(&self) {
        self.relays.values().for_each(|r| r.set(Way::default()));
    }

    /// A keeper's disk is emptied, and it starts again.
    fn empty(&mut self, n: usize) {
        self.kill(n);
        std::fs::remove_dir_all(self.folder(n)).expect("removed");
        self.start(n);
    }

    /// Has a keeper whose disk was emptied take the place of its old self, by its own new id or by another.
    fn replace(&self, lost: usize, new: Option<&str>) -> std::process::Output {
        let until = Instant::now() + PATIENCE;
        let address = self.addresses[lost].to_string();
        loop {
            let all = self.status();
            let own = all[lost]["status"]["id"].as_str().map(str::to_owned);
            let leads = |v: &&Value| v["status"]["role"] == "leader";
            let members = all.iter().find(leads).and_then(|v| v["status"]["members"].as_array().cloned());
            let old = members.into_iter().flatten().find(|m| m["address"] == address.as_str());
            if let (Some(own), Some(old)) = (own, old.as_ref().and_then(|m| m["id"].as_str())) {
                let mut c = beechloft();
                c.args(["keeper", "replace"]).arg(self.settings(None)).args([old, new.unwrap_or(&own)]);
                let out = c.output().expect("it runs");
                // The new one says who it is now and then; until it has, nobody is known to be there.
                if !text_of(&out).contains("nobody has come up") && !text_of(&out).contains("under way") {
                    return out;
                }
            }
            assert!(Instant::now() < until, "nobody can be replaced: {all:?}");
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    fn tokens(&self) -> Vec<u64> {
        let text = std::fs::read_to_string(self.acts()).unwrap_or_default();
        // The last line may be half written.
        let whole = text.rfind('\n').map_or("", |at| &text[..at]);
        whole.lines().map(|l| l.parse().unwrap_or_else(|_| panic!("'{l}' is no token"))).collect()
    }

    /// Waits for acts past so many; how long it took.
    fn goes_on(&self, what: &str) -> Duration {
        let (before, began) = (self.tokens().len(), Instant::now());
        while self.tokens().len() < before + 3 {
            assert!(began.elapsed() < PATIENCE, "no acts after {what}");
            std::thread::sleep(Duration::from_millis(10));
        }
        began.elapsed()
    }

    /// Waits for acts by a grant above this one.
    fn another_holds(&self, than: u64, what: &str) {
        let began = Instant::now();
        while self.tokens().last().is_none_or(|t| *t <= than) {
            assert!(began.elapsed() < PATIENCE, "nobody else after {what}: {:?}", self.status());
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// The candidate that holds it now: the one whose group has the process that acts.
    fn holder(&self) -> usize {
        let until = Instant::now() + PATIENCE;
        loop {
            for (n, c) in self.candidates.iter().enumerate() {
                if group_acts(c.0.id()) {
                    return n;
                }
            }
            assert!(Instant::now() < until, "nobody acts");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

/// Whether a process of this group has the fence in its environment.
fn group_acts(group: u32) -> bool {
    let Ok(all) = std::fs::read_dir("/proc") else { return false };
    all.flatten().any(|entry| {
        let path = entry.path();
        let of_group = || {
            let stat = std::fs::read_to_string(path.join("stat")).ok()?;
            let after = stat.rsplit_once(')')?.1.split_whitespace().nth(2)?.parse::<u32>().ok()?;
            Some(after == group)
        };
        let acts = || std::fs::read(path.join("environ")).is_ok_and(|e| has(&e, b"BEECHLOFT_FENCE="));
        path.file_name().is_some_and(|n| n.as_encoded_bytes()[0].is_ascii_digit())
            && of_group() == Some(true)
            && acts()
    })
}

fn has(bytes: &[u8], part: &[u8]) -> bool {
    bytes.windows(part.len()).any(|w| w == part)
}

fn no_stale_act(tokens: &[u64]) {
    let stale = tokens.windows(2).position(|w| w[1] < w[0]);
    assert_eq!(stale, None, "a token under the one before it: {:?}", stale.map(|at| &tokens[at..at + 2]));
}

#[test]
fn acts_go_on_and_none_is_stale_whatever_fails() {
    let mut fleet = Fleet::new(5);
    fleet.leader(5);
    let watched = fleet.dir.path().join("watched");
    let file = std::fs::File::create(&watched).expect("a file");
    let mut command = beechloft();
    command.args(["lease", "watch", "--json"]).arg(fleet.settings(None)).arg("task");
    let _watcher = Process::start_to(&mut command, file);
    (0..8).for_each(|_| fleet.candidate());
    fleet.goes_on("the start");

    // The holder is killed outright, with all that it runs.
    let (token, holder) = (*fleet.tokens().last().expect("an act"), fleet.holder());
    drop(fleet.candidates.remove(holder));
    fleet.another_holds(token, "the holder's death");

    // The leader is killed.
    let leader = fleet.leader(5);
    fleet.kill(leader);
    fleet.goes_on("the leader's death");
    fleet.start(leader);

    // The holder is stopped beyond its time and goes on.
    let (token, holder) = (*fleet.tokens().last().expect("an act"), fleet.holder());
    fleet.candidates[holder].signal(Signal::STOP);
    fleet.another_holds(token, "the holder's stop");
    let before = fleet.tokens().len();
    fleet.candidates[holder].signal(Signal::CONT);
    fleet.goes_on("the holder's going on");
    // What the command does between its look and its act when it is let go on can't be prevented where nothing checks tokens
    // (docs/fleet.md), and it goes on until whoever watches over it runs again and ends it. Something that checks tokens refuses
    // all of these; there are few, and none but these.
    let tokens = fleet.tokens();
    let late = |at: &usize| tokens[*at] == token;
    let count = (before..tokens.len()).filter(late).count();
    assert!(count <= 5, "the stopped holder acted {count} times after it went on");
    let others = (0..tokens.len()).filter(|at| *at < before || !late(at)).map(|at| tokens[at]);
    no_stale_act(&others.collect::<Vec<_>>());

    // The leader is stopped beyond the time of the lease and goes on.
    let leader = fleet.leader(5);
    fleet.keepers[leader].as_ref().expect("it runs").signal(Signal::STOP);
    std::thread::sleep(Duration::from_millis(2 * TTL_MS));
    fleet.goes_on("the leader's stop");
    fleet.keepers[leader].as_ref().expect("it runs").signal(Signal::CONT);
    fleet.goes_on("the leader's going on");

    // All keepers are killed at once and start again on their disks.
    let token = *fleet.tokens().last().expect("an act");
    (0..5).for_each(|n| fleet.kill(n));
    std::thread::sleep(Duration::from_millis(2 * TTL_MS));
    (0..5).for_each(|n| fleet.start(n));
    fleet.leader(5);
    fleet.another_holds(token, "the end of all keepers");

    // A keeper's disk is emptied: it is another one, stays out, and the rest go on without it.
    let leader = fleet.leader(5);
    let lost = (leader + 1) % 5;
    fleet.empty(lost);
    fleet.goes_on("a disk that was emptied");
    std::thread::sleep(Duration::from_millis(1_000));
    let all = fleet.status();
    assert_eq!(all[lost]["status"]["members"].as_array().map(Vec::len), Some(0), "it is no member: {all:?}");

    // It takes its old self's place once an operator says so, and nobody else's id does.
    let wrong = fleet.replace(lost, Some("00000000000000aa"));
    assert_eq!(wrong.status.code(), Some(1), "{}", text_of(&wrong));
    let out = fleet.replace(lost, None);
    assert_eq!(out.status.code(), Some(0), "{}", text_of(&out));
    fleet.leader(5);
    fleet.goes_on("a keeper that was replaced");

    let all = fleet.tokens();
    let from = all.iter().position(|t| *t > token).unwrap_or(0);
    no_stale_act(&all[from..]);
    assert!(all.len() > 100, "{} acts", all.len());
    saw_all_in_order(&watched, *all.last().expect("an act"));
}

/// What one who watched through all of it was told: the newest grant, of each one its making before its end, and its end once.
fn saw_all_in_order(watched: &Path, newest: u64) {
    let read = || std::fs::read_to_string(watched).unwrap_or_default();
    support::until(|| {
        let seen = read().contains(&format!("\"token\":{newest}"));
        if seen { Ok(()) } else { Err(format!("token {newest} was not told: {}", read())) }
    });
    let (mut there, mut ended) = (BTreeSet::new(), BTreeSet::new());
    let text = read();
    for line in text[..text.rfind('\n').map_or(0, |at| at + 1)].lines() {
        let v: Value = serde_json::from_str(line).unwrap_or_else(|e| panic!("{line}: {e}"));
        for stands in v["stands"].as_array().into_iter().flatten() {
            let token = stands["token"].as_u64().expect("a token");
            assert!(!ended.contains(&token), "{token} stands after its end: {text}");
            there.insert(token);
        }
        let changed = &v["changed"];
        let token = changed["token"].as_u64();
        match (token, changed["what"].as_str()) {
            (Some(token), Some("granted")) => {
                assert!(!ended.contains(&token) && there.insert(token), "{text}")
            }
            (Some(token), Some(_)) => assert!(there.contains(&token) && ended.insert(token), "{text}"),
            _ => {}
        }
    }
    assert!(there.len() >= 3 && !ended.is_empty(), "{text}");
}

#[test]
fn two_of_five_keepers_are_lost_with_their_disks_and_replaced_while_acts_go_on() {
    let mut fleet = Fleet::new(5);
    let leader = fleet.leader(5);
    (0..4).for_each(|_| fleet.candidate());
    fleet.goes_on("the start");
    // The leader is one of them.
    let lost = [leader, (leader + 2) % 5];
    lost.iter().for_each(|n| fleet.empty(*n));
    fleet.goes_on("two disks that were emptied");
    for n in lost {
        let out = fleet.replace(n, None);
        assert_eq!(out.status.code(), Some(0), "{}", text_of(&out));
        fleet.goes_on("a keeper that was replaced");
    }
    // They count now: two others may go.
    fleet.leader(5);
    (0..5).filter(|n| !lost.contains(n)).take(2).for_each(|n| fleet.kill(n));
    fleet.goes_on("the end of two others");
    no_stale_act(&fleet.tokens());
}

#[test]
fn acts_go_on_and_none_is_stale_whatever_links_do() {
    let mut fleet = Fleet::relayed(5, 4);
    fleet.leader(5);
    (0..4).for_each(|_| fleet.candidate());
    fleet.goes_on("the start");

    // The leader is cut off together with the holder, which sees it alone.
    let (leader, holder, token) = (fleet.leader(5), fleet.holder(), *fleet.tokens().last().expect("an act"));
    let others = |leader| (0..5).filter(move |n| *n != leader);
    for n in others(leader) {
        fleet.way(leader, n, Way::cut());
        fleet.way(5 + holder, n, Way::cut());
    }
    for c in (0..4).filter(|c| *c != holder) {
        fleet.way(5 + c, leader, Way::cut());
    }
    fleet.another_holds(token, "the cut");
    fleet.heal();
    fleet.goes_on("the cut's healing");

    // One way: the leader is heard and hears nobody; then it hears and is not heard.
    let cut = Mood { cut: true, ..Mood::default() };
    for way in [Way { back: cut, ..Way::default() }, Way { there: cut, ..Way::default() }] {
        let leader = fleet.leader(5);
        others(leader).for_each(|n| fleet.way(leader, n, way));
        std::thread::sleep(Duration::from_millis(2 * TTL_MS));
        fleet.goes_on("a cut one way");
        fleet.heal();
        fleet.goes_on("its healing");
    }

    // The leader's links are late by more than the lease's time.
    let leader = fleet.leader(5);
    others(leader).for_each(|n| fleet.way(leader, n, Way::late(Duration::from_millis(2_000))));
    std::thread::sleep(Duration::from_millis(2 * TTL_MS));
    fleet.goes_on("late links");
    fleet.heal();
    fleet.goes_on("their healing");

    // All links trickle, and all connections are reset again and again.
    let slow = Mood { trickle: Some(20_000), ..Mood::default() };
    fleet.relays.values().for_each(|r| r.set(Way { there: slow, back: slow }));
    for _ in 0..5 {
        fleet.relays.values().for_each(Relay::reset);
        std::thread::sleep(Duration::from_millis(300));
    }
    fleet.goes_on("links that trickle and break");
    fleet.heal();
    fleet.goes_on("their healing");
    no_stale_act(&fleet.tokens());
}

fn text_of(out: &std::process::Output) -> String {
    String::from_utf8_lossy(&out.stderr).into_owned()
}

#[test]
fn holding_tells_by_its_exit_code_what_became_of_it() {
    let fleet = Fleet::new(3);
    fleet.leader(3);
    let file = fleet.settings(None);
    let hold = |name: &str, more: &[&str], command: &[&str]| {
        let mut c = beechloft();
        c.args(["lease", "hold"])
            .arg(&file)
            .args([name, "--ttl-ms", "1000"])
            .args(more)
            .arg("--")
            .args(command);
        c
    };
    let out =
        hold("a", &[], &["sh", "-c", "test $BEECHLOFT_LEASE = a && test $BEECHLOFT_FENCE -gt 0 && exit 7"]);
    let out = { out }.output().expect("it runs");
    assert_eq!(out.status.code(), Some(7), "{}", text_of(&out));
    // Another holds it: not obtained in time, and its name is on the list.
    let long = Process::start(hold("b", &[], &["sleep", "60"]).stderr(Stdio::null()));
    let until = Instant::now() + PATIENCE;
    loop {
        let out = beechloft().args(["lease", "list", "--json"]).arg(&file).output().expect("it runs");
        if String::from_utf8_lossy(&out.stdout).lines().any(|l| l.contains("\"name\":\"b\"")) {
            break;
        }
        assert!(Instant::now() < until, "not on the list: {out:?}");
    }
    let out = hold("b", &["--wait-ms", "700"], &["true"]).output().expect("it runs");
    assert_eq!(out.status.code(), Some(75), "{}", text_of(&out));
    // Two places: a second holder gets in, under terms that agree.
    let out = hold("b", &["--holders", "2"], &["true"]).output().expect("it runs");
    assert_eq!(out.status.code(), Some(2), "{}", text_of(&out));
    // Its command goes on past SIGTERM; with no keeper left it is ended before the lease can run out.
    let mut lost = hold("c", &[], &["sh", "-c", "trap '' TERM; while :; do sleep 0.05; done"]);
    let mut lost = Process::start(lost.stderr(Stdio::null()));
    std::thread::sleep(Duration::from_millis(1_500));
    drop(fleet);
    let began = Instant::now();
    let status = lost.0.wait().expect("it ends");
    assert_eq!(status.code(), Some(76));
    assert!(began.elapsed() < Duration::from_secs(5));
    drop(long);
}

#[test]
fn what_is_wrong_with_settings_or_folders_is_said_and_nothing_is_touched() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("f.yaml");
    let run = |text: &str| {
        std::fs::write(&path, text).expect("written");
        let out = beechloft().arg("keeper").arg(&path).output().expect("it runs");
        assert_eq!(out.status.code(), Some(2), "{}", text_of(&out));
        text_of(&out)
    };
    let even = run("fleet:\n  name: a\n  keepers: ['127.0.0.1:1', '127.0.0.1:2']\n");
    assert!(even.contains("odd number"), "{even}");
    let twice = run("fleet:\n  name: a\n  keepers: ['127.0.0.1:1', '127.0.0.1:1', '127.0.0.1:2']\n");
    assert!(twice.contains("twice"), "{twice}");
    let stranger = run("fleet:\n  name: a\n  listen: 127.0.0.1:3\n  store: x\n  keepers: ['127.0.0.1:1']\n");
    assert!(stranger.contains("none of fleet.keepers"), "{stranger}");
    // A folder of another fleet.
    let mut fleet = Fleet::new(1);
    fleet.leader(1);
    fleet.kill(0);
    let names = |p: &Path| {
        let mut all: Vec<_> =
            std::fs::read_dir(p).expect("a folder").flatten().map(|e| e.file_name()).collect();
        all.sort();
        all
    };
    let before = names(&fleet.folder(0));
    let file = fleet.settings(Some(0));
    let text = std::fs::read_to_string(&file).expect("read").replace("name: test", "name: other");
    let said = run(&text);
    assert!(said.contains("belongs to the fleet 'test'"), "{said}");
    assert_eq!(names(&fleet.folder(0)), before);
    // Rubbish on the wire costs its connection and nothing else.
    fleet.start(0);
    fleet.leader(1);
    let mut rubbish = TcpStream::connect(fleet.addresses[0]).expect("a connection");
    std::io::Write::write_all(&mut rubbish, &[0x55; 4096]).expect("written");
    assert_eq!(fleet.leader(1), 0);
    let until = Instant::now() + PATIENCE;
    while fleet.status()[0]["status"]["refused_words"].as_u64() == Some(0) {
        assert!(Instant::now() < until, "rubbish is not counted");
    }
    let keeper = fleet.keepers[0].take().expect("it runs");
    kill_process(Pid::from_child(&keeper.0), Signal::TERM).expect("told");
    let mut keeper = keeper;
    assert_eq!(keeper.0.wait().expect("it ends").code(), Some(0));
}

/// The longest time in which no act was added, while `during` lasts.
fn longest_gap(fleet: &Fleet, during: Duration) -> Duration {
    let (began, mut last, mut count) = (Instant::now(), Instant::now(), fleet.tokens().len());
    let mut longest = Duration::ZERO;
    while began.elapsed() < during {
        std::thread::sleep(Duration::from_millis(5));
        let now = fleet.tokens().len();
        if now != count {
            longest = longest.max(last.elapsed());
            (count, last) = (now, Instant::now());
        }
    }
    longest.max(last.elapsed())
}

/// Outside CI: `cargo test --release -p beechloft-cli --test fleet figures -- --ignored --nocapture`.
#[test]
#[ignore = "figures for docs/fleet.md, a minute"]
fn figures() {
    use beechloft_fleet::{Holder, HolderId, HolderInput, HolderOutput, Name, Terms};
    use beechloft_keeper::FleetSettings;
    use beechloft_keeper::client::Way as ToKeepers;
    let mut fleet = Fleet::new(5);
    fleet.leader(5);
    let text = std::fs::read_to_string(fleet.settings(None)).expect("read");
    let set = FleetSettings::read(&text).expect("sound");
    let clock = set.clock();
    let name = Name::try_from("figures".to_owned()).expect("a name");
    let terms = Terms { name, places: 1, ttl_ms: 3_000 };
    let mut holder = Holder::new(HolderId(7), terms, set.drift, 1);
    let mut way = ToKeepers::new(set);
    let mut grants = Vec::new();
    while grants.len() < 500 {
        let began = Instant::now();
        let (mut input, mut held) = (HolderInput::Want, false);
        while !held || !holder.is_idle() {
            for output in holder.handle(clock(), input) {
                match output {
                    HolderOutput::Send(request) => way.send(request),
                    HolderOutput::Held(_) => {
                        held = true;
                        grants.push(began.elapsed());
                    }
                    other => panic!("{other:?}"),
                }
            }
            input = if held && grants.len() % 1_000 > 0 && holder.permit(clock()).is_some() {
                HolderInput::GiveBack
            } else {
                way.hear(Duration::from_millis(5)).unwrap_or(HolderInput::Tick)
            };
        }
    }
    grants.sort_unstable();
    println!("grant p50 {:?} p99 {:?}", grants[grants.len() / 2], grants[grants.len() * 99 / 100]);
    (0..8).for_each(|_| fleet.candidate());
    fleet.goes_on("the start");
    for _ in 0..5 {
        let holder = fleet.holder();
        drop(fleet.candidates.remove(holder));
        fleet.candidate();
        println!(
            "holder killed, ttl {TTL_MS} ms: no act for {:?}",
            longest_gap(&fleet, Duration::from_secs(4))
        );
    }
    for _ in 0..5 {
        let leader = fleet.leader(5);
        fleet.kill(leader);
        let gap = longest_gap(&fleet, Duration::from_secs(4));
        fleet.start(leader);
        println!("leader killed: no act for {gap:?}");
        std::thread::sleep(Duration::from_secs(1));
    }
}
