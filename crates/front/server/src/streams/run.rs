//! The thread: one wait for all streams.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, Read};
use std::net::{Shutdown, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use beechloft_sip::agent::{Input, OWN};
use beechloft_sip::framing::{Framed, Framer};
use beechloft_sip::transaction::layer::Peer;
use crossbeam_channel::Receiver;
use rustix::buffer::spare_capacity;
use rustix::event::Timespec;
use rustix::event::epoll::{self, EventData, EventFlags};
use socket2::{Domain, Socket, Type};
use tracing::debug;

use super::bell::Bell;
use super::stream::{Over, Stream};
use super::{Command, WAKE};
use crate::Shared;
use crate::lanes::ToAgent;

/// A caller's stream without a word for so long is closed.
const IDLE: Duration = Duration::from_secs(120);
/// How often the thread looks whether the front has ended.
const LOOK: Duration = Duration::from_millis(200);
/// How soon a stream whose messages the agent had no room for tries again.
const AGAIN: Duration = Duration::from_millis(5);
/// Bytes read of one stream before the others have their turn.
const TURN: usize = 64 * 1024;
/// Events taken at once.
const EVENTS: usize = 256;

pub(super) struct Run {
    pub(super) shared: Shared,
    pub(super) agent: ToAgent,
    pub(super) epoll: OwnedFd,
    pub(super) bell: Arc<Bell>,
    pub(super) commands: Receiver<Command>,
    /// By the number of their connection.
    pub(super) open: BTreeMap<u64, Stream>,
    pub(super) deadlines: BTreeSet<(Instant, u64)>,
    /// Streams whose messages wait for the agent.
    pub(super) stalled: BTreeSet<u64>,
    pub(super) callers: Arc<AtomicUsize>,
}

impl Run {
    pub(super) fn run(mut self) {
        let mut events: Vec<epoll::Event> = Vec::with_capacity(EVENTS);
        while !self.shared.handle.ended() {
            let wait = self.wait();
            let timeout = Timespec { tv_sec: wait.as_secs() as i64, tv_nsec: wait.subsec_nanos().into() };
            // An interrupted wait is one without events.
            let _ = epoll::wait(&self.epoll, spare_capacity(&mut events), Some(&timeout));
            for event in events.drain(..) {
                match event.data.u64() {
                    WAKE => self.bell.hear(),
                    conn => self.ready(conn, event.flags),
                }
            }
            while let Ok(command) = self.commands.try_recv() {
                self.command(command);
            }
            for conn in std::mem::take(&mut self.stalled) {
                self.hand_over(conn);
            }
            self.due();
        }
    }

    fn wait(&self) -> Duration {
        let due = self.deadlines.first().map_or(LOOK, |d| d.0.saturating_duration_since(Instant::now()));
        due.min(if self.stalled.is_empty() { LOOK } else { AGAIN })
    }

    pub(super) fn command(&mut self, command: Command) {
        match command {
            Command::Send(peer, bytes) => self.send(peer, &bytes),
            Command::Close(peer) => {
                if let Some(stream) = self.open.remove(&peer.conn) {
                    self.close(stream);
                }
            }
            Command::Adopt(peer, socket) => {
                if socket.set_nonblocking(true).is_ok() {
                    self.add(peer, socket, false, Instant::now() + IDLE);
                } else {
                    self.callers.fetch_sub(1, Ordering::SeqCst);
                }
            }
        }
    }

    fn close(&mut self, mut stream: Stream) {
        if !stream.connecting {
            let _ = stream.flush();
        }
        let _ = stream.socket.shutdown(Shutdown::Both);
        self.deadlines.remove(&(stream.until, stream.peer.conn));
        if stream.peer.conn < OWN {
            self.callers.fetch_sub(1, Ordering::SeqCst);
        }
    }

    pub(super) fn send(&mut self, peer: Peer, bytes: &[u8]) {
        if !self.open.contains_key(&peer.conn) {
            if peer.conn < OWN {
                return; // its caller closed it
            }
            if let Err(error) = self.connect(peer) {
                debug!(target: "boxes", peer = %peer.address, %error, "no stream");
                let refused = error.kind() == io::ErrorKind::ConnectionRefused;
                return self.agent.certain(Input::Lost(peer, refused));
            }
        }
        let Some(stream) = self.open.get_mut(&peer.conn) else { return };
        stream.out.extend(bytes);
        if !stream.connecting && stream.flush().is_err() {
            return self.lose(peer.conn, Over::Lost);
        }
        self.look_for(peer.conn);
    }

    fn connect(&mut self, peer: Peer) -> io::Result<()> {
        let socket = Socket::new(Domain::for_address(peer.address), Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        let connecting = match socket.connect(&peer.address.into()) {
            Ok(()) => false,
            Err(e) if e.raw_os_error() == Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => true,
            Err(e) => return Err(e),
        };
        self.add(peer, socket.into(), connecting, Instant::now() + self.shared.settings.connect_time);
        Ok(())
    }

    pub(super) fn add(&mut self, peer: Peer, socket: TcpStream, connecting: bool, until: Instant) {
        let _ = socket.set_nodelay(true);
        let (out, framer, waiting) = (VecDeque::new(), Framer::default(), VecDeque::new());
        let mut stream =
            Stream { peer, socket, connecting, out, framer, waiting, until, interest: EventFlags::empty() };
        stream.interest = stream.wants();
        let data = EventData::new_u64(peer.conn);
        if let Err(error) = epoll::add(&self.epoll, &stream.socket, data, stream.interest) {
            debug!(target: "boxes", peer = %peer.address, %error, "no stream");
            self.close(stream);
            return self.agent.certain(Input::Lost(peer, false));
        }
        self.deadlines.insert((until, peer.conn));
        self.open.insert(peer.conn, stream);
    }

    /// Waits for what the stream wants now.
    fn look_for(&mut self, conn: u64) {
        let Some(stream) = self.open.get_mut(&conn) else { return };
        let wants = stream.wants();
        if wants != stream.interest {
            stream.interest = wants;
            let data = EventData::new_u64(conn);
            if epoll::modify(&self.epoll, &stream.socket, data, wants).is_err() {
                self.lose(conn, Over::Lost);
            }
        }
    }

    fn lose(&mut self, conn: u64, why: Over) {
        let Some(mut stream) = self.open.remove(&conn) else { return };
        stream.out.clear();
        let (peer, waiting) = (stream.peer, std::mem::take(&mut stream.waiting));
        self.close(stream);
        self.stalled.remove(&conn);
        // What it said before it ended was said.
        waiting.into_iter().for_each(|input| self.agent.certain(input));
        self.agent.certain(Input::Lost(peer, matches!(why, Over::Refused)));
    }

    fn ready(&mut self, conn: u64, flags: EventFlags) {
        let Some(stream) = self.open.get_mut(&conn) else { return };
        if stream.connecting {
            return self.connected(conn);
        }
        if flags.contains(EventFlags::OUT) && stream.flush().is_err() {
            return self.lose(conn, Over::Lost);
        }
        if flags.intersects(EventFlags::IN | EventFlags::RDHUP | EventFlags::HUP | EventFlags::ERR) {
            match self.read(conn) {
                Ok(()) => self.hand_over(conn),
                Err(error) => {
                    debug!(target: "http", conn, %error, "stream ended");
                    return self.lose(conn, Over::Lost);
                }
            }
        }
        self.look_for(conn);
    }

    fn connected(&mut self, conn: u64) {
        let Some(stream) = self.open.get_mut(&conn) else { return };
        match stream.socket.take_error() {
            Ok(None) => {
                stream.connecting = false;
                // From now on it stays open for as long as the call wants it.
                self.deadlines.remove(&(stream.until, conn));
                if stream.flush().is_err() {
                    return self.lose(conn, Over::Lost);
                }
                self.look_for(conn);
            }
            Ok(Some(e)) if e.kind() == io::ErrorKind::ConnectionRefused => self.lose(conn, Over::Refused),
            _ => self.lose(conn, Over::Lost),
        }
    }

    /// Reads what is there, up to a turn. Its end is an error: there is nothing to answer on it any more.
    pub(super) fn read(&mut self, conn: u64) -> io::Result<()> {
        let Some(stream) = self.open.get_mut(&conn) else { return Ok(()) };
        let (mut buf, mut framed, mut left) = ([0; 8192], Vec::new(), TURN);
        let mut end = Ok(());
        while left > 0 {
            match stream.socket.read(&mut buf) {
                Ok(0) => end = Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(n) => {
                    left = left.saturating_sub(n);
                    if let Err(error) = stream.framer.push(&buf[..n], &mut framed) {
                        end = Err(io::Error::other(error));
                    } else {
                        continue;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => end = Err(e),
            }
            break;
        }
        if conn < OWN && left < TURN {
            self.deadlines.remove(&(stream.until, conn));
            stream.until = Instant::now() + IDLE;
            self.deadlines.insert((stream.until, conn));
        }
        let now = self.shared.clock.now();
        for part in framed {
            match part {
                Framed::Message(message) => {
                    stream.waiting.push_back(Input::Received(stream.peer, message, now));
                }
                Framed::Ping => stream.out.extend(b"\r\n"),
            }
        }
        stream.flush()?;
        end
    }

    /// Hands over what a stream said. A caller's new call may find no room; then the stream is not read meanwhile.
    fn hand_over(&mut self, conn: u64) {
        let Some(stream) = self.open.get_mut(&conn) else { return };
        while let Some(input) = stream.waiting.pop_front() {
            if conn >= OWN {
                self.agent.certain(input);
            } else if let Err(input) = self.agent.streamed(input) {
                stream.waiting.push_front(input);
                self.stalled.insert(conn);
                break;
            }
        }
        self.look_for(conn);
    }

    /// Streams that did not connect in time, and callers that have been silent for too long.
    fn due(&mut self) {
        let now = Instant::now();
        while let Some((_, conn)) = self.deadlines.first().copied().filter(|d| d.0 <= now) {
            self.deadlines.pop_first();
            self.lose(conn, Over::Lost);
        }
    }
}
