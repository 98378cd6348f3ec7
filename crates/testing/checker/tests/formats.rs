//! Checks the JSON of the report of `day --json` and of the lines of a trace byte for byte, since other programs read them.

use std::collections::BTreeMap;

use beechloft_checker::report::{LatencyQuantiles, ProtocolCounts, Report};
use beechloft_checker::trace::{Ending, Seen, Speaks, What};

const REPORT: &str = include_str!("fixtures/report.json");
const TRACE: &str = include_str!("fixtures/trace.jsonl");

fn latency_quantiles(first: f64) -> LatencyQuantiles {
    LatencyQuantiles { p50: first, p99: first + 0.5, max: first + 1.25 }
}

/// A report with a different value in each field.
fn report() -> Report {
    let part = ProtocolCounts {
        sessions: 33,
        playing: 34,
        refused: 35,
        failed: 36,
        answer_ms: latency_quantiles(37.0),
    };
    Report {
        sessions: 1,
        playing: 2,
        refused: 3,
        failed: 4,
        declined: 5,
        hung_up: 6,
        lost_with_front: 7,
        not_taken: 8,
        unanswered: 9,
        duplicate_answers: 10,
        overlapping_attempts: 11,
        drain_breaks: 12,
        cold_breaks: 13,
        floor_breaks: 14,
        seat_breaks: 15,
        budget_breaks: 16,
        phantom_sessions: 17,
        expired_sessions: 18,
        further_attempts: 19,
        leases_granted: 20,
        lease_overlaps: 21,
        stale_acts: 22,
        refused_acts: 23,
        longest_without_holder_ms: 24,
        topic_acknowledged: 25,
        topic_seen: 26,
        topic_caught_up: 27,
        topic_gaps: 28,
        topic_revived: 29,
        topic_lost: 30,
        topic_twice: 31,
        answer_ms: latency_quantiles(32.0),
        by: BTreeMap::from([(Speaks::Whep, part), (Speaks::Sip, ProtocolCounts::default())]),
        breaks: BTreeMap::from([("overlapping", vec!["one".to_owned(), "two".to_owned()])]),
    }
}

/// A trace with each kind of event and each outcome of a call.
fn trace() -> Vec<Seen> {
    let offer = || "ufrag".to_owned();
    let holder = || "front 1".to_owned();
    let ended = |ending| What::Ended { offer: offer(), ending, extra: 2 };
    let asked = |speaks| What::Asked {
        offer: offer(),
        front: 1,
        title: "title".to_owned(),
        patience_us: 2_000_000,
        speaks,
    };
    let events = vec![
        What::Acted { token: 7, holder: holder(), done: true },
        What::Stopped { holder: holder() },
        What::WentOn { holder: holder() },
        What::ActsEnd,
        asked(Speaks::Whep),
        asked(Speaks::Sip),
        ended(Ending::Status(201)),
        ended(Ending::NotTaken),
        ended(Ending::Broken),
        ended(Ending::TimedOut),
        ended(Ending::HungUp),
        What::Left { offer: offer() },
        What::Offered { server: 3, offer: offer(), front: 1, title: "title".to_owned(), rate_kb: 312.5 },
        What::Answered { server: 3, offer: offer(), status: 0 },
        What::Dropped { server: 3, offer: offer() },
        What::Began { server: 3, offer: offer() },
        What::Rate { server: 3, offer: offer(), rate_kb: 200.0 },
        What::Freed { server: 3, offer: offer(), expired: true },
        What::Started { server: 3, warm: false },
        What::Died { server: 3 },
        What::Toppled { server: 3 },
        What::Listed { front: 1, server: 3, ready: true },
        What::FrontUp { front: 1 },
        What::FrontKilled { front: 1 },
    ];
    (1..).zip(events).map(|(at, what)| Seen { at, what }).collect()
}

#[test]
fn report_json_is_stable() {
    assert_eq!(serde_json::to_string(&report()).expect("the value is encoded") + "\n", REPORT);
}

#[test]
fn trace_json_is_stable_in_both_directions() {
    let lines: Vec<String> = trace()
        .iter()
        .map(|seen| serde_json::to_string(seen).expect("the value is encoded") + "\n")
        .collect();
    assert_eq!(lines.concat(), TRACE);
    let read: Vec<Seen> =
        TRACE.lines().map(|line| serde_json::from_str(line).expect("the line is decoded")).collect();
    assert_eq!(read, trace());
}
