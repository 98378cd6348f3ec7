//! Encodings of all messages, commands and events and of the table, compared with fixtures in both directions.
//!
//! Peers of other versions decode these messages, and replicas decode tables that earlier versions wrote, so a changed encoding
//! breaks upgrades.

use std::fmt::Debug;

use beechloft_leases::{
    Answer, Command, Event, GrantPosition, Handoff, HolderId, InstanceGrant, Name, Op, Rejection, ReplicaId,
    Request, Response, Succession, Table, Token,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

const POSTCARD: &str = include_str!("fixtures/postcard.txt");
const JSON: &str = include_str!("fixtures/json.txt");
const TABLE: &str = include_str!("fixtures/table.txt");

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(digits: &str) -> Vec<u8> {
    assert!(digits.len().is_multiple_of(2), "odd number of digits in {digits}");
    (0..digits.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).expect("hexadecimal digits"))
        .collect()
}

/// Encoded lines of the postcard and JSON fixtures. Each value has one line in each of them, in the same order.
struct Fixtures {
    postcard: Vec<String>,
    json: Vec<String>,
}

impl Fixtures {
    fn new() -> Fixtures {
        Fixtures { postcard: Vec::new(), json: Vec::new() }
    }

    /// Encodes the values, and checks that the corresponding lines of the fixtures decode to them.
    fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(&mut self, values: &[T]) {
        for value in values {
            let index = self.postcard.len();
            self.postcard.push(to_hex(&postcard::to_allocvec(value).expect("the value encodes")));
            self.json.push(serde_json::to_string(value).expect("the value encodes"));
            if let Some(line) = POSTCARD.lines().nth(index) {
                let decoded: T = postcard::from_bytes(&from_hex(line)).expect("the fixture decodes");
                assert_eq!(decoded, *value, "line {index} of the postcard fixture");
            }
            if let Some(line) = JSON.lines().nth(index) {
                let decoded: T = serde_json::from_str(line).expect("the fixture decodes");
                assert_eq!(decoded, *value, "line {index} of the JSON fixture");
            }
        }
    }

    /// Checks that the encoded lines are equal to the fixtures.
    fn finish(self) {
        let differences =
            [difference("postcard", &self.postcard, POSTCARD), difference("JSON", &self.json, JSON)];
        assert_eq!(differences.concat(), "");
    }
}

/// Returns a description of the difference between the encoded lines and a fixture, which is empty if they are equal.
fn difference(kind: &str, encoded: &[String], fixture: &str) -> String {
    let text: String = encoded.iter().map(|line| format!("{line}\n")).collect();
    if text == fixture { String::new() } else { format!("{kind} fixture differs from the encoding:\n{text}") }
}

fn name(text: &str) -> Name {
    Name::try_from(text.to_owned()).expect("a valid name")
}

fn handoff() -> Handoff {
    Handoff { slot_count: 8, remaining_ms: 700, newest_token: Token(300), reserve_ms: 5_000 }
}

fn operations() -> Vec<Op> {
    vec![
        Op::Acquire { name: name("task/a"), slots: 300, ttl_ms: 3_000 },
        Op::Renew { name: name("task/a"), token: Token(1_000) },
        Op::Release { name: name("task/a"), token: Token(2_000) },
        Op::AcquireAs { name: name("task/b"), slots: 9, ttl_ms: 100_000, instance: name("front-1") },
        Op::HandOff { name: name("task/b"), token: Token(4), handoff: handoff() },
    ]
}

fn requests() -> Vec<Request> {
    let request = |(seq, op)| Request { holder: HolderId(u64::MAX - 1), seq, op };
    (127..).zip(operations()).map(request).collect()
}

fn commands() -> Vec<Command> {
    let expire = Command::Expire { token: Token(500), renewals: 129 };
    requests().into_iter().map(Command::Request).chain([expire]).collect()
}

fn answers() -> Vec<Answer> {
    let position = GrantPosition { slot: 2, slot_bound: 300, max_ttl_ms: 9_000 };
    let succession = Some(Succession { slot_count: 16, remaining_ms: 250 });
    vec![
        Answer::Granted(Token(1), position),
        Answer::Renewed(Token(128), GrantPosition::default()),
        Answer::Released,
        Answer::Rejected(Rejection::NoFreeSlot),
        Answer::Rejected(Rejection::NotHeld),
        Answer::Rejected(Rejection::SlotCount),
        Answer::Rejected(Rejection::TtlOutOfRange),
        Answer::Rejected(Rejection::Superseded),
        Answer::Rejected(Rejection::TooManyLeases),
        Answer::HeldByInstance(
            Token(3),
            position,
            InstanceGrant { newest_token: Token(4), succession: None },
        ),
        Answer::HeldByInstance(Token(3), position, InstanceGrant { newest_token: Token(400), succession }),
        Answer::HandedOff,
    ]
}

fn responses() -> Vec<Response> {
    let response = |(seq, answer)| Response::Answer { holder: HolderId(77), seq, answer };
    let answers = (1..).zip(answers()).map(response);
    answers
        .chain([Response::NotLeader(None), Response::NotLeader(Some(ReplicaId(200))), Response::Busy])
        .collect()
}

fn events() -> Vec<Event> {
    let granted =
        |previous| Event::Granted { name: name("task"), token: Token(9), holder: HolderId(10), previous };
    vec![
        granted(None),
        granted(Some(Token(8))),
        Event::Renewed(name("task"), Token(9)),
        Event::Released(name("task"), Token(9)),
        Event::Expired(name("task"), Token(9)),
        Event::HandedOff(name("task"), Token(9)),
    ]
}

#[test]
fn messages_match_fixtures() {
    let mut fixtures = Fixtures::new();
    fixtures.check(&operations());
    fixtures.check(&requests());
    fixtures.check(&commands());
    fixtures.check(&answers());
    fixtures.check(&responses());
    fixtures.check(&events());
    fixtures.finish();
}

/// Returns a table with grants with and without instances, a handed-off grant, an ended grant and the last answers.
fn table() -> Table {
    let mut table = Table::default();
    let acquire_as =
        |instance| Op::AcquireAs { name: name("task/b"), slots: 9, ttl_ms: 4_000, instance: name(instance) };
    let operations = [
        (1, Op::Acquire { name: name("task/a"), slots: 2, ttl_ms: 3_000 }),
        (2, Op::Acquire { name: name("task/a"), slots: 2, ttl_ms: 300 }),
        (3, Op::Acquire { name: name("task/a"), slots: 2, ttl_ms: 3_000 }),
        (1, Op::Renew { name: name("task/a"), token: Token(1) }),
        (4, acquire_as("front-1")),
        (5, acquire_as("front-2")),
        (6, acquire_as("front-3")),
        (5, Op::HandOff { name: name("task/b"), token: Token(4), handoff: handoff() }),
        (2, Op::Release { name: name("task/a"), token: Token(2) }),
    ];
    for (seq, (holder, op)) in (1..).zip(operations) {
        table.apply(&Command::Request(Request { holder: HolderId(holder), seq, op }));
    }
    table.apply(&Command::Expire { token: Token(5), renewals: 0 });
    table
}

#[test]
fn table_matches_fixture() {
    let fixture: Vec<&str> = TABLE.lines().collect();
    assert_eq!(difference("table", &[to_hex(&table().write())], TABLE), "");
    assert_eq!(Table::read(&from_hex(fixture[0])), Ok(table()));
}
