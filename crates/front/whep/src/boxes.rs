//! The front as a client of a box: its calls, and what a box's responses mean.

use std::sync::Arc;

use beechloft_http::{Method, Request, Response, StatusCode, header};
use beechloft_session::api::{LoadReport, Outcome, Rung};
use beechloft_session::io::{AttemptResult, MediaServerReply};

use crate::{FRAG, SDP, layers, load, route, sdp};

/// Longest path of a session at a box, bytes.
pub const PATH_BYTES: usize = 512;
/// `Link` values passed on at most.
pub const LINKS: usize = 8;

/// The call that sets a session up.
pub fn set_up(title: &str, publishes: bool, offer: String, token: Option<&str>, front: u32) -> Request {
    let request = Request::new(Method::POST, route::endpoint_path(title, publishes)).body(SDP, offer);
    let request = request.with(header::ACCEPT, SDP).with(header::VIA, via(front));
    match token {
        Some(token) => request.with(header::AUTHORIZATION, token),
        None => request,
    }
}

/// The header with which a front gives a box something to keep with a session.
pub const TAG: &str = "session-tag";
/// Where a box says how many of its sessions have which tag, as a JSON object.
pub const TAGS_PATH: &str = "/tags";

/// A set-up with a tag.
pub fn tagged(request: Request, tag: Option<&str>) -> Request {
    match tag {
        Some(tag) => request.with(header::HeaderName::from_static(TAG), tag),
        None => request,
    }
}

/// The call that asks for the tags of all sessions.
pub fn tags() -> Request {
    Request::new(Method::GET, TAGS_PATH)
}

/// How a front names itself to those it calls (RFC 9110, section 7.6.3).
pub fn via(front: u32) -> String {
    format!("1.1 beechloft-{front}")
}

/// The number of the front that a `Via` value names.
pub fn front_of(via: Option<&str>) -> Option<u32> {
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

/// The call that asks for load.
pub fn probe() -> Request {
    Request::new(Method::GET, crate::news::LOAD_PATH).with(header::ACCEPT, load::BODY)
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

/// The path of a session at a box, from its `Location`; the box itself is the one that was asked.
fn path_of(location: &str) -> Option<&str> {
    let path = match location.split_once("://") {
        Some((_, rest)) => &rest[rest.find('/')?..],
        None => location,
    };
    let sound =
        path.starts_with('/') && path.len() <= PATH_BYTES && path.bytes().all(|b| b.is_ascii_graphic());
    sound.then_some(path)
}

/// What the response to a set-up means, and the load that came with it.
///
/// A status that finds fault with the client's own request is passed on and says nothing about the box. 404 is the
/// box's fault: the list says that it holds the title.
pub fn verdict(response: &Response) -> (AttemptResult, LoadReport) {
    let report = load::field(response.field(load::FIELD));
    let verdict = match response.status.as_u16() {
        201 => accepted(response),
        503 | 429 => AttemptResult::Ended(Outcome::Overloaded),
        status @ (400 | 401 | 403 | 406 | 413 | 415 | 422) => AttemptResult::Declined(status),
        _ => AttemptResult::Ended(Outcome::Error),
    };
    (verdict, report)
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
    let values = response.headers.get_all(header::LINK).iter().filter_map(|v| v.to_str().ok());
    for value in values.take(LINKS) {
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
mod tests {
    use super::*;

    const ANSWER: &str = "v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nt=0 0\r\nm=video 9 UDP/TLS/RTP/SAVPF 96\r\n\
        c=IN IP4 0.0.0.0\r\na=mid:0\r\na=sendonly\r\na=rtpmap:96 VP8/90000\r\na=rtcp-mux\r\n";

    fn created(location: &str, body: &str) -> Response {
        let r = Response::new(StatusCode::CREATED).body(SDP, body).with(header::LOCATION, location);
        r.with(header::LINK, format!("</l/1>; rel=\"{}\"", layers::REL))
            .with(header::LINK, "<stun:a.example>; rel=\"ice-server\"")
            .with(load::FIELD, "TEXT named_metrics.link=0.4")
    }

    #[test]
    fn a_session_is_taken_over_with_its_path_layers_and_load() {
        for location in ["/r/1", "http://127.0.0.1:9/r/1"] {
            let (verdict, report) = super::verdict(&created(location, ANSWER));
            let AttemptResult::Accepted { resource, reply } = verdict else { panic!("{verdict:?}") };
            assert_eq!(
                (resource.as_str(), reply.layers.as_deref(), report.link_utilization),
                ("/r/1", Some("/l/1"), Some(0.4))
            );
            assert_eq!(reply.links, ["<stun:a.example>; rel=\"ice-server\""]);
        }
    }

    #[test]
    fn what_cannot_be_used_is_undone_where_it_can_be() {
        let of = |r: &Response| super::verdict(r).0;
        assert!(matches!(of(&created("/r/1", "nonsense")), AttemptResult::Unusable { .. }));
        assert!(matches!(
            of(&created("/r/1", &ANSWER.replace("video 9", "video 0"))),
            AttemptResult::Unusable { .. }
        ));
        assert_eq!(of(&created("r/1", ANSWER)), AttemptResult::Ended(Outcome::Error));
        assert_eq!(
            of(&created(&format!("/{}", "a".repeat(600)), ANSWER)),
            AttemptResult::Ended(Outcome::Error)
        );
        let status = |code: u16| of(&Response::new(StatusCode::from_u16(code).expect("a status")));
        assert_eq!(status(503), AttemptResult::Ended(Outcome::Overloaded));
        assert_eq!(status(401), AttemptResult::Declined(401));
        assert_eq!(
            (status(500), status(404), status(200)),
            (
                AttemptResult::Ended(Outcome::Error),
                AttemptResult::Ended(Outcome::Error),
                AttemptResult::Ended(Outcome::Error),
            )
        );
    }
}
