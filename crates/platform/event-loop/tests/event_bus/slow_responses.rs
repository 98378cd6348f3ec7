//! Event buses that answer late or not at all.
//!
//! A slow answer must be received, whatever the client sends meanwhile, and an unanswered request must be repeated soon:
//! what the event bus has to tell counts as told 4 s after it has fallen silent.

use std::net::TcpStream;

use beechloft::api::Micros;
use beechloft_event_loop::limits::MAX_BUS_CONNECTIONS;
use socket2::{Domain, Socket, Type};

use crate::harness::{Harness, MINUTE, SECOND, UnansweredRequest, limits};
use crate::moves::change_to_another_bus;
use crate::support::messages::EVENT_STREAM_HEAD;
use crate::texts::event;

/// Time after which the events of a silent event bus count as told.
const TOLD_AFTER_SILENCE: Micros = Micros(4_000_000);

/// Reason for which the client sends a request.
#[derive(Debug, Clone, Copy)]
enum Cause {
    Start,
    Disconnect,
    Silence,
    AddressChange,
    Suspicion,
}

const CAUSES: [Cause; 5] =
    [Cause::Start, Cause::Disconnect, Cause::Silence, Cause::AddressChange, Cause::Suspicion];

/// Returns a client that has just sent a request after event 41, which is not answered yet.
fn harness_with_request(cause: Cause) -> Harness {
    let mut harness = match cause {
        Cause::Start => Harness::new(7),
        _ => Harness::connected(),
    };
    let last_event_id = match cause {
        Cause::Start | Cause::Silence => harness.wait_for_request(),
        Cause::Disconnect => {
            harness.close_by_bus();
            harness.wait_for_request()
        }
        Cause::AddressChange => change_to_another_bus(&mut harness),
        Cause::Suspicion => {
            harness.suspect();
            harness.send_comments(MINUTE).expect("no further request");
            harness.accept_request()
        }
    };
    assert_eq!(last_event_id, "41", "{cause:?}");
    harness
}

/// Returns response times between the silence timeout and the response timeout.
fn slow_response_times() -> Vec<Micros> {
    let (min, max) = (limits().bus_silence_timeout.0, limits().bus_response_timeout.0);
    (1..=6).map(|step| Micros(min + (max - min) * step / 7)).collect()
}

/// Returns the response to a request after event 41.
fn response(name: &str) -> String {
    format!("{EVENT_STREAM_HEAD}{}", event(42, name))
}

fn assert_all_closed(requests: Vec<UnansweredRequest>) {
    for request in requests {
        request.assert_closed();
    }
}

/// The client closed each request after the silence timeout, and never received a response that began later.
#[test]
fn slow_response_is_received() {
    for cause in CAUSES {
        for response_time in slow_response_times() {
            let mut harness = harness_with_request(cause);
            let slow = harness.take_unanswered_request();
            let repeated = harness.accept_requests(response_time);
            harness.answer(slow, &response("slow"));
            harness.wait_for_endpoint("slow");
            assert_eq!(harness.client.connection_count(), 1, "{cause:?} {response_time:?}");
            assert_all_closed(repeated);
            // The stream is used from now on, and not requested again.
            assert_eq!(harness.send_comments(MINUTE), None, "{cause:?} {response_time:?}");
            harness.send_and_sync("", 43);
        }
    }
}

/// A longer wait for slow responses must not delay the repetition of a request that is lost.
#[test]
fn unanswered_request_is_repeated_before_events_count_as_told() {
    for cause in CAUSES {
        let mut harness = harness_with_request(cause);
        let sent_at = harness.now;
        let lost = harness.take_unanswered_request();
        assert_eq!(harness.wait_for_request(), "41");
        harness.send(&response("repeated"));
        harness.wait_for_endpoint("repeated");
        assert!(harness.now - sent_at < TOLD_AFTER_SILENCE, "{cause:?}: {:?}", harness.now - sent_at);
        assert_eq!(harness.client.connection_count(), 1);
        lost.assert_closed();
    }
}

#[test]
fn slow_response_is_received_after_lost_request() {
    for cause in CAUSES {
        let mut harness = harness_with_request(cause);
        let lost = harness.take_unanswered_request();
        assert_eq!(harness.wait_for_request(), "41");
        let slow = harness.take_unanswered_request();
        let repeated = harness.accept_requests(limits().bus_silence_timeout + SECOND);
        assert!(!repeated.is_empty());
        harness.answer(slow, &response("slow"));
        harness.wait_for_endpoint("slow");
        assert_eq!(harness.client.connection_count(), 1, "{cause:?}");
        lost.assert_closed();
        assert_all_closed(repeated);
    }
}

#[test]
fn requests_to_bus_that_never_answers_are_bounded_and_regular() {
    for cause in CAUSES {
        let mut harness = harness_with_request(cause);
        let mut requests = vec![harness.take_unanswered_request()];
        let end = harness.now + MINUTE;
        while harness.now < end {
            requests.extend(harness.accept_requests(SECOND));
            assert!(harness.client.connection_count() <= MAX_BUS_CONNECTIONS);
        }
        let gaps: Vec<Micros> = requests.windows(2).map(|pair| pair[1].at - pair[0].at).collect();
        assert!(gaps.iter().all(|gap| *gap > limits().bus_silence_timeout), "{cause:?}: {gaps:?}");
        assert!(gaps.iter().all(|gap| *gap < TOLD_AFTER_SILENCE), "{cause:?}: {gaps:?}");
        let oldest_open = harness.now - limits().bus_response_timeout;
        requests.retain(|request| request.at < oldest_open);
        assert!(requests.len() >= 10);
        assert_all_closed(requests);
    }
}

#[test]
fn response_that_begins_after_its_head_is_received() {
    let mut harness = Harness::connected();
    let slow = harness.take_unanswered_request();
    for _ in 0..2 {
        assert_eq!(harness.wait_for_request(), "41");
        // A head alone is no sign that the events will come earlier than those of the first request.
        harness.send(EVENT_STREAM_HEAD);
        harness.read_available();
    }
    harness.answer(slow, &event(42, "slow"));
    harness.wait_for_endpoint("slow");
    assert_eq!(harness.client.connection_count(), 1);
}

#[test]
fn silent_stream_is_closed_when_repeated_request_is_answered() {
    let mut harness = Harness::connected();
    harness.send_and_sync("", 42);
    let silent_since = harness.now;
    let silent = harness.take_unanswered_request();
    assert_eq!(harness.wait_for_request(), "42");
    harness.send(&format!("{EVENT_STREAM_HEAD}{}", event(43, "next")));
    harness.wait_for_endpoint("next");
    assert!(harness.now - silent_since < TOLD_AFTER_SILENCE);
    assert_eq!(harness.client.connection_count(), 1);
    silent.assert_closed();
}

#[test]
fn resumed_stream_is_read_until_repeated_request_is_answered() {
    let mut harness = Harness::connected();
    harness.send_and_sync("", 42);
    let resumed = harness.take_unanswered_request();
    assert_eq!(harness.wait_for_request(), "42");
    let repeated = harness.take_unanswered_request();
    harness.answer(resumed, &event(43, "resumed"));
    harness.wait_for_endpoint("resumed");
    let replaced = harness.take_unanswered_request();
    // The stream may have lost events while it was silent, so the repeated request still replaces it.
    harness.answer(repeated, &format!("{EVENT_STREAM_HEAD}{}", event(43, "duplicate")));
    harness.send_and_sync("", 44);
    assert_eq!(harness.received, ["marker-42", "resumed", "marker-44"]);
    assert_eq!(harness.client.connection_count(), 1);
    replaced.assert_closed();
}

#[test]
fn failed_repeated_request_keeps_slow_response() {
    let mut harness = Harness::new(7);
    harness.wait_for_request();
    let slow = harness.take_unanswered_request();
    let mut delays = Vec::new();
    harness.wait_for_request();
    for _ in 0..5 {
        harness.close_by_bus();
        delays.push(harness.time_until_connect(SECOND));
        harness.accept_request();
    }
    assert!(delays.iter().all(|delay| *delay <= limits().bus_retry_max + Micros(50_000)), "{delays:?}");
    harness.answer(slow, &response("slow"));
    harness.wait_for_endpoint("slow");
    assert_eq!(harness.client.connection_count(), 1);
}

#[test]
fn address_change_closes_unanswered_requests() {
    let mut harness = Harness::new(7);
    harness.wait_for_request();
    let mut unanswered = vec![harness.take_unanswered_request()];
    unanswered.extend(harness.accept_requests(limits().bus_silence_timeout + SECOND));
    assert!(unanswered.len() > 1);
    assert_eq!(change_to_another_bus(&mut harness), "41");
    assert_eq!(harness.client.connection_count(), 1);
    assert_all_closed(unanswered);
}

#[test]
fn unchanged_address_keeps_unanswered_request() {
    let mut harness = Harness::new(7);
    harness.wait_for_request();
    let addr = harness.listener.local_addr().expect("no address");
    let slow = harness.take_unanswered_request();
    harness.accept_requests(limits().bus_silence_timeout + SECOND);
    harness.change_address(addr);
    harness.answer(slow, &response("slow"));
    harness.wait_for_endpoint("slow");
}

/// The listen queue of the event bus is full for longer than the silence timeout, so that the kernel of the event bus
/// drops connects. They are established when the kernel of the client repeats them.
#[test]
fn late_connect_is_used() {
    let mut harness = Harness::new(7);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("socket error");
    let any_port: std::net::SocketAddr = "127.0.0.1:0".parse().expect("no address");
    socket.bind(&any_port.into()).expect("bind failed");
    socket.listen(0).expect("listen failed");
    let addr = socket.local_addr().ok().and_then(|addr| addr.as_socket()).expect("no address");
    let queued = TcpStream::connect(addr).expect("connect failed");
    harness.listener = socket.into();
    harness.change_address(addr);
    harness.time_until_connect(SECOND);
    harness.time_until_connect(MINUTE);
    assert_eq!(harness.client.connection_count(), 2);
    drop(harness.listener.accept().expect("no connection"));
    drop(queued);
    assert_eq!(harness.accept_request(), "41");
    harness.send(&response("late"));
    harness.wait_for_endpoint("late");
    assert_eq!(harness.client.connection_count(), 1);
}
