//! Tests with a small model.

use std::hash::Hash;

use crate::{FingerprintHasher, Limits, Model, explore};

/// Two counters that are incremented up to three, with an invariant about their sum.
struct Counters {
    max_sum: u8,
}

impl Model for Counters {
    type State = (u8, u8);
    type Action = bool;

    fn initial_states(&self) -> Vec<(u8, u8)> {
        vec![(0, 0)]
    }

    fn actions(&self, state: &(u8, u8)) -> Vec<bool> {
        [true, false].into_iter().filter(|a| if *a { state.0 < 3 } else { state.1 < 3 }).collect()
    }

    fn step(&self, state: &mut (u8, u8), action: &bool) {
        if *action { state.0 += 1 } else { state.1 += 1 }
    }

    fn fingerprint(&self, state: &(u8, u8), hasher: &mut FingerprintHasher) {
        state.hash(hasher);
    }

    fn violation(&self, state: &(u8, u8)) -> Option<String> {
        (state.0 + state.1 > self.max_sum).then(|| format!("{state:?}"))
    }
}

const LIMITS: Limits = Limits { depth: 20, states: 1000, threads: 3 };

#[test]
fn every_state_is_visited_exactly_once() {
    let all = explore(&Counters { max_sum: 9 }, LIMITS).expect("no violation");
    assert_eq!((all.states, all.events, all.complete), (16, 24, true));
    let shallow = explore(&Counters { max_sum: 9 }, Limits { depth: 2, ..LIMITS }).expect("no violation");
    assert_eq!((shallow.states, shallow.depth, shallow.complete), (6, 2, true));
    let cut = explore(&Counters { max_sum: 9 }, Limits { states: 5, ..LIMITS }).expect("no violation");
    assert!(!cut.complete);
}

#[test]
fn a_counterexample_is_a_shortest_trace_to_the_violation() {
    let counterexample = explore(&Counters { max_sum: 4 }, LIMITS).expect_err("a violation");
    assert_eq!(counterexample.trace.len(), 5);
    let mut state = (0, 0);
    counterexample.trace.iter().for_each(|action| Counters { max_sum: 4 }.step(&mut state, action));
    assert_eq!(counterexample.violation, format!("{state:?}"));
}
