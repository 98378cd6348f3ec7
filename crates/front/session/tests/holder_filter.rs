//! Media servers that are not offered to the policy.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::shadow_unrelated)]

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;

use beechloft_session::api::*;
use beechloft_session::holder_filter::{Exclusion, Exclusions, HolderFilter};
use beechloft_session::io::*;
use proptest::prelude::*;
use support::*;

fn exclusion(server: u32, admitted_per_mille: u16) -> Exclusion {
    Exclusion { server: ServerId(server), admitted_per_mille }
}

fn exclude(servers: Vec<Exclusion>, max_excluded_per_mille: u16) -> Input {
    Input::HolderFilter(HolderFilter::Exclude(Exclusions {
        servers,
        max_excluded_per_mille,
        ..Exclusions::default()
    }))
}

fn restrict(title: &str, servers: Option<&[u32]>) -> Input {
    let servers = servers.map(|ids| Arc::new(ids.iter().map(|n| ServerId(*n)).collect::<BTreeSet<_>>()));
    Input::HolderFilter(HolderFilter::Restrict(vec![(title.into(), servers)]))
}

/// Sessions of a title and where each is set up at first; each plays for a while.
fn sessions(front: &mut Front, names: std::ops::Range<u64>, title: &str) -> Vec<(u64, u32)> {
    let mut all = Vec::new();
    let delete = |front: &mut Front, n: u64| {
        front.input(Input::Delete { request: RequestId(n), session: SessionId(n), secret: Secret(n * 7) });
    };
    for n in names.clone() {
        if let Some((attempt, server, _)) = set_up(&front.request(n, title)) {
            all.push((n, server.0));
            front.accept(attempt, server);
        }
        // One after another, and sixteen at once: media servers fill, so that others are chosen as well.
        delete(front, n.saturating_sub(16));
        front.now += 100 * MILLISECOND;
    }
    names.for_each(|n| delete(front, n));
    front.now += 20 * SECOND;
    front.input(Input::Tick);
    all
}

fn media_servers_used(front: &mut Front, from: u64, title: &str) -> BTreeSet<u32> {
    sessions(front, from..from + 40, title).into_iter().map(|s| s.1).collect()
}

fn warnings(front: &Front) -> usize {
    front.log.iter().filter(|l| l.contains("offered despite ejection")).count()
}

#[test]
fn excluded_media_servers_are_not_offered_and_a_title_keeps_what_it_must() {
    let mut front = Front::new(1);
    front.input(exclude(vec![exclusion(1, 0), exclusion(0, 0), exclusion(2, 0)], 500));
    // Four holders: two may be excluded, the first of the list first.
    assert_eq!(media_servers_used(&mut front, 0, "title-0"), BTreeSet::from([2, 3]));
    assert_eq!(warnings(&front), 1, "reported once");
    // Whatever part is asked for, the last one ready is offered.
    let mut front = Front::new(1);
    front.input(exclude(vec![exclusion(1, 0), exclusion(3, 0)], 1_000));
    assert_eq!(media_servers_used(&mut front, 0, "title-1"), BTreeSet::from([3]));
    let mut front = Front::new(1);
    front.input(Input::Endpoints(change(vec![media_server(3, EndpointState::Draining)])));
    front.input(exclude(vec![exclusion(1, 0)], 1_000));
    assert_eq!(
        media_servers_used(&mut front, 0, "title-1"),
        BTreeSet::from([1]),
        "the other one is not ready"
    );
    front.input(exclude(Vec::new(), 500));
    front.input(Input::Endpoints(change(vec![media_server(3, EndpointState::Ready)])));
    assert_eq!(media_servers_used(&mut front, 100, "title-1"), BTreeSet::from([1, 3]));
}

#[test]
fn a_media_server_returns_for_the_same_part_of_sessions_at_every_front() {
    let part = |share: u16| -> Vec<u64> {
        let mut front = Front::new(1);
        front.input(exclude(vec![exclusion(1, share)], 1_000));
        // With one of two holders excluded the other one is chosen; with none, both are.
        let all = sessions(&mut front, 0..400, "title-1");
        all.into_iter().filter(|s| s.1 == 1).map(|s| s.0).collect()
    };
    let (none, some, most) = (part(0), part(125), part(1_000));
    assert!(none.is_empty());
    assert!(some.len() < 100 && !some.is_empty() && most.len() > 100, "{} {}", some.len(), most.len());
}

#[test]
fn a_restricted_title_is_played_where_it_may_be_and_nowhere_else() {
    let mut front = Front::new(1);
    front.input(restrict("title-0", Some(&[2])));
    assert_eq!(media_servers_used(&mut front, 0, "title-0"), BTreeSet::from([2]));
    assert_eq!(
        media_servers_used(&mut front, 100, "title-1"),
        BTreeSet::from([1, 3]),
        "others are as before"
    );
    // Exclusions do not widen it.
    front.input(exclude(vec![exclusion(2, 0)], 1_000));
    assert_eq!(media_servers_used(&mut front, 200, "title-0"), BTreeSet::from([2]));
    front.input(restrict("title-0", Some(&[])));
    assert!(matches!(replies(&front.request(300, "title-0"))[..], [Answer::Rejected(Some(_))]));
    front.input(restrict("title-0", None));
    assert!(media_servers_used(&mut front, 400, "title-0").len() > 1);
}

#[test]
fn no_retry_goes_where_the_title_may_not_be_played_any_more() {
    let mut front = Front::new(1);
    let (attempt, server, _) = set_up(&front.request(1, "title-1")).expect("a set-up");
    // Only where the first attempt went, which then fails.
    front.input(restrict("title-1", Some(&[server.0])));
    let out = front.attempt_ended(attempt, server, AttemptResult::Ended(Outcome::ConnectFailed));
    assert!(set_up(&out).is_none(), "{out:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// With nothing excluded, and after all filters are taken back, decisions are the same to the byte.
    #[test]
    fn without_filters_decisions_are_unchanged(seed in any::<u64>(), asks in prop::collection::vec((0u64..3, 0u8..4), 1..80)) {
        let run = |off: Option<Input>| {
            let mut front = Front::new(seed);
            if let Some(off) = off {
                front.input(exclude(vec![exclusion(1, 0)], 500));
                front.input(restrict("title-0", Some(&[1])));
                front.input(restrict("title-0", None));
                front.input(off);
            }
            for (n, (title, outcome)) in asks.iter().enumerate() {
                if let Some((attempt, server, _)) = set_up(&front.request(n as u64, &format!("title-{title}"))) {
                    match outcome {
                        0 => drop(front.attempt_ended(attempt, server, AttemptResult::Ended(Outcome::Error))),
                        1 => drop(front.attempt_ended(attempt, server, AttemptResult::Ended(Outcome::Timeout))),
                        _ => drop(front.accept(attempt, server)),
                    }
                }
                front.now += 50 * MILLISECOND;
            }
            front.log
        };
        prop_assert_eq!(run(None), run(Some(exclude(Vec::new(), 0))));
    }
}
