//! The quotas as a component, with the ledger, and the deadlines of accounts and of lost front nodes while this replica is the
//! leader.

use std::hash::{Hash, Hasher};
use std::time::Duration;

use beechloft_consensus::{Chunk, RequestError};
use beechloft_leases::{Name, ReplicaId};
use beechloft_quotas::{
    Command, ExpiryTimers, Fault, FrontId, Ledger, LedgerError, LimitDefinition, Response,
};

use super::{ApplyContext, Component};
use crate::input::ClientId;
use crate::output::ReplicaOutput;

/// Name of the topic whose records define limits. Keys are the names of the limits.
pub(crate) const TOPIC: &str = "fleet/limits";

/// The origin of a quota command, which is a client that waits or the replica itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum PendingQuotaRequest {
    /// A client that waits for the answer to a front node's request with this sequence number.
    Request(ClientId, FrontId, u64),
    /// The replica itself, which proposed the command.
    Internal,
}

/// The quotas at this replica.
#[derive(Debug, Clone, Default)]
pub(crate) struct QuotasComponent {
    ledger: Ledger,
    /// Deadlines of accounts and orphans, or `None` while this replica is not the leader.
    timers: Option<ExpiryTimers>,
    fault: Option<Fault>,
}

/// Hashes everything that determines the component's next outputs.
impl Hash for QuotasComponent {
    fn hash<H: Hasher>(&self, into: &mut H) {
        (&self.ledger, &self.timers).hash(into);
    }
}

impl QuotasComponent {
    pub fn restore(&mut self, chunks: &[Chunk]) -> Result<(), LedgerError> {
        self.ledger = Ledger::read(chunks.first().map_or(&[][..], |chunk| chunk.bytes()))?;
        Ok(())
    }

    pub fn write(&self) -> Vec<Chunk> {
        // A state without limits is encoded as in versions without this component.
        if self.ledger == Ledger::default() { Vec::new() } else { vec![Chunk::new(self.ledger.write())] }
    }

    pub fn inject_fault(&mut self, fault: Fault) {
        self.fault = Some(fault);
        #[cfg(feature = "fault_injection")]
        self.ledger.inject(fault);
    }

    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Applies a record of the topic [`TOPIC`], which defines or removes a limit.
    ///
    /// A record that is not a valid definition of the limit in its key has no effect. The version of the definition derives from
    /// the offset of the record, so an older definition never replaces a newer one.
    pub fn record(
        &mut self,
        context: ApplyContext,
        key: &[u8],
        value: Option<&[u8]>,
        offset: u64,
        out: &mut Vec<ReplicaOutput>,
    ) {
        let Ok(text) = std::str::from_utf8(key) else { return };
        let Ok(name) = Name::try_from(text.to_owned()) else { return };
        let version = offset.saturating_add(1);
        let command = match value {
            None => Command::Undefine(name, version),
            Some(bytes) => match serde_json::from_slice::<LimitDefinition>(bytes) {
                Ok(definition) if definition.name == name => {
                    Command::Define(LimitDefinition { version, ..definition })
                }
                _ => return,
            },
        };
        self.apply(context, command, None, out);
    }
}

impl Component for QuotasComponent {
    type Command = Command;
    type Pending = PendingQuotaRequest;

    fn apply(
        &mut self,
        context: ApplyContext,
        command: Command,
        pending: Option<PendingQuotaRequest>,
        out: &mut Vec<ReplicaOutput>,
    ) {
        let (answer, events) = self.ledger.apply(&command);
        for event in events {
            if let Some(timers) = &mut self.timers {
                timers.on_event(context.now, &self.ledger, &event);
            }
            out.push(ReplicaOutput::QuotaEvent(event));
        }
        if let (Some(PendingQuotaRequest::Request(client, front, seq)), Some(answer)) = (pending, answer) {
            out.push(ReplicaOutput::QuotaResponse(client, Response::Answer { front, seq, answer }));
        }
    }

    fn complete_read(&mut self, _: PendingQuotaRequest, _: &mut Vec<ReplicaOutput>) {}

    fn reject(&mut self, pending: PendingQuotaRequest, error: RequestError, out: &mut Vec<ReplicaOutput>) {
        let PendingQuotaRequest::Request(client, ..) = pending else { return };
        let response = match error {
            RequestError::NotLeader(leader) => {
                beechloft_leases::Response::NotLeader(leader.map(|id| ReplicaId(id.0)))
            }
            _ => beechloft_leases::Response::Busy,
        };
        out.push(ReplicaOutput::LeaseResponse(client, response));
    }

    /// Restarts the deadlines of all accounts on a new leader, which does not know when its predecessor started them.
    fn leadership_changed(&mut self, context: ApplyContext) {
        self.timers = context.is_leader.then(|| {
            let mut timers = ExpiryTimers::new(context.drift);
            #[cfg(feature = "fault_injection")]
            if let Some(fault) = self.fault {
                timers.inject(fault);
            }
            timers.start(context.now, &self.ledger);
            timers
        });
    }

    fn next_due(&self) -> Option<Duration> {
        self.timers.as_ref().and_then(ExpiryTimers::next_due)
    }

    fn due_commands(&mut self, now: Duration) -> Vec<Command> {
        self.timers.as_mut().map(|timers| timers.due_commands(now)).unwrap_or_default()
    }

    fn drain_notifications(&mut self, _: &mut Vec<ReplicaOutput>) {}

    fn client_disconnected(&mut self, _: ClientId) {}
}
