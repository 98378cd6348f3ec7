//! A keeper: a member of the group, its table, and while it leads the times at which grants run out.

use std::collections::BTreeMap;
use std::time::Duration;

use beechloft_consensus::{
    Index, Input, LogPos, MemberId, Message, Outputs, Payload, Raft, Refused, Released, Settings, Status,
    Stored, Term, Ticket,
};

use crate::drift::Drift;
use crate::planted::Fault;
use crate::table::{Event, Table, TableError};
use crate::words::{Answer, Command, Heard, HolderId, Name, Request, Token};

/// Whoever asked over one connection, as the shell names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// What a keeper is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Asked {
    /// Only time has passed.
    Tick,
    /// A word of another keeper.
    Peer(Message),
    /// A holder's request.
    Request(ClientId, Request),
    /// All grants, as of now.
    List(ClientId),
    /// All grants, as of now, and from then on each that is made or ends; of one task or of all.
    Watch(ClientId, Option<Name>),
    /// Whoever asked over this connection is gone.
    Closed(ClientId),
    /// Anything else for the log's machine: changes of members, the lead handed over.
    Group(Input),
}

/// What a keeper wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeeperOutput {
    /// For another keeper.
    Peer(Message),
    /// For who asked.
    Heard(ClientId, Heard),
    /// All grants, for who asked for them: the table as of now.
    Listed(ClientId, Table),
    /// What has changed, for the log of this keeper.
    Event(Event),
    /// What has changed, for one who watches.
    Told(ClientId, Event),
    /// One who watches hears nothing here any more, and is to ask the keeper that leads: this one may be cut off.
    Unwatched(ClientId),
    /// What became of something for the log's machine.
    Group(Ticket, Result<LogPos, Refused>),
}

/// Requests that wait for the log, at most.
const MOST_WAITING: usize = 4096;
/// Who watches, at most.
const MOST_WATCHERS: usize = 512;
/// A snapshot is taken after so many entries.
const SNAPSHOT_EVERY: u64 = 4096;
/// Tickets of the keeper's own begin here; those of `Asked::Group` are below.
const OWN: u64 = 1 << 62;

#[derive(Debug, Clone, Copy, Hash)]
enum Waits {
    Request(ClientId, HolderId, u64),
    List(ClientId),
    Watch(ClientId),
    Expiry,
}

/// When a grant runs out by this keeper's clock, if it is not renewed by then.
#[derive(Debug, Clone, Copy, Hash)]
struct Deadline {
    at: Duration,
    renewals: u64,
    /// It was put into the log; again after this, as that may be lost.
    told_until: Option<Duration>,
}

/// A keeper.
#[derive(Debug, Clone)]
pub struct Keeper {
    raft: Raft,
    table: Table,
    drift: Drift,
    applied: Index,
    snapshot_at: Index,
    tickets: u64,
    /// What was turned away before the log was asked, to be told with the next outputs.
    turned_away: Vec<Waits>,
    /// By ticket, until the log has taken it or not.
    untaken: BTreeMap<Ticket, Waits>,
    /// By place, until it is committed.
    uncommitted: BTreeMap<Index, (Term, Waits)>,
    deadlines: BTreeMap<Token, Deadline>,
    /// Who watches what, and whether it has been told how things stood.
    watchers: BTreeMap<ClientId, (Option<Name>, bool)>,
    /// Who watched until it lost the lead, to be told with the next outputs.
    unwatched: Vec<ClientId>,
    /// The term that it leads in.
    leads_in: Option<Term>,
    now: Duration,
    fault: Option<Fault>,
}

/// All that decides what it does next, but for what is drawn by chance.
impl std::hash::Hash for Keeper {
    fn hash<H: std::hash::Hasher>(&self, into: &mut H) {
        (&self.raft, &self.table, self.applied, self.leads_in, self.now).hash(into);
        (&self.untaken, &self.uncommitted, &self.deadlines, &self.watchers).hash(into);
    }
}

impl Keeper {
    /// A keeper as its disk has it.
    ///
    /// # Errors
    /// The snapshot is no table.
    pub fn new(
        id: MemberId,
        settings: Settings,
        stored: Stored,
        drift: Drift,
        seed: u64,
        now: Duration,
    ) -> Result<Keeper, TableError> {
        let raft = Raft::new(id, settings, stored, seed, now);
        let at = raft.snapshot().map(|s| s.at.index).unwrap_or_default();
        let table = raft.snapshot().map_or(Ok(Table::default()), |s| Table::read(&s.state))?;
        Ok(Keeper {
            raft,
            table,
            drift,
            applied: at,
            snapshot_at: at,
            tickets: OWN,
            turned_away: Vec::new(),
            untaken: BTreeMap::new(),
            uncommitted: BTreeMap::new(),
            deadlines: BTreeMap::new(),
            watchers: BTreeMap::new(),
            unwatched: Vec::new(),
            leads_in: None,
            now,
            fault: None,
        })
    }

    /// Plants a fault.
    #[cfg(feature = "planted")]
    pub fn plant(&mut self, fault: Fault) {
        self.fault = Some(fault);
        self.table.plant(fault);
    }

    fn planted(&self, fault: Fault) -> bool {
        cfg!(feature = "planted") && self.fault == Some(fault)
    }

    /// How its log's machine stands.
    pub fn status(&self) -> Status {
        self.raft.status()
    }

    /// The machine of its log, for checks.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// Its table, which may be behind.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Whether a grant runs out by then, as it has counted.
    pub fn runs_out_by(&self, now: Duration) -> bool {
        self.leads_in.is_some() && self.deadlines.values().any(|d| now >= d.told_until.unwrap_or(d.at))
    }

    /// When it wants to hear of the time next.
    pub fn next_due(&self) -> Duration {
        let grants = self.deadlines.values().map(|d| d.told_until.unwrap_or(d.at));
        let first = grants.min().filter(|_| self.leads_in.is_some());
        self.raft.next_due().min(first.unwrap_or(Duration::MAX))
    }

    /// Takes an input. What comes of it lies in `out`, and goes to [`Keeper::released`] once the disk has it.
    pub fn handle(&mut self, now: Duration, asked: Asked, out: &mut Outputs) {
        self.now = self.now.max(now);
        match asked {
            Asked::Tick => self.raft.handle(now, Input::Tick, out),
            Asked::Peer(message) => self.raft.handle(now, Input::Message(message), out),
            Asked::Request(client, request) => {
                let waits = Waits::Request(client, request.holder, request.seq);
                self.propose(&Command::Request(request), waits, out);
            }
            Asked::List(client) => {
                let ticket = self.wait(Waits::List(client));
                self.raft.handle(now, Input::Read(ticket), out);
            }
            Asked::Watch(client, name) => {
                if self.watchers.len() >= MOST_WATCHERS && !self.watchers.contains_key(&client) {
                    self.turned_away.push(Waits::Watch(client));
                } else {
                    self.watchers.insert(client, (name, false));
                    let ticket = self.wait(Waits::Watch(client));
                    self.raft.handle(now, Input::Read(ticket), out);
                }
            }
            Asked::Closed(client) => drop(self.watchers.remove(&client)),
            Asked::Group(input) => self.raft.handle(now, input, out),
        }
        self.lead();
        self.expire(out);
        self.compact(out);
    }

    fn wait(&mut self, waits: Waits) -> Ticket {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        self.untaken.insert(ticket, waits);
        ticket
    }

    fn propose(&mut self, command: &Command, waits: Waits, out: &mut Outputs) {
        // Past the bound it is refused here, before the log is asked.
        if self.uncommitted.len() + self.untaken.len() >= MOST_WAITING {
            return self.turned_away.push(waits);
        }
        // Only a value that has no length beforehand could fail, and a command has none such.
        let Ok(bytes) = postcard::to_allocvec(command) else { return self.turned_away.push(waits) };
        let ticket = self.wait(waits);
        self.raft.handle(self.now, Input::Propose(ticket, bytes.into()), out);
    }

    /// Sees whether it has begun to lead. A new leader gives all that was granted its full time again: it does not know when
    /// the one before it began to count.
    fn lead(&mut self) {
        let term = self.raft.leads().then(|| self.raft.status().term);
        if term == self.leads_in {
            return;
        }
        self.leads_in = term;
        // What was proposed in another term may come or not; who asked asks again.
        self.uncommitted.clear();
        self.deadlines.clear();
        // Those that were not told yet how things stand are told that it does not lead.
        let told = self.watchers.iter().filter(|(_, w)| w.1).map(|(client, _)| *client);
        self.unwatched.extend(told);
        self.watchers.clear();
        if term.is_some() {
            let all: Vec<Token> = self.table.grants().map(|(_, _, token, _)| token).collect();
            all.into_iter().for_each(|token| self.count(token));
            if self.planted(Fault::NoTimeAnew) {
                self.deadlines.values_mut().for_each(|d| d.at = self.now);
            }
        }
    }

    /// Begins to count a grant's time, if it leads.
    fn count(&mut self, token: Token) {
        if self.leads_in.is_none() {
            return;
        }
        let Some(grant) = self.table.grant(token) else { return };
        let ttl = Duration::from_millis(u64::from(grant.ttl_ms));
        let time = if self.planted(Fault::NoDrift) { ttl } else { self.drift.longer(ttl) };
        let deadline = Deadline { at: self.now + time, renewals: grant.renewals, told_until: None };
        self.deadlines.insert(token, deadline);
    }

    /// Has the log say what has run out. It counts only if the grant was not renewed before that in the log.
    fn expire(&mut self, out: &mut Outputs) {
        if self.leads_in.is_none() {
            return;
        }
        let (now, again) = (self.now, Duration::from_secs(1));
        let due = |d: &Deadline| now >= d.told_until.unwrap_or(d.at);
        let over: Vec<(Token, u64)> =
            self.deadlines.iter().filter(|(_, d)| due(d)).map(|(t, d)| (*t, d.renewals)).collect();
        for (token, renewals) in over {
            if let Some(d) = self.deadlines.get_mut(&token) {
                d.told_until = Some(now + again);
            }
            self.propose(&Command::Expire { token, renewals }, Waits::Expiry, out);
        }
    }

    fn compact(&mut self, out: &mut Outputs) {
        if self.applied.0 >= self.snapshot_at.0 + SNAPSHOT_EVERY {
            self.snapshot_at = self.applied;
            let input = Input::Compact(self.applied, self.table.write().into());
            self.raft.handle(self.now, input, out);
        }
    }

    /// Takes what the disk has let go: applies what is committed, answers who asked.
    ///
    /// # Errors
    /// Another keeper's snapshot is no table: this keeper must stop.
    pub fn released(&mut self, now: Duration, released: Released) -> Result<Vec<KeeperOutput>, TableError> {
        self.now = self.now.max(now);
        let Released { messages, restored, committed, taken, reads, members: _ } = released;
        let mut out: Vec<KeeperOutput> = messages.into_iter().map(KeeperOutput::Peer).collect();
        out.extend(self.unwatched.drain(..).map(KeeperOutput::Unwatched));
        out.extend(self.turned_away.drain(..).filter_map(|waits| refused(waits, Refused::Busy)));
        if let Some(snapshot) = restored {
            self.table = Table::read(&snapshot.state)?;
            #[cfg(feature = "planted")]
            if let Some(fault) = self.fault {
                self.table.plant(fault);
            }
            (self.applied, self.snapshot_at) = (snapshot.at.index, snapshot.at.index);
        }
        for (ticket, taken) in taken {
            match (self.untaken.remove(&ticket), taken) {
                (Some(waits), Ok(at)) => {
                    self.uncommitted.insert(at.index, (at.term, waits));
                }
                (Some(waits), Err(why)) => out.extend(refused(waits, why)),
                (None, taken) => out.push(KeeperOutput::Group(ticket, taken)),
            }
        }
        for entry in committed {
            if entry.at.index <= self.applied {
                continue;
            }
            self.applied = entry.at.index;
            let waits =
                self.uncommitted.remove(&entry.at.index).filter(|w| w.0 == entry.at.term).map(|w| w.1);
            if let Payload::Command(bytes) = &entry.payload {
                self.apply(bytes, waits, &mut out);
            }
        }
        for (ticket, read) in reads {
            match (self.untaken.remove(&ticket), read) {
                (Some(Waits::List(client)), Ok(())) => {
                    out.push(KeeperOutput::Listed(client, self.table.clone()));
                }
                (Some(Waits::Watch(client)), Ok(())) => {
                    // From here on it hears of all that is applied: nothing lies between.
                    if let Some(watcher) = self.watchers.get_mut(&client) {
                        watcher.1 = true;
                        out.push(KeeperOutput::Listed(client, self.table.clone()));
                    }
                }
                (Some(waits), Err(why)) => {
                    if let Waits::Watch(client) = waits {
                        self.watchers.remove(&client);
                    }
                    out.extend(refused(waits, why));
                }
                _ => {}
            }
        }
        Ok(out)
    }

    /// Tells those who watch. Renewals change nothing that anybody waits for.
    fn tell(&self, event: &Event, out: &mut Vec<KeeperOutput>) {
        let name = match event {
            Event::Renewed(..) => return,
            Event::Granted { name, .. } | Event::Released(name, _) | Event::Expired(name, _) => name,
        };
        let wants = |w: &&(Option<Name>, bool)| w.1 && w.0.as_ref().is_none_or(|n| n == name);
        let watchers = self.watchers.iter().filter(|(_, w)| wants(w));
        out.extend(watchers.map(|(client, _)| KeeperOutput::Told(*client, event.clone())));
    }

    fn apply(&mut self, bytes: &[u8], waits: Option<Waits>, out: &mut Vec<KeeperOutput>) {
        // A command that this version can't read is none for all of this version, so that tables stay alike.
        let Ok(command) = postcard::from_bytes::<Command>(bytes) else { return };
        let (answer, event) = self.table.apply(&command);
        match &event {
            Some(Event::Granted { token, before, .. }) => {
                self.deadlines.retain(|t, _| Some(*t) != *before);
                self.count(*token);
            }
            Some(Event::Renewed(_, token)) => self.count(*token),
            Some(Event::Released(_, token) | Event::Expired(_, token)) => {
                self.deadlines.remove(token);
            }
            _ => {}
        }
        if let Some(event) = event {
            self.tell(&event, out);
            out.push(KeeperOutput::Event(event));
        }
        if let (Some(Waits::Request(client, holder, seq)), Some(answer)) = (waits, answer) {
            out.push(KeeperOutput::Heard(client, Heard::Answer { holder, seq, answer }));
        }
    }
}

fn refused(waits: Waits, why: Refused) -> Option<KeeperOutput> {
    let heard = match why {
        Refused::NotLeader(leader) => Heard::NotLeader(leader),
        _ => Heard::Busy,
    };
    match waits {
        Waits::Request(client, ..) | Waits::List(client) | Waits::Watch(client) => {
            Some(KeeperOutput::Heard(client, heard))
        }
        Waits::Expiry => None,
    }
}

/// What a holder is told of a request, as an answer.
impl Heard {
    /// The answer to a request, if this is one.
    pub fn answer_to(&self, holder: HolderId, seq: u64) -> Option<Answer> {
        match self {
            Heard::Answer { holder: whose, seq: of, answer } if (*whose, *of) == (holder, seq) => {
                Some(*answer)
            }
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::words::Op;
    use beechloft_consensus::{Disk, Membership, Save};

    struct Nowhere;

    impl Disk for Nowhere {
        type Error = std::convert::Infallible;

        fn save(&mut self, _: &Save) -> Result<(), Self::Error> {
            Ok(())
        }
    }

    #[test]
    fn past_the_bound_requests_are_turned_away_at_once_and_all_are_told() {
        let mut keeper = alone();
        let (now, mut out) = (Duration::from_secs(2), Outputs::default());
        keeper.handle(now, Asked::Tick, &mut out);
        assert!(keeper.raft().leads());
        let more = 100;
        for n in 0..MOST_WAITING as u64 + more {
            let name = Name::try_from("task".to_owned()).expect("a name");
            let op = Op::Acquire { name, places: 1, ttl_ms: 1_000 };
            keeper.handle(
                now,
                Asked::Request(ClientId(n), Request { holder: HolderId(n), seq: 1, op }),
                &mut out,
            );
        }
        let Ok(released) = out.commit(&mut Nowhere);
        let told = keeper.released(now, released).expect("a table");
        let busy = told.iter().filter(|o| matches!(o, KeeperOutput::Heard(_, Heard::Busy))).count();
        let answered =
            told.iter().filter(|o| matches!(o, KeeperOutput::Heard(_, Heard::Answer { .. }))).count();
        assert_eq!((busy as u64, answered), (more, MOST_WAITING));
    }

    /// A keeper alone, that leads.
    fn alone() -> Keeper {
        let stored = Stored::first(Membership::of([(MemberId(1), "a".into())]));
        let drift = Drift::ppm(100).expect("within bounds");
        Keeper::new(MemberId(1), Settings::default(), stored, drift, 1, Duration::ZERO).expect("a table")
    }

    fn does(keeper: &mut Keeper, at_ms: u64, asked: Asked) -> Vec<KeeperOutput> {
        let (now, mut out) = (Duration::from_millis(at_ms), Outputs::default());
        keeper.handle(now, asked, &mut out);
        let Ok(released) = out.commit(&mut Nowhere);
        keeper.released(now, released).expect("a table")
    }

    #[test]
    fn whoever_watches_hears_how_things_stand_and_then_each_change_once() {
        let mut k = alone();
        let name = |text: &str| Name::try_from(text.to_owned()).expect("a name");
        let ask = |holder: u64, seq, of: &str| {
            let op = Op::Acquire { name: name(of), places: 1, ttl_ms: 1_000 };
            Asked::Request(ClientId(9), Request { holder: HolderId(holder), seq, op })
        };
        does(&mut k, 2_000, Asked::Tick);
        does(&mut k, 2_001, ask(1, 1, "a"));
        let out = does(&mut k, 2_002, Asked::Watch(ClientId(1), Some(name("a"))));
        let listed =
            |o: &KeeperOutput| matches!(o, KeeperOutput::Listed(ClientId(1), t) if t.grants().count() == 1);
        assert_eq!(out.iter().filter(|o| listed(o)).count(), 1, "{out:?}");
        does(&mut k, 2_003, Asked::Watch(ClientId(2), None));
        let told = |out: &[KeeperOutput]| -> Vec<(u64, Event)> {
            let one = |o: &KeeperOutput| match o {
                KeeperOutput::Told(client, event) => Some((client.0, event.clone())),
                _ => None,
            };
            out.iter().filter_map(one).collect()
        };
        // Another task's grant is told to who watches all alone; what was asked twice is told once.
        assert_eq!(told(&does(&mut k, 2_004, ask(1, 2, "b"))).iter().map(|t| t.0).collect::<Vec<_>>(), [2]);
        assert_eq!(told(&does(&mut k, 2_005, ask(1, 2, "b"))), []);
        // A renewal is nothing to be told.
        let renew = Op::Renew { name: name("b"), token: Token(2) };
        let renew = Asked::Request(ClientId(9), Request { holder: HolderId(1), seq: 3, op: renew });
        assert_eq!(told(&does(&mut k, 2_006, renew)), []);
        does(&mut k, 2_007, Asked::Closed(ClientId(2)));
        // The first grant runs out: its entry is put in, and applied.
        let expired = told(&does(&mut k, 3_500, Asked::Tick));
        assert_eq!(expired, [(1, Event::Expired(name("a"), Token(1)))]);
    }

    #[test]
    fn past_the_bound_nobody_more_watches() {
        let mut k = alone();
        does(&mut k, 2_000, Asked::Tick);
        let mut busy = 0;
        for n in 0..MOST_WATCHERS as u64 + 5 {
            let out = does(&mut k, 2_001, Asked::Watch(ClientId(n), None));
            busy += out.iter().filter(|o| matches!(o, KeeperOutput::Heard(_, Heard::Busy))).count();
        }
        assert_eq!((busy, k.watchers.len()), (5, MOST_WATCHERS));
    }
}
