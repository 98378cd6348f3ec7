//! Media server that the test controls step by step.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};

use beechloft_protocol::CallId;
use serde_json::Value;

use super::socket_state::{SocketState, socket_state};
use crate::support::messages::{accept_line, end_line};
use crate::support::wait_until;

/// Media server with its listener and connections.
pub struct ManualServer {
    listener: TcpListener,
    pub addr: SocketAddr,
    pub connections: Vec<ServerConnection>,
}

/// Connection of a media server, at its end.
pub struct ServerConnection {
    stream: TcpStream,
    /// Incomplete line at the end of the received data.
    partial: Vec<u8>,
    received: Vec<Value>,
    unanswered: Vec<String>,
}

impl ManualServer {
    pub fn start() -> ManualServer {
        ManualServer::on(TcpListener::bind("127.0.0.1:0").expect("bind failed"))
    }

    /// Returns a media server to which no connection can be established, and the connection that fills its listen queue.
    pub fn with_full_queue() -> (ManualServer, TcpStream) {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("socket error");
        let any_port: SocketAddr = "127.0.0.1:0".parse().expect("no address");
        socket.bind(&any_port.into()).expect("bind failed");
        socket.listen(0).expect("listen failed");
        let server = ManualServer::on(socket.into());
        let filler = TcpStream::connect(server.addr).expect("no connection");
        (server, filler)
    }

    fn on(listener: TcpListener) -> ManualServer {
        listener.set_nonblocking(true).expect("cannot set socket option");
        let addr = listener.local_addr().expect("no address");
        ManualServer { listener, addr, connections: Vec::new() }
    }

    /// Accepts one connection from the listen queue and drops it.
    pub fn drop_queued_connection(&mut self) {
        wait_until("a connection in the queue", || self.listener.accept().is_ok());
    }

    /// Accepts the connections in the listen queue, and reads all connections.
    pub fn poll(&mut self) {
        while let Ok((stream, _)) = self.listener.accept() {
            stream.set_nonblocking(true).expect("cannot set socket option");
            self.connections.push(ServerConnection {
                stream,
                partial: Vec::new(),
                received: Vec::new(),
                unanswered: Vec::new(),
            });
        }
        self.connections.iter_mut().for_each(ServerConnection::read);
    }

    /// Returns the lines of a type that have arrived on all connections.
    pub fn received(&mut self, op: &str) -> Vec<Value> {
        self.poll();
        let lines = self.connections.iter().flat_map(|connection| &connection.received);
        lines.filter(|line| line["op"] == op).cloned().collect()
    }

    /// Returns the connection on which the set-up of a session has arrived.
    pub fn connection_with_offer(&mut self, id: u64) -> Option<ServerConnection> {
        self.poll();
        self.connections.iter().find(|connection| connection.has_offer(id)).map(ServerConnection::duplicate)
    }
}

impl ServerConnection {
    /// Returns a second handle to this connection, which answers set-ups that arrive from now on.
    pub fn duplicate(&self) -> ServerConnection {
        ServerConnection {
            stream: self.stream.try_clone().expect("clone failed"),
            partial: self.partial.clone(),
            received: self.received.clone(),
            unanswered: Vec::new(),
        }
    }

    /// Returns whether the set-up of a session has arrived on this connection.
    pub fn has_offer(&self, id: u64) -> bool {
        self.received.iter().any(|line| line["op"] == "offer" && line["call"] == CallId(id).to_string())
    }

    /// Reads all received lines.
    pub fn read(&mut self) {
        let mut buffer = [0; 4096];
        while let Ok(count @ 1..) = self.stream.read(&mut buffer) {
            self.partial.extend_from_slice(&buffer[..count]);
        }
        while let Some(end) = self.partial.iter().position(|byte| *byte == b'\n') {
            let text: Vec<u8> = self.partial.drain(..=end).collect();
            let line: Value = serde_json::from_slice(&text).expect("malformed line from the front node");
            if line["op"] == "offer" {
                self.unanswered.extend(line["call"].as_str().map(str::to_owned));
            }
            self.received.push(line);
        }
    }

    /// Sends bytes, and waits until they are in the receive buffer of the front node.
    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("write failed");
        self.wait_for_state_at_front(|state| matches!(state, SocketState::Open(1..)));
    }

    fn send(&mut self, line: &Value) {
        self.send_bytes(format!("{line}\n").as_bytes());
    }

    /// Accepts the set-up of a session.
    pub fn accept(&mut self, id: u64) {
        self.send(&accept(&CallId(id).to_string()));
    }

    /// Ends a session, or refuses its set-up.
    pub fn end(&mut self, id: u64, cause: u8) {
        self.send(&end_line(&CallId(id).to_string(), cause));
    }

    /// Accepts all set-ups that are not answered yet.
    pub fn accept_all(&mut self) {
        for call in std::mem::take(&mut self.unanswered) {
            // The front node may have stopped meanwhile.
            let _ = self.stream.write_all(format!("{}\n", accept(&call)).as_bytes());
        }
    }

    /// Closes the connection, and waits until the kernel of the front node has received the FIN or RST.
    pub fn close(&mut self) {
        self.stream.shutdown(Shutdown::Both).expect("shutdown failed");
        self.wait_for_state_at_front(|state| !matches!(state, SocketState::Open(_)));
    }

    fn wait_for_state_at_front(&self, is_expected: impl Fn(SocketState) -> bool) {
        let local_addr = self.stream.local_addr().expect("no address");
        let peer_addr = self.stream.peer_addr().expect("no address");
        wait_until("the expected socket state at the front node", || {
            is_expected(socket_state(peer_addr, local_addr))
        });
    }
}

fn accept(call: &str) -> Value {
    accept_line(call, &format!("answer-{call}\r\n"))
}
