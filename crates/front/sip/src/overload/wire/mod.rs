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
mod tests;
