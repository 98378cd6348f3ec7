//! Readiness and state of sockets, by `poll`.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// Timeout of a `poll` that returns at once.
const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };
/// Minimum timeout of a socket. Zero would mean no timeout.
const MIN_SOCKET_TIMEOUT: Duration = Duration::from_millis(1);

/// Waits until a socket is readable, closed or broken, at most until the deadline. Returns for each socket whether it is, in the
/// order of the sockets. `None` is never ready.
///
/// # Errors
/// Returns an error of `poll` other than an interruption.
pub fn readable<const N: usize>(
    sockets: [Option<&TcpStream>; N],
    deadline: Instant,
) -> io::Result<[bool; N]> {
    loop {
        let mut fds = Vec::with_capacity(N);
        for socket in sockets.iter().flatten() {
            fds.push(PollFd::new(*socket, PollFlags::IN | PollFlags::RDHUP));
        }
        // The timeout has a resolution of a nanosecond. A coarser one would round the last part of the wait to zero and spin.
        let remaining = deadline.saturating_duration_since(Instant::now());
        let timeout =
            Timespec { tv_sec: remaining.as_secs() as i64, tv_nsec: remaining.subsec_nanos().into() };
        match poll(&mut fds, Some(&timeout)) {
            Ok(0) if Instant::now() < deadline => continue,
            Ok(_) => {}
            Err(rustix::io::Errno::INTR) => continue,
            Err(e) => return Err(e.into()),
        }
        let mut ready = fds.iter().map(|fd| !fd.revents().is_empty());
        return Ok(sockets.map(|socket| socket.is_some() && ready.next().unwrap_or(false)));
    }
}

/// Waits until a connection can be accepted, at most for `max_wait`.
pub fn acceptable(listener: &TcpListener, max_wait: Duration) {
    let mut fds = [PollFd::new(listener, PollFlags::IN)];
    let timeout = Timespec { tv_sec: max_wait.as_secs() as i64, tv_nsec: max_wait.subsec_nanos().into() };
    // The result is ignored, because the caller tries to accept and polls again if there is no connection.
    let _ = poll(&mut fds, Some(&timeout));
}

/// Returns whether the peer has closed or reset the connection. Unread bytes may hide a close that follows them.
pub fn hung_up(socket: &TcpStream) -> bool {
    let mut fds = [PollFd::new(socket, PollFlags::IN | PollFlags::RDHUP)];
    match poll(&mut fds, Some(&NO_WAIT)) {
        Ok(0) => false,
        Ok(_) => {
            let events = fds[0].revents();
            events.intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
        }
        Err(_) => true,
    }
}

/// Returns whether a connection is open and has no bytes to read.
pub fn is_idle(socket: &TcpStream) -> bool {
    let mut fds = [PollFd::new(socket, PollFlags::IN | PollFlags::RDHUP)];
    poll(&mut fds, Some(&NO_WAIT)) == Ok(0)
}

/// Returns the time until the deadline as a timeout of a socket, which is at least one millisecond.
pub fn socket_timeout(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now()).max(MIN_SOCKET_TIMEOUT)
}
