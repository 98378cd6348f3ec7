//! The verdict: a pure function of evidence and of where boxes stand.

use std::collections::{BTreeMap, BTreeSet};

use crate::evidence::Evidence;
use crate::planted::Fault;
use crate::report::{BoxKey, Seen};
use crate::rules::Rules;

/// Where a box stands.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Place {
    /// Its zone.
    pub zone: u16,
    /// Its share of the zone's capacity.
    pub size: f64,
}

/// All boxes of the list.
pub type Places = BTreeMap<u32, Place>;

/// A box that is judged bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Judged {
    /// Which process.
    pub key: BoxKey,
    /// Fronts whose attempts say so.
    pub accusers: u32,
    /// Fronts whose attempts say otherwise.
    pub absolvers: u32,
    /// Bad attempts of the accusers.
    pub bad: u32,
}

/// Whether an accusation counts: while the box failed, the front found others of its zone well, and no more of them bad. Guards against a
/// front for which all fails, and against one that is cut off from the zone, or was: what went well before or after shows nothing of the
/// time between.
fn sound(rules: &Rules, seen: &Seen) -> bool {
    (seen.beside_well > 0 && seen.beside_well >= seen.beside_bad) || rules.planted(Fault::BrokenFrontCounts)
}

/// Whether accusers of these zones are enough when any one of them is not counted.
fn enough(rules: &Rules, zones: &[u16]) -> bool {
    if rules.planted(Fault::OneFront) {
        return !zones.is_empty();
    }
    let mut by_zone: BTreeMap<u16, usize> = BTreeMap::new();
    zones.iter().for_each(|z| *by_zone.entry(*z).or_default() += 1);
    let left = zones.len().saturating_sub(1) >= rules.fronts;
    let apart = by_zone.len() >= 3 || (by_zone.len() == 2 && by_zone.values().all(|n| *n >= 2));
    left && (apart || rules.planted(Fault::OneZone))
}

struct Sides {
    zones: Vec<u16>,
    absolvers: u32,
    bad: u32,
}

impl Sides {
    fn condemn(&self, rules: &Rules) -> bool {
        let outvoted = if rules.planted(Fault::OneAbsolves) {
            self.absolvers > 0
        } else {
            (self.zones.len() as u32) < 2 * self.absolvers.saturating_sub(1)
        };
        enough(rules, &self.zones) && self.bad >= rules.failures && !outvoted
    }
}

fn sides(rules: &Rules, evidence: &Evidence, key: BoxKey) -> Sides {
    let mut sides = Sides { zones: Vec::new(), absolvers: 0, bad: 0 };
    for (_, witness) in evidence.iter() {
        let lives = |b: &&crate::report::BoxLine| {
            b.key == key || (rules.planted(Fault::NoLife) && b.key.server == key.server)
        };
        let Some(seen) = witness.report.boxes.iter().find(lives).map(|b| b.seen) else { continue };
        if seen.accuses() && sound(rules, &seen) {
            sides.zones.push(witness.zone);
            sides.bad += seen.bad().min(3);
        } else if seen.absolves() {
            sides.absolvers += 1;
        }
    }
    sides
}

/// The boxes that evidence shows to be bad; the surest first. Those who have the same evidence and the same list judge the same.
pub fn judge(rules: &Rules, places: &Places, evidence: &Evidence) -> Vec<Judged> {
    let accused: BTreeSet<BoxKey> = evidence
        .iter()
        .flat_map(|(_, w)| &w.report.boxes)
        .filter(|b| b.seen.accuses())
        .map(|b| b.key)
        .collect();
    let mut judged: Vec<Judged> = Vec::new();
    for key in accused {
        let sides = sides(rules, evidence, key);
        if places.contains_key(&key.server) && sides.condemn(rules) {
            let accusers = sides.zones.len() as u32;
            judged.push(Judged { key, accusers, absolvers: sides.absolvers, bad: sides.bad });
        }
    }
    judged.sort_by_key(|j| (u32::MAX - j.accusers, j.absolvers, j.key));
    judged
}

/// The titles that boxes can't play though they play others: by box and title. A front's word counts if most of what it tried there
/// of other titles was well.
pub fn judge_titles(rules: &Rules, evidence: &Evidence) -> Vec<(BoxKey, u32)> {
    let mut accused: BTreeMap<(BoxKey, u32), (Vec<u16>, u32)> = BTreeMap::new();
    for (_, witness) in evidence.iter() {
        for line in &witness.report.titles {
            let rest = |s: &Seen| {
                (
                    u32::from(s.tries).saturating_sub(line.tries.into()),
                    s.bad().saturating_sub(line.bad.into()),
                )
            };
            let (tries, bad) = witness.report.of(line.key).map_or((0, 0), rest);
            let others_well = tries > 0 && bad * 2 < tries;
            if others_well && line.bad > 0 && u32::from(line.bad) * 2 >= u32::from(line.tries) {
                let (zones, bad) = accused.entry((line.key, line.title)).or_default();
                zones.push(witness.zone);
                *bad += u32::from(line.bad).min(3);
            }
        }
    }
    let sure = |(zones, bad): &(Vec<u16>, u32)| enough(rules, zones) && *bad >= rules.failures;
    accused.into_iter().filter(|(_, sides)| sure(sides)).map(|(key, _)| key).collect()
}

/// Viewers most of whose requests are declined, as three fronts or more have it. They are warned of; nothing is done to them.
pub fn judge_viewers(rules: &Rules, evidence: &Evidence) -> Vec<u64> {
    let mut accused: BTreeMap<u64, usize> = BTreeMap::new();
    for line in evidence.iter().flat_map(|(_, w)| &w.report.viewers) {
        if line.tries >= 4 && u32::from(line.bad) * 2 >= u32::from(line.tries) {
            *accused.entry(line.viewer).or_default() += 1;
        }
    }
    accused.into_iter().filter(|(_, n)| *n > rules.fronts).map(|(viewer, _)| viewer).collect()
}
