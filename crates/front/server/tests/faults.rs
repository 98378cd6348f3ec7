//! Tests of single faults of media servers, players and the list service, on sockets.

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

/// Asserts that all sessions play at media server 2 while media server 1 has a fault.
fn assert_plays_at_healthy_media_server(fault: Fault) {
    let mut harness = Harness::new(2);
    harness.fleet.fault(1, fault);
    for _ in 0..6 {
        harness.play("pair");
    }
    let seen = harness.recorder.trace();
    let at =
        |id| seen.iter().filter(|s| matches!(s.what, What::Began { server, .. } if server == id)).count();
    assert_eq!(at(2), 6, "all play at the healthy media server");
    harness.wait_for_sessions(0);
    harness.finish();
}

/// Waits until no session of the title `one` is set up any more, and checks that this is not for lack of capacity.
fn wait_until_draining_is_known(harness: &mut Harness) {
    until("sessions are rejected", || harness.status("one") == 503);
    harness.wait_for_sessions(0);
    assert_eq!(harness.status("one"), 503, "the draining state is not known");
}

/// Time for which a media server must be unreachable until its sessions are declared lost.
const LOST_AFTER: Duration = Duration::from_secs(10);

#[test]
fn retries_elsewhere_if_media_server_never_answers() {
    assert_plays_at_healthy_media_server(Fault::NeverAnswer);
}

#[test]
fn retries_elsewhere_if_media_server_hangs() {
    assert_plays_at_healthy_media_server(Fault::StandStill);
}

#[test]
fn retries_elsewhere_if_media_server_returns_errors() {
    assert_plays_at_healthy_media_server(Fault::Fail { share: 1.0 });
}

#[test]
fn retries_elsewhere_if_media_server_resets_connections() {
    assert_plays_at_healthy_media_server(Fault::Reset);
}

#[test]
fn retries_elsewhere_if_media_server_refuses_connections() {
    assert_plays_at_healthy_media_server(Fault::Refuse);
}

#[test]
fn retries_elsewhere_if_listed_media_server_has_exited() {
    let mut harness = Harness::new(2);
    harness.fleet.get(1).expect("media server 1").fault(Fault::Die);
    for _ in 0..6 {
        harness.play("pair");
    }
    harness.wait_for_sessions(0);
    harness.finish();
}

#[test]
fn releases_session_with_malformed_answer() {
    let mut harness = Harness::new(2);
    harness.fleet.fault(1, Fault::BadAnswer);
    for _ in 0..6 {
        harness.play("pair");
    }
    // The sessions at media server 1 are released before they expire.
    until("the sessions are released", || {
        let seen = harness.recorder.trace();
        let count = |f: &dyn Fn(&What) -> bool| seen.iter().filter(|s| f(&s.what)).count();
        let began = count(&|w| matches!(w, What::Began { server: 1, .. }));
        began > 0 && began == count(&|w| matches!(w, What::Freed { server: 1, expired: false, .. }))
    });
    harness.wait_for_sessions(0);
    harness.finish();
}

#[test]
fn releases_session_with_answer_within_grace_period() {
    // Attempts at the media server are cancelled after about 360 ms. It ignores that and answers shortly before or within
    // the grace period.
    for ms in [340, 365, 390, 420, 445] {
        let mut harness = Harness::new(2);
        harness.fleet.fault(1, Fault::Deaf { ms });
        until("media server 1 has answered", || {
            harness.play("pair");
            harness
                .recorder
                .trace()
                .iter()
                .any(|s| matches!(s.what, What::Answered { server: 1, status: 201, .. }))
        });
        harness.wait_for_sessions(0);
        assert_eq!(expired_unplayed(&harness), 0, "{ms} ms: released before it expired");
        harness.finish();
    }
}

#[test]
fn answer_long_after_grace_period_leaves_no_session() {
    let mut harness = Harness::new(2);
    harness.fleet.fault(1, Fault::Deaf { ms: 900 });
    // The test is meaningful only if the slow media server received an offer.
    let received_offer = |observed: &Harness| {
        observed.recorder.trace().iter().any(|s| matches!(s.what, What::Offered { server: 1, .. }))
    };
    for _ in 0..20 {
        harness.play("pair");
        if received_offer(&harness) {
            break;
        }
    }
    assert!(received_offer(&harness), "the slow media server received no offer");
    harness.wait_for_sessions(0);
    let report = harness.report();
    assert_eq!(
        (report.phantom_sessions, report.unanswered, report.duplicate_answers),
        (0, 0, 0),
        "{report:#?}"
    );
    // A media server that does not notice the cancellation counts the attempt as in flight until it answers.
    assert!(report.overlapping_attempts <= report.further_attempts, "{report:#?}");
    assert_eq!((report.failed, report.drain_breaks, report.budget_breaks), (0, 0, 0), "{report:#?}");
}

#[test]
fn client_disconnect_cancels_attempt() {
    let mut harness = Harness::new(1);
    harness.fleet.fault(1, Fault::NeverAnswer);
    let request = Wish { hangs_up: Some(Duration::from_millis(60)), ..harness.request("one") };
    player::ask(&request, &mut harness.dice, &harness.recorder);
    let first =
        |is: &dyn Fn(&What) -> bool| harness.recorder.trace().iter().find(|s| is(&s.what)).map(|s| s.at);
    let cancelled_at = || first(&|w| matches!(w, What::Dropped { .. }));
    until("the attempt is cancelled", || cancelled_at().is_some());
    let (start, end) =
        (first(&|w| matches!(w, What::Asked { .. })).unwrap_or(0), cancelled_at().unwrap_or(0));
    assert!(end - start < 340_000, "cancelled before its deadline: {} us", end - start);
    harness.finish();
}

#[test]
fn undelivered_answer_ends_session() {
    let mut harness = Harness::new(1);
    harness.fleet.fault(1, Fault::Late { ms: 300 });
    let text = offer::offer(&Credentials::draw(&mut harness.dice), false, None);
    let bytes = Request::new(Method::POST, "/whep/one").body("application/sdp", text).encode("front");
    let mut socket = std::net::TcpStream::connect(harness.address).expect("a connection");
    socket.write_all(&bytes).expect("sent");
    std::thread::sleep(Duration::from_millis(50));
    // Further data after the offer hides the disconnect from the front until it writes the answer.
    socket.write_all(b"G").expect("sent");
    std::thread::sleep(Duration::from_millis(50));
    drop(socket);
    let freed = || harness.recorder.trace().into_iter().find(|s| matches!(s.what, What::Freed { .. }));
    until("the session has ended", || freed().is_some());
    assert!(matches!(freed().map(|s| s.what), Some(What::Freed { expired: false, .. })));
    harness.wait_for_sessions(0);
}

/// Returns the number of sessions that expired at a media server without having been played.
fn expired_unplayed(harness: &Harness) -> usize {
    let seen = harness.recorder.trace();
    let ended = |offer: &str, status: u16| {
        let is = |w: &What| matches!(w, What::Ended { offer: o, ending: Ending::Status(s), .. } if o == offer && *s == status);
        seen.iter().any(|s| is(&s.what))
    };
    let plays_at = |offer: &str, expected_server: u32| {
        // The session plays at the media server that accepted it last.
        let last_server = seen.iter().rev().find_map(|s| match &s.what {
            What::Began { server, offer: o } if o == offer => Some(*server),
            _ => None,
        });
        last_server == Some(expected_server)
    };
    let expired = seen.iter().filter_map(|s| match &s.what {
        What::Freed { server, offer, expired: true } => Some((offer, *server)),
        _ => None,
    });
    expired.filter(|(offer, server)| !ended(offer, 201) || !plays_at(offer, *server)).count()
}

#[test]
fn lost_answers_leave_no_sessions() {
    let mut harness = Harness::new(2);
    harness.fleet.fault(1, Fault::LoseAnswers { share: 1.0 });
    for _ in 0..6 {
        harness.play("pair");
    }
    harness.wait_for_sessions(0);
    harness.finish();
}

#[test]
fn client_disconnects_at_any_time_leave_no_sessions() {
    let harness = Harness::new(2);
    harness.fleet.boxes().for_each(|(_, b)| b.fault(Fault::Late { ms: 60 }));
    let players: Vec<_> = (0..40)
        .map(|n| {
            let request = Wish { hangs_up: Some(Duration::from_millis(n * 3)), ..harness.request("all") };
            let recorder = harness.recorder.clone();
            std::thread::spawn(move || player::ask(&request, &mut Dice::new(100 + n), &recorder))
        })
        .collect();
    let requested: Vec<_> = players.into_iter().map(|p| p.join().expect("a player")).collect();
    assert!(requested.iter().any(|a| a.playing.is_none()), "some clients disconnected");
    harness.wait_for_sessions(0);
    // The sessions of disconnected clients are released or cancelled. The exception is an answer that is written at the
    // moment of the disconnect, as its loss can't be detected.
    assert!(expired_unplayed(&harness) <= 4, "{} expired", expired_unplayed(&harness));
    let report = harness.finish();
    assert!(report.hung_up > 0);
}

#[test]
fn draining_media_server_completes_set_up_and_gets_no_other() {
    let mut harness = Harness::new(1);
    harness.fleet.fault(1, Fault::Late { ms: 300 });
    let (request, recorder) = (harness.request("one"), harness.recorder.clone());
    let early = std::thread::spawn(move || player::ask(&request, &mut Dice::new(9), &recorder));
    std::thread::sleep(Duration::from_millis(100));
    harness.fleet.list_as(1, "draining");
    assert!(early.join().expect("a player").playing.is_some());
    wait_until_draining_is_known(&mut harness);
    harness.fleet.list_as(1, "ready");
    harness.fleet.mend(1);
    until("the media server accepts sessions", || harness.status("one") == 201);
    harness.wait_for_sessions(0);
    harness.finish();
}

#[test]
fn lost_list_service_keeps_list_and_missed_changes_apply_on_reconnect() {
    let mut harness = Harness::new(2);
    harness.fleet.list.reach(false);
    std::thread::sleep(Duration::from_millis(200));
    harness.play("all");
    harness.fleet.list_as(1, "draining");
    harness.fleet.list.reach(true);
    wait_until_draining_is_known(&mut harness);
    for _ in 0..5 {
        harness.fleet.list.flap();
        std::thread::sleep(Duration::from_millis(30));
        harness.play("all");
    }
    harness.wait_for_sessions(0);
    harness.finish();
}

/// Adds a media server to the list.
fn add_media_server(harness: &Harness) {
    let address = harness.fleet.listed()[0].address.clone();
    let entry = serde_json::json!({"id": 2, "name": "box-2.a", "address": address, "state": "ready", "zone": "a",
        "kind": "small"});
    harness
        .fleet
        .list
        .publish(beechloft_discovery::Message { media_servers: vec![entry], ..Default::default() });
}

/// The front closed each request to the list service after 2 s, and never received a list from a slower one.
#[test]
fn changes_from_slow_list_service_are_applied() {
    let harness = Harness::new(1);
    harness.fleet.list.respond_after(Duration::from_secs(3));
    harness.fleet.list.flap();
    std::thread::sleep(Duration::from_millis(100));
    add_media_server(&harness);
    until("the change is known", || harness.front().status().media_servers == 2);
    harness.finish();
}

/// A longer wait for slow responses must not delay the repetition of a request that is lost.
#[test]
fn lost_request_to_list_service_is_repeated() {
    let harness = Harness::new(1);
    harness.fleet.list.respond_after(Duration::from_secs(60));
    let served = harness.fleet.list.served();
    harness.fleet.list.flap();
    until("the list is requested again", || harness.fleet.list.served() > served);
    harness.fleet.list.respond_after(Duration::ZERO);
    let began = std::time::Instant::now();
    add_media_server(&harness);
    until("the change is known", || harness.front().status().media_servers == 2);
    assert!(began.elapsed() < Duration::from_secs(4), "{:?}", began.elapsed());
    harness.finish();
}

/// Starts a session whose player renews its consent for a while, and delays the events of its media server. Returns the time
/// until the front has ended the session, or `None`.
fn time_until_session_ends(response_time: Duration, watched: Duration) -> Option<Duration> {
    let mut harness = Harness::new(1);
    let playing = harness.play("one");
    until("the session plays", || harness.front().status().playing == 1);
    harness.fleet.get(1).expect("media server 1").delay_events(response_time);
    let began = std::time::Instant::now();
    let player = std::thread::spawn(move || watch(&playing, watched));
    while harness.front().status().playing == 1 && began.elapsed() < watched {
        std::thread::sleep(Duration::from_millis(20));
    }
    let ended = (harness.front().status().playing == 0).then(|| began.elapsed());
    player.join().expect("the player");
    harness.wait_for_sessions(0);
    harness.finish();
    ended
}

/// The front closed each request for the events of a media server after 2 s, and declared the sessions of a slower one lost.
#[test]
fn slow_events_of_media_server_end_no_session() {
    let watched = LOST_AFTER + Duration::from_secs(4);
    assert_eq!(time_until_session_ends(Duration::from_secs(3), watched), None);
}

/// A longer wait for slow events must not hide that a media server is lost.
#[test]
fn media_server_without_events_is_lost() {
    let watched = LOST_AFTER + Duration::from_secs(4);
    let ended = time_until_session_ends(Duration::from_secs(60), watched).expect("the session plays on");
    assert!(ended < LOST_AFTER + Duration::from_secs(1), "{ended:?}");
}

#[test]
fn invalid_list_entries_do_not_affect_valid_ones() {
    let mut harness = Harness::new(2);
    let entries = vec![
        serde_json::json!({"id": 9, "name": "odd", "zone": "nowhere"}),
        serde_json::json!("not an entry"),
        serde_json::json!({"id": 2, "name": "box-2.a", "address": harness.fleet.listed()[1].address, "state": "draining",
            "zone": "a", "kind": "small"}),
        serde_json::json!({"id": 2, "name": "box-2.a", "address": harness.fleet.listed()[1].address, "state": "ready",
            "zone": "a", "kind": "small"}),
    ];
    harness.fleet.list.publish(beechloft_discovery::Message { media_servers: entries, ..Default::default() });
    // The least ready state of a duplicate entry applies.
    until("media server 2 receives no offers", || {
        harness.play("pair");
        let seen = harness.recorder.trace();
        let last = seen
            .iter()
            .rev()
            .find_map(|s| if let What::Offered { server, .. } = s.what { Some(server) } else { None });
        last == Some(1)
    });
    assert_eq!(harness.front().status().media_servers, 2);
    for _ in 0..5 {
        harness.play("pair");
    }
    harness.wait_for_sessions(0);
    harness.finish();
}

#[test]
fn exited_media_server_ends_sessions_and_accepts_new_ones_after_restart() {
    let mut harness = Harness::new(1);
    for _ in 0..5 {
        harness.play("one");
    }
    until("they play", || harness.front().status().playing == 5);
    harness.fleet.get(1).expect("media server 1").fault(Fault::Die);
    let began = std::time::Instant::now();
    until("they are ended", || harness.front().status().playing == 0);
    assert!(began.elapsed() < Duration::from_secs(3), "before they would expire");
    harness.fleet.mend(1);
    until("the media server accepts sessions", || harness.status("one") == 201);
    harness.wait_for_sessions(0);
    harness.finish();
}

#[test]
fn restart_of_media_server_ends_only_earlier_sessions() {
    let mut harness = Harness::new(1);
    harness.play("one");
    until("the session plays", || harness.front().status().playing == 1);
    harness.fleet.get(1).expect("media server 1").restart().expect("it restarts");
    until("the earlier session has ended", || harness.front().status().playing == 0);
    until("a new session plays", || harness.status("one") == 201);
    assert_eq!(harness.front().status().playing, 1);
    harness.wait_for_sessions(0);
    harness.finish();
}

#[test]
fn thousand_concurrent_requests_get_one_answer_each() {
    let harness = Harness::new(4);
    let players: Vec<_> = (0..1000)
        .map(|n| {
            let (request, recorder) = (harness.request("all"), harness.recorder.clone());
            let thread = std::thread::Builder::new().stack_size(128 * 1024);
            thread
                .spawn(move || player::ask(&request, &mut Dice::new(1000 + n), &recorder))
                .expect("a thread")
        })
        .collect();
    for p in players {
        p.join().expect("a player");
    }
    harness.wait_for_sessions(0);
    let report = harness.finish();
    assert_eq!(report.sessions, 1000);
    assert!(report.playing > 0);
}

#[test]
fn starts_from_cached_list_without_list_service() {
    let dir = tempfile::tempdir().expect("a folder");
    let cache = dir.path().join("list.json");
    let mut harness = Harness::new(1);
    let list = format!("url: {}\n  cache: {}", harness.fleet.list.url(), cache.display());
    let first = beechloft_server::Front::start(settings(&list, ""), None).expect("a front");
    until("the list is cached", || cache.exists());
    first.stop(Duration::from_secs(1));
    harness.fleet.list.reach(false);
    let second = beechloft_server::Front::start(settings(&list, ""), None).expect("a front");
    harness.address = second.address();
    until("the front serves from the cached list", || harness.status("all") == 201);
    harness.wait_for_sessions(0);
    harness.finish();
}

#[test]
fn sessions_play_at_healthy_media_server_while_other_slows_down_and_exits() {
    let mut harness = Harness::new(2);
    harness.fleet.fault(1, Fault::GrowSlow { ms_per_s: 400.0, dies_after_s: 2.0 });
    until("media server 1 has exited", || {
        let playing = harness.play("pair");
        playing.end(&harness.pool, &harness.recorder).expect("a response");
        std::thread::sleep(Duration::from_millis(30));
        !harness.fleet.get(1).is_some_and(|b| b.is_up())
    });
    for _ in 0..3 {
        harness.play("pair");
    }
    assert_eq!(harness.fleet.sessions(), 3, "all play at the healthy media server");
    // A front can't detect that no media is delivered. The player does, and ends its session normally.
    harness.fleet.fault(2, Fault::DeliverNothing);
    let playing = harness.play("pair");
    let fractions = watch(&playing, Duration::from_millis(400));
    assert!(!fractions.is_empty() && fractions.iter().all(|fraction| *fraction == 0.0), "{fractions:?}");
    playing.end(&harness.pool, &harness.recorder).expect("a response");
    harness.wait_for_sessions(0);
    harness.finish();
}
