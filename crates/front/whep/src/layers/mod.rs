//! Rungs while playing: WHEP's layer selection extension (draft-ietf-wish-whep, section 4.8.2).
//!
//! A media server names the address in a `Link` of its 201; the front posts the layer there. A rung is the encoding of its
//! number on the video line.

use beechloft_session::api::Rung;
use serde::{Deserialize, Serialize};

/// The relation of the `Link` that names a session's layers.
pub const REL: &str = "urn:ietf:params:whep:ext:core:layer";
/// Media type of the call's body.
pub const BODY: &str = "application/json";

/// The body of a layer selection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Selection {
    /// The media line, by its `mid`.
    pub media_id: String,
    /// The encoding.
    pub encoding_id: String,
}

/// The body that selects a rung.
pub fn select(rung: Rung) -> String {
    let selection = Selection { media_id: "0".into(), encoding_id: rung.0.to_string() };
    serde_json::to_string(&selection).unwrap_or_default()
}

/// The rung that a body selects.
pub fn selected(body: &[u8]) -> Option<Rung> {
    let selection: Selection = serde_json::from_slice(body).ok()?;
    selection.encoding_id.parse().ok().map(Rung)
}

/// Splits a `Link` value (RFC 8288) into target and relation.
pub fn link(value: &str) -> Option<(&str, &str)> {
    let (target, parameters) = value.trim().strip_prefix('<')?.split_once('>')?;
    let rel = parameters.split(';').find_map(|p| p.trim().strip_prefix("rel="))?;
    Some((target, rel.trim_matches('"')))
}

#[cfg(test)]
mod tests;
