//! Requests of the front to media servers, and the interpretation of their responses.

use std::sync::Arc;

use beechloft_http::{Method, Request, Response, StatusCode, header};
use beechloft_session::api::{LoadReport, Outcome, Rung};
use beechloft_session::io::{AttemptResult, MediaServerReply};

use crate::{FRAG, SDP, layers, load, route, sdp};

/// Maximum length of a session's path at a media server, in bytes.
pub const MAX_PATH_BYTES: usize = 512;
/// Maximum number of `Link` values that are read from a response.
pub const MAX_LINKS: usize = 8;

/// Returns the request that sets up a session.
pub fn set_up(title: &str, publishes: bool, offer: String, token: Option<&str>, front: u32) -> Request {
    let request = Request::new(Method::POST, route::endpoint_path(title, publishes)).body(SDP, offer);
    let request = request.with(header::ACCEPT, SDP).with(header::VIA, via(front));
    match token {
        Some(token) => request.with(header::AUTHORIZATION, token),
        None => request,
    }
}

/// Name of the header that carries a tag for a media server to store with a session.
pub const TAG: &str = "session-tag";
/// Path at which a media server reports the number of its sessions for each tag, as a JSON object.
pub const TAGS_PATH: &str = "/tags";

/// Adds a session tag to a set-up request.
pub fn tagged(request: Request, tag: Option<&str>) -> Request {
    match tag {
        Some(tag) => request.with(header::HeaderName::from_static(TAG), tag),
        None => request,
    }
}

/// Returns the request that reads the tags of all sessions.
pub fn tags() -> Request {
    Request::new(Method::GET, TAGS_PATH)
}

/// Returns the `Via` value by which a front identifies itself to a server (RFC 9110, section 7.6.3).
pub fn via(front: u32) -> String {
    format!("1.1 beechloft-{front}")
}

/// Returns the slot of the front that a `Via` value names.
pub fn front_slot(via: Option<&str>) -> Option<u32> {
    via?.rsplit(',').next()?.trim().strip_prefix("1.1 beechloft-")?.parse().ok()
}

/// Returns the request that ends a session.
pub fn release(resource: &str) -> Request {
    Request::new(Method::DELETE, resource)
}

/// Returns whether the response to a release confirms that the session no longer exists.
pub fn is_released(response: &Response) -> bool {
    response.status.is_success() || matches!(response.status, StatusCode::NOT_FOUND | StatusCode::GONE)
}

/// Returns the request that changes the rung of a session.
pub fn set_rung(path: &str, rung: Rung) -> Request {
    Request::new(Method::POST, path).body(layers::BODY, layers::select(rung))
}

/// Returns the request that reads a media server's load.
pub fn health_check() -> Request {
    Request::new(Method::GET, crate::server_events::LOAD_PATH).with(header::ACCEPT, load::BODY)
}

/// Returns the request that forwards trickled candidates or an ICE restart.
pub fn patch(resource: &str, from: &Request) -> Request {
    let mut request = Request::new(Method::PATCH, resource).body(FRAG, from.body.clone());
    for name in [header::IF_MATCH, header::AUTHORIZATION] {
        if let Some(value) = from.headers.get(&name) {
            request.headers.insert(name, value.clone());
        }
    }
    request
}

/// Extracts the path of a session from its `Location`. Any host is ignored because the session is at the server asked.
fn path_of(location: &str) -> Option<&str> {
    let path = match location.split_once("://") {
        Some((_, rest)) => &rest[rest.find('/')?..],
        None => location,
    };
    let is_valid = path.starts_with('/')
        && path.len() <= MAX_PATH_BYTES
        && path.bytes().all(|byte| byte.is_ascii_graphic());
    is_valid.then_some(path)
}

/// Converts the response to a set-up into the attempt's result and the load report that came with it.
///
/// A status that rejects the client's own request is forwarded and doesn't count against the media server. A 404 counts
/// against the media server, since the endpoint list names it as a holder of the title.
pub fn attempt_result(response: &Response) -> (AttemptResult, LoadReport) {
    let report = load::parse_header(response.field(load::FIELD));
    let result = match response.status.as_u16() {
        201 => accepted(response),
        503 | 429 => AttemptResult::Ended(Outcome::Overloaded),
        status @ (400 | 401 | 403 | 406 | 413 | 415 | 422) => AttemptResult::Declined(status),
        _ => AttemptResult::Ended(Outcome::Error),
    };
    (result, report)
}

fn accepted(response: &Response) -> AttemptResult {
    let Some(resource) = response.field(header::LOCATION).and_then(path_of).map(str::to_owned) else {
        return AttemptResult::Ended(Outcome::Error);
    };
    if !crate::is_type(response.field(header::CONTENT_TYPE), SDP)
        || sdp::check_answer(&response.body).is_err()
    {
        return AttemptResult::Unusable { resource, outcome: Outcome::Error };
    }
    let mut reply = MediaServerReply {
        sdp: response.body.clone(),
        etag: response.field(header::ETAG).map(str::to_owned),
        ..MediaServerReply::default()
    };
    let values = response.headers.get_all(header::LINK).iter().filter_map(|value| value.to_str().ok());
    for value in values.take(MAX_LINKS) {
        match layers::link(value) {
            Some((target, layers::REL)) => reply.layers = path_of(target).map(str::to_owned),
            // Only ICE servers concern the player (RFC 9725, section 4.6). Extensions end at the front.
            Some((_, "ice-server")) => reply.links.push(value.to_owned()),
            _ => {}
        }
    }
    AttemptResult::Accepted { resource, reply: Arc::new(reply) }
}

#[cfg(test)]
mod tests;
