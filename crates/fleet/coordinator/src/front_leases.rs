//! The leases of a front, on a thread of their own: the slot that it works by, and its turn in a rolling restart.
//!
//! The front reads them at any moment and waits for a lock at most, but for its last moment, when it hands its slot to the next
//! process of its instance.

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

/// The thread waits no longer than this before it checks the clock.
const MAX_WAIT: Duration = Duration::from_millis(20);
/// How long a front that stops waits for the response to its handoff while it still serves: a leader may just have been lost.
/// Without a response the slot expires, as that of a killed process does.
const HANDOFF_TIMEOUT: Duration = Duration::from_secs(4);
/// The same once the front serves no more.
const FINAL_HANDOFF_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval at which a front that serves no more checks its handoff.
const HANDOFF_POLL_INTERVAL: Duration = Duration::from_millis(5);
const STACK_BYTES: usize = 256 << 10;

/// A lease that is acquired and renewed.
struct LeaseTask {
    holder: Holder,
    name: String,
    /// The request was rejected for good, and is made no more.
    rejected: bool,
}

impl LeaseTask {
    fn new(spec: LeaseSpec, instance: Option<&Name>, settings: &FleetSettings) -> LeaseTask {
        let name = spec.name.to_string();
        let holder = Holder::new(HolderId(rand::random()), spec, settings.drift_bound, rand::random());
        let holder = match instance {
            Some(instance) => holder.with_instance(instance.clone()),
            None => holder,
        };
        LeaseTask { holder, name, rejected: false }
    }

    /// Handles an input; the requests to be sent.
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
                    error!(lease = self.name, "the lease request was rejected for good: {reason}");
                    self.rejected = true;
                }
            }
        }
        requests
    }
}

/// How far a front's handoff of its slot is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HandoffState {
    /// Not begun.
    Idle,
    /// Requested; nobody waits for the response past this time.
    Requested(Duration),
    /// There is nothing more to wait for.
    Done,
}

/// Whether the front still serves while it hands its slot over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HandoffMode {
    /// It serves: the handoff begins when what it did by its slot counts no more.
    WhileServing,
    /// It serves no more: the handoff begins at once.
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
    slot: Option<LeaseTask>,
    assignment: SlotAssignment,
    /// For how long the slot is reserved for the next process of the instance, milliseconds; none without an instance.
    reserve_ms: Option<u32>,
    handoff: HandoffState,
    restart_turn: Option<LeaseTask>,
    /// Requests that the thread is to send.
    requests: Vec<Request>,
}

impl State {
    fn acquire(&mut self, now: Duration, task: impl FnOnce(&mut State) -> Option<&mut LeaseTask>) {
        let requests = task(self).map(|task| task.handle(now, HolderInput::Acquire)).unwrap_or_default();
        self.requests.extend(requests);
    }

    /// Stops the use of the slot for good and hands it over. Whether there is nothing more to wait for.
    fn hand_off(&mut self, now: Duration, mode: HandoffMode) -> bool {
        let Some(reserve_ms) = self.reserve_ms else { return true };
        self.assignment.stop(now);
        match self.handoff {
            HandoffState::Idle if mode == HandoffMode::WhileServing && self.use_still_counts(now) => {}
            HandoffState::Idle => self.begin_handoff(now, reserve_ms, mode),
            HandoffState::Requested(deadline) => {
                // A final handoff shortens the wait of one that began before.
                let deadline = deadline.min(now + mode.timeout());
                let confirmed = self.slot.as_ref().is_some_and(|task| task.holder.has_handed_off());
                if confirmed || now >= deadline {
                    info!(kept = confirmed, "has left its number");
                    self.handoff = HandoffState::Done;
                } else {
                    self.handoff = HandoffState::Requested(deadline);
                }
            }
            HandoffState::Done => {}
        }
        self.handoff == HandoffState::Done
    }

    /// Whether what the front did by its slot still counts.
    fn use_still_counts(&self, now: Duration) -> bool {
        let stopped = self.assignment.stopped().filter(|_| self.assignment.slot().is_some());
        stopped.is_some_and(|stopped| now < stopped.at + stopped.counts_for)
    }

    fn begin_handoff(&mut self, now: Duration, reserve_ms: u32, mode: HandoffMode) {
        self.handoff = HandoffState::Done;
        let offer = self.assignment.handoff_offer(now, reserve_ms);
        if let (Some(task), Some(offer)) = (&mut self.slot, offer) {
            info!(slot_count = offer.slot_count, remaining_ms = offer.remaining_ms, "leaves its number");
            let requests = task.handle(now, HolderInput::HandOff(offer));
            self.requests.extend(requests);
            self.handoff = HandoffState::Requested(now + mode.timeout());
        }
    }

    fn tasks(&mut self) -> impl Iterator<Item = &mut LeaseTask> {
        self.slot.iter_mut().chain(self.restart_turn.iter_mut())
    }

    /// Brings the assignment up to date with the slot's permit.
    fn update_assignment(&mut self, now: Duration) {
        let permit = self.slot.as_ref().and_then(|task| task.holder.permit(now));
        self.assignment.update(now, permit.as_ref());
    }
}

struct Shared {
    state: Mutex<State>,
    clock: Box<dyn Fn() -> Duration + Send + Sync>,
    stop: AtomicBool,
}

/// What a front may do by its slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FrontSlot {
    /// Its share.
    pub share: SlotShare,
    /// Slots that are in use lie below this; 0 while the slot is not held.
    pub slot_bound: u32,
}

/// The leases of a front. Its thread ends soon after it is dropped, without being waited for; what is held then expires.
pub struct FrontLeases {
    shared: Arc<Shared>,
    rolling_restart: Option<RollingRestart>,
}

impl FrontLeases {
    /// Starts the thread and acquires a slot, if the settings ask for one. `span` is the time for which an action by the slot
    /// counts against its share.
    ///
    /// # Errors
    /// There is no thread.
    pub fn start(settings: &FleetSettings, span: Duration) -> io::Result<FrontLeases> {
        let instance = settings.instance.as_ref();
        let slot = settings.front_slot.clone().map(|spec| LeaseTask::new(spec, instance, settings));
        let restart = settings.rolling_restart.as_ref();
        let restart_turn = restart.map(|restart| LeaseTask::new(restart.lease.clone(), None, settings));
        let state = State {
            slot,
            assignment: SlotAssignment::new(settings.drift_bound, span),
            reserve_ms: reserve_ms(settings),
            handoff: HandoffState::Idle,
            restart_turn,
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

    /// What this front may do by its slot now; none if its settings ask for no slot.
    pub fn slot(&self) -> Option<FrontSlot> {
        let mut state = self.shared.state();
        let State { slot, assignment, .. } = &mut *state;
        let task = slot.as_ref()?;
        // The time is taken after the lock was waited for.
        let now = (self.shared.clock)();
        let permit = task.holder.permit(now);
        assignment.update(now, permit.as_ref());
        let slot_bound = permit.map_or(0, |permit| u32::from(permit.position().slot_bound));
        Some(FrontSlot { share: assignment.share(now), slot_bound })
    }

    /// The settings of rolling restarts, if fronts restart in turn.
    pub fn rolling_restart(&self) -> Option<&RollingRestart> {
        self.rolling_restart.as_ref()
    }

    /// Asks for this front's turn to restart. It is not released: it expires while the front's next process comes up.
    pub fn request_restart_turn(&self) {
        self.shared.state().acquire((self.shared.clock)(), |state| state.restart_turn.as_mut());
    }

    /// Whether it is this front's turn to restart and its slot is handed over. From its turn on the front does nothing by its
    /// slot; the rest it goes on doing until it may stop.
    pub fn may_stop(&self) -> bool {
        let mut state = self.shared.state();
        let now = (self.shared.clock)();
        // Once the handoff has begun, the loss of the turn does not revoke it.
        let has_turn = state.handoff != HandoffState::Idle
            || state.restart_turn.as_ref().is_some_and(|task| task.holder.permit(now).is_some());
        has_turn && state.hand_off(now, HandoffMode::WhileServing)
    }

    /// Hands the slot over at once, and waits for the response for 1.6 s at most. Whoever acted by the slot must have stopped.
    pub fn hand_off(&self) {
        let deadline = (self.shared.clock)() + 2 * FINAL_HANDOFF_TIMEOUT;
        while !self.shared.state().hand_off((self.shared.clock)(), HandoffMode::Final)
            && (self.shared.clock)() < deadline
        {
            thread::sleep(HANDOFF_POLL_INTERVAL);
        }
    }
}

/// The slot is reserved for as long as a front takes to be back, if the settings say that, and no less than its lease.
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
            let deadline =
                self.state().tasks().filter_map(|task| task.holder.next_due()).min().unwrap_or(Duration::MAX);
            let wait = deadline.saturating_sub((self.clock)()).min(MAX_WAIT);
            let input = connection.receive_input(wait).unwrap_or(HolderInput::Tick);
            // Sent after the lock is released: a connection may take its time.
            for request in self.handle(&input) {
                connection.send_request(request);
            }
        }
    }

    /// Has each lease handle an input; the requests to be sent, those that were waiting first.
    fn handle(&self, input: &HolderInput) -> Vec<Request> {
        let mut state = self.state();
        let now = (self.clock)();
        let new: Vec<Request> = state.tasks().flat_map(|task| task.handle(now, input.clone())).collect();
        state.update_assignment(now);
        let mut requests = std::mem::take(&mut state.requests);
        requests.extend(new);
        requests
    }
}
