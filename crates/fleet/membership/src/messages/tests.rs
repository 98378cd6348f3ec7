use super::*;
use crate::identity::{MAX_ZONE_BYTES, MemberKind, Zone};

#[test]
fn encoded_updates_and_full_packets_respect_their_bounds() {
    let zone = Zone::try_from("z".repeat(MAX_ZONE_BYTES)).expect("a valid name");
    assert!(Zone::try_from("z".repeat(MAX_ZONE_BYTES + 1)).is_err());
    assert!(Zone::try_from("a\n".to_owned()).is_err());
    let address = "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535".parse().expect("a valid address");
    let (id, incarnation) = (MemberId(u64::MAX), Incarnation(u64::MAX));
    let info = Arc::new(MemberInfo { address, zone, kind: MemberKind::Replica });
    let kinds = [
        Update::Alive { id, incarnation, info },
        Update::Suspect { id, incarnation, by: id },
        Update::Dead { id, incarnation, by: id },
    ];
    for update in kinds {
        let encoded = postcard::to_allocvec(&update).expect("the value is encoded");
        assert!(encoded.len() <= update.max_encoded_len(), "{update:?}");
        let updates = vec![update.clone(); MAX_UPDATE_BYTES / update.max_encoded_len()];
        let digests = Digests(vec![u64::MAX; BUCKETS]);
        for message in [
            Message::CompareDigests { digests, is_reply: true },
            Message::PingRequest { seq: u64::MAX, target: id, address },
        ] {
            // An encoded 64-bit integer takes at most ten bytes.
            let packet = Packet { from: id, to: Some(id), message, updates: updates.clone() };
            assert!(postcard::to_allocvec(&packet).expect("the value is encoded").len() <= 1_400);
        }
    }
}
