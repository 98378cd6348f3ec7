//! Whether attempts that overlap are found, and only these: on made-up sets of attempts, and on sockets with a fake front
//! node of the test's own.

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
/// Where the lines of a made-up attempt end on its connection.
const SET_UP: u64 = 100;
const GIVE_UP: u64 = 150;
const ROUNDS: u64 = 300;
const PATIENCE: Duration = Duration::from_secs(20);

fn overlaps(attempts: Vec<Attempt>) -> usize {
    invariants::overlapping_attempts(&Attempts::from([(ID, attempts)]), &[]).len()
}

fn seen(order: u64, connections: &[(u64, u64, bool)]) -> Snapshot {
    let connections = connections.iter().map(|(number, bytes, ended)| {
        let arrived = Arrived { bytes: *bytes, ended: *ended };
        (*number, arrived)
    });
    Snapshot { order, next_connection: 10, connections: connections.collect() }
}

fn attempt(connection: u64, seen: Snapshot, end: Option<AttemptEnd>) -> Attempt {
    Attempt {
        server: usize::try_from(connection).expect("small"),
        connection,
        seen,
        ends: end.into_iter().collect(),
    }
}

const GIVEN_UP: Option<AttemptEnd> = Some(AttemptEnd::GivenUp { position: GIVE_UP });

#[test]
fn attempts_after_each_other_are_no_overlap_whichever_is_read_first() {
    // The first is read at once, the second after the first was given up.
    let first = attempt(1, seen(1, &[(1, SET_UP, false), (2, 0, false)]), GIVEN_UP);
    let second = attempt(2, seen(2, &[(1, GIVE_UP, false), (2, SET_UP, false)]), None);
    assert_eq!(overlaps(vec![first, second.clone()]), 0);
    // The first is read last, with its give-up behind it.
    let late = attempt(1, seen(3, &[(1, GIVE_UP, false), (2, SET_UP, false)]), GIVEN_UP);
    assert_eq!(overlaps(vec![second, late]), 0);
}

#[test]
fn an_attempt_after_the_first_ones_connection_ended_is_no_overlap() {
    let closed = attempt(1, seen(1, &[(1, SET_UP, false)]), Some(AttemptEnd::ConnectionEnded));
    // The close is seen, or the connection is no longer there.
    for connections in [&[(1, SET_UP, true), (2, SET_UP, false)][..], &[(2, SET_UP, false)]] {
        assert_eq!(overlaps(vec![closed.clone(), attempt(2, seen(2, connections), None)]), 0);
    }
}

#[test]
fn an_attempt_after_the_media_server_ended_the_first_is_no_overlap() {
    let over = attempt(1, seen(1, &[(1, SET_UP, false)]), Some(AttemptEnd::ByServer { order: 2 }));
    let after = attempt(2, seen(3, &[(1, SET_UP, false), (2, SET_UP, false)]), None);
    assert_eq!(overlaps(vec![over, after]), 0);
}

#[test]
fn a_give_up_that_crosses_the_media_servers_end_counts_from_its_own_time() {
    let mut crossed = attempt(1, seen(1, &[(1, SET_UP, false), (2, 0, false)]), None);
    crossed.ends = vec![AttemptEnd::ByServer { order: 9 }, AttemptEnd::GivenUp { position: GIVE_UP }];
    let after = attempt(2, seen(2, &[(1, GIVE_UP, false), (2, SET_UP, false)]), None);
    assert_eq!(overlaps(vec![crossed, after]), 0);
}

#[test]
fn attempts_out_at_once_are_found_whichever_is_read_first() {
    let both = [(1, SET_UP, false), (2, SET_UP, false)];
    let ends = [None, GIVEN_UP, Some(AttemptEnd::ConnectionEnded), Some(AttemptEnd::ByServer { order: 9 })];
    for end in ends {
        let first = attempt(1, seen(1, &[(1, SET_UP, false), (2, 0, false)]), end);
        let second = attempt(2, seen(2, &both), None);
        assert_eq!(overlaps(vec![first, second.clone()]), 1, "{end:?}");
        let late = attempt(1, seen(3, &both), end);
        assert_eq!(overlaps(vec![second, late]), 1, "{end:?}");
    }
}

#[test]
fn a_give_up_counts_only_once_its_last_byte_has_arrived() {
    let first = attempt(1, seen(1, &[(1, SET_UP, false), (2, 0, false)]), GIVEN_UP);
    let second = attempt(2, seen(2, &[(1, GIVE_UP - 1, false), (2, SET_UP, false)]), None);
    assert_eq!(overlaps(vec![first, second]), 1);
}

#[test]
fn a_connection_that_is_opened_later_has_not_ended_before() {
    let first = attempt(10, seen(2, &[(2, SET_UP, false), (10, SET_UP, false)]), GIVEN_UP);
    let second = attempt(2, seen(1, &[(2, SET_UP, false)]), None);
    assert_eq!(overlaps(vec![first, second]), 1);
}

#[test]
fn each_pair_of_attempts_that_overlap_is_found_also_on_one_connection() {
    let one = attempt(1, seen(1, &[(1, SET_UP, false)]), None);
    assert_eq!(overlaps(vec![one.clone(), one.clone()]), 1);
    assert_eq!(overlaps(vec![one.clone(), one.clone(), one]), 3);
}

/// How the fake front node ends the first attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FirstEnds {
    ByLine,
    ByClose,
    /// Only after the second has been read.
    AfterTheSecond,
}

fn connect(server: &MediaServer) -> TcpStream {
    let stream = TcpStream::connect(server.addr).expect("it listens");
    stream.set_nodelay(true).expect("a connection");
    stream
}

fn write(mut stream: &TcpStream, op: &str, id: u64) {
    let line = format!("{}\n", json!({"op": op, "call": format!("{id:016x}")}));
    stream.write_all(line.as_bytes()).expect("written");
}

fn wait_for(what: impl Fn() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !what() {
        assert!(Instant::now() < until, "timed out");
        thread::sleep(Duration::from_millis(1));
    }
}

/// Sends sessions to two media servers each, and gives the violations. `new`: each on connections of its own.
fn violations_of(first_ends: FirstEnds, new: bool) -> Vec<String> {
    let recorder = Recorder::start();
    let servers = [MediaServer::start(0, &recorder), MediaServer::start(1, &recorder)];
    let mut streams = servers.each_ref().map(connect);
    for round in 0..ROUNDS {
        let id = set_up_id(Behavior::Silent, 3, round);
        // In turn, so that neither media server's thread is always the later one.
        let (first, second) = if round % 2 == 0 { (0, 1) } else { (1, 0) };
        if new || first_ends == FirstEnds::ByClose {
            streams = servers.each_ref().map(connect);
        }
        write(&streams[first], "offer", id);
        match first_ends {
            FirstEnds::ByLine => write(&streams[first], "end", id),
            FirstEnds::ByClose => streams[first].shutdown(Shutdown::Both).expect("a connection"),
            FirstEnds::AfterTheSecond => {}
        }
        write(&streams[second], "offer", id);
        let attempts = || recorder.attempts.attempts();
        wait_for(|| attempts().get(&id).is_some_and(|of_session| of_session.len() == 2));
        if first_ends == FirstEnds::AfterTheSecond {
            write(&streams[first], "end", id);
        }
        write(&streams[second], "end", id);
        wait_for(|| attempts()[&id].iter().all(|attempt| !attempt.is_out()));
    }
    invariants::overlapping_attempts(&recorder.attempts.attempts(), &recorder.events())
}

#[test]
fn a_set_up_right_behind_a_give_up_elsewhere_is_no_overlap() {
    for new in [false, true] {
        for first_ends in [FirstEnds::ByLine, FirstEnds::ByClose] {
            let violations = violations_of(first_ends, new);
            assert!(
                violations.is_empty(),
                "{first_ends:?}, {new}: {} violations: {}",
                violations.len(),
                violations[0]
            );
        }
    }
}

#[test]
fn a_set_up_before_the_give_up_elsewhere_is_always_found() {
    for new in [false, true] {
        let violations = violations_of(FirstEnds::AfterTheSecond, new);
        assert_eq!(violations.len() as u64, ROUNDS, "on new connections: {new}");
    }
}
