//! Messages of viewers, media servers and the event bus.

use beechloft_protocol::CallId;
use beechloft_protocol::binary::Frame;
use serde_json::{Value, json};

/// Time that a hand-over says that its viewer waits, though it waits for no answer.
const HAND_OVER_TIME_LEFT_MS: u64 = 4_294_967;

/// Returns a set-up of a title with one copy.
pub fn set_up(id: u64, time_left_ms: u64) -> Frame {
    set_up_with_copies(id, time_left_ms, 1)
}

/// Returns the hand-over of a session that plays at a media server.
pub fn hand_over(id: u64, server: &str) -> Frame {
    set_up_with_attributes(id, HAND_OVER_TIME_LEFT_MS, 1, &format!(";at:{server}"))
}

/// Returns a set-up of a title that `copies` media servers store.
pub fn set_up_with_copies(id: u64, time_left_ms: u64, copies: usize) -> Frame {
    set_up_with_attributes(id, time_left_ms, copies, "")
}

fn set_up_with_attributes(id: u64, time_left_ms: u64, copies: usize, more: &str) -> Frame {
    Frame::new(1, CallId(id))
        .with(1, "stall-video")
        .with(3, time_left_ms.to_string())
        .with(9, "00000000000000aa")
        .with(11, format!("home:0;copies:{copies};top:1;viewer:{id:016x}{more}"))
        .with(31, format!("offer-{id:016x}\r\nc=IN IP4 10.9.9.9\r\n"))
}

/// Returns the release of a session, which withdraws its set-up.
pub fn release(id: u64) -> Frame {
    Frame::new(12, CallId(id)).with(29, [16])
}

pub fn test(id: u64) -> Frame {
    Frame::new(52, CallId(id)).with(29, [0])
}

/// Encodes frames for the wire.
pub fn encode(frames: &[Frame]) -> Vec<u8> {
    frames.iter().flat_map(|frame| frame.encode().expect("message too long")).collect()
}

/// Returns the types of the frames.
pub fn kinds(frames: &[Frame]) -> Vec<u8> {
    frames.iter().map(|frame| frame.kind).collect()
}

/// Returns the number of final answers among the frames.
pub fn final_answers(frames: &[Frame]) -> usize {
    frames.iter().filter(|frame| is_final_answer(frame)).count()
}

/// Returns whether a frame is a final answer, which is an accepting answer or a release.
pub fn is_final_answer(frame: &Frame) -> bool {
    matches!(frame.kind, 9 | 12)
}

/// Returns the cause in a frame, or 0 if it has none.
pub fn cause(frame: &Frame) -> u8 {
    frame.parameters.iter().find(|param| param.code == 29).map_or(0, |param| param.value[0])
}

/// Returns the session description in a frame.
pub fn description(frame: &Frame) -> String {
    let value = frame.parameters.iter().find(|param| param.code == 31).map(|param| param.value.clone());
    String::from_utf8(value.unwrap_or_default()).expect("invalid UTF-8")
}

/// Returns the line with which a media server accepts a set-up.
pub fn accept_line(call: &str, description: &str) -> Value {
    json!({"op": "accept", "call": call, "with": {}, "desc": description})
}

/// Returns the line with which a media server ends a session or refuses a set-up.
pub fn end_line(call: &str, cause: u8) -> Value {
    json!({"op": "end", "call": call, "with": {}, "why": cause})
}

/// Head of a response of the event bus.
pub const EVENT_STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";

/// Returns an event with a change of the endpoint list.
pub fn topology_event(offset: u64, snapshot: bool, endpoints: &[Value]) -> String {
    let topology = json!({"index": offset, "snapshot": snapshot, "endpoints": endpoints});
    let data = json!({"offset": offset, "topology": topology});
    format!("id: {offset}\ndata: {data}\n\n")
}
