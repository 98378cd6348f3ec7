//! Media between player and box, cut to what tells whether it flows: a player's consent (as RFC 7675 has it, a
//! keep-alive without which the sender must stop) and the box's word of what it sends.

/// A player's consent for the box's user fragment, every [`EVERY_MS`].
pub fn consent(name: &str) -> Vec<u8> {
    format!("consent {name}").into_bytes()
}

/// How often a player consents, milliseconds.
pub const EVERY_MS: u64 = 500;
/// A session without consent for so long is freed, milliseconds.
pub const EXPIRES_MS: u64 = 3_000;

/// Reads a consent.
pub fn consented(datagram: &[u8]) -> Option<&str> {
    std::str::from_utf8(datagram).ok()?.strip_prefix("consent ")
}

/// A box's media: the part of the rate that is delivered, and the rate.
pub fn frame(name: &str, delivered: f64, rate_kb: f64) -> Vec<u8> {
    format!("media {name} {delivered} {rate_kb}").into_bytes()
}

/// Reads a frame: user fragment, part delivered, rate.
pub fn framed(datagram: &[u8]) -> Option<(&str, f64, f64)> {
    let mut words = std::str::from_utf8(datagram).ok()?.strip_prefix("media ")?.split(' ');
    Some((words.next()?, words.next()?.parse().ok()?, words.next()?.parse().ok()?))
}
