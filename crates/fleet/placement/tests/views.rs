//! A front's view by itself: what it offers, when it loses its right, what its core is told.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use beechloft_leases::DriftBound;
use beechloft_placement::front::{Change, Narrower, Offer, Refusal, ViewInput};
use beechloft_placement::names::*;
use beechloft_placement::words::shard::title_hash;
use beechloft_placement::{Record, Renewed, Titles, View};
use support::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn view() -> View {
    let customers = [name::<Customer>("ann")].into();
    View::new(FrontId(1), customers, 1_000, DriftBound::ppm(10_000).expect("within bounds"), 1)
}

fn record(revision: u64, titles: &[&str], boxes: &[u32], home: &[u32]) -> Record {
    let set = |all: &[u32]| all.iter().map(|n| BoxId(*n)).collect::<BTreeSet<_>>();
    let titles = Titles::Named(titles.iter().map(|t| name(t)).collect());
    let (revision, version) = (Revision(revision), Version(1));
    Record { revision, version, titles, boxes: set(boxes), home: set(home), narrows: true }
}

fn hears(v: &mut View, at: u64, of: &str, revision: u64, record: Option<Record>) {
    v.handle(ms(at), ViewInput::Record(shard("ann", of), Revision(revision), record));
    v.handle(ms(at), ViewInput::Complete);
}

/// Renews, and hears so at once.
fn renews(v: &mut View, at: u64) {
    let word = v.handle(ms(at), ViewInput::Tick).expect("it is due");
    v.handle(ms(at), ViewInput::Heard { seq: word.seq, renewed: Renewed::Right });
}

#[test]
fn without_a_right_nothing_of_a_customer_is_offered_and_others_are_as_ever() {
    let mut v = view();
    hears(&mut v, 1, "a", 1, Some(record(1, &["t"], &[1, 2], &[])));
    assert_eq!(v.offer(ms(1), "ann", "t"), Offer::Refuse(Refusal::NoRight));
    assert_eq!(v.offer(ms(1), "ann", "unknown"), Offer::Refuse(Refusal::NoRight));
    assert_eq!((v.offer(ms(1), "ben", "t"), v.offer(ms(1), "", "t")), (Offer::Free, Offer::Free));
    let word = v.handle(ms(300), ViewInput::Tick).expect("it is due");
    // The answer comes late: the right counts from before it was asked for, less the drift.
    v.handle(ms(600), ViewInput::Heard { seq: word.seq, renewed: Renewed::Right });
    assert!(matches!(v.offer(ms(1_289), "ann", "t"), Offer::Boxes { all, .. } if all.len() == 2));
    assert_eq!(v.offer(ms(1_289), "ann", "unknown"), Offer::Free);
    assert_eq!(v.offer(ms(1_290), "ann", "t"), Offer::Refuse(Refusal::NoRight));
    // Its answer again, or one of a word that it never said, gives nothing more.
    v.handle(ms(1_300), ViewInput::Heard { seq: word.seq, renewed: Renewed::Right });
    v.handle(ms(1_300), ViewInput::Heard { seq: 99, renewed: Renewed::Right });
    assert!(!v.has_right(ms(1_300)));
    v.handle(ms(1_301), ViewInput::Stop);
    assert_eq!(v.handle(ms(9_000), ViewInput::Tick), None);
}

#[test]
fn a_view_goes_forward_only_and_forgets_what_is_pinned_no_more() {
    let mut v = view();
    hears(&mut v, 1, "a", 1, Some(record(1, &["t"], &[1], &[])));
    hears(&mut v, 1, "b", 2, Some(record(2, &["u"], &[2], &[])));
    hears(&mut v, 1, "a", 3, Some(record(3, &["t"], &[], &[])));
    renews(&mut v, 100);
    assert_eq!(v.offer(ms(101), "ann", "t"), Offer::Refuse(Refusal::NoBox));
    // A copy, and the whole by a keeper that is behind.
    hears(&mut v, 102, "a", 1, Some(record(1, &["t"], &[1], &[])));
    v.handle(ms(102), ViewInput::Anew);
    hears(&mut v, 102, "a", 1, Some(record(1, &["t"], &[1], &[])));
    assert_eq!((v.offer(ms(103), "ann", "t"), v.has()), (Offer::Refuse(Refusal::NoBox), Revision(3)));
    // The whole by one that is ahead: what is not in it is pinned no more.
    v.handle(ms(104), ViewInput::Anew);
    hears(&mut v, 104, "b", 5, Some(record(5, &["u"], &[7], &[])));
    assert_eq!((v.offer(ms(105), "ann", "t"), v.has()), (Offer::Free, Revision(5)));
    hears(&mut v, 106, "b", 6, None);
    assert_eq!((v.offer(ms(107), "ann", "u"), v.shards().len()), (Offer::Free, 0));
}

#[test]
fn a_range_has_the_titles_whose_hash_lies_in_it() {
    let mut v = view();
    let middle = title_hash("t");
    let mut low = record(1, &[], &[1], &[]);
    low.titles = Titles::Range { from: 0, to: middle };
    let mut high = record(2, &[], &[2], &[]);
    high.titles = Titles::Range { from: middle + 1, to: u64::MAX };
    hears(&mut v, 1, "low", 1, Some(low));
    hears(&mut v, 1, "high", 2, Some(high));
    renews(&mut v, 100);
    let mut counts = [0, 0];
    for n in 0..1_000 {
        let title = format!("t{n}");
        let Offer::Boxes { all, .. } = v.offer(ms(101), "ann", &title) else { panic!("it is pinned") };
        let high = title_hash(&title) > middle;
        assert_eq!(all, [BoxId(1 + u32::from(high))].into());
        counts[usize::from(high)] += 1;
    }
    assert!(matches!(v.offer(ms(101), "ann", "t"), Offer::Boxes { all, .. } if all == [BoxId(1)].into()));
    assert!(counts[0] > 0 && counts[1] > 0, "{counts:?}");
}

#[test]
fn the_core_is_told_of_changes_once_and_of_a_lost_right_at_once() {
    let (mut v, mut n) = (view(), Narrower::default());
    hears(&mut v, 1, "a", 1, Some(record(1, &["t"], &[1, 2], &[2])));
    renews(&mut v, 300);
    let up = |_: BoxId| true;
    let set = |all: &[u32]| Some(all.iter().map(|n| BoxId(*n)).collect::<BTreeSet<_>>());
    let told = |c: Option<Change>| c.map(|(title, boxes)| (title.to_string(), boxes.map(|b| (*b).clone())));
    // At home first while a box there can be used.
    assert_eq!(told(n.asked(&v, ms(301), "ann", "t", up)), Some(("t".into(), set(&[2]))));
    assert_eq!(n.asked(&v, ms(301), "ann", "t", up), None);
    assert_eq!(told(n.asked(&v, ms(301), "ann", "t", |b| b.0 == 1)), Some(("t".into(), set(&[1, 2]))));
    assert_eq!((n.asked(&v, ms(301), "ann", "free", up), n.asked(&v, ms(301), "ben", "t", up)), (None, None));
    n.changes(&v, ms(302), up);
    assert_eq!(n.changes(&v, ms(303), up), []);
    // Its right is over: no box is left, for what was asked before, too.
    let changes = n.changes(&v, ms(1_400), up);
    assert_eq!(changes.into_iter().map(Some).map(told).collect::<Vec<_>>(), [Some(("t".into(), set(&[])))]);
    assert_eq!(told(n.asked(&v, ms(1_400), "ann", "free", up)), Some(("free".into(), set(&[]))));
    renews(&mut v, 1_700);
    hears(&mut v, 1_701, "a", 2, None);
    let free: Vec<_> = n.changes(&v, ms(1_702), up).into_iter().map(|c| c.1.is_none()).collect();
    assert_eq!(free, [true, true]);
}
