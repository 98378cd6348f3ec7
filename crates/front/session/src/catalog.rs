//! The list as a front knows it: boxes, and which of them hold each title.
//!
//! Three rules keep a sick list service from doing harm. A failed call or a lost stream changes nothing. An empty
//! snapshot is taken for a failure while boxes are known: a service that lost its own data says the same. A box named
//! twice in one message counts in its least ready state, and the contradiction is said.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use beechloft::api::*;

/// Boxes in one message at most; a longer one is refused whole.
pub const MAX_BOXES: usize = 20_000;
/// Titles at most, over all messages.
pub const MAX_TITLES: usize = 200_000;

/// What a client speaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Protocol {
    /// WHEP: it watches.
    #[default]
    Whep,
    /// WHIP: it publishes.
    Whip,
    /// SIP: it calls.
    Sip,
}

/// A box, as the list tells it.
#[derive(Debug, Clone, PartialEq)]
pub struct BoxLine {
    /// Its number, the same for every front.
    pub id: ServerId,
    /// Its name, for people.
    pub name: Arc<str>,
    /// Where it listens: `host:port`.
    pub url: Arc<str>,
    /// Where it takes SIP calls, if it does.
    pub sip: Option<Arc<str>>,
    /// Its state.
    pub state: EndpointState,
    /// The rack it stands in.
    pub rack: u16,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind.
    pub kind: ServerType,
    /// Latest start of its process; zero: long ago or unknown.
    pub started: Micros,
    /// Its size, as [`Sizes`] says.
    pub size: f64,
}

/// A title, as the list tells it.
#[derive(Debug, Clone, PartialEq)]
pub struct TitleLine {
    /// Its name in addresses.
    pub name: Arc<str>,
    /// Class of those who watch it.
    pub class: ClassId,
    /// Who pays for it.
    pub tenant: TenantId,
    /// The boxes that hold it.
    pub holders: BTreeSet<ServerId>,
    /// How long a session of it lasts, roughly.
    pub length: Option<Micros>,
}

/// A message of the list service.
#[derive(Debug, Clone, PartialEq)]
pub enum ListUpdate {
    /// All there is.
    Snapshot {
        /// Read from a copy that this front kept, perhaps long ago.
        cached: bool,
        /// All boxes.
        boxes: Vec<BoxLine>,
        /// All titles.
        titles: Vec<TitleLine>,
    },
    /// What changed. A box that is gone comes with that state; a title that is gone by name.
    Change {
        /// Boxes that changed.
        boxes: Vec<BoxLine>,
        /// Titles that changed.
        titles: Vec<TitleLine>,
        /// Titles that are gone.
        gone: Vec<Arc<str>>,
    },
    /// The stream broke or a call failed.
    Failed,
}

impl BoxLine {
    /// Where sessions of a protocol are set up; none: not at this box.
    pub fn address(&self, protocol: Protocol) -> Option<&Arc<str>> {
        match protocol {
            Protocol::Whep | Protocol::Whip => Some(&self.url),
            Protocol::Sip => self.sip.as_ref(),
        }
    }
}

/// A title, ready to be asked for.
#[derive(Debug, Clone)]
pub struct Title {
    /// Its number inside this front.
    pub id: TitleId,
    /// Class of those who watch it.
    pub class: ClassId,
    /// Who pays for it.
    pub tenant: TenantId,
    /// The boxes that hold it.
    pub holders: Arc<BTreeSet<ServerId>>,
    /// How long a session of it lasts, roughly.
    pub length: Option<Micros>,
}

/// What a message came to.
#[derive(Debug, Default)]
pub struct Applied {
    /// For the module.
    pub event: Option<Event>,
    /// Boxes whose address is new.
    pub moved: Vec<ServerId>,
    /// Boxes that went off the list.
    pub gone: Vec<ServerId>,
    /// What was wrong with it.
    pub faults: Vec<String>,
}

/// The list as known now.
#[derive(Debug, Default)]
pub struct Catalog {
    boxes: BTreeMap<ServerId, BoxLine>,
    titles: BTreeMap<Arc<str>, Title>,
    next_title: u64,
    heard: bool,
}

fn readiness(state: EndpointState) -> u8 {
    match state {
        EndpointState::Removed => 0,
        EndpointState::Draining => 1,
        EndpointState::Ready => 2,
    }
}

impl Catalog {
    /// Takes a message over.
    pub fn apply(&mut self, update: ListUpdate) -> Applied {
        let mut done = Applied::default();
        let (form, boxes, titles, gone) = match update {
            ListUpdate::Failed => {
                done.event =
                    Some(Event::EndpointsUpdated { kind: UpdateKind::Failed, endpoints: Vec::new() });
                return done;
            }
            ListUpdate::Snapshot { boxes, .. } if boxes.is_empty() && !self.boxes.is_empty() => {
                done.faults.push("an empty list is taken for a failure; the boxes known stay".into());
                done.event =
                    Some(Event::EndpointsUpdated { kind: UpdateKind::Failed, endpoints: Vec::new() });
                return done;
            }
            ListUpdate::Snapshot { cached, boxes, titles } => {
                (if cached { UpdateKind::Cached } else { UpdateKind::Full }, boxes, titles, Vec::new())
            }
            ListUpdate::Change { boxes, titles, gone } => (UpdateKind::Delta, boxes, titles, gone),
        };
        if boxes.len() > MAX_BOXES || titles.len() > MAX_TITLES {
            done.faults.push(format!(
                "a list of {} boxes and {} titles is refused",
                boxes.len(),
                titles.len()
            ));
            return done;
        }
        self.heard = true;
        let boxes = self.merge(boxes, &mut done.faults);
        let whole = form != UpdateKind::Delta;
        if whole {
            done.gone.extend(self.boxes.keys().filter(|id| !boxes.contains_key(id)));
        }
        done.gone.extend(boxes.values().filter(|b| b.state == EndpointState::Removed).map(|b| b.id));
        done.moved.extend(boxes.values().filter(|b| self.is_new_address(b)).map(|b| b.id));
        done.event =
            Some(Event::EndpointsUpdated { kind: form, endpoints: boxes.values().map(entry).collect() });
        self.boxes.extend(boxes);
        for id in &done.gone {
            self.boxes.remove(id);
        }
        self.apply_titles(whole, titles, gone, &mut done.faults);
        done
    }

    fn merge(&self, boxes: Vec<BoxLine>, faults: &mut Vec<String>) -> BTreeMap<ServerId, BoxLine> {
        let mut merged: BTreeMap<ServerId, BoxLine> = BTreeMap::new();
        for line in boxes {
            let Some(known) = merged.get_mut(&line.id) else {
                merged.insert(line.id, line);
                continue;
            };
            if *known != line {
                faults.push(format!(
                    "box {} ({}) is named twice; its least ready state holds",
                    line.id.0, line.name
                ));
            }
            if readiness(line.state) < readiness(known.state) {
                known.state = line.state;
            }
            known.started = known.started.max(line.started);
        }
        merged
    }

    fn is_new_address(&self, line: &BoxLine) -> bool {
        line.state != EndpointState::Removed && self.boxes.get(&line.id).is_none_or(|b| b.url != line.url)
    }

    fn apply_titles(
        &mut self,
        whole: bool,
        titles: Vec<TitleLine>,
        gone: Vec<Arc<str>>,
        faults: &mut Vec<String>,
    ) {
        let mut before = if whole { std::mem::take(&mut self.titles) } else { BTreeMap::new() };
        for name in gone {
            self.titles.remove(&name);
        }
        for line in titles {
            // Numbers stay with names, so that seats are counted on.
            let known = self.titles.get(&line.name).map(|t| t.id).or(before.remove(&line.name).map(|t| t.id));
            if known.is_none() && self.titles.len() >= MAX_TITLES {
                faults.push(format!("title {} is left out: {MAX_TITLES} are known", line.name));
                continue;
            }
            let id = known.unwrap_or_else(|| {
                self.next_title += 1;
                TitleId(self.next_title)
            });
            let TitleLine { name, class, tenant, holders, length } = line;
            self.titles.insert(name, Title { id, class, tenant, holders: Arc::new(holders), length });
        }
    }

    /// Whether any list has been seen.
    pub fn heard(&self) -> bool {
        self.heard
    }

    /// A title by name.
    pub fn title(&self, name: &str) -> Option<&Title> {
        self.titles.get(name)
    }

    /// A title's name as it is kept here.
    pub(crate) fn name(&self, name: &str) -> Option<Arc<str>> {
        self.titles.get_key_value(name).map(|(name, _)| name.clone())
    }

    /// A box by number.
    pub fn server(&self, id: ServerId) -> Option<&BoxLine> {
        self.boxes.get(&id)
    }

    /// Those of a title's holders that speak a protocol.
    pub fn holders(&self, title: &Title, protocol: Protocol) -> Arc<BTreeSet<ServerId>> {
        if protocol != Protocol::Sip {
            return title.holders.clone(); // every box speaks WHEP and WHIP
        }
        let speaks = |id: &&ServerId| self.server(**id).is_some_and(|b| b.address(protocol).is_some());
        Arc::new(title.holders.iter().filter(speaks).copied().collect())
    }

    /// All boxes known.
    pub fn boxes(&self) -> impl Iterator<Item = &BoxLine> {
        self.boxes.values()
    }

    /// Names of all titles known.
    pub fn titles(&self) -> impl Iterator<Item = &Arc<str>> {
        self.titles.keys()
    }
}

fn entry(b: &BoxLine) -> Endpoint {
    Endpoint {
        server: b.id,
        state: b.state,
        cell: CellId(b.rack),
        zone: b.zone,
        server_type: b.kind,
        started_at: b.started,
        weight: b.size,
    }
}
