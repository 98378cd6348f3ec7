//! Measurements for `docs/topic.md`, on one thread and without sockets or disk: `cargo test --release -p beechloft-topic
//! --test measured -- --ignored --nocapture --test-threads 1`.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]

use std::sync::Arc;
use std::time::{Duration, Instant};

use beechloft_topic::{
    Delivery, Epoch, Expect, Feed, Key, Layout, Name, PublisherId, Record, Session, Subscriber,
    SubscriberInput, SubscriberOutput, SubscriberSettings, TopicCommand, TopicConfig, TopicOp, TopicRequest,
    Topics, Value,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn name() -> Name {
    Name::try_from("measured".to_owned()).expect("valid name")
}

fn topics_with_session() -> Topics {
    let mut topics = Topics::new(Layout::default());
    let config = TopicConfig { keys: 200_000, ..TopicConfig::default() };
    topics.apply(&TopicCommand::Declare { topic: name(), incarnation: 1, config });
    let op = TopicOp::Begin { epoch: Epoch(0) };
    topics.apply(&TopicCommand::Request(TopicRequest { publisher: PublisherId(1), topic: name(), op }));
    topics
}

/// Returns the command that writes a value of 60 to 140 bytes with a key of 11 bytes, and their size.
fn message(rng: &mut ChaCha8Rng, seq: u64, key: u64) -> (TopicCommand, usize) {
    let length = rng.random_range(60..=140);
    let key = Key::new(format!("key-{key:07}").as_bytes()).expect("valid key");
    let value = Value::new(&vec![seq as u8; length]).expect("valid value");
    let record = Record { key, value: Some(value) };
    let op = TopicOp::Publish { session: Session(1), seq, record, expect: Expect::Anything };
    (TopicCommand::Request(TopicRequest { publisher: PublisherId(1), topic: name(), op }), length + 11)
}

fn live_bytes(topics: &Topics) -> f64 {
    topics.topic(&name()).expect("declared topic").values().map(|m| m.body.size() as f64).sum()
}

fn stored_bytes(topics: &Topics) -> f64 {
    topics.topic(&name()).expect("declared topic").stored_bytes() as f64
}

/// Writes messages. Returns the maximum ratio of stored to live bytes, sampled regularly.
fn write(topics: &mut Topics, messages: u64, key: impl Fn(&mut ChaCha8Rng, u64) -> u64) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut max_ratio: f64 = 0.0;
    for seq in 1..=messages {
        let key = key(&mut rng, seq);
        let (command, size) = message(&mut rng, seq, key);
        topics.apply(&command);
        topics.clean(8 * size);
        if seq.is_multiple_of(20_000) && seq >= messages / 4 {
            max_ratio = max_ratio.max(stored_bytes(topics) / live_bytes(topics));
        }
    }
    max_ratio
}

/// Brings a new subscriber up to date with encoded deliveries. Returns the time, the bytes and the number of messages.
fn catch_up(topics: &Topics) -> (Duration, usize, usize) {
    let settings = SubscriberSettings { window_bytes: 1 << 20, ..SubscriberSettings::default() };
    let mut subscriber = Subscriber::new(name(), settings, 1);
    let mut feed = Feed::open(None);
    feed.set_credit(settings.window_bytes);
    subscriber.handle(Duration::ZERO, SubscriberInput::Start);
    let topic = topics.topic(&name()).expect("declared topic");
    let (began, mut bytes, mut messages) = (Instant::now(), 0, 0);
    loop {
        let item = feed.next(topic).expect("an item");
        let delivery = Delivery { subscription: 1, applied_index: 1, staleness_ms: 0, item };
        let sent = postcard::to_allocvec(&delivery).expect("encodable");
        bytes += sent.len();
        let delivery: Delivery = postcard::from_bytes(&sent).expect("a valid delivery");
        for output in subscriber.handle(Duration::ZERO, SubscriberInput::Delivery(delivery)) {
            match output {
                SubscriberOutput::Credit { total_bytes, .. } => feed.set_credit(total_bytes),
                SubscriberOutput::Updated(_) => messages += 1,
                SubscriberOutput::CaughtUp(_) => return (began.elapsed(), bytes, messages),
                other => panic!("{other:?}"),
            }
        }
    }
}

fn report_catch_up(label: &str, topics: &Topics) {
    let mut all: Vec<_> = (0..5).map(|_| catch_up(topics)).collect();
    all.sort();
    let (took, bytes, messages) = all[2];
    let live = live_bytes(topics);
    println!(
        "{label}: caught up in {took:?} (median of 5), {messages} messages, {bytes} bytes, {:.3} of live data ({live})",
        bytes as f64 / live
    );
    assert!(bytes as f64 / live < 1.2);
}

#[test]
#[ignore = "measurement"]
fn catch_up_and_size() {
    let mut topics = topics_with_session();
    let began = Instant::now();
    let max_ratio = write(&mut topics, 1_000_000, |rng, _| rng.random_range(0..10_000));
    println!("1,000,000 messages over 10,000 keys written and cleaned in {:?}", began.elapsed());
    let size = stored_bytes(&topics) / live_bytes(&topics);
    println!("size over live data: {size:.2} at the end, {max_ratio:.2} at most from a quarter on");
    assert!(max_ratio < 2.0);
    report_catch_up("1,000,000 messages over 10,000 keys", &topics);
    let began = Instant::now();
    let chunks: Vec<Arc<[u8]>> = topics.write_chunks().into_iter().map(|c| c.bytes).collect();
    let (wrote, count) = (began.elapsed(), chunks.len());
    let began = Instant::now();
    topics.write_chunks();
    let repeated = began.elapsed();
    let began = Instant::now();
    let read = Topics::read_chunks(&chunks, Layout::default()).expect("valid snapshot");
    println!("snapshot: {count} chunks, {wrote:?}, repeated {repeated:?}, read {:?}", began.elapsed());
    assert!(read == topics);

    let mut topics = topics_with_session();
    let max_ratio =
        write(
            &mut topics,
            400_000,
            |rng, seq| if seq <= 100_000 { seq } else { rng.random_range(1..=100_000) },
        );
    println!(
        "100,000 keys: size over live data {:.2} at the end, {max_ratio:.2} at most",
        stored_bytes(&topics) / live_bytes(&topics)
    );
    report_catch_up("100,000 live keys", &topics);
}

fn quantiles(mut all: Vec<Duration>) -> (Duration, Duration, Duration) {
    all.sort();
    let at = |q: f64| all[((all.len() - 1) as f64 * q) as usize];
    (at(0.5), at(0.99), at(0.999))
}

/// Measures the time of each append, including the cleaning work that delays the next append. The cleaner runs after each
/// `every` appends for four times their bytes.
fn append_latencies(every: Option<u64>) -> (Duration, Duration, Duration) {
    let mut topics = topics_with_session();
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let (mut all, mut bytes) = (Vec::new(), 0);
    for seq in 1..=300_000 {
        let key = rng.random_range(0..10_000);
        let (command, size) = message(&mut rng, seq, key);
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
    let size = stored_bytes(&topics) / live_bytes(&topics);
    assert!(every.is_none() || size < 2.0, "{size}");
    quantiles(all)
}

#[test]
#[ignore = "measurement"]
fn append_latency_with_cleaner() {
    for _ in 0..3 {
        let without = append_latencies(None);
        println!("append p50, p99, p99.9: {without:?} without the cleaner");
        for every in [1, 16, 256] {
            let with = append_latencies(Some(every));
            let times = with.1.as_secs_f64() / without.1.as_secs_f64();
            println!("  {with:?} with it after each {every}: p99 times {times:.2}");
        }
    }
}

#[test]
#[ignore = "measurement"]
fn many_subscribers() {
    println!("a feed: {} bytes, nothing on the heap", std::mem::size_of::<Feed>());
    let mut topics = topics_with_session();
    write(&mut topics, 20_000, |rng, _| rng.random_range(0..1_000));
    let mut feeds: Vec<Feed> = (0..300)
        .map(|_| {
            let mut feed = Feed::open(None);
            feed.set_credit(u64::MAX);
            while feed.next(topics.topic(&name()).expect("declared topic")).is_some() {}
            feed
        })
        .collect();
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let (began, mut bytes) = (Instant::now(), 0);
    for seq in 20_001..=21_000 {
        topics.apply(&message(&mut rng, seq, seq % 1_000).0);
        for feed in &mut feeds {
            while let Some(item) = feed.next(topics.topic(&name()).expect("declared topic")) {
                let delivery = Delivery { subscription: 1, applied_index: seq, staleness_ms: 0, item };
                bytes += postcard::to_allocvec(&delivery).expect("encodable").len();
            }
        }
    }
    let each = began.elapsed() / 300_000;
    println!("300 that follow, 1,000 messages: {each:?} and {} bytes for each of each", bytes / 300_000);
}
