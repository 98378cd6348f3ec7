//! The front node as a process: errors at the start, real signals, and a front node in a fleet.

mod support;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(20);

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

fn node_command(path: &Path, environment: &[(&str, &str)]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_beechloft"));
    command.arg("node").env("ROUTER_CONFIG", path).env_remove("ROUTER_NAME").env_remove("ROUTER_LISTEN");
    command.envs(environment.iter().copied()).stdin(Stdio::null());
    command
}

fn config_folder() -> (tempfile::TempDir, PathBuf) {
    let dir = tempfile::tempdir().expect("a temporary folder");
    let path = dir.path().join("config.json");
    (dir, path)
}

/// The only line on standard error of a process that failed.
fn error_line(out: &Output) -> String {
    let text = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(out.status.code().is_some_and(|c| c != 0), "{out:?}");
    text
}

#[test]
fn a_failed_start_prints_the_reason_as_a_single_line() {
    let (_dir, path) = config_folder();
    let nowhere: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let good = config("127.0.0.1:0", nowhere).to_string();
    assert!(error_line(&node_command(&path, &[]).output().expect("it runs")).contains("config.json"));
    let class = config("127.0.0.1:0", nowhere)["settings"]["classes"][0].to_string();
    let no_classes = good.replace("\"classes\"", "\"klasses\"");
    for bad in ["", "{", "[]", "\u{0}\u{1}", "{\"name\":3}", &good[..good.len() / 2], &no_classes] {
        std::fs::write(&path, bad).expect("written");
        error_line(&node_command(&path, &[]).output().expect("it runs"));
    }
    // A value that a front node can't work with is named by its key.
    let unfit = [
        ("limits.sockets", good.replace("\"sockets\":256", "\"sockets\":39")),
        ("settings.classes", good.replace(&class, "")),
        ("settings.classes", good.replace("\"deadline_us\":1000000", "\"deadline_us\":0")),
        ("settings.family_info.places", good.replace("\"places\":4", "\"places\":0")),
        ("settings.family_info.rates_kb", good.replace("[200.0,400.0]", "[]")),
    ];
    for (key, text) in unfit {
        assert_ne!(text, good, "{key}");
        std::fs::write(&path, text).expect("written");
        let out = node_command(&path, &[]).output().expect("it runs");
        assert!(error_line(&out).contains(key), "{key}: {out:?}");
        assert_eq!(out.status.code(), Some(2), "{key}");
    }
    std::fs::write(&path, &good).expect("written");
    let error_with = |environment: &[(&str, &str)]| {
        error_line(&node_command(&path, environment).output().expect("it runs"))
    };
    let wrong_name = error_with(&[("ROUTER_NAME", "n4")]);
    assert!(wrong_name.contains("ROUTER_NAME says \"n4\", the configuration says \"n3\""), "{wrong_name}");
    let wrong_address = error_with(&[("ROUTER_NAME", "n3"), ("ROUTER_LISTEN", "127.0.0.1:2905")]);
    assert!(wrong_address.contains("ROUTER_LISTEN says \"127.0.0.1:2905\""), "{wrong_address}");
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = taken.local_addr().expect("an address").to_string();
    std::fs::write(&path, config(&addr, nowhere).to_string()).expect("written");
    assert!(error_with(&[]).contains("can't be listened on"));
}

/// A running front node, killed at the end of the test.
struct RunningNode(Child);

impl Drop for RunningNode {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The listener of an event bus.
fn event_bus() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port")
}

/// Accepts and answers the next request for events; its connection and its `Last-Event-ID`.
fn accept_request(bus: &TcpListener) -> (TcpStream, String) {
    bus.set_nonblocking(true).expect("set");
    let until = Instant::now() + PATIENCE;
    let mut stream = loop {
        match bus.accept() {
            Ok((stream, _)) => break stream,
            Err(_) => assert!(Instant::now() < until, "no request"),
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    stream.set_nonblocking(false).expect("set");
    stream.set_read_timeout(Some(PATIENCE)).expect("set");
    let (mut lines, mut line, mut last) =
        (BufReader::new(stream.try_clone().expect("a clone")), String::new(), String::new());
    while lines.read_line(&mut line).unwrap_or(0) > 2 {
        if let Some((_, value)) = line.to_ascii_lowercase().split_once("last-event-id:") {
            last = value.trim().to_owned();
        }
        line.clear();
    }
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
        .expect("written");
    (stream, last)
}

fn signal(child: &Child, signal: rustix::process::Signal) {
    let pid = rustix::process::Pid::from_child(child);
    rustix::process::kill_process(pid, signal).expect("it runs");
}

#[test]
fn signals_reload_the_configuration_and_stop_the_process() {
    let (_dir, path) = config_folder();
    let (first, second) = (event_bus(), event_bus());
    let addr = |b: &TcpListener| b.local_addr().expect("an address");
    std::fs::write(&path, config("127.0.0.1:0", addr(&first)).to_string()).expect("written");
    let child = node_command(&path, &[("ROUTER_NAME", "n3"), ("ROUTER_LISTEN", "127.0.0.1:0")])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("it starts");
    let mut node = RunningNode(child);
    let (_first_stream, first_id) = accept_request(&first);
    assert_eq!(first_id, "0");
    // Half a file first: the old configuration stays, and the file is read again until it is whole.
    let text = config("127.0.0.1:0", addr(&second)).to_string();
    std::fs::write(&path, &text[..text.len() / 2]).expect("written");
    signal(&node.0, rustix::process::Signal::HUP);
    std::thread::sleep(Duration::from_millis(200));
    assert!(node.0.try_wait().expect("known").is_none(), "it ended on SIGHUP");
    std::fs::write(&path, &text).expect("written");
    let (_second_stream, second_id) = accept_request(&second);
    assert_eq!(second_id, "0", "the numbering does not go on");
    signal(&node.0, rustix::process::Signal::TERM);
    let until = Instant::now() + PATIENCE;
    let status = loop {
        if let Some(status) = node.0.try_wait().expect("known") {
            break status;
        }
        assert!(Instant::now() < until, "still running after SIGTERM");
        std::thread::sleep(Duration::from_millis(10));
    };
    assert_eq!(status.code(), Some(0));
}

#[test]
fn in_a_fleet_it_gets_a_number_by_lease_and_restarts_in_its_turn() {
    let (dir, path) = config_folder();
    let bus = event_bus();
    let addr = bus.local_addr().expect("an address");
    let coordinator = support::kept_addresses(1)[0];
    let file = |name: &str, options: &str| {
        let text = format!("fleet:\n  name: test\n  keepers: ['{coordinator}']\n{options}");
        let file_path = dir.path().join(name);
        std::fs::write(&file_path, text).expect("written");
        file_path
    };
    let store = dir.path().join("store");
    let coordinator_file =
        file("keeper.yaml", &format!("  listen: {coordinator}\n  store: {}\n", store.display()));
    let fleet_options = "  number: lease\n  number_ttl_ms: 1000\n  restart: {at_most: 1, back_ms: 4000}\n";
    let fleet_file = file("fleet.yaml", fleet_options);
    std::fs::write(&path, config("127.0.0.1:0", addr).to_string()).expect("written");
    let mut coordinator_command = support::beechloft();
    let _coordinator = support::Process::start(
        coordinator_command.arg("keeper").arg(&coordinator_file).stderr(Stdio::null()),
    );
    let mut nodes = Vec::new();
    for n in 0..2 {
        let log = dir.path().join(format!("n{n}.log"));
        let mut node = node_command(&path, &[]);
        node.arg("--fleet").arg(&fleet_file).stderr(std::fs::File::create(&log).expect("a file"));
        nodes.push((support::Process::start(&mut node), log));
    }
    let logs = |n: usize, what: &str| std::fs::read_to_string(&nodes[n].1).is_ok_and(|t| t.contains(what));
    support::until(|| {
        let of = |n: usize, number: usize| logs(n, &format!("number={number} of=2 fronts=2"));
        let differ = (of(0, 0) && of(1, 1)) || (of(0, 1) && of(1, 0));
        if differ { Ok(()) } else { Err("they do not have distinct numbers".into()) }
    });
    assert!((0..2).all(|n| logs(n, "number=0 of=0 fronts=1")), "numbered before the first lease");
    // Both get SIGTERM at once: one stops, the other when the first one's time to be back is over.
    nodes.iter().for_each(|n| n.0.signal(rustix::process::Signal::TERM));
    let mut ended = [None, None];
    support::until(|| {
        for (n, node) in nodes.iter_mut().enumerate() {
            if ended[n].is_none() && node.0.0.try_wait().is_ok_and(|s| s.is_some_and(|s| s.success())) {
                ended[n] = Some(Instant::now());
            }
        }
        if ended.iter().all(Option::is_some) { Ok(()) } else { Err(format!("{ended:?}")) }
    });
    let [Some(a), Some(b)] = ended else { panic!("one is still running") };
    let apart = a.max(b) - a.min(b);
    assert!(apart > Duration::from_millis(1_500), "both had stopped within {apart:?}");
}

/// The first line of the node's log that contains the text.
fn first_log_line_with(node: &mut Child, text: &str) -> String {
    let stderr = node.stderr.take().expect("a pipe");
    let (found, lines) = std::sync::mpsc::channel();
    let text = text.to_owned();
    std::thread::spawn(move || {
        let mut all = BufReader::new(stderr).lines().map_while(Result::ok);
        let _ = found.send(all.find(|line| line.contains(&text)));
    });
    lines.recv_timeout(PATIENCE).expect("the line in time").expect("the line before the end of the log")
}

#[test]
fn log_filters_with_the_former_name_of_the_event_loop_still_work() {
    let (_dir, path) = config_folder();
    let bus = event_bus();
    let addr = bus.local_addr().expect("an address");
    std::fs::write(&path, config("127.0.0.1:0", addr).to_string()).expect("written");
    let child = node_command(&path, &[])
        .env("RUST_LOG", "warn,beechloft_shell=debug")
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    let mut node = RunningNode(child);
    let line = first_log_line_with(&mut node.0, "state of the front node");
    assert!(line.contains("DEBUG beechloft_event_loop"), "{line}");
}
