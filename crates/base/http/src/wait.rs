//! Polling of sockets.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// Waits until one of the sockets is readable or broken, or until `until`. The result says which are, in the same order.
///
/// # Errors
/// Errors of `poll` other than interruption.
pub fn readable<const N: usize>(sockets: [Option<&TcpStream>; N], until: Instant) -> io::Result<[bool; N]> {
    loop {
        let mut fds = Vec::with_capacity(N);
        for socket in sockets.iter().flatten() {
            fds.push(PollFd::new(*socket, PollFlags::IN | PollFlags::RDHUP));
        }
        // Rounded up to a nanosecond: a wait of zero for the rest would spin.
        let left = until.saturating_duration_since(Instant::now());
        let timeout = Timespec { tv_sec: left.as_secs() as i64, tv_nsec: left.subsec_nanos().into() };
        match poll(&mut fds, Some(&timeout)) {
            Ok(0) if Instant::now() < until => continue,
            Ok(_) => {}
            Err(rustix::io::Errno::INTR) => continue,
            Err(e) => return Err(e.into()),
        }
        let mut seen = fds.iter().map(|fd| !fd.revents().is_empty());
        return Ok(sockets.map(|socket| socket.is_some() && seen.next().unwrap_or(false)));
    }
}

/// Waits until a connection can be accepted, at most for `max`.
pub fn acceptable(listener: &TcpListener, max: Duration) {
    let mut fds = [PollFd::new(listener, PollFlags::IN)];
    let timeout = Timespec { tv_sec: max.as_secs() as i64, tv_nsec: max.subsec_nanos().into() };
    // After an interrupted wait the caller polls again.
    let _ = poll(&mut fds, Some(&timeout));
}

/// Whether the peer has closed or reset the connection. Unread bytes hide a close that follows them.
pub fn hung_up(socket: &TcpStream) -> bool {
    let mut fds = [PollFd::new(socket, PollFlags::IN | PollFlags::RDHUP)];
    let now = Timespec { tv_sec: 0, tv_nsec: 0 };
    match poll(&mut fds, Some(&now)) {
        Ok(0) => false,
        Ok(_) => {
            let events = fds[0].revents();
            events.intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
        }
        Err(_) => true,
    }
}

/// Whether a connection is idle: nothing to read and not closed.
pub fn quiet(socket: &TcpStream) -> bool {
    let mut fds = [PollFd::new(socket, PollFlags::IN | PollFlags::RDHUP)];
    poll(&mut fds, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })) == Ok(0)
}

/// The time left until `until`; at least a millisecond, as zero means no timeout to a socket.
pub fn left(until: Instant) -> Duration {
    until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1))
}
