//! Troubles begun and ended.

use std::io;
use std::time::Instant;

use beechloft_checker::What;
use beechloft_fault_proxy::{DirectionFault, LinkFault};
use rustix::process::Signal;

use super::Keepers;
use super::between::{Between, Which};

/// What a trouble chose when it began, to be undone at its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Chosen {
    Keeper(usize),
    Candidate(usize),
    Nobody,
}

impl Keepers {
    fn choose(&self, which: Which) -> Option<usize> {
        match which {
            Which::Keeper(n) => Some(n),
            Which::Leader => self.leader(),
        }
    }

    /// Between a keeper and all others: what others say to it, and what it says.
    fn way(&self, keeper: usize, heard: DirectionFault, says: DirectionFault) {
        for ((from, to), relay) in &self.relays {
            if *to == keeper {
                relay.set_fault(LinkFault { forward: heard, reverse: says });
            } else if *from == keeper {
                relay.set_fault(LinkFault { forward: says, reverse: heard });
            }
        }
    }

    /// From a process that is no keeper to all keepers but one.
    fn cut(&self, place: usize, but: Option<usize>, cut: bool) {
        let way = if cut { LinkFault::partition() } else { LinkFault::default() };
        let of = |k: &(usize, usize)| k.0 == place && Some(k.1) != but;
        self.relays.iter().filter(|(k, _)| of(k)).for_each(|(_, r)| r.set_fault(way));
    }

    /// A trouble begins.
    ///
    /// # Errors
    /// A process can't be started.
    pub fn begin(&mut self, trouble: usize, between: &Between) -> io::Result<()> {
        let cut = DirectionFault { blocked: true, ..DirectionFault::default() };
        let chosen = match between {
            Between::KillKeeper(which) => self.choose(*which).map(|n| {
                self.keepers[n] = None;
                Chosen::Keeper(n)
            }),
            Between::StopKeeper(which) => self.choose(*which).map(|n| {
                self.signal(n, Signal::STOP);
                Chosen::Keeper(n)
            }),
            Between::KillKeepers => {
                self.keepers.iter_mut().for_each(|k| *k = None);
                None
            }
            Between::CutKeeper { which, one_way } => self.choose(*which).map(|n| {
                self.way(n, if *one_way { DirectionFault::default() } else { cut }, cut);
                Chosen::Keeper(n)
            }),
            Between::SlowKeeper(which, by) => self.choose(*which).map(|n| {
                let late = DirectionFault { delay: *by, ..DirectionFault::default() };
                self.way(n, late, late);
                Chosen::Keeper(n)
            }),
            Between::CutLeaderWithHolder => self.leader().map(|n| {
                self.way(n, cut, cut);
                if let Some(holder) = self.holder() {
                    let place = self.addresses.len() + holder;
                    self.cut(place, Some(n), true);
                    if let Some(relay) = self.relays.get(&(place, n)) {
                        relay.set_fault(LinkFault::default());
                    }
                }
                Chosen::Keeper(n)
            }),
            Between::KillHolder => self.holder().map(|n| {
                (self.candidates[n], self.ended_at[n]) = (None, None);
                Chosen::Candidate(n)
            }),
            Between::StopHolder => self.holder().map(|n| {
                self.recorder.note(What::Stopped { holder: Keepers::candidate_name(n) });
                self.candidates[n].iter().for_each(|g| g.signal(Signal::STOP));
                Chosen::Candidate(n)
            }),
            Between::CutFront(front) => {
                self.cut(self.addresses.len() + self.candidates.len() + front, None, true);
                None
            }
        };
        self.chosen.insert(trouble, chosen.unwrap_or(Chosen::Nobody));
        Ok(())
    }

    pub(super) fn signal(&self, keeper: usize, signal: Signal) {
        self.keepers[keeper].iter().for_each(|g| g.signal(signal));
    }

    /// A trouble ends.
    ///
    /// # Errors
    /// A process can't be started.
    pub fn end(&mut self, trouble: usize, between: &Between) -> io::Result<()> {
        let Some(chosen) = self.chosen.remove(&trouble) else { return Ok(()) };
        let none = DirectionFault::default();
        match (between, chosen) {
            (Between::KillKeeper(_), Chosen::Keeper(n)) => self.start_keeper(n)?,
            (Between::StopKeeper(_), Chosen::Keeper(n)) => self.signal(n, Signal::CONT),
            (Between::KillKeepers, _) => {
                for n in 0..self.keepers.len() {
                    self.start_keeper(n)?;
                }
            }
            (Between::CutKeeper { .. } | Between::SlowKeeper(..), Chosen::Keeper(n)) => {
                self.way(n, none, none)
            }
            (Between::CutLeaderWithHolder, Chosen::Keeper(_)) => {
                self.relays.values().for_each(|r| r.set_fault(LinkFault::default()));
            }
            (Between::KillHolder, Chosen::Candidate(n)) => self.ended_at[n] = Some(Instant::now()),
            (Between::StopHolder, Chosen::Candidate(n)) => {
                self.recorder.note(What::WentOn { holder: Keepers::candidate_name(n) });
                self.candidates[n].iter().for_each(|g| g.signal(Signal::CONT));
            }
            (Between::CutFront(front), _) => {
                self.cut(self.addresses.len() + self.candidates.len() + front, None, false);
            }
            _ => {}
        }
        Ok(())
    }
}
