//! Messages between viewers and the front node.

use thiserror::Error;

use crate::binary::{Frame, FrameError};
use crate::figures::{FigureError, Figures};
use crate::id::hex64;
use crate::{CallId, Cause};

const SET_UP: u8 = 1;
const PROGRESS: u8 = 6;
const ANSWER: u8 = 9;
const RELEASE: u8 = 12;
const HEARD: u8 = 16;
const NOTE: u8 = 44;
const MOVE: u8 = 51;
const TEST: u8 = 52;
const TESTED: u8 = 53;

const CLASS: u8 = 1;
const LEFT: u8 = 3;
const TITLE: u8 = 9;
const FIGURES: u8 = 11;
const WAIT: u8 = 13;
const CAUSE: u8 = 29;
const DESCRIPTION: u8 = 31;

/// The longest wait that a set-up may state, in milliseconds; more makes no sense.
const MOST_LEFT_MS: u64 = 600_000;

/// A set-up as a viewer states it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SetUp {
    /// The class's name.
    pub class: String,
    /// How long the viewer waits, in milliseconds.
    pub left_ms: u64,
    /// The title, as it came.
    pub title: String,
    /// The title's number.
    pub title_id: u64,
    /// The figures.
    pub figures: Figures,
    /// The description, as it came.
    pub description: String,
}

/// What is wrong with a set-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SetUpError {
    /// The session has no id.
    #[error("no id")]
    NoId,
    /// A parameter that must be there is not.
    #[error("parameter {0} is missing")]
    Missing(u8),
    /// A parameter comes twice.
    #[error("parameter {0} comes twice")]
    Twice(u8),
    /// A parameter is no text, or not one that it can be.
    #[error("parameter {0} makes no sense")]
    Nonsense(u8),
    /// Its figures.
    #[error(transparent)]
    Figures(#[from] FigureError),
}

/// What a viewer says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FromViewer {
    /// A set-up, or what is wrong with it; that costs this set-up alone.
    SetUp(CallId, Result<Box<SetUp>, SetUpError>),
    /// A set-up is given up, or a session released.
    Release(CallId),
    /// Nothing that the front node acts on.
    Ignored(CallId),
    /// A test.
    Test(CallId),
}

fn text(frame: &Frame, code: u8) -> Result<&str, SetUpError> {
    let mut all = frame.params.iter().filter(|p| p.0 == code);
    let value = all.next().ok_or(SetUpError::Missing(code))?;
    if all.next().is_some() {
        return Err(SetUpError::Twice(code));
    }
    std::str::from_utf8(&value.1).map_err(|_| SetUpError::Nonsense(code))
}

impl SetUp {
    fn read(frame: &Frame) -> Result<Box<SetUp>, SetUpError> {
        if frame.id == CallId(0) {
            return Err(SetUpError::NoId);
        }
        let left_ms: u64 = text(frame, LEFT)?.parse().map_err(|_| SetUpError::Nonsense(LEFT))?;
        let figures = Figures::read(text(frame, FIGURES)?)?;
        // One that plays already waits for no answer, and may state any time.
        if left_ms > MOST_LEFT_MS && figures.at.is_none() {
            return Err(SetUpError::Nonsense(LEFT));
        }
        let title = text(frame, TITLE)?;
        Ok(Box::new(SetUp {
            class: text(frame, CLASS)?.to_owned(),
            left_ms,
            title: title.to_owned(),
            title_id: hex64(title).map_err(|_| SetUpError::Nonsense(TITLE))?,
            figures,
            description: text(frame, DESCRIPTION)?.to_owned(),
        }))
    }
}

impl FromViewer {
    /// Reads a frame. An unknown type costs the connection.
    pub fn parse(frame: &Frame) -> Result<FromViewer, FrameError> {
        match frame.kind {
            SET_UP => Ok(FromViewer::SetUp(frame.id, SetUp::read(frame))),
            RELEASE => Ok(FromViewer::Release(frame.id)),
            HEARD | PROGRESS | NOTE => Ok(FromViewer::Ignored(frame.id)),
            TEST => Ok(FromViewer::Test(frame.id)),
            other => Err(FrameError::Type(other)),
        }
    }
}

/// What the front node says to a viewer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ToViewer {
    /// The session stands; the description as the media server gave it.
    Answer(CallId, String),
    /// A refusal, a failure or the end of a session that stood.
    Release(CallId, Cause),
    /// A refusal that asks the viewer to stay away for so many milliseconds.
    ReleaseWithRetryAfter(CallId, Cause, u64),
    /// The session moves: the viewer comes again.
    Move(CallId),
    /// A release was heard.
    ReleaseComplete(CallId),
    /// A test was passed or not.
    TestResult(CallId, bool),
}

impl ToViewer {
    /// The bytes on the wire; none: past the bound of a message.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let release = |id: &CallId, cause: &Cause| Frame::new(RELEASE, *id).with(CAUSE, [cause.code()]);
        let frame = match self {
            ToViewer::Answer(id, description) => {
                Frame::new(ANSWER, *id).with(DESCRIPTION, description.as_bytes())
            }
            ToViewer::Release(id, cause) => release(id, cause),
            ToViewer::ReleaseWithRetryAfter(id, cause, ms) => release(id, cause).with(WAIT, ms.to_string()),
            ToViewer::Move(id) => Frame::new(MOVE, *id),
            ToViewer::ReleaseComplete(id) => Frame::new(HEARD, *id),
            ToViewer::TestResult(id, passed) => Frame::new(TESTED, *id).with(CAUSE, [u8::from(*passed)]),
        };
        frame.encode()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn good() -> Frame {
        Frame::new(SET_UP, CallId(7))
            .with(CLASS, "paid")
            .with(LEFT, "1500")
            .with(TITLE, "7f3a9c21e0b4d655")
            .with(FIGURES, "home:4;copies:3;top:4;viewer:00000000b4d65521")
            .with(DESCRIPTION, "9d41\r\nc=IN\r\n")
    }

    fn setup(frame: &Frame) -> Result<Box<SetUp>, SetUpError> {
        match FromViewer::parse(frame) {
            Ok(FromViewer::SetUp(_, result)) => result,
            other => panic!("{other:?}"),
        }
    }

    #[test]
    fn a_setup_is_read_as_stated() {
        let got = setup(&good()).expect("sound");
        assert_eq!((got.class.as_str(), got.left_ms, got.title_id), ("paid", 1500, 0x7f3a_9c21_e0b4_d655));
        assert_eq!(got.description, "9d41\r\nc=IN\r\n");
    }

    #[test]
    fn a_session_that_plays_already_may_state_any_time() {
        let figures = "home:9;copies:3;top:2;viewer:000f4c3cc09d2c2f";
        let of = |left: &str, figures: &str| {
            let mut frame = good();
            frame.params.iter_mut().filter(|p| p.0 == LEFT).for_each(|p| p.1 = left.into());
            frame.params.iter_mut().filter(|p| p.0 == FIGURES).for_each(|p| p.1 = figures.into());
            setup(&frame)
        };
        assert_eq!(of("4294967", figures), Err(SetUpError::Nonsense(LEFT)));
        let got = of("4294967", &format!("{figures};at:s-a4c91747")).expect("sound");
        assert_eq!((got.left_ms, got.figures.at.as_deref()), (4_294_967, Some("s-a4c91747")));
    }

    #[test]
    fn what_is_wrong_with_a_setup_costs_it_alone() {
        let but = |code: u8, value: &[u8]| {
            let mut frame = good();
            frame.params.iter_mut().filter(|p| p.0 == code).for_each(|p| p.1 = value.to_vec());
            setup(&frame)
        };
        for bad in ["-5", "1e3", "", "99999999999999999999", "700000", "NaN"] {
            assert_eq!(but(LEFT, bad.as_bytes()), Err(SetUpError::Nonsense(LEFT)), "{bad}");
        }
        assert_eq!(but(TITLE, b"zz"), Err(SetUpError::Nonsense(TITLE)));
        assert_eq!(but(DESCRIPTION, &[0xff, 0xfe]), Err(SetUpError::Nonsense(DESCRIPTION)));
        assert_eq!(setup(&good().with(LEFT, "3")), Err(SetUpError::Twice(LEFT)));
        let mut frame = good();
        frame.params.remove(0);
        assert_eq!(setup(&frame), Err(SetUpError::Missing(CLASS)));
        assert_eq!(setup(&Frame { id: CallId(0), ..good() }), Err(SetUpError::NoId));
        assert_eq!(FromViewer::parse(&Frame::new(99, CallId(1))), Err(FrameError::Type(99)));
    }
}
