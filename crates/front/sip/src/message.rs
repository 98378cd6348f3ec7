//! Messages behind bounds: read by a kept parser, with what the layers above need taken out and checked once.

use rsip::headers::{ToTypedHeader, UntypedHeader};
use rsip::message::HeadersExt;
use rsip::typed;
use rsip::{Header, Headers, SipMessage};
use thiserror::Error;

pub use rsip::Method;

/// Longest message, bytes: what one UDP datagram can hold.
pub const BYTES: usize = 65_535;
/// Header fields at most.
pub const FIELDS: usize = 100;
/// Longest value of a field that names something (a tag, a branch, a call), bytes.
pub const NAME_BYTES: usize = 256;
/// What begins every branch (section 8.1.1.7).
pub const COOKIE: &str = "z9hG4bK";

/// Why a message can't be used.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum MessageError {
    /// Too long, or too many fields.
    #[error("a message of more than {BYTES} bytes or {FIELDS} fields")]
    TooLong,
    /// Not SIP.
    #[error("not SIP: {0}")]
    Malformed(String),
    /// A field that must be there is missing, or makes no sense.
    #[error("the {0} field is missing or makes no sense")]
    Field(&'static str),
    /// The body is shorter than `Content-Length` says.
    #[error("the body is shorter than its length says")]
    Cut,
}

/// What names a message's place: which call, which request, which hop.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Names {
    /// The `Call-ID`.
    pub call: String,
    /// The tag of `From`.
    pub from_tag: String,
    /// The tag of `To`, if there is one yet.
    pub to_tag: Option<String>,
    /// The number of `CSeq`.
    pub seq: u32,
    /// The branch of the topmost `Via`.
    pub branch: String,
    /// The `sent-by` of the topmost `Via`.
    pub sent_by: String,
}

/// A request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// What names it.
    pub names: Names,
    /// The message as the parser has it.
    pub raw: rsip::Request,
}

/// A response.
#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    /// What names it.
    pub names: Names,
    /// The method of the request that it answers.
    pub method: Method,
    /// Its status.
    pub status: u16,
    /// The message as the parser has it.
    pub raw: rsip::Response,
}

/// A message.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// A request.
    Request(Request),
    /// A response.
    Response(Response),
}

/// The value of `Content-Length` in a head, if it is there once and sound.
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

/// Compact names (section 7.3.3 and the registry of header fields).
const COMPACT: [(&str, &str); 11] = [
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

/// A head as the parser wants it: continued lines joined (section 7.3.1), names in full, each `Via` on its own line.
fn long_form(head: &[u8]) -> Vec<u8> {
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
        let long = COMPACT.iter().find(|c| short.eq_ignore_ascii_case(c.0.as_bytes()));
        let name = long.map_or(short, |c| c.1.as_bytes());
        let via = name.eq_ignore_ascii_case(b"via");
        // A comma within quotation marks joins nothing.
        let mut quoted = false;
        let ends = |b: &u8| {
            quoted ^= *b == b'"';
            via && !quoted && *b == b','
        };
        for value in value.split(ends) {
            out.extend_from_slice(name);
            out.extend_from_slice(b": ");
            out.extend_from_slice(value.trim_ascii());
            out.extend_from_slice(b"\r\n");
        }
    }
    out.extend_from_slice(b"\r\n");
    out
}

fn name(text: &str, field: &'static str) -> Result<String, MessageError> {
    let sound =
        !text.is_empty() && text.len() <= NAME_BYTES && text.chars().all(|c| !c.is_control() && c != ' ');
    if sound { Ok(text.to_owned()) } else { Err(MessageError::Field(field)) }
}

/// Fields that name a message must be there once: two of them would be read differently by different readers.
fn each_once(headers: &Headers) -> Result<(), MessageError> {
    type Is = fn(&Header) -> bool;
    let count = |is: Is| headers.iter().filter(|h| is(h)).count();
    let fields: [(&'static str, Is); 5] = [
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

fn names(message: &impl HeadersExt) -> Result<(Names, Method), MessageError> {
    each_once(message.headers())?;
    let bad = |field| move |_| MessageError::Field(field);
    let via = message.via_header().map_err(bad("Via"))?.typed().map_err(bad("Via"))?;
    let branch = via.branch().ok_or(MessageError::Field("Via"))?.value().to_owned();
    if !branch.starts_with(COOKIE) {
        return Err(MessageError::Field("Via")); // a branch of RFC 2543 names nothing
    }
    let from = message.from_header().map_err(bad("From"))?.typed().map_err(bad("From"))?;
    let to = message.to_header().map_err(bad("To"))?.typed().map_err(bad("To"))?;
    let cseq = message.cseq_header().map_err(bad("CSeq"))?.typed().map_err(bad("CSeq"))?;
    let call = message.call_id_header().map_err(bad("Call-ID"))?.value().to_owned();
    let from_tag = from.tag().ok_or(MessageError::Field("From"))?.value().to_owned();
    let names = Names {
        call: name(&call, "Call-ID")?,
        from_tag: name(&from_tag, "From")?,
        to_tag: to.tag().map(|t| name(t.value(), "To")).transpose()?,
        seq: cseq.seq,
        branch: name(&branch, "Via")?,
        sent_by: via.sent_by().host_with_port.to_string().to_ascii_lowercase(),
    };
    Ok((names, cseq.method))
}

impl Message {
    /// Reads one message, as from a datagram: bytes past `Content-Length` are dropped (section 18.3).
    pub fn parse(bytes: &[u8]) -> Result<Message, MessageError> {
        if bytes.len() > BYTES {
            return Err(MessageError::TooLong);
        }
        let end = bytes.windows(4).position(|w| w == b"\r\n\r\n").ok_or(MessageError::Cut)?;
        let head = &bytes[..end];
        if head.iter().filter(|b| **b == b'\n').count() > FIELDS {
            return Err(MessageError::TooLong);
        }
        // The parser takes no other than text here; a body may be anything.
        if std::str::from_utf8(head).is_err() {
            return Err(MessageError::Malformed("the head is not text".into()));
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
            return Err(MessageError::Cut);
        }
        let whole = [&long_form(head), &body[..length]].concat();
        let parsed =
            SipMessage::try_from(whole.as_slice()).map_err(|e| MessageError::Malformed(e.to_string()))?;
        match parsed {
            SipMessage::Request(raw) => {
                if raw.uri.scheme.is_none() {
                    return Err(MessageError::Malformed("its address has no scheme".into()));
                }
                let (names, method) = names(&raw)?;
                if method != raw.method {
                    return Err(MessageError::Field("CSeq"));
                }
                Ok(Message::Request(Request { names, raw }))
            }
            SipMessage::Response(raw) => {
                let (names, method) = names(&raw)?;
                let status = raw.status_code.code();
                if !(100..700).contains(&status) {
                    return Err(MessageError::Malformed(format!("status {status}")));
                }
                Ok(Message::Response(Response { names, method, status, raw }))
            }
        }
    }
}

impl Request {
    /// Its method.
    pub fn method(&self) -> Method {
        self.raw.method
    }

    /// The bytes on the wire.
    pub fn encode(&self) -> Vec<u8> {
        self.raw.clone().into()
    }

    /// A response to it (section 8.2.6): `Via`, `From`, `To`, `Call-ID`, `CSeq` and `Record-Route` are taken over, and
    /// the tag is added to `To` where it has none.
    pub fn answer(&self, status: u16, tag: &str) -> Response {
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
        let mut names = self.names.clone();
        if status > 100 && names.to_tag.is_none() {
            names.to_tag = Some(tag.to_owned());
        }
        Response { names, method: self.method(), status, raw }
    }

    fn tagged(&self, to: &rsip::headers::To, status: u16, tag: &str) -> Header {
        // A 100 goes out before there is a dialog and takes no tag.
        if self.names.to_tag.is_some() || status == 100 {
            return to.clone().into();
        }
        match to.typed() {
            Ok(to) => Header::To(typed::To::with_tag(to, tag.into()).into()),
            Err(_) => to.clone().into(),
        }
    }

    /// The ACK for a final response to this INVITE other than 2xx (section 17.1.1.3): same branch, `To` of the response.
    pub fn ack_for(&self, response: &Response) -> Request {
        let to = response.raw.to_header().ok().cloned();
        self.hop_request(Method::Ack, to)
    }

    /// The CANCEL of this request (section 9.1): same branch, same number, same `To`.
    pub fn cancel(&self) -> Request {
        self.hop_request(Method::Cancel, None)
    }

    /// A request of another method that belongs to this one on this hop.
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
                Header::CSeq(_) => headers.push(typed::CSeq { seq: self.names.seq, method }.into()),
                _ => {}
            }
        }
        headers.push(rsip::headers::ContentLength::default().into());
        let mut names = self.names.clone();
        if let Some(tag) = to.and_then(|t| t.typed().ok()).and_then(|t| t.tag().map(|t| t.value().to_owned()))
        {
            names.to_tag = Some(tag);
        }
        let raw = rsip::Request {
            method,
            uri: self.raw.uri.clone(),
            version: rsip::Version::V2,
            headers: Headers::from(headers),
            body: Vec::new(),
        };
        Request { names, raw }
    }
}

impl Response {
    /// Whether it is a final one.
    pub fn is_final(&self) -> bool {
        self.status >= 200
    }

    /// The bytes on the wire.
    pub fn encode(&self) -> Vec<u8> {
        self.raw.clone().into()
    }
}
