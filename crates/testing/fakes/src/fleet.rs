//! A fleet of boxes with its racks and its list service, and the troubles that befall it.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beechloft_checker::Recorder;
use beechloft_discovery::{MediaServerJson, TitleJson};

use crate::boxes::{BoxSpec, StandBox, Warming};
use crate::fault::Fault;
use crate::link::Racks;
use crate::list::ListService;

/// A title of a fleet.
#[derive(Debug, Clone)]
pub struct TitleSpec {
    /// Its name.
    pub name: String,
    /// Name of its class.
    pub class: String,
    /// Rates of its rungs, kB a second.
    pub rates_kb: Vec<f64>,
    /// Boxes that hold it, by number.
    pub holders: BTreeSet<u32>,
}

/// A box of a fleet.
#[derive(Debug, Clone)]
pub struct FleetBox {
    /// Its rack.
    pub rack: u16,
    /// Name of its zone.
    pub zone: String,
    /// Name of its kind.
    pub kind: String,
    /// Its size on the list.
    pub size: f64,
    /// Its link, kB a second.
    pub link_kb: f64,
    /// Streams at most.
    pub streams: usize,
    /// Set-ups worked on at once.
    pub cores: usize,
}

/// A fleet to be started.
#[derive(Debug, Clone)]
pub struct FleetSpec {
    /// Its boxes; numbers count from 1.
    pub boxes: Vec<FleetBox>,
    /// Uplink of each rack, kB a second.
    pub uplinks_kb: Vec<f64>,
    /// Its titles.
    pub titles: Vec<TitleSpec>,
    /// What a set-up takes of a core.
    pub set_up: Duration,
    /// Boxes turn set-ups away while so much of their link is asked; 0: never.
    pub guard: f64,
    /// How boxes warm up.
    pub warming: Option<Warming>,
    /// Seed of the boxes' draws.
    pub seed: u64,
}

/// A fleet that runs until it is dropped.
pub struct Fleet {
    boxes: BTreeMap<u32, StandBox>,
    racks: Arc<Racks>,
    /// The list service.
    pub list: ListService,
    lines: Mutex<BTreeMap<u32, MediaServerJson>>,
}

impl Fleet {
    /// Starts boxes, which have run for long, and the list service, which names them all.
    pub fn start(spec: &FleetSpec, recorder: &Recorder) -> io::Result<Fleet> {
        let racks = Arc::new(Racks::new(spec.uplinks_kb.iter().copied()));
        let list = ListService::start(recorder.clone())?;
        let (mut boxes, mut lines) = (BTreeMap::new(), BTreeMap::new());
        for (id, b) in (1..).zip(&spec.boxes) {
            let held = spec.titles.iter().filter(|t| t.holders.contains(&id));
            let box_spec = BoxSpec {
                id,
                rack: b.rack,
                link_kb: b.link_kb,
                streams: b.streams,
                cores: b.cores,
                set_up: spec.set_up,
                guard: spec.guard,
                titles: held.map(|t| (t.name.clone(), t.rates_kb.clone())).collect(),
                warming: spec.warming,
                seed: spec.seed.wrapping_add(u64::from(id).wrapping_mul(0x9e37_79b9)),
            };
            let started = StandBox::start(box_spec, racks.clone(), recorder.clone(), true)?;
            let line = MediaServerJson {
                id,
                name: format!("box-{id}.{}", b.zone),
                address: started.address().to_string(),
                sip: started.sip_address().map(|a| a.to_string()),
                state: "ready".into(),
                rack: b.rack,
                zone: b.zone.clone(),
                kind: b.kind.clone(),
                started_us: 0,
                size: b.size,
            };
            lines.insert(id, line);
            boxes.insert(id, started);
        }
        let titles: Vec<TitleJson> = spec
            .titles
            .iter()
            .map(|t| TitleJson {
                name: t.name.clone(),
                class: t.class.clone(),
                tenant: String::new(),
                holders: t.holders.clone(),
                length_s: None,
            })
            .collect();
        list.titles(&titles);
        list.boxes(&lines.values().cloned().collect::<Vec<_>>());
        Ok(Fleet { boxes, racks, list, lines: Mutex::new(lines) })
    }

    /// A box by number.
    pub fn get(&self, id: u32) -> Option<&StandBox> {
        self.boxes.get(&id)
    }

    /// All boxes.
    pub fn boxes(&self) -> impl Iterator<Item = (u32, &StandBox)> {
        self.boxes.iter().map(|(id, b)| (*id, b))
    }

    /// The racks.
    pub fn racks(&self) -> &Racks {
        &self.racks
    }

    fn lines(&self) -> MutexGuard<'_, BTreeMap<u32, MediaServerJson>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lines of all boxes as listed.
    pub fn listed(&self) -> Vec<MediaServerJson> {
        self.lines().values().cloned().collect()
    }

    /// Lists a box in another state.
    pub fn list_as(&self, id: u32, state: &str) {
        let line = {
            let mut lines = self.lines();
            let Some(line) = lines.get_mut(&id) else { return };
            line.state = state.to_owned();
            line.clone()
        };
        self.list.boxes(&[line]);
    }

    /// Puts a fault in force at a box.
    pub fn fault(&self, id: u32, fault: Fault) {
        if let Some(b) = self.boxes.get(&id) {
            b.fault(fault);
            if fault == Fault::Die {
                self.list_as(id, "gone");
            }
        }
    }

    /// Ends the faults of a box; one that died comes back cold, and the list says when it started.
    pub fn mend(&self, id: u32) {
        let Some(b) = self.boxes.get(&id) else { return };
        if b.is_up() {
            return b.clear();
        }
        if b.restart().is_ok() {
            let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
            let line = {
                let mut lines = self.lines();
                let Some(line) = lines.get_mut(&id) else { return };
                line.started_us = now.as_micros() as u64;
                line.state = "ready".into();
                line.clone()
            };
            self.list.boxes(&[line]);
        }
    }

    /// Sessions at all boxes.
    pub fn sessions(&self) -> usize {
        self.boxes.values().map(StandBox::sessions).sum()
    }
}
