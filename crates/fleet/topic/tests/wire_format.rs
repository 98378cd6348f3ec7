//! Encodings of all messages between publishers, subscribers and replicas, of commands, and of the chunks of a snapshot,
//! compared with fixtures in both directions.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::sync::Arc;

use beechloft_topic::{
    Batch, Delivery, Epoch, Expect, Feed, FeedItem, Key, Layout, Name, Offset, Position, PublisherId, Record,
    Refusal, Session, TopicAnswer, TopicCommand, TopicConfig, TopicEvent, TopicOp, TopicRequest,
    TopicResponse, Topics, Value, Writers,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

const FIXTURES: &str = include_str!("fixtures/topic.txt");

/// Returns the encoding of each sample. A line of the fixture has a name and the bytes in hexadecimal.
fn fixtures() -> BTreeMap<&'static str, Vec<u8>> {
    let parse = |line: &'static str| {
        let (name, hex) = line.split_once(' ').expect("a name and its bytes");
        let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hexadecimal");
        (name, (0..hex.len()).step_by(2).map(byte).collect())
    };
    FIXTURES.lines().map(parse).collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(samples: Vec<(&'static str, T)>) {
    let fixtures = fixtures();
    for (name, sample) in samples {
        let bytes = postcard::to_allocvec(&sample).expect("encodable");
        let committed = fixtures.get(name).unwrap_or_else(|| panic!("{name} {}", hex(&bytes)));
        assert_eq!(hex(&bytes), hex(committed), "{name}");
        assert_eq!(postcard::from_bytes::<T>(committed).as_ref(), Ok(&sample), "{name}");
    }
}

fn topic() -> Name {
    Name::try_from("fleet/limits".to_owned()).expect("valid name")
}

fn record(key: &str, value: Option<&str>) -> Record {
    let value = value.map(|value| Value::new(value.as_bytes()).expect("valid value"));
    Record { key: Key::new(key.as_bytes()).expect("valid key"), value }
}

fn config() -> TopicConfig {
    TopicConfig { writers: Writers::One, retention_ms: 2_000, keys: 300, bytes: 70_000 }
}

fn request(op: TopicOp) -> TopicRequest {
    TopicRequest { publisher: PublisherId(0x0123_4567_89ab_cdef), topic: topic(), op }
}

fn publish(seq: u64, record: Record, expect: Expect) -> TopicRequest {
    request(TopicOp::Publish { session: Session(1), seq, record, expect })
}

fn requests() -> Vec<(&'static str, TopicRequest)> {
    vec![
        ("begin", request(TopicOp::Begin { epoch: Epoch(300) })),
        ("publish-anything", publish(1, record("k", Some("value")), Expect::Anything)),
        ("publish-absent", publish(200, record("key", Some("")), Expect::Absent)),
        ("publish-at", publish(u64::MAX, record("key", None), Expect::At(Offset(500)))),
    ]
}

fn answers() -> Vec<(&'static str, TopicResponse)> {
    let requests = requests();
    let (begin, publish) = (&requests[0].1, &requests[1].1);
    let refusals = [
        ("refused-no-topic", Refusal::NoTopic),
        ("refused-too-many-topics", Refusal::TooManyTopics),
        ("refused-terms", Refusal::InvalidConfig),
        ("refused-fenced", Refusal::Fenced(Epoch(301))),
        ("refused-no-session", Refusal::NoSession),
        ("refused-gap", Refusal::Gap(302)),
        ("refused-overtaken", Refusal::AnswerEvicted),
        ("refused-other", Refusal::OffsetMismatch(Some(Offset(303)))),
        ("refused-other-absent", Refusal::OffsetMismatch(None)),
        ("refused-no-key", Refusal::NoKey),
        ("refused-full", Refusal::Full),
        ("refused-all-full", Refusal::AllFull),
    ];
    let refused = |(name, refusal)| (name, TopicResponse::to(publish, TopicAnswer::Refused(refusal)));
    let mut answers: Vec<(&'static str, TopicResponse)> = refusals.into_iter().map(refused).collect();
    answers.push(("began", TopicResponse::to(begin, TopicAnswer::Began(Session(400)))));
    answers.push(("written", TopicResponse::to(publish, TopicAnswer::Written(Offset(500)))));
    answers
}

fn commands() -> Vec<(&'static str, TopicCommand)> {
    let many = TopicConfig { writers: Writers::Many, ..config() };
    vec![
        (
            "declare-one",
            TopicCommand::Declare { topic: topic(), incarnation: u64::MAX - 1, config: config() },
        ),
        ("declare-many", TopicCommand::Declare { topic: topic(), incarnation: 1, config: many }),
        ("ask", TopicCommand::Request(request(TopicOp::Begin { epoch: Epoch(300) }))),
        ("horizon", TopicCommand::Horizon { topic: topic(), to: Offset(300) }),
    ]
}

fn events() -> Vec<(&'static str, TopicEvent)> {
    let (publisher, epoch, session) = (PublisherId(7), Epoch(300), Session(400));
    vec![
        ("event-declared", TopicEvent::Declared(topic(), config())),
        ("event-began", TopicEvent::Began { topic: topic(), publisher, epoch, session }),
        ("event-appended", TopicEvent::Appended(topic(), Offset(500))),
        ("event-horizon", TopicEvent::Horizon(topic(), Offset(600))),
    ]
}

fn positions() -> Vec<(&'static str, Position)> {
    let position =
        Position { incarnation: 7, next: Offset(300), base: Offset(200), min_head: Offset(u64::MAX) };
    vec![("position", position)]
}

/// Returns topics with several segments, superseded messages, a tombstone and two sessions.
fn topics() -> Topics {
    let layout = Layout { segment_records: 2, ..Layout::default() };
    let mut topics = Topics::new(layout);
    let many = TopicConfig { writers: Writers::Many, ..config() };
    let mut commands = vec![
        TopicCommand::Declare { topic: topic(), incarnation: 7, config: many },
        TopicCommand::Declare {
            topic: Name::try_from("other".to_owned()).expect("valid name"),
            incarnation: 8,
            config: config(),
        },
        TopicCommand::Request(request(TopicOp::Begin { epoch: Epoch(300) })),
    ];
    let records = [("a", Some("1")), ("b", Some("2")), ("a", Some("3")), ("c", Some("4")), ("b", None)];
    for (seq, (key, value)) in (1..).zip(records) {
        commands.push(TopicCommand::Request(publish(seq, record(key, value), Expect::Anything)));
    }
    commands.push(TopicCommand::Request(TopicRequest {
        publisher: PublisherId(9),
        topic: topic(),
        op: TopicOp::Begin { epoch: Epoch(1) },
    }));
    for command in commands {
        let (answer, _) = topics.apply(&command);
        assert!(!matches!(answer, Some(TopicAnswer::Refused(_))), "{command:?}: {answer:?}");
    }
    topics
}

fn deliveries() -> Vec<(&'static str, Delivery)> {
    let delivery = |item| Delivery { subscription: 300, applied_index: 400, staleness_ms: 70_000, item };
    let topics = topics();
    let first = |position: Option<Position>| {
        let mut feed = Feed::open(position);
        feed.set_credit(1 << 20);
        feed.next(topics.topic(&topic()).expect("declared topic")).expect("valid message")
    };
    // The first subscriber has no messages, and the second one needs tombstones.
    let resync = first(None);
    let batch =
        first(Some(Position { incarnation: 7, next: Offset(0), base: Offset(0), min_head: Offset(0) }));
    assert!(matches!(resync, FeedItem::Resync { .. }), "{resync:?}");
    assert!(matches!(&batch, FeedItem::Batch(Batch { messages, .. }) if messages.len() == 3), "{batch:?}");
    vec![
        ("told-anew", delivery(resync)),
        ("told-behind", delivery(FeedItem::Behind { head: Offset(300) })),
        ("told-batch", delivery(batch)),
        ("told-still", delivery(FeedItem::Heartbeat)),
    ]
}

#[test]
fn requests_match_fixture() {
    check(requests());
}

#[test]
fn answers_match_fixture() {
    check(answers());
}

#[test]
fn commands_and_events_match_fixture() {
    check(commands());
    check(events());
}

#[test]
fn subscription_messages_match_fixture() {
    check(positions());
    check(deliveries());
}

const CHUNKS: [&str; 5] =
    ["chunk-state", "chunk-segment-1", "chunk-segment-2", "chunk-active", "chunk-other"];

#[test]
fn snapshot_chunks_match_fixture() {
    let (fixtures, topics) = (fixtures(), topics());
    let chunks = topics.write_chunks();
    assert_eq!(chunks.len(), CHUNKS.len());
    for (name, chunk) in CHUNKS.into_iter().zip(&chunks) {
        let committed = fixtures.get(name).unwrap_or_else(|| panic!("{name} {}", hex(&chunk.bytes)));
        assert_eq!(hex(&chunk.bytes), hex(committed), "{name}");
    }
    let committed: Vec<Arc<[u8]>> = CHUNKS.iter().map(|name| fixtures[name].as_slice().into()).collect();
    let restored = Topics::read_chunks(&committed, Layout::default()).expect("valid snapshot");
    assert_eq!(restored, topics);
    assert_eq!(restored.write_chunks(), chunks);
}

#[test]
fn every_fixture_has_a_sample() {
    let samples = requests().len() + answers().len() + commands().len() + events().len();
    assert_eq!(fixtures().len(), samples + positions().len() + deliveries().len() + CHUNKS.len());
}
