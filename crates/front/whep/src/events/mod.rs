//! A player's events: WHEP's server-sent events extension (draft-ietf-wish-whep, section 4.8.1).
//!
//! The 201 names the address; a POST there with a JSON list of event names answers with the address of a stream of
//! them. Which events were asked for is part of that address, so that nothing need be kept between the two calls.

use beechloft_http::sse::Event;
use beechloft_http::{Request, Response, StatusCode, header};
use beechloft_session::api::Rung;

use crate::is_type;

/// The relation of the `Link` that names a session's events.
pub const REL: &str = "urn:ietf:params:whep:ext:core:server-sent-events";
/// Events that the front sends: `layers` when its rung changes, `inactive` when the session is over.
pub const NAMES: [&str; 2] = ["inactive", "layers"];
/// Media type of the list.
pub const BODY: &str = "application/json";

/// Something that a player may want to know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlayerEvent {
    /// Its rung changed.
    Layer(Rung),
    /// Its session is over.
    Inactive,
}

impl PlayerEvent {
    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            PlayerEvent::Layer(_) => "layers",
            PlayerEvent::Inactive => "inactive",
        }
    }

    /// As it is sent.
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

/// Answers a call that asks for events; `path` is that of the session's events.
pub fn subscribe(request: &Request, path: &str) -> Response {
    if !is_type(request.field(header::CONTENT_TYPE), BODY) {
        return Response::text(
            StatusCode::UNSUPPORTED_MEDIA_TYPE,
            format_args!("a list of events must be {BODY}"),
        );
    }
    let Ok(wanted) = serde_json::from_slice::<Vec<String>>(&request.body) else {
        return Response::text(StatusCode::BAD_REQUEST, "a JSON list of event names is expected");
    };
    // Unknown names are passed over, as the draft asks.
    let names: Vec<&str> = NAMES.into_iter().filter(|n| wanted.iter().any(|w| w == n)).collect();
    if names.is_empty() {
        return Response::text(
            StatusCode::UNPROCESSABLE_ENTITY,
            format_args!("sent here: {}", NAMES.join(", ")),
        );
    }
    Response::new(StatusCode::CREATED).with(header::LOCATION, format!("{path}/{}", names.join("+")))
}

/// The names in a stream's address; none: not one that was given out.
pub fn wanted(names: &str) -> Option<Vec<&'static str>> {
    names.split('+').map(|name| NAMES.into_iter().find(|n| *n == name)).collect()
}

#[cfg(test)]
mod tests;
