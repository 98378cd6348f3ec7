//! A front node as one of a fleet: its slot, and its turn to restart.

use std::collections::VecDeque;
use std::time::Duration;

use beechloft::api::{Micros, SlotAssignment};
use beechloft_front_node::{Input, Node};
use tracing::{info, warn};

/// What a front node asks its fleet. The loop calls these at any time; none of them may block.
pub struct FleetHooks {
    /// The front node's slot in the fleet now; `None`: as the configuration says.
    pub slot_assignment: Box<dyn Fn() -> Option<SlotAssignment> + Send>,
    /// Whether the front node may stop now, after it requested to.
    pub may_stop: Box<dyn Fn() -> bool + Send>,
    /// Requests the front node's turn to stop.
    pub request_stop: Box<dyn Fn() + Send>,
    /// How long the front node waits for its turn at most; `None`: restarts are not coordinated.
    pub max_stop_wait: Option<Duration>,
}

/// The front node's state as one of a fleet; without hooks it is on its own.
#[derive(Default)]
pub(crate) struct FleetMembership {
    hooks: Option<FleetHooks>,
    slot: Option<SlotAssignment>,
    /// The front node waits for its turn to stop, at most until then.
    stop_wait_until: Option<Micros>,
}

impl FleetMembership {
    /// Uses these hooks from now on.
    pub fn join(&mut self, hooks: FleetHooks) {
        self.hooks = Some(hooks);
    }

    /// Handles `signals` arrivals of SIGTERM. After the first, the front node waits for its turn; a second one means an
    /// operator who does not want to wait, and it stops at once.
    pub fn handle_sigterm(&mut self, now: Micros, signals: usize, inputs: &mut VecDeque<Input>) {
        let coordinated = self.hooks.as_ref().and_then(|hooks| Some((hooks, hooks.max_stop_wait?)));
        match coordinated {
            Some((hooks, max_wait)) if self.stop_wait_until.is_none() && signals < 2 => {
                (hooks.request_stop)();
                let max_wait = u64::try_from(max_wait.as_micros()).unwrap_or(u64::MAX);
                self.stop_wait_until = Some(now + Micros(max_wait));
            }
            _ => inputs.push_back(Input::Terminate),
        }
    }

    /// Stops the front node if it waits for its turn and that has come, or the wait is over.
    pub fn check_stop_permission(&self, now: Micros, node: &Node, inputs: &mut VecDeque<Input>) {
        let Some(hooks) = &self.hooks else { return };
        let waits = self.stop_wait_until.filter(|_| node.shutdown_requested_at().is_none());
        let Some(wait_until) = waits else { return };
        let permitted = (hooks.may_stop)();
        if !permitted && now < wait_until {
            return;
        }
        if !permitted {
            warn!("no turn to end within the time that is waited for one; it ends without");
        }
        inputs.push_back(Input::Terminate);
    }

    /// The front node's slot, if it has changed since the last call.
    pub fn take_slot_change(&mut self) -> Option<SlotAssignment> {
        let current = self.hooks.as_ref().and_then(|hooks| (hooks.slot_assignment)());
        let changed = current.filter(|_| current != self.slot)?;
        self.slot = current;
        info!(number = changed.slot, of = changed.slot_count, fronts = changed.live_fronts, "numbered");
        Some(changed)
    }
}
