//! A client of one viewer, or of many, on one connection.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

use beechloft_protocol::binary::{Frame, FrameDecoder};

use crate::support::TIMEOUT;
use crate::support::messages::{cause, is_final_answer, set_up_with_copies};

/// The copies of the titles that these clients request.
const COPIES: usize = 4;

/// A client of one viewer, or of many, on one connection.
pub struct ViewerClient {
    pub stream: TcpStream,
    decoder: FrameDecoder,
}

/// A final answer to a set-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinalAnswer {
    pub kind: u8,
    pub cause: u8,
}

/// A set-up as these clients send it.
pub fn set_up(id: u64, time_left_ms: u64) -> Frame {
    set_up_with_copies(id, time_left_ms, COPIES)
}

impl ViewerClient {
    pub fn connect(addr: SocketAddr) -> ViewerClient {
        let stream = TcpStream::connect(addr).expect("a connection");
        stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
        ViewerClient { stream, decoder: FrameDecoder::default() }
    }

    pub fn send(&mut self, frame: &Frame) {
        self.stream.write_all(&frame.encode().expect("short")).expect("written");
    }

    /// Requests a session.
    pub fn request_session(&mut self, id: u64, time_left_ms: u64) {
        self.send(&set_up(id, time_left_ms));
    }

    /// The next message; `None`: the connection has ended.
    pub fn receive(&mut self) -> Option<Frame> {
        let mut buffer = [0; 4096];
        loop {
            if let Some(frame) = self.decoder.next_frame().expect("a front node sends valid frames") {
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

    /// The next message, on a connection that is open.
    pub fn receive_message(&mut self) -> Frame {
        self.receive().expect("a message")
    }

    /// Whether the connection ends, whatever is received before.
    pub fn ends(&mut self) -> bool {
        while self.receive().is_some() {}
        true
    }

    /// Receives until so many set-ups have their final answers; by id. None may have two.
    pub fn receive_answers(&mut self, count: usize) -> BTreeMap<u64, FinalAnswer> {
        let mut answers = BTreeMap::new();
        while answers.len() < count {
            let frame = self.receive().expect("an open connection");
            if is_final_answer(&frame) {
                let answer = FinalAnswer { kind: frame.kind, cause: cause(&frame) };
                let earlier = answers.insert(frame.id.0, answer);
                assert_eq!(earlier, None, "two answers for {}", frame.id);
            }
        }
        answers
    }
}
