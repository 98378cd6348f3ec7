//! The end of a front node after SIGTERM: what is owed to whom, and in which order it is done.

use beechloft::api::Micros;
use tracing::info;

use crate::run::Shell;

/// How far the end has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum Ending {
    /// Not told to end, or told a short while ago: everything is served.
    #[default]
    Serves,
    /// Nobody is accepted any more; what has been taken is answered.
    Answers,
    /// All is answered; connections come to their ends.
    Closes,
}

impl Shell {
    /// Goes on with the end, if SIGTERM has come; whether it is done.
    ///
    /// Each step looks at what has arrived once more before anything is given up: at connections that wait in the listener,
    /// at messages in the kernel's buffers, at lines that have not left. Guards against requests that cross the end.
    pub(crate) fn end(&mut self, now: Micros) -> bool {
        let Some(since) = self.node.terminated() else { return false };
        let passed = now - since;
        if passed >= self.bounds.end_by {
            // What has not come to its end by now would be cut off by SIGKILL as well.
            info!("front node ends, with time up");
            return true;
        }
        if self.ending == Ending::Serves && passed >= self.bounds.serve_on && self.accept_all(now) {
            self.stop_listening();
            self.ending = Ending::Answers;
        }
        if self.ending == Ending::Answers && self.all_answered() {
            self.ending = Ending::Closes;
        }
        if self.ending == Ending::Closes && self.all_closed(now) {
            info!("front node ends");
            return true;
        }
        false
    }

    /// Takes whoever waits in the listener, as closing it would reset them; whether there is nobody left.
    fn accept_all(&mut self, now: Micros) -> bool {
        // As many as a listener holds, by turns of 64.
        const MOST_TURNS: usize = 64;
        for _ in 0..MOST_TURNS {
            self.viewers.accepting = true;
            self.accept(now);
            if !self.viewers.accepting {
                return !self.viewers.held_up();
            }
        }
        false
    }

    fn all_answered(&self) -> bool {
        let nothing_more = self.more.is_empty() && self.inputs.is_empty() && !self.viewers.unheard();
        nothing_more && self.node.counts().pending == 0 && self.viewers.waiting() == 0
    }

    fn all_closed(&mut self, now: Micros) -> bool {
        let use_of = |conn| self.node.connection_use(conn);
        let mut desk = crate::viewers::Desk { now, registry: self.poll.registry(), inputs: &mut self.inputs };
        let closed = self.viewers.end(&use_of, &mut desk);
        let (servers, mut turn) = self.servers_turn(now);
        servers.hear_out(&mut turn);
        // What media servers said last is heard in this turn still; what it brings about may have to leave.
        closed && self.inputs.is_empty() && self.node.counts().pending == 0 && self.servers.quiet()
    }
}
