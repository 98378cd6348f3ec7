//! Compares a topic with a map while the cleaner is interrupted at every step. A snapshot must restore an equal topic, answers
//! must not depend on the layout, and messages that a reader has must not change.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use beechloft_topic::{
    Epoch, Expect, Feed, FeedItem, Key, Message, Offset, PublisherId, Record, Session, TopicAnswer,
    TopicCommand, TopicConfig, TopicOp, TopicRequest, Topics, Value,
};
use proptest::prelude::*;
use support::{RETENTION_MS, SMALL, SPARSE, key, name};

#[derive(Debug, Clone)]
enum Step {
    Put(usize, u8, u8),
    Delete(usize),
    /// Moves the horizon to this distance before the head.
    Horizon(u64),
    Clean(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..8usize, any::<u8>(), 0..40u8).prop_map(|(k, v, n)| Step::Put(k, v, n)),
        2 => (0..8usize).prop_map(Step::Delete),
        1 => (0..20u64).prop_map(Step::Horizon),
        6 => (1..200usize).prop_map(Step::Clean),
    ]
}

fn topics_with_session(layout: beechloft_topic::Layout) -> Topics {
    let mut topics = Topics::new(layout);
    let config = TopicConfig { retention_ms: RETENTION_MS, ..TopicConfig::default() };
    topics.apply(&TopicCommand::Declare { topic: name(), incarnation: 1, config });
    let op = TopicOp::Begin { epoch: Epoch(0) };
    topics.apply(&TopicCommand::Request(TopicRequest { publisher: PublisherId(1), topic: name(), op }));
    topics
}

fn reload(topics: &Topics, layout: beechloft_topic::Layout) -> Topics {
    let chunks: Vec<Arc<[u8]>> = topics.write_chunks().into_iter().map(|c| c.bytes).collect();
    Topics::read_chunks(&chunks, layout).expect("valid snapshot")
}

fn values(topics: &Topics) -> BTreeMap<Key, (Offset, Vec<u8>)> {
    let topic = topics.topic(&name()).expect("declared topic");
    let entry = |m: Message| {
        (Key::new(m.key()).expect("valid key"), (m.offset, m.value().unwrap_or_default().to_vec()))
    };
    topic.values().map(entry).collect()
}

/// Returns all messages that a feed sends to a new subscriber.
fn received_messages(topics: &Topics) -> Vec<Message> {
    let topic = topics.topic(&name()).expect("declared topic");
    let mut feed = Feed::open(None);
    feed.set_credit(u64::MAX);
    let mut messages = Vec::new();
    while let Some(item) = feed.next(topic) {
        if let FeedItem::Batch(batch) = item {
            messages.extend(batch.messages);
        }
    }
    messages
}

fn check_steps(steps: &[Step]) {
    // The topics are cleaned in single steps, cleaned in larger steps and reloaded, and not cleaned.
    let (mut cleaned, mut reloaded, mut uncleaned) =
        (topics_with_session(SMALL), topics_with_session(SPARSE), topics_with_session(SMALL));
    let mut expected: BTreeMap<Key, (Offset, Vec<u8>)> = BTreeMap::new();
    let (mut seq, mut head) = (0, 0u64);
    let mut reader_copies: Vec<(Vec<Message>, Vec<Message>)> = Vec::new();
    for (n, step) in steps.iter().enumerate() {
        let command = match step {
            Step::Clean(budget) => {
                for _ in 0..*budget {
                    // The cleaner is interrupted after every step.
                    cleaned.clean(1);
                }
                reloaded.clean(*budget * 8);
                if n % 3 == 0 {
                    reloaded = reload(&reloaded, SPARSE);
                }
                let read = reload(&cleaned, SMALL);
                assert_eq!(read, cleaned);
                assert_eq!(values(&read), expected);
                // The restored topic has the same segments and thus the same chunks.
                assert_eq!(read.write_chunks(), cleaned.write_chunks());
                continue;
            }
            Step::Horizon(before) => {
                TopicCommand::Horizon { topic: name(), to: Offset(head.saturating_sub(*before)) }
            }
            Step::Put(k, byte, length) => {
                seq += 1;
                let value = vec![*byte; usize::from(*length)];
                expected.insert(key(*k), (Offset(head), value.clone()));
                publish(seq, *k, Some(&value))
            }
            Step::Delete(k) => {
                seq += 1;
                publish(seq, *k, None)
            }
        };
        let answers = [&mut cleaned, &mut reloaded, &mut uncleaned].map(|t| t.apply(&command));
        assert_eq!(answers[0], answers[1]);
        assert_eq!(answers[0], answers[2]);
        if let Some(TopicAnswer::Written(offset)) = answers[0].0 {
            assert_eq!(offset, Offset(head));
            head += 1;
            if let Step::Delete(k) = step {
                assert!(expected.remove(&key(*k)).is_some());
            }
        }
        assert_eq!(values(&cleaned), expected);
        if n % 5 == 0 {
            let messages = received_messages(&cleaned);
            let copy =
                messages.iter().map(|m| postcard::from_bytes(&postcard::to_allocvec(m).expect("encodable")));
            let copy = copy.collect::<Result<Vec<Message>, _>>().expect("messages");
            reader_copies.push((messages, copy));
        }
    }
    while cleaned.clean(64) {}
    assert!(cleaned == uncleaned && reloaded == uncleaned);
    assert_eq!(values(&cleaned), expected);
    for (messages, copy) in reader_copies {
        assert_eq!(messages, copy, "messages of a reader changed");
    }
    // Without work left, at most a third of the bytes outside the tail is garbage. The margin allows for segment headers.
    let topic = cleaned.topic(&name()).expect("declared topic");
    let bound = 2 * topic.bytes() as usize + SMALL.max_tail_bytes + 2 * SMALL.segment_bytes;
    assert!((topic.stored_bytes() as usize) <= bound, "{} of {bound}", topic.stored_bytes());
}

fn publish(seq: u64, k: usize, value: Option<&[u8]>) -> TopicCommand {
    let record = Record { key: key(k), value: value.map(|v| Value::new(v).expect("valid value")) };
    let op = TopicOp::Publish { session: Session(1), seq, record, expect: Expect::Anything };
    TopicCommand::Request(TopicRequest { publisher: PublisherId(1), topic: name(), op })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn matches_map_at_every_step_of_cleaner(steps in proptest::collection::vec(step(), 1..160)) {
        check_steps(&steps);
    }

    #[test]
    fn rejects_corrupted_chunks_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200), at in 0..400usize) {
        let mut topics = topics_with_session(SMALL);
        for seq in 1..30 {
            topics.apply(&publish(seq, seq as usize % 5, Some(&[7; 20])));
        }
        let mut chunks: Vec<Arc<[u8]>> = topics.write_chunks().into_iter().map(|c| c.bytes).collect();
        let n = at % chunks.len();
        let mut corrupted = chunks[n].to_vec();
        let from = at.min(corrupted.len());
        corrupted.splice(from..(from + bytes.len() / 2).min(corrupted.len()), bytes.iter().copied());
        chunks[n] = corrupted.into();
        if let Ok(read) = Topics::read_chunks(&chunks, SMALL) {
            prop_assert!(n == 0 || read == topics);
        }
        let chunk: Arc<[u8]> = bytes.into();
        let _ = Topics::read_chunks(&[chunk], SMALL);
    }
}

/// Not part of CI: `cargo test --release -p beechloft-topic --test cleaning -- --ignored --nocapture`.
#[test]
#[ignore = "5,000 cases take minutes"]
fn matches_map_in_long_runs() {
    let config = ProptestConfig { cases: 5_000, failure_persistence: None, ..ProptestConfig::default() };
    let began = std::time::Instant::now();
    let mut runner = proptest::test_runner::TestRunner::new(config);
    let steps = proptest::collection::vec(step(), 1..400);
    runner
        .run(&steps, |steps| {
            check_steps(&steps);
            Ok(())
        })
        .expect("no mismatch");
    println!("5,000 cases of up to 400 steps, {:?}", began.elapsed());
}
