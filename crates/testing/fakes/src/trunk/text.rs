//! A trunk's messages as text. The kept parser costs a front as much as all else that it does for a call; a load tool
//! that used it would be slower than what it measures. What is read here comes from the front alone.

use std::fmt::Write;
use std::net::SocketAddr;

use crate::offer;

/// What names a call and its messages.
#[derive(Debug, Clone)]
pub(super) struct Names {
    pub offer: String,
    /// The front's tag, once it has one.
    pub tag: String,
    id: u64,
    seed: u64,
    own: String,
    front: SocketAddr,
    title: String,
    claims: bool,
    body: String,
}

impl Names {
    pub fn new(own: &str, front: SocketAddr, id: u64, seed: u64, title: &str, claims: bool) -> Names {
        let body = offer::plain(&format!("{id:x}.{seed:x}"), None);
        let offer = offer::origin(body.as_bytes()).unwrap_or_default();
        let (own, title) = (own.to_owned(), title.to_owned());
        Names { offer, tag: String::new(), id, seed, own, front, title, claims, body }
    }

    fn head(&self, method: &str, branch: &str, seq: u32, tagged: bool) -> String {
        let Names { own, front, title, id, seed, .. } = self;
        let control = if self.claims { ";oc;oc-algo=\"loss\"" } else { "" };
        let mut text = String::with_capacity(1024);
        let _ = write!(
            text,
            "{method} sip:{title}@{front} SIP/2.0\r\nVia: SIP/2.0/UDP {own};branch=z9hG4bK{branch}{id:x}.{seed:x}{control}\r\n\
             Max-Forwards: 70\r\nFrom: <sip:trunk@{own}>;tag=t{id:x}\r\nTo: <sip:{title}@{front}>"
        );
        if tagged {
            let _ = write!(text, ";tag={}", self.tag);
        }
        let _ = write!(text, "\r\nCall-ID: {id:x}.{seed:x}@trunk\r\nCSeq: {seq} {method}\r\n");
        text
    }

    pub fn invite(&self) -> String {
        let mut text = self.head("INVITE", "i", 1, false);
        let _ = write!(
            text,
            "Contact: <sip:trunk@{}>\r\nContent-Type: application/sdp\r\nContent-Length: {}\r\n\r\n{}",
            self.own,
            self.body.len(),
            self.body
        );
        text
    }

    fn empty(mut head: String) -> String {
        head.push_str("Content-Length: 0\r\n\r\n");
        head
    }

    /// Same branch and number as the INVITE (section 9.1).
    pub fn cancel(&self) -> String {
        Names::empty(self.head("CANCEL", "i", 1, false))
    }

    pub fn ack_of_failure(&self) -> String {
        Names::empty(self.head("ACK", "i", 1, true))
    }

    pub fn ack(&self) -> String {
        Names::empty(self.head("ACK", "a", 1, true))
    }

    pub fn bye(&self) -> String {
        Names::empty(self.head("BYE", "b", 2, true))
    }
}

/// A front's wish to be spared.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Spare {
    pub percent: u8,
    pub validity_ms: u64,
    pub seq: f64,
}

/// A message of the front.
#[derive(Debug, PartialEq)]
pub(super) enum Heard {
    /// It asks within a call; what is to be answered.
    Request { id: u64, answer: String, bye: bool },
    /// It answers.
    Response { id: u64, status: u16, method: String, tag: String, spare: Option<Spare> },
}

fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.split("\r\n").find_map(|l| l.strip_prefix(name)?.strip_prefix(": "))
}

fn parameter<'a>(value: &'a str, name: &str) -> Option<&'a str> {
    value.split(';').skip(1).find_map(|p| p.trim().strip_prefix(name)?.strip_prefix('='))
}

fn spare_of(via: &str) -> Option<Spare> {
    Some(Spare {
        percent: parameter(via, "oc")?.parse().ok()?,
        validity_ms: parameter(via, "oc-validity").and_then(|v| v.parse().ok()).unwrap_or(500),
        seq: parameter(via, "oc-seq")?.parse().ok()?,
    })
}

/// The seconds after which the front wants to be asked again.
pub(super) fn retry_after(bytes: &[u8]) -> Option<u64> {
    field(std::str::from_utf8(bytes).ok()?, "Retry-After")?.trim().parse().ok()
}

pub(super) fn read(bytes: &[u8]) -> Option<Heard> {
    let text = std::str::from_utf8(bytes).ok()?;
    let head = text.split("\r\n\r\n").next()?;
    let (first, _) = head.split_once("\r\n")?;
    let call = field(head, "Call-ID")?;
    let id = u64::from_str_radix(call.split('.').next()?, 16).ok()?;
    if let Some(rest) = first.strip_prefix("SIP/2.0 ") {
        let status = rest.get(..3)?.parse().ok()?;
        let method = field(head, "CSeq")?.split(' ').nth(1)?.to_owned();
        let tag = parameter(field(head, "To")?, "tag").unwrap_or_default().to_owned();
        return Some(Heard::Response { id, status, method, tag, spare: spare_of(field(head, "Via")?) });
    }
    let mut answer = String::from("SIP/2.0 200 OK\r\n");
    for name in ["Via", "From", "To", "Call-ID", "CSeq"] {
        let _ = write!(answer, "{name}: {}\r\n", field(head, name)?);
    }
    answer.push_str("Content-Length: 0\r\n\r\n");
    Some(Heard::Request { id, answer, bye: first.starts_with("BYE ") })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_response_is_read_with_its_wish() {
        let text = "SIP/2.0 503 Busy\r\nVia: SIP/2.0/UDP a:1;branch=z9hG4bKi1.2;oc=20;oc-algo=\"loss\";oc-validity=400;oc-seq=12.5\r\n\
                    From: <sip:trunk@a:1>;tag=t1f\r\nTo: <sip:x@b>;tag=q7\r\nCall-ID: 1f.2@trunk\r\nCSeq: 1 INVITE\r\n\
                    Retry-After: 3\r\n\r\n";
        let spare = Some(Spare { percent: 20, validity_ms: 400, seq: 12.5 });
        let (method, tag) = ("INVITE".to_owned(), "q7".to_owned());
        assert_eq!(
            read(text.as_bytes()),
            Some(Heard::Response { id: 0x1f, status: 503, method, tag, spare })
        );
        assert_eq!(retry_after(text.as_bytes()), Some(3));
    }
}
