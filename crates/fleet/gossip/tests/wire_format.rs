//! Encoding of each kind of packet and of row deltas. Committed bytes must be encoded and decoded without a difference.

use std::collections::BTreeMap;

use beechloft_gossip::{MemberKey, Message, Packet, RowDelta, RowVersion, Section, SectionKind};
use beechloft_membership::MemberId;

const FIXTURES: &str = include_str!("fixtures/packets.txt");

/// Returns the committed bytes of each sample. Each line of the file has a sample's name and its bytes in hexadecimal.
fn fixtures() -> BTreeMap<&'static str, Vec<u8>> {
    let parse = |line: &'static str| {
        let (name, hex) = line.split_once(' ').expect("a name and its bytes");
        let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hexadecimal");
        (name, (0..hex.len()).step_by(2).map(byte).collect())
    };
    FIXTURES.lines().map(parse).collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn deltas() -> Vec<(&'static str, RowDelta)> {
    let member = MemberKey::from(MemberId(0x1122_3344_5566_7788));
    let sections = vec![
        Section { kind: SectionKind::SOFT_QUOTAS, version: 130, bytes: vec![1, 2, 3, 200] },
        Section { kind: SectionKind::OUTLIER_REPORT, version: 400, bytes: Vec::new() },
    ];
    let full =
        RowDelta { member, front_slot: Some(300), since: 129, version: 70_000, age_ms: 90_000, sections };
    let empty =
        RowDelta { front_slot: None, since: 0, version: 1, age_ms: 0, sections: Vec::new(), ..full.clone() };
    vec![("delta", full), ("delta-empty", empty)]
}

fn packets() -> Vec<(&'static str, Packet)> {
    let packet = |message: Message| Packet { from: MemberId(7), to: MemberId(u64::MAX), message };
    let digests = (0..32u64).map(|bucket| (bucket * 0x0101_0101_0101_0101).to_le_bytes()).collect();
    let versions = vec![
        RowVersion { member: MemberId(5).into(), version: 0 },
        RowVersion { member: MemberId(u64::MAX - 2).into(), version: 300 },
    ];
    let rows = deltas().into_iter().map(|(_, delta)| delta).collect();
    vec![
        ("compare", packet(Message::CompareDigests { seq: u64::MAX, digests })),
        (
            "digest",
            packet(Message::Versions {
                in_reply_to: 1_000,
                seq: 2_000,
                complete_buckets: 0x8000_0001,
                versions: versions.clone(),
            }),
        ),
        ("want", packet(Message::RequestRows { seq: 3_000, versions })),
        ("rows", packet(Message::Rows { in_reply_to: 4_000, rows })),
    ]
}

#[test]
fn delta_encoding_matches_fixtures() {
    let fixtures = fixtures();
    for (name, delta) in deltas() {
        let bytes = postcard::to_allocvec(&delta).expect("the value is encoded");
        let committed = fixtures.get(name).unwrap_or_else(|| panic!("{name} {}", hex(&bytes)));
        assert_eq!(hex(&bytes), hex(committed), "{name}");
        assert_eq!(postcard::from_bytes::<RowDelta>(committed), Ok(delta), "{name}");
    }
}

#[test]
fn packet_encoding_matches_fixtures() {
    let fixtures = fixtures();
    for (name, packet) in packets() {
        let bytes = postcard::to_allocvec(&packet).expect("the value is encoded");
        let committed = fixtures.get(name).unwrap_or_else(|| panic!("{name} {}", hex(&bytes)));
        assert_eq!(hex(&bytes), hex(committed), "{name}");
        assert_eq!(postcard::from_bytes::<Packet>(committed), Ok(packet), "{name}");
    }
}

#[test]
fn every_fixture_has_a_sample() {
    assert_eq!(fixtures().len(), deltas().len() + packets().len());
}
