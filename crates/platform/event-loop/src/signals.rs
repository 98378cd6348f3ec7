//! SIGHUP and SIGTERM as pipes that the poll watches.

use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream as BlockingUnixStream;

use mio::net::UnixStream;
use mio::{Interest, Registry};
use signal_hook::consts::{SIGHUP, SIGTERM};

use crate::tokens::{SIGHUP_PIPE, SIGTERM_PIPE};

/// The pipe of one signal: each arrival writes a byte.
#[derive(Debug)]
struct SignalPipe {
    receiver: UnixStream,
    sender: BlockingUnixStream,
}

impl SignalPipe {
    fn register(signal: i32) -> io::Result<SignalPipe> {
        let (receiver, sender) = BlockingUnixStream::pair()?;
        receiver.set_nonblocking(true)?;
        sender.set_nonblocking(true)?;
        signal_hook::low_level::pipe::register(signal, sender.try_clone()?)?;
        Ok(SignalPipe { receiver: UnixStream::from_std(receiver), sender })
    }

    /// Empties the pipe; how many signals there were, up to the pipe's size.
    fn drain(&mut self) -> usize {
        let (mut buffer, mut signals) = ([0; 64], 0);
        while let Ok(count @ 1..) = self.receiver.read(&mut buffer) {
            signals += count;
        }
        signals
    }
}

/// The signals that the loop handles. From its creation on, neither ends the process any more.
#[derive(Debug)]
pub(crate) struct Signals {
    hangup: SignalPipe,
    terminate: SignalPipe,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    /// The system gives no pipe or refuses a handler.
    pub fn install() -> io::Result<Signals> {
        Ok(Signals { hangup: SignalPipe::register(SIGHUP)?, terminate: SignalPipe::register(SIGTERM)? })
    }

    /// Has the poll watch both pipes.
    ///
    /// # Errors
    /// The poll refuses a pipe.
    pub fn watch(&mut self, registry: &Registry) -> io::Result<()> {
        registry.register(&mut self.hangup.receiver, SIGHUP_PIPE, Interest::READABLE)?;
        registry.register(&mut self.terminate.receiver, SIGTERM_PIPE, Interest::READABLE)
    }

    /// Takes the SIGHUPs that have arrived.
    pub fn take_hangups(&mut self) -> usize {
        self.hangup.drain()
    }

    /// Takes the SIGTERMs that have arrived.
    pub fn take_terminations(&mut self) -> usize {
        self.terminate.drain()
    }

    /// A handle that sends the same signals from within the process.
    ///
    /// # Errors
    /// There is no descriptor left.
    pub fn handle(&self) -> io::Result<SignalHandle> {
        Ok(SignalHandle {
            hangup: self.hangup.sender.try_clone()?,
            terminate: self.terminate.sender.try_clone()?,
        })
    }
}

/// Sends the loop from within the process what signals send it from outside.
#[derive(Debug)]
pub struct SignalHandle {
    hangup: BlockingUnixStream,
    terminate: BlockingUnixStream,
}

impl SignalHandle {
    /// The same as SIGHUP: the loop reads its configuration again.
    pub fn reload(&self) {
        // A full pipe already holds enough signals.
        let _ = (&self.hangup).write(&[1]);
    }

    /// The same as SIGTERM: the loop answers what it has taken, and stops.
    pub fn terminate(&self) {
        let _ = (&self.terminate).write(&[1]);
    }
}
