//! Tests of class limits, retry budget, slow start and classes whose set-up must not be repeated, on sockets.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use beechloft_checker::check::{ClassRules, ColdRules, Repeat};
use beechloft_checker::{Recorder, Report, Rules, check};
use beechloft_config::front;
use beechloft_fakes::boxes::Warming;
use beechloft_fakes::dice::Dice;
use beechloft_fakes::fault::Fault;
use beechloft_fakes::fleet::Fleet;
use beechloft_fakes::player::{self, Wish};
use beechloft_server::Front;
use support::*;

/// Returns settings with a minimum rung, further class settings, a retry budget and slow start.
fn limited_settings(list: &str, class_settings: &str) -> beechloft_config::FrontSettings {
    let text = format!(
        "service:\n  zones: [a]\n  racks: 2\n  ladder:\n    - {{rate_kb: 200, worth: 0.2}}\n    - {{rate_kb: 450, worth: 0.6}}\n    \
         - {{rate_kb: 1000, worth: 1}}\n  classes:\n    - {{name: video, aim_ms: 800, patience_ms: 4000, floor: 1, \
         {class_settings}}}\n  kinds:\n    - {{name: small, streams: 20}}\n  links: {{unit_kb: 20000, guard: 1.2}}\n  \
         limits: {{attempts: 3, retry_after_ms: 500}}\n  budget: {{free: 2, share: 0.1, window_ms: 10000}}\n  \
         cold: {{warm_ms: 6000, from: 0.4, multiple: 2.5, span_ms: 2000}}\n\
         front:\n  listen: 127.0.0.1:0\n  seed: 7\nlist:\n  url: {list}\n"
    );
    front::parse(&text).unwrap_or_else(|error| panic!("{error}\n{text}"))
}

fn rules(repeat: Repeat) -> Rules {
    Rules {
        titles: ["all", "one", "pair"].map(|t| (t.to_owned(), 0)).into(),
        classes: vec![ClassRules { repeat, floor_kb: 450.0, seats: Some(2) }],
        drain_grace_us: 1_000_000,
        cold: Some(ColdRules {
            warm_us: 6_000_000,
            from: 0.4,
            multiple: 2.5,
            span_us: 2_000_000,
            streams: 20.0,
        }),
        budget: Some((2.0, 0.1, 10_000_000)),
    }
}

/// A front with limits on its class, and its fleet.
struct LimitedHarness {
    recorder: Recorder,
    fleet: Fleet,
    front: Front,
    dice: Dice,
}

impl LimitedHarness {
    fn new(
        media_servers: u32,
        class_settings: &str,
        change: impl FnOnce(&mut beechloft_fakes::fleet::FleetSpec),
    ) -> LimitedHarness {
        let mut spec = fleet_spec(media_servers);
        spec.warming = Some(Warming {
            after: Duration::from_secs(6),
            from: 0.4,
            multiple: 2.5,
            span: Duration::from_secs(2),
        });
        spec.boxes.iter_mut().for_each(|b| b.streams = 20);
        change(&mut spec);
        let recorder = Recorder::default();
        let fleet = Fleet::start(&spec, &recorder).expect("a fleet");
        let front = Front::start(limited_settings(&fleet.list.url(), class_settings), None).expect("a front");
        until("the endpoint list is known", || front.status().media_servers == media_servers as usize);
        LimitedHarness { recorder, fleet, front, dice: Dice::new(3) }
    }

    /// Requests a title and returns the HTTP status of the answer, or 0 if there was none.
    fn status(&mut self, title: &str) -> u16 {
        let request = Wish::new(self.front.address(), 0, title);
        player::ask(&request, &mut self.dice, &self.recorder)
            .response
            .map_or(0, |response| response.status.as_u16())
    }

    /// Requests a title for many players at once and returns the number of answers by HTTP status.
    fn concurrent_requests(&mut self, players: u64, title: &str) -> BTreeMap<u16, usize> {
        let threads: Vec<_> = (0..players)
            .map(|n| {
                let (request, recorder) = (Wish::new(self.front.address(), 0, title), self.recorder.clone());
                // Each player needs an offer of its own, as equal offers share a session.
                let mut dice = Dice::new(self.dice.number() ^ n);
                std::thread::spawn(move || player::ask(&request, &mut dice, &recorder))
            })
            .collect();
        let mut by_status = BTreeMap::new();
        for thread in threads {
            let requested = thread.join().expect("a player");
            *by_status
                .entry(requested.response.map_or(0, |response| response.status.as_u16()))
                .or_default() += 1;
        }
        by_status
    }

    fn finish(self, repeat: Repeat) -> Report {
        until("all sessions have ended", || self.fleet.sessions() == 0);
        let report = check(&self.recorder.trace(), &rules(repeat));
        assert!(report.kept(), "{report:#?}");
        report
    }
}

#[test]
fn session_limit_of_title_holds_under_concurrent_requests() {
    let mut harness = LimitedHarness::new(3, "effect: repeatable, seats: 2", |_| {});
    let statuses = harness.concurrent_requests(30, "all");
    assert_eq!(statuses.get(&201), Some(&2), "{statuses:?}");
    assert_eq!(statuses.get(&503), Some(&28), "{statuses:?}");
    until("a session has ended", || harness.status("all") == 201);
    harness.finish(Repeat::Repeatable);
}

#[test]
fn no_session_plays_below_minimum_rung() {
    let mut harness =
        LimitedHarness::new(1, "effect: repeatable, seats: 2", |spec| spec.boxes[0].link_kb = 300.0);
    // The link is smaller than the listed size, but the sessions must still have the minimum rung.
    for _ in 0..6 {
        harness.status("one");
        std::thread::sleep(Duration::from_millis(300));
    }
    harness.finish(Repeat::Repeatable);
    // A viewer whose own rate limit is below the minimum rung is rejected.
    let mut full_link_harness = LimitedHarness::new(1, "effect: repeatable, seats: 2", |_| {});
    let request = Wish { max_rate_kb: Some(210.0), ..Wish::new(full_link_harness.front.address(), 0, "one") };
    let requested = player::ask(&request, &mut full_link_harness.dice, &full_link_harness.recorder);
    assert_eq!(requested.response.expect("an answer").status, 503);
    full_link_harness.finish(Repeat::Repeatable);
}

#[test]
fn at_most_once_set_up_fails_instead_of_retry() {
    let mut harness = LimitedHarness::new(2, "effect: once, seats: 2", |_| {});
    harness.fleet.boxes().for_each(|(_, b)| b.fault(Fault::Fail { share: 1.0 }));
    assert_eq!(harness.status("pair"), 504);
    harness.fleet.boxes().for_each(|(_, b)| b.clear());
    std::thread::sleep(Duration::from_millis(700));
    harness.fleet.boxes().for_each(|(_, b)| b.fault(Fault::NeverAnswer));
    assert_eq!(harness.status("pair"), 504);
    let report = harness.finish(Repeat::Once);
    assert_eq!((report.further_attempts, report.failed), (0, 2));
}

#[test]
fn at_most_once_set_up_is_retried_if_it_was_not_sent() {
    let mut harness = LimitedHarness::new(2, "effect: once, seats: 2", |_| {});
    harness.fleet.fault(1, Fault::Refuse);
    for _ in 0..2 {
        assert_eq!(harness.status("pair"), 201);
    }
    harness.finish(Repeat::Once);
}

#[test]
fn retries_stay_within_budget_while_all_media_servers_fail() {
    let mut harness = LimitedHarness::new(3, "effect: repeatable, seats: 2", |_| {});
    harness.fleet.boxes().for_each(|(_, b)| b.fault(Fault::Fail { share: 1.0 }));
    for _ in 0..4 {
        let statuses = harness.concurrent_requests(20, "all");
        assert_eq!(statuses.values().sum::<usize>(), 20);
        assert!(!statuses.contains_key(&0), "a player was not answered: {statuses:?}");
    }
    let report = harness.finish(Repeat::Repeatable);
    assert!((1..=10).contains(&report.further_attempts), "{report:?}");
}

#[test]
fn warming_media_server_is_not_overloaded() {
    let mut harness = LimitedHarness::new(1, "effect: repeatable", |_| {});
    assert_eq!(harness.status("one"), 201);
    harness.fleet.fault(1, Fault::Die);
    std::thread::sleep(Duration::from_millis(200));
    harness.fleet.mend(1);
    for _ in 0..20 {
        harness.concurrent_requests(20, "one");
        std::thread::sleep(Duration::from_millis(100));
    }
    assert!(harness.fleet.get(1).is_some_and(|b| b.is_up()), "the media server exited under overload");
    until("all sessions have ended", || harness.fleet.sessions() == 0);
    let mut rules = rules(Repeat::Repeatable);
    rules.classes[0].seats = None;
    let report = check(&harness.recorder.trace(), &rules);
    assert!(report.kept(), "{report:#?}");
    assert!(report.playing > 1, "{report:?}");
}
