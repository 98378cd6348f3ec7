//! The sum of all shares when fronts use different slot counts.

use beechloft_leases::SlotShare;

/// As the module paces (`Policy::pace_allows`): how much of `all` a front may do at one server.
fn allowed(server: u32, all: u32, share: SlotShare) -> u32 {
    let SlotShare::Of { slot, slot_count } = share else { return 0 };
    let turn = (server + slot) % slot_count;
    match all / slot_count {
        0 => u32::from(turn < all),
        per_slot => per_slot,
    }
}

#[test]
fn fronts_with_different_powers_of_two_as_slot_counts_stay_under_the_whole() {
    // All combinations of the counts 8, 16, 32 and 64 at eight fronts with slots under 8, at all servers and wholes.
    for combination in 0..4u32.pow(8) {
        let slot_count = |slot: u32| 8 << ((combination >> (2 * slot)) & 3);
        for all in [0, 1, 2, 3, 5, 7, 8, 9, 15, 16, 17, 40] {
            let server = combination % 64;
            let sum: u32 = (0..8)
                .map(|slot| allowed(server, all, SlotShare::Of { slot, slot_count: slot_count(slot) }))
                .sum();
            assert!(sum <= all, "{combination} {all}: {sum}");
        }
    }
}

#[test]
fn fronts_with_other_slot_counts_may_exceed_the_whole() {
    // Why the count is a power of two: with counts of 5 and 3 and a whole of 2, three have a turn.
    let with_count = |slot_count: u32| move |slot: u32| allowed(0, 2, SlotShare::Of { slot, slot_count });
    let sum: u32 = (0..2).map(with_count(5)).sum::<u32>() + (2..5).map(with_count(3)).sum::<u32>();
    assert!(sum > 2, "{sum}");
}
