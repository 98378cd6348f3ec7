//! Tests of SIP on sockets, with callers over UDP and media servers over TCP.

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

/// A front with SIP and its fleet.
struct SipHarness {
    recorder: Recorder,
    fleet: Fleet,
    front: Front,
    seed: u64,
}

impl SipHarness {
    fn new(media_servers: u32) -> SipHarness {
        let recorder = Recorder::default();
        let (fleet, front) = start_with_sip(media_servers, &recorder);
        SipHarness { recorder, fleet, front, seed: 10 }
    }

    fn caller(&mut self) -> Caller {
        self.seed += 1;
        Caller::new(self.front.sip_address().expect("SIP is up"), 0, self.seed).expect("a caller")
    }

    /// Asserts that calls are established although media server 1 has a fault. Makes at least four calls, and further ones
    /// until that media server was tried.
    fn assert_calls_succeed_despite(&mut self, fault: Fault) {
        let was_tried = |harness: &SipHarness| {
            harness.recorder.trace().iter().any(|seen| matches!(seen.what, What::Offered { server: 1, .. }))
        };
        for n in 0..24 {
            if n >= 4 && (was_tried(self) || fault == Fault::Die) {
                return;
            }
            let mut caller = self.caller();
            let called = caller.call("pair", None, &self.recorder);
            let mut call = called.standing.unwrap_or_else(|| panic!("{fault:?}: {:?}", called.finals));
            caller.acknowledge(&call);
            assert!(caller.hang_up(&mut call, &self.recorder), "{fault:?}");
        }
        panic!("{fault:?}: the faulty media server was never tried");
    }

    fn finish(self) -> Report {
        until("all calls have ended", || self.fleet.sessions() == 0);
        let report = check(&self.recorder.trace(), &Rules { drain_grace_us: 1_000_000, ..Rules::default() });
        assert!(report.kept(), "{report:#?}");
        report
    }
}

#[test]
fn call_plays_and_ends() {
    let mut harness = SipHarness::new(2);
    let mut caller = harness.caller();
    let mut call = caller.call("all", None, &harness.recorder).standing.expect("a call");
    caller.acknowledge(&call);
    assert_eq!((harness.fleet.sessions(), harness.front.status().playing), (1, 1));
    assert!(caller.hang_up(&mut call, &harness.recorder));
    until("the call has ended", || harness.front.status().playing == 0);
    assert_eq!(harness.finish().playing, 1);
}

#[test]
fn rejects_unknown_title_and_title_without_holders() {
    let mut harness = SipHarness::new(1);
    let status = |called: &mut SipHarness, title: &str| {
        called.caller().call(title, None, &called.recorder).response.map(|response| response.status)
    };
    assert_eq!(status(&mut harness, "nothing"), Some(404));
    assert_eq!(status(&mut harness, "none"), Some(503));
    harness.finish();
}

#[test]
fn calls_succeed_despite_faulty_media_server() {
    for fault in [
        Fault::NeverAnswer,
        Fault::StandStill,
        Fault::Reset,
        Fault::Fail { share: 1.0 },
        Fault::Late { ms: 700 },
        Fault::Die,
    ] {
        let mut harness = SipHarness::new(2);
        harness.fleet.get(1).expect("media server 1").fault(fault);
        harness.assert_calls_succeed_despite(fault);
        harness.finish();
    }
}

#[test]
fn calls_succeed_despite_sip_specific_faults() {
    for fault in [Fault::Stuck, Fault::Ring, Fault::AnswerCancelled, Fault::HalfClose] {
        let mut harness = SipHarness::new(2);
        harness.fleet.get(1).expect("media server 1").fault(fault);
        harness.assert_calls_succeed_despite(fault);
        until("no call is left at a media server", || harness.fleet.sessions() == 0);
        let began =
            |seen: &&beechloft_checker::trace::Seen| matches!(seen.what, What::Began { server: 1, .. });
        let began_count = harness.recorder.trace().iter().filter(began).count();
        assert_eq!(began_count > 0, fault == Fault::AnswerCancelled, "{fault:?}: {began_count}");
        harness.finish();
    }
}

#[test]
fn acknowledges_acceptance_from_another_port() {
    let mut harness = SipHarness::new(1);
    harness.fleet.get(1).expect("media server 1").fault(Fault::OtherPort);
    let mut caller = harness.caller();
    let mut call = caller.call("one", None, &harness.recorder).standing.expect("a call");
    caller.acknowledge(&call);
    assert_eq!((harness.fleet.sessions(), harness.front.status().playing), (1, 1));
    assert!(caller.hang_up(&mut call, &harness.recorder));
    harness.finish();
}

#[test]
fn unanswered_bye_delays_neither_caller_nor_capacity() {
    let mut harness = SipHarness::new(1);
    let mut caller = harness.caller();
    let mut call = caller.call("one", None, &harness.recorder).standing.expect("a call");
    caller.acknowledge(&call);
    harness.fleet.get(1).expect("media server 1").fault(Fault::LoseBye);
    let began = std::time::Instant::now();
    assert!(caller.hang_up(&mut call, &harness.recorder));
    assert!(began.elapsed() < Duration::from_secs(5), "the response does not wait for the media server");
    until("no session plays", || harness.front.status().playing == 0);
    // The media server keeps the call until the fault ends and the front's stream is closed.
    assert_eq!(harness.fleet.sessions(), 1);
}

#[test]
fn call_survives_lost_connection_only_if_media_server_still_has_it() {
    let mut harness = SipHarness::new(1);
    let mut caller = harness.caller();
    let call = caller.call("one", None, &harness.recorder).standing.expect("a call");
    caller.acknowledge(&call);
    harness.fleet.get(1).expect("media server 1").drop_streams();
    assert!(!caller.is_hung_up(&call, Duration::from_secs(7)), "the media server still has the call");
    assert_eq!((harness.fleet.sessions(), harness.front.status().playing), (1, 1));
    harness.fleet.get(1).expect("media server 1").drop_calls();
    harness.fleet.get(1).expect("media server 1").drop_streams();
    assert!(caller.is_hung_up(&call, Duration::from_secs(7)), "the media server has dropped the call");
    until("no session plays", || harness.front.status().playing == 0);
    harness.finish();
}

#[test]
fn fronts_with_same_seed_create_distinct_calls() {
    let recorder = Recorder::default();
    let fleet = Fleet::start(&fleet_spec(1), &recorder).expect("a fleet");
    let start = || {
        let mut settings = settings(&format!("url: {}", fleet.list.url()), "");
        settings.sip = Some("127.0.0.1:0".parse().expect("an address"));
        settings.seed = Some(1);
        let front = Front::start(settings, None).expect("a front");
        until("the endpoint list is known", || front.status().media_servers == 1);
        front
    };
    let fronts = [start(), start()];
    let mut calls = Vec::new();
    for (seed, front) in (1..).zip([0u32, 1, 0, 1]) {
        let to = fronts[front as usize].sip_address().expect("SIP is up");
        let mut caller = Caller::new(to, front, seed).expect("a caller");
        let call = caller.call("one", None, &recorder).standing.expect("a call");
        caller.acknowledge(&call);
        calls.push((caller, call));
    }
    assert_eq!(fleet.sessions(), 4);
    for (caller, call) in &mut calls {
        assert!(caller.hang_up(call, &recorder));
    }
    until("all calls have ended", || fleet.sessions() == 0);
}

#[test]
fn cancelled_call_gets_487_and_leaves_no_session() {
    let mut harness = SipHarness::new(1);
    harness.fleet.fault(1, Fault::Late { ms: 600 });
    let mut caller = harness.caller();
    caller.cancels = Some(Duration::from_millis(100));
    assert_eq!(caller.call("one", None, &harness.recorder).finals, [487]);
    let report = harness.finish();
    assert_eq!((report.hung_up, report.playing), (1, 0));
}

#[test]
fn lost_media_server_ends_calls() {
    let mut harness = SipHarness::new(1);
    let mut caller = harness.caller();
    let call = caller.call("one", None, &harness.recorder).standing.expect("a call");
    caller.acknowledge(&call);
    harness.fleet.get(1).expect("media server 1").fault(Fault::Die);
    assert!(caller.is_hung_up(&call, Duration::from_secs(10)));
    harness.finish();
}

#[test]
fn packet_loss_causes_no_duplicate_answers_or_set_ups() {
    let mut harness = SipHarness::new(2);
    let mut callers: Vec<Caller> = (0..12).map(|_| harness.caller()).collect();
    std::thread::scope(|scope| {
        for caller in &mut callers {
            let recorder = &harness.recorder;
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
    let seen = harness.recorder.trace();
    let offered = seen.iter().filter(|s| matches!(s.what, What::Offered { .. })).count();
    assert!(offered <= 12, "a retransmitted INVITE caused a second set-up: {offered}");
    let report = harness.finish();
    assert!(report.playing >= 10, "{report:?}");
}

#[test]
fn reordered_datagrams_cause_no_duplicate_answers_or_set_ups() {
    let mut harness = SipHarness::new(2);
    let mut callers: Vec<Caller> = (0..12).map(|_| harness.caller()).collect();
    std::thread::scope(|scope| {
        for (n, caller) in callers.iter_mut().enumerate() {
            let recorder = &harness.recorder;
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
    let offered = harness.recorder.trace().iter().filter(|s| matches!(s.what, What::Offered { .. })).count();
    assert!(offered <= 12, "a retransmitted INVITE caused a second set-up: {offered}");
    harness.finish();
}

#[test]
fn sip_and_whep_share_session_limit() {
    let recorder = Recorder::default();
    let fleet = Fleet::start(&fleet_spec(1), &recorder).expect("a fleet");
    let mut settings = settings(&format!("url: {}", fleet.list.url()), "");
    settings.sip = Some("127.0.0.1:0".parse().expect("an address"));
    settings.settings.classes[0].max_sessions_per_title = Some(2);
    let front = Front::start(settings, None).expect("a front");
    until("the endpoint list is known", || front.status().media_servers == 1);
    let mut harness = SipHarness { recorder, fleet, front, seed: 10 };
    let mut caller = harness.caller();
    let mut call = caller.call("one", None, &harness.recorder).standing.expect("a call");
    caller.acknowledge(&call);
    let mut dice = Dice::new(5);
    let request = Wish::new(harness.front.address(), 0, "one");
    let first = player::ask(&request, &mut dice, &harness.recorder);
    assert!(first.playing.is_some());
    assert_eq!(harness.front.status().playing, 2);
    let third = player::ask(&request, &mut dice, &harness.recorder).response.expect("an answer");
    assert_eq!(third.status, 503, "both allowed sessions play, one by SIP and one by WHEP");
    assert!(caller.hang_up(&mut call, &harness.recorder));
    harness.finish();
}
