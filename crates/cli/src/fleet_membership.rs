//! Connects a front to its fleet: membership, slot, quotas, outlier detection and, if the front is a replica, a coordinator.

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

/// Time that a leaving front waits until the sessions that it leaves playing are in the coordinator's log. After that its whole
/// share of each quota stays counted.
const QUOTA_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// A front's connections to the services of its fleet.
pub struct FleetMembership {
    leases: Arc<FrontLeases>,
    membership: Option<Arc<MembershipService>>,
    /// Client of the fleet-wide quotas, if the settings define any.
    quotas: Option<QuotaClient>,
    outlier_detector: Option<Arc<OutlierDetector>>,
    /// Coordinator of a front that is a replica too.
    coordinator: Option<CoordinatorThread>,
}

/// Coordinator that runs on its own thread.
struct CoordinatorThread {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl CoordinatorThread {
    /// Stops the coordinator between two writes and joins its thread.
    fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.join();
    }
}

/// Runs a coordinator within this process. If its disk fails, the coordinator stops for good while the front keeps serving, as
/// other replicas take over.
fn run_coordinator(mut server: CoordinatorServer) {
    if let Err(error) = server.run() {
        tracing::error!("this front's coordinator stopped for good; the front keeps serving: {error}");
    }
}

impl FleetMembership {
    /// Joins the fleet. `slot_share_window` is the time for which an action by the slot counts against its share.
    ///
    /// # Errors
    /// The fleet's address can't be listened on, or a thread can't be started.
    pub fn start(settings: &FleetSettings, slot_share_window: Duration) -> io::Result<FleetMembership> {
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
            leases: Arc::new(FrontLeases::start(settings, slot_share_window)?),
            membership,
            quotas,
            outlier_detector,
            coordinator,
        })
    }

    /// Joins the membership. Returns `None` if the settings name no seeds.
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

    /// Returns a function that reads the front's current slot.
    pub fn slots(&self) -> Box<dyn Fn() -> Option<SlotAssignment> + Send> {
        let (leases, membership) = (Arc::clone(&self.leases), self.membership.clone());
        Box::new(move || {
            let front_slot = leases.slot()?;
            // A slot that is not below the count stands for no share.
            let (slot, slot_count) = match front_slot.share {
                SlotShare::Of { slot, slot_count } => (slot, slot_count),
                SlotShare::None => (0, 0),
            };
            let live_fronts =
                membership.as_ref().map_or(front_slot.slot_bound, |service| service.active_fronts()).max(1);
            Some(SlotAssignment { slot, slot_count, live_fronts })
        })
    }

    /// Returns the hooks that connect a front to its fleet.
    pub fn hooks(&self) -> FleetHooks {
        let observer = self
            .outlier_detector
            .as_ref()
            .map(|detector| -> Box<dyn Observer> { Box::new(OutlierObserver::new(Arc::clone(detector))) });
        FleetHooks { slots: Some(self.slots()), observer, admission_controller: self.admission_controller() }
    }

    /// Requests the restart lease if the fleet has rolling restarts. Returns the maximum time to wait for it, or `None` if fronts
    /// may stop at any time.
    pub fn request_stop(&self) -> Option<Duration> {
        let restart = self.leases.rolling_restart()?;
        self.leases.request_restart_lease();
        Some(restart.wait)
    }

    /// Whether the front holds the restart lease and has handed its slot over to its next process.
    pub fn may_stop(&self) -> bool {
        self.leases.may_stop()
    }

    /// Returns the controller that admits sessions by the fleet-wide quotas, or `None` if there are no quotas.
    pub fn admission_controller(&self) -> Option<AdmissionController> {
        self.quotas.as_ref().map(QuotaClient::admission_controller)
    }

    /// Starts asking media servers periodically for the sessions that lost fronts left there.
    ///
    /// # Errors
    /// A thread can't be started.
    pub fn start_orphan_reconciliation(&self, servers: MediaServers) -> io::Result<()> {
        self.quotas
            .as_ref()
            .map_or(Ok(()), |quotas| quotas.start_orphan_reconciliation(Box::new(move || servers.tags())))
    }

    /// Leaves the fleet: closes the quota account, hands the slot over if that has not happened yet, announces the leave to other
    /// members, and stops the coordinator.
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

    /// Returns the hooks that connect a front node to its fleet.
    pub fn event_loop_hooks(&self) -> beechloft_event_loop::FleetHooks {
        let leases_for_check = Arc::clone(&self.leases);
        let leases_for_request = Arc::clone(&self.leases);
        let max_stop_wait = self.leases.rolling_restart().map(|restart| restart.wait);
        beechloft_event_loop::FleetHooks {
            slot_assignment: self.slots(),
            may_stop: Box::new(move || leases_for_check.may_stop()),
            request_stop: Box::new(move || leases_for_request.request_restart_lease()),
            max_stop_wait,
        }
    }
}
