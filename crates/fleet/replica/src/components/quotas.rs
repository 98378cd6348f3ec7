//! Quotas: the ledger, and the deadlines of accounts and of lost front nodes while this replica is the leader.

use std::hash::{Hash, Hasher};
use std::time::Duration;

use beechloft_consensus::{Chunk, RequestError};
use beechloft_leases::ReplicaId;
use beechloft_quotas::{
    Command, ExpiryTimers, Fault, FrontId, Ledger, LedgerError, LimitDefinition, Response,
};

use super::{ApplyContext, Component};
use crate::input::ClientId;
use crate::output::ReplicaOutput;

/// The topic whose records define limits. Keys are their names.
pub(crate) const TOPIC: &str = "fleet/limits";

/// A client that waits, or the leader itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum PendingQuotaRequest {
    /// Waits for the answer to a front node's request, by its sequence number.
    Request(ClientId, FrontId, u64),
    /// No client: the replica proposed the command itself.
    Internal,
}

/// The quotas at a replica.
#[derive(Debug, Clone, Default)]
pub(crate) struct QuotasComponent {
    ledger: Ledger,
    /// Present while this replica is the leader.
    times: Option<ExpiryTimers>,
    fault: Option<Fault>,
}

/// Everything that determines its next outputs.
impl Hash for QuotasComponent {
    fn hash<H: Hasher>(&self, into: &mut H) {
        (&self.ledger, &self.times).hash(into);
    }
}

impl QuotasComponent {
    pub fn restore(&mut self, chunks: &[Chunk]) -> Result<(), LedgerError> {
        self.ledger = Ledger::read(chunks.first().map_or(&[][..], |c| c.bytes()))?;
        Ok(())
    }

    pub fn write(&self) -> Vec<Chunk> {
        // Without limits the state is the same as before this component existed.
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

    /// Applies a record of the topic, which defines or removes a limit. A record that is no valid definition of its key has no
    /// effect. The version is derived from the message's offset, so that an older definition never returns.
    pub fn record(
        &mut self,
        context: ApplyContext,
        key: &[u8],
        value: Option<&[u8]>,
        offset: u64,
        out: &mut Vec<ReplicaOutput>,
    ) {
        let text = std::str::from_utf8(key).map(str::to_owned);
        let Some(name) = text.ok().and_then(|t| beechloft_leases::Name::try_from(t).ok()) else { return };
        let version = offset.saturating_add(1);
        let command = match value {
            None => Command::Undefine(name, version),
            Some(bytes) => match serde_json::from_slice::<LimitDefinition>(bytes) {
                Ok(d) if d.name == name => Command::Define(LimitDefinition { version, ..d }),
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
            if let Some(times) = &mut self.times {
                times.on_event(context.now, &self.ledger, &event);
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
                beechloft_leases::Response::NotLeader(leader.map(|l| ReplicaId(l.0)))
            }
            _ => beechloft_leases::Response::Busy,
        };
        out.push(ReplicaOutput::LeaseResponse(client, response));
    }

    /// A new leader restarts the time of all accounts, because it does not know when its predecessor did.
    fn leadership_changed(&mut self, context: ApplyContext) {
        self.times = context.is_leader.then(|| {
            let mut times = ExpiryTimers::new(context.drift);
            #[cfg(feature = "fault_injection")]
            if let Some(fault) = self.fault {
                times.inject(fault);
            }
            times.start(context.now, &self.ledger);
            times
        });
    }

    fn next_due(&self) -> Option<Duration> {
        self.times.as_ref().and_then(ExpiryTimers::next_due)
    }

    fn due_commands(&mut self, now: Duration) -> Vec<Command> {
        self.times.as_mut().map(|t| t.due_commands(now)).unwrap_or_default()
    }

    fn drain_notifications(&mut self, _: &mut Vec<ReplicaOutput>) {}

    fn client_disconnected(&mut self, _: ClientId) {}
}
