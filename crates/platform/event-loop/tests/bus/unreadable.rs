//! Events and answers that can't be read: they cost themselves alone.

use beechloft_event_loop::limits::SocketLimits;

use crate::rig::*;

/// An event that can't be read is asked for again twice, as it may have been spoilt on its way, and then passed over.
fn passed_over(bad: &str, good: &str, from: &str) {
    let mut rig = Rig::open();
    let mut tries = 0;
    loop {
        rig.say(&format!("{bad}{good}"));
        rig.until("it is judged", |rig| !rig.stands() || !rig.told.is_empty());
        if rig.stands() {
            break;
        }
        tries += 1;
        assert!(tries <= 5, "asked for again and again, and what follows it never counts");
        assert_eq!(rig.asked(), "41");
        rig.say(HEAD);
    }
    assert_eq!((tries, rig.told.as_slice()), (2, &["later".to_owned()][..]));
    rig.end();
    assert_eq!(rig.asked(), from);
}

#[test]
fn an_event_that_cannot_be_read_does_not_hide_later_ones() {
    passed_over(&framed("42", "{noise"), &event(43, "later"), "43");
    passed_over(&framed("42", r#"{"offset":42,"topology":{"endpoints":7}}"#), &event(43, "later"), "43");
}

#[test]
fn one_passed_over_is_not_asked_for_again() {
    let mut rig = Rig::open();
    for tries in 0..3 {
        rig.say(&framed("42", "{noise"));
        if tries < 2 {
            rig.falls();
            assert_eq!(rig.asked(), "41");
            rig.say(HEAD);
        }
    }
    // Behind it comes a part of an event, then the end.
    rig.say("id: 43\nda");
    rig.end();
    assert_eq!(rig.asked(), "42");
}

#[test]
fn one_without_a_number_is_skipped_where_it_stands() {
    passed_over("data: {noise\n\n", &event(42, "later"), "42");
    passed_over(&framed("forty", "{noise"), &event(42, "later"), "42");
    // A number that can't be is none.
    passed_over(&framed(&u64::MAX.to_string(), "{noise"), &event(42, "later"), "42");
}

#[test]
fn many_in_a_row_cost_two_calls_together() {
    let bad: String = (42..92).map(|n| framed(&n.to_string(), "{noise")).collect();
    passed_over(&bad, &event(92, "later"), "92");
}

#[test]
fn one_that_is_told_twice_is_known_though_it_cannot_be_read() {
    let mut rig = Rig::open();
    rig.say_and_hear(&framed("41", "{noise"), 42);
    assert!(rig.stands());
}

#[test]
fn an_endpoint_that_cannot_be_read_costs_itself_alone() {
    let bad = [
        r#"{"name":"b","address":"10.1.0.9:2905","status":"Resting"}"#,
        r#"{"name":"b","address":"10.1.0.9:2905","status":"Ready","weight":"four"}"#,
        r#"{"name":"b","status":"Ready"}"#,
        r#"{"name":"b","address":"10.1.0.9:2905","status":"Ready","group":70000}"#,
        r#"{"name":"b","address":"10.1.0.9:2905","status":"Ready","since_ms":-1}"#,
        r#"{"address":"10.1.0.9:2905","status":"Ready"}"#,
        "7",
        "null",
        "[]",
    ];
    for bad in bad {
        let mut rig = Rig::open();
        let lines = format!("{},{bad},{}", endpoint("a"), endpoint("c"));
        rig.say_and_hear(
            &framed("42", &format!(r#"{{"offset":42,"topology":{{"endpoints":[{lines}]}}}}"#)),
            43,
        );
        assert_eq!(rig.told, ["a", "c", "mark-43"], "{bad}");
    }
}

#[test]
fn a_whole_list_with_lines_that_cannot_be_read_is_not_whole() {
    let list = |lines: &str| {
        framed("42", &format!(r#"{{"offset":42,"topology":{{"snapshot":true,"endpoints":[{lines}]}}}}"#))
    };
    let mut rig = Rig::open();
    rig.say(&list(&endpoint("a")));
    rig.hear("a");
    assert!(rig.whole);
    let mut rig = Rig::open();
    rig.say(&list(&format!(r#"{{"name":"b","status":"Resting"}},{}"#, endpoint("a"))));
    rig.hear("a");
    assert!(!rig.whole, "the server whose line can't be read would be taken for gone");
}

#[test]
fn an_endless_event_is_bounded_and_does_not_hide_later_ones() {
    // Longer than an event may be, but it ends.
    let long = format!("data: {}\n\n", "x".repeat(limits().max_event_bytes + 10));
    passed_over(&long, &event(42, "later"), "42");
    let lines = format!("{}\n", "data: some noise\r\n".repeat(limits().max_event_bytes / 12));
    passed_over(&lines, &event(42, "later"), "42");
}

#[test]
fn one_that_never_ends_costs_the_connection_each_time_and_the_waits_grow() {
    let mut rig = Rig::open();
    let mut last = Default::default();
    for _ in 0..12 {
        rig.flood("x", 4 << 20);
        assert!(!rig.stands(), "4 MiB of one event were taken");
        last = rig.until_it_connects(SECOND + SECOND);
        assert_eq!(rig.asked_on(), "41");
        rig.say(HEAD);
    }
    assert!(last >= limits().bus_retry_max, "still each {last:?} after a dozen");
}

#[test]
fn chunks_that_cannot_be_read_do_not_hide_what_came_before_them() {
    let mut rig = Rig::new(7);
    assert_eq!(rig.asked(), "41");
    // All in one: what is whole before the noise counts.
    rig.say(&format!("{CHUNKED}{}noise\r\n", chunk(&event(42, "before"))));
    rig.falls();
    assert_eq!(rig.told, ["before"]);
    assert_eq!(rig.asked(), "42");
    rig.say(&format!("{CHUNKED}{}{}", chunk(&event(43, "after")), chunk(":\n\n")));
    rig.hear("after");
}

#[test]
fn what_is_whole_before_an_endless_event_counts() {
    // Both in one read.
    let mut rig = Rig::within(SocketLimits { max_event_bytes: 1_000, ..limits() }, 7);
    assert_eq!(rig.asked(), "41");
    rig.say(&format!("{HEAD}{}data: {}", event(42, "before"), "x".repeat(2_000)));
    rig.falls();
    assert_eq!(rig.told, ["before"]);
    assert_eq!(rig.asked(), "42");
}

/// Bytes spoilt anywhere, the same way each time that they are asked for, cost some calls and what they were part of; the
/// last event, which is sound, always counts.
#[test]
fn however_a_stream_is_spoilt_its_last_event_counts() {
    for seed in 0..40_u64 {
        let mut dice = seed;
        let mut roll = |n: usize| {
            dice = dice.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (dice >> 33) as usize % n
        };
        let mut events = (42..62).map(|n| event(n, &format!("s-{n}")).into_bytes()).collect::<Vec<_>>();
        for _ in 0..1 + roll(12) {
            let of = roll(events.len());
            let at = roll(events[of].len());
            events[of][at] = b"0123456789{}[]:,\"\n\r x"[roll(21)];
        }
        let mut rig = Rig::new(seed);
        for calls in 1.. {
            assert!(calls <= 60, "seed {seed}: {calls} calls, {:?}", rig.told);
            let from: usize = rig.asked().parse().expect("a number");
            let rest = events.iter().skip(from.saturating_sub(41)).flatten().copied().collect::<Vec<_>>();
            rig.say(&format!("{HEAD}{}", String::from_utf8(rest).expect("text")));
            rig.say(&event(62, "last"));
            rig.until("it is judged", |rig| !rig.stands() || rig.told.last().is_some_and(|n| n == "last"));
            if rig.stands() {
                break;
            }
        }
        rig.end();
        assert_eq!(rig.asked(), "62", "seed {seed}");
    }
}
