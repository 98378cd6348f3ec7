//! Responses that end, break, never come or are not those requested: the client retries, less and less often.

use beechloft::api::Micros;

use crate::harness::{Harness, SECOND, limits, refusing_address};
use crate::support::messages::EVENT_STREAM_HEAD;
use crate::texts::{CHUNKED_HEAD, chunk, event};

/// The waits before so many retries, where each request fails in this way.
fn waits(retries: usize, fail: impl Fn(&mut Harness)) -> Vec<Micros> {
    let mut harness = Harness::new(11);
    assert_eq!(harness.wait_for_request(), "41");
    let mut waits = Vec::new();
    for _ in 0..retries {
        fail(&mut harness);
        assert!(harness.received.is_empty());
        waits.push(harness.time_until_connect(SECOND + SECOND));
        assert_eq!(harness.accept_request(), "41");
    }
    waits
}

fn assert_growing(waits: &[Micros], what: &str) {
    // The first is short, as disconnects are ordinary; the last have reached the maximum.
    assert!(waits[0] <= Micros(75_000), "{what}: {waits:?}");
    let max_wait = limits().bus_retry_max;
    assert!(waits.iter().rev().take(3).all(|w| *w >= max_wait), "{what}: {waits:?}");
    assert!(waits.iter().all(|w| *w < SECOND + SECOND), "{what}: {waits:?}");
}

#[test]
fn responses_without_events_are_retried_with_growing_waits() {
    let whole = |text: &'static str| {
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
    assert_growing(&waits(12, ended(good)), "a 200 that ends at once");
    assert_growing(&waits(12, whole("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")), "a 200 of no bytes");
    assert_growing(
        &waits(12, whole("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")),
        "no chunks",
    );
    assert_growing(&waits(12, whole("HTTP/1.1 204 No Content\r\n\r\n")), "nothing to tell");
    assert_growing(
        &waits(12, whole("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0\r\n\r\n")),
        "out of service",
    );
    assert_growing(
        &waits(12, whole("HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\n\r\n")),
        "a redirect",
    );
    assert_growing(
        &waits(12, whole("HTTP/1.1 200 OK\r\nContent-Length: a\r\n\r\n")),
        "a length that is none",
    );
    assert_growing(
        &waits(12, whole("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nnoise\r\n")),
        "bad chunks",
    );
    assert_growing(&waits(12, whole("noise\r\n\r\n")), "noise");
    let old = "HTTP/1.1 200 OK\r\n\r\nid: 41\ndata: {\"offset\":41}\n\ndata: {\"other\":1}\n\n:\n\n";
    assert_growing(&waits(12, ended(old)), "nothing new");
}

#[test]
fn waits_are_jittered_and_reset_by_a_new_event() {
    let climb = |seed| {
        let mut harness = Harness::new(seed);
        harness.wait_for_request();
        let mut at = Vec::new();
        for _ in 0..9 {
            harness.send(EVENT_STREAM_HEAD);
            harness.close_by_bus();
            at.push(harness.time_until_connect(SECOND + SECOND));
            harness.accept_request();
        }
        (at, harness)
    };
    let (a, mut harness) = climb(1);
    assert_ne!(a, climb(2).0, "all fronts retry at the same instants");
    harness.send(EVENT_STREAM_HEAD);
    harness.send(&event(42, "new"));
    harness.wait_for_endpoint("new");
    harness.close_by_bus();
    assert!(harness.time_until_connect(SECOND) <= Micros(75_000));
    assert_eq!(harness.accept_request(), "42");
}

#[test]
fn a_connection_that_lasted_is_retried_soon() {
    let mut harness = Harness::connected();
    for _ in 0..9 {
        // Comments for four seconds, then the end: a proxy's timeout.
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
fn a_refusing_bus_is_retried_often_enough() {
    let mut harness = Harness::new(3);
    let (_bound, addr) = refusing_address();
    harness.move_to(addr);
    let mut last = Micros(0);
    for _ in 0..12 {
        last = harness.time_until_connect(SECOND);
        harness.wait_for_disconnect();
    }
    let max_wait = limits().bus_retry_max;
    // The same for a bus that accepts and closes without a response: it may be a proxy of one that is down.
    let closed = waits(12, Harness::close_by_bus);
    assert!(closed.iter().all(|w| *w <= max_wait + Micros(50_000)), "{closed:?}");
    assert!(last >= Micros(max_wait.0 / 2) && last <= max_wait + Micros(50_000), "{last:?}");
}

#[test]
fn a_head_that_never_ends_closes_the_connection() {
    // A megabyte of one.
    let mut harness = Harness::new(7);
    harness.wait_for_request();
    harness.send("HTTP/1.1 200 OK\r\n");
    harness.send_repeatedly("X-More: and more\r\n", 1 << 20);
    assert!(!harness.is_connected());
    // One long line.
    harness.wait_for_request();
    harness.send("HTTP/1.1 200 OK\r\nX-More: ");
    harness.send_repeatedly("more ", 1 << 20);
    assert!(!harness.is_connected());
    // A byte a second.
    harness.wait_for_request();
    send_slowly_until_closed(&mut harness, "HTTP/1.1 200 OK\r\nX-More: and so it goes on and on");
    // One interim response after another.
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

/// The bus sends a byte a second; the client closes the connection within ten.
fn send_slowly_until_closed(harness: &mut Harness, text: &str) {
    for (n, b) in text.chars().enumerate() {
        if !harness.advance(SECOND) {
            assert!(n > 2, "closed too soon");
            return;
        }
        harness.send(&b.to_string());
        harness.read_available();
        assert!(n <= 10, "a byte a second counts as progress");
    }
}

#[test]
fn an_event_of_a_byte_a_second_is_abandoned_and_requested_again() {
    let mut harness = Harness::connected();
    harness.send_and_sync("", 42);
    send_slowly_until_closed(&mut harness, "id: 43\ndata: {}\ndata: {}\ndata: {}\n");
    assert_eq!(harness.wait_for_request(), "42");
    // Comments within an event are no progress either.
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
    // An event in two halves a second apart is accepted.
    harness.send(EVENT_STREAM_HEAD);
    let text = event(43, "slow");
    harness.send(&text[..20]);
    harness.read_available();
    assert!(harness.advance(SECOND));
    harness.send(&text[20..]);
    harness.wait_for_endpoint("slow");
}

#[test]
fn a_truncated_body_delivers_its_whole_events() {
    let half = |text: &str| text[..text.len() / 2].to_owned();
    let whole = event(42, "whole");
    let cut = half(&event(43, "cut"));
    let bodies = [
        // In the middle of an event; of an event in a chunk; of a chunk; of a chunk's size.
        format!("{EVENT_STREAM_HEAD}{whole}{cut}"),
        format!("{CHUNKED_HEAD}{}{}", chunk(&whole), chunk(&cut)),
        format!("{CHUNKED_HEAD}{}{}", chunk(&whole), half(&chunk(&event(43, "cut")))),
        format!("{CHUNKED_HEAD}{}1", chunk(&whole)),
        // Without the last line end.
        format!("{EVENT_STREAM_HEAD}{whole}{}", event(43, "cut").strip_suffix('\n').expect("a line end")),
        // Ended by its length.
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{whole}{cut}", whole.len()),
    ];
    for body in bodies {
        let mut harness = Harness::new(7);
        harness.wait_for_request();
        harness.send(&body);
        harness.close_by_bus();
        assert_eq!(harness.received, ["whole"], "{body}");
        assert_eq!(harness.wait_for_request(), "42");
        harness.send(&format!("{EVENT_STREAM_HEAD}{}", event(43, "cut")));
        harness.wait_for_endpoint("cut");
    }
}

#[test]
fn a_silent_connection_is_closed_and_one_with_comments_is_not() {
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
