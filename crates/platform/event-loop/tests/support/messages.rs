//! Messages that viewers, media servers and the event bus send.

use beechloft_protocol::CallId;
use beechloft_protocol::binary::Frame;
use serde_json::{Value, json};

/// A set-up whose title lies on one media server.
pub fn set_up(id: u64, time_left_ms: u64) -> Frame {
    set_up_with_copies(id, time_left_ms, 1)
}

/// A set-up whose title lies on so many media servers.
pub fn set_up_with_copies(id: u64, time_left_ms: u64, copies: usize) -> Frame {
    Frame::new(1, CallId(id))
        .with(1, "stall-video")
        .with(3, time_left_ms.to_string())
        .with(9, "00000000000000aa")
        .with(11, format!("home:0;copies:{copies};top:1;viewer:{id:016x}"))
        .with(31, format!("offer-{id:016x}\r\nc=IN IP4 10.9.9.9\r\n"))
}

/// The withdrawal of a set-up.
pub fn release(id: u64) -> Frame {
    Frame::new(12, CallId(id)).with(29, [16])
}

pub fn test(id: u64) -> Frame {
    Frame::new(52, CallId(id)).with(29, [0])
}

/// The frames as they are on the wire.
pub fn encode(frames: &[Frame]) -> Vec<u8> {
    frames.iter().flat_map(|frame| frame.encode().expect("short")).collect()
}

/// The types of the frames.
pub fn kinds(frames: &[Frame]) -> Vec<u8> {
    frames.iter().map(|frame| frame.kind).collect()
}

/// How many of the frames are final answers: an answer or a release.
pub fn final_answers(frames: &[Frame]) -> usize {
    frames.iter().filter(|frame| is_final_answer(frame)).count()
}

pub fn is_final_answer(frame: &Frame) -> bool {
    matches!(frame.kind, 9 | 12)
}

/// The cause that a frame names; 0 if none.
pub fn cause(frame: &Frame) -> u8 {
    frame.parameters.iter().find(|param| param.code == 29).map_or(0, |param| param.value[0])
}

/// The description that a frame carries.
pub fn description(frame: &Frame) -> String {
    let value = frame.parameters.iter().find(|param| param.code == 31).map(|param| param.value.clone());
    String::from_utf8(value.unwrap_or_default()).expect("text")
}

/// A media server's answer to the set-up of a session.
pub fn accept_line(call: &str, description: &str) -> Value {
    json!({"op": "accept", "call": call, "with": {}, "desc": description})
}

/// The end of a session by its media server.
pub fn end_line(call: &str, cause: u8) -> Value {
    json!({"op": "end", "call": call, "with": {}, "why": cause})
}

/// The head of the event bus's response.
pub const EVENT_STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";

/// An event of the event bus.
pub fn topology_event(offset: u64, snapshot: bool, endpoints: &[Value]) -> String {
    let topology = json!({"index": offset, "snapshot": snapshot, "endpoints": endpoints});
    let data = json!({"offset": offset, "topology": topology});
    format!("id: {offset}\ndata: {data}\n\n")
}
