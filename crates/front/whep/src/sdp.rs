//! Session descriptions: what an offer must have before a box sees it, and how a rung is written into it.

use beechloft_session::io::IdempotencyKey;
use sha2::{Digest, Sha256};
use thiserror::Error;
use webrtc_sdp::attribute_type::{SdpAttribute, SdpAttributeType};
use webrtc_sdp::media_type::{SdpMedia, SdpMediaValue};
use webrtc_sdp::{SdpBandwidth, SdpSession, parse_sdp};

/// Lines of a description at most; the parser's work grows with them.
pub const LINES: usize = 2_000;

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
    #[error("the description has more than {LINES} lines")]
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
    if text.lines().count() > LINES {
        return Err(SdpError::TooLong);
    }
    let session = parse_sdp(text, false).map_err(|e| SdpError::Malformed(e.to_string()))?;
    Ok((text, session))
}

fn videos(session: &SdpSession) -> impl Iterator<Item = &SdpMedia> {
    session.media.iter().filter(|m| *m.get_type() == SdpMediaValue::Video)
}

fn has(session: &SdpSession, media: &SdpMedia, kind: SdpAttributeType) -> bool {
    media.get_attribute(kind.clone()).is_some() || session.get_attribute(kind).is_some()
}

/// Whether media flows towards the sender of the description (or away from it). Without a line it flows both ways.
fn flows(media: &SdpMedia, to_sender: bool) -> bool {
    let stops = |a: &SdpAttribute| match a {
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
    pub fn parse(body: &[u8], publishes: bool) -> Result<Offer, SdpError> {
        let (text, session) = parse(body)?;
        let live = |m: &&SdpMedia| m.get_port() != 0 || has(&session, m, SdpAttributeType::BundleOnly);
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
        let mut owed = false;
        for line in self.text.lines() {
            let line = line.trim_end();
            // The order of a media section is m, i, c, b, k, a (RFC 8866, section 5).
            if owed && !(line.starts_with("i=") || line.starts_with("c=")) {
                out.push_str(&format!("b=TIAS:{bits}\r\n"));
                owed = false;
            }
            if line.starts_with("m=") {
                in_video = line.starts_with("m=video ");
                owed = in_video;
            }
            if in_video && (line.starts_with("b=TIAS:") || line.starts_with("b=AS:")) {
                continue;
            }
            out.push_str(line);
            out.push_str("\r\n");
        }
        if owed {
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
        let word = |at: usize| digest[at..at + 8].iter().fold(0u64, |n, b| n << 8 | u64::from(*b));
        IdempotencyKey(word(0), word(8))
    }
}

/// Checks a box's answer: it must take a video line.
pub fn check_answer(body: &[u8]) -> Result<(), SdpError> {
    let (_, session) = parse(body)?;
    if videos(&session).any(|m| m.get_port() != 0) {
        Ok(())
    } else {
        Err(SdpError::Unusable("no video line taken"))
    }
}

/// The rate limit of the video line of a description, kB a second, as a box reads it.
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
mod tests {
    use super::*;
    use proptest::prelude::*;

    const OFFER: &str = "v=0\r\no=- 46 2 IN IP4 127.0.0.1\r\ns=-\r\nt=0 0\r\na=group:BUNDLE 0\r\n\
        m=video 9 UDP/TLS/RTP/SAVPF 96\r\nc=IN IP4 0.0.0.0\r\na=mid:0\r\na=recvonly\r\na=rtcp-mux\r\n\
        a=rtpmap:96 VP8/90000\r\na=ice-ufrag:EsAw\r\na=ice-pwd:P2uYro0UCOQ4zxjKXaWCBui1\r\na=setup:actpass\r\n\
        a=fingerprint:sha-256 D2:FA:0E:C3:22:59:5E:14:95:69:92:3D:13:B4:84:24:2C:C2:A2:C0:3E:FD:34:8E:5E:EA:6F:AF:52:CE:E6:0F\r\n";

    fn offer(from: &str, to: &str) -> Result<Offer, SdpError> {
        assert!(OFFER.contains(from), "{from}");
        Offer::parse(OFFER.replace(from, to).as_bytes(), false)
    }

    #[test]
    fn an_offer_that_no_box_could_use_is_told_why() {
        assert!(offer("v=0", "v=0").is_ok());
        let unusable = |from, to| match offer(from, to) {
            Err(e @ SdpError::Unusable(_)) => e.status(),
            other => panic!("{from} to {to}: {other:?}"),
        };
        assert_eq!(unusable("a=recvonly", "a=sendonly"), 422);
        assert_eq!(unusable("a=recvonly", "a=inactive"), 422);
        assert_eq!(unusable("m=video 9", "m=video 0"), 422);
        assert_eq!(unusable("m=video 9", "m=audio 9"), 422);
        assert_eq!(unusable("a=ice-ufrag:EsAw\r\n", ""), 422);
        assert_eq!(unusable("a=ice-pwd:P2uYro0UCOQ4zxjKXaWCBui1\r\n", ""), 422);
        for bad in [&b""[..], b"\xff\xfe", b"{\"sdp\":1}", b"v=0\r\n"] {
            assert_eq!(Offer::parse(bad, false).expect_err("no offer").status(), 400);
        }
        assert_eq!(Offer::parse("a=x\r\n".repeat(3000).as_bytes(), false), Err(SdpError::TooLong));
        assert!(Offer::parse(OFFER.as_bytes(), true).is_err(), "a publisher must send");
        assert!(Offer::parse(OFFER.replace("recvonly", "sendonly").as_bytes(), true).is_ok());
    }

    #[test]
    fn a_rung_is_written_as_the_only_limit_and_nothing_else_changes() {
        let capped = offer("a=mid:0", "b=AS:4000\r\na=mid:0").expect("sound");
        assert_eq!(capped.max_rate_kb, Some(500.0));
        let limited = capped.limited(450.0);
        assert_eq!(limit_of(limited.as_bytes()), Some(450.0));
        assert_eq!(limited.replace("b=TIAS:3600000\r\n", ""), OFFER);
        assert!(limited.contains("c=IN IP4 0.0.0.0\r\nb=TIAS:3600000\r\na=mid:0"), "in its place: {limited}");
        assert!(Offer::parse(limited.as_bytes(), false).is_ok());
    }

    #[test]
    fn the_same_offer_has_the_same_name_and_others_have_not() {
        let a = offer("v=0", "v=0").expect("sound");
        let b = offer("EsAw", "EsAx").expect("sound");
        assert_eq!(a.key("t", None), a.clone().key("t", None));
        let others = [b.key("t", None), a.key("u", None), a.key("t", Some("x"))];
        assert!(others.iter().all(|k| *k != a.key("t", None)));
        assert_eq!(user_fragment(OFFER.as_bytes()).as_deref(), Some("EsAw"));
    }

    proptest! {
        #[test]
        fn cut_and_changed_offers_never_panic(at in 0..OFFER.len(), byte in any::<u8>(), cut in any::<bool>()) {
            let mut bytes = OFFER.as_bytes().to_vec();
            bytes[at] = byte;
            if cut {
                bytes.truncate(at);
            }
            if let Ok(offer) = Offer::parse(&bytes, false) {
                let _ = offer.limited(100.0);
            }
            let _ = check_answer(&bytes);
        }
    }
}
