//! Messages between viewers and the front node in the binary framing.

use thiserror::Error;

use crate::attributes::{AttributeError, Attributes};
use crate::binary::{Frame, FrameError};
use crate::id::parse_hex64;
use crate::{CallId, Cause};

/// Types of messages.
mod message_type {
    pub const SET_UP: u8 = 1;
    pub const PROGRESS: u8 = 6;
    pub const ANSWER: u8 = 9;
    pub const RELEASE: u8 = 12;
    pub const RELEASE_COMPLETE: u8 = 16;
    pub const NOTE: u8 = 44;
    pub const MOVE: u8 = 51;
    pub const TEST: u8 = 52;
    pub const TEST_RESULT: u8 = 53;
}

/// Codes of parameters.
mod parameter_code {
    pub const CLASS: u8 = 1;
    pub const TIMEOUT: u8 = 3;
    pub const TITLE: u8 = 9;
    pub const ATTRIBUTES: u8 = 11;
    pub const RETRY_AFTER: u8 = 13;
    pub const CAUSE: u8 = 29;
    pub const DESCRIPTION: u8 = 31;
}

/// Maximum timeout of a set-up.
const MAX_TIMEOUT_MS: u64 = 600_000;

/// A set-up as sent by a viewer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SetUp {
    /// Name of the session's class.
    pub class: String,
    /// Time for which the viewer waits for the answer, in milliseconds.
    pub timeout_ms: u64,
    /// Title as the viewer wrote it.
    pub title: String,
    /// Title as a number.
    pub title_id: u64,
    /// Cells that hold the title, and the capabilities and the identifier of the viewer.
    pub attributes: Attributes,
    /// Session description, which is forwarded unchanged.
    pub description: String,
}

/// Error of a set-up that is not valid. It affects only this set-up, and the connection remains usable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SetUpError {
    /// The session's identifier is 0.
    #[error("the session has no identifier")]
    MissingId,
    /// A required parameter is missing.
    #[error("parameter {0} is missing")]
    Missing(u8),
    /// A parameter occurs more than once.
    #[error("parameter {0} occurs more than once")]
    Duplicate(u8),
    /// A parameter is not valid UTF-8, or its text is not valid.
    #[error("parameter {0} is not valid")]
    Invalid(u8),
    /// The attributes are not valid.
    #[error(transparent)]
    Attributes(#[from] AttributeError),
}

/// A message from a viewer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FromViewer {
    /// Requests a session. The result has the error if the set-up is not valid.
    SetUp(CallId, Result<Box<SetUp>, SetUpError>),
    /// Abandons a set-up, or releases a session.
    Release(CallId),
    /// A message that requires no action: the completion of a release, progress or a measurement.
    Ignored(CallId),
    /// Requests a health check.
    Test(CallId),
}

impl FromViewer {
    /// Parses a frame.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::UnknownType`], after which the connection can't be used. An invalid set-up is not an
    /// error of this function.
    pub fn parse(frame: &Frame) -> Result<FromViewer, FrameError> {
        match frame.kind {
            message_type::SET_UP => Ok(FromViewer::SetUp(frame.id, SetUp::parse(frame))),
            message_type::RELEASE => Ok(FromViewer::Release(frame.id)),
            message_type::RELEASE_COMPLETE | message_type::PROGRESS | message_type::NOTE => {
                Ok(FromViewer::Ignored(frame.id))
            }
            message_type::TEST => Ok(FromViewer::Test(frame.id)),
            other => Err(FrameError::UnknownType(other)),
        }
    }

    /// Returns whether the message hands over a session that is already established at a media server.
    pub fn is_hand_over(&self) -> bool {
        matches!(self, FromViewer::SetUp(_, Ok(setup)) if setup.attributes.playing_at.is_some())
    }
}

impl SetUp {
    /// Parses the parameters of a set-up.
    fn parse(frame: &Frame) -> Result<Box<SetUp>, SetUpError> {
        if frame.id == CallId(0) {
            return Err(SetUpError::MissingId);
        }
        let timeout = text_parameter(frame, parameter_code::TIMEOUT)?;
        let timeout_ms: u64 = timeout.parse().map_err(|_| SetUpError::Invalid(parameter_code::TIMEOUT))?;
        let attributes = Attributes::parse(text_parameter(frame, parameter_code::ATTRIBUTES)?)?;
        // The viewer of an established session waits for no answer, so its timeout is not limited.
        if timeout_ms > MAX_TIMEOUT_MS && attributes.playing_at.is_none() {
            return Err(SetUpError::Invalid(parameter_code::TIMEOUT));
        }
        let title = text_parameter(frame, parameter_code::TITLE)?;
        Ok(Box::new(SetUp {
            class: text_parameter(frame, parameter_code::CLASS)?.to_owned(),
            timeout_ms,
            title: title.to_owned(),
            title_id: parse_hex64(title).map_err(|_| SetUpError::Invalid(parameter_code::TITLE))?,
            attributes,
            description: text_parameter(frame, parameter_code::DESCRIPTION)?.to_owned(),
        }))
    }
}

/// Returns the text of a parameter that must occur exactly once.
fn text_parameter(frame: &Frame, code: u8) -> Result<&str, SetUpError> {
    let mut matching = frame.parameters.iter().filter(|parameter| parameter.code == code);
    let parameter = matching.next().ok_or(SetUpError::Missing(code))?;
    if matching.next().is_some() {
        return Err(SetUpError::Duplicate(code));
    }
    std::str::from_utf8(&parameter.value).map_err(|_| SetUpError::Invalid(code))
}

/// A message to a viewer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ToViewer {
    /// The session is established, with the description from the media server.
    Answer(CallId, String),
    /// The set-up is refused, or the session failed or ended.
    Release(CallId, Cause),
    /// The set-up is refused, with the time in milliseconds for which the viewer should not retry.
    ReleaseWithRetryAfter(CallId, Cause, u64),
    /// The session is migrated, and the viewer has to set it up again.
    Move(CallId),
    /// Confirms a release.
    ReleaseComplete(CallId),
    /// Result of a health check: whether it passed.
    TestResult(CallId, bool),
}

impl ToViewer {
    /// Encodes the message. Returns `None` if it would exceed [`MAX_MESSAGE_BYTES`](crate::MAX_MESSAGE_BYTES).
    pub fn encode(&self) -> Option<Vec<u8>> {
        self.frame().encode()
    }

    /// Converts the message to the binary framing.
    fn frame(&self) -> Frame {
        match self {
            ToViewer::Answer(id, description) => Frame::new(message_type::ANSWER, *id)
                .with(parameter_code::DESCRIPTION, description.as_bytes()),
            ToViewer::Release(id, cause) => release_frame(*id, *cause),
            ToViewer::ReleaseWithRetryAfter(id, cause, ms) => {
                release_frame(*id, *cause).with(parameter_code::RETRY_AFTER, ms.to_string())
            }
            ToViewer::Move(id) => Frame::new(message_type::MOVE, *id),
            ToViewer::ReleaseComplete(id) => Frame::new(message_type::RELEASE_COMPLETE, *id),
            ToViewer::TestResult(id, passed) => {
                Frame::new(message_type::TEST_RESULT, *id).with(parameter_code::CAUSE, [u8::from(*passed)])
            }
        }
    }
}

/// Returns a release with its cause.
fn release_frame(id: CallId, cause: Cause) -> Frame {
    Frame::new(message_type::RELEASE, id).with(parameter_code::CAUSE, [cause.code()])
}
