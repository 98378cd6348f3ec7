//! Requests and responses, and the encoding of their heads.

mod head;

use std::fmt::Write as _;

use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};

pub use self::head::{HeadError, ParsedHead, request_head, response_head};

/// Methods that requests and responses have in common.
macro_rules! message_methods {
    ($($message:ident)*) => {$(
        impl $message {
            /// Adds a header field. A field with an invalid value is not added.
            #[must_use]
            pub fn with(mut self, name: HeaderName, value: impl AsRef<[u8]>) -> Self {
                if let Ok(value) = HeaderValue::from_bytes(value.as_ref()) {
                    self.headers.append(name, value);
                }
                self
            }

            /// Sets the body and adds a `Content-Type` field.
            #[must_use]
            pub fn body(self, content_type: &'static str, body: impl Into<Vec<u8>>) -> Self {
                let mut message = self.with(header::CONTENT_TYPE, content_type);
                message.body = body.into();
                message
            }

            /// Returns the value of a header field as text. Returns `None` if there is no such field or its value is not
            /// visible ASCII.
            pub fn field(&self, name: impl http::header::AsHeaderName) -> Option<&str> {
                self.headers.get(name).and_then(|value| value.to_str().ok())
            }
        }
    )*};
}

message_methods!(Request Response);

/// A complete request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Method of the request.
    pub method: Method,
    /// Path and query, in origin form.
    pub target: String,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body, without its transfer coding.
    pub body: Vec<u8>,
    /// Whether the connection may be used for another message.
    pub keep_alive: bool,
}

impl Request {
    /// Creates a request without header fields or body.
    pub fn new(method: Method, target: impl Into<String>) -> Self {
        Request {
            method,
            target: target.into(),
            headers: HeaderMap::new(),
            body: Vec::new(),
            keep_alive: true,
        }
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Encodes the request, with `host` as its `Host` field.
    pub fn encode(&self, host: &str) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\nhost: {host}\r\n", self.method, self.target);
        let has_body =
            !self.body.is_empty() || matches!(self.method, Method::POST | Method::PATCH | Method::PUT);
        if has_body {
            let _ = write!(head, "content-length: {}\r\n", self.body.len());
        }
        encode_message(head, &self.headers, &self.body)
    }
}

/// A complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// Status of the response.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body, without its transfer coding.
    pub body: Vec<u8>,
    /// Whether the connection may be used for another message.
    pub keep_alive: bool,
}

impl Response {
    /// Creates a response without header fields or body.
    pub fn new(status: StatusCode) -> Self {
        Response { status, headers: HeaderMap::new(), body: Vec::new(), keep_alive: true }
    }

    /// Creates a response with a line of plain text.
    pub fn text(status: StatusCode, text: impl std::fmt::Display) -> Self {
        Response::new(status).body("text/plain; charset=utf-8", format!("{text}\n"))
    }

    /// Encodes the response to a request with method `request_method`. The body is omitted if the method is `HEAD`.
    pub fn encode(&self, request_method: &Method) -> Vec<u8> {
        let mut head = status_line(self.status);
        if !self.status.is_informational() && self.status != StatusCode::NO_CONTENT {
            let _ = write!(head, "content-length: {}\r\n", self.body.len());
        }
        if !self.keep_alive {
            head.push_str("connection: close\r\n");
        }
        let body: &[u8] = if *request_method == Method::HEAD { &[] } else { &self.body };
        encode_message(head, &self.headers, body)
    }

    /// Encodes the head of a response whose body ends when the connection is closed.
    pub fn encode_close_delimited_head(&self) -> Vec<u8> {
        let mut head = status_line(self.status);
        head.push_str("connection: close\r\n");
        encode_message(head, &self.headers, &[])
    }
}

fn status_line(status: StatusCode) -> String {
    format!("HTTP/1.1 {} {}\r\n", status.as_u16(), status.canonical_reason().unwrap_or(""))
}

fn encode_message(head: String, headers: &HeaderMap, body: &[u8]) -> Vec<u8> {
    let mut bytes = head.into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}
