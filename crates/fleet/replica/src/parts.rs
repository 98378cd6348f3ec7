//! The parts of the replicated state, and what each does at a keeper.

use std::time::Duration;

use beechloft_consensus::{Chunk, RequestError, SnapshotData};
use beechloft_leases::DriftBound;
use beechloft_topic::{Record, TopicCommand, TopicEvent, TopicOp, TopicRequest};

use crate::asked::{ClientId, ReplicaOutput};
use crate::command::{Command, tag};
use crate::planted::Fault;
use crate::snapshot::{self, StateError};

mod leases;
mod limits;
mod placement;
mod topics;

#[cfg(test)]
pub(crate) use leases::MOST_WATCHERS;
pub(crate) use leases::{Leases, LeasesWait};
pub(crate) use limits::{Limits, LimitsWait};
pub(crate) use placement::{Pinned, PlacementWait};
pub(crate) use topics::{KeyedLogs, TopicsWait};

/// What a part goes by at a moment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Moment {
    /// This keeper's clock.
    pub now: Duration,
    /// How far clocks' rates may differ.
    pub drift: DriftBound,
    /// This keeper leads, as far as it knows.
    pub leads: bool,
}

/// A part: a piece of the replicated state, what the keeper that leads does about time for it, and who is told.
///
/// What `apply` makes of the state must be the same at each keeper, whatever the moment: time comes into the state by entries
/// alone, which the keeper that leads proposes when it has counted them due.
pub(crate) trait Part {
    /// What the log says to it.
    type Command;
    /// Who waits for what became of a command or a read.
    type Waits;

    /// Does a committed command, and tells who waits for it here and who watches.
    fn apply(
        &mut self,
        at: Moment,
        command: Self::Command,
        waits: Option<Self::Waits>,
        out: &mut Vec<ReplicaOutput>,
    );
    /// A read may be answered: it sees all that was committed before it was asked.
    fn read(&mut self, waits: Self::Waits, out: &mut Vec<ReplicaOutput>);
    /// A command or a read was not taken.
    fn refuse(&mut self, waits: Self::Waits, why: RequestError, out: &mut Vec<ReplicaOutput>);
    /// This keeper has begun to lead, in a new term perhaps, or leads no more (`at.leads`).
    fn lead(&mut self, at: Moment);
    /// When it wants to hear of the time next, while this keeper leads.
    fn next_due(&self) -> Option<Duration>;
    /// What is due by now, for the log.
    fn due(&mut self, now: Duration) -> Vec<Self::Command>;
    /// What is to be told whatever is released next.
    fn told(&mut self, out: &mut Vec<ReplicaOutput>);
    /// Whoever asked over this connection is gone.
    fn closed(&mut self, client: ClientId);
}

/// Who waits for what, by part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Waits {
    Leases(LeasesWait),
    Topics(TopicsWait),
    Limits(LimitsWait),
    Placement(PlacementWait),
}

/// All parts at this keeper.
#[derive(Debug, Clone, Hash, Default)]
pub(crate) struct State {
    pub leases: Leases,
    pub topics: KeyedLogs,
    pub limits: Limits,
    pub pinned: Pinned,
}

impl State {
    /// Reads a snapshot's; nothing at all is the empty state.
    pub fn read(state: &SnapshotData) -> Result<State, StateError> {
        let mut read = State::default();
        read.restore(state, None)?;
        Ok(read)
    }

    /// The replicated part of it alone.
    pub fn write(&self) -> SnapshotData {
        let leases = vec![Chunk::new(self.leases.table().write())];
        snapshot::write([
            (tag::LEASES, leases),
            (tag::TOPICS, self.topics.write()),
            (tag::LIMITS, self.limits.write()),
            (tag::PLACEMENT, self.pinned.write()),
        ])
    }

    /// Takes the replicated state of a snapshot; who watches here goes on.
    pub fn restore(&mut self, state: &SnapshotData, fault: Option<Fault>) -> Result<(), StateError> {
        let parts = snapshot::read(state, tag::LEASES)?;
        let of = |tag| parts.iter().find(|(t, _)| *t == tag).map_or(&[][..], |(_, chunks)| chunks);
        if let Some((unknown, _)) =
            parts.iter().find(|(t, _)| ![tag::LEASES, tag::TOPICS, tag::LIMITS, tag::PLACEMENT].contains(t))
        {
            return Err(StateError::UnknownPart(*unknown));
        }
        self.leases.restore(of(tag::LEASES).first().map_or(&[][..], |c| c.bytes()))?;
        self.topics.restore(of(tag::TOPICS))?;
        self.limits.restore(of(tag::LIMITS))?;
        self.pinned.restore(of(tag::PLACEMENT))?;
        if let Some(fault) = fault {
            self.plant(fault);
        }
        Ok(())
    }

    /// Plants a fault; without the feature `planted` nothing is.
    pub fn plant(&mut self, fault: Fault) {
        match fault {
            Fault::Leases(fault) => self.leases.plant(fault),
            Fault::Topics(fault) => self.topics.plant(fault),
            Fault::Quotas(fault) => self.limits.plant(fault),
            Fault::Placement(fault) => self.pinned.plant(fault),
        }
    }

    pub fn apply(
        &mut self,
        at: Moment,
        command: Command,
        waits: Option<Waits>,
        out: &mut Vec<ReplicaOutput>,
    ) {
        match command {
            Command::Leases(command) => {
                let waits = match waits {
                    Some(Waits::Leases(waits)) => Some(waits),
                    _ => None,
                };
                self.leases.apply(at, command, waits, out);
            }
            Command::Topics(command) => {
                let waits = match waits {
                    Some(Waits::Topics(waits)) => Some(waits),
                    _ => None,
                };
                let defines = limit_record(&command);
                let told = out.len();
                self.topics.apply(at, command, waits, out);
                self.defined(at, defines, told, out);
                // The topic may be there now, or have room.
                self.pinned.publish(&mut self.topics, at, out);
            }
            Command::Placement(command) => {
                let waits = match waits {
                    Some(Waits::Placement(waits)) => Some(waits),
                    _ => None,
                };
                self.pinned.apply(at, command, waits, out);
                self.pinned.publish(&mut self.topics, at, out);
            }
            Command::Quotas(command) => {
                let waits = match waits {
                    Some(Waits::Limits(waits)) => Some(waits),
                    _ => None,
                };
                self.limits.apply(at, command, waits, out);
            }
        }
    }

    /// What the topic of limits has come to say counts for the ledger in the same entry: each keeper has both or neither.
    fn defined(&mut self, at: Moment, record: Option<Record>, told: usize, out: &mut Vec<ReplicaOutput>) {
        let Some(record) = record else { return };
        let written = out.get(told..).into_iter().flatten().find_map(|o| match o {
            ReplicaOutput::TopicEvent(TopicEvent::Appended(_, offset)) => Some(offset.0),
            _ => None,
        });
        if let Some(offset) = written {
            self.limits.record(at, record.key.bytes(), record.value.as_ref().map(|v| v.bytes()), offset, out);
        }
    }

    pub fn read_for(&mut self, waits: Waits, out: &mut Vec<ReplicaOutput>) {
        match waits {
            Waits::Leases(waits) => self.leases.read(waits, out),
            Waits::Topics(waits) => self.topics.read(waits, out),
            Waits::Limits(waits) => self.limits.read(waits, out),
            Waits::Placement(waits) => self.pinned.read(waits, out),
        }
    }

    pub fn refuse(&mut self, waits: Waits, why: RequestError, out: &mut Vec<ReplicaOutput>) {
        match waits {
            Waits::Leases(waits) => self.leases.refuse(waits, why, out),
            Waits::Topics(waits) => self.topics.refuse(waits, why, out),
            Waits::Limits(waits) => self.limits.refuse(waits, why, out),
            Waits::Placement(waits) => self.pinned.refuse(waits, why, out),
        }
    }

    pub fn lead(&mut self, at: Moment) {
        self.leases.lead(at);
        self.topics.lead(at);
        self.limits.lead(at);
        self.pinned.lead(at);
    }

    pub fn next_due(&self) -> Option<Duration> {
        let all =
            [self.leases.next_due(), self.topics.next_due(), self.limits.next_due(), self.pinned.next_due()];
        all.into_iter().flatten().min()
    }

    /// What is due by now, and who waits for it.
    pub fn due(&mut self, now: Duration) -> Vec<(Command, Waits)> {
        let leases = self.leases.due(now).into_iter();
        let leases = leases.map(|c| (Command::Leases(c), Waits::Leases(LeasesWait::Expiry)));
        let topics = self.topics.due(now).into_iter();
        let topics = topics.map(|c| (Command::Topics(c), Waits::Topics(TopicsWait::Nobody)));
        let limits = self.limits.due(now).into_iter();
        let limits = limits.map(|c| (Command::Quotas(c), Waits::Limits(LimitsWait::Nobody)));
        let pinned = self.pinned.due(now).into_iter();
        let pinned = pinned.map(|c| (Command::Placement(c), Waits::Placement(PlacementWait::Nobody)));
        leases.chain(topics).chain(limits).chain(pinned).collect()
    }

    pub fn told(&mut self, out: &mut Vec<ReplicaOutput>) {
        self.leases.told(out);
        self.topics.told(out);
        self.limits.told(out);
        self.pinned.told(out);
    }

    pub fn closed(&mut self, client: ClientId) {
        self.leases.closed(client);
        self.topics.closed(client);
        self.limits.closed(client);
        self.pinned.closed(client);
    }
}

/// What a command would write into the topic of limits.
fn limit_record(command: &TopicCommand) -> Option<Record> {
    match command {
        TopicCommand::Ask(TopicRequest { topic, op: TopicOp::Publish { record, .. }, .. })
            if topic.to_string() == limits::TOPIC =>
        {
            Some(record.clone())
        }
        _ => None,
    }
}
