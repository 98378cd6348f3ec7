use beechloft_gossip::{MemberKey, Message, RowDelta, RowVersion, Section};

use super::*;

#[test]
fn a_gossip_packet_survives_encoding_and_every_corruption_is_rejected() {
    let message = Message::CompareDigests { seq: u64::MAX, digests: vec![[255; 8]; 32] };
    let packet = Packet { from: MemberId(7), to: MemberId(8), message };
    let bytes = encode_datagram(9, &packet).expect("short");
    assert_eq!(decode_datagram(9, &bytes).expect("sound"), packet);
    assert!(matches!(decode_datagram(8, &bytes), Err(WireError::Fleet)));
    // It is no packet of members, nor is one of theirs a packet of rows.
    assert!(matches!(wire::decode_datagram(9, &bytes), Err(WireError::Version)));
    for bit in 0..bytes.len() * 8 {
        let mut bad = bytes.clone();
        bad[bit / 8] ^= 1 << (bit % 8);
        assert!(decode_datagram(9, &bad).is_err(), "bit {bit}");
    }
    for cut in 0..bytes.len() {
        assert!(decode_datagram(9, &bytes[..cut]).is_err(), "{cut}");
    }
}

const FLEET: u64 = 0x0102_0304_0506_0708;
const FIXTURE: &str = include_str!("../../../tests/fixtures/gossip_datagrams.txt");

fn packets() -> Vec<(&'static str, Packet)> {
    let packet = |message| Packet { from: MemberId(300), to: MemberId(301), message };
    let versions = || vec![RowVersion { member: MemberKey([1, 2, 3, 4, 5, 6, 7, 8]), version: 300 }];
    let delta = RowDelta {
        member: MemberKey([8; 8]),
        front_number: Some(3),
        since: 1,
        version: 300,
        age_ms: 1_000,
        sections: vec![Section { kind: SectionKind::OUTLIER_REPORT, version: 2, bytes: vec![1, 2, 3] }],
    };
    vec![
        ("compare", packet(Message::CompareDigests { seq: 1, digests: vec![[255; 8], [1; 8]] })),
        (
            "digest",
            packet(Message::Versions { in_reply_to: 1, seq: 2, complete_buckets: 3, versions: versions() }),
        ),
        ("want", packet(Message::RequestRows { seq: 1, versions: versions() })),
        ("rows", packet(Message::Rows { in_reply_to: 2, rows: vec![delta] })),
    ]
}

#[test]
fn every_gossip_datagram_is_encoded_and_decoded_as_the_fixture_has_it() {
    let hex = |bytes: &[u8]| bytes.iter().map(|b| format!("{b:02x}")).collect::<String>();
    let encoded = packets().into_iter().map(|(name, p)| (name, encode_datagram(FLEET, &p).expect("short")));
    let made: String = encoded.map(|(name, bytes)| format!("{name} {}\n", hex(&bytes))).collect();
    assert_eq!(FIXTURE, made, "\n{made}");
    for (line, (name, packet)) in FIXTURE.lines().zip(packets()) {
        let text = line.strip_prefix(name).and_then(|l| l.strip_prefix(' ')).expect(name);
        let bytes: Vec<u8> = (0..text.len())
            .step_by(2)
            .map(|at| u8::from_str_radix(&text[at..at + 2], 16).expect("hex"))
            .collect();
        assert_eq!(decode_datagram(FLEET, &bytes).expect(name), packet);
    }
}
