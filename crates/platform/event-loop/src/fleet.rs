//! What a front node has to do with others of its fleet, if it has.

use std::collections::VecDeque;
use std::time::Duration;

use beechloft::api::{Micros, SlotAssignment};
use beechloft_front_node::{Input, Node};
use tracing::{info, warn};

use crate::run::Shell;

/// What a front node has to do with others of its fleet, if it has. Both are asked at any moment and must not wait.
pub struct Fleet {
    /// Its number among them, now; none: as the configuration says.
    pub numbered: Box<dyn Fn() -> Option<SlotAssignment> + Send>,
    /// Whether it may stop taking requests, now, once it was told to.
    pub may_end: Box<dyn Fn() -> bool + Send>,
    /// It is told to end, and waits for its turn.
    pub wants_end: Box<dyn Fn() + Send>,
    /// How long it waits for its turn at most; none: fronts do not take turns.
    pub waits: Option<Duration>,
}

/// Its place among others.
#[derive(Default)]
pub(crate) struct Among {
    fleet: Option<Fleet>,
    numbered: Option<SlotAssignment>,
    /// It was told to end, and waits for its turn until then at most.
    ends_by: Option<Micros>,
}

impl Among {
    /// Told once it waits for its turn, told twice it goes at once: an operator who does not want to wait.
    pub fn told_to_end(&mut self, now: Micros, signals: usize, inputs: &mut VecDeque<Input>) {
        let turns = self.fleet.as_ref().and_then(|f| Some((f, f.waits?)));
        match turns {
            Some((fleet, waits)) if self.ends_by.is_none() && signals < 2 => {
                (fleet.wants_end)();
                self.ends_by = Some(now + Micros(waits.as_micros() as u64));
            }
            _ => inputs.push_back(Input::Terminate),
        }
    }

    /// Looks whether it is its turn to end, if it was told to.
    pub fn look(&self, now: Micros, node: &Node, inputs: &mut VecDeque<Input>) {
        let Some(fleet) = &self.fleet else { return };
        let Some(by) = self.ends_by.filter(|_| node.terminated().is_none()) else { return };
        let turn = (fleet.may_end)();
        if turn || now >= by {
            if !turn {
                warn!("no turn to end within the time that is waited for one; it ends without");
            }
            inputs.push_back(Input::Terminate);
        }
    }

    /// Its number, if that has changed.
    pub fn renumbered(&mut self) -> Option<SlotAssignment> {
        let now = self.fleet.as_ref().and_then(|f| (f.numbered)());
        let changed = now.filter(|_| now != self.numbered)?;
        self.numbered = now;
        info!(number = changed.slot, of = changed.slot_count, fronts = changed.live_fronts, "numbered");
        Some(changed)
    }
}

impl Shell {
    /// From now on it is one of a fleet.
    pub fn join(&mut self, fleet: Fleet) {
        self.among.fleet = Some(fleet);
        self.renumber();
    }
}
