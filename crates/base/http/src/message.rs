//! Heads of requests and responses, parsed and written.

use std::fmt::Write as _;

use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use thiserror::Error;

use crate::body::{self, BodyError, Framing};
use crate::limits::Limits;

/// Why a head can't be used, and the status that says so.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum HeadError {
    /// Not HTTP, or not as RFC 9112 has it.
    #[error("malformed head: {0}")]
    Malformed(&'static str),
    /// Longer than allowed.
    #[error("the head is longer than {0} bytes or has too many fields")]
    TooLong(usize),
    /// Neither HTTP/1.0 nor HTTP/1.1.
    #[error("an HTTP version other than 1.0 and 1.1")]
    Version,
    /// The body's framing.
    #[error(transparent)]
    Body(#[from] BodyError),
}

impl HeadError {
    /// The status to answer with.
    pub fn status(&self) -> StatusCode {
        match self {
            HeadError::TooLong(_) => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            HeadError::Version => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            HeadError::Body(BodyError::TooLong(_)) => StatusCode::PAYLOAD_TOO_LARGE,
            HeadError::Body(BodyError::Coding) => StatusCode::NOT_IMPLEMENTED,
            HeadError::Malformed(_) | HeadError::Body(_) => StatusCode::BAD_REQUEST,
        }
    }
}

/// What requests and responses are built and read with alike.
macro_rules! parts {
    ($($message:ident)*) => {$(
        impl $message {
            /// Adds a field; a value that is none is left out.
            #[must_use]
            pub fn with(mut self, name: HeaderName, value: impl AsRef<[u8]>) -> Self {
                if let Ok(value) = HeaderValue::from_bytes(value.as_ref()) {
                    self.headers.append(name, value);
                }
                self
            }

            /// Sets the body and its type.
            #[must_use]
            pub fn body(self, kind: &'static str, body: impl Into<Vec<u8>>) -> Self {
                let mut this = self.with(header::CONTENT_TYPE, kind);
                this.body = body.into();
                this
            }

            /// A field's value as text.
            pub fn field(&self, name: impl http::header::AsHeaderName) -> Option<&str> {
                self.headers.get(name).and_then(|v| v.to_str().ok())
            }
        }
    )*};
}

parts!(Request Response);

/// A request, whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Its method.
    pub method: Method,
    /// Path and query, in origin form.
    pub target: String,
    /// Its fields.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Vec<u8>,
    /// Whether the connection may carry another one.
    pub keep_alive: bool,
}

impl Request {
    /// A request without fields or body.
    pub fn new(method: Method, target: impl Into<String>) -> Self {
        Request {
            method,
            target: target.into(),
            headers: HeaderMap::new(),
            body: Vec::new(),
            keep_alive: true,
        }
    }

    /// Path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The bytes on the wire; `host` fills the `Host` field.
    pub fn encode(&self, host: &str) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\nhost: {host}\r\n", self.method, self.target);
        let bodied =
            !self.body.is_empty() || matches!(self.method, Method::POST | Method::PATCH | Method::PUT);
        if bodied {
            let _ = write!(head, "content-length: {}\r\n", self.body.len());
        }
        finish(head, &self.headers, &self.body)
    }
}

/// A response, whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// Its status.
    pub status: StatusCode,
    /// Its fields.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Vec<u8>,
    /// Whether the connection may carry another one.
    pub keep_alive: bool,
}

impl Response {
    /// A response without fields or body.
    pub fn new(status: StatusCode) -> Self {
        Response { status, headers: HeaderMap::new(), body: Vec::new(), keep_alive: true }
    }

    /// A response that says in plain text what is wrong.
    pub fn text(status: StatusCode, text: impl std::fmt::Display) -> Self {
        Response::new(status).body("text/plain; charset=utf-8", format!("{text}\n"))
    }

    /// The bytes on the wire.
    pub fn encode(&self, to: &Method) -> Vec<u8> {
        let mut head = status_line(self.status);
        if !self.status.is_informational() && self.status != StatusCode::NO_CONTENT {
            let _ = write!(head, "content-length: {}\r\n", self.body.len());
        }
        if !self.keep_alive {
            head.push_str("connection: close\r\n");
        }
        let body: &[u8] = if *to == Method::HEAD { &[] } else { &self.body };
        finish(head, &self.headers, body)
    }

    /// The head of a response whose body lasts as long as the connection.
    pub fn encode_open(&self) -> Vec<u8> {
        let mut head = status_line(self.status);
        head.push_str("connection: close\r\n");
        finish(head, &self.headers, &[])
    }
}

fn status_line(status: StatusCode) -> String {
    format!("HTTP/1.1 {} {}\r\n", status.as_u16(), status.canonical_reason().unwrap_or(""))
}

fn finish(head: String, headers: &HeaderMap, body: &[u8]) -> Vec<u8> {
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

fn fields(list: &[httparse::Header<'_>]) -> Result<HeaderMap, HeadError> {
    let mut map = HeaderMap::with_capacity(list.len());
    for field in list {
        let name = HeaderName::from_bytes(field.name.as_bytes())
            .map_err(|_| HeadError::Malformed("a field's name"))?;
        let value =
            HeaderValue::from_bytes(field.value).map_err(|_| HeadError::Malformed("a field's value"))?;
        map.append(name, value);
    }
    Ok(map)
}

fn head_error(e: httparse::Error, limits: &Limits) -> HeadError {
    match e {
        httparse::Error::TooManyHeaders => HeadError::TooLong(limits.head_bytes),
        httparse::Error::Version => HeadError::Version,
        httparse::Error::Token => HeadError::Malformed("a token"),
        httparse::Error::NewLine => HeadError::Malformed("a line end"),
        httparse::Error::HeaderName => HeadError::Malformed("a field's name"),
        httparse::Error::HeaderValue => HeadError::Malformed("a field's value"),
        _ => HeadError::Malformed("its first line"),
    }
}

fn keeps_alive(version: Option<u8>, headers: &HeaderMap) -> bool {
    let says = |word: &str| {
        let all = headers.get_all(header::CONNECTION).iter().filter_map(|v| v.to_str().ok());
        all.flat_map(|v| v.split(',')).any(|t| t.trim().eq_ignore_ascii_case(word))
    };
    if version == Some(1) { !says("close") } else { says("keep-alive") }
}

/// The length of a head that is there whole; none: more of it is to come, of the bytes that may.
fn complete(
    parsed: httparse::Result<usize>,
    waiting: usize,
    limits: &Limits,
) -> Result<Option<usize>, HeadError> {
    match parsed.map_err(|e| head_error(e, limits))? {
        httparse::Status::Complete(used) => Ok(Some(used)),
        httparse::Status::Partial if waiting >= limits.head_bytes => {
            Err(HeadError::TooLong(limits.head_bytes))
        }
        httparse::Status::Partial => Ok(None),
    }
}

/// A request's head, and how its body is framed.
pub fn request_head(buf: &mut Vec<u8>, limits: &Limits) -> Result<Option<(Request, Framing)>, HeadError> {
    let mut slots = vec![httparse::EMPTY_HEADER; limits.fields];
    let mut parsed = httparse::Request::new(&mut slots);
    let window = &buf[..buf.len().min(limits.head_bytes)];
    let Some(used) = complete(parsed.parse(window), buf.len(), limits)? else { return Ok(None) };
    let method = Method::from_bytes(parsed.method.unwrap_or_default().as_bytes());
    let method = method.map_err(|_| HeadError::Malformed("its method"))?;
    let target = origin_form(parsed.path.unwrap_or_default()).ok_or(HeadError::Malformed("its target"))?;
    let headers = fields(parsed.headers)?;
    if parsed.version == Some(1) && headers.get_all(header::HOST).iter().count() != 1 {
        return Err(HeadError::Malformed("it needs one Host field"));
    }
    let framing = body::framing(&headers)?.unwrap_or(Framing::Length(0));
    let keep_alive = keeps_alive(parsed.version, &headers);
    buf.drain(..used);
    Ok(Some((Request { method, target, headers, body: Vec::new(), keep_alive }, framing)))
}

/// Path and query of a target in origin, absolute or asterisk form (RFC 9112, section 3.2).
fn origin_form(target: &str) -> Option<String> {
    if target.starts_with('/') || target == "*" {
        return Some(target.to_owned());
    }
    let uri: http::Uri = target.parse().ok()?;
    uri.scheme()?;
    Some(uri.path_and_query().map_or("/", |p| p.as_str()).to_owned())
}

/// A response's head, and how its body is framed.
pub fn response_head(
    buf: &mut Vec<u8>,
    to: &Method,
    limits: &Limits,
) -> Result<Option<(Response, Framing)>, HeadError> {
    loop {
        let mut slots = vec![httparse::EMPTY_HEADER; limits.fields];
        let mut parsed = httparse::Response::new(&mut slots);
        let window = &buf[..buf.len().min(limits.head_bytes)];
        let Some(used) = complete(parsed.parse(window), buf.len(), limits)? else { return Ok(None) };
        let status = StatusCode::from_u16(parsed.code.unwrap_or_default());
        let status = status.map_err(|_| HeadError::Malformed("its status"))?;
        let headers = fields(parsed.headers)?;
        let version = parsed.version;
        buf.drain(..used);
        if status.is_informational() && status != StatusCode::SWITCHING_PROTOCOLS {
            continue; // 100 and its like are passed over
        }
        let bodiless =
            *to == Method::HEAD || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let framing =
            if bodiless { Framing::Length(0) } else { body::framing(&headers)?.unwrap_or(Framing::Close) };
        let keep_alive = keeps_alive(version, &headers) && framing != Framing::Close;
        return Ok(Some((Response { status, headers, body: Vec::new(), keep_alive }, framing)));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn parse(text: &str) -> Result<Option<(Request, Framing)>, HeadError> {
        request_head(&mut text.as_bytes().to_vec(), &Limits::default())
    }

    #[test]
    fn what_is_written_is_read_again() {
        let sent = Request::new(Method::POST, "/whep/a?b=c").body("application/sdp", "v=0\r\n");
        let mut bytes = sent.encode("host:1");
        let (got, framing) = request_head(&mut bytes, &Limits::default()).expect("sound").expect("whole");
        assert_eq!(
            (got.target.as_str(), framing, bytes.as_slice()),
            ("/whep/a?b=c", Framing::Length(5), &b"v=0\r\n"[..])
        );
        let sent = Response::text(StatusCode::NOT_FOUND, "no").with(header::RETRY_AFTER, "1");
        let mut bytes = sent.encode(&Method::GET);
        let got = response_head(&mut bytes, &Method::GET, &Limits::default()).expect("sound").expect("whole");
        assert_eq!(
            (got.0.status, got.0.field("retry-after"), got.1),
            (sent.status, Some("1"), Framing::Length(3))
        );
    }

    #[test]
    fn heads_out_of_the_standard_get_the_status_that_fits() {
        let status = |text: &str| parse(text).expect_err(text).status().as_u16();
        assert_eq!(status("GET / HTTP/1.1\r\n\r\n"), 400, "no host");
        assert_eq!(status("GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n"), 400);
        assert_eq!(status("GET / HTTP/3.0\r\nhost: a\r\n\r\n"), 505);
        assert_eq!(status("GET nowhere HTTP/1.1\r\nhost: a\r\n\r\n"), 400);
        assert_eq!(status("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip\r\n\r\n"), 501);
        assert_eq!(status(&format!("GET / HTTP/1.1\r\nhost: a\r\n{}\r\n", "x: y\r\n".repeat(80))), 431);
        assert_eq!(status(&format!("GET /{} HTTP/1.1\r\n", "a".repeat(20_000))), 431);
        assert_eq!(parse("GET / HTTP/1.1\r\nhost:"), Ok(None));
        assert!(
            parse("GET http://a/b?c HTTP/1.1\r\nhost: a\r\n\r\n").expect("sound").expect("whole").0.target
                == "/b?c"
        );
    }

    proptest! {
        #[test]
        fn no_bytes_make_a_head_panic(mut bytes in prop::collection::vec(any::<u8>(), 0..400)) {
            let _ = request_head(&mut bytes.clone(), &Limits::default());
            let _ = response_head(&mut bytes, &Method::GET, &Limits::default());
        }
    }
}
