//! The adapter as a process: malformed input ends it with a plain message, never a panic or a partial reply.
// Counts of a test are small.
#![allow(clippy::cast_possible_truncation)]

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_beechloft-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may have ended before it has read everything; its verdict is checked, not the pipe's.
    let _ = child.stdin.take().expect("stdin is piped").write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

fn born(setup: &str) -> Vec<u8> {
    let mut record = vec![11, 0, 3, 0, 7, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
    record.extend((setup.len() as u32).to_le_bytes());
    record.resize(64, 0);
    let mut frame = 5u64.to_le_bytes().to_vec();
    frame.extend((16 + 64 + setup.len() as u32).to_le_bytes());
    frame.extend(1u32.to_le_bytes());
    frame.extend(record);
    frame.extend(setup.as_bytes());
    frame
}

#[test]
fn good_input_is_answered_and_the_end_is_clean() {
    let setup = r#"{"classes": [{"aim_us": 800000, "deadline_us": 4000000, "effect": "repeatable"}],
        "family_info": {"rates_kb": [200.0, 400.0], "worth_by_rung": [0.3, 1.0], "news": {"a": [1]}},
        "some_new_key": true}"#;
    let out = run(&born(setup));
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    assert_eq!(out.stdout, [8, 0, 0, 0, 0, 0, 0, 0]);
    assert!(out.stderr.is_empty());
}

#[test]
fn bad_input_is_named() {
    let mut cut = born("{}");
    cut.truncate(40);
    let mut odd = born("{}");
    odd[16] = 200;
    let mut outside = born("{}");
    outside[28] = 9;
    let mut no_table = born("{}");
    (no_table[16], no_table[20]) = (9, 1);
    let good = born(r#"{"classes": [], "family_info": {}}"#);
    let named = [good.clone(), no_table].concat();
    for (input, want, replies) in [
        (cut, "input ended inside a frame", 0),
        (vec![1, 2, 3], "input ended inside a frame", 0),
        (odd, "unknown event code 200", 0),
        (outside, "outside the tail", 0),
        (born("{}"), "settings of instance 3 can't be read", 0),
        (born("[1, 2"), "settings of instance 3 can't be read", 0),
        (named, "which was never sent", 8),
    ] {
        let out = run(&input);
        let text = String::from_utf8_lossy(&out.stderr);
        assert!(!out.status.success(), "{want}");
        assert!(text.contains(want), "{text:?} should say {want:?}");
        assert!(!text.contains("panicked"), "{text}");
        assert_eq!(out.stdout.len(), replies, "{want}");
    }
}
