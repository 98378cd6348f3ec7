//! Load on a front node: steady set-ups, bursts, and clients that depart while an attempt is pending.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::behavior::Behavior;
use crate::clients::{ClientConnection, Departure};
use crate::fleet::{FrontNode, NodeState};
use crate::media_server::ERROR_DELAY;
use crate::recorder::Recorder;

/// Number of connections that a burst opens.
const NEW_CONNECTIONS: usize = 8;

/// Returns a duration in milliseconds.
pub fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Sends set-ups to a front node while that is allowed, with the given behaviors in rotation and a pause after each.
pub fn send_load(
    node: &FrontNode,
    recorder: &Recorder,
    behaviors: &[Behavior],
    pause: Duration,
    stop: &AtomicBool,
) {
    let mut connections: VecDeque<Arc<ClientConnection>> = VecDeque::new();
    let mut round = 0_usize;
    while !stop.load(Ordering::SeqCst) {
        if node.paused.load(Ordering::SeqCst) {
            thread::sleep(millis(10));
            continue;
        }
        let since = node.since_termination();
        let (may_connect, may_send) = match node.state() {
            NodeState::Up => (true, true),
            // Clients may connect and send for longer than this after SIGTERM; the difference is a safety margin.
            NodeState::Terminating => (
                since.is_some_and(|elapsed| elapsed < millis(350)),
                since.is_some_and(|elapsed| elapsed < millis(550)),
            ),
            NodeState::Down => (false, false),
        };
        connections.retain(|connection| !connection.closed.load(Ordering::SeqCst));
        if may_connect && (connections.len() < 2 || round % 16 == 15) {
            connections.extend(ClientConnection::open(node.number, node.addr, recorder));
        }
        if connections.len() > 2
            && let Some(index) = connections.iter().position(|connection| !connection.has_pending())
            && let Some(old) = connections.remove(index)
        {
            old.depart(Departure::Fin);
        }
        if may_send && let Some(connection) = connections.get(round % connections.len().max(1)) {
            connection.send_set_up(behaviors[round % behaviors.len()]);
        }
        round += 1;
        thread::sleep(pause);
    }
    // The connections stay open until pending set-ups have been answered.
    let deadline = Instant::now() + millis(5_000);
    while connections
        .iter()
        .any(|connection| connection.has_pending() && !connection.closed.load(Ordering::SeqCst))
        && Instant::now() < deadline
    {
        thread::sleep(millis(10));
    }
    connections.iter().for_each(|connection| connection.depart(Departure::Fin));
}

/// Lets a client depart while its set-up is pending at a media server. The media server answers with an error after that.
pub fn depart_during_attempt(node: &FrontNode, recorder: &Recorder, how: Departure) {
    let Some(connection) = ClientConnection::open(node.number, node.addr, recorder) else { return };
    let Some(id) = connection.send_set_up(Behavior::ErrorAfterDeparture) else { return };
    let deadline = Instant::now() + millis(1_200);
    while !recorder.has_reached_a_server(id) && Instant::now() < deadline {
        thread::sleep(millis(2));
    }
    connection.depart(how);
    thread::sleep(ERROR_DELAY + millis(400));
    connection.depart(Departure::Fin);
}

/// Sends a set-up on each of these connections and on `NEW_CONNECTIONS` new ones, which are added to `opened`.
pub fn burst(
    node: &FrontNode,
    recorder: &Recorder,
    open: &[Arc<ClientConnection>],
    opened: &mut Vec<Arc<ClientConnection>>,
) {
    for connection in open {
        connection.send_set_up(Behavior::Accept);
    }
    for _ in 0..NEW_CONNECTIONS {
        if let Some(connection) = ClientConnection::open(node.number, node.addr, recorder) {
            connection.send_set_up(Behavior::Accept);
            opened.push(connection);
        }
    }
}
