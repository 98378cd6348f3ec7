use super::*;

fn changed(key: &str, offset: u64, value: u64) -> Saw {
    Saw::Changed { key: key.into(), offset, value }
}

fn gone(key: &str, at: u64) -> Saw {
    Saw::Gone { key: key.into(), at }
}

/// Three messages: a at 0, b at 1, a deleted at 2, b again at 3; one follows from the start, one comes late.
fn sound() -> Record {
    let mut r = Record::default();
    let writes =
        [("a", Write::Value(1)), ("b", Write::Value(2)), ("a", Write::Delete), ("b", Write::Value(3))];
    for (offset, (key, write)) in (0..).zip(writes) {
        let message = r.sends(key.as_bytes(), write);
        r.told(message, Told::Written(offset));
    }
    let refused = r.sends(b"c", Write::Value(4));
    r.told(refused, Told::Refused);
    for saw in [Saw::CaughtUp(0), changed("a", 0, 1), changed("b", 1, 2), gone("a", 2), changed("b", 3, 3)] {
        r.saw("early", saw);
    }
    for saw in [changed("b", 3, 3), Saw::CaughtUp(4)] {
        r.saw("late", saw);
    }
    r.ends("early", 4);
    r.ends("late", 4);
    r
}

#[test]
fn what_is_sound_is_found_so() {
    let verdict = sound().judge();
    assert!(verdict.is_clean(), "{verdict:#?}");
    assert_eq!((verdict.acknowledged, verdict.seen, verdict.caught_up), (4, 7, 2));
}

/// Each thing that can be wrong, done to the sound record, is found in its list.
#[test]
fn each_breach_is_found() {
    let found = |change: &dyn Fn(&mut Record)| {
        let mut r = sound();
        change(&mut r);
        let v = r.judge();
        [v.gaps.len(), v.revived.len(), v.lost.len(), v.twice.len()].map(|n| n > 0)
    };
    let early = |r: &mut Record, n: usize, saw: Option<Saw>| {
        let seen = r.seen.get_mut("early").expect("it is there");
        match saw {
            Some(saw) => seen.insert(n, saw),
            None => drop(seen.remove(n)),
        }
    };
    // One that was caught up misses a message, though a later one of the same key covers it.
    assert_eq!(found(&|r| early(r, 2, None)), [true, false, false, false]);
    // ... and misses it up to where it falls behind.
    assert_eq!(
        found(&|r| {
            early(r, 2, None);
            early(r, 4, Some(Saw::Behind));
        }),
        [true, false, false, false]
    );
    // A deletion is missed: what was deleted is held at the end.
    assert_eq!(found(&|r| early(r, 3, None)), [true, true, false, false]);
    // What was deleted comes back.
    assert_eq!(found(&|r| early(r, 4, Some(changed("a", 0, 1)))), [false, true, false, false]);
    // An older value after a newer one.
    assert_eq!(found(&|r| r.saw("late", changed("b", 1, 2))), [false, true, true, false]);
    // Caught up without a key, or too early.
    let without = |r: &mut Record| r.seen.get_mut("late").map(|s| s.remove(0)).map_or((), drop);
    assert_eq!(found(&without), [false, false, true, false]);
    assert_eq!(found(&|r| r.ends("late", 3)), [false, false, true, false]);
    // A message at two offsets, a refused one, and an offset acknowledged twice.
    assert_eq!(found(&|r| r.saw("late", changed("b", 5, 3))), [false, false, false, true]);
    assert_eq!(found(&|r| r.saw("late", changed("c", 5, 4))), [false, false, false, true]);
    let again = |r: &mut Record| {
        let message = r.sends(b"d", Write::Delete);
        r.told(message, Told::Written(3));
    };
    assert!(found(&again)[3]);
}

/// What nobody knows the end of may be there or not, but not at two offsets.
#[test]
fn what_is_unsure_may_be_there_once_or_not_at_all() {
    let mut r = sound();
    r.sends(b"e", Write::Value(9));
    assert!(r.judge().is_clean());
    r.saw("late", changed("e", 4, 9));
    assert!(r.judge().is_clean(), "{:#?}", r.judge());
    r.saw("early", changed("e", 5, 9));
    assert!(!r.judge().twice.is_empty());
}
