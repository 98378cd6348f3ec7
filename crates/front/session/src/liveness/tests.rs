//! What ends the sessions of a media server, and what does not.

use super::*;

const SERVER: ServerId = ServerId(3);

#[test]
fn a_broken_stream_alone_loses_nothing_for_a_while() {
    let mut liveness = Liveness::default();
    assert_eq!(liveness.connected(SERVER, 7), ProcessState::Unchanged);
    liveness.disconnected(Micros(5), SERVER);
    liveness.disconnected(Micros(6_000_000), SERVER);
    assert!(liveness.take_lost(Micros(9_000_000)).is_empty());
    assert_eq!(liveness.connected(SERVER, 7), ProcessState::Unchanged);
    assert!(liveness.take_lost(Micros(99_000_000)).is_empty());
}

#[test]
fn another_start_or_a_refused_connection_ends_what_ran_there() {
    let mut liveness = Liveness::default();
    liveness.connected(SERVER, 7);
    assert_eq!(liveness.connected(SERVER, 8), ProcessState::Exited);
    assert_eq!(liveness.connection_refused(SERVER), ProcessState::Exited);
    assert_eq!(
        liveness.connected(SERVER, 9),
        ProcessState::Unchanged,
        "the first start that is seen ends nothing"
    );
}

#[test]
fn a_server_unreachable_for_too_long_is_lost_once() {
    let mut liveness = Liveness::default();
    liveness.disconnected(Micros(0), SERVER);
    assert_eq!(liveness.next_due(), Some(UNREACHABLE_TIMEOUT));
    assert_eq!(liveness.take_lost(UNREACHABLE_TIMEOUT), [SERVER]);
    assert!(liveness.take_lost(UNREACHABLE_TIMEOUT + UNREACHABLE_TIMEOUT).is_empty());
}
