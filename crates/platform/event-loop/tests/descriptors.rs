//! A front node without free file descriptors. This test has a process of its own, as it opens all of them.

mod support;

use std::fs::File;
use std::io::Write;

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use support::manual::{Client, Harness};
use support::messages::{encode, kinds, set_up, test};

/// Opens all file descriptors that the process may still open.
fn exhaust_descriptors() -> Vec<File> {
    std::iter::from_fn(|| File::open("/dev/null").ok()).collect()
}

#[test]
fn exhausted_descriptors_do_not_fail_servers_or_sessions() {
    let limits = getrlimit(Resource::Nofile);
    setrlimit(Resource::Nofile, Rlimit { current: Some(256), ..limits }).expect("setrlimit failed");
    let mut harness = Harness::new(1);
    let (mut first, mut offered) = harness.start_set_up(1);
    offered.connection.accept(1);
    harness.settle();
    assert_eq!(kinds(&first.receive_frames()), [9]);
    let mut second = harness.connect_client();
    // The media server closes the connection. The next set-up and the established session need a new one.
    offered.connection.close();
    harness.servers[0].connections.clear();
    harness.settle();
    let opened = exhaust_descriptors();
    // Does not wait for the arrival, as reading the kernel's socket table needs a file descriptor.
    second.stream.write_all(&encode(&[set_up(2, 3_000)])).expect("write failed");
    let mut answer = Vec::new();
    harness.run_until("an answer", |_| {
        answer = kinds(&second.receive_frames());
        !answer.is_empty()
    });
    assert_eq!(answer, [12]);
    // Longer than the time after which an unreachable media server counts as lost.
    harness.advance_ms(4_000);
    assert_eq!(kinds(&first.receive_frames()), [0_u8; 0], "the session was ended");
    drop(opened);
    second.send(&set_up(3, 3_000));
    let mut third = harness.wait_for_offer(3);
    third.connection.accept(3);
    harness.settle();
    assert_eq!(kinds(&second.receive_frames()), [9], "the media server was marked as failed");

    // No connection can be accepted, and there is none to evict.
    drop((first, second));
    harness.settle();
    let mut waiting = Client::connect(harness.addr);
    let opened_again = exhaust_descriptors();
    harness.run_iteration();
    harness.run_iteration();
    assert!(
        !harness.event_loop.idle_duration().is_zero(),
        "the loop spins on a listener from which it cannot accept"
    );
    drop(opened_again);
    harness.advance_ms(50);
    waiting.send(&test(1));
    harness.settle();
    assert_eq!(kinds(&waiting.receive_frames()), [53]);
}
