use beechloft_consensus::NodeId;
use beechloft_membership::Packet;
use beechloft_topic::{Delivery, FeedItem};

use super::*;

#[test]
fn delivery_from_shared_encoding_equals_encoded_message() {
    use beechloft_topic::Offset;
    for item in [
        FeedItem::Heartbeat,
        FeedItem::Behind { head: Offset(9) },
        FeedItem::Resync { incarnation: 1, base: Offset(300) },
    ] {
        let bytes = encode_delivery(9, 7, 300, 1_000, &encode_delivery_item(&item));
        let message =
            Message::Delivery(Delivery { subscription: 7, applied_index: 300, staleness_ms: 1_000, item });
        assert_eq!(Some(&bytes), encode(9, &message).as_ref());
        assert_eq!(read(9, &mut &bytes[..]).expect("a valid message"), message);
    }
}

#[test]
fn rejects_every_corruption_of_message() {
    let message = Message::Hello { id: NodeId(7), listen: "127.0.0.1:1".into(), formed: true };
    let bytes = encode(9, &message).expect("a short message");
    assert_eq!(read(9, &mut &bytes[..]).expect("a valid message"), message);
    assert!(matches!(read(8, &mut &bytes[..]), Err(WireError::Fleet)));
    // Each truncation and each flipped bit must be an error and never another message.
    for cut in 0..bytes.len() {
        assert!(matches!(read(9, &mut &bytes[..cut]), Err(WireError::Io(_))), "{cut}");
    }
    for bit in 0..bytes.len() * 8 {
        let mut corrupted = bytes.clone();
        corrupted[bit / 8] ^= 1 << (bit % 8);
        assert!(read(9, &mut &corrupted[..]).is_err(), "bit {bit}");
    }
    let mut too_long = bytes.clone();
    too_long[14..18].copy_from_slice(&u32::MAX.to_be_bytes());
    assert!(matches!(read(9, &mut &too_long[..]), Err(WireError::TooLong(_))));
    assert_eq!(encode(9, &Message::NotLeader(Some("x".repeat(MAX_BODY_BYTES)))), None);
}

#[test]
fn rejects_every_corruption_of_membership_packet() {
    use beechloft_membership::{Digests, MemberId, Message};
    let message = Message::CompareDigests { digests: Digests(vec![u64::MAX; 64]), is_reply: false };
    let packet = Packet { from: MemberId(7), to: None, message, updates: Vec::new() };
    let bytes = encode_datagram(9, &packet).expect("a short packet");
    assert_eq!(decode_datagram(9, &bytes).expect("a valid packet"), packet);
    assert!(matches!(decode_datagram(8, &bytes), Err(WireError::Fleet)));
    for bit in 0..bytes.len() * 8 {
        let mut corrupted = bytes.clone();
        corrupted[bit / 8] ^= 1 << (bit % 8);
        assert!(decode_datagram(9, &corrupted).is_err(), "bit {bit}");
    }
    for cut in 0..bytes.len() {
        assert!(decode_datagram(9, &bytes[..cut]).is_err(), "{cut}");
    }
    let longer = [&bytes[..], &[0]].concat();
    assert!(matches!(decode_datagram(9, &longer), Err(WireError::Malformed)));
}
