//! What the event bus sends: heads, events, chunks.

/// The head of a chunked response.
pub const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A line of the list of media servers.
pub fn endpoint(name: &str) -> String {
    format!(r#"{{"name":"{name}","address":"10.1.0.9:2905","status":"Ready","weight":4}}"#)
}

/// The data of an event about one media server.
pub fn data(offset: u64, name: &str) -> String {
    format!(r#"{{"offset":{offset},"topology":{{"endpoints":[{}]}}}}"#, endpoint(name))
}

/// An event about one media server.
pub fn event(number: u64, name: &str) -> String {
    event_with_id(&number.to_string(), &data(number, name))
}

/// An event with any id and data.
pub fn event_with_id(id: &str, data: &str) -> String {
    format!("id: {id}\ndata: {data}\n\n")
}

/// A chunk of a chunked response.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
