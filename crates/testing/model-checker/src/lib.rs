//! An explorer: it visits every order of events of a model, layer by layer up to a depth, and finds the shortest one that
//! breaks a law. States that were seen are known by a hash of 128 bits; two that share one would be taken for the same, which
//! among ten million states happens with a chance under 10⁻²⁴.
//!
//! The model drives the real machines; nothing here knows of them. A layer is spread over threads and put together in
//! order, so that the same model gives the same result.
#![forbid(unsafe_code)]

use std::collections::HashSet;
use std::fmt;
use std::hash::Hash;
use std::time::{Duration, Instant};

use siphasher::sip128::{Hasher128, SipHasher13};

/// What is explored.
pub trait Model: Sync {
    /// A state of all there is: machines, disks, messages on their way, what has happened so far.
    type State: Clone + Send + Sync;
    /// One thing that can happen.
    type Action: Clone + fmt::Debug + Send + Sync;

    /// Where it begins; more than one place if some are far from the first.
    fn starts(&self) -> Vec<Self::State>;
    /// All that can happen next.
    fn actions(&self, state: &Self::State) -> Vec<Self::Action>;
    /// Has it happen.
    fn step(&self, state: &mut Self::State, action: &Self::Action);
    /// Writes all that matters of a state, and nothing that does not.
    fn print(&self, state: &Self::State, print: &mut SipHasher13);
    /// The law that a state breaks.
    fn broken(&self, state: &Self::State) -> Option<String>;
}

/// How far it goes.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Events in a row.
    pub depth: usize,
    /// States at most; past this it stops and says so.
    pub states: usize,
    /// Threads.
    pub threads: usize,
}

/// What was seen where no law was broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seen {
    /// Different states.
    pub states: usize,
    /// Events that were tried.
    pub events: usize,
    /// Events in a row, in full.
    pub depth: usize,
    /// All states up to the depth asked for were seen.
    pub complete: bool,
    /// Time it took.
    pub took: Duration,
}

/// A broken law, and the shortest way to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Found<A> {
    /// What broke.
    pub why: String,
    /// Which of the starts.
    pub start: usize,
    /// What happened, in order.
    pub trail: Vec<A>,
    /// States that were seen until then.
    pub states: usize,
}

/// A state that was reached, and how.
struct Reached<M: Model> {
    state: M::State,
    /// Its place in the record of ways.
    way: usize,
}

/// How a state was reached: from which, by what; a start has no event.
type Way<A> = (usize, Option<A>);

fn print_of<M: Model>(model: &M, state: &M::State) -> u128 {
    let mut hasher = SipHasher13::new_with_keys(0x6265_6563, 0x686c_6f66);
    model.print(state, &mut hasher);
    hasher.finish128().as_u128()
}

/// A state after an event.
struct Next<M: Model> {
    state: M::State,
    print: u128,
    from: usize,
    action: M::Action,
    broken: Option<String>,
}

fn grow<M: Model>(model: &M, layer: &[Reached<M>], seen: &HashSet<u128>) -> (Vec<Next<M>>, usize) {
    let (mut grown, mut tried, mut own) = (Vec::new(), 0, HashSet::new());
    for reached in layer {
        for action in model.actions(&reached.state) {
            let mut state = reached.state.clone();
            model.step(&mut state, &action);
            tried += 1;
            let print = print_of(model, &state);
            if seen.contains(&print) || !own.insert(print) {
                continue;
            }
            let broken = model.broken(&state);
            grown.push(Next { state, print, from: reached.way, action, broken });
        }
    }
    (grown, tried)
}

/// Explores a model.
///
/// # Errors
/// The shortest order of events that breaks a law.
pub fn explore<M: Model>(model: &M, limits: Limits) -> Result<Seen, Found<M::Action>> {
    let began = Instant::now();
    let mut ways: Vec<Way<M::Action>> = Vec::new();
    let mut seen: HashSet<u128> = HashSet::new();
    let mut layer: Vec<Reached<M>> = Vec::new();
    for (start, state) in model.starts().into_iter().enumerate() {
        if let Some(why) = model.broken(&state) {
            return Err(Found { why, start, trail: Vec::new(), states: seen.len() });
        }
        ways.push((start, None));
        if seen.insert(print_of(model, &state)) {
            layer.push(Reached { state, way: ways.len() - 1 });
        }
    }
    let (mut events, mut depth) = (0, 0);
    while depth < limits.depth && !layer.is_empty() && seen.len() < limits.states {
        let part = layer.len().div_ceil(limits.threads.max(1)).max(1);
        let grown: Vec<(Vec<Next<M>>, usize)> = std::thread::scope(|scope| {
            let parts: Vec<_> = layer.chunks(part).map(|p| scope.spawn(|| grow(model, p, &seen))).collect();
            // A panic of the model's is passed on as it is.
            parts.into_iter().map(|t| t.join().unwrap_or_else(|e| std::panic::resume_unwind(e))).collect()
        });
        layer.clear();
        let mut cut = false;
        for (nexts, tried) in grown {
            events += tried;
            for next in nexts {
                if !seen.insert(next.print) {
                    continue;
                }
                ways.push((next.from, Some(next.action)));
                if let Some(why) = next.broken {
                    let (start, trail) = way_to(&ways, ways.len() - 1);
                    return Err(Found { why, start, trail, states: seen.len() });
                }
                if seen.len() >= limits.states {
                    cut = true;
                    break;
                }
                layer.push(Reached { state: next.state, way: ways.len() - 1 });
            }
        }
        if cut {
            break;
        }
        depth += 1;
    }
    let complete = depth == limits.depth || layer.is_empty();
    Ok(Seen { states: seen.len(), events, depth, complete, took: began.elapsed() })
}

fn way_to<A: Clone>(ways: &[Way<A>], mut at: usize) -> (usize, Vec<A>) {
    let mut trail = Vec::new();
    while let (from, Some(action)) = &ways[at] {
        trail.push(action.clone());
        at = *from;
    }
    trail.reverse();
    (ways[at].0, trail)
}

/// Prints a value that has a hash.
pub fn print<T: Hash>(value: &T, into: &mut SipHasher13) {
    value.hash(into);
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Two counters that go up by one, to three; a law about their sum.
    struct Counters {
        most: u8,
    }

    impl Model for Counters {
        type State = (u8, u8);
        type Action = bool;

        fn starts(&self) -> Vec<(u8, u8)> {
            vec![(0, 0)]
        }

        fn actions(&self, state: &(u8, u8)) -> Vec<bool> {
            [true, false].into_iter().filter(|a| if *a { state.0 < 3 } else { state.1 < 3 }).collect()
        }

        fn step(&self, state: &mut (u8, u8), action: &bool) {
            if *action { state.0 += 1 } else { state.1 += 1 }
        }

        fn print(&self, state: &(u8, u8), into: &mut SipHasher13) {
            print(state, into);
        }

        fn broken(&self, state: &(u8, u8)) -> Option<String> {
            (state.0 + state.1 > self.most).then(|| format!("{state:?}"))
        }
    }

    const LIMITS: Limits = Limits { depth: 20, states: 1000, threads: 3 };

    #[test]
    fn all_states_are_seen_once_and_no_more() {
        let seen = explore(&Counters { most: 9 }, LIMITS).expect("no law is broken");
        assert_eq!((seen.states, seen.events, seen.complete), (16, 24, true));
        let few = explore(&Counters { most: 9 }, Limits { depth: 2, ..LIMITS }).expect("no law is broken");
        assert_eq!((few.states, few.depth, few.complete), (6, 2, true));
        let cut = explore(&Counters { most: 9 }, Limits { states: 5, ..LIMITS }).expect("no law is broken");
        assert!(!cut.complete);
    }

    #[test]
    fn the_shortest_way_to_a_broken_law_is_told() {
        let found = explore(&Counters { most: 4 }, LIMITS).expect_err("a law is broken");
        assert_eq!(found.trail.len(), 5);
        let mut state = (0, 0);
        found.trail.iter().for_each(|a| Counters { most: 4 }.step(&mut state, a));
        assert_eq!(found.why, format!("{state:?}"));
    }
}
