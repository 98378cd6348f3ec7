//! Validation of an initial INVITE before it is passed on (RFC 3261, section 8.2).

use rsip::{Header, headers::UntypedHeader};

use crate::message::{Request, Response};

/// Value of `Allow`: the supported methods.
pub const ALLOW: &str = "INVITE, ACK, CANCEL, BYE, UPDATE, OPTIONS";
/// Option tags that are supported in `Require`.
const SUPPORTED_OPTION_TAGS: [&str; 1] = ["timer"];

/// Returns the response that rejects an INVITE outside any dialog, or `None` if the INVITE is acceptable.
///
/// `full` states that no further call fits. `merged` states that the same request already arrived by another path
/// (section 8.2.2.2).
pub fn rejection(request: &Request, tag: &str, full: bool, merged: bool) -> Option<Response> {
    let headers = &request.raw.headers;
    let with = |status, header: Header| {
        let mut answer = request.response(status, tag);
        answer.raw.headers.push(header);
        Some(answer)
    };
    if headers.iter().any(|h| matches!(h, Header::MaxForwards(m) if m.value().trim() == "0")) {
        return Some(request.response(483, tag));
    }
    let required =
        headers.iter().filter_map(|h| if let Header::Require(r) = h { Some(r.value()) } else { None });
    let unknown: Vec<&str> = required
        .flat_map(|r| r.split(','))
        .map(str::trim)
        .filter(|r| !SUPPORTED_OPTION_TAGS.contains(r))
        .collect();
    if !unknown.is_empty() {
        return with(420, Header::Unsupported(unknown.join(", ").into()));
    }
    let kind =
        headers.iter().find_map(|h| if let Header::ContentType(t) = h { Some(t.value()) } else { None });
    if !request.raw.body.is_empty() && !beechloft_whep::is_type(kind, beechloft_whep::SDP) {
        return with(415, Header::Accept("application/sdp".into()));
    }
    if full {
        return with(503, Header::RetryAfter("1".into()));
    }
    merged.then(|| request.response(482, tag))
}
