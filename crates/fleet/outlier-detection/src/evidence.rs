//! What all fronts have seen, merged: a map from a front's life to its last report, the higher version wins (a state-based CRDT:
//! Shapiro, Preguica, Baquero and Zawirski, "Conflict-free Replicated Data Types", SSS 2011).

use std::collections::BTreeMap;
use std::time::Duration;

use crate::planted::Fault;
use crate::report::Report;
use crate::rules::Rules;

/// A front's life, drawn at its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FrontLife(pub u64);

/// What a front says.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Witness {
    /// The report's version.
    pub version: u64,
    /// The front's zone, by the roster.
    pub zone: u16,
    /// What it has seen.
    pub report: Report,
}

/// What is known of all fronts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Evidence {
    fronts: BTreeMap<FrontLife, Witness>,
}

impl Evidence {
    /// A front's report, in place of an older one. `rules` have a test's fault and nothing else to do with it.
    pub fn put(&mut self, rules: &Rules, front: FrontLife, witness: Witness) {
        match self.fronts.get_mut(&front) {
            Some(known) if rules.planted(Fault::AddedTwice) => {
                for line in &witness.report.boxes {
                    match known.report.boxes.iter_mut().find(|b| b.key == line.key) {
                        Some(b) => {
                            b.seen.tries = b.seen.tries.saturating_add(line.seen.tries);
                            b.seen.errors = b.seen.errors.saturating_add(line.seen.errors);
                            b.seen.hangs = b.seen.hangs.saturating_add(line.seen.hangs);
                        }
                        None => known.report.boxes.push(*line),
                    }
                }
                known.version = known.version.max(witness.version);
            }
            // Two of one version are the same report unless somebody forges; then the greater counts everywhere.
            Some(known) if (known.version, &known.report) >= (witness.version, &witness.report) => {}
            _ => drop(self.fronts.insert(front, witness)),
        }
    }

    /// What another knows, merged into this. `own` is taken from nobody.
    pub fn merge(&mut self, rules: &Rules, own: FrontLife, other: &Evidence) {
        for (front, witness) in &other.fronts {
            if *front != own || rules.planted(Fault::TakesOwnFromOthers) {
                self.put(rules, *front, witness.clone());
            }
        }
    }

    /// Of those whose report is younger than the rules ask for, by what `age` tells of each.
    pub fn fresh(&self, rules: &Rules, age: impl Fn(FrontLife) -> Option<Duration>) -> Evidence {
        let young =
            |front: &FrontLife| age(*front).is_some_and(|a| a <= rules.fresh) || rules.planted(Fault::NoAge);
        Evidence {
            fronts: self.fronts.iter().filter(|(f, _)| young(f)).map(|(f, w)| (*f, w.clone())).collect(),
        }
    }

    /// Lets go of fronts that are not among these.
    pub fn keep(&mut self, there: impl Fn(FrontLife) -> bool) {
        self.fronts.retain(|front, _| there(*front));
    }

    /// All reports.
    pub fn iter(&self) -> impl Iterator<Item = (FrontLife, &Witness)> {
        self.fronts.iter().map(|(f, w)| (*f, w))
    }

    /// A front's report.
    pub fn get(&self, front: FrontLife) -> Option<&Witness> {
        self.fronts.get(&front)
    }
}
