//! A front node that has no descriptor left. Alone in its process, as it takes all of them.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::shadow_unrelated)]

#[allow(dead_code)]
#[path = "crossings/stage.rs"]
mod stage;

use std::fs::File;
use std::io::Write;

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use stage::{Client, Stage, bytes, set_up};

/// Takes every descriptor that the process may still have.
fn take_all() -> Vec<File> {
    std::iter::from_fn(|| File::open("/dev/null").ok()).collect()
}

/// Each has one final answer at most so far.
fn kinds(client: &mut Client) -> Vec<u8> {
    client.hear().expect("no reset").0.iter().map(|f| f.kind).collect()
}

#[test]
fn no_descriptor_left_says_nothing_of_media_servers_and_costs_no_session() {
    let limits = getrlimit(Resource::Nofile);
    setrlimit(Resource::Nofile, Rlimit { current: Some(256), ..limits }).expect("fewer are allowed");
    let mut stage = Stage::new(1);
    let (mut first, _, mut line) = stage.asked(1);
    line.accept(1);
    stage.settle();
    assert_eq!(kinds(&mut first), [9]);
    let mut second = stage.client();
    // The media server ends its connection; a set-up wants another, and so does the session that stands there.
    line.shut();
    stage.media[0].conns.clear();
    stage.settle();
    let all = take_all();
    // Not looked for in the kernel's table, which takes a descriptor.
    second.stream.write_all(&bytes(&[set_up(2, 3_000)])).expect("written");
    let mut answer = Vec::new();
    stage.turns_until("an answer at once, as there is nothing to wait for", |_| {
        answer = kinds(&mut second);
        !answer.is_empty()
    });
    assert_eq!(answer, [12]);
    // Longer than a media server that can't be reached is waited for.
    stage.pass(4_000);
    assert_eq!(kinds(&mut first), [0_u8; 0], "the session is not called lost");
    drop(all);
    second.say(&set_up(3, 3_000));
    let (_, mut line) = stage.offered(3);
    line.accept(3);
    stage.settle();
    assert_eq!(kinds(&mut second), [9], "the media server is not distrusted");

    // Nobody can be accepted, and nobody is there whose connection could be closed for it.
    drop((first, second));
    stage.settle();
    let mut waits = Client::connect(stage.addr);
    let all = take_all();
    stage.turn();
    stage.turn();
    assert!(!stage.shell.idle_duration().is_zero(), "the loop spins on a listener that it can't accept from");
    drop(all);
    stage.pass(50);
    waits.say(&stage::test(1));
    stage.settle();
    assert_eq!(kinds(&mut waits), [53]);
}
