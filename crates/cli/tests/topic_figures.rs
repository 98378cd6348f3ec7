//! Figures of topics over sockets for `docs/figures.md`, outside CI:
//! `cargo test --release -p beechloft-cli --test topic_figures -- --ignored --nocapture --test-threads 1`.

mod support;

use std::collections::BTreeMap;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use beechloft_coordinator::FleetSettings;
use beechloft_coordinator::topics::{Follower, FollowerEvent, Publisher, WriteMode};
use beechloft_topic::{Expect, Key, Name, Outcome, PublisherSettings, Record, SubscriberSettings, Value};
use support::keepers::Fleet;

const TOPIC: &str = "figures";

fn fleet() -> Fleet {
    let more = format!("  topics: [{{name: {TOPIC}, keys: 200000, bytes: 60000000}}]\n");
    let fleet = Fleet::with_options(5, 0, &more);
    fleet.leader(5);
    fleet
}

fn settings(fleet: &Fleet) -> FleetSettings {
    let text = std::fs::read_to_string(fleet.settings(None)).expect("read");
    FleetSettings::read(&text).expect("sound")
}

fn name() -> Name {
    Name::try_from(TOPIC.to_owned()).expect("a name")
}

fn record(key: u64, value: &[u8]) -> Record {
    let key = Key::new(format!("key-{key:08}").as_bytes()).expect("a key");
    Record { key, value: Some(Value::new(value).expect("a value")) }
}

fn publisher(set: &FleetSettings) -> Publisher {
    Publisher::start(set, name(), WriteMode::Shared, PublisherSettings::default()).expect("it starts")
}

fn quantiles(mut all: Vec<Duration>) -> String {
    all.sort_unstable();
    format!("p50 {:?} p99 {:?}", all[all.len() / 2], all[all.len() * 99 / 100])
}

/// Publishes so many messages over keys by one publisher, with so many out at most; how long each took.
fn publish(
    set: &FleetSettings,
    messages: u64,
    keys: impl Fn(u64) -> u64,
    out_at_most: usize,
) -> Vec<Duration> {
    let publisher = publisher(set);
    let (mut out, mut took, mut sent) = (BTreeMap::new(), Vec::new(), 0);
    while sent < messages || !out.is_empty() {
        while sent < messages && out.len() < out_at_most {
            let began = Instant::now();
            match publisher.publish(record(keys(sent), &[b'v'; 100]), Expect::Anything) {
                Some(ticket) => drop(out.insert(ticket, began)),
                None => break,
            }
            sent += 1;
        }
        let settled = publisher.results().recv_timeout(Duration::from_secs(60)).expect("an answer");
        assert!(matches!(settled.outcome, Outcome::Written(_)), "{settled:?}");
        took.extend(out.remove(&settled.ticket).map(|began: Instant| began.elapsed()));
    }
    took
}

fn told_bytes(fleet: &Fleet) -> Vec<u64> {
    fleet.status().iter().map(|s| s["status"]["told_bytes"].as_u64().unwrap_or(0)).collect()
}

/// Starts a follower and waits until it is caught up: how long it took, and what it holds.
fn joins(set: &FleetSettings) -> (Duration, Duration, usize) {
    let (caught, waits) = mpsc::channel();
    let began = Instant::now();
    let hear = move |followed| {
        if matches!(followed, FollowerEvent::CaughtUp(_)) {
            let _ = caught.send(began.elapsed());
        }
    };
    let follower = Follower::start(set, name(), SubscriberSettings::default(), hear).expect("it starts");
    let took = waits.recv_timeout(Duration::from_secs(60)).expect("it catches up");
    (took, began.elapsed(), follower.read(|s| s.keys().count()))
}

fn late_joiner(fleet: &Fleet, what: &str) {
    let set = settings(fleet);
    let status = fleet.status();
    let live = status[0]["status"]["topics"][0]["bytes"].as_u64().unwrap_or(1);
    let held = status[0]["status"]["topics"][0]["held_bytes"].as_u64().unwrap_or(0);
    let before: u64 = told_bytes(fleet).iter().sum();
    let (took, _, keys) = joins(&set);
    let told = told_bytes(fleet).iter().sum::<u64>() - before;
    println!(
        "{what}: caught up after {took:?} with {keys} keys; {told} bytes told, {:.3} of {live} live; held {held}, {:.2} of live",
        told as f64 / live as f64,
        held as f64 / live as f64
    );
}

#[test]
#[ignore = "figures"]
fn messages_acknowledged_and_late_joiners() {
    let fleet = fleet();
    let set = settings(&fleet);
    println!("one out at a time: {}", quantiles(publish(&set, 2_000, |n| n % 100, 1)));
    for (publishers, out) in [(1, 64), (8, 64), (32, 64)] {
        let began = Instant::now();
        let each = 1_000_000 / 8 / publishers;
        let took: Vec<Duration> = std::thread::scope(|scope| {
            let one = |p: u64| {
                scope.spawn({
                    let set = &set;
                    move || publish(set, each, |n| (p * 131 + n) % 10_000, out)
                })
            };
            let all: Vec<_> = (0..publishers).map(one).collect();
            all.into_iter().flat_map(|t| t.join().expect("it ends")).collect()
        });
        let rate = took.len() as f64 / began.elapsed().as_secs_f64();
        println!("{publishers} publishers, {out} out each: {rate:.0} a second, {}", quantiles(took));
    }
    // A million in all over ten thousand keys.
    let began = Instant::now();
    std::thread::scope(|scope| {
        for p in 0..8u64 {
            let set = &set;
            scope.spawn(move || publish(set, 80_000, |n| (p * 1_250 + n % 1_250) % 10_000, 64));
        }
    });
    println!("the rest of a million: {:?}", began.elapsed());
    late_joiner(&fleet, "1,000,000 messages over 10,000 keys");
    late_joiner(&fleet, "the same again");
    std::thread::scope(|scope| {
        for p in 0..8u64 {
            let set = &set;
            scope.spawn(move || publish(set, 12_500, |n| p * 12_500 + n, 64));
        }
    });
    late_joiner(&fleet, "100,000 live keys");
    late_joiner(&fleet, "the same again");
}

fn resident(fleet: &Fleet, keeper: usize) -> u64 {
    let id = fleet.replicas[keeper].as_ref().expect("it runs").0.id();
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).expect("it runs");
    let line = text.lines().find(|l| l.starts_with("VmRSS")).expect("a size");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).expect("a number")
}

#[test]
#[ignore = "figures"]
fn three_hundred_subscribers() {
    let fleet = fleet();
    let set = settings(&fleet);
    let leader = fleet.leader(5);
    publish(&set, 20_000, |n| n % 1_000, 64);
    for alone in [false, true] {
        let mut of = set.clone();
        if alone {
            of.replicas = vec![fleet.addresses[leader]];
        }
        let before = resident(&fleet, leader);
        let followers: Vec<Follower> = (0..300)
            .map(|_| Follower::start(&of, name(), SubscriberSettings::default(), |_| {}).expect("it starts"))
            .collect();
        let complete = |f: &Follower| f.read(|s| s.complete_to());
        while followers.iter().any(|f| complete(f).is_none()) {
            std::thread::sleep(Duration::from_millis(20));
        }
        std::thread::sleep(Duration::from_secs(2));
        let (after, told, began) = (resident(&fleet, leader), told_bytes(&fleet), Instant::now());
        let publisher = publisher(&set);
        let mut sent = 0;
        while began.elapsed() < Duration::from_secs(10) {
            publisher.publish(record(sent % 1_000, &[b'v'; 100]), Expect::Anything);
            while publisher.results().try_recv().is_ok() {}
            sent += 1;
            std::thread::sleep(
                (began + Duration::from_millis(10 * sent)).saturating_duration_since(Instant::now()),
            );
        }
        let seconds = began.elapsed().as_secs_f64();
        std::thread::sleep(Duration::from_millis(300));
        let now = told_bytes(&fleet);
        let rates: Vec<String> =
            now.iter().zip(&told).map(|(n, t)| format!("{:.0}", (n - t) as f64 / seconds)).collect();
        let at = fleet.status()[leader]["status"]["topics"][0]["subscribers"].as_u64().unwrap_or(1);
        println!(
            "{}: {:.0} messages of 100 bytes a second; bytes told a second by keeper {rates:?}, leader {leader}; {at} subscribers at it, {} KiB more there, {:.1} KiB each",
            if alone { "all 300 at the leader" } else { "300 over five keepers" },
            sent as f64 / seconds,
            after.saturating_sub(before),
            after.saturating_sub(before) as f64 / at.max(1) as f64
        );
        drop(followers);
        std::thread::sleep(Duration::from_secs(2));
    }
}
