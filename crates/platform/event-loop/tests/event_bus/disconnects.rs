//! Responses that end, break, do not arrive or are not as requested. The client retries with increasing delay.

use beechloft::api::Micros;

use crate::harness::{Harness, SECOND, limits, refusing_address};
use crate::support::messages::EVENT_STREAM_HEAD;
use crate::texts::{CHUNKED_HEAD, chunk, event};

/// Returns the delays before a number of retries if each request fails as `fail` does.
fn retry_delays(retries: usize, fail: impl Fn(&mut Harness)) -> Vec<Micros> {
    let mut harness = Harness::new(11);
    assert_eq!(harness.wait_for_request(), "41");
    let mut delays = Vec::new();
    for _ in 0..retries {
        fail(&mut harness);
        assert!(harness.received.is_empty());
        delays.push(harness.time_until_connect(SECOND + SECOND));
        assert_eq!(harness.accept_request(), "41");
    }
    delays
}

fn assert_delays_grow(delays: &[Micros], failure: &str) {
    // The first delay is short, as disconnects are common. The last delays are at the maximum.
    assert!(delays[0] <= Micros(75_000), "{failure}: {delays:?}");
    let max_delay = limits().bus_retry_max;
    assert!(delays.iter().rev().take(3).all(|d| *d >= max_delay), "{failure}: {delays:?}");
    assert!(delays.iter().all(|d| *d < SECOND + SECOND), "{failure}: {delays:?}");
}

#[test]
fn responses_without_events_increase_retry_delay() {
    let complete = |text: &'static str| {
        move |harness: &mut Harness| {
            harness.send(text);
            harness.wait_for_disconnect();
        }
    };
    let ended = |text: &'static str| {
        move |harness: &mut Harness| {
            harness.send(text);
            harness.close_by_bus();
        }
    };
    let good = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
    assert_delays_grow(&retry_delays(12, ended(good)), "a 200 that ends immediately");
    assert_delays_grow(
        &retry_delays(12, complete("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")),
        "a 200 with an empty body",
    );
    assert_delays_grow(
        &retry_delays(12, complete("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")),
        "no chunks",
    );
    assert_delays_grow(&retry_delays(12, complete("HTTP/1.1 204 No Content\r\n\r\n")), "no content");
    assert_delays_grow(
        &retry_delays(12, complete("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0\r\n\r\n")),
        "service unavailable",
    );
    assert_delays_grow(
        &retry_delays(12, complete("HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\n\r\n")),
        "a redirect",
    );
    assert_delays_grow(
        &retry_delays(12, complete("HTTP/1.1 200 OK\r\nContent-Length: a\r\n\r\n")),
        "an invalid length",
    );
    assert_delays_grow(
        &retry_delays(12, complete("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nnoise\r\n")),
        "malformed chunks",
    );
    assert_delays_grow(&retry_delays(12, complete("noise\r\n\r\n")), "noise");
    let old = "HTTP/1.1 200 OK\r\n\r\nid: 41\ndata: {\"offset\":41}\n\ndata: {\"other\":1}\n\n:\n\n";
    assert_delays_grow(&retry_delays(12, ended(old)), "no new events");
}

#[test]
fn retry_delay_is_jittered_and_reset_by_new_event() {
    let delays_with_seed = |seed| {
        let mut harness = Harness::new(seed);
        harness.wait_for_request();
        let mut delays = Vec::new();
        for _ in 0..9 {
            harness.send(EVENT_STREAM_HEAD);
            harness.close_by_bus();
            delays.push(harness.time_until_connect(SECOND + SECOND));
            harness.accept_request();
        }
        (delays, harness)
    };
    let (delays, mut harness) = delays_with_seed(1);
    assert_ne!(delays, delays_with_seed(2).0, "all front nodes retry at the same times");
    harness.send(EVENT_STREAM_HEAD);
    harness.send(&event(42, "new"));
    harness.wait_for_endpoint("new");
    harness.close_by_bus();
    assert!(harness.time_until_connect(SECOND) <= Micros(75_000));
    assert_eq!(harness.accept_request(), "42");
}

#[test]
fn long_lived_connection_is_retried_soon() {
    let mut harness = Harness::connected();
    for _ in 0..9 {
        // Comments for some seconds and then a close are typical of the timeout of a proxy.
        for _ in 0..5 {
            harness.now = harness.now + SECOND;
            harness.send(":\n\n");
            harness.read_available();
        }
        harness.close_by_bus();
        assert!(harness.time_until_connect(SECOND + SECOND) <= Micros(75_000));
        assert_eq!(harness.accept_request(), "41");
        harness.send(EVENT_STREAM_HEAD);
    }
}

#[test]
fn retry_delay_of_refusing_bus_is_bounded() {
    let mut harness = Harness::new(3);
    let (_bound, addr) = refusing_address();
    harness.change_address(addr);
    let mut last = Micros(0);
    for _ in 0..12 {
        last = harness.time_until_connect(SECOND);
        harness.wait_for_disconnect();
    }
    let max_delay = limits().bus_retry_max;
    // A bus that accepts and closes without a response may be a proxy of a bus that is down.
    let closed = retry_delays(12, Harness::close_by_bus);
    assert!(closed.iter().all(|d| *d <= max_delay + Micros(50_000)), "{closed:?}");
    assert!(last >= Micros(max_delay.0 / 2) && last <= max_delay + Micros(50_000), "{last:?}");
}

#[test]
fn endless_head_closes_connection() {
    // A head of a megabyte.
    let mut harness = Harness::new(7);
    harness.wait_for_request();
    harness.send("HTTP/1.1 200 OK\r\n");
    harness.send_repeatedly("X-More: and more\r\n", 1 << 20);
    assert!(!harness.is_connected());
    // A head line of a megabyte.
    harness.wait_for_request();
    harness.send("HTTP/1.1 200 OK\r\nX-More: ");
    harness.send_repeatedly("more ", 1 << 20);
    assert!(!harness.is_connected());
    // A head of one byte per second.
    harness.wait_for_request();
    send_slowly_until_closed(&mut harness, "HTTP/1.1 200 OK\r\nX-More: and so it goes on and on");
    // Repeated interim responses.
    harness.wait_for_request();
    for _ in 0..60 {
        if !harness.advance(SECOND) {
            break;
        }
        harness.send("HTTP/1.1 103 Early Hints\r\n\r\n");
        harness.read_available();
    }
    assert!(!harness.is_connected(), "interim responses for a minute");
}

/// Sends one byte per second from the bus until the client closes the connection, which it must do within 10 s.
fn send_slowly_until_closed(harness: &mut Harness, text: &str) {
    for (n, b) in text.chars().enumerate() {
        if !harness.advance(SECOND) {
            assert!(n > 2, "closed too soon");
            return;
        }
        harness.send(&b.to_string());
        harness.read_available();
        assert!(n <= 10, "one byte per second counts as progress");
    }
}

#[test]
fn slow_event_is_abandoned_and_requested_again() {
    let mut harness = Harness::connected();
    harness.send_and_sync("", 42);
    send_slowly_until_closed(&mut harness, "id: 43\ndata: {}\ndata: {}\ndata: {}\n");
    assert_eq!(harness.wait_for_request(), "42");
    // Comments within an event do not count as progress either.
    harness.send(EVENT_STREAM_HEAD);
    harness.send("id: 43\n");
    for n in 0.. {
        if !harness.advance(SECOND) {
            break;
        }
        harness.send(":\n");
        harness.read_available();
        assert!(n <= 10, "comments count as the end of an event");
    }
    assert_eq!(harness.wait_for_request(), "42");
    // An event in two parts with a second between them is accepted.
    harness.send(EVENT_STREAM_HEAD);
    let text = event(43, "slow");
    harness.send(&text[..20]);
    harness.read_available();
    assert!(harness.advance(SECOND));
    harness.send(&text[20..]);
    harness.wait_for_endpoint("slow");
}

#[test]
fn truncated_body_delivers_complete_events() {
    let half = |text: &str| text[..text.len() / 2].to_owned();
    let complete = event(42, "complete");
    let truncated = half(&event(43, "truncated"));
    let bodies = [
        // Truncated within an event, an event in a chunk, a chunk, and a chunk size.
        format!("{EVENT_STREAM_HEAD}{complete}{truncated}"),
        format!("{CHUNKED_HEAD}{}{}", chunk(&complete), chunk(&truncated)),
        format!("{CHUNKED_HEAD}{}{}", chunk(&complete), half(&chunk(&event(43, "truncated")))),
        format!("{CHUNKED_HEAD}{}1", chunk(&complete)),
        // Truncated before the last line end.
        format!(
            "{EVENT_STREAM_HEAD}{complete}{}",
            event(43, "truncated").strip_suffix('\n').expect("missing line end")
        ),
        // Truncated by the declared length.
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{complete}{truncated}", complete.len()),
    ];
    for body in bodies {
        let mut harness = Harness::new(7);
        harness.wait_for_request();
        harness.send(&body);
        harness.close_by_bus();
        assert_eq!(harness.received, ["complete"], "{body}");
        assert_eq!(harness.wait_for_request(), "42");
        harness.send(&format!("{EVENT_STREAM_HEAD}{}", event(43, "truncated")));
        harness.wait_for_endpoint("truncated");
    }
}

#[test]
fn silent_connection_is_closed_unless_comments_arrive() {
    let mut harness = Harness::connected();
    for _ in 0..30 {
        assert!(harness.advance(SECOND));
        harness.send(":\n\n");
        harness.read_available();
    }
    let waited = harness.time_until_connect(Micros(4_000_000));
    assert!(waited > limits().bus_silence_timeout);
    assert_eq!(harness.accept_request(), "41");
}
