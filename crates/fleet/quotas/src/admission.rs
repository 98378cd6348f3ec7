//! Which limits apply to a session, in which order, and how much it takes of each.

use std::collections::BTreeMap;

use beechloft_leases::Name;

use crate::definition::{LimitDefinition, Resource, Scope};
use crate::message::{Claim, Key};

/// The attributes of a session that limits refer to.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Subject {
    /// The customer that the title belongs to.
    pub customer: Key,
    /// The title.
    pub title: Key,
    /// Its class.
    pub class: Key,
    /// The viewer, if one is known.
    pub viewer: Option<Key>,
    /// The highest rate that it may be given, kbit/s.
    pub kbits: u64,
    /// The uplink of the media server's rack, once a server was chosen.
    pub uplink: Option<Key>,
    /// The media server, once one was chosen.
    pub server: Option<Key>,
}

/// The point of a session at which it is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Stage {
    /// A session was requested; its media server is not known.
    Session,
    /// An attempt goes to a media server; the number of earlier attempts of the session.
    Attempt(u16),
}

/// The units that a session or an attempt holds, to be released once, when it ends. It can't be copied.
#[derive(Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[cfg_attr(feature = "fault_injection", derive(Clone))]
#[must_use]
pub struct Reservation(pub(crate) u64);

/// The units that a session needs of one counter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Due<'a> {
    pub(crate) claim: Claim,
    pub(crate) units: u64,
    pub(crate) of: &'a LimitDefinition,
}

impl Subject {
    fn key(&self, of: Scope) -> Option<Key> {
        match of {
            Scope::All => Some(Key::default()),
            Scope::Customer => Some(self.customer.clone()),
            Scope::Title => Some(self.title.clone()),
            Scope::Class => Some(self.class.clone()),
            Scope::Viewer => self.viewer.clone(),
            Scope::Uplink => self.uplink.clone(),
            Scope::Box => self.server.clone(),
        }
    }

    /// What it needs at this stage, in the order of the names of the limits.
    pub(crate) fn dues<'a>(&self, stage: Stage, all: &'a BTreeMap<Name, LimitDefinition>) -> Vec<Due<'a>> {
        all.values().filter_map(|of| self.due(stage, of)).collect()
    }

    fn due<'a>(&self, stage: Stage, of: &'a LimitDefinition) -> Option<Due<'a>> {
        let first = stage == Stage::Session;
        let applies = match (of.counts, stage) {
            (Resource::Attempts, Stage::Attempt(before)) => before > 0,
            (Resource::Attempts, Stage::Session) => false,
            // The first attempt is counted with the session, if the media server does not matter.
            (Resource::SetUps, Stage::Attempt(before)) if !of.of.needs_box() => before > 0,
            _ => of.of.needs_box() != first,
        };
        let key = applies.then(|| self.key(of.of)).flatten()?;
        if of.only.as_ref().is_some_and(|only| *only != key) {
            return None;
        }
        let customer = if of.weights.is_empty() { Key::default() } else { self.customer.clone() };
        let units = if of.counts == Resource::Kbits { self.kbits } else { 1 };
        Some(Due { claim: Claim { limit: of.name.clone(), key, customer }, units, of })
    }
}
