//! Measurements of topics over sockets for `docs/figures.md`, not part of CI:
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

/// Starts a coordinator of five replicas with the topic.
fn start_fleet() -> Fleet {
    let more = format!("  topics: [{{name: {TOPIC}, keys: 200000, bytes: 60000000}}]\n");
    let fleet = Fleet::with_options(5, 0, &more);
    fleet.leader(5);
    fleet
}

/// Returns settings for clients.
fn client_settings(fleet: &Fleet) -> FleetSettings {
    let text = std::fs::read_to_string(fleet.settings(None)).expect("read the settings");
    FleetSettings::read(&text).expect("valid settings")
}

fn topic_name() -> Name {
    Name::try_from(TOPIC.to_owned()).expect("valid name")
}

fn record(key: u64, value: &[u8]) -> Record {
    let key = Key::new(format!("key-{key:08}").as_bytes()).expect("valid key");
    Record { key, value: Some(Value::new(value).expect("valid value")) }
}

fn start_publisher(settings: &FleetSettings) -> Publisher {
    Publisher::start(settings, topic_name(), WriteMode::Shared, PublisherSettings::default())
        .expect("start a publisher")
}

fn format_quantiles(mut durations: Vec<Duration>) -> String {
    durations.sort_unstable();
    let (p50, p99) = (durations[durations.len() / 2], durations[durations.len() * 99 / 100]);
    format!("p50 {p50:?} p99 {p99:?}")
}

/// Publishes messages by one publisher with a maximum number of unacknowledged ones. `keys` returns the key of each message.
/// Returns the latency of each.
fn publish(
    settings: &FleetSettings,
    messages: u64,
    keys: impl Fn(u64) -> u64,
    max_pending: usize,
) -> Vec<Duration> {
    let publisher = start_publisher(settings);
    let (mut pending, mut latencies, mut sent) = (BTreeMap::new(), Vec::new(), 0);
    while sent < messages || !pending.is_empty() {
        while sent < messages && pending.len() < max_pending {
            let sent_at = Instant::now();
            match publisher.publish(record(keys(sent), &[b'v'; 100]), Expect::Anything) {
                Some(ticket) => drop(pending.insert(ticket, sent_at)),
                None => break,
            }
            sent += 1;
        }
        let result = publisher.results().recv_timeout(Duration::from_secs(60)).expect("result in time");
        assert!(matches!(result.outcome, Outcome::Written(_)), "{result:?}");
        latencies.extend(pending.remove(&result.ticket).map(|sent_at: Instant| sent_at.elapsed()));
    }
    latencies
}

/// Bytes that each replica has sent to subscribers.
fn sent_bytes(fleet: &Fleet) -> Vec<u64> {
    fleet.status().iter().map(|line| line["status"]["told_bytes"].as_u64().unwrap_or(0)).collect()
}

/// Starts a follower and waits until it has caught up. Returns the time that this took and the number of its keys.
fn catch_up(settings: &FleetSettings) -> (Duration, usize) {
    let (caught_up, caught_up_after) = mpsc::channel();
    let start = Instant::now();
    let on_event = move |event| {
        if matches!(event, FollowerEvent::CaughtUp(_)) {
            let _ = caught_up.send(start.elapsed());
        }
    };
    let follower = Follower::start(settings, topic_name(), SubscriberSettings::default(), on_event)
        .expect("start a follower");
    let elapsed = caught_up_after.recv_timeout(Duration::from_secs(60)).expect("catch up in time");
    (elapsed, follower.read(|state| state.keys().count()))
}

/// Measures a follower that joins late, and prints the result.
fn measure_late_follower(fleet: &Fleet, title: &str) {
    let settings = client_settings(fleet);
    let status = fleet.status();
    let live = status[0]["status"]["topics"][0]["bytes"].as_u64().unwrap_or(1);
    let memory = status[0]["status"]["topics"][0]["held_bytes"].as_u64().unwrap_or(0);
    let before: u64 = sent_bytes(fleet).iter().sum();
    let (elapsed, keys) = catch_up(&settings);
    let sent = sent_bytes(fleet).iter().sum::<u64>() - before;
    println!(
        "{title}: caught up after {elapsed:?} with {keys} keys; {sent} bytes sent, {:.3} of {live} live; in memory {memory}, {:.2} of live",
        sent as f64 / live as f64,
        memory as f64 / live as f64
    );
}

#[test]
#[ignore = "measurement"]
fn publish_rates_and_late_followers() {
    let fleet = start_fleet();
    let settings = client_settings(&fleet);
    println!("one pending at a time: {}", format_quantiles(publish(&settings, 2_000, |n| n % 100, 1)));
    for (publishers, max_pending) in [(1, 64), (8, 64), (32, 64)] {
        let start = Instant::now();
        let each = 1_000_000 / 8 / publishers;
        let latencies: Vec<Duration> = std::thread::scope(|scope| {
            let spawn_publisher = |p: u64| {
                scope.spawn({
                    let settings = &settings;
                    move || publish(settings, each, |n| (p * 131 + n) % 10_000, max_pending)
                })
            };
            let all: Vec<_> = (0..publishers).map(spawn_publisher).collect();
            all.into_iter().flat_map(|thread| thread.join().expect("publisher without panic")).collect()
        });
        let rate = latencies.len() as f64 / start.elapsed().as_secs_f64();
        println!(
            "{publishers} publishers, {max_pending} pending each: {rate:.0} a second, {}",
            format_quantiles(latencies)
        );
    }
    // The rest of a million messages over ten thousand keys.
    let start = Instant::now();
    std::thread::scope(|scope| {
        for p in 0..8u64 {
            let settings = &settings;
            scope.spawn(move || publish(settings, 80_000, |n| (p * 1_250 + n % 1_250) % 10_000, 64));
        }
    });
    println!("the rest of a million: {:?}", start.elapsed());
    measure_late_follower(&fleet, "1,000,000 messages over 10,000 keys");
    measure_late_follower(&fleet, "the same again");
    std::thread::scope(|scope| {
        for p in 0..8u64 {
            let settings = &settings;
            scope.spawn(move || publish(settings, 12_500, |n| p * 12_500 + n, 64));
        }
    });
    measure_late_follower(&fleet, "100,000 live keys");
    measure_late_follower(&fleet, "the same again");
}

/// Resident memory of a replica in KiB.
fn resident_kib(fleet: &Fleet, replica: usize) -> u64 {
    let id = fleet.replicas[replica].as_ref().expect("running replica").0.id();
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).expect("read the process status");
    let line = text.lines().find(|line| line.starts_with("VmRSS")).expect("line with the size");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).expect("number")
}

#[test]
#[ignore = "measurement"]
fn three_hundred_subscribers() {
    let fleet = start_fleet();
    let settings = client_settings(&fleet);
    let leader = fleet.leader(5);
    publish(&settings, 20_000, |n| n % 1_000, 64);
    for leader_only in [false, true] {
        let mut follower_settings = settings.clone();
        if leader_only {
            follower_settings.replicas = vec![fleet.addresses[leader]];
        }
        let before = resident_kib(&fleet, leader);
        let followers: Vec<Follower> = (0..300)
            .map(|_| {
                Follower::start(&follower_settings, topic_name(), SubscriberSettings::default(), |_| {})
                    .expect("start a follower")
            })
            .collect();
        let complete_to = |follower: &Follower| follower.read(|state| state.complete_to());
        while followers.iter().any(|follower| complete_to(follower).is_none()) {
            std::thread::sleep(Duration::from_millis(20));
        }
        std::thread::sleep(Duration::from_secs(2));
        let (after, sent_before, start) = (resident_kib(&fleet, leader), sent_bytes(&fleet), Instant::now());
        let publisher = start_publisher(&settings);
        let mut sent = 0;
        while start.elapsed() < Duration::from_secs(10) {
            publisher.publish(record(sent % 1_000, &[b'v'; 100]), Expect::Anything);
            while publisher.results().try_recv().is_ok() {}
            sent += 1;
            std::thread::sleep(
                (start + Duration::from_millis(10 * sent)).saturating_duration_since(Instant::now()),
            );
        }
        let seconds = start.elapsed().as_secs_f64();
        std::thread::sleep(Duration::from_millis(300));
        let sent_after = sent_bytes(&fleet);
        let rates: Vec<String> = sent_after
            .iter()
            .zip(&sent_before)
            .map(|(end, begin)| format!("{:.0}", (end - begin) as f64 / seconds))
            .collect();
        let subscribers = fleet.status()[leader]["status"]["topics"][0]["subscribers"].as_u64().unwrap_or(1);
        println!(
            "{}: {:.0} messages of 100 bytes a second; bytes sent a second by replica {rates:?}, leader {leader}; {subscribers} subscribers at it, {} KiB more there, {:.1} KiB each",
            if leader_only { "all 300 at the leader" } else { "300 over five replicas" },
            sent as f64 / seconds,
            after.saturating_sub(before),
            after.saturating_sub(before) as f64 / subscribers.max(1) as f64
        );
        drop(followers);
        std::thread::sleep(Duration::from_secs(2));
    }
}
