//! Session descriptions: validation of offers and answers, and limiting an offer to the rate of a rung.

use beechloft_session::io::IdempotencyKey;
use sha2::{Digest, Sha256};
use thiserror::Error;
use webrtc_sdp::attribute_type::{SdpAttribute, SdpAttributeType};
use webrtc_sdp::media_type::{SdpMedia, SdpMediaValue};
use webrtc_sdp::{SdpBandwidth, SdpSession, parse_sdp};

/// Maximum number of lines of a description, which bounds the cost of parsing it.
pub const MAX_LINES: usize = 2_000;

/// Reason why a description is rejected.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum SdpError {
    /// The body is empty.
    #[error("the body is empty; it must be a session description")]
    Empty,
    /// The body is not UTF-8.
    #[error("the description is not UTF-8")]
    NotText,
    /// The description has too many lines.
    #[error("the description has more than {MAX_LINES} lines")]
    TooLong,
    /// The description can't be parsed.
    #[error("the description can't be read: {0}")]
    Malformed(String),
    /// The description is well-formed but can't be used.
    #[error("{0}")]
    Unusable(&'static str),
}

impl SdpError {
    /// Returns the HTTP status: 400 for an unreadable description, 422 for an unusable one (RFC 9725, section 4.2).
    pub fn status(&self) -> u16 {
        if matches!(self, SdpError::Unusable(_)) { 422 } else { 400 }
    }
}

/// Validated SDP offer.
#[derive(Debug, Clone, PartialEq)]
pub struct Offer {
    text: String,
    /// Maximum rate that the sender can use, in kB/s, if the offer names one.
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

fn video_lines(session: &SdpSession) -> impl Iterator<Item = &SdpMedia> {
    session.media.iter().filter(|media| *media.get_type() == SdpMediaValue::Video)
}

fn has_attribute(session: &SdpSession, media: &SdpMedia, kind: SdpAttributeType) -> bool {
    media.get_attribute(kind.clone()).is_some() || session.get_attribute(kind).is_some()
}

/// Returns whether media media_flows towards the sender of the description if `to_sender`, else away from it.
///
/// Media media_flows both ways without a direction attribute.
fn media_flows(media: &SdpMedia, to_sender: bool) -> bool {
    let stops = |attribute: &SdpAttribute| match attribute {
        SdpAttribute::Inactive => true,
        SdpAttribute::Sendonly => to_sender,
        SdpAttribute::Recvonly => !to_sender,
        _ => false,
    };
    !media.get_attributes().iter().any(stops)
}

/// Returns the rate limit of a media line as set by its sender, in kB/s.
fn sender_limit_kb(video: &SdpMedia) -> Option<f64> {
    let bits = video.get_bandwidth().iter().filter_map(|b| match b {
        SdpBandwidth::Tias(bits) => Some(f64::from(*bits)),
        SdpBandwidth::As(kbits) => Some(f64::from(*kbits) * 1000.0),
        _ => None,
    });
    bits.reduce(f64::min).map(|bits| bits / 8000.0)
}

impl Offer {
    /// Validates an offer: it must have a video line with the required direction, ICE credentials and a DTLS fingerprint.
    ///
    /// # Errors
    /// Returns an error if the offer can't be parsed or lacks one of these.
    pub fn parse(body: &[u8], publishes: bool) -> Result<Offer, SdpError> {
        let (text, session) = parse(body)?;
        let live = |media: &&SdpMedia| {
            media.get_port() != 0 || has_attribute(&session, media, SdpAttributeType::BundleOnly)
        };
        let video = video_lines(&session).filter(live).find(|m| media_flows(m, !publishes)).ok_or(
            SdpError::Unusable(if publishes {
                "no video line that sends"
            } else {
                "no video line that can receive"
            }),
        )?;
        for (kind, lacks) in [
            (SdpAttributeType::IceUfrag, "the video line has no ICE user fragment"),
            (SdpAttributeType::IcePwd, "the video line has no ICE password"),
            (SdpAttributeType::Fingerprint, "the video line has no DTLS fingerprint"),
        ] {
            if !has_attribute(&session, video, kind) {
                return Err(SdpError::Unusable(lacks));
            }
        }
        Ok(Offer { text: text.to_owned(), max_rate_kb: sender_limit_kb(video) })
    }

    /// Validates an offer of plain RTP, as SIP callers send it: it must have a video line that can receive.
    ///
    /// # Errors
    /// Returns an error if the offer can't be parsed or has no such line.
    pub fn parse_plain(body: &[u8]) -> Result<Offer, SdpError> {
        let (text, session) = parse(body)?;
        let video = video_lines(&session).filter(|m| m.get_port() != 0).find(|m| media_flows(m, true));
        let video = video.ok_or(SdpError::Unusable("no video line that can receive"))?;
        Ok(Offer { text: text.to_owned(), max_rate_kb: sender_limit_kb(video) })
    }

    /// Returns the offer with its video lines limited to a rate, in kB/s, by `b=TIAS` (RFC 3890).
    ///
    /// All other lines are copied verbatim, because the parser's own writer would drop attributes that it doesn't know.
    pub fn with_rate_limit(&self, rate_kb: f64) -> String {
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

    /// Returns the text of the offer as received.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns a key of the offer, its title and its sender's token, by which a repeated offer is recognised.
    ///
    /// An offer contains its sender's own ICE password, so two senders never produce the same key.
    pub fn idempotency_key(&self, title: &str, token: Option<&str>) -> IdempotencyKey {
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

/// Validates a media server's answer: it must accept a video line.
///
/// # Errors
/// Returns an error if the answer can't be parsed or accepts no video line.
pub fn check_answer(body: &[u8]) -> Result<(), SdpError> {
    let (_, session) = parse(body)?;
    if video_lines(&session).any(|m| m.get_port() != 0) {
        Ok(())
    } else {
        Err(SdpError::Unusable("no video line taken"))
    }
}

/// Returns the rate limit of a description's video line as a media server reads it, in kB/s.
pub fn rate_limit_kb(body: &[u8]) -> Option<f64> {
    let (_, session) = parse(body).ok()?;
    let bits = video_lines(&session).flat_map(|m| m.get_bandwidth()).find_map(|b| match b {
        SdpBandwidth::Tias(bits) => Some(f64::from(*bits)),
        _ => None,
    });
    bits.map(|b| b / 8000.0)
}

/// Returns the ICE user fragment of a description's video line, which identifies the sender's connection.
pub fn user_fragment(body: &[u8]) -> Option<String> {
    let (_, session) = parse(body).ok()?;
    let video = video_lines(&session).next()?;
    let kind = SdpAttributeType::IceUfrag;
    match video.get_attribute(kind.clone()).or_else(|| session.get_attribute(kind)) {
        Some(SdpAttribute::IceUfrag(name)) => Some(name.clone()),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
