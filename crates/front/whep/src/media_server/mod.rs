//! The front as a client of a media server: its calls, and what a media server's responses mean.

use std::sync::Arc;

use beechloft_http::{Method, Request, Response, StatusCode, header};
use beechloft_session::api::{LoadReport, Outcome, Rung};
use beechloft_session::io::{AttemptResult, MediaServerReply};

use crate::{FRAG, SDP, layers, load, route, sdp};

/// Longest path of a session at a media server, bytes.
pub const MAX_PATH_BYTES: usize = 512;
/// `Link` values forwarded at most.
pub const MAX_LINKS: usize = 8;

/// The call that sets a session up.
pub fn set_up(title: &str, publishes: bool, offer: String, token: Option<&str>, front: u32) -> Request {
    let request = Request::new(Method::POST, route::endpoint_path(title, publishes)).body(SDP, offer);
    let request = request.with(header::ACCEPT, SDP).with(header::VIA, via(front));
    match token {
        Some(token) => request.with(header::AUTHORIZATION, token),
        None => request,
    }
}

/// The header with which a front gives a media server something to keep with a session.
pub const TAG: &str = "session-tag";
/// Where a media server reports how many of its sessions have which tag, as a JSON object.
pub const TAGS_PATH: &str = "/tags";

/// A set-up with a tag.
pub fn tagged(request: Request, tag: Option<&str>) -> Request {
    match tag {
        Some(tag) => request.with(header::HeaderName::from_static(TAG), tag),
        None => request,
    }
}

/// The call that reads the tags of all sessions.
pub fn tags() -> Request {
    Request::new(Method::GET, TAGS_PATH)
}

/// How a front names itself to those it calls (RFC 9110, section 7.6.3).
pub fn via(front: u32) -> String {
    format!("1.1 beechloft-{front}")
}

/// The slot of the front that a `Via` value names.
pub fn front_slot(via: Option<&str>) -> Option<u32> {
    via?.rsplit(',').next()?.trim().strip_prefix("1.1 beechloft-")?.parse().ok()
}

/// The call that ends a session.
pub fn release(resource: &str) -> Request {
    Request::new(Method::DELETE, resource)
}

/// Whether the response to a release says that the session is gone.
pub fn is_gone(response: &Response) -> bool {
    response.status.is_success() || matches!(response.status, StatusCode::NOT_FOUND | StatusCode::GONE)
}

/// The call that sets a rung.
pub fn set_rung(path: &str, rung: Rung) -> Request {
    Request::new(Method::POST, path).body(layers::BODY, layers::select(rung))
}

/// The call that reads load.
pub fn health_check() -> Request {
    Request::new(Method::GET, crate::server_events::LOAD_PATH).with(header::ACCEPT, load::BODY)
}

/// The call that passes trickled candidates or an ICE restart on.
pub fn patch(resource: &str, from: &Request) -> Request {
    let mut request = Request::new(Method::PATCH, resource).body(FRAG, from.body.clone());
    for name in [header::IF_MATCH, header::AUTHORIZATION] {
        if let Some(value) = from.headers.get(&name) {
            request.headers.insert(name, value.clone());
        }
    }
    request
}

/// The path of a session at a media server, from its `Location`; the media server itself is the one that was asked.
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

/// What the response to a set-up means, and the load that came with it.
///
/// A status that finds fault with the client's own request is forwarded and says nothing about the media server. 404 is the
/// media server's fault: the list says that it holds the title.
pub fn attempt_result(response: &Response) -> (AttemptResult, LoadReport) {
    let report = load::field(response.field(load::FIELD));
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
            // Only ICE servers are the player's business (RFC 9725, section 4.6); extensions end at the front.
            Some((_, "ice-server")) => reply.links.push(value.to_owned()),
            _ => {}
        }
    }
    AttemptResult::Accepted { resource, reply: Arc::new(reply) }
}

#[cfg(test)]
mod tests;
