//! Reserves ports for processes that are to listen there, before they start and while they are down.
//!
//! Binding port 0 and closing the socket does not reserve the port: until the process binds it, the system may assign it to
//! another socket that requests a free port, or to a UDP socket at any time. Here a port outside the ephemeral range is chosen
//! at random, and a socket that is bound but not listening reserves it against other tests. The process can still listen on
//! it any number of times, and connections are refused while it does not.

use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::ops::Range;

use socket2::{Domain, Socket, Type};

/// Lowest reserved port. Lower ports are left to services of the machine.
const MIN_PORT: u16 = 10_000;
/// Start of the ephemeral range if the system does not state it.
const DEFAULT_EPHEMERAL_START: u16 = 32_768;
/// Minimum size of the range that ports are chosen from.
const MIN_RANGE: u16 = 2_000;
/// Maximum number of ports that are tried. The range is never so full that all of them are in use.
const MAX_ATTEMPTS: usize = 1_000;

/// A port of loopback that is reserved for a process, for TCP and UDP, until this is dropped.
#[derive(Debug)]
pub struct ReservedPort {
    address: SocketAddr,
    _reservation: Socket,
}

impl ReservedPort {
    /// Reserves a random port.
    ///
    /// # Errors
    /// Returns the error of the last attempt if no attempt finds a free port.
    pub fn reserve() -> io::Result<ReservedPort> {
        let range = reservable_range();
        let mut last = io::Error::from(io::ErrorKind::AddrInUse);
        for _ in 0..MAX_ATTEMPTS {
            match ReservedPort::reserve_number(rand::random_range(range.clone())) {
                Ok(port) => return Ok(port),
                Err(e) => last = e,
            }
        }
        Err(last)
    }

    /// Reserves `count` distinct ports.
    ///
    /// # Errors
    /// Returns the same errors as [`ReservedPort::reserve`].
    pub fn reserve_all(count: usize) -> io::Result<Vec<ReservedPort>> {
        (0..count).map(|_| ReservedPort::reserve()).collect()
    }

    fn reserve_number(number: u16) -> io::Result<ReservedPort> {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, number));
        let reservation = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        // The socket is bound before address reuse is enabled, so that no two tests get the same port. Afterwards a listener
        // can share it.
        reservation.bind(&address.into())?;
        reservation.set_reuse_address(true)?;
        UdpSocket::bind(address)?;
        Ok(ReservedPort { address, _reservation: reservation })
    }

    /// Returns the address of the port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Returns the range of ports that the system does not assign as ephemeral ports.
fn reservable_range() -> Range<u16> {
    let setting = fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap_or_default();
    let first =
        setting.split_whitespace().next().and_then(|n| n.parse().ok()).unwrap_or(DEFAULT_EPHEMERAL_START);
    // If nearly all ports are ephemeral, some of them are used.
    if first >= MIN_PORT + MIN_RANGE { MIN_PORT..first } else { MIN_PORT..DEFAULT_EPHEMERAL_START }
}

#[cfg(test)]
mod tests;
