//! Numbers of events: none of them hides what the bus tells later.

use crate::rig::*;

#[test]
fn an_event_told_twice_or_of_old_counts_once() {
    let mut rig = Rig::open();
    rig.say(&format!("{}{}{}", event(42, "a"), event(42, "a"), event(43, "b")));
    rig.say_and_hear(&format!("{}{}", event(42, "a"), event(7, "old")), 44);
    assert_eq!(rig.told, ["a", "b", "mark-44"]);
    rig.end();
    assert_eq!(rig.asked(), "44");
}

#[test]
fn a_gap_is_taken_as_it_is() {
    let mut rig = Rig::open();
    rig.say_and_hear(&event(60, "far"), 61);
    assert_eq!(rig.told, ["far", "mark-61"]);
    rig.end();
    assert_eq!(rig.asked(), "61");
}

#[test]
fn a_number_that_cannot_be_does_not_hide_later_events() {
    let max = u64::MAX;
    let huge = [
        // Both say so.
        framed(&max.to_string(), &data(max, "odd")),
        // One says so, the other is right, or is not there.
        framed(&max.to_string(), &data(42, "odd")),
        framed("42", &data(max, "odd")),
        framed(
            &max.to_string(),
            r#"{"topology":{"endpoints":[{"name":"odd","address":"10.1.0.9:2905","status":"Ready"}]}}"#,
        ),
        format!("data: {}\n\n", data(max, "odd")),
        // Nearer, but not the same.
        framed("9000", &data(42, "odd")),
        framed("42", &data(9000, "odd")),
        // A number already told beside a new one: neither is believed, what it tells is.
        framed("9000", &data(41, "odd")),
        framed("4", &data(42, "odd")),
        // No number at all.
        framed("0", &data(0, "odd")),
        framed("99999999999999999999999999", &data(0, "odd")),
        framed("-42", &data(0, "odd")),
    ];
    for odd in huge {
        let mut rig = Rig::open();
        rig.say_and_hear(&odd, 43);
        assert_eq!(rig.told, ["odd", "mark-43"], "{odd}");
        rig.end();
        assert_eq!(rig.asked(), "43", "{odd}");
    }
}

#[test]
fn a_number_that_cannot_be_is_not_asked_from() {
    let mut rig = Rig::open();
    rig.say(&framed(&u64::MAX.to_string(), &data(u64::MAX, "odd")));
    rig.hear("odd");
    rig.end();
    assert_eq!(rig.asked(), "41");
    // Nor is one of an event that can't be read, unless it is the next.
    rig.say(HEAD);
    for _ in 0..2 {
        rig.say(&framed("4200", "{noise"));
        rig.falls();
        assert_eq!(rig.asked(), "41");
        rig.say(HEAD);
    }
    rig.say(&framed("4200", "{noise"));
    rig.until_read();
    rig.end();
    assert_eq!(rig.asked(), "41");
}

#[test]
fn of_two_numbers_that_differ_the_nearer_is_asked_from() {
    for odd in [framed("9000", &data(42, "odd")), framed("42", &data(9000, "odd"))] {
        let mut rig = Rig::open();
        rig.say(&odd);
        rig.hear("odd");
        rig.end();
        assert_eq!(rig.asked(), "42", "{odd}");
    }
}

#[test]
fn events_in_the_gap_that_a_wrong_number_left_count() {
    let mut rig = Rig::open();
    rig.say(&format!("{}{}{}", event(9_000, "odd"), event(42, "a"), event(43, "b")));
    rig.say_and_hear(&event(43, "b"), 44);
    assert_eq!(rig.told, ["odd", "a", "b", "mark-44"]);
    rig.end();
    assert_eq!(rig.asked(), "44");
}

#[test]
fn an_event_without_an_id_has_its_offset() {
    let mut rig = Rig::open();
    rig.say_and_hear(&format!("data: {}\n\ndata: {}\n\n", data(42, "a"), data(42, "a")), 43);
    assert_eq!(rig.told, ["a", "mark-43"]);
}

#[test]
fn an_event_without_an_offset_has_its_id() {
    let bare = r#"{"topology":{"endpoints":[{"name":"a","address":"10.1.0.9:2905","status":"Ready"}]}}"#;
    let mut rig = Rig::open();
    rig.say_and_hear(&format!("{}{}", framed("42", bare), framed("42", bare)), 43);
    assert_eq!(rig.told, ["a", "mark-43"]);
}

#[test]
fn events_of_other_kinds_move_the_number() {
    let mut rig = Rig::open();
    rig.say(&framed("42", r#"{"offset":42,"weather":"dry"}"#));
    rig.end();
    assert_eq!(rig.asked(), "42");
}
