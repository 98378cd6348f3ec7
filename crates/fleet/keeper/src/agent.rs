//! What a front asks of the fleet, on a thread of its own: its number, and its turn to restart. The front looks here at any
//! moment and never waits.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use beechloft_leases::{Holder, HolderId, HolderInput, HolderOutput, Numbering, Part, Request, Terms};
use tracing::{error, info};

use crate::client::Way;
use crate::settings::{FleetSettings, Restart};

/// The longest that the thread listens before it looks at the clock.
const LOOK: Duration = Duration::from_millis(20);

/// A lease that is asked for, and what it is for.
struct Task {
    holder: Holder,
    name: String,
    /// A lease that can't be had as it is asked for is asked for no more.
    over: bool,
}

impl Task {
    fn new(terms: Terms, set: &FleetSettings) -> Task {
        let name = terms.name.to_string();
        Task {
            holder: Holder::new(HolderId(rand::random()), terms, set.drift, rand::random()),
            name,
            over: false,
        }
    }

    /// What is to be sent.
    fn take(&mut self, now: Duration, input: HolderInput) -> Vec<Request> {
        let mut requests = Vec::new();
        for output in self.holder.handle(now, input) {
            match output {
                HolderOutput::Send(request) if !self.over => requests.push(request),
                HolderOutput::Send(_) => {}
                HolderOutput::Held(token) => info!(lease = self.name, token = token.0, "held"),
                HolderOutput::Lost(token) => info!(lease = self.name, token = token.0, "lost"),
                HolderOutput::Never(why) => {
                    error!(lease = self.name, "can't be had: {why}");
                    self.over = true;
                }
            }
        }
        requests
    }
}

struct State {
    number: Option<Task>,
    numbering: Numbering,
    turn: Option<Task>,
    /// Requests that the thread is to send.
    requests: Vec<Request>,
}

impl State {
    fn want(&mut self, now: Duration, of: impl FnOnce(&mut State) -> Option<&mut Task>) {
        let requests = of(self).map(|task| task.take(now, HolderInput::Want)).unwrap_or_default();
        self.requests.extend(requests);
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
pub struct Agent {
    shared: Arc<Shared>,
    restart: Option<Restart>,
}

impl Agent {
    /// Begins to ask for a number, if the settings want one. `span` is that of the pace which goes by it.
    ///
    /// # Errors
    /// There is no thread.
    pub fn start(set: &FleetSettings, span: Duration) -> io::Result<Agent> {
        let number = set.number.clone().map(|terms| Task::new(terms, set));
        let turn = set.restart.as_ref().map(|r| Task::new(r.terms.clone(), set));
        let numbering = Numbering::new(set.drift, span);
        let state = Mutex::new(State { number, numbering, turn, requests: Vec::new() });
        let shared = Arc::new(Shared { state, clock: Box::new(set.clock()), end: AtomicBool::new(false) });
        let (its, way) = (Arc::clone(&shared), Way::new(set.clone()));
        thread::Builder::new().name("agent".into()).stack_size(256 << 10).spawn(move || its.run(way))?;
        Ok(Agent { shared, restart: set.restart.clone() })
    }

    /// This front's part, now, and how far numbers reach; nothing if its settings ask for no number.
    pub fn part(&self) -> Option<(Part, u32)> {
        let mut state = self.shared.state();
        let State { number, numbering, .. } = &mut *state;
        let task = number.as_ref()?;
        // After the lock was waited for.
        let now = (self.shared.clock)();
        let permit = task.holder.permit(now);
        numbering.look(now, permit.as_ref());
        let reach = permit.map_or(0, |p| u32::from(p.standing().reach));
        Some((numbering.part(now), reach))
    }

    /// How turns are taken, if they are.
    pub fn restart(&self) -> Option<&Restart> {
        self.restart.as_ref()
    }

    /// Asks for its turn to restart. It is not given back: it runs out while this front's next start comes up.
    pub fn want_turn(&self) {
        self.shared.state().want((self.shared.clock)(), |state| state.turn.as_mut());
    }

    /// Whether it is this front's turn to restart, now.
    pub fn has_turn(&self) -> bool {
        let state = self.shared.state();
        let now = (self.shared.clock)();
        state.turn.as_ref().is_some_and(|t| t.holder.permit(now).is_some())
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.shared.end.store(true, Ordering::Relaxed);
    }
}

impl Shared {
    fn run(&self, mut way: Way) {
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
                numbering.look(now, number.as_ref().and_then(|t| t.holder.permit(now)).as_ref());
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
