//! Tags that a front attaches to its sessions at media servers: the front's id and the session's claims, so that the sessions of a
//! lost front can be counted. Media servers treat tags as opaque and count sessions by them.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::message::{Claim, FrontId};

/// Maximum length of a tag, characters.
pub const MAX_TAG_LEN: usize = 4096;

/// Encodes a session's tag, in hexadecimal digits; `None` if it would be too long.
pub fn write(front: FrontId, claims: &[(Claim, u64)]) -> Option<String> {
    let bytes = postcard::to_allocvec(&(front, claims)).ok()?;
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        write!(text, "{byte:02x}").ok()?;
    }
    (text.len() <= MAX_TAG_LEN).then_some(text)
}

/// Decodes what [`write()`] wrote; `None` if the text is no tag.
pub fn read(text: &str) -> Option<(FrontId, Vec<(Claim, u64)>)> {
    if text.len() > MAX_TAG_LEN || !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    let byte = |at: usize| u8::from_str_radix(text.get(at..at + 2)?, 16).ok();
    let bytes: Option<Vec<u8>> = (0..text.len()).step_by(2).map(byte).collect();
    postcard::from_bytes(&bytes?).ok()
}

/// Adds what a front's sessions at one media server count for, given the number of sessions by tag.
pub fn count<'a>(
    of: FrontId,
    tags: impl IntoIterator<Item = (&'a str, u64)>,
    into: &mut BTreeMap<Claim, u64>,
) {
    for (text, sessions) in tags {
        let Some((front, claims)) = read(text) else { continue };
        if front == of {
            for (claim, units) in claims {
                let sum = into.entry(claim).or_default();
                *sum = sum.saturating_add(units.saturating_mul(sessions));
            }
        }
    }
}
