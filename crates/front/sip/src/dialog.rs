//! Dialogs (RFC 3261, section 12): the state that both sides of a call keep in order to send requests within it.

use rsip::headers::{ToTypedHeader, UntypedHeader};
use rsip::message::HeadersExt;
use rsip::{Header, Headers};

use crate::message::{BRANCH_COOKIE, Message, MessageError, Method, Request, Response};

/// Maximum number of `Record-Route` entries, since each request of the dialog carries all of them.
pub const MAX_ROUTES: usize = 16;

/// Generator of unique branches, tags and call IDs, seeded so that a run can be reproduced.
#[derive(Debug, Clone)]
pub struct IdGenerator(u64);

impl IdGenerator {
    /// Creates a generator whose output follows from a seed.
    pub fn new(seed: u64) -> Self {
        IdGenerator(seed)
    }

    /// SplitMix64, which spreads every seed over all numbers and never repeats a number within its period.
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a pseudorandom number, for example for jitter.
    pub fn random(&mut self) -> u64 {
        self.next()
    }

    /// Returns a new `Call-ID`, made globally unique by the host (section 8.1.1.4).
    pub fn call_id(&mut self, host: &str) -> String {
        format!("{}@{host}", self.tag())
    }

    /// Returns a new tag.
    pub fn tag(&mut self) -> String {
        format!("{:016x}", self.next())
    }

    /// Returns a new branch.
    pub fn branch(&mut self) -> String {
        format!("{BRANCH_COOKIE}{:016x}", self.next())
    }
}

/// Local end of a hop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalEndpoint {
    /// Transport as named in `Via`: `UDP` or `TCP`.
    pub transport: &'static str,
    /// Address to which responses are sent, as `host:port`.
    pub sent_by: String,
}

/// State of a dialog on one side.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dialog {
    call_id: String,
    local_tag: String,
    remote_tag: String,
    local: String,
    remote: String,
    target: String,
    routes: Vec<String>,
    seq: u32,
    remote_seq: Option<u32>,
}

/// Returns the URI of the first `Contact`.
fn contact(message: &impl HeadersExt) -> Result<String, MessageError> {
    let bad = |_| MessageError::Field("Contact");
    Ok(message.contact_header().map_err(bad)?.typed().map_err(bad)?.uri.to_string())
}

fn record_routes(headers: &Headers) -> Result<Vec<String>, MessageError> {
    let mut routes = Vec::new();
    for header in headers.iter() {
        if let Header::RecordRoute(route) = header {
            routes.extend(route.value().split(',').map(|r| r.trim().to_owned()));
        }
    }
    if routes.len() > MAX_ROUTES { Err(MessageError::Field("Record-Route")) } else { Ok(routes) }
}

/// Returns the address of a `From` or `To` without its tag.
fn address(text: &str) -> String {
    match text.rfind('>') {
        Some(end) => text[..=end].to_owned(),
        None => format!("<{}>", text.split(';').next().unwrap_or_default().trim()),
    }
}

fn parties(message: &impl HeadersExt) -> Result<(String, String), MessageError> {
    let from = message.from_header().map_err(|_| MessageError::Field("From"))?.value();
    let to = message.to_header().map_err(|_| MessageError::Field("To"))?.value();
    Ok((address(from), address(to)))
}

impl Dialog {
    /// Creates the dialog of the side that received the INVITE, with the tag of its response.
    ///
    /// # Errors
    /// Returns an error if the INVITE lacks a valid `From`, `To` or `Contact`, or has too many routes.
    pub fn as_server(invite: &Request, tag: &str) -> Result<Dialog, MessageError> {
        let (from, to) = parties(&invite.raw)?;
        Ok(Dialog {
            call_id: invite.ids.call_id.clone(),
            local_tag: tag.to_owned(),
            remote_tag: invite.ids.from_tag.clone(),
            local: to,
            remote: from,
            target: contact(&invite.raw)?,
            routes: record_routes(&invite.raw.headers)?,
            seq: 0,
            remote_seq: Some(invite.ids.seq),
        })
    }

    /// Creates the dialog of the side that sent the INVITE, from the response.
    ///
    /// # Errors
    /// Returns an error if the response lacks a valid `From`, `To`, tag or `Contact`, or has too many routes.
    pub fn as_client(invite: &Request, answer: &Response) -> Result<Dialog, MessageError> {
        let (from, to) = parties(&answer.raw)?;
        let mut routes = record_routes(&answer.raw.headers)?;
        routes.reverse();
        Ok(Dialog {
            call_id: invite.ids.call_id.clone(),
            local_tag: invite.ids.from_tag.clone(),
            remote_tag: answer.ids.to_tag.clone().ok_or(MessageError::Field("To"))?,
            local: from,
            remote: to,
            target: contact(&answer.raw)?,
            routes,
            seq: invite.ids.seq,
            remote_seq: None,
        })
    }

    /// Returns the remote target, to which requests go unless a route set leads elsewhere.
    pub fn target(&self) -> &str {
        &self.target
    }

    /// Builds the next request of the dialog.
    ///
    /// Returns `None` if the remote target makes no valid request.
    pub fn request(
        &mut self,
        method: Method,
        local: &LocalEndpoint,
        branch: &str,
        body: Option<&str>,
    ) -> Option<Request> {
        self.seq += 1;
        self.build(method, self.seq, local, branch, body)
    }

    /// Builds the ACK of a 2xx to the INVITE with this sequence number (section 13.2.2.4), with a branch of its own.
    pub fn ack(&self, seq: u32, local: &LocalEndpoint, branch: &str) -> Option<Request> {
        self.build(Method::Ack, seq, local, branch, None)
    }

    fn build(
        &self,
        method: Method,
        seq: u32,
        local: &LocalEndpoint,
        branch: &str,
        body: Option<&str>,
    ) -> Option<Request> {
        use std::fmt::Write as _;
        let body = body.unwrap_or_default();
        let mut text = format!(
            "{method} {} SIP/2.0\r\nVia: SIP/2.0/{} {};branch={branch}\r\nMax-Forwards: 70\r\n",
            self.target, local.transport, local.sent_by
        );
        for route in &self.routes {
            let _ = write!(text, "Route: {route}\r\n");
        }
        let _ = write!(
            text,
            "From: {};tag={}\r\nTo: {};tag={}\r\nCall-ID: {}\r\nCSeq: {seq} {method}\r\nContact: <sip:{}>\r\n",
            self.local, self.local_tag, self.remote, self.remote_tag, self.call_id, local.sent_by
        );
        if !body.is_empty() {
            text.push_str("Content-Type: application/sdp\r\n");
        }
        let _ = write!(text, "Content-Length: {}\r\n\r\n{body}", body.len());
        match Message::parse(text.as_bytes()) {
            Ok(Message::Request(request)) => Some(request),
            _ => None,
        }
    }

    /// Accepts a request if it belongs to the dialog and is in order.
    ///
    /// # Errors
    /// Returns the status to reject it with: 481 if it belongs to another dialog, 500 if its sequence number is not higher
    /// than that of the last request (section 12.2.2).
    pub fn accept_request(&mut self, request: &Request) -> Result<(), u16> {
        let ids = &request.ids;
        let ours = ids.call_id == self.call_id
            && ids.from_tag == self.remote_tag
            && ids.to_tag.as_deref() == Some(self.local_tag.as_str());
        if !ours {
            return Err(481);
        }
        // An ACK has the sequence number of its INVITE.
        if request.method() == Method::Ack {
            return Ok(());
        }
        if self.remote_seq.is_some_and(|last| ids.seq <= last) {
            return Err(500);
        }
        self.remote_seq = Some(ids.seq);
        if matches!(request.method(), Method::Invite | Method::Update)
            && let Ok(target) = contact(&request.raw)
        {
            self.target = target; // a target refresh (section 12.2.1.1)
        }
        Ok(())
    }

    /// Returns the `Call-ID`.
    pub fn call_id(&self) -> &str {
        &self.call_id
    }

    /// Returns the local tag.
    pub fn local_tag(&self) -> &str {
        &self.local_tag
    }
}
