//! Tests of the streams that a front follows, on sockets: the list service's and the media servers' events, lost, slow or malformed.

mod support;

use std::time::{Duration, Instant};

use beechloft_checker::What;
use support::*;

/// Time for which a media server must be unreachable until its sessions are declared lost.
const LOST_AFTER: Duration = Duration::from_secs(10);

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
    let began = Instant::now();
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
    let began = Instant::now();
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
