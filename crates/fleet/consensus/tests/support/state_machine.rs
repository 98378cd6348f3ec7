//! A replicated state machine whose state is a hash of all applied entries.

use beechloft_consensus::{Entry, LogPosition, Payload, SnapshotData};

/// The state after an entry.
pub fn fold(state: u64, entry: &Entry) -> u64 {
    let of = match &entry.payload {
        Payload::Command(cluster) => {
            cluster.iter().fold(7, |h: u64, b| h.wrapping_mul(31).wrapping_add(u64::from(*b)))
        }
        Payload::Noop => 1,
        Payload::Membership(m) => 2 + m.iter().count() as u64,
    };
    let LogPosition { term, index } = entry.at;
    (state ^ of ^ (term.0 << 32) ^ index.0).wrapping_mul(0x0100_0000_01b3)
}

/// The state of a snapshot.
pub fn state_of(state: &SnapshotData) -> u64 {
    let bytes = state.to_bytes();
    bytes.strip_prefix(b"state").and_then(|b| b.try_into().ok()).map_or(0, u64::from_be_bytes)
}
