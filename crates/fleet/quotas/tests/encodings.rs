//! The encoded bytes of each message, command, event and gossiped row, of a session's tag and of the written ledger, and the JSON
//! form of a definition, compared with fixtures in both directions.
//!
//! Peers of other versions read these messages, replicas read ledgers that earlier versions wrote and media servers keep tags, so a
//! change here breaks an upgrade.

use std::fmt::Debug;

use beechloft_leases::Name;
use beechloft_quotas::soft::SoftShares;
use beechloft_quotas::{
    AccountId, Answer, Claim, Command, Enforcement, Event, FrontId, Key, Ledger, LimitDefinition, Op,
    OrphanId, Rejection, Request, Resource, Response, Scope, ShareGrant, ShareReport, tag,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

const POSTCARD: &str = include_str!("fixtures/postcard.txt");
const DEFINITIONS: &str = include_str!("fixtures/definitions.txt");
const LEDGER: &str = include_str!("fixtures/ledger.txt");
const TAG: &str = include_str!("fixtures/tag.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    assert!(text.len().is_multiple_of(2), "half a byte in {text}");
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).expect("hex digits"))
        .collect()
}

fn assert_same(encoded: &[String], fixture: &str) {
    let text: String = encoded.iter().map(|line| format!("{line}\n")).collect();
    assert!(text == fixture, "the fixture differs; written now:\n{text}");
}

/// Encodes the values, and decodes the lines of the postcard fixture at the same positions.
fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(encoded: &mut Vec<String>, values: &[T]) {
    for value in values {
        let at = encoded.len();
        encoded.push(hex(&postcard::to_allocvec(value).expect("encodes")));
        if let Some(line) = POSTCARD.lines().nth(at) {
            let decoded: T = postcard::from_bytes(&unhex(line)).expect("the fixture decodes");
            assert_eq!(decoded, *value, "line {at} of the fixture");
        }
    }
}

fn name(text: &str) -> Name {
    Name::try_from(text.to_owned()).expect("a valid name")
}

fn claim(limit: &str, key: &str, customer: &str) -> Claim {
    Claim { limit: name(limit), key: Key::of(key), customer: Key::of(customer) }
}

fn definition(counts: Resource, of: Scope, kind: Enforcement) -> LimitDefinition {
    LimitDefinition {
        name: name("limit"),
        version: 300,
        counts,
        of,
        only: Some(Key::of("one")),
        limit: 1_000,
        kind,
        least: 2,
        weights: [(Key::of("ann"), 3), (Key::of("bob"), 200)].into(),
        keep_milli: 250,
        longest_ms: 7_200_000,
        burst_milli: 1_500,
        fronts: 4,
        settle_ms: 5_000,
    }
}

fn definitions() -> Vec<LimitDefinition> {
    let soft = Enforcement::Soft { over_milli: 150 };
    vec![
        definition(Resource::Sessions, Scope::All, Enforcement::Hard),
        definition(Resource::Kbits, Scope::Customer, soft),
        definition(Resource::SetUps, Scope::Title, Enforcement::Hard),
        definition(Resource::Attempts, Scope::Class, soft),
        definition(Resource::Sessions, Scope::Viewer, Enforcement::Hard),
        definition(Resource::Sessions, Scope::Uplink, Enforcement::Hard),
        LimitDefinition {
            only: None,
            weights: [].into(),
            ..definition(Resource::Sessions, Scope::Box, Enforcement::Hard)
        },
    ]
}

fn operations() -> Vec<Op> {
    let account = AccountId(300);
    let claims = || vec![(claim("sessions", "", ""), 129), (claim("titles", "a", "ann"), 1)];
    let line = ShareReport { claim: claim("sessions", "k", "ann"), hold: 300, used: 200, want: 400 };
    vec![
        Op::Open { ttl_ms: 2_000, tagged: true },
        Op::Settle { account, lines: vec![line] },
        Op::Close { account, left: claims() },
        Op::Adopt { account, orphan: OrphanId(7), taken: claims() },
        Op::Counted { orphan: OrphanId(7), left: claims() },
        Op::Orphans,
        Op::Limits { account },
        Op::Declare { account, definition: definition(Resource::Kbits, Scope::Class, Enforcement::Hard) },
    ]
}

fn requests() -> Vec<Request> {
    let request = |(seq, op)| Request { front: FrontId(u64::MAX - 1), seq, op };
    (127..).zip(operations()).map(request).collect()
}

fn commands() -> Vec<Command> {
    let others = [
        Command::Expire { account: AccountId(300), renewals: 129 },
        Command::Age { orphan: OrphanId(301), from_ms: 128, by_ms: 4_000 },
        Command::Define(definition(Resource::Sessions, Scope::All, Enforcement::Hard)),
        Command::Undefine(name("limit"), 301),
    ];
    requests().into_iter().map(Command::Request).chain(others).collect()
}

fn answers() -> Vec<Answer> {
    let told = || vec![ShareGrant { claim: claim("sessions", "", ""), share: 300, recall: 2, closed: true }];
    vec![
        Answer::Opened(AccountId(300), told()),
        Answer::Settled(told(), 128),
        Answer::Limits(definitions(), 129),
        Answer::Declared,
        Answer::Closed,
        Answer::Adopted(told()),
        Answer::Counted,
        Answer::Orphans(vec![(OrphanId(1), FrontId(300))]),
        Answer::Rejected(Rejection::NoAccount),
        Answer::Rejected(Rejection::NoOrphan),
        Answer::Rejected(Rejection::TtlOutOfRange),
        Answer::Rejected(Rejection::Superseded),
        Answer::Rejected(Rejection::TooManyEntries),
    ]
}

fn responses() -> Vec<Response> {
    let response = |(seq, answer)| Response::Answer { front: FrontId(77), seq, answer };
    (1..).zip(answers()).map(response).chain([Response::Retry]).collect()
}

fn events() -> Vec<Event> {
    vec![
        Event::Renewed(AccountId(300)),
        Event::Ended(AccountId(300), FrontId(2), None),
        Event::Ended(AccountId(300), FrontId(2), Some(OrphanId(128))),
        Event::Returned(OrphanId(128), AccountId(301)),
        Event::Aged(OrphanId(128)),
        Event::Gone(OrphanId(128)),
        Event::Defined(name("limit")),
        Event::Undefined(name("limit")),
    ]
}

fn row() -> SoftShares {
    SoftShares { parts: [(claim("soft", "", ""), 300), (claim("soft", "k", "ann"), 1)].into() }
}

#[test]
fn messages_commands_events_and_rows_keep_their_encodings() {
    let mut encoded = Vec::new();
    check(&mut encoded, &operations());
    check(&mut encoded, &requests());
    check(&mut encoded, &commands());
    check(&mut encoded, &answers());
    check(&mut encoded, &responses());
    check(&mut encoded, &events());
    check(&mut encoded, &[row()]);
    assert_same(&encoded, POSTCARD);
}

#[test]
fn definitions_keep_their_json() {
    let encoded: Vec<String> =
        definitions().iter().map(|each| serde_json::to_string(each).expect("encodes")).collect();
    assert_same(&encoded, DEFINITIONS);
    let decode = |line| serde_json::from_str::<LimitDefinition>(line).expect("the fixture decodes");
    assert_eq!(DEFINITIONS.lines().map(decode).collect::<Vec<_>>(), definitions());
}

#[test]
fn a_tag_keeps_its_text() {
    let claims = vec![(claim("sessions", "", ""), 1), (claim("kbits", "k", "ann"), 3_000)];
    let written = tag::write(FrontId(300), &claims).expect("short enough");
    assert_same(&[written], TAG);
    assert_eq!(tag::read(TAG.trim_end()), Some((FrontId(300), claims)));
}

/// A ledger with definitions, an undefined limit, accounts with shares, orphans of two ages, and the last answers.
fn ledger() -> Ledger {
    let mut ledger = Ledger::default();
    let hard = |text: &str, counts| LimitDefinition {
        version: 1,
        fronts: 4,
        least: 1,
        ..LimitDefinition::hard(name(text), counts, Scope::All, 1_000)
    };
    let weighted = LimitDefinition {
        of: Scope::Title,
        weights: [(Key::of("ann"), 3), (Key::of("bob"), 1)].into(),
        keep_milli: 500,
        ..hard("titles", Resource::Sessions)
    };
    let all = [
        hard("sessions", Resource::Sessions),
        hard("set-ups", Resource::SetUps),
        weighted,
        hard("old", Resource::Kbits),
    ];
    for each in all {
        ledger.apply(&Command::Define(each));
    }
    ledger.apply(&Command::Undefine(name("old"), 2));
    let line = |text: &str, key: &str, customer: &str, want| ShareReport {
        claim: claim(text, key, customer),
        hold: 500,
        used: want / 2,
        want,
    };
    let lines =
        vec![line("sessions", "", "", 300), line("set-ups", "", "", 20_000), line("titles", "a", "ann", 40)];
    let open = |front: u64| (front, Op::Open { ttl_ms: 2_000, tagged: front % 2 == 1 });
    let settle =
        |front: u64, account| (front, Op::Settle { account: AccountId(account), lines: lines.clone() });
    let left = vec![(claim("sessions", "", ""), 12), (claim("titles", "a", "ann"), 3)];
    let operations = [
        open(1),
        open(2),
        open(3),
        settle(1, 1),
        settle(2, 2),
        settle(3, 3),
        (3, Op::Close { account: AccountId(3), left }),
        (2, Op::Limits { account: AccountId(2) }),
    ];
    for (seq, (front, op)) in (1..).zip(operations) {
        ledger.apply(&Command::Request(Request { front: FrontId(front), seq, op }));
    }
    ledger.apply(&Command::Expire { account: AccountId(1), renewals: 1 });
    let orphan = ledger.orphans().map(|(id, _)| id).next().expect("an orphan");
    ledger.apply(&Command::Age { orphan, from_ms: 0, by_ms: 10_000 });
    ledger
}

#[test]
fn a_written_ledger_keeps_its_encoding() {
    let ledger = ledger();
    assert_eq!((ledger.accounts().count(), ledger.orphans().count()), (1, 2));
    assert_same(&[hex(&ledger.write())], LEDGER);
    assert_eq!(Ledger::read(&unhex(LEDGER.trim_end())), Ok(ledger));
}
