//! Leases: the table, while this keeper leads the times at which grants run out, and who watches.

use std::collections::BTreeMap;
use std::time::Duration;

use beechloft_consensus::RequestError;
use beechloft_leases::{
    Applied, Command, Event, Fault, HolderId, Name, ReplicaId, Response, Table, TableError, Token,
};

use super::{Moment, Part};
use crate::asked::{ClientId, ReplicaOutput};

/// Who watches, at most.
pub(crate) const MOST_WATCHERS: usize = 512;
/// What was put into the log and may be lost there is put in again after this.
const AGAIN: Duration = Duration::from_secs(1);

/// Who waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum LeasesWait {
    /// For a request of this holder's, by its number.
    Request(ClientId, HolderId, u64),
    /// For all grants.
    List(ClientId),
    /// To watch.
    Watch(ClientId),
    /// Nobody.
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

impl Deadline {
    fn due(&self) -> Duration {
        self.told_until.unwrap_or(self.at)
    }
}

/// One who watches.
#[derive(Debug, Clone, Hash)]
struct Watcher {
    /// One task, or all.
    name: Option<Name>,
    /// It has been told how things stood.
    told: bool,
}

/// The leases at a keeper.
#[derive(Debug, Clone, Default)]
pub(crate) struct Leases {
    table: Table,
    deadlines: BTreeMap<Token, Deadline>,
    watchers: BTreeMap<ClientId, Watcher>,
    /// Who watched until the lead was lost, to be told with the next outputs.
    unwatched: Vec<ClientId>,
    fault: Option<Fault>,
}

/// All that decides what it does next.
impl std::hash::Hash for Leases {
    fn hash<H: std::hash::Hasher>(&self, into: &mut H) {
        (&self.table, &self.deadlines, &self.watchers).hash(into);
    }
}

impl Leases {
    pub fn restore(&mut self, bytes: &[u8]) -> Result<(), TableError> {
        self.table = Table::read(bytes)?;
        Ok(())
    }

    pub fn plant(&mut self, fault: Fault) {
        self.fault = Some(fault);
        #[cfg(feature = "planted")]
        self.table.inject(fault);
    }

    fn planted(&self, fault: Fault) -> bool {
        cfg!(feature = "planted") && self.fault == Some(fault)
    }

    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Whether a grant runs out by then, as it has counted.
    pub fn runs_out_by(&self, now: Duration) -> bool {
        self.deadlines.values().any(|d| now >= d.due())
    }

    /// One more is to watch once it has been told how things stand; false: there are as many as there may be.
    pub fn watch(&mut self, client: ClientId, name: Option<Name>) -> bool {
        let room = self.watchers.len() < MOST_WATCHERS || self.watchers.contains_key(&client);
        if room {
            self.watchers.insert(client, Watcher { name, told: false });
        }
        room
    }

    /// Begins to count a grant's time.
    fn count(&mut self, at: Moment, token: Token) {
        let Some(grant) = self.table.grant(token).filter(|_| at.leads) else { return };
        let ttl = Duration::from_millis(u64::from(grant.ttl_ms));
        let time = if self.planted(Fault::DriftIgnored) { ttl } else { at.drift.longer(ttl) };
        let deadline = Deadline { at: at.now + time, renewals: grant.renewals, told_until: None };
        self.deadlines.insert(token, deadline);
    }

    /// Tells those who watch. Renewals change nothing that anybody waits for.
    fn tell(&self, event: &Event, out: &mut Vec<ReplicaOutput>) {
        let name = match event {
            Event::Renewed(..) => return,
            Event::Granted { name, .. }
            | Event::Released(name, _)
            | Event::Expired(name, _)
            | Event::HandedOff(name, _) => name,
        };
        let wants = |w: &Watcher| w.told && w.name.as_ref().is_none_or(|n| n == name);
        let watchers = self.watchers.iter().filter(|(_, w)| wants(w));
        out.extend(watchers.map(|(client, _)| ReplicaOutput::WatchEvent(*client, event.clone())));
    }
}

impl Part for Leases {
    type Command = Command;
    type Waits = LeasesWait;

    fn apply(
        &mut self,
        at: Moment,
        command: Command,
        waits: Option<LeasesWait>,
        out: &mut Vec<ReplicaOutput>,
    ) {
        let Applied { answer, event } = self.table.apply(&command);
        match &event {
            Some(Event::Granted { token, previous: before, .. }) => {
                self.deadlines.retain(|t, _| Some(*t) != *before);
                self.count(at, *token);
            }
            Some(Event::Renewed(_, token) | Event::HandedOff(_, token)) => self.count(at, *token),
            Some(Event::Released(_, token) | Event::Expired(_, token)) => {
                self.deadlines.remove(token);
            }
            None => {}
        }
        if let Some(event) = event {
            self.tell(&event, out);
            out.push(ReplicaOutput::LeaseEvent(event));
        }
        if let (Some(LeasesWait::Request(client, holder, seq)), Some(answer)) = (waits, answer) {
            out.push(ReplicaOutput::LeaseResponse(client, Response::Answer { holder, seq, answer }));
        }
    }

    fn read(&mut self, waits: LeasesWait, out: &mut Vec<ReplicaOutput>) {
        match waits {
            LeasesWait::List(client) => out.push(ReplicaOutput::Leases(client, self.table.clone())),
            LeasesWait::Watch(client) => {
                // From here on it hears of all that is applied: nothing lies between.
                if let Some(watcher) = self.watchers.get_mut(&client) {
                    watcher.told = true;
                    out.push(ReplicaOutput::Leases(client, self.table.clone()));
                }
            }
            LeasesWait::Request(..) | LeasesWait::Expiry => {}
        }
    }

    fn refuse(&mut self, waits: LeasesWait, why: RequestError, out: &mut Vec<ReplicaOutput>) {
        let heard = match why {
            RequestError::NotLeader(leader) => Response::NotLeader(leader.map(|l| ReplicaId(l.0))),
            _ => Response::Busy,
        };
        match waits {
            LeasesWait::Request(client, ..) | LeasesWait::List(client) => {
                out.push(ReplicaOutput::LeaseResponse(client, heard));
            }
            LeasesWait::Watch(client) => {
                self.watchers.remove(&client);
                out.push(ReplicaOutput::LeaseResponse(client, heard));
            }
            LeasesWait::Expiry => {}
        }
    }

    /// A new leader gives all that was granted its full time again: it does not know when the one before it began to count.
    fn lead(&mut self, at: Moment) {
        self.deadlines.clear();
        // Those that were not told yet how things stand are told that it does not lead.
        let told = self.watchers.iter().filter(|(_, w)| w.told).map(|(client, _)| *client);
        self.unwatched.extend(told);
        self.watchers.clear();
        if at.leads {
            let all: Vec<Token> = self.table.grants().map(|entry| entry.token).collect();
            all.into_iter().for_each(|token| self.count(at, token));
            if self.planted(Fault::TtlNotRestartedOnElection) {
                self.deadlines.values_mut().for_each(|d| d.at = at.now);
            }
        }
    }

    fn next_due(&self) -> Option<Duration> {
        self.deadlines.values().map(Deadline::due).min()
    }

    /// What has run out. It counts only if the grant was not renewed before that in the log.
    fn due(&mut self, now: Duration) -> Vec<Command> {
        let mut over = Vec::new();
        for (token, deadline) in self.deadlines.iter_mut().filter(|(_, d)| now >= d.due()) {
            deadline.told_until = Some(now + AGAIN);
            over.push(Command::Expire { token: *token, renewals: deadline.renewals });
        }
        over
    }

    fn told(&mut self, out: &mut Vec<ReplicaOutput>) {
        out.extend(self.unwatched.drain(..).map(ReplicaOutput::WatchEnded));
    }

    fn closed(&mut self, client: ClientId) {
        self.watchers.remove(&client);
    }
}
