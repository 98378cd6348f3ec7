//! Session descriptions: what an offer must have before a media server sees it, and how a rung is written into it.

use beechloft_session::io::IdempotencyKey;
use sha2::{Digest, Sha256};
use thiserror::Error;
use webrtc_sdp::attribute_type::{SdpAttribute, SdpAttributeType};
use webrtc_sdp::media_type::{SdpMedia, SdpMediaValue};
use webrtc_sdp::{SdpBandwidth, SdpSession, parse_sdp};

/// Lines of a description at most; the parser's work grows with them.
pub const MAX_LINES: usize = 2_000;

/// What is wrong with a description.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum SdpError {
    /// No body.
    #[error("the body is empty; it must be a session description")]
    Empty,
    /// Not text.
    #[error("the description is not UTF-8")]
    NotText,
    /// Too many lines.
    #[error("the description has more than {MAX_LINES} lines")]
    TooLong,
    /// Not a description.
    #[error("the description can't be read: {0}")]
    Malformed(String),
    /// Well-formed, but of no use.
    #[error("{0}")]
    Unusable(&'static str),
}

impl SdpError {
    /// The HTTP status that says so: 400 for what can't be read, 422 for what can't be used (RFC 9725, section 4.2).
    pub fn status(&self) -> u16 {
        if matches!(self, SdpError::Unusable(_)) { 422 } else { 400 }
    }
}

/// An offer that was checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Offer {
    text: String,
    /// The highest rate that its sender can use, kB a second, if it names one.
    pub max_rate_kb: Option<f64>,
}

fn parse(body: &[u8]) -> Result<(&str, SdpSession), SdpError> {
    if body.is_empty() {
        return Err(SdpError::Empty);
    }
    let text = std::str::from_utf8(body).map_err(|_| SdpError::NotText)?;
    if text.lines().count() > MAX_LINES {
        return Err(SdpError::TooLong);
    }
    let session = parse_sdp(text, false).map_err(|error| SdpError::Malformed(error.to_string()))?;
    Ok((text, session))
}

fn videos(session: &SdpSession) -> impl Iterator<Item = &SdpMedia> {
    session.media.iter().filter(|media| *media.get_type() == SdpMediaValue::Video)
}

fn has(session: &SdpSession, media: &SdpMedia, kind: SdpAttributeType) -> bool {
    media.get_attribute(kind.clone()).is_some() || session.get_attribute(kind).is_some()
}

/// Whether media flows towards the sender of the description (or away from it). Without a line it flows both ways.
fn flows(media: &SdpMedia, to_sender: bool) -> bool {
    let stops = |attribute: &SdpAttribute| match attribute {
        SdpAttribute::Inactive => true,
        SdpAttribute::Sendonly => to_sender,
        SdpAttribute::Recvonly => !to_sender,
        _ => false,
    };
    !media.get_attributes().iter().any(stops)
}

/// The rate that a media line is limited to by its sender, kB a second.
fn limit_kb(video: &SdpMedia) -> Option<f64> {
    let bits = video.get_bandwidth().iter().filter_map(|b| match b {
        SdpBandwidth::Tias(bits) => Some(f64::from(*bits)),
        SdpBandwidth::As(kbits) => Some(f64::from(*kbits) * 1000.0),
        _ => None,
    });
    bits.reduce(f64::min).map(|bits| bits / 8000.0)
}

impl Offer {
    /// Checks an offer: it must have a video line that can flow the right way, and what ICE and DTLS need.
    ///
    /// # Errors
    /// It can't be read, or lacks one of these.
    pub fn parse(body: &[u8], publishes: bool) -> Result<Offer, SdpError> {
        let (text, session) = parse(body)?;
        let live =
            |media: &&SdpMedia| media.get_port() != 0 || has(&session, media, SdpAttributeType::BundleOnly);
        let video =
            videos(&session).filter(live).find(|m| flows(m, !publishes)).ok_or(SdpError::Unusable(
                if publishes { "no video line that sends" } else { "no video line that can receive" },
            ))?;
        for (kind, lacks) in [
            (SdpAttributeType::IceUfrag, "the video line has no ICE user fragment"),
            (SdpAttributeType::IcePwd, "the video line has no ICE password"),
            (SdpAttributeType::Fingerprint, "the video line has no DTLS fingerprint"),
        ] {
            if !has(&session, video, kind) {
                return Err(SdpError::Unusable(lacks));
            }
        }
        Ok(Offer { text: text.to_owned(), max_rate_kb: limit_kb(video) })
    }

    /// Checks an offer of plain RTP, as SIP callers make it: it must have a video line that can receive.
    ///
    /// # Errors
    /// It can't be read, or has none.
    pub fn parse_plain(body: &[u8]) -> Result<Offer, SdpError> {
        let (text, session) = parse(body)?;
        let video = videos(&session).filter(|m| m.get_port() != 0).find(|m| flows(m, true));
        let video = video.ok_or(SdpError::Unusable("no video line that can receive"))?;
        Ok(Offer { text: text.to_owned(), max_rate_kb: limit_kb(video) })
    }

    /// The offer with its video lines limited to a rate, kB a second, by `b=TIAS` (RFC 3890).
    ///
    /// Nothing else is touched: the parser's own writer would drop what it doesn't know.
    pub fn limited(&self, rate_kb: f64) -> String {
        let bits = (rate_kb * 8000.0).round().clamp(1.0, f64::from(u32::MAX));
        let mut out = String::with_capacity(self.text.len() + 32);
        let mut in_video = false;
        let mut limit_pending = false;
        for line in self.text.lines() {
            let line = line.trim_end();
            // The order of a media section is m, i, c, b, k, a (RFC 8866, section 5).
            if limit_pending && !(line.starts_with("i=") || line.starts_with("c=")) {
                out.push_str(&format!("b=TIAS:{bits}\r\n"));
                limit_pending = false;
            }
            if line.starts_with("m=") {
                in_video = line.starts_with("m=video ");
                limit_pending = in_video;
            }
            if in_video && (line.starts_with("b=TIAS:") || line.starts_with("b=AS:")) {
                continue;
            }
            out.push_str(line);
            out.push_str("\r\n");
        }
        if limit_pending {
            out.push_str(&format!("b=TIAS:{bits}\r\n"));
        }
        out
    }

    /// The text as it came.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Names the offer, its title and its sender's token, so that the same one sent again is recognised. An offer
    /// carries its sender's own ICE password, so that two senders never make the same.
    pub fn key(&self, title: &str, token: Option<&str>) -> IdempotencyKey {
        let mut hash = Sha256::new();
        for part in [title, token.unwrap_or_default(), &self.text] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let digest = hash.finalize();
        let number_at = |at: usize| {
            let bytes = &digest[at..at + 8];
            bytes.iter().fold(0u64, |number, byte| number << 8 | u64::from(*byte))
        };
        IdempotencyKey(number_at(0), number_at(8))
    }
}

/// Checks a media server's answer: it must take a video line.
///
/// # Errors
/// It can't be read, or takes none.
pub fn check_answer(body: &[u8]) -> Result<(), SdpError> {
    let (_, session) = parse(body)?;
    if videos(&session).any(|m| m.get_port() != 0) {
        Ok(())
    } else {
        Err(SdpError::Unusable("no video line taken"))
    }
}

/// The rate limit of the video line of a description, kB a second, as a media server reads it.
pub fn limit_of(body: &[u8]) -> Option<f64> {
    let (_, session) = parse(body).ok()?;
    let bits = videos(&session).flat_map(|m| m.get_bandwidth()).find_map(|b| match b {
        SdpBandwidth::Tias(bits) => Some(f64::from(*bits)),
        _ => None,
    });
    bits.map(|b| b / 8000.0)
}

/// The ICE user fragment of a description's video line, which names a sender's connection.
pub fn user_fragment(body: &[u8]) -> Option<String> {
    let (_, session) = parse(body).ok()?;
    let video = videos(&session).next()?;
    let kind = SdpAttributeType::IceUfrag;
    match video.get_attribute(kind.clone()).or_else(|| session.get_attribute(kind)) {
        Some(SdpAttribute::IceUfrag(name)) => Some(name.clone()),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
