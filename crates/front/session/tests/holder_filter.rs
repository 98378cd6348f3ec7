//! Tests of exclusions and restrictions of holders.

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

/// Runs sessions of a title, up to 16 at a time, and returns the first media server of each session.
fn run_sessions(front: &mut Front, ids: std::ops::Range<u64>, title: &str) -> Vec<(u64, u32)> {
    let mut first_servers = Vec::new();
    let delete = |at: &mut Front, n: u64| {
        at.input(Input::Delete { request: RequestId(n), session: SessionId(n), secret: Secret(n * 7) });
    };
    for n in ids.clone() {
        if let Some((attempt, server, _)) = set_up(&front.request(n, title)) {
            first_servers.push((n, server.0));
            front.accept(attempt, server);
        }
        // Several sessions play at once, so that the load makes the policy choose other media servers as well.
        delete(front, n.saturating_sub(16));
        front.now += 100 * MILLISECOND;
    }
    ids.for_each(|n| delete(front, n));
    front.now += 20 * SECOND;
    front.input(Input::Tick);
    first_servers
}

fn media_servers_used(front: &mut Front, from: u64, title: &str) -> BTreeSet<u32> {
    run_sessions(front, from..from + 40, title).into_iter().map(|(_, server)| server).collect()
}

fn warning_count(front: &Front) -> usize {
    front.output_log.iter().filter(|line| line.contains("offered despite ejection")).count()
}

#[test]
fn excluded_media_servers_are_not_offered_except_the_last_ready_one() {
    let mut front = Front::new(1);
    front.input(exclude(vec![exclusion(1, 0), exclusion(0, 0), exclusion(2, 0)], 500));
    // Half of the four holders may be excluded, in the order of the exclusions.
    assert_eq!(media_servers_used(&mut front, 0, "title-0"), BTreeSet::from([2, 3]));
    assert_eq!(warning_count(&front), 1, "the warning is given once");
    // The last ready holder is offered even if all may be excluded.
    let mut last_holder_front = Front::new(1);
    last_holder_front.input(exclude(vec![exclusion(1, 0), exclusion(3, 0)], 1_000));
    assert_eq!(media_servers_used(&mut last_holder_front, 0, "title-1"), BTreeSet::from([3]));
    let mut draining_front = Front::new(1);
    draining_front.input(Input::Endpoints(change(vec![media_server(3, EndpointState::Draining)])));
    draining_front.input(exclude(vec![exclusion(1, 0)], 1_000));
    assert_eq!(
        media_servers_used(&mut draining_front, 0, "title-1"),
        BTreeSet::from([1]),
        "the other one is not ready"
    );
    draining_front.input(exclude(Vec::new(), 500));
    draining_front.input(Input::Endpoints(change(vec![media_server(3, EndpointState::Ready)])));
    assert_eq!(media_servers_used(&mut draining_front, 100, "title-1"), BTreeSet::from([1, 3]));
}

#[test]
fn admits_the_given_share_of_sessions_to_excluded_media_server() {
    let admitted_sessions = |per_mille: u16| -> Vec<u64> {
        let mut front = Front::new(1);
        front.input(exclude(vec![exclusion(1, per_mille)], 1_000));
        // Both holders are used, unless one of them is excluded.
        let first_servers = run_sessions(&mut front, 0..400, "title-1");
        first_servers.into_iter().filter(|(_, server)| *server == 1).map(|(session, _)| session).collect()
    };
    let (none, some, most) = (admitted_sessions(0), admitted_sessions(125), admitted_sessions(1_000));
    assert!(none.is_empty());
    assert!(some.len() < 100 && !some.is_empty() && most.len() > 100, "{} {}", some.len(), most.len());
}

#[test]
fn restricted_title_plays_only_at_allowed_media_servers() {
    let mut front = Front::new(1);
    front.input(restrict("title-0", Some(&[2])));
    assert_eq!(media_servers_used(&mut front, 0, "title-0"), BTreeSet::from([2]));
    assert_eq!(
        media_servers_used(&mut front, 100, "title-1"),
        BTreeSet::from([1, 3]),
        "other titles are not restricted"
    );
    // Exclusions do not extend the allowed media servers.
    front.input(exclude(vec![exclusion(2, 0)], 1_000));
    assert_eq!(media_servers_used(&mut front, 200, "title-0"), BTreeSet::from([2]));
    front.input(restrict("title-0", Some(&[])));
    assert!(matches!(answers(&front.request(300, "title-0"))[..], [Answer::Rejected(Some(_))]));
    front.input(restrict("title-0", None));
    assert!(media_servers_used(&mut front, 400, "title-0").len() > 1);
}

#[test]
fn retry_respects_restriction_set_after_first_attempt() {
    let mut front = Front::new(1);
    let (attempt, server, _) = set_up(&front.request(1, "title-1")).expect("a set-up");
    // Only the media server of the first attempt remains allowed, and that attempt fails.
    front.input(restrict("title-1", Some(&[server.0])));
    let out = front.attempt_ended(attempt, server, AttemptResult::Ended(Outcome::ConnectFailed));
    assert!(set_up(&out).is_none(), "{out:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// Outputs are identical with no filter and after all filters were removed.
    #[test]
    fn removed_filters_do_not_change_decisions(seed in any::<u64>(), requests in prop::collection::vec((0u64..3, 0u8..4), 1..80)) {
        let run = |remove_exclusions: Option<Input>| {
            let mut front = Front::new(seed);
            if let Some(remove_exclusions) = remove_exclusions {
                front.input(exclude(vec![exclusion(1, 0)], 500));
                front.input(restrict("title-0", Some(&[1])));
                front.input(restrict("title-0", None));
                front.input(remove_exclusions);
            }
            for (n, (title, outcome)) in requests.iter().enumerate() {
                if let Some((attempt, server, _)) = set_up(&front.request(n as u64, &format!("title-{title}"))) {
                    match outcome {
                        0 => drop(front.attempt_ended(attempt, server, AttemptResult::Ended(Outcome::Error))),
                        1 => drop(front.attempt_ended(attempt, server, AttemptResult::Ended(Outcome::Timeout))),
                        _ => drop(front.accept(attempt, server)),
                    }
                }
                front.now += 50 * MILLISECOND;
            }
            front.output_log
        };
        prop_assert_eq!(run(None), run(Some(exclude(Vec::new(), 0))));
    }
}
