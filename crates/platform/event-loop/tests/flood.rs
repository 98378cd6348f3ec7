//! Hundreds of viewers' connections that send short messages faster than they are handled.
//!
//! The test is alone in its file, because it measures the memory of its process.

mod support;

use std::io::Write;

use beechloft_protocol::binary::Frame;
use support::configuration::TestSettings;
use support::manual::{Client, Harness};
use support::messages::{encode, release, set_up};

/// Number of connections that send at full speed.
const FLOODING_CONNECTIONS: u64 = 300;
/// Number of messages that wait on each of these connections.
const MESSAGES: u64 = 5_000;
/// Number of iterations in which a set-up of another client must reach a media server.
const MAX_ITERATIONS: usize = 3;
/// Maximum growth of the peak memory in kB. The encoded messages of all connections are 20 MB.
const MAX_GROWTH_KB: u64 = 20_000;
/// First identifier of the set-ups that the other client sends.
const FIRST_SET_UP: u64 = 1 << 40;

/// Returns the peak resident memory of the process in kB, or `None` if the system does not provide it.
fn peak_kb() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Returns a client whose connection is accepted, before the listen queue is full.
fn connect(harness: &mut Harness) -> Client {
    let client = Client::connect(harness.addr);
    harness.run_iteration();
    client
}

/// Opens connections on which messages of new sessions wait, and checks the memory and the delay of another client.
fn check_flood(set_up_id: u64, message: impl Fn(u64) -> Frame) {
    let settings = TestSettings { sockets: 1024, ..TestSettings::default() };
    let mut harness = Harness::with_settings(1, &settings);
    harness.warm_up_connections();
    let mut client = harness.connect_client();
    let mut flooding: Vec<Client> = (0..FLOODING_CONNECTIONS).map(|_| connect(&mut harness)).collect();
    let before = peak_kb();
    for (number, connection) in (0..).zip(&mut flooding) {
        let frames: Vec<Frame> = (1..=MESSAGES).map(|n| message(number * MESSAGES + n)).collect();
        connection.stream.set_nonblocking(false).expect("cannot set socket option");
        connection.stream.write_all(&encode(&frames)).expect("write failed");
    }
    client.send(&set_up(set_up_id, 3_000));
    for _ in 0..MAX_ITERATIONS {
        harness.run_iteration();
    }
    let offered = harness.servers[0].connection_with_offer(set_up_id).is_some();
    assert!(offered, "the set-up of another client waits");
    harness.settle();
    if let (Some(before), Some(after)) = (before, peak_kb()) {
        let growth = after - before;
        assert!(growth < MAX_GROWTH_KB, "the peak memory has grown by {growth} kB");
    }
}

/// Guards against memory that grows with releases of unknown sessions, and against answers that wait behind them.
#[test]
fn hundreds_of_connections_with_short_messages_use_little_memory_and_delay_nobody() {
    check_flood(FIRST_SET_UP, release);
    check_flood(FIRST_SET_UP + 1, |id| Frame::new(44, beechloft_protocol::CallId(id)));
}
