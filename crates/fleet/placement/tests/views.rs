//! A front's view: the servers that it allows, the loss of its lease, and the changes that its core receives.
#![allow(clippy::cast_possible_truncation)]

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use beechloft_leases::DriftBound;
use beechloft_placement::front::{AllowedServers, Change, Refusal, ServerFilter, ViewInput};
use beechloft_placement::names::*;
use beechloft_placement::protocol::shard::title_hash;
use beechloft_placement::{Record, RenewOutcome, Titles, View};
use support::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn view() -> View {
    let customers = [name::<Customer>("ann")].into();
    View::new(FrontId(1), customers, 1_000, DriftBound::ppm(10_000).expect("within bounds"), 1)
}

fn record(revision: u64, titles: &[&str], servers: &[u32], home: &[u32]) -> Record {
    let set = |all: &[u32]| all.iter().map(|n| ServerId(*n)).collect::<BTreeSet<_>>();
    let titles = Titles::Named(titles.iter().map(|t| name(t)).collect());
    let (revision, version) = (Revision(revision), Version(1));
    Record { revision, version, titles, servers: set(servers), home: set(home), withdraws: true }
}

fn feed_record(view: &mut View, at: u64, shard_name: &str, revision: u64, record: Option<Record>) {
    view.handle(ms(at), ViewInput::Record(shard("ann", shard_name), Revision(revision), record));
    view.handle(ms(at), ViewInput::CaughtUp);
}

/// Renews the lease, with an immediate answer.
fn renew(view: &mut View, at: u64) {
    let request = view.handle(ms(at), ViewInput::Tick).expect("a request is due");
    view.handle(ms(at), ViewInput::Renewed { seq: request.seq, outcome: RenewOutcome::Granted });
}

#[test]
fn refuses_titles_without_lease() {
    let mut view = view();
    feed_record(&mut view, 1, "a", 1, Some(record(1, &["t"], &[1, 2], &[])));
    assert_eq!(view.allowed_servers(ms(1), "ann", "t"), AllowedServers::Refused(Refusal::NoLease));
    assert_eq!(view.allowed_servers(ms(1), "ann", "unknown"), AllowedServers::Refused(Refusal::NoLease));
    assert_eq!(
        (view.allowed_servers(ms(1), "ben", "t"), view.allowed_servers(ms(1), "", "t")),
        (AllowedServers::Unpinned, AllowedServers::Unpinned)
    );
    let request = view.handle(ms(300), ViewInput::Tick).expect("a request is due");
    // The answer is late: the lease counts from when it was requested, shortened by the drift bound.
    view.handle(ms(600), ViewInput::Renewed { seq: request.seq, outcome: RenewOutcome::Granted });
    assert!(
        matches!(view.allowed_servers(ms(1_289), "ann", "t"), AllowedServers::Servers { all, .. } if all.len() == 2)
    );
    assert_eq!(view.allowed_servers(ms(1_289), "ann", "unknown"), AllowedServers::Unpinned);
    assert_eq!(view.allowed_servers(ms(1_290), "ann", "t"), AllowedServers::Refused(Refusal::NoLease));
    // A duplicate answer, or one to an unknown request, does not extend the lease.
    view.handle(ms(1_300), ViewInput::Renewed { seq: request.seq, outcome: RenewOutcome::Granted });
    view.handle(ms(1_300), ViewInput::Renewed { seq: 99, outcome: RenewOutcome::Granted });
    assert!(!view.has_lease(ms(1_300)));
    view.handle(ms(1_301), ViewInput::Stop);
    assert_eq!(view.handle(ms(9_000), ViewInput::Tick), None);
}

#[test]
fn ignores_outdated_records_and_snapshots() {
    let mut view = view();
    feed_record(&mut view, 1, "a", 1, Some(record(1, &["t"], &[1], &[])));
    feed_record(&mut view, 1, "b", 2, Some(record(2, &["u"], &[2], &[])));
    feed_record(&mut view, 1, "a", 3, Some(record(3, &["t"], &[], &[])));
    renew(&mut view, 100);
    assert_eq!(view.allowed_servers(ms(101), "ann", "t"), AllowedServers::Refused(Refusal::NoServer));
    // A duplicate record, and a snapshot from a replica that lags behind.
    feed_record(&mut view, 102, "a", 1, Some(record(1, &["t"], &[1], &[])));
    view.handle(ms(102), ViewInput::SnapshotStart);
    feed_record(&mut view, 102, "a", 1, Some(record(1, &["t"], &[1], &[])));
    assert_eq!(
        (view.allowed_servers(ms(103), "ann", "t"), view.complete_up_to()),
        (AllowedServers::Refused(Refusal::NoServer), Revision(3))
    );
    // A newer snapshot: a shard that is not in it is no longer pinned.
    view.handle(ms(104), ViewInput::SnapshotStart);
    feed_record(&mut view, 104, "b", 5, Some(record(5, &["u"], &[7], &[])));
    assert_eq!(
        (view.allowed_servers(ms(105), "ann", "t"), view.complete_up_to()),
        (AllowedServers::Unpinned, Revision(5))
    );
    feed_record(&mut view, 106, "b", 6, None);
    assert_eq!(
        (view.allowed_servers(ms(107), "ann", "u"), view.shards().len()),
        (AllowedServers::Unpinned, 0)
    );
}

#[test]
fn finds_shard_by_hash_range() {
    let mut view = view();
    let middle = title_hash("t");
    let mut low = record(1, &[], &[1], &[]);
    low.titles = Titles::Range { from: 0, to: middle };
    let mut high = record(2, &[], &[2], &[]);
    high.titles = Titles::Range { from: middle + 1, to: u64::MAX };
    feed_record(&mut view, 1, "low", 1, Some(low));
    feed_record(&mut view, 1, "high", 2, Some(high));
    renew(&mut view, 100);
    let mut counts = [0, 0];
    for n in 0..1_000 {
        let title = format!("t{n}");
        let AllowedServers::Servers { all, .. } = view.allowed_servers(ms(101), "ann", &title) else {
            panic!("{title} is not pinned")
        };
        let is_high = title_hash(&title) > middle;
        assert_eq!(all, [ServerId(1 + u32::from(is_high))].into());
        counts[usize::from(is_high)] += 1;
    }
    assert!(
        matches!(view.allowed_servers(ms(101), "ann", "t"), AllowedServers::Servers { all, .. } if all == [ServerId(1)].into())
    );
    assert!(counts[0] > 0 && counts[1] > 0, "{counts:?}");
}

#[test]
fn reports_changes_once_and_lost_lease_at_once() {
    let (mut view, mut filter) = (view(), ServerFilter::default());
    feed_record(&mut view, 1, "a", 1, Some(record(1, &["t"], &[1, 2], &[2])));
    renew(&mut view, 300);
    let up = |_: ServerId| true;
    let set = |all: &[u32]| Some(all.iter().map(|n| ServerId(*n)).collect::<BTreeSet<_>>());
    let plain =
        |c: Option<Change>| c.map(|(title, servers)| (title.to_string(), servers.map(|b| (*b).clone())));
    // The home region is preferred while a media server there is usable.
    assert_eq!(plain(filter.request_title(&view, ms(301), "ann", "t", up)), Some(("t".into(), set(&[2]))));
    assert_eq!(filter.request_title(&view, ms(301), "ann", "t", up), None);
    assert_eq!(
        plain(filter.request_title(&view, ms(301), "ann", "t", |b| b.0 == 1)),
        Some(("t".into(), set(&[1, 2])))
    );
    assert_eq!(
        (
            filter.request_title(&view, ms(301), "ann", "free", up),
            filter.request_title(&view, ms(301), "ben", "t", up)
        ),
        (None, None)
    );
    filter.changes(&view, ms(302), up);
    assert_eq!(filter.changes(&view, ms(303), up), []);
    // The lease has expired: no media server is left, including titles that were requested before.
    let changes = filter.changes(&view, ms(1_400), up);
    assert_eq!(changes.into_iter().map(Some).map(plain).collect::<Vec<_>>(), [Some(("t".into(), set(&[])))]);
    assert_eq!(
        plain(filter.request_title(&view, ms(1_400), "ann", "free", up)),
        Some(("free".into(), set(&[])))
    );
    renew(&mut view, 1_700);
    feed_record(&mut view, 1_701, "a", 2, None);
    let unpinned: Vec<_> = filter.changes(&view, ms(1_702), up).into_iter().map(|c| c.1.is_none()).collect();
    assert_eq!(unpinned, [true, true]);
}
