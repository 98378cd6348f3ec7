//! The leases as a component, with the table of grants, the deadlines of grants while this replica is the leader, and the clients
//! that watch grants.

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

/// Maximum number of clients that watch grants.
pub(crate) const MAX_WATCHERS: usize = 512;
/// Time after which the expiry of a grant is proposed again, because the proposal may be lost.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The origin of a lease command or read, which is a client that waits or the leader itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum PendingLeaseRequest {
    /// A client that waits for the answer to a holder's request with this sequence number.
    Request(ClientId, HolderId, u64),
    /// A client that waits for all grants.
    List(ClientId),
    /// A client that waits for all grants, then watches.
    Watch(ClientId),
    /// The leader itself, which proposed an expiry.
    Internal,
}

/// The time at which a grant expires by the leader's clock unless it is renewed.
#[derive(Debug, Clone, Copy, Hash)]
struct Deadline {
    at: Duration,
    renewals: u64,
    /// Time at which the expiry is proposed again, or `None` if it was not proposed yet.
    repeat_at: Option<Duration>,
}

impl Deadline {
    fn next_proposal(&self) -> Duration {
        self.repeat_at.unwrap_or(self.at)
    }
}

/// A client that watches grants.
#[derive(Debug, Clone, Hash)]
struct Watcher {
    /// Task whose grants are watched, or `None` for all tasks.
    name: Option<Name>,
    /// Whether the client has received all grants and now receives changes.
    active: bool,
}

/// The leases at this replica.
#[derive(Debug, Clone, Default)]
pub(crate) struct LeasesComponent {
    table: Table,
    deadlines: BTreeMap<Token, Deadline>,
    watchers: BTreeMap<ClientId, Watcher>,
    /// Clients whose watch ended with the leadership. They are notified with the next outputs.
    ended_watches: Vec<ClientId>,
    fault: Option<Fault>,
}

/// Hashes everything that determines the component's next outputs.
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

    /// Returns whether the expiry of a grant is due for a proposal by `now`.
    pub fn expires_by(&self, now: Duration) -> bool {
        self.deadlines.values().any(|deadline| now >= deadline.next_proposal())
    }

    /// Adds a watcher, which becomes active once it has received all grants.
    ///
    /// Returns false if there are [`MAX_WATCHERS`] others.
    pub fn watch(&mut self, client: ClientId, name: Option<Name>) -> bool {
        let is_admitted = self.watchers.len() < MAX_WATCHERS || self.watchers.contains_key(&client);
        if is_admitted {
            self.watchers.insert(client, Watcher { name, active: false });
        }
        is_admitted
    }

    /// Starts the TTL of a grant if this replica is the leader.
    fn start_ttl(&mut self, context: ApplyContext, token: Token) {
        let Some(grant) = self.table.grant(token).filter(|_| context.is_leader) else { return };
        let ttl = Duration::from_millis(u64::from(grant.ttl_ms));
        let timeout = if self.has_fault(Fault::DriftIgnored) { ttl } else { context.drift.longer(ttl) };
        let deadline = Deadline { at: context.now + timeout, renewals: grant.renewals, repeat_at: None };
        self.deadlines.insert(token, deadline);
    }

    /// Notifies the watchers of a change. Renewals are not reported.
    fn notify_watchers(&self, event: &Event, out: &mut Vec<ReplicaOutput>) {
        let name = match event {
            Event::Renewed(..) => return,
            Event::Granted { name, .. }
            | Event::Released(name, _)
            | Event::Expired(name, _)
            | Event::HandedOff(name, _) => name,
        };
        let is_interested =
            |watcher: &Watcher| watcher.active && watcher.name.as_ref().is_none_or(|watched| watched == name);
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
            Some(Event::Granted { token, previous, .. }) => {
                self.deadlines.retain(|known, _| Some(*known) != *previous);
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
                // The client receives every change that is applied after this state.
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
            RequestError::NotLeader(leader) => Response::NotLeader(leader.map(|id| ReplicaId(id.0))),
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

    /// Restarts the TTL of all grants on a new leader, which does not know when its predecessor started them. Ends all watches.
    fn leadership_changed(&mut self, context: ApplyContext) {
        self.deadlines.clear();
        // Inactive watchers receive an error instead, because their reads fail.
        let active = self.watchers.iter().filter(|(_, watcher)| watcher.active).map(|(client, _)| *client);
        self.ended_watches.extend(active);
        self.watchers.clear();
        if context.is_leader {
            let tokens: Vec<Token> = self.table.grants().map(|entry| entry.token).collect();
            tokens.into_iter().for_each(|token| self.start_ttl(context, token));
            if self.has_fault(Fault::TtlNotRestartedOnElection) {
                self.deadlines.values_mut().for_each(|deadline| deadline.at = context.now);
            }
        }
    }

    fn next_due(&self) -> Option<Duration> {
        self.deadlines.values().map(Deadline::next_proposal).min()
    }

    /// Returns the expiries that are due. An expiry has no effect if a renewal of the grant precedes it in the log.
    fn due_commands(&mut self, now: Duration) -> Vec<Command> {
        let mut expiries = Vec::new();
        for (token, deadline) in &mut self.deadlines {
            if now < deadline.next_proposal() {
                continue;
            }
            deadline.repeat_at = Some(now + RETRY_INTERVAL);
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
