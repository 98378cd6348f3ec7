//! Hosts the instances of the policy that the simulator starts.

use std::collections::BTreeMap;

use beechloft::api;
use beechloft::policy::Policy;
use thiserror::Error;

use crate::translation::{action_record, policy_event};
use crate::wire::{Batch, Event, InstanceAction, InstanceEvent, ListEntry, WireError};

/// Server lists by their numbers.
pub(crate) type ServerLists = BTreeMap<u16, Vec<ListEntry>>;

/// The reason why a batch can't be handled.
#[derive(Debug, Error)]
pub enum HostError {
    /// A frame is malformed.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The settings of an instance can't be parsed.
    #[error("settings of instance {instance} can't be read: {source}")]
    Settings {
        /// Number of the instance.
        instance: u16,
        /// Error of the parser.
        source: serde_json::Error,
    },
    /// A record refers to a server list that was never sent.
    #[error("record {index} names list {list}, which was never sent")]
    UnknownList {
        /// Position of the record.
        index: usize,
        /// Number of the list.
        list: u16,
    },
}

struct Instance {
    policy: Policy,
    report_fields: Vec<api::ReportField>,
}

/// All instances of one process.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Instance>,
    lists: ServerLists,
}

impl Host {
    /// Handles a batch and returns the resulting actions in order.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings of an instance can't be parsed or a server list was never sent.
    pub fn handle(&mut self, batch: Batch) -> Result<Vec<InstanceAction>, HostError> {
        let now = api::Micros(batch.now_us);
        let mut reply = Vec::new();
        for (index, InstanceEvent { instance, event }) in batch.events.into_iter().enumerate() {
            match event {
                Event::ServerList { list, entries } => {
                    self.lists.insert(list, entries);
                }
                Event::InstanceStarted { seed, settings } => self.start(instance, seed, &settings)?,
                Event::InstanceStopped => {
                    self.instances.remove(&instance);
                }
                event => self.forward(now, index, instance, event, &mut reply)?,
            }
        }
        Ok(reply)
    }

    /// Starts an instance, in place of an earlier one with the same number.
    fn start(&mut self, instance: u16, seed: u64, settings: &[u8]) -> Result<(), HostError> {
        let parsed =
            beechloft_settings::parse(settings).map_err(|source| HostError::Settings { instance, source })?;
        let policy = Policy::new(parsed.settings, seed);
        self.instances.insert(instance, Instance { policy, report_fields: parsed.report_fields });
        Ok(())
    }

    /// Passes an event to its instance and appends the resulting actions to the reply. Events of unknown
    /// instances are ignored.
    fn forward(
        &mut self,
        now: api::Micros,
        index: usize,
        instance: u16,
        event: Event,
        reply: &mut Vec<InstanceAction>,
    ) -> Result<(), HostError> {
        let Some(Instance { policy, report_fields }) = self.instances.get_mut(&instance) else {
            return Ok(());
        };
        let Some(event) = policy_event(event, index, report_fields, &self.lists)? else { return Ok(()) };
        let mut actions = Vec::new();
        policy.handle(now, event, &mut actions);
        let records = actions.into_iter().map(action_record);
        reply.extend(records.map(|action| InstanceAction { instance, action }));
        Ok(())
    }
}
