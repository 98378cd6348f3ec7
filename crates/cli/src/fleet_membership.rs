//! A front as one of a fleet: a member if its settings name seeds, with a number and a turn to restart if they ask for them.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use beechloft_coordinator::{
    CoordinatorServer, FleetSettings, FrontLeases, MembershipService, OutlierDetector, QuotaClient,
};
use beechloft_leases::SlotShare;
use beechloft_membership::MemberKind;
use beechloft_quotas::AdmissionController;
use beechloft_server::evidence::Observer;
use beechloft_server::{FleetHooks, MediaServers};
use beechloft_session::api::SlotAssignment;

use crate::outlier_observer::OutlierObserver;

/// How long a front waits until what it leaves playing is in the keepers' log; after that its whole share stays counted for it.
const CLOSE_WITHIN: Duration = Duration::from_secs(1);

/// What a front has of its fleet.
pub struct FleetMembership {
    agent: Arc<FrontLeases>,
    peers: Option<Arc<MembershipService>>,
    /// Limits that hold for all fronts, if its settings ask for any.
    limiter: Option<QuotaClient>,
    verdicts: Option<Arc<OutlierDetector>>,
    /// A front may be a keeper besides, on a thread of its own.
    keeping: Option<(Arc<AtomicBool>, JoinHandle<()>)>,
}

/// A keeper within this process. If its disk fails it stops for good, and the front goes on: others keep.
fn keep(mut keeping: CoordinatorServer) {
    if let Err(e) = keeping.run() {
        tracing::error!("this front keeps no more, and serves on: {e}");
    }
}

impl FleetMembership {
    /// Joins. `span` is that of the pace which goes by the number.
    ///
    /// # Errors
    /// The fleet's address can't be listened on, or there is no thread.
    pub fn start(set: &FleetSettings, span: Duration) -> io::Result<FleetMembership> {
        let (peers, keeping) = if set.keeps() {
            let end = Arc::new(AtomicBool::new(false));
            let keeping = CoordinatorServer::start_as(MemberKind::Front, set.clone(), Arc::clone(&end));
            let keeping = keeping.map_err(|e| io::Error::other(e.to_string()))?;
            let peers = keeping.members();
            let thread = thread::Builder::new().name("keeper".into()).spawn(move || keep(keeping))?;
            (peers, Some((end, thread)))
        } else {
            (FleetMembership::member(set)?, None)
        };
        let limits = set.limits.as_ref();
        let limiter = limits.map(|limits| QuotaClient::start(set, limits, peers.clone())).transpose()?;
        let verdicts = match (set.verdicts, &peers) {
            (Some(verdicts), Some(peers)) => {
                Some(Arc::new(OutlierDetector::start(set, verdicts, Arc::clone(peers))?))
            }
            _ => None,
        };
        Ok(FleetMembership {
            agent: Arc::new(FrontLeases::start(set, span)?),
            peers,
            limiter,
            verdicts,
            keeping,
        })
    }

    /// As a member, if its settings name seeds.
    fn member(set: &FleetSettings) -> io::Result<Option<Arc<MembershipService>>> {
        if set.seeds.is_empty() {
            return Ok(None);
        }
        let said = |e: io::Error| match set.listen {
            Some(listen) => io::Error::new(e.kind(), format!("fleet.listen {listen}: {e}")),
            None => e,
        };
        let peers = MembershipService::start(set, MemberKind::Front).map_err(said)?;
        peers.answer().map_err(said)?;
        Ok(Some(Arc::new(peers)))
    }

    /// Its number, for whoever asks at any moment.
    pub fn numbers(&self) -> Box<dyn Fn() -> Option<SlotAssignment> + Send> {
        let (agent, peers) = (Arc::clone(&self.agent), self.peers.clone());
        Box::new(move || {
            // Without a part: a number that is not under them all.
            let (number, of, reach) = match agent.part()? {
                (SlotShare::Of { slot: number, slot_count: of }, reach) => (number, of, reach),
                (SlotShare::None, reach) => (0, 0, reach),
            };
            let fronts = peers.as_ref().map_or(reach, |p| p.fronts()).max(1);
            Some(SlotAssignment { slot: number, slot_count: of, live_fronts: fronts })
        })
    }

    /// What a front is told by its fleet, and tells it.
    pub fn hooks(&self) -> FleetHooks {
        let observer = self
            .verdicts
            .as_ref()
            .map(|v| -> Box<dyn Observer> { Box::new(OutlierObserver::new(Arc::clone(v))) });
        FleetHooks { slots: Some(self.numbers()), observer, gate: self.gate() }
    }

    /// It is told to end: it asks for its turn, if fronts restart in turn; how long it is to wait at most.
    pub fn wants_end(&self) -> Option<Duration> {
        let restart = self.agent.restart()?;
        self.agent.want_turn();
        Some(restart.wait)
    }

    /// Whether it is its turn now, and its number is left to its next start.
    pub fn may_end(&self) -> bool {
        self.agent.may_end()
    }

    /// What admits by limits that hold for all fronts, if there are any.
    pub fn gate(&self) -> Option<AdmissionController> {
        self.limiter.as_ref().map(QuotaClient::gate)
    }

    /// Has the boxes asked now and then what lost fronts left there.
    ///
    /// # Errors
    /// There is no thread.
    pub fn survey(&self, boxes: MediaServers) -> io::Result<()> {
        self.limiter.as_ref().map_or(Ok(()), |l| l.survey(Box::new(move || boxes.tags())))
    }

    /// Tells others that it ends, leaves its number if it has not yet, and ends its keeper between two saves.
    pub fn leave(&mut self) {
        if let Some(limiter) = self.limiter.take() {
            limiter.close(CLOSE_WITHIN);
        }
        self.agent.leave();
        if let Some(peers) = &self.peers {
            peers.leave();
        }
        if let Some((end, thread)) = self.keeping.take() {
            end.store(true, Ordering::Relaxed);
            let _ = thread.join();
        }
    }

    /// The same, as a front node asks for it.
    pub fn for_event_loop(&self) -> beechloft_event_loop::FleetHooks {
        let (wants, may) = (Arc::clone(&self.agent), Arc::clone(&self.agent));
        let waits = self.agent.restart().map(|r| r.wait);
        beechloft_event_loop::FleetHooks {
            slot_assignment: self.numbers(),
            may_stop: Box::new(move || may.may_end()),
            request_stop: Box::new(move || wants.want_turn()),
            max_stop_wait: waits,
        }
    }
}
