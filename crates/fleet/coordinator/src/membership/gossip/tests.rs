use beechloft_gossip::{MemberKey, Message, RowDelta, RowVersion, Section};

use super::*;

#[test]
fn rejects_every_corruption_of_gossip_packet() {
    let message = Message::CompareDigests { seq: u64::MAX, digests: vec![[255; 8]; 32] };
    let packet = Packet { from: MemberId(7), to: MemberId(8), message };
    let bytes = encode_datagram(9, &packet).expect("a short packet");
    assert_eq!(decode_datagram(9, &bytes).expect("a valid packet"), packet);
    assert!(matches!(decode_datagram(8, &bytes), Err(WireError::Fleet)));
    // A gossip packet is not accepted as a membership packet.
    assert!(matches!(wire::decode_datagram(9, &bytes), Err(WireError::Version)));
    for bit in 0..bytes.len() * 8 {
        let mut corrupted = bytes.clone();
        corrupted[bit / 8] ^= 1 << (bit % 8);
        assert!(decode_datagram(9, &corrupted).is_err(), "bit {bit}");
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
        front_slot: Some(3),
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
fn gossip_datagrams_match_fixture() {
    let hex = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    let encoded = packets()
        .into_iter()
        .map(|(name, packet)| (name, encode_datagram(FLEET, &packet).expect("a short packet")));
    let lines: String = encoded.map(|(name, bytes)| format!("{name} {}\n", hex(&bytes))).collect();
    assert_eq!(FIXTURE, lines, "\n{lines}");
    for (line, (name, packet)) in FIXTURE.lines().zip(packets()) {
        let digits = line.strip_prefix(name).and_then(|rest| rest.strip_prefix(' ')).expect(name);
        let bytes: Vec<u8> = (0..digits.len())
            .step_by(2)
            .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).expect("hexadecimal digits"))
            .collect();
        assert_eq!(decode_datagram(FLEET, &bytes).expect(name), packet);
    }
}
