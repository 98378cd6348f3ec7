//! Waiting for sockets to have something to say.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// Waits until one of the sockets can be read or has broken, or the time is up; says which, in their order.
pub fn readable<const N: usize>(sockets: [Option<&TcpStream>; N], until: Instant) -> io::Result<[bool; N]> {
    loop {
        let mut fds = Vec::with_capacity(N);
        for socket in sockets.iter().flatten() {
            fds.push(PollFd::new(*socket, PollFlags::IN | PollFlags::RDHUP));
        }
        // Up to the next nanosecond: a wait of zero for the last bit would spin.
        let left = until.saturating_duration_since(Instant::now());
        let timeout = Timespec { tv_sec: left.as_secs() as i64, tv_nsec: left.subsec_nanos().into() };
        match poll(&mut fds, Some(&timeout)) {
            Ok(0) if Instant::now() < until => continue,
            Ok(_) => {}
            Err(rustix::io::Errno::INTR) => continue,
            Err(e) => return Err(e.into()),
        }
        let mut seen = fds.iter().map(|fd| !fd.revents().is_empty());
        return Ok(sockets.map(|s| s.is_some() && seen.next().unwrap_or(false)));
    }
}

/// Waits until a connection is there to be accepted, at most so long.
pub fn acceptable(listener: &TcpListener, most: Duration) {
    let mut fds = [PollFd::new(listener, PollFlags::IN)];
    let timeout = Timespec { tv_sec: most.as_secs() as i64, tv_nsec: most.subsec_nanos().into() };
    // A wait that was cut short is made up for by the caller's next look.
    let _ = poll(&mut fds, Some(&timeout));
}

/// Whether the other side has closed or broken the connection. Bytes that wait to be read hide a close behind them.
pub fn hung_up(socket: &TcpStream) -> bool {
    let mut fds = [PollFd::new(socket, PollFlags::IN | PollFlags::RDHUP)];
    let now = Timespec { tv_sec: 0, tv_nsec: 0 };
    match poll(&mut fds, Some(&now)) {
        Ok(0) => false,
        Ok(_) => {
            let seen = fds[0].revents();
            seen.intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
        }
        Err(_) => true,
    }
}

/// Whether a socket that should be silent is: nothing to read, not closed.
pub fn quiet(socket: &TcpStream) -> bool {
    let mut fds = [PollFd::new(socket, PollFlags::IN | PollFlags::RDHUP)];
    poll(&mut fds, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })) == Ok(0)
}

/// What is left of a span that ends at `until`; at least a millisecond, as zero means for ever to a socket.
pub fn left(until: Instant) -> Duration {
    until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1))
}
