//! Handling of packets that no correct member sends.

use std::sync::Arc;
use std::time::Duration;

use beechloft_membership::{
    Digests, Incarnation, Input, MemberId, MemberInfo, MemberKind, MemberState, Message, Packet, Swim,
    Update, Zone,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::cluster::address;

fn info(member: usize) -> MemberInfo {
    MemberInfo { address: address(member), zone: Zone::default(), kind: MemberKind::Front }
}

/// Returns an arbitrary packet. `index` makes its addresses and digests differ from those of other packets.
fn arbitrary_packet(rng: &mut ChaCha8Rng, index: u16) -> Packet {
    let member = usize::from(index);
    let id = MemberId(if rng.random_range(0..8) == 0 { rng.random() } else { rng.random_range(0..30) });
    let incarnation = Incarnation(rng.random::<u64>() >> rng.random_range(0..64));
    let by = MemberId(rng.random_range(0..30));
    let update = match rng.random_range(0..3) {
        0 => Update::Alive { id, incarnation, info: Arc::new(info(member)) },
        1 => Update::Suspect { id, incarnation, by },
        _ => Update::Dead { id, incarnation, by },
    };
    let digests = Digests(vec![rng.random(); rng.random_range(0..200)]);
    let seq = rng.random_range(0..2_000);
    let digest = u64::from(index);
    let message = match rng.random_range(0..7) {
        0 => Message::Ping { seq, digest },
        1 => Message::PingRequest { seq, target: id, address: address(member) },
        2 => Message::Ack { seq, digest },
        3 => Message::Nack { seq },
        4 => Message::Replaced { seq },
        5 => Message::CompareDigests { digests, is_reply: rng.random() },
        _ => Message::Updates,
    };
    let to = [None, Some(MemberId(1)), Some(id)][rng.random_range(0..3)];
    Packet { from: by, to, message, updates: vec![update] }
}

#[test]
fn arbitrary_packets_have_bounded_cost() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut swim = Swim::new(MemberId(1), info(0), vec![address(1)], 9, Duration::ZERO);
    let (mut now, mut sent) = (Duration::ZERO, 0usize);
    for index in 0..60_000u16 {
        now += Duration::from_micros(rng.random_range(0..2_000));
        let packet = arbitrary_packet(&mut rng, index);
        let from = address(rng.random_range(0..30));
        sent += swim.handle(now, Input::Received(from, packet)).len();
        assert!(swim.next_deadline() >= Duration::ZERO);
    }
    assert!(swim.members().iter().count() <= 8_192 && swim.queued_updates() <= 8_192);
    let own = swim.members().get(MemberId(1));
    assert!(own.is_some_and(|own| own.state == MemberState::Alive), "the member believes itself dead");
    let counters = swim.counters();
    assert!(counters.invalid_updates > 0 && counters.throttled_exchanges > 0);
    // About one answer per packet is expected, and at most twenty exchanges per second of nine packets each.
    assert!(sent < 60_000 * 2 + 60 * 20 * 10, "{sent}");
}
