//! When the same is said again: at first at once, then after waits that double and differ, so that what is lost is made good and what
//! can't be done now does not fill the log.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::words::commands::Step;
use crate::words::names::{BoxId, Order};

/// What is said.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum What {
    Step(Step),
    Order(BoxId, Order),
}

#[derive(Debug, Clone, Copy, Hash)]
struct Again {
    at: Duration,
    tries: u32,
    sweep: u64,
}

/// What was said, and when it is to be said again. What a sweep does not want any more is forgotten by the next.
#[derive(Debug, Clone, Default, Hash)]
pub(super) struct Agains {
    all: BTreeMap<What, Again>,
    sweep: u64,
}

impl Agains {
    pub(super) fn begin_sweep(&mut self) {
        self.sweep += 1;
        let sweep = self.sweep;
        self.all.retain(|_, a| a.sweep + 1 >= sweep);
    }

    /// Whether it is to be said now. If so, it counts as said.
    pub(super) fn is_due(&mut self, now: Duration, base: Duration, what: What, rng: &mut ChaCha8Rng) -> bool {
        let sweep = self.sweep;
        let again = self.all.entry(what).or_insert(Again { at: now, tries: 0, sweep });
        again.sweep = sweep;
        if now < again.at {
            return false;
        }
        let span = (base * 2u32.pow(again.tries.min(5))).as_micros() as u64;
        again.at = now + Duration::from_micros(rng.random_range(span / 2..=span.max(1)));
        again.tries += 1;
        true
    }
}
