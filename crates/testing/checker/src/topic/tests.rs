use super::*;

fn value_set(key: &str, offset: u64, value: u64) -> Saw {
    Saw::Changed { key: key.into(), offset, value }
}

fn removed(key: &str, at: u64) -> Saw {
    Saw::Gone { key: key.into(), at }
}

/// Returns a record without violations: a set at 0, b set at 1, a deleted at 2, b set at 3 and one refused write.
///
/// The subscriber `early` follows from the start, and `late` subscribes at the end.
fn valid_record() -> Record {
    let mut record = Record::default();
    let writes =
        [("a", Write::Value(1)), ("b", Write::Value(2)), ("a", Write::Delete), ("b", Write::Value(3))];
    for (offset, (key, write)) in (0..).zip(writes) {
        let message = record.sends(key.as_bytes(), write);
        record.told(message, Told::Written(offset));
    }
    let refused = record.sends(b"c", Write::Value(4));
    record.told(refused, Told::Refused);
    for event in
        [Saw::CaughtUp(0), value_set("a", 0, 1), value_set("b", 1, 2), removed("a", 2), value_set("b", 3, 3)]
    {
        record.saw("early", event);
    }
    for event in [value_set("b", 3, 3), Saw::CaughtUp(4)] {
        record.saw("late", event);
    }
    record.ends("early", 4);
    record.ends("late", 4);
    record
}

#[test]
fn accepts_valid_record() {
    let verdict = valid_record().judge();
    assert!(verdict.is_clean(), "{verdict:#?}");
    assert_eq!((verdict.acknowledged, verdict.seen, verdict.caught_up), (4, 7, 2));
}

/// Makes one change to the valid record for each kind of violation, and checks in which lists it is reported.
#[test]
fn reports_each_violation_in_its_list() {
    let violations = |change: &dyn Fn(&mut Record)| {
        let mut record = valid_record();
        change(&mut record);
        let verdict = record.judge();
        [verdict.gaps.len(), verdict.revived.len(), verdict.lost.len(), verdict.twice.len()]
            .map(|count| count > 0)
    };
    let change_early = |record: &mut Record, index: usize, event: Option<Saw>| {
        let events = record.seen.get_mut("early").expect("the subscriber is recorded");
        match event {
            Some(event) => events.insert(index, event),
            None => drop(events.remove(index)),
        }
    };
    // A subscriber that has caught up misses a message, although a later one of the same key replaces it.
    assert_eq!(violations(&|record| change_early(record, 2, None)), [true, false, false, false]);
    // The message is also missing if the subscriber falls behind later.
    assert_eq!(
        violations(&|record| {
            change_early(record, 2, None);
            change_early(record, 4, Some(Saw::Behind));
        }),
        [true, false, false, false]
    );
    // A subscriber misses a deletion, so it still holds the deleted value at the end.
    assert_eq!(violations(&|record| change_early(record, 3, None)), [true, true, false, false]);
    // A deleted value is received again.
    assert_eq!(
        violations(&|record| change_early(record, 4, Some(value_set("a", 0, 1)))),
        [false, true, false, false]
    );
    // An older value is received after a newer one.
    assert_eq!(violations(&|record| record.saw("late", value_set("b", 1, 2))), [false, true, true, false]);
    // A subscriber has caught up without a key, or ends before the last message.
    let remove_first =
        |record: &mut Record| record.seen.get_mut("late").map(|events| events.remove(0)).map_or((), drop);
    assert_eq!(violations(&remove_first), [false, false, true, false]);
    assert_eq!(violations(&|record| record.ends("late", 3)), [false, false, true, false]);
    // A message is received at two offsets, a refused message is received, and an offset is acknowledged twice.
    assert_eq!(violations(&|record| record.saw("late", value_set("b", 5, 3))), [false, false, false, true]);
    assert_eq!(violations(&|record| record.saw("late", value_set("c", 5, 4))), [false, false, false, true]);
    let acknowledge_twice = |record: &mut Record| {
        let message = record.sends(b"d", Write::Delete);
        record.told(message, Told::Written(3));
    };
    assert!(violations(&acknowledge_twice)[3]);
}

/// A message without a result may be received or not, but not at two offsets.
#[test]
fn accepts_message_without_result_at_one_offset_only() {
    let mut record = valid_record();
    record.sends(b"e", Write::Value(9));
    assert!(record.judge().is_clean());
    record.saw("late", value_set("e", 4, 9));
    assert!(record.judge().is_clean(), "{:#?}", record.judge());
    record.saw("early", value_set("e", 5, 9));
    assert!(!record.judge().twice.is_empty());
}
