//! Releases that viewers are owed for sessions that stood, and what their connections are of use for.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use beechloft::api::Micros;
use beechloft_protocol::CallId;
use beechloft_protocol::viewer::ToViewer;

use crate::io::{Output, ViewerConnection};

/// A release that found no connection is tried for so long; by then its viewer has long gone.
const OWED_FOR: Micros = Micros(10_000_000);
/// So many wait at most; the oldest goes first.
const MOST_OWED: usize = 4096;

/// What a viewers' connection is of use for, least first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionUse {
    /// Nothing yet, or it is known for rubbish alone.
    None,
    /// It has carried the answer of a session that stood: others can be released on it.
    Answered,
    /// Sessions stand that were set up on it.
    Established,
    /// A set-up waits for its answer on it.
    Pending,
}

/// What is known of a viewers' connection.
#[derive(Debug, Default)]
pub(crate) struct Conn {
    /// Set-ups that wait for their answers.
    pub open: BTreeSet<CallId>,
    /// Sessions that stand.
    standing: u32,
    /// A session stood on it once.
    answered: bool,
}

/// Viewers' connections, and releases that wait for one.
#[derive(Debug, Default)]
pub(crate) struct Releases {
    /// Connections on which something was asked for.
    pub conns: BTreeMap<ViewerConnection, Conn>,
    owed: VecDeque<(Micros, ToViewer)>,
}

impl Releases {
    /// What a connection is of use for.
    pub fn use_of(&self, conn: ViewerConnection) -> ConnectionUse {
        match self.conns.get(&conn) {
            Some(c) if !c.open.is_empty() => ConnectionUse::Pending,
            Some(c) if c.standing > 0 => ConnectionUse::Established,
            Some(c) if c.answered => ConnectionUse::Answered,
            _ => ConnectionUse::None,
        }
    }

    /// Says it on the connection of the set-up, else on the newest on which a session has stood, else on the next.
    /// Set-ups that read well make no connection fit for this: a client that sends rubbish would get it, and the
    /// viewer would never hear of its session's end.
    pub fn say(&mut self, now: Micros, conn: ViewerConnection, message: ToViewer, out: &mut Vec<Output>) {
        let newest = || self.conns.iter().rev().find(|(_, c)| c.answered).map(|(id, _)| *id);
        match Some(conn).filter(|c| self.conns.contains_key(c)).or_else(newest) {
            Some(conn) => out.push(Output::SendToViewer(conn, message)),
            None => {
                if self.owed.len() >= MOST_OWED {
                    self.owed.pop_front();
                }
                self.owed.push_back((now, message));
            }
        }
    }

    /// A session stands that was set up on this connection: what was owed goes out on it.
    pub fn stands(&mut self, conn: ViewerConnection, out: &mut Vec<Output>) {
        out.extend(self.owed.drain(..).map(|(_, message)| Output::SendToViewer(conn, message)));
        let c = self.conns.entry(conn).or_default();
        c.answered = true;
        c.standing += 1;
    }

    /// It stands no more.
    pub fn ended(&mut self, conn: ViewerConnection) {
        self.conns.entry(conn).and_modify(|c| c.standing = c.standing.saturating_sub(1));
    }

    /// Forgets what nobody waits for any more.
    pub fn sweep(&mut self, now: Micros) {
        while self.owed.front().is_some_and(|(since, _)| now - *since > OWED_FOR) {
            self.owed.pop_front();
        }
    }

    /// Releases that wait.
    pub fn owed(&self) -> usize {
        self.owed.len()
    }
}
