//! The encodings of what replicas store: commands in the log and the replicated state in a snapshot, byte for byte, in both
//! directions. Replicas of different versions run side by side during an update, and a disk outlives the version that wrote
//! it: a failure here means that the change would break both. `fixtures/*.txt` has one line for each value: its name and its
//! bytes as hexadecimal digits.
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

/// The bytes of a fixture's line.
fn fixture(file: &str, name: &str) -> Vec<u8> {
    let line = file.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    from_hex(line.unwrap_or_else(|| panic!("no fixture {name}")))
}
