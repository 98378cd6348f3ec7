//! Compares the encodings of messages, commands, events, gossiped reports, session tags and the ledger, and the JSON form of
//! definitions, with fixtures in both directions.
//!
//! A change of an encoding breaks upgrades: peers of other versions exchange these messages, replicas read ledgers that earlier
//! versions wrote, and media servers keep tags.

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
    assert!(text.len().is_multiple_of(2), "odd number of digits in {text}");
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).expect("hex digits"))
        .collect()
}

fn assert_same(encoded: &[String], fixture: &str) {
    let text: String = encoded.iter().map(|line| format!("{line}\n")).collect();
    assert!(text == fixture, "the encoding differs from the fixture; it is now:\n{text}");
}

/// Appends the encoded values, and compares them with the decoded lines of the postcard fixture at the same positions.
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

fn definition(resource: Resource, scope: Scope, enforcement: Enforcement) -> LimitDefinition {
    LimitDefinition {
        name: name("limit"),
        version: 300,
        resource,
        scope,
        only_key: Some(Key::of("one")),
        limit: 1_000,
        enforcement,
        min_share: 2,
        weights: [(Key::of("ann"), 3), (Key::of("bob"), 200)].into(),
        reserved_milli: 250,
        max_session_ms: 7_200_000,
        burst_ms: 1_500,
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
            only_key: None,
            weights: [].into(),
            ..definition(Resource::Sessions, Scope::MediaServer, Enforcement::Hard)
        },
    ]
}

fn operations() -> Vec<Op> {
    let account = AccountId(300);
    let claims = || vec![(claim("sessions", "", ""), 129), (claim("titles", "a", "ann"), 1)];
    let report = ShareReport { claim: claim("sessions", "k", "ann"), share: 300, used: 200, demand: 400 };
    vec![
        Op::Open { ttl_ms: 2_000, tagged: true },
        Op::Report { account, reports: vec![report] },
        Op::Close { account, remaining: claims() },
        Op::Adopt { account, orphan: OrphanId(7), units: claims() },
        Op::ReportSurvey { orphan: OrphanId(7), remaining: claims() },
        Op::ListOrphans,
        Op::ListLimits { account },
        Op::DeclareLimit {
            account,
            definition: definition(Resource::Kbits, Scope::Class, Enforcement::Hard),
        },
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
    let grants =
        || vec![ShareGrant { claim: claim("sessions", "", ""), share: 300, recall: 2, closed: true }];
    vec![
        Answer::Opened(AccountId(300), grants()),
        Answer::Reported(grants(), 128),
        Answer::Limits(definitions(), 129),
        Answer::Declared,
        Answer::Closed,
        Answer::Adopted(grants()),
        Answer::SurveyApplied,
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

fn soft_shares() -> SoftShares {
    SoftShares { shares: [(claim("soft", "", ""), 300), (claim("soft", "k", "ann"), 1)].into() }
}

#[test]
fn messages_match_postcard_fixture() {
    let mut encoded = Vec::new();
    check(&mut encoded, &operations());
    check(&mut encoded, &requests());
    check(&mut encoded, &commands());
    check(&mut encoded, &answers());
    check(&mut encoded, &responses());
    check(&mut encoded, &events());
    check(&mut encoded, &[soft_shares()]);
    assert_same(&encoded, POSTCARD);
}

#[test]
fn definitions_match_json_fixture() {
    let encoded: Vec<String> =
        definitions().iter().map(|definition| serde_json::to_string(definition).expect("encodes")).collect();
    assert_same(&encoded, DEFINITIONS);
    let decode = |line| serde_json::from_str::<LimitDefinition>(line).expect("the fixture decodes");
    assert_eq!(DEFINITIONS.lines().map(decode).collect::<Vec<_>>(), definitions());
}

#[test]
fn tag_matches_fixture() {
    let claims = vec![(claim("sessions", "", ""), 1), (claim("kbits", "k", "ann"), 3_000)];
    let encoded = tag::encode(FrontId(300), &claims).expect("short enough");
    assert_same(&[encoded], TAG);
    assert_eq!(tag::decode(TAG.trim_end()), Some((FrontId(300), claims)));
}

/// Returns a ledger with definitions, a removed limit, an account with shares, orphans of two ages, and last answers.
fn ledger() -> Ledger {
    let mut ledger = Ledger::default();
    let hard = |text: &str, resource| LimitDefinition {
        version: 1,
        fronts: 4,
        min_share: 1,
        ..LimitDefinition::hard(name(text), resource, Scope::All, 1_000)
    };
    let weighted = LimitDefinition {
        scope: Scope::Title,
        weights: [(Key::of("ann"), 3), (Key::of("bob"), 1)].into(),
        reserved_milli: 500,
        ..hard("titles", Resource::Sessions)
    };
    let definitions = [
        hard("sessions", Resource::Sessions),
        hard("set-ups", Resource::SetUps),
        weighted,
        hard("old", Resource::Kbits),
    ];
    for definition in definitions {
        ledger.apply(&Command::Define(definition));
    }
    ledger.apply(&Command::Undefine(name("old"), 2));
    let report = |text: &str, key: &str, customer: &str, demand| ShareReport {
        claim: claim(text, key, customer),
        share: 500,
        used: demand / 2,
        demand,
    };
    let reports = vec![
        report("sessions", "", "", 300),
        report("set-ups", "", "", 20_000),
        report("titles", "a", "ann", 40),
    ];
    let open = |front: u64| (front, Op::Open { ttl_ms: 2_000, tagged: front % 2 == 1 });
    let report_shares =
        |front: u64, account| (front, Op::Report { account: AccountId(account), reports: reports.clone() });
    let remaining = vec![(claim("sessions", "", ""), 12), (claim("titles", "a", "ann"), 3)];
    let operations = [
        open(1),
        open(2),
        open(3),
        report_shares(1, 1),
        report_shares(2, 2),
        report_shares(3, 3),
        (3, Op::Close { account: AccountId(3), remaining }),
        (2, Op::ListLimits { account: AccountId(2) }),
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
fn ledger_matches_fixture() {
    let ledger = ledger();
    assert_eq!((ledger.accounts().count(), ledger.orphans().count()), (1, 2));
    assert_same(&[hex(&ledger.write())], LEDGER);
    assert_eq!(Ledger::read(&unhex(LEDGER.trim_end())), Ok(ledger));
}
