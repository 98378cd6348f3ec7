//! Discovery moves, as SIGHUP has it: the numbering goes on at the other address, whatever the watch was about.

use beechloft::api::Micros;

use crate::rig::*;

/// Another bus, to which the watch is moved: it is asked at once, and from where.
fn moved(rig: &mut Rig) -> String {
    let (listener, addr) = listen();
    rig.listener = listener;
    rig.move_to(addr);
    assert!(!rig.stands(), "the old one is still watched");
    assert!(rig.sweep(), "the other is not asked at once");
    rig.asked_on()
}

/// The watch hears the other bus, in order and once each.
fn goes_on(rig: &mut Rig) {
    rig.say(HEAD);
    rig.say_and_hear(&event(41, "old"), 50);
    assert!(!rig.told.contains(&"old".to_owned()));
}

#[test]
fn a_silent_watch_moves() {
    let mut rig = Rig::open();
    rig.step(Micros(2_000_000));
    assert_eq!(moved(&mut rig), "41");
    goes_on(&mut rig);
}

#[test]
fn one_that_has_just_been_given_up_moves_without_a_wait() {
    let mut rig = Rig::open();
    for _ in 0..8 {
        rig.end();
        rig.asked();
        rig.say(HEAD);
    }
    rig.end();
    assert_eq!(moved(&mut rig), "41");
    goes_on(&mut rig);
}

#[test]
fn a_connection_that_is_coming_up_moves() {
    let mut rig = Rig::new(7);
    assert!(rig.sweep());
    // The kernel may have it up; the watch does not know.
    assert_eq!(moved(&mut rig), "41");
    goes_on(&mut rig);
}

#[test]
fn a_move_to_the_same_address_is_none() {
    let mut rig = Rig::open();
    rig.say_and_hear("", 42);
    rig.move_to(rig.listener.local_addr().expect("an address"));
    rig.stays_as_it_is(SECOND);
    assert!(rig.stands());
    rig.say_and_hear(&event(43, "a"), 44);
    assert_eq!(rig.told, ["mark-42", "a", "mark-44"]);
}

#[test]
fn a_move_to_an_address_that_refuses_is_tried_until_the_next() {
    let mut rig = Rig::open();
    rig.say_and_hear("", 42);
    let (_bound, addr) = refusing();
    rig.move_to(addr);
    for _ in 0..8 {
        rig.until_it_connects(SECOND);
        rig.falls();
    }
    assert_eq!(moved(&mut rig), "42");
    goes_on(&mut rig);
}

#[test]
fn two_moves_in_a_row_end_at_the_last() {
    let mut rig = Rig::open();
    let home = rig.listener.local_addr().expect("an address");
    let (other, addr) = listen();
    rig.move_to(addr);
    rig.move_to(home);
    assert!(rig.sweep());
    assert_eq!(rig.asked_on(), "41");
    goes_on(&mut rig);
    other.set_nonblocking(true).expect("a socket");
    assert!(other.accept().is_err(), "the one between was asked");
}

#[test]
fn what_was_on_its_way_at_the_move_counts_once_and_nothing_is_joined() {
    let mut rig = Rig::open();
    rig.say_and_hear("", 42);
    // A whole one and a half lie unread in the kernel's buffers.
    let half = event(44, "b");
    rig.say(&format!("{}{}", event(43, "a"), &half[..half.len() / 2]));
    rig.until_there();
    assert_eq!(moved(&mut rig), "42");
    rig.say(&format!("{HEAD}{}{}", event(43, "a"), event(44, "b")));
    rig.say_and_hear("", 45);
    assert_eq!(rig.told, ["mark-42", "a", "b", "mark-45"]);
}

#[test]
fn half_an_event_read_before_the_move_is_not_joined_with_what_comes_after() {
    let mut rig = Rig::open();
    let half = event(42, "a");
    rig.say(&half[..half.len() / 2]);
    rig.until_read();
    assert_eq!(moved(&mut rig), "41");
    rig.say(HEAD);
    rig.say_and_hear(&half, 43);
    assert_eq!(rig.told, ["a", "mark-43"]);
}

#[test]
fn a_move_settles_a_doubt() {
    let mut rig = Rig::open();
    rig.bus.suspect(rig.now);
    assert_eq!(moved(&mut rig), "41");
    rig.say(HEAD);
    assert_eq!(rig.comments(Micros(60_000_000)), None);
}

#[test]
fn numbers_go_on_behind_the_move() {
    let mut rig = Rig::open();
    rig.say_and_hear("", 42);
    for n in 1..=5 {
        assert_eq!(moved(&mut rig), (41 + n).to_string());
        rig.say(HEAD);
        rig.say_and_hear(&event(41 + n, "twice"), 42 + n);
    }
    assert!(!rig.told.contains(&"twice".to_owned()));
}
