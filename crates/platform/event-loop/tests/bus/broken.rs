//! Answers that end, break, never come or are others than asked for: the watch asks again, less and less often.

use beechloft::api::Micros;

use crate::rig::*;

/// Waits before each of so many tries, where each comes to nothing in this way.
fn waits(tries: usize, fruitless: impl Fn(&mut Rig)) -> Vec<Micros> {
    let mut rig = Rig::new(11);
    assert_eq!(rig.asked(), "41");
    let mut waits = Vec::new();
    for _ in 0..tries {
        fruitless(&mut rig);
        assert!(rig.told.is_empty());
        waits.push(rig.until_it_connects(SECOND + SECOND));
        assert_eq!(rig.asked_on(), "41");
    }
    waits
}

fn grows(waits: &[Micros], what: &str) {
    // The first comes soon, as a break is an everyday thing; the last have reached the top.
    assert!(waits[0] <= Micros(75_000), "{what}: {waits:?}");
    let most = limits().bus_retry_max;
    assert!(waits.iter().rev().take(3).all(|w| *w >= most), "{what}: {waits:?}");
    assert!(waits.iter().all(|w| *w < SECOND + SECOND), "{what}: {waits:?}");
}

#[test]
fn answers_that_tell_nothing_are_asked_for_less_and_less_often() {
    let whole = |text: &'static str| {
        move |rig: &mut Rig| {
            rig.say(text);
            rig.falls();
        }
    };
    let ended = |text: &'static str| {
        move |rig: &mut Rig| {
            rig.say(text);
            rig.end();
        }
    };
    let good = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
    grows(&waits(12, ended(good)), "a 200 that ends at once");
    grows(&waits(12, whole("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")), "a 200 of no bytes");
    grows(&waits(12, whole("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")), "no chunks");
    grows(&waits(12, whole("HTTP/1.1 204 No Content\r\n\r\n")), "nothing to tell");
    grows(&waits(12, whole("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0\r\n\r\n")), "out of service");
    grows(&waits(12, whole("HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\n\r\n")), "a redirect");
    grows(&waits(12, whole("HTTP/1.1 200 OK\r\nContent-Length: a\r\n\r\n")), "a length that is none");
    grows(&waits(12, whole("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nnoise\r\n")), "bad chunks");
    grows(&waits(12, whole("noise\r\n\r\n")), "noise");
    let old = "HTTP/1.1 200 OK\r\n\r\nid: 41\ndata: {\"offset\":41}\n\ndata: {\"other\":1}\n\n:\n\n";
    grows(&waits(12, ended(old)), "nothing new");
}

#[test]
fn waits_differ_from_front_to_front_and_begin_anew_with_an_event() {
    let climb = |seed| {
        let mut rig = Rig::new(seed);
        rig.asked();
        let mut at = Vec::new();
        for _ in 0..9 {
            rig.say(HEAD);
            rig.end();
            at.push(rig.until_it_connects(SECOND + SECOND));
            rig.asked_on();
        }
        (at, rig)
    };
    let (a, mut rig) = climb(1);
    assert_ne!(a, climb(2).0, "all fronts come at the same instants");
    rig.say(HEAD);
    rig.say(&event(42, "new"));
    rig.hear("new");
    rig.end();
    assert!(rig.until_it_connects(SECOND) <= Micros(75_000));
    assert_eq!(rig.asked_on(), "42");
}

#[test]
fn a_watch_that_held_for_a_while_is_soon_asked_for_again() {
    let mut rig = Rig::open();
    for _ in 0..9 {
        // Comments for four seconds, then the end: a proxy's time-out.
        for _ in 0..5 {
            rig.now = rig.now + SECOND;
            rig.say(":\n\n");
            rig.until_read();
        }
        rig.end();
        assert!(rig.until_it_connects(SECOND + SECOND) <= Micros(75_000));
        assert_eq!(rig.asked_on(), "41");
        rig.say(HEAD);
    }
}

#[test]
fn a_bus_that_refuses_is_tried_again_often_enough() {
    let mut rig = Rig::new(3);
    let (_bound, addr) = refusing();
    rig.move_to(addr);
    let mut last = Micros(0);
    for _ in 0..12 {
        last = rig.until_it_connects(SECOND);
        rig.falls();
    }
    let most = limits().bus_retry_max;
    // So does one that accepts and ends without a word: it may be a proxy of one that is down.
    let closed = waits(12, |rig| rig.end());
    assert!(closed.iter().all(|w| *w <= most + Micros(50_000)), "{closed:?}");
    assert!(last >= Micros(most.0 / 2) && last <= most + Micros(50_000), "{last:?}");
}

#[test]
fn a_head_that_never_ends_is_given_up() {
    // A megabyte of one.
    let mut rig = Rig::new(7);
    rig.asked();
    rig.say("HTTP/1.1 200 OK\r\n");
    rig.flood("X-More: and more\r\n", 1 << 20);
    assert!(!rig.stands());
    // One that is whole, but long.
    rig.asked();
    rig.say("HTTP/1.1 200 OK\r\nX-More: ");
    rig.flood("more ", 1 << 20);
    assert!(!rig.stands());
    // A byte a second.
    rig.asked();
    drips(&mut rig, "HTTP/1.1 200 OK\r\nX-More: and so it goes on and on");
    // One interim answer after another.
    rig.asked();
    for _ in 0..60 {
        if !rig.step(SECOND) {
            break;
        }
        rig.say("HTTP/1.1 103 Early Hints\r\n\r\n");
        rig.until_read();
    }
    assert!(!rig.stands(), "interim answers for a minute");
}

/// A byte a second; the watch gives it up within ten.
fn drips(rig: &mut Rig, text: &str) {
    for (n, b) in text.chars().enumerate() {
        if !rig.step(SECOND) {
            assert!(n > 2, "given up too soon");
            return;
        }
        rig.say(&b.to_string());
        rig.until_read();
        assert!(n <= 10, "a byte a second is taken for life");
    }
}

#[test]
fn an_event_that_comes_a_byte_a_second_is_given_up_and_asked_for_again() {
    let mut rig = Rig::open();
    rig.say_and_hear("", 42);
    drips(&mut rig, "id: 43\ndata: {}\ndata: {}\ndata: {}\n");
    assert_eq!(rig.asked(), "42");
    // Comments in its midst do not make it better.
    rig.say(HEAD);
    rig.say("id: 43\n");
    for n in 0.. {
        if !rig.step(SECOND) {
            break;
        }
        rig.say(":\n");
        rig.until_read();
        assert!(n <= 10, "comments are taken for an event's end");
    }
    assert_eq!(rig.asked(), "42");
    // A whole one in two halves a second apart is fine.
    rig.say(HEAD);
    let text = event(43, "slow");
    rig.say(&text[..20]);
    rig.until_read();
    assert!(rig.step(SECOND));
    rig.say(&text[20..]);
    rig.hear("slow");
}

#[test]
fn a_body_that_ends_in_the_middle_tells_what_was_whole() {
    let half = |text: &str| text[..text.len() / 2].to_owned();
    let whole = event(42, "whole");
    let cut = half(&event(43, "cut"));
    let bodies = [
        // In the middle of an event; of an event in a chunk; of a chunk; of a chunk's size.
        format!("{HEAD}{whole}{cut}"),
        format!("{CHUNKED}{}{}", chunk(&whole), chunk(&cut)),
        format!("{CHUNKED}{}{}", chunk(&whole), half(&chunk(&event(43, "cut")))),
        format!("{CHUNKED}{}1", chunk(&whole)),
        // All but the last line's end.
        format!("{HEAD}{whole}{}", event(43, "cut").strip_suffix('\n').expect("a line end")),
        // A length that ends it.
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{whole}{cut}", whole.len()),
    ];
    for body in bodies {
        let mut rig = Rig::new(7);
        rig.asked();
        rig.say(&body);
        rig.end();
        assert_eq!(rig.told, ["whole"], "{body}");
        assert_eq!(rig.asked(), "42");
        rig.say(&format!("{HEAD}{}", event(43, "cut")));
        rig.hear("cut");
    }
}

#[test]
fn a_silent_watch_is_given_up_and_one_with_comments_is_not() {
    let mut rig = Rig::open();
    for _ in 0..30 {
        assert!(rig.step(SECOND));
        rig.say(":\n\n");
        rig.until_read();
    }
    let waited = rig.until_it_connects(Micros(4_000_000));
    assert!(waited > limits().bus_silence_timeout);
    assert_eq!(rig.asked_on(), "41");
}
