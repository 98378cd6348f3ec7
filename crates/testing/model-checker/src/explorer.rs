//! Breadth-first exploration of a model.

use std::collections::HashSet;
use std::time::Instant;

use crate::fingerprint::fingerprint_of;
use crate::model::{Counterexample, Exploration, Limits, Model};

/// Index of a state in the record of predecessors.
type StateId = usize;

/// How a state was reached.
enum Origin<A> {
    /// The state is the initial state with this index.
    Initial(usize),
    /// The state was reached by an event from an earlier state.
    Event(StateId, A),
}

/// A state of the current level.
struct LevelState<M: Model> {
    state: M::State,
    id: StateId,
}

/// A state after an event.
struct Successor<M: Model> {
    state: M::State,
    fingerprint: u128,
    predecessor: StateId,
    action: M::Action,
    violation: Option<String>,
}

/// The new states that one thread found, and the number of events that it performed.
struct Expansion<M: Model> {
    successors: Vec<Successor<M>>,
    events: usize,
}

/// Progress of an exploration.
struct Explorer<'a, M: Model> {
    model: &'a M,
    limits: Limits,
    origins: Vec<Origin<M::Action>>,
    visited: HashSet<u128>,
    level: Vec<LevelState<M>>,
    events: usize,
    depth: usize,
}

/// Explores a model in breadth-first order.
///
/// # Errors
/// Returns a shortest sequence of events that violates an invariant, if there is one within the limits.
pub fn explore<M: Model>(model: &M, limits: Limits) -> Result<Exploration, Counterexample<M::Action>> {
    let started_at = Instant::now();
    let mut explorer = Explorer {
        model,
        limits,
        origins: Vec::new(),
        visited: HashSet::new(),
        level: Vec::new(),
        events: 0,
        depth: 0,
    };
    explorer.add_initial_states()?;
    while explorer.may_continue() && explorer.expand_level()? {
        explorer.depth += 1;
    }
    Ok(Exploration {
        states: explorer.visited.len(),
        events: explorer.events,
        depth: explorer.depth,
        complete: explorer.depth == limits.depth || explorer.level.is_empty(),
        elapsed: started_at.elapsed(),
    })
}

impl<M: Model> Explorer<'_, M> {
    fn add_initial_states(&mut self) -> Result<(), Counterexample<M::Action>> {
        for (index, state) in self.model.initial_states().into_iter().enumerate() {
            if let Some(violation) = self.model.violation(&state) {
                let states = self.visited.len();
                return Err(Counterexample { violation, initial_state: index, trace: Vec::new(), states });
            }
            self.origins.push(Origin::Initial(index));
            if self.visited.insert(fingerprint_of(self.model, &state)) {
                self.level.push(LevelState { state, id: self.origins.len() - 1 });
            }
        }
        Ok(())
    }

    fn may_continue(&self) -> bool {
        self.depth < self.limits.depth && !self.level.is_empty() && self.visited.len() < self.limits.states
    }

    /// Replaces the current level by the next one. Returns false if the limit of states was reached.
    fn expand_level(&mut self) -> Result<bool, Counterexample<M::Action>> {
        let expansions = self.expand_in_parallel();
        self.level.clear();
        for Expansion { successors, events } in expansions {
            self.events += events;
            for successor in successors {
                if self.visited.insert(successor.fingerprint) && !self.add_successor(successor)? {
                    return Ok(false);
                }
            }
        }
        Ok(true)
    }

    fn expand_in_parallel(&self) -> Vec<Expansion<M>> {
        let part_len = self.level.len().div_ceil(self.limits.threads.max(1)).max(1);
        std::thread::scope(|scope| {
            let parts = self.level.chunks(part_len);
            let threads: Vec<_> =
                parts.map(|part| scope.spawn(|| expand(self.model, part, &self.visited))).collect();
            // Propagates a panic of the model.
            let join = |thread: std::thread::ScopedJoinHandle<'_, Expansion<M>>| {
                thread.join().unwrap_or_else(|panic| std::panic::resume_unwind(panic))
            };
            threads.into_iter().map(join).collect()
        })
    }

    /// Adds a new state to the next level. Returns false if the limit of states was reached.
    fn add_successor(&mut self, successor: Successor<M>) -> Result<bool, Counterexample<M::Action>> {
        let Successor { state, predecessor, action, violation, .. } = successor;
        self.origins.push(Origin::Event(predecessor, action));
        let id = self.origins.len() - 1;
        if let Some(violation) = violation {
            return Err(self.counterexample(violation, id));
        }
        if self.visited.len() >= self.limits.states {
            return Ok(false);
        }
        self.level.push(LevelState { state, id });
        Ok(true)
    }

    fn counterexample(&self, violation: String, last: StateId) -> Counterexample<M::Action> {
        let mut trace = Vec::new();
        let mut id = last;
        let initial_state = loop {
            match &self.origins[id] {
                Origin::Initial(index) => break *index,
                Origin::Event(predecessor, action) => {
                    trace.push(action.clone());
                    id = *predecessor;
                }
            }
        };
        trace.reverse();
        Counterexample { violation, initial_state, trace, states: self.visited.len() }
    }
}

/// Returns the successors of a part of a level that were not visited before.
fn expand<M: Model>(model: &M, part: &[LevelState<M>], visited: &HashSet<u128>) -> Expansion<M> {
    let mut successors = Vec::new();
    let mut events = 0;
    let mut own = HashSet::new();
    for LevelState { state, id } in part {
        for action in model.actions(state) {
            let mut next = state.clone();
            model.step(&mut next, &action);
            events += 1;
            let fingerprint = fingerprint_of(model, &next);
            if visited.contains(&fingerprint) || !own.insert(fingerprint) {
                continue;
            }
            let violation = model.violation(&next);
            successors.push(Successor { state: next, fingerprint, predecessor: *id, action, violation });
        }
    }
    Expansion { successors, events }
}
