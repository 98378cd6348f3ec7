//! A front node on loopback sockets between small fakes; the rules are read off what crossed the sockets.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::shadow_unrelated)]

mod support;

use std::io::Write;
use std::net::Shutdown;
use std::time::{Duration, Instant};

use beechloft_protocol::CallId;
use beechloft_protocol::binary::Frame;
use serde_json::json;
use support::{FakeBus, Front, Media, Mood, Viewer, cause, event, set_up, text, wait, write_config};

/// No set-up reaches two media servers but after the first was given up there or had ended it.
fn offers(front: &Front) -> usize {
    front.media.iter().map(|m| m.heard("offer").len()).sum()
}

#[test]
fn a_session_is_set_up_shaped_and_ended() {
    let front = Front::start(&[Mood::Accept]);
    let mut viewer = Viewer::connect(front.addr);
    viewer.say(&Frame::new(52, CallId(1)).with(29, [0]));
    let tested = viewer.hear().expect("an answer");
    assert_eq!((tested.kind, cause(&tested)), (53, 1));
    viewer.ask(7, 3_000);
    let answer = viewer.hear().expect("an answer");
    assert_eq!((answer.kind, answer.id), (9, CallId(7)));
    assert_eq!(text(&answer), "answer-0000000000000007\r\nc=IN IP4 10.1.2.3\r\n");
    let offer = &front.media[0].heard("offer")[0];
    assert_eq!(offer["desc"], "offer-0000000000000007\r\nc=IN IP4 10.9.9.9\r\n");
    assert_eq!(
        (&offer["with"]["class"], &offer["with"]["key"]),
        (&json!("stall-video"), &json!("00000000000000aa"))
    );
    front.media[0].say(
        &json!({"op": "end", "call": "0000000000000007", "with": {"load": "utilization:0.4"}, "why": 16}),
    );
    let end = viewer.hear().expect("a release");
    assert_eq!((end.kind, end.id, cause(&end)), (12, CallId(7), 16));
    front.stop();
}

#[test]
fn spoilt_answers_cost_their_attempt_alone() {
    for mood in [Mood::Noise, Mood::Endless, Mood::Reset, Mood::Short, Mood::Huge, Mood::Full, Mood::Error] {
        let front = Front::start(&[mood, Mood::Accept, Mood::Accept]);
        let mut viewer = Viewer::connect(front.addr);
        // Enough of them that the bad server is asked.
        for id in 1..=40 {
            viewer.ask(id, 3_000);
            let answer = viewer.hear().expect("an answer");
            assert_eq!((answer.kind, answer.id), (9, CallId(id)), "{mood:?}");
        }
        assert!(!front.media[0].heard("offer").is_empty(), "{mood:?} was never asked");
        front.stop();
    }
}

#[test]
fn copies_and_unknown_ids_cost_nothing() {
    let front = Front::start(&[Mood::More]);
    let mut viewer = Viewer::connect(front.addr);
    // As many as the module lets out to one server at once.
    for id in 1..=4 {
        viewer.ask(id, 3_000);
    }
    let answers = viewer.answers(4);
    assert!(answers.values().all(|a| a.0 == 9), "{answers:?}");
    assert_eq!(offers(&front), 4);
    viewer.say(&Frame::new(52, CallId(1)).with(29, [0]));
    assert_eq!(viewer.hear().expect("an answer").kind, 53, "nothing came a second time");
    front.stop();
}

#[test]
fn a_silent_server_is_given_up_before_another_is_asked() {
    let front = Front::start(&[Mood::Silent, Mood::Accept]);
    let mut viewer = Viewer::connect(front.addr);
    let mut id = 0;
    while front.media[0].heard("offer").is_empty() {
        id += 1;
        assert!(id < 100, "never asked");
        viewer.ask(id, 3_000);
        assert_eq!(viewer.hear().expect("an answer").kind, 9);
    }
    wait("it is given up", || !front.media[0].heard("end").is_empty());
    let end = &front.media[0].heard("end")[0];
    assert_eq!((&end["call"], &end["why"]), (&json!(CallId(id).to_string()), &json!(16)));
    front.stop();
}

#[test]
fn a_viewer_that_gives_up_or_vanishes_is_given_up_at_the_server() {
    let front = Front::start(&[Mood::Silent]);
    let mut viewer = Viewer::connect(front.addr);
    viewer.ask(1, 3_000);
    wait("the set-up arrives", || front.media[0].heard("offer").len() == 1);
    viewer.say(&Frame::new(12, CallId(1)).with(29, [16]));
    wait("it is given up", || front.media[0].heard("end").len() == 1);
    assert_eq!(viewer.hear().expect("heard").kind, 16);
    front.stop();
}

#[test]
fn rubbish_is_answered_or_closed_at_once_and_disturbs_nobody() {
    let front = Front::start(&[Mood::Accept]);
    let started = Instant::now();
    let rubbish: [&[u8]; 5] = [
        &[0, 0],
        &[0xff, 0xff, 1],
        &[0, 9, 77, 0, 0, 0, 0, 0, 0, 0, 1],
        &[0, 12, 1, 0, 0, 0, 0, 0, 0, 0, 1, 1, 0, 9],
        b"GET / HTTP/1.1\r\n\r\n",
    ];
    for bytes in rubbish {
        let mut viewer = Viewer::connect(front.addr);
        viewer.stream.write_all(bytes).expect("written");
        assert!(viewer.ends(), "{bytes:?}");
    }
    // Half a message, or nothing at all.
    let mut half = Viewer::connect(front.addr);
    half.stream.write_all(&[0, 40, 1, 0]).expect("written");
    let mut silent = Viewer::connect(front.addr);
    assert!(half.ends() && silent.ends());
    // Half a message behind a whole one is no better: it is closed as soon, not as late as an idle connection.
    let mut behind = Viewer::connect(front.addr);
    let test = Frame::new(52, CallId(1)).with(29, [0]).encode().expect("short");
    behind.stream.write_all(&[&test[..], &[0, 40, 1, 0]].concat()).expect("written");
    let asked = Instant::now();
    assert!(behind.ends());
    assert!(asked.elapsed() < Duration::from_secs(4), "{:?}", asked.elapsed());
    // 60 MB at full speed are not waited for.
    let mut endless = Viewer::connect(front.addr);
    let chunk = vec![0xee; 1 << 20];
    let cut = (0..60).any(|_| endless.stream.write_all(&chunk).is_err());
    assert!(cut || endless.ends());
    let wrong: [(u8, &[u8]); 6] = [
        (1, b"nobody"),
        (3, b"-1"),
        (3, b"NaN"),
        (9, b"zz"),
        (11, b"home:nan;copies:4;top:1;viewer:0000000000000001"),
        (31, &[0xff]),
    ];
    let mut viewer = Viewer::connect(front.addr);
    for (n, (code, value)) in wrong.into_iter().enumerate() {
        let mut frame = set_up(100 + n as u64, 3_000);
        frame.parameters.iter_mut().filter(|p| p.code == code).for_each(|p| p.value = value.to_vec());
        viewer.say(&frame);
        let answer = viewer.hear().expect("an answer");
        assert_eq!((answer.kind, answer.id, cause(&answer)), (12, CallId(100 + n as u64), 100), "{code}");
    }
    assert!(started.elapsed() < Duration::from_secs(12));
    viewer.ask(1, 3_000);
    assert_eq!(viewer.hear().expect("an answer").kind, 9);
    assert_eq!(offers(&front), 1);
    front.stop();
}

#[test]
fn a_flood_and_silent_connections_leave_usual_viewers_served() {
    let front = Front::sized(&[Mood::Accept, Mood::Accept], 256);
    let silent: Vec<Viewer> = (0..400).map(|_| Viewer::connect(front.addr)).collect();
    let mut flood = Viewer::connect(front.addr);
    for id in 1_000..1_400 {
        flood.ask(id, 3_000);
    }
    let mut viewer = Viewer::connect(front.addr);
    // While all places of the servers are taken it may be refused, but each is answered, and soon one stands.
    let mut id = 0;
    wait("one stands", || {
        id += 1;
        viewer.ask(id, 3_000);
        let answer = viewer.hear().expect("an answer");
        assert_eq!(answer.id, CallId(id));
        answer.kind == 9
    });
    assert_eq!(flood.answers(400).len(), 400);
    for mut one in silent {
        assert!(one.ends());
    }
    front.stop();
}

/// Found in review: set-ups taken back left their connection counted as busy, so that it was never closed; and one
/// on which set-ups are open must not make room for others.
#[test]
fn room_is_made_by_idle_connections_and_never_by_open_setups() {
    let front = Front::sized(&[Mood::Silent], 96);
    let mut taken_back: Vec<Viewer> = (0..30).map(|_| Viewer::connect(front.addr)).collect();
    for (viewer, id) in taken_back.iter_mut().zip(100..) {
        viewer.ask(id, 3_000);
        viewer.say(&Frame::new(12, CallId(id)).with(29, [16]));
        while viewer.hear().expect("heard").kind != 16 {}
    }
    // A session that stands keeps its connection, however quiet, while bad clients' ones can go.
    front.media[0].mood(Mood::Accept);
    let mut quiet = Viewer::connect(front.addr);
    quiet.ask(2, 3_000);
    assert_eq!(quiet.hear().expect("an answer").kind, 9);
    front.media[0].mood(Mood::Silent);
    let mut waiting = Viewer::connect(front.addr);
    waiting.ask(1, 1_000);
    // More than fit: what is idle goes, what waits for an answer gets it.
    let good = || {
        let mut viewer = Viewer::connect(front.addr);
        viewer.say(&Frame::new(52, CallId(1)).with(29, [0]));
        assert_eq!(viewer.hear().expect("an answer").kind, 53);
        viewer
    };
    let more: Vec<Viewer> = (0..60).map(|_| good()).collect();
    assert_eq!(waiting.answers(1).len(), 1);
    assert!(taken_back.iter_mut().all(Viewer::ends));
    front.media[0].say(&json!({"op": "end", "call": "0000000000000002", "with": {}, "why": 16}));
    let end = quiet.hear().expect("a release");
    assert_eq!((end.kind, end.id), (12, CallId(2)));
    drop(more);
    front.stop();
}

#[test]
fn hundreds_taken_back_at_once_leave_nothing_open() {
    let front = Front::start(&[Mood::Silent]);
    let mut viewer = Viewer::connect(front.addr);
    for id in 1..=300 {
        viewer.ask(id, 3_000);
        viewer.say(&Frame::new(12, CallId(id)).with(29, [16]));
    }
    viewer.stream.shutdown(Shutdown::Write).expect("half closed");
    assert!(viewer.ends());
    front.media[0].mood(Mood::Accept);
    let mut viewer = Viewer::connect(front.addr);
    viewer.ask(1_000, 3_000);
    assert_eq!(viewer.hear().expect("an answer").id, CallId(1_000));
    for offer in front.media[0].heard("offer") {
        if offer["call"] != "00000000000003e8" {
            wait("it is given up", || front.media[0].heard("end").iter().any(|e| e["call"] == offer["call"]));
        }
    }
    front.stop();
}

#[test]
fn the_end_of_a_process_ends_its_sessions_towards_their_viewers() {
    let front = Front::start(&[Mood::Accept, Mood::Accept]);
    let mut viewer = Viewer::connect(front.addr);
    for id in 1..=10 {
        viewer.ask(id, 3_000);
    }
    viewer.answers(10);
    let there: Vec<String> =
        front.media[0].heard("offer").iter().map(|o| o["call"].as_str().expect("an id").to_owned()).collect();
    assert!(!there.is_empty() && there.len() < 10);
    front.media[0].die();
    let released: Vec<String> = (0..there.len())
        .map(|_| {
            let frame = viewer.hear().expect("a release");
            assert_eq!((frame.kind, cause(&frame)), (12, 41));
            frame.id.to_string()
        })
        .collect();
    assert!(there.iter().all(|id| released.contains(id)), "{there:?} {released:?}");
    front.stop();
}

#[test]
fn a_broken_connection_alone_ends_no_session() {
    let front = Front::start(&[Mood::Accept]);
    let mut viewer = Viewer::connect(front.addr);
    viewer.ask(1, 3_000);
    assert_eq!(viewer.hear().expect("an answer").kind, 9);
    // What can't be read costs the connection; the front node comes again, as a session stands there.
    front.media[0].say(&json!("noise"));
    wait("it connects again", || front.media[0].opened() == 2);
    front.media[0].say(&json!({"op": "end", "call": "0000000000000001", "with": {}, "why": 16}));
    let end = viewer.hear().expect("a release");
    assert_eq!((end.kind, cause(&end)), (12, 16));
    front.stop();
}

#[test]
fn events_cut_off_or_told_twice_count_once_and_in_order() {
    let mut front = Front::start(&[Mood::Error]);
    let late = Media::start(9, Mood::Accept);
    let new = late.endpoint(1, "Ready");
    let text = event(2, false, &[front.media[0].endpoint(0, "Terminating"), new]);
    // Cut off in the middle: nothing of it counts, and it is asked for again.
    front.bus.raw(&text.as_bytes()[..text.len() / 2]);
    front.bus.cut();
    wait("it is asked again", || front.bus.asked().len() == 2);
    assert_eq!(front.bus.asked(), ["1", "1"]);
    front.bus.raw(text.as_bytes());
    front.bus.raw(text.as_bytes());
    front.media.push(late);
    let mut viewer = Viewer::connect(front.addr);
    let mut id = 0;
    wait("the new one is asked", || {
        id += 1;
        viewer.ask(id, 3_000);
        viewer.hear().expect("an answer").kind == 9
    });
    front.bus.cut();
    wait("it is asked again", || front.bus.asked().len() == 3);
    assert_eq!(front.bus.asked()[2], "2");
    front.stop();
}

#[test]
fn another_configuration_moves_to_its_bus_and_leaves_sessions_alone() {
    let front = Front::start(&[Mood::Accept]);
    let mut viewer = Viewer::connect(front.addr);
    viewer.ask(1, 3_000);
    assert_eq!(viewer.hear().expect("an answer").kind, 9);
    front.bus.tell(5, false, &[]);
    let other = FakeBus::start();
    // Half written at first.
    std::fs::write(&front.config, b"{\"name\":").expect("written");
    front.control.reload();
    std::thread::sleep(Duration::from_millis(150));
    write_config(&front.config, other.addr, 256, &[]);
    wait("the other bus is asked", || !other.asked().is_empty());
    assert_eq!(other.asked()[0], "5");
    front.media[0].say(&json!({"op": "end", "call": "0000000000000001", "with": {}, "why": 16}));
    assert_eq!(viewer.hear().expect("a release").id, CallId(1));
    front.stop();
}

#[test]
fn after_sigterm_all_that_was_taken_is_answered_and_more_is_served_for_a_while() {
    let front = Front::start(&[Mood::Silent, Mood::Silent]);
    let mut viewer = Viewer::connect(front.addr);
    for id in 1..=20 {
        viewer.ask(id, 3_000);
    }
    viewer.say(&Frame::new(52, CallId(1)).with(29, [0]));
    while viewer.hear().expect("an answer").kind != 53 {}
    front.control.terminate();
    let mut late = Viewer::connect(front.addr);
    late.say(&Frame::new(52, CallId(1)).with(29, [0]));
    late.ask(100, 1_000);
    let tested = late.hear().expect("an answer");
    assert_eq!((tested.kind, cause(&tested)), (53, 0));
    assert_eq!(late.answers(1).len(), 1);
    wait("it ends", || front.ended());
    front.stop();
}
