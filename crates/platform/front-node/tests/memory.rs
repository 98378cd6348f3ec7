//! Two hundred media servers of which a hundred and twenty are replaced at once, again and again. Alone in its process,
//! as it reads that process's memory.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::shadow_unrelated)]

mod support;

use beechloft_protocol::bus::Status;
use support::{Rig, endpoint};

/// Memory that the process has in use, in kB; none: the system does not tell.
fn resident_kb() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

#[test]
fn a_list_of_which_most_is_replaced_at_once_costs_no_memory_afterwards() {
    let mut rig = Rig::new(1, 200);
    let mut made = 200;
    let mut next = 1;
    let mut replace = |rig: &mut Rig| {
        let old = (made - 120..made).map(|n| endpoint(n, Status::Gone));
        let new = (made..made + 120).map(|n| endpoint(n, Status::Ready));
        rig.bus(old.chain(new).collect());
        made += 120;
        // Their processes end, with all that stands there.
        for lane in rig.held.clone() {
            rig.hear(beechloft_front_node::Input::ServerDown(lane));
        }
        // Sessions come meanwhile, and what is known of their servers with them.
        for _ in 0..50 {
            rig.ask(1, next, 2_000);
            if rig.out.contains_key(&beechloft_protocol::CallId(next)) {
                rig.accept(next);
            }
            next += 1;
        }
        // The rig's own books are no part of it.
        rig.answers.clear();
        rig.pass(20_000);
    };
    // What is gone is forgotten a while later, with the next word of the list.
    let twice = |rig: &mut Rig, replace: &mut dyn FnMut(&mut Rig)| {
        replace(rig);
        replace(rig);
        let counts = rig.node.counts();
        (counts.servers, counts.incarnations)
    };
    let first = twice(&mut rig, &mut replace);
    assert!(first.0 <= 200 + 120 + 50, "{first:?}");

    for _ in 0..4 {
        twice(&mut rig, &mut replace);
    }
    let early = resident_kb();
    for _ in 0..30 {
        twice(&mut rig, &mut replace);
    }
    let late = twice(&mut rig, &mut replace);
    assert!(late.0 <= 200 + 120 + 50, "{late:?}");
    if let (Some(early), Some(late)) = (early, resident_kb()) {
        assert!(late < early + 1024, "{early} kB, then {late} kB");
    }
}
