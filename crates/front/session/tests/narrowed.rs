//! Boxes that are not offered to the module.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::shadow_unrelated)]

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;

use beechloft_session::api::*;
use beechloft_session::io::*;
use beechloft_session::narrow::{Avoid, Narrowed, Shy};
use proptest::prelude::*;
use support::*;

fn shy(server: u32, share: u16) -> Shy {
    Shy { server: ServerId(server), share }
}

fn avoid(boxes: Vec<Shy>, at_most: u16) -> Input {
    Input::Narrowed(Narrowed::Avoid(Avoid { boxes, at_most, ..Avoid::default() }))
}

fn only(title: &str, boxes: Option<&[u32]>) -> Input {
    let boxes = boxes.map(|b| Arc::new(b.iter().map(|n| ServerId(*n)).collect::<BTreeSet<_>>()));
    Input::Narrowed(Narrowed::Only(vec![(title.into(), boxes)]))
}

/// Sessions of a title and where each is set up at first; each plays for a while.
fn sessions(f: &mut Front, names: std::ops::Range<u64>, title: &str) -> Vec<(u64, u32)> {
    let mut all = Vec::new();
    let delete = |f: &mut Front, n: u64| {
        f.input(Input::Delete { request: RequestId(n), session: SessionId(n), secret: Secret(n * 7) });
    };
    for n in names.clone() {
        if let Some((attempt, server, _)) = set_up(&f.ask(n, title)) {
            all.push((n, server.0));
            f.accept(attempt, server);
        }
        // One after another, and sixteen at once: boxes fill, so that others are chosen as well.
        delete(f, n.saturating_sub(16));
        f.now += 100 * MS;
    }
    names.for_each(|n| delete(f, n));
    f.now += 20 * S;
    f.input(Input::Tick);
    all
}

fn places(f: &mut Front, from: u64, title: &str) -> BTreeSet<u32> {
    sessions(f, from..from + 40, title).into_iter().map(|s| s.1).collect()
}

fn warned(f: &Front) -> usize {
    f.log.iter().filter(|l| l.contains("offered nonetheless")).count()
}

#[test]
fn avoided_boxes_are_not_offered_and_a_title_keeps_what_it_must() {
    let mut f = Front::new(1);
    f.input(avoid(vec![shy(1, 0), shy(0, 0), shy(2, 0)], 500));
    // Four holders: two may be avoided, the surest first.
    assert_eq!(places(&mut f, 0, "title-0"), BTreeSet::from([2, 3]));
    assert_eq!(warned(&f), 1, "told once");
    // Whatever part is asked for, the last one ready is offered.
    let mut f = Front::new(1);
    f.input(avoid(vec![shy(1, 0), shy(3, 0)], 1_000));
    assert_eq!(places(&mut f, 0, "title-1"), BTreeSet::from([3]));
    let mut f = Front::new(1);
    f.input(Input::List(change(vec![line(3, EndpointState::Draining)])));
    f.input(avoid(vec![shy(1, 0)], 1_000));
    assert_eq!(places(&mut f, 0, "title-1"), BTreeSet::from([1]), "the other one is not ready");
    f.input(avoid(Vec::new(), 500));
    f.input(Input::List(change(vec![line(3, EndpointState::Ready)])));
    assert_eq!(places(&mut f, 100, "title-1"), BTreeSet::from([1, 3]));
}

#[test]
fn a_box_comes_back_for_the_same_part_of_sessions_everywhere() {
    let part = |share: u16| -> Vec<u64> {
        let mut f = Front::new(1);
        f.input(avoid(vec![shy(1, share)], 1_000));
        // With one of two holders avoided the other one is chosen; with none, both are.
        let all = sessions(&mut f, 0..400, "title-1");
        all.into_iter().filter(|s| s.1 == 1).map(|s| s.0).collect()
    };
    let (none, some, most) = (part(0), part(125), part(1_000));
    assert!(none.is_empty());
    assert!(some.len() < 100 && !some.is_empty() && most.len() > 100, "{} {}", some.len(), most.len());
}

#[test]
fn a_title_is_played_where_it_may_be_and_nowhere_else() {
    let mut f = Front::new(1);
    f.input(only("title-0", Some(&[2])));
    assert_eq!(places(&mut f, 0, "title-0"), BTreeSet::from([2]));
    assert_eq!(places(&mut f, 100, "title-1"), BTreeSet::from([1, 3]), "others are as before");
    // Verdicts do not widen it.
    f.input(avoid(vec![shy(2, 0)], 1_000));
    assert_eq!(places(&mut f, 200, "title-0"), BTreeSet::from([2]));
    f.input(only("title-0", Some(&[])));
    assert!(matches!(replies(&f.ask(300, "title-0"))[..], [Answer::Refused(Some(_))]));
    f.input(only("title-0", None));
    assert!(places(&mut f, 400, "title-0").len() > 1);
}

#[test]
fn no_further_attempt_goes_where_the_title_may_not_be_played_any_more() {
    let mut f = Front::new(1);
    let (attempt, server, _) = set_up(&f.ask(1, "title-1")).expect("a set-up");
    // Only where the first attempt went, which then fails.
    f.input(only("title-1", Some(&[server.0])));
    let out = f.verdict(attempt, server, Verdict::Ended(Outcome::ConnectFailed));
    assert!(set_up(&out).is_none(), "{out:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// With nothing to be avoided, and after all that narrowed is taken back, decisions are as before to the byte.
    #[test]
    fn with_it_off_decisions_are_as_before(seed in any::<u64>(), asks in prop::collection::vec((0u64..3, 0u8..4), 1..80)) {
        let run = |off: Option<Input>| {
            let mut f = Front::new(seed);
            if let Some(off) = off {
                f.input(avoid(vec![shy(1, 0)], 500));
                f.input(only("title-0", Some(&[1])));
                f.input(only("title-0", None));
                f.input(off);
            }
            for (n, (title, outcome)) in asks.iter().enumerate() {
                if let Some((attempt, server, _)) = set_up(&f.ask(n as u64, &format!("title-{title}"))) {
                    match outcome {
                        0 => drop(f.verdict(attempt, server, Verdict::Ended(Outcome::Error))),
                        1 => drop(f.verdict(attempt, server, Verdict::Ended(Outcome::Timeout))),
                        _ => drop(f.accept(attempt, server)),
                    }
                }
                f.now += 50 * MS;
            }
            f.log
        };
        prop_assert_eq!(run(None), run(Some(avoid(Vec::new(), 0))));
    }
}
