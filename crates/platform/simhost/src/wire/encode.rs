//! Encoding of replies.

use super::{Action, InstanceAction};

/// Size of an action record in bytes.
const ACTION_SIZE: usize = 24;

/// Size of a reply header in bytes.
const REPLY_HEADER_SIZE: usize = 8;

/// Encodes a reply frame: a header, the action records, and the tail with their texts.
pub fn encode(actions: &[InstanceAction]) -> Vec<u8> {
    let mut frame = vec![0; REPLY_HEADER_SIZE];
    let mut tail: Vec<u8> = Vec::new();
    for InstanceAction { instance, action } in actions {
        let mut record: Vec<u8> = Vec::with_capacity(ACTION_SIZE);
        record.extend(action_code(action).to_le_bytes());
        record.extend(instance.to_le_bytes());
        encode_fields(action, &mut record, &mut tail);
        record.resize(ACTION_SIZE, 0);
        frame.extend(record);
    }
    frame.extend(tail);
    let length = wire_length(frame.len());
    let records = wire_length(actions.len());
    frame[0..4].copy_from_slice(&length.to_le_bytes());
    frame[4..8].copy_from_slice(&records.to_le_bytes());
    frame
}

/// Returns the code of an action record.
fn action_code(action: &Action) -> u16 {
    match action {
        Action::Reject { .. } => 66,
        Action::StartAttempt { .. } => 67,
        Action::Subscribe { .. } => 68,
        Action::HealthCheck { .. } => 70,
        Action::Fail { .. } => 71,
        Action::CancelAttempt { .. } => 72,
        Action::SetRung { .. } => 75,
        Action::Log { .. } => 76,
        Action::Migrate { .. } => 77,
        Action::SetTimer { .. } => 78,
    }
}

/// Appends the fields of an action to its record, and its text to the tail.
fn encode_fields(action: &Action, record: &mut Vec<u8>, tail: &mut Vec<u8>) {
    match action {
        Action::Reject { session, retry_after_us } => {
            record.extend(session.to_le_bytes());
            record.extend(retry_after_us.to_le_bytes());
        }
        Action::StartAttempt { session, server, deadline_us } => {
            record.extend(session.to_le_bytes());
            record.extend(server.to_le_bytes());
            record.extend(deadline_us.to_le_bytes());
        }
        Action::Subscribe { active } => record.push((*active).into()),
        Action::HealthCheck { server } => record.extend(server.to_le_bytes()),
        Action::Fail { session } | Action::Migrate { session } => record.extend(session.to_le_bytes()),
        Action::CancelAttempt { session, attempt } => {
            record.extend(session.to_le_bytes());
            record.extend(attempt.to_le_bytes());
        }
        Action::SetRung { session, rung } => {
            record.extend(session.to_le_bytes());
            record.push(*rung);
        }
        Action::Log { text } => {
            record.extend(wire_length(tail.len()).to_le_bytes());
            record.extend(wire_length(text.len()).to_le_bytes());
            tail.extend(text.as_bytes());
        }
        Action::SetTimer { delay_us, token } => {
            record.extend(delay_us.to_le_bytes());
            record.extend(token.to_le_bytes());
        }
    }
}

/// Converts a length to its type on the wire.
#[expect(clippy::cast_possible_truncation, reason = "the wire counts in 32 bits; a reply is far shorter")]
fn wire_length(length: usize) -> u32 {
    length as u32
}
