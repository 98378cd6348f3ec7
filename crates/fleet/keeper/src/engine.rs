//! The one thread that has the machine and the disk.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use beechloft_consensus::{
    Change, Disk, Input, MemberId, Membership, Outputs, Save, Settings, Snapshot, Stored, Ticket,
};
use beechloft_leases::{Asked, ClientId, Event, Heard, Keeper, KeeperOutput, Table, TableError};
use beechloft_members::Kind;
use beechloft_store::StoreError;
use crossbeam_channel::{Receiver, RecvTimeoutError, bounded};
use thiserror::Error;
use tracing::{info, warn};

use crate::links::{Came, ConnId, Conns, Peer};
use crate::peers::Peers;
use crate::settings::FleetSettings;
use crate::store::{LogStore, OpenError};
use crate::wire::{self, ChangeLine, LeaseLine, MemberLine, StatusLine, Word};

/// Words taken before one commit.
const A_TURN: usize = 256;
/// From one look at who belongs to the group to the next.
const LOOK: Duration = Duration::from_millis(250);

/// Why a keeper can't start, or stopped.
#[derive(Debug, Error)]
pub enum StartError {
    /// Its settings lack something that a keeper needs.
    #[error("fleet.{0}: missing, and a keeper needs it")]
    Missing(&'static str),
    /// It is no keeper.
    #[error("fleet.listen: {0} is none of fleet.keepers")]
    NoKeeper(SocketAddr),
    /// Its folder.
    #[error("{folder}: {error}", folder = .folder.display())]
    Open {
        /// Which.
        folder: PathBuf,
        /// Why.
        error: OpenError,
    },
    /// A save failed: what the disk holds is not known, so this member must not go on.
    #[error("the disk failed, and this keeper stops for good: {0}")]
    Disk(#[from] StoreError),
    /// The table can't be read.
    #[error(transparent)]
    Table(#[from] TableError),
    /// Sockets or threads.
    #[error("{0}: {1}")]
    Io(&'static str, io::Error),
}

/// What other keepers have said of themselves.
#[derive(Debug, Clone, Copy)]
struct Met {
    id: MemberId,
    formed: bool,
}

/// A keeper that runs.
pub struct Keeping {
    set: FleetSettings,
    address: SocketAddr,
    id: MemberId,
    keeper: Keeper,
    disk: LogStore,
    conns: Conns,
    peers: BTreeMap<SocketAddr, Peer>,
    came: Receiver<Came>,
    end: Arc<AtomicBool>,
    /// Whether it has been a member of a group, for those who say hello in its name.
    formed: Arc<Mutex<bool>>,
    met: BTreeMap<SocketAddr, Met>,
    look_at: Duration,
    tickets: u64,
    /// Who asked for a change that the log has not taken yet.
    asked: BTreeMap<Ticket, ConnId>,
    clock: Box<dyn Fn() -> Duration + Send>,
    /// As a member, if its settings name seeds.
    members: Option<Arc<Peers>>,
}

impl Keeping {
    /// Opens its folder and begins to listen.
    ///
    /// # Errors
    /// As [`StartError`] says; nothing was changed then.
    pub fn start(set: FleetSettings, end: Arc<AtomicBool>) -> Result<Keeping, StartError> {
        Keeping::start_as(Kind::Keeper, set, end)
    }

    /// The same within a process that is something else besides, as a front may be.
    ///
    /// # Errors
    /// As [`StartError`] says; nothing was changed then.
    pub fn start_as(kind: Kind, set: FleetSettings, end: Arc<AtomicBool>) -> Result<Keeping, StartError> {
        let address = set.listen.ok_or(StartError::Missing("listen"))?;
        let folder = set.store.clone().ok_or(StartError::Missing("store"))?;
        if !set.keepers.contains(&address) {
            return Err(StartError::NoKeeper(address));
        }
        let (disk, id, stored) = LogStore::open(&folder, &set.name)
            .map_err(|error| StartError::Open { folder: folder.clone(), error })?;
        let listener =
            TcpListener::bind(address).map_err(|e| StartError::Io("the address can't be listened on", e))?;
        let formed = Arc::new(Mutex::new(has_formed(&stored)));
        let clock = Box::new(set.clock());
        let keeper = Keeper::new(id, Settings::default(), stored, set.drift, rand::random(), clock())?;
        let (queue, came) = bounded(4096);
        let conns = Conns::default();
        conns.accept(listener, set.number(), queue).map_err(|e| StartError::Io("no threads", e))?;
        let mut peers = BTreeMap::new();
        for peer in set.keepers.iter().filter(|a| **a != address) {
            let (known, number) = (Arc::clone(&formed), set.number());
            let hello = move || {
                let formed = *known.lock().unwrap_or_else(PoisonError::into_inner);
                wire::encode(number, &Word::Hello { id, listen: address.to_string(), formed })
            };
            let link = Peer::start(set.reach(*peer), hello, Arc::clone(&end))
                .map_err(|e| StartError::Io("no threads", e))?;
            peers.insert(*peer, link);
        }
        let members = match set.seeds.is_empty() {
            true => None,
            false => {
                let peers = Peers::start(&set, kind).map_err(|e| StartError::Io("no member", e))?;
                Some(Arc::new(peers))
            }
        };
        info!(id = %id, %address, fleet = set.name, "keeper is up");
        Ok(Keeping {
            look_at: clock(),
            set,
            address,
            id,
            keeper,
            disk,
            conns,
            peers,
            came,
            end,
            formed,
            met: BTreeMap::new(),
            tickets: 0,
            asked: BTreeMap::new(),
            clock,
            members,
        })
    }

    /// This process as a member, if it is one.
    pub fn members(&self) -> Option<Arc<Peers>> {
        self.members.clone()
    }

    /// Keeps until it is told to end.
    ///
    /// # Errors
    /// The disk, or a snapshot that is no table: it must not go on.
    pub fn run(&mut self) -> Result<(), StartError> {
        while !self.end.load(Ordering::Relaxed) {
            let due = self.keeper.next_due().min(self.look_at).saturating_sub((self.clock)());
            let mut out = Outputs::default();
            match self.came.recv_timeout(due.min(Duration::from_millis(100))) {
                Ok(came) => {
                    self.take(came, &mut out);
                    // Whatever else has come goes into the same save.
                    for _ in 0..A_TURN {
                        let Ok(came) = self.came.try_recv() else { break };
                        self.take(came, &mut out);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            let now = (self.clock)();
            self.keeper.handle(now, Asked::Tick, &mut out);
            if now >= self.look_at {
                self.look_at = now + LOOK;
                self.look(now, &mut out)?;
            }
            let released = out.commit(&mut self.disk)?;
            for output in self.keeper.released((self.clock)(), released)? {
                self.put_out(output);
            }
            let formed = self.keeper.status().members.iter().next().is_some();
            *self.formed.lock().unwrap_or_else(PoisonError::into_inner) |= formed;
        }
        if let Some(members) = &self.members {
            members.leave();
        }
        info!("keeper ends");
        Ok(())
    }

    fn take(&mut self, came: Came, out: &mut Outputs) {
        let now = (self.clock)();
        let (conn, word) = match came {
            Came::Word(conn, word) => (conn, word),
            Came::Closed(conn) => return self.keeper.handle(now, Asked::Closed(ClientId(conn.0)), out),
        };
        let client = ClientId(conn.0);
        match word {
            Word::Hello { id, listen, formed } => {
                if let Some(address) = listen.parse().ok().filter(|a| self.set.keepers.contains(a)) {
                    self.met.insert(address, Met { id, formed });
                }
            }
            Word::Peer(message) => self.keeper.handle(now, Asked::Peer(message), out),
            Word::Ask(request) if self.serves() => {
                self.keeper.handle(now, Asked::Request(client, request), out)
            }
            Word::List if self.serves() => self.keeper.handle(now, Asked::List(client), out),
            Word::Watch(name) if self.serves() => self.keeper.handle(now, Asked::Watch(client, name), out),
            Word::Ask(_) | Word::List | Word::Watch(_) => self.say(conn, &Word::Heard(Heard::Busy)),
            Word::Status => self.say(conn, &Word::StatusIs(self.status())),
            Word::Replace { old, new } => self.replace(conn, old, new, out),
            Word::Members => {
                let seen = self.members.as_ref().map(|m| m.seen());
                self.say(conn, &Word::MembersAre(seen));
            }
            Word::MembersAre(_)
            | Word::Changed(_)
            | Word::Heard(_)
            | Word::NotLeader(_)
            | Word::Listed(_)
            | Word::StatusIs(_)
            | Word::Replacing(_) => {}
        }
    }

    /// Removes a member that was lost with its disk, if the one that came up in its place has been met there. That one is let
    /// in as a new keeper then, as it learns and votes.
    fn replace(&mut self, conn: ConnId, old: MemberId, new: MemberId, out: &mut Outputs) {
        let status = self.keeper.status();
        if status.leader != Some(self.id) {
            let address = status.leader.and_then(|l| self.address_of(l)).map(|a| a.to_string());
            return self.say(conn, &Word::NotLeader(address));
        }
        let no = |why: String| Word::Replacing(Err(why));
        let Some(member) = status.members.get(old) else {
            return self.say(conn, &no(format!("{old} is no member")));
        };
        let there = member.address.parse().ok().and_then(|a: SocketAddr| self.met.get(&a));
        match there {
            Some(met) if met.id == new && !met.formed => {}
            Some(met) => {
                let at = &member.address;
                return self.say(conn, &no(format!("at {at} there is {}, not {new}", met.id)));
            }
            None => return self.say(conn, &no(format!("nobody has come up at {}", member.address))),
        }
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        self.asked.insert(ticket, conn);
        let change = Input::Change(ticket, Change::Remove(old));
        self.keeper.handle((self.clock)(), Asked::Group(change), out);
    }

    /// A group that has not come together yet grants nothing: its founder alone would be a majority of one.
    fn serves(&self) -> bool {
        self.keeper.status().members.voters().count() > self.set.keepers.len() / 2
    }

    /// Looks at who belongs to the group: founds it, once, and has new keepers learn and then vote.
    fn look(&mut self, now: Duration, out: &mut Outputs) -> Result<(), StartError> {
        let status = self.keeper.status();
        if status.members.iter().next().is_none() {
            return self.found(now);
        }
        if status.leader != Some(self.id) {
            return Ok(());
        }
        let taken: BTreeSet<&str> = status.members.iter().map(|(_, m)| m.address.as_str()).collect();
        let learner = status.members.iter().find(|(_, m)| !m.voter).map(|(id, _)| id);
        // One at a time: the next when the last votes.
        let change = match learner {
            Some(id) => Some(Change::Promote(id)),
            None => self.met.iter().find_map(|(address, met)| {
                let address = address.to_string();
                // A keeper that has lost its disk is none until its old self is removed (`keeper replace`).
                let new =
                    !met.formed && !taken.contains(address.as_str()) && status.members.get(met.id).is_none();
                new.then_some(Change::Learn(met.id, address))
            }),
        };
        if let Some(change) = change {
            self.tickets += 1;
            self.keeper.handle(now, Asked::Group(Input::Change(Ticket(self.tickets), change)), out);
        }
        Ok(())
    }

    /// The first of the listed keepers founds the group, alone, when all others have said that they are new: one founder, so
    /// that there are never two groups. If any other has been a member before, this one has lost its disk and must wait.
    fn found(&mut self, now: Duration) -> Result<(), StartError> {
        let first = self.set.keepers.iter().min() == Some(&self.address);
        let others = self.set.keepers.iter().filter(|a| **a != self.address);
        let all_new = others.into_iter().all(|a| self.met.get(a).is_some_and(|m| !m.formed));
        if !first || !all_new {
            return Ok(());
        }
        info!("founds the group");
        let members = Membership::of([(self.id, self.address.to_string())]);
        let stored = Stored::first(members);
        let snapshot: Option<Snapshot> = stored.snapshot.clone();
        self.disk.save(&Save { snapshot, ..Save::default() })?;
        self.keeper = Keeper::new(self.id, Settings::default(), stored, self.set.drift, rand::random(), now)?;
        Ok(())
    }

    fn say(&self, to: ConnId, word: &Word) {
        if let Some(bytes) = wire::encode(self.set.number(), word) {
            self.conns.say(to, bytes);
        }
    }

    fn address_of(&self, id: MemberId) -> Option<SocketAddr> {
        let status = self.keeper.status();
        let of_member = status.members.get(id).and_then(|m| m.address.parse().ok());
        of_member.or_else(|| self.met.iter().find(|(_, m)| m.id == id).map(|(a, _)| *a))
    }

    fn put_out(&mut self, output: KeeperOutput) {
        match output {
            KeeperOutput::Peer(message) => {
                let link = self.address_of(message.to).and_then(|a| self.peers.get(&a));
                if let (Some(link), Some(bytes)) =
                    (link, wire::encode(self.set.number(), &Word::Peer(message)))
                {
                    link.say(bytes);
                }
            }
            KeeperOutput::Heard(client, Heard::NotLeader(leader)) => {
                let address = leader.and_then(|l| self.address_of(l)).map(|a| a.to_string());
                self.say(ConnId(client.0), &Word::NotLeader(address));
            }
            KeeperOutput::Heard(client, heard) => self.say(ConnId(client.0), &Word::Heard(heard)),
            KeeperOutput::Listed(client, table) => self.say(ConnId(client.0), &Word::Listed(lines(&table))),
            KeeperOutput::Told(client, event) => {
                if let Some(line) = change(&event) {
                    self.say(ConnId(client.0), &Word::Changed(line));
                }
            }
            KeeperOutput::Unwatched(client) => self.conns.close(ConnId(client.0)),
            KeeperOutput::Event(Event::Renewed(..)) => {}
            KeeperOutput::Event(event) => info!(?event, "lease"),
            KeeperOutput::Group(ticket, taken) if self.asked.contains_key(&ticket) => {
                if let Some(conn) = self.asked.remove(&ticket) {
                    let taken = taken.map(drop).map_err(|why| why.to_string());
                    self.say(conn, &Word::Replacing(taken));
                }
            }
            KeeperOutput::Group(_, Ok(at)) => info!(place = at.index.0, "a change of members is in the log"),
            KeeperOutput::Group(_, Err(why)) => {
                if !matches!(why, beechloft_consensus::Refused::NotLeader(_)) {
                    warn!("a change of members is not taken: {why}");
                }
            }
        }
    }

    fn status(&self) -> StatusLine {
        let s = self.keeper.status();
        let member = |(id, m): (MemberId, &beechloft_consensus::Member)| MemberLine {
            id: id.to_string(),
            address: m.address.clone(),
            voter: m.voter,
        };
        StatusLine {
            id: s.id.to_string(),
            role: format!("{:?}", s.role).to_lowercase(),
            term: s.term.0,
            leader: s.leader.map(|l| l.to_string()),
            commit: s.commit.0,
            last: s.last.index.0,
            members: s.members.iter().map(member).collect(),
            refused_words: self.conns.refused.load(Ordering::Relaxed),
        }
    }
}

fn has_formed(stored: &Stored) -> bool {
    stored.snapshot.is_some() || !stored.entries.is_empty()
}

/// What those who watch are told; nothing of a renewal.
fn change(event: &Event) -> Option<ChangeLine> {
    let (name, token, what) = match event {
        Event::Granted { name, token, .. } => (name, token, "granted"),
        Event::Released(name, token) => (name, token, "released"),
        Event::Expired(name, token) => (name, token, "expired"),
        Event::Renewed(..) => return None,
    };
    let (holder, before) = match event {
        Event::Granted { holder, before, .. } => (Some(holder.0), before.map(|t| t.0)),
        _ => (None, None),
    };
    Some(ChangeLine { name: name.to_string(), token: token.0, what: what.to_owned(), holder, before })
}

fn lines(table: &Table) -> Vec<LeaseLine> {
    let line = |(name, places, token, g): (
        &beechloft_leases::Name,
        u16,
        beechloft_leases::Token,
        &beechloft_leases::Grant,
    )| {
        LeaseLine {
            name: name.to_string(),
            places,
            place: g.place,
            token: token.0,
            holder: g.holder.0,
            ttl_ms: g.ttl_ms,
            renewals: g.renewals,
        }
    };
    table.grants().map(line).collect()
}
