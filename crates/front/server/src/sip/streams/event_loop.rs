//! The event loop of all streams.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, Read};
use std::net::{Shutdown, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use beechloft_sip::agent::{AGENT_ID_BIT, Input};
use beechloft_sip::framing::{Framed, Framer};
use beechloft_sip::transaction::layer::Peer;
use crossbeam_channel::Receiver;
use rustix::buffer::spare_capacity;
use rustix::event::Timespec;
use rustix::event::epoll::{self, EventData, EventFlags};
use socket2::{Domain, Socket, Type};
use tracing::debug;

use super::super::queues::AgentSender;
use super::stream::{LossReason, Stream};
use super::waker::Waker;
use super::{Command, WAKER_TOKEN};
use crate::Shared;

/// Time without data after which a caller's stream is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Interval at which the thread checks whether the front has ended.
const END_POLL: Duration = Duration::from_millis(200);
/// Pause before messages that did not fit into the agent's queue are delivered again.
const RETRY_PAUSE: Duration = Duration::from_millis(5);
/// Maximum number of bytes that are read from one stream before other streams are served.
const MAX_BYTES_PER_EVENT: usize = 64 * 1024;
/// Size of the buffer of a single read.
const READ_BUFFER_BYTES: usize = 8192;
/// Maximum number of events that are received in one wait.
const MAX_EVENTS: usize = 256;

pub(super) struct EventLoop {
    pub(super) shared: Shared,
    pub(super) agent: AgentSender,
    pub(super) epoll: OwnedFd,
    pub(super) waker: Arc<Waker>,
    pub(super) commands: Receiver<Command>,
    /// Open streams, by the numbers of their connections.
    pub(super) open: BTreeMap<u64, Stream>,
    pub(super) deadlines: BTreeSet<(Instant, u64)>,
    /// Streams with messages that did not fit into the agent's queue.
    pub(super) stalled: BTreeSet<u64>,
    pub(super) callers: Arc<AtomicUsize>,
}

impl EventLoop {
    pub(super) fn run(mut self) {
        let mut events: Vec<epoll::Event> = Vec::with_capacity(MAX_EVENTS);
        while !self.shared.handle.ended() {
            let wait = self.wait();
            let tv_sec = i64::try_from(wait.as_secs()).unwrap_or(i64::MAX);
            let timeout = Timespec { tv_sec, tv_nsec: wait.subsec_nanos().into() };
            // An interrupted wait counts as one without events.
            let _ = epoll::wait(&self.epoll, spare_capacity(&mut events), Some(&timeout));
            for event in events.drain(..) {
                match event.data.u64() {
                    WAKER_TOKEN => self.waker.clear(),
                    conn => self.ready(conn, event.flags),
                }
            }
            while let Ok(command) = self.commands.try_recv() {
                self.command(command);
            }
            for conn in std::mem::take(&mut self.stalled) {
                self.deliver(conn);
            }
            self.close_overdue();
        }
    }

    fn wait(&self) -> Duration {
        let due =
            self.deadlines.first().map_or(END_POLL, |(at, _)| at.saturating_duration_since(Instant::now()));
        due.min(if self.stalled.is_empty() { END_POLL } else { RETRY_PAUSE })
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
                    self.add(peer, socket, false, Instant::now() + IDLE_TIMEOUT);
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
        self.deadlines.remove(&(stream.deadline, stream.peer.conn));
        if stream.peer.conn < AGENT_ID_BIT {
            self.callers.fetch_sub(1, Ordering::SeqCst);
        }
    }

    pub(super) fn send(&mut self, peer: Peer, bytes: &[u8]) {
        if !self.open.contains_key(&peer.conn) {
            if peer.conn < AGENT_ID_BIT {
                return; // the caller closed the stream
            }
            if let Err(error) = self.connect(peer) {
                debug!(target: "boxes", peer = %peer.address, %error, "failed to open a stream");
                let refused = error.kind() == io::ErrorKind::ConnectionRefused;
                return self.agent.reliable(Input::ConnectionLost(peer, refused));
            }
        }
        let Some(stream) = self.open.get_mut(&peer.conn) else { return };
        stream.unsent.extend(bytes);
        if !stream.connecting && stream.flush().is_err() {
            return self.lose(peer.conn, LossReason::Broken);
        }
        self.update_interest(peer.conn);
    }

    fn connect(&mut self, peer: Peer) -> io::Result<()> {
        let socket = Socket::new(Domain::for_address(peer.address), Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        let connecting = match socket.connect(&peer.address.into()) {
            Ok(()) => false,
            Err(error) if error.raw_os_error() == Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => true,
            Err(error) => return Err(error),
        };
        self.add(peer, socket.into(), connecting, Instant::now() + self.shared.settings.connect_timeout);
        Ok(())
    }

    pub(super) fn add(&mut self, peer: Peer, socket: TcpStream, connecting: bool, deadline: Instant) {
        let _ = socket.set_nodelay(true);
        let mut stream = Stream {
            peer,
            socket,
            connecting,
            unsent: VecDeque::new(),
            framer: Framer::default(),
            undelivered: VecDeque::new(),
            deadline,
            interest: EventFlags::empty(),
        };
        stream.interest = stream.wanted_events();
        let data = EventData::new_u64(peer.conn);
        if let Err(error) = epoll::add(&self.epoll, &stream.socket, data, stream.interest) {
            debug!(target: "boxes", peer = %peer.address, %error, "failed to open a stream");
            self.close(stream);
            return self.agent.reliable(Input::ConnectionLost(peer, false));
        }
        self.deadlines.insert((deadline, peer.conn));
        self.open.insert(peer.conn, stream);
    }

    /// Registers the events that the stream waits for now.
    fn update_interest(&mut self, conn: u64) {
        let Some(stream) = self.open.get_mut(&conn) else { return };
        let wanted = stream.wanted_events();
        if wanted != stream.interest {
            stream.interest = wanted;
            let data = EventData::new_u64(conn);
            if epoll::modify(&self.epoll, &stream.socket, data, wanted).is_err() {
                self.lose(conn, LossReason::Broken);
            }
        }
    }

    fn lose(&mut self, conn: u64, reason: LossReason) {
        let Some(mut stream) = self.open.remove(&conn) else { return };
        stream.unsent.clear();
        let (peer, mut inputs) = (stream.peer, std::mem::take(&mut stream.undelivered));
        self.close(stream);
        self.stalled.remove(&conn);
        let lost = Input::ConnectionLost(peer, matches!(reason, LossReason::Refused));
        // Messages that were received before the stream ended are still delivered. The agent learns of a caller's end first, so
        // that it sets up no call for it.
        if conn < AGENT_ID_BIT {
            inputs.push_front(lost);
        } else {
            inputs.push_back(lost);
        }
        for input in inputs {
            self.agent.reliable(input);
        }
    }

    fn ready(&mut self, conn: u64, flags: EventFlags) {
        let Some(stream) = self.open.get_mut(&conn) else { return };
        if stream.connecting {
            return self.connected(conn);
        }
        if flags.contains(EventFlags::OUT) && stream.flush().is_err() {
            return self.lose(conn, LossReason::Broken);
        }
        if flags.intersects(EventFlags::IN | EventFlags::RDHUP | EventFlags::HUP | EventFlags::ERR) {
            match self.read(conn) {
                Ok(()) => self.deliver(conn),
                Err(error) => {
                    debug!(target: "http", conn, %error, "stream ended");
                    return self.lose(conn, LossReason::Broken);
                }
            }
        }
        self.update_interest(conn);
    }

    fn connected(&mut self, conn: u64) {
        let Some(stream) = self.open.get_mut(&conn) else { return };
        match stream.socket.take_error() {
            Ok(None) => {
                stream.connecting = false;
                // A connected stream has no deadline and stays open until the agent closes it.
                self.deadlines.remove(&(stream.deadline, conn));
                if stream.flush().is_err() {
                    return self.lose(conn, LossReason::Broken);
                }
                self.update_interest(conn);
            }
            Ok(Some(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                self.lose(conn, LossReason::Refused)
            }
            _ => self.lose(conn, LossReason::Broken),
        }
    }

    /// Reads available data, up to [`MAX_BYTES_PER_EVENT`]. The end of the stream is an error, as nothing can be answered on
    /// it any more.
    pub(super) fn read(&mut self, conn: u64) -> io::Result<()> {
        let Some(stream) = self.open.get_mut(&conn) else { return Ok(()) };
        let (mut buffer, mut framed, mut left) = ([0; READ_BUFFER_BYTES], Vec::new(), MAX_BYTES_PER_EVENT);
        let mut end = Ok(());
        while left > 0 {
            match stream.socket.read(&mut buffer) {
                Ok(0) => end = Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(length) => {
                    left = left.saturating_sub(length);
                    if let Err(error) = stream.framer.push(&buffer[..length], &mut framed) {
                        end = Err(io::Error::other(error));
                    } else {
                        continue;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) => end = Err(error),
            }
            break;
        }
        if conn < AGENT_ID_BIT && left < MAX_BYTES_PER_EVENT {
            self.deadlines.remove(&(stream.deadline, conn));
            stream.deadline = Instant::now() + IDLE_TIMEOUT;
            self.deadlines.insert((stream.deadline, conn));
        }
        let now = self.shared.clock.now();
        for part in framed {
            match part {
                Framed::Message(message) => {
                    stream.undelivered.push_back(Input::Received(stream.peer, message, now));
                }
                Framed::Ping => stream.unsent.extend(b"\r\n"),
            }
        }
        stream.flush()?;
        end
    }

    /// Delivers a stream's messages to the agent. If the queue is full, the stream is not read until the rest is delivered.
    fn deliver(&mut self, conn: u64) {
        let Some(stream) = self.open.get_mut(&conn) else { return };
        while let Some(input) = stream.undelivered.pop_front() {
            if conn >= AGENT_ID_BIT {
                self.agent.reliable(input);
            } else if let Err(input) = self.agent.streamed(input) {
                stream.undelivered.push_front(input);
                self.stalled.insert(conn);
                break;
            }
        }
        self.update_interest(conn);
    }

    /// Closes streams that did not connect in time and streams of callers that were idle for [`IDLE_TIMEOUT`].
    fn close_overdue(&mut self) {
        let now = Instant::now();
        while let Some((_, conn)) = self.deadlines.first().copied().filter(|(at, _)| *at <= now) {
            self.deadlines.pop_first();
            self.lose(conn, LossReason::Broken);
        }
    }
}
