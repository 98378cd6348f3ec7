//! Connections that this side has ended: their last bytes go out, what still comes is read and dropped, and only then is the
//! socket closed.
//!
//! Guards against a close with unread bytes, which the kernel answers with RST: that destroys answers that were written and
//! that the client has not read yet.

use std::collections::BTreeMap;
use std::net::Shutdown;

use beechloft::api::Micros;
use mio::Registry;

use crate::stream::{Got, Stream};

struct Last {
    stream: Stream,
    /// The write side is shut.
    shut: bool,
    /// Bytes read and dropped.
    dropped: usize,
    until: Micros,
}

/// The connections that linger, by token.
#[derive(Default)]
pub(super) struct Lingering {
    all: BTreeMap<usize, Last>,
}

impl Lingering {
    /// Takes over a connection.
    pub fn take(&mut self, token: usize, stream: Stream, until: Micros) {
        self.all.insert(token, Last { stream, shut: false, dropped: 0, until });
    }

    pub fn has(&self, token: usize) -> bool {
        self.all.contains_key(&token)
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Goes on with one whose socket is ready, or that was just taken over.
    pub fn advance(&mut self, token: usize, most: usize, scratch: &mut [u8], registry: &Registry) {
        let Some(last) = self.all.get_mut(&token) else { return };
        if last.advance(most, scratch) {
            self.close(token, registry);
        }
    }

    /// Closes those that have had their time.
    pub fn sweep(&mut self, now: Micros, registry: &Registry) {
        let late: Vec<usize> = self.all.iter().filter(|(_, l)| now >= l.until).map(|(t, _)| *t).collect();
        late.into_iter().for_each(|token| self.close(token, registry));
    }

    /// Closes the oldest, as its descriptor is wanted; whether there was one.
    pub fn make_room(&mut self, registry: &Registry) -> bool {
        let oldest = self.all.iter().min_by_key(|(_, l)| l.until).map(|(t, _)| *t);
        oldest.into_iter().for_each(|token| self.close(token, registry));
        oldest.is_some()
    }

    fn close(&mut self, token: usize, registry: &Registry) {
        if let Some(mut last) = self.all.remove(&token) {
            let _ = registry.deregister(&mut last.stream.socket);
        }
    }
}

impl Last {
    /// Writes, shuts the write side, reads and drops; whether it has come to its end.
    fn advance(&mut self, most: usize, scratch: &mut [u8]) -> bool {
        if self.stream.flush().is_err() {
            return true;
        }
        if self.stream.waiting() == 0 && !std::mem::replace(&mut self.shut, true) {
            // One that is no longer connected is found out by the next read.
            let _ = self.stream.socket.shutdown(Shutdown::Write);
        }
        while self.dropped < most {
            match self.stream.read(scratch) {
                Got::Some(n) => self.dropped += n,
                Got::Nothing => return false,
                Got::End => return true,
            }
        }
        // One that goes on sending is not listened to for ever.
        true
    }
}
