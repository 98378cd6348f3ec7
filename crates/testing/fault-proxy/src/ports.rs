//! Ports for processes that are to listen there, kept for them before they start and while they are down.
//!
//! Who binds port 0, notes the number and closes the socket has nothing: until the process binds it, any other socket that asks
//! for a free port may be given the number, and one for UDP may have it anyway, as nobody held it there. Here the number is drawn
//! from those that the system gives to nobody who asks for a free one, and a socket that is bound and does not listen keeps it
//! from other tests. The process listens there all the same, again and again, and while none does a connection is refused.

use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::ops::Range;

use socket2::{Domain, Socket, Type};

/// Numbers below are for what an operator sets up.
const LEAST: u16 = 10_000;
/// Numbers above which systems give ports to who asks for any, where they do not say.
const EPHEMERAL: u16 = 32_768;
/// Draws before it is given up: the range is nowhere near as full.
const DRAWS: usize = 1_000;

/// A port of loopback that is kept for a process, for TCP and UDP.
#[derive(Debug)]
pub struct Port {
    address: SocketAddr,
    _keeps: Socket,
}

impl Port {
    /// Draws a port.
    ///
    /// # Errors
    /// Nearly all are taken.
    pub fn draw() -> io::Result<Port> {
        let range = range();
        let mut last = io::Error::from(io::ErrorKind::AddrInUse);
        for _ in 0..DRAWS {
            match Port::keep(rand::random_range(range.clone())) {
                Ok(port) => return Ok(port),
                Err(e) => last = e,
            }
        }
        Err(last)
    }

    /// So many, no two alike.
    ///
    /// # Errors
    /// Nearly all are taken.
    pub fn draw_all(count: usize) -> io::Result<Vec<Port>> {
        (0..count).map(|_| Port::draw()).collect()
    }

    fn keep(number: u16) -> io::Result<Port> {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, number));
        let keeps = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        // Bound before addresses may be shared, so that no two tests have the same; from then on a listener may share it.
        keeps.bind(&address.into())?;
        keeps.set_reuse_address(true)?;
        UdpSocket::bind(address)?;
        Ok(Port { address, _keeps: keeps })
    }

    /// Where it is.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Numbers that the system gives to nobody who asks for any.
fn range() -> Range<u16> {
    let said = fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap_or_default();
    let first = said.split_whitespace().next().and_then(|n| n.parse().ok()).unwrap_or(EPHEMERAL);
    // Where nearly all are given out, a number between two draws is all that there is.
    if first >= LEAST + 2_000 { LEAST..first } else { LEAST..EPHEMERAL }
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeSet;
    use std::net::{TcpListener, TcpStream};

    use super::*;

    #[test]
    fn a_kept_port_is_refused_to_others_and_listened_on_again_and_again() {
        let port = Port::draw().expect("a port");
        let at = port.address();
        assert!(Port::keep(at.port()).is_err(), "two have it");
        for _ in 0..3 {
            assert!(TcpStream::connect(at).is_err(), "somebody listens");
            let listener = TcpListener::bind(at).expect("it is kept for a process");
            let _datagrams = UdpSocket::bind(at).expect("for UDP as well");
            TcpStream::connect(at).expect("a connection");
            drop(listener);
        }
        drop(port);
        Port::keep(at.port()).expect("it is free again");
    }

    #[test]
    fn no_socket_that_asks_for_any_port_gets_one_that_is_kept() {
        let kept: BTreeSet<u16> =
            Port::draw_all(200).expect("ports").iter().map(|p| p.address().port()).collect();
        assert_eq!(kept.len(), 200);
        let any: Vec<UdpSocket> =
            (0..2_000).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port")).collect();
        let drawn = any.iter().map(|s| s.local_addr().expect("an address").port());
        assert_eq!(drawn.filter(|p| kept.contains(p)).count(), 0);
    }
}
