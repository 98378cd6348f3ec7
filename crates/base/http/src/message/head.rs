//! Parsing of the heads of requests and responses.

use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use thiserror::Error;

use super::{Request, Response};
use crate::body::{self, BodyError, Framing};
use crate::limits::Limits;

/// Error of parsing a head.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum HeadError {
    /// The head is not HTTP, or does not conform to RFC 9112.
    #[error("malformed head: {0}")]
    Malformed(&'static str),
    /// The head exceeds the maximum length or the maximum number of header fields.
    #[error("the head is longer than {0} bytes or has too many fields")]
    TooLong(usize),
    /// The version is neither HTTP/1.0 nor HTTP/1.1.
    #[error("an HTTP version other than 1.0 and 1.1")]
    Version,
    /// The framing of the body is invalid, or the body exceeds the limit.
    #[error(transparent)]
    Body(#[from] BodyError),
}

/// A message whose body has not been read, and the framing of that body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParsedHead<M> {
    /// The message, without its body.
    pub message: M,
    /// Framing of the message's body.
    pub framing: Framing,
}

impl HeadError {
    /// Returns the status of the response to a request with this error.
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

fn header_map(fields: &[httparse::Header<'_>]) -> Result<HeaderMap, HeadError> {
    let mut map = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes())
            .map_err(|_| HeadError::Malformed("a field's name"))?;
        let value =
            HeaderValue::from_bytes(field.value).map_err(|_| HeadError::Malformed("a field's value"))?;
        map.append(name, value);
    }
    Ok(map)
}

/// Converts an error of the parser.
fn head_error(error: httparse::Error, limits: &Limits) -> HeadError {
    match error {
        httparse::Error::TooManyHeaders => HeadError::TooLong(limits.head_bytes),
        httparse::Error::Version => HeadError::Version,
        httparse::Error::Token => HeadError::Malformed("a token"),
        httparse::Error::NewLine => HeadError::Malformed("a line end"),
        httparse::Error::HeaderName => HeadError::Malformed("a field's name"),
        httparse::Error::HeaderValue => HeadError::Malformed("a field's value"),
        _ => HeadError::Malformed("its first line"),
    }
}

/// Returns whether a message allows another message on its connection (RFC 9112, section 9.3).
fn allows_reuse(version: Option<u8>, headers: &HeaderMap) -> bool {
    let has_option = |option: &str| {
        let values = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
        values.flat_map(|value| value.split(',')).any(|token| token.trim().eq_ignore_ascii_case(option))
    };
    if version == Some(1) { !has_option("close") } else { has_option("keep-alive") }
}

/// Returns the length of a complete head, or `None` if the head is incomplete.
///
/// # Errors
/// Returns an error if the head is invalid or exceeds the limits.
fn complete_len(
    parsed: httparse::Result<usize>,
    received: usize,
    limits: &Limits,
) -> Result<Option<usize>, HeadError> {
    match parsed.map_err(|error| head_error(error, limits))? {
        httparse::Status::Complete(used) => Ok(Some(used)),
        httparse::Status::Partial if received >= limits.head_bytes => {
            Err(HeadError::TooLong(limits.head_bytes))
        }
        httparse::Status::Partial => Ok(None),
    }
}

/// Parses a request's head and removes it from the buffer. Returns `None` if the head is incomplete.
///
/// # Errors
/// Returns an error if the head is invalid or exceeds the limits.
pub fn request_head(buf: &mut Vec<u8>, limits: &Limits) -> Result<Option<ParsedHead<Request>>, HeadError> {
    let mut header_slots = vec![httparse::EMPTY_HEADER; limits.fields];
    let mut parsed = httparse::Request::new(&mut header_slots);
    let window = &buf[..buf.len().min(limits.head_bytes)];
    let Some(used) = complete_len(parsed.parse(window), buf.len(), limits)? else { return Ok(None) };
    let method = Method::from_bytes(parsed.method.unwrap_or_default().as_bytes())
        .map_err(|_| HeadError::Malformed("its method"))?;
    let target = origin_form(parsed.path.unwrap_or_default()).ok_or(HeadError::Malformed("its target"))?;
    let headers = header_map(parsed.headers)?;
    if parsed.version == Some(1) && headers.get_all(header::HOST).iter().count() != 1 {
        return Err(HeadError::Malformed("it needs one Host field"));
    }
    let framing = body::framing(&headers)?.unwrap_or(Framing::Length(0));
    let keep_alive = allows_reuse(parsed.version, &headers);
    buf.drain(..used);
    let message = Request { method, target, headers, body: Vec::new(), keep_alive };
    Ok(Some(ParsedHead { message, framing }))
}

/// Returns the path and query of a target in origin, absolute or asterisk form (RFC 9112, section 3.2). Returns `None` for any
/// other target.
fn origin_form(target: &str) -> Option<String> {
    if target.starts_with('/') || target == "*" {
        return Some(target.to_owned());
    }
    let uri: http::Uri = target.parse().ok()?;
    uri.scheme()?;
    Some(uri.path_and_query().map_or("/", |path_and_query| path_and_query.as_str()).to_owned())
}

/// Parses the head of a response to a request with method `request_method`, and removes it from the buffer. Returns `None` if the
/// head is incomplete. Interim responses are skipped.
///
/// # Errors
/// Returns an error if the head is invalid or exceeds the limits.
pub fn response_head(
    buf: &mut Vec<u8>,
    request_method: &Method,
    limits: &Limits,
) -> Result<Option<ParsedHead<Response>>, HeadError> {
    loop {
        let mut header_slots = vec![httparse::EMPTY_HEADER; limits.fields];
        let mut parsed = httparse::Response::new(&mut header_slots);
        let window = &buf[..buf.len().min(limits.head_bytes)];
        let Some(used) = complete_len(parsed.parse(window), buf.len(), limits)? else { return Ok(None) };
        let status = StatusCode::from_u16(parsed.code.unwrap_or_default())
            .map_err(|_| HeadError::Malformed("its status"))?;
        let headers = header_map(parsed.headers)?;
        let version = parsed.version;
        buf.drain(..used);
        if status.is_informational() && status != StatusCode::SWITCHING_PROTOCOLS {
            continue;
        }
        let has_no_body = *request_method == Method::HEAD
            || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let framing =
            if has_no_body { Framing::Length(0) } else { body::framing(&headers)?.unwrap_or(Framing::Close) };
        let keep_alive = allows_reuse(version, &headers) && framing != Framing::Close;
        let message = Response { status, headers, body: Vec::new(), keep_alive };
        return Ok(Some(ParsedHead { message, framing }));
    }
}
