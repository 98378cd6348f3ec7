//! Publisher, topic, feed and subscriber together, without faults.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]

use std::sync::Arc;
use std::time::Duration;

use beechloft_topic::{
    Batch, Delivery, Expect, Feed, FeedItem, Key, Layout, Message, Name, Offset, Outcome, ProtocolViolation,
    Publisher, PublisherId, PublisherInput, PublisherOutput, PublisherSettings, PublisherTicket, Record,
    Refusal, Subscriber, SubscriberInput, SubscriberOutput, SubscriberSettings, TopicAnswer, TopicCommand,
    TopicConfig, TopicResponse, Topics, Value,
};

fn name() -> Name {
    Name::try_from("fleet/limits".to_owned()).expect("valid name")
}

fn record(key: &str, value: Option<&str>) -> Record {
    let value = value.map(|v| Value::new(v.as_bytes()).expect("valid value"));
    Record { key: Key::new(key.as_bytes()).expect("valid key"), value }
}

fn topics() -> Topics {
    let mut topics = Topics::new(Layout::default());
    let declare = TopicCommand::Declare { topic: name(), incarnation: 7, config: TopicConfig::default() };
    assert!(topics.apply(&declare).1.is_some());
    topics
}

/// Exchanges requests and answers until the publisher has no more output.
fn publish(topics: &mut Topics, publisher: &mut Publisher, input: PublisherInput) -> Vec<Outcome> {
    let now = Duration::from_secs(1);
    let (mut outcomes, mut inputs) = (Vec::new(), vec![input]);
    while let Some(input) = inputs.pop() {
        for output in publisher.handle(now, input) {
            match output {
                PublisherOutput::Send(request) => {
                    let answer: TopicAnswer =
                        topics.apply(&TopicCommand::Request(request.clone())).0.expect("an answer");
                    inputs.push(PublisherInput::Response(TopicResponse::to(&request, answer)));
                }
                PublisherOutput::Settled(_, outcome) => outcomes.push(outcome),
                PublisherOutput::Fenced(epoch) => panic!("fenced by {epoch:?}"),
            }
        }
    }
    outcomes
}

fn follow(
    topics: &Topics,
    feed: &mut Feed,
    subscription: u64,
    subscriber: &mut Subscriber,
) -> Vec<SubscriberOutput> {
    let mut outputs = Vec::new();
    while let Some(item) = topics.topic(&name()).and_then(|t| feed.next(t)) {
        let delivery = Delivery { subscription, applied_index: 0, staleness_ms: 0, item };
        for output in subscriber.handle(Duration::from_secs(2), SubscriberInput::Delivery(delivery)) {
            if let SubscriberOutput::Credit { total_bytes, .. } = output {
                feed.set_credit(total_bytes);
            } else {
                outputs.push(output);
            }
        }
    }
    outputs
}

#[test]
fn delivers_published_messages_and_restores_snapshot() {
    let mut topics = topics();
    let id = PublisherId(5);
    let mut publisher = Publisher::shared(id, name(), PublisherSettings::default(), 1);
    let mut write = |topics: &mut Topics, n, record, expect| {
        let input = PublisherInput::Publish { ticket: PublisherTicket(n), record, expect };
        publish(topics, &mut publisher, input)
    };
    assert!(
        matches!(write(&mut topics, 1, record("a", Some("1")), Expect::Absent)[..], [Outcome::Written(o)] if o.0 == 0)
    );
    assert!(
        matches!(write(&mut topics, 2, record("b", Some("2")), Expect::Anything)[..], [Outcome::Written(o)] if o.0 == 1)
    );
    let refused = write(&mut topics, 3, record("a", Some("3")), Expect::Absent);
    assert!(matches!(refused[..], [Outcome::Refused(Refusal::OffsetMismatch(Some(o)))] if o.0 == 0));
    assert!(matches!(write(&mut topics, 4, record("a", None), Expect::Anything)[..], [Outcome::Written(_)]));
    assert_eq!(
        write(&mut topics, 5, record("a", None), Expect::Anything),
        [Outcome::Refused(Refusal::NoKey)]
    );

    let mut subscriber = Subscriber::new(name(), SubscriberSettings::default(), 1);
    let outputs = subscriber.handle(Duration::from_secs(1), SubscriberInput::Start);
    let [SubscriberOutput::Subscribe { subscription, position: None, credit_bytes, .. }] = outputs[..] else {
        panic!("{outputs:?}")
    };
    let mut feed = Feed::open(None);
    feed.set_credit(credit_bytes);
    let outputs = follow(&topics, &mut feed, subscription, &mut subscriber);
    assert!(matches!(outputs[..], [SubscriberOutput::Updated(_), SubscriberOutput::CaughtUp(o)] if o.0 == 3));

    // A restored topic is equal and has equal chunks.
    let chunks = topics.write_chunks();
    let bytes: Vec<Arc<[u8]>> = chunks.iter().map(|c| c.bytes.clone()).collect();
    let mut restored = Topics::read_chunks(&bytes, Layout::default()).expect("valid snapshot");
    assert_eq!((&restored, restored.write_chunks()), (&topics, chunks));
    write(&mut restored, 6, record("b", None), Expect::At(Offset(1)));
    let outputs = follow(&restored, &mut feed, subscription, &mut subscriber);
    assert!(matches!(&outputs[..], [SubscriberOutput::Deleted(k, _)] if k.bytes() == b"b"), "{outputs:?}");
    assert_eq!(subscriber.complete_to().map(|o| o.0), Some(4));
    let topic = restored.topic(&name()).expect("valid topic");
    assert_eq!((topic.keys(), topic.head().0, feed.next(topic)), (0, 4, None::<FeedItem>));
}

#[test]
fn corrupted_snapshot_does_not_panic() {
    let topics = topics();
    let chunks: Vec<Arc<[u8]>> = topics.write_chunks().into_iter().map(|c| c.bytes).collect();
    assert!(Topics::read_chunks(&chunks[..1], Layout::default()).is_err());
    let mut extended = chunks.clone();
    extended.push(vec![1, 2].into());
    assert!(Topics::read_chunks(&extended, Layout::default()).is_err());
    for (n, chunk) in chunks.iter().enumerate() {
        for at in 0..chunk.len() {
            let mut corrupted = chunks.clone();
            let mut bytes = chunk.to_vec();
            bytes[at] ^= 0x41;
            corrupted[n] = bytes.into();
            // Both an error and a topic with another configuration are possible.
            let _ = Topics::read_chunks(&corrupted, Layout::default());
        }
    }
    assert_eq!(Topics::read_chunks(&[], Layout::default()), Ok(Topics::default()));
}

fn message(offset: u64, key: &str) -> Message {
    // The body is created from its encoding.
    let mut body = vec![key.len() as u8, 0];
    body.extend(key.as_bytes());
    let bytes = postcard::to_allocvec(&(offset, body)).expect("encodable");
    postcard::from_bytes(&bytes).expect("valid message")
}

#[test]
fn rejects_invalid_batch_and_leaves_replica() {
    let o = Offset;
    let batch = |from, to, head, messages| Batch { from: o(from), to: o(to), head: o(head), messages };
    let invalid = [
        (batch(3, 4, 9, vec![]), ProtocolViolation::NotContiguous { from: o(3), expected: o(2) }),
        (batch(0, 4, 9, vec![]), ProtocolViolation::NotContiguous { from: o(0), expected: o(2) }),
        (batch(2, 4, 4, vec![]), ProtocolViolation::LaggingReplica { head: o(4), required: o(5) }),
        (batch(2, 9, 8, vec![]), ProtocolViolation::InvalidOffsets),
        (batch(2, 1, 8, vec![]), ProtocolViolation::InvalidOffsets),
        (batch(2, 6, 8, vec![message(4, "x"), message(3, "y")]), ProtocolViolation::InvalidOffsets),
        (batch(2, 6, 8, vec![message(4, "x"), message(4, "y")]), ProtocolViolation::InvalidOffsets),
        (batch(2, 6, 8, vec![message(6, "x")]), ProtocolViolation::InvalidOffsets),
        (batch(2, 6, 8, vec![message(1, "x")]), ProtocolViolation::InvalidOffsets),
    ];
    for (invalid_batch, violation) in invalid {
        let mut subscriber = Subscriber::new(name(), SubscriberSettings::default(), 1);
        let deliver = |subscriber: &mut Subscriber, subscription, item| {
            let delivery = Delivery { subscription, applied_index: 0, staleness_ms: 0, item };
            subscriber.handle(Duration::from_secs(9), SubscriberInput::Delivery(delivery))
        };
        assert!(deliver(&mut subscriber, 1, FeedItem::Heartbeat).is_empty(), "no subscription yet");
        subscriber.handle(Duration::from_secs(9), SubscriberInput::Start);
        let early = deliver(&mut subscriber, 1, FeedItem::Batch(batch(0, 0, 0, vec![])));
        assert!(early.contains(&SubscriberOutput::ProtocolViolation(ProtocolViolation::BatchBeforeResync)));
        subscriber.handle(Duration::from_secs(10), SubscriberInput::Tick);
        deliver(&mut subscriber, 2, FeedItem::Resync { incarnation: 7, base: o(5) });
        let first = FeedItem::Batch(batch(0, 2, 5, vec![message(1, "x")]));
        assert_eq!(deliver(&mut subscriber, 2, first).len(), 1);
        // The delivery belongs to an earlier subscription.
        assert!(deliver(&mut subscriber, 1, FeedItem::Batch(batch(2, 5, 5, vec![]))).is_empty());
        let outputs = deliver(&mut subscriber, 2, FeedItem::Batch(invalid_batch.clone()));
        assert_eq!(
            outputs,
            [SubscriberOutput::ProtocolViolation(violation), SubscriberOutput::Unsubscribe(2)],
            "{invalid_batch:?}"
        );
        assert_eq!(subscriber.position().map(|at| (at.next, at.base)), Some((o(2), o(5))));
        assert_eq!(subscriber.get(b"x").map(|cached| cached.offset), Some(o(1)));
    }
}

#[test]
fn leaves_lagging_replica_despite_heartbeats() {
    let mut subscriber = Subscriber::new(name(), SubscriberSettings::default(), 1);
    subscriber.handle(Duration::ZERO, SubscriberInput::Start);
    let mut left_at = None;
    for second in 0..8 {
        let item = if second == 0 { FeedItem::Behind { head: Offset(0) } } else { FeedItem::Heartbeat };
        let now = Duration::from_secs(second);
        let delivery = Delivery { subscription: 1, applied_index: 0, staleness_ms: 0, item };
        let mut outputs = subscriber.handle(now, SubscriberInput::Delivery(delivery));
        outputs.extend(subscriber.handle(now, SubscriberInput::Tick));
        if outputs.contains(&SubscriberOutput::Unsubscribe(1)) {
            left_at.get_or_insert(second);
        }
    }
    assert_eq!(left_at, Some(5));
}
