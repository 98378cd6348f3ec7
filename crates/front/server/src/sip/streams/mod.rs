//! All SIP streams of a front on one thread: those that callers opened and those that this front opens to media servers.
//!
//! An active call holds a stream to its media server for as long as it lasts, so that a thread or two for each would be
//! tens of thousands. Sockets here never block; what a peer does not read waits in a bounded buffer, and what the agent does
//! not take yet keeps only its own stream waiting.

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

/// The stack of the thread, bytes.
const THREAD_STACK: usize = 256 * 1024;
/// The number of the waker among the streams' numbers.
const WAKE: u64 = u64::MAX;

/// A command to the thread.
enum Command {
    Send(Peer, Vec<u8>),
    Close(Peer),
    Adopt(Peer, TcpStream),
}

/// The way to the thread.
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
        epoll::add(&epoll, &waker.fd, EventData::new_u64(WAKE), EventFlags::IN)?;
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
            .stack_size(THREAD_STACK)
            .spawn(move || event_loop.run())?;
        Ok(Streams { commands, waker, callers })
    }

    fn command(&self, command: Command) {
        // The thread ends with the front; what comes after concerns nobody any more.
        let _ = self.commands.send(command);
        self.waker.wake();
    }

    /// Writes to a peer. A stream to a media server that is not open is opened; a caller's is gone for good.
    pub(crate) fn send(&self, peer: Peer, bytes: Vec<u8>) {
        self.command(Command::Send(peer, bytes));
    }

    /// Closes a stream, after what was written to it as far as the peer takes it.
    pub(crate) fn close(&self, peer: Peer) {
        self.command(Command::Close(peer));
    }

    /// Takes over a stream that a caller opened.
    pub(crate) fn adopt(&self, peer: Peer, stream: TcpStream) {
        self.callers.fetch_add(1, Ordering::SeqCst);
        self.command(Command::Adopt(peer, stream));
    }

    /// Streams of callers that are open.
    pub(crate) fn callers(&self) -> usize {
        self.callers.load(Ordering::SeqCst)
    }
}
