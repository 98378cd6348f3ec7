//! The parts put together, without anything that fails.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]

use std::sync::Arc;
use std::time::Duration;

use beechloft_topic::{
    Batch, Expect, Feed, Key, Layout, Message, Name, Offset, Outcome, ProtocolViolation, Publisher,
    PublisherId, PublisherInput, PublisherOutput, PublisherSettings, PublisherTicket, Record, Refusal, Said,
    Subscriber, SubscriberInput, SubscriberOutput, SubscriberSettings, Terms, Told, TopicAnswer,
    TopicCommand, TopicResponse, Topics, Value,
};

fn name() -> Name {
    Name::try_from("fleet/limits".to_owned()).expect("a name")
}

fn record(key: &str, value: Option<&str>) -> Record {
    let value = value.map(|v| Value::new(v.as_bytes()).expect("a value"));
    Record { key: Key::new(key.as_bytes()).expect("a key"), value }
}

fn topics() -> Topics {
    let mut topics = Topics::new(Layout::default());
    let declare = TopicCommand::Declare { topic: name(), life: 7, terms: Terms::default() };
    assert!(topics.apply(&declare).1.is_some());
    topics
}

/// Has a publisher's messages answered until there is no more to say.
fn publish(topics: &mut Topics, publisher: &mut Publisher, input: PublisherInput) -> Vec<Outcome> {
    let now = Duration::from_secs(1);
    let (mut outcomes, mut inputs) = (Vec::new(), vec![input]);
    while let Some(input) = inputs.pop() {
        for output in publisher.handle(now, input) {
            match output {
                PublisherOutput::Send(request) => {
                    let answer: TopicAnswer =
                        topics.apply(&TopicCommand::Ask(request.clone())).0.expect("an answer");
                    inputs.push(PublisherInput::Heard(TopicResponse::to(&request, answer)));
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
    number: u64,
    subscriber: &mut Subscriber,
) -> Vec<SubscriberOutput> {
    let mut outputs = Vec::new();
    while let Some(said) = topics.topic(&name()).and_then(|t| feed.next(t)) {
        let told = Told { feed: number, applied: 0, silent_ms: 0, said };
        for output in subscriber.handle(Duration::from_secs(2), SubscriberInput::Told(told)) {
            if let SubscriberOutput::Allow { total, .. } = output {
                feed.allow(total);
            } else {
                outputs.push(output);
            }
        }
    }
    outputs
}

#[test]
fn what_is_published_reaches_a_subscriber_and_outlasts_a_snapshot() {
    let mut topics = topics();
    let id = PublisherId(5);
    let mut publisher = Publisher::one_of_many(id, name(), PublisherSettings::default(), 1);
    let mut put = |topics: &mut Topics, n, record, expect| {
        let input = PublisherInput::Publish { ticket: PublisherTicket(n), record, expect };
        publish(topics, &mut publisher, input)
    };
    assert!(
        matches!(put(&mut topics, 1, record("a", Some("1")), Expect::Absent)[..], [Outcome::Written(o)] if o.0 == 0)
    );
    assert!(
        matches!(put(&mut topics, 2, record("b", Some("2")), Expect::Anything)[..], [Outcome::Written(o)] if o.0 == 1)
    );
    let other = put(&mut topics, 3, record("a", Some("3")), Expect::Absent);
    assert!(matches!(other[..], [Outcome::Refused(Refusal::Other(Some(o)))] if o.0 == 0));
    assert!(matches!(put(&mut topics, 4, record("a", None), Expect::Anything)[..], [Outcome::Written(_)]));
    assert_eq!(put(&mut topics, 5, record("a", None), Expect::Anything), [Outcome::Refused(Refusal::NoKey)]);

    let mut subscriber = Subscriber::new(name(), SubscriberSettings::default(), 1);
    let asked = subscriber.handle(Duration::from_secs(1), SubscriberInput::Start);
    let [SubscriberOutput::Subscribe { feed: number, from: None, allow, .. }] = asked[..] else {
        panic!("{asked:?}")
    };
    let mut feed = Feed::open(None);
    feed.allow(allow);
    let outputs = follow(&topics, &mut feed, number, &mut subscriber);
    assert!(matches!(outputs[..], [SubscriberOutput::Changed(_), SubscriberOutput::CaughtUp(o)] if o.0 == 3));

    // A snapshot is the same, and so are its chunks.
    let chunks = topics.write_chunks();
    let bytes: Vec<Arc<[u8]>> = chunks.iter().map(|c| c.bytes.clone()).collect();
    let mut again = Topics::read_chunks(&bytes, Layout::default()).expect("topics");
    assert_eq!((&again, again.write_chunks()), (&topics, chunks));
    put(&mut again, 6, record("b", None), Expect::At(Offset(1)));
    let outputs = follow(&again, &mut feed, number, &mut subscriber);
    assert!(matches!(&outputs[..], [SubscriberOutput::Gone(k, _)] if k.bytes() == b"b"), "{outputs:?}");
    assert_eq!(subscriber.complete_to().map(|o| o.0), Some(4));
    let topic = again.topic(&name()).expect("a topic");
    assert_eq!((topic.keys(), topic.head().0, feed.next(topic)), (0, 4, None::<Said>));
}

#[test]
fn rubbish_is_no_snapshot() {
    let topics = topics();
    let chunks: Vec<Arc<[u8]>> = topics.write_chunks().into_iter().map(|c| c.bytes).collect();
    assert!(Topics::read_chunks(&chunks[..1], Layout::default()).is_err());
    let mut more = chunks.clone();
    more.push(vec![1, 2].into());
    assert!(Topics::read_chunks(&more, Layout::default()).is_err());
    for (n, chunk) in chunks.iter().enumerate() {
        for at in 0..chunk.len() {
            let mut other = chunks.clone();
            let mut bytes = chunk.to_vec();
            bytes[at] ^= 0x41;
            other[n] = bytes.into();
            // Whatever comes of it: an error, or a topic of other terms.
            let _ = Topics::read_chunks(&other, Layout::default());
        }
    }
    assert_eq!(Topics::read_chunks(&[], Layout::default()), Ok(Topics::default()));
}

fn message(offset: u64, key: &str) -> Message {
    // As it comes over the wire.
    let mut body = vec![key.len() as u8, 0];
    body.extend(key.as_bytes());
    let bytes = postcard::to_allocvec(&(offset, body)).expect("bytes");
    postcard::from_bytes(&bytes).expect("a message")
}

#[test]
fn what_a_keeper_can_not_have_said_is_dropped_whole_and_another_is_asked() {
    let o = Offset;
    let batch = |from, to, head, messages| Batch { from: o(from), to: o(to), head: o(head), messages };
    let bad = [
        (batch(3, 4, 9, vec![]), ProtocolViolation::Gap { from: o(3), expected: o(2) }),
        (batch(0, 4, 9, vec![]), ProtocolViolation::Gap { from: o(0), expected: o(2) }),
        (batch(2, 4, 4, vec![]), ProtocolViolation::Behind { head: o(4), needs: o(5) }),
        (batch(2, 9, 8, vec![]), ProtocolViolation::Order),
        (batch(2, 1, 8, vec![]), ProtocolViolation::Order),
        (batch(2, 6, 8, vec![message(4, "x"), message(3, "y")]), ProtocolViolation::Order),
        (batch(2, 6, 8, vec![message(4, "x"), message(4, "y")]), ProtocolViolation::Order),
        (batch(2, 6, 8, vec![message(6, "x")]), ProtocolViolation::Order),
        (batch(2, 6, 8, vec![message(1, "x")]), ProtocolViolation::Order),
    ];
    for (bad, why) in bad {
        let mut subscriber = Subscriber::new(name(), SubscriberSettings::default(), 1);
        let hear = |subscriber: &mut Subscriber, feed, said| {
            let told = Told { feed, applied: 0, silent_ms: 0, said };
            subscriber.handle(Duration::from_secs(9), SubscriberInput::Told(told))
        };
        assert!(hear(&mut subscriber, 1, Said::Still).is_empty(), "it has not asked yet");
        subscriber.handle(Duration::from_secs(9), SubscriberInput::Start);
        let early = hear(&mut subscriber, 1, Said::Batch(batch(0, 0, 0, vec![])));
        assert!(early.contains(&SubscriberOutput::ProtocolViolation(ProtocolViolation::NotBegun)));
        subscriber.handle(Duration::from_secs(10), SubscriberInput::Tick);
        hear(&mut subscriber, 2, Said::Anew { life: 7, base: o(5) });
        let first = Said::Batch(batch(0, 2, 5, vec![message(1, "x")]));
        assert_eq!(hear(&mut subscriber, 2, first).len(), 1);
        // Of a subscription that was given up.
        assert!(hear(&mut subscriber, 1, Said::Batch(batch(2, 5, 5, vec![]))).is_empty());
        let outputs = hear(&mut subscriber, 2, Said::Batch(bad.clone()));
        assert_eq!(
            outputs,
            [SubscriberOutput::ProtocolViolation(why), SubscriberOutput::Leave(2)],
            "{bad:?}"
        );
        assert_eq!(subscriber.position().map(|at| (at.next, at.base)), Some((o(2), o(5))));
        assert_eq!(subscriber.get(b"x").map(|held| held.offset), Some(o(1)));
    }
}

#[test]
fn a_keeper_that_stays_behind_is_left_whatever_signs_of_life_it_gives() {
    let mut subscriber = Subscriber::new(name(), SubscriberSettings::default(), 1);
    subscriber.handle(Duration::ZERO, SubscriberInput::Start);
    let mut left = None;
    for second in 0..8 {
        let said = if second == 0 { Said::Behind { head: Offset(0) } } else { Said::Still };
        let now = Duration::from_secs(second);
        let told = Told { feed: 1, applied: 0, silent_ms: 0, said };
        let mut outputs = subscriber.handle(now, SubscriberInput::Told(told));
        outputs.extend(subscriber.handle(now, SubscriberInput::Tick));
        if outputs.contains(&SubscriberOutput::Leave(1)) {
            left.get_or_insert(second);
        }
    }
    assert_eq!(left, Some(5));
}
