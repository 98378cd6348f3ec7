//! Messages between viewers and the front node, in the binary framing.

use thiserror::Error;

use crate::attributes::{AttributeError, Attributes};
use crate::binary::{Frame, FrameError};
use crate::id::parse_hex64;
use crate::{CallId, Cause};

/// Types of messages.
mod kind {
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
mod code {
    pub const CLASS: u8 = 1;
    pub const TIMEOUT: u8 = 3;
    pub const TITLE: u8 = 9;
    pub const ATTRIBUTES: u8 = 11;
    pub const RETRY_AFTER: u8 = 13;
    pub const CAUSE: u8 = 29;
    pub const DESCRIPTION: u8 = 31;
}

/// The maximum timeout of a set-up, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 600_000;

/// A set-up as a viewer states it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SetUp {
    /// The name of the session's class.
    pub class: String,
    /// How long the viewer waits for the answer, in milliseconds.
    pub timeout_ms: u64,
    /// The title as the viewer wrote it.
    pub title: String,
    /// The title as a number.
    pub title_id: u64,
    /// Where the title lies, and what the viewer can play.
    pub attributes: Attributes,
    /// The session description, passed on unchanged.
    pub description: String,
}

/// Why a set-up is not valid. It concerns this set-up only; the connection stays usable.
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
    /// A parameter is not text, or its text is not valid.
    #[error("parameter {0} is not valid")]
    Invalid(u8),
    /// The attributes are not valid.
    #[error(transparent)]
    Attributes(#[from] AttributeError),
}

/// A message from a viewer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FromViewer {
    /// A set-up, or why it is not valid.
    SetUp(CallId, Result<Box<SetUp>, SetUpError>),
    /// A set-up is abandoned, or a session released.
    Release(CallId),
    /// A message that needs no action: a release is complete, progress, a note.
    Ignored(CallId),
    /// A health check.
    Test(CallId),
}

impl FromViewer {
    /// Parses a frame.
    ///
    /// # Errors
    ///
    /// [`FrameError::UnknownType`], after which the connection is of no use. An invalid set-up is no error here.
    pub fn parse(frame: &Frame) -> Result<FromViewer, FrameError> {
        match frame.kind {
            kind::SET_UP => Ok(FromViewer::SetUp(frame.id, SetUp::parse(frame))),
            kind::RELEASE => Ok(FromViewer::Release(frame.id)),
            kind::RELEASE_COMPLETE | kind::PROGRESS | kind::NOTE => Ok(FromViewer::Ignored(frame.id)),
            kind::TEST => Ok(FromViewer::Test(frame.id)),
            other => Err(FrameError::UnknownType(other)),
        }
    }
}

impl SetUp {
    fn parse(frame: &Frame) -> Result<Box<SetUp>, SetUpError> {
        if frame.id == CallId(0) {
            return Err(SetUpError::MissingId);
        }
        let timeout = text_parameter(frame, code::TIMEOUT)?;
        let timeout_ms: u64 = timeout.parse().map_err(|_| SetUpError::Invalid(code::TIMEOUT))?;
        let attributes = Attributes::parse(text_parameter(frame, code::ATTRIBUTES)?)?;
        // A session that plays already waits for no answer, and may state any time.
        if timeout_ms > MAX_TIMEOUT_MS && attributes.playing_at.is_none() {
            return Err(SetUpError::Invalid(code::TIMEOUT));
        }
        let title = text_parameter(frame, code::TITLE)?;
        Ok(Box::new(SetUp {
            class: text_parameter(frame, code::CLASS)?.to_owned(),
            timeout_ms,
            title: title.to_owned(),
            title_id: parse_hex64(title).map_err(|_| SetUpError::Invalid(code::TITLE))?,
            attributes,
            description: text_parameter(frame, code::DESCRIPTION)?.to_owned(),
        }))
    }
}

/// The text of a parameter that has to occur once.
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
    /// The session is established; the description as the media server gave it.
    Answer(CallId, String),
    /// A refusal, a failure, or the end of an established session.
    Release(CallId, Cause),
    /// A refusal, and for how many milliseconds the viewer should not retry.
    ReleaseWithRetryAfter(CallId, Cause, u64),
    /// The session moves: the viewer sets it up again.
    Move(CallId),
    /// A release was received.
    ReleaseComplete(CallId),
    /// Whether the health check passed.
    TestResult(CallId, bool),
}

impl ToViewer {
    /// The bytes on the wire; none if they would exceed [`MAX_MESSAGE`](crate::MAX_MESSAGE).
    pub fn encode(&self) -> Option<Vec<u8>> {
        self.frame().encode()
    }

    fn frame(&self) -> Frame {
        match self {
            ToViewer::Answer(id, description) => {
                Frame::new(kind::ANSWER, *id).with(code::DESCRIPTION, description.as_bytes())
            }
            ToViewer::Release(id, cause) => release_frame(*id, *cause),
            ToViewer::ReleaseWithRetryAfter(id, cause, ms) => {
                release_frame(*id, *cause).with(code::RETRY_AFTER, ms.to_string())
            }
            ToViewer::Move(id) => Frame::new(kind::MOVE, *id),
            ToViewer::ReleaseComplete(id) => Frame::new(kind::RELEASE_COMPLETE, *id),
            ToViewer::TestResult(id, passed) => {
                Frame::new(kind::TEST_RESULT, *id).with(code::CAUSE, [u8::from(*passed)])
            }
        }
    }
}

fn release_frame(id: CallId, cause: Cause) -> Frame {
    Frame::new(kind::RELEASE, id).with(code::CAUSE, [cause.code()])
}
