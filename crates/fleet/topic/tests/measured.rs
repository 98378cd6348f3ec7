//! Figures of `docs/topic.md`, of one thread and without sockets or disk:
//! `cargo test --release -p beechloft-topic --test measured -- --ignored --nocapture --test-threads 1`.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]

use std::sync::Arc;
use std::time::{Duration, Instant};

use beechloft_topic::{
    Epoch, Expect, Feed, Key, Layout, Name, PublisherId, Record, Session, Subscriber, SubscriberInput,
    SubscriberOutput, SubscriberSettings, Terms, Told, TopicCommand, TopicOp, TopicRequest, Topics, Value,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn name() -> Name {
    Name::try_from("measured".to_owned()).expect("a name")
}

fn begun() -> Topics {
    let mut topics = Topics::new(Layout::default());
    let terms = Terms { keys: 200_000, ..Terms::default() };
    topics.apply(&TopicCommand::Declare { topic: name(), life: 1, terms });
    let op = TopicOp::Begin { epoch: Epoch(0) };
    topics.apply(&TopicCommand::Ask(TopicRequest { publisher: PublisherId(1), topic: name(), op }));
    topics
}

/// Values of 60 to 140 bytes under keys of 11.
fn message(dice: &mut ChaCha8Rng, seq: u64, key: u64) -> (TopicCommand, usize) {
    let length = dice.random_range(60..=140);
    let key = Key::new(format!("key-{key:07}").as_bytes()).expect("a key");
    let value = Value::new(&vec![seq as u8; length]).expect("a value");
    let record = Record { key, value: Some(value) };
    let op = TopicOp::Publish { session: Session(1), seq, record, expect: Expect::Anything };
    (TopicCommand::Ask(TopicRequest { publisher: PublisherId(1), topic: name(), op }), length + 11)
}

fn live(topics: &Topics) -> f64 {
    topics.topic(&name()).expect("the topic").values().map(|m| m.body.size() as f64).sum()
}

fn held(topics: &Topics) -> f64 {
    topics.topic(&name()).expect("the topic").held_bytes() as f64
}

/// Writes; the longest that the topic ever was over its live data, looked at every so often.
fn write(topics: &mut Topics, messages: u64, key: impl Fn(&mut ChaCha8Rng, u64) -> u64) -> f64 {
    let mut dice = ChaCha8Rng::seed_from_u64(1);
    let mut most: f64 = 0.0;
    for seq in 1..=messages {
        let key = key(&mut dice, seq);
        let (command, size) = message(&mut dice, seq, key);
        topics.apply(&command);
        topics.clean(8 * size);
        if seq.is_multiple_of(20_000) && seq >= messages / 4 {
            most = most.max(held(topics) / live(topics));
        }
    }
    most
}

/// One that begins with nothing, through the bytes that would be sent: time, bytes, messages.
fn join(topics: &Topics) -> (Duration, usize, usize) {
    let settings = SubscriberSettings { window: 1 << 20, ..SubscriberSettings::default() };
    let mut subscriber = Subscriber::new(name(), settings, 1);
    let mut feed = Feed::open(None);
    feed.allow(settings.window);
    subscriber.handle(Duration::ZERO, SubscriberInput::Start);
    let topic = topics.topic(&name()).expect("the topic");
    let (began, mut bytes, mut messages) = (Instant::now(), 0, 0);
    loop {
        let said = feed.next(topic).expect("something to say");
        let told = Told { feed: 1, applied: 1, silent_ms: 0, said };
        let sent = postcard::to_allocvec(&told).expect("bytes");
        bytes += sent.len();
        let told: Told = postcard::from_bytes(&sent).expect("what was sent");
        for output in subscriber.handle(Duration::ZERO, SubscriberInput::Told(told)) {
            match output {
                SubscriberOutput::Allow { total, .. } => feed.allow(total),
                SubscriberOutput::Changed(_) => messages += 1,
                SubscriberOutput::CaughtUp(_) => return (began.elapsed(), bytes, messages),
                other => panic!("{other:?}"),
            }
        }
    }
}

fn joiner(what: &str, topics: &Topics) {
    let mut all: Vec<_> = (0..5).map(|_| join(topics)).collect();
    all.sort();
    let (took, bytes, messages) = all[2];
    let live = live(topics);
    println!(
        "{what}: caught up in {took:?} (median of 5), {messages} messages, {bytes} bytes, {:.3} of live data ({live})",
        bytes as f64 / live
    );
    assert!(bytes as f64 / live < 1.2);
}

#[test]
#[ignore = "figures"]
fn late_joiners_and_size() {
    let mut topics = begun();
    let began = Instant::now();
    let most = write(&mut topics, 1_000_000, |dice, _| dice.random_range(0..10_000));
    println!("1,000,000 messages over 10,000 keys written and cleaned in {:?}", began.elapsed());
    let size = held(&topics) / live(&topics);
    println!("size over live data: {size:.2} at the end, {most:.2} at most from a quarter on");
    assert!(most < 2.0);
    joiner("1,000,000 messages over 10,000 keys", &topics);
    let began = Instant::now();
    let chunks: Vec<Arc<[u8]>> = topics.write_chunks().into_iter().map(|c| c.bytes).collect();
    let (wrote, count) = (began.elapsed(), chunks.len());
    let began = Instant::now();
    topics.write_chunks();
    let again = began.elapsed();
    let began = Instant::now();
    let read = Topics::read_chunks(&chunks, Layout::default()).expect("topics");
    println!("snapshot: {count} chunks, {wrote:?}, again {again:?}, read {:?}", began.elapsed());
    assert!(read == topics);

    let mut topics = begun();
    let most = write(
        &mut topics,
        400_000,
        |dice, seq| if seq <= 100_000 { seq } else { dice.random_range(1..=100_000) },
    );
    println!(
        "100,000 keys: size over live data {:.2} at the end, {most:.2} at most",
        held(&topics) / live(&topics)
    );
    joiner("100,000 live keys", &topics);
}

fn quantiles(mut all: Vec<Duration>) -> (Duration, Duration, Duration) {
    all.sort();
    let at = |q: f64| all[((all.len() - 1) as f64 * q) as usize];
    (at(0.5), at(0.99), at(0.999))
}

/// Each append's time, and with the cleaner what it does then: whoever appends next waits for that. It works after each `every`
/// appends, for four bytes for each that was appended.
fn appends(every: Option<u64>) -> (Duration, Duration, Duration) {
    let mut topics = begun();
    let mut dice = ChaCha8Rng::seed_from_u64(2);
    let (mut all, mut bytes) = (Vec::new(), 0);
    for seq in 1..=300_000 {
        let key = dice.random_range(0..10_000);
        let (command, size) = message(&mut dice, seq, key);
        bytes += 4 * size;
        let began = Instant::now();
        topics.apply(&command);
        if every.is_some_and(|every| seq.is_multiple_of(every)) {
            topics.clean(std::mem::take(&mut bytes));
        }
        if seq > 100_000 {
            all.push(began.elapsed());
        }
    }
    let size = held(&topics) / live(&topics);
    assert!(every.is_none() || size < 2.0, "{size}");
    quantiles(all)
}

#[test]
#[ignore = "figures"]
fn appends_beside_the_cleaner() {
    for _ in 0..3 {
        let without = appends(None);
        println!("append p50, p99, p99.9: {without:?} without the cleaner");
        for every in [1, 16, 256] {
            let with = appends(Some(every));
            let times = with.1.as_secs_f64() / without.1.as_secs_f64();
            println!("  {with:?} with it after each {every}: p99 times {times:.2}");
        }
    }
}

#[test]
#[ignore = "figures"]
fn many_subscribers() {
    println!("a feed: {} bytes, nothing on the heap", std::mem::size_of::<Feed>());
    let mut topics = begun();
    write(&mut topics, 20_000, |dice, _| dice.random_range(0..1_000));
    let mut feeds: Vec<Feed> = (0..300)
        .map(|_| {
            let mut feed = Feed::open(None);
            feed.allow(u64::MAX);
            while feed.next(topics.topic(&name()).expect("the topic")).is_some() {}
            feed
        })
        .collect();
    let mut dice = ChaCha8Rng::seed_from_u64(3);
    let (began, mut bytes) = (Instant::now(), 0);
    for seq in 20_001..=21_000 {
        topics.apply(&message(&mut dice, seq, seq % 1_000).0);
        for feed in &mut feeds {
            while let Some(said) = feed.next(topics.topic(&name()).expect("the topic")) {
                let told = Told { feed: 1, applied: seq, silent_ms: 0, said };
                bytes += postcard::to_allocvec(&told).expect("bytes").len();
            }
        }
    }
    let each = began.elapsed() / 300_000;
    println!("300 that follow, 1,000 messages: {each:?} and {} bytes for each of each", bytes / 300_000);
}
