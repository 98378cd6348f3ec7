//! Paths at the front: endpoints contain a title, sessions contain their ID and secret.

use beechloft_session::api::SessionId;
use beechloft_session::io::Secret;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};

/// Maximum length of a title name, in bytes.
pub const MAX_TITLE_BYTES: usize = 200;

const PATH_SEGMENT: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'~');

/// Resource that a path identifies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// Endpoint that accepts offers for a title.
    Endpoint {
        /// Name of the title.
        title: String,
        /// Whether the endpoint is a publisher's (WHIP) and not a player's (WHEP).
        publishes: bool,
    },
    /// Session with its secret.
    Session(SessionId, Secret),
    /// Events of a session. The path of an event stream contains the names of its events.
    Events(SessionId, Secret, Option<String>),
    /// Readiness check of the front (`/ready`).
    Ready,
    /// Path that identifies no resource.
    NotFound,
}

/// Parses the path of a request target.
pub fn parse(path: &str) -> Route {
    if path == "/ready" {
        return Route::Ready;
    }
    let endpoint = |name: &str, publishes| {
        let title = percent_decode_str(name).decode_utf8().ok()?.into_owned();
        let is_valid =
            !title.is_empty() && title.len() <= MAX_TITLE_BYTES && !title.chars().any(char::is_control);
        (is_valid && !name.contains('/')).then_some(Route::Endpoint { title, publishes })
    };
    let found = if let Some(name) = path.strip_prefix("/whep/") {
        endpoint(name, false)
    } else if let Some(name) = path.strip_prefix("/whip/") {
        endpoint(name, true)
    } else {
        path.strip_prefix("/session/").and_then(session)
    };
    found.unwrap_or(Route::NotFound)
}

fn session(name: &str) -> Option<Route> {
    let (name, events) = name.split_once("/events").map_or((name, None), |(name, rest)| (name, Some(rest)));
    let digits = |text: &str| {
        let is_valid = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        is_valid.then(|| u64::from_str_radix(text, 16).ok()).flatten()
    };
    let (id, secret) = name.split_at_checked(16)?;
    let (id, secret) = (SessionId(digits(id)?), Secret(digits(secret)?));
    match events {
        None => Some(Route::Session(id, secret)),
        Some("") => Some(Route::Events(id, secret, None)),
        Some(names) => Some(Route::Events(id, secret, Some(names.strip_prefix('/')?.to_owned()))),
    }
}

/// Returns the path of a session.
pub fn session_path(session: SessionId, secret: Secret) -> String {
    format!("/session/{:016x}{:016x}", session.0, secret.0)
}

/// Returns the path of a session's events.
pub fn events_path(session: SessionId, secret: Secret) -> String {
    format!("{}/events", session_path(session, secret))
}

/// Returns the path of a title's endpoint.
pub fn endpoint_path(title: &str, publishes: bool) -> String {
    let protocol = if publishes { "whip" } else { "whep" };
    format!("/{protocol}/{}", utf8_percent_encode(title, PATH_SEGMENT))
}

#[cfg(test)]
mod tests;
