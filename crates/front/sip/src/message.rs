//! SIP messages: bounded parsing, and validation of the fields that the upper layers rely on.

use rsip::headers::{ToTypedHeader, UntypedHeader};
use rsip::message::HeadersExt;
use rsip::typed;
use rsip::{Header, Headers, SipMessage};
use thiserror::Error;

pub use rsip::Method;

/// Maximum length of a message in bytes, which is what one UDP datagram can hold.
pub const MAX_MESSAGE_BYTES: usize = 65_535;
/// Maximum number of header fields of a message.
pub const MAX_HEADER_FIELDS: usize = 100;
/// Maximum length of an identifier (a tag, a branch, a `Call-ID`), in bytes.
pub const MAX_IDENTIFIER_BYTES: usize = 256;
/// Prefix of every branch (section 8.1.1.7).
pub const BRANCH_COOKIE: &str = "z9hG4bK";

/// Reason why a message is rejected.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum MessageError {
    /// The message is too long or has too many header fields.
    #[error("message exceeds {MAX_MESSAGE_BYTES} bytes or {MAX_HEADER_FIELDS} header fields")]
    TooLong,
    /// The message can't be parsed as SIP.
    #[error("not SIP: {0}")]
    Malformed(String),
    /// A required header field is missing, repeated or malformed.
    #[error("the {0} field is missing or malformed")]
    Field(&'static str),
    /// The message ends before the length that `Content-Length` states.
    #[error("message is shorter than its Content-Length")]
    Truncated,
}

/// Identifiers of a message's call, dialog and transaction.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Identifiers {
    /// Value of `Call-ID`.
    pub call_id: String,
    /// Tag of `From`.
    pub from_tag: String,
    /// Tag of `To`, or `None` before the dialog is established.
    pub to_tag: Option<String>,
    /// Sequence number of `CSeq`.
    pub seq: u32,
    /// Branch of the topmost `Via`.
    pub branch: String,
    /// `sent-by` of the topmost `Via`.
    pub sent_by: String,
}

/// SIP request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Identifiers of the message.
    pub ids: Identifiers,
    /// The parsed message.
    pub raw: rsip::Request,
}

/// SIP response.
#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    /// Identifiers of the message.
    pub ids: Identifiers,
    /// Method of the request that the response answers.
    pub method: Method,
    /// Status code.
    pub status: u16,
    /// The parsed message.
    pub raw: rsip::Response,
}

/// SIP message.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// SIP request.
    Request(Request),
    /// SIP response.
    Response(Response),
}

/// Returns the value of `Content-Length` in a head.
///
/// Returns `None` if the field is missing, malformed or present with different values.
pub fn content_length(head: &[u8]) -> Option<usize> {
    let mut found = None;
    for line in head.split(|b| *b == b'\n') {
        let Some(colon) = line.iter().position(|b| *b == b':') else { continue };
        let name = line[..colon].trim_ascii();
        if !(name.eq_ignore_ascii_case(b"content-length") || name.eq_ignore_ascii_case(b"l")) {
            continue;
        }
        let value = std::str::from_utf8(line[colon + 1..].trim_ascii()).ok()?;
        let value = value.bytes().all(|b| b.is_ascii_digit()).then(|| value.parse().ok()).flatten()?;
        if found.replace(value).is_some_and(|before| before != value) {
            return None;
        }
    }
    found
}

/// Compact forms of header names (section 7.3.3 and the registry of header fields).
const COMPACT_NAMES: [(&str, &str); 11] = [
    ("v", "Via"),
    ("f", "From"),
    ("t", "To"),
    ("i", "Call-ID"),
    ("m", "Contact"),
    ("l", "Content-Length"),
    ("c", "Content-Type"),
    ("e", "Content-Encoding"),
    ("s", "Subject"),
    ("k", "Supported"),
    ("x", "Session-Expires"),
];

/// Normalizes a head for the parser: joins continuation lines (section 7.3.1), expands compact names and splits `Via` lists.
fn normalize_head(head: &[u8]) -> Vec<u8> {
    let mut lines: Vec<Vec<u8>> = Vec::new();
    for line in head.split(|b| *b == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        match lines.last_mut() {
            Some(last) if line.starts_with(b" ") || line.starts_with(b"\t") => {
                last.push(b' ');
                last.extend_from_slice(line.trim_ascii());
            }
            _ => lines.push(line.to_vec()),
        }
    }
    let mut out = Vec::with_capacity(head.len() + 64);
    for (n, line) in lines.iter().enumerate() {
        let colon = line.iter().position(|b| *b == b':').filter(|_| n > 0);
        let Some(colon) = colon else {
            out.extend_from_slice(line);
            out.extend_from_slice(b"\r\n");
            continue;
        };
        let (short, value) = (line[..colon].trim_ascii(), line[colon + 1..].trim_ascii());
        let long = COMPACT_NAMES.iter().find(|c| short.eq_ignore_ascii_case(c.0.as_bytes()));
        let name = long.map_or(short, |c| c.1.as_bytes());
        let via = name.eq_ignore_ascii_case(b"via");
        // A comma within a quoted string doesn't separate values.
        let mut quoted = false;
        let ends = |b: &u8| {
            quoted ^= *b == b'"';
            via && !quoted && *b == b','
        };
        for part in value.split(ends) {
            out.extend_from_slice(name);
            out.extend_from_slice(b": ");
            out.extend_from_slice(part.trim_ascii());
            out.extend_from_slice(b"\r\n");
        }
    }
    out.extend_from_slice(b"\r\n");
    out
}

fn identifier(text: &str, field: &'static str) -> Result<String, MessageError> {
    let is_valid = !text.is_empty()
        && text.len() <= MAX_IDENTIFIER_BYTES
        && text.chars().all(|c| !c.is_control() && c != ' ');
    if is_valid { Ok(text.to_owned()) } else { Err(MessageError::Field(field)) }
}

/// Checks that no identifying field is repeated, since implementations differ in which of two values they read.
fn check_unrepeated_fields(headers: &Headers) -> Result<(), MessageError> {
    type Predicate = fn(&Header) -> bool;
    let count = |matches: Predicate| headers.iter().filter(|h| matches(h)).count();
    let fields: [(&'static str, Predicate); 5] = [
        ("From", |h| matches!(h, Header::From(_))),
        ("To", |h| matches!(h, Header::To(_))),
        ("Call-ID", |h| matches!(h, Header::CallId(_))),
        ("CSeq", |h| matches!(h, Header::CSeq(_))),
        ("Max-Forwards", |h| matches!(h, Header::MaxForwards(_))),
    ];
    match fields.into_iter().find(|(_, is)| count(*is) > 1) {
        Some((field, _)) => Err(MessageError::Field(field)),
        None => Ok(()),
    }
}

fn identifiers(message: &impl HeadersExt) -> Result<(Identifiers, Method), MessageError> {
    check_unrepeated_fields(message.headers())?;
    let bad = |field| move |_| MessageError::Field(field);
    let via = message.via_header().map_err(bad("Via"))?.typed().map_err(bad("Via"))?;
    let branch = via.branch().ok_or(MessageError::Field("Via"))?.value().to_owned();
    if !branch.starts_with(BRANCH_COOKIE) {
        return Err(MessageError::Field("Via")); // a branch of RFC 2543 identifies nothing
    }
    let from = message.from_header().map_err(bad("From"))?.typed().map_err(bad("From"))?;
    let to = message.to_header().map_err(bad("To"))?.typed().map_err(bad("To"))?;
    let cseq = message.cseq_header().map_err(bad("CSeq"))?.typed().map_err(bad("CSeq"))?;
    let call = message.call_id_header().map_err(bad("Call-ID"))?.value().to_owned();
    let from_tag = from.tag().ok_or(MessageError::Field("From"))?.value().to_owned();
    let ids = Identifiers {
        call_id: identifier(&call, "Call-ID")?,
        from_tag: identifier(&from_tag, "From")?,
        to_tag: to.tag().map(|t| identifier(t.value(), "To")).transpose()?,
        seq: cseq.seq,
        branch: identifier(&branch, "Via")?,
        sent_by: via.sent_by().host_with_port.to_string().to_ascii_lowercase(),
    };
    Ok((ids, cseq.method))
}

impl Message {
    /// Parses one message, as from a datagram. Bytes past `Content-Length` are dropped (section 18.3).
    ///
    /// # Errors
    /// Returns an error if the message exceeds a limit, is malformed or lacks a required field.
    pub fn parse(bytes: &[u8]) -> Result<Message, MessageError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong);
        }
        let end = bytes.windows(4).position(|w| w == b"\r\n\r\n").ok_or(MessageError::Truncated)?;
        let head = &bytes[..end];
        if head.iter().filter(|b| **b == b'\n').count() > MAX_HEADER_FIELDS {
            return Err(MessageError::TooLong);
        }
        // The parser accepts only UTF-8 here. The body may be arbitrary bytes.
        if std::str::from_utf8(head).is_err() {
            return Err(MessageError::Malformed("head is not UTF-8".into()));
        }
        let body = &bytes[end + 4..];
        let length = match content_length(head) {
            Some(length) => length,
            None if head.to_ascii_lowercase().windows(15).any(|w| w == b"\ncontent-length") => {
                return Err(MessageError::Field("Content-Length"));
            }
            None => body.len(),
        };
        if length > body.len() {
            return Err(MessageError::Truncated);
        }
        let normalized = [&normalize_head(head), &body[..length]].concat();
        let parsed = SipMessage::try_from(normalized.as_slice())
            .map_err(|e| MessageError::Malformed(e.to_string()))?;
        match parsed {
            SipMessage::Request(raw) => {
                if raw.uri.scheme.is_none() {
                    return Err(MessageError::Malformed("request URI has no scheme".into()));
                }
                let (ids, method) = identifiers(&raw)?;
                if method != raw.method {
                    return Err(MessageError::Field("CSeq"));
                }
                Ok(Message::Request(Request { ids, raw }))
            }
            SipMessage::Response(raw) => {
                let (ids, method) = identifiers(&raw)?;
                let status = raw.status_code.code();
                if !(100..700).contains(&status) {
                    return Err(MessageError::Malformed(format!("status {status}")));
                }
                Ok(Message::Response(Response { ids, method, status, raw }))
            }
        }
    }
}

impl Request {
    /// Returns the method of the request.
    pub fn method(&self) -> Method {
        self.raw.method
    }

    /// Returns whether the request is for a new call: an INVITE outside of any dialog.
    pub fn starts_call(&self) -> bool {
        self.method() == Method::Invite && self.ids.to_tag.is_none()
    }

    /// Encodes the message as sent on the wire.
    pub fn encode(&self) -> Vec<u8> {
        self.raw.clone().into()
    }

    /// Builds a response to the request (section 8.2.6).
    ///
    /// `Via`, `From`, `To`, `Call-ID`, `CSeq` and `Record-Route` are copied, and the tag is added to `To` if it has none.
    pub fn response(&self, status: u16, tag: &str) -> Response {
        let mut headers: Vec<Header> = Vec::new();
        for header in self.raw.headers.iter() {
            match header {
                Header::Via(_)
                | Header::From(_)
                | Header::CallId(_)
                | Header::CSeq(_)
                | Header::RecordRoute(_) => {
                    headers.push(header.clone());
                }
                Header::To(to) => headers.push(self.tagged(to, status, tag)),
                _ => {}
            }
        }
        headers.push(rsip::headers::ContentLength::default().into());
        let raw = rsip::Response {
            status_code: status.into(),
            version: rsip::Version::V2,
            headers: Headers::from(headers),
            body: Vec::new(),
        };
        let mut ids = self.ids.clone();
        if status > 100 && ids.to_tag.is_none() {
            ids.to_tag = Some(tag.to_owned());
        }
        Response { ids, method: self.method(), status, raw }
    }

    fn tagged(&self, to: &rsip::headers::To, status: u16, tag: &str) -> Header {
        // A 100 precedes the dialog and gets no tag.
        if self.ids.to_tag.is_some() || status == 100 {
            return to.clone().into();
        }
        match to.typed() {
            Ok(to) => Header::To(typed::To::with_tag(to, tag.into()).into()),
            Err(_) => to.clone().into(),
        }
    }

    /// Builds the ACK for a final response other than 2xx to this INVITE (section 17.1.1.3).
    ///
    /// The ACK has the branch of the INVITE and the `To` of the response.
    pub fn ack_for(&self, response: &Response) -> Request {
        let to = response.raw.to_header().ok().cloned();
        self.hop_request(Method::Ack, to)
    }

    /// Builds the CANCEL of this request (section 9.1), with the same branch, sequence number and `To`.
    pub fn cancel(&self) -> Request {
        self.hop_request(Method::Cancel, None)
    }

    /// Builds a request of another method that belongs to this request's transaction on this hop.
    fn hop_request(&self, method: Method, to: Option<rsip::headers::To>) -> Request {
        let mut headers: Vec<Header> = Vec::new();
        let mut via = false;
        for header in self.raw.headers.iter() {
            match header {
                Header::Via(_) if !std::mem::replace(&mut via, true) => headers.push(header.clone()),
                Header::From(_) | Header::CallId(_) | Header::Route(_) | Header::MaxForwards(_) => {
                    headers.push(header.clone());
                }
                Header::To(own) => headers.push(to.clone().unwrap_or_else(|| own.clone()).into()),
                Header::CSeq(_) => headers.push(typed::CSeq { seq: self.ids.seq, method }.into()),
                _ => {}
            }
        }
        headers.push(rsip::headers::ContentLength::default().into());
        let mut ids = self.ids.clone();
        if let Some(tag) = to.and_then(|t| t.typed().ok()).and_then(|t| t.tag().map(|t| t.value().to_owned()))
        {
            ids.to_tag = Some(tag);
        }
        let raw = rsip::Request {
            method,
            uri: self.raw.uri.clone(),
            version: rsip::Version::V2,
            headers: Headers::from(headers),
            body: Vec::new(),
        };
        Request { ids, raw }
    }
}

impl Response {
    /// Returns whether the response is final.
    pub fn is_final(&self) -> bool {
        self.status >= 200
    }

    /// Encodes the message as sent on the wire.
    pub fn encode(&self) -> Vec<u8> {
        self.raw.clone().into()
    }
}
