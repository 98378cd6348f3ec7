//! Checks that a valid trace passes, and that each change to it violates the rule it should and no other.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]

use beechloft_checker::check::{ClassRules, ColdRules, Repeat};
use beechloft_checker::trace::{Ending, Speaks};
use beechloft_checker::{Report, Rules, Seen, What, check};

const SECOND_US: u64 = 1_000_000;

fn rules() -> Rules {
    Rules {
        titles: [("t".to_owned(), 0), ("paid".to_owned(), 1)].into(),
        classes: vec![
            ClassRules { floor_kb: 200.0, seats: Some(2), ..ClassRules::default() },
            ClassRules { repeat: Repeat::Once, ..ClassRules::default() },
        ],
        drain_grace_us: SECOND_US,
        cold: Some(ColdRules {
            warm_us: 10 * SECOND_US,
            from: 0.5,
            multiple: 2.0,
            span_us: 2 * SECOND_US,
            streams: 10.0,
        }),
        budget: Some((1.0, 0.1, 10 * SECOND_US)),
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
            patience_us: 4 * SECOND_US,
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

/// Returns a trace of one session that media server 1 refuses and media server 2 accepts, and that the player ends.
fn valid_trace() -> Vec<Seen> {
    vec![
        at(0, What::Started { server: 1, warm: true }),
        asked(100, "a", "t"),
        offered(200, 1, "a", "t"),
        answered(300, 1, "a", 503),
        offered(400, 2, "a", "t"),
        began(480, 2, "a"),
        answered(500, 2, "a", 201),
        ended(600, "a", Ending::Status(201)),
        at(5 * SECOND_US, What::Left { offer: "a".into() }),
        freed(5 * SECOND_US + 1, 2, "a"),
    ]
}

fn check_with(more: Vec<Seen>) -> Report {
    check(&[valid_trace(), more].concat(), &rules())
}

/// Returns the number of violations of each rule, in the order of the report.
fn violations(report: &Report) -> [u64; 9] {
    [
        report.unanswered,
        report.duplicate_answers,
        report.overlapping_attempts,
        report.drain_breaks,
        report.cold_breaks,
        report.floor_breaks,
        report.seat_breaks,
        report.budget_breaks,
        report.phantom_sessions,
    ]
}

/// Returns the expected violations of a trace that violates one rule only.
fn only_rule(rule: usize, count: u64) -> [u64; 9] {
    let mut counts = [0; 9];
    counts[rule] = count;
    counts
}

#[test]
fn accepts_valid_trace() {
    let report = check_with(vec![]);
    assert!(report.kept(), "{report:?}");
    assert_eq!((report.sessions, report.playing, report.further_attempts), (1, 1, 1));
    assert!(report.answer_ms.max > 0.0);
}

#[test]
fn reports_missing_late_and_repeated_answers() {
    assert_eq!(violations(&check_with(vec![asked(SECOND_US, "b", "t")])), only_rule(0, 1));
    let late = vec![asked(SECOND_US, "b", "t"), ended(6 * SECOND_US, "b", Ending::Status(503))];
    assert_eq!(violations(&check_with(late)), only_rule(0, 1));
    let broken = vec![asked(SECOND_US, "b", "t"), ended(2 * SECOND_US, "b", Ending::Broken)];
    assert_eq!(violations(&check_with(broken.clone())), only_rule(0, 1));
    let killed = [broken, vec![at(SECOND_US + 5, What::FrontKilled { front: 0 })]].concat();
    assert_eq!((violations(&check_with(killed.clone())), check_with(killed).lost_with_front), ([0; 9], 1));
    let twice = vec![
        asked(SECOND_US, "b", "t"),
        at(2 * SECOND_US, What::Ended { offer: "b".into(), ending: Ending::Status(503), extra: 1 }),
    ];
    assert_eq!(violations(&check_with(twice)), only_rule(1, 1));
    let up = |t| at(t, What::FrontUp { front: 0 });
    let while_down = vec![
        up(1),
        at(SECOND_US, What::FrontKilled { front: 0 }),
        asked(2 * SECOND_US, "b", "t"),
        ended(6 * SECOND_US, "b", Ending::TimedOut),
    ];
    assert_eq!(
        (violations(&check_with(while_down.clone())), check_with(while_down.clone()).not_taken),
        ([0; 9], 1)
    );
    let back_before = [while_down, vec![up(SECOND_US + 5)]].concat();
    assert_eq!(violations(&check_with(back_before)), only_rule(0, 1));
    let not_taken = vec![asked(SECOND_US, "b", "t"), ended(SECOND_US, "b", Ending::NotTaken)];
    assert_eq!(violations(&check_with(not_taken)), [0; 9]);
}

#[test]
fn reports_overlapping_and_forbidden_repeats() {
    let lone = vec![asked(20 * SECOND_US, "b", "t"), ended(21 * SECOND_US, "b", Ending::Status(504))];
    let second_early = [
        lone.clone(),
        vec![
            offered(20 * SECOND_US + 1, 1, "b", "t"),
            offered(20 * SECOND_US + 50, 2, "b", "t"),
            at(20 * SECOND_US + 60, What::Dropped { server: 1, offer: "b".into() }),
            answered(20 * SECOND_US + 90, 2, "b", 500),
        ],
    ];
    assert_eq!(violations(&check_with(second_early.concat())), only_rule(2, 1));
    let after = |title: &str, status| {
        vec![
            asked(20 * SECOND_US, "b", title),
            ended(21 * SECOND_US, "b", Ending::Status(504)),
            offered(20 * SECOND_US + 1, 1, "b", title),
            answered(20 * SECOND_US + 40, 1, "b", status),
            offered(20 * SECOND_US + 50, 2, "b", title),
            answered(20 * SECOND_US + 90, 2, "b", 503),
        ]
    };
    assert_eq!(violations(&check_with(after("t", 500))), [0; 9]);
    assert_eq!(violations(&check_with(after("paid", 500))), only_rule(2, 1), "the set-up may have run");
    assert_eq!(violations(&check_with(after("paid", 503))), [0; 9], "the set-up never ran");
}

#[test]
fn reports_set_ups_after_drain() {
    let draining = at(20 * SECOND_US, What::Listed { front: 0, server: 1, ready: false });
    let send = |t| {
        vec![
            draining.clone(),
            asked(t, "b", "t"),
            offered(t, 1, "b", "t"),
            answered(t, 1, "b", 503),
            ended(t, "b", Ending::Status(503)),
        ]
    };
    assert_eq!(
        violations(&check_with(send(20 * SECOND_US + SECOND_US / 2))),
        [0; 9],
        "within the grace period"
    );
    assert_eq!(violations(&check_with(send(22 * SECOND_US))), only_rule(3, 1));
    let ready = at(21 * SECOND_US, What::Listed { front: 0, server: 1, ready: true });
    assert_eq!(violations(&check_with([send(22 * SECOND_US), vec![ready]].concat())), [0; 9]);
}

#[test]
fn reports_overload_during_warm_up() {
    let cold_start = at(20 * SECOND_US, What::Started { server: 7, warm: false });
    let set_ups = |n: u64, gap: u64| {
        let mut all = vec![cold_start.clone()];
        for i in 0..n {
            let (t, offer) = (20 * SECOND_US + i * gap, format!("c{i}"));
            all.extend([
                asked(t, &offer, "x"),
                offered(t, 7, &offer, "x"),
                answered(t, 7, &offer, 503),
                ended(t, &offer, Ending::Status(503)),
            ]);
        }
        all
    };
    assert_eq!(violations(&check_with(set_ups(8, 1000))), only_rule(4, 1));
    assert_eq!(violations(&check_with(set_ups(8, SECOND_US))), [0; 9], "the rate is low enough");
    assert_eq!(
        violations(&check_with(vec![at(30 * SECOND_US, What::Toppled { server: 7 })])),
        only_rule(4, 1)
    );
}

#[test]
fn reports_low_rates_and_exceeded_seats() {
    let low = at(700, What::Rate { server: 2, offer: "a".into(), rate_kb: 100.0 });
    assert_eq!(violations(&check_with(vec![low])), only_rule(5, 1));
    let mut crowd = Vec::new();
    for n in 0..3 {
        let (t, offer) = (20 * SECOND_US + n, format!("s{n}"));
        crowd.extend([
            asked(t, &offer, "t"),
            offered(t, 3, &offer, "t"),
            began(t, 3, &offer),
            answered(t, 3, &offer, 201),
        ]);
        crowd.extend([ended(t, &offer, Ending::Status(201)), freed(30 * SECOND_US, 3, &offer)]);
    }
    assert_eq!(violations(&check_with(crowd.clone())), only_rule(6, 1));
    crowd.push(freed(20 * SECOND_US + 1, 3, "s0"));
    assert_eq!(violations(&check_with(crowd)), [0; 9], "one session ended before the third began");
}

#[test]
fn reports_retries_beyond_budget() {
    let mut all = Vec::new();
    for n in 0..2 {
        let (t, offer) = (20 * SECOND_US + n * 1000, format!("r{n}"));
        all.extend([asked(t, &offer, "x"), ended(t + 900, &offer, Ending::Status(504))]);
        for k in 0..2 {
            all.extend([
                offered(t + 10 + k * 10, k as u32, &offer, "x"),
                answered(t + 15 + k * 10, k as u32, &offer, 500),
            ]);
        }
    }
    assert_eq!(
        violations(&check_with(all)),
        only_rule(7, 1),
        "one retry is free, and two sessions add a fifth of another"
    );
}

#[test]
fn reports_sessions_left_at_media_servers() {
    assert_eq!(violations(&check_with(vec![began(SECOND_US, 2, "z")])), only_rule(8, 1));
    let died = at(2 * SECOND_US, What::Died { server: 2 });
    assert_eq!(violations(&check_with(vec![began(SECOND_US, 2, "z"), died])), [0; 9]);
}

#[test]
fn counts_protocols_separately() {
    let mut trace = vec![asked(0, "a", "t"), ended(2_000, "a", Ending::Status(503))];
    let sip = What::Asked {
        offer: "b".into(),
        front: 0,
        title: "t".into(),
        patience_us: 4 * SECOND_US,
        speaks: Speaks::Sip,
    };
    trace.extend([at(10, sip), ended(8_010, "b", Ending::Status(504))]);
    let report = check(&trace, &Rules::default());
    let counts = |protocol| report.by[&protocol];
    assert_eq!(
        (counts(Speaks::Whep).sessions, counts(Speaks::Whep).refused, counts(Speaks::Whep).failed),
        (1, 1, 0)
    );
    assert_eq!(
        (counts(Speaks::Sip).sessions, counts(Speaks::Sip).refused, counts(Speaks::Sip).failed),
        (1, 0, 1)
    );
    let is_near = |ms: f64, expected_ms: f64| (ms - expected_ms).abs() < 0.1;
    assert!(
        is_near(counts(Speaks::Whep).answer_ms.max, 2.0) && is_near(counts(Speaks::Sip).answer_ms.p50, 8.0),
        "{report:?}"
    );
    assert!(is_near(report.answer_ms.max, 8.0) && is_near(report.answer_ms.p50, 2.0), "{report:?}");
}

/// Checks three set-ups of one offer, the second of which the front closes or not before the third arrives.
///
/// `second_closed` is the state of the second set-up's connection and `third_closed` that of the third's.
fn check_recorded_set_ups(second_closed: bool, third_closed: bool) -> beechloft_checker::Report {
    use beechloft_checker::Recorder;
    let recorder = Recorder::default();
    let offered_at =
        |server| What::Offered { server, offer: "b".into(), front: 0, title: "t".into(), rate_kb: 200.0 };
    recorder.note(asked(0, "b", "t").what);
    recorder.offered(offered_at(1), || false);
    let is_closed = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(second_closed));
    recorder.note(What::Dropped { server: 1, offer: "other".into() });
    recorder.note(What::Answered { server: 1, offer: "b".into(), status: 500 });
    let probe = std::sync::Arc::clone(&is_closed);
    recorder.offered(offered_at(2), move || probe.load(std::sync::atomic::Ordering::SeqCst));
    recorder.offered(offered_at(3), move || third_closed);
    // The thread of the second set-up notices the close only after the third has arrived.
    std::thread::sleep(std::time::Duration::from_millis(2));
    recorder.note(What::Dropped { server: 2, offer: "b".into() });
    recorder.note(What::Answered { server: 3, offer: "b".into(), status: 500 });
    recorder.note(ended(0, "b", Ending::Status(504)).what);
    check(&recorder.trace(), &rules())
}

#[test]
fn set_up_is_outstanding_until_its_connection_closes() {
    // The second set-up was abandoned before the third arrived, although its thread recorded that later.
    assert_eq!(check_recorded_set_ups(true, false).overlapping_attempts, 0);
    // The connection of the second set-up was still open, so two were outstanding.
    assert_eq!(check_recorded_set_ups(false, false).overlapping_attempts, 1);
    // The third set-up was abandoned before the media server read it.
    assert_eq!(check_recorded_set_ups(false, true).overlapping_attempts, 0);
}

fn acted(t: u64, token: u64, holder: &str, done: bool) -> Seen {
    at(t, What::Acted { token, holder: holder.into(), done })
}

/// Returns a trace of two lease grants in which the first holder is suspended, and refused once after it is resumed.
fn lease_trace() -> Vec<Seen> {
    vec![
        acted(SECOND_US, 1, "a", true),
        at(2 * SECOND_US, What::Stopped { holder: "a".into() }),
        acted(4 * SECOND_US, 2, "b", true),
        at(5 * SECOND_US, What::WentOn { holder: "a".into() }),
        acted(5 * SECOND_US + 1, 1, "a", false),
        acted(6 * SECOND_US, 2, "b", true),
        at(7 * SECOND_US, What::ActsEnd),
    ]
}

#[test]
fn reports_superseded_tokens_unless_suspended_and_refused() {
    let valid = check(&lease_trace(), &rules());
    assert!(valid.kept(), "{valid:?}");
    assert_eq!((valid.leases_granted, valid.refused_acts, valid.longest_without_holder_ms), (2, 1, 3_000));
    // An operation is carried out although the resource has seen a higher token.
    let mut done = lease_trace();
    done[4] = acted(5 * SECOND_US + 1, 1, "a", true);
    let report = check(&done, &rules());
    assert_eq!((report.lease_overlaps, report.stale_acts), (0, 1));
    // The process was not suspended, or was resumed long before.
    for (t, holder) in [(5 * SECOND_US + 1, "c"), (8 * SECOND_US, "a")] {
        let mut late = lease_trace();
        late[4] = acted(t, 1, holder, false);
        let report = check(&late, &rules());
        assert_eq!((report.lease_overlaps, report.stale_acts), (1, 0), "{holder}");
        assert!(!report.kept());
    }
    // No operation follows until the end of the period.
    let mut short = lease_trace();
    short.remove(5);
    assert_eq!(check(&short, &rules()).longest_without_holder_ms, 3_000);
    short[5] = at(9 * SECOND_US, What::ActsEnd);
    assert_eq!(check(&short, &rules()).longest_without_holder_ms, 5_000);
}
