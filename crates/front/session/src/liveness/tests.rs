//! Tests of the detection of lost media servers.

use super::*;

const SERVER: ServerId = ServerId(3);

#[test]
fn broken_stream_does_not_lose_media_server_before_timeout() {
    let mut liveness = Liveness::default();
    assert_eq!(liveness.connected(SERVER, 7), ProcessState::Unchanged);
    liveness.disconnected(Micros(5), SERVER);
    liveness.disconnected(Micros(6_000_000), SERVER);
    assert!(liveness.take_lost(Micros(9_000_000)).is_empty());
    assert_eq!(liveness.connected(SERVER, 7), ProcessState::Unchanged);
    assert!(liveness.take_lost(Micros(99_000_000)).is_empty());
}

#[test]
fn new_boot_or_refused_connection_means_process_exited() {
    let mut liveness = Liveness::default();
    liveness.connected(SERVER, 7);
    assert_eq!(liveness.connected(SERVER, 8), ProcessState::Exited);
    assert_eq!(liveness.connection_refused(SERVER), ProcessState::Exited);
    assert_eq!(
        liveness.connected(SERVER, 9),
        ProcessState::Unchanged,
        "the first observed start is not a restart"
    );
}

#[test]
fn unreachable_media_server_is_lost_once() {
    let mut liveness = Liveness::default();
    liveness.disconnected(Micros(0), SERVER);
    assert_eq!(liveness.next_due(), Some(UNREACHABLE_TIMEOUT));
    assert_eq!(liveness.take_lost(UNREACHABLE_TIMEOUT), [SERVER]);
    assert!(liveness.take_lost(UNREACHABLE_TIMEOUT + UNREACHABLE_TIMEOUT).is_empty());
}
