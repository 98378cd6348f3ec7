//! Texts that the event bus sends: heads, events and chunks.

/// Head of a chunked response.
pub const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Returns an entry of the endpoint list.
pub fn endpoint(name: &str) -> String {
    format!(r#"{{"name":"{name}","address":"10.1.0.9:2905","status":"Ready","weight":4}}"#)
}

/// Returns the data of an event about one media server.
pub fn data(offset: u64, name: &str) -> String {
    format!(r#"{{"offset":{offset},"topology":{{"endpoints":[{}]}}}}"#, endpoint(name))
}

/// Returns an event about one media server.
pub fn event(offset: u64, name: &str) -> String {
    event_with_id(&offset.to_string(), &data(offset, name))
}

/// Returns an event with arbitrary id and data.
pub fn event_with_id(id: &str, data: &str) -> String {
    format!("id: {id}\ndata: {data}\n\n")
}

/// Returns a chunk of a chunked response.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
