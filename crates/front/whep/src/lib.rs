//! WHIP (RFC 9725) and WHEP (draft-ietf-wish-whep) as spoken with players and media servers, without I/O.
//!
//! Both sides use the same messages. A player posts its offer to the front, the front posts it to a media server, and the
//! media server's answer goes back. The front validates the descriptions ([`sdp`], [`frag`]) and sets the rung by a
//! bandwidth line (RFC 3890) at set-up and by WHEP's layer selection while playing ([`layers`]). It receives the media
//! servers' load in ORCA's format ([`load`]) and their events on one event stream for each server ([`server_events`]).
#![forbid(unsafe_code)]

pub mod answer;
pub mod events;
pub mod frag;
pub mod layers;
pub mod load;
pub mod media_server;
pub mod route;
pub mod sdp;
pub mod server_events;

/// Media type of SDP offers and answers.
pub const SDP: &str = "application/sdp";
/// Media type of trickled ICE candidates and ICE restarts (RFC 8840).
pub const FRAG: &str = "application/trickle-ice-sdpfrag";
/// Media type of server-sent events.
pub const EVENTS: &str = "text/event-stream";

/// Returns whether a `Content-Type` value names this media type, ignoring its parameters.
pub fn is_type(value: Option<&str>, media: &str) -> bool {
    value.is_some_and(|v| v.split(';').next().unwrap_or_default().trim().eq_ignore_ascii_case(media))
}

/// Returns whether an `Accept` value admits this media type (RFC 9110, section 12.5.1).
///
/// A request without `Accept` admits every media type.
pub fn accepts(value: Option<&str>, media: &str) -> bool {
    let Some(value) = value else { return true };
    let (main, _) = media.split_once('/').unwrap_or((media, ""));
    value.split(',').any(|range| {
        let mut parts = range.split(';').map(str::trim);
        let name = parts.next().unwrap_or_default();
        let refused = parts.any(|p| {
            let weight = p.strip_prefix("q=").or_else(|| p.strip_prefix("Q="));
            weight.and_then(|w| w.parse::<f64>().ok()).is_some_and(|w| w <= 0.0)
        });
        let named = name == "*/*" || name.eq_ignore_ascii_case(media);
        !refused && (named || name.strip_suffix("/*").is_some_and(|m| m.eq_ignore_ascii_case(main)))
    })
}

#[cfg(test)]
mod tests;
