//! The coordinator's replicas in a day, the candidates for a lease, and the links between them and the fronts.
//!
//! The processes can be killed, suspended and resumed, and the links run through fault proxies that cut and delay them.

mod disruptions;
mod process_faults;
mod process_group;
mod processes;
mod spec;
mod topic;

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

use self::disruptions::Target;
use self::process_group::ProcessGroup;
use self::processes::RESTART_DELAY;
use self::topic::TopicRun;

pub use process_faults::{ProcessFault, ReplicaSelector};
pub use spec::CoordinatorSpec;
pub use topic::TopicSpec;

/// Time within which the replicas must elect a leader after their start.
const ELECTION_TIMEOUT: Duration = Duration::from_secs(20);

/// Replicas of the coordinator and candidates for a lease.
pub struct Coordinator {
    spec: CoordinatorSpec,
    program: PathBuf,
    folder: PathBuf,
    addresses: Vec<SocketAddr>,
    _ports: Vec<ReservedPort>,
    replicas: Vec<Option<ProcessGroup>>,
    candidates: Vec<Option<ProcessGroup>>,
    /// Time at which each candidate's command exited, or `None` while it runs or must not be started again.
    ended_at: Vec<Option<Instant>>,
    /// Fault proxies by process and replica. Processes are numbered with replicas first, then candidates, fronts, and the
    /// writers and readers of the topic.
    proxies: BTreeMap<(usize, usize), TcpProxy>,
    resource: Resource,
    recorder: Recorder,
    client_settings: FleetSettings,
    /// Target of each active disruption, by the disruption's index.
    targets: BTreeMap<usize, Target>,
    is_over: bool,
    fronts: usize,
    topic: TopicRun,
}

impl Coordinator {
    /// Starts the replicas and waits until they have elected a leader.
    ///
    /// # Errors
    /// Returns an error if a socket, file or process can't be created, or if no leader is elected in time.
    pub fn start(
        spec: &CoordinatorSpec,
        fronts: usize,
        program: &Path,
        folder: &Path,
        recorder: &Recorder,
    ) -> io::Result<Coordinator> {
        let ports = ReservedPort::reserve_all(spec.count as usize)?;
        let addresses: Vec<SocketAddr> = ports.iter().map(ReservedPort::address).collect();
        let process_count = addresses.len() + spec.candidates as usize + fronts;
        let process_count = process_count + spec.topic.as_ref().map_or(0, TopicSpec::client_count);
        let mut proxies = BTreeMap::new();
        for from in 0..process_count {
            for (to, address) in addresses.iter().enumerate().filter(|(to, _)| *to != from) {
                proxies.insert((from, to), TcpProxy::start(*address)?);
            }
        }
        let mut coordinator = Coordinator {
            spec: spec.clone(),
            program: program.to_owned(),
            folder: folder.to_owned(),
            replicas: addresses.iter().map(|_| None).collect(),
            candidates: (0..spec.candidates).map(|_| None).collect(),
            ended_at: (0..spec.candidates).map(|_| Some(Instant::now() - RESTART_DELAY)).collect(),
            proxies,
            resource: Resource::start(recorder)?,
            recorder: recorder.clone(),
            client_settings: FleetSettings::default(),
            addresses,
            _ports: ports,
            targets: BTreeMap::new(),
            is_over: false,
            fronts,
            topic: TopicRun::default(),
        };
        let text = json!({ "fleet": coordinator.section(None) }).to_string();
        coordinator.client_settings =
            FleetSettings::read(&text).map_err(|e| io::Error::other(e.to_string()))?;
        for replica in 0..coordinator.replicas.len() {
            coordinator.start_replica(replica)?;
        }
        let deadline = Instant::now() + ELECTION_TIMEOUT;
        while coordinator.leader().is_none() {
            if Instant::now() >= deadline {
                return Err(io::Error::other("the coordinator's replicas did not elect a leader in time"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        coordinator.start_topic()?;
        Ok(coordinator)
    }

    /// Ends the candidates, after which no process operates on the resource.
    pub fn end_candidates(&mut self) {
        if !std::mem::replace(&mut self.is_over, true) && !self.candidates.is_empty() {
            self.recorder.note(What::ActsEnd);
        }
        self.candidates.iter_mut().for_each(|candidate| *candidate = None);
    }
}
