//! Hosts instances of the decision module and translates between the wire's terms and the module's.

use std::collections::BTreeMap;

use beechloft::api;
use beechloft::policy::Policy;
use thiserror::Error;

use crate::translation::{action_record, policy_event};
use crate::wire::{Action, Batch, Entry, Event, WireError};

/// Why hosting can't go on.
#[derive(Debug, Error)]
pub enum HostError {
    /// A frame is malformed.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// A settings text is not the stated JSON.
    #[error("settings of instance {who} can't be read: {source}")]
    Setup {
        /// The instance.
        who: u16,
        /// What the parser says.
        source: serde_json::Error,
    },
    /// A list number that no `Table` has set.
    #[error("record {index} names list {roster}, which was never sent")]
    NoTable {
        /// Position of the record.
        index: usize,
        /// The list's number.
        roster: u16,
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
    tables: BTreeMap<u16, Vec<Entry>>,
}

impl Host {
    /// Handles a batch and gives the reply's actions in order.
    ///
    /// # Errors
    ///
    /// When settings can't be parsed or a list number was never sent.
    pub fn handle(&mut self, batch: Batch) -> Result<Vec<(u16, Action)>, HostError> {
        let now = api::Micros(batch.now);
        let mut reply = Vec::new();
        let mut actions = Vec::new();
        for (index, (who, event)) in batch.events.into_iter().enumerate() {
            match event {
                Event::Table { roster_id, records } => {
                    self.tables.insert(roster_id, records);
                }
                Event::Born { prng, setup } => {
                    let parsed = beechloft_settings::parse(&setup)
                        .map_err(|source| HostError::Setup { who, source })?;
                    let policy = Policy::new(parsed.settings, prng);
                    self.instances.insert(who, Instance { policy, report_fields: parsed.report_fields });
                }
                Event::Shutdown => {
                    self.instances.remove(&who);
                }
                event => {
                    let Some(instance) = self.instances.get_mut(&who) else { continue };
                    let translated = policy_event(event, index, &instance.report_fields, &self.tables)?;
                    let Some(translated) = translated else { continue };
                    instance.policy.handle(now, translated, &mut actions);
                    reply.extend(actions.drain(..).map(|action| (who, action_record(action))));
                }
            }
        }
        Ok(reply)
    }
}
