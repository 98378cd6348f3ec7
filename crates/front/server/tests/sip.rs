//! SIP on sockets: callers over datagrams, the front, boxes over streams; one front serves both protocols.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]

mod support;

use std::time::Duration;

use beechloft_checker::{Recorder, Report, Rules, What, check};
use beechloft_fakes::caller::Caller;
use beechloft_fakes::dice::Dice;
use beechloft_fakes::fault::Fault;
use beechloft_fakes::fleet::Fleet;
use beechloft_fakes::player::{self, Wish};
use beechloft_server::Front;
use support::*;

struct Sip {
    recorder: Recorder,
    fleet: Fleet,
    front: Front,
    seed: u64,
}

impl Sip {
    fn new(boxes: u32) -> Sip {
        let recorder = Recorder::default();
        let fleet = Fleet::start(&fleet_spec(boxes), &recorder).expect("a fleet");
        let mut settings = settings(&format!("url: {}", fleet.list.url()), "");
        settings.sip = Some("127.0.0.1:0".parse().expect("an address"));
        let front = Front::start(settings, None).expect("a front");
        until("the list is known", || front.status().media_servers == boxes as usize);
        Sip { recorder, fleet, front, seed: 10 }
    }

    fn caller(&mut self) -> Caller {
        self.seed += 1;
        Caller::new(self.front.sip_address().expect("SIP is up"), 0, self.seed).expect("a caller")
    }

    /// Calls that all stand, though one of two boxes is in trouble: some, and until that box has been tried.
    fn calls_past(&mut self, fault: Fault) {
        let tried =
            |s: &Sip| s.recorder.trace().iter().any(|s| matches!(s.what, What::Offered { server: 1, .. }));
        for n in 0..24 {
            if n >= 4 && (tried(self) || fault == Fault::Die) {
                return;
            }
            let mut caller = self.caller();
            let called = caller.call("pair", None, &self.recorder);
            let mut call = called.standing.unwrap_or_else(|| panic!("{fault:?}: {:?}", called.finals));
            caller.acknowledge(&call);
            assert!(caller.hang_up(&mut call, &self.recorder), "{fault:?}");
        }
        panic!("{fault:?}: the box in trouble was never tried");
    }

    fn finish(self) -> Report {
        until("the boxes' calls are over", || self.fleet.sessions() == 0);
        let report = check(&self.recorder.trace(), &Rules { drain_grace_us: 1_000_000, ..Rules::default() });
        assert!(report.kept(), "{report:#?}");
        report
    }
}

#[test]
fn a_call_is_placed_plays_and_ends() {
    let mut s = Sip::new(2);
    let mut caller = s.caller();
    let mut call = caller.call("all", None, &s.recorder).standing.expect("a call");
    caller.acknowledge(&call);
    assert_eq!((s.fleet.sessions(), s.front.status().playing), (1, 1));
    assert!(caller.hang_up(&mut call, &s.recorder));
    until("it is over", || s.front.status().playing == 0);
    assert_eq!(s.finish().playing, 1);
}

#[test]
fn unknown_titles_and_titles_without_holders_are_refused() {
    let mut s = Sip::new(1);
    let status =
        |s: &mut Sip, title: &str| s.caller().call(title, None, &s.recorder).response.map(|r| r.status);
    assert_eq!(status(&mut s, "nothing"), Some(404));
    assert_eq!(status(&mut s, "none"), Some(503));
    s.finish();
}

#[test]
fn calls_go_past_boxes_in_trouble() {
    for fault in [
        Fault::NeverAnswer,
        Fault::StandStill,
        Fault::Reset,
        Fault::Fail { share: 1.0 },
        Fault::Late { ms: 700 },
        Fault::Die,
    ] {
        let mut s = Sip::new(2);
        s.fleet.get(1).expect("box 1").fault(fault);
        s.calls_past(fault);
        s.finish();
    }
}

#[test]
fn calls_go_past_boxes_with_troubles_that_only_sip_has() {
    for fault in [Fault::Stuck, Fault::Ring, Fault::AnswerCancelled, Fault::HalfClose] {
        let mut s = Sip::new(2);
        s.fleet.get(1).expect("box 1").fault(fault);
        s.calls_past(fault);
        until("no call is left at the box in trouble", || s.fleet.sessions() == 0);
        let began =
            |seen: &&beechloft_checker::trace::Seen| matches!(seen.what, What::Began { server: 1, .. });
        let at_box = s.recorder.trace().iter().filter(began).count();
        assert_eq!(at_box > 0, fault == Fault::AnswerCancelled, "{fault:?}: {at_box}");
        s.finish();
    }
}

#[test]
fn an_acceptance_from_another_port_counts_and_is_acknowledged() {
    let mut s = Sip::new(1);
    s.fleet.get(1).expect("box 1").fault(Fault::OtherPort);
    let mut caller = s.caller();
    let mut call = caller.call("one", None, &s.recorder).standing.expect("a call");
    caller.acknowledge(&call);
    assert_eq!((s.fleet.sessions(), s.front.status().playing), (1, 1));
    assert!(caller.hang_up(&mut call, &s.recorder));
    s.finish();
}

#[test]
fn a_bye_that_the_box_does_not_hear_keeps_neither_the_caller_nor_the_room_waiting() {
    let mut s = Sip::new(1);
    let mut caller = s.caller();
    let mut call = caller.call("one", None, &s.recorder).standing.expect("a call");
    caller.acknowledge(&call);
    s.fleet.get(1).expect("box 1").fault(Fault::LoseBye);
    let began = std::time::Instant::now();
    assert!(caller.hang_up(&mut call, &s.recorder));
    assert!(began.elapsed() < Duration::from_secs(5), "its 200 does not wait for the box");
    until("nobody plays", || s.front.status().playing == 0);
    // The box still has it; when it is well again, the front's stream ends and the call with it.
    assert_eq!(s.fleet.sessions(), 1);
}

#[test]
fn a_call_outlives_its_connection_if_the_box_has_it_and_not_if_it_started_anew() {
    let mut s = Sip::new(1);
    let mut caller = s.caller();
    let call = caller.call("one", None, &s.recorder).standing.expect("a call");
    caller.acknowledge(&call);
    s.fleet.get(1).expect("box 1").drop_streams();
    assert!(!caller.is_hung_up(&call, Duration::from_secs(7)), "the front asked, and the box has it");
    assert_eq!((s.fleet.sessions(), s.front.status().playing), (1, 1));
    s.fleet.get(1).expect("box 1").drop_calls();
    s.fleet.get(1).expect("box 1").drop_streams();
    assert!(caller.is_hung_up(&call, Duration::from_secs(7)), "the box does not know it any more");
    until("nobody plays", || s.front.status().playing == 0);
    s.finish();
}

#[test]
fn fronts_of_one_seed_and_starts_of_one_front_name_no_two_calls_alike() {
    let recorder = Recorder::default();
    let fleet = Fleet::start(&fleet_spec(1), &recorder).expect("a fleet");
    let start = || {
        let mut settings = settings(&format!("url: {}", fleet.list.url()), "");
        settings.sip = Some("127.0.0.1:0".parse().expect("an address"));
        settings.seed = Some(1);
        let front = Front::start(settings, None).expect("a front");
        until("the list is known", || front.status().media_servers == 1);
        front
    };
    let fronts = [start(), start()];
    let mut calls = Vec::new();
    for (n, front) in [0, 1, 0, 1].into_iter().enumerate() {
        let to = fronts[front].sip_address().expect("SIP is up");
        let mut caller = Caller::new(to, front as u32, n as u64 + 1).expect("a caller");
        let call = caller.call("one", None, &recorder).standing.expect("a call");
        caller.acknowledge(&call);
        calls.push((caller, call));
    }
    assert_eq!(fleet.sessions(), 4);
    for (caller, call) in &mut calls {
        assert!(caller.hang_up(call, &recorder));
    }
    until("all are over at the box", || fleet.sessions() == 0);
}

#[test]
fn a_cancelled_call_gets_its_487_and_leaves_nothing_at_the_box() {
    let mut s = Sip::new(1);
    s.fleet.fault(1, Fault::Late { ms: 600 });
    let mut caller = s.caller();
    caller.cancels = Some(Duration::from_millis(100));
    assert_eq!(caller.call("one", None, &s.recorder).finals, [487]);
    let report = s.finish();
    assert_eq!((report.hung_up, report.playing), (1, 0));
}

#[test]
fn a_lost_box_hangs_up_on_its_callers() {
    let mut s = Sip::new(1);
    let mut caller = s.caller();
    let call = caller.call("one", None, &s.recorder).standing.expect("a call");
    caller.acknowledge(&call);
    s.fleet.get(1).expect("box 1").fault(Fault::Die);
    assert!(caller.is_hung_up(&call, Duration::from_secs(10)));
    s.finish();
}

#[test]
fn over_a_network_that_loses_a_fifth_each_call_has_one_answer_and_one_set_up() {
    let mut s = Sip::new(2);
    let mut callers: Vec<Caller> = (0..12).map(|_| s.caller()).collect();
    std::thread::scope(|scope| {
        for caller in &mut callers {
            let recorder = &s.recorder;
            scope.spawn(move || {
                caller.loses = 0.2;
                let called = caller.call("all", None, recorder);
                assert!(called.finals.iter().all(|f| *f == called.finals[0]), "{:?}", called.finals);
                if let Some(mut call) = called.standing {
                    caller.acknowledge(&call);
                    caller.hang_up(&mut call, recorder);
                }
            });
        }
    });
    let seen = s.recorder.trace();
    let offered = seen.iter().filter(|s| matches!(s.what, What::Offered { .. })).count();
    assert!(offered <= 12, "a repeated INVITE made a second set-up: {offered}");
    let report = s.finish();
    assert!(report.playing >= 10, "{report:?}");
}

#[test]
fn datagrams_that_overtake_each_other_change_nothing() {
    let mut s = Sip::new(2);
    let mut callers: Vec<Caller> = (0..12).map(|_| s.caller()).collect();
    std::thread::scope(|scope| {
        for (n, caller) in callers.iter_mut().enumerate() {
            let recorder = &s.recorder;
            scope.spawn(move || {
                (caller.loses, caller.swaps) = (0.05, 0.4);
                caller.cancels = (n % 3 == 0).then_some(Duration::from_millis(1));
                let called = caller.call("all", None, recorder);
                assert!(called.finals.iter().all(|f| *f == called.finals[0]), "{:?}", called.finals);
                if let Some(mut call) = called.standing {
                    caller.acknowledge(&call);
                    caller.hang_up(&mut call, recorder);
                }
            });
        }
    });
    let offered = s.recorder.trace().iter().filter(|s| matches!(s.what, What::Offered { .. })).count();
    assert!(offered <= 12, "a repeated INVITE made a second set-up: {offered}");
    s.finish();
}

#[test]
fn both_protocols_share_one_module_and_its_seats() {
    let recorder = Recorder::default();
    let fleet = Fleet::start(&fleet_spec(1), &recorder).expect("a fleet");
    let mut settings = settings(&format!("url: {}", fleet.list.url()), "");
    settings.sip = Some("127.0.0.1:0".parse().expect("an address"));
    settings.settings.classes[0].max_sessions_per_title = Some(2);
    let front = Front::start(settings, None).expect("a front");
    until("the list is known", || front.status().media_servers == 1);
    let mut s = Sip { recorder, fleet, front, seed: 10 };
    let mut caller = s.caller();
    let mut call = caller.call("one", None, &s.recorder).standing.expect("a call");
    caller.acknowledge(&call);
    let mut dice = Dice::new(5);
    let wish = Wish::new(s.front.address(), 0, "one");
    let first = player::ask(&wish, &mut dice, &s.recorder);
    assert!(first.playing.is_some());
    assert_eq!(s.front.status().playing, 2);
    let third = player::ask(&wish, &mut dice, &s.recorder).response.expect("an answer");
    assert_eq!(third.status, 503, "two seats are taken, one by a call, one by a player");
    assert!(caller.hang_up(&mut call, &s.recorder));
    s.finish();
}
