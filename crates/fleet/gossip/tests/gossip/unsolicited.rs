//! Handling of rows that were not requested, are invalid, or are forged.

use beechloft_gossip::simulation::{address, zone};
use beechloft_gossip::{
    Fault, Gossip, Input, MAX_ROW_BYTES, MemberKey, Message, Output, Packet, Peer, RowDelta, Section,
    SectionKind, Settings,
};
use beechloft_membership::MemberId;

use super::SECOND;

const OWN: MemberId = MemberId(1);
const PEER: MemberId = MemberId(2);

fn row(member: MemberId, version: u64, bytes: usize) -> RowDelta {
    let sections = vec![Section { kind: SectionKind::OUTLIER_REPORT, version, bytes: vec![1; bytes] }];
    RowDelta { member: MemberKey::from(member), front_slot: None, since: 0, version, age_ms: 0, sections }
}

/// Returns a front that knows one peer.
fn front_with_peer(fault: Option<Fault>) -> Gossip {
    let mut gossip = Gossip::new(OWN, Settings::default(), 1, SECOND);
    if let Some(fault) = fault {
        gossip.inject_fault(fault);
    }
    let peers = vec![Peer { id: PEER, address: address(2), zone: zone(0) }];
    gossip.handle(SECOND, Input::Peers(peers));
    gossip
}

/// Returns the number of rows that a front accepts from a peer without having sent it a request.
pub fn accepted_unsolicited_rows(fault: Option<Fault>) -> u64 {
    let mut gossip = front_with_peer(fault);
    let message = Message::Rows { in_reply_to: 4, rows: vec![row(PEER, 9, 10)] };
    gossip.handle(SECOND, Input::Received(address(2), Packet { from: PEER, to: OWN, message }));
    gossip.counters().accepted_rows
}

#[test]
fn rejects_invalid_unsolicited_and_forged_rows() {
    assert_eq!(accepted_unsolicited_rows(None), 0);
    let mut gossip = front_with_peer(None);
    // The round sends a request, to which the rows below are answers.
    let out = gossip.handle(2 * SECOND, Input::Tick);
    let Some(Output::Send(_, Packet { message: Message::CompareDigests { seq, .. }, .. })) = out.first()
    else {
        panic!("no request: {out:?}");
    };
    let rows = vec![
        row(PEER, u64::MAX, 3),
        row(PEER, 5, MAX_ROW_BYTES + 1),
        RowDelta { since: 7, ..row(PEER, 5, 1) },
        row(MemberId(77), 5, 1),
        row(PEER, 5, 1),
        // A forged version of the own row.
        row(OWN, 50, 1),
    ];
    let answer = Message::Rows { in_reply_to: *seq, rows };
    let packet = Packet { from: PEER, to: OWN, message: answer };
    gossip.handle(2 * SECOND, Input::Received(address(2), packet));
    let counters = gossip.counters();
    assert_eq!(
        (counters.invalid_rows, counters.rejected_rows, counters.accepted_rows, counters.forged_own_rows),
        (3, 1, 1, 1),
        "{counters:?}"
    );
    // The own row has a version above the forged one and none of its content.
    let own = gossip.row(2 * SECOND, OWN).expect("the own row");
    assert_eq!((own.version, own.section(SectionKind::OUTLIER_REPORT)), (51, None));
    let message = Message::CompareDigests { seq: 1, digests: Vec::new() };
    let from_unknown_front = Packet { from: MemberId(3), to: OWN, message };
    assert_eq!(gossip.handle(2 * SECOND, Input::Received(address(3), from_unknown_front)), []);
    assert_eq!(gossip.counters().unsolicited_packets, 1);
}
