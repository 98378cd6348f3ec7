//! All SIP streams of a front on one thread, both those opened by callers and those opened to media servers.
//!
//! Each active call keeps a stream to its media server open, so that a thread per stream would add up to tens of thousands
//! of threads. The sockets are non-blocking. Data that a peer does not read is kept in a bounded buffer, and messages that
//! do not fit into the agent's queue stall only their own stream.

mod event_loop;
mod stream;
mod waker;

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;

use beechloft_sip::transaction::layer::Peer;
use crossbeam_channel::{Sender, unbounded};
use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::event::{EventfdFlags, eventfd};

use self::event_loop::EventLoop;
use self::waker::Waker;
use super::queues::AgentSender;
use crate::Shared;

/// Stack size of the thread.
const THREAD_STACK_BYTES: usize = 256 * 1024;
/// The waker's token in the epoll set, in which streams use the numbers of their connections.
const WAKER_TOKEN: u64 = u64::MAX;

/// A command to the thread.
enum Command {
    Send(Peer, Vec<u8>),
    Close(Peer),
    Adopt(Peer, TcpStream),
}

/// A handle to the thread.
#[derive(Clone)]
pub(crate) struct Streams {
    commands: Sender<Command>,
    waker: Arc<Waker>,
    callers: Arc<AtomicUsize>,
}

impl Streams {
    /// Starts the thread.
    pub(crate) fn start(shared: &Shared, agent: AgentSender) -> io::Result<Streams> {
        let fd = eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?;
        let waker = Arc::new(Waker { fd, pending: AtomicBool::new(false) });
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        epoll::add(&epoll, &waker.fd, EventData::new_u64(WAKER_TOKEN), EventFlags::IN)?;
        let (commands, receiver) = unbounded();
        let callers = Arc::new(AtomicUsize::new(0));
        let event_loop = EventLoop {
            shared: shared.clone(),
            agent,
            epoll,
            waker: waker.clone(),
            commands: receiver,
            open: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            stalled: BTreeSet::new(),
            callers: callers.clone(),
        };
        thread::Builder::new()
            .name("sip-streams".into())
            .stack_size(THREAD_STACK_BYTES)
            .spawn(move || event_loop.run())?;
        Ok(Streams { commands, waker, callers })
    }

    fn command(&self, command: Command) {
        // The thread has ended only if the front has, and then the command has no effect.
        let _ = self.commands.send(command);
        self.waker.wake();
    }

    /// Writes to a peer. A stream to a media server is opened if necessary, but a stream that a caller closed is not.
    pub(crate) fn send(&self, peer: Peer, bytes: Vec<u8>) {
        self.command(Command::Send(peer, bytes));
    }

    /// Closes a stream, after writing as much of its buffered data as the peer accepts at once.
    pub(crate) fn close(&self, peer: Peer) {
        self.command(Command::Close(peer));
    }

    /// Takes over a stream that a caller opened.
    pub(crate) fn adopt(&self, peer: Peer, stream: TcpStream) {
        self.callers.fetch_add(1, Ordering::SeqCst);
        self.command(Command::Adopt(peer, stream));
    }

    /// Returns the number of open streams of callers.
    pub(crate) fn callers(&self) -> usize {
        self.callers.load(Ordering::SeqCst)
    }
}
