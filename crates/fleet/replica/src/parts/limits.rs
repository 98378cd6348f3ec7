//! Limits: the ledger, and while this keeper leads the times of accounts and of what lost fronts left.

use std::time::Duration;

use beechloft_consensus::{Chunk, RequestError};
use beechloft_leases::ReplicaId;
use beechloft_quotas::{Command, Definition, Fault, FrontId, Heard, Ledger, LedgerError, Times};

use super::{Moment, Part};
use crate::asked::{ClientId, ReplicaOutput};

/// The topic whose records define limits: keys are their names.
pub(crate) const TOPIC: &str = "fleet/limits";

/// Who waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum LimitsWait {
    /// For a front's request, by its number.
    Request(ClientId, FrontId, u64),
    /// Nobody: what the keeper itself put into the log.
    Nobody,
}

/// The limits at a keeper.
#[derive(Debug, Clone, Default)]
pub(crate) struct Limits {
    ledger: Ledger,
    /// While it leads.
    times: Option<Times>,
    fault: Option<Fault>,
}

/// All that decides what it does next.
impl std::hash::Hash for Limits {
    fn hash<H: std::hash::Hasher>(&self, into: &mut H) {
        (&self.ledger, &self.times).hash(into);
    }
}

impl Limits {
    pub fn restore(&mut self, chunks: &[Chunk]) -> Result<(), LedgerError> {
        self.ledger = Ledger::read(chunks.first().map_or(&[][..], |c| c.bytes()))?;
        Ok(())
    }

    pub fn write(&self) -> Vec<Chunk> {
        // Where there are none the state is as if there was no such part.
        if self.ledger == Ledger::default() { Vec::new() } else { vec![Chunk::new(self.ledger.write())] }
    }

    pub fn plant(&mut self, fault: Fault) {
        self.fault = Some(fault);
        #[cfg(feature = "planted")]
        self.ledger.plant(fault);
    }

    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// A record of the topic: a limit is defined, or is no more. What is no sound definition of that name changes nothing; the
    /// version is the message's offset, so that an older one never comes back.
    pub fn record(
        &mut self,
        at: Moment,
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
            Some(bytes) => match serde_json::from_slice::<Definition>(bytes) {
                Ok(d) if d.name == name => Command::Define(Definition { version, ..d }),
                _ => return,
            },
        };
        self.apply(at, command, None, out);
    }
}

impl Part for Limits {
    type Command = Command;
    type Waits = LimitsWait;

    fn apply(
        &mut self,
        at: Moment,
        command: Command,
        waits: Option<LimitsWait>,
        out: &mut Vec<ReplicaOutput>,
    ) {
        let (answer, events) = self.ledger.apply(&command);
        for event in events {
            if let Some(times) = &mut self.times {
                times.applied(at.now, &self.ledger, &event);
            }
            out.push(ReplicaOutput::QuotaEvent(event));
        }
        if let (Some(LimitsWait::Request(client, front, seq)), Some(answer)) = (waits, answer) {
            out.push(ReplicaOutput::QuotaResponse(client, Heard::Answer { front, seq, answer }));
        }
    }

    fn read(&mut self, _: LimitsWait, _: &mut Vec<ReplicaOutput>) {}

    fn refuse(&mut self, waits: LimitsWait, why: RequestError, out: &mut Vec<ReplicaOutput>) {
        let LimitsWait::Request(client, ..) = waits else { return };
        let heard = match why {
            RequestError::NotLeader(leader) => {
                beechloft_leases::Response::NotLeader(leader.map(|l| ReplicaId(l.0)))
            }
            _ => beechloft_leases::Response::Busy,
        };
        out.push(ReplicaOutput::LeaseResponse(client, heard));
    }

    /// A new leader gives all accounts their full time again: it does not know when the one before it began to count.
    fn lead(&mut self, at: Moment) {
        self.times = at.leads.then(|| {
            let mut times = Times::new(at.drift);
            #[cfg(feature = "planted")]
            if let Some(fault) = self.fault {
                times.plant(fault);
            }
            times.begin(at.now, &self.ledger);
            times
        });
    }

    fn next_due(&self) -> Option<Duration> {
        self.times.as_ref().and_then(Times::next_due)
    }

    fn due(&mut self, now: Duration) -> Vec<Command> {
        self.times.as_mut().map(|t| t.due(now)).unwrap_or_default()
    }

    fn told(&mut self, _: &mut Vec<ReplicaOutput>) {}

    fn closed(&mut self, _: ClientId) {}
}
