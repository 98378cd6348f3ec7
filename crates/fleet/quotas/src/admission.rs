//! The limits that apply to a session, in the order of their names, and the units that it needs of each.

use std::collections::BTreeMap;

use beechloft_leases::Name;

use crate::definition::{LimitDefinition, Resource, Scope};
use crate::message::{Claim, Key};

/// The attributes of a session that limits refer to.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Subject {
    /// The customer that owns the title.
    pub customer: Key,
    /// The title.
    pub title: Key,
    /// The class of the title.
    pub class: Key,
    /// The viewer, if one is known.
    pub viewer: Option<Key>,
    /// The highest rate that the session may be given, kbit/s.
    pub kbits: u64,
    /// The uplink of the media server's rack, once a media server was chosen.
    pub uplink: Option<Key>,
    /// The media server, once one was chosen.
    pub server: Option<Key>,
}

/// The step of a session that is to be admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Stage {
    /// A session was requested, and its media server is not known yet.
    Session,
    /// An attempt is about to go to a media server. The value is the number of the session's earlier attempts.
    Attempt(u16),
}

/// The units that a session or an attempt uses, to be released once when it ends. It can't be copied.
#[derive(Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[cfg_attr(feature = "fault_injection", derive(Clone))]
#[must_use]
pub struct Reservation(pub(crate) u64);

/// The units that a session or an attempt needs of one counter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Charge<'a> {
    pub(crate) claim: Claim,
    pub(crate) units: u64,
    pub(crate) limit: &'a LimitDefinition,
}

impl Subject {
    /// Returns the key of a limit's counter. Returns `None` if the session does not have the attribute.
    fn key(&self, scope: Scope) -> Option<Key> {
        match scope {
            Scope::All => Some(Key::default()),
            Scope::Customer => Some(self.customer.clone()),
            Scope::Title => Some(self.title.clone()),
            Scope::Class => Some(self.class.clone()),
            Scope::Viewer => self.viewer.clone(),
            Scope::Uplink => self.uplink.clone(),
            Scope::MediaServer => self.server.clone(),
        }
    }

    /// Returns the units that are needed at this stage, in the order of the limits' names.
    pub(crate) fn charges<'a>(
        &self,
        stage: Stage,
        definitions: &'a BTreeMap<Name, LimitDefinition>,
    ) -> Vec<Charge<'a>> {
        definitions.values().filter_map(|limit| self.charge(stage, limit)).collect()
    }

    fn charge<'a>(&self, stage: Stage, limit: &'a LimitDefinition) -> Option<Charge<'a>> {
        if !applies_at(stage, limit) {
            return None;
        }
        let key = self.key(limit.scope)?;
        if limit.only_key.as_ref().is_some_and(|only| *only != key) {
            return None;
        }
        let customer = if limit.weights.is_empty() { Key::default() } else { self.customer.clone() };
        let units = if limit.resource == Resource::Kbits { self.kbits } else { 1 };
        Some(Charge { claim: Claim { limit: limit.name.clone(), key, customer }, units, limit })
    }
}

/// Returns whether a limit is charged at a stage.
fn applies_at(stage: Stage, limit: &LimitDefinition) -> bool {
    match (limit.resource, stage) {
        (Resource::Attempts, Stage::Attempt(earlier)) => earlier > 0,
        (Resource::Attempts, Stage::Session) => false,
        // The first attempt is counted with the session, unless the counter depends on the media server.
        (Resource::SetUps, Stage::Attempt(earlier)) if !limit.scope.needs_media_server() => earlier > 0,
        _ => limit.scope.needs_media_server() != (stage == Stage::Session),
    }
}
