//! Overload control parameters of RFC 7339 in the topmost `Via`.

use beechloft_session::api::Micros;
use rsip::headers::UntypedHeader;
use rsip::{Header, Headers};

use crate::message::Response;

/// Feedback to a neighbour: the fraction of its new calls to drop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Feedback {
    /// Percentage of new calls to drop, 0 to 100 (`oc`).
    pub percent: u8,
    /// Validity period (`oc-validity`, in milliseconds on the wire).
    pub validity: Micros,
    /// Sequence number, higher in later feedback (`oc-seq`).
    pub seq: u64,
}

/// Splits a header value at semicolons outside quoted strings.
fn split_parameters(value: &str) -> impl Iterator<Item = &str> {
    let mut quoted = false;
    value.split(move |c| {
        quoted ^= c == '"';
        c == ';' && !quoted
    })
}

fn is_overload_parameter(part: &str) -> bool {
    let name = part.split('=').next().unwrap_or_default().trim();
    ["oc", "oc-algo", "oc-validity", "oc-seq"].iter().any(|n| name.eq_ignore_ascii_case(n))
}

/// Returns whether the sender of a request with these headers supports loss-based control (sections 4.1 and 4.2).
pub fn supports_loss_control(headers: &Headers) -> bool {
    let via = headers.iter().find_map(|h| if let Header::Via(v) = h { Some(v.value()) } else { None });
    let Some(via) = via else { return false };
    let (mut oc, mut loss) = (false, false);
    for part in split_parameters(via).skip(1) {
        let (name, value) = part.split_once('=').unwrap_or((part, ""));
        let name = name.trim();
        oc |= name.eq_ignore_ascii_case("oc");
        loss |= name.eq_ignore_ascii_case("oc-algo")
            && value.trim().trim_matches('"').split(',').any(|a| a.trim().eq_ignore_ascii_case("loss"));
    }
    oc && loss
}

/// Puts feedback into the topmost `Via` of a response, in place of the request's own parameters.
pub fn add_feedback(response: &mut Response, feedback: Feedback) {
    let headers = response.raw.headers.iter_mut();
    let via = headers.filter_map(|h| if let Header::Via(v) = h { Some(v) } else { None }).next();
    let Some(via) = via else { return };
    let kept: Vec<&str> = split_parameters(via.value()).filter(|p| !is_overload_parameter(p)).collect();
    let Feedback { percent, validity, seq } = feedback;
    let ms = validity.0 / 1000;
    let text = format!("{};oc={percent};oc-algo=\"loss\";oc-validity={ms};oc-seq={seq}.0", kept.join(";"));
    *via = text.into();
}

#[cfg(test)]
mod tests;
