//! Runs the `beechloft` program: commands, exit codes, signals, and short scenarios.
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
    Command::new(env!("CARGO_BIN_EXE_beechloft")).args(args).output().expect("run beechloft")
}

/// Path of a file under `examples`.
fn example(name: &str) -> String {
    format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"))
}

/// Child process that is killed on drop, also if the test fails.
struct RunningProcess(Child);

impl Drop for RunningProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn check_accepts_examples_and_reports_all_errors_of_a_file() {
    for entry in std::fs::read_dir(example("days")).expect("list the examples") {
        let path = entry.expect("read an entry").path();
        let output = beechloft(&["check", "--day", path.to_str().expect("UTF-8 path")]);
        assert!(output.status.success(), "{output:?}");
    }
    assert!(beechloft(&["check", &example("front.yaml")]).status.success());
    let output = beechloft(&["check", &example("days/quiet.yaml")]);
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "accepted a day script as a front's settings: {text}");
    assert!(text.contains("front.listen: missing") && text.contains("titles: unknown key"), "{text}");
    assert_eq!(beechloft(&["check", "no-such-file"]).status.code(), Some(2));
    assert_eq!(beechloft(&["day", &example("front.yaml")]).status.code(), Some(2));
    assert_eq!(beechloft(&["serve", &example("days/quiet.yaml")]).status.code(), Some(2));
}

#[test]
fn demo_prints_ready_line_serves_sessions_and_stops_on_sigterm() {
    let child = Command::new(env!("CARGO_BIN_EXE_beechloft"))
        .arg("demo")
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("start the demo");
    let mut demo = RunningProcess(child);
    let mut line = String::new();
    let stdout = demo.0.stdout.take().expect("stdout is piped");
    BufReader::new(stdout).read_line(&mut line).expect("read the ready line");
    let ready: serde_json::Value = serde_json::from_str(&line).expect("valid JSON");
    assert_eq!(ready["ready"], true);
    let front = ready["front"].as_str().and_then(|url| url.strip_prefix("http://")).expect("HTTP URL");
    let url = ready["whep"][0].as_str().expect("URL of a title");
    let path = url.split_once(front).expect("URL at the front").1;
    let offer = offer::offer(&Credentials::draw(&mut Dice::new(1)), false, None);
    let pool = Pool::default();
    let deadline = || Instant::now() + Duration::from_secs(5);
    let address = front.parse().expect("socket address");
    let response =
        pool.call(address, &Request::new(Method::POST, path).body("application/sdp", offer), deadline());
    let response = response.expect("response");
    assert_eq!(response.status, 201);
    let session = response.field("location").expect("Location of the session");
    let deleted = pool.call(address, &Request::new(Method::DELETE, session), deadline()).expect("response");
    assert_eq!(deleted.status, 200);

    let control = ready["control"].as_str().and_then(|url| url.strip_prefix("http://")).expect("HTTP URL");
    let control = control.parse().expect("socket address");
    let send_control = |method: Method, path: &str, body: &str| {
        let request = Request::new(method, path).body("application/json", body);
        pool.call(control, &request, deadline()).expect("response").status.as_u16()
    };
    assert_eq!(send_control(Method::POST, "/boxes/1/fault", "{\"kind\":\"fail\",\"share\":1}"), 204);
    assert_eq!(send_control(Method::POST, "/boxes/1/fault", "{\"kind\":\"no such\"}"), 400);
    assert_eq!(send_control(Method::POST, "/boxes/99/fault", "{\"kind\":\"reset\"}"), 404);
    assert_eq!(send_control(Method::DELETE, "/boxes/1/fault", ""), 204);
    assert_eq!(send_control(Method::POST, "/boxes/2/state", "{\"state\":\"draining\"}"), 204);
    assert_eq!(send_control(Method::POST, "/list", "{\"lag_ms\":100}"), 204);

    let pid = rustix::process::Pid::from_raw(demo.0.id() as i32).expect("valid process id");
    rustix::process::kill_process(pid, rustix::process::Signal::TERM).expect("send SIGTERM");
    let stop_deadline = Instant::now() + Duration::from_secs(10);
    while Instant::now() < stop_deadline {
        if let Some(status) = demo.0.try_wait().expect("get the exit status") {
            assert!(status.success());
            return;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("the demo did not stop within 10 s of SIGTERM");
}

#[test]
fn scenario_with_overlapping_faults_breaks_no_rule() {
    let output = beechloft(&["day", &example("days/short.yaml"), "--seed", "3", "--json"]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{text} {}", String::from_utf8_lossy(&output.stderr));
    let report: serde_json::Value = serde_json::from_str(&text).expect("valid JSON");
    for key in ["unanswered", "duplicate_answers", "overlapping_attempts", "drain_breaks", "cold_breaks"] {
        assert_eq!(report[key], 0, "{key}");
    }
    for key in ["floor_breaks", "seat_breaks", "budget_breaks", "phantom_sessions"] {
        assert_eq!(report[key], 0, "{key}");
    }
    assert!(report["playing"].as_u64().is_some_and(|n| n > 50), "{text}");
    assert!(report["answer_ms"]["max"].as_f64().is_some_and(|ms| ms < 4000.0));
}

/// A front node that can't read its configuration prints one line and exits with 2.
#[test]
fn node_rejects_unreadable_configuration_with_one_line() {
    let dir = tempfile::tempdir().expect("create a temporary directory");
    let truncated = dir.path().join("half.json");
    std::fs::write(&truncated, b"{\"name\":\"n0\",").expect("write the configuration");
    let run = |config: Option<&std::path::Path>| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_beechloft"));
        command.arg("node").env_remove("ROUTER_CONFIG");
        if let Some(path) = config {
            command.env("ROUTER_CONFIG", path);
        }
        command.output().expect("run beechloft")
    };
    for config in [None, Some(truncated.as_path()), Some(&dir.path().join("none.json"))] {
        let output = run(config);
        let text = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{text}");
        assert_eq!(text.lines().count(), 1, "{text}");
    }
}

/// Replicas are killed and partitioned, the holder is stopped for longer than its lease, and clocks run at different rates. No
/// two holders may act with the same lease at once.
#[test]
fn fleet_scenario_has_no_overlapping_leases() {
    let output = beechloft(&["day", &example("days/fleet-short.yaml"), "--seed", "3", "--json"]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(0), "{text} {}", String::from_utf8_lossy(&output.stderr));
    let report: serde_json::Value = serde_json::from_str(&text).expect("valid JSON");
    let value = |key: &str| report[key].as_u64().unwrap_or_else(|| panic!("{key} is missing: {text}"));
    assert_eq!((value("lease_overlaps"), value("stale_acts")), (0, 0), "{text}");
    // The holder was stopped for longer than its lease, so the lease was granted to another one.
    assert!(value("leases_granted") >= 2, "{text}");
    // The gap covers a lease of 1.5 s, its clock drift, a leader election and an acquisition on a busy machine.
    let longest = value("longest_without_holder_ms");
    assert!((500..10_000).contains(&longest), "{text}");
    assert!(value("playing") > 50, "{text}");
}
