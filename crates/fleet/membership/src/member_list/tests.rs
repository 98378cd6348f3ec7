use super::*;
use crate::identity::{MemberKind, Zone};

fn alive(id: u64, incarnation: u64) -> Update {
    let address = "127.0.0.1:1".parse().expect("an address");
    let info = Arc::new(MemberInfo { address, zone: Zone::default(), kind: MemberKind::Front });
    Update::Alive { id: MemberId(id), incarnation: Incarnation(incarnation), info }
}

fn suspect(id: u64, incarnation: u64, by: u64) -> Update {
    Update::Suspect { id: MemberId(id), incarnation: Incarnation(incarnation), by: MemberId(by) }
}

fn dead(id: u64, incarnation: u64, by: u64) -> Update {
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
fn the_same_updates_in_any_order_end_in_the_same_state() {
    let updates = [
        alive(1, 0),
        alive(1, 1),
        alive(1, 3),
        suspect(1, 0, 7),
        suspect(1, 1, 8),
        suspect(1, 2, 7),
        dead(1, 1, 9),
        dead(1, 2, 9),
    ];
    let mut ends = BTreeMap::new();
    for_each_permutation(updates.len(), |order| {
        let mut members = MemberList::default();
        // The first update of a member must be that it is alive, as others are ignored.
        members.apply(Duration::ZERO, &alive(1, 0));
        for index in order {
            members.apply(Duration::ZERO, &updates[*index]);
        }
        let member = members.get(MemberId(1)).expect("known");
        let end = (member.state, member.incarnation, members.digest(), members.active_count());
        *ends.entry(end).or_insert(0) += 1;
    });
    assert_eq!(ends.values().sum::<i32>(), 40_320);
    assert_eq!(ends.len(), 1, "{ends:?}");
    assert_eq!(ends.keys().next().map(|end| (end.0, end.1)), Some((MemberState::Alive, Incarnation(3))));
}

#[test]
fn a_member_that_left_stays_away_and_a_dead_one_comes_back_by_a_higher_incarnation() {
    let mut members = MemberList::default();
    assert_eq!(members.apply(Duration::ZERO, &suspect(1, 0, 2)), Effect::Stale, "an unknown member");
    for id in [1, 2] {
        assert_eq!(members.apply(Duration::ZERO, &alive(id, 0)), Effect::Joined);
    }
    let before = members.digest();
    members.apply(Duration::ZERO, &dead(1, 0, 3));
    members.apply(Duration::ZERO, &dead(2, 0, 2));
    assert_eq!((members.active_count(), members.digest()), (0, MemberList::default().digest()));
    assert_eq!(members.apply(Duration::ZERO, &alive(1, 0)), Effect::Stale);
    assert_eq!(members.apply(Duration::ZERO, &alive(1, 1)), Effect::Joined);
    assert_eq!(members.apply(Duration::ZERO, &alive(2, 1)), Effect::Stale);
    assert_ne!(members.digest(), before);
    members.remove_expired(DEAD_MEMBER_RETENTION);
    assert_eq!(members.iter().map(|member| member.0).collect::<Vec<_>>(), [MemberId(1)]);
}

#[test]
fn a_full_list_evicts_dead_members_and_no_others() {
    let mut members = MemberList::default();
    for id in 0..MAX_MEMBERS as u64 {
        members.apply(Duration::ZERO, &alive(id, 0));
    }
    let another = alive(MAX_MEMBERS as u64, 0);
    assert_eq!(members.apply(Duration::ZERO, &another), Effect::Stale);
    members.apply(Duration::from_secs(1), &dead(5, 0, 6));
    assert_eq!(members.apply(Duration::ZERO, &another), Effect::Joined);
    assert_eq!((members.active_count(), members.get(MemberId(5))), (MAX_MEMBERS, None));
}
