//! Tests that exactly the overlapping attempts are found: on synthetic sets of attempts, and on sockets with a fake front node.

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::attempts::{Attempt, AttemptEnd, Attempts};
use crate::behavior::{Behavior, set_up_id};
use crate::invariants;
use crate::media_server::MediaServer;
use crate::recorder::Recorder;
use crate::sockets::{Arrived, Snapshot};

const ID: u64 = 7;
/// Position on its connection at which the set-up of a synthetic attempt ends.
const SET_UP: u64 = 100;
/// Position on its connection at which the abandonment of a synthetic attempt ends.
const ABANDONMENT: u64 = 150;
/// Number of sessions in a test on sockets.
const ROUNDS: u64 = 300;
const TIMEOUT: Duration = Duration::from_secs(20);

/// Returns the number of overlaps among the attempts of one session.
fn overlaps(attempts: Vec<Attempt>) -> usize {
    invariants::overlapping_attempts(&Attempts::from([(ID, attempts)]), &[]).len()
}

/// Returns a snapshot of connections, each given by number, bytes and whether it has ended.
fn seen(order: u64, connections: &[(u64, u64, bool)]) -> Snapshot {
    let connections = connections.iter().map(|(number, bytes, ended)| {
        let arrived = Arrived { bytes: *bytes, ended: *ended };
        (*number, arrived)
    });
    Snapshot { order, next_connection: 10, connections: connections.collect() }
}

fn attempt(connection: u64, seen: Snapshot, end: Option<AttemptEnd>) -> Attempt {
    Attempt {
        server: usize::try_from(connection).expect("small number"),
        connection,
        seen,
        ends: end.into_iter().collect(),
    }
}

const ABANDONED: Option<AttemptEnd> = Some(AttemptEnd::Abandoned { position: ABANDONMENT });

#[test]
fn sequential_attempts_do_not_overlap_in_any_read_order() {
    // The first attempt is read at once, the second one after the first one was abandoned.
    let first = attempt(1, seen(1, &[(1, SET_UP, false), (2, 0, false)]), ABANDONED);
    let second = attempt(2, seen(2, &[(1, ABANDONMENT, false), (2, SET_UP, false)]), None);
    assert_eq!(overlaps(vec![first, second.clone()]), 0);
    // The first attempt is read last, with its abandonment right behind it.
    let late = attempt(1, seen(3, &[(1, ABANDONMENT, false), (2, SET_UP, false)]), ABANDONED);
    assert_eq!(overlaps(vec![second, late]), 0);
}

#[test]
fn attempt_after_connection_end_does_not_overlap() {
    let closed = attempt(1, seen(1, &[(1, SET_UP, false)]), Some(AttemptEnd::ConnectionEnded));
    // The snapshot either shows the close or no longer contains the connection.
    for connections in [&[(1, SET_UP, true), (2, SET_UP, false)][..], &[(2, SET_UP, false)]] {
        assert_eq!(overlaps(vec![closed.clone(), attempt(2, seen(2, connections), None)]), 0);
    }
}

#[test]
fn attempt_after_end_by_server_does_not_overlap() {
    let ended = attempt(1, seen(1, &[(1, SET_UP, false)]), Some(AttemptEnd::ByServer { order: 2 }));
    let after = attempt(2, seen(3, &[(1, SET_UP, false), (2, SET_UP, false)]), None);
    assert_eq!(overlaps(vec![ended, after]), 0);
}

#[test]
fn abandonment_crossing_end_by_server_counts_from_its_own_time() {
    let mut crossed = attempt(1, seen(1, &[(1, SET_UP, false), (2, 0, false)]), None);
    crossed.ends = vec![AttemptEnd::ByServer { order: 9 }, AttemptEnd::Abandoned { position: ABANDONMENT }];
    let after = attempt(2, seen(2, &[(1, ABANDONMENT, false), (2, SET_UP, false)]), None);
    assert_eq!(overlaps(vec![crossed, after]), 0);
}

#[test]
fn finds_overlap_in_any_read_order() {
    let both = [(1, SET_UP, false), (2, SET_UP, false)];
    let ends = [None, ABANDONED, Some(AttemptEnd::ConnectionEnded), Some(AttemptEnd::ByServer { order: 9 })];
    for end in ends {
        let first = attempt(1, seen(1, &[(1, SET_UP, false), (2, 0, false)]), end);
        let second = attempt(2, seen(2, &both), None);
        assert_eq!(overlaps(vec![first, second.clone()]), 1, "{end:?}");
        let late = attempt(1, seen(3, &both), end);
        assert_eq!(overlaps(vec![second, late]), 1, "{end:?}");
    }
}

#[test]
fn abandonment_counts_once_its_last_byte_has_arrived() {
    let first = attempt(1, seen(1, &[(1, SET_UP, false), (2, 0, false)]), ABANDONED);
    let second = attempt(2, seen(2, &[(1, ABANDONMENT - 1, false), (2, SET_UP, false)]), None);
    assert_eq!(overlaps(vec![first, second]), 1);
}

#[test]
fn connection_opened_later_has_not_ended_before() {
    let first = attempt(10, seen(2, &[(2, SET_UP, false), (10, SET_UP, false)]), ABANDONED);
    let second = attempt(2, seen(1, &[(2, SET_UP, false)]), None);
    assert_eq!(overlaps(vec![first, second]), 1);
}

#[test]
fn finds_each_overlapping_pair_on_one_connection() {
    let one = attempt(1, seen(1, &[(1, SET_UP, false)]), None);
    assert_eq!(overlaps(vec![one.clone(), one.clone()]), 1);
    assert_eq!(overlaps(vec![one.clone(), one.clone(), one]), 3);
}

/// How the fake front node ends the first attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FirstEnd {
    /// By a message right before the second attempt.
    ByMessage,
    /// By closing the connection right before the second attempt.
    ByClose,
    /// By a message after the second attempt has been read.
    AfterSecond,
}

fn connect(server: &MediaServer) -> TcpStream {
    let stream = TcpStream::connect(server.addr).expect("connect to the media server");
    stream.set_nodelay(true).expect("set socket option");
    stream
}

fn write(mut stream: &TcpStream, op: &str, id: u64) {
    let line = format!("{}\n", json!({"op": op, "call": format!("{id:016x}")}));
    stream.write_all(line.as_bytes()).expect("write");
}

fn wait_for(condition: impl Fn() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out");
        thread::sleep(Duration::from_millis(1));
    }
}

/// Sends each session to both media servers and returns the violations. Each session gets new connections if `new` is set.
fn violations_of(first_end: FirstEnd, new: bool) -> Vec<String> {
    let recorder = Recorder::start();
    let servers = [MediaServer::start(0, &recorder), MediaServer::start(1, &recorder)];
    let mut streams = servers.each_ref().map(connect);
    for round in 0..ROUNDS {
        let id = set_up_id(Behavior::Silent, 3, round);
        // The order alternates, so that neither media server's thread is always the later one.
        let (first, second) = if round % 2 == 0 { (0, 1) } else { (1, 0) };
        if new || first_end == FirstEnd::ByClose {
            streams = servers.each_ref().map(connect);
        }
        write(&streams[first], "offer", id);
        match first_end {
            FirstEnd::ByMessage => write(&streams[first], "end", id),
            FirstEnd::ByClose => streams[first].shutdown(Shutdown::Both).expect("shut the connection down"),
            FirstEnd::AfterSecond => {}
        }
        write(&streams[second], "offer", id);
        let attempts = || recorder.attempts.attempts();
        wait_for(|| attempts().get(&id).is_some_and(|of_session| of_session.len() == 2));
        if first_end == FirstEnd::AfterSecond {
            write(&streams[first], "end", id);
        }
        write(&streams[second], "end", id);
        wait_for(|| attempts()[&id].iter().all(|attempt| !attempt.is_pending()));
    }
    invariants::overlapping_attempts(&recorder.attempts.attempts(), &recorder.events())
}

#[test]
fn set_up_right_after_abandonment_elsewhere_does_not_overlap() {
    for new in [false, true] {
        for first_end in [FirstEnd::ByMessage, FirstEnd::ByClose] {
            let violations = violations_of(first_end, new);
            assert!(
                violations.is_empty(),
                "{first_end:?}, {new}: {} violations: {}",
                violations.len(),
                violations[0]
            );
        }
    }
}

#[test]
fn finds_every_set_up_before_abandonment_elsewhere() {
    for new in [false, true] {
        let violations = violations_of(FirstEnd::AfterSecond, new);
        assert_eq!(violations.len() as u64, ROUNDS, "on new connections: {new}");
    }
}
