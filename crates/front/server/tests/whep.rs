//! Tests of WHEP and WHIP over HTTP, from the player through the front to the media server.

mod support;

use std::time::{Duration, Instant};

use beechloft_fakes::fault::Fault;
use beechloft_fakes::offer::{self, Credentials};
use beechloft_fakes::player::{self, Wish};
use beechloft_http::{Method, Request, Response, header};
use support::*;

fn call(harness: &Harness, request: &Request) -> Response {
    harness.pool.call(harness.address, request, Instant::now() + Duration::from_secs(5)).expect("a response")
}

fn status(harness: &Harness, request: &Request) -> u16 {
    call(harness, request).status.as_u16()
}

#[test]
fn session_plays_trickles_restarts_ice_and_ends() {
    let mut harness = Harness::new(2);
    let requested = harness.request_session("all");
    let response = requested.response.expect("an answer");
    assert_eq!(response.status, 201);
    assert_eq!(response.field(header::CONTENT_TYPE), Some("application/sdp"));
    assert_eq!(response.field(header::ACCESS_CONTROL_ALLOW_ORIGIN), Some("*"));
    assert!(response.field(header::LINK).is_some_and(|l| l.contains("ice-server")), "{response:?}");
    assert!(
        !format!("{response:?}").contains("core:layer"),
        "extensions of media servers are not passed to clients"
    );
    let playing = requested.playing.expect("a session");
    assert!(watch(&playing, Duration::from_millis(400)).iter().all(|fraction| *fraction == 1.0));

    let patch = |version: &str| playing.trickle(&harness.pool, version).expect("a response");
    assert_eq!(patch(&playing.etag).status, 204);
    assert_eq!(patch("\"99\"").status, 412);
    let restart = patch("*");
    assert_eq!((restart.status.as_u16(), restart.field(header::ETAG)), (200, Some("\"2\"")));
    assert_eq!(patch("\"1\"").status, 412, "the version before the restart");

    assert_eq!(playing.end(&harness.pool, &harness.recorder).expect("a response").status, 200);
    assert_eq!(playing.end(&harness.pool, &harness.recorder).expect("a response").status, 404);
    assert_eq!(patch("*").status, 404);
    harness.wait_for_sessions(0);
    harness.finish();
}

#[test]
fn player_receives_events_of_rung_changes_and_end() {
    let mut harness = Harness::new(1);
    let playing = harness.play("one");
    let post = |body: &str| {
        Request::new(Method::POST, format!("{}/events", playing.path)).body("application/json", body)
    };
    assert_eq!(status(&harness, &post("[]")), 422);
    let subscription = call(&harness, &post("[\"inactive\",\"layers\"]"));
    let stream_path = subscription.field(header::LOCATION).expect("a stream").to_owned();
    assert_eq!(status(&harness, &Request::new(Method::GET, stream_path.replace("layers", "other"))), 404);
    let request = Request::new(Method::GET, stream_path);
    let deadline = Instant::now() + Duration::from_secs(5);
    let exchange = harness
        .pool
        .get(harness.address, deadline)
        .expect("a connection")
        .send(&request, deadline)
        .expect("sent");
    let (head, mut stream) = exchange.into_stream(deadline).expect("a stream");
    assert_eq!((head.status.as_u16(), head.field(header::CONTENT_TYPE)), (200, Some("text/event-stream")));
    // Other traffic fills the link: the media server reports reduced delivery, and the policy lowers the rung.
    harness.fleet.fault(1, Fault::TakeLink { share: 0.97 });
    let mut text = String::new();
    until("the rung changes", || {
        watch(&playing, Duration::from_millis(1));
        let part = stream.read(Instant::now() + Duration::from_millis(100)).expect("the stream is open");
        text.push_str(&String::from_utf8_lossy(&part));
        text.contains("event: layers")
    });
    let rate_set = |s: &beechloft_checker::Seen| matches!(s.what, beechloft_checker::What::Rate { rate_kb, .. } if rate_kb < 1000.0);
    until("the media server receives the new rate", || harness.recorder.trace().iter().any(rate_set));
    playing.end(&harness.pool, &harness.recorder).expect("a response");
    while let Ok(part) = stream.read(Instant::now() + Duration::from_secs(5)) {
        text.push_str(&String::from_utf8_lossy(&part));
    }
    assert!(text.contains("event: inactive"), "{text}");
    assert_eq!(status(&harness, &post("[\"layers\"]")), 404, "the session has ended");
    harness.wait_for_sessions(0);
    harness.finish();
}

#[test]
fn publishes_over_whip() {
    let mut harness = Harness::new(1);
    let request = Wish { publishes: true, ..harness.request("all") };
    let requested = player::ask(&request, &mut harness.dice, &harness.recorder);
    let playing = requested.playing.expect("a session");
    assert!(String::from_utf8_lossy(&requested.response.expect("an answer").body).contains("a=recvonly"));
    playing.end(&harness.pool, &harness.recorder).expect("a response");
    harness.wait_for_sessions(0);
    harness.finish();
}

#[test]
fn invalid_requests_are_rejected_by_the_front() {
    let mut harness = Harness::new(1);
    let valid_offer = offer::offer(&Credentials::draw(&mut harness.dice), false, None);
    let post = |kind: &'static str, body: &str| Request::new(Method::POST, "/whep/all").body(kind, body);
    let sdp = "application/sdp";
    assert_eq!(status(&harness, &post("text/plain", &valid_offer)), 415);
    assert_eq!(status(&harness, &post(sdp, "")), 400);
    assert_eq!(status(&harness, &post(sdp, "nonsense")), 400);
    assert_eq!(status(&harness, &post(sdp, &valid_offer.replace("recvonly", "sendonly"))), 422);
    assert_eq!(status(&harness, &post(sdp, &valid_offer.replace("m=video", "m=audio"))), 422);
    assert_eq!(status(&harness, &post(sdp, &valid_offer).with(header::ACCEPT, "text/html")), 406);
    assert_eq!(
        status(&harness, &Request::new(Method::POST, "/whep/no-such-title").body(sdp, valid_offer.clone())),
        404
    );
    assert_eq!(status(&harness, &Request::new(Method::GET, "/whep/all")), 405);
    assert_eq!(status(&harness, &Request::new(Method::DELETE, "/session/0123")), 404);
    assert_eq!(status(&harness, &Request::new(Method::GET, format!("/session/{}", "0".repeat(32)))), 405);
    assert_eq!(status(&harness, &post(sdp, &"a".repeat(70_000))), 413);
    let options = call(&harness, &Request::new(Method::OPTIONS, "/whep/all"));
    assert_eq!((options.status.as_u16(), options.field("accept-post")), (204, Some(sdp)));
    let frag = Request::new(Method::PATCH, format!("/session/{}", "0".repeat(32)));
    let frag =
        frag.body("application/trickle-ice-sdpfrag", offer::fragment(&Credentials::draw(&mut harness.dice)));
    assert_eq!(status(&harness, &frag), 428);
    assert_eq!(status(&harness, &frag.with(header::IF_MATCH, "*")), 404);
    let seen = harness.recorder.trace();
    assert!(!seen.iter().any(|s| matches!(s.what, beechloft_checker::What::Offered { .. })), "{seen:?}");
}

#[test]
fn rejects_with_retry_after_if_title_has_no_holder_or_capacity_is_exhausted() {
    let mut spec = fleet_spec(1);
    spec.boxes[0].streams = 3;
    let mut harness = Harness::with(spec, "");
    let rejected = harness.request_session("none").response.expect("an answer");
    assert_eq!((rejected.status.as_u16(), rejected.field(header::RETRY_AFTER)), (503, Some("1")));
    for _ in 0..3 {
        harness.play("one");
    }
    assert_eq!(harness.status("one"), 503);
    harness.wait_for_sessions(3);
    harness.wait_for_sessions(0); // the sessions expire without media consent
    harness.finish();
}

#[test]
fn rate_limit_in_offer_limits_rate() {
    let mut harness = Harness::new(1);
    let request = Wish { max_rate_kb: Some(500.0), ..harness.request("all") };
    player::ask(&request, &mut harness.dice, &harness.recorder).playing.expect("a session");
    let offered = harness.recorder.trace().into_iter().find_map(|s| match s.what {
        beechloft_checker::What::Offered { rate_kb, .. } => Some(rate_kb),
        _ => None,
    });
    assert!(offered.is_some_and(|kb| (200.0..=450.1).contains(&kb)), "{offered:?}");
}

#[test]
fn repeated_offer_gets_same_session() {
    let mut harness = Harness::new(2);
    let credentials = Credentials::draw(&mut harness.dice);
    let request = harness.request("all");
    let first = player::ask_with(&request, &credentials, &harness.recorder).playing.expect("a session");
    let repeated =
        player::ask_with(&request, &credentials, &harness.recorder).playing.expect("the same session");
    assert_eq!((first.path.as_str(), first.name.as_str()), (repeated.path.as_str(), repeated.name.as_str()));
    harness.wait_for_sessions(1);
    first.end(&harness.pool, &harness.recorder).expect("a response");
    harness.wait_for_sessions(0);

    // The second request is answered with a conflict while the first one is being set up.
    harness.fleet.boxes().for_each(|(_, b)| b.fault(Fault::Late { ms: 300 }));
    let new_credentials = Credentials::draw(&mut harness.dice);
    let (new_request, recorder, thread_credentials) =
        (harness.request("all"), harness.recorder.clone(), new_credentials.clone());
    let pending = std::thread::spawn(move || player::ask_with(&new_request, &thread_credentials, &recorder));
    std::thread::sleep(Duration::from_millis(100));
    let conflict = player::ask_with(&harness.request("all"), &new_credentials, &harness.recorder);
    assert_eq!(conflict.response.expect("an answer").status, 409);
    assert!(pending.join().expect("a player").playing.is_some());
    harness.wait_for_sessions(0);
    harness.finish();
}

#[test]
fn declined_token_does_not_eject_media_server() {
    let mut harness = Harness::new(2);
    harness.fleet.boxes().for_each(|(_, b)| b.fault(Fault::Decline { status: 401 }));
    for _ in 0..6 {
        let request = Wish { token: Some("Bearer nonsense".into()), ..harness.request("all") };
        let requested = player::ask(&request, &mut harness.dice, &harness.recorder);
        assert_eq!(requested.response.expect("an answer").status, 401);
    }
    harness.fleet.boxes().for_each(|(_, b)| b.clear());
    assert_eq!(harness.status("all"), 201);
    let report = harness.report();
    assert_eq!((report.further_attempts, report.declined), (0, 6));
}

#[test]
fn stop_answers_pending_requests_and_keeps_playing_sessions() {
    let mut harness = Harness::new(1);
    let playing = harness.play("all");
    harness.fleet.get(1).expect("media server 1").fault(Fault::Late { ms: 300 });
    let (request, recorder) = (harness.request("all"), harness.recorder.clone());
    let pending = std::thread::spawn(move || {
        player::ask(&request, &mut beechloft_fakes::dice::Dice::new(9), &recorder)
    });
    std::thread::sleep(Duration::from_millis(100));
    harness.front.take().expect("the front runs").stop(Duration::from_secs(4));
    assert!(pending.join().expect("a player").playing.is_some());
    assert!(!watch(&playing, Duration::from_millis(300)).is_empty(), "media is still delivered");
    assert_eq!(harness.request_session("all").ending, beechloft_checker::trace::Ending::NotTaken);
    harness.wait_for_sessions(0);
    harness.finish();
}

#[test]
fn connections_beyond_limit_are_rejected_at_once() {
    let mut harness = Harness::with(fleet_spec(1), "sockets:\n  connections: 2\n  head_ms: 300\n");
    let open_connections: Vec<_> =
        (0..2).map(|_| std::net::TcpStream::connect(harness.address).expect("a connection")).collect();
    std::thread::sleep(Duration::from_millis(100));
    let rejected = harness.request_session("all").response.expect("an answer");
    assert_eq!((rejected.status.as_u16(), rejected.field(header::RETRY_AFTER)), (503, Some("1")));
    let answer =
        player::slow_sender(harness.address, b"POST /whep/all HTTP/1.1\r\nho", Duration::from_secs(3));
    assert!(String::from_utf8_lossy(&answer).contains(" 503 "));
    drop(open_connections);
    until("a connection is available", || harness.status("all") == 201);
    let timeout_answer =
        player::slow_sender(harness.address, b"POST /whep/all HTTP/1.1\r\nho", Duration::from_secs(3));
    assert!(String::from_utf8_lossy(&timeout_answer).contains(" 408 "));
}

#[test]
fn health_checks_read_load_and_detect_hanging_media_server() {
    let recorder = beechloft_checker::Recorder::default();
    let fleet = beechloft_fakes::fleet::Fleet::start(&fleet_spec(2), &recorder).expect("a fleet");
    let mut settings = settings(&format!("url: {}", fleet.list.url()), "boxes: {call_ms: 300}\n");
    settings.settings.load_reporting = beechloft_session::api::LoadReporting::InHealthChecks;
    settings.settings.capabilities.health_checks = true;
    let front = beechloft_server::Front::start_recorded(settings).expect("a front");
    until("the endpoint list is known", || front.status().media_servers == 2);
    let mut dice = beechloft_fakes::dice::Dice::new(4);
    let request = Wish::new(front.address(), 0, "all");
    let health_checks = || fleet.boxes().map(|(_, b)| b.probes()).sum::<u64>();
    until("a health check was made", || {
        player::ask(&request, &mut dice, &recorder);
        std::thread::sleep(Duration::from_millis(100));
        health_checks() > 0
    });
    fleet.boxes().for_each(|(_, b)| b.fault(Fault::StandStill));
    // Accepted sessions earn health checks, and those of hanging media servers time out.
    std::thread::sleep(Duration::from_millis(3500));
    let recording = front.stop(Duration::from_secs(1));
    let count_checks = |succeeded: bool| {
        let matches = |input: &beechloft_session::io::Input| match input {
            beechloft_session::io::Input::HealthChecked { outcome, load, .. } => {
                (*outcome == beechloft_session::api::Outcome::Ok && load.link_utilization.is_some())
                    == succeeded
            }
            _ => false,
        };
        recording.inputs.iter().filter(|(_, input)| matches(input)).count()
    };
    assert!(count_checks(true) > 0, "no load report reached the session controller");
    assert!(count_checks(false) > 0, "no unanswered health check was reported as a failure");
}
