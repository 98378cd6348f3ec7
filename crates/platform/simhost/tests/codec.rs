//! The codec against the examples of the wire's description, and against malformed input.
// Counts of a test are small.
#![allow(clippy::cast_possible_truncation)]

use beechloft_simhost::wire::{self, Action, Entry, Event, Visit, WireError};

/// Bytes of a hex text; `+N` stands for N zero bytes.
fn bytes(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    for part in text.split_whitespace() {
        if let Some(n) = part.strip_prefix('+') {
            out.resize(out.len() + n.parse::<usize>().expect("a count"), 0);
        } else {
            out.extend(
                (0..part.len())
                    .step_by(2)
                    .map(|i| u8::from_str_radix(&part[i..i + 2], 16).expect("two hex digits")),
            );
        }
    }
    out
}

fn frame(records: u32, body: &str, tail: &str) -> Vec<u8> {
    let (body, tail) = (bytes(body), bytes(tail));
    assert_eq!(body.len(), records as usize * 64);
    let mut out = bytes("5a5c800000000000");
    out.extend((16 + body.len() as u32 + tail.len() as u32).to_le_bytes());
    out.extend(records.to_le_bytes());
    out.extend(body);
    out.extend(tail);
    out
}

fn event(body: &str, tail: &str) -> (u16, Event) {
    wire::decode(&frame(1, body, tail)).expect("a sound frame").events.remove(0)
}

const KNOCK: &str = "0400 0300 c4913a5df20d0600 00004040 107cf3d901648e2b 0000 00000000 640ad2557c3bf091 \
                     e02e0000 00000040 da05840000000000 0000 0100 +6";

fn visit(txn: u64) -> Visit {
    Visit {
        txn,
        holders: 3.0,
        show: 0x2b8e_6401_d9f3_7c10,
        qos: 0,
        home: 0.0,
        item: 0x91f0_3b7c_55d2_0a64,
        hint_us: 12_000,
        top: 2.0,
        drop_dead_us: 0x8405da,
        user_group: 0,
        flags: 1,
    }
}

#[test]
fn an_empty_batch_and_its_reply() {
    let batch = wire::decode(&bytes("5a5c800000000000 10000000 00000000")).expect("a sound frame");
    assert_eq!((batch.now, batch.events.len()), (0x805c5a, 0));
    assert_eq!(wire::encode(&[]), bytes("08000000 00000000"));
}

#[test]
fn a_batch_of_three_and_a_reply_of_three() {
    let body = format!("{KNOCK} 0300 0300 4d00000000000000 +52 0700 0500 192b6f0e527f0700 +52");
    let input = frame(3, &body, "");
    assert_eq!(input[8..16], bytes("d0000000 03000000"));
    let batch = wire::decode(&input).expect("a sound frame");
    let knock = Event::Knock { visit: visit(0x60df25d3a91c4) };
    let withdrawn = Event::Withdrawn { txn: 0x77f520e6f2b19 };
    assert_eq!(batch.events, [(3, knock), (3, Event::Timer { cookie: 77 }), (5, withdrawn)]);

    let reply = [
        (3, Action::Relay { txn: 0x60df25d3a91c4, server: 0x03124a07, until_us: 0x8194da }),
        (3, Action::Defer { delay_us: 500_000, cookie: 77 }),
        (5, Action::WriteLog { text: "two servers known".into() }),
    ];
    let want = "61000000 03000000
        4300 0300 c4913a5df20d0600 074a1203 da94810000000000
        4e00 0300 20a10700 4d00000000000000 +8
        4c00 0500 00000000 11000000 +12
        74776f2073657276657273206b6e6f776e";
    assert_eq!(wire::encode(&reply), bytes(want));
}

#[test]
fn events_of_the_description() {
    let id = 0x60df25d3a91c4;
    let headers = event("0100 0300 c4913a5df20d0600 0000 074a1203 22240000 +42", "");
    assert_eq!(headers, (3, Event::Headers { txn: id, round_no: 0, server: 0x03124a07, spent_us: 9250 }));

    let open = event(
        "0200 0300 192b6f0e527f0700 00000040 0000 da05840000000000 107cf3d901648e2b f211902c \
         640ad2557c3bf091 e02e0000 0000 00004040 00000000 0100 +2",
        "",
    );
    assert_eq!(open, (3, Event::Open { visit: visit(0x77f520e6f2b19), server: 0x2c9011f2 }));

    let note = event("0500 0300 c4913a5df20d0600 0000 074a1203 01 0000003f +41", "");
    assert_eq!(note, (3, Event::Note { txn: id, server: 0x03124a07, kind: 1, level: 0.5 }));

    let pressure = vec![f32::from_le_bytes([0x52, 0xb8, 0x1e, 0x3f]), 1.25];
    let checked = event("0d00 0300 f211902c 00 78050000 02 52b81e3f 0000a03f 00000000 00000000 +34", "");
    let checked_event = Event::Checked { server: 0x2c9011f2, reason: 0, pressure: pressure.clone() };
    assert_eq!(checked, (3, checked_event));

    let outcome = event(
        "0600 0300 c4913a5df20d0600 074a1203 00 0000 01 44480000 02 52b81e3f 0000a03f 00000000 00000000 +23",
        "",
    );
    let want = Event::Outcome {
        txn: id,
        server: 0x03124a07,
        reason: 0,
        round_no: 0,
        complete: true,
        spent_us: 18_500,
        pressure,
    };
    assert_eq!(outcome, (3, want));

    let born = event("0b00 0300 0700000000000000 00000000 02000000 +44", "7b7d");
    assert_eq!(born, (3, Event::Born { prng: 7, setup: b"{}".to_vec() }));
    assert_eq!(event("0c00 0300 +60", ""), (3, Event::Shutdown));
    let heard = event("0a00 0300 02000000 00000000 04000000 +48", "68692037");
    assert_eq!(heard, (3, Event::Heard { src: 2, payload: b"hi 7".to_vec() }));
}

#[test]
fn a_table_and_the_change_that_names_it() {
    let body = "0800 0000 00000000 02000000 +52 0900 0300 02 2900000000000000 0000 +49";
    let tail = "02 0000 0000000000000000 00 0000 074a1203 0000803f
                02 0000 20145d0000000000 00 0100 f211902c 0000c03f";
    let batch = wire::decode(&frame(2, body, tail)).expect("a sound frame");
    let entry = |up_since_us, site, server, size| Entry {
        status: 2,
        place: 0,
        up_since_us,
        flavor: 0,
        site,
        server,
        size,
    };
    let records = vec![entry(0, 0, 0x03124a07, 1.0), entry(0x5d1420, 1, 0x2c9011f2, 1.5)];
    let table = Event::Table { roster_id: 0, records };
    assert_eq!(batch.events, [(0, table), (3, Event::BackendsChanged { form: 2, roster_id: 0 })]);
}

#[test]
fn further_actions() {
    let one = |a: Action| wire::encode(&[(3, a)])[8..].to_vec();
    let id = 0x60df25d3a91c4;
    assert_eq!(one(Action::Grade { txn: id, step: 2 }), bytes("4b00 0300 c4913a5df20d0600 02 +11"));
    assert_eq!(one(Action::Lose { txn: 0x77f520e6f2b19 }), bytes("4700 0300 192b6f0e527f0700 +12"));
    let abort = Action::AbortAttempt { txn: id, round_no: 0 };
    assert_eq!(one(abort), bytes("4800 0300 c4913a5df20d0600 0000 +10"));
    assert_eq!(one(Action::Probe { server: 0x2c9011f2 }), bytes("4600 0300 f211902c +16"));
    assert_eq!(one(Action::KeepInformed { active: true }), bytes("4400 0300 01 +19"));
    assert_eq!(one(Action::Rebalance { txn: 0x77f520e6f2b19 }), bytes("4d00 0300 192b6f0e527f0700 +12"));
    let deny = Action::Deny { txn: 0x77f520e6f2b19, pause_us: 250_000 };
    assert_eq!(one(deny), bytes("4200 0300 192b6f0e527f0700 90d00300 +8"));
}

#[test]
fn malformed_frames_are_named() {
    let whole = frame(1, KNOCK, "");
    assert_eq!(wire::decode(&whole[..70]).unwrap_err(), WireError::Truncated { got: 70, want: 80 });
    assert!(matches!(wire::decode(&whole[..9]), Err(WireError::Truncated { got: 9, .. })));
    let mut short = whole.clone();
    short[8] = 40;
    assert_eq!(wire::decode(&short).unwrap_err(), WireError::BadLength { len: 40, records: 1 });
    let unknown = wire::decode(&frame(1, "6300 0300 +60", "")).unwrap_err();
    assert_eq!(unknown, WireError::UnknownCode { index: 0, code: 99 });
    let outside =
        wire::decode(&frame(1, "0a00 0300 02000000 02000000 04000000 +48", "68692037")).unwrap_err();
    assert_eq!(outside, WireError::OutsideTail { index: 0, offset: 2, len: 4, tail: 4 });
    let status = wire::decode(&frame(1, "0600 0300 +12 09 +47", "")).unwrap_err();
    assert!(matches!(status, WireError::BadValue { field: "outcome", value: 9, .. }));
}
