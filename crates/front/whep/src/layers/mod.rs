//! Rung changes while playing: WHEP's layer selection extension (draft-ietf-wish-whep, section 4.8.2).
//!
//! A media server names the address in a `Link` of its 201, and the front posts the layer there. The encoding ID on the
//! video line is the number of the rung.

use beechloft_session::api::Rung;
use serde::{Deserialize, Serialize};

/// Relation type of the `Link` that names a session's layers.
pub const REL: &str = "urn:ietf:params:whep:ext:core:layer";
/// Media type of a layer selection.
pub const BODY: &str = "application/json";

/// Body of a layer selection request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Selection {
    /// The `mid` of the media line.
    pub media_id: String,
    /// ID of the selected encoding.
    pub encoding_id: String,
}

/// Returns the body of a request that selects a rung.
pub fn select(rung: Rung) -> String {
    let selection = Selection { media_id: "0".into(), encoding_id: rung.0.to_string() };
    serde_json::to_string(&selection).unwrap_or_default()
}

/// Returns the rung that a request body selects, or `None` if the body is malformed.
pub fn selected(body: &[u8]) -> Option<Rung> {
    let selection: Selection = serde_json::from_slice(body).ok()?;
    selection.encoding_id.parse().ok().map(Rung)
}

/// Splits a `Link` value (RFC 8288) into its target and relation type.
pub fn link(value: &str) -> Option<(&str, &str)> {
    let (target, parameters) = value.trim().strip_prefix('<')?.split_once('>')?;
    let rel = parameters.split(';').find_map(|p| p.trim().strip_prefix("rel="))?;
    Some((target, rel.trim_matches('"')))
}

#[cfg(test)]
mod tests;
