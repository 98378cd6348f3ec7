//! The front node as a process: start-up errors, signals, and membership in a fleet.

mod support;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

/// Time within which an expected event must happen.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Configuration of the front node `n3`.
fn config(listen: &str, bus: SocketAddr) -> serde_json::Value {
    serde_json::json!({
        "name": "n3", "listen": listen, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "bus": bus.to_string(),
        "known": {"offset": 0, "batch": []},
        "settings": {
            "classes": [{"name": "stall-video", "aim_us": 800_000, "deadline_us": 1_000_000, "effect": "repeatable"}],
            "family_info": {"places": 4, "shelves": 2, "rates_kb": [200.0, 400.0], "worth_by_rung": [0.4, 1.0]}
        }
    })
}

/// Command that runs a front node with a configuration file and these environment variables.
fn node_command(path: &Path, environment: &[(&str, &str)]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_beechloft"));
    command.arg("node").env("ROUTER_CONFIG", path).env_remove("ROUTER_NAME").env_remove("ROUTER_LISTEN");
    command.envs(environment.iter().copied()).stdin(Stdio::null());
    command
}

/// Creates a temporary directory. Returns it with the path of the configuration file.
fn config_directory() -> (tempfile::TempDir, PathBuf) {
    let dir = tempfile::tempdir().expect("create a temporary directory");
    let path = dir.path().join("config.json");
    (dir, path)
}

/// Returns the only line on standard error of a process that failed.
fn error_line(out: &Output) -> String {
    let text = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(out.status.code().is_some_and(|code| code != 0), "{out:?}");
    text
}

#[test]
fn failed_start_prints_single_error_line() {
    let (_dir, path) = config_directory();
    let unused_bus: SocketAddr = "127.0.0.1:9".parse().expect("socket address");
    let good = config("127.0.0.1:0", unused_bus).to_string();
    assert!(error_line(&node_command(&path, &[]).output().expect("run beechloft")).contains("config.json"));
    let class = config("127.0.0.1:0", unused_bus)["settings"]["classes"][0].to_string();
    let no_classes = good.replace("\"classes\"", "\"klasses\"");
    for invalid in ["", "{", "[]", "\u{0}\u{1}", "{\"name\":3}", &good[..good.len() / 2], &no_classes] {
        std::fs::write(&path, invalid).expect("write");
        error_line(&node_command(&path, &[]).output().expect("run beechloft"));
    }
    // The error for an invalid value names its key.
    let invalid_values = [
        ("limits.sockets", good.replace("\"sockets\":256", "\"sockets\":39")),
        ("settings.classes", good.replace(&class, "")),
        ("settings.classes", good.replace("\"deadline_us\":1000000", "\"deadline_us\":0")),
        ("settings.family_info.places", good.replace("\"places\":4", "\"places\":0")),
        ("settings.family_info.rates_kb", good.replace("[200.0,400.0]", "[]")),
    ];
    for (key, text) in invalid_values {
        assert_ne!(text, good, "{key}");
        std::fs::write(&path, text).expect("write");
        let out = node_command(&path, &[]).output().expect("run beechloft");
        assert!(error_line(&out).contains(key), "{key}: {out:?}");
        assert_eq!(out.status.code(), Some(2), "{key}");
    }
    std::fs::write(&path, &good).expect("write");
    let error_with = |environment: &[(&str, &str)]| {
        error_line(&node_command(&path, environment).output().expect("run beechloft"))
    };
    let wrong_name = error_with(&[("ROUTER_NAME", "n4")]);
    assert!(wrong_name.contains("ROUTER_NAME says \"n4\", the configuration says \"n3\""), "{wrong_name}");
    let wrong_address = error_with(&[("ROUTER_NAME", "n3"), ("ROUTER_LISTEN", "127.0.0.1:2905")]);
    assert!(wrong_address.contains("ROUTER_LISTEN says \"127.0.0.1:2905\""), "{wrong_address}");
    let taken = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let addr = taken.local_addr().expect("socket address").to_string();
    std::fs::write(&path, config(&addr, unused_bus).to_string()).expect("write");
    assert!(error_with(&[]).contains("can't be listened on"));
}

/// Front node process that is killed on drop.
struct RunningNode(Child);

impl Drop for RunningNode {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Opens the listening socket of a simulated event bus.
fn event_bus() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("bind a port")
}

/// Accepts and answers the next request for events. Returns its connection and its `Last-Event-ID`.
fn accept_request(bus: &TcpListener) -> (TcpStream, String) {
    bus.set_nonblocking(true).expect("set socket option");
    let deadline = Instant::now() + TIMEOUT;
    let mut stream = loop {
        match bus.accept() {
            Ok((stream, _)) => break stream,
            Err(_) => assert!(Instant::now() < deadline, "no request in time"),
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    stream.set_nonblocking(false).expect("set socket option");
    stream.set_read_timeout(Some(TIMEOUT)).expect("set socket option");
    let mut lines = BufReader::new(stream.try_clone().expect("clone the stream"));
    let mut line = String::new();
    let mut last_event_id = String::new();
    while lines.read_line(&mut line).unwrap_or(0) > 2 {
        if let Some((_, value)) = line.to_ascii_lowercase().split_once("last-event-id:") {
            last_event_id = value.trim().to_owned();
        }
        line.clear();
    }
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
        .expect("write");
    (stream, last_event_id)
}

fn signal(child: &Child, signal: rustix::process::Signal) {
    let pid = rustix::process::Pid::from_child(child);
    rustix::process::kill_process(pid, signal).expect("run beechloft");
}

#[test]
fn sighup_reloads_configuration_and_sigterm_stops() {
    let (_dir, path) = config_directory();
    let (first, second) = (event_bus(), event_bus());
    let addr = |bus: &TcpListener| bus.local_addr().expect("socket address");
    std::fs::write(&path, config("127.0.0.1:0", addr(&first)).to_string()).expect("write");
    let child = node_command(&path, &[("ROUTER_NAME", "n3"), ("ROUTER_LISTEN", "127.0.0.1:0")])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("start beechloft");
    let mut node = RunningNode(child);
    let (_first_stream, first_id) = accept_request(&first);
    assert_eq!(first_id, "0");
    // While the file is truncated, the node keeps the old configuration and retries reading the file until it is complete.
    let text = config("127.0.0.1:0", addr(&second)).to_string();
    std::fs::write(&path, &text[..text.len() / 2]).expect("write");
    signal(&node.0, rustix::process::Signal::HUP);
    std::thread::sleep(Duration::from_millis(200));
    assert!(node.0.try_wait().expect("get the exit status").is_none(), "exited on SIGHUP");
    std::fs::write(&path, &text).expect("write");
    let (_second_stream, second_id) = accept_request(&second);
    assert_eq!(second_id, "0", "event ids must start from 0 at another bus");
    signal(&node.0, rustix::process::Signal::TERM);
    let deadline = Instant::now() + TIMEOUT;
    let status = loop {
        if let Some(status) = node.0.try_wait().expect("get the exit status") {
            break status;
        }
        assert!(Instant::now() < deadline, "still running after SIGTERM");
        std::thread::sleep(Duration::from_millis(10));
    };
    assert_eq!(status.code(), Some(0));
}

#[test]
fn fleet_nodes_get_distinct_slots_and_stop_one_at_a_time() {
    let (dir, path) = config_directory();
    let bus = event_bus();
    let addr = bus.local_addr().expect("socket address");
    let coordinator = support::reserve_addresses(1)[0];
    let write_fleet_file = |name: &str, options: &str| {
        let text = format!("fleet:\n  name: test\n  keepers: ['{coordinator}']\n{options}");
        let file_path = dir.path().join(name);
        std::fs::write(&file_path, text).expect("write");
        file_path
    };
    let store = dir.path().join("store");
    let coordinator_file =
        write_fleet_file("keeper.yaml", &format!("  listen: {coordinator}\n  store: {}\n", store.display()));
    let fleet_options = "  number: lease\n  number_ttl_ms: 1000\n  restart: {at_most: 1, back_ms: 4000}\n";
    let fleet_file = write_fleet_file("fleet.yaml", fleet_options);
    std::fs::write(&path, config("127.0.0.1:0", addr).to_string()).expect("write");
    let mut coordinator_command = support::beechloft();
    let _coordinator = support::Process::start(
        coordinator_command.arg("keeper").arg(&coordinator_file).stderr(Stdio::null()),
    );
    let mut nodes = Vec::new();
    for n in 0..2 {
        let log = dir.path().join(format!("n{n}.log"));
        let mut node = node_command(&path, &[]);
        node.arg("--fleet").arg(&fleet_file).stderr(std::fs::File::create(&log).expect("create a log file"));
        nodes.push((support::Process::start(&mut node), log));
    }
    let log_contains =
        |n: usize, text: &str| std::fs::read_to_string(&nodes[n].1).is_ok_and(|log| log.contains(text));
    support::wait_until(|| {
        let has_slot = |n: usize, number: usize| log_contains(n, &format!("number={number} of=2 fronts=2"));
        let distinct = (has_slot(0, 0) && has_slot(1, 1)) || (has_slot(0, 1) && has_slot(1, 0));
        if distinct { Ok(()) } else { Err("the nodes don't have distinct slots".into()) }
    });
    assert!((0..2).all(|n| log_contains(n, "number=0 of=0 fronts=1")), "had a slot before the first lease");
    // Both get SIGTERM at once. The second one stops only after the time that the first one has to restart.
    nodes.iter().for_each(|node| node.0.signal(rustix::process::Signal::TERM));
    let mut exited_at = [None, None];
    support::wait_until(|| {
        for (n, node) in nodes.iter_mut().enumerate() {
            if exited_at[n].is_none()
                && node.0.0.try_wait().is_ok_and(|status| status.is_some_and(|status| status.success()))
            {
                exited_at[n] = Some(Instant::now());
            }
        }
        if exited_at.iter().all(Option::is_some) { Ok(()) } else { Err(format!("{exited_at:?}")) }
    });
    let [Some(first), Some(second)] = exited_at else { panic!("a node is still running") };
    let gap = first.max(second) - first.min(second);
    assert!(gap > Duration::from_millis(1_500), "both nodes stopped within {gap:?}");
}

/// Returns the first line of the node's log that contains the text.
fn first_log_line_with(node: &mut Child, text: &str) -> String {
    let stderr = node.stderr.take().expect("stderr is piped");
    let (found, lines) = std::sync::mpsc::channel();
    let text = text.to_owned();
    std::thread::spawn(move || {
        let mut all = BufReader::new(stderr).lines().map_while(Result::ok);
        let _ = found.send(all.find(|line| line.contains(&text)));
    });
    lines.recv_timeout(TIMEOUT).expect("line in time").expect("line before the end of the log")
}

#[test]
fn log_filter_accepts_former_target_of_event_loop() {
    let (_dir, path) = config_directory();
    let bus = event_bus();
    let addr = bus.local_addr().expect("socket address");
    std::fs::write(&path, config("127.0.0.1:0", addr).to_string()).expect("write");
    let child = node_command(&path, &[])
        .env("RUST_LOG", "warn,beechloft_shell=debug")
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("start beechloft");
    let mut node = RunningNode(child);
    let line = first_log_line_with(&mut node.0, "state of the front node");
    assert!(line.contains("DEBUG beechloft_event_loop"), "{line}");
}
