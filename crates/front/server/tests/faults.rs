//! Each fault of a box or of the list, by itself, on sockets; the rules from what the stand-ins saw.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::shadow_unrelated)]

mod support;

use std::io::Write;
use std::time::Duration;

use beechloft_checker::What;
use beechloft_checker::trace::Ending;
use beechloft_fakes::dice::Dice;
use beechloft_fakes::fault::Fault;
use beechloft_fakes::offer::{self, Credentials};
use beechloft_fakes::player::{self, Wish};
use beechloft_http::{Method, Request};
use support::*;

/// Box 1 has a fault, box 2 is sound: all of a few sessions for the pair must still play.
fn plays_elsewhere(fault: Fault) {
    let mut rig = Rig::new(2);
    rig.fleet.fault(1, fault);
    for _ in 0..6 {
        rig.play("pair");
    }
    let seen = rig.recorder.trace();
    let at =
        |id| seen.iter().filter(|s| matches!(s.what, What::Began { server, .. } if server == id)).count();
    assert_eq!(at(2), 6, "all play at the sound box");
    rig.settle(0);
    rig.finish();
}

#[test]
fn a_box_that_never_answers() {
    plays_elsewhere(Fault::NeverAnswer);
}

#[test]
fn a_box_that_stands_still() {
    plays_elsewhere(Fault::StandStill);
}

#[test]
fn a_box_that_fails() {
    plays_elsewhere(Fault::Fail { share: 1.0 });
}

#[test]
fn a_box_that_resets() {
    plays_elsewhere(Fault::Reset);
}

#[test]
fn a_box_that_refuses_connections() {
    plays_elsewhere(Fault::Refuse);
}

#[test]
fn a_box_that_died_though_the_list_shows_it() {
    let mut rig = Rig::new(2);
    rig.fleet.get(1).expect("box 1").fault(Fault::Die);
    for _ in 0..6 {
        rig.play("pair");
    }
    rig.settle(0);
    rig.finish();
}

#[test]
fn answers_that_make_no_sense_are_undone() {
    let mut rig = Rig::new(2);
    rig.fleet.fault(1, Fault::BadAnswer);
    for _ in 0..6 {
        rig.play("pair");
    }
    // What box 1 set up is released long before it would expire by itself.
    until("undone", || {
        let seen = rig.recorder.trace();
        let count = |f: &dyn Fn(&What) -> bool| seen.iter().filter(|s| f(&s.what)).count();
        let began = count(&|w| matches!(w, What::Began { server: 1, .. }));
        began > 0 && began == count(&|w| matches!(w, What::Freed { server: 1, expired: false, .. }))
    });
    rig.settle(0);
    rig.finish();
}

#[test]
fn answers_that_come_after_the_drop_are_undone() {
    // A box that gets 360 ms, and answers within the grace after the drop, whatever its client does.
    for ms in [340, 365, 390, 420, 445] {
        let mut rig = Rig::new(2);
        rig.fleet.fault(1, Fault::Deaf { ms });
        until("box 1 has answered", || {
            rig.play("pair");
            rig.recorder
                .trace()
                .iter()
                .any(|s| matches!(s.what, What::Answered { server: 1, status: 201, .. }))
        });
        rig.settle(0);
        assert_eq!(unplayed(&rig), 0, "{ms} ms: released, not left to expire");
        rig.finish();
    }
}

#[test]
fn a_box_that_answers_long_after_the_drop_keeps_no_phantom_for_ever() {
    let mut rig = Rig::new(2);
    rig.fleet.fault(1, Fault::Deaf { ms: 900 });
    // The deaf box must have been asked, else this shows nothing.
    let asked =
        |rig: &Rig| rig.recorder.trace().iter().any(|s| matches!(s.what, What::Offered { server: 1, .. }));
    for _ in 0..20 {
        rig.play("pair");
        if asked(&rig) {
            break;
        }
    }
    assert!(asked(&rig), "the deaf box was never asked");
    rig.settle(0);
    let report = rig.report();
    assert_eq!(
        (report.phantom_sessions, report.unanswered, report.duplicate_answers),
        (0, 0, 0),
        "{report:#?}"
    );
    // A box that does not notice the drop counts its attempt as out until it answers.
    assert!(report.overlapping_attempts <= report.further_attempts, "{report:#?}");
    assert_eq!((report.failed, report.drain_breaks, report.budget_breaks), (0, 0, 0), "{report:#?}");
}

#[test]
fn a_viewer_who_hangs_up_ends_the_attempt_at_once() {
    let mut rig = Rig::new(1);
    rig.fleet.fault(1, Fault::NeverAnswer);
    let wish = Wish { hangs_up: Some(Duration::from_millis(60)), ..rig.wish("one") };
    player::ask(&wish, &mut rig.dice, &rig.recorder);
    let first = |is: &dyn Fn(&What) -> bool| rig.recorder.trace().iter().find(|s| is(&s.what)).map(|s| s.at);
    let dropped = || first(&|w| matches!(w, What::Dropped { .. }));
    until("the attempt is dropped", || dropped().is_some());
    let (start, end) = (first(&|w| matches!(w, What::Asked { .. })).unwrap_or(0), dropped().unwrap_or(0));
    assert!(end - start < 340_000, "long before its own time is up: {} us", end - start);
    rig.finish();
}

#[test]
fn an_answer_that_cannot_be_written_any_more_ends_its_session() {
    let mut rig = Rig::new(1);
    rig.fleet.fault(1, Fault::Late { ms: 300 });
    let text = offer::offer(&Credentials::draw(&mut rig.dice), false, None);
    let bytes = Request::new(Method::POST, "/whep/one").body("application/sdp", text).encode("front");
    let mut socket = std::net::TcpStream::connect(rig.address).expect("a connection");
    socket.write_all(&bytes).expect("sent");
    std::thread::sleep(Duration::from_millis(50));
    // What comes behind the offer hides the hang-up until the answer is to be written.
    socket.write_all(b"G").expect("sent");
    std::thread::sleep(Duration::from_millis(50));
    drop(socket);
    let freed = || rig.recorder.trace().into_iter().find(|s| matches!(s.what, What::Freed { .. }));
    until("the session is over", || freed().is_some());
    assert!(matches!(freed().map(|s| s.what), Some(What::Freed { expired: false, .. })));
    rig.settle(0);
}

/// Sessions that a box had to let expire though their players never had them.
fn unplayed(rig: &Rig) -> usize {
    let seen = rig.recorder.trace();
    let ended = |offer: &str, status: u16| {
        let is = |w: &What| matches!(w, What::Ended { offer: o, ending: Ending::Status(s), .. } if o == offer && *s == status);
        seen.iter().any(|s| is(&s.what))
    };
    let at_box = |offer: &str, server: u32| {
        // Played at the box that began it last.
        let last = seen.iter().rev().find_map(|s| match &s.what {
            What::Began { server, offer: o } if o == offer => Some(*server),
            _ => None,
        });
        last == Some(server)
    };
    let expired = seen.iter().filter_map(|s| match &s.what {
        What::Freed { server, offer, expired: true } => Some((offer, *server)),
        _ => None,
    });
    expired.filter(|(offer, server)| !ended(offer, 201) || !at_box(offer, *server)).count()
}

#[test]
fn lost_answers_leave_nothing_behind() {
    let mut rig = Rig::new(2);
    rig.fleet.fault(1, Fault::LoseAnswers { share: 1.0 });
    for _ in 0..6 {
        rig.play("pair");
    }
    rig.settle(0);
    rig.finish();
}

#[test]
fn viewers_who_hang_up_at_any_moment_leave_nothing_behind() {
    let rig = Rig::new(2);
    rig.fleet.boxes().for_each(|(_, b)| b.fault(Fault::Late { ms: 60 }));
    let players: Vec<_> = (0..40)
        .map(|n| {
            let wish = Wish { hangs_up: Some(Duration::from_millis(n * 3)), ..rig.wish("all") };
            let recorder = rig.recorder.clone();
            std::thread::spawn(move || player::ask(&wish, &mut Dice::new(100 + n), &recorder))
        })
        .collect();
    let asked: Vec<_> = players.into_iter().map(|p| p.join().expect("a player")).collect();
    assert!(asked.iter().any(|a| a.playing.is_none()), "some hung up");
    rig.settle(0);
    // Those who hung up were released or dropped. An answer that was written in the very moment can't be known lost.
    assert!(unplayed(&rig) <= 4, "{} left to expire", unplayed(&rig));
    let report = rig.finish();
    assert!(report.hung_up > 0);
}

#[test]
fn a_box_drained_halfway_through_a_set_up_finishes_it_and_gets_no_other() {
    let mut rig = Rig::new(1);
    rig.fleet.fault(1, Fault::Late { ms: 300 });
    let (wish, recorder) = (rig.wish("one"), rig.recorder.clone());
    let early = std::thread::spawn(move || player::ask(&wish, &mut Dice::new(9), &recorder));
    std::thread::sleep(Duration::from_millis(100));
    rig.fleet.list_as(1, "draining");
    assert!(early.join().expect("a player").playing.is_some());
    until("the drain is known", || rig.status("one") == 503);
    rig.fleet.list_as(1, "ready");
    rig.fleet.mend(1);
    until("it takes sessions again", || rig.status("one") == 201);
    rig.settle(0);
    rig.finish();
}

#[test]
fn a_lost_list_never_empties_what_is_known_and_what_it_missed_is_heard_later() {
    let mut rig = Rig::new(2);
    rig.fleet.list.reach(false);
    std::thread::sleep(Duration::from_millis(200));
    rig.play("all");
    rig.fleet.list_as(1, "draining");
    rig.fleet.list.reach(true);
    until("the drain is known", || rig.status("one") == 503);
    for _ in 0..5 {
        rig.fleet.list.flap();
        std::thread::sleep(Duration::from_millis(30));
        rig.play("all");
    }
    rig.settle(0);
    rig.finish();
}

#[test]
fn a_list_with_lines_that_make_no_sense_holds_in_its_sound_ones() {
    let mut rig = Rig::new(2);
    let lines = vec![
        serde_json::json!({"id": 9, "name": "odd", "zone": "nowhere"}),
        serde_json::json!("no box"),
        serde_json::json!({"id": 2, "name": "box-2.a", "address": rig.fleet.listed()[1].address, "state": "draining",
            "zone": "a", "kind": "small"}),
        serde_json::json!({"id": 2, "name": "box-2.a", "address": rig.fleet.listed()[1].address, "state": "ready",
            "zone": "a", "kind": "small"}),
    ];
    rig.fleet.list.publish(beechloft_discovery::Message { media_servers: lines, ..Default::default() });
    // Named twice: its least ready state holds.
    until("box 2 drains", || {
        rig.play("pair");
        let seen = rig.recorder.trace();
        let last = seen
            .iter()
            .rev()
            .find_map(|s| if let What::Offered { server, .. } = s.what { Some(server) } else { None });
        last == Some(1)
    });
    assert_eq!(rig.front().status().media_servers, 2);
    for _ in 0..5 {
        rig.play("pair");
    }
    rig.settle(0);
    rig.finish();
}

#[test]
fn a_box_that_dies_ends_its_sessions_at_once_and_takes_new_ones_when_it_is_back() {
    let mut rig = Rig::new(1);
    for _ in 0..5 {
        rig.play("one");
    }
    until("they play", || rig.front().status().playing == 5);
    rig.fleet.get(1).expect("box 1").fault(Fault::Die);
    let began = std::time::Instant::now();
    until("they are ended", || rig.front().status().playing == 0);
    assert!(began.elapsed() < Duration::from_secs(3), "long before they would expire");
    rig.fleet.mend(1);
    until("it takes sessions again", || rig.status("one") == 201);
    rig.settle(0);
    rig.finish();
}

#[test]
fn a_box_restarted_between_two_looks_at_it_loses_its_old_sessions_and_keeps_its_new_ones() {
    let mut rig = Rig::new(1);
    rig.play("one");
    until("its stream is up", || rig.front().status().playing == 1);
    rig.fleet.get(1).expect("box 1").restart().expect("it restarts");
    until("the old one is ended", || rig.front().status().playing == 0);
    until("a new one plays", || rig.status("one") == 201);
    assert_eq!(rig.front().status().playing, 1);
    rig.settle(0);
    rig.finish();
}

#[test]
fn a_thousand_players_at_once_on_one_title_get_one_answer_each() {
    let rig = Rig::new(4);
    let players: Vec<_> = (0..1000)
        .map(|n| {
            let (wish, recorder) = (rig.wish("all"), rig.recorder.clone());
            let thread = std::thread::Builder::new().stack_size(128 * 1024);
            thread.spawn(move || player::ask(&wish, &mut Dice::new(1000 + n), &recorder)).expect("a thread")
        })
        .collect();
    for p in players {
        p.join().expect("a player");
    }
    rig.settle(0);
    let report = rig.finish();
    assert_eq!(report.sessions, 1000);
    assert!(report.playing > 0);
}

#[test]
fn the_copy_of_the_list_serves_a_start_without_the_service() {
    let dir = tempfile::tempdir().expect("a folder");
    let cache = dir.path().join("list.json");
    let mut rig = Rig::new(1);
    let list = format!("url: {}\n  cache: {}", rig.fleet.list.url(), cache.display());
    let first = beechloft_server::Front::start(settings(&list, ""), None).expect("a front");
    until("the copy is written", || cache.exists());
    first.stop(Duration::from_secs(1));
    rig.fleet.list.reach(false);
    let second = beechloft_server::Front::start(settings(&list, ""), None).expect("a front");
    rig.address = second.address();
    until("it serves from the copy", || rig.status("all") == 201);
    rig.settle(0);
    rig.finish();
}

#[test]
fn a_box_that_grows_slow_and_dies_and_one_that_delivers_nothing() {
    let mut rig = Rig::new(2);
    rig.fleet.fault(1, Fault::GrowSlow { ms_per_s: 400.0, dies_after_s: 2.0 });
    until("it is dead", || {
        let playing = rig.play("pair");
        playing.end(&rig.pool, &rig.recorder).expect("a response");
        std::thread::sleep(Duration::from_millis(30));
        !rig.fleet.get(1).is_some_and(|b| b.is_up())
    });
    for _ in 0..3 {
        rig.play("pair");
    }
    assert_eq!(rig.fleet.sessions(), 3, "all at the sound box");
    // No front can see that media stays out; its player does, and ends the session like any other.
    rig.fleet.fault(2, Fault::DeliverNothing);
    let playing = rig.play("pair");
    let shares = watch(&playing, Duration::from_millis(400));
    assert!(!shares.is_empty() && shares.iter().all(|share| *share == 0.0), "{shares:?}");
    playing.end(&rig.pool, &rig.recorder).expect("a response");
    rig.settle(0);
    rig.finish();
}
