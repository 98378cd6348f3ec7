//! What a front gives a box to keep with a session: whose it is and what it counts for, so that the box can be asked when the front is
//! gone. Boxes take it as it is and count sessions by it.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::message::{Claim, FrontId};

/// Letters of a tag at most; a longer one is none.
pub const MAX_TAG_LEN: usize = 4096;

/// A session's tag: letters and digits alone.
pub fn write(front: FrontId, claims: &[(Claim, u64)]) -> Option<String> {
    let bytes = postcard::to_allocvec(&(front, claims)).ok()?;
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        write!(text, "{byte:02x}").ok()?;
    }
    (text.len() <= MAX_TAG_LEN).then_some(text)
}

/// Reads what [`write()`] wrote; none: it is no tag.
pub fn read(text: &str) -> Option<(FrontId, Vec<(Claim, u64)>)> {
    if text.len() > MAX_TAG_LEN || !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    let byte = |at: usize| u8::from_str_radix(text.get(at..at + 2)?, 16).ok();
    let bytes: Option<Vec<u8>> = (0..text.len()).step_by(2).map(byte).collect();
    postcard::from_bytes(&bytes?).ok()
}

/// What a front's sessions at one box count for, by what the box said: tags, and how many sessions have each.
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

#[cfg(test)]
mod tests {
    use super::*;
    use crate::message::Key;
    use beechloft_leases::Name;

    #[test]
    fn a_tag_is_read_as_it_was_written_and_counts_for_its_front_alone() {
        let limit = Name::try_from("sessions".to_owned()).expect("a name");
        let claim = Claim { limit, key: Key::of("market"), customer: Key::default() };
        let tag = write(FrontId(7), &[(claim.clone(), 3)]).expect("short");
        assert_eq!(read(&tag), Some((FrontId(7), vec![(claim.clone(), 3)])));
        let mut sum = BTreeMap::new();
        count(FrontId(7), [(tag.as_str(), 4), ("rubbish", 9), ("0", 1), ("ff", 1)], &mut sum);
        assert_eq!(sum, BTreeMap::from([(claim, 12)]));
        let mut none = BTreeMap::new();
        count(FrontId(8), [(tag.as_str(), 4)], &mut none);
        assert!(none.is_empty());
    }
}
