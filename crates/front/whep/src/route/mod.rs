//! Addresses at the front: endpoints name a title, sessions carry their number and secret.

use beechloft_session::api::SessionId;
use beechloft_session::io::Secret;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};

/// Longest title name, bytes.
pub const TITLE_BYTES: usize = 200;

const IN_PATH: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'~');

/// What an address names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Place {
    /// Where offers for a title are posted.
    Endpoint {
        /// The title.
        title: String,
        /// WHIP rather than WHEP.
        publishes: bool,
    },
    /// A session.
    Session(SessionId, Secret),
    /// Where a session's events are asked for and, with their names, read.
    Events(SessionId, Secret, Option<String>),
    /// `/ready`: whether the front serves.
    Ready,
    /// Nothing.
    Nowhere,
}

/// Reads the path of a target.
pub fn place(path: &str) -> Place {
    if path == "/ready" {
        return Place::Ready;
    }
    let endpoint = |name: &str, publishes| {
        let title = percent_decode_str(name).decode_utf8().ok()?.into_owned();
        let sound = !title.is_empty() && title.len() <= TITLE_BYTES && !title.chars().any(char::is_control);
        (sound && !name.contains('/')).then_some(Place::Endpoint { title, publishes })
    };
    let found = if let Some(name) = path.strip_prefix("/whep/") {
        endpoint(name, false)
    } else if let Some(name) = path.strip_prefix("/whip/") {
        endpoint(name, true)
    } else {
        path.strip_prefix("/session/").and_then(session)
    };
    found.unwrap_or(Place::Nowhere)
}

fn session(name: &str) -> Option<Place> {
    let (name, events) = name.split_once("/events").map_or((name, None), |(name, rest)| (name, Some(rest)));
    let digits = |text: &str| {
        let sound = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        sound.then(|| u64::from_str_radix(text, 16).ok()).flatten()
    };
    let (id, secret) = name.split_at_checked(16)?;
    let (id, secret) = (SessionId(digits(id)?), Secret(digits(secret)?));
    match events {
        None => Some(Place::Session(id, secret)),
        Some("") => Some(Place::Events(id, secret, None)),
        Some(names) => Some(Place::Events(id, secret, Some(names.strip_prefix('/')?.to_owned()))),
    }
}

/// The path of a session.
pub fn session_path(session: SessionId, secret: Secret) -> String {
    format!("/session/{:016x}{:016x}", session.0, secret.0)
}

/// The path of a session's events.
pub fn events_path(session: SessionId, secret: Secret) -> String {
    format!("{}/events", session_path(session, secret))
}

/// The path of a title's endpoint.
pub fn endpoint_path(title: &str, publishes: bool) -> String {
    let protocol = if publishes { "whip" } else { "whep" };
    format!("/{protocol}/{}", utf8_percent_encode(title, IN_PATH))
}

#[cfg(test)]
mod tests;
