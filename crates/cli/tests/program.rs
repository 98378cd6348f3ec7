//! The program itself: its commands, exit codes, signals, and a short day with everything in it.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::shadow_unrelated)]

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use beechloft_fakes::dice::Dice;
use beechloft_fakes::offer::{self, Credentials};
use beechloft_http::client::Pool;
use beechloft_http::{Method, Request};

fn beechloft(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_beechloft")).args(args).output().expect("the program runs")
}

fn example(name: &str) -> String {
    format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"))
}

/// Ends a child that a failed test leaves behind.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn all_examples_are_sound_and_a_faulty_file_is_told_line_by_line() {
    for entry in std::fs::read_dir(example("days")).expect("the days") {
        let path = entry.expect("a day").path();
        let out = beechloft(&["check", "--day", path.to_str().expect("a path")]);
        assert!(out.status.success(), "{out:?}");
    }
    assert!(beechloft(&["check", &example("front.yaml")]).status.success());
    let out = beechloft(&["check", &example("days/quiet.yaml")]);
    let text = String::from_utf8_lossy(&out.stderr);
    assert_eq!(out.status.code(), Some(2), "a day is no front's settings: {text}");
    assert!(text.contains("front.listen: missing") && text.contains("titles: unknown key"), "{text}");
    assert_eq!(beechloft(&["check", "no-such-file"]).status.code(), Some(2));
    assert_eq!(beechloft(&["day", &example("front.yaml")]).status.code(), Some(2));
    assert_eq!(beechloft(&["serve", &example("days/quiet.yaml")]).status.code(), Some(2));
}

#[test]
fn the_demo_says_when_it_is_ready_plays_and_stops_when_told() {
    let child = Command::new(env!("CARGO_BIN_EXE_beechloft"))
        .arg("demo")
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("the demo starts");
    let mut demo = Running(child);
    let mut line = String::new();
    let out = demo.0.stdout.take().expect("its output");
    BufReader::new(out).read_line(&mut line).expect("a line");
    let ready: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    assert_eq!(ready["ready"], true);
    let front = ready["front"].as_str().and_then(|u| u.strip_prefix("http://")).expect("its address");
    let url = ready["whep"][0].as_str().expect("a title");
    let path = url.split_once(front).expect("at the front").1;
    let offer = offer::offer(&Credentials::draw(&mut Dice::new(1)), false, None);
    let pool = Pool::default();
    let soon = || Instant::now() + Duration::from_secs(5);
    let address = front.parse().expect("an address");
    let response =
        pool.call(address, &Request::new(Method::POST, path).body("application/sdp", offer), soon());
    let response = response.expect("an answer");
    assert_eq!(response.status, 201);
    let session = response.field("location").expect("a session");
    let ended = pool.call(address, &Request::new(Method::DELETE, session), soon()).expect("an answer");
    assert_eq!(ended.status, 200);

    let control = ready["control"].as_str().and_then(|u| u.strip_prefix("http://")).expect("its address");
    let control = control.parse().expect("an address");
    let tell = |method: Method, path: &str, body: &str| {
        let request = Request::new(method, path).body("application/json", body);
        pool.call(control, &request, soon()).expect("an answer").status.as_u16()
    };
    assert_eq!(tell(Method::POST, "/boxes/1/fault", "{\"kind\":\"fail\",\"share\":1}"), 204);
    assert_eq!(tell(Method::POST, "/boxes/1/fault", "{\"kind\":\"no such\"}"), 400);
    assert_eq!(tell(Method::POST, "/boxes/99/fault", "{\"kind\":\"reset\"}"), 404);
    assert_eq!(tell(Method::DELETE, "/boxes/1/fault", ""), 204);
    assert_eq!(tell(Method::POST, "/boxes/2/state", "{\"state\":\"draining\"}"), 204);
    assert_eq!(tell(Method::POST, "/list", "{\"lag_ms\":100}"), 204);

    let pid = rustix::process::Pid::from_raw(demo.0.id() as i32).expect("a process");
    rustix::process::kill_process(pid, rustix::process::Signal::TERM).expect("signalled");
    let end = Instant::now() + Duration::from_secs(10);
    while Instant::now() < end {
        if let Some(status) = demo.0.try_wait().expect("its status") {
            assert!(status.success());
            return;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("the demo did not stop");
}

#[test]
fn a_short_day_with_overlapping_troubles_keeps_the_rules() {
    let out = beechloft(&["day", &example("days/short.yaml"), "--seed", "3", "--json"]);
    let text = String::from_utf8_lossy(&out.stdout);
    assert_eq!(out.status.code(), Some(0), "{text} {}", String::from_utf8_lossy(&out.stderr));
    let report: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    for key in ["unanswered", "duplicate_answers", "overlapping_attempts", "drain_breaks", "cold_breaks"] {
        assert_eq!(report[key], 0, "{key}");
    }
    for key in ["floor_breaks", "seat_breaks", "budget_breaks", "phantom_sessions"] {
        assert_eq!(report[key], 0, "{key}");
    }
    assert!(report["playing"].as_u64().is_some_and(|n| n > 50), "{text}");
    assert!(report["answer_ms"]["max"].as_f64().is_some_and(|ms| ms < 4000.0));
}

/// A front node that can't read its configuration says so in one line and does not start.
#[test]
fn a_front_node_with_a_wrong_configuration_says_why_in_one_line_and_ends() {
    let dir = tempfile::tempdir().expect("a folder");
    let half = dir.path().join("half.json");
    std::fs::write(&half, b"{\"name\":\"n0\",").expect("written");
    let run = |config: Option<&std::path::Path>| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_beechloft"));
        command.arg("node").env_remove("ROUTER_CONFIG");
        if let Some(path) = config {
            command.env("ROUTER_CONFIG", path);
        }
        command.output().expect("the program runs")
    };
    for config in [None, Some(half.as_path()), Some(&dir.path().join("none.json"))] {
        let out = run(config);
        let text = String::from_utf8_lossy(&out.stderr);
        assert_eq!(out.status.code(), Some(2), "{text}");
        assert_eq!(text.lines().count(), 1, "{text}");
    }
}

/// Keepers killed and cut off, the holder stopped beyond its lease, clocks apart: nobody acts beside another.
#[test]
fn a_day_of_a_fleet_keeps_its_leases_through_faults_between_processes() {
    let out = beechloft(&["day", &example("days/fleet-short.yaml"), "--seed", "3", "--json"]);
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    assert_eq!(out.status.code(), Some(0), "{text} {}", String::from_utf8_lossy(&out.stderr));
    let report: serde_json::Value = serde_json::from_str(&text).expect("one JSON object");
    let figure = |key: &str| report[key].as_u64().unwrap_or_else(|| panic!("{key} is missing: {text}"));
    assert_eq!((figure("lease_overlaps"), figure("stale_acts")), (0, 0), "{text}");
    // The holder was stopped beyond its lease: another one had it.
    assert!(figure("leases_granted") >= 2, "{text}");
    // A lease of 1.5 s, its drift, and time to elect a leader and to ask on a busy machine.
    let longest = figure("longest_without_holder_ms");
    assert!((500..10_000).contains(&longest), "{text}");
    assert!(figure("playing") > 50, "{text}");
}
