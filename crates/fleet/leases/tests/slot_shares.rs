//! Sum of the shares of fronts that use different slot counts.

use beechloft_leases::SlotShare;

/// Returns the part of `limit` that a front may use at a media server.
///
/// It mirrors the rule that the policy applies during slow start.
fn front_limit(server: u32, limit: u32, share: SlotShare) -> u32 {
    let SlotShare::Of { slot, slot_count } = share else { return 0 };
    let rank = (server + slot) % slot_count;
    match limit / slot_count {
        0 => u32::from(rank < limit),
        limit_per_slot => limit_per_slot,
    }
}

#[test]
fn powers_of_two_stay_within_limit() {
    // Covers all combinations of the slot counts 8, 16, 32 and 64 at eight fronts with slots below 8.
    for combination in 0..4u32.pow(8) {
        let slot_count = |slot: u32| 8 << ((combination >> (2 * slot)) & 3);
        for limit in [0, 1, 2, 3, 5, 7, 8, 9, 15, 16, 17, 40] {
            let server = combination % 64;
            let sum: u32 = (0..8)
                .map(|slot| front_limit(server, limit, SlotShare::Of { slot, slot_count: slot_count(slot) }))
                .sum();
            assert!(sum <= limit, "combination {combination}, limit {limit}: {sum}");
        }
    }
}

/// Shows why the slot count must be a power of two. With counts of 5 and 3 and a limit of 2, three fronts have a share.
#[test]
fn other_slot_counts_may_exceed_limit() {
    let with_count = |slot_count: u32| move |slot: u32| front_limit(0, 2, SlotShare::Of { slot, slot_count });
    let sum: u32 = (0..2).map(with_count(5)).sum::<u32>() + (2..5).map(with_count(3)).sum::<u32>();
    assert!(sum > 2, "{sum}");
}
