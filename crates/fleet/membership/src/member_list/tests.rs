use super::*;
use crate::identity::{MemberKind, Zone};

fn alive_update(id: u64, incarnation: u64) -> Update {
    let address = "127.0.0.1:1".parse().expect("a valid address");
    let info = Arc::new(MemberInfo { address, zone: Zone::default(), kind: MemberKind::Front });
    Update::Alive { id: MemberId(id), incarnation: Incarnation(incarnation), info }
}

fn suspect_update(id: u64, incarnation: u64, by: u64) -> Update {
    Update::Suspect { id: MemberId(id), incarnation: Incarnation(incarnation), by: MemberId(by) }
}

fn dead_update(id: u64, incarnation: u64, by: u64) -> Update {
    Update::Dead { id: MemberId(id), incarnation: Incarnation(incarnation), by: MemberId(by) }
}

/// Calls `visit` with all permutations, by Heap's algorithm.
fn for_each_permutation(items: usize, mut visit: impl FnMut(&[usize])) {
    let mut order: Vec<usize> = (0..items).collect();
    let mut counters = vec![0; items];
    let mut index = 0;
    visit(&order);
    while index < items {
        if counters[index] < index {
            order.swap(if index.is_multiple_of(2) { 0 } else { counters[index] }, index);
            visit(&order);
            counters[index] += 1;
            index = 0;
        } else {
            counters[index] = 0;
            index += 1;
        }
    }
}

#[test]
fn update_order_does_not_affect_the_state() {
    let updates = [
        alive_update(1, 0),
        alive_update(1, 1),
        alive_update(1, 3),
        suspect_update(1, 0, 7),
        suspect_update(1, 1, 8),
        suspect_update(1, 2, 7),
        dead_update(1, 1, 9),
        dead_update(1, 2, 9),
    ];
    let mut results = BTreeMap::new();
    for_each_permutation(updates.len(), |order| {
        let mut members = MemberList::default();
        // The list ignores other updates of an unknown member.
        members.apply(Duration::ZERO, &alive_update(1, 0));
        for index in order {
            members.apply(Duration::ZERO, &updates[*index]);
        }
        let member = members.get(MemberId(1)).expect("the member is known");
        let result = (member.state, member.incarnation, members.digest(), members.active_count());
        *results.entry(result).or_insert(0) += 1;
    });
    assert_eq!(results.values().sum::<i32>(), 40_320);
    assert_eq!(results.len(), 1, "{results:?}");
    assert_eq!(
        results.keys().next().map(|result| (result.0, result.1)),
        Some((MemberState::Alive, Incarnation(3)))
    );
}

#[test]
fn higher_incarnation_revives_dead_member_but_not_departed_one() {
    let mut members = MemberList::default();
    assert_eq!(
        members.apply(Duration::ZERO, &suspect_update(1, 0, 2)),
        Effect::Stale,
        "the member is unknown"
    );
    for id in [1, 2] {
        assert_eq!(members.apply(Duration::ZERO, &alive_update(id, 0)), Effect::Joined);
    }
    let before = members.digest();
    members.apply(Duration::ZERO, &dead_update(1, 0, 3));
    members.apply(Duration::ZERO, &dead_update(2, 0, 2));
    assert_eq!((members.active_count(), members.digest()), (0, MemberList::default().digest()));
    assert_eq!(members.apply(Duration::ZERO, &alive_update(1, 0)), Effect::Stale);
    assert_eq!(members.apply(Duration::ZERO, &alive_update(1, 1)), Effect::Joined);
    assert_eq!(members.apply(Duration::ZERO, &alive_update(2, 1)), Effect::Stale);
    assert_ne!(members.digest(), before);
    members.remove_expired(DEAD_MEMBER_RETENTION);
    assert_eq!(members.iter().map(|member| member.0).collect::<Vec<_>>(), [MemberId(1)]);
}

#[test]
fn full_list_evicts_only_dead_members() {
    let mut members = MemberList::default();
    for id in 0..MAX_MEMBERS as u64 {
        members.apply(Duration::ZERO, &alive_update(id, 0));
    }
    let another = alive_update(MAX_MEMBERS as u64, 0);
    assert_eq!(members.apply(Duration::ZERO, &another), Effect::Stale);
    members.apply(Duration::from_secs(1), &dead_update(5, 0, 6));
    assert_eq!(members.apply(Duration::ZERO, &another), Effect::Joined);
    assert_eq!((members.active_count(), members.get(MemberId(5))), (MAX_MEMBERS, None));
}
