//! Memory use while most of a large endpoint list is replaced many times.
//!
//! The test is alone in its file, because it measures the memory of its process.

mod support;

use beechloft_front_node::Input;
use beechloft_protocol::CallId;
use beechloft_protocol::bus::Status;
use support::{Harness, endpoint};

const SERVERS: u16 = 200;
const REPLACED_SERVERS: u16 = 120;
const SET_UPS_PER_REPLACEMENT: u64 = 50;
/// Maximum number of media servers that the policy may know: those on the list, those that were replaced last, and a
/// margin.
const MAX_KNOWN_SERVERS: usize = SERVERS as usize + REPLACED_SERVERS as usize + 50;
const MAX_GROWTH_KB: u64 = 1024;

/// Returns the resident memory of the process in kB, or `None` if the system does not provide it.
fn resident_kb() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// A harness whose endpoint list is replaced again and again.
struct ReplacedServers {
    harness: Harness,
    next_server: u16,
    next_session: u64,
}

impl ReplacedServers {
    fn new() -> Self {
        ReplacedServers { harness: Harness::new(1, SERVERS), next_server: SERVERS, next_session: 1 }
    }

    fn replace(&mut self) {
        let first_new = self.next_server;
        let removed = (first_new - REPLACED_SERVERS..first_new).map(|index| endpoint(index, Status::Gone));
        let added = (first_new..first_new + REPLACED_SERVERS).map(|index| endpoint(index, Status::Ready));
        self.harness.update_endpoints(removed.chain(added).collect());
        self.next_server += REPLACED_SERVERS;
        // The processes of the media servers end, with all their sessions.
        for incarnation in self.harness.connected.clone() {
            self.harness.handle(Input::ServerDown(incarnation));
        }
        self.establish_sessions();
        // The harness's own records do not count.
        self.harness.answers.clear();
        self.harness.advance(20_000);
    }

    fn establish_sessions(&mut self) {
        for _ in 0..SET_UPS_PER_REPLACEMENT {
            self.harness.set_up(1, self.next_session, 2_000);
            if self.harness.in_flight.contains_key(&CallId(self.next_session)) {
                self.harness.accept(self.next_session);
            }
            self.next_session += 1;
        }
    }

    /// Replaces the media servers twice, and returns the number of those that the policy knows. The policy removes
    /// servers some time after their removal from the list, on the next update of the list.
    fn replace_twice(&mut self) -> usize {
        self.replace();
        self.replace();
        self.harness.node.counts().servers
    }
}

#[test]
fn repeated_replacement_of_servers_leaks_no_memory() {
    let mut servers = ReplacedServers::new();
    let known_first = servers.replace_twice();
    assert!(known_first <= MAX_KNOWN_SERVERS, "{known_first}");

    for _ in 0..4 {
        servers.replace_twice();
    }
    let early_kb = resident_kb();
    for _ in 0..30 {
        servers.replace_twice();
    }
    let known_last = servers.replace_twice();
    assert!(known_last <= MAX_KNOWN_SERVERS, "{known_last}");
    if let (Some(early), Some(late)) = (early_kb, resident_kb()) {
        assert!(late < early + MAX_GROWTH_KB, "{early} kB, then {late} kB");
    }
}
