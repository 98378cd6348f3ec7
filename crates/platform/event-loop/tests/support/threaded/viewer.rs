//! Client of one or more viewers on one connection.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

use beechloft_protocol::binary::{Frame, FrameDecoder};

use crate::support::TIMEOUT;
use crate::support::messages::{cause, is_final_answer, set_up_with_copies};

/// Number of copies of each title that these clients request.
const COPIES: usize = 4;

/// Client of one or more viewers on one connection.
pub struct ViewerClient {
    pub stream: TcpStream,
    decoder: FrameDecoder,
}

/// Final answer to a set-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinalAnswer {
    pub kind: u8,
    pub cause: u8,
}

/// Returns a set-up as these clients send it.
pub fn set_up(id: u64, time_left_ms: u64) -> Frame {
    set_up_with_copies(id, time_left_ms, COPIES)
}

impl ViewerClient {
    pub fn connect(addr: SocketAddr) -> ViewerClient {
        let stream = TcpStream::connect(addr).expect("no connection");
        stream.set_read_timeout(Some(TIMEOUT)).expect("cannot set the timeout");
        ViewerClient { stream, decoder: FrameDecoder::default() }
    }

    pub fn send(&mut self, frame: &Frame) {
        self.stream.write_all(&frame.encode().expect("message too long")).expect("write failed");
    }

    /// Sends a set-up.
    pub fn request_session(&mut self, id: u64, time_left_ms: u64) {
        self.send(&set_up(id, time_left_ms));
    }

    /// Returns the next message, or `None` if the connection has ended.
    pub fn receive(&mut self) -> Option<Frame> {
        let mut buffer = [0; 4096];
        loop {
            if let Some(frame) = self.decoder.next_frame().expect("malformed frame from the front node") {
                return Some(frame);
            }
            match self.stream.read(&mut buffer) {
                Ok(0) => return None,
                Ok(count) => self.decoder.push(&buffer[..count]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    panic!("no message within {TIMEOUT:?}")
                }
                Err(_) => return None,
            }
        }
    }

    /// Returns the next message on an open connection.
    pub fn receive_message(&mut self) -> Frame {
        self.receive().expect("no message")
    }

    /// Receives messages until the connection ends, and returns true. Panics if it does not end.
    pub fn ends(&mut self) -> bool {
        while self.receive().is_some() {}
        true
    }

    /// Receives messages until `count` set-ups have a final answer, and returns the answers by id.
    ///
    /// Panics if a set-up gets two final answers.
    pub fn receive_answers(&mut self, count: usize) -> BTreeMap<u64, FinalAnswer> {
        let mut answers = BTreeMap::new();
        while answers.len() < count {
            let frame = self.receive().expect("connection closed");
            if is_final_answer(&frame) {
                let answer = FinalAnswer { kind: frame.kind, cause: cause(&frame) };
                let earlier = answers.insert(frame.id.0, answer);
                assert_eq!(earlier, None, "two answers for {}", frame.id);
            }
        }
        answers
    }
}
