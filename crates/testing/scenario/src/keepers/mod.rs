//! The keepers of a day, the candidates for a lease, and the links between all of them and the fronts: processes that are
//! killed, stopped and let go on, and relays that cut and delay.

mod between;
mod group;
mod processes;
mod spec;
mod topic;
mod troubles;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use beechloft_checker::{Recorder, What};
use beechloft_coordinator::FleetSettings;
use beechloft_fakes::resource::Resource;
use beechloft_fault_proxy::TcpProxy;
use beechloft_fault_proxy::ports::ReservedPort;
use serde_json::json;

use self::group::Group;
use self::processes::AGAIN;
use self::topic::TopicDay;
use self::troubles::Chosen;

pub use between::{Between, Which};
pub use spec::KeepersSpec;
pub use topic::TopicSpec;

/// How long a group of keepers may take to come together.
const UP_WITHIN: Duration = Duration::from_secs(20);

/// The keepers and candidates of a day.
pub struct Keepers {
    spec: KeepersSpec,
    program: PathBuf,
    folder: PathBuf,
    addresses: Vec<SocketAddr>,
    _ports: Vec<ReservedPort>,
    keepers: Vec<Option<Group>>,
    candidates: Vec<Option<Group>>,
    ended_at: Vec<Option<Instant>>,
    /// From a process to a keeper: keepers come first, then candidates, then fronts.
    relays: BTreeMap<(usize, usize), TcpProxy>,
    resource: Resource,
    recorder: Recorder,
    asks: FleetSettings,
    chosen: BTreeMap<usize, Chosen>,
    over: bool,
    fronts: usize,
    topic: TopicDay,
}

impl Keepers {
    /// Starts the keepers, and waits until they have come together.
    ///
    /// # Errors
    /// Sockets, files, processes; or they do not come together in time.
    pub fn start(
        spec: &KeepersSpec,
        fronts: usize,
        program: &Path,
        folder: &Path,
        recorder: &Recorder,
    ) -> io::Result<Keepers> {
        let ports = ReservedPort::reserve_all(spec.count as usize)?;
        let addresses: Vec<SocketAddr> = ports.iter().map(ReservedPort::address).collect();
        let all = addresses.len() + spec.candidates as usize + fronts;
        let all = all + spec.topic.as_ref().map_or(0, TopicSpec::places);
        let mut relays = BTreeMap::new();
        for from in 0..all {
            for (to, address) in addresses.iter().enumerate().filter(|(to, _)| *to != from) {
                relays.insert((from, to), TcpProxy::start(*address)?);
            }
        }
        let mut made = Keepers {
            spec: spec.clone(),
            program: program.to_owned(),
            folder: folder.to_owned(),
            keepers: addresses.iter().map(|_| None).collect(),
            candidates: (0..spec.candidates).map(|_| None).collect(),
            ended_at: (0..spec.candidates).map(|_| Some(Instant::now() - AGAIN)).collect(),
            relays,
            resource: Resource::start(recorder)?,
            recorder: recorder.clone(),
            asks: FleetSettings::default(),
            addresses,
            _ports: ports,
            chosen: BTreeMap::new(),
            over: false,
            fronts,
            topic: TopicDay::default(),
        };
        let text = json!({ "fleet": made.section(None) }).to_string();
        made.asks = FleetSettings::read(&text).map_err(|e| io::Error::other(e.to_string()))?;
        for n in 0..made.keepers.len() {
            made.start_keeper(n)?;
        }
        let until = Instant::now() + UP_WITHIN;
        while made.leader().is_none() {
            if Instant::now() >= until {
                return Err(io::Error::other("the keepers do not come together"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        made.begin_topic()?;
        Ok(made)
    }

    /// Ends the candidates: nobody is to act any more.
    pub fn end_acts(&mut self) {
        if !std::mem::replace(&mut self.over, true) && !self.candidates.is_empty() {
            self.recorder.note(What::ActsEnd);
        }
        self.candidates.iter_mut().for_each(|c| *c = None);
    }
}
