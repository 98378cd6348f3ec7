//! Tags that a front attaches to its sessions at media servers.
//!
//! A tag holds the front's id and the session's claims, so that the sessions of a lost front can be counted. Media servers treat tags
//! as opaque and report the number of sessions by tag.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::message::{Claim, FrontId};

/// Maximum length of a tag, characters.
pub const MAX_TAG_LEN: usize = 4096;

/// Encodes a session's tag in hexadecimal digits. Returns `None` if it would be too long.
pub fn encode(front: FrontId, claims: &[(Claim, u64)]) -> Option<String> {
    let bytes = postcard::to_allocvec(&(front, claims)).ok()?;
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        write!(text, "{byte:02x}").ok()?;
    }
    (text.len() <= MAX_TAG_LEN).then_some(text)
}

/// Decodes a tag. Returns `None` if the text is not a valid tag.
pub fn decode(text: &str) -> Option<(FrontId, Vec<(Claim, u64)>)> {
    if text.len() > MAX_TAG_LEN || !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    let byte = |at: usize| u8::from_str_radix(text.get(at..at + 2)?, 16).ok();
    let bytes: Option<Vec<u8>> = (0..text.len()).step_by(2).map(byte).collect();
    postcard::from_bytes(&bytes?).ok()
}

/// Adds the units that a front's sessions at one media server use to `totals`. `tags` are the numbers of sessions by tag; invalid
/// tags and those of other fronts are ignored.
pub fn add_units<'a>(
    front: FrontId,
    tags: impl IntoIterator<Item = (&'a str, u64)>,
    totals: &mut BTreeMap<Claim, u64>,
) {
    for (text, sessions) in tags {
        let Some((owner, claims)) = decode(text) else { continue };
        if owner == front {
            for (claim, units) in claims {
                let total = totals.entry(claim).or_default();
                *total = total.saturating_add(units.saturating_mul(sessions));
            }
        }
    }
}
