//! Trickled candidates and ICE restarts: `application/trickle-ice-sdpfrag` (RFC 8840, section 9).

use thiserror::Error;
use webrtc_sdp::attribute_type::SdpAttribute;
use webrtc_sdp::{SdpType, parse_sdp_line};

/// Maximum number of lines of a fragment.
pub const MAX_LINES: usize = 200;

/// Reason why a fragment is rejected.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum FragError {
    /// The fragment is empty, not UTF-8 or too long.
    #[error("the fragment is empty, not UTF-8 or longer than {MAX_LINES} lines")]
    Form,
    /// A line, given by its number, can't be parsed or is not allowed in a fragment.
    #[error("line {0} of the fragment: {1}")]
    Line(usize, String),
    /// The fragment has no ICE credentials.
    #[error("the fragment names no ICE user fragment and password")]
    NoCredentials,
}

/// Contents of a fragment.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Frag {
    /// ICE user fragment of the session that the candidates belong to.
    pub user_fragment: String,
    /// Number of candidates in the fragment.
    pub candidates: usize,
    /// Whether the fragment marks the end of candidates.
    pub end_of_candidates: bool,
}

/// Validates a fragment and returns its contents.
///
/// # Errors
/// Returns an error if the fragment can't be parsed or lacks ICE credentials.
pub fn check(body: &[u8]) -> Result<Frag, FragError> {
    let text = std::str::from_utf8(body).map_err(|_| FragError::Form)?;
    if text.trim().is_empty() || text.lines().count() > MAX_LINES {
        return Err(FragError::Form);
    }
    let mut frag = Frag::default();
    let mut password = false;
    for (number, line) in (1..).zip(text.lines()) {
        let line = line.trim_end();
        if line.is_empty() {
            continue;
        }
        let parsed =
            parse_sdp_line(line, number).map_err(|error| FragError::Line(number, error.to_string()))?;
        match parsed.sdp_type {
            SdpType::Attribute(SdpAttribute::IceUfrag(name)) => frag.user_fragment = name,
            SdpType::Attribute(SdpAttribute::IcePwd(_)) => password = true,
            SdpType::Attribute(SdpAttribute::Candidate(_)) => frag.candidates += 1,
            SdpType::Attribute(SdpAttribute::EndOfCandidates) => frag.end_of_candidates = true,
            SdpType::Attribute(_) | SdpType::Media(_) => {}
            _ => return Err(FragError::Line(number, "only media lines and attributes belong here".into())),
        }
    }
    if frag.user_fragment.is_empty() || !password {
        return Err(FragError::NoCredentials);
    }
    Ok(frag)
}

#[cfg(test)]
mod tests;
