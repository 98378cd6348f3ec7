//! Two hundred media servers of which a hundred and twenty are replaced at once, again and again. Alone in its process,
//! as it reads that process's memory.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::shadow_unrelated)]

mod support;

use beechloft_protocol::bus::Status;
use support::{Harness, endpoint};

/// Memory that the process has in use, in kB; none: the system does not tell.
fn resident_kb() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

#[test]
fn a_list_that_is_mostly_replaced_at_once_leaks_no_memory() {
    let mut harness = Harness::new(1, 200);
    let mut made = 200;
    let mut next = 1;
    let mut replace = |harness: &mut Harness| {
        let old = (made - 120..made).map(|n| endpoint(n, Status::Gone));
        let new = (made..made + 120).map(|n| endpoint(n, Status::Ready));
        harness.bus(old.chain(new).collect());
        made += 120;
        // Their processes end, with all that stands there.
        for incarnation in harness.connected.clone() {
            harness.handle(beechloft_front_node::Input::ServerDown(incarnation));
        }
        // Sessions come meanwhile, and what is known of their servers with them.
        for _ in 0..50 {
            harness.set_up(1, next, 2_000);
            if harness.in_flight.contains_key(&beechloft_protocol::CallId(next)) {
                harness.accept(next);
            }
            next += 1;
        }
        // The harness's own books are no part of it.
        harness.answers.clear();
        harness.advance(20_000);
    };
    // What is gone is forgotten a while later, with the next word of the list.
    let twice = |harness: &mut Harness, replace: &mut dyn FnMut(&mut Harness)| {
        replace(harness);
        replace(harness);
        let counts = harness.node.counts();
        (counts.servers, counts.incarnations)
    };
    let first = twice(&mut harness, &mut replace);
    assert!(first.0 <= 200 + 120 + 50, "{first:?}");

    for _ in 0..4 {
        twice(&mut harness, &mut replace);
    }
    let early = resident_kb();
    for _ in 0..30 {
        twice(&mut harness, &mut replace);
    }
    let late = twice(&mut harness, &mut replace);
    assert!(late.0 <= 200 + 120 + 50, "{late:?}");
    if let (Some(early), Some(late)) = (early, resident_kb()) {
        assert!(late < early + 1024, "{early} kB, then {late} kB");
    }
}
