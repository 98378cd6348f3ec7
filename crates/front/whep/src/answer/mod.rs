//! Responses of the front to players and publishers, following RFC 9725 and the WHEP draft.

use beechloft_http::{HeaderName, Method, Request, Response, StatusCode, header};
use beechloft_session::api::Micros;
use beechloft_session::io::Answer;

use crate::{FRAG, SDP, accepts, events, is_type, route};

const ACCEPT_POST: HeaderName = HeaderName::from_static("accept-post");
const ACCEPT_PATCH: HeaderName = HeaderName::from_static("accept-patch");
const ENDPOINT_METHODS: &str = "OPTIONS, POST";
const SESSION_METHODS: &str = "DELETE, OPTIONS, PATCH";

/// Adds the headers that let scripts of any origin read a response (Fetch standard, CORS protocol).
pub fn with_cors_headers(response: Response) -> Response {
    response
        .with(header::ACCESS_CONTROL_ALLOW_ORIGIN, "*")
        .with(header::ACCESS_CONTROL_EXPOSE_HEADERS, "Location, Link, ETag, Retry-After, Accept-Patch")
}

fn preflight(response: Response, methods: &str) -> Response {
    response
        .with(header::ACCESS_CONTROL_ALLOW_METHODS, methods)
        .with(header::ACCESS_CONTROL_ALLOW_HEADERS, "Authorization, Content-Type, If-Match")
        .with(header::ACCESS_CONTROL_MAX_AGE, "600")
}

/// Validates a request to an endpoint.
///
/// Returns `None` if the request carries an offer to process, otherwise the response to send.
pub fn endpoint_call(request: &Request) -> Option<Response> {
    if request.method == Method::OPTIONS {
        let ok = Response::new(StatusCode::NO_CONTENT)
            .with(ACCEPT_POST, SDP)
            .with(header::ALLOW, ENDPOINT_METHODS);
        return Some(preflight(ok, ENDPOINT_METHODS));
    }
    if request.method != Method::POST {
        // Other methods are reserved for later versions (RFC 9725, section 4.2).
        return Some(not_allowed(ENDPOINT_METHODS));
    }
    if !is_type(request.field(header::CONTENT_TYPE), SDP) {
        let unsupported =
            Response::text(StatusCode::UNSUPPORTED_MEDIA_TYPE, format_args!("an offer must be {SDP}"));
        return Some(unsupported.with(ACCEPT_POST, SDP));
    }
    if !accepts(request.field(header::ACCEPT), SDP) {
        return Some(Response::text(StatusCode::NOT_ACCEPTABLE, format_args!("the answer is {SDP}")));
    }
    None
}

/// Action that a request to a session calls for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SessionCall {
    /// The request is answered immediately with this response.
    Answer(Response),
    /// The session is to be ended.
    Delete,
    /// Candidates or an ICE restart are to be forwarded to the media server.
    Patch,
}

/// Validates a request to a session and returns the action that it calls for.
pub fn session_call(request: &Request) -> SessionCall {
    match request.method {
        Method::DELETE => SessionCall::Delete,
        Method::OPTIONS => {
            let ok = Response::new(StatusCode::NO_CONTENT)
                .with(ACCEPT_PATCH, FRAG)
                .with(header::ALLOW, SESSION_METHODS);
            SessionCall::Answer(preflight(ok, SESSION_METHODS))
        }
        Method::PATCH => SessionCall::Answer(if !is_type(request.field(header::CONTENT_TYPE), FRAG) {
            let unsupported =
                Response::text(StatusCode::UNSUPPORTED_MEDIA_TYPE, format_args!("a change must be {FRAG}"));
            unsupported.with(ACCEPT_PATCH, FRAG)
        } else if request.headers.get(header::IF_MATCH).is_none() {
            // RFC 9725, section 4.3.1.
            Response::text(StatusCode::PRECONDITION_REQUIRED, "If-Match with the session's ETag is needed")
        } else if let Err(error) = crate::frag::check(&request.body) {
            Response::text(StatusCode::BAD_REQUEST, error)
        } else {
            return SessionCall::Patch;
        }),
        _ => SessionCall::Answer(not_allowed(SESSION_METHODS)),
    }
}

fn not_allowed(methods: &str) -> Response {
    let text = format!("allowed here: {methods}");
    Response::text(StatusCode::METHOD_NOT_ALLOWED, text).with(header::ALLOW, methods)
}

/// Returns the value of `Retry-After` in whole seconds, at least 1, rounded up so that no client retries too early.
fn retry_after_seconds(retry_after: Micros) -> u64 {
    retry_after.0.div_ceil(1_000_000).max(1)
}

fn unavailable(text: &str, retry_after: Option<Micros>) -> Response {
    let response = Response::text(StatusCode::SERVICE_UNAVAILABLE, text);
    match retry_after {
        Some(retry_after) => response.with(header::RETRY_AFTER, retry_after_seconds(retry_after).to_string()),
        None => response,
    }
}

/// Converts an answer of the session controller into an HTTP response.
pub fn response(answer: &Answer) -> Response {
    match answer {
        Answer::Playing { session, secret, reply, .. } => {
            let mut created = Response::new(StatusCode::CREATED)
                .body(SDP, reply.sdp.clone())
                .with(header::LOCATION, route::session_path(*session, *secret))
                .with(ACCEPT_PATCH, FRAG);
            if let Some(etag) = &reply.etag {
                created = created.with(header::ETAG, etag);
            }
            let (path, names) = (route::events_path(*session, *secret), events::NAMES.join(","));
            let events_link = format!("<{path}>; rel=\"{}\"; events=\"{names}\"", events::REL);
            reply
                .links
                .iter()
                .fold(created, |response, link| response.with(header::LINK, link))
                .with(header::LINK, events_link)
        }
        Answer::Rejected(retry_after) => unavailable("no room for this session now", *retry_after),
        Answer::Failed => Response::text(StatusCode::GATEWAY_TIMEOUT, "the session could not be set up"),
        Answer::Declined(status) => {
            let status = StatusCode::from_u16(*status).unwrap_or(StatusCode::BAD_REQUEST);
            Response::text(status, "the streaming server declined the request")
        }
        Answer::UnknownTitle => Response::text(StatusCode::NOT_FOUND, "no such title"),
        Answer::InProgress => {
            let text = "the same offer is being set up, or its session is not there yet";
            Response::text(StatusCode::CONFLICT, text).with(header::RETRY_AFTER, "1")
        }
        Answer::UnknownSession => Response::text(StatusCode::NOT_FOUND, "no such session"),
        Answer::Deleted | Answer::Located { .. } => Response::new(StatusCode::OK),
    }
}

/// Converts a media server's response to a forwarded PATCH into the response to the client.
pub fn forwarded(from_server: &Response) -> Response {
    let known = matches!(
        from_server.status.as_u16(),
        200 | 204 | 400 | 401 | 403 | 404 | 405 | 409 | 412 | 415 | 422 | 428
    );
    if !known {
        return Response::text(StatusCode::BAD_GATEWAY, "the streaming server could not take the change");
    }
    let mut response = Response::new(from_server.status);
    response.body.clone_from(&from_server.body);
    for name in [header::CONTENT_TYPE, header::ETAG] {
        if let Some(value) = from_server.headers.get(&name) {
            response.headers.insert(name, value.clone());
        }
    }
    response
}

#[cfg(test)]
mod tests;
