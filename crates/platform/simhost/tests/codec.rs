//! Tests of the codec with the examples of the wire's description and with malformed input.
// Lengths in these tests are small.
#![allow(clippy::cast_possible_truncation)]

use beechloft_simhost::wire::{
    self, Action, Event, InstanceAction, InstanceEvent, ListEntry, SessionRequest, WireError,
};

/// Returns the bytes of a hex text, in which `+N` stands for N zero bytes.
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

/// Returns a frame with the given records and tail.
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

fn decode_event(body: &str, tail: &str) -> InstanceEvent {
    wire::decode(&frame(1, body, tail)).expect("a valid frame").events.remove(0)
}

fn instance_event(instance: u16, event: Event) -> InstanceEvent {
    InstanceEvent { instance, event }
}

const REQUEST_RECORD: &str = "0400 0300 c4913a5df20d0600 00004040 107cf3d901648e2b 0000 00000000 640ad2557c3bf091 \
                     e02e0000 00000040 da05840000000000 0000 0100 +6";

fn request(session: u64) -> SessionRequest {
    SessionRequest {
        session,
        cell_count: 3.0,
        title: 0x2b8e_6401_d9f3_7c10,
        class: 0,
        first_cell: 0.0,
        viewer: 0x91f0_3b7c_55d2_0a64,
        expected_duration_us: 12_000,
        max_rung: 2.0,
        deadline_us: 0x8405da,
        tenant: 0,
        flags: SessionRequest::HAS_DURATION,
    }
}

#[test]
fn codes_empty_batch_and_reply() {
    let batch = wire::decode(&bytes("5a5c800000000000 10000000 00000000")).expect("a valid frame");
    assert_eq!((batch.now_us, batch.events.len()), (0x805c5a, 0));
    assert_eq!(wire::encode(&[]), bytes("08000000 00000000"));
}

#[test]
fn codes_batch_and_reply_of_three_records() {
    let body = format!("{REQUEST_RECORD} 0300 0300 4d00000000000000 +52 0700 0500 192b6f0e527f0700 +52");
    let input = frame(3, &body, "");
    assert_eq!(input[8..16], bytes("d0000000 03000000"));
    let batch = wire::decode(&input).expect("a valid frame");
    let requested = Event::SessionRequested { request: request(0x60df25d3a91c4) };
    let withdrawn = Event::Withdrawn { session: 0x77f520e6f2b19 };
    let expected = [
        instance_event(3, requested),
        instance_event(3, Event::Timer { token: 77 }),
        instance_event(5, withdrawn),
    ];
    assert_eq!(batch.events, expected);

    let start = Action::StartAttempt { session: 0x60df25d3a91c4, server: 0x03124a07, deadline_us: 0x8194da };
    let timer = Action::SetTimer { delay_us: 500_000, token: 77 };
    let log = Action::Log { text: "two servers known".into() };
    let reply = [(3, start), (3, timer), (5, log)];
    let reply = reply.map(|(instance, action)| InstanceAction { instance, action });
    let expected_reply = "61000000 03000000
        4300 0300 c4913a5df20d0600 074a1203 da94810000000000
        4e00 0300 20a10700 4d00000000000000 +8
        4c00 0500 00000000 11000000 +12
        74776f2073657276657273206b6e6f776e";
    assert_eq!(wire::encode(&reply), bytes(expected_reply));
}

/// Load values of the description's examples.
fn load_values() -> Vec<f32> {
    vec![f32::from_le_bytes([0x52, 0xb8, 0x1e, 0x3f]), 1.25]
}

/// Checks that a record of instance 3 decodes to an event.
fn assert_decodes(body: &str, tail: &str, expected: Event) {
    assert_eq!(decode_event(body, tail), instance_event(3, expected));
}

#[test]
fn decodes_described_session_events() {
    let session = 0x60df25d3a91c4;
    assert_decodes(
        "0100 0300 c4913a5df20d0600 0000 074a1203 22240000 +42",
        "",
        Event::Started { session, attempt: 0, server: 0x03124a07, elapsed_us: 9250 },
    );
    assert_decodes(
        "0200 0300 192b6f0e527f0700 00000040 0000 da05840000000000 107cf3d901648e2b f211902c \
         640ad2557c3bf091 e02e0000 0000 00004040 00000000 0100 +2",
        "",
        Event::SessionAdopted { request: request(0x77f520e6f2b19), server: 0x2c9011f2 },
    );
    assert_decodes(
        "0500 0300 c4913a5df20d0600 0000 074a1203 01 0000003f +41",
        "",
        Event::Feedback { session, server: 0x03124a07, kind: 1, value: 0.5 },
    );
    assert_decodes(
        "0600 0300 c4913a5df20d0600 074a1203 00 0000 01 44480000 02 52b81e3f 0000a03f 00000000 00000000 +23",
        "",
        Event::AttemptEnded {
            session,
            server: 0x03124a07,
            outcome: 0,
            attempt: 0,
            is_final: true,
            elapsed_us: 18_500,
            load: load_values(),
        },
    );
}

#[test]
fn decodes_described_instance_events() {
    assert_decodes(
        "0d00 0300 f211902c 00 78050000 02 52b81e3f 0000a03f 00000000 00000000 +34",
        "",
        Event::HealthChecked { server: 0x2c9011f2, outcome: 0, load: load_values() },
    );
    assert_decodes(
        "0b00 0300 0700000000000000 00000000 02000000 +44",
        "7b7d",
        Event::InstanceStarted { seed: 7, settings: b"{}".to_vec() },
    );
    assert_decodes("0c00 0300 +60", "", Event::InstanceStopped);
    assert_decodes(
        "0a00 0300 02000000 00000000 04000000 +48",
        "68692037",
        Event::PeerMessage { sender: 2, payload: b"hi 7".to_vec() },
    );
}

#[test]
fn decodes_server_list_and_update_that_refers_to_it() {
    let body = "0800 0000 00000000 02000000 +52 0900 0300 02 2900000000000000 0000 +49";
    let tail = "02 0000 0000000000000000 00 0000 074a1203 0000803f
                02 0000 20145d0000000000 00 0100 f211902c 0000c03f";
    let batch = wire::decode(&frame(2, body, tail)).expect("a valid frame");
    let entry = |started_at_us, zone, server, weight| ListEntry {
        state: 2,
        cell: 0,
        started_at_us,
        server_type: 0,
        zone,
        server,
        weight,
    };
    let entries = vec![entry(0, 0, 0x03124a07, 1.0), entry(0x5d1420, 1, 0x2c9011f2, 1.5)];
    let list = Event::ServerList { list: 0, entries };
    let update = Event::EndpointsUpdated { kind: 2, list: 0 };
    assert_eq!(batch.events, [instance_event(0, list), instance_event(3, update)]);
}

#[test]
fn encodes_other_actions() {
    let encode = |action| wire::encode(&[InstanceAction { instance: 3, action }])[8..].to_vec();
    let (session, other) = (0x60df25d3a91c4, 0x77f520e6f2b19);
    assert_eq!(encode(Action::SetRung { session, rung: 2 }), bytes("4b00 0300 c4913a5df20d0600 02 +11"));
    assert_eq!(encode(Action::Fail { session: other }), bytes("4700 0300 192b6f0e527f0700 +12"));
    let cancel = Action::CancelAttempt { session, attempt: 0 };
    assert_eq!(encode(cancel), bytes("4800 0300 c4913a5df20d0600 0000 +10"));
    assert_eq!(encode(Action::HealthCheck { server: 0x2c9011f2 }), bytes("4600 0300 f211902c +16"));
    assert_eq!(encode(Action::Subscribe { active: true }), bytes("4400 0300 01 +19"));
    assert_eq!(encode(Action::Migrate { session: other }), bytes("4d00 0300 192b6f0e527f0700 +12"));
    let reject = Action::Reject { session: other, retry_after_us: 250_000 };
    assert_eq!(encode(reject), bytes("4200 0300 192b6f0e527f0700 90d00300 +8"));
}

#[test]
fn rejects_malformed_frames() {
    let complete = frame(1, REQUEST_RECORD, "");
    assert_eq!(
        wire::decode(&complete[..70]).unwrap_err(),
        WireError::Truncated { received: 70, expected: 80 }
    );
    assert!(matches!(wire::decode(&complete[..9]), Err(WireError::Truncated { received: 9, .. })));
    let mut short = complete.clone();
    short[8] = 40;
    assert_eq!(wire::decode(&short).unwrap_err(), WireError::BadLength { length: 40, records: 1 });
    let unknown = wire::decode(&frame(1, "6300 0300 +60", "")).unwrap_err();
    assert_eq!(unknown, WireError::UnknownCode { index: 0, code: 99 });
    let outside =
        wire::decode(&frame(1, "0a00 0300 02000000 02000000 04000000 +48", "68692037")).unwrap_err();
    assert_eq!(outside, WireError::OutsideTail { index: 0, offset: 2, length: 4, tail: 4 });
    let outcome = wire::decode(&frame(1, "0600 0300 +12 09 +47", "")).unwrap_err();
    assert!(matches!(outcome, WireError::BadValue { field: "outcome", value: 9, .. }));
}
