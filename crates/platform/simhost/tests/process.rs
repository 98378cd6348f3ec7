//! Tests of the adapter as a process: malformed input ends it with an error message and without a panic or a partial
//! reply.
// Lengths in these tests are small.
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
    // The adapter may exit before it has read all input, so that a broken pipe is no failure.
    let _ = child.stdin.take().expect("stdin is piped").write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

/// Returns a frame that starts instance 3 with the given settings.
fn instance_started(settings: &str) -> Vec<u8> {
    let mut record = vec![11, 0, 3, 0, 7, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
    record.extend((settings.len() as u32).to_le_bytes());
    record.resize(64, 0);
    let mut frame = 5u64.to_le_bytes().to_vec();
    frame.extend((16 + 64 + settings.len() as u32).to_le_bytes());
    frame.extend(1u32.to_le_bytes());
    frame.extend(record);
    frame.extend(settings.as_bytes());
    frame
}

#[test]
fn answers_valid_input_and_exits_successfully() {
    let settings = r#"{"classes": [{"aim_us": 800000, "deadline_us": 4000000, "effect": "repeatable"}],
        "family_info": {"rates_kb": [200.0, 400.0], "worth_by_rung": [0.3, 1.0], "news": {"a": [1]}},
        "some_new_key": true}"#;
    let out = run(&instance_started(settings));
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    assert_eq!(out.stdout, [8, 0, 0, 0, 0, 0, 0, 0]);
    assert!(out.stderr.is_empty());
}

#[test]
fn reports_malformed_input() {
    let mut truncated = instance_started("{}");
    truncated.truncate(40);
    let mut unknown_code = instance_started("{}");
    unknown_code[16] = 200;
    let mut outside_tail = instance_started("{}");
    outside_tail[28] = 9;
    let mut unknown_list = instance_started("{}");
    (unknown_list[16], unknown_list[20]) = (9, 1);
    let valid = instance_started(r#"{"classes": [], "family_info": {}}"#);
    let valid_then_unknown_list = [valid, unknown_list].concat();
    for (input, expected, replies) in [
        (truncated, "input ended inside a frame", 0),
        (vec![1, 2, 3], "input ended inside a frame", 0),
        (unknown_code, "unknown event code 200", 0),
        (outside_tail, "outside the tail", 0),
        (instance_started("{}"), "settings of instance 3 can't be read", 0),
        (instance_started("[1, 2"), "settings of instance 3 can't be read", 0),
        (valid_then_unknown_list, "which was never sent", 8),
    ] {
        let out = run(&input);
        let message = String::from_utf8_lossy(&out.stderr);
        assert!(!out.status.success(), "{expected}");
        assert!(message.contains(expected), "{message:?} should contain {expected:?}");
        assert!(!message.contains("panicked"), "{message}");
        assert_eq!(out.stdout.len(), replies, "{expected}");
    }
}
