//! A sound trace passes; falsified in one way each, it breaks the rule that it should, and no other.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]

use beechloft_checker::check::{ClassRules, ColdRules, Repeat};
use beechloft_checker::trace::{Ending, Speaks};
use beechloft_checker::{Report, Rules, Seen, What, check};

const S: u64 = 1_000_000;

fn rules() -> Rules {
    Rules {
        titles: [("t".to_owned(), 0), ("paid".to_owned(), 1)].into(),
        classes: vec![
            ClassRules { floor_kb: 200.0, seats: Some(2), ..ClassRules::default() },
            ClassRules { repeat: Repeat::Once, ..ClassRules::default() },
        ],
        drain_grace_us: S,
        cold: Some(ColdRules { warm_us: 10 * S, from: 0.5, multiple: 2.0, span_us: 2 * S, streams: 10.0 }),
        budget: Some((1.0, 0.1, 10 * S)),
    }
}

fn at(at: u64, what: What) -> Seen {
    Seen { at, what }
}

fn asked(t: u64, offer: &str, title: &str) -> Seen {
    at(
        t,
        What::Asked {
            offer: offer.into(),
            front: 0,
            title: title.into(),
            patience_us: 4 * S,
            speaks: Speaks::Whep,
        },
    )
}

fn ended(t: u64, offer: &str, ending: Ending) -> Seen {
    at(t, What::Ended { offer: offer.into(), ending, extra: 0 })
}

fn offered(t: u64, server: u32, offer: &str, title: &str) -> Seen {
    at(t, What::Offered { server, offer: offer.into(), front: 0, title: title.into(), rate_kb: 450.0 })
}

fn answered(t: u64, server: u32, offer: &str, status: u16) -> Seen {
    at(t, What::Answered { server, offer: offer.into(), status })
}

fn began(t: u64, server: u32, offer: &str) -> Seen {
    at(t, What::Began { server, offer: offer.into() })
}

fn freed(t: u64, server: u32, offer: &str) -> Seen {
    at(t, What::Freed { server, offer: offer.into(), expired: false })
}

/// Turned away by box 1, then played at box 2 and ended.
fn sound() -> Vec<Seen> {
    vec![
        at(0, What::Started { server: 1, warm: true }),
        asked(100, "a", "t"),
        offered(200, 1, "a", "t"),
        answered(300, 1, "a", 503),
        offered(400, 2, "a", "t"),
        began(480, 2, "a"),
        answered(500, 2, "a", 201),
        ended(600, "a", Ending::Status(201)),
        at(5 * S, What::Left { offer: "a".into() }),
        freed(5 * S + 1, 2, "a"),
    ]
}

fn with(more: Vec<Seen>) -> Report {
    check(&[sound(), more].concat(), &rules())
}

/// The counts of breaks, in the report's order.
fn breaks(r: &Report) -> [u64; 9] {
    [
        r.unanswered,
        r.duplicate_answers,
        r.overlapping_attempts,
        r.drain_breaks,
        r.cold_breaks,
        r.floor_breaks,
        r.seat_breaks,
        r.budget_breaks,
        r.phantom_sessions,
    ]
}

fn only(n: usize, count: u64) -> [u64; 9] {
    let mut all = [0; 9];
    all[n] = count;
    all
}

#[test]
fn a_sound_trace_keeps_all_rules() {
    let r = with(vec![]);
    assert!(r.kept(), "{r:?}");
    assert_eq!((r.sessions, r.playing, r.further_attempts), (1, 1, 1));
    assert!(r.answer_ms.max > 0.0);
}

#[test]
fn missing_late_and_repeated_answers_are_found() {
    assert_eq!(breaks(&with(vec![asked(S, "b", "t")])), only(0, 1));
    let late = vec![asked(S, "b", "t"), ended(6 * S, "b", Ending::Status(503))];
    assert_eq!(breaks(&with(late)), only(0, 1));
    let broken = vec![asked(S, "b", "t"), ended(2 * S, "b", Ending::Broken)];
    assert_eq!(breaks(&with(broken.clone())), only(0, 1));
    let killed = [broken, vec![at(S + 5, What::FrontKilled { front: 0 })]].concat();
    assert_eq!((breaks(&with(killed.clone())), with(killed).lost_with_front), ([0; 9], 1));
    let twice = vec![
        asked(S, "b", "t"),
        at(2 * S, What::Ended { offer: "b".into(), ending: Ending::Status(503), extra: 1 }),
    ];
    assert_eq!(breaks(&with(twice)), only(1, 1));
    let up = |t| at(t, What::FrontUp { front: 0 });
    let while_down = vec![
        up(1),
        at(S, What::FrontKilled { front: 0 }),
        asked(2 * S, "b", "t"),
        ended(6 * S, "b", Ending::TimedOut),
    ];
    assert_eq!((breaks(&with(while_down.clone())), with(while_down.clone()).not_taken), ([0; 9], 1));
    let back_before = [while_down, vec![up(S + 5)]].concat();
    assert_eq!(breaks(&with(back_before)), only(0, 1));
    let not_taken = vec![asked(S, "b", "t"), ended(S, "b", Ending::NotTaken)];
    assert_eq!(breaks(&with(not_taken)), [0; 9]);
}

#[test]
fn overlapping_and_forbidden_repeats_are_found() {
    let lone = vec![asked(20 * S, "b", "t"), ended(21 * S, "b", Ending::Status(504))];
    let second_early = [
        lone.clone(),
        vec![
            offered(20 * S + 1, 1, "b", "t"),
            offered(20 * S + 50, 2, "b", "t"),
            at(20 * S + 60, What::Dropped { server: 1, offer: "b".into() }),
            answered(20 * S + 90, 2, "b", 500),
        ],
    ];
    assert_eq!(breaks(&with(second_early.concat())), only(2, 1));
    let after = |title: &str, status| {
        vec![
            asked(20 * S, "b", title),
            ended(21 * S, "b", Ending::Status(504)),
            offered(20 * S + 1, 1, "b", title),
            answered(20 * S + 40, 1, "b", status),
            offered(20 * S + 50, 2, "b", title),
            answered(20 * S + 90, 2, "b", 503),
        ]
    };
    assert_eq!(breaks(&with(after("t", 500))), [0; 9]);
    assert_eq!(breaks(&with(after("paid", 500))), only(2, 1), "it may have run");
    assert_eq!(breaks(&with(after("paid", 503))), [0; 9], "it never ran");
}

#[test]
fn set_ups_after_a_drain_are_found() {
    let told = at(20 * S, What::Listed { front: 0, server: 1, ready: false });
    let send = |t| {
        vec![
            told.clone(),
            asked(t, "b", "t"),
            offered(t, 1, "b", "t"),
            answered(t, 1, "b", 503),
            ended(t, "b", Ending::Status(503)),
        ]
    };
    assert_eq!(breaks(&with(send(20 * S + S / 2))), [0; 9], "within the grace");
    assert_eq!(breaks(&with(send(22 * S))), only(3, 1));
    let again = at(21 * S, What::Listed { front: 0, server: 1, ready: true });
    assert_eq!(breaks(&with([send(22 * S), vec![again]].concat())), [0; 9]);
}

#[test]
fn cold_boxes_pushed_over_are_found() {
    let cold = at(20 * S, What::Started { server: 7, warm: false });
    let rush = |n: u64, gap: u64| {
        let mut all = vec![cold.clone()];
        for i in 0..n {
            let (t, offer) = (20 * S + i * gap, format!("c{i}"));
            all.extend([
                asked(t, &offer, "x"),
                offered(t, 7, &offer, "x"),
                answered(t, 7, &offer, 503),
                ended(t, &offer, Ending::Status(503)),
            ]);
        }
        all
    };
    assert_eq!(breaks(&with(rush(8, 1000))), only(4, 1));
    assert_eq!(breaks(&with(rush(8, S))), [0; 9], "slowly enough");
    assert_eq!(breaks(&with(vec![at(30 * S, What::Toppled { server: 7 })])), only(4, 1));
}

#[test]
fn floors_and_seats_are_found() {
    let low = at(700, What::Rate { server: 2, offer: "a".into(), rate_kb: 100.0 });
    assert_eq!(breaks(&with(vec![low])), only(5, 1));
    let mut crowd = Vec::new();
    for n in 0..3 {
        let (t, offer) = (20 * S + n, format!("s{n}"));
        crowd.extend([
            asked(t, &offer, "t"),
            offered(t, 3, &offer, "t"),
            began(t, 3, &offer),
            answered(t, 3, &offer, 201),
        ]);
        crowd.extend([ended(t, &offer, Ending::Status(201)), freed(30 * S, 3, &offer)]);
    }
    assert_eq!(breaks(&with(crowd.clone())), only(6, 1));
    crowd.push(freed(20 * S + 1, 3, "s0"));
    assert_eq!(breaks(&with(crowd)), [0; 9], "one had ended before the third came");
}

#[test]
fn further_attempts_past_the_budget_are_found() {
    let mut all = Vec::new();
    for n in 0..2 {
        let (t, offer) = (20 * S + n * 1000, format!("r{n}"));
        all.extend([asked(t, &offer, "x"), ended(t + 900, &offer, Ending::Status(504))]);
        for k in 0..2 {
            all.extend([
                offered(t + 10 + k * 10, k as u32, &offer, "x"),
                answered(t + 15 + k * 10, k as u32, &offer, 500),
            ]);
        }
    }
    assert_eq!(breaks(&with(all)), only(7, 1), "one is free, and two sessions pay for a fifth of another");
}

#[test]
fn sessions_left_at_boxes_are_found() {
    assert_eq!(breaks(&with(vec![began(S, 2, "z")])), only(8, 1));
    let died = at(2 * S, What::Died { server: 2 });
    assert_eq!(breaks(&with(vec![began(S, 2, "z"), died])), [0; 9]);
}

#[test]
fn figures_are_told_apart_by_protocol() {
    let mut trace = vec![asked(0, "a", "t"), ended(2_000, "a", Ending::Status(503))];
    let sip = What::Asked {
        offer: "b".into(),
        front: 0,
        title: "t".into(),
        patience_us: 4 * S,
        speaks: Speaks::Sip,
    };
    trace.extend([at(10, sip), ended(8_010, "b", Ending::Status(504))]);
    let report = check(&trace, &Rules::default());
    let part = |s| report.by[&s];
    assert_eq!(
        (part(Speaks::Whep).sessions, part(Speaks::Whep).refused, part(Speaks::Whep).failed),
        (1, 1, 0)
    );
    assert_eq!((part(Speaks::Sip).sessions, part(Speaks::Sip).refused, part(Speaks::Sip).failed), (1, 0, 1));
    let near = |ms: f64, about: f64| (ms - about).abs() < 0.1;
    assert!(
        near(part(Speaks::Whep).answer_ms.max, 2.0) && near(part(Speaks::Sip).answer_ms.p50, 8.0),
        "{report:?}"
    );
    assert!(near(report.answer_ms.max, 8.0) && near(report.answer_ms.p50, 2.0), "{report:?}");
}

/// What a stand-in notes of three set-ups of one offer, the first of which its front has given up or not by then.
fn recorded(first_closed: bool, second_closed: bool) -> beechloft_checker::Report {
    use beechloft_checker::Recorder;
    let recorder = Recorder::default();
    let of =
        |server| What::Offered { server, offer: "b".into(), front: 0, title: "t".into(), rate_kb: 200.0 };
    recorder.note(asked(0, "b", "t").what);
    recorder.offered(of(1), || false);
    // The thread of the first comes to look long after.
    let given_up = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(first_closed));
    recorder.note(What::Dropped { server: 1, offer: "other".into() });
    recorder.note(What::Answered { server: 1, offer: "b".into(), status: 500 });
    let told = std::sync::Arc::clone(&given_up);
    recorder.offered(of(2), move || told.load(std::sync::atomic::Ordering::SeqCst));
    recorder.offered(of(3), move || second_closed);
    std::thread::sleep(std::time::Duration::from_millis(2));
    recorder.note(What::Dropped { server: 2, offer: "b".into() });
    recorder.note(What::Answered { server: 3, offer: "b".into(), status: 500 });
    recorder.note(ended(0, "b", Ending::Status(504)).what);
    check(&recorder.trace(), &rules())
}

#[test]
fn a_set_up_is_out_until_its_socket_tells_of_the_close_not_until_a_late_thread_looks() {
    // Given up before the next arrived, whatever the thread that noted it later did.
    assert_eq!(recorded(true, false).overlapping_attempts, 0);
    // Its socket was open still: two were out.
    assert_eq!(recorded(false, false).overlapping_attempts, 1);
    // The later one had been given up before anybody read it.
    assert_eq!(recorded(false, true).overlapping_attempts, 0);
}

fn acted(t: u64, token: u64, holder: &str, done: bool) -> Seen {
    at(t, What::Acted { token, holder: holder.into(), done })
}

/// Two grants, the first holder stopped and refused once when it goes on.
fn acts() -> Vec<Seen> {
    vec![
        acted(S, 1, "a", true),
        at(2 * S, What::Stopped { holder: "a".into() }),
        acted(4 * S, 2, "b", true),
        at(5 * S, What::WentOn { holder: "a".into() }),
        acted(5 * S + 1, 1, "a", false),
        acted(6 * S, 2, "b", true),
        at(7 * S, What::ActsEnd),
    ]
}

#[test]
fn acts_by_old_tokens_break_a_rule_unless_their_process_was_stopped_and_they_are_refused() {
    let sound = check(&acts(), &rules());
    assert!(sound.kept(), "{sound:?}");
    assert_eq!((sound.leases_granted, sound.refused_acts, sound.longest_without_holder_ms), (2, 1, 3_000));
    // It was done where a higher token had been seen.
    let mut done = acts();
    done[4] = acted(5 * S + 1, 1, "a", true);
    let report = check(&done, &rules());
    assert_eq!((report.lease_overlaps, report.stale_acts), (0, 1));
    // Whoever was not stopped, or went on long ago.
    for (t, holder) in [(5 * S + 1, "c"), (8 * S, "a")] {
        let mut late = acts();
        late[4] = acted(t, 1, holder, false);
        let report = check(&late, &rules());
        assert_eq!((report.lease_overlaps, report.stale_acts), (1, 0), "{holder}");
        assert!(!report.kept());
    }
    // Nobody acts for the rest of the day.
    let mut short = acts();
    short.remove(5);
    assert_eq!(check(&short, &rules()).longest_without_holder_ms, 3_000);
    short[5] = at(9 * S, What::ActsEnd);
    assert_eq!(check(&short, &rules()).longest_without_holder_ms, 5_000);
}
