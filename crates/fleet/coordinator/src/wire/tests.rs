use beechloft_consensus::NodeId;
use beechloft_membership::Packet;
use beechloft_topic::{Said, Told};

use super::*;

#[test]
fn a_delivery_from_a_shared_encoding_equals_the_encoded_message() {
    use beechloft_topic::Offset;
    for what in [Said::Still, Said::Behind { head: Offset(9) }, Said::Anew { life: 1, base: Offset(300) }] {
        let bytes = encode_delivery(9, 7, 300, 1_000, &encode_feed_item(&what));
        let message = Message::Delivery(Told { feed: 7, applied: 300, silent_ms: 1_000, said: what });
        assert_eq!(Some(&bytes), encode(9, &message).as_ref());
        assert_eq!(read(9, &mut &bytes[..]).expect("sound"), message);
    }
}

#[test]
fn a_message_survives_encoding_and_every_corruption_is_rejected() {
    let message = Message::Hello { id: NodeId(7), listen: "127.0.0.1:1".into(), formed: true };
    let bytes = encode(9, &message).expect("short");
    assert_eq!(read(9, &mut &bytes[..]).expect("sound"), message);
    assert!(matches!(read(8, &mut &bytes[..]), Err(WireError::Fleet)));
    // Every cut and every flipped bit is an error, never another message.
    for cut in 0..bytes.len() {
        assert!(matches!(read(9, &mut &bytes[..cut]), Err(WireError::Io(_))), "{cut}");
    }
    for bit in 0..bytes.len() * 8 {
        let mut bad = bytes.clone();
        bad[bit / 8] ^= 1 << (bit % 8);
        assert!(read(9, &mut &bad[..]).is_err(), "bit {bit}");
    }
    let mut long = bytes.clone();
    long[14..18].copy_from_slice(&u32::MAX.to_be_bytes());
    assert!(matches!(read(9, &mut &long[..]), Err(WireError::TooLong(_))));
    assert_eq!(encode(9, &Message::NotLeader(Some("x".repeat(MAX_BODY_BYTES)))), None);
}

#[test]
fn a_membership_packet_survives_encoding_and_every_corruption_is_rejected() {
    use beechloft_membership::{Digests, MemberId, Message};
    let message = Message::CompareDigests { digests: Digests(vec![u64::MAX; 64]), is_reply: false };
    let packet = Packet { from: MemberId(7), to: None, message, updates: Vec::new() };
    let bytes = encode_datagram(9, &packet).expect("short");
    assert_eq!(decode_datagram(9, &bytes).expect("sound"), packet);
    assert!(matches!(decode_datagram(8, &bytes), Err(WireError::Fleet)));
    for bit in 0..bytes.len() * 8 {
        let mut bad = bytes.clone();
        bad[bit / 8] ^= 1 << (bit % 8);
        assert!(decode_datagram(9, &bad).is_err(), "bit {bit}");
    }
    for cut in 0..bytes.len() {
        assert!(decode_datagram(9, &bytes[..cut]).is_err(), "{cut}");
    }
    let longer = [&bytes[..], &[0]].concat();
    assert!(matches!(decode_datagram(9, &longer), Err(WireError::Malformed)));
}
