//! The table under sequences of commands.

use std::collections::BTreeSet;

use super::requests::MAX_HOLDERS;
use super::{Applied, Event, Table};
use crate::message::{
    Answer, Command, GrantPosition, Handoff, HolderId, Op, Rejection, Request, Succession, Token,
};
use crate::name::Name;

fn name(text: &str) -> Name {
    Name::try_from(text.to_owned()).expect("a name")
}

fn request(table: &mut Table, holder: u64, seq: u64, op: Op) -> Answer {
    let command = Command::Request(Request { holder: HolderId(holder), seq, op });
    table.apply(&command).answer.expect("an answer")
}

/// The token of a grant.
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
fn a_retransmitted_request_is_applied_once_and_an_earlier_one_not_at_all() {
    let mut table = Table::default();
    assert_eq!(token(request(&mut table, 1, 5, acquire(1))), Some(1));
    assert_eq!(token(request(&mut table, 1, 5, acquire(1))), Some(1));
    let release = Op::Release { name: name("task"), token: Token(1) };
    assert_eq!(request(&mut table, 1, 6, release.clone()), Answer::Released);
    assert_eq!(token(request(&mut table, 2, 1, acquire(1))), Some(2));
    // Late retransmissions.
    assert_eq!(request(&mut table, 1, 5, acquire(1)), Answer::Rejected(Rejection::Superseded));
    assert_eq!(request(&mut table, 1, 6, release), Answer::Released);
    assert_eq!(
        table.grants().map(|entry| (entry.token, entry.grant.holder)).collect::<Vec<_>>(),
        [(Token(2), HolderId(2))]
    );
}

#[test]
fn the_number_of_slots_is_enforced_and_tokens_increase() {
    let mut table = Table::default();
    for (holder, given) in [(1, 1), (2, 2)] {
        assert_eq!(token(request(&mut table, holder, 1, acquire(2))), Some(given));
    }
    assert_eq!(request(&mut table, 3, 1, acquire(2)), Answer::Rejected(Rejection::NoFreeSlot));
    assert_eq!(request(&mut table, 3, 2, acquire(3)), Answer::Rejected(Rejection::SlotCount));
    // A holder that acquires again has a new grant instead of its earlier one.
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
fn each_grant_has_the_lowest_free_slot_and_its_answer_has_the_slot_bound() {
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
    // Acquired again it is the same slot, with another grant.
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
fn a_grant_that_was_renewed_since_does_not_expire() {
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
fn a_table_reads_as_it_was_written_and_malformed_bytes_are_an_error() {
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

fn hand_off(token: u64, newest: u64) -> Op {
    let handoff =
        Handoff { slot_count: 8, remaining_ms: 700, newest_token: Token(newest), reserve_ms: 5_000 };
    Op::HandOff { name: name("task"), token: Token(token), handoff }
}

/// Slot, token and what was taken over.
fn succession(answer: Answer) -> (u16, u64, Option<Succession>) {
    match answer {
        Answer::HeldByInstance(token, position, grant) => (position.slot, token.0, grant.succession),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_slot_that_is_handed_off_is_taken_over_once_by_its_instance_and_by_no_other() {
    let mut table = Table::default();
    for (holder, slot, instance) in [(1, 0, "a"), (2, 1, "b")] {
        assert_eq!(succession(request(&mut table, holder, 1, acquire_as(instance))), (slot, holder, None));
    }
    assert_eq!(
        request(&mut table, 2, 2, hand_off(1, 2)),
        Answer::Rejected(Rejection::NotHeld),
        "another holder's grant"
    );
    assert_eq!(request(&mut table, 1, 2, hand_off(1, 2)), Answer::HandedOff);
    assert_eq!(table.grant(Token(1)).map(|grant| (grant.slot, grant.ttl_ms)), Some((0, 5_000)));
    // It is handed off once, and its holder has it no more.
    assert_eq!(request(&mut table, 1, 3, hand_off(1, 2)), Answer::Rejected(Rejection::NotHeld));
    let renew = Op::Renew { name: name("task"), token: Token(1) };
    assert_eq!(request(&mut table, 1, 4, renew), Answer::Rejected(Rejection::NotHeld));
    // An expiry that was proposed before the handoff has no effect.
    assert_eq!(
        table.apply(&Command::Expire { token: Token(1), renewals: 0 }),
        Applied { answer: None, event: None }
    );
    // Another instance, or none, has a slot of its own.
    assert_eq!(succession(request(&mut table, 3, 1, acquire_as("c"))), (2, 3, None));
    assert_eq!(token(request(&mut table, 4, 1, acquire(9))), Some(4));
    let handed_off = Some(Succession { slot_count: 8, remaining_ms: 700 });
    let taken = table.apply(&Command::Request(Request { holder: HolderId(5), seq: 1, op: acquire_as("a") }));
    assert_eq!(taken.answer.map(succession), Some((0, 5, handed_off)));
    assert!(matches!(taken.event, Some(Event::Granted { previous: Some(Token(1)), .. })), "{taken:?}");
    // A second holder of the same instance.
    assert_eq!(succession(request(&mut table, 6, 1, acquire_as("a"))), (4, 6, None));
    let slots: BTreeSet<u16> = table.grants().map(|entry| entry.grant.slot).collect();
    assert_eq!(slots.len(), 5);
    assert_eq!(Table::read(&table.write()), Ok(table));
}

#[test]
fn a_table_of_a_version_without_instances_is_read() {
    let mut table = Table::default();
    request(&mut table, 1, 1, acquire(2));
    request(&mut table, 2, 1, acquire(2));
    // Such a version did not write the two maps at the end, which are empty.
    let bytes = table.write();
    assert_eq!(bytes[bytes.len() - 2..], [0, 0]);
    assert_eq!(Table::read(&bytes[..bytes.len() - 2]), Ok(table));
}

#[test]
fn values_out_of_range_are_rejected_and_idle_holders_past_the_maximum_are_evicted() {
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
    assert!(table.last_answers.contains_key(&HolderId(3)), "it has a grant");
}
