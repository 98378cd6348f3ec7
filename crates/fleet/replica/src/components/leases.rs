//! Leases: the table of grants, their deadlines while this replica is the leader, and the clients that watch them.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use beechloft_consensus::RequestError;
use beechloft_leases::{
    Applied, Command, Event, Fault, HolderId, Name, ReplicaId, Response, Table, TableError, Token,
};

use super::{ApplyContext, Component};
use crate::input::ClientId;
use crate::output::ReplicaOutput;

/// Maximum number of clients that watch.
pub(crate) const MAX_WATCHERS: usize = 512;
/// An expiry is proposed again after this, because the proposal may be lost.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// A client that waits, or the leader itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum PendingLeaseRequest {
    /// Waits for the answer to a holder's request, by its sequence number.
    Request(ClientId, HolderId, u64),
    /// Waits for all grants.
    List(ClientId),
    /// Waits for all grants, then watches.
    Watch(ClientId),
    /// No client: the leader proposed an expiry.
    Internal,
}

/// When a grant expires by the leader's clock, unless it is renewed.
#[derive(Debug, Clone, Copy, Hash)]
struct Deadline {
    at: Duration,
    renewals: u64,
    /// The expiry was proposed, and is proposed again at this time.
    proposed_until: Option<Duration>,
}

impl Deadline {
    fn next_proposal(&self) -> Duration {
        self.proposed_until.unwrap_or(self.at)
    }
}

/// A client that watches.
#[derive(Debug, Clone, Hash)]
struct Watcher {
    /// The task that is watched, or all.
    name: Option<Name>,
    /// It has received all grants, so that it now receives changes.
    active: bool,
}

/// The leases at a replica.
#[derive(Debug, Clone, Default)]
pub(crate) struct LeasesComponent {
    table: Table,
    deadlines: BTreeMap<Token, Deadline>,
    watchers: BTreeMap<ClientId, Watcher>,
    /// Clients whose subscription ended with the leadership, to be informed with the next outputs.
    ended_watches: Vec<ClientId>,
    fault: Option<Fault>,
}

/// Everything that determines its next outputs.
impl Hash for LeasesComponent {
    fn hash<H: Hasher>(&self, into: &mut H) {
        (&self.table, &self.deadlines, &self.watchers).hash(into);
    }
}

impl LeasesComponent {
    pub fn restore(&mut self, bytes: &[u8]) -> Result<(), TableError> {
        self.table = Table::read(bytes)?;
        Ok(())
    }

    pub fn inject_fault(&mut self, fault: Fault) {
        self.fault = Some(fault);
        #[cfg(feature = "fault_injection")]
        self.table.inject(fault);
    }

    fn has_fault(&self, fault: Fault) -> bool {
        cfg!(feature = "fault_injection") && self.fault == Some(fault)
    }

    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Whether a grant expires by then.
    pub fn expires_by(&self, now: Duration) -> bool {
        self.deadlines.values().any(|d| now >= d.next_proposal())
    }

    /// Adds a watcher, which is active once it has received all grants. Returns false above the bound.
    pub fn watch(&mut self, client: ClientId, name: Option<Name>) -> bool {
        let has_room = self.watchers.len() < MAX_WATCHERS || self.watchers.contains_key(&client);
        if has_room {
            self.watchers.insert(client, Watcher { name, active: false });
        }
        has_room
    }

    /// Starts the time of a grant, if this replica is the leader.
    fn start_ttl(&mut self, context: ApplyContext, token: Token) {
        let Some(grant) = self.table.grant(token).filter(|_| context.is_leader) else { return };
        let ttl = Duration::from_millis(u64::from(grant.ttl_ms));
        let time = if self.has_fault(Fault::DriftIgnored) { ttl } else { context.drift.longer(ttl) };
        let deadline = Deadline { at: context.now + time, renewals: grant.renewals, proposed_until: None };
        self.deadlines.insert(token, deadline);
    }

    /// Informs the watchers of a change. Renewals are of no interest to them.
    fn notify_watchers(&self, event: &Event, out: &mut Vec<ReplicaOutput>) {
        let name = match event {
            Event::Renewed(..) => return,
            Event::Granted { name, .. }
            | Event::Released(name, _)
            | Event::Expired(name, _)
            | Event::HandedOff(name, _) => name,
        };
        let is_interested =
            |watcher: &Watcher| watcher.active && watcher.name.as_ref().is_none_or(|of| of == name);
        let watchers = self.watchers.iter().filter(|(_, watcher)| is_interested(watcher));
        out.extend(watchers.map(|(client, _)| ReplicaOutput::WatchEvent(*client, event.clone())));
    }
}

impl Component for LeasesComponent {
    type Command = Command;
    type Pending = PendingLeaseRequest;

    fn apply(
        &mut self,
        context: ApplyContext,
        command: Command,
        pending: Option<PendingLeaseRequest>,
        out: &mut Vec<ReplicaOutput>,
    ) {
        let Applied { answer, event } = self.table.apply(&command);
        match &event {
            Some(Event::Granted { token, previous: before, .. }) => {
                self.deadlines.retain(|t, _| Some(*t) != *before);
                self.start_ttl(context, *token);
            }
            Some(Event::Renewed(_, token) | Event::HandedOff(_, token)) => self.start_ttl(context, *token),
            Some(Event::Released(_, token) | Event::Expired(_, token)) => {
                self.deadlines.remove(token);
            }
            None => {}
        }
        if let Some(event) = event {
            self.notify_watchers(&event, out);
            out.push(ReplicaOutput::LeaseEvent(event));
        }
        if let (Some(PendingLeaseRequest::Request(client, holder, seq)), Some(answer)) = (pending, answer) {
            out.push(ReplicaOutput::LeaseResponse(client, Response::Answer { holder, seq, answer }));
        }
    }

    fn complete_read(&mut self, pending: PendingLeaseRequest, out: &mut Vec<ReplicaOutput>) {
        match pending {
            PendingLeaseRequest::List(client) => out.push(ReplicaOutput::Leases(client, self.table.clone())),
            PendingLeaseRequest::Watch(client) => {
                // It receives every change that is applied from here on.
                if let Some(watcher) = self.watchers.get_mut(&client) {
                    watcher.active = true;
                    out.push(ReplicaOutput::Leases(client, self.table.clone()));
                }
            }
            PendingLeaseRequest::Request(..) | PendingLeaseRequest::Internal => {}
        }
    }

    fn reject(&mut self, pending: PendingLeaseRequest, error: RequestError, out: &mut Vec<ReplicaOutput>) {
        let response = match error {
            RequestError::NotLeader(leader) => Response::NotLeader(leader.map(|l| ReplicaId(l.0))),
            _ => Response::Busy,
        };
        match pending {
            PendingLeaseRequest::Request(client, ..) | PendingLeaseRequest::List(client) => {
                out.push(ReplicaOutput::LeaseResponse(client, response));
            }
            PendingLeaseRequest::Watch(client) => {
                self.watchers.remove(&client);
                out.push(ReplicaOutput::LeaseResponse(client, response));
            }
            PendingLeaseRequest::Internal => {}
        }
    }

    /// A new leader restarts the time of all grants, because it does not know when its predecessor did.
    fn leadership_changed(&mut self, context: ApplyContext) {
        self.deadlines.clear();
        // Inactive watchers are answered with an error instead, because their reads fail.
        let active = self.watchers.iter().filter(|(_, w)| w.active).map(|(client, _)| *client);
        self.ended_watches.extend(active);
        self.watchers.clear();
        if context.is_leader {
            let all: Vec<Token> = self.table.grants().map(|entry| entry.token).collect();
            all.into_iter().for_each(|token| self.start_ttl(context, token));
            if self.has_fault(Fault::TtlNotRestartedOnElection) {
                self.deadlines.values_mut().for_each(|d| d.at = context.now);
            }
        }
    }

    fn next_due(&self) -> Option<Duration> {
        self.deadlines.values().map(Deadline::next_proposal).min()
    }

    /// The expiries that are due. An expiry has no effect if the grant was renewed before it in the log.
    fn due_commands(&mut self, now: Duration) -> Vec<Command> {
        let mut expiries = Vec::new();
        for (token, deadline) in self.deadlines.iter_mut().filter(|(_, d)| now >= d.next_proposal()) {
            deadline.proposed_until = Some(now + RETRY_INTERVAL);
            expiries.push(Command::Expire { token: *token, renewals: deadline.renewals });
        }
        expiries
    }

    fn drain_notifications(&mut self, out: &mut Vec<ReplicaOutput>) {
        out.extend(self.ended_watches.drain(..).map(ReplicaOutput::WatchEnded));
    }

    fn client_disconnected(&mut self, client: ClientId) {
        self.watchers.remove(&client);
    }
}
