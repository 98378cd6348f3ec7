//! The state of TCP sockets as the kernel reports it.

use std::fs;
use std::net::SocketAddr;

const ESTABLISHED: &str = "01";
const CLOSE_WAIT: &str = "08";

/// State of a TCP socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SocketState {
    /// The connection is open, with this number of unread bytes.
    Open(usize),
    /// The peer has closed the connection, with this number of unread bytes.
    ClosedByPeer(usize),
    /// The connection is reset or does not exist.
    Absent,
}

/// Returns the state of the connection from `local` to `peer`.
pub fn socket_state(local: SocketAddr, peer: SocketAddr) -> SocketState {
    let (local, peer) = (to_hex(local), to_hex(peer));
    let table = fs::read_to_string("/proc/net/tcp").expect("cannot read /proc/net/tcp");
    for line in table.lines() {
        let mut columns = line.split_whitespace().skip(1);
        if (columns.next(), columns.next()) != (Some(&local), Some(&peer)) {
            continue;
        }
        let (state, queues) = (columns.next(), columns.next());
        let unread = queues.and_then(|queues| usize::from_str_radix(queues.split_once(':')?.1, 16).ok());
        return match state {
            Some(ESTABLISHED) => SocketState::Open(unread.unwrap_or(0)),
            Some(CLOSE_WAIT) => SocketState::ClosedByPeer(unread.unwrap_or(0)),
            _ => SocketState::Absent,
        };
    }
    SocketState::Absent
}

fn to_hex(address: SocketAddr) -> String {
    match address {
        SocketAddr::V4(v4) => format!("{:08X}:{:04X}", u32::from_le_bytes(v4.ip().octets()), v4.port()),
        SocketAddr::V6(_) => unreachable!("the tests use the IPv4 loopback address"),
    }
}
