//! Encodings of commands in the log and of the replicated state in a snapshot, compared with fixtures in both directions.
//!
//! Replicas of different versions run side by side during an update, and replicas read what earlier versions stored, so a changed
//! encoding breaks updates. Each line of `fixtures/*.txt` has the name of a value and its bytes as hexadecimal digits.
#![allow(missing_docs)]

mod commands;
mod snapshot;
mod values;

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(digits: &str) -> Vec<u8> {
    let pair = |at| u8::from_str_radix(&digits[at..at + 2], 16).expect("hexadecimal digits");
    (0..digits.len()).step_by(2).map(pair).collect()
}

/// Returns the bytes of the fixture with this name.
fn fixture(file: &str, name: &str) -> Vec<u8> {
    let line = file.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    from_hex(line.unwrap_or_else(|| panic!("no fixture {name}")))
}
