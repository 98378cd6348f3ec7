//! The parameters of RFC 7339 in the topmost `Via`.

use beechloft_session::api::Micros;
use rsip::headers::UntypedHeader;
use rsip::{Header, Headers};

use crate::message::Response;

/// What a neighbour is told: the part of its new calls to keep back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Advice {
    /// Percent to keep back, 0 to 100 (`oc`).
    pub percent: u8,
    /// How long it holds (`oc-validity`, milliseconds on the wire).
    pub validity: Micros,
    /// Later advice has a higher number (`oc-seq`).
    pub seq: u64,
}

/// The parts of a field's value between semicolons, but for those within quotation marks.
fn parts(value: &str) -> impl Iterator<Item = &str> {
    let mut quoted = false;
    value.split(move |c| {
        quoted ^= c == '"';
        c == ';' && !quoted
    })
}

fn is_ours(part: &str) -> bool {
    let name = part.split('=').next().unwrap_or_default().trim();
    ["oc", "oc-algo", "oc-validity", "oc-seq"].iter().any(|n| name.eq_ignore_ascii_case(n))
}

/// Whether the sender of a request with these fields takes part in the loss-based control (sections 4.1 and 4.2).
pub fn claims(headers: &Headers) -> bool {
    let via = headers.iter().find_map(|h| if let Header::Via(v) = h { Some(v.value()) } else { None });
    let Some(via) = via else { return false };
    let (mut oc, mut loss) = (false, false);
    for part in parts(via).skip(1) {
        let (name, value) = part.split_once('=').unwrap_or((part, ""));
        let name = name.trim();
        oc |= name.eq_ignore_ascii_case("oc");
        loss |= name.eq_ignore_ascii_case("oc-algo")
            && value.trim().trim_matches('"').split(',').any(|a| a.trim().eq_ignore_ascii_case("loss"));
    }
    oc && loss
}

/// Puts advice into the topmost `Via` of a response, in place of what the request had there.
pub fn advise(response: &mut Response, advice: Advice) {
    let headers = response.raw.headers.iter_mut();
    let via = headers.filter_map(|h| if let Header::Via(v) = h { Some(v) } else { None }).next();
    let Some(via) = via else { return };
    let kept: Vec<&str> = parts(via.value()).filter(|p| !is_ours(p)).collect();
    let Advice { percent, validity, seq } = advice;
    let ms = validity.0 / 1000;
    let text = format!("{};oc={percent};oc-algo=\"loss\";oc-validity={ms};oc-seq={seq}.0", kept.join(";"));
    *via = text.into();
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::message::{Message, Request};

    fn invite(via: &str) -> Request {
        let text = format!(
            "INVITE sip:a@b SIP/2.0\r\nVia: {via}\r\nMax-Forwards: 70\r\nFrom: <sip:c@d>;tag=1\r\nTo: <sip:a@b>\r\n\
             Call-ID: 1\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n"
        );
        match Message::parse(text.as_bytes()) {
            Ok(Message::Request(request)) => request,
            other => panic!("{other:?}"),
        }
    }

    #[test]
    fn only_the_loss_algorithm_is_a_claim_to_be_heard() {
        let with =
            |rest: &str| claims(&invite(&format!("SIP/2.0/UDP a:1;branch=z9hG4bK1{rest}")).raw.headers);
        assert!(with(";oc;oc-algo=\"loss\""));
        assert!(with(";OC;oc-algo=\"rate,loss\""));
        assert!(!with(";oc;oc-algo=\"rate\""));
        assert!(!with(";oc-algo=\"loss\""));
        assert!(!with(";x=\";oc;oc-algo=loss\""), "what is quoted is no parameter");
        assert!(!with(""));
    }

    #[test]
    fn advice_takes_the_place_of_the_claim() {
        let request = invite("SIP/2.0/UDP a:1;oc;branch=z9hG4bK1;oc-algo=\"loss\";rport");
        let mut response = request.answer(503, "t");
        advise(&mut response, Advice { percent: 20, validity: Micros(500_000), seq: 7 });
        let text = String::from_utf8(response.encode()).expect("text");
        let via = "Via: SIP/2.0/UDP a:1;branch=z9hG4bK1;rport;oc=20;oc-algo=\"loss\";oc-validity=500;oc-seq=7.0\r\n";
        assert!(text.contains(via), "{text}");
    }
}
