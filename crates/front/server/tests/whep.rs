//! WHEP and WHIP over HTTP on the whole path: player, front, box and back.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::shadow_unrelated)]

mod support;

use std::time::{Duration, Instant};

use beechloft_fakes::fault::Fault;
use beechloft_fakes::offer::{self, Credentials};
use beechloft_fakes::player::{self, Wish};
use beechloft_http::{Method, Request, Response, header};
use support::*;

fn call(rig: &Rig, request: &Request) -> Response {
    rig.pool.call(rig.address, request, Instant::now() + Duration::from_secs(5)).expect("a response")
}

fn status(rig: &Rig, request: &Request) -> u16 {
    call(rig, request).status.as_u16()
}

#[test]
fn a_session_plays_trickles_restarts_and_ends() {
    let mut rig = Rig::new(2);
    let asked = rig.ask("all");
    let response = asked.response.expect("an answer");
    assert_eq!(response.status, 201);
    assert_eq!(response.field(header::CONTENT_TYPE), Some("application/sdp"));
    assert_eq!(response.field(header::ACCESS_CONTROL_ALLOW_ORIGIN), Some("*"));
    assert!(response.field(header::LINK).is_some_and(|l| l.contains("ice-server")), "{response:?}");
    assert!(!format!("{response:?}").contains("core:layer"), "the boxes' extensions end at the front");
    let playing = asked.playing.expect("a session");
    assert!(watch(&playing, Duration::from_millis(400)).iter().all(|share| *share == 1.0));

    let patch = |version: &str| playing.trickle(&rig.pool, version).expect("a response");
    assert_eq!(patch(&playing.etag).status, 204);
    assert_eq!(patch("\"99\"").status, 412);
    let restart = patch("*");
    assert_eq!((restart.status.as_u16(), restart.field(header::ETAG)), (200, Some("\"2\"")));
    assert_eq!(patch("\"1\"").status, 412, "the version before the restart");

    assert_eq!(playing.end(&rig.pool, &rig.recorder).expect("a response").status, 200);
    assert_eq!(playing.end(&rig.pool, &rig.recorder).expect("a response").status, 404);
    assert_eq!(patch("*").status, 404);
    rig.settle(0);
    rig.finish();
}

#[test]
fn a_player_hears_of_its_rungs_and_of_the_end() {
    let mut rig = Rig::new(1);
    let playing = rig.play("one");
    let post = |body: &str| {
        Request::new(Method::POST, format!("{}/events", playing.path)).body("application/json", body)
    };
    assert_eq!(status(&rig, &post("[]")), 422);
    let given = call(&rig, &post("[\"inactive\",\"layers\"]"));
    let stream = given.field(header::LOCATION).expect("a stream").to_owned();
    assert_eq!(status(&rig, &Request::new(Method::GET, stream.replace("layers", "other"))), 404);
    let request = Request::new(Method::GET, stream);
    let soon = Instant::now() + Duration::from_secs(5);
    let exchange = rig.pool.get(rig.address, soon).expect("a connection").send(&request, soon).expect("sent");
    let (head, mut stream) = exchange.into_stream(soon).expect("a stream");
    assert_eq!((head.status.as_u16(), head.field(header::CONTENT_TYPE)), (200, Some("text/event-stream")));
    // Another program takes the link: the box notes short delivery, and the module steps the session down.
    rig.fleet.fault(1, Fault::TakeLink { share: 0.97 });
    let mut text = String::new();
    until("its rung changes", || {
        watch(&playing, Duration::from_millis(1));
        let part = stream.read(Instant::now() + Duration::from_millis(100)).expect("the stream goes on");
        text.push_str(&String::from_utf8_lossy(&part));
        text.contains("event: layers")
    });
    let rate_set = |s: &beechloft_checker::Seen| matches!(s.what, beechloft_checker::What::Rate { rate_kb, .. } if rate_kb < 1000.0);
    until("the box was told", || rig.recorder.trace().iter().any(rate_set));
    playing.end(&rig.pool, &rig.recorder).expect("a response");
    while let Ok(part) = stream.read(Instant::now() + Duration::from_secs(5)) {
        text.push_str(&String::from_utf8_lossy(&part));
    }
    assert!(text.contains("event: inactive"), "{text}");
    assert_eq!(status(&rig, &post("[\"layers\"]")), 404, "the session is over");
    rig.settle(0);
    rig.finish();
}

#[test]
fn publishing_takes_the_same_path() {
    let mut rig = Rig::new(1);
    let wish = Wish { publishes: true, ..rig.wish("all") };
    let asked = player::ask(&wish, &mut rig.dice, &rig.recorder);
    let playing = asked.playing.expect("a session");
    assert!(String::from_utf8_lossy(&asked.response.expect("an answer").body).contains("a=recvonly"));
    playing.end(&rig.pool, &rig.recorder).expect("a response");
    rig.settle(0);
    rig.finish();
}

#[test]
fn what_is_no_offer_never_reaches_a_box() {
    let mut rig = Rig::new(1);
    let sound = offer::offer(&Credentials::draw(&mut rig.dice), false, None);
    let post = |kind: &'static str, body: &str| Request::new(Method::POST, "/whep/all").body(kind, body);
    let sdp = "application/sdp";
    assert_eq!(status(&rig, &post("text/plain", &sound)), 415);
    assert_eq!(status(&rig, &post(sdp, "")), 400);
    assert_eq!(status(&rig, &post(sdp, "nonsense")), 400);
    assert_eq!(status(&rig, &post(sdp, &sound.replace("recvonly", "sendonly"))), 422);
    assert_eq!(status(&rig, &post(sdp, &sound.replace("m=video", "m=audio"))), 422);
    assert_eq!(status(&rig, &post(sdp, &sound).with(header::ACCEPT, "text/html")), 406);
    assert_eq!(
        status(&rig, &Request::new(Method::POST, "/whep/no-such-title").body(sdp, sound.clone())),
        404
    );
    assert_eq!(status(&rig, &Request::new(Method::GET, "/whep/all")), 405);
    assert_eq!(status(&rig, &Request::new(Method::DELETE, "/session/0123")), 404);
    assert_eq!(status(&rig, &Request::new(Method::GET, format!("/session/{}", "0".repeat(32)))), 405);
    assert_eq!(status(&rig, &post(sdp, &"a".repeat(70_000))), 413);
    let options = call(&rig, &Request::new(Method::OPTIONS, "/whep/all"));
    assert_eq!((options.status.as_u16(), options.field("accept-post")), (204, Some(sdp)));
    let frag = Request::new(Method::PATCH, format!("/session/{}", "0".repeat(32)));
    let frag =
        frag.body("application/trickle-ice-sdpfrag", offer::fragment(&Credentials::draw(&mut rig.dice)));
    assert_eq!(status(&rig, &frag), 428);
    assert_eq!(status(&rig, &frag.with(header::IF_MATCH, "*")), 404);
    let seen = rig.recorder.trace();
    assert!(!seen.iter().any(|s| matches!(s.what, beechloft_checker::What::Offered { .. })), "{seen:?}");
}

#[test]
fn titles_without_holders_and_full_boxes_are_refused_with_a_time_to_come_back() {
    let mut spec = fleet_spec(1);
    spec.boxes[0].streams = 3;
    let mut rig = Rig::with(spec, "");
    let refused = rig.ask("none").response.expect("an answer");
    assert_eq!((refused.status.as_u16(), refused.field(header::RETRY_AFTER)), (503, Some("1")));
    for _ in 0..3 {
        rig.play("one");
    }
    assert_eq!(rig.status("one"), 503);
    rig.settle(3);
    rig.settle(0); // nobody keeps them alive
    rig.finish();
}

#[test]
fn a_cap_in_the_offer_holds_the_rate_down() {
    let mut rig = Rig::new(1);
    let wish = Wish { max_rate_kb: Some(500.0), ..rig.wish("all") };
    player::ask(&wish, &mut rig.dice, &rig.recorder).playing.expect("a session");
    let offered = rig.recorder.trace().into_iter().find_map(|s| match s.what {
        beechloft_checker::What::Offered { rate_kb, .. } => Some(rate_kb),
        _ => None,
    });
    assert!(offered.is_some_and(|kb| (200.0..=450.1).contains(&kb)), "{offered:?}");
}

#[test]
fn the_same_offer_posted_again_gets_the_same_session() {
    let mut rig = Rig::new(2);
    let credentials = Credentials::draw(&mut rig.dice);
    let wish = rig.wish("all");
    let first = player::ask_with(&wish, &credentials, &rig.recorder).playing.expect("a session");
    let again = player::ask_with(&wish, &credentials, &rig.recorder).playing.expect("the same session");
    assert_eq!((first.path.as_str(), first.name.as_str()), (again.path.as_str(), again.name.as_str()));
    rig.settle(1);
    first.end(&rig.pool, &rig.recorder).expect("a response");
    rig.settle(0);

    // While the first is still being set up, the second is told to wait.
    rig.fleet.boxes().for_each(|(_, b)| b.fault(Fault::Late { ms: 300 }));
    let credentials = Credentials::draw(&mut rig.dice);
    let (wish, recorder, of_thread) = (rig.wish("all"), rig.recorder.clone(), credentials.clone());
    let early = std::thread::spawn(move || player::ask_with(&wish, &of_thread, &recorder));
    std::thread::sleep(Duration::from_millis(100));
    let busy = player::ask_with(&rig.wish("all"), &credentials, &rig.recorder);
    assert_eq!(busy.response.expect("an answer").status, 409);
    assert!(early.join().expect("a player").playing.is_some());
    rig.settle(0);
    rig.finish();
}

#[test]
fn a_box_that_finds_fault_with_a_token_is_not_blamed_for_it() {
    let mut rig = Rig::new(2);
    rig.fleet.boxes().for_each(|(_, b)| b.fault(Fault::Decline { status: 401 }));
    for _ in 0..6 {
        let wish = Wish { token: Some("Bearer nonsense".into()), ..rig.wish("all") };
        let asked = player::ask(&wish, &mut rig.dice, &rig.recorder);
        assert_eq!(asked.response.expect("an answer").status, 401);
    }
    rig.fleet.boxes().for_each(|(_, b)| b.clear());
    assert_eq!(rig.status("all"), 201);
    let report = rig.report();
    assert_eq!((report.further_attempts, report.declined), (0, 6));
}

#[test]
fn a_front_that_stops_answers_what_it_took_and_leaves_what_plays_alone() {
    let mut rig = Rig::new(1);
    let playing = rig.play("all");
    rig.fleet.get(1).expect("box 1").fault(Fault::Late { ms: 300 });
    let (wish, recorder) = (rig.wish("all"), rig.recorder.clone());
    let early =
        std::thread::spawn(move || player::ask(&wish, &mut beechloft_fakes::dice::Dice::new(9), &recorder));
    std::thread::sleep(Duration::from_millis(100));
    rig.front.take().expect("the front runs").stop(Duration::from_secs(4));
    assert!(early.join().expect("a player").playing.is_some());
    assert!(!watch(&playing, Duration::from_millis(300)).is_empty(), "its media goes on");
    assert_eq!(rig.ask("all").ending, beechloft_checker::trace::Ending::NotTaken);
    rig.settle(0);
    rig.finish();
}

#[test]
fn past_the_bound_of_connections_the_answer_comes_at_once() {
    let mut rig = Rig::with(fleet_spec(1), "sockets:\n  connections: 2\n  head_ms: 300\n");
    let hold: Vec<_> =
        (0..2).map(|_| std::net::TcpStream::connect(rig.address).expect("a connection")).collect();
    std::thread::sleep(Duration::from_millis(100));
    let refused = rig.ask("all").response.expect("an answer");
    assert_eq!((refused.status.as_u16(), refused.field(header::RETRY_AFTER)), (503, Some("1")));
    let answer = player::slow_sender(rig.address, b"POST /whep/all HTTP/1.1\r\nho", Duration::from_secs(3));
    assert!(String::from_utf8_lossy(&answer).contains(" 503 "));
    drop(hold);
    until("a place is free again", || rig.status("all") == 201);
    let answer = player::slow_sender(rig.address, b"POST /whep/all HTTP/1.1\r\nho", Duration::from_secs(3));
    assert!(String::from_utf8_lossy(&answer).contains(" 408 "));
}

#[test]
fn boxes_that_report_with_probes_alone_are_probed_and_one_that_stands_still_is_found_out() {
    let recorder = beechloft_checker::Recorder::default();
    let fleet = beechloft_fakes::fleet::Fleet::start(&fleet_spec(2), &recorder).expect("a fleet");
    let mut settings = settings(&format!("url: {}", fleet.list.url()), "boxes: {call_ms: 300}\n");
    settings.settings.load_reporting = beechloft_session::api::LoadReporting::InHealthChecks;
    settings.settings.capabilities.health_checks = true;
    let front = beechloft_server::Front::start_recorded(settings).expect("a front");
    until("the list is known", || front.status().media_servers == 2);
    let mut dice = beechloft_fakes::dice::Dice::new(4);
    let wish = Wish::new(front.address(), 0, "all");
    let probes = || fleet.boxes().map(|(_, b)| b.probes()).sum::<u64>();
    until("a box is probed", || {
        player::ask(&wish, &mut dice, &recorder);
        std::thread::sleep(Duration::from_millis(100));
        probes() > 0
    });
    fleet.boxes().for_each(|(_, b)| b.fault(Fault::StandStill));
    // Each session taken pays for a probe; those that wait on a box that stands still end in time.
    std::thread::sleep(Duration::from_millis(3500));
    let recording = front.stop(Duration::from_secs(1));
    let told = |ok: bool| {
        let is = |i: &beechloft_session::io::Input| match i {
            beechloft_session::io::Input::HealthChecked { outcome, load, .. } => {
                (*outcome == beechloft_session::api::Outcome::Ok && load.link_utilization.is_some()) == ok
            }
            _ => false,
        };
        recording.inputs.iter().filter(|(_, i)| is(i)).count()
    };
    assert!(told(true) > 0, "what it reported reached the core");
    assert!(told(false) > 0, "a probe without an answer is told as a failure");
}
