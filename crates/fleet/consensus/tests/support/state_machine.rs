//! Replicated state machine for tests, whose state is a hash of all applied entries.

use beechloft_consensus::{Entry, LogPosition, Payload, SnapshotData};

/// Returns the state after an entry is applied to `state`.
pub fn apply(state: u64, entry: &Entry) -> u64 {
    let payload_hash = match &entry.payload {
        Payload::Command(command) => {
            command.iter().fold(7, |hash: u64, byte| hash.wrapping_mul(31).wrapping_add(u64::from(*byte)))
        }
        Payload::Noop => 1,
        Payload::Membership(membership) => 2 + membership.iter().count() as u64,
    };
    let LogPosition { term, index } = entry.at;
    (state ^ payload_hash ^ (term.0 << 32) ^ index.0).wrapping_mul(0x0100_0000_01b3)
}

/// Decodes the state of a snapshot. Returns 0 for a snapshot without a state.
pub fn decode_state(data: &SnapshotData) -> u64 {
    let bytes = data.to_bytes();
    bytes.strip_prefix(b"state").and_then(|state| state.try_into().ok()).map_or(0, u64::from_be_bytes)
}
