//! The leases of a front: the lease of its slot, and the lease that permits a restart in a rolling restart.
//!
//! A separate thread acquires and renews them. The front's own threads read their state and never wait for the network, except
//! for [`FrontLeases::hand_off`] at the end, which hands the slot off to the next process of the instance.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use beechloft_leases::{
    Holder, HolderId, HolderInput, HolderOutput, LeaseSpec, Name, Request, SlotAssignment, SlotShare,
};
use tracing::{error, info};

use crate::client::LeaderConnection;
use crate::settings::{FleetSettings, RollingRestart};

/// Maximum wait of the thread before it checks the clock.
const MAX_WAIT: Duration = Duration::from_millis(20);
/// Timeout of the handoff while the front still serves. It is long enough for the election of a new leader. Without a response
/// the slot expires, like that of a killed process.
const HANDOFF_TIMEOUT: Duration = Duration::from_secs(4);
/// Timeout of the handoff once the front has stopped serving.
const FINAL_HANDOFF_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval at which a front that has stopped serving checks its handoff.
const HANDOFF_POLL_INTERVAL: Duration = Duration::from_millis(5);
const STACK_BYTES: usize = 256 << 10;

/// A lease of this front, with the state machine that acquires and renews it.
struct ManagedLease {
    holder: Holder,
    name: String,
    /// Whether the request was permanently rejected. No further request is sent then.
    rejected: bool,
}

impl ManagedLease {
    fn new(spec: LeaseSpec, instance: Option<&Name>, settings: &FleetSettings) -> ManagedLease {
        let name = spec.name.to_string();
        let holder = Holder::new(HolderId(rand::random()), spec, settings.drift_bound, rand::random());
        let holder = match instance {
            Some(instance) => holder.with_instance(instance.clone()),
            None => holder,
        };
        ManagedLease { holder, name, rejected: false }
    }

    /// Handles an input and returns the requests to be sent.
    fn handle(&mut self, now: Duration, input: HolderInput) -> Vec<Request> {
        let mut requests = Vec::new();
        for output in self.holder.handle(now, input) {
            match output {
                HolderOutput::Send(request) if !self.rejected => requests.push(request),
                HolderOutput::Send(_) => {}
                HolderOutput::Acquired(token) => {
                    info!(lease = self.name, token = token.0, "lease acquired");
                }
                HolderOutput::Lost(token) => info!(lease = self.name, token = token.0, "lease lost"),
                HolderOutput::Rejected(reason) => {
                    error!(lease = self.name, "lease request was permanently rejected: {reason}");
                    self.rejected = true;
                }
            }
        }
        requests
    }
}

/// The progress of a front's handoff of its slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HandoffState {
    /// The handoff has not begun.
    Idle,
    /// The handoff was requested. The front waits for the response until this time.
    Requested(Duration),
    /// The handoff was confirmed, has timed out or is not possible.
    Done,
}

/// Whether the front still serves during the handoff of its slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HandoffMode {
    /// The front serves. The handoff begins when its use of the slot no longer counts against the share.
    WhileServing,
    /// The front has stopped serving. The handoff begins at once.
    Final,
}

impl HandoffMode {
    fn timeout(self) -> Duration {
        match self {
            HandoffMode::WhileServing => HANDOFF_TIMEOUT,
            HandoffMode::Final => FINAL_HANDOFF_TIMEOUT,
        }
    }
}

struct State {
    slot: Option<ManagedLease>,
    assignment: SlotAssignment,
    /// The time for which the slot is reserved for the next process of the instance, milliseconds. `None` without an instance.
    reserve_ms: Option<u32>,
    handoff: HandoffState,
    restart_lease: Option<ManagedLease>,
    /// The requests that the thread has not sent yet.
    requests: Vec<Request>,
}

impl State {
    /// Starts to acquire the lease that `select` returns, if there is one.
    fn acquire(&mut self, now: Duration, select: impl FnOnce(&mut State) -> Option<&mut ManagedLease>) {
        let requests = select(self).map(|lease| lease.handle(now, HolderInput::Acquire)).unwrap_or_default();
        self.requests.extend(requests);
    }

    /// Stops the use of the slot permanently and hands it off. Returns whether the handoff is done.
    fn hand_off(&mut self, now: Duration, mode: HandoffMode) -> bool {
        let Some(reserve_ms) = self.reserve_ms else { return true };
        self.assignment.stop(now);
        match self.handoff {
            HandoffState::Idle if mode == HandoffMode::WhileServing && self.use_still_counts(now) => {}
            HandoffState::Idle => self.begin_handoff(now, reserve_ms, mode),
            HandoffState::Requested(deadline) => {
                // A final handoff shortens the wait of one that began while the front was serving.
                let deadline = deadline.min(now + mode.timeout());
                let confirmed = self.slot.as_ref().is_some_and(|lease| lease.holder.has_handed_off());
                if confirmed || now >= deadline {
                    info!(confirmed, "slot handoff ended");
                    self.handoff = HandoffState::Done;
                } else {
                    self.handoff = HandoffState::Requested(deadline);
                }
            }
            HandoffState::Done => {}
        }
        self.handoff == HandoffState::Done
    }

    /// Returns whether the front's past use of the slot still counts against the share.
    fn use_still_counts(&self, now: Duration) -> bool {
        let stopped = self.assignment.stopped().filter(|_| self.assignment.slot().is_some());
        stopped.is_some_and(|stopped| now < stopped.at + stopped.counts_for)
    }

    fn begin_handoff(&mut self, now: Duration, reserve_ms: u32, mode: HandoffMode) {
        self.handoff = HandoffState::Done;
        let offer = self.assignment.handoff_offer(now, reserve_ms);
        if let (Some(lease), Some(offer)) = (&mut self.slot, offer) {
            info!(slot_count = offer.slot_count, remaining_ms = offer.remaining_ms, "slot handoff requested");
            let requests = lease.handle(now, HolderInput::HandOff(offer));
            self.requests.extend(requests);
            self.handoff = HandoffState::Requested(now + mode.timeout());
        }
    }

    fn leases(&mut self) -> impl Iterator<Item = &mut ManagedLease> {
        self.slot.iter_mut().chain(self.restart_lease.iter_mut())
    }

    /// Updates the assignment from the permit of the slot's lease.
    fn update_assignment(&mut self, now: Duration) {
        let permit = self.slot.as_ref().and_then(|lease| lease.holder.permit(now));
        self.assignment.update(now, permit.as_ref());
    }
}

struct Shared {
    state: Mutex<State>,
    clock: Box<dyn Fn() -> Duration + Send + Sync>,
    stop: AtomicBool,
}

/// A front's share of fleet-wide rates by its slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FrontSlot {
    /// The share that the front may use.
    pub share: SlotShare,
    /// The exclusive upper bound of the slots in use, or 0 while the front has no slot.
    pub slot_bound: u32,
}

/// The leases of a front. The thread ends soon after this is dropped, and the drop does not wait for it. The leases then expire.
pub struct FrontLeases {
    shared: Arc<Shared>,
    rolling_restart: Option<RollingRestart>,
}

impl FrontLeases {
    /// Starts the thread, which acquires a slot if the settings define its lease. `span` is the time for which a use of the slot
    /// counts against its share.
    ///
    /// # Errors
    /// Returns an error if the thread can't be started.
    pub fn start(settings: &FleetSettings, span: Duration) -> io::Result<FrontLeases> {
        let instance = settings.instance.as_ref();
        let slot = settings.front_slot.clone().map(|spec| ManagedLease::new(spec, instance, settings));
        let restart = settings.rolling_restart.as_ref();
        let restart_lease = restart.map(|restart| ManagedLease::new(restart.lease.clone(), None, settings));
        let state = State {
            slot,
            assignment: SlotAssignment::new(settings.drift_bound, span),
            reserve_ms: reserve_ms(settings),
            handoff: HandoffState::Idle,
            restart_lease,
            requests: Vec::new(),
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            clock: Box::new(settings.clock()),
            stop: AtomicBool::new(false),
        });
        let (worker, connection) = (Arc::clone(&shared), LeaderConnection::new(settings.clone()));
        thread::Builder::new()
            .name("agent".into())
            .stack_size(STACK_BYTES)
            .spawn(move || worker.run(connection))?;
        Ok(FrontLeases { shared, rolling_restart: settings.rolling_restart.clone() })
    }

    /// Returns the share that this front may use now, or `None` if its settings define no slot lease.
    pub fn slot(&self) -> Option<FrontSlot> {
        let mut state = self.shared.state();
        let State { slot, assignment, .. } = &mut *state;
        let lease = slot.as_ref()?;
        // The clock is read after the lock was acquired, as acquiring it may take time.
        let now = (self.shared.clock)();
        let permit = lease.holder.permit(now);
        assignment.update(now, permit.as_ref());
        let slot_bound = permit.map_or(0, |permit| u32::from(permit.position().slot_bound));
        Some(FrontSlot { share: assignment.share(now), slot_bound })
    }

    /// Returns the settings of rolling restarts, or `None` if restarts are not coordinated.
    pub fn rolling_restart(&self) -> Option<&RollingRestart> {
        self.rolling_restart.as_ref()
    }

    /// Requests the lease that permits this front to restart. It is never released, but expires while the front's next process
    /// starts.
    pub fn request_restart_lease(&self) {
        self.shared.state().acquire((self.shared.clock)(), |state| state.restart_lease.as_mut());
    }

    /// Returns whether this front has the restart lease and the handoff of its slot is done.
    ///
    /// The front stops using its slot when it has the lease, and serves in all other respects until it may stop.
    pub fn may_stop(&self) -> bool {
        let mut state = self.shared.state();
        let now = (self.shared.clock)();
        // Once the handoff has begun, the loss of the restart lease does not revoke it.
        let may_restart = state.handoff != HandoffState::Idle
            || state.restart_lease.as_ref().is_some_and(|lease| lease.holder.permit(now).is_some());
        may_restart && state.hand_off(now, HandoffMode::WhileServing)
    }

    /// Hands the slot off at once and waits for the response, at most for twice the final handoff timeout. All use of the slot
    /// must have stopped before.
    pub fn hand_off(&self) {
        let deadline = (self.shared.clock)() + 2 * FINAL_HANDOFF_TIMEOUT;
        while !self.shared.state().hand_off((self.shared.clock)(), HandoffMode::Final)
            && (self.shared.clock)() < deadline
        {
            thread::sleep(HANDOFF_POLL_INTERVAL);
        }
    }
}

/// Returns the time for which a handed-off slot is reserved: the duration of a restart, if the settings define it, and at least
/// the time to live of the slot's lease. Returns `None` if there is no slot or no instance.
fn reserve_ms(settings: &FleetSettings) -> Option<u32> {
    let slot = settings.front_slot.as_ref().filter(|_| settings.instance.is_some())?;
    let restart_ms = settings.rolling_restart.as_ref().map_or(0, |restart| restart.lease.ttl_ms);
    Some(restart_ms.max(slot.ttl_ms))
}

impl Drop for FrontLeases {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(&self, mut connection: LeaderConnection) {
        self.state().acquire((self.clock)(), |state| state.slot.as_mut());
        while !self.stop.load(Ordering::Relaxed) {
            let deadline = self
                .state()
                .leases()
                .filter_map(|lease| lease.holder.next_due())
                .min()
                .unwrap_or(Duration::MAX);
            let wait = deadline.saturating_sub((self.clock)()).min(MAX_WAIT);
            let input = connection.receive_input(wait).unwrap_or(HolderInput::Tick);
            // Requests are sent after the lock is released, as sending may block.
            for request in self.handle(&input) {
                connection.send_request(request);
            }
        }
    }

    /// Has each lease handle an input. Returns the requests to be sent, beginning with those that were pending.
    fn handle(&self, input: &HolderInput) -> Vec<Request> {
        let mut state = self.state();
        let now = (self.clock)();
        let new: Vec<Request> = state.leases().flat_map(|lease| lease.handle(now, input.clone())).collect();
        state.update_assignment(now);
        let mut requests = std::mem::take(&mut state.requests);
        requests.extend(new);
        requests
    }
}
