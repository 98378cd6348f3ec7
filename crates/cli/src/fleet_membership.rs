//! A front's part in its fleet: membership, slot, quotas, outlier detection and, if it is a replica, a coordinator.

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

/// How long a front waits until what it leaves playing is in the coordinator's log; after that its whole share stays counted.
const QUOTA_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// A front's part in its fleet.
pub struct FleetMembership {
    leases: Arc<FrontLeases>,
    membership: Option<Arc<MembershipService>>,
    /// Quotas of all fronts, if the settings name any.
    quotas: Option<QuotaClient>,
    outlier_detector: Option<Arc<OutlierDetector>>,
    /// The coordinator of a front that is a replica too.
    coordinator: Option<CoordinatorThread>,
}

/// A coordinator on a thread of its own.
struct CoordinatorThread {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl CoordinatorThread {
    /// Stops the coordinator between two writes and waits for its thread.
    fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.join();
    }
}

/// Runs a coordinator within this process. If its disk fails it stops for good and the front goes on: other replicas serve.
fn run_coordinator(mut server: CoordinatorServer) {
    if let Err(error) = server.run() {
        tracing::error!("this front's coordinator stopped for good, the front serves on: {error}");
    }
}

impl FleetMembership {
    /// Joins the fleet. `span` is the time for which an action by the slot counts against its share.
    ///
    /// # Errors
    /// The fleet's address can't be listened on, or there is no thread.
    pub fn start(settings: &FleetSettings, span: Duration) -> io::Result<FleetMembership> {
        let (membership, coordinator) = if settings.is_replica() {
            let stop = Arc::new(AtomicBool::new(false));
            let server = CoordinatorServer::start_as(MemberKind::Front, settings.clone(), Arc::clone(&stop))
                .map_err(io::Error::other)?;
            let membership = server.membership();
            let thread =
                thread::Builder::new().name("keeper".into()).spawn(move || run_coordinator(server))?;
            (membership, Some(CoordinatorThread { stop, thread }))
        } else {
            (FleetMembership::join(settings)?, None)
        };
        let quotas = settings
            .quotas
            .as_ref()
            .map(|quotas| QuotaClient::start(settings, quotas, membership.clone()))
            .transpose()?;
        let outlier_detector = match (settings.outlier_detection, &membership) {
            (Some(detection), Some(service)) => {
                Some(Arc::new(OutlierDetector::start(settings, detection, Arc::clone(service))?))
            }
            _ => None,
        };
        Ok(FleetMembership {
            leases: Arc::new(FrontLeases::start(settings, span)?),
            membership,
            quotas,
            outlier_detector,
            coordinator,
        })
    }

    /// Joins the membership, if the settings name seeds.
    fn join(settings: &FleetSettings) -> io::Result<Option<Arc<MembershipService>>> {
        if settings.seeds.is_empty() {
            return Ok(None);
        }
        let with_address = |error: io::Error| match settings.listen {
            Some(listen) => io::Error::new(error.kind(), format!("fleet.listen {listen}: {error}")),
            None => error,
        };
        let service = MembershipService::start(settings, MemberKind::Front).map_err(with_address)?;
        service.serve_members().map_err(with_address)?;
        Ok(Some(Arc::new(service)))
    }

    /// The front's slot, to be read at any moment.
    pub fn slots(&self) -> Box<dyn Fn() -> Option<SlotAssignment> + Send> {
        let (leases, membership) = (Arc::clone(&self.leases), self.membership.clone());
        Box::new(move || {
            let front_slot = leases.slot()?;
            // Without a share: a slot that is not below the count.
            let (slot, slot_count) = match front_slot.share {
                SlotShare::Of { slot, slot_count } => (slot, slot_count),
                SlotShare::None => (0, 0),
            };
            let live_fronts =
                membership.as_ref().map_or(front_slot.slot_bound, |service| service.active_fronts()).max(1);
            Some(SlotAssignment { slot, slot_count, live_fronts })
        })
    }

    /// What connects a front to its fleet.
    pub fn hooks(&self) -> FleetHooks {
        let observer = self
            .outlier_detector
            .as_ref()
            .map(|detector| -> Box<dyn Observer> { Box::new(OutlierObserver::new(Arc::clone(detector))) });
        FleetHooks { slots: Some(self.slots()), observer, admission_controller: self.gate() }
    }

    /// Asks for the front's turn to restart, if fronts restart in turn; how long to wait for it at most.
    pub fn request_stop(&self) -> Option<Duration> {
        let restart = self.leases.rolling_restart()?;
        self.leases.request_restart_lease();
        Some(restart.wait)
    }

    /// Whether it is the front's turn now and its slot is handed over to its next process.
    pub fn may_stop(&self) -> bool {
        self.leases.may_stop()
    }

    /// The gate that admits by the quotas of all fronts, if there are any.
    pub fn gate(&self) -> Option<AdmissionController> {
        self.quotas.as_ref().map(QuotaClient::admission_controller)
    }

    /// Has media servers asked now and then what lost fronts left there.
    ///
    /// # Errors
    /// There is no thread.
    pub fn survey(&self, servers: MediaServers) -> io::Result<()> {
        self.quotas
            .as_ref()
            .map_or(Ok(()), |quotas| quotas.start_orphan_reconciliation(Box::new(move || servers.tags())))
    }

    /// Closes its quota account, hands its slot over if it has not yet, tells other members that it ends, and stops its
    /// coordinator.
    pub fn leave(&mut self) {
        if let Some(quotas) = self.quotas.take() {
            quotas.close(QUOTA_CLOSE_TIMEOUT);
        }
        self.leases.hand_off();
        if let Some(membership) = &self.membership {
            membership.leave();
        }
        if let Some(coordinator) = self.coordinator.take() {
            coordinator.stop();
        }
    }

    /// What connects a front node to its fleet.
    pub fn for_event_loop(&self) -> beechloft_event_loop::FleetHooks {
        let (requesting, checking) = (Arc::clone(&self.leases), Arc::clone(&self.leases));
        let max_stop_wait = self.leases.rolling_restart().map(|restart| restart.wait);
        beechloft_event_loop::FleetHooks {
            slot_assignment: self.slots(),
            may_stop: Box::new(move || checking.may_stop()),
            request_stop: Box::new(move || requesting.request_restart_lease()),
            max_stop_wait,
        }
    }
}
