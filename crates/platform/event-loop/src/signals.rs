//! Delivery of SIGHUP and SIGTERM through pipes that the poll watches.

use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream as BlockingUnixStream;

use mio::net::UnixStream;
use mio::{Interest, Registry};
use signal_hook::consts::{SIGHUP, SIGTERM};

use crate::tokens::{SIGHUP_PIPE, SIGTERM_PIPE};

/// Pipe of one signal. Each arrival of the signal writes one byte.
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

    /// Empties the pipe and returns the number of signals, which the capacity of the pipe bounds.
    fn drain(&mut self) -> usize {
        let (mut buffer, mut signals) = ([0; 64], 0);
        while let Ok(count @ 1..) = self.receiver.read(&mut buffer) {
            signals += count;
        }
        signals
    }
}

/// Handlers of SIGHUP and SIGTERM. Once they are installed, neither signal terminates the process.
#[derive(Debug)]
pub(crate) struct Signals {
    hangup: SignalPipe,
    terminate: SignalPipe,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    /// Returns an error if the operating system refuses a pipe or a handler.
    pub fn install() -> io::Result<Signals> {
        Ok(Signals { hangup: SignalPipe::register(SIGHUP)?, terminate: SignalPipe::register(SIGTERM)? })
    }

    /// Registers both pipes with the poll.
    ///
    /// # Errors
    /// Returns an error if the poll refuses a pipe.
    pub fn watch(&mut self, registry: &Registry) -> io::Result<()> {
        registry.register(&mut self.hangup.receiver, SIGHUP_PIPE, Interest::READABLE)?;
        registry.register(&mut self.terminate.receiver, SIGTERM_PIPE, Interest::READABLE)
    }

    /// Returns the number of SIGHUPs since the last call.
    pub fn take_hangups(&mut self) -> usize {
        self.hangup.drain()
    }

    /// Returns the number of SIGTERMs since the last call.
    pub fn take_terminations(&mut self) -> usize {
        self.terminate.drain()
    }

    /// Returns a handle that sends the same signals from within the process.
    ///
    /// # Errors
    /// Returns an error if no file descriptor is available.
    pub fn handle(&self) -> io::Result<SignalHandle> {
        Ok(SignalHandle {
            hangup: self.hangup.sender.try_clone()?,
            terminate: self.terminate.sender.try_clone()?,
        })
    }
}

/// Handle that triggers the effect of SIGHUP or SIGTERM from within the process.
#[derive(Debug)]
pub struct SignalHandle {
    hangup: BlockingUnixStream,
    terminate: BlockingUnixStream,
}

impl SignalHandle {
    /// Makes the loop read its configuration again, as SIGHUP does.
    pub fn reload(&self) {
        // A full pipe already contains a signal.
        let _ = (&self.hangup).write(&[1]);
    }

    /// Makes the loop answer the requests that it has received and stop, as SIGTERM does.
    pub fn terminate(&self) {
        let _ = (&self.terminate).write(&[1]);
    }
}
