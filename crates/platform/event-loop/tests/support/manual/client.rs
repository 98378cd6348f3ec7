//! Client of viewers that the test controls step by step.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use beechloft_protocol::binary::{Frame, FrameDecoder};

use super::socket_state::{SocketState, socket_state};
use crate::support::{messages, wait_until};

/// Connection of a client, at its end.
pub struct Client {
    pub stream: TcpStream,
    decoder: FrameDecoder,
    local_addr: SocketAddr,
    front_addr: SocketAddr,
}

/// Messages that a client has received since its last read.
#[derive(Debug, Clone, PartialEq)]
pub struct Received {
    pub frames: Vec<Frame>,
    /// Whether the front node has closed the connection.
    pub closed: bool,
}

impl Client {
    pub fn connect(front_addr: SocketAddr) -> Client {
        let stream = TcpStream::connect(front_addr).expect("no connection");
        stream.set_nonblocking(true).expect("cannot set socket option");
        let local_addr = stream.local_addr().expect("no address");
        Client { stream, decoder: FrameDecoder::default(), local_addr, front_addr }
    }

    /// Returns the state of the connection at the front node.
    pub fn state_at_front(&self) -> SocketState {
        socket_state(self.front_addr, self.local_addr)
    }

    /// Sends a message, and waits until it is in the receive buffer of the front node.
    pub fn send(&mut self, frame: &Frame) {
        self.send_bytes(&messages::encode(std::slice::from_ref(frame)));
    }

    /// Sends bytes, and waits until they are in the receive buffer of the front node.
    pub fn send_bytes(&mut self, bytes: &[u8]) {
        let unread_before = match self.state_at_front() {
            SocketState::Open(unread) => unread,
            other => panic!("the connection is not open: {other:?}"),
        };
        self.stream.write_all(bytes).expect("write failed");
        let expected = unread_before + bytes.len();
        wait_until(
            "the bytes to arrive",
            || matches!(self.state_at_front(), SocketState::Open(unread) if unread >= expected),
        );
    }

    /// Closes the connection, and waits until the kernel of the front node has received the FIN or RST.
    pub fn close(self) {
        let (front_addr, local_addr) = (self.front_addr, self.local_addr);
        drop(self);
        wait_until("the FIN or RST to arrive", || {
            !matches!(socket_state(front_addr, local_addr), SocketState::Open(_))
        });
    }

    /// Resets the connection, and waits until the kernel of the front node has received the RST.
    pub fn reset(self) {
        socket2::SockRef::from(&self.stream)
            .set_linger(Some(Duration::ZERO))
            .expect("cannot set socket option");
        self.close();
    }

    /// Returns the messages that have arrived since the last call.
    ///
    /// # Errors
    /// Returns an error if the connection is reset.
    pub fn receive(&mut self) -> Result<Received, ErrorKind> {
        let mut buffer = [0; 4096];
        let closed = loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => break true,
                Ok(count) => self.decoder.push(&buffer[..count]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break false,
                Err(e) => return Err(e.kind()),
            }
        };
        let mut frames = Vec::new();
        while let Some(frame) = self.decoder.next_frame().expect("malformed frame from the front node") {
            frames.push(frame);
        }
        Ok(Received { frames, closed })
    }

    /// Returns the messages that have arrived since the last call, on a connection that is not reset.
    pub fn receive_frames(&mut self) -> Vec<Frame> {
        self.receive().expect("connection reset").frames
    }

    /// Returns whether the front node has closed or reset the connection.
    pub fn is_closed(&mut self) -> bool {
        self.receive().map_or(true, |received| received.closed)
    }
}
