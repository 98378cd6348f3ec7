//! Tests of a front node on loopback sockets with fake peers. They check the messages on the sockets.

mod support;

use std::io::Write;
use std::net::{Shutdown, SocketAddr};
use std::time::{Duration, Instant};

use beechloft_protocol::CallId;

use serde_json::json;
use support::configuration::write_configuration;
use support::messages::{cause, description, end_line, release, test, topology_event};
use support::threaded::{
    FakeEventBus, FakeMediaServer, RunningFrontNode, ServerBehavior, ViewerClient, set_up, settings,
};
use support::wait_until;

const HALF_A_SECOND: Duration = Duration::from_millis(500);

/// Time after SIGHUP at which what the event bus has to tell counts as told.
const TOLD_AFTER_RELOAD: Duration = Duration::from_secs(4);

/// Time after which a media server gets no set-up any more once its drain counts as told.
const DRAIN_GRACE: Duration = Duration::from_millis(1_050);

#[test]
fn sets_up_and_ends_session() {
    let front = RunningFrontNode::start(&[ServerBehavior::Accept]);
    let mut viewer = ViewerClient::connect(front.addr);
    viewer.send(&test(1));
    let tested = viewer.receive_message();
    assert_eq!((tested.kind, cause(&tested)), (53, 1));
    viewer.request_session(7, 3_000);
    let answer = viewer.receive_message();
    assert_eq!((answer.kind, answer.id), (9, CallId(7)));
    assert_eq!(description(&answer), "answer-0000000000000007\r\nc=IN IP4 10.1.2.3\r\n");
    let offer = &front.servers[0].received("offer")[0];
    assert_eq!(offer["desc"], "offer-0000000000000007\r\nc=IN IP4 10.9.9.9\r\n");
    assert_eq!(
        (&offer["with"]["class"], &offer["with"]["key"]),
        (&json!("stall-video"), &json!("00000000000000aa"))
    );
    front.servers[0].send(
        &json!({"op": "end", "call": "0000000000000007", "with": {"load": "utilization:0.4"}, "why": 16}),
    );
    let end = viewer.receive_message();
    assert_eq!((end.kind, end.id, cause(&end)), (12, CallId(7), 16));
    front.stop();
}

#[test]
fn malformed_answers_fail_only_their_attempt() {
    for behavior in [
        ServerBehavior::MalformedLine,
        ServerBehavior::EndlessLine,
        ServerBehavior::Reset,
        ServerBehavior::TruncatedAnswer,
        ServerBehavior::HugeAnswer,
        ServerBehavior::Full,
        ServerBehavior::Error,
    ] {
        let front = RunningFrontNode::start(&[behavior, ServerBehavior::Accept, ServerBehavior::Accept]);
        let mut viewer = ViewerClient::connect(front.addr);
        // Enough set-ups that the failing media server is tried.
        for id in 1..=40 {
            viewer.request_session(id, 3_000);
            let answer = viewer.receive_message();
            assert_eq!((answer.kind, answer.id), (9, CallId(id)), "{behavior:?}");
        }
        assert!(!front.servers[0].received("offer").is_empty(), "{behavior:?} was never tried");
        front.stop();
    }
}

#[test]
fn duplicate_answers_and_unknown_ids_are_ignored() {
    let front = RunningFrontNode::start(&[ServerBehavior::DuplicateAnswers]);
    let mut viewer = ViewerClient::connect(front.addr);
    // The policy allows this number of concurrent set-ups at one media server.
    for id in 1..=4 {
        viewer.request_session(id, 3_000);
    }
    let answers = viewer.receive_answers(4);
    assert!(answers.values().all(|answer| answer.kind == 9), "{answers:?}");
    assert_eq!(front.offer_count(), 4);
    viewer.send(&test(1));
    assert_eq!(viewer.receive_message().kind, 53, "an answer was repeated");
    front.stop();
}

#[test]
fn silent_server_attempt_is_abandoned_before_retry() {
    let front = RunningFrontNode::start(&[ServerBehavior::Silent, ServerBehavior::Accept]);
    let mut viewer = ViewerClient::connect(front.addr);
    let mut id = 0;
    while front.servers[0].received("offer").is_empty() {
        id += 1;
        assert!(id < 100, "the silent server was never tried");
        viewer.request_session(id, 3_000);
        assert_eq!(viewer.receive_message().kind, 9);
    }
    wait_until("the release at the media server", || !front.servers[0].received("end").is_empty());
    let end = &front.servers[0].received("end")[0];
    assert_eq!((&end["call"], &end["why"]), (&json!(CallId(id).to_string()), &json!(16)));
    front.stop();
}

#[test]
fn withdrawn_set_up_is_abandoned_at_server() {
    let front = RunningFrontNode::start(&[ServerBehavior::Silent]);
    let mut viewer = ViewerClient::connect(front.addr);
    viewer.request_session(1, 3_000);
    wait_until("the set-up", || front.servers[0].received("offer").len() == 1);
    viewer.send(&release(1));
    wait_until("the release at the media server", || front.servers[0].received("end").len() == 1);
    assert_eq!(viewer.receive_message().kind, 16);
    front.stop();
}

/// Checks that the front node closes connections with malformed bytes, with a partial message and without any data.
fn assert_malformed_bytes_close_connections(front: SocketAddr) {
    let malformed: [&[u8]; 5] = [
        &[0, 0],
        &[0xff, 0xff, 1],
        &[0, 9, 77, 0, 0, 0, 0, 0, 0, 0, 1],
        &[0, 12, 1, 0, 0, 0, 0, 0, 0, 0, 1, 1, 0, 9],
        b"GET / HTTP/1.1\r\n\r\n",
    ];
    for bytes in malformed {
        let mut viewer = ViewerClient::connect(front);
        viewer.stream.write_all(bytes).expect("write failed");
        assert!(viewer.ends(), "{bytes:?}");
    }
    let mut partial = ViewerClient::connect(front);
    partial.stream.write_all(&[0, 40, 1, 0]).expect("write failed");
    let mut silent = ViewerClient::connect(front);
    assert!(partial.ends() && silent.ends());
}

/// Checks that a partial message after a complete one closes its connection before the idle timeout.
fn assert_partial_message_after_complete_one_closes_connection(front: SocketAddr) {
    let mut viewer = ViewerClient::connect(front);
    let complete = test(1).encode().expect("message too long");
    viewer.stream.write_all(&[&complete[..], &[0, 40, 1, 0]].concat()).expect("write failed");
    let sent_at = Instant::now();
    assert!(viewer.ends());
    assert!(sent_at.elapsed() < Duration::from_secs(4), "{:?}", sent_at.elapsed());
}

/// Checks that the connection of a client that sends 60 MB of malformed data at full speed is closed.
fn assert_endless_bytes_close_connection(front: SocketAddr) {
    let mut viewer = ViewerClient::connect(front);
    let chunk = vec![0xee; 1 << 20];
    let broken = (0..60).any(|_| viewer.stream.write_all(&chunk).is_err());
    assert!(broken || viewer.ends());
}

/// Checks that set-ups with an invalid parameter are refused with cause 100 on a connection that stays open.
fn assert_invalid_parameters_are_refused(viewer: &mut ViewerClient) {
    let invalid: [(u8, &[u8]); 6] = [
        (1, b"nobody"),
        (3, b"-1"),
        (3, b"NaN"),
        (9, b"zz"),
        (11, b"home:nan;copies:4;top:1;viewer:0000000000000001"),
        (31, &[0xff]),
    ];
    for (id, (code, value)) in (100..).zip(invalid) {
        let mut frame = set_up(id, 3_000);
        frame.parameters.iter_mut().filter(|p| p.code == code).for_each(|p| p.value = value.to_vec());
        viewer.send(&frame);
        let answer = viewer.receive_message();
        assert_eq!((answer.kind, answer.id, cause(&answer)), (12, CallId(id), 100), "{code}");
    }
}

#[test]
fn malformed_input_does_not_affect_other_connections() {
    let front = RunningFrontNode::start(&[ServerBehavior::Accept]);
    let started = Instant::now();
    assert_malformed_bytes_close_connections(front.addr);
    assert_partial_message_after_complete_one_closes_connection(front.addr);
    assert_endless_bytes_close_connection(front.addr);
    let mut viewer = ViewerClient::connect(front.addr);
    assert_invalid_parameters_are_refused(&mut viewer);
    assert!(started.elapsed() < Duration::from_secs(12));
    viewer.request_session(1, 3_000);
    assert_eq!(viewer.receive_message().kind, 9);
    assert_eq!(front.offer_count(), 1);
    front.stop();
}

#[test]
fn flood_does_not_starve_other_viewers() {
    let front = RunningFrontNode::start_with_sockets(&[ServerBehavior::Accept, ServerBehavior::Accept], 256);
    let silent: Vec<ViewerClient> = (0..400).map(|_| ViewerClient::connect(front.addr)).collect();
    let mut flood = ViewerClient::connect(front.addr);
    for id in 1_000..1_400 {
        flood.request_session(id, 3_000);
    }
    let mut viewer = ViewerClient::connect(front.addr);
    // A set-up may be refused while the media servers have no capacity, but each is answered, and a later one is
    // accepted.
    let mut id = 0;
    wait_until("an established session", || {
        id += 1;
        viewer.request_session(id, 3_000);
        let answer = viewer.receive_message();
        assert_eq!(answer.id, CallId(id));
        answer.kind == 9
    });
    assert_eq!(flood.receive_answers(400).len(), 400);
    for mut one in silent {
        assert!(one.ends());
    }
    front.stop();
}

/// A connection must not count as busy after its set-ups were withdrawn, as it would never be evicted. A connection
/// with open set-ups must not be evicted.
#[test]
fn evicts_only_idle_connections() {
    let front = RunningFrontNode::start_with_sockets(&[ServerBehavior::Silent], 96);
    let mut withdrawn: Vec<ViewerClient> = (0..30).map(|_| ViewerClient::connect(front.addr)).collect();
    for (viewer, id) in withdrawn.iter_mut().zip(100..) {
        viewer.request_session(id, 3_000);
        viewer.send(&release(id));
        while viewer.receive_message().kind != 16 {}
    }
    // A connection with a session is kept even if it is idle, while unused connections are evicted.
    front.servers[0].set_behavior(ServerBehavior::Accept);
    let mut quiet = ViewerClient::connect(front.addr);
    quiet.request_session(2, 3_000);
    assert_eq!(quiet.receive_message().kind, 9);
    front.servers[0].set_behavior(ServerBehavior::Silent);
    let mut waiting = ViewerClient::connect(front.addr);
    waiting.request_session(1, 1_000);
    // These exceed the capacity, so idle connections are evicted. The one that waits for an answer must get it.
    let client_with_valid_request = || {
        let mut viewer = ViewerClient::connect(front.addr);
        viewer.send(&test(1));
        assert_eq!(viewer.receive_message().kind, 53);
        viewer
    };
    let others: Vec<ViewerClient> = (0..60).map(|_| client_with_valid_request()).collect();
    assert_eq!(waiting.receive_answers(1).len(), 1);
    assert!(withdrawn.iter_mut().all(ViewerClient::ends));
    front.servers[0].send(&end_line("0000000000000002", 16));
    let end = quiet.receive_message();
    assert_eq!((end.kind, end.id), (12, CallId(2)));
    drop(others);
    front.stop();
}

#[test]
fn withdrawn_set_ups_leave_nothing_open() {
    let front = RunningFrontNode::start(&[ServerBehavior::Silent]);
    let mut viewer = ViewerClient::connect(front.addr);
    for id in 1..=300 {
        viewer.request_session(id, 3_000);
        viewer.send(&release(id));
    }
    viewer.stream.shutdown(Shutdown::Write).expect("shutdown failed");
    assert!(viewer.ends());
    front.servers[0].set_behavior(ServerBehavior::Accept);
    let mut next_viewer = ViewerClient::connect(front.addr);
    next_viewer.request_session(1_000, 3_000);
    assert_eq!(next_viewer.receive_message().id, CallId(1_000));
    for offer in front.servers[0].received("offer") {
        if offer["call"] != "00000000000003e8" {
            wait_until("the release at the media server", || {
                front.servers[0].received("end").iter().any(|e| e["call"] == offer["call"])
            });
        }
    }
    front.stop();
}

#[test]
fn server_crash_ends_its_sessions() {
    let front = RunningFrontNode::start(&[ServerBehavior::Accept, ServerBehavior::Accept]);
    let mut viewer = ViewerClient::connect(front.addr);
    for id in 1..=10 {
        viewer.request_session(id, 3_000);
    }
    viewer.receive_answers(10);
    let there: Vec<String> = front.servers[0]
        .received("offer")
        .iter()
        .map(|o| o["call"].as_str().expect("missing id").to_owned())
        .collect();
    assert!(!there.is_empty() && there.len() < 10);
    front.servers[0].crash();
    let released: Vec<String> = (0..there.len())
        .map(|_| {
            let frame = viewer.receive_message();
            assert_eq!((frame.kind, cause(&frame)), (12, 41));
            frame.id.to_string()
        })
        .collect();
    assert!(there.iter().all(|id| released.contains(id)), "{there:?} {released:?}");
    front.stop();
}

#[test]
fn broken_connection_ends_no_session() {
    let front = RunningFrontNode::start(&[ServerBehavior::Accept]);
    let mut viewer = ViewerClient::connect(front.addr);
    viewer.request_session(1, 3_000);
    assert_eq!(viewer.receive_message().kind, 9);
    // A malformed line closes the connection. The front node reconnects because of the established session.
    front.servers[0].send(&json!("noise"));
    wait_until("another connection", || front.servers[0].accepted_connections() == 2);
    front.servers[0].send(&end_line("0000000000000001", 16));
    let end = viewer.receive_message();
    assert_eq!((end.kind, cause(&end)), (12, 16));
    front.stop();
}

#[test]
fn truncated_and_duplicate_events_are_handled_once() {
    let mut front = RunningFrontNode::start(&[ServerBehavior::Error]);
    let added = FakeMediaServer::start(9, ServerBehavior::Accept);
    let new = added.endpoint(1, "Ready");
    let text = topology_event(2, false, &[front.servers[0].endpoint(0, "Terminating"), new]);
    // A truncated event is not handled and is requested again.
    front.event_bus.send_bytes(&text.as_bytes()[..text.len() / 2]);
    front.event_bus.disconnect();
    wait_until("another request", || front.event_bus.requested_ids().len() == 2);
    assert_eq!(front.event_bus.requested_ids(), ["1", "1"]);
    front.event_bus.send_bytes(text.as_bytes());
    front.event_bus.send_bytes(text.as_bytes());
    front.servers.push(added);
    let mut viewer = ViewerClient::connect(front.addr);
    let mut id = 0;
    wait_until("a session at the new server", || {
        id += 1;
        viewer.request_session(id, 3_000);
        viewer.receive_message().kind == 9
    });
    front.event_bus.disconnect();
    wait_until("another request", || front.event_bus.requested_ids().len() == 3);
    assert_eq!(front.event_bus.requested_ids()[2], "2");
    front.stop();
}

#[test]
fn reload_changes_event_bus_and_keeps_sessions() {
    let front = RunningFrontNode::start(&[ServerBehavior::Accept]);
    let mut viewer = ViewerClient::connect(front.addr);
    viewer.request_session(1, 3_000);
    assert_eq!(viewer.receive_message().kind, 9);
    front.event_bus.send_event(5, false, &[]);
    let other = FakeEventBus::start();
    // The file is incomplete at first.
    std::fs::write(&front.config_path, b"{\"name\":").expect("write failed");
    front.signals.reload();
    std::thread::sleep(Duration::from_millis(150));
    write_configuration(&front.config_path, other.addr, &settings(256), &[]);
    wait_until("a request to the other event bus", || !other.requested_ids().is_empty());
    assert_eq!(other.requested_ids()[0], "5");
    front.servers[0].send(&end_line("0000000000000001", 16));
    assert_eq!(viewer.receive_message().id, CallId(1));
    front.stop();
}

/// A front node never received events of a bus whose responses begin after the silence timeout, and sent set-ups to
/// media servers that were draining.
#[test]
fn drain_on_slow_event_bus_is_handled_after_reload() {
    let front = RunningFrontNode::start(&[ServerBehavior::Accept, ServerBehavior::Accept]);
    let slow =
        FakeEventBus::start_slow(Duration::from_micros(front.limits.bus_silence_timeout.0) + HALF_A_SECOND);
    slow.add_event(2, false, &[front.servers[0].endpoint(0, "Terminating")]);
    let mut viewer = ViewerClient::connect(front.addr);
    let mut id = 0;
    wait_until("a session at the draining server", || {
        id += 1;
        viewer.request_session(id, 3_000);
        assert_eq!(viewer.receive_message().kind, 9);
        !front.servers[0].received("offer").is_empty()
    });
    write_configuration(&front.config_path, slow.addr, &settings(256), &[]);
    front.signals.reload();
    std::thread::sleep(TOLD_AFTER_RELOAD + DRAIN_GRACE);
    let offers_before = front.servers[0].received("offer").len();
    for _ in 0..40 {
        id += 1;
        viewer.request_session(id, 3_000);
        assert_eq!(viewer.receive_message().kind, 9);
    }
    assert_eq!(front.servers[0].received("offer").len(), offers_before, "set-ups at a draining server");
    front.stop();
}

#[test]
fn sigterm_answers_pending_and_late_requests() {
    let front = RunningFrontNode::start(&[ServerBehavior::Silent, ServerBehavior::Silent]);
    let mut viewer = ViewerClient::connect(front.addr);
    for id in 1..=20 {
        viewer.request_session(id, 3_000);
    }
    viewer.send(&test(1));
    while viewer.receive_message().kind != 53 {}
    front.signals.terminate();
    let mut late = ViewerClient::connect(front.addr);
    late.send(&test(1));
    late.request_session(100, 1_000);
    let tested = late.receive_message();
    assert_eq!((tested.kind, cause(&tested)), (53, 0));
    assert_eq!(late.receive_answers(1).len(), 1);
    wait_until("the front node to stop", || front.has_stopped());
    front.stop();
}
