//! A front node without a free descriptor. Alone in its process, as it takes all of them.

mod support;

use std::fs::File;
use std::io::Write;

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use support::manual::{Client, Harness};
use support::messages::{encode, kinds, set_up, test};

/// Takes every descriptor that the process may still open.
fn take_all_descriptors() -> Vec<File> {
    std::iter::from_fn(|| File::open("/dev/null").ok()).collect()
}

#[test]
fn exhausted_descriptors_do_not_mark_media_servers_down_or_end_sessions() {
    let limits = getrlimit(Resource::Nofile);
    setrlimit(Resource::Nofile, Rlimit { current: Some(256), ..limits }).expect("fewer are allowed");
    let mut harness = Harness::new(1);
    let (mut first, mut offered) = harness.start_set_up(1);
    offered.connection.accept(1);
    harness.settle();
    assert_eq!(kinds(&first.receive_frames()), [9]);
    let mut second = harness.connect_client();
    // The media server closes its connection; a set-up needs another, and so does the established session.
    offered.connection.close();
    harness.servers[0].connections.clear();
    harness.settle();
    let taken = take_all_descriptors();
    // Without waiting for it to arrive, as reading the kernel's table takes a descriptor.
    second.stream.write_all(&encode(&[set_up(2, 3_000)])).expect("written");
    let mut answer = Vec::new();
    harness.run_until("an answer at once, as there is nothing to wait for", |_| {
        answer = kinds(&second.receive_frames());
        !answer.is_empty()
    });
    assert_eq!(answer, [12]);
    // Longer than the time after which an unreachable media server is lost.
    harness.advance_ms(4_000);
    assert_eq!(kinds(&first.receive_frames()), [0_u8; 0], "the session was ended");
    drop(taken);
    second.send(&set_up(3, 3_000));
    let mut third = harness.wait_for_offer(3);
    third.connection.accept(3);
    harness.settle();
    assert_eq!(kinds(&second.receive_frames()), [9], "the media server was marked as failed");

    // No connection can be accepted, and there is none that could be closed for it.
    drop((first, second));
    harness.settle();
    let mut waiting = Client::connect(harness.addr);
    let taken_again = take_all_descriptors();
    harness.run_turn();
    harness.run_turn();
    assert!(
        !harness.event_loop.idle_duration().is_zero(),
        "the loop spins on a listener that it can't accept from"
    );
    drop(taken_again);
    harness.advance_ms(50);
    waiting.send(&test(1));
    harness.settle();
    assert_eq!(kinds(&waiting.receive_frames()), [53]);
}
