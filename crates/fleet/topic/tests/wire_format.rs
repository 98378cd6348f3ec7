//! The bytes of each message between publishers, subscribers and replicas, of commands, and of a snapshot's chunks: compared both
//! ways with bytes that are committed.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::sync::Arc;

use beechloft_topic::{
    Batch, Epoch, Expect, Feed, Key, Layout, Name, Offset, Position, PublisherId, Record, Refusal, Said,
    Session, Terms, Told, TopicAnswer, TopicCommand, TopicEvent, TopicOp, TopicRequest, TopicResponse,
    Topics, Value, Writers,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

const FIXTURES: &str = include_str!("fixtures/topic.txt");

/// The committed bytes of each sample: a line each, a name and its bytes in hexadecimal.
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
        let bytes = postcard::to_allocvec(&sample).expect("it is encoded");
        let committed = fixtures.get(name).unwrap_or_else(|| panic!("{name} {}", hex(&bytes)));
        assert_eq!(hex(&bytes), hex(committed), "{name}");
        assert_eq!(postcard::from_bytes::<T>(committed).as_ref(), Ok(&sample), "{name}");
    }
}

fn topic() -> Name {
    Name::try_from("fleet/limits".to_owned()).expect("a name")
}

fn record(key: &str, value: Option<&str>) -> Record {
    let value = value.map(|value| Value::new(value.as_bytes()).expect("a value"));
    Record { key: Key::new(key.as_bytes()).expect("a key"), value }
}

fn terms() -> Terms {
    Terms { writers: Writers::One, retention_ms: 2_000, keys: 300, bytes: 70_000 }
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
        ("refused-terms", Refusal::Terms),
        ("refused-fenced", Refusal::Fenced(Epoch(301))),
        ("refused-no-session", Refusal::NoSession),
        ("refused-gap", Refusal::Gap(302)),
        ("refused-overtaken", Refusal::Overtaken),
        ("refused-other", Refusal::Other(Some(Offset(303)))),
        ("refused-other-absent", Refusal::Other(None)),
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
    let many = Terms { writers: Writers::Many, ..terms() };
    vec![
        ("declare-one", TopicCommand::Declare { topic: topic(), life: u64::MAX - 1, terms: terms() }),
        ("declare-many", TopicCommand::Declare { topic: topic(), life: 1, terms: many }),
        ("ask", TopicCommand::Ask(request(TopicOp::Begin { epoch: Epoch(300) }))),
        ("horizon", TopicCommand::Horizon { topic: topic(), to: Offset(300) }),
    ]
}

fn events() -> Vec<(&'static str, TopicEvent)> {
    let (publisher, epoch, session) = (PublisherId(7), Epoch(300), Session(400));
    vec![
        ("event-declared", TopicEvent::Declared(topic(), terms())),
        ("event-began", TopicEvent::Began { topic: topic(), publisher, epoch, session }),
        ("event-appended", TopicEvent::Appended(topic(), Offset(500))),
        ("event-horizon", TopicEvent::Horizon(topic(), Offset(600))),
    ]
}

fn positions() -> Vec<(&'static str, Position)> {
    let position = Position { life: 7, next: Offset(300), base: Offset(200), seen: Offset(u64::MAX) };
    vec![("position", position)]
}

/// Topics with segments, overtaken messages, a tombstone and two sessions.
fn topics() -> Topics {
    let layout = Layout { segment_records: 2, ..Layout::default() };
    let mut topics = Topics::new(layout);
    let many = Terms { writers: Writers::Many, ..terms() };
    let mut commands = vec![
        TopicCommand::Declare { topic: topic(), life: 7, terms: many },
        TopicCommand::Declare {
            topic: Name::try_from("other".to_owned()).expect("a name"),
            life: 8,
            terms: terms(),
        },
        TopicCommand::Ask(request(TopicOp::Begin { epoch: Epoch(300) })),
    ];
    let records = [("a", Some("1")), ("b", Some("2")), ("a", Some("3")), ("c", Some("4")), ("b", None)];
    for (seq, (key, value)) in (1..).zip(records) {
        commands.push(TopicCommand::Ask(publish(seq, record(key, value), Expect::Anything)));
    }
    commands.push(TopicCommand::Ask(TopicRequest {
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

fn told() -> Vec<(&'static str, Told)> {
    let told = |said| Told { feed: 300, applied: 400, silent_ms: 70_000, said };
    let topics = topics();
    let first = |from: Option<Position>| {
        let mut feed = Feed::open(from);
        feed.allow(1 << 20);
        feed.next(topics.topic(&topic()).expect("it is declared")).expect("a message")
    };
    // One that has nothing yet, and one that must be told of deletions.
    let anew = first(None);
    let batch = first(Some(Position { life: 7, next: Offset(0), base: Offset(0), seen: Offset(0) }));
    assert!(matches!(anew, Said::Anew { .. }), "{anew:?}");
    assert!(matches!(&batch, Said::Batch(Batch { messages, .. }) if messages.len() == 3), "{batch:?}");
    vec![
        ("told-anew", told(anew)),
        ("told-behind", told(Said::Behind { head: Offset(300) })),
        ("told-batch", told(batch)),
        ("told-still", told(Said::Still)),
    ]
}

#[test]
fn each_request_of_a_publisher_has_its_committed_bytes() {
    check(requests());
}

#[test]
fn each_answer_to_a_publisher_has_its_committed_bytes() {
    check(answers());
}

#[test]
fn each_command_and_event_has_its_committed_bytes() {
    check(commands());
    check(events());
}

#[test]
fn each_message_of_a_subscription_has_its_committed_bytes() {
    check(positions());
    check(told());
}

const CHUNKS: [&str; 5] =
    ["chunk-state", "chunk-segment-1", "chunk-segment-2", "chunk-active", "chunk-other"];

#[test]
fn each_chunk_of_a_snapshot_has_its_committed_bytes() {
    let (fixtures, topics) = (fixtures(), topics());
    let chunks = topics.write_chunks();
    assert_eq!(chunks.len(), CHUNKS.len());
    for (name, chunk) in CHUNKS.into_iter().zip(&chunks) {
        let committed = fixtures.get(name).unwrap_or_else(|| panic!("{name} {}", hex(&chunk.bytes)));
        assert_eq!(hex(&chunk.bytes), hex(committed), "{name}");
    }
    let committed: Vec<Arc<[u8]>> = CHUNKS.iter().map(|name| fixtures[name].as_slice().into()).collect();
    let restored = Topics::read_chunks(&committed, Layout::default()).expect("they are topics");
    assert_eq!(restored, topics);
    assert_eq!(restored.write_chunks(), chunks);
}

#[test]
fn no_committed_bytes_are_without_a_sample() {
    let samples = requests().len() + answers().len() + commands().len() + events().len();
    assert_eq!(fixtures().len(), samples + positions().len() + told().len() + CHUNKS.len());
}
