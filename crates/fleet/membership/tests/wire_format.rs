//! Encoding of each kind of packet and update. Committed bytes must be encoded and decoded without a difference.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use beechloft_membership::{
    Digests, Incarnation, MemberId, MemberInfo, MemberKind, Message, Packet, Update, Zone,
};

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

fn info(kind: MemberKind) -> Arc<MemberInfo> {
    let address: SocketAddr = match kind {
        MemberKind::Front => "10.1.2.3:7000".parse().expect("a valid address"),
        MemberKind::Replica => "[2001:db8::7]:7001".parse().expect("a valid address"),
    };
    let zone = Zone::try_from("zone-b".to_owned()).expect("a valid zone");
    Arc::new(MemberInfo { address, zone, kind })
}

fn updates() -> Vec<(&'static str, Update)> {
    let id = MemberId(0x1234_5678_9abc_def0);
    let by = MemberId(300);
    let incarnation = Incarnation(129);
    vec![
        ("alive-front", Update::Alive { id, incarnation, info: info(MemberKind::Front) }),
        ("alive-replica", Update::Alive { id, incarnation, info: info(MemberKind::Replica) }),
        ("suspect", Update::Suspect { id, incarnation, by }),
        ("dead", Update::Dead { id, incarnation, by }),
    ]
}

fn packets() -> Vec<(&'static str, Packet)> {
    let from = MemberId(7);
    let to = Some(MemberId(u64::MAX));
    let target = MemberId(0x0102_0304_0506_0708);
    let packet = |receiver: Option<MemberId>, message: Message| Packet {
        from,
        to: receiver,
        message,
        updates: Vec::new(),
    };
    let digests = Digests((0..64).map(|bucket| bucket * 0x0101_0101_0101).collect());
    let all = updates().into_iter().map(|(_, update)| update).collect();
    vec![
        ("ping", packet(to, Message::Ping { seq: 200, digest: u64::MAX - 1 })),
        ("ping-any", packet(None, Message::Ping { seq: 1, digest: 0 })),
        (
            "ping-req",
            packet(to, Message::PingRequest { seq: 201, target, address: info(MemberKind::Front).address }),
        ),
        (
            "ping-req-v6",
            packet(to, Message::PingRequest { seq: 201, target, address: info(MemberKind::Replica).address }),
        ),
        ("ack", packet(to, Message::Ack { seq: 202, digest: 77 })),
        ("nack", packet(to, Message::Nack { seq: 203 })),
        ("replaced", packet(to, Message::Replaced { seq: 204 })),
        ("compare", packet(None, Message::CompareDigests { digests: digests.clone(), is_reply: false })),
        ("compare-reply", packet(to, Message::CompareDigests { digests, is_reply: true })),
        ("entries", Packet { from, to, message: Message::Updates, updates: all }),
    ]
}

#[test]
fn update_encoding_matches_fixtures() {
    let fixtures = fixtures();
    for (name, update) in updates() {
        let bytes = postcard::to_allocvec(&update).expect("the value is encoded");
        let committed = fixtures.get(name).unwrap_or_else(|| panic!("{name} {}", hex(&bytes)));
        assert_eq!(hex(&bytes), hex(committed), "{name}");
        assert_eq!(postcard::from_bytes::<Update>(committed), Ok(update), "{name}");
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
    assert_eq!(fixtures().len(), updates().len() + packets().len());
}
