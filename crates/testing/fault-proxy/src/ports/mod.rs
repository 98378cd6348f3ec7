//! Reserves ports for processes that are to listen there, before they start and while they are down.
//!
//! Binding port 0 and closing the socket reserves nothing: until the process binds the number, any other socket that asks for
//! a free port may be given it, and one for UDP may have it anyway. Here the number is drawn from outside the range of
//! ephemeral ports, and a socket that is bound and does not listen reserves it against other tests. The process can listen
//! there all the same, any number of times, and while it does not, connections are refused.

use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::ops::Range;

use socket2::{Domain, Socket, Type};

/// Lower numbers are left to services of the machine.
const MIN_PORT: u16 = 10_000;
/// Where ephemeral ports begin if the system does not tell.
const DEFAULT_EPHEMERAL_START: u16 = 32_768;
/// Fewer numbers are too few to draw from.
const MIN_RANGE: u16 = 2_000;
/// How many numbers are tried: the range is nowhere near as full.
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
    /// No attempt has found a free port: the error of the last one.
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

    /// Reserves so many distinct ports.
    ///
    /// # Errors
    /// As of [`ReservedPort::reserve`].
    pub fn reserve_all(count: usize) -> io::Result<Vec<ReservedPort>> {
        (0..count).map(|_| ReservedPort::reserve()).collect()
    }

    fn reserve_number(number: u16) -> io::Result<ReservedPort> {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, number));
        let reservation = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        // Bound before addresses may be shared, so that no two tests have the same; afterwards a listener may share it.
        reservation.bind(&address.into())?;
        reservation.set_reuse_address(true)?;
        UdpSocket::bind(address)?;
        Ok(ReservedPort { address, _reservation: reservation })
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Numbers that the system does not give out as ephemeral ports.
fn reservable_range() -> Range<u16> {
    let setting = fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap_or_default();
    let first =
        setting.split_whitespace().next().and_then(|n| n.parse().ok()).unwrap_or(DEFAULT_EPHEMERAL_START);
    // Where nearly all are ephemeral, some of them have to serve.
    if first >= MIN_PORT + MIN_RANGE { MIN_PORT..first } else { MIN_PORT..DEFAULT_EPHEMERAL_START }
}

#[cfg(test)]
mod tests;
