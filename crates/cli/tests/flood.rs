//! Hundreds of connections to a process of the program that stop half way through a long message.

mod support;

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use beechloft_coordinator::FleetSettings;
use beechloft_coordinator::wire::{self, Message};
use support::keepers::Fleet;
use support::wait_until;

/// Number of connections. Each has two threads in the keeper.
const CONNECTIONS: usize = 300;
/// Size of the message that each connection begins, bytes.
const MESSAGE_BYTES: usize = 1_000_000;
/// Number of bytes of the message that each connection sends.
const SENT_BYTES: usize = 800_000;
/// Time for which the connections send.
const SEND_TIME: Duration = Duration::from_secs(3);
/// Maximum peak memory of the keeper, kB. The bytes that the connections send are 240 MB.
const MAX_PEAK_KB: u64 = 120_000;

/// Returns the peak resident memory of a process in kB, or `None` if the system does not provide it.
fn peak_kb(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Guards against a keeper that holds as many long messages as there are connections.
#[test]
fn hundreds_of_half_sent_messages_use_little_memory_of_a_keeper() {
    let fleet = Fleet::new(1);
    fleet.leader(1);
    let process = fleet.replicas[0].as_ref().expect("the keeper runs").0.id();
    let text = std::fs::read_to_string(fleet.settings(None)).expect("read the settings");
    let settings = FleetSettings::read(&text).expect("valid settings");
    let mut bytes = wire::encode(settings.fleet_id(), &Message::NotLeader(Some("x".repeat(MESSAGE_BYTES))))
        .expect("the message has a valid length");
    bytes.truncate(SENT_BYTES);
    let mut streams = Vec::new();
    for _ in 0..CONNECTIONS {
        let stream = TcpStream::connect(fleet.addresses[0]).expect("connect to the keeper");
        stream.set_nonblocking(true).expect("set a socket option");
        streams.push((stream, 0));
    }
    let deadline = Instant::now() + SEND_TIME;
    while Instant::now() < deadline {
        for (stream, sent) in &mut streams {
            if let Ok(count) = stream.write(&bytes[*sent..]) {
                *sent += count;
            }
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    // The keeper still serves its clients.
    wait_until(|| if fleet.status().is_empty() { Err("no status".into()) } else { Ok(()) });
    if let Some(peak) = peak_kb(process) {
        assert!(peak < MAX_PEAK_KB, "the keeper's peak memory is {peak} kB");
    }
}
