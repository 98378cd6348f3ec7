//! The parts put together, without anything that fails.

use std::sync::Arc;
use std::time::Duration;

use beechloft_topic::{
    Expect, Feed, Key, Layout, Name, Outcome, Publisher, PublisherId, PublisherInput, PublisherOutput,
    PublisherSettings, PublisherTicket, Record, Refusal, Said, Subscriber, SubscriberInput, SubscriberOutput,
    SubscriberSettings, Terms, Told, TopicAnswer, TopicCommand, TopicHeard, Topics, Value,
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
                    inputs.push(PublisherInput::Heard(TopicHeard::to(&request, answer)));
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
    put(&mut again, 6, record("b", None), Expect::At(beechloft_topic::Offset(1)));
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
