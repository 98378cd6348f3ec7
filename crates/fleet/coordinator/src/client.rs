//! The way to keepers for those who ask.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use beechloft_consensus::NodeId;
use beechloft_leases::{HolderInput, LeaderLocator, Name, Request, Response};
use crossbeam_channel::{Receiver, Sender, bounded};

use crate::history::Book;
use crate::settings::FleetSettings;
use crate::wire::{self, Message, ReplicaStatus};

const CONNECT: Duration = Duration::from_millis(200);
const WRITE: Duration = Duration::from_millis(200);

/// Asks one keeper how it stands.
pub fn status(set: &FleetSettings, keeper: SocketAddr, within: Duration) -> Option<ReplicaStatus> {
    match call(set, keeper, &Message::GetStatus, within)? {
        Message::Status(status) => Some(status),
        _ => None,
    }
}

/// Asks a process of the fleet whom it sees; none: it does not answer, or is no member.
pub fn members(set: &FleetSettings, of: SocketAddr, within: Duration) -> Option<Vec<wire::MemberView>> {
    match call(set, of, &Message::GetMembers, within)? {
        Message::Members(seen) => seen,
        _ => None,
    }
}

/// Asks a keeper, and hears what it says first.
pub fn call(set: &FleetSettings, keeper: SocketAddr, word: &Message, within: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&set.reach(keeper), within).ok()?;
    stream.set_read_timeout(Some(within)).ok()?;
    stream.set_write_timeout(Some(within)).ok()?;
    stream.write_all(&wire::encode(set.number(), word)?).ok()?;
    wire::read(set.number(), &mut stream).ok()
}

/// All grants, from the keeper that leads.
pub fn list(set: &FleetSettings, within: Duration) -> Option<Vec<wire::LeaseInfo>> {
    match ask_leader(set, &Message::ListLeases, within)? {
        Message::Leases(lines) => Some(lines),
        _ => None,
    }
}

/// What one who watches hears.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchEvent {
    /// How things stand; again after each connection that was lost, as something may have been missed.
    Snapshot(Vec<wire::LeaseInfo>),
    /// A grant was made or has ended.
    Changed(wire::LeaseChange),
}

/// Watches a task's grants, or all, by whichever keeper leads, until `hear` wants no more.
pub fn watch(set: &FleetSettings, name: Option<&Name>, mut hear: impl FnMut(WatchEvent) -> bool) {
    let mut route = LeaderLocator::new(set.keepers.len(), 0);
    loop {
        let keeper = set.keepers[route.next_target()];
        if let Some(mut stream) = open_watch(set, keeper, name) {
            loop {
                match wire::read(set.number(), &mut stream) {
                    Ok(Message::Leases(mut lines)) => {
                        route.on_response();
                        lines.retain(|l| name.is_none_or(|n| n.to_string() == l.name));
                        if !hear(WatchEvent::Snapshot(lines)) {
                            return;
                        }
                    }
                    Ok(Message::LeaseChanged(line)) => {
                        if !hear(WatchEvent::Changed(line)) {
                            return;
                        }
                    }
                    Ok(Message::NotLeader(leader)) => {
                        route.on_not_leader(place(set, leader.as_deref()));
                        break;
                    }
                    _ => break,
                }
            }
        }
        thread::sleep(Duration::from_millis(rand::random_range(50..150)));
    }
}

/// A connection on which nothing comes for so long is opened anew: guards against a keeper that is cut off and does not
/// know, whose silence looks like nothing to tell.
const SILENT: Duration = Duration::from_secs(5);

fn open_watch(set: &FleetSettings, keeper: SocketAddr, name: Option<&Name>) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&set.reach(keeper), CONNECT).ok()?;
    stream.set_read_timeout(Some(SILENT)).ok()?;
    stream.set_write_timeout(Some(WRITE)).ok()?;
    stream.write_all(&wire::encode(set.number(), &Message::WatchLeases(name.cloned()))?).ok()?;
    Some(stream)
}

/// Has a keeper that was lost with its disk let go, for the one that came up in its place.
pub fn replace(
    set: &FleetSettings,
    old: NodeId,
    new: NodeId,
    within: Duration,
) -> Option<Result<(), String>> {
    match ask_leader(set, &Message::ReplaceReplica { old, new }, within)? {
        Message::ReplaceResult(taken) => Some(taken),
        _ => None,
    }
}

/// Asks whichever keeper leads, until one answers.
fn ask_leader(set: &FleetSettings, word: &Message, within: Duration) -> Option<Message> {
    let until = Instant::now() + within;
    let mut route = LeaderLocator::new(set.keepers.len(), 0);
    while Instant::now() < until {
        let keeper = set.keepers[route.next_target()];
        match call(set, keeper, word, Duration::from_millis(500)) {
            Some(Message::NotLeader(leader)) => route.on_not_leader(place(set, leader.as_deref())),
            None | Some(Message::LeaseResponse(_)) => {}
            Some(answer) => return Some(answer),
        }
        thread::sleep(Duration::from_millis(50));
    }
    None
}

fn place(set: &FleetSettings, leader: Option<&str>) -> Option<usize> {
    let address: SocketAddr = leader?.parse().ok()?;
    set.keepers.iter().position(|k| *k == address)
}

/// A holder's connection to whichever keeper leads.
pub struct LeaderConnection {
    set: FleetSettings,
    route: LeaderLocator,
    conn: Option<(usize, TcpStream)>,
    hears: Sender<Message>,
    heard: Receiver<Message>,
    book: Book,
}

impl LeaderConnection {
    /// A way that begins at any keeper.
    pub fn new(set: FleetSettings) -> LeaderConnection {
        let route = LeaderLocator::new(set.keepers.len(), rand::random_range(0..set.keepers.len().max(1)));
        let (hears, heard) = bounded(64);
        let book = Book::open(set.test_history.as_deref());
        LeaderConnection { set, route, conn: None, hears, heard, book }
    }

    /// Sends a request; what can't be sent is lost, as on any network.
    pub fn send(&mut self, request: Request) {
        self.say(&Message::LeaseRequest(request));
    }

    /// Says a word to the keeper that leads, as far as is known; what can't be sent is lost, as on any network.
    pub fn say(&mut self, word: &Message) {
        let at = self.route.next_target();
        if self.conn.as_ref().is_none_or(|c| c.0 != at) {
            self.conn = self.open(at);
        }
        if let Message::LeaseRequest(request) = word {
            self.book.asks(request);
        }
        let bytes = wire::encode(self.set.number(), word);
        if let (Some((_, stream)), Some(bytes)) = (&mut self.conn, bytes)
            && stream.write_all(&bytes).is_err()
        {
            self.conn = None;
        }
    }

    fn open(&mut self, at: usize) -> Option<(usize, TcpStream)> {
        if let Some((_, old)) = self.conn.take() {
            let _ = old.shutdown(Shutdown::Both);
        }
        let stream = TcpStream::connect_timeout(&self.set.reach(self.set.keepers[at]), CONNECT).ok()?;
        let _ = stream.set_nodelay(true);
        stream.set_write_timeout(Some(WRITE)).ok()?;
        let (mut reads, number, heard) = (stream.try_clone().ok()?, self.set.number(), self.hears.clone());
        thread::Builder::new()
            .name("hears".into())
            .stack_size(128 << 10)
            .spawn(move || {
                while let Ok(word) = wire::read(number, &mut reads) {
                    if heard.send(word).is_err() {
                        return;
                    }
                }
            })
            .ok()?;
        Some((at, stream))
    }

    /// What a keeper has said to a holder, if one says something by then.
    pub fn hear(&mut self, within: Duration) -> Option<HolderInput> {
        match self.hear_word(within)? {
            Message::LeaseResponse(heard) => {
                self.book.hears(&heard);
                Some(HolderInput::Response(heard))
            }
            Message::NotLeader(_) => Some(HolderInput::Response(Response::NotLeader(None))),
            _ => None,
        }
    }

    /// What a keeper has said, if one says something by then.
    pub fn hear_word(&mut self, within: Duration) -> Option<Message> {
        let word = self.heard.recv_timeout(within).ok()?;
        match &word {
            Message::NotLeader(leader) => self.route.on_not_leader(place(&self.set, leader.as_deref())),
            _ => self.route.on_response(),
        }
        Some(word)
    }
}
