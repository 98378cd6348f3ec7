//! What a front asks of the fleet, on a thread of its own: its number, and its turn to restart. The front looks here at any
//! moment and never waits, but for its last moment, when it leaves its number to the next one of its seat.

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

/// The longest that the thread listens before it looks at the clock.
const LOOK: Duration = Duration::from_millis(20);
/// How long a front that ends waits for the word that its number is kept, while it still serves, and after that. A leader may just
/// have been lost; without the word its place runs out, as that of one that was killed.
const FAREWELL: (Duration, Duration) = (Duration::from_secs(4), Duration::from_millis(800));

/// A lease that is asked for, and what it is for.
struct Task {
    holder: Holder,
    name: String,
    /// A lease that can't be had as it is asked for is asked for no more.
    over: bool,
}

impl Task {
    fn new(terms: LeaseSpec, seat: Option<&Name>, set: &FleetSettings) -> Task {
        let name = terms.name.to_string();
        let holder = Holder::new(HolderId(rand::random()), terms, set.drift, rand::random());
        let holder = seat.map_or(holder.clone(), |seat| holder.with_instance(seat.clone()));
        Task { holder, name, over: false }
    }

    /// What is to be sent.
    fn take(&mut self, now: Duration, input: HolderInput) -> Vec<Request> {
        let mut requests = Vec::new();
        for output in self.holder.handle(now, input) {
            match output {
                HolderOutput::Send(request) if !self.over => requests.push(request),
                HolderOutput::Send(_) => {}
                HolderOutput::Acquired(token) => info!(lease = self.name, token = token.0, "held"),
                HolderOutput::Lost(token) => info!(lease = self.name, token = token.0, "lost"),
                HolderOutput::Rejected(why) => {
                    error!(lease = self.name, "can't be had: {why}");
                    self.over = true;
                }
            }
        }
        requests
    }
}

/// How far a front is that ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    /// It goes on.
    Not,
    /// Its number is being left, and nobody waits for longer than until then.
    Leaving(Duration),
    /// There is nothing more to wait for.
    Over,
}

struct State {
    number: Option<Task>,
    numbering: SlotAssignment,
    /// For how long its number is kept for the next one of its seat; none: it has no seat.
    keep_ms: Option<u32>,
    ending: Ending,
    turn: Option<Task>,
    /// Requests that the thread is to send.
    requests: Vec<Request>,
}

impl State {
    fn want(&mut self, now: Duration, of: impl FnOnce(&mut State) -> Option<&mut Task>) {
        let requests = of(self).map(|task| task.take(now, HolderInput::Acquire)).unwrap_or_default();
        self.requests.extend(requests);
    }

    /// Stops acting by its number for good, and leaves it to the next one of its seat: at once, or when what it did by it counts
    /// no more. Whether there is nothing more to wait for.
    fn leave(&mut self, now: Duration, at_once: bool) -> bool {
        let Some(keep_ms) = self.keep_ms else { return true };
        self.numbering.stop(now);
        let stopped = self.numbering.stopped().filter(|_| self.numbering.slot().is_some());
        let counts = stopped.is_some_and(|stopped| now < stopped.at + stopped.counts_for);
        let patience = if at_once { FAREWELL.1 } else { FAREWELL.0 };
        match self.ending {
            Ending::Not if counts && !at_once => {}
            Ending::Not => {
                self.ending = Ending::Over;
                if let (Some(task), Some(farewell)) =
                    (&mut self.number, self.numbering.handoff_offer(now, keep_ms))
                {
                    info!(of = farewell.slot_count, rest_ms = farewell.remaining_ms, "leaves its number");
                    let requests = task.take(now, HolderInput::HandOff(farewell));
                    self.requests.extend(requests);
                    self.ending = Ending::Leaving(now + patience);
                }
            }
            Ending::Leaving(until) => {
                // Told again to end at once, it waits no longer than that allows.
                let until = until.min(now + patience);
                let kept = self.number.as_ref().is_some_and(|t| t.holder.has_handed_off());
                if kept || now >= until {
                    info!(kept, "has left its number");
                    self.ending = Ending::Over;
                } else {
                    self.ending = Ending::Leaving(until);
                }
            }
            Ending::Over => {}
        }
        self.ending == Ending::Over
    }

    fn tasks(&mut self) -> impl Iterator<Item = &mut Task> {
        self.number.iter_mut().chain(self.turn.iter_mut())
    }
}

struct Shared {
    state: Mutex<State>,
    clock: Box<dyn Fn() -> Duration + Send + Sync>,
    end: AtomicBool,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A front's part in the fleet. It ends when it is dropped; what it holds runs out.
pub struct FrontLeases {
    shared: Arc<Shared>,
    restart: Option<RollingRestart>,
}

impl FrontLeases {
    /// Begins to ask for a number, if the settings want one. `span` is that of the pace which goes by it.
    ///
    /// # Errors
    /// There is no thread.
    pub fn start(set: &FleetSettings, span: Duration) -> io::Result<FrontLeases> {
        let seat = set.seat.as_ref();
        let number = set.number.clone().map(|terms| Task::new(terms, seat, set));
        let turn = set.restart.as_ref().map(|r| Task::new(r.terms.clone(), None, set));
        let numbering = SlotAssignment::new(set.drift, span);
        // For as long as a front takes to be back, if that is said; it costs nobody anything but a larger `of`.
        let back_ms = set.restart.as_ref().map_or(0, |r| r.terms.ttl_ms);
        let keep_ms =
            number.as_ref().zip(seat).map(|_| back_ms.max(set.number.as_ref().map_or(0, |t| t.ttl_ms)));
        let state = State { number, numbering, keep_ms, ending: Ending::Not, turn, requests: Vec::new() };
        let state = Mutex::new(state);
        let shared = Arc::new(Shared { state, clock: Box::new(set.clock()), end: AtomicBool::new(false) });
        let (its, way) = (Arc::clone(&shared), LeaderConnection::new(set.clone()));
        thread::Builder::new().name("agent".into()).stack_size(256 << 10).spawn(move || its.run(way))?;
        Ok(FrontLeases { shared, restart: set.restart.clone() })
    }

    /// This front's part, now, and how far numbers reach; nothing if its settings ask for no number.
    pub fn part(&self) -> Option<(SlotShare, u32)> {
        let mut state = self.shared.state();
        let State { number, numbering, .. } = &mut *state;
        let task = number.as_ref()?;
        // After the lock was waited for.
        let now = (self.shared.clock)();
        let permit = task.holder.permit(now);
        numbering.update(now, permit.as_ref());
        let reach = permit.map_or(0, |p| u32::from(p.position().slot_bound));
        Some((numbering.share(now), reach))
    }

    /// How turns are taken, if they are.
    pub fn restart(&self) -> Option<&RollingRestart> {
        self.restart.as_ref()
    }

    /// Asks for its turn to restart. It is not given back: it runs out while this front's next start comes up.
    pub fn want_turn(&self) {
        self.shared.state().want((self.shared.clock)(), |state| state.turn.as_mut());
    }

    /// Whether it is this front's turn to restart, now, and its number is left to the next one of its seat. From its turn on it
    /// acts by no number; what it can do without, it goes on doing until it may end.
    pub fn may_end(&self) -> bool {
        let mut state = self.shared.state();
        let now = (self.shared.clock)();
        // Once it has begun to leave, a turn that is lost does not call it back.
        let turn = state.ending != Ending::Not
            || state.turn.as_ref().is_some_and(|t| t.holder.permit(now).is_some());
        turn && state.leave(now, false)
    }

    /// Leaves its number at once, and waits for the word that it is kept, for a moment at most. Whoever acts by it has stopped.
    pub fn leave(&self) {
        let end = (self.shared.clock)() + 2 * FAREWELL.1;
        while !self.shared.state().leave((self.shared.clock)(), true) && (self.shared.clock)() < end {
            thread::sleep(LOOK / 4);
        }
    }
}

impl Drop for FrontLeases {
    fn drop(&mut self) {
        self.shared.end.store(true, Ordering::Relaxed);
    }
}

impl Shared {
    fn run(&self, mut way: LeaderConnection) {
        self.state().want((self.clock)(), |s| s.number.as_mut());
        while !self.end.load(Ordering::Relaxed) {
            let due = self.state().tasks().filter_map(|t| t.holder.next_due()).min().unwrap_or(Duration::MAX);
            let wait = due.saturating_sub((self.clock)()).min(LOOK);
            let input = way.hear(wait).unwrap_or(HolderInput::Tick);
            let requests = {
                let mut state = self.state();
                let now = (self.clock)();
                let more: Vec<Request> = state.tasks().flat_map(|t| t.take(now, input.clone())).collect();
                let State { number, numbering, .. } = &mut *state;
                numbering.update(now, number.as_ref().and_then(|t| t.holder.permit(now)).as_ref());
                let mut requests = std::mem::take(&mut state.requests);
                requests.extend(more);
                requests
            };
            // After the lock is let go: a connection may take its time.
            for request in requests {
                way.send(request);
            }
        }
    }
}
