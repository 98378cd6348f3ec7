//! Membership of a front node in a fleet: its slot, and its permission to stop in a rolling restart.

use std::collections::VecDeque;
use std::time::Duration;

use beechloft::api::{Micros, SlotAssignment};
use beechloft_front_node::{Input, Node};
use tracing::{info, warn};

/// Queries and requests of a front node to its fleet. The loop calls them at any time, so none of them may block.
pub struct FleetHooks {
    /// Returns the current slot of the front node in the fleet, or `None` if the slot of the configuration applies.
    pub slot_assignment: Box<dyn Fn() -> Option<SlotAssignment> + Send>,
    /// Returns whether the front node may stop, after it has requested to.
    pub may_stop: Box<dyn Fn() -> bool + Send>,
    /// Requests permission for the front node to stop.
    pub request_stop: Box<dyn Fn() + Send>,
    /// Time for which the front node waits for the permission at most. `None` if restarts are not coordinated.
    pub max_stop_wait: Option<Duration>,
}

/// State of the front node's membership in a fleet. Without hooks the front node runs alone.
#[derive(Default)]
pub(crate) struct FleetMembership {
    hooks: Option<FleetHooks>,
    slot: Option<SlotAssignment>,
    /// Time until which the front node waits for permission to stop. `None` if it has not requested to stop.
    stop_deadline: Option<Micros>,
}

impl FleetMembership {
    /// Sets the hooks of the fleet.
    pub fn join(&mut self, hooks: FleetHooks) {
        self.hooks = Some(hooks);
    }

    /// Handles `signals` arrivals of SIGTERM.
    ///
    /// After the first SIGTERM the front node waits for permission to stop. A second one means that an operator does not
    /// want to wait, and the front node stops immediately.
    pub fn handle_sigterm(&mut self, now: Micros, signals: usize, inputs: &mut VecDeque<Input>) {
        let coordinated = self.hooks.as_ref().and_then(|hooks| Some((hooks, hooks.max_stop_wait?)));
        match coordinated {
            Some((hooks, max_wait)) if self.stop_deadline.is_none() && signals < 2 => {
                (hooks.request_stop)();
                let max_wait = u64::try_from(max_wait.as_micros()).unwrap_or(u64::MAX);
                self.stop_deadline = Some(now + Micros(max_wait));
            }
            _ => inputs.push_back(Input::Terminate),
        }
    }

    /// Stops the front node if it waits for permission to stop and has it, or if the maximum wait is over.
    pub fn check_stop_permission(&self, now: Micros, node: &Node, inputs: &mut VecDeque<Input>) {
        let Some(hooks) = &self.hooks else { return };
        let pending_stop = self.stop_deadline.filter(|_| node.shutdown_requested_at().is_none());
        let Some(deadline) = pending_stop else { return };
        let permitted = (hooks.may_stop)();
        if !permitted && now < deadline {
            return;
        }
        if !permitted {
            warn!("no permission to stop within the maximum wait; stopping without it");
        }
        inputs.push_back(Input::Terminate);
    }

    /// Returns the slot of the front node if it has changed since the last call.
    pub fn take_slot_change(&mut self) -> Option<SlotAssignment> {
        let current = self.hooks.as_ref().and_then(|hooks| (hooks.slot_assignment)());
        let changed = current.filter(|_| current != self.slot)?;
        self.slot = current;
        info!(number = changed.slot, of = changed.slot_count, fronts = changed.live_fronts, "numbered");
        Some(changed)
    }
}
