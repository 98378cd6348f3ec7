//! Encoding replies.

use super::Action;

/// Size of an action record.
const ACTION: usize = 24;

/// Encodes a reply frame.
pub fn encode(actions: &[(u16, Action)]) -> Vec<u8> {
    let mut out = vec![0; 8];
    let mut tail: Vec<u8> = Vec::new();
    for (instance, action) in actions {
        let mut record: Vec<u8> = Vec::with_capacity(ACTION);
        record.extend(code_of(action).to_le_bytes());
        record.extend(instance.to_le_bytes());
        encode_fields(action, &mut record, &mut tail);
        record.resize(ACTION, 0);
        out.extend(record);
    }
    out.extend(tail);
    let (len, records) = (wire_length(out.len()), wire_length(actions.len()));
    out[0..4].copy_from_slice(&len.to_le_bytes());
    out[4..8].copy_from_slice(&records.to_le_bytes());
    out
}

/// The code of an action record.
fn code_of(action: &Action) -> u16 {
    match action {
        Action::Deny { .. } => 66,
        Action::Relay { .. } => 67,
        Action::KeepInformed { .. } => 68,
        Action::Probe { .. } => 70,
        Action::Lose { .. } => 71,
        Action::AbortAttempt { .. } => 72,
        Action::Grade { .. } => 75,
        Action::WriteLog { .. } => 76,
        Action::Rebalance { .. } => 77,
        Action::Defer { .. } => 78,
    }
}

/// Appends an action's fields to its record, and its text to the tail.
fn encode_fields(action: &Action, record: &mut Vec<u8>, tail: &mut Vec<u8>) {
    match action {
        Action::Deny { txn, pause_us } => {
            record.extend(txn.to_le_bytes());
            record.extend(pause_us.to_le_bytes());
        }
        Action::Relay { txn, server, until_us } => {
            record.extend(txn.to_le_bytes());
            record.extend(server.to_le_bytes());
            record.extend(until_us.to_le_bytes());
        }
        Action::KeepInformed { active } => record.push((*active).into()),
        Action::Probe { server } => record.extend(server.to_le_bytes()),
        Action::Lose { txn } | Action::Rebalance { txn } => record.extend(txn.to_le_bytes()),
        Action::AbortAttempt { txn, round_no } => {
            record.extend(txn.to_le_bytes());
            record.extend(round_no.to_le_bytes());
        }
        Action::Grade { txn, step } => {
            record.extend(txn.to_le_bytes());
            record.push(*step);
        }
        Action::WriteLog { text } => {
            record.extend(wire_length(tail.len()).to_le_bytes());
            record.extend(wire_length(text.len()).to_le_bytes());
            tail.extend(text.as_bytes());
        }
        Action::Defer { delay_us, cookie } => {
            record.extend(delay_us.to_le_bytes());
            record.extend(cookie.to_le_bytes());
        }
    }
}

/// A length as the wire has it.
#[expect(clippy::cast_possible_truncation, reason = "the wire counts in 32 bits; a reply is far shorter")]
fn wire_length(length: usize) -> u32 {
    length as u32
}
