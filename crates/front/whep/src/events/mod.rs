//! Events for players: WHEP's server-sent events extension (draft-ietf-wish-whep, section 4.8.1).
//!
//! The 201 names the address of the extension. A POST there with a JSON list of event names answers with the address of
//! an event stream. That address contains the names of the requested events, so that no state is kept between the calls.

use beechloft_http::sse::Event;
use beechloft_http::{Request, Response, StatusCode, header};
use beechloft_session::api::Rung;

use crate::is_type;

/// Relation type of the `Link` that names a session's events.
pub const REL: &str = "urn:ietf:params:whep:ext:core:server-sent-events";
/// Events that the front sends: `layers` when the rung changes, `inactive` when the session has ended.
pub const NAMES: [&str; 2] = ["inactive", "layers"];
/// Media type of the list of event names.
pub const LIST_TYPE: &str = "application/json";

/// Event that a player can subscribe to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlayerEvent {
    /// The rung of the session changed.
    Layer(Rung),
    /// The session has ended.
    Inactive,
}

impl PlayerEvent {
    /// Returns the event's name.
    pub fn name(self) -> &'static str {
        match self {
            PlayerEvent::Layer(_) => "layers",
            PlayerEvent::Inactive => "inactive",
        }
    }

    /// Encodes the event as a server-sent event.
    pub fn encode(self) -> Vec<u8> {
        let data = match self {
            PlayerEvent::Layer(rung) => {
                serde_json::json!({"0": {"active": [{"encodingId": rung.0.to_string()}], "inactive": []}})
                    .to_string()
            }
            PlayerEvent::Inactive => "{}".to_owned(),
        };
        Event { name: self.name().to_owned(), data, ..Event::default() }.encode()
    }
}

/// Answers a request to subscribe to events, where `path` is the path of the session's events.
pub fn subscribe(request: &Request, path: &str) -> Response {
    if !is_type(request.field(header::CONTENT_TYPE), LIST_TYPE) {
        return Response::text(
            StatusCode::UNSUPPORTED_MEDIA_TYPE,
            format_args!("a list of events must be {LIST_TYPE}"),
        );
    }
    let Ok(requested) = serde_json::from_slice::<Vec<String>>(&request.body) else {
        return Response::text(StatusCode::BAD_REQUEST, "a JSON list of event names is expected");
    };
    // The draft requires unknown names to be ignored.
    let names: Vec<&str> = NAMES.into_iter().filter(|n| requested.iter().any(|name| name == n)).collect();
    if names.is_empty() {
        return Response::text(
            StatusCode::UNPROCESSABLE_ENTITY,
            format_args!("sent here: {}", NAMES.join(", ")),
        );
    }
    Response::new(StatusCode::CREATED).with(header::LOCATION, format!("{path}/{}", names.join("+")))
}

/// Parses the event names in the path of an event stream. Returns `None` if a name is unknown.
pub fn parse_names(names: &str) -> Option<Vec<&'static str>> {
    names.split('+').map(|name| NAMES.into_iter().find(|n| *n == name)).collect()
}

#[cfg(test)]
mod tests;
