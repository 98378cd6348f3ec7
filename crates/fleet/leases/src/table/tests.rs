//! Sequences of commands applied to the table.

use std::collections::BTreeSet;

use super::requests::MAX_HOLDERS;
use super::{Applied, Event, Table};
use crate::message::{
    Answer, Command, GrantPosition, Handoff, HolderId, Op, Rejection, Request, Succession, Token,
};
use crate::name::Name;

fn name(text: &str) -> Name {
    Name::try_from(text.to_owned()).expect("a valid name")
}

/// Applies a request and returns the answer.
fn request(table: &mut Table, holder: u64, seq: u64, op: Op) -> Answer {
    let command = Command::Request(Request { holder: HolderId(holder), seq, op });
    table.apply(&command).answer.expect("a request has an answer")
}

/// Returns the granted token. Returns `None` if the answer is not a grant.
fn token(answer: Answer) -> Option<u64> {
    match answer {
        Answer::Granted(token, _) => Some(token.0),
        _ => None,
    }
}

fn acquire(slots: u16) -> Op {
    Op::Acquire { name: name("task"), slots, ttl_ms: 3_000 }
}

#[test]
fn applies_retransmitted_request_once() {
    let mut table = Table::default();
    assert_eq!(token(request(&mut table, 1, 5, acquire(1))), Some(1));
    assert_eq!(token(request(&mut table, 1, 5, acquire(1))), Some(1));
    let release = Op::Release { name: name("task"), token: Token(1) };
    assert_eq!(request(&mut table, 1, 6, release.clone()), Answer::Released);
    assert_eq!(token(request(&mut table, 2, 1, acquire(1))), Some(2));
    // Retransmissions may also arrive late.
    assert_eq!(request(&mut table, 1, 5, acquire(1)), Answer::Rejected(Rejection::Superseded));
    assert_eq!(request(&mut table, 1, 6, release), Answer::Released);
    assert_eq!(
        table.grants().map(|entry| (entry.token, entry.grant.holder)).collect::<Vec<_>>(),
        [(Token(2), HolderId(2))]
    );
}

#[test]
fn enforces_slot_count_and_increases_tokens() {
    let mut table = Table::default();
    for (holder, expected) in [(1, 1), (2, 2)] {
        assert_eq!(token(request(&mut table, holder, 1, acquire(2))), Some(expected));
    }
    assert_eq!(request(&mut table, 3, 1, acquire(2)), Answer::Rejected(Rejection::NoFreeSlot));
    assert_eq!(request(&mut table, 3, 2, acquire(3)), Answer::Rejected(Rejection::SlotCount));
    // A repeated acquisition replaces the holder's earlier grant.
    assert_eq!(token(request(&mut table, 1, 2, acquire(2))), Some(3));
    assert_eq!(table.grants().map(|entry| entry.token).collect::<Vec<_>>(), [Token(2), Token(3)]);
    let renew = |token| Op::Renew { name: name("task"), token: Token(token) };
    assert_eq!(request(&mut table, 1, 3, renew(1)), Answer::Rejected(Rejection::NotHeld));
    assert_eq!(
        request(&mut table, 1, 4, renew(2)),
        Answer::Rejected(Rejection::NotHeld),
        "another holder's grant"
    );
    assert!(matches!(request(&mut table, 1, 5, renew(3)), Answer::Renewed(Token(3), _)));
}

#[test]
fn grants_lowest_free_slot() {
    let mut table = Table::default();
    let mut acquire = |holder, seq, ttl_ms| {
        let op = Op::Acquire { name: name("task"), slots: 9, ttl_ms };
        match request(&mut table, holder, seq, op) {
            Answer::Granted(token, position) => {
                (token, (position.slot, position.slot_bound, position.max_ttl_ms))
            }
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(acquire(1, 1, 3_000).1, (0, 1, 3_000));
    let second = acquire(2, 1, 9_000);
    assert_eq!(second.1, (1, 2, 9_000));
    assert_eq!(acquire(3, 1, 3_000).1, (2, 3, 9_000));
    // A repeated acquisition keeps the slot and gets another token.
    assert_eq!(acquire(1, 2, 3_000).1, (0, 3, 9_000));
    let third = acquire(3, 2, 3_000).0;
    request(&mut table, 2, 2, Op::Release { name: name("task"), token: second.0 });
    let renewed = request(&mut table, 3, 3, Op::Renew { name: name("task"), token: third });
    assert_eq!(renewed, Answer::Renewed(third, GrantPosition { slot: 2, slot_bound: 3, max_ttl_ms: 3_000 }));
    let op = |ttl_ms| Op::Acquire { name: name("task"), slots: 9, ttl_ms };
    let slots: Vec<u16> = (10..16)
        .map(|holder| match request(&mut table, u64::from(holder), 1, op(1_000 + holder)) {
            Answer::Granted(_, position) => position.slot,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(slots, [1, 3, 4, 5, 6, 7]);
}

#[test]
fn ignores_expiry_of_renewed_grant() {
    let mut table = Table::default();
    request(&mut table, 1, 1, acquire(1));
    request(&mut table, 1, 2, Op::Renew { name: name("task"), token: Token(1) });
    assert_eq!(
        table.apply(&Command::Expire { token: Token(1), renewals: 0 }),
        Applied { answer: None, event: None }
    );
    assert_eq!(request(&mut table, 2, 1, acquire(1)), Answer::Rejected(Rejection::NoFreeSlot));
    let expired = table.apply(&Command::Expire { token: Token(1), renewals: 1 });
    assert_eq!(expired, Applied { answer: None, event: Some(Event::Expired(name("task"), Token(1))) });
    assert_eq!(
        table.apply(&Command::Expire { token: Token(1), renewals: 1 }),
        Applied { answer: None, event: None }
    );
    assert_eq!(token(request(&mut table, 2, 2, acquire(1))), Some(2));
}

#[test]
fn round_trips_table_and_rejects_malformed_bytes() {
    let mut table = Table::default();
    request(&mut table, 1, 1, acquire(2));
    request(&mut table, 2, 1, acquire(2));
    assert_eq!(Table::read(&table.write()), Ok(table.clone()));
    assert!(Table::read(&[0xff; 9]).is_err());
    assert_eq!(Table::read(&[]), Ok(Table::default()));
    assert!(Name::try_from("a b".to_owned()).is_err() && Name::try_from(String::new()).is_err());
}

fn acquire_as(instance: &str) -> Op {
    Op::AcquireAs { name: name("task"), slots: 9, ttl_ms: 3_000, instance: name(instance) }
}

fn hand_off(token: u64, newest_token: u64) -> Op {
    let handoff =
        Handoff { slot_count: 8, remaining_ms: 700, newest_token: Token(newest_token), reserve_ms: 5_000 };
    Op::HandOff { name: name("task"), token: Token(token), handoff }
}

/// Returns the slot, the token and the succession of a grant to an instance.
fn instance_grant(answer: Answer) -> (u16, u64, Option<Succession>) {
    match answer {
        Answer::HeldByInstance(token, position, grant) => (position.slot, token.0, grant.succession),
        other => panic!("{other:?}"),
    }
}

#[test]
fn hands_slot_to_one_successor_of_same_instance() {
    let mut table = Table::default();
    for (holder, slot, instance) in [(1, 0, "a"), (2, 1, "b")] {
        let answer = request(&mut table, holder, 1, acquire_as(instance));
        assert_eq!(instance_grant(answer), (slot, holder, None));
    }
    assert_eq!(
        request(&mut table, 2, 2, hand_off(1, 2)),
        Answer::Rejected(Rejection::NotHeld),
        "another holder's grant"
    );
    assert_eq!(request(&mut table, 1, 2, hand_off(1, 2)), Answer::HandedOff);
    assert_eq!(table.grant(Token(1)).map(|grant| (grant.slot, grant.ttl_ms)), Some((0, 5_000)));
    // The handed-off grant cannot be handed off again or renewed.
    assert_eq!(request(&mut table, 1, 3, hand_off(1, 2)), Answer::Rejected(Rejection::NotHeld));
    let renew = Op::Renew { name: name("task"), token: Token(1) };
    assert_eq!(request(&mut table, 1, 4, renew), Answer::Rejected(Rejection::NotHeld));
    // An expiry that was proposed before the handoff has no effect.
    assert_eq!(
        table.apply(&Command::Expire { token: Token(1), renewals: 0 }),
        Applied { answer: None, event: None }
    );
    // Holders of another instance or without an instance get another slot.
    assert_eq!(instance_grant(request(&mut table, 3, 1, acquire_as("c"))), (2, 3, None));
    assert_eq!(token(request(&mut table, 4, 1, acquire(9))), Some(4));
    let succession = Some(Succession { slot_count: 8, remaining_ms: 700 });
    let applied =
        table.apply(&Command::Request(Request { holder: HolderId(5), seq: 1, op: acquire_as("a") }));
    assert_eq!(applied.answer.map(instance_grant), Some((0, 5, succession)));
    assert!(matches!(applied.event, Some(Event::Granted { previous: Some(Token(1)), .. })), "{applied:?}");
    // A second holder of the same instance gets another slot without a succession.
    assert_eq!(instance_grant(request(&mut table, 6, 1, acquire_as("a"))), (4, 6, None));
    let slots: BTreeSet<u16> = table.grants().map(|entry| entry.grant.slot).collect();
    assert_eq!(slots.len(), 5);
    assert_eq!(Table::read(&table.write()), Ok(table));
}

#[test]
fn reads_table_without_instances() {
    let mut table = Table::default();
    request(&mut table, 1, 1, acquire(2));
    request(&mut table, 2, 1, acquire(2));
    // Versions without instances did not write the last two maps, which are empty here.
    let bytes = table.write();
    assert_eq!(bytes[bytes.len() - 2..], [0, 0]);
    assert_eq!(Table::read(&bytes[..bytes.len() - 2]), Ok(table));
}

#[test]
fn rejects_out_of_range_values_and_evicts_idle_holders() {
    let mut table = Table::default();
    for ttl_ms in [0, 99, 3_600_001] {
        let op = Op::Acquire { name: name("task"), slots: 1, ttl_ms };
        assert_eq!(
            request(&mut table, 1, 1 + u64::from(ttl_ms), op),
            Answer::Rejected(Rejection::TtlOutOfRange)
        );
    }
    assert_eq!(request(&mut table, 2, 1, acquire(0)), Answer::Rejected(Rejection::SlotCount));
    request(&mut table, 3, 1, acquire(1));
    for holder in 10..10 + 2 * MAX_HOLDERS as u64 {
        request(&mut table, holder, 1, acquire(1));
    }
    assert_eq!(table.last_answers.len(), MAX_HOLDERS);
    assert!(table.last_answers.contains_key(&HolderId(3)), "a holder with a grant was evicted");
}
